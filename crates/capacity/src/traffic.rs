//! Traffic with a skewed distribution of requests over functions.
//!
//! Request rates are log-normal. With [`SIGMA`] 3.3 and a mean of three requests per second (870,000 requests
//! per second over 290,000 functions), the median function is called about once in 77 s by the whole fleet.
//! Published traces are similarly skewed: four fifths of the functions are called at most once a minute and
//! make up less than one percent of all calls (Shahrad et al., USENIX ATC 2020).
use oorandom::Rand64;

/// Standard deviation of the natural logarithm of a function's request rate.
pub const SIGMA: f64 = 3.3;

/// The share of each function in all requests.
pub struct Popularity {
    /// Cumulative shares, by function.
    cumulative: Vec<f64>,
}

/// A standard normal sample (Box-Muller transform).
fn standard_normal(rng: &mut Rand64) -> f64 {
    let radius = (-2.0 * rng.rand_float().max(1e-18).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.rand_float()).cos()
}

impl Popularity {
    /// Draws the shares of this number of functions from a log-normal distribution. The same seed gives the
    /// same shares.
    pub fn log_normal(functions: usize, sigma: f64, seed: u64) -> Self {
        let mut rng = Rand64::new(u128::from(seed));
        let rates = (0..functions).map(|_| (sigma * standard_normal(&mut rng)).exp());
        let mut sum = 0.0;
        let mut cumulative: Vec<f64> = rates
            .map(|rate| {
                sum += rate;
                sum
            })
            .collect();
        cumulative.iter_mut().for_each(|share| *share /= sum);
        Popularity { cumulative }
    }

    /// Draws the function of a request.
    pub fn sample(&self, rng: &mut Rand64) -> usize {
        let at = rng.rand_float();
        self.cumulative.partition_point(|sum| *sum <= at).min(self.cumulative.len() - 1)
    }

    /// A function's share in all requests.
    pub fn share(&self, function: usize) -> f64 {
        self.cumulative[function] - if function == 0 { 0.0 } else { self.cumulative[function - 1] }
    }

    /// The fraction of the functions that get fewer requests per second than `requests_per_s`, out of
    /// `total_per_s` for all functions.
    pub fn share_called_less_than(&self, requests_per_s: f64, total_per_s: f64) -> f64 {
        let is_rare = |function: &usize| self.share(*function) * total_per_s < requests_per_s;
        let rare = (0..self.cumulative.len()).filter(is_rare).count();
        rare as f64 / self.cumulative.len() as f64
    }
}
