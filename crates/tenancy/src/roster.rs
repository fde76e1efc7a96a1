//! The tenants as requests meet them: each has a slot, by which the rest of the service calls it, with its
//! limits, its token bucket and what refers to it. A slot is given to another tenant only once nothing does.

use crate::{Reason, State, Tenant, TenantId};
use std::collections::HashMap;

/// Advice is never longer than this, nor shorter (us): a bucket with a tiny rate must not turn clients away
/// for an hour, nor one with a great rate bring them back within the same round trip.
const ADVICE_US: (i64, i64) = (50_000, 60_000_000);
/// Advice to clients of a suspended tenant (us): only an operator ends that.
const SUSPENDED_ADVICE_US: i64 = 30_000_000;
/// Weight of one answer in the time that a tenant's requests are open.
const OPEN_WEIGHT: f64 = 0.1;
/// Time that a request is taken to be open before one has ended (us).
const OPEN_FIRST_US: f64 = 500_000.0;

/// The number of a tenant's place.
pub type Slot = usize;

/// What of a request is judged.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRequest<'a> {
    /// Its class.
    pub class: &'a str,
    /// Bytes of its statement.
    pub statement_bytes: usize,
}

/// A refusal for a tenant's sake.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// Why.
    pub reason: Reason,
    /// When to come back, in microseconds; 0 where coming back won't help.
    pub retry_after_us: i64,
}

impl Rejection {
    fn of(reason: Reason) -> Rejection {
        Rejection { reason, retry_after_us: 0 }
    }

    fn later(reason: Reason, us: f64) -> Rejection {
        Rejection { reason, retry_after_us: (us as i64).clamp(ADVICE_US.0, ADVICE_US.1) }
    }
}

/// A token bucket that also promises: each refused client is told of a token of its own, so that those told
/// to come back do not all come for the same one.
#[derive(Debug, Clone, Copy, Default)]
pub struct TokenBucket {
    tokens: f64,
    promised: f64,
    at_us: i64,
}

impl TokenBucket {
    /// A bucket that is full, whatever its depth will be.
    pub fn full() -> TokenBucket {
        TokenBucket { tokens: f64::INFINITY, ..TokenBucket::default() }
    }

    /// Takes a token, or says how long until there is one for this client (us). `rate` is in tokens a second,
    /// `burst` the depth.
    pub fn take(&mut self, now_us: i64, rate: f64, burst: f64) -> Result<(), f64> {
        let gained = (now_us - self.at_us).max(0) as f64 / 1e6 * rate;
        self.at_us = self.at_us.max(now_us);
        self.tokens = (self.tokens + gained).min(burst);
        self.promised = (self.promised - gained).max(0.0);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let until = (1.0 - self.tokens + self.promised) / rate * 1e6;
        // Past the longest advice all are told the same: the promises need no more room than that.
        self.promised = (self.promised + 1.0).min(rate * ADVICE_US.1 as f64 / 1e6);
        Err(until)
    }
}

#[derive(Debug)]
struct Held {
    tenant: Tenant,
    bucket: TokenBucket,
    open: u32,
    attempts: u32,
    open_us: f64,
    refused: [u64; Reason::ALL.len()],
}

/// The tenants under way.
#[derive(Debug, Default)]
pub struct Roster {
    slots: Vec<Option<Held>>,
    free: Vec<Slot>,
    names: HashMap<String, Slot>,
    ids: HashMap<TenantId, Slot>,
    /// Names of removed tenants whose last work is ending, and how many of each.
    leaving: HashMap<String, u32>,
    unknown: u64,
}

impl Roster {
    /// Adds a tenant or takes over what has changed of it; gives its slot. A new bucket is full: nothing of it
    /// has been used. A changed rate keeps the tokens that are there, down to the new burst.
    pub fn set(&mut self, tenant: &Tenant) -> Slot {
        if let Some(slot) = self.ids.get(&tenant.id).copied()
            && let Some(held) = self.slots.get_mut(slot).and_then(Option::as_mut)
        {
            if held.tenant.spec.limits.requests_per_s.is_none() {
                held.bucket = TokenBucket::full();
            }
            held.tenant = tenant.clone();
            return slot;
        }
        let bucket = TokenBucket::full();
        let refused = [0; Reason::ALL.len()];
        let tenant = tenant.clone();
        let (name, id) = (tenant.name.clone(), tenant.id);
        let held = Held { tenant, bucket, open: 0, attempts: 0, open_us: OPEN_FIRST_US, refused };
        let slot = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.slots[slot] = Some(held);
        self.names.insert(name, slot);
        self.ids.insert(id, slot);
        slot
    }

    /// Removes a tenant: nothing new of it is taken, its name is free at once, and what is under way goes on.
    /// Gives its slot where nothing refers to it any more, and the slot is free then.
    pub fn remove(&mut self, id: TenantId) -> Option<Slot> {
        let slot = self.ids.remove(&id)?;
        let held = self.slots.get_mut(slot)?.as_mut()?;
        held.tenant.state = State::Removed;
        let name = held.tenant.name.clone();
        if self.names.get(&name) == Some(&slot) {
            self.names.remove(&name);
        }
        *self.leaving.entry(name).or_default() += 1;
        self.release(slot)
    }

    /// Frees a slot whose tenant is removed and to which nothing refers.
    fn release(&mut self, slot: Slot) -> Option<Slot> {
        let over = |held: &Held| held.tenant.state == State::Removed && held.open == 0 && held.attempts == 0;
        let held = self.slots.get_mut(slot)?.take_if(|held| over(held))?;
        if let Some(count) = self.leaving.get_mut(&held.tenant.name) {
            *count -= 1;
            if *count == 0 {
                self.leaving.remove(&held.tenant.name);
            }
        }
        self.free.push(slot);
        Some(slot)
    }

    fn held(&mut self, slot: Slot) -> Option<&mut Held> {
        self.slots.get_mut(slot).and_then(Option::as_mut)
    }

    /// The slot of a tenant that is there.
    pub fn slot(&self, name: &str) -> Option<Slot> {
        self.names.get(name).copied()
    }

    /// The slot of a tenant that is not removed.
    pub fn slot_of(&self, id: TenantId) -> Option<Slot> {
        self.ids.get(&id).copied()
    }

    /// The tenant of a slot.
    pub fn tenant(&self, slot: Slot) -> Option<&Tenant> {
        Some(&self.slots.get(slot)?.as_ref()?.tenant)
    }

    /// Whether there are no tenants at all: then requests carry none.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty() && self.free.len() == self.slots.len()
    }

    /// Judges a request; one that is taken counts as open until [`Roster::request_closed`]. The order of the checks is
    /// that of how long the client has to stay away, and a request that is refused takes no token.
    pub fn admit(&mut self, now_us: i64, name: &str, ask: &AdmissionRequest) -> Result<Slot, Rejection> {
        let Some(slot) = self.slot(name) else {
            self.unknown += 1;
            let leaving = self.leaving.contains_key(name);
            return Err(Rejection::of(if leaving { Reason::Removed } else { Reason::Unknown }));
        };
        let Some(held) = self.held(slot) else { return Err(Rejection::of(Reason::Unknown)) };
        match held.judge(now_us, ask) {
            Ok(()) => {
                held.open += 1;
                Ok(slot)
            }
            Err(refused) => {
                held.refused[refused.reason.index()] += 1;
                Err(refused)
            }
        }
    }

    /// The greatest time budget of a slot's requests (us).
    pub fn longest_us(&self, slot: Slot) -> Option<i64> {
        let ms = self.tenant(slot)?.spec.limits.time_budget_ms?;
        Some(i64::try_from(ms).unwrap_or(i64::MAX).saturating_mul(1000))
    }

    /// Judges a result by its bytes; one that is too long counts as refused.
    pub fn check_result(&mut self, slot: Slot, bytes: usize) -> Result<(), Rejection> {
        let Some(held) = self.held(slot) else { return Ok(()) };
        if held.tenant.spec.limits.result_bytes.is_none_or(|most| bytes as u64 <= most) {
            return Ok(());
        }
        held.refused[Reason::ResultBytes.index()] += 1;
        Err(Rejection::of(Reason::ResultBytes))
    }

    /// A request that was taken has its answer, or its client left, after it was open for so long. Gives the
    /// slot where that was the last that referred to a removed tenant.
    pub fn request_closed(&mut self, slot: Slot, open_us: i64) -> Option<Slot> {
        let held = self.held(slot)?;
        held.open = held.open.saturating_sub(1);
        held.open_us += OPEN_WEIGHT * (open_us.max(0) as f64 - held.open_us);
        self.release(slot)
    }

    /// An attempt for a request of this slot was started.
    pub fn attempt_started(&mut self, slot: Slot) {
        if let Some(held) = self.held(slot) {
            held.attempts += 1;
        }
    }

    /// It has ended; gives the slot where that was the last that referred to a removed tenant.
    pub fn attempt_ended(&mut self, slot: Slot) -> Option<Slot> {
        let held = self.held(slot)?;
        held.attempts = held.attempts.saturating_sub(1);
        self.release(slot)
    }

    /// Requests of a slot that are open, and attempts that are out.
    pub fn in_flight(&self, slot: Slot) -> (u32, u32) {
        let held = self.slots.get(slot).and_then(Option::as_ref);
        held.map_or((0, 0), |held| (held.open, held.attempts))
    }

    /// Requests of a slot that were refused, by reason, where any were.
    pub fn refusals(&self, slot: Slot) -> impl Iterator<Item = (Reason, u64)> {
        let held = self.slots.get(slot).and_then(Option::as_ref);
        held.into_iter().flat_map(|held| {
            let counts = Reason::ALL.iter().copied().zip(held.refused);
            counts.filter(|(_, count)| *count > 0)
        })
    }

    /// The tenants under way, with their slots; removed ones whose last work is ending among them.
    pub fn tenants(&self) -> impl Iterator<Item = (Slot, &Tenant)> {
        let held = self.slots.iter().enumerate();
        held.filter_map(|(slot, held)| Some((slot, &held.as_ref()?.tenant)))
    }

    /// Requests refused because they named no tenant that is there.
    pub fn unknown(&self) -> u64 {
        self.unknown
    }

    /// Slots in use, those of removed tenants among them.
    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }
}

impl Held {
    fn judge(&mut self, now_us: i64, ask: &AdmissionRequest) -> Result<(), Rejection> {
        let limits = &self.tenant.spec.limits;
        match self.tenant.state {
            State::Active => {}
            State::Suspended => return Err(Rejection::later(Reason::Suspended, SUSPENDED_ADVICE_US as f64)),
            State::Draining => return Err(Rejection::of(Reason::Draining)),
            State::Removed => return Err(Rejection::of(Reason::Removed)),
        }
        if limits.classes.as_ref().is_some_and(|classes| !classes.contains(ask.class)) {
            return Err(Rejection::of(Reason::Class));
        }
        if limits.statement_bytes.is_some_and(|most| ask.statement_bytes as u64 > most) {
            return Err(Rejection::of(Reason::StatementBytes));
        }
        if limits.open_requests.is_some_and(|most| self.open >= most) {
            // One place comes free in the time that a request is open, over the places.
            return Err(Rejection::later(Reason::Open, self.open_us / f64::from(self.open.max(1))));
        }
        let Some(rate) = limits.requests_per_s else { return Ok(()) };
        let burst = limits.burst.unwrap_or(rate).max(1.0);
        self.bucket.take(now_us, rate, burst).map_err(|us| Rejection::later(Reason::Rate, us))
    }
}
