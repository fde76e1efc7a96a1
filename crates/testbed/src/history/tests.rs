use super::*;

fn history(lines: &[(Manager, &str)]) -> History {
    let mut history = History::default();
    lines.iter().for_each(|(manager, line)| history.add_log(*manager, line));
    history
}

#[test]
fn overlapping_lease_terms_are_detected() {
    let acquired = "[x INFO  sanddyke] lease acquired lease=backup fencing_token=5 at_us=1000 for_us=500";
    let next = |at: u64| format!("lease acquired lease=backup fencing_token=9 at_us={at} for_us=500");
    assert!(history(&[(0, acquired), (1, &next(1500))]).check().is_ok());
    assert!(history(&[(0, acquired), (1, &next(1499))]).check_single_holder().is_err());
    let extended = "lease extended lease=backup fencing_token=5 at_us=1400 for_us=500";
    assert!(
        history(&[(0, acquired), (0, extended), (1, &next(1500))]).check_single_holder().is_err(),
        "the first manager extended its lease until 1900"
    );
    let ended = "lease ended lease=backup fencing_token=5 at_us=1450 reason=it was handed over";
    assert!(history(&[(0, acquired), (0, extended), (0, ended), (1, &next(1500))]).check().is_ok());
    let mut killed = history(&[(0, acquired), (0, extended), (1, &next(1500))]);
    killed.add(1450, 0, Event::Killed);
    assert!(killed.check().is_ok(), "the kill ended the first lease term");
    assert_eq!(killed.gaps_us("backup"), [50]);
}

#[test]
fn non_increasing_fencing_tokens_are_detected() {
    let history = history(&[
        (0, "lease acquired lease=backup fencing_token=9 at_us=1000 for_us=5"),
        (1, "lease acquired lease=backup fencing_token=9 at_us=2000 for_us=5"),
    ]);
    assert!(history.check_tokens_increase().is_err());
}

#[test]
fn operation_applied_twice_is_detected() {
    let written = |manager: Manager, at: u64| {
        format!("backup written lease=backup period=7 fencing_token={manager} at_us={at}")
    };
    assert!(history(&[(0, &written(0, 1))]).check_operations_applied_once().is_ok());
    assert!(history(&[(0, &written(0, 1)), (1, &written(1, 2))]).check_operations_applied_once().is_err());
    let present = "backup already present lease=backup period=7 fencing_token=3 at_us=9";
    assert!(
        history(&[(0, &written(0, 1)), (1, present)]).check_operations_applied_once().is_ok(),
        "an already present backup is not written again"
    );
}
