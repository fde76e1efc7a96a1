//! Tests of routing, and of the OpenAPI document that is generated from the routes.

use super::*;
use crate::admin::openapi::openapi;

#[test]
fn paths_match_complete_templates_only() {
    let found = |method, path| find(method, path).map(|(route, name)| (route.call, name));
    assert_eq!(found("GET", "/v1/tenants"), Ok((Call::ListTenants, "")));
    assert_eq!(found("GET", "/v1/tenants/a"), Ok((Call::GetTenant, "a")));
    assert_eq!(found("POST", "/v1/tenants/a/drain"), Ok((Call::DrainTenant, "a")));
    assert_eq!(found("PUT", "/v1/tenants/a"), Err(NoRoute::Method("GET, PATCH, DELETE".to_owned())));
    for path in ["/v1/tenants/", "/v1/tenants//drain", "/v1", "/v1/tenants/a/b", "/v1/tenants/a/drain/"] {
        assert_eq!(found("GET", path), Err(NoRoute::Path), "{path}");
    }
}

#[test]
fn every_schema_reference_resolves_and_every_path_is_listed() {
    let document = openapi();
    let text = document.to_string();
    for name in text.split("#/components/schemas/").skip(1).map(|rest| rest.split('"').next().unwrap()) {
        assert!(document["components"]["schemas"].get(name).is_some(), "{name}");
    }
    assert_eq!(document["paths"].as_object().unwrap().len(), {
        let mut paths: Vec<&str> = ROUTES.iter().map(|route| route.path).collect();
        paths.sort_unstable();
        paths.dedup();
        paths.len()
    });
}
