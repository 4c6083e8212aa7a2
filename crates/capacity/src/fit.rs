//! Slopes: least squares of what was counted against a stated form, and what it foretells.

/// How a cost grows with a size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// It does not grow.
    Constant,
    /// With the logarithm.
    Logarithm,
    /// In proportion, beside a fixed part.
    Linear,
}

impl Form {
    fn of(self, size: f64) -> f64 {
        match self {
            Form::Constant => 0.0,
            Form::Logarithm => size.ln(),
            Form::Linear => size,
        }
    }
}

/// A cost as `fixed + slope x form(size)`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// The form that was fitted.
    pub form: Form,
    /// The part that does not grow.
    pub fixed: f64,
    /// What a unit of the form costs.
    pub slope: f64,
    /// The largest distance of a point from the line, as a part of the point.
    pub residual: f64,
}

/// Sizes at the least, so that a form can be refuted.
pub const SIZES_LEAST: usize = 3;

impl Fit {
    /// Least squares over points of size and cost.
    ///
    /// # Panics
    /// With fewer than [`SIZES_LEAST`] points.
    pub fn of(form: Form, points: &[(f64, f64)]) -> Fit {
        assert!(points.len() >= SIZES_LEAST, "{} points, {SIZES_LEAST} at least", points.len());
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(size, _)| form.of(*size)).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, cost)| cost).sum::<f64>() / count;
        let covariance: f64 = points.iter().map(|(x, y)| (form.of(*x) - mean_x) * (y - mean_y)).sum();
        let variance: f64 = points.iter().map(|(x, _)| (form.of(*x) - mean_x).powi(2)).sum();
        let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
        let mut fit = Fit { form, fixed: mean_y - slope * mean_x, slope, residual: 0.0 };
        let misses = points.iter().map(|point| fit.miss(*point));
        fit.residual = misses.fold(0.0, f64::max);
        fit
    }

    /// The cost at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.fixed + self.slope * self.form.of(size)
    }

    /// How far the fit is from a point, as a part of the point.
    pub fn miss(&self, (size, cost): (f64, f64)) -> f64 {
        (self.at(size) - cost).abs() / cost.abs().max(f64::MIN_POSITIVE)
    }

    /// Fits all points but the one of the largest size; the fit, and how far it is from that one.
    ///
    /// # Panics
    /// With no more than [`SIZES_LEAST`] points.
    pub fn foretold(form: Form, points: &[(f64, f64)]) -> (Fit, f64) {
        let mut sorted = points.to_vec();
        sorted.sort_by(|left, right| left.0.total_cmp(&right.0));
        let largest = sorted.pop().expect("there are points");
        let fit = Fit::of(form, &sorted);
        (fit, fit.miss(largest))
    }
}
