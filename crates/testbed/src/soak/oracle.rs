//! The oracle. It compares what the engines read with what the clients sent and received, and never queries the
//! program.
//!
//! Times are those of the testbed. The testbed sees an engine's read, a client's write and the end of either in one
//! order, so the rule on attempts in flight has no tolerance. Where a rule depends on when the program wrote
//! something, the time at which an engine read it is used only if no fault of that engine or its link lay in between.
//!
//! A restarted manager has no state of its previous process (see the deployment page), so it can't know what that
//! process sent. The rules on repeats therefore hold within one process, and for clients that retry at the same
//! manager.

use super::history::{AttemptEnd, Effect, Event, Fault, Record};
use std::collections::HashMap;
use std::fmt;

const US_PER_MS: u64 = 1000;
/// Tolerance added to each time limit of the platform.
const TOLERANCE_US: u64 = 50 * US_PER_MS;
/// An answer may arrive this long after the client's time limit.
const MAX_ANSWER_DELAY_US: u64 = 500 * US_PER_MS;
/// An attempt may begin this long after its client disconnected or received its answer.
const MAX_DISCONNECT_NOTICE_US: u64 = 100 * US_PER_MS;
/// The deadline sent to an engine may be this much later than the client's.
const MAX_DEADLINE_EXCESS_US: u64 = 150 * US_PER_MS;
/// Attempts may be sent to an engine this long after the manager was notified that the engine drains.
const DRAIN_GRACE_US: u64 = 500 * US_PER_MS;
/// A manager counts as notified this long after a change of the endpoint list at the latest.
const MAX_NOTIFICATION_DELAY_US: u64 = 1500 * US_PER_MS;
/// The same limit if the name service does not answer meanwhile.
const MAX_NOTIFICATION_DELAY_DURING_SILENCE_US: u64 = 7000 * US_PER_MS;
/// A manager accepts requests for this long after SIGTERM; later ones need no answer.
const ACCEPTANCE_AFTER_SIGTERM_US: u64 = 400 * US_PER_MS;
/// A process must be ready within this time after its start.
const MAX_READY_TIME_US: u64 = 10_000 * US_PER_MS;
/// Data delayed by a fault arrives at most this long after the end of the fault.
const FAULT_RECOVERY_TIME_US: u64 = 500 * US_PER_MS;

/// A rule of the platform. The report prints the variant with `{:?}`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Rule {
    /// Two attempts with the same client request id or idempotency key were in flight at the same time.
    TwoAttempts,
    /// A request that must not be executed twice was sent again after it was possibly executed.
    UnsafeRepeat,
    /// A request with a key was repeated after the deduplication window, when engines no longer recognise the key.
    RepeatOutsideWindow,
    /// A request got no complete answer in time, and no fault excuses that.
    NoAnswer,
    /// An answer arrived too long after the client's time limit.
    LateAnswer,
    /// A request was answered with rows that belong to another request.
    WrongRows,
    /// An attempt began after its client had disconnected or received its answer.
    BegunForNobody,
    /// An engine received a later deadline than the client's.
    DeadlineTooLate,
    /// An attempt was sent to a draining engine.
    SentToDraining,
    /// A process exited by itself, or with an error.
    ProcessFailed,
    /// A process was not ready in time, or never.
    NotReady,
}

/// A broken rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The rule that was broken.
    pub rule: Rule,
    /// When it was broken, in microseconds since the start of the history.
    pub at_us: u64,
    /// The client request id, the idempotency key, or `manager N`.
    pub subject: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{:?} of {} at {:.3} s", self.rule, self.subject, self.at_us as f64 / 1e6)
    }
}

/// Returns the violations in a history, in the order of time.
pub fn check(records: &[Record]) -> Vec<Violation> {
    let view = HistoryView::of(records);
    let mut violations = Vec::new();
    violations.extend(view.concurrent_attempts());
    violations.extend(view.forbidden_repeats());
    violations.extend(view.missing_or_wrong_answers());
    violations.extend(view.late_attempts());
    violations.extend(view.attempts_on_draining_engines());
    violations.extend(process_violations(records));
    violations.sort_by_key(|violation| violation.at_us);
    // The same violation is found both by the client request id and by the key.
    violations.dedup_by_key(|violation| (violation.rule, violation.at_us));
    violations
}

/// Formats the records of a violation's subject, of the faults and of the managers' processes, in the order of time,
/// from five seconds before the subject's first record to one second after the violation.
pub fn timeline(records: &[Record], violation: &Violation) -> Vec<String> {
    let subject = &violation.subject;
    let client_request_ids: Vec<&str> =
        records.iter().filter_map(|record| client_request_id_of(&record.event, subject)).collect();
    let is_of_subject = |event: &Event| match event {
        Event::RequestSent { name, key, .. } | Event::AttemptRead { name, key, .. } => {
            client_request_ids.contains(&name.as_str()) || key.as_ref() == Some(subject)
        }
        _ => false,
    };
    let mut calls = Vec::new();
    let mut attempts = Vec::new();
    for record in records.iter().filter(|record| is_of_subject(&record.event)) {
        match &record.event {
            Event::RequestSent { call, .. } => calls.push(*call),
            Event::AttemptRead { attempt, .. } => attempts.push(*attempt),
            _ => {}
        }
    }
    let is_shown = |event: &Event| match event {
        Event::Answered { call, .. } | Event::Unanswered { call } | Event::ClientLeft { call } => {
            calls.contains(call)
        }
        Event::AttemptOver { attempt, .. } => attempts.contains(attempt),
        Event::RequestSent { .. } | Event::AttemptRead { .. } => is_of_subject(event),
        _ => true,
    };
    let first = records.iter().find(|record| is_of_subject(&record.event)).map_or(0, |record| record.at_us);
    let since = first.saturating_sub(5_000 * US_PER_MS);
    let shown = records
        .iter()
        .filter(|record| record.at_us >= since && record.at_us <= violation.at_us + 1000 * US_PER_MS);
    let shown = shown.filter(|record| is_shown(&record.event));
    shown.map(|record| format!("{:10.3} s  {:?}", record.at_us as f64 / 1e6, record.event)).collect()
}

fn client_request_id_of<'a>(event: &'a Event, subject: &str) -> Option<&'a str> {
    match event {
        Event::RequestSent { name, key, .. } | Event::AttemptRead { name, key, .. } => {
            (name == subject || key.as_deref() == Some(subject)).then_some(name)
        }
        _ => None,
    }
}

/// How a call ended for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallEnd {
    Answered { is_own: bool },
    Unanswered,
    Disconnected,
}

#[derive(Debug)]
struct Call<'a> {
    client_request_id: &'a str,
    effect: Effect,
    ttl_us: u64,
    manager: usize,
    sent_us: u64,
    end: Option<(u64, CallEnd)>,
}

#[derive(Debug)]
struct Attempt<'a> {
    engine: usize,
    client_request_id: &'a str,
    key: Option<&'a str>,
    patience_us: u64,
    read_us: u64,
    end: Option<(u64, AttemptEnd)>,
}

/// The time span of a fault. `end_us` is `u64::MAX` while the fault has no recorded end.
#[derive(Debug)]
struct FaultSpan {
    fault: Fault,
    target: usize,
    begin_us: u64,
    end_us: u64,
}

/// A history, separated into calls, attempts and faults, each in the order of time.
struct HistoryView<'a> {
    calls: Vec<Call<'a>>,
    attempts: Vec<Attempt<'a>>,
    faults: Vec<FaultSpan>,
    /// The start times of each manager's processes, by manager.
    process_starts: HashMap<usize, Vec<u64>>,
}

impl<'a> HistoryView<'a> {
    fn of(records: &'a [Record]) -> HistoryView<'a> {
        let mut view = HistoryView {
            calls: Vec::new(),
            attempts: Vec::new(),
            faults: Vec::new(),
            process_starts: HashMap::new(),
        };
        let mut call_index = HashMap::new();
        let mut attempt_index = HashMap::new();
        for Record { at_us, event } in records {
            let at_us = *at_us;
            let mut end_call = |call: &u64, end| {
                let index: Option<usize> = call_index.get(call).copied();
                if let Some(call) = index.and_then(|index| view.calls.get_mut(index)) {
                    call.end.get_or_insert((at_us, end));
                }
            };
            match event {
                Event::Answered { call, is_own, .. } => end_call(call, CallEnd::Answered { is_own: *is_own }),
                Event::Unanswered { call } => end_call(call, CallEnd::Unanswered),
                Event::ClientLeft { call } => end_call(call, CallEnd::Disconnected),
                Event::RequestSent { call, name, effect, ttl_ms, manager, .. } => {
                    call_index.insert(*call, view.calls.len());
                    view.calls.push(Call {
                        client_request_id: name,
                        effect: *effect,
                        ttl_us: ttl_ms * US_PER_MS,
                        manager: *manager,
                        sent_us: at_us,
                        end: None,
                    });
                }
                Event::AttemptRead { attempt, engine, name, key, patience_ms } => {
                    attempt_index.insert(*attempt, view.attempts.len());
                    view.attempts.push(Attempt {
                        engine: *engine,
                        client_request_id: name,
                        key: key.as_deref(),
                        patience_us: patience_ms * US_PER_MS,
                        read_us: at_us,
                        end: None,
                    });
                }
                Event::AttemptOver { attempt, over } => {
                    if let Some(index) = attempt_index.get(attempt).copied() {
                        view.attempts[index].end.get_or_insert((at_us, *over));
                    }
                }
                Event::FaultBegun { fault, target } => view.faults.push(FaultSpan {
                    fault: *fault,
                    target: *target,
                    begin_us: at_us,
                    end_us: u64::MAX,
                }),
                Event::FaultEnded { fault, target } => {
                    let mut open_spans = view.faults.iter_mut().rev();
                    if let Some(span) = open_spans.find(|span| span.fault == *fault && span.target == *target)
                    {
                        span.end_us = at_us;
                    }
                }
                Event::ManagerStarted { manager } => {
                    view.process_starts.entry(*manager).or_default().push(at_us);
                }
                Event::ManagerReady { .. } | Event::ManagerEnded { .. } => {}
            }
        }
        view
    }

    /// Returns the call that an attempt was made for, which is the last one with its client request id sent before it
    /// was read.
    fn call_of(&self, attempt: &Attempt) -> Option<&Call<'a>> {
        let sent_before = self.calls.iter().rev().filter(|call| call.sent_us <= attempt.read_us);
        sent_before.into_iter().find(|call| call.client_request_id == attempt.client_request_id)
    }

    /// Whether two attempts were sent by the same process of a manager. True if the call of one is unknown.
    fn are_from_same_process(&self, first: &Attempt, second: &Attempt) -> bool {
        let (Some(first), Some(second)) = (self.call_of(first), self.call_of(second)) else { return true };
        let between = first.sent_us.min(second.sent_us)..=first.sent_us.max(second.sent_us);
        let starts = self.process_starts.get(&first.manager);
        let was_restarted = starts.is_some_and(|starts| starts.iter().any(|at| between.contains(at)));
        first.manager == second.manager && !was_restarted
    }

    /// The attempts by client request id, and by idempotency key.
    fn by_identity(&self) -> HashMap<&'a str, Vec<&Attempt<'a>>> {
        let mut attempts: HashMap<&str, Vec<&Attempt>> = HashMap::new();
        for attempt in &self.attempts {
            attempts.entry(attempt.client_request_id).or_default().push(attempt);
            if let Some(key) = attempt.key {
                attempts.entry(key).or_default().push(attempt);
            }
        }
        attempts
    }

    fn concurrent_attempts(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for (identity, attempts) in self.by_identity() {
            for (index, attempt) in attempts.iter().enumerate() {
                let is_in_flight = |earlier: &Attempt| earlier.end.is_none_or(|(at, _)| at > attempt.read_us);
                let mut in_flight = attempts[..index].iter().filter(|earlier| is_in_flight(earlier));
                if in_flight.any(|earlier| self.are_from_same_process(earlier, attempt)) {
                    violations.push(violation(Rule::TwoAttempts, attempt.read_us, identity));
                }
            }
        }
        violations
    }

    fn forbidden_repeats(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for (identity, attempts) in self.by_identity() {
            let Some(effect) = attempts.first().and_then(|first| self.call_of(first)).map(|call| call.effect)
            else {
                continue;
            };
            let first_executed =
                attempts.iter().position(|attempt| !matches!(attempt.end, Some((_, AttemptEnd::NeverRan))));
            let Some(first) = first_executed else { continue };
            let repeats = attempts[first + 1..].iter();
            for repeat in repeats.filter(|repeat| self.are_from_same_process(attempts[first], repeat)) {
                let rule = match effect {
                    Effect::Once => Some(Rule::UnsafeRepeat),
                    Effect::Keyed { window_ms } => {
                        let latest_us = attempts[first].read_us + window_ms * US_PER_MS + TOLERANCE_US;
                        let is_late = repeat.read_us > latest_us && !self.may_be_delayed_by_fault(repeat);
                        is_late.then_some(Rule::RepeatOutsideWindow)
                    }
                    Effect::Repeatable => None,
                };
                violations.extend(rule.map(|rule| violation(rule, repeat.read_us, identity)));
            }
        }
        violations
    }

    fn missing_or_wrong_answers(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for call in &self.calls {
            let latest_us = call.sent_us + call.ttl_us + MAX_ANSWER_DELAY_US + TOLERANCE_US;
            let (at_us, rule) = match call.end {
                Some((at_us, CallEnd::Answered { is_own: false })) => (at_us, Rule::WrongRows),
                Some((at_us, CallEnd::Answered { .. })) if at_us > latest_us => (at_us, Rule::LateAnswer),
                Some((at_us, CallEnd::Unanswered)) => (at_us, Rule::NoAnswer),
                Some((at_us, CallEnd::Disconnected)) if at_us > latest_us => (at_us, Rule::NoAnswer),
                None => (latest_us, Rule::NoAnswer),
                Some(_) => continue,
            };
            if rule == Rule::WrongRows || !self.is_answer_excused(call, at_us) {
                violations.push(violation(rule, at_us, call.client_request_id));
            }
        }
        violations
    }

    /// Whether a call needs no answer, because its manager was killed (SIGKILL) or no longer accepted requests after
    /// SIGTERM.
    fn is_answer_excused(&self, call: &Call, until_us: u64) -> bool {
        let at_manager = self.faults.iter().filter(|span| span.target == call.manager);
        let mut excusing_faults = at_manager.filter(|span| match span.fault {
            // A client may still write to the socket of a process that was killed a moment before.
            Fault::ManagerKilled => {
                (call.sent_us.saturating_sub(TOLERANCE_US)..=until_us).contains(&span.begin_us)
            }
            Fault::ManagerTerminated => {
                (span.begin_us + ACCEPTANCE_AFTER_SIGTERM_US..=span.end_us).contains(&call.sent_us)
            }
            _ => false,
        });
        excusing_faults.next().is_some()
    }

    /// Whether a fault of the engine or its link may have delayed an attempt before it was read.
    fn may_be_delayed_by_fault(&self, attempt: &Attempt) -> bool {
        let at_engine =
            self.faults.iter().filter(|span| span.target == attempt.engine && affects_engine(span.fault));
        let sent_us = self.call_of(attempt).map_or(0, |call| call.sent_us);
        at_engine.into_iter().any(|span| {
            span.begin_us <= attempt.read_us && span.end_us.saturating_add(FAULT_RECOVERY_TIME_US) >= sent_us
        })
    }

    /// Whether a manager was suspended in this time. A suspended manager can't measure how long a request waited in
    /// its socket.
    fn was_manager_stopped(&self, manager: usize, from_us: u64, to_us: u64) -> bool {
        let stops = self.faults.iter().filter(|span| span.fault == Fault::ManagerStopped);
        let at_manager = stops.filter(|span| span.target == manager);
        at_manager.into_iter().any(|span| span.begin_us <= to_us && span.end_us >= from_us)
    }

    fn late_attempts(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for attempt in self.attempts.iter().filter(|attempt| !self.may_be_delayed_by_fault(attempt)) {
            let Some(call) = self.call_of(attempt) else { continue };
            let latest_us = call.end.map(|(at_us, _)| at_us + MAX_DISCONNECT_NOTICE_US + TOLERANCE_US);
            if latest_us.is_some_and(|latest_us| attempt.read_us > latest_us) {
                violations.push(violation(Rule::BegunForNobody, attempt.read_us, call.client_request_id));
            }
            let engine_deadline_us = attempt.read_us + attempt.patience_us;
            let may_be_read_late = self.was_manager_stopped(call.manager, call.sent_us, attempt.read_us);
            if !may_be_read_late
                && engine_deadline_us > call.sent_us + call.ttl_us + MAX_DEADLINE_EXCESS_US + TOLERANCE_US
            {
                violations.push(violation(Rule::DeadlineTooLate, attempt.read_us, call.client_request_id));
            }
        }
        violations
    }

    fn attempts_on_draining_engines(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for drain in self.faults.iter().filter(|span| span.fault == Fault::EngineDraining) {
            let silences = self.faults.iter().filter(|span| span.fault == Fault::NameServiceSilent);
            let is_silent = silences.into_iter().any(|span| {
                span.begin_us <= drain.begin_us + MAX_NOTIFICATION_DELAY_US && span.end_us >= drain.begin_us
            });
            let notified_after_us =
                if is_silent { MAX_NOTIFICATION_DELAY_DURING_SILENCE_US } else { MAX_NOTIFICATION_DELAY_US };
            let violation_from_us = drain.begin_us + notified_after_us + DRAIN_GRACE_US + TOLERANCE_US;
            let late = self.attempts.iter().filter(|attempt| {
                attempt.engine == drain.target && (violation_from_us..drain.end_us).contains(&attempt.read_us)
            });
            violations.extend(
                late.map(|attempt| {
                    violation(Rule::SentToDraining, attempt.read_us, attempt.client_request_id)
                }),
            );
        }
        violations
    }
}

fn affects_engine(fault: Fault) -> bool {
    matches!(
        fault,
        Fault::EnginePaused
            | Fault::EngineCrashed
            | Fault::EngineReset
            | Fault::LinkCut
            | Fault::LinkCutToEngine
            | Fault::LinkCutFromEngine
            | Fault::LinkDelayed
    )
}

fn process_violations(records: &[Record]) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut starting: HashMap<usize, u64> = HashMap::new();
    for Record { at_us, event } in records {
        match event {
            Event::ManagerStarted { manager } => {
                starting.insert(*manager, *at_us);
            }
            Event::ManagerReady { manager } => {
                let started_us = starting.remove(manager).unwrap_or(*at_us);
                if at_us - started_us > MAX_READY_TIME_US + TOLERANCE_US {
                    violations.push(violation(Rule::NotReady, *at_us, &format!("manager {manager}")));
                }
            }
            Event::ManagerEnded { manager, success: false } => {
                violations.push(violation(Rule::ProcessFailed, *at_us, &format!("manager {manager}")));
            }
            _ => {}
        }
    }
    let never_ready = starting.into_iter();
    violations.extend(
        never_ready.map(|(manager, at_us)| violation(Rule::NotReady, at_us, &format!("manager {manager}"))),
    );
    violations
}

fn violation(rule: Rule, at_us: u64, subject: &str) -> Violation {
    Violation { rule, at_us, subject: subject.to_owned() }
}

#[cfg(test)]
mod tests;
