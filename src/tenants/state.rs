//! The state of the tenant service: tenants, groups, tokens, and recent changes.

use crate::core::TenantUpdate;
use sanddyke_authorization::Tokens;
use sanddyke_store::{AuditAction, AuditEntry, Creation};
use sanddyke_tenancy::{Generation, Plan, Record, Registry, Tenant, TenantId};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

/// Recent changes in memory: a watcher can resume from these without listing anew.
pub(super) const MAX_RECENT: usize = 4096;

/// A change as watchers see it.
#[derive(Debug, Clone)]
pub struct ChangeEvent {
    /// When it was made (Unix time, ms).
    pub at_ms: u64,
    /// The id of the token by which it was made.
    pub actor: String,
    /// The change.
    pub record: Record,
}

/// The state; see [`TenantService::read`](super::TenantService::read).
#[derive(Debug, Default)]
pub struct TenantState {
    /// Tenants and groups.
    pub registry: Arc<Registry>,
    /// Tokens.
    pub tokens: Tokens,
    /// The effective share of each tenant.
    pub shares: BTreeMap<TenantId, f64>,
    creations: HashMap<String, Creation>,
    /// Keys of creations, the oldest first.
    creation_order: VecDeque<String>,
    /// Recent changes, the oldest first.
    recent: VecDeque<ChangeEvent>,
}

impl TenantState {
    fn group_id(&self, tenant: &Tenant) -> Option<u64> {
        let name = tenant.spec.group.as_ref()?;
        self.registry.group(name).map(|group| group.id)
    }

    /// The update that sets a tenant in the core; `None` where it does not exist.
    pub(super) fn update_of(&self, id: TenantId) -> Option<TenantUpdate> {
        let tenant = self.registry.by_id(id)?;
        Some(TenantUpdate::Set {
            tenant: Box::new(tenant.clone()),
            share: self.shares.get(&id).copied().unwrap_or(0.0),
            group: self.group_id(tenant),
        })
    }

    /// Applies a planned change. Returns the updates for the core, removals first: a name that the same change removes
    /// and adds is the new tenant's.
    pub(super) fn apply(&mut self, plan: Plan, actor: &str, at_ms: u64) -> Vec<TenantUpdate> {
        let old_registry = std::mem::replace(&mut self.registry, Arc::new(plan.after));
        let old_shares = std::mem::replace(&mut self.shares, plan.shares);
        // Freeing some thousand tenants takes a while.
        tokio::task::spawn_blocking(move || drop((old_registry, old_shares)));
        let mut changed: Vec<TenantId> = plan.records.iter().filter_map(|record| record.tenant).collect();
        changed.sort_unstable();
        changed.dedup();
        let removed = changed.iter().filter(|id| self.registry.by_id(**id).is_none());
        let mut updates: Vec<TenantUpdate> = removed.map(|id| TenantUpdate::Removed(*id)).collect();
        updates.extend(changed.iter().filter_map(|id| self.update_of(*id)));
        let moved = plan.share_changes.into_iter().filter(|(id, _)| changed.binary_search(id).is_err());
        updates.extend(moved.map(|(id, (_, share))| TenantUpdate::Share { id, share }));
        self.add_recent(plan.records, actor, at_ms);
        updates
    }

    fn add_recent(&mut self, records: Vec<Record>, actor: &str, at_ms: u64) {
        let event = |record| ChangeEvent { at_ms, actor: actor.to_owned(), record };
        self.recent.extend(records.into_iter().map(event));
        let excess = self.recent.len().saturating_sub(MAX_RECENT);
        self.recent.drain(..excess);
    }

    /// Restores recent changes from the audit trail, the newest first: watchers resume across a restart.
    pub(super) fn restore_recent(&mut self, entries: Vec<AuditEntry>) {
        for entry in entries {
            if let AuditAction::Registry { record } = entry.what {
                let event = ChangeEvent { at_ms: entry.at_ms, actor: entry.who, record: *record };
                self.recent.push_front(event);
            }
        }
    }

    /// The creation with an idempotency key that has not expired.
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

    /// Changes after a generation, the oldest first; `None` where some of them are no longer in memory.
    pub fn since(&self, after: Generation) -> Option<impl Iterator<Item = &ChangeEvent>> {
        let next = self.registry.generation().0 + 1;
        let first = self.recent.front().map_or(next, |event| event.record.generation.0);
        let is_covered = after.0 + 1 >= first && after <= self.registry.generation();
        is_covered.then(|| self.recent.iter().filter(move |event| event.record.generation > after))
    }
}
