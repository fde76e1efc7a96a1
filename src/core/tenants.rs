//! The tenants of the settings or the store, and their shares.

use super::{Command, Core, TenantUpdate};
use crate::clock::Micros;
use crate::decision::{Event, TenantSettings};
use crate::settings::ServiceSettings;
use sanddyke_tenancy::{Generation, Roster, Slot, State, Tenant, TenantId, TenantSpec};

/// A tenant's share of the engines.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct TenantShare {
    /// The effective share; 0 while the tenant is suspended.
    pub(super) effective: f64,
    /// The share that the decision module uses: of a suspended tenant, the one from before, so that its queued
    /// requests keep their turns.
    in_gateway: f64,
    /// The id of its group.
    group: Option<u64>,
}

impl TenantShare {
    /// The share of a tenant of the settings.
    pub(super) fn new(settings: &TenantSettings) -> TenantShare {
        TenantShare { effective: settings.share, in_gateway: settings.share, group: None }
    }
}

/// The roster of the settings' tenants; their ids count from 1.
pub(super) fn roster(front: &ServiceSettings) -> Roster {
    let mut roster = Roster::default();
    for (index, name) in front.tenants.iter().enumerate() {
        let settings = front.settings.tenants[index];
        roster.set(&Tenant {
            id: TenantId(index as u64 + 1),
            name: name.clone(),
            spec: TenantSpec {
                weight: settings.share,
                quota_rps: settings.quota_per_s,
                ..TenantSpec::default()
            },
            state: State::Active,
            generation: Generation(0),
        });
    }
    roster
}

impl Core {
    /// Takes over a change of a tenant. The decision module is notified of a removal only once no request and no
    /// attempt refers to the tenant's slot: until then it serves what is in progress.
    pub(super) fn update_tenant(&mut self, now: Micros, update: TenantUpdate, out: &mut Vec<Command>) {
        match update {
            TenantUpdate::Set { tenant, share, group } => {
                let slot = self.roster.set(&tenant);
                let slots = self.tenant_shares.len().max(slot + 1);
                self.tenant_shares.resize(slots, TenantShare::default());
                self.tenant_shares[slot].group = group;
                self.set_share(now, slot, share, out);
            }
            TenantUpdate::Share { id, share } => {
                if let Some(slot) = self.roster.slot_of(id) {
                    self.set_share(now, slot, share, out);
                }
            }
            TenantUpdate::Removed(id) => {
                let released_slot = self.roster.remove(id);
                self.forget_tenant(now, released_slot, out);
            }
        }
    }

    fn set_share(&mut self, now: Micros, slot: Slot, effective: f64, out: &mut Vec<Command>) {
        let Some(share) = self.tenant_shares.get_mut(slot) else { return };
        let Some(tenant) = self.roster.tenant(slot) else { return };
        share.effective = effective;
        if effective > 0.0 {
            share.in_gateway = effective;
        }
        let settings = TenantSettings {
            share: share.in_gateway,
            quota_per_s: tenant.spec.quota_rps,
            group: share.group,
        };
        self.decide(now, Event::Tenant { tenant: crate::TenantId(slot), settings: Some(settings) }, out);
    }

    /// Drops a removed tenant whose slot the roster has released.
    pub(super) fn forget_tenant(&mut self, now: Micros, slot: Option<Slot>, out: &mut Vec<Command>) {
        let Some(slot) = slot else { return };
        self.accounting.forget(slot);
        self.tenant_shares[slot] = TenantShare::default();
        self.decide(now, Event::Tenant { tenant: crate::TenantId(slot), settings: None }, out);
    }
}
