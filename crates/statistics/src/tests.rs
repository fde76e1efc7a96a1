//! Compares the distribution, the step cache, the timeline and the windows with values calculated by hand.

use super::*;

#[test]
fn cv_one_is_the_exponential_distribution() {
    let distribution = GeneralizedExponential::with_cv(1.0);
    assert!((distribution.shape - 1.0).abs() < 1e-6, "{distribution:?}");
    assert!((distribution.mean_over_scale - 1.0).abs() < 1e-6, "{distribution:?}");
    assert!((distribution.fraction_within(3.0, 2.0) - (1.0 - (-1.5f64).exp())).abs() < 1e-6);
}

/// The larger of two exponential variables has shape 2: its mean is 3/2 of the scale, its variance 5/4 of the squared
/// scale.
#[test]
fn the_larger_of_two_exponentials_has_shape_two() {
    let distribution = GeneralizedExponential::with_cv(1.25f64.sqrt() / 1.5);
    assert!((distribution.shape - 2.0).abs() < 1e-6, "{distribution:?}");
    assert!((distribution.mean_over_scale - 1.5).abs() < 1e-6, "{distribution:?}");
}

#[test]
fn a_step_cache_computes_each_step_once() {
    let (mut cache, mut computed) = (StepCache::default(), 0);
    let mut product = |a: f64, b: f64| {
        cache.get_or_compute(a, b, |a, b| {
            computed += 1;
            a * b
        })
    };
    for _ in 0..3 {
        assert!((product(0.8, 900.0) / 720.0 - 1.0).abs() < 0.011);
        assert_eq!(
            product(0.8005, 900.5),
            product(0.8, 900.0),
            "both pairs of arguments are in the same step"
        );
    }
    assert_ne!(product(0.83, 900.0), product(0.8, 900.0));
    assert_eq!(computed, 2);
}

#[test]
fn a_timeline_counts_events_from_a_time_and_after_it() {
    let mut timeline = Timeline::default();
    [1.0, 2.0, 2.0, 3.0].into_iter().for_each(|at| timeline.push(at));
    assert_eq!((timeline.since(2.0), timeline.after(2.0)), (3, 1));
    timeline.trim(2.0);
    assert_eq!((timeline.since(0.0), timeline.after(9.0)), (3, 0));
}

#[test]
fn a_window_is_limited_by_its_capacity_and_trimmed_by_age() {
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
