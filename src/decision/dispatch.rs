//! Dispatch: queued requests go to free slots. Alpha splits the slots between the sensitive requests that are due
//! first and the best-effort requests of the tenants in fair rotation; a side without requests, or stuck, lends to
//! the other.

use super::gateway::Gateway;
use super::types::RequestId;
use sanddyke_tenancy::Cursor;

/// Queued requests of one queue that are tried for one free slot. Ours.
const MAX_CANDIDATES: usize = 8;
/// Queued requests of one tenant that are looked at for those. Ours.
const MAX_SCANNED: usize = 64;
/// Requests of one class for which no engine had capacity, in one round, after which no more of them are tried. Ours.
pub(super) const MAX_PLACEMENT_FAILURES: usize = 64;

/// The side that a free slot goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Side {
    /// Requests of sensitive classes, the earliest due first.
    Sensitive,
    /// All others, in fair rotation among tenants.
    BestEffort,
}

impl Gateway {
    /// Fills free slots until neither side can send.
    pub(super) fn dispatch(&mut self) {
        for class in &mut self.classes {
            class.placement_failures = 0;
        }
        let mut sensitive_open = !self.sensitive_queue.is_empty();
        let mut best_effort_open = !self.best_effort_queue.is_empty();
        while sensitive_open || best_effort_open {
            let side = match self.draw_side() {
                Side::Sensitive if !sensitive_open => Side::BestEffort,
                Side::BestEffort if !best_effort_open => Side::Sensitive,
                drawn => drawn,
            };
            match side {
                Side::Sensitive => sensitive_open = self.send_earliest_due(),
                Side::BestEffort => best_effort_open = self.send_next_in_rotation(),
            }
        }
    }

    /// Draws the side of the next free slot by alpha.
    fn draw_side(&mut self) -> Side {
        if self.rng.rand_float() < self.alpha.sensitive_chance() { Side::Sensitive } else { Side::BestEffort }
    }

    /// Sends the sensitive request that is due first, of those that can be sent; false where none can.
    fn send_earliest_due(&mut self) -> bool {
        let queued = self.sensitive_queue.iter().take(MAX_CANDIDATES);
        let candidates: Vec<RequestId> = queued.map(|(_, id)| *id).collect();
        candidates.into_iter().any(|id| self.try_send(id))
    }

    /// Sends a best-effort request of the tenant with the least work sent over its share, of those that have one that
    /// can be sent; false where none has. An idle tenant saves up no turns.
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

    /// The first queued requests of a tenant. Loads whose data set is locked on every engine do not count: they would
    /// block all behind them.
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

    /// Puts a request into the queue of its side.
    pub(super) fn enqueue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        if self.settings.classes[request.class].is_sensitive() {
            self.sensitive_queue.insert((request.rank, id));
        } else if self.best_effort_queue.push(request.tenant, request.rank.into(), id.0) {
            self.classes[request.class].queued += 1;
        }
    }

    /// Takes a request out of its queue, where it is queued.
    pub(super) fn dequeue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        self.sensitive_queue.remove(&(request.rank, id));
        if self.best_effort_queue.take(request.tenant, request.rank.into(), id.0) {
            self.classes[request.class].queued -= 1;
        }
    }
}
