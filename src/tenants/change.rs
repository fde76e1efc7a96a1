//! Changes of tenants and groups.

use super::{TenantService, TenantServiceError, off_thread};
use crate::core::{Input, TenantUpdate};
use sanddyke_store::{Commit, Creation};
use sanddyke_tenancy::{Change, Generation, Plan, Record, Subject};
use std::sync::Arc;

/// Updates that the core takes in one turn.
const UPDATES_PER_TURN: usize = 256;
/// How long an idempotency key is valid: a day.
const KEY_VALID_MS: u64 = 86_400_000;

/// A change, by whom, and under which condition.
#[derive(Debug, Clone)]
pub struct ChangeRequest {
    /// The id of the token that requests it.
    pub actor: String,
    /// The changes, made all or none.
    pub changes: Vec<Change>,
    /// Make them only where this holds.
    pub precondition: Option<Precondition>,
    /// The idempotency key of a creation.
    pub key: Option<IdempotencyKey>,
}

/// A subject that has to be of a generation.
#[derive(Debug, Clone)]
pub struct Precondition {
    /// The tenant or group.
    pub subject: Subject,
    /// The generation that the caller has seen.
    pub generation: Generation,
}

/// The key of a creation, and what was requested with it.
#[derive(Debug, Clone)]
pub struct IdempotencyKey {
    /// The key as the caller sent it.
    pub key: String,
    /// A digest of the request.
    pub request_digest: String,
}

/// The result of a change.
#[derive(Debug)]
pub enum ChangeOutcome {
    /// It was made now.
    Applied(Vec<Record>),
    /// It had been made before with the same key: the name that was created.
    AlreadyApplied(String),
}

impl TenantService {
    /// What a change would do.
    ///
    /// # Errors
    /// The registry would reject it.
    pub async fn plan(&self, request: &ChangeRequest) -> Result<Plan, TenantServiceError> {
        let registry = self.read(|state| state.registry.clone()).await;
        let request = request.clone();
        off_thread(move || {
            if let Some(Precondition { subject, generation }) = &request.precondition {
                registry.check_generation(subject, Some(*generation))?;
            }
            Ok(registry.plan(&request.changes)?)
        })
        .await
    }

    /// Makes a change. It is completed also when the caller stops waiting for it: what is on the disk is always what the
    /// core is notified of.
    ///
    /// # Errors
    /// Nothing is changed.
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
        // Planning takes some ms where there are thousands of tenants, as long as the disk: neither runs on the thread
        // that serves requests.
        let registry = state.registry.clone();
        let (commit_actor, commit_creation) = (actor.clone(), creation.clone());
        let plan = off_thread(move || {
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

    /// Notifies the core. A change that moves the share of every tenant goes in parts, between which requests are
    /// served.
    async fn notify_core(&self, updates: Vec<TenantUpdate>) -> Result<(), TenantServiceError> {
        let mut updates = updates.into_iter().peekable();
        while updates.peek().is_some() {
            let part = updates.by_ref().take(UPDATES_PER_TURN).collect();
            self.handle.notify(Input::Tenants(part)).await?;
            tokio::task::yield_now().await;
        }
        Ok(())
    }
}

/// The creation to be stored with a change that has an idempotency key. Each token has keys of its own.
fn creation(request: &ChangeRequest, now_ms: u64) -> Option<Creation> {
    let IdempotencyKey { key, request_digest } = request.key.as_ref()?;
    let change = request.changes.first()?;
    Some(Creation {
        key: format!("{} {key}", request.actor),
        request_digest: request_digest.clone(),
        name: change.subject().name().to_owned(),
        until_ms: now_ms + KEY_VALID_MS,
    })
}
