//! Least-squares fits of measured costs to a model, and extrapolation from them.

/// How a cost grows with a size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// The cost is constant.
    Constant,
    /// The cost grows with the logarithm of the size.
    Logarithm,
    /// The cost grows in proportion to the size, beside a fixed part.
    Linear,
}

impl Form {
    /// The term of the model that depends on the size.
    fn term(self, size: f64) -> f64 {
        match self {
            Form::Constant => 0.0,
            Form::Logarithm => size.ln(),
            Form::Linear => size,
        }
    }
}

/// A cost modelled as `fixed + slope * term(size)`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// The form of the model.
    pub form: Form,
    /// The part that does not depend on the size.
    pub fixed: f64,
    /// The cost per unit of the term.
    pub slope: f64,
    /// The largest relative error of the model over the fitted points.
    pub residual: f64,
}

/// Minimum number of points of a fit. A form with a slope fits any two points exactly, so that it could not
/// be rejected.
pub const MIN_POINTS: usize = 3;

impl Fit {
    /// Fits points of size and cost by least squares.
    ///
    /// # Panics
    /// If there are fewer than [`MIN_POINTS`] points.
    pub fn least_squares(form: Form, points: &[(f64, f64)]) -> Fit {
        assert!(points.len() >= MIN_POINTS, "{} points given, at least {MIN_POINTS} required", points.len());
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(size, _)| form.term(*size)).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, cost)| cost).sum::<f64>() / count;
        let covariance: f64 = points.iter().map(|(x, y)| (form.term(*x) - mean_x) * (y - mean_y)).sum();
        let variance: f64 = points.iter().map(|(x, _)| (form.term(*x) - mean_x).powi(2)).sum();
        let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
        let mut fit = Fit { form, fixed: mean_y - slope * mean_x, slope, residual: 0.0 };
        let errors = points.iter().map(|point| fit.relative_error(*point));
        fit.residual = errors.fold(0.0, f64::max);
        fit
    }

    /// The modelled cost at a size.
    pub fn cost_at(&self, size: f64) -> f64 {
        self.fixed + self.slope * self.form.term(size)
    }

    /// The error of the model at a measured point, relative to the measured cost.
    pub fn relative_error(&self, (size, cost): (f64, f64)) -> f64 {
        (self.cost_at(size) - cost).abs() / cost.abs().max(f64::MIN_POSITIVE)
    }

    /// Fits all points except that of the largest size. Returns the fit and its relative error at that point.
    ///
    /// # Panics
    /// If there are not more than [`MIN_POINTS`] points.
    pub fn extrapolate(form: Form, points: &[(f64, f64)]) -> (Fit, f64) {
        let mut sorted = points.to_vec();
        sorted.sort_by(|left, right| left.0.total_cmp(&right.0));
        let largest = sorted.pop().expect("at least one point");
        let fit = Fit::least_squares(form, &sorted);
        (fit, fit.relative_error(largest))
    }
}
