//! Customers' quotas: a token bucket a customer with this router's even share.
//!
//! Guards against a customer that sends more than agreed on and takes the others' capacity. Requests beyond
//! the quota are not rejected for it; they only wait behind the others.

use crate::interface::{CustomerConfig, CustomerId, Micros};

/// Microseconds of a customer's quota that a bucket holds at most.
const BURST_WINDOW: f64 = 2_000_000.0;
/// Tokens that a bucket can hold at least, however small the quota: one request.
const MIN_BURST: f64 = 1.0;

/// The bucket of one customer.
struct TokenBucket {
    /// Quota over all routers, in requests a second.
    requests_per_second: f64,
    tokens: f64,
    refilled_at: Micros,
}

/// The buckets of all customers.
pub struct CustomerQuotas {
    buckets: Vec<TokenBucket>,
}

impl CustomerQuotas {
    /// Full buckets of these customers.
    pub fn new(now: Micros, customers: &[CustomerConfig]) -> Self {
        let mut quotas = CustomerQuotas { buckets: Vec::new() };
        quotas.reconfigure(now, customers);
        quotas
    }

    /// Takes over changed quotas; customers that are new come after those that are known.
    pub fn reconfigure(&mut self, now: Micros, customers: &[CustomerConfig]) {
        for (index, customer) in customers.iter().enumerate() {
            let requests_per_second = customer.requests_per_second;
            match self.buckets.get_mut(index) {
                Some(bucket) => bucket.requests_per_second = requests_per_second,
                None => {
                    self.buckets.push(TokenBucket { requests_per_second, tokens: f64::MAX, refilled_at: now })
                }
            }
        }
    }

    /// The sum of all quotas, in requests a microsecond.
    pub fn total_rate(&self) -> f64 {
        self.buckets.iter().map(|bucket| bucket.requests_per_second).sum::<f64>() / 1e6
    }

    /// Takes a token for a request. Returns whether it is within this router's share of its customer's quota.
    ///
    /// # Panics
    /// Panics if the customer is not configured.
    pub fn try_take(&mut self, now: Micros, customer: CustomerId, router_count: u64) -> bool {
        let bucket = &mut self.buckets[customer.0];
        let tokens_per_micro = bucket.requests_per_second / 1e6 / router_count.max(1) as f64;
        let refilled = bucket.tokens + (now - bucket.refilled_at) as f64 * tokens_per_micro;
        bucket.tokens = refilled.min((tokens_per_micro * BURST_WINDOW).max(MIN_BURST));
        bucket.refilled_at = now;
        let within_quota = bucket.tokens >= 1.0;
        if within_quota {
            bucket.tokens -= 1.0;
        }
        within_quota
    }
}
