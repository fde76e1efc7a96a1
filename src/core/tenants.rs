//! The tenants from the settings or the store, and their shares.

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
    /// The share that the scheduler uses. For a suspended tenant it is the last share above 0, so that requests
    /// that are already queued keep their order.
    scheduler_share: f64,
    /// The id of the tenant's group; `None` if it is in no group.
    group: Option<u64>,
}

impl TenantShare {
    /// Returns the share of a tenant from the settings.
    pub(super) fn new(settings: &TenantSettings) -> TenantShare {
        TenantShare { effective: settings.share, scheduler_share: settings.share, group: None }
    }
}

/// Returns the roster of the tenants from the settings. Their ids count from 1.
pub(super) fn roster(service_settings: &ServiceSettings) -> Roster {
    let mut roster = Roster::default();
    for (index, name) in service_settings.tenants.iter().enumerate() {
        let settings = service_settings.settings.tenants[index];
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
    /// Applies a change of a tenant. The scheduler is notified of a removal only once no request and no attempt
    /// refers to the tenant's slot, so that requests in progress are completed.
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
                self.delete_released_tenant(now, released_slot, out);
            }
        }
    }

    fn set_share(&mut self, now: Micros, slot: Slot, effective: f64, out: &mut Vec<Command>) {
        let Some(share) = self.tenant_shares.get_mut(slot) else { return };
        let Some(tenant) = self.roster.tenant(slot) else { return };
        share.effective = effective;
        if effective > 0.0 {
            share.scheduler_share = effective;
        }
        let settings = TenantSettings {
            share: share.scheduler_share,
            quota_per_s: tenant.spec.quota_rps,
            group: share.group,
        };
        self.notify_scheduler(
            now,
            Event::Tenant { tenant: crate::TenantId(slot), settings: Some(settings) },
            out,
        );
    }

    /// Deletes a removed tenant whose slot the roster has released; does nothing if `slot` is `None`.
    pub(super) fn delete_released_tenant(&mut self, now: Micros, slot: Option<Slot>, out: &mut Vec<Command>) {
        let Some(slot) = slot else { return };
        self.accounting.remove_tenant(slot);
        self.tenant_shares[slot] = TenantShare::default();
        self.notify_scheduler(now, Event::Tenant { tenant: crate::TenantId(slot), settings: None }, out);
    }
}
