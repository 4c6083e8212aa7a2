//! Calls of functions that are called very unevenly.
//!
//! Rates are log-normal. With [`SIGMA`] 3.3 and a mean of three calls a second, as 870,000 calls a second
//! over 290,000 functions are, the median function is called about once in 77 s over the whole fleet. Traces
//! of functions are as uneven (Shahrad and others, USENIX ATC 2020: four fifths are called at most once a
//! minute and bring less than a hundredth of all calls).
use oorandom::Rand64;

/// Standard deviation of the natural logarithm of a function's rate.
pub const SIGMA: f64 = 3.3;

/// How often each function is called, as parts of one.
pub struct Popularity {
    /// Running sums of the parts, by function.
    sums: Vec<f64>,
}

/// A standard normal number, by the method of Box and Muller.
fn normal(rng: &mut Rand64) -> f64 {
    let radius = (-2.0 * rng.rand_float().max(1e-18).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.rand_float()).cos()
}

impl Popularity {
    /// The parts of so many functions; the same for the same seed.
    pub fn draw(functions: usize, sigma: f64, seed: u64) -> Self {
        let mut rng = Rand64::new(u128::from(seed));
        let rates = (0..functions).map(|_| (sigma * normal(&mut rng)).exp());
        let mut sum = 0.0;
        let mut sums: Vec<f64> = rates
            .map(|rate| {
                sum += rate;
                sum
            })
            .collect();
        sums.iter_mut().for_each(|share| *share /= sum);
        Popularity { sums }
    }

    /// The function of the next call.
    pub fn next(&self, rng: &mut Rand64) -> usize {
        let at = rng.rand_float();
        self.sums.partition_point(|sum| *sum <= at).min(self.sums.len() - 1)
    }

    /// A function's part of all calls.
    pub fn part(&self, function: usize) -> f64 {
        self.sums[function] - if function == 0 { 0.0 } else { self.sums[function - 1] }
    }

    /// The part of the functions that are called less often than this, given the calls of all together.
    pub fn rarer_than(&self, calls_per_s: f64, all_per_s: f64) -> f64 {
        let is_rare = |function: &usize| self.part(*function) * all_per_s < calls_per_s;
        let rare = (0..self.sums.len()).filter(is_rare).count();
        rare as f64 / self.sums.len() as f64
    }
}
