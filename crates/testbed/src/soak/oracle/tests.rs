//! For each rule, a history that breaks it, and a variant of the same history that keeps it.

use super::*;

/// Builds a history event by event.
#[derive(Default)]
struct HistoryBuilder(Vec<Record>);

impl HistoryBuilder {
    fn at(mut self, at_ms: u64, event: Event) -> HistoryBuilder {
        self.0.push(Record { at_us: at_ms * US_PER_MS, event });
        self
    }

    fn sent(self, at_ms: u64, call: u64, name: &str, effect: Effect) -> HistoryBuilder {
        let key = matches!(effect, Effect::Keyed { .. }).then(|| "key".to_owned());
        let name = name.to_owned();
        self.at(at_ms, Event::RequestSent { call, name, key, effect, ttl_ms: 2000, manager: 0 })
    }

    fn read(self, at_ms: u64, attempt: u64, engine: usize, name: &str) -> HistoryBuilder {
        let patience_ms = 2000 - at_ms.min(1999);
        self.at(at_ms, Event::AttemptRead { attempt, engine, name: name.to_owned(), key: None, patience_ms })
    }

    fn read_keyed(self, at_ms: u64, attempt: u64, name: &str) -> HistoryBuilder {
        let (name, key) = (name.to_owned(), Some("key".to_owned()));
        self.at(at_ms, Event::AttemptRead { attempt, engine: 0, name, key, patience_ms: 1 })
    }

    fn attempt_ended(self, at_ms: u64, attempt: u64, over: AttemptEnd) -> HistoryBuilder {
        self.at(at_ms, Event::AttemptOver { attempt, over })
    }

    fn answered(self, at_ms: u64, call: u64) -> HistoryBuilder {
        self.at(at_ms, Event::Answered { call, status: 200, is_own: true })
    }

    fn fault(self, from_ms: u64, to_ms: u64, fault: Fault, target: usize) -> HistoryBuilder {
        let mut history = self.at(from_ms, Event::FaultBegun { fault, target });
        history = history.at(to_ms, Event::FaultEnded { fault, target });
        history.0.sort_by_key(|record| record.at_us);
        history
    }

    fn broken_rules(&self) -> Vec<Rule> {
        check(&self.0).into_iter().map(|violation| violation.rule).collect()
    }
}

const KEYED: Effect = Effect::Keyed { window_ms: 1000 };

#[test]
fn a_second_attempt_is_a_violation_until_the_first_has_ended() {
    let history = |ended_ms| {
        let history = HistoryBuilder::default().sent(0, 1, "a", Effect::Repeatable).read(5, 1, 0, "a");
        history
            .attempt_ended(ended_ms, 1, AttemptEnd::StopRead)
            .read(500, 2, 1, "a")
            .attempt_ended(600, 2, AttemptEnd::EndWritten)
            .answered(601, 1)
    };
    assert_eq!(history(499).broken_rules(), []);
    let mut late = history(501);
    late.0.sort_by_key(|record| record.at_us);
    assert_eq!(late.broken_rules(), [Rule::TwoAttempts]);
}

#[test]
fn two_requests_with_one_key_in_flight_at_once_are_a_violation() {
    let history = HistoryBuilder::default().sent(0, 1, "a", KEYED).read_keyed(5, 1, "a").answered(300, 1);
    let history = history.sent(400, 2, "b", KEYED).read_keyed(405, 2, "b").answered(500, 2);
    assert_eq!(
        history
            .attempt_ended(600, 1, AttemptEnd::StopRead)
            .attempt_ended(601, 2, AttemptEnd::EndWritten)
            .broken_rules(),
        [Rule::TwoAttempts]
    );
}

#[test]
fn a_repeat_of_a_once_only_request_is_a_violation_if_it_was_possibly_executed() {
    let history = |end| {
        let history = HistoryBuilder::default()
            .sent(0, 1, "a", Effect::Once)
            .read(5, 1, 0, "a")
            .attempt_ended(100, 1, end);
        history.read(200, 2, 0, "a").attempt_ended(300, 2, AttemptEnd::EndWritten).answered(301, 1)
    };
    assert_eq!(history(AttemptEnd::NeverRan).broken_rules(), []);
    for end in [AttemptEnd::EndWritten, AttemptEnd::StopRead, AttemptEnd::Closed] {
        assert_eq!(history(end).broken_rules(), [Rule::UnsafeRepeat]);
    }
}

#[test]
fn a_repeat_after_the_deduplication_window_is_a_violation() {
    let history = |repeat_ms| {
        let history = HistoryBuilder::default().sent(0, 1, "a", KEYED).read_keyed(5, 1, "a").attempt_ended(
            100,
            1,
            AttemptEnd::Closed,
        );
        history
            .read_keyed(repeat_ms, 2, "a")
            .attempt_ended(repeat_ms + 1, 2, AttemptEnd::EndWritten)
            .answered(repeat_ms + 2, 1)
    };
    assert_eq!(history(1000).broken_rules(), []);
    assert_eq!(history(1100).broken_rules(), [Rule::RepeatOutsideWindow]);
}

#[test]
fn a_missing_or_late_answer_is_a_violation() {
    let history = || HistoryBuilder::default().sent(0, 1, "a", Effect::Repeatable);
    assert_eq!(history().answered(2500, 1).broken_rules(), []);
    assert_eq!(history().answered(2600, 1).broken_rules(), [Rule::LateAnswer]);
    assert_eq!(history().at(100, Event::Unanswered { call: 1 }).broken_rules(), [Rule::NoAnswer]);
    assert_eq!(history().at(4000, Event::ClientLeft { call: 1 }).broken_rules(), [Rule::NoAnswer]);
    assert_eq!(history().at(1000, Event::ClientLeft { call: 1 }).broken_rules(), []);
    assert_eq!(history().broken_rules(), [Rule::NoAnswer]);
}

#[test]
fn a_missing_answer_is_excused_only_by_a_kill_or_by_arrival_after_shutdown_began() {
    let history = |sent_ms| {
        let history = HistoryBuilder::default().sent(sent_ms, 1, "a", Effect::Repeatable);
        history.at(sent_ms + 100, Event::Unanswered { call: 1 })
    };
    assert_eq!(history(1000).fault(1050, 1050, Fault::ManagerKilled, 0).broken_rules(), []);
    assert_eq!(history(1000).fault(1050, 1050, Fault::ManagerKilled, 1).broken_rules(), [Rule::NoAnswer]);
    assert_eq!(history(1000).fault(500, 3000, Fault::ManagerTerminated, 0).broken_rules(), []);
    assert_eq!(history(1000).fault(700, 3000, Fault::ManagerTerminated, 0).broken_rules(), [Rule::NoAnswer]);
    assert_eq!(history(1000).fault(900, 2000, Fault::EnginePaused, 0).broken_rules(), [Rule::NoAnswer]);
}

#[test]
fn rows_of_another_request_are_a_violation() {
    let history = HistoryBuilder::default().sent(0, 1, "a", Effect::Repeatable);
    let history = history.at(100, Event::Answered { call: 1, status: 200, is_own: false });
    assert_eq!(history.broken_rules(), [Rule::WrongRows]);
}

#[test]
fn an_attempt_begun_after_its_client_disconnected_is_a_violation_unless_a_fault_delayed_it() {
    let history = |read_ms| {
        let history = HistoryBuilder::default()
            .sent(0, 1, "a", Effect::Repeatable)
            .at(500, Event::ClientLeft { call: 1 });
        history.read(read_ms, 1, 0, "a").attempt_ended(read_ms + 1, 1, AttemptEnd::StopRead)
    };
    assert_eq!(history(640).broken_rules(), []);
    assert_eq!(history(660).broken_rules(), [Rule::BegunForNobody]);
    assert_eq!(
        history(660).fault(100, 655, Fault::LinkCut, 0).broken_rules(),
        [],
        "the cut link delayed the attempt"
    );
    assert_eq!(history(660).fault(100, 655, Fault::LinkCut, 1).broken_rules(), [Rule::BegunForNobody]);
}

#[test]
fn a_deadline_later_than_the_clients_is_a_violation() {
    let history = |patience_ms| {
        let read = Event::AttemptRead { attempt: 1, engine: 0, name: "a".to_owned(), key: None, patience_ms };
        let history = HistoryBuilder::default().sent(0, 1, "a", Effect::Repeatable).at(1000, read);
        history.attempt_ended(1100, 1, AttemptEnd::EndWritten).answered(1101, 1)
    };
    assert_eq!(history(1190).broken_rules(), []);
    assert_eq!(history(1210).broken_rules(), [Rule::DeadlineTooLate]);
}

#[test]
fn an_attempt_on_a_draining_engine_is_a_violation_once_the_managers_are_notified() {
    let history = |read_ms| {
        let history =
            HistoryBuilder::default().sent(read_ms, 1, "a", Effect::Repeatable).read(read_ms, 1, 2, "a");
        let history = history.attempt_ended(read_ms + 1, 1, AttemptEnd::EndWritten).answered(read_ms + 2, 1);
        history.fault(100, 5000, Fault::EngineDraining, 2)
    };
    let is_sent_to_draining =
        |history: HistoryBuilder| history.broken_rules().contains(&Rule::SentToDraining);
    assert!(!is_sent_to_draining(history(2000)));
    assert!(is_sent_to_draining(history(2200)));
    assert!(
        !is_sent_to_draining(history(2200).fault(50, 1000, Fault::NameServiceSilent, 0)),
        "the managers were not notified yet"
    );
    assert!(!is_sent_to_draining(history(5100)));
}

#[test]
fn a_failed_or_unready_process_is_a_violation() {
    let started = || HistoryBuilder::default().at(0, Event::ManagerStarted { manager: 3 });
    assert_eq!(started().at(9000, Event::ManagerReady { manager: 3 }).broken_rules(), []);
    assert_eq!(started().at(10_100, Event::ManagerReady { manager: 3 }).broken_rules(), [Rule::NotReady]);
    assert_eq!(started().broken_rules(), [Rule::NotReady]);
    let ended = started().at(1, Event::ManagerReady { manager: 3 });
    assert_eq!(
        ended.at(2, Event::ManagerEnded { manager: 3, success: false }).broken_rules(),
        [Rule::ProcessFailed]
    );
}

#[test]
fn attempts_of_different_processes_of_one_manager_may_be_in_flight_at_once() {
    let history = |started_ms| {
        let history = HistoryBuilder::default().sent(0, 1, "a", KEYED).read_keyed(5, 1, "a").answered(300, 1);
        let history = history.at(started_ms, Event::ManagerStarted { manager: 0 });
        let history = history.at(started_ms, Event::ManagerReady { manager: 0 });
        let history = history.sent(400, 2, "b", KEYED).read_keyed(405, 2, "b").answered(500, 2);
        let mut history =
            history.attempt_ended(600, 1, AttemptEnd::StopRead).attempt_ended(601, 2, AttemptEnd::EndWritten);
        history.0.sort_by_key(|record| record.at_us);
        history
    };
    assert_eq!(history(350).broken_rules(), []);
    assert_eq!(history(450).broken_rules(), [Rule::TwoAttempts]);
}
