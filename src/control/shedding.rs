//! Load shedding: what waits is served by priority, and rejected with Retry-After once it can no longer be
//! served in time.
//!
//! Guards against a queue that is served in order of arrival under overload, in which every request is late.
//! Names as in Envoy's overload manager.

use super::{Control, QueueKey};
use crate::averages::TICK_INTERVAL;
use crate::interface::{Actions, FunctionId, Micros, RequestId};
use std::collections::BTreeSet;

/// Time before its deadline at which a waiting request is ended at the latest: more than one tick. It ends
/// earlier where its service time is longer.
pub(super) const LAST_CALL: Micros = 30_000;
/// Time from its arrival from which on a late request is given up at the next tick, unless this router has a
/// load of its function in progress.
const LATE_GRACE: Micros = 2 * TICK_INTERVAL;
/// The shortest time that a rejection names.
const MIN_RETRY_AFTER: Micros = 200_000;

/// What becomes of a waiting request.
enum Verdict {
    /// It goes on waiting.
    Waits,
    /// It can no longer meet its latency objective, and waits behind those that can.
    IsLate,
    /// It can no longer be served.
    IsGivenUp,
}

impl Control {
    /// Checks the waiting requests for which something may have changed since the last tick.
    pub(super) fn check_waiting(&mut self, actions: &mut dyn Actions) {
        let loading: BTreeSet<FunctionId> = self.loads.in_progress().map(|(function, _)| function).collect();
        for key in self.due_for_check(&loading) {
            match self.verdict(&key, &loading) {
                Verdict::Waits => {}
                Verdict::IsLate => self.lower_priority(&key),
                Verdict::IsGivenUp => self.give_up(actions, key.2),
            }
        }
    }

    /// The requests whose time may have come, in the order of the queue.
    fn due_for_check(&self, loading: &BTreeSet<FunctionId>) -> BTreeSet<QueueKey> {
        let late_since = self.now.saturating_sub(LATE_GRACE);
        let overdue = self.queue.late_until(late_since, |function| !loading.contains(&function));
        let mut due: BTreeSet<QueueKey> = overdue.collect();
        for (id, workload) in self.workloads.iter() {
            let done_at = self.now + workload.service_time() as Micros;
            due.extend(self.queue.leaving(id, done_at.max(self.now + LAST_CALL)));
            due.extend(self.queue.fresh_before(id, done_at.saturating_sub(workload.latency_objective)));
        }
        due
    }

    fn verdict(&self, key: &QueueKey, loading: &BTreeSet<FunctionId>) -> Verdict {
        let request = &self.requests[&key.2];
        let workload = &self.workloads[request.workload];
        let done_at = self.now + workload.service_time() as Micros;
        let (_, arrived_at, _) = *key;
        let waited_in_vain =
            request.late && self.now >= arrived_at + LATE_GRACE && !loading.contains(&request.function);
        if waited_in_vain || done_at.max(self.now + LAST_CALL) >= request.deadline {
            Verdict::IsGivenUp
        } else if !request.late && done_at > arrived_at + workload.latency_objective {
            Verdict::IsLate
        } else {
            Verdict::Waits
        }
    }

    /// Moves a request that has become late behind those that are in time.
    fn lower_priority(&mut self, key: &QueueKey) {
        let request = self.requests.get_mut(&key.2).expect("waiting requests are in progress");
        let factor = self.workloads[request.workload].late_priority_factor;
        request.priority = (request.priority as f64 * factor) as u64;
        request.late = true;
        self.queue.remove(key);
        self.enqueue(key.2);
    }

    /// Ends a request by this router's own decision: rejected where a retry does no harm, else failed (rule
    /// 1).
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

    /// A time after which to retry, drawn evenly so that clients do not return all at once.
    fn draw_retry_after(&mut self) -> Micros {
        let longest = self.config.attempt_policy.max_retry_after.max(MIN_RETRY_AFTER);
        MIN_RETRY_AFTER + self.rng.rand_range(0..(longest - MIN_RETRY_AFTER).max(1))
    }
}
