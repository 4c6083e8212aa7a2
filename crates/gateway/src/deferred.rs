//! Timers of a machine around `Control`. Two kinds of timer share the reactor's [`Wake`] numbers: those that
//! `Control` sets carry its token as an even number, and calls that the machine defers have odd numbers.
//!
//! Owned here: the deferred calls that have not been made yet.
use applepond::interface::{Micros, TimerToken};
use applepond_reactor::{Transport, Wake};
use std::collections::BTreeMap;

/// A call on the machine `M` that is made when its timer fires.
pub type DeferredCall<M> = Box<dyn FnOnce(&mut M, Micros, &mut dyn Transport)>;

/// What a fired timer stands for.
pub enum FiredTimer<M> {
    /// A timer that `Control` set.
    Control(TimerToken),
    /// A deferred call, to be made now.
    Call(DeferredCall<M>),
}

/// The calls that a machine has deferred.
pub struct DeferredCalls<M> {
    calls: BTreeMap<u64, DeferredCall<M>>,
    /// Odd.
    last_number: u64,
}

impl<M> Default for DeferredCalls<M> {
    fn default() -> Self {
        DeferredCalls { calls: BTreeMap::new(), last_number: 1 }
    }
}

impl<M> DeferredCalls<M> {
    /// Has `call` made after `delay`.
    pub fn schedule(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        delay: Micros,
        call: DeferredCall<M>,
    ) {
        self.last_number += 2;
        self.calls.insert(self.last_number, call);
        transport.wake_at(now + delay, Wake(self.last_number));
    }

    /// Sets a timer of `Control`. They are many, so nothing is stored for them.
    pub fn schedule_control(now: Micros, transport: &mut dyn Transport, delay: Micros, token: TimerToken) {
        transport.wake_at(now + delay, Wake(token.0 << 1));
    }

    /// Whether a timer is one that `Control` set.
    pub fn is_control(wake: Wake) -> bool {
        wake.0 & 1 == 0
    }

    /// What a timer that has fired stands for; each deferred call is handed out once.
    pub fn fired(&mut self, wake: Wake) -> Option<FiredTimer<M>> {
        if Self::is_control(wake) {
            return Some(FiredTimer::Control(TimerToken(wake.0 >> 1)));
        }
        self.calls.remove(&wake.0).map(FiredTimer::Call)
    }
}
