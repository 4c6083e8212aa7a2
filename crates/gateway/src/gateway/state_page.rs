//! The state page, `/-/state`: current state and counters of this instance, as JSON.
use super::Gateway;
use crate::client::Answer;
use crate::idempotency::FinalOutcome;
use applepond::interface::{Micros, WorkerStatus};
use std::rc::Rc;

/// Counters since the start of the instance.
#[derive(Default)]
pub(super) struct Counters {
    /// Requests and workflows accepted.
    pub(super) accepted: u64,
    /// Duplicate events that joined a request or workflow in progress.
    pub(super) joined: u64,
    /// Duplicate events that were given a cached answer.
    pub(super) replayed: u64,
    /// Requests and workflows by final outcome; the requests of workflow steps are not counted.
    finished: u64,
    rejected: u64,
    failed: u64,
    /// Events refused because their source and id belong to another event.
    pub(super) id_conflicts: u64,
    /// Attempts started.
    pub(super) attempts: u64,
    /// Malformed client requests.
    pub(super) unreadable: u64,
    /// Events rejected before `Control` during a retry storm.
    pub(super) shed: u64,
    /// New configurations applied.
    pub(super) reloads: u64,
    /// New configurations refused.
    pub(super) refused_reloads: u64,
}

impl Counters {
    /// Counts a request or a workflow that has ended.
    pub(super) fn count_end(&mut self, outcome: FinalOutcome) {
        match outcome {
            FinalOutcome::Finished => self.finished += 1,
            FinalOutcome::Rejected => self.rejected += 1,
            FinalOutcome::Failed => self.failed += 1,
        }
    }
}

impl Gateway {
    pub(super) fn state_page(&self, now: Micros) -> Rc<Answer> {
        let workers = |status| self.workers.endpoints.count(status);
        let open = self.requests.open_counts();
        let counters = &self.counters;
        let mut page = serde_json::json!({
            "now_us": now,
            "router": self.deployment.startup.router_index,
            "settings": {"switched": counters.reloads, "kept": counters.refused_reloads},
            "jobs": {"open": open.requests, "taken": counters.accepted,
                "joined": counters.joined, "told-again": counters.replayed, "finished": counters.finished,
                "pushed-back": counters.rejected, "killed": counters.failed,
                "id-conflicts": counters.id_conflicts,
                "requests-refused": counters.unreadable},
            "executions": {"out": open.attempts, "begun": counters.attempts},
            "remembered": self.idempotency.retained(),
            "chains": self.workflows.state(),
            "storm": self.storm_state(now),
            "connections": {"clients": self.clients.len(), "workers": self.workers.connections.len(),
                "list": self.endpoint_watch.is_open()},
            "list": {"silent_us": self.endpoint_watch.silence(now)},
            "workers": {"ready": workers(WorkerStatus::Ready), "draining": workers(WorkerStatus::Draining),
                "gone": workers(WorkerStatus::Gone)},
        });
        for (name, section) in &self.status_sections {
            page[*name] = section(now);
        }
        Answer::state_page(&page)
    }
}
