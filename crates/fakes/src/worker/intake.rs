//! How a worker accepts requests.
use super::answer::Answer;
use super::prefixes::RequestPrefix;
use super::{Copy, Mood, Request, Timer, Worker};
use crate::http_peer::{HttpPeer, Message};
use crate::ledger::{Event, Saw};
use applepond_http::decode::Side;
use applepond_http::encode;
use applepond_reactor::{ConnectionId, Micros, Transport};
use std::rc::Rc;

/// µs within which a connection to the store has to be established.
const CONNECT_TIMEOUT: Micros = 1_000_000;

impl Worker {
    /// A request has come: one check after the other, which is why the function is long.
    pub(super) fn request(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: ConnectionId,
        asked: &Message,
    ) {
        if let Some(name) = asked.target.strip_prefix("/-/mood?") {
            return self.change_mood(transport, conn, name);
        }
        let event: Event = Rc::from(format!("{} {}", asked.field("ce-source"), asked.field("ce-id")));
        let router = asked.number("applepond-router").unwrap_or(0);
        let (worker, rack) = (self.build.name.clone(), self.build.rack);
        self.ledger.write(now, Saw::Came { worker: worker.clone(), rack, router, event: event.clone() });
        let work = asked.number("ce-workms").unwrap_or(20) * 1000;
        if self.is_overloaded(now, router, work) {
            let by = self.recent.iter().map(|recent| recent.router).collect();
            self.ledger.write(now, Saw::Fell { worker, by });
            return self.die(transport);
        }
        if self.misbehaves(now, transport, conn, asked, &event) {
            return;
        }
        let keyed = asked.field("ce-fingerprint") == "true";
        if keyed && self.rack.borrow().get(&event).is_some_and(|until| now < *until) {
            self.ledger.write(now, Saw::Dropped { worker, event });
            let answer = Answer { status: 200, outcome: "", copy: "", same_function: 0 };
            return self.answer(transport, conn, &answer);
        }
        let function: Rc<str> = Rc::from(asked.field("applepond-function"));
        let same_function = self.requests.values().filter(|request| request.function == function).count();
        if self.queue.len() >= self.build.queue {
            return self.reject(now, transport, conn, &event, same_function);
        }
        let Some(copy) = self.find_copy(now, transport, asked, &function) else {
            return self.reject(now, transport, conn, &event, same_function);
        };
        let prefix = RequestPrefix::read(asked);
        if let Some(prefix) = prefix.as_ref().filter(|prefix| prefix.lease > 0) {
            let (worker, opening) = (self.build.name.clone(), prefix.name.clone());
            self.ledger.write(now, Saw::Pinned { worker, router, opening });
        }
        let request = Request { event, function, work, keyed, copy, same_function, running: false, prefix };
        self.requests.insert(conn, request);
        self.queue.push_back(conn);
        self.start_waiting(now, transport);
    }

    fn change_mood(&mut self, transport: &mut dyn Transport, conn: ConnectionId, name: &str) {
        let mood = Mood::named(name);
        if let Some(mood) = mood {
            self.set_mood(transport, mood);
        }
        let status = if mood.is_some() { 200 } else { 404 };
        transport.write(conn, &encode::response(status).body(b""));
    }

    /// Whether its mood has dealt with the request.
    fn misbehaves(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: ConnectionId,
        asked: &Message,
        event: &Event,
    ) -> bool {
        let customer = asked.field("ce-customer").bytes().fold(0u8, u8::wrapping_add);
        match self.mood {
            Mood::Hang => {}
            Mood::FailFast(share) if self.rng.rand_float() < share => {
                let worker = self.build.name.clone();
                self.ledger.write(now, Saw::Began { worker, event: event.clone() });
                let answer = Answer { status: 500, outcome: "", copy: "", same_function: 0 };
                self.answer(transport, conn, &answer);
            }
            Mood::RefuseAll => self.reject(now, transport, conn, event, 0),
            Mood::RefuseCustomer(refused) if refused == customer => {
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
        let worker = self.build.name.clone();
        self.ledger.write(now, Saw::TurnedAway { worker, event: event.clone() });
        self.answer(transport, conn, &Answer { status: 503, outcome: "full", copy: "", same_function });
    }

    /// The state of the function's copy, which is loaded where there is none; none where there is no room.
    fn find_copy(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        asked: &Message,
        function: &Rc<str>,
    ) -> Option<&'static str> {
        match self.copies.get(function) {
            Some(copy) if copy.loading => return Some("awaited"),
            Some(_) => return Some("stood"),
            None => {}
        }
        let memory_mb = asked.number("applepond-memory-mb").unwrap_or(1);
        if !self.make_room(now, memory_mb) {
            return None;
        }
        let lanes = asked.number("applepond-lanes").unwrap_or(1) as usize;
        let copy = Copy { memory_mb, lanes, running: 0, loading: true, last_used: now };
        self.copies.insert(function.clone(), copy);
        match self.build.store {
            Some(store) => {
                let fetch = transport.connect(store, CONNECT_TIMEOUT);
                self.fetches.insert(fetch, (function.clone(), HttpPeer::new(Side::Client)));
            }
            None => self.set_timer(transport, now + self.build.load, Timer::Loaded(function.clone())),
        }
        Some("begun")
    }

    /// Unloads idle copies, the least recently used first; those that run or load stay. Whether there is
    /// room.
    fn make_room(&mut self, now: Micros, wanted: u64) -> bool {
        let keep = self.build.keep;
        self.copies.retain(|function, copy| {
            copy.loading
                || copy.running > 0
                || copy.last_used + keep > now
                || self.requests.values().any(|request| request.function == *function)
        });
        while self.copies.values().map(|copy| copy.memory_mb).sum::<u64>() + wanted > self.build.memory_mb {
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
