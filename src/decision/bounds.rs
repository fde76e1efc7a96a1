//! A closed range of numbers.

/// Lower and upper bound of a value, both inclusive.
#[derive(Debug, Clone, Copy)]
pub(super) struct Bounds {
    pub(super) min: f64,
    pub(super) max: f64,
}

impl Bounds {
    /// Bounds from `min` to `max`. `max` must not be less than `min`.
    pub(super) const fn new(min: f64, max: f64) -> Bounds {
        Bounds { min, max }
    }

    /// The nearest value within the bounds.
    pub(super) fn clamp(self, value: f64) -> f64 {
        value.clamp(self.min, self.max)
    }

    /// The nearest value within the bounds; `None` if `value` is infinite or NaN.
    pub(super) fn clamp_finite(self, value: f64) -> Option<f64> {
        value.is_finite().then(|| self.clamp(value))
    }
}
