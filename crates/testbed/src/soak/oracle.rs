//! The oracle: compares what engines have read with what clients have sent and got. It never asks the program.
//!
//! Times are those of the testbed, which sees an engine's read, a client's write and the end of either in one order, so
//! the rule on attempts in flight has no slack. Where a rule goes by when the program wrote something, the time at which
//! an engine read it counts only while nothing lay in between: no fault of that engine or its link.
//!
//! A manager that is started again begins from nothing (the deployment page), so what its process before has sent can't
//! be known to it: the rules on repeats hold within one process, and from one manager's client to the same manager.

use super::history::{Effect, Event, Fault, Over, Record};
use std::collections::HashMap;
use std::fmt;

const MS: u64 = 1000;
/// Every time limit of the platform's page is this much longer (µs).
const SLACK_US: u64 = 50 * MS;
/// An answer may come this long after the client's time (µs).
const LATE_ANSWER_US: u64 = 500 * MS;
/// An attempt may begin this long after its client has left (µs).
const NOTICE_OF_LEAVING_US: u64 = 100 * MS;
/// A deadline that an engine is told may be this much too late (µs).
const DEADLINE_SLACK_US: u64 = 150 * MS;
/// An engine may be sent requests this long after the manager was notified that it drains (µs).
const DRAIN_GRACE_US: u64 = 500 * MS;
/// A manager counts as notified this long after a change of the list at the latest (µs).
const NOTIFIED_AFTER_US: u64 = 1500 * MS;
/// The same while the name service is silent (µs).
const NOTIFIED_AFTER_SILENCE_US: u64 = 7000 * MS;
/// Requests that reach a manager later after SIGTERM are not accepted any more (µs).
const ACCEPTED_AFTER_SIGTERM_US: u64 = 400 * MS;
/// A process is ready within this time (µs).
const READY_WITHIN_US: u64 = 10_000 * MS;
/// What a fault has held back has arrived this long after its end (µs).
const FAULT_AFTERMATH_US: u64 = 500 * MS;

/// A rule of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Rule {
    /// Two attempts of a request, or of one idempotency key, were in flight at once.
    TwoAttempts,
    /// A request that is not to be executed twice was sent again after it was possibly executed.
    UnsafeRepeat,
    /// A request was repeated when engines no longer recognise its key.
    RepeatOutsideWindow,
    /// A request that was read got no whole answer.
    NoAnswer,
    /// An answer came too late.
    LateAnswer,
    /// A request was answered with rows that no engine made for it.
    WrongRows,
    /// An attempt began for a client that had left, or had its answer.
    BegunForNobody,
    /// An engine was told a later deadline than the client's.
    DeadlineTooLate,
    /// An attempt was sent to an engine that drains.
    SentToDraining,
    /// A process ended by itself, or with an error.
    ProcessFailed,
    /// A process was not ready in time.
    NotReady,
}

/// A broken rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// When it was broken (µs).
    pub at_us: u64,
    /// The request's id or key, or the manager.
    pub subject: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{:?} of {} at {:.3} s", self.rule, self.subject, self.at_us as f64 / 1e6)
    }
}

/// Which rules a history breaks, in the order of time.
pub fn check(records: &[Record]) -> Vec<Violation> {
    let view = View::of(records);
    let mut violations = Vec::new();
    violations.extend(view.attempts_at_once());
    violations.extend(view.repeats());
    violations.extend(view.answers());
    violations.extend(view.starts());
    violations.extend(view.drains());
    violations.extend(processes(records));
    violations.sort_by_key(|violation| violation.at_us);
    // One that shows by the request's id and by its key.
    violations.dedup_by_key(|violation| (violation.rule, violation.at_us));
    violations
}

/// What was recorded of a broken rule's subject, and the faults that ran meanwhile, in the order of time.
pub fn timeline(records: &[Record], violation: &Violation) -> Vec<String> {
    let subject = &violation.subject;
    let names: Vec<&str> = records.iter().filter_map(|record| name_of(&record.event, subject)).collect();
    let is_named = |event: &Event| match event {
        Event::RequestSent { name, key, .. } | Event::AttemptRead { name, key, .. } => {
            names.contains(&name.as_str()) || key.as_ref() == Some(subject)
        }
        _ => false,
    };
    let mut calls = Vec::new();
    let mut attempts = Vec::new();
    for record in records.iter().filter(|record| is_named(&record.event)) {
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
        Event::RequestSent { .. } | Event::AttemptRead { .. } => is_named(event),
        _ => true,
    };
    let first = records.iter().find(|record| is_named(&record.event)).map_or(0, |record| record.at_us);
    let since = first.saturating_sub(5_000 * MS);
    let shown = records.iter().filter(|one| one.at_us >= since && one.at_us <= violation.at_us + 1000 * MS);
    let shown = shown.filter(|record| is_shown(&record.event));
    shown.map(|record| format!("{:10.3} s  {:?}", record.at_us as f64 / 1e6, record.event)).collect()
}

fn name_of<'a>(event: &'a Event, subject: &str) -> Option<&'a str> {
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
    Left,
}

#[derive(Debug)]
struct Call<'a> {
    name: &'a str,
    effect: Effect,
    ttl_us: u64,
    manager: usize,
    sent_us: u64,
    end: Option<(u64, CallEnd)>,
}

#[derive(Debug)]
struct Attempt<'a> {
    engine: usize,
    name: &'a str,
    key: Option<&'a str>,
    patience_us: u64,
    read_us: u64,
    over: Option<(u64, Over)>,
}

/// The time in which a fault runs.
#[derive(Debug)]
struct FaultSpan {
    fault: Fault,
    target: usize,
    begin_us: u64,
    end_us: u64,
}

/// A history by calls, attempts and faults, each in the order of time.
struct View<'a> {
    calls: Vec<Call<'a>>,
    attempts: Vec<Attempt<'a>>,
    faults: Vec<FaultSpan>,
    /// When processes of managers were started, by manager.
    starts: HashMap<usize, Vec<u64>>,
}

impl<'a> View<'a> {
    fn of(records: &'a [Record]) -> View<'a> {
        let mut view =
            View { calls: Vec::new(), attempts: Vec::new(), faults: Vec::new(), starts: HashMap::new() };
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
                Event::ClientLeft { call } => end_call(call, CallEnd::Left),
                Event::RequestSent { call, name, effect, ttl_ms, manager, .. } => {
                    call_index.insert(*call, view.calls.len());
                    view.calls.push(Call {
                        name,
                        effect: *effect,
                        ttl_us: ttl_ms * MS,
                        manager: *manager,
                        sent_us: at_us,
                        end: None,
                    });
                }
                Event::AttemptRead { attempt, engine, name, key, patience_ms } => {
                    attempt_index.insert(*attempt, view.attempts.len());
                    view.attempts.push(Attempt {
                        engine: *engine,
                        name,
                        key: key.as_deref(),
                        patience_us: patience_ms * MS,
                        read_us: at_us,
                        over: None,
                    });
                }
                Event::AttemptOver { attempt, over } => {
                    if let Some(index) = attempt_index.get(attempt).copied() {
                        view.attempts[index].over.get_or_insert((at_us, *over));
                    }
                }
                Event::FaultBegun { fault, target } => view.faults.push(FaultSpan {
                    fault: *fault,
                    target: *target,
                    begin_us: at_us,
                    end_us: u64::MAX,
                }),
                Event::FaultEnded { fault, target } => {
                    let mut open = view.faults.iter_mut().rev();
                    if let Some(span) = open.find(|span| span.fault == *fault && span.target == *target) {
                        span.end_us = at_us;
                    }
                }
                Event::ManagerStarted { manager } => {
                    view.starts.entry(*manager).or_default().push(at_us);
                }
                Event::ManagerReady { .. } | Event::ManagerEnded { .. } => {}
            }
        }
        view
    }

    /// The call that an attempt was made for: the last of its name that was sent before.
    fn call_of(&self, attempt: &Attempt) -> Option<&Call<'a>> {
        let sent_before = self.calls.iter().rev().filter(|call| call.sent_us <= attempt.read_us);
        sent_before.into_iter().find(|call| call.name == attempt.name)
    }

    /// Whether two attempts were sent by one process of a manager.
    fn are_of_one_process(&self, first: &Attempt, second: &Attempt) -> bool {
        let (Some(first), Some(second)) = (self.call_of(first), self.call_of(second)) else { return true };
        let between = first.sent_us.min(second.sent_us)..=first.sent_us.max(second.sent_us);
        let starts = self.starts.get(&first.manager);
        let was_restarted = starts.is_some_and(|starts| starts.iter().any(|at| between.contains(at)));
        first.manager == second.manager && !was_restarted
    }

    /// Attempts by what a request is recognised by: its id, and its key.
    fn by_identity(&self) -> HashMap<&'a str, Vec<&Attempt<'a>>> {
        let mut attempts: HashMap<&str, Vec<&Attempt>> = HashMap::new();
        for attempt in &self.attempts {
            attempts.entry(attempt.name).or_default().push(attempt);
            if let Some(key) = attempt.key {
                attempts.entry(key).or_default().push(attempt);
            }
        }
        attempts
    }

    fn attempts_at_once(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for (identity, attempts) in self.by_identity() {
            for (index, attempt) in attempts.iter().enumerate() {
                let is_in_flight = |before: &Attempt| before.over.is_none_or(|(at, _)| at > attempt.read_us);
                let mut before = attempts[..index].iter().filter(|before| is_in_flight(before));
                if before.any(|before| self.are_of_one_process(before, attempt)) {
                    violations.push(violation(Rule::TwoAttempts, attempt.read_us, identity));
                }
            }
        }
        violations
    }

    fn repeats(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for (identity, attempts) in self.by_identity() {
            let Some(effect) = attempts.first().and_then(|first| self.call_of(first)).map(|call| call.effect)
            else {
                continue;
            };
            let ran = attempts.iter().position(|one| !matches!(one.over, Some((_, Over::NeverRan))));
            let Some(first) = ran else { continue };
            let repeats = attempts[first + 1..].iter();
            for repeat in repeats.filter(|repeat| self.are_of_one_process(attempts[first], repeat)) {
                let rule = match effect {
                    Effect::Once => Some(Rule::UnsafeRepeat),
                    Effect::Keyed { window_ms } => {
                        let latest_us = attempts[first].read_us + window_ms * MS + SLACK_US;
                        let is_late = repeat.read_us > latest_us && !self.is_held_back(repeat);
                        is_late.then_some(Rule::RepeatOutsideWindow)
                    }
                    Effect::Repeatable => None,
                };
                violations.extend(rule.map(|rule| violation(rule, repeat.read_us, identity)));
            }
        }
        violations
    }

    fn answers(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for call in &self.calls {
            let latest_us = call.sent_us + call.ttl_us + LATE_ANSWER_US + SLACK_US;
            let (at_us, rule) = match call.end {
                Some((at_us, CallEnd::Answered { is_own: false })) => (at_us, Rule::WrongRows),
                Some((at_us, CallEnd::Answered { .. })) if at_us > latest_us => (at_us, Rule::LateAnswer),
                Some((at_us, CallEnd::Unanswered)) => (at_us, Rule::NoAnswer),
                Some((at_us, CallEnd::Left)) if at_us > latest_us => (at_us, Rule::NoAnswer),
                None => (latest_us, Rule::NoAnswer),
                Some(_) => continue,
            };
            if rule == Rule::WrongRows || !self.is_excused(call, at_us) {
                violations.push(violation(rule, at_us, call.name));
            }
        }
        violations
    }

    /// A request is excused where its manager was killed outright, or had stopped to accept requests.
    fn is_excused(&self, call: &Call, until_us: u64) -> bool {
        let at_manager = self.faults.iter().filter(|span| span.target == call.manager);
        let mut excuses = at_manager.filter(|span| match span.fault {
            // A client may write to a socket of a process that was killed just now.
            Fault::ManagerKilled => {
                (call.sent_us.saturating_sub(SLACK_US)..=until_us).contains(&span.begin_us)
            }
            Fault::ManagerTerminated => {
                (span.begin_us + ACCEPTED_AFTER_SIGTERM_US..=span.end_us).contains(&call.sent_us)
            }
            _ => false,
        });
        excuses.next().is_some()
    }

    /// Whether something between the program and the engine may have held an attempt back before it was read.
    fn is_held_back(&self, attempt: &Attempt) -> bool {
        let at_engine =
            self.faults.iter().filter(|span| span.target == attempt.engine && is_at_engine(span.fault));
        let sent_us = self.call_of(attempt).map_or(0, |call| call.sent_us);
        at_engine.into_iter().any(|span| {
            span.begin_us <= attempt.read_us && span.end_us.saturating_add(FAULT_AFTERMATH_US) >= sent_us
        })
    }

    /// Whether a manager was stopped in this time: it does not see how long a request has waited in its socket.
    fn was_stopped(&self, manager: usize, from_us: u64, to_us: u64) -> bool {
        let stops = self.faults.iter().filter(|span| span.fault == Fault::ManagerStopped);
        let at_manager = stops.filter(|span| span.target == manager);
        at_manager.into_iter().any(|span| span.begin_us <= to_us && span.end_us >= from_us)
    }

    fn starts(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for attempt in self.attempts.iter().filter(|attempt| !self.is_held_back(attempt)) {
            let Some(call) = self.call_of(attempt) else { continue };
            let latest_us = call.end.map(|(at_us, _)| at_us + NOTICE_OF_LEAVING_US + SLACK_US);
            if latest_us.is_some_and(|latest_us| attempt.read_us > latest_us) {
                violations.push(violation(Rule::BegunForNobody, attempt.read_us, call.name));
            }
            let told_us = attempt.read_us + attempt.patience_us;
            let was_read_late = self.was_stopped(call.manager, call.sent_us, attempt.read_us);
            if !was_read_late && told_us > call.sent_us + call.ttl_us + DEADLINE_SLACK_US + SLACK_US {
                violations.push(violation(Rule::DeadlineTooLate, attempt.read_us, call.name));
            }
        }
        violations
    }

    fn drains(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for drain in self.faults.iter().filter(|span| span.fault == Fault::EngineDraining) {
            let silences = self.faults.iter().filter(|span| span.fault == Fault::NameServiceSilent);
            let is_silent = silences.into_iter().any(|span| {
                span.begin_us <= drain.begin_us + NOTIFIED_AFTER_US && span.end_us >= drain.begin_us
            });
            let notified_after_us = if is_silent { NOTIFIED_AFTER_SILENCE_US } else { NOTIFIED_AFTER_US };
            let first_us = drain.begin_us + notified_after_us + DRAIN_GRACE_US + SLACK_US;
            let late = self.attempts.iter().filter(|attempt| {
                attempt.engine == drain.target && (first_us..drain.end_us).contains(&attempt.read_us)
            });
            violations.extend(late.map(|one| violation(Rule::SentToDraining, one.read_us, one.name)));
        }
        violations
    }
}

fn is_at_engine(fault: Fault) -> bool {
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

fn processes(records: &[Record]) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut starting: HashMap<usize, u64> = HashMap::new();
    for Record { at_us, event } in records {
        match event {
            Event::ManagerStarted { manager } => {
                starting.insert(*manager, *at_us);
            }
            Event::ManagerReady { manager } => {
                let started_us = starting.remove(manager).unwrap_or(*at_us);
                if at_us - started_us > READY_WITHIN_US + SLACK_US {
                    violations.push(violation(Rule::NotReady, *at_us, &format!("manager {manager}")));
                }
            }
            Event::ManagerEnded { manager, success: false } => {
                violations.push(violation(Rule::ProcessFailed, *at_us, &format!("manager {manager}")));
            }
            _ => {}
        }
    }
    let never = starting.into_iter();
    violations.extend(
        never.map(|(manager, at_us)| violation(Rule::NotReady, at_us, &format!("manager {manager}"))),
    );
    violations
}

fn violation(rule: Rule, at_us: u64, subject: &str) -> Violation {
    Violation { rule, at_us, subject: subject.to_owned() }
}

#[cfg(test)]
mod tests;
