//! Timers of a state machine that contains `Control`. Two kinds of timers share the reactor's [`TimerId`]
//! numbers: timers of `Control` have even numbers, which encode its token, and deferred calls of the machine
//! have odd numbers.
//!
//! State: the deferred calls that have not been made yet.
use applepond::interface::{Micros, TimerToken};
use applepond_reactor::{TimerId, Transport};
use std::collections::BTreeMap;

/// A call on the state machine `M`, made when its timer fires.
pub type DeferredCall<M> = Box<dyn FnOnce(&mut M, Micros, &mut dyn Transport)>;

/// The purpose of a timer that has fired.
pub enum FiredTimer<M> {
    /// A timer set by `Control`.
    Control(TimerToken),
    /// A deferred call that is due.
    Call(DeferredCall<M>),
}

/// The deferred calls of a state machine.
pub struct DeferredCalls<M> {
    calls: BTreeMap<u64, DeferredCall<M>>,
    /// Timer id of the last deferred call; always odd.
    last_number: u64,
}

impl<M> Default for DeferredCalls<M> {
    fn default() -> Self {
        DeferredCalls { calls: BTreeMap::new(), last_number: 1 }
    }
}

impl<M> DeferredCalls<M> {
    /// Schedules `call` to be made after `delay`.
    pub fn schedule(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        delay: Micros,
        call: DeferredCall<M>,
    ) {
        self.last_number += 2;
        self.calls.insert(self.last_number, call);
        transport.set_timer_at(now + delay, TimerId(self.last_number));
    }

    /// Sets a timer of `Control`. There are many of these, so no state is kept for them.
    pub fn schedule_control(now: Micros, transport: &mut dyn Transport, delay: Micros, token: TimerToken) {
        transport.set_timer_at(now + delay, TimerId(token.0 << 1));
    }

    /// Whether a timer was set by `Control`.
    pub fn is_control(timer: TimerId) -> bool {
        timer.0 & 1 == 0
    }

    /// Returns the purpose of a timer that has fired; each deferred call is returned once.
    pub fn fired(&mut self, timer: TimerId) -> Option<FiredTimer<M>> {
        if Self::is_control(timer) {
            return Some(FiredTimer::Control(TimerToken(timer.0 >> 1)));
        }
        self.calls.remove(&timer.0).map(FiredTimer::Call)
    }
}
