//! The tenants as the request path uses them: admission by state and limits, and counts of requests and attempts.
//!
//! Each tenant has a slot, by whose number the rest of the service refers to it. The slot holds the tenant's limits, its
//! token bucket and the number of requests and attempts that refer to it. A slot is reused for another tenant only when
//! nothing refers to it.

use crate::{Reason, Rejection, State, Tenant, TenantId, TokenBucket};
use std::collections::HashMap;

/// Retry advice for clients of a suspended tenant. It is long because only an operator ends the suspension.
const SUSPENDED_RETRY_AFTER_US: i64 = 30_000_000;
/// Weight of one closed request in the exponential moving average of the time that a tenant's requests are open.
const OPEN_TIME_WEIGHT: f64 = 0.1;
/// Initial value of that average, used until a request of the tenant is closed.
const INITIAL_OPEN_TIME_US: f64 = 500_000.0;

/// The index of a tenant's slot in the [`Roster`].
pub type Slot = usize;

/// The properties of a request on which its admission depends.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRequest<'a> {
    /// The name of the request's class.
    pub class: &'a str,
    /// Length of the statement in bytes.
    pub statement_bytes: usize,
}

/// Number of requests and attempts that refer to a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SlotUsage {
    /// Requests that are admitted and not closed.
    pub open_requests: u32,
    /// Attempts that were started and have not ended.
    pub attempts: u32,
}

/// The contents of a slot in use.
#[derive(Debug)]
struct Entry {
    tenant: Tenant,
    bucket: TokenBucket,
    usage: SlotUsage,
    /// Moving average of the time that a request is open.
    open_time_us: f64,
    /// Number of rejected requests by [`Reason::index`].
    rejections: [u64; Reason::ALL.len()],
}

/// The tenants by slot.
#[derive(Debug, Default)]
pub struct Roster {
    slots: Vec<Option<Entry>>,
    free: Vec<Slot>,
    names: HashMap<String, Slot>,
    ids: HashMap<TenantId, Slot>,
    /// For each name, the number of removed tenants that still have requests or attempts.
    removed_names: HashMap<String, u32>,
    unknown_tenants: u64,
}

impl Roster {
    /// Adds a tenant or applies its changes, and returns its slot. A new tenant starts with a full bucket. When the rate
    /// changes, the bucket retains its tokens up to the new burst.
    pub fn set(&mut self, tenant: &Tenant) -> Slot {
        if let Some(slot) = self.ids.get(&tenant.id).copied()
            && let Some(entry) = self.entry(slot)
        {
            if entry.tenant.spec.limits.requests_per_s.is_none() {
                entry.bucket = TokenBucket::full();
            }
            entry.tenant = tenant.clone();
            return slot;
        }
        let slot = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.slots[slot] = Some(Entry::new(tenant.clone()));
        self.names.insert(tenant.name.clone(), slot);
        self.ids.insert(tenant.id, slot);
        slot
    }

    /// Removes a tenant. New requests of it are rejected, its name can be reused immediately, and its open requests
    /// continue. Returns its slot if nothing refers to it; the slot is then free.
    pub fn remove(&mut self, id: TenantId) -> Option<Slot> {
        let slot = self.ids.remove(&id)?;
        let entry = self.entry(slot)?;
        entry.tenant.state = State::Removed;
        let name = entry.tenant.name.clone();
        if self.names.get(&name) == Some(&slot) {
            self.names.remove(&name);
        }
        *self.removed_names.entry(name).or_default() += 1;
        self.release(slot)
    }

    /// Frees a slot if its tenant is removed and nothing refers to it. Returns the slot if it was freed.
    fn release(&mut self, slot: Slot) -> Option<Slot> {
        let released = self.slots.get_mut(slot)?.take_if(|entry| entry.is_released())?;
        if let Some(count) = self.removed_names.get_mut(&released.tenant.name) {
            *count -= 1;
            if *count == 0 {
                self.removed_names.remove(&released.tenant.name);
            }
        }
        self.free.push(slot);
        Some(slot)
    }

    fn entry(&mut self, slot: Slot) -> Option<&mut Entry> {
        self.slots.get_mut(slot).and_then(Option::as_mut)
    }

    /// The slot of the tenant that has this name and is not removed.
    pub fn slot(&self, name: &str) -> Option<Slot> {
        self.names.get(name).copied()
    }

    /// The slot of a tenant by its id; `None` if it is removed.
    pub fn slot_of(&self, id: TenantId) -> Option<Slot> {
        self.ids.get(&id).copied()
    }

    /// The tenant in a slot; `None` if the slot is free.
    pub fn tenant(&self, slot: Slot) -> Option<&Tenant> {
        Some(&self.slots.get(slot)?.as_ref()?.tenant)
    }

    /// Whether all slots are free. The service then runs without tenants, and requests name none.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty() && self.free.len() == self.slots.len()
    }

    /// Admits a request of a tenant. It counts as open until [`Roster::request_closed`].
    ///
    /// # Errors
    /// The request is rejected, and takes no token. If several reasons apply, the one for which the client has to wait
    /// longest is returned.
    pub fn admit(
        &mut self,
        now_us: i64,
        tenant: &str,
        request: &AdmissionRequest,
    ) -> Result<Slot, Rejection> {
        let Some(slot) = self.slot(tenant) else {
            self.unknown_tenants += 1;
            let was_removed = self.removed_names.contains_key(tenant);
            return Err(Rejection::permanent(if was_removed { Reason::Removed } else { Reason::Unknown }));
        };
        let Some(entry) = self.entry(slot) else { return Err(Rejection::permanent(Reason::Unknown)) };
        match entry.check(now_us, request) {
            Ok(()) => {
                entry.usage.open_requests += 1;
                Ok(slot)
            }
            Err(rejection) => {
                entry.rejections[rejection.reason.index()] += 1;
                Err(rejection)
            }
        }
    }

    /// The longest time budget of a request of this slot, in microseconds; `None` if there is no limit.
    pub fn max_time_budget_us(&self, slot: Slot) -> Option<i64> {
        let ms = self.tenant(slot)?.spec.limits.time_budget_ms?;
        Some(i64::try_from(ms).unwrap_or(i64::MAX).saturating_mul(1000))
    }

    /// Checks the length of a result in bytes against the tenant's limit.
    ///
    /// # Errors
    /// The result is too long. It is counted as a rejection.
    pub fn check_result(&mut self, slot: Slot, bytes: usize) -> Result<(), Rejection> {
        let Some(entry) = self.entry(slot) else { return Ok(()) };
        if entry.tenant.spec.limits.result_bytes.is_none_or(|limit| bytes as u64 <= limit) {
            return Ok(());
        }
        entry.rejections[Reason::ResultBytes.index()] += 1;
        Err(Rejection::permanent(Reason::ResultBytes))
    }

    /// Records that an admitted request has its final answer or that its client disconnected. `open_us` is the time that
    /// the request was open. Returns the slot if it was freed, because this was the last reference to a removed tenant.
    pub fn request_closed(&mut self, slot: Slot, open_us: i64) -> Option<Slot> {
        let entry = self.entry(slot)?;
        entry.usage.open_requests = entry.usage.open_requests.saturating_sub(1);
        entry.open_time_us += OPEN_TIME_WEIGHT * (open_us.max(0) as f64 - entry.open_time_us);
        self.release(slot)
    }

    /// Records that an attempt for a request of this slot was started.
    pub fn attempt_started(&mut self, slot: Slot) {
        if let Some(entry) = self.entry(slot) {
            entry.usage.attempts += 1;
        }
    }

    /// Records that an attempt has ended. Returns the slot if it was freed, because this was the last reference to a
    /// removed tenant.
    pub fn attempt_ended(&mut self, slot: Slot) -> Option<Slot> {
        let entry = self.entry(slot)?;
        entry.usage.attempts = entry.usage.attempts.saturating_sub(1);
        self.release(slot)
    }

    /// Number of requests and attempts that refer to a slot; zeros for a free slot.
    pub fn usage(&self, slot: Slot) -> SlotUsage {
        let entry = self.slots.get(slot).and_then(Option::as_ref);
        entry.map_or(SlotUsage::default(), |entry| entry.usage)
    }

    /// Number of rejected requests of a slot by reason, without the reasons that did not occur.
    pub fn rejections(&self, slot: Slot) -> impl Iterator<Item = (Reason, u64)> {
        let entry = self.slots.get(slot).and_then(Option::as_ref);
        let counts = entry.map_or([0; Reason::ALL.len()], |entry| entry.rejections);
        Reason::ALL.iter().copied().zip(counts).filter(|(_, count)| *count > 0)
    }

    /// The tenants with their slots, including removed tenants that still have requests or attempts.
    pub fn tenants(&self) -> impl Iterator<Item = (Slot, &Tenant)> {
        let slots = self.slots.iter().enumerate();
        slots.filter_map(|(slot, entry)| Some((slot, &entry.as_ref()?.tenant)))
    }

    /// Number of requests that named no known tenant.
    pub fn unknown_tenants(&self) -> u64 {
        self.unknown_tenants
    }

    /// Number of slots in use, including those of removed tenants.
    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }
}

impl Entry {
    fn new(tenant: Tenant) -> Entry {
        Entry {
            tenant,
            bucket: TokenBucket::full(),
            usage: SlotUsage::default(),
            open_time_us: INITIAL_OPEN_TIME_US,
            rejections: [0; Reason::ALL.len()],
        }
    }

    /// Whether the tenant is removed and no request or attempt refers to it.
    fn is_released(&self) -> bool {
        self.tenant.state == State::Removed && self.usage == SlotUsage::default()
    }

    fn check(&mut self, now_us: i64, request: &AdmissionRequest) -> Result<(), Rejection> {
        self.check_state()?;
        let limits = &self.tenant.spec.limits;
        if limits.classes.as_ref().is_some_and(|classes| !classes.contains(request.class)) {
            return Err(Rejection::permanent(Reason::Class));
        }
        if limits.statement_bytes.is_some_and(|limit| request.statement_bytes as u64 > limit) {
            return Err(Rejection::permanent(Reason::StatementBytes));
        }
        let open = self.usage.open_requests;
        if limits.open_requests.is_some_and(|limit| open >= limit) {
            // With N requests open, one is expected to be closed every 1/N of the mean open time.
            let retry_after_us = self.open_time_us / f64::from(open.max(1));
            return Err(Rejection::temporary(Reason::Open, retry_after_us));
        }
        let Some(rate) = limits.requests_per_s else { return Ok(()) };
        let burst = limits.burst.unwrap_or(rate).max(1.0);
        let taken = self.bucket.take(now_us, rate, burst);
        taken.map_err(|wait_us| Rejection::temporary(Reason::Rate, wait_us))
    }

    fn check_state(&self) -> Result<(), Rejection> {
        match self.tenant.state {
            State::Active => Ok(()),
            State::Suspended => Err(Rejection::temporary(Reason::Suspended, SUSPENDED_RETRY_AFTER_US as f64)),
            State::Draining => Err(Rejection::permanent(Reason::Draining)),
            State::Removed => Err(Rejection::permanent(Reason::Removed)),
        }
    }
}
