//! Admit: hands a request that can be used to the module, or refuses it where there is no room for it.

use super::{Answer, Command, Core, Open, Timer};
use crate::clock::Micros;
use crate::interface::{ClassId, Event, Request, RequestId, TenantId};
use crate::statement;

/// Advice to clients that come while the program ends: it is back by then.
const COME_BACK: Micros = Micros(1_000_000);

impl Core {
    pub(super) fn admit(&mut self, now: Micros, open: Open, out: &mut Vec<Command>) {
        let request = open.arrival.request;
        if self.refusing || self.requests.len() >= self.max_open {
            let answer = Answer::Refused { retry_after: COME_BACK };
            self.books.count(&self.front, &open, &answer, now);
            return out.push(Command::Answer { request, answer });
        }
        let tenant = open.arrival.tenant.as_deref();
        let tenant = tenant.and_then(|name| self.front.tenants.iter().position(|known| known == name));
        let event = Event::Request(Request {
            id: RequestId(request),
            class: ClassId(open.class),
            tenant: tenant.map(TenantId),
            key: None, // no class here takes turns by key
            data_set: statement::table_group(&open.arrival.statement).unwrap_or(0),
            work_ms: None,
            memory_mb: None,
            remaining_ms: (open.deadline - now).as_ms(),
        });
        self.set_timer(open.deadline, Timer::Deadline(request));
        self.names.insert(open.arrival.name.clone());
        self.requests.insert(request, open);
        self.decide(now, event, out);
    }
}
