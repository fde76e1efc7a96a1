//! Dispatch: assigns queued requests to free slots. Alpha divides the slots between the sensitive requests in
//! order of due time and the best-effort requests in fair rotation among tenants. If one side has no request
//! that can be sent, the other side gets the slot.

use super::scheduler::Scheduler;
use super::types::RequestId;
use sanddyke_tenancy::Cursor;

/// Maximum queued requests of one queue that are tried for one free slot.
const MAX_CANDIDATES: usize = 8;
/// Maximum queued requests of one tenant that are examined to find these candidates.
const MAX_SCANNED: usize = 64;
/// Requests of one class without an engine with capacity, in one round, after which no more of the class are
/// tried.
pub(super) const MAX_PLACEMENT_FAILURES: usize = 64;

/// The side that gets a free slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Side {
    /// Requests of sensitive classes, in order of due time.
    Sensitive,
    /// All other requests, in fair rotation among tenants.
    BestEffort,
}

impl Scheduler {
    /// Fills free slots until neither side can send.
    pub(super) fn dispatch(&mut self) {
        for class in &mut self.classes {
            class.placement_failures = 0;
        }
        let mut sensitive_can_send = !self.sensitive_queue.is_empty();
        let mut best_effort_can_send = !self.best_effort_queue.is_empty();
        while sensitive_can_send || best_effort_can_send {
            let side = match self.sample_side() {
                Side::Sensitive if !sensitive_can_send => Side::BestEffort,
                Side::BestEffort if !best_effort_can_send => Side::Sensitive,
                sampled => sampled,
            };
            match side {
                Side::Sensitive => sensitive_can_send = self.send_earliest_due(),
                Side::BestEffort => best_effort_can_send = self.send_next_in_rotation(),
            }
        }
    }

    /// Samples the side of the next free slot with probability alpha.
    fn sample_side(&mut self) -> Side {
        if self.rng.rand_float() < self.alpha.sensitive_probability() {
            Side::Sensitive
        } else {
            Side::BestEffort
        }
    }

    /// Sends the first sensitive request, in order of due time, that can be sent. Returns false if none can.
    fn send_earliest_due(&mut self) -> bool {
        let queued = self.sensitive_queue.iter().take(MAX_CANDIDATES);
        let candidates: Vec<RequestId> = queued.map(|(_, id)| *id).collect();
        candidates.into_iter().any(|id| self.try_send(id))
    }

    /// Sends a best-effort request of the tenant with the least work sent relative to its share, among the
    /// tenants that have a request that can be sent. Returns false if there is none. An idle tenant does not
    /// accumulate turns.
    fn send_next_in_rotation(&mut self) -> bool {
        let mut cursor: Option<Cursor> = None;
        while let Some(next) = self.best_effort_queue.next(cursor)
            && self.may_place_best_effort()
        {
            let tenant = next.member();
            let candidates = self.candidates_of(tenant);
            if let Some(sent) = candidates.into_iter().find(|id| self.try_send(*id)) {
                self.best_effort_queue.charge(tenant, self.requests[&sent].work_ms);
                return true;
            }
            cursor = Some(next);
        }
        false
    }

    /// The first queued requests of a tenant. Loads whose data set is locked on every engine are skipped:
    /// they would block all requests behind them.
    fn candidates_of(&self, tenant: usize) -> Vec<RequestId> {
        let queued = self.best_effort_queue.waiting(tenant).take(MAX_SCANNED).map(RequestId);
        let unlocked = queued.filter(|id| {
            let lock = self.requests[id].data_set_lock;
            !lock.is_some_and(|data_set| self.is_data_set_locked_everywhere(data_set))
        });
        unlocked.take(MAX_CANDIDATES).collect()
    }

    /// Whether a class with queued best-effort requests may still find an engine in this round.
    fn may_place_best_effort(&self) -> bool {
        let mut classes = self.classes.iter().enumerate();
        classes.any(|(index, class)| class.queued > 0 && self.may_place_class(index))
    }

    /// Whether requests of this class may still find an engine in this round.
    pub(super) fn may_place_class(&self, class: usize) -> bool {
        let tries_left = self.classes[class].placement_failures < MAX_PLACEMENT_FAILURES;
        tries_left && self.engine_sampler.remaining(class) > 0
    }

    /// Inserts a request into the queue of its side.
    pub(super) fn enqueue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        if self.settings.classes[request.class].is_sensitive() {
            self.sensitive_queue.insert((request.rank, id));
        } else if self.best_effort_queue.push(request.tenant, request.rank.into(), id.0) {
            self.classes[request.class].queued += 1;
        }
    }

    /// Removes a request from its queue, if it is queued.
    pub(super) fn dequeue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        self.sensitive_queue.remove(&(request.rank, id));
        if self.best_effort_queue.take(request.tenant, request.rank.into(), id.0) {
            self.classes[request.class].queued -= 1;
        }
    }
}
