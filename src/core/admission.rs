//! Admit: hands a request that can be used to the module, or refuses it where there is no room for it.

use super::{Answer, Command, Core, Invalid, Open, Timer};
use crate::clock::Micros;
use crate::decision::{ClassId, Event, Request, RequestId, TenantId};
use crate::sql;
use sanddyke_tenancy::{AdmissionRequest, Reason, Rejection};

/// Advice to clients that come while the program ends: it is back by then.
const COME_BACK: Micros = Micros(1_000_000);

impl Core {
    pub(super) fn admit(&mut self, now: Micros, mut open: Open, out: &mut Vec<Command>) {
        let request = open.arrival.request;
        if self.rejecting || self.requests.len() >= self.max_open {
            let answer = Answer::Rejected { retry_after: COME_BACK, reason: None };
            self.accounting.count(&self.front, &self.roster, &open, &answer, now);
            return out.push(Command::Answer { request, answer });
        }
        if let Err(answer) = self.judge(now, &mut open) {
            return out.push(Command::Answer { request, answer });
        }
        let event = Event::Request(Request {
            id: RequestId(request),
            class: ClassId(open.class),
            tenant: open.slot.map(TenantId),
            key: None, // no class here takes turns by key
            data_set: sql::table_group(&open.arrival.statement).unwrap_or(0),
            work_ms: None,
            memory_mb: None,
            remaining_ms: (open.deadline - now).as_ms(),
        });
        self.set_timer(open.deadline, Timer::Deadline(request));
        self.names.insert(open.arrival.name.clone());
        self.requests.insert(request, open);
        self.decide(now, event, out);
    }

    /// The program is ended by force then: what is open, and what still comes, has no longer.
    pub(super) fn shut_down_by(&mut self, now: Micros, at: Micros, out: &mut Vec<Command>) {
        self.shutdown_by = Some(at);
        let mut late = Vec::new();
        for (request, open) in self.requests.iter_mut().filter(|(_, open)| open.deadline > at) {
            open.deadline = at;
            late.push(*request);
        }
        late.into_iter().for_each(|request| self.set_timer(at, Timer::Deadline(request)));
        self.decide(now, Event::ShutdownBy(at.as_ms()), out);
    }

    /// Whether the request's tenant may ask this now; it counts as the tenant's from here on.
    fn judge(&mut self, now: Micros, open: &mut Open) -> Result<(), Answer> {
        if !self.hosted && self.roster.is_empty() {
            return Ok(()); // requests carry no tenants
        }
        let name = open.arrival.tenant.as_deref().unwrap_or("");
        let class = &self.front.classes[open.class];
        let ask = AdmissionRequest { class, statement_bytes: open.arrival.statement.len() };
        match self.roster.admit(now.0, name, &ask) {
            Ok(slot) => {
                open.slot = Some(slot);
                let most = self.roster.longest_us(slot).map_or(open.deadline, |us| now + Micros(us));
                open.deadline = open.deadline.min(most);
                Ok(())
            }
            Err(Rejection { reason: Reason::Unknown, .. }) => {
                Err(Answer::Invalid(Invalid::Tenant(name.to_owned())))
            }
            Err(refused) => {
                open.slot = self.roster.slot(name);
                let retry_after = Micros(refused.retry_after_us);
                let answer = Answer::Rejected { retry_after, reason: Some(refused.reason) };
                self.accounting.count(&self.front, &self.roster, open, &answer, now);
                Err(answer)
            }
        }
    }
}
