//! The law of latencies that Algorithm 1 of the paper fits.

use special::Gamma;

/// Range in which the shape for a CV is sought.
const MIN_SHAPE: f64 = 1e-4;
/// See [`MIN_SHAPE`].
const MAX_SHAPE: f64 = 1e6;
/// Halvings of that range, by its logarithm: more than a float tells apart.
const BISECTION_STEPS: u32 = 50;

/// The generalized exponential law, `(1 - exp(-x / scale)) ^ shape`: the paper's (4) and (5).
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GeneralizedExponential {
    /// Its shape.
    pub shape: f64,
    /// Its mean over its scale.
    pub mean_over_scale: f64,
}

/// Mean over scale of the law with this shape.
fn mean_of(shape: f64) -> f64 {
    (shape + 1.0).digamma() - 1f64.digamma()
}

/// CV of the law with this shape.
fn cv_of(shape: f64) -> f64 {
    let variance = (1f64.trigamma() - (shape + 1.0).trigamma()).max(0.0);
    variance.sqrt() / mean_of(shape)
}

impl GeneralizedExponential {
    /// The law with this CV, found by bisection of the logarithm of the shape: the CV falls as the shape grows.
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
        GeneralizedExponential { shape, mean_over_scale: mean_of(shape) }
    }

    /// Fraction of the latencies within `x`, where their mean is `mean`.
    pub fn fraction_within(&self, x: f64, mean: f64) -> f64 {
        (1.0 - (-x * self.mean_over_scale / mean).exp()).powf(self.shape)
    }
}
