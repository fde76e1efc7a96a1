//! Calls that list the audit trail and watch for changes.

use super::{Answer, Context, json};
use crate::admin::Admin;
use crate::admin::problem::Problem;
use crate::frontend::http::message::Response;
use crate::tenants::ChangeEvent;
use sanddyke_authorization::{Grant, Permission};
use sanddyke_store::{AuditAction, AuditEntry};
use sanddyke_tenancy::{Generation, TenantId};
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::Instant;

/// Maximum number of callers that wait for changes. The remaining connections stay available for calls that are
/// answered immediately.
const MAX_WATCHERS: usize = 6;
/// Maximum number of changes in one response to a watch.
const MAX_CHANGES: usize = 1000;
/// Maximum wait for a change.
const MAX_WAIT_MS: u64 = 25_000;
/// Wait for a change if the caller sends no `wait_ms`.
const DEFAULT_WAIT_MS: u64 = 10_000;
/// Retry delay for a caller rejected because [`MAX_WATCHERS`] others are waiting.
const WATCHER_RETRY_AFTER_MS: i64 = 1000;

/// Returns the permits for callers that wait for changes.
pub(in crate::admin) fn watcher_permits() -> Arc<Semaphore> {
    Arc::new(Semaphore::new(MAX_WATCHERS))
}

/// Returns whether a token is allowed to see changes of a tenant, or with `None` those of groups.
fn may_see(grant: &Grant, tenant: Option<TenantId>) -> bool {
    match tenant {
        Some(id) => grant.allows(Permission::ViewTenant(id)),
        None => grant.allows(Permission::View),
    }
}

impl Admin {
    /// Lists the audit entries that the caller is allowed to see, newest first. `cursor` is the number of the last
    /// entry of the previous page.
    pub(super) async fn audit(&self, context: &Context<'_>) -> Answer {
        let limit = context.query.page_size()?;
        let wanted = match &context.query.tenant {
            Some(name) => Some(self.permitted_tenant(context.caller, name, Permission::ViewTenant).await?.id),
            None => None,
        };
        let grant = context.caller.grant.clone();
        let is_wanted = move |entry: &AuditEntry| match &entry.what {
            AuditAction::Registry { record } => {
                may_see(&grant, record.tenant) && wanted.is_none_or(|wanted| record.tenant == Some(wanted))
            }
            AuditAction::Token { .. } => grant.allows(Permission::Administer) && wanted.is_none(),
        };
        let before = context.query.cursor.unwrap_or(u64::MAX);
        let entries = self.tenant_service.audit(before, limit, is_wanted).await?;
        let next = entries.last().filter(|_| entries.len() == limit).map(|entry| entry.number.to_string());
        Ok(Response::json(200, json!({ "entries": entries, "next": next }).to_string()))
    }

    /// Returns the changes after a generation: immediately if there are any, otherwise after the next visible change,
    /// at the end of the wait, or when the program shuts down.
    pub(super) async fn watch(&self, context: &Context<'_>) -> Answer {
        let _permit = self.watchers.clone().try_acquire_owned().map_err(|_| Problem {
            retry_after_ms: Some(WATCHER_RETRY_AFTER_MS),
            ..Problem::new(429, "watchers", format!("{MAX_WATCHERS} callers wait for changes already"))
        })?;
        let now = self.tenant_service.read(|tenants| tenants.registry.generation()).await;
        let mut after = context.query.after.map_or(now, Generation);
        let wait_ms = context.query.wait_ms.unwrap_or(DEFAULT_WAIT_MS).min(MAX_WAIT_MS);
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let (changes, latest) = self.changes_after(&context.caller.grant, after).await?;
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !changes.is_empty() || remaining.is_zero() || self.lifecycle.is_shutting_down() {
                let next = next_generation(&changes, latest);
                return Ok(Response::json(200, json!({ "changes": changes, "next": next }).to_string()));
            }
            // The caller is not allowed to see any of the changes so far, so the wait continues after them.
            after = latest;
            tokio::select! {
                () = self.tenant_service.wait_for_change_after(latest, remaining) => {}
                () = self.lifecycle.wait_for_shutdown() => {}
            }
        }
    }

    /// Returns the changes after a generation that a token is allowed to see, and the latest generation.
    ///
    /// # Errors
    /// 410 if some of these changes are no longer in memory.
    async fn changes_after(
        &self,
        grant: &Grant,
        after: Generation,
    ) -> Result<(Vec<Value>, Generation), Problem> {
        let found = self.tenant_service.read(|tenants| {
            let is_visible = |event: &&ChangeEvent| may_see(grant, event.record.tenant);
            let changes =
                tenants.changes_after(after)?.filter(is_visible).take(MAX_CHANGES).map(json::change);
            Some((changes.collect(), tenants.registry.generation()))
        });
        let too_old =
            || Problem::new(410, "gone", "changes after that generation are not at hand: list anew");
        found.await.ok_or_else(too_old)
    }
}

/// Returns the generation after which the caller's next watch continues: that of the last change if the response is
/// full and there may be more changes, otherwise the latest.
fn next_generation(changes: &[Value], latest: Generation) -> u64 {
    let is_full = changes.len() == MAX_CHANGES;
    let last = changes.last().and_then(|change| change["record"]["generation"].as_u64());
    last.filter(|_| is_full).unwrap_or(latest.0)
}
