//! Customer quotas: a token bucket per customer, filled with this router's even share of the quota.
//!
//! Guards against a customer that exceeds its agreed rate at the expense of others. Requests over the quota
//! are not rejected for that reason; they only get a lower priority.

use crate::interface::{CustomerConfig, CustomerId, Micros};

/// Bucket capacity, as the time in microseconds in which the quota fills an empty bucket.
const BURST_WINDOW_MICROS: f64 = 2_000_000.0;
/// Minimum bucket capacity, however small the quota: one request.
const MIN_BURST: f64 = 1.0;

struct TokenBucket {
    /// Quota across all routers, in requests per second.
    requests_per_second: f64,
    tokens: f64,
    refilled_at: Micros,
}

/// Token buckets of all customers.
pub struct CustomerQuotas {
    buckets: Vec<TokenBucket>,
}

impl CustomerQuotas {
    /// Creates a full bucket for each customer.
    pub fn new(now: Micros, customers: &[CustomerConfig]) -> Self {
        let mut quotas = CustomerQuotas { buckets: Vec::new() };
        quotas.reconfigure(now, customers);
        quotas
    }

    /// Applies changed quotas; existing customers keep their indexes and new ones are appended.
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

    /// Sum of all quotas, in requests per microsecond.
    pub fn total_rate(&self) -> f64 {
        self.buckets.iter().map(|bucket| bucket.requests_per_second).sum::<f64>() / 1e6
    }

    /// Takes a token for a request. Returns whether the request is within this router's share of the
    /// customer's quota.
    ///
    /// # Panics
    ///
    /// Panics if the customer is not configured.
    pub fn try_take(&mut self, now: Micros, customer: CustomerId, router_count: u64) -> bool {
        let bucket = &mut self.buckets[customer.0];
        let tokens_per_micro = bucket.requests_per_second / 1e6 / router_count.max(1) as f64;
        let refilled = bucket.tokens + (now - bucket.refilled_at) as f64 * tokens_per_micro;
        bucket.tokens = refilled.min((tokens_per_micro * BURST_WINDOW_MICROS).max(MIN_BURST));
        bucket.refilled_at = now;
        let within_quota = bucket.tokens >= 1.0;
        if within_quota {
            bucket.tokens -= 1.0;
        }
        within_quota
    }
}
