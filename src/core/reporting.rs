//! Reports the state of the service: a line for the log, and reports for the administration API and the metrics.

use super::{AttemptId, Core, EngineReport, OpenRequest, Report, RequestReport, RequestState, TenantReport};
use crate::clock::Micros;
use sanddyke_tenancy::{Slot, TenantId};
use std::collections::{BTreeMap, HashMap};

/// The number of open requests of one class.
#[derive(Debug, Clone, Copy, Default)]
struct OpenCounts {
    queued: usize,
    running: usize,
}

impl Core {
    /// Returns a line for the log: open requests by class, queued and running, and ended attempts by outcome.
    pub fn state_line(&self) -> String {
        let mut counts = vec![OpenCounts::default(); self.service_settings.classes.len()];
        for open in self.requests.values() {
            let class = &mut counts[open.class];
            match open.state {
                RequestState::Withheld | RequestState::Queued => class.queued += 1,
                RequestState::Running(_) => class.running += 1,
            }
        }
        let classes = self.service_settings.classes.iter().zip(counts);
        let classes: Vec<String> =
            classes.map(|(name, count)| format!("{name} {}+{}", count.queued, count.running)).collect();
        let attempts = self.accounting.attempts.iter();
        let attempts: Vec<String> = attempts.map(|(outcome, count)| format!("{outcome} {count}")).collect();
        format!("open (queued+running): {}; attempts ended: {}", classes.join(", "), attempts.join(", "))
    }

    /// Returns the state of the core; the service task adds that of the connections to engines. The cost is linear in the number of engines, requests and tenants.
    pub fn report(&self, now: Micros) -> Report {
        Report {
            engines: self.engine_reports(),
            requests: self.request_reports(now),
            answers: self.accounting.answers.values().cloned().collect(),
            attempts: self.accounting.attempts.clone(),
            tenants: self.roster.tenants().filter_map(|(slot, _)| self.tenant_report(slot)).collect(),
            attempts_in_flight: self.guard.in_flight(),
            deferred: self.accounting.deferred,
            violations: self.guard.violations(),
            discarded_sessions: BTreeMap::new(),
            unknown_tenants: self.roster.unknown_tenants(),
            stopping: self.rejects_new_requests,
        }
    }

    /// Returns the state of these tenants; ids that are not in the roster are omitted.
    pub fn tenant_reports(&self, ids: &[TenantId]) -> HashMap<TenantId, TenantReport> {
        let slots = ids.iter().filter_map(|id| self.roster.slot_of(*id));
        let reports = slots.filter_map(|slot| self.tenant_report(slot));
        reports.map(|report| (report.id, report)).collect()
    }

    fn engine_reports(&self) -> Vec<EngineReport> {
        let engines = self.engines.values().map(|engine| EngineReport {
            name: engine.name.clone(),
            zone: engine.zone.clone(),
            kind: engine.kind.clone(),
            state: engine.state.name().to_owned(),
            attempts_in_flight: engine.attempts_in_flight,
        });
        let mut engines: Vec<EngineReport> = engines.collect();
        engines.sort_by(|a, b| a.name.cmp(&b.name));
        engines
    }

    fn request_reports(&self, now: Micros) -> Vec<RequestReport> {
        let requests = self.requests.iter().map(|(id, open)| RequestReport {
            id: *id,
            client_request_id: open.incoming.client_request_id.clone(),
            class: open.incoming.class.clone(),
            tenant: open.incoming.tenant.clone(),
            age_ms: (now - open.received_at).as_ms(),
            remaining_ms: (open.deadline - now).as_ms(),
            state: self.describe_state(*id, open),
        });
        let mut requests: Vec<RequestReport> = requests.collect();
        requests.sort_by_key(|request| request.id);
        requests
    }

    /// Returns the state of a request as the administration API shows it: `held` while it is queued or deferred,
    /// `on ENGINE` while an attempt runs there, or `out` if that engine is no longer known.
    fn describe_state(&self, request: u64, open: &OpenRequest) -> String {
        let RequestState::Running(number) = open.state else { return "held".to_owned() };
        let attempt = self.attempts.get(&AttemptId { request, number });
        let engine = attempt.and_then(|attempt| self.engines.get(&attempt.engine));
        engine.map_or("out".to_owned(), |engine| format!("on {}", engine.name))
    }

    fn tenant_report(&self, slot: Slot) -> Option<TenantReport> {
        let tenant = self.roster.tenant(slot)?;
        let usage = self.roster.usage(slot);
        Some(TenantReport {
            id: tenant.id,
            name: tenant.name.clone(),
            state: tenant.state,
            share: self.tenant_shares.get(slot).map_or(0.0, |share| share.effective),
            open_requests: usage.open_requests,
            attempts_in_flight: usage.attempts,
            rejected: self.roster.rejections(slot).map(|(reason, count)| (reason.code(), count)).collect(),
        })
    }
}
