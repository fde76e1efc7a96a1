//! Shared parts of the calls that change tenants and groups: preconditions, idempotency keys and dry runs.

use super::query::IfMatch;
use super::{Answer, Context};
use crate::admin::problem::Problem;
use crate::admin::{Admin, Caller};
use crate::frontend::http::message::{Request, Response};
use crate::tenants::{ChangeOutcome, ChangeRequest, IdempotencyKey, Precondition};
use sanddyke_authorization::digest;
use sanddyke_tenancy::{Change, Generation, Plan, Subject, TenantId};
use serde_json::{Value, json};

/// Maximum number of changed shares in the response to a dry run.
const MAX_LISTED_SHARES: usize = 1000;
/// Maximum length of an idempotency key, as stated in the text of the problem.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;

impl Admin {
    /// Creates a tenant or group. A repeated request with the same idempotency key returns the tenant or group as it is
    /// now, with the header field `Idempotent-Replayed`.
    pub(super) async fn create(&self, context: &Context<'_>, change: Change) -> Answer {
        // The digest is stored with the key, so it must stay the same in later releases. It depends on the `Debug`
        // form of `Change`.
        let key = idempotency_key(context.request)?
            .map(|key| IdempotencyKey { key, request_digest: digest(&format!("{change:?}")) });
        let subject = change.subject();
        let request = ChangeRequest {
            actor: context.caller.id.clone(),
            changes: vec![change],
            precondition: None,
            key,
        };
        if context.query.dry_run {
            return self.dry_run(&request).await;
        }
        match self.tenant_service.change(request).await? {
            ChangeOutcome::Applied(_) => self.subject(context.caller, 201, &subject).await,
            ChangeOutcome::AlreadyApplied(_) => {
                let response = self.subject(context.caller, 201, &subject).await?;
                Ok(response.with("Idempotent-Replayed", "true".to_owned()))
            }
        }
    }

    /// Changes or removes a tenant or group. `based_on` is the generation from which the change was computed. It is the
    /// precondition if the caller sent no generation in `If-Match`, so that a concurrent change is not overwritten.
    pub(super) async fn change(
        &self,
        context: &Context<'_>,
        change: Change,
        based_on: Option<Generation>,
    ) -> Answer {
        let if_match = IfMatch::of(context.request)?;
        if needs_precondition(&change) && if_match == IfMatch::Absent && !context.query.dry_run {
            let detail = "If-Match is needed: the ETag that you have seen, or * to change whatever is there";
            return Err(Problem::new(428, "if_match", detail));
        }
        let subject = change.subject();
        let removes = matches!(change, Change::RemoveTenant { .. } | Change::RemoveGroup { .. });
        let expected = if_match.generation().or(based_on);
        let request = ChangeRequest {
            actor: context.caller.id.clone(),
            changes: vec![change],
            precondition: expected.map(|generation| Precondition { subject: subject.clone(), generation }),
            key: None,
        };
        if context.query.dry_run {
            return self.dry_run(&request).await;
        }
        self.tenant_service.change(request).await?;
        if removes {
            return Ok(Response::json(200, json!({ "removed": subject.name() }).to_string()));
        }
        self.subject(context.caller, 200, &subject).await
    }

    /// Returns a tenant or group in its current state.
    async fn subject(&self, caller: &Caller, status: u16, subject: &Subject) -> Answer {
        match subject {
            Subject::Tenant(name) => self.tenant(caller, status, name).await,
            Subject::Group(name) => self.group(caller, status, name).await,
        }
    }

    /// Plans a change without applying it. The response lists the effective shares that it would change.
    pub(super) async fn dry_run(&self, request: &ChangeRequest) -> Answer {
        let plan = self.tenant_service.plan(request).await?;
        let shares = self.moved_shares(&plan).await;
        let body = json!({
            "dry_run": true, "changes": plan.records.len(), "generation": plan.after.generation(),
            "shares_changed": plan.share_changes.len(), "shares": shares,
        });
        Ok(Response::json(200, body.to_string()))
    }

    /// Lists the tenants whose share a plan changes, with the share before and after.
    async fn moved_shares(&self, plan: &Plan) -> Vec<Value> {
        let listed = self.tenant_service.read(|tenants| {
            let name = |id: TenantId| {
                let tenant = plan.after.by_id(id).or_else(|| tenants.registry.by_id(id));
                tenant.map_or(String::new(), |tenant| tenant.name.clone())
            };
            let moved = plan.share_changes.iter().take(MAX_LISTED_SHARES);
            let listed = moved.map(
                |(id, (before, after))| json!({ "tenant": name(*id), "before": before, "after": after }),
            );
            listed.collect()
        });
        listed.await
    }
}

/// Returns whether a change needs an `If-Match` field with the generation that its caller last read.
fn needs_precondition(change: &Change) -> bool {
    matches!(
        change,
        Change::SetTenant { .. }
            | Change::SetGroup { .. }
            | Change::RemoveTenant { .. }
            | Change::RemoveGroup { .. }
    )
}

/// Returns the request's idempotency key, `None` without one.
fn idempotency_key(request: &Request) -> Result<Option<String>, Problem> {
    let Some(key) = request.field("Idempotency-Key") else { return Ok(None) };
    let is_plain = key.chars().all(|c| c.is_ascii_graphic());
    if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES || !is_plain {
        let detail = "Idempotency-Key: 1 to 128 plain characters";
        return Err(Problem::new(400, "idempotency_key", detail));
    }
    Ok(Some(key.to_owned()))
}
