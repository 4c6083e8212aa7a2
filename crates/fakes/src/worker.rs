//! A fake worker. It runs requests on a limited number of cores, loads copies of functions from the model
//! store and evicts them, warms up after a start, crashes when it is overloaded while cold, drops duplicates
//! per rack and reports its load in responses. A script starts and stops it and makes it misbehave.
mod config;
mod intake;
mod prefixes;
mod response;

pub use config::{Behaviour, ScriptEvent, WorkerConfig};

use crate::http_peer::HttpPeer;
use crate::ledger::{Event, Ledger, Observation};
use applepond_http::decode::Side;
use applepond_http::encode;
use applepond_reactor::{Closed, ConnectionId, Listener, Machine, Micros, TimerId, Transport};
use oorandom::Rand64;
use prefixes::{Prepared, RequestPrefix};
use response::{BookingData, Response};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// Interval in µs at which a hanging or stalled worker rechecks whether it may finish a request.
const HANG_POLL_INTERVAL: Micros = 100_000;

/// The events with an idempotency key that finished in a rack, with the time until which duplicates are
/// dropped. The workers of a rack share it.
pub type Rack = Rc<RefCell<BTreeMap<Event, Micros>>>;

/// A loaded or loading copy of a function.
struct Copy {
    memory_mb: u64,
    /// Limit of concurrent requests.
    lanes: usize,
    running: usize,
    loading: bool,
    last_used: Micros,
}

/// A queued or running request.
struct Request {
    event: Event,
    function: Rc<str>,
    /// Run time in µs on a warm worker.
    work: Micros,
    keyed: bool,
    /// State of the function's copy when the request arrived, as reported in the response.
    copy: &'static str,
    /// Number of other requests of the same function when the request arrived.
    same_function: usize,
    running: bool,
    prefix: Option<RequestPrefix>,
}

/// A request received within the overload window.
struct Recent {
    at: Micros,
    router: u64,
    work: Micros,
}

/// The action of a timer.
enum Timer {
    Script(usize),
    Finished(ConnectionId, u64),
    Loaded(Rc<str>),
}

/// A fake worker.
pub struct Worker {
    config: WorkerConfig,
    script: Vec<(Micros, ScriptEvent)>,
    ledger: Ledger,
    rack: Rack,
    rng: Rand64,
    behaviour: Behaviour,
    /// Present while the process runs.
    listener: Option<Listener>,
    started: Micros,
    peers: BTreeMap<ConnectionId, HttpPeer>,
    requests: BTreeMap<ConnectionId, Request>,
    queue: VecDeque<ConnectionId>,
    copies: BTreeMap<Rc<str>, Copy>,
    fetches: BTreeMap<ConnectionId, (Rc<str>, HttpPeer)>,
    /// Requests received within `overload_window`.
    recent: VecDeque<Recent>,
    timers: Vec<Option<Timer>>,
    /// Number of times the process has stopped. Keeps result ids unique and invalidates the timers of
    /// requests that were running at a stop.
    generation: u64,
    /// Number of responses sent, which are numbered in their identities.
    responses: u64,
    /// Data of the latest result.
    booking: BookingData,
    prepared: BTreeMap<Rc<str>, Prepared>,
}

impl Worker {
    /// Creates a worker in `rack`, which it may share with other workers.
    pub fn new(config: WorkerConfig, script: Vec<(Micros, ScriptEvent)>, ledger: Ledger, rack: Rack) -> Self {
        Worker {
            rng: Rand64::new(u128::from(config.seed)),
            config,
            script,
            ledger,
            rack,
            behaviour: Behaviour::Well,
            listener: None,
            started: 0,
            peers: BTreeMap::new(),
            requests: BTreeMap::new(),
            queue: VecDeque::new(),
            copies: BTreeMap::new(),
            fetches: BTreeMap::new(),
            recent: VecDeque::new(),
            prepared: BTreeMap::new(),
            timers: Vec::new(),
            generation: 0,
            responses: 0,
            booking: BookingData::INITIAL,
        }
    }

    fn set_timer(&mut self, transport: &mut dyn Transport, at: Micros, timer: Timer) {
        self.timers.push(Some(timer));
        transport.set_timer_at(at, TimerId(self.timers.len() as u64 - 1));
    }

    /// Starts the process: the worker is cold and listens.
    fn start_process(&mut self, now: Micros, transport: &mut dyn Transport) {
        self.started = now;
        self.ledger.record(now, Observation::WorkerStarted { worker: self.config.name.clone() });
        self.listener = transport.listen(self.config.listen, 10_000).ok().map(|(listener, _)| listener);
    }

    /// Stops the process: the port closes, all connections break, requests and copies are lost.
    fn stop_process(&mut self, transport: &mut dyn Transport) {
        if let Some(listener) = self.listener.take() {
            transport.stop_accepting(listener, true);
        }
        self.peers.keys().chain(self.fetches.keys()).for_each(|conn| transport.abort(*conn));
        self.generation += 1;
        self.peers.clear();
        self.requests.clear();
        self.queue.clear();
        self.copies.clear();
        self.fetches.clear();
        self.recent.clear();
    }

    /// The share of its full speed at which the worker runs now.
    fn speed(&self, now: Micros) -> f64 {
        let age = (now - self.started) as f64 / self.config.warmup_time.max(1) as f64;
        if self.config.warmup_time == 0 || age >= 1.0 {
            return 1.0;
        }
        self.config.cold_share + (1.0 - self.config.cold_share) * age
    }

    /// Counts a request towards the overload window. Returns whether the worker is cold and has received more
    /// work than it can bear.
    fn is_overloaded(&mut self, now: Micros, router: u64, work: Micros) -> bool {
        let span = self.config.overload_window;
        self.recent.retain(|recent| recent.at + span > now);
        self.recent.push_back(Recent { at: now, router, work });
        let speed = self.speed(now);
        let received: Micros = self.recent.iter().map(|recent| recent.work).sum();
        let max_work = self.config.overload_factor * speed * self.config.cores as f64 * span as f64;
        speed < 1.0 && received as f64 > max_work
    }

    fn set_behaviour(&mut self, transport: &mut dyn Transport, behaviour: Behaviour) {
        if let Some(listener) = self.listener {
            match behaviour {
                Behaviour::NoHandshakes => transport.stop_accepting(listener, false),
                _ => transport.resume_accepting(listener),
            }
        }
        self.behaviour = behaviour;
    }

    /// Starts queued requests, oldest first, while a core and a lane of the function's copy are free.
    fn start_waiting(&mut self, now: Micros, transport: &mut dyn Transport) {
        let running = self.requests.values().filter(|request| request.running).count();
        let mut free = self.config.cores.saturating_sub(running);
        for conn in self.queue.iter().copied().collect::<Vec<_>>() {
            let Some(request) = self.requests.get_mut(&conn) else { continue };
            let Some(copy) = self.copies.get_mut(&request.function) else { continue };
            if free == 0 || copy.loading || copy.running >= copy.lanes {
                continue;
            }
            free -= 1;
            copy.running += 1;
            request.running = true;
            let (worker, event, mut work) = (self.config.name.clone(), request.event.clone(), request.work);
            let prefix = request.prefix.clone();
            self.queue.retain(|waiting| *waiting != conn);
            self.ledger.record(now, Observation::RequestStarted { worker, event });
            work += prefix.map_or(0, |prefix| self.prepare(now, &prefix));
            let at = now + (work as f64 / self.speed(now)) as Micros;
            self.set_timer(transport, at, Timer::Finished(conn, self.generation));
        }
    }

    /// Completes a running request and responds to it.
    fn finish_request(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId) {
        let Some(request) = self.requests.remove(&conn) else { return };
        if let Some(copy) = self.copies.get_mut(&request.function) {
            copy.running -= 1;
            copy.last_used = now;
        }
        let (worker, event) = (self.config.name.clone(), request.event.clone());
        self.ledger.record(now, Observation::RequestFinished { worker, event: event.clone() });
        self.booking = BookingData::from_event(&event);
        if request.keyed {
            self.rack.borrow_mut().insert(request.event.clone(), now + self.config.dedup_window);
        }
        let (copy, same_function) = (request.copy, request.same_function);
        self.respond(transport, conn, &Response { status: 200, outcome: "", copy, same_function });
        self.start_waiting(now, transport);
    }

    /// Removes a copy that failed to load and fails the requests that waited for it.
    fn load_failed(&mut self, now: Micros, transport: &mut dyn Transport, function: &Rc<str>) {
        self.copies.remove(function);
        let waiting = self.requests.iter().filter(|(_, request)| request.function == *function);
        let requests: Vec<ConnectionId> = waiting.map(|(conn, _)| *conn).collect();
        for conn in requests {
            self.requests.remove(&conn);
            self.queue.retain(|waiting| *waiting != conn);
            let response = Response { status: 500, outcome: "", copy: "load-failed", same_function: 0 };
            self.respond(transport, conn, &response);
        }
        self.start_waiting(now, transport);
    }

    /// Handles the end of a connection. A router that disconnects cancels its request, which frees the core.
    fn connection_ended(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId) {
        self.peers.remove(&conn);
        if let Some(request) = self.requests.remove(&conn) {
            self.queue.retain(|waiting| *waiting != conn);
            if let Some(copy) = self.copies.get_mut(&request.function).filter(|_| request.running) {
                copy.running -= 1;
            }
            self.start_waiting(now, transport);
        }
        if let Some((function, _)) = self.fetches.remove(&conn) {
            self.load_failed(now, transport, &function);
        }
    }
}

impl Machine for Worker {
    fn start(&mut self, now: Micros, transport: &mut dyn Transport) {
        for index in 0..self.script.len() {
            let at = self.script[index].0;
            self.set_timer(transport, at, Timer::Script(index));
        }
        // A worker whose script begins with a start joins later; all others are warm from the beginning.
        if self.script.first().is_none_or(|(_, event)| *event != ScriptEvent::Start) {
            self.start_process(now, transport);
            self.started = now.saturating_sub(self.config.warmup_time);
        }
    }
    fn accepted(&mut self, _: Micros, _: &mut dyn Transport, conn: ConnectionId, _: Listener) {
        self.peers.insert(conn, HttpPeer::new(Side::Server));
    }
    fn connected(&mut self, _: Micros, transport: &mut dyn Transport, conn: ConnectionId) {
        if let Some((function, _)) = self.fetches.get(&conn) {
            transport.write(conn, &encode::request("GET", &format!("/model/{function}"), "store").empty());
        }
    }
    fn bytes(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId, bytes: &[u8]) {
        if let Some((function, peer)) = self.fetches.get_mut(&conn) {
            let Some(response) = peer.receive(bytes).unwrap_or_default().pop() else { return };
            let function = function.clone();
            self.fetches.remove(&conn);
            transport.abort(conn);
            match response.status {
                200 => self.set_timer(transport, now + self.config.load_time, Timer::Loaded(function)),
                _ => self.load_failed(now, transport, &function),
            }
        } else if let Some(peer) = self.peers.get_mut(&conn) {
            match peer.receive(bytes) {
                Some(messages) => {
                    messages.iter().for_each(|message| self.request(now, transport, conn, message))
                }
                None => transport.abort(conn),
            }
        }
    }
    fn half_closed(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId) {
        transport.abort(conn);
        self.connection_ended(now, transport, conn);
    }
    fn closed(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId, _: Closed, _: u64) {
        self.connection_ended(now, transport, conn);
    }
    fn flushed(&mut self, _: Micros, _: &mut dyn Transport, _: ConnectionId) {}
    fn timer_fired(&mut self, now: Micros, transport: &mut dyn Transport, timer: TimerId) {
        match self.timers[timer.0 as usize].take() {
            Some(Timer::Script(index)) => match self.script[index].1 {
                ScriptEvent::SetBehaviour(behaviour) => self.set_behaviour(transport, behaviour),
                ScriptEvent::Stop => self.stop_process(transport),
                ScriptEvent::Start => self.start_process(now, transport),
            },
            Some(Timer::Finished(conn, generation)) if generation == self.generation => {
                if !matches!(self.behaviour, Behaviour::Hang | Behaviour::Stall) {
                    self.finish_request(now, transport, conn);
                } else {
                    self.set_timer(transport, now + HANG_POLL_INTERVAL, Timer::Finished(conn, generation));
                }
            }
            Some(Timer::Loaded(function)) => {
                if let Some(copy) = self.copies.get_mut(&function) {
                    copy.loading = false;
                }
                self.start_waiting(now, transport);
            }
            _ => {}
        }
    }
}
