//! The law, the memo and the windows against values worked out by hand.

use super::*;

#[test]
fn cv_one_is_the_exponential() {
    let law = GeneralizedExponential::with_cv(1.0);
    assert!((law.shape - 1.0).abs() < 1e-6, "{law:?}");
    assert!((law.mean_over_scale - 1.0).abs() < 1e-6, "{law:?}");
    assert!((law.fraction_within(3.0, 2.0) - (1.0 - (-1.5f64).exp())).abs() < 1e-6);
}

/// Shape 2 has mean 3/2 and variance 5/4 of the scale: the larger of two exponentials.
#[test]
fn the_larger_of_two_exponentials_has_shape_two() {
    let law = GeneralizedExponential::with_cv(1.25f64.sqrt() / 1.5);
    assert!((law.shape - 2.0).abs() < 1e-6, "{law:?}");
    assert!((law.mean_over_scale - 1.5).abs() < 1e-6, "{law:?}");
}

#[test]
fn a_memo_works_out_each_step_once() {
    let (mut memo, mut worked) = (StepCache::default(), 0);
    let mut product = |a: f64, b: f64| {
        memo.get_or_compute(a, b, |a, b| {
            worked += 1;
            a * b
        })
    };
    for _ in 0..3 {
        assert!((product(0.8, 900.0) / 720.0 - 1.0).abs() < 0.011);
        assert_eq!(product(0.8005, 900.5), product(0.8, 900.0), "of the same step");
    }
    assert_ne!(product(0.83, 900.0), product(0.8, 900.0));
    assert_eq!(worked, 2);
}

#[test]
fn a_timeline_counts_both_sides_of_a_point() {
    let mut line = Timeline::default();
    [1.0, 2.0, 2.0, 3.0].into_iter().for_each(|at| line.push(at));
    assert_eq!((line.since(2.0), line.after(2.0)), (3, 1));
    line.trim(2.0);
    assert_eq!((line.since(0.0), line.after(9.0)), (3, 0));
}

#[test]
fn a_window_holds_so_many_and_so_long() {
    let mut window = Window::new(3);
    for at in 0..5 {
        window.push(f64::from(at), None, 1.0);
    }
    assert_eq!((window.len(), window.moments()), (3, None));
    window.trim(4.0);
    assert_eq!(window.len(), 1);
    window.trim(9.0);
    assert!(window.is_empty());
}
