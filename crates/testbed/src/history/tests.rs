use super::*;

fn history(lines: &[(Manager, &str)]) -> History {
    let mut history = History::default();
    lines.iter().for_each(|(manager, line)| history.add_log(*manager, line));
    history
}

#[test]
fn two_holders_at_one_moment_are_found() {
    let acquired = "[x INFO  sanddyke] lease acquired lease=backup fencing_token=5 at_us=1000 for_us=500";
    let next = |at: u64| format!("lease acquired lease=backup fencing_token=9 at_us={at} for_us=500");
    assert!(history(&[(0, acquired), (1, &next(1500))]).check().is_ok());
    assert!(history(&[(0, acquired), (1, &next(1499))]).check_single_holder().is_err());
    let extended = "lease extended lease=backup fencing_token=5 at_us=1400 for_us=500";
    assert!(
        history(&[(0, acquired), (0, extended), (1, &next(1500))]).check_single_holder().is_err(),
        "it was extended"
    );
    let ended = "lease ended lease=backup fencing_token=5 at_us=1450 reason=it was handed over";
    assert!(history(&[(0, acquired), (0, extended), (0, ended), (1, &next(1500))]).check().is_ok());
    let mut killed = history(&[(0, acquired), (0, extended), (1, &next(1500))]);
    killed.add(1450, 0, Event::Killed);
    assert!(killed.check().is_ok(), "a manager that was killed holds nothing");
    assert_eq!(killed.gaps_us("backup"), [50]);
}

#[test]
fn fencing_tokens_that_do_not_increase_are_found() {
    let history = history(&[
        (0, "lease acquired lease=backup fencing_token=9 at_us=1000 for_us=5"),
        (1, "lease acquired lease=backup fencing_token=9 at_us=2000 for_us=5"),
    ]);
    assert!(history.check_tokens_increase().is_err());
}

#[test]
fn what_was_made_twice_is_found() {
    let written = |manager: Manager, at: u64| {
        format!("backup written lease=backup period=7 fencing_token={manager} at_us={at}")
    };
    assert!(history(&[(0, &written(0, 1))]).check_made_once().is_ok());
    assert!(history(&[(0, &written(0, 1)), (1, &written(1, 2))]).check_made_once().is_err());
    let present = "backup already present lease=backup period=7 fencing_token=3 at_us=9";
    assert!(history(&[(0, &written(0, 1)), (1, present)]).check_made_once().is_ok(), "no second one");
}
