//! The wait queue, and dispatch from it.

use super::retry::no_attempt_after;
use super::{Control, InFlightAttempt, QueueKey};
use crate::interface::{Actions, RequestId, WorkerId};
use crate::state::request::{Attempt, AttemptId, AttemptState};
use applepond_wait_queue::QueuedRequest;
use std::cmp::Reverse;

impl Control {
    /// The request's key in the queue: by priority, then by age.
    pub(super) fn queue_key(&self, id: RequestId) -> QueueKey {
        let request = &self.requests[&id];
        (Reverse(request.priority), request.arrived_at, id)
    }

    /// Adds a request to the queue.
    pub(super) fn enqueue(&mut self, id: RequestId) {
        let request = &self.requests[&id];
        let queued = QueuedRequest {
            function: request.function,
            workload: request.workload,
            deadline: request.deadline,
            unsent: request.attempts.is_empty(),
            late: request.late,
        };
        self.queue.insert(self.queue_key(id), queued);
    }

    /// Sends waiting requests while workers have capacity, highest priority first and then oldest first.
    pub(super) fn dispatch(&mut self, actions: &mut dyn Actions) {
        let mut candidates = self.queue.dispatch_candidates();
        while let Some(key) = candidates.pop_first() {
            // If a function's first request finds no worker, its other requests would not either.
            let Some(worker) = self.select_worker(key.2) else { continue };
            if let Some(queued) = self.queue.remove(&key).filter(|queued| queued.unsent) {
                candidates.extend(self.queue.next_unsent(queued.function, &key));
            }
            self.send_and_schedule_hedge(actions, key.2, worker);
        }
    }

    /// Sends a first attempt or a retry, and schedules its hedge.
    pub(super) fn send_and_schedule_hedge(
        &mut self,
        actions: &mut dyn Actions,
        id: RequestId,
        worker: WorkerId,
    ) {
        let attempt = self.send(actions, id, worker);
        self.schedule_hedge(actions, attempt);
    }

    /// Sends the next attempt of a request to a worker chosen by [`Control::select_worker`].
    ///
    /// # Panics
    ///
    /// Panics if the request, its function or the worker is unknown.
    pub(super) fn send(&mut self, actions: &mut dyn Actions, id: RequestId, to: WorkerId) -> AttemptId {
        let now = self.now;
        let request = &self.requests[&id];
        let (function, workload, customer) = (request.function, request.workload, request.customer);
        let timeout = request.deadline - now;
        let not_after = no_attempt_after(request);
        let attempt_id = AttemptId { request: id, number: request.attempts.len() };
        let before = self.workers.in_flight_at(to);

        let worker = &self.workers[&to];
        let was_loaded = worker.has_loaded(now, function);
        let attempt = Attempt {
            worker: to,
            rack: worker.rack,
            zone: worker.zone,
            sent_at: now,
            ended_at: now,
            state: AttemptState::InFlight,
        };
        self.requests.get_mut(&id).expect("indexed above").attempts.push(attempt);
        self.count_in_flight(to, function, was_loaded);
        let work = self.workloads.relative_work(workload);
        self.record_warmup_work(to, work);
        actions.send(id, to, timeout, not_after);
        self.workers.update_totals(to, before);

        let in_flight =
            InFlightAttempt { worker: to, function, workload, customer, sent_at: now, was_loaded };
        self.in_flight.insert(attempt_id, in_flight);
        attempt_id
    }

    /// Counts an attempt at its worker, and the load it triggers if the function is not loaded there.
    fn count_in_flight(&mut self, to: WorkerId, function: crate::interface::FunctionId, was_loaded: bool) {
        let worker = self.workers.get_mut(&to).expect("selected among known workers");
        let known = worker.functions.entry(function).or_default();
        known.in_flight += 1;
        if !was_loaded && known.loading_since.is_none() {
            known.loading_since = Some(self.now);
            self.loads.begin(function, to);
        }
        worker.in_flight += 1;
        worker.awaiting_load += u32::from(!was_loaded);
        let function = self.functions.get_mut(function).expect("known while a request of it is in progress");
        function.workers.insert(to);
    }
}
