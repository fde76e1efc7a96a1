//! With each rule a history that breaks it, beside the same history where it holds.

use super::*;

/// A history in the making.
#[derive(Default)]
struct Story(Vec<Record>);

impl Story {
    fn at(mut self, at_ms: u64, event: Event) -> Story {
        self.0.push(Record { at_us: at_ms * MS, event });
        self
    }

    fn sent(self, at_ms: u64, call: u64, name: &str, effect: Effect) -> Story {
        let key = matches!(effect, Effect::Keyed { .. }).then(|| "key".to_owned());
        let name = name.to_owned();
        self.at(at_ms, Event::RequestSent { call, name, key, effect, ttl_ms: 2000, manager: 0 })
    }

    fn read(self, at_ms: u64, attempt: u64, engine: usize, name: &str) -> Story {
        let patience_ms = 2000 - at_ms.min(1999);
        self.at(at_ms, Event::AttemptRead { attempt, engine, name: name.to_owned(), key: None, patience_ms })
    }

    fn read_keyed(self, at_ms: u64, attempt: u64, name: &str) -> Story {
        let (name, key) = (name.to_owned(), Some("key".to_owned()));
        self.at(at_ms, Event::AttemptRead { attempt, engine: 0, name, key, patience_ms: 1 })
    }

    fn over(self, at_ms: u64, attempt: u64, over: Over) -> Story {
        self.at(at_ms, Event::AttemptOver { attempt, over })
    }

    fn answered(self, at_ms: u64, call: u64) -> Story {
        self.at(at_ms, Event::Answered { call, status: 200, is_own: true })
    }

    fn fault(self, from_ms: u64, to_ms: u64, fault: Fault, target: usize) -> Story {
        let mut story = self.at(from_ms, Event::FaultBegun { fault, target });
        story = story.at(to_ms, Event::FaultEnded { fault, target });
        story.0.sort_by_key(|record| record.at_us);
        story
    }

    fn broken(&self) -> Vec<Rule> {
        check(&self.0).into_iter().map(|violation| violation.rule).collect()
    }
}

const KEYED: Effect = Effect::Keyed { window_ms: 1000 };

#[test]
fn a_second_attempt_beside_the_first_is_found() {
    let story = |over| {
        let story = Story::default().sent(0, 1, "a", Effect::Repeatable).read(5, 1, 0, "a");
        story
            .over(over, 1, Over::StopRead)
            .read(500, 2, 1, "a")
            .over(600, 2, Over::EndWritten)
            .answered(601, 1)
    };
    assert_eq!(story(499).broken(), []);
    let mut late = story(501);
    late.0.sort_by_key(|record| record.at_us);
    assert_eq!(late.broken(), [Rule::TwoAttempts]);
}

#[test]
fn a_second_attempt_with_the_key_of_another_request_is_found() {
    let story = Story::default().sent(0, 1, "a", KEYED).read_keyed(5, 1, "a").answered(300, 1);
    let story = story.sent(400, 2, "b", KEYED).read_keyed(405, 2, "b").answered(500, 2);
    assert_eq!(
        story.over(600, 1, Over::StopRead).over(601, 2, Over::EndWritten).broken(),
        [Rule::TwoAttempts]
    );
}

#[test]
fn the_repeat_of_a_request_that_may_have_run_is_found() {
    let story = |over| {
        let story = Story::default().sent(0, 1, "a", Effect::Once).read(5, 1, 0, "a").over(100, 1, over);
        story.read(200, 2, 0, "a").over(300, 2, Over::EndWritten).answered(301, 1)
    };
    assert_eq!(story(Over::NeverRan).broken(), []);
    for over in [Over::EndWritten, Over::StopRead, Over::Closed] {
        assert_eq!(story(over).broken(), [Rule::UnsafeRepeat]);
    }
}

#[test]
fn a_repeat_outside_the_window_of_its_key_is_found() {
    let story = |again_ms| {
        let story = Story::default().sent(0, 1, "a", KEYED).read_keyed(5, 1, "a").over(100, 1, Over::Closed);
        story.read_keyed(again_ms, 2, "a").over(again_ms + 1, 2, Over::EndWritten).answered(again_ms + 2, 1)
    };
    assert_eq!(story(1000).broken(), []);
    assert_eq!(story(1100).broken(), [Rule::RepeatOutsideWindow]);
}

#[test]
fn a_request_without_an_answer_or_with_a_late_one_is_found() {
    let story = || Story::default().sent(0, 1, "a", Effect::Repeatable);
    assert_eq!(story().answered(2500, 1).broken(), []);
    assert_eq!(story().answered(2600, 1).broken(), [Rule::LateAnswer]);
    assert_eq!(story().at(100, Event::Unanswered { call: 1 }).broken(), [Rule::NoAnswer]);
    assert_eq!(story().at(4000, Event::ClientLeft { call: 1 }).broken(), [Rule::NoAnswer]);
    assert_eq!(story().at(1000, Event::ClientLeft { call: 1 }).broken(), []);
    assert_eq!(story().broken(), [Rule::NoAnswer]);
}

#[test]
fn only_a_kill_or_a_late_arrival_excuses_a_request_without_an_answer() {
    let story = |sent_ms| {
        let story = Story::default().sent(sent_ms, 1, "a", Effect::Repeatable);
        story.at(sent_ms + 100, Event::Unanswered { call: 1 })
    };
    assert_eq!(story(1000).fault(1050, 1050, Fault::ManagerKilled, 0).broken(), []);
    assert_eq!(story(1000).fault(1050, 1050, Fault::ManagerKilled, 1).broken(), [Rule::NoAnswer]);
    assert_eq!(story(1000).fault(500, 3000, Fault::ManagerTerminated, 0).broken(), []);
    assert_eq!(story(1000).fault(700, 3000, Fault::ManagerTerminated, 0).broken(), [Rule::NoAnswer]);
    assert_eq!(story(1000).fault(900, 2000, Fault::EnginePaused, 0).broken(), [Rule::NoAnswer]);
}

#[test]
fn rows_of_another_request_are_found() {
    let story = Story::default().sent(0, 1, "a", Effect::Repeatable);
    let story = story.at(100, Event::Answered { call: 1, status: 200, is_own: false });
    assert_eq!(story.broken(), [Rule::WrongRows]);
}

#[test]
fn an_attempt_for_a_client_that_has_left_is_found() {
    let story = |read_ms| {
        let story =
            Story::default().sent(0, 1, "a", Effect::Repeatable).at(500, Event::ClientLeft { call: 1 });
        story.read(read_ms, 1, 0, "a").over(read_ms + 1, 1, Over::StopRead)
    };
    assert_eq!(story(640).broken(), []);
    assert_eq!(story(660).broken(), [Rule::BegunForNobody]);
    assert_eq!(story(660).fault(100, 655, Fault::LinkCut, 0).broken(), [], "the cut link held it back");
    assert_eq!(story(660).fault(100, 655, Fault::LinkCut, 1).broken(), [Rule::BegunForNobody]);
}

#[test]
fn a_deadline_beyond_the_clients_is_found() {
    let story = |patience_ms| {
        let read = Event::AttemptRead { attempt: 1, engine: 0, name: "a".to_owned(), key: None, patience_ms };
        let story = Story::default().sent(0, 1, "a", Effect::Repeatable).at(1000, read);
        story.over(1100, 1, Over::EndWritten).answered(1101, 1)
    };
    assert_eq!(story(1190).broken(), []);
    assert_eq!(story(1210).broken(), [Rule::DeadlineTooLate]);
}

#[test]
fn an_attempt_on_an_engine_that_drains_is_found() {
    let story = |read_ms| {
        let story = Story::default().sent(read_ms, 1, "a", Effect::Repeatable).read(read_ms, 1, 2, "a");
        let story = story.over(read_ms + 1, 1, Over::EndWritten).answered(read_ms + 2, 1);
        story.fault(100, 5000, Fault::EngineDraining, 2)
    };
    let drained = |story: Story| story.broken().contains(&Rule::SentToDraining);
    assert!(!drained(story(2000)));
    assert!(drained(story(2200)));
    assert!(!drained(story(2200).fault(50, 1000, Fault::NameServiceSilent, 0)), "nobody was notified");
    assert!(!drained(story(5100)));
}

#[test]
fn a_process_that_fails_or_is_not_ready_is_found() {
    let started = || Story::default().at(0, Event::ManagerStarted { manager: 3 });
    assert_eq!(started().at(9000, Event::ManagerReady { manager: 3 }).broken(), []);
    assert_eq!(started().at(10_100, Event::ManagerReady { manager: 3 }).broken(), [Rule::NotReady]);
    assert_eq!(started().broken(), [Rule::NotReady]);
    let ended = started().at(1, Event::ManagerReady { manager: 3 });
    assert_eq!(
        ended.at(2, Event::ManagerEnded { manager: 3, success: false }).broken(),
        [Rule::ProcessFailed]
    );
}

#[test]
fn a_manager_that_was_started_again_knows_nothing_of_what_it_sent() {
    let story = |started_ms| {
        let story = Story::default().sent(0, 1, "a", KEYED).read_keyed(5, 1, "a").answered(300, 1);
        let story = story.at(started_ms, Event::ManagerStarted { manager: 0 });
        let story = story.at(started_ms, Event::ManagerReady { manager: 0 });
        let story = story.sent(400, 2, "b", KEYED).read_keyed(405, 2, "b").answered(500, 2);
        let mut story = story.over(600, 1, Over::StopRead).over(601, 2, Over::EndWritten);
        story.0.sort_by_key(|record| record.at_us);
        story
    };
    assert_eq!(story(350).broken(), []);
    assert_eq!(story(450).broken(), [Rule::TwoAttempts]);
}
