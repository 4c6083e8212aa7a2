//! The worker: cores, lanes, memory, copies that load from the store and are evicted, warm-up, death when
//! overloaded while cold, repeats dropped by rack, reports in answers. It misbehaves as its script says.
mod answer;
mod build;
mod intake;
mod prefixes;

pub use build::{Build, Mood, Turn};

use crate::http_peer::HttpPeer;
use crate::ledger::{Event, Ledger, Saw};
use answer::{Answer, Facts};
use applepond_http::decode::Side;
use applepond_http::encode;
use applepond_reactor::{Closed, ConnectionId, Listener, Machine, Micros, TimerId, Transport};
use oorandom::Rand64;
use prefixes::{Prepared, RequestPrefix};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// µs after which a worker that hangs looks again whether it still does.
const HANG_POLL_INTERVAL: Micros = 100_000;

/// The keyed events that have finished in a rack, and until when it drops their repeats.
pub type Rack = Rc<RefCell<BTreeMap<Event, Micros>>>;

/// A copy of a function.
struct Copy {
    memory_mb: u64,
    /// Requests that it runs at a time.
    lanes: usize,
    running: usize,
    loading: bool,
    last_used: Micros,
}

/// A request that waits or runs.
struct Request {
    event: Event,
    function: Rc<str>,
    /// µs of work at a warm worker.
    work: Micros,
    keyed: bool,
    /// What the copy was like when it came.
    copy: &'static str,
    /// Requests of the same function when it came.
    same_function: usize,
    running: bool,
    prefix: Option<RequestPrefix>,
}

/// A request that came lately.
struct Recent {
    at: Micros,
    router: u64,
    work: Micros,
}

/// What a timer does.
enum Timer {
    Turn(usize),
    Done(ConnectionId, u64),
    Loaded(Rc<str>),
}

/// A worker.
pub struct Worker {
    build: Build,
    script: Vec<(Micros, Turn)>,
    ledger: Ledger,
    rack: Rack,
    rng: Rand64,
    mood: Mood,
    /// While it runs.
    listener: Option<Listener>,
    started: Micros,
    peers: BTreeMap<ConnectionId, HttpPeer>,
    requests: BTreeMap<ConnectionId, Request>,
    queue: VecDeque<ConnectionId>,
    copies: BTreeMap<Rc<str>, Copy>,
    fetches: BTreeMap<ConnectionId, (Rc<str>, HttpPeer)>,
    /// Requests within `fall_span`.
    recent: VecDeque<Recent>,
    timers: Vec<Option<Timer>>,
    /// Deaths so far: with the number of the answer the name of a result.
    life: u64,
    /// Answers with a result so far.
    answered: u64,
    /// What the result being written says.
    facts: Facts,
    prepared: BTreeMap<Rc<str>, Prepared>,
}

impl Worker {
    /// A worker in this rack, which it shares with others.
    pub fn new(build: Build, script: Vec<(Micros, Turn)>, ledger: Ledger, rack: Rack) -> Self {
        Worker {
            rng: Rand64::new(u128::from(build.seed)),
            build,
            script,
            ledger,
            rack,
            mood: Mood::Well,
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
            life: 0,
            answered: 0,
            facts: Facts::FIRST,
        }
    }

    fn set_timer(&mut self, transport: &mut dyn Transport, at: Micros, then: Timer) {
        self.timers.push(Some(then));
        transport.set_timer_at(at, TimerId(self.timers.len() as u64 - 1));
    }

    /// Its process starts.
    fn start_process(&mut self, now: Micros, transport: &mut dyn Transport) {
        self.started = now;
        self.ledger.write(now, Saw::Rose { worker: self.build.name.clone() });
        self.listener = transport.listen(self.build.listen, 10_000).ok().map(|(listener, _)| listener);
    }

    /// Its process ends.
    fn die(&mut self, transport: &mut dyn Transport) {
        if let Some(listener) = self.listener.take() {
            transport.stop_accepting(listener, true);
        }
        self.peers.keys().chain(self.fetches.keys()).for_each(|conn| transport.abort(*conn));
        self.life += 1;
        self.peers.clear();
        self.requests.clear();
        self.queue.clear();
        self.copies.clear();
        self.fetches.clear();
        self.recent.clear();
    }

    /// The part of its pace that it has now.
    fn warmth(&self, now: Micros) -> f64 {
        let age = (now - self.started) as f64 / self.build.warm_within.max(1) as f64;
        if self.build.warm_within == 0 || age >= 1.0 {
            return 1.0;
        }
        self.build.cold_share + (1.0 - self.build.cold_share) * age
    }

    /// Counts what a worker is sent; whether that is more than a cold one bears.
    fn is_overloaded(&mut self, now: Micros, router: u64, work: Micros) -> bool {
        let span = self.build.fall_span;
        self.recent.retain(|recent| recent.at + span > now);
        self.recent.push_back(Recent { at: now, router, work });
        let warmth = self.warmth(now);
        let sent: Micros = self.recent.iter().map(|recent| recent.work).sum();
        let bears = self.build.fall_multiple * warmth * self.build.cores as f64 * span as f64;
        warmth < 1.0 && sent as f64 > bears
    }

    fn set_mood(&mut self, transport: &mut dyn Transport, mood: Mood) {
        if let Some(listener) = self.listener {
            match mood {
                Mood::NoHandshakes => transport.stop_accepting(listener, false),
                _ => transport.resume_accepting(listener),
            }
        }
        self.mood = mood;
    }

    /// Starts requests that wait: the oldest first, where a copy has a lane and a core is free.
    fn start_waiting(&mut self, now: Micros, transport: &mut dyn Transport) {
        let running = self.requests.values().filter(|request| request.running).count();
        let mut free = self.build.cores.saturating_sub(running);
        for conn in self.queue.iter().copied().collect::<Vec<_>>() {
            let Some(request) = self.requests.get_mut(&conn) else { continue };
            let Some(copy) = self.copies.get_mut(&request.function) else { continue };
            if free == 0 || copy.loading || copy.running >= copy.lanes {
                continue;
            }
            free -= 1;
            copy.running += 1;
            request.running = true;
            let (worker, event, mut work) = (self.build.name.clone(), request.event.clone(), request.work);
            let prefix = request.prefix.clone();
            self.queue.retain(|waiting| *waiting != conn);
            self.ledger.write(now, Saw::Began { worker, event });
            work += prefix.map_or(0, |prefix| self.prepare(now, &prefix));
            let at = now + (work as f64 / self.warmth(now)) as Micros;
            self.set_timer(transport, at, Timer::Done(conn, self.life));
        }
    }

    /// A request has finished.
    fn done(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId) {
        let Some(request) = self.requests.remove(&conn) else { return };
        if let Some(copy) = self.copies.get_mut(&request.function) {
            copy.running -= 1;
            copy.last_used = now;
        }
        let (worker, event) = (self.build.name.clone(), request.event.clone());
        self.ledger.write(now, Saw::Done { worker, event: event.clone() });
        self.facts = Facts::of(&event);
        if request.keyed {
            self.rack.borrow_mut().insert(request.event.clone(), now + self.build.window);
        }
        let (copy, same_function) = (request.copy, request.same_function);
        self.answer(transport, conn, &Answer { status: 200, outcome: "", copy, same_function });
        self.start_waiting(now, transport);
    }

    /// A load has failed, with all that waited for it.
    fn load_failed(&mut self, now: Micros, transport: &mut dyn Transport, function: &Rc<str>) {
        self.copies.remove(function);
        let waiting = self.requests.iter().filter(|(_, request)| request.function == *function);
        let requests: Vec<ConnectionId> = waiting.map(|(conn, _)| *conn).collect();
        for conn in requests {
            self.requests.remove(&conn);
            self.queue.retain(|waiting| *waiting != conn);
            let answer = Answer { status: 500, outcome: "", copy: "load-failed", same_function: 0 };
            self.answer(transport, conn, &answer);
        }
        self.start_waiting(now, transport);
    }

    /// The client has gone, which cancels its request: one that runs stops, and frees its core.
    fn gone(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId) {
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
            self.set_timer(transport, at, Timer::Turn(index));
        }
        // One whose script begins with its rise comes later.
        if self.script.first().is_none_or(|(_, turn)| *turn != Turn::Rise) {
            self.start_process(now, transport);
            self.started = now.saturating_sub(self.build.warm_within);
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
            let Some(answer) = peer.receive(bytes).unwrap_or_default().pop() else { return };
            let function = function.clone();
            self.fetches.remove(&conn);
            transport.abort(conn);
            match answer.status {
                200 => self.set_timer(transport, now + self.build.load, Timer::Loaded(function)),
                _ => self.load_failed(now, transport, &function),
            }
        } else if let Some(peer) = self.peers.get_mut(&conn) {
            match peer.receive(bytes) {
                Some(asked) => asked.iter().for_each(|asked| self.request(now, transport, conn, asked)),
                None => transport.abort(conn),
            }
        }
    }
    fn half_closed(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId) {
        transport.abort(conn);
        self.gone(now, transport, conn);
    }
    fn closed(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId, _: Closed, _: u64) {
        self.gone(now, transport, conn);
    }
    fn flushed(&mut self, _: Micros, _: &mut dyn Transport, _: ConnectionId) {}
    fn timer_fired(&mut self, now: Micros, transport: &mut dyn Transport, timer: TimerId) {
        match self.timers[timer.0 as usize].take() {
            Some(Timer::Turn(index)) => match self.script[index].1 {
                Turn::Mood(mood) => self.set_mood(transport, mood),
                Turn::Die => self.die(transport),
                Turn::Rise => self.start_process(now, transport),
            },
            Some(Timer::Done(conn, life)) if life == self.life => {
                if !matches!(self.mood, Mood::Hang | Mood::Stall) {
                    self.done(now, transport, conn);
                } else {
                    self.set_timer(transport, now + HANG_POLL_INTERVAL, Timer::Done(conn, life));
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
