//! Planning and applying changes of tenants and groups.

use super::{TenantService, TenantServiceError, run_blocking};
use crate::core::{Input, TenantUpdate};
use sanddyke_store::{Commit, Creation};
use sanddyke_tenancy::{Change, Generation, Plan, Record, Subject};
use std::sync::Arc;

/// Tenant updates per input to the core. Larger changes are split, so that the core serves requests in between.
const MAX_UPDATES_PER_INPUT: usize = 256;
/// Period for which an idempotency key is valid: one day.
const IDEMPOTENCY_KEY_TTL_MS: u64 = 86_400_000;

/// A request to change tenants or groups.
#[derive(Debug, Clone)]
pub struct ChangeRequest {
    /// Id of the token of the caller, as recorded in the audit trail.
    pub actor: String,
    /// The changes, applied atomically and in this order.
    pub changes: Vec<Change>,
    /// The changes are rejected unless this holds; `None` applies them unconditionally.
    pub precondition: Option<Precondition>,
    /// Idempotency key of a creation; `None` where the caller sent none, and for other changes.
    pub key: Option<IdempotencyKey>,
}

/// Requires that a tenant or group is at a given generation.
#[derive(Debug, Clone)]
pub struct Precondition {
    /// Tenant or group to which the condition applies.
    pub subject: Subject,
    /// Generation of the subject that the caller last read.
    pub generation: Generation,
}

/// Idempotency key of a creation, with a digest that detects its reuse for another request.
#[derive(Debug, Clone)]
pub struct IdempotencyKey {
    /// The `Idempotency-Key` header field as the caller sent it.
    pub key: String,
    /// Digest of the requested change.
    pub request_digest: String,
}

/// Result of a successful change.
#[derive(Debug)]
pub enum ChangeOutcome {
    /// The change was stored and applied; its records.
    Applied(Vec<Record>),
    /// An earlier request with the same idempotency key made this change; name of the tenant or group that it created.
    AlreadyApplied(String),
}

impl TenantService {
    /// Computes the effect of a change without applying it.
    ///
    /// # Errors
    /// The precondition fails, or the registry would reject the change.
    pub async fn plan(&self, request: &ChangeRequest) -> Result<Plan, TenantServiceError> {
        let registry = self.read(|state| state.registry.clone()).await;
        let request = request.clone();
        run_blocking(move || {
            if let Some(Precondition { subject, generation }) = &request.precondition {
                registry.check_generation(subject, Some(*generation))?;
            }
            Ok(registry.plan(&request.changes)?)
        })
        .await
    }

    /// Applies a change. The change runs in a task of its own and completes even if the caller stops waiting for it, so
    /// that the core is notified of every change that is on disk.
    ///
    /// # Errors
    /// The precondition fails, or the registry or the store rejects the change: nothing is changed. `Ended` if the
    /// service has ended; the change may be stored then.
    pub async fn change(
        self: &Arc<Self>,
        request: ChangeRequest,
    ) -> Result<ChangeOutcome, TenantServiceError> {
        let service = self.clone();
        let applied = tokio::spawn(async move { service.apply(request).await }).await;
        applied.unwrap_or(Err(TenantServiceError::Ended))
    }

    async fn apply(&self, request: ChangeRequest) -> Result<ChangeOutcome, TenantServiceError> {
        let store = self.store.clone().ok_or(TenantServiceError::NoStore)?;
        let mut state = self.state.lock().await;
        let now_ms = self.clock.unix_ms();
        let creation = creation(&request, now_ms);
        if let Some(creation) = &creation
            && let Some(earlier) = state.creation(&creation.key, now_ms)
        {
            return match earlier.request_digest == creation.request_digest {
                true => Ok(ChangeOutcome::AlreadyApplied(earlier.name.clone())),
                false => Err(TenantServiceError::KeyReused),
            };
        }
        if let Some(Precondition { subject, generation }) = &request.precondition {
            state.registry.check_generation(subject, Some(*generation))?;
        }
        let ChangeRequest { actor, changes, .. } = request;
        // With thousands of tenants, planning takes some milliseconds, as long as the write to disk. Neither runs on
        // the thread that serves requests.
        let registry = state.registry.clone();
        let (commit_actor, commit_creation) = (actor.clone(), creation.clone());
        let plan = run_blocking(move || {
            let plan = registry.plan(&changes)?;
            let commit = Commit::of(&commit_actor, now_ms, &plan.after, plan.records.clone());
            store.commit(&match commit_creation {
                Some(creation) => commit.with_creation(creation),
                None => commit,
            })?;
            Ok(plan)
        });
        let plan = plan.await?;
        if let Some(creation) = creation {
            state.add_creation(creation);
        }
        self.log_changes(&plan.records, &actor);
        let records = plan.records.clone();
        self.notify_core(state.apply(plan, &actor, now_ms)).await?;
        self.latest.send_replace(state.registry.generation());
        Ok(ChangeOutcome::Applied(records))
    }

    fn log_changes(&self, records: &[Record], actor: &str) {
        for record in records {
            let subject = record.change.subject();
            log::info!(who = actor, generation = record.generation.0; "admin: {subject:?} changed");
            self.known.apply(&record.change);
        }
    }

    /// Sends updates to the core. A change that affects the share of every tenant is sent in batches, and the core
    /// serves requests between two batches.
    async fn notify_core(&self, updates: Vec<TenantUpdate>) -> Result<(), TenantServiceError> {
        let mut updates = updates.into_iter().peekable();
        while updates.peek().is_some() {
            let batch = updates.by_ref().take(MAX_UPDATES_PER_INPUT).collect();
            self.handle.notify(Input::Tenants(batch)).await?;
            tokio::task::yield_now().await;
        }
        Ok(())
    }
}

/// Returns the creation record to store with a change; `None` if the change has no idempotency key. Keys are scoped to
/// the caller's token.
fn creation(request: &ChangeRequest, now_ms: u64) -> Option<Creation> {
    let IdempotencyKey { key, request_digest } = request.key.as_ref()?;
    let change = request.changes.first()?;
    Some(Creation {
        key: format!("{} {key}", request.actor),
        request_digest: request_digest.clone(),
        name: change.subject().name().to_owned(),
        until_ms: now_ms + IDEMPOTENCY_KEY_TTL_MS,
    })
}
