//! Admission of requests at a fake worker.
use super::prefixes::RequestPrefix;
use super::response::Response;
use super::{Behaviour, Copy, Request, Timer, Worker};
use crate::http_peer::{HttpPeer, Message};
use crate::ledger::{Event, Observation};
use applepond_http::decode::Side;
use applepond_http::encode;
use applepond_reactor::{ConnectionId, Micros, Transport};
use std::rc::Rc;

/// Time limit in µs for a connection to the model store.
const CONNECT_TIMEOUT: Micros = 1_000_000;

impl Worker {
    /// Handles a received request: runs the checks in order, then queues it.
    pub(super) fn request(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: ConnectionId,
        message: &Message,
    ) {
        if let Some(name) = message.target.strip_prefix("/-/mood?") {
            return self.change_behaviour(transport, conn, name);
        }
        let event: Event = Rc::from(format!("{} {}", message.field("ce-source"), message.field("ce-id")));
        let router = message.number("applepond-router").unwrap_or(0);
        let (worker, rack) = (self.config.name.clone(), self.config.rack);
        self.ledger.record(
            now,
            Observation::RequestReceived { worker: worker.clone(), rack, router, event: event.clone() },
        );
        let work = message.number("ce-workms").unwrap_or(20) * 1000;
        if self.is_overloaded(now, router, work) {
            let routers = self.recent.iter().map(|recent| recent.router).collect();
            self.ledger.record(now, Observation::WorkerOverloaded { worker, routers });
            return self.stop_process(transport);
        }
        if self.misbehaves(now, transport, conn, message, &event) {
            return;
        }
        let keyed = message.field("ce-fingerprint") == "true";
        if keyed && self.rack.borrow().get(&event).is_some_and(|until| now < *until) {
            self.ledger.record(now, Observation::DuplicateDropped { worker, event });
            let response = Response { status: 200, outcome: "", copy: "", same_function: 0 };
            return self.respond(transport, conn, &response);
        }
        let function: Rc<str> = Rc::from(message.field("applepond-function"));
        let same_function = self.requests.values().filter(|request| request.function == function).count();
        if self.queue.len() >= self.config.max_waiting {
            return self.reject(now, transport, conn, &event, same_function);
        }
        let Some(copy) = self.find_or_load_copy(now, transport, message, &function) else {
            return self.reject(now, transport, conn, &event, same_function);
        };
        let prefix = RequestPrefix::read(message);
        if let Some(prefix) = prefix.as_ref().filter(|prefix| prefix.lease > 0) {
            let (worker, prefix) = (self.config.name.clone(), prefix.name.clone());
            self.ledger.record(now, Observation::PrefixPinned { worker, router, prefix });
        }
        let request = Request { event, function, work, keyed, copy, same_function, running: false, prefix };
        self.requests.insert(conn, request);
        self.queue.push_back(conn);
        self.start_waiting(now, transport);
    }

    fn change_behaviour(&mut self, transport: &mut dyn Transport, conn: ConnectionId, name: &str) {
        let behaviour = Behaviour::from_name(name);
        if let Some(behaviour) = behaviour {
            self.set_behaviour(transport, behaviour);
        }
        let status = if behaviour.is_some() { 200 } else { 404 };
        transport.write(conn, &encode::response(status).body(b""));
    }

    /// Applies the current behaviour if it concerns arriving requests. Returns whether it consumed the
    /// request.
    fn misbehaves(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: ConnectionId,
        message: &Message,
        event: &Event,
    ) -> bool {
        let customer = message.field("ce-customer").bytes().fold(0u8, u8::wrapping_add);
        match self.behaviour {
            Behaviour::Hang => {}
            Behaviour::FailFast(share) if self.rng.rand_float() < share => {
                let worker = self.config.name.clone();
                self.ledger.record(now, Observation::RequestStarted { worker, event: event.clone() });
                let response = Response { status: 500, outcome: "", copy: "", same_function: 0 };
                self.respond(transport, conn, &response);
            }
            Behaviour::RefuseAll => self.reject(now, transport, conn, event, 0),
            Behaviour::RefuseCustomer(refused) if refused == customer => {
                self.reject(now, transport, conn, event, 0);
            }
            _ => return false,
        }
        true
    }

    fn reject(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: ConnectionId,
        event: &Event,
        same_function: usize,
    ) {
        let worker = self.config.name.clone();
        self.ledger.record(now, Observation::RequestRejected { worker, event: event.clone() });
        self.respond(transport, conn, &Response { status: 503, outcome: "full", copy: "", same_function });
    }

    /// Returns the state of the function's copy, starting a load if there is none. Returns `None` if there is
    /// no memory for it.
    fn find_or_load_copy(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        message: &Message,
        function: &Rc<str>,
    ) -> Option<&'static str> {
        match self.copies.get(function) {
            Some(copy) if copy.loading => return Some("awaited"),
            Some(_) => return Some("stood"),
            None => {}
        }
        let memory_mb = message.number("applepond-memory-mb").unwrap_or(1);
        if !self.evict_idle_copies(now, memory_mb) {
            return None;
        }
        let lanes = message.number("applepond-lanes").unwrap_or(1) as usize;
        let copy = Copy { memory_mb, lanes, running: 0, loading: true, last_used: now };
        self.copies.insert(function.clone(), copy);
        match self.config.store {
            Some(store) => {
                let fetch = transport.connect(store, CONNECT_TIMEOUT);
                self.fetches.insert(fetch, (function.clone(), HttpPeer::new(Side::Client)));
            }
            None => self.set_timer(transport, now + self.config.load_time, Timer::Loaded(function.clone())),
        }
        Some("begun")
    }

    /// Unloads idle copies: those past `idle_unload_time`, then the least recently used until `wanted` MB are
    /// free. Copies that are loading, running or awaited stay. Returns whether there is room.
    fn evict_idle_copies(&mut self, now: Micros, wanted: u64) -> bool {
        let idle_unload_time = self.config.idle_unload_time;
        self.copies.retain(|function, copy| {
            copy.loading
                || copy.running > 0
                || copy.last_used + idle_unload_time > now
                || self.requests.values().any(|request| request.function == *function)
        });
        while self.copies.values().map(|copy| copy.memory_mb).sum::<u64>() + wanted > self.config.memory_mb {
            let idle = self.copies.iter().filter(|(function, copy)| {
                let is_wanted = self.requests.values().any(|request| request.function == **function);
                !copy.loading && copy.running == 0 && !is_wanted
            });
            let oldest = idle.min_by_key(|(_, copy)| copy.last_used);
            let Some(oldest) = oldest.map(|(function, _)| function.clone()) else { return false };
            self.copies.remove(&oldest);
        }
        true
    }
}
