//! Calls that list, create, rotate and remove tokens.

use super::json::{self, not_found, parse};
use super::{Answer, Context};
use crate::admin::bodies::{NewToken, Rotation};
use crate::admin::{Admin, Caller};
use crate::frontend::http::message::Response;
use sanddyke_authorization::{Grant, Permission};
use serde_json::{Value, json};
use std::collections::BTreeSet;

impl Admin {
    pub(super) async fn list_tokens(&self, caller: &Caller) -> Answer {
        caller.require(Permission::Administer)?;
        let tokens: Vec<Value> =
            self.tenant_service.read(|tenants| tenants.tokens.iter().map(json::token).collect()).await;
        Ok(Response::json(200, json!({ "tokens": tokens }).to_string()))
    }

    pub(super) async fn create_token(&self, context: &Context<'_>) -> Answer {
        context.caller.require(Permission::Administer)?;
        let body: NewToken = parse(&context.request.body)?;
        let mut tenants = BTreeSet::new();
        for name in &body.tenants {
            let id = self.tenant_id(name).await;
            tenants.insert(id.ok_or_else(|| not_found("tenant"))?);
        }
        let grant = Grant { role: body.role, tenants, note: body.note, expires_ms: body.expires_ms };
        let issued = self.tenant_service.issue(&context.caller.id, grant).await?;
        Ok(json::issued_token(201, &issued))
    }

    pub(super) async fn rotate_token(&self, context: &Context<'_>, id: &str) -> Answer {
        context.caller.require(Permission::Administer)?;
        let body: Rotation = parse(&context.request.body)?;
        let issued = self.tenant_service.rotate(&context.caller.id, id, body.overlap_ms).await?;
        Ok(json::issued_token(200, &issued))
    }

    pub(super) async fn remove_token(&self, caller: &Caller, id: &str) -> Answer {
        caller.require(Permission::Administer)?;
        self.tenant_service.revoke(&caller.id, id).await?;
        Ok(Response::json(200, json!({ "removed": id }).to_string()))
    }
}
