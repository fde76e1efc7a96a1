//! In-memory state of the tenant service: tenants, groups, tokens, idempotency keys and recent changes.

use crate::core::TenantUpdate;
use sanddyke_authorization::Tokens;
use sanddyke_store::{AuditAction, AuditEntry, Creation};
use sanddyke_tenancy::{Generation, Plan, Record, Registry, Tenant, TenantId};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

/// Number of recent changes in memory. A watcher that is further behind has to list the tenants again.
pub(super) const MAX_RECENT_CHANGES: usize = 4096;

/// A change, as reported to watchers.
#[derive(Debug, Clone)]
pub struct ChangeEvent {
    /// Time of the change (Unix time, ms).
    pub at_ms: u64,
    /// Id of the token of the caller, or [`SETTINGS_ACTOR`](super::SETTINGS_ACTOR).
    pub actor: String,
    /// What was changed, with its generation.
    pub record: Record,
}

/// The state of the tenant service. Read with [`TenantService::read`](super::TenantService::read).
#[derive(Debug, Default)]
pub struct TenantState {
    /// Tenants and groups, with the generation of the last change.
    pub registry: Arc<Registry>,
    /// API tokens, without the root operator's, which is configured as a file.
    pub tokens: Tokens,
    /// Effective share of each tenant.
    pub shares: BTreeMap<TenantId, f64>,
    creations: HashMap<String, Creation>,
    /// Idempotency keys of `creations`, oldest first. The oldest is evicted first.
    creation_order: VecDeque<String>,
    /// The last [`MAX_RECENT_CHANGES`] changes, oldest first.
    recent: VecDeque<ChangeEvent>,
}

impl TenantState {
    fn group_id(&self, tenant: &Tenant) -> Option<u64> {
        let name = tenant.spec.group.as_ref()?;
        self.registry.group(name).map(|group| group.id)
    }

    /// Returns the update that sets a tenant in the core; `None` if the tenant does not exist.
    pub(super) fn tenant_update(&self, id: TenantId) -> Option<TenantUpdate> {
        let tenant = self.registry.by_id(id)?;
        Some(TenantUpdate::Set {
            tenant: Box::new(tenant.clone()),
            share: self.shares.get(&id).copied().unwrap_or(0.0),
            group: self.group_id(tenant),
        })
    }

    /// Applies a planned change and returns the updates for the core. Removals come first, so that a name which one
    /// change removes and creates again refers to the new tenant.
    pub(super) fn apply(&mut self, plan: Plan, actor: &str, at_ms: u64) -> Vec<TenantUpdate> {
        let old_registry = std::mem::replace(&mut self.registry, Arc::new(plan.after));
        let old_shares = std::mem::replace(&mut self.shares, plan.shares);
        // Freeing thousands of tenants is slow, so it happens on a blocking thread.
        tokio::task::spawn_blocking(move || drop((old_registry, old_shares)));
        let mut changed: Vec<TenantId> = plan.records.iter().filter_map(|record| record.tenant).collect();
        changed.sort_unstable();
        changed.dedup();
        let removed = changed.iter().filter(|id| self.registry.by_id(**id).is_none());
        let mut updates: Vec<TenantUpdate> = removed.map(|id| TenantUpdate::Removed(*id)).collect();
        updates.extend(changed.iter().filter_map(|id| self.tenant_update(*id)));
        let moved = plan.share_changes.into_iter().filter(|(id, _)| changed.binary_search(id).is_err());
        updates.extend(moved.map(|(id, (_, share))| TenantUpdate::Share { id, share }));
        self.record_recent(plan.records, actor, at_ms);
        updates
    }

    fn record_recent(&mut self, records: Vec<Record>, actor: &str, at_ms: u64) {
        let event = |record| ChangeEvent { at_ms, actor: actor.to_owned(), record };
        self.recent.extend(records.into_iter().map(event));
        let excess = self.recent.len().saturating_sub(MAX_RECENT_CHANGES);
        self.recent.drain(..excess);
    }

    /// Restores the recent changes from audit entries, newest first, so that watchers can resume after a restart.
    pub(super) fn restore_recent(&mut self, entries: Vec<AuditEntry>) {
        for entry in entries {
            if let AuditAction::Registry { record } = entry.what {
                let event = ChangeEvent { at_ms: entry.at_ms, actor: entry.who, record: *record };
                self.recent.push_front(event);
            }
        }
    }

    /// Returns the creation with an idempotency key; `None` if there is none or the key has expired.
    pub(super) fn creation(&self, key: &str, now_ms: u64) -> Option<&Creation> {
        self.creations.get(key).filter(|creation| now_ms < creation.until_ms)
    }

    pub(super) fn add_creation(&mut self, creation: Creation) {
        self.creation_order.push_back(creation.key.clone());
        self.creations.insert(creation.key.clone(), creation);
        while self.creations.len() as u64 > sanddyke_store::MAX_CREATION_KEYS {
            let Some(oldest) = self.creation_order.pop_front() else { break };
            self.creations.remove(&oldest);
        }
    }

    /// Returns the changes after a generation, oldest first; `None` if some of them are no longer in memory or the
    /// generation does not exist yet.
    pub fn changes_after(&self, after: Generation) -> Option<impl Iterator<Item = &ChangeEvent>> {
        let next = self.registry.generation().0 + 1;
        let first = self.recent.front().map_or(next, |event| event.record.generation.0);
        let is_covered = after.0 + 1 >= first && after <= self.registry.generation();
        is_covered.then(|| self.recent.iter().filter(move |event| event.record.generation > after))
    }
}
