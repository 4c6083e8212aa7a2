//! Timers set by the decisions of a router.

use crate::interface::{Actions, Micros, TimerToken};
use crate::state::request::AttemptId;
use std::collections::BTreeMap;

/// What to do when a timer fires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Timer {
    /// The periodic check of workers and of waiting requests.
    Tick,
    /// The hedge delay of an attempt has passed.
    Hedge(AttemptId),
}

/// Pending timers by token.
#[derive(Default)]
pub(super) struct Timers {
    pending: BTreeMap<TimerToken, Timer>,
    next_token: u64,
}

impl Timers {
    /// Sets a timer that fires after `delay`.
    pub(super) fn set(&mut self, actions: &mut dyn Actions, delay: Micros, timer: Timer) {
        let token = TimerToken(self.next_token);
        self.next_token += 1;
        self.pending.insert(token, timer);
        actions.set_timer(delay, token);
    }

    /// Removes and returns the timer that has fired; `None` for an unknown token.
    pub(super) fn take(&mut self, token: TimerToken) -> Option<Timer> {
        self.pending.remove(&token)
    }
}
