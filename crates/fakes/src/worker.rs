//! The worker: cores, lanes, memory, copies that load from the store and are evicted, warm-up, falling over
//! when pushed while cold, repeats dropped by rack, reports in answers. Its script tells it to misbehave.
use crate::ledger::{Event, Ledger, Saw};
use crate::wording::{Message, Talk};
use applepond_http::decode::Side;
use applepond_http::encode;
use applepond_reactor::{Closed, Conn, Listener, Machine, Micros, Transport, Wake};
use oorandom::Rand64;
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

/// Huts that results name, and how many of ten have free beds.
const HUTS: u64 = 12;
const FREE: u64 = 7;

/// What idempotency keys a rack has seen end well, and until when it drops their repeats.
pub type Rack = Rc<RefCell<BTreeMap<Event, Micros>>>;

/// What a worker is.
#[derive(Clone)]
pub struct Build {
    pub name: Rc<str>,
    pub listen: SocketAddr,
    pub rack: i64,
    pub cores: usize,
    pub memory_mb: u64,
    /// Jobs that may wait here; beyond it a request is turned away as full.
    pub queue: usize,
    pub store: Option<SocketAddr>,
    /// µs of a load after its fetch.
    pub load: Micros,
    /// µs after which an idle copy may be unloaded by itself.
    pub keep: Micros,
    /// Share of its pace with which it starts, and µs until it is warm; 0 for one that is warm.
    pub cold_share: f64,
    pub warm_within: Micros,
    /// Falls over when sent over `fall_multiple` times what it can do, over `fall_span`.
    pub fall_multiple: f64,
    pub fall_span: Micros,
    /// µs for which repeats of keyed requests are dropped.
    pub window: Micros,
    pub seed: u64,
    /// Units of openings that it keeps prepared; one takes so many µs a unit to prepare.
    pub openings: u64,
    pub prepare: Micros,
}

/// An opening as a request names it: its size, and for how long its lease has it kept.
#[derive(Clone)]
struct Opening {
    name: Rc<str>,
    size: u64,
    lease: Micros,
}

/// One that is prepared.
#[derive(Default)]
struct Prepared {
    size: u64,
    used: Micros,
    pinned: Micros,
}

/// How it behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mood {
    Well,
    /// This share of the requests fails at once.
    FailFast(f64),
    /// Takes requests and answers none, those that run included.
    Hang,
    /// Stands still: takes requests, and ends none before it is over.
    Stall,
    /// Answers only the first half of an answer, then ends the connection.
    CutAnswers,
    /// Answers with bytes that are no HTTP, or HTTP that is no event.
    Garbage,
    /// Accepts no connection; those that stand work on.
    NoHandshakes,
    /// Turns everything away, saying so.
    RefuseAll,
    /// Turns one customer's requests away, taking its time.
    RefuseCustomer(u8),
    /// Sends each answer twice.
    TwoAnswers,
}

impl Mood {
    /// By its name on command lines and in `POST /-/mood?NAME`.
    pub fn named(name: &str) -> Option<Mood> {
        Some(match name {
            "well" => Mood::Well,
            "fail-fast" => Mood::FailFast(1.0),
            "hang" => Mood::Hang,
            "stall" => Mood::Stall,
            "cut-answers" => Mood::CutAnswers,
            "garbage" => Mood::Garbage,
            "no-handshakes" => Mood::NoHandshakes,
            "refuse-all" => Mood::RefuseAll,
            "two-answers" => Mood::TwoAnswers,
            _ => return None,
        })
    }
}

/// A turn of its script.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Turn {
    Mood(Mood),
    /// The process ends: all connections break, the port closes.
    Die,
    /// It starts again, empty and cold.
    Rise,
}

struct Copy {
    memory_mb: u64,
    lanes: usize,
    running: usize,
    loading: bool,
    last: Micros,
}

struct Job {
    event: Event,
    function: Rc<str>,
    work: Micros,
    marked: bool,
    note: &'static str,
    company: usize,
    running: bool,
    opening: Option<Opening>,
}

/// What a result says beside its price, by its event: which hut, and whether it has free beds.
fn facts(event: &str) -> (u64, bool) {
    let sum = event.bytes().fold(7u64, |sum, b| sum.wrapping_mul(31).wrapping_add(u64::from(b)));
    (sum % HUTS + 1, sum / HUTS % 10 < FREE)
}

enum Then {
    Turn(usize),
    Done(Conn, u64),
    Loaded(Rc<str>),
}

pub struct Worker {
    build: Build,
    script: Vec<(Micros, Turn)>,
    ledger: Ledger,
    rack: Rack,
    rng: Rand64,
    mood: Mood,
    up: Option<Listener>,
    started: Micros,
    talks: BTreeMap<Conn, Talk>,
    requests: BTreeMap<Conn, Job>,
    queue: VecDeque<Conn>,
    copies: BTreeMap<Rc<str>, Copy>,
    fetches: BTreeMap<Conn, (Rc<str>, Talk)>,
    pressed: VecDeque<(Micros, u64, Micros)>,
    wakes: Vec<Option<Then>>,
    /// Starts so far, and answers: together the name of a result.
    life: u64,
    answered: u64,
    /// What the result being written says.
    facts: (u64, bool),
    prepared: BTreeMap<Rc<str>, Prepared>,
}

impl Worker {
    pub fn new(build: Build, script: Vec<(Micros, Turn)>, ledger: Ledger, rack: Rack) -> Self {
        Worker {
            rng: Rand64::new(u128::from(build.seed)),
            build,
            script,
            ledger,
            rack,
            mood: Mood::Well,
            up: None,
            started: 0,
            talks: BTreeMap::new(),
            requests: BTreeMap::new(),
            queue: VecDeque::new(),
            copies: BTreeMap::new(),
            fetches: BTreeMap::new(),
            pressed: VecDeque::new(),
            prepared: BTreeMap::new(),
            wakes: Vec::new(),
            life: 0,
            answered: 0,
            facts: (1, true),
        }
    }

    fn wake(&mut self, transport: &mut dyn Transport, at: Micros, then: Then) {
        self.wakes.push(Some(then));
        transport.wake_at(at, Wake(self.wakes.len() as u64 - 1));
    }

    fn rise(&mut self, now: Micros, transport: &mut dyn Transport) {
        self.started = now;
        self.ledger.write(now, Saw::Rose { worker: self.build.name.clone() });
        self.up = transport.listen(self.build.listen, 10_000).ok().map(|(l, _)| l);
    }

    fn die(&mut self, transport: &mut dyn Transport) {
        if let Some(up) = self.up.take() {
            transport.stop_accepting(up, true);
        }
        self.talks.keys().chain(self.fetches.keys()).for_each(|c| transport.cut(*c));
        self.life += 1;
        self.talks.clear();
        self.requests.clear();
        self.queue.clear();
        self.copies.clear();
        self.fetches.clear();
        self.pressed.clear();
    }

    /// The part of its pace that it has now.
    fn warmth(&self, now: Micros) -> f64 {
        let age = (now - self.started) as f64 / self.build.warm_within.max(1) as f64;
        if self.build.warm_within == 0 || age >= 1.0 {
            return 1.0;
        }
        self.build.cold_share + (1.0 - self.build.cold_share) * age
    }

    /// Counts what a cold worker is sent; true where that was too much.
    fn falls(&mut self, now: Micros, router: u64, work: Micros) -> bool {
        let span = self.build.fall_span;
        self.pressed.retain(|(at, _, _)| at + span > now);
        self.pressed.push_back((now, router, work));
        let warmth = self.warmth(now);
        let sent: Micros = self.pressed.iter().map(|(_, _, work)| work).sum();
        let bears = self.build.fall_multiple * warmth * self.build.cores as f64 * span as f64;
        warmth < 1.0 && sent as f64 > bears
    }

    fn answer(
        &mut self,
        transport: &mut dyn Transport,
        conn: Conn,
        status: u16,
        mark: &str,
        note: &str,
        company: usize,
    ) {
        let loads = self.copies.values().filter(|c| c.loading).count();
        let mut head = encode::response(status)
            .field("applepond-company", &company.min(30).to_string())
            .field("applepond-held", &self.requests.len().to_string())
            .field("applepond-loads", &loads.to_string());
        for (name, value) in [("applepond-outcome", mark), ("applepond-copy", note)] {
            if !value.is_empty() {
                head = head.field(name, value);
            }
        }
        let mut body = format!("{{\"worker\":\"{}\"}}", self.build.name);
        if status == 200 {
            self.answered += 1;
            let life = format!("{}-{}-{}", self.build.name, self.life, self.answered);
            let source = format!("/workers/{}", self.build.name);
            for (name, value) in
                [("specversion", "1.0"), ("type", "result"), ("id", &life), ("source", &source)]
            {
                head = head.field(&format!("ce-{name}"), value);
            }
            head = head.field("Content-Type", "application/json");
            let (hut, free) = self.facts;
            body = format!(
                "{{\"price\":{},\"worker\":\"{}\",\"hut\":\"hold-hut-{hut}\",\"other\":\"hold-hut-{}\",\
                 \"desk\":\"confirm-hut-{hut}\",\"free\":{free}}}",
                900 + company,
                self.build.name,
                hut % HUTS + 1
            );
        }
        let bytes = head.body(body.as_bytes());
        match self.mood {
            Mood::CutAnswers => {
                transport.write(conn, &bytes[..bytes.len() / 2]);
                transport.finish(conn);
            }
            Mood::Garbage if conn.0.is_multiple_of(2) => {
                transport.write(conn, b"\x16\x03\x01 certainly no HTTP\r\n\r\n")
            }
            Mood::Garbage => transport.write(conn, &encode::response(200).body(b"no event")),
            Mood::TwoAnswers => transport.write(conn, &[bytes.clone(), bytes].concat()),
            _ => transport.write(conn, &bytes),
        }
    }

    fn turn_to(&mut self, transport: &mut dyn Transport, mood: Mood) {
        if let Some(up) = self.up {
            match mood {
                Mood::NoHandshakes => transport.stop_accepting(up, false),
                _ => transport.resume_accepting(up),
            }
        }
        self.mood = mood;
    }

    fn came(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, asked: &Message) {
        if let Some(name) = asked.target.strip_prefix("/-/mood?") {
            let mood = Mood::named(name);
            mood.into_iter().for_each(|mood| self.turn_to(transport, mood));
            let status = if mood.is_some() { 200 } else { 404 };
            return transport.write(conn, &encode::response(status).body(b""));
        }
        let event: Event = Rc::from(format!("{} {}", asked.field("ce-source"), asked.field("ce-id")));
        let router = asked.number("applepond-router").unwrap_or(0);
        let (worker, rack) = (self.build.name.clone(), self.build.rack);
        self.ledger.write(now, Saw::Came { worker: worker.clone(), rack, router, event: event.clone() });
        let work = asked.number("ce-workms").unwrap_or(20) * 1000;
        if self.falls(now, router, work) {
            let by = self.pressed.iter().map(|(_, router, _)| *router).collect();
            self.ledger.write(now, Saw::Fell { worker, by });
            return self.die(transport);
        }
        let away = |me: &mut Self, transport: &mut dyn Transport, company| {
            me.ledger.write(now, Saw::TurnedAway { worker: me.build.name.clone(), event: event.clone() });
            me.answer(transport, conn, 503, "full", "", company);
        };
        let customer = asked.field("ce-customer").bytes().fold(0u8, u8::wrapping_add);
        match self.mood {
            Mood::Hang => return,
            Mood::FailFast(share) if self.rng.rand_float() < share => {
                self.ledger.write(now, Saw::Began { worker, event });
                return self.answer(transport, conn, 500, "", "", 0);
            }
            Mood::RefuseAll => return away(self, transport, 0),
            Mood::RefuseCustomer(shut) if shut == customer => return away(self, transport, 0),
            _ => {}
        }
        let marked = asked.field("ce-fingerprint") == "true";
        if marked && self.rack.borrow().get(&event).is_some_and(|until| now < *until) {
            self.ledger.write(now, Saw::Dropped { worker, event });
            return self.answer(transport, conn, 200, "", "", 0);
        }
        let function: Rc<str> = Rc::from(asked.field("applepond-function"));
        let company = self.requests.values().filter(|j| j.function == function).count();
        if self.queue.len() >= self.build.queue {
            return away(self, transport, company);
        }
        let note = match self.copies.get(&function) {
            Some(copy) if copy.loading => "awaited",
            Some(_) => "stood",
            None => {
                let memory_mb = asked.number("applepond-memory-mb").unwrap_or(1);
                if !self.make_room(now, memory_mb) {
                    return away(self, transport, company);
                }
                let lanes = asked.number("applepond-lanes").unwrap_or(1) as usize;
                let copy = Copy { memory_mb, lanes, running: 0, loading: true, last: now };
                self.copies.insert(function.clone(), copy);
                match self.build.store {
                    Some(store) => {
                        let fetch = transport.connect(store, 1_000_000);
                        self.fetches.insert(fetch, (function.clone(), Talk::new(Side::Client)));
                    }
                    None => self.wake(transport, now + self.build.load, Then::Loaded(function.clone())),
                }
                "begun"
            }
        };
        let opening =
            Some(asked.field("applepond-opening")).filter(|name| !name.is_empty()).map(|name| Opening {
                name: Rc::from(name),
                size: asked.number("applepond-opening-size").unwrap_or(1),
                lease: asked.number("applepond-opening-lease-ms").unwrap_or(0) * 1000,
            });
        if let Some(opening) = opening.as_ref().filter(|o| o.lease > 0) {
            let (worker, opening) = (self.build.name.clone(), opening.name.clone());
            self.ledger.write(now, Saw::Pinned { worker, router, opening });
        }
        let request = Job { event, function, work, marked, note, company, running: false, opening };
        self.requests.insert(conn, request);
        self.queue.push_back(conn);
        self.go_on(now, transport);
    }

    /// Unloads idle copies, the one idle longest first; those at work or loading stay.
    fn make_room(&mut self, now: Micros, wanted: u64) -> bool {
        let keep = self.build.keep;
        self.copies.retain(|f, c| {
            c.loading
                || c.running > 0
                || c.last + keep > now
                || self.requests.values().any(|j| j.function == *f)
        });
        while self.copies.values().map(|c| c.memory_mb).sum::<u64>() + wanted > self.build.memory_mb {
            let idle = self.copies.iter().filter(|(f, c)| {
                !c.loading && c.running == 0 && !self.requests.values().any(|j| j.function == **f)
            });
            let Some(oldest) = idle.min_by_key(|(_, c)| c.last).map(|(f, _)| f.clone()) else { return false };
            self.copies.remove(&oldest);
        }
        true
    }

    /// Begins what may begin: oldest first, where a copy has a lane and a core is free.
    fn go_on(&mut self, now: Micros, transport: &mut dyn Transport) {
        let mut free = self.build.cores.saturating_sub(self.requests.values().filter(|j| j.running).count());
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
            let opening = request.opening.clone();
            self.queue.retain(|c| *c != conn);
            self.ledger.write(now, Saw::Began { worker, event });
            work += opening.map_or(0, |opening| self.prepares(now, &opening));
            let at = now + (work as f64 / self.warmth(now)) as Micros;
            self.wake(transport, at, Then::Done(conn, self.life));
        }
    }

    /// What a request has to wait for its opening: nothing where it is prepared. Where there is no room the
    /// one longest not used goes, pinned ones last.
    fn prepares(&mut self, now: Micros, opening: &Opening) -> Micros {
        let pinned = now + opening.lease;
        if let Some(kept) = self.prepared.get_mut(&opening.name) {
            (kept.used, kept.pinned) = (now, kept.pinned.max(pinned));
            return 0;
        }
        while self.prepared.values().map(|p| p.size).sum::<u64>() + opening.size > self.build.openings {
            let oldest = self.prepared.iter().min_by_key(|(_, p)| (p.pinned > now, p.used));
            let Some(oldest) = oldest.map(|(name, _)| name.clone()) else { break };
            self.prepared.remove(&oldest);
        }
        self.prepared.insert(opening.name.clone(), Prepared { size: opening.size, used: now, pinned });
        let took = opening.size * self.build.prepare;
        let (worker, opening) = (self.build.name.clone(), opening.name.clone());
        self.ledger.write(now, Saw::Prepared { worker, opening, took });
        took
    }

    fn done(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn) {
        let Some(request) = self.requests.remove(&conn) else { return };
        if let Some(copy) = self.copies.get_mut(&request.function) {
            copy.running -= 1;
            copy.last = now;
        }
        let (worker, event) = (self.build.name.clone(), request.event.clone());
        self.ledger.write(now, Saw::Done { worker, event: event.clone() });
        self.facts = facts(&event);
        if request.marked {
            self.rack.borrow_mut().insert(request.event.clone(), now + self.build.window);
        }
        self.answer(transport, conn, 200, "", request.note, request.company);
        self.go_on(now, transport);
    }

    fn load_failed(&mut self, now: Micros, transport: &mut dyn Transport, function: &Rc<str>) {
        self.copies.remove(function);
        let waits = |j: &Job| j.function == *function;
        let requests: Vec<Conn> = self.requests.iter().filter(|(_, j)| waits(j)).map(|(c, _)| *c).collect();
        for conn in requests {
            self.requests.remove(&conn);
            self.queue.retain(|c| *c != conn);
            self.answer(transport, conn, 500, "", "load-failed", 0);
        }
        self.go_on(now, transport);
    }

    /// The caller has gone: that is a cancel. What waits is dropped, what runs is told to stop, and frees its
    /// core.
    fn gone(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn) {
        self.talks.remove(&conn);
        if let Some(request) = self.requests.remove(&conn) {
            self.queue.retain(|c| *c != conn);
            if let Some(copy) = self.copies.get_mut(&request.function).filter(|_| request.running) {
                copy.running -= 1;
            }
            self.go_on(now, transport);
        }
        if let Some((function, _)) = self.fetches.remove(&conn) {
            self.load_failed(now, transport, &function);
        }
    }
}

impl Machine for Worker {
    fn start(&mut self, now: Micros, transport: &mut dyn Transport) {
        for n in 0..self.script.len() {
            let at = self.script[n].0;
            self.wake(transport, at, Then::Turn(n));
        }
        // One whose script begins with its rise comes later.
        if self.script.first().is_none_or(|(_, turn)| *turn != Turn::Rise) {
            self.rise(now, transport);
            self.started = now.saturating_sub(self.build.warm_within);
        }
    }
    fn accepted(&mut self, _: Micros, _: &mut dyn Transport, conn: Conn, _: Listener) {
        self.talks.insert(conn, Talk::new(Side::Server));
    }
    fn connected(&mut self, _: Micros, transport: &mut dyn Transport, conn: Conn) {
        if let Some((function, _)) = self.fetches.get(&conn) {
            transport.write(conn, &encode::request("GET", &format!("/model/{function}"), "store").empty());
        }
    }
    fn bytes(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, bytes: &[u8]) {
        if let Some((function, talk)) = self.fetches.get_mut(&conn) {
            let Some(answer) = talk.hear(bytes).unwrap_or_default().pop() else { return };
            let function = function.clone();
            self.fetches.remove(&conn);
            transport.cut(conn);
            match answer.status {
                200 => self.wake(transport, now + self.build.load, Then::Loaded(function)),
                _ => self.load_failed(now, transport, &function),
            }
        } else if let Some(talk) = self.talks.get_mut(&conn) {
            match talk.hear(bytes) {
                Some(asked) => asked.iter().for_each(|m| self.came(now, transport, conn, m)),
                None => transport.cut(conn),
            }
        }
    }
    fn half_closed(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn) {
        transport.cut(conn);
        self.gone(now, transport, conn);
    }
    fn closed(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, _: Closed, _: u64) {
        self.gone(now, transport, conn);
    }
    fn flushed(&mut self, _: Micros, _: &mut dyn Transport, _: Conn) {}
    fn woken(&mut self, now: Micros, transport: &mut dyn Transport, wake: Wake) {
        match self.wakes[wake.0 as usize].take() {
            Some(Then::Turn(n)) => match self.script[n].1 {
                Turn::Mood(mood) => self.turn_to(transport, mood),
                Turn::Die => self.die(transport),
                Turn::Rise => self.rise(now, transport),
            },
            Some(Then::Done(conn, life)) if life == self.life => {
                if !matches!(self.mood, Mood::Hang | Mood::Stall) {
                    self.done(now, transport, conn);
                } else {
                    self.wake(transport, now + 100_000, Then::Done(conn, life));
                }
            }
            Some(Then::Loaded(function)) => {
                if let Some(copy) = self.copies.get_mut(&function) {
                    copy.loading = false;
                }
                self.go_on(now, transport);
            }
            _ => {}
        }
    }
}
