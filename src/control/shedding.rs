//! Load shedding: waiting requests are served by priority, and rejected with Retry-After once they can no
//! longer be served in time.
//!
//! Guards against a queue that under overload is served in order of arrival, so that every request is late.
//! Terminology follows Envoy's overload manager.

use super::{Control, QueueKey};
use crate::averages::TICK_INTERVAL;
use crate::interface::{Actions, FunctionId, Micros, RequestId};
use std::collections::BTreeSet;

/// Minimum time before its deadline at which a waiting request is ended: more than one tick. A request is
/// ended earlier if its service time is longer.
pub(super) const GIVE_UP_MARGIN: Micros = 30_000;
/// Time after arrival from which on a late request is given up at the next tick, unless this router is
/// loading its function.
const LATE_GRACE: Micros = 2 * TICK_INTERVAL;
/// Minimum `Retry-After` of a rejection.
const MIN_RETRY_AFTER: Micros = 200_000;

/// How to proceed with a waiting request.
enum Verdict {
    /// It continues to wait.
    Wait,
    /// It can no longer meet its latency objective, and now waits behind requests that can.
    Deprioritize,
    /// It can no longer be served.
    GiveUp,
}

impl Control {
    /// Re-evaluates the waiting requests whose state may have changed since the last tick.
    pub(super) fn check_waiting(&mut self, actions: &mut dyn Actions) {
        let loading: BTreeSet<FunctionId> = self.loads.in_progress().map(|(function, _)| function).collect();
        for key in self.due_for_check(&loading) {
            match self.verdict(&key, &loading) {
                Verdict::Wait => {}
                Verdict::Deprioritize => self.lower_priority(&key),
                Verdict::GiveUp => self.give_up(actions, key.2),
            }
        }
    }

    /// Requests that may need a decision now, in queue order.
    fn due_for_check(&self, loading: &BTreeSet<FunctionId>) -> BTreeSet<QueueKey> {
        let late_since = self.now.saturating_sub(LATE_GRACE);
        let overdue = self.queue.late_until(late_since, |function| !loading.contains(&function));
        let mut due: BTreeSet<QueueKey> = overdue.collect();
        for (id, workload) in self.workloads.iter() {
            let done_at = self.now + workload.service_time() as Micros;
            due.extend(self.queue.with_deadline_until(id, done_at.max(self.now + GIVE_UP_MARGIN)));
            due.extend(self.queue.on_time_before(id, done_at.saturating_sub(workload.latency_objective)));
        }
        due
    }

    fn verdict(&self, key: &QueueKey, loading: &BTreeSet<FunctionId>) -> Verdict {
        let request = &self.requests[&key.2];
        let workload = &self.workloads[request.workload];
        let done_at = self.now + workload.service_time() as Micros;
        let (_, arrived_at, _) = *key;
        let grace_expired =
            request.late && self.now >= arrived_at + LATE_GRACE && !loading.contains(&request.function);
        if grace_expired || done_at.max(self.now + GIVE_UP_MARGIN) >= request.deadline {
            Verdict::GiveUp
        } else if !request.late && done_at > arrived_at + workload.latency_objective {
            Verdict::Deprioritize
        } else {
            Verdict::Wait
        }
    }

    /// Moves a request that has become late behind those that are still in time.
    fn lower_priority(&mut self, key: &QueueKey) {
        let request = self.requests.get_mut(&key.2).expect("waiting requests are in progress");
        let factor = self.workloads[request.workload].late_priority_factor;
        request.priority = (request.priority as f64 * factor) as u64;
        request.late = true;
        self.queue.remove(key);
        self.enqueue(key.2);
    }

    /// Ends a request on this router's initiative: rejected if a retry is safe, otherwise failed (rule 1).
    pub(super) fn give_up(&mut self, actions: &mut dyn Actions, id: RequestId) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.response_started) else {
            return;
        };
        if self.is_safe_to_reject(request) {
            let retry_after = self.draw_retry_after();
            let allowed = self.config.attempt_policy.retry_after_allowed;
            actions.reject(id, allowed.then_some(retry_after));
        } else {
            actions.fail(id);
        }
        self.cancel_attempts(actions, id);
        self.forget_request(id);
    }

    /// A uniformly distributed `Retry-After`, so that clients do not return all at once.
    fn draw_retry_after(&mut self) -> Micros {
        let longest = self.config.attempt_policy.max_retry_after.max(MIN_RETRY_AFTER);
        MIN_RETRY_AFTER + self.rng.rand_range(0..(longest - MIN_RETRY_AFTER).max(1))
    }
}
