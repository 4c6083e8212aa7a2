//! The clients: open arrivals, retries as the contract allows, some that ask twice at once, some that leave.
//!
//! The contract of docs/gateway.md: a rejection may be retried by anybody, and so may a connection that was
//! never established; what broke off in between only where the request is idempotent.
use crate::http_peer::{HttpPeer, Message};
use crate::ledger::{Event, Ledger, Saw};
use applepond_http::decode::Side;
use applepond_http::encode;
use applepond_reactor::{Closed, ConnectionId, Listener, Machine, Micros, TimerId, Transport};
use serde_json::json;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// µs until a retry at another router after a connection failed.
const FAILOVER_DELAY: Micros = 50_000;
/// µs beyond its deadline for which a client still listens, to see answers that come too late.
const LISTENING_TIME: Micros = 300_000;

/// The next request of a client, given its last one, after how many µs that was answered, and the answer:
/// none when it has all that it wants.
pub type Follow = Rc<dyn Fn(&Planned, Micros, &Message) -> Option<Planned>>;

/// One request as the script has it.
#[derive(Clone)]
pub struct Planned {
    /// When it is asked first.
    pub at: Micros,
    /// The event's source.
    pub source: String,
    /// The event's id.
    pub id: String,
    /// The event's type.
    pub kind: &'static str,
    /// The function that it names.
    pub function: String,
    /// The customer that it names.
    pub customer: &'static str,
    /// ms of work at a warm worker.
    pub work_ms: u64,
    /// µs that the client waits in all.
    pub limit: Micros,
    /// µs within which an answer is in time.
    pub target: Micros,
    /// It may run more than once.
    pub idempotent: bool,
    /// It carries an idempotency key.
    pub keyed: bool,
    /// The event is sent in structured mode.
    pub structured: bool,
    /// Index of the router that is asked first.
    pub router: usize,
    /// Limit of attempts.
    pub tries: u32,
    /// Stays with its router whatever happens, and retries after so many µs where it is given no other time.
    pub stays: Option<Micros>,
    /// Retries after `stays` whatever time it is given.
    pub ignores: bool,
    /// Sends the same event once more after so many µs, while the first exchange runs.
    pub twin_after: Option<Micros>,
    /// Leaves after so many µs without waiting for the answer.
    pub leaves_after: Option<Micros>,
    /// Name and size of its prompt prefix.
    pub opening: Option<(String, u32)>,
    /// What the client asks next once this is finished.
    pub follow: Option<Follow>,
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Got {
    /// There was no answer.
    #[default]
    Nothing,
    /// It was answered in time.
    Finished,
    /// It was answered past its target.
    Late,
    /// It was rejected, and there was no time or attempt left.
    PushedBack,
    /// It failed.
    Killed,
    /// The connection broke, and there was no time or attempt left.
    Broken,
    /// The client left.
    Left,
    /// It was answered with another status.
    Other(u16),
}

/// One request on a connection.
struct Exchange {
    request: usize,
    conn: ConnectionId,
    router: usize,
    open: bool,
    twin: bool,
}

/// What became of the requests.
#[derive(Default)]
pub struct Results {
    /// For each request its end, and after how many µs.
    pub got: Vec<(Got, Micros)>,
    /// Requests that have ended.
    pub done: usize,
}

/// What a timer does.
enum Then {
    Ask { request: usize, router: usize, twin: bool },
    Leave(usize),
    GiveUp(u64),
}

/// All clients.
pub struct Client {
    plan: Vec<Planned>,
    routers: Rc<RefCell<Vec<SocketAddr>>>,
    ledger: Ledger,
    results: Rc<RefCell<Results>>,
    tries: Vec<u32>,
    exchanges: BTreeMap<u64, Exchange>,
    peers: BTreeMap<ConnectionId, (HttpPeer, u64)>,
    idle: Vec<(usize, ConnectionId)>,
    next: u64,
    wakes: Vec<Option<Then>>,
}

impl Client {
    /// Clients with these requests. `routers` may change meanwhile, as when one is restarted on another port.
    pub fn new(
        plan: Vec<Planned>,
        routers: Rc<RefCell<Vec<SocketAddr>>>,
        ledger: Ledger,
    ) -> (Self, Rc<RefCell<Results>>) {
        let results = Rc::new(RefCell::new(Results { got: vec![Default::default(); plan.len()], done: 0 }));
        let client = Client {
            tries: vec![0; plan.len()],
            plan,
            routers,
            ledger,
            results: results.clone(),
            exchanges: BTreeMap::new(),
            peers: BTreeMap::new(),
            idle: Vec::new(),
            next: 0,
            wakes: Vec::new(),
        };
        (client, results)
    }

    fn wake(&mut self, transport: &mut dyn Transport, at: Micros, then: Then) {
        self.wakes.push(Some(then));
        transport.set_timer_at(at, TimerId(self.wakes.len() as u64 - 1));
    }

    fn settle(&self, now: Micros, request: usize, got: Got) {
        let mut results = self.results.borrow_mut();
        if results.got[request].0 == Got::Nothing {
            results.got[request] = (got, now - self.plan[request].at);
            results.done += 1;
        }
    }

    fn ask(&mut self, now: Micros, transport: &mut dyn Transport, request: usize, router: usize, twin: bool) {
        let planned = &self.plan[request];
        if now >= planned.at + planned.limit {
            return self.settle(now, request, Got::Nothing);
        }
        let idle = self.idle.iter().position(|(r, _)| *r == router);
        let at = self.routers.borrow()[router];
        let (conn, stands) = match idle {
            Some(n) => (self.idle.swap_remove(n).1, true),
            None => (transport.connect(at, planned.limit), false),
        };
        self.next += 1;
        self.exchanges.insert(self.next, Exchange { request, conn, router, open: true, twin });
        let peer = self.peers.entry(conn).or_insert_with(|| (HttpPeer::new(Side::Client), 0));
        peer.1 = self.next;
        let (limit, number) = (planned.at + planned.limit + LISTENING_TIME, self.next);
        self.wake(transport, limit, Then::GiveUp(number));
        if stands {
            self.write(now, transport, conn);
        }
    }

    fn write(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId) {
        let Some((_, number)) = self.peers.get(&conn) else { return };
        let Some(exchange) = self.exchanges.get(number) else { return };
        let p = &self.plan[exchange.request];
        let left = ((p.at + p.limit).saturating_sub(now) / 1000).to_string();
        let (work, retry) = (p.work_ms.to_string(), (self.tries[exchange.request] > 1).to_string());
        let mark = p.keyed.to_string();
        let opening = p.opening.as_ref().map(|(name, size)| (name.as_str(), size.to_string()));
        let mut attributes = vec![
            ("specversion", "1.0"),
            ("id", &p.id),
            ("source", &p.source),
            ("type", p.kind),
            ("subject", &p.function),
            ("customer", p.customer),
            ("workms", &work),
            ("timelimit", &left),
            ("retry", &retry),
            ("fingerprint", &mark),
        ];
        if let Some((name, size)) = &opening {
            attributes.extend([("opening", *name), ("openingsize", size.as_str())]);
        }
        let head = encode::request("POST", "/events", "router");
        let bytes = if p.structured {
            let mut event = json!({"datacontenttype": "application/json", "data": {"nights": 2}});
            attributes.iter().for_each(|(n, v)| event[*n] = json!(v));
            head.field("Content-Type", "application/cloudevents+json").body(event.to_string().as_bytes())
        } else {
            let head = attributes.iter().fold(head, |h, (n, v)| h.field(&format!("ce-{n}"), v));
            head.field("Content-Type", "application/json").body(b"{\"nights\":2}")
        };
        transport.write(conn, &bytes);
        let (router, event) = (exchange.router as u64, Event::from(format!("{} {}", p.source, p.id)));
        let limit = p.at + p.limit;
        self.ledger.write(now, Saw::Asked { exchange: *number, router, event, limit });
    }

    /// Retries after `wait` µs, where there is time and an attempt left; whether there is.
    fn retry(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        request: usize,
        router: usize,
        wait: Micros,
    ) -> bool {
        let p = &self.plan[request];
        let may_retry = self.tries[request] < p.tries && now + wait < p.at + p.limit;
        if may_retry {
            self.tries[request] += 1;
            self.wake(transport, now + wait, Then::Ask { request, router, twin: false });
        }
        may_retry
    }

    fn answered(&mut self, now: Micros, transport: &mut dyn Transport, number: u64, answer: &Message) {
        let Some(exchange) = self.exchanges.get_mut(&number).filter(|e| e.open) else {
            return self.ledger.write(now, Saw::Stray { exchange: number });
        };
        exchange.open = false;
        let (request, conn, router, twin) = (exchange.request, exchange.conn, exchange.router, exchange.twin);
        self.ledger.write(now, Saw::Answered { exchange: number, status: answer.status });
        if answer.keep {
            self.idle.push((router, conn));
        }
        let late = now > self.plan[request].at + self.plan[request].target;
        match answer.status {
            200 => {
                let p = &self.plan[request];
                let next = p.follow.as_ref().and_then(|follow| follow(p, now - p.at, answer));
                match next.filter(|_| !late) {
                    Some(next) => {
                        self.plan[request] = next;
                        self.tries[request] = 1;
                        self.ask(now, transport, request, router, false);
                    }
                    None => self.settle(now, request, if late { Got::Late } else { Got::Finished }),
                }
            }
            503 | 429 if !twin => {
                let seconds = answer.number("retry-after").unwrap_or(1) * 1_000_000;
                let body: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
                let retry_after = body["retry-after-ms"].as_u64().map_or(seconds, |ms| ms * 1000);
                let own = self.plan[request].stays.filter(|_| self.plan[request].ignores);
                let wait = own.unwrap_or(retry_after);
                if !self.retry(now, transport, request, router, wait) {
                    self.settle(now, request, Got::PushedBack);
                }
            }
            503 | 429 => {}
            502 | 504 => self.settle(now, request, Got::Killed),
            other => self.settle(now, request, Got::Other(other)),
        }
    }

    /// A connection has ended.
    fn gone(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId, never: bool) {
        self.idle.retain(|(_, c)| *c != conn);
        let Some((_, number)) = self.peers.remove(&conn) else { return };
        let Some(exchange) = self.exchanges.get_mut(&number).filter(|e| e.open) else { return };
        exchange.open = false;
        let (request, router, twin) = (exchange.request, exchange.router, exchange.twin);
        self.ledger.write(now, Saw::Cut { exchange: number });
        let stays = self.plan[request].stays;
        let elsewhere = if stays.is_some() { router } else { (router + 1) % self.routers.borrow().len() };
        let wait = stays.unwrap_or(FAILOVER_DELAY);
        let may = never || self.plan[request].idempotent;
        let goes_on = twin || may && self.retry(now, transport, request, elsewhere, wait);
        if !goes_on {
            self.settle(now, request, Got::Broken);
        }
    }
}

impl Machine for Client {
    fn start(&mut self, _: Micros, transport: &mut dyn Transport) {
        for request in 0..self.plan.len() {
            let p = self.plan[request].clone();
            self.tries[request] = 1;
            self.wake(transport, p.at, Then::Ask { request, router: p.router, twin: false });
            if let Some(after) = p.twin_after {
                self.wake(transport, p.at + after, Then::Ask { request, router: p.router, twin: true });
            }
            if let Some(after) = p.leaves_after {
                self.wake(transport, p.at + after, Then::Leave(request));
            }
        }
    }
    fn accepted(&mut self, _: Micros, _: &mut dyn Transport, _: ConnectionId, _: Listener) {}
    fn connected(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId) {
        self.write(now, transport, conn);
    }
    fn bytes(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId, bytes: &[u8]) {
        let Some((peer, number)) = self.peers.get_mut(&conn) else { return };
        let number = *number;
        match peer.receive(bytes) {
            Some(answers) => answers.iter().for_each(|a| self.answered(now, transport, number, a)),
            None => self.ledger.write(now, Saw::Stray { exchange: number }),
        }
    }
    fn half_closed(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId) {
        transport.abort(conn);
        self.gone(now, transport, conn, false);
    }
    fn closed(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: ConnectionId,
        why: Closed,
        _: u64,
    ) {
        self.gone(now, transport, conn, why == Closed::NotEstablished);
    }
    fn flushed(&mut self, _: Micros, _: &mut dyn Transport, _: ConnectionId) {}
    fn timer_fired(&mut self, now: Micros, transport: &mut dyn Transport, timer: TimerId) {
        match self.wakes[timer.0 as usize].take() {
            Some(Then::Ask { request, .. }) if self.results.borrow().got[request].0 != Got::Nothing => {}
            Some(Then::Ask { request, router, twin }) => self.ask(now, transport, request, router, twin),
            Some(Then::Leave(request)) => {
                let mine = self.exchanges.iter_mut().filter(|(_, e)| e.request == request && e.open);
                for (number, exchange) in mine {
                    exchange.open = false;
                    transport.abort(exchange.conn);
                    self.peers.remove(&exchange.conn);
                    self.ledger.write(now, Saw::Left { exchange: *number });
                }
                self.settle(now, request, Got::Left);
            }
            Some(Then::GiveUp(number)) => {
                let Some(exchange) = self.exchanges.get_mut(&number).filter(|e| e.open) else { return };
                exchange.open = false;
                let (request, conn) = (exchange.request, exchange.conn);
                transport.abort(conn);
                self.peers.remove(&conn);
                self.ledger.write(now, Saw::GaveUp { exchange: number });
                self.settle(now, request, Got::Broken);
            }
            None => {}
        }
    }
}
