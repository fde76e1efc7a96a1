//! Rejects a valid request, or admits it and submits it to the scheduler.

use super::execution_guard::Deferred;
use super::{Answer, AttemptId, Command, Core, IncomingRequest, Invalid, OpenRequest, RequestState, Timer};
use crate::clock::Micros;
use crate::decision::{ClassId, Event, PriorExecution, Request, RequestId, TenantId};
use crate::sql;
use sanddyke_tenancy::{AdmissionRequest, Reason, Rejection};

/// Retry-After of requests that are rejected because the program shuts down or has reached its limit of open
/// requests. A restart of the program takes less time.
const RETRY_AFTER_OVERLOAD: Micros = Micros(1_000_000);

impl Core {
    /// Handles a request that a frontend received.
    pub(super) fn request_received(
        &mut self,
        now: Micros,
        incoming: IncomingRequest,
        out: &mut Vec<Command>,
    ) {
        let request = incoming.id;
        match self.validate(now, incoming) {
            Ok(open) => self.admit(now, open, out),
            Err(invalid) => out.push(Command::Answer { request, answer: Answer::Invalid(invalid) }),
        }
    }

    fn admit(&mut self, now: Micros, mut open: OpenRequest, out: &mut Vec<Command>) {
        let request = open.incoming.id;
        if self.rejects_new_requests || self.requests.len() >= self.max_open_requests {
            let answer = Answer::Rejected { retry_after: RETRY_AFTER_OVERLOAD, reason: None };
            self.accounting.count_answer(&self.service_settings, &self.roster, &open, &answer, now);
            out.push(Command::Answer { request, answer });
            return;
        }
        if let Err(answer) = self.admit_to_tenant(now, &mut open) {
            out.push(Command::Answer { request, answer });
            return;
        }
        self.timers.set(open.deadline, Timer::RequestDeadline(request));
        self.open_client_request_ids.insert(open.incoming.client_request_id.clone());
        self.requests.insert(request, open);
        self.submit_to_scheduler(now, request, out);
    }

    /// Submits an admitted request to the scheduler, or defers it if its client request id or idempotency key is
    /// in use.
    pub(super) fn submit_to_scheduler(&mut self, now: Micros, request: u64, out: &mut Vec<Command>) {
        let Some(open) = self.requests.get_mut(&request) else { return };
        let admitted = self.guard.register(request, &open.incoming);
        log::debug!(
            request,
            name = open.incoming.client_request_id.as_str(),
            class = open.incoming.class.as_str(),
            key = open.incoming.idempotency_key.as_deref().unwrap_or("-"),
            withheld = admitted.is_err(),
            remaining_ms = (open.deadline - now).as_ms();
            "request admitted"
        );
        let execution = match admitted {
            Ok(execution) => execution,
            Err(Deferred { attempts }) => {
                open.state = RequestState::Withheld;
                self.accounting.deferred += 1;
                self.confirm_cancellations(&attempts, out);
                return;
            }
        };
        open.state = RequestState::Queued;
        let event = Event::Request(Request {
            id: RequestId(request),
            class: ClassId(open.class),
            tenant: open.tenant_slot.map(TenantId),
            key: None, // no class is ordered by key
            data_set: sql::table_group(&open.incoming.statement).unwrap_or(0),
            work_ms: None,
            memory_mb: None,
            remaining_ms: (open.deadline - now).as_ms(),
            prior_execution: execution.map(|first| PriorExecution {
                at: first.started_at.as_ms(),
                zone: first.zone,
                cell: first.cell,
            }),
        });
        self.notify_scheduler(now, event, out);
    }

    /// Requests that engines confirm the cancellation of these attempts of closed requests, because a deferred
    /// request waits for their end.
    fn confirm_cancellations(&self, attempts: &[AttemptId], out: &mut Vec<Command>) {
        for attempt in attempts {
            if let Some(engine) = self.guard.engine_of(*attempt)
                && !self.requests.contains_key(&attempt.request)
            {
                out.push(Command::CancelAttempt { attempt: *attempt, engine, confirm: true });
            }
        }
    }

    /// Applies the limits of the request's tenant. On success the request counts against these limits; the error
    /// is the final answer to the request.
    fn admit_to_tenant(&mut self, now: Micros, open: &mut OpenRequest) -> Result<(), Answer> {
        let requests_carry_tenants = self.has_tenant_store || !self.roster.is_empty();
        if !requests_carry_tenants {
            return Ok(());
        }
        let name = open.incoming.tenant.as_deref().unwrap_or("");
        let class = &self.service_settings.classes[open.class];
        let admission = AdmissionRequest { class, statement_bytes: open.incoming.statement.len() };
        match self.roster.admit(now.0, name, &admission) {
            Ok(slot) => {
                open.tenant_slot = Some(slot);
                if let Some(longest_us) = self.roster.max_time_budget_us(slot) {
                    open.deadline = open.deadline.min(now + Micros(longest_us));
                }
                Ok(())
            }
            Err(Rejection { reason: Reason::Unknown, .. }) => {
                Err(Answer::Invalid(Invalid::UnknownTenant(name.to_owned())))
            }
            Err(rejection) => {
                open.tenant_slot = self.roster.slot(name);
                let retry_after = Micros(rejection.retry_after_us);
                let answer = Answer::Rejected { retry_after, reason: Some(rejection.reason) };
                self.accounting.count_answer(&self.service_settings, &self.roster, open, &answer, now);
                Err(answer)
            }
        }
    }

    /// Handles a shutdown that forcibly ends the program at `at`: moves later deadlines of open requests to `at`, and
    /// bounds those of new requests by it.
    pub(super) fn shut_down_by(&mut self, now: Micros, at: Micros, out: &mut Vec<Command>) {
        self.shutdown_by = Some(at);
        for (request, open) in self.requests.iter_mut().filter(|(_, open)| open.deadline > at) {
            open.deadline = at;
            self.timers.set(at, Timer::RequestDeadline(*request));
        }
        self.notify_scheduler(now, Event::ShutdownBy(at.as_ms()), out);
    }

    /// Reduces the limit of open requests by the connections of another process of this manager, because the
    /// connections of both processes count against one limit. At least one open request stays possible.
    pub(super) fn peer_process_connections(&mut self, connections: usize) {
        let limit = self.service_settings.settings.limits.max_open_requests;
        let remaining = limit.map(|limit| limit.saturating_sub(connections).max(1));
        self.scheduler.set_max_open_requests(remaining);
    }
}
