//! State of each function known to a router; the number of functions is bounded.

use super::worker::FunctionsAtWorker;
use crate::averages::DecayingCounter;
use crate::interface::{FunctionId, Micros, WorkerId};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Index;

/// State of one function.
#[derive(Default)]
pub(crate) struct Function {
    /// Requests of the function that a worker is expected to run concurrently.
    pub concurrency: u32,
    /// Time a worker takes to load it, as configured or as first measured.
    pub load_time: Option<Micros>,
    /// Decaying count of its calls.
    pub calls: DecayingCounter,
    /// Its requests in progress; a function that has any is not forgotten.
    pub requests_in_progress: u32,
    /// Workers that may have it loaded.
    pub workers: BTreeSet<WorkerId>,
}

#[derive(Default)]
pub(crate) struct Functions {
    known: BTreeMap<FunctionId, Function>,
}

impl Index<&FunctionId> for Functions {
    type Output = Function;

    fn index(&self, id: &FunctionId) -> &Function {
        &self.known[id]
    }
}

impl Functions {
    pub(crate) fn len(&self) -> usize {
        self.known.len()
    }

    pub(crate) fn get(&self, id: FunctionId) -> Option<&Function> {
        self.known.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: FunctionId) -> Option<&mut Function> {
        self.known.get_mut(&id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&FunctionId, &Function)> {
        self.known.iter()
    }

    /// Records the start of a request, adding its function if it is unknown.
    pub(crate) fn begin_request(&mut self, id: FunctionId) -> &mut Function {
        let function = self.known.entry(id).or_default();
        function.requests_in_progress += 1;
        function
    }

    /// Records the end of one of the function's requests.
    pub(crate) fn end_request(&mut self, id: FunctionId) {
        if let Some(function) = self.known.get_mut(&id) {
            function.requests_in_progress -= 1;
        }
    }

    /// Forgets functions that were not called for `idle_time`, may not be loaded anywhere and have no
    /// request in progress.
    pub(crate) fn forget_idle(&mut self, now: Micros, idle_time: Micros) {
        self.known.retain(|_, function| {
            now < function.calls.last_event_at() + idle_time
                || !function.workers.is_empty()
                || function.requests_in_progress > 0
        });
    }

    /// Removes up to `number` functions without a request in progress, least recently called first; ties
    /// are broken by id.
    pub(crate) fn evict(&mut self, number: usize) -> Vec<(FunctionId, Function)> {
        let idle = self.known.iter().filter(|(_, function)| function.requests_in_progress == 0);
        let mut oldest: Vec<(Micros, FunctionId)> =
            idle.map(|(id, function)| (function.calls.last_event_at(), *id)).collect();
        oldest.sort_unstable();
        oldest.truncate(number);
        oldest.into_iter().filter_map(|(_, id)| Some((id, self.known.remove(&id)?))).collect()
    }

    /// Records that a worker no longer has these functions.
    pub(crate) fn remove_worker(&mut self, worker: WorkerId, lost: &FunctionsAtWorker) {
        for id in lost.keys() {
            if let Some(function) = self.known.get_mut(id) {
                function.workers.remove(&worker);
            }
        }
    }
}
