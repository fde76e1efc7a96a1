//! The distribution that Algorithm 1 of the paper fits to latencies.

use special::Gamma;

/// Lower bound of the shapes that are searched for a CV.
const MIN_SHAPE: f64 = 1e-4;
/// Upper bound of the shapes that are searched for a CV.
const MAX_SHAPE: f64 = 1e6;
/// Number of bisection steps over the logarithm of that range. They leave a relative error of the shape of about 2e-14,
/// close to the precision of a float.
const BISECTION_STEPS: u32 = 50;

/// The generalized exponential distribution, `(1 - exp(-x / scale)) ^ shape`, from equations (4) and (5) of the paper.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GeneralizedExponential {
    /// Exponent of the distribution function; 1 is the exponential distribution. `with_cv` sets it within 1e-4 and 1e6.
    pub shape: f64,
    /// Mean divided by scale.
    pub mean_over_scale: f64,
}

/// Returns mean divided by scale of the distribution with this shape.
fn mean_over_scale_of(shape: f64) -> f64 {
    (shape + 1.0).digamma() - 1f64.digamma()
}

/// Returns the CV of the distribution with this shape.
fn cv_of(shape: f64) -> f64 {
    let variance = (1f64.trigamma() - (shape + 1.0).trigamma()).max(0.0);
    variance.sqrt() / mean_over_scale_of(shape)
}

impl GeneralizedExponential {
    /// Returns the distribution with this CV. The CV decreases as the shape increases, so the shape is found by
    /// bisection of its logarithm.
    pub fn with_cv(cv: f64) -> GeneralizedExponential {
        let mut low = MIN_SHAPE.ln();
        let mut high = MAX_SHAPE.ln();
        for _ in 0..BISECTION_STEPS {
            let shape = f64::exp((low + high) / 2.0);
            if cv_of(shape) > cv {
                low = shape.ln();
            } else {
                high = shape.ln();
            }
        }
        let shape = f64::exp((low + high) / 2.0);
        GeneralizedExponential { shape, mean_over_scale: mean_over_scale_of(shape) }
    }

    /// Returns the fraction of latencies that are at most `x`, for latencies with the mean `mean` in the same unit.
    pub fn fraction_within(&self, x: f64, mean: f64) -> f64 {
        (1.0 - (-x * self.mean_over_scale / mean).exp()).powf(self.shape)
    }
}
