//! Compares the estimated offsets with known true offsets.

use super::*;
use proptest::prelude::*;

proptest! {
    /// For any set of constraints, the true offsets are within the error bounds, and the estimates satisfy each
    /// constraint.
    #[test]
    fn estimates_are_within_their_bounds_and_satisfy_each_constraint(
        true_offsets_us in prop::collection::vec(-5_000i64..5_000, 2..6),
        events in prop::collection::vec((0usize..6, 0usize..6, 0i64..3_000, 0i64..1_000_000), 0..80),
    ) {
        let managers = true_offsets_us.len();
        let mut clocks = ClockConstraints::new((0..managers).map(|number| format!("m{number}")));
        let mut constraints = Vec::new();
        for (a, b, gap_us, at_us) in events {
            let (a, b) = (a % managers, b % managers);
            let earlier = LocalTime { manager: a, at_us: at_us + true_offsets_us[a] };
            let later = LocalTime { manager: b, at_us: at_us + gap_us + true_offsets_us[b] };
            clocks.add(earlier, later);
            constraints.push((earlier, later));
        }
        match clocks.offsets() {
            Err(ClockError::Unbounded(..)) => {}
            Err(error) => prop_assert!(false, "the clocks did not drift: {}", error),
            Ok(offsets) => {
                for (manager, offset) in offsets.iter().enumerate() {
                    let true_us = true_offsets_us[manager] - true_offsets_us[0];
                    prop_assert!((offset.ahead_us - true_us).abs() <= offset.error_bound_us, "{:?} {}", offset, true_us);
                }
                for (earlier, later) in constraints {
                    let earlier_us = earlier.at_us - offsets[earlier.manager].ahead_us;
                    let later_us = later.at_us - offsets[later.manager].ahead_us;
                    // Midpoints are rounded to whole microseconds.
                    prop_assert!(earlier_us <= later_us + 1, "{:?} then {:?}", earlier, later);
                }
            }
        }
    }
}

#[test]
fn one_way_constraints_are_not_enough_and_a_drifted_clock_is_reported() {
    let at = |manager, at_us| LocalTime { manager, at_us };
    let mut clocks = ClockConstraints::new(["b".to_owned(), "a".to_owned()]);
    clocks.add(at(0, 100), at(1, 150));
    assert_eq!(clocks.offsets().unwrap_err(), ClockError::Unbounded("a".to_owned(), "b".to_owned()));
    clocks.add(at(1, 200), at(0, 170));
    let offsets = clocks.offsets().unwrap();
    assert_eq!((offsets[1].ahead_us, offsets[1].error_bound_us), (40, 10));
    clocks.add(at(0, 300), at(1, 320));
    assert!(matches!(clocks.offsets().unwrap_err(), ClockError::Inconsistent(_, 10)));
}
