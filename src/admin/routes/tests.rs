//! Routing, and the OpenAPI document that is made from the routes.

use super::*;
use crate::admin::openapi::openapi;

#[test]
fn each_path_has_its_route() {
    let found = |method, path| find(method, path).map(|(row, name)| (row.call, name));
    assert_eq!(found("GET", "/v1/tenants"), Ok((Call::ListTenants, "")));
    assert_eq!(found("GET", "/v1/tenants/a"), Ok((Call::GetTenant, "a")));
    assert_eq!(found("POST", "/v1/tenants/a/drain"), Ok((Call::DrainTenant, "a")));
    assert_eq!(found("PUT", "/v1/tenants/a"), Err(NoRoute::Method("GET, PATCH, DELETE".to_owned())));
    for path in ["/v1/tenants/", "/v1/tenants//drain", "/v1", "/v1/tenants/a/b", "/v1/tenants/a/drain/"] {
        assert_eq!(found("GET", path), Err(NoRoute::Path), "{path}");
    }
}

#[test]
fn the_document_has_all_schemas_that_it_refers_to() {
    let document = openapi();
    let text = document.to_string();
    for name in text.split("#/components/schemas/").skip(1).map(|rest| rest.split('"').next().unwrap()) {
        assert!(document["components"]["schemas"].get(name).is_some(), "{name}");
    }
    assert_eq!(document["paths"].as_object().unwrap().len(), {
        let mut paths: Vec<&str> = ROUTES.iter().map(|row| row.path).collect();
        paths.sort_unstable();
        paths.dedup();
        paths.len()
    });
}
