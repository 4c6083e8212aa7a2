//! The scripted client: open arrivals, retries as the contract allows, some that ask twice at once, some that
//! leave.
//!
//! The contract of docs/gateway.md: a pushback may be retried by anybody, a connection that never stood too;
//! what broke off in between only where the request is idempotent.
use crate::ledger::{Event, Ledger, Saw};
use crate::wording::{Message, Talk};
use applepond_http::decode::Side;
use applepond_http::encode;
use applepond_reactor::{Closed, Conn, Listener, Machine, Micros, Transport, Wake};
use serde_json::json;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// µs until a try elsewhere after a connection that never stood, and after one that broke.
const ELSEWHERE: Micros = 50_000;
/// µs beyond its limit for which a client still listens, to see answers that come too late.
const LISTENS: Micros = 300_000;

/// What a client asks next, once it has been answered after so many µs: none when it has all that it wants.
pub type Follow = Rc<dyn Fn(&Planned, Micros, &Message) -> Option<Planned>>;

/// One request as the script has it.
#[derive(Clone)]
pub struct Planned {
    pub at: Micros,
    pub source: String,
    pub id: String,
    pub kind: &'static str,
    pub function: String,
    pub customer: &'static str,
    pub work_ms: u64,
    /// µs that the client waits in all, and within which it hopes for an answer.
    pub limit: Micros,
    pub target: Micros,
    pub idempotent: bool,
    pub keyed: bool,
    pub structured: bool,
    pub router: usize,
    pub tries: u32,
    /// Keeps to its router whatever happens, and asks again after so long where nothing better is told.
    pub stays: Option<Micros>,
    /// Follows no advice: asks again after `stays`, whatever it is told.
    pub ignores: bool,
    /// Asks once more, for the same event, while the first exchange runs.
    pub twin_after: Option<Micros>,
    /// Leaves without waiting for the answer.
    pub leaves_after: Option<Micros>,
    /// What it begins with, and how large that is.
    pub opening: Option<(String, u32)>,
    /// Asks for something else once this is finished.
    pub follow: Option<Follow>,
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Got {
    #[default]
    Nothing,
    Finished,
    Late,
    PushedBack,
    Killed,
    Broken,
    Left,
    Other(u16),
}

struct Exchange {
    request: usize,
    conn: Conn,
    router: usize,
    open: bool,
    twin: bool,
}

#[derive(Default)]
pub struct Results {
    pub got: Vec<(Got, Micros)>,
    pub done: usize,
}

enum Then {
    Ask { request: usize, router: usize, twin: bool },
    Leave(usize),
    GiveUp(u64),
}

pub struct Client {
    plan: Vec<Planned>,
    routers: Rc<RefCell<Vec<SocketAddr>>>,
    ledger: Ledger,
    results: Rc<RefCell<Results>>,
    tries: Vec<u32>,
    exchanges: BTreeMap<u64, Exchange>,
    talks: BTreeMap<Conn, (Talk, u64)>,
    idle: Vec<(usize, Conn)>,
    next: u64,
    wakes: Vec<Option<Then>>,
}

impl Client {
    /// `routers` may change while the day runs, as when one comes back on another port.
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
            talks: BTreeMap::new(),
            idle: Vec::new(),
            next: 0,
            wakes: Vec::new(),
        };
        (client, results)
    }

    fn wake(&mut self, transport: &mut dyn Transport, at: Micros, then: Then) {
        self.wakes.push(Some(then));
        transport.wake_at(at, Wake(self.wakes.len() as u64 - 1));
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
        let talk = self.talks.entry(conn).or_insert_with(|| (Talk::new(Side::Client), 0));
        talk.1 = self.next;
        let (limit, number) = (planned.at + planned.limit + LISTENS, self.next);
        self.wake(transport, limit, Then::GiveUp(number));
        if stands {
            self.write(now, transport, conn);
        }
    }

    fn write(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn) {
        let Some((_, number)) = self.talks.get(&conn) else { return };
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

    fn again(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        request: usize,
        router: usize,
        wait: Micros,
    ) -> bool {
        let p = &self.plan[request];
        let may = self.tries[request] < p.tries && now + wait < p.at + p.limit;
        if may {
            self.tries[request] += 1;
            self.wake(transport, now + wait, Then::Ask { request, router, twin: false });
        }
        may
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
                let told = body["retry-after-ms"].as_u64().map_or(seconds, |ms| ms * 1000);
                let own = self.plan[request].stays.filter(|_| self.plan[request].ignores);
                let wait = own.unwrap_or(told);
                if !self.again(now, transport, request, router, wait) {
                    self.settle(now, request, Got::PushedBack);
                }
            }
            503 | 429 => {}
            502 | 504 => self.settle(now, request, Got::Killed),
            other => self.settle(now, request, Got::Other(other)),
        }
    }

    fn gone(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, never: bool) {
        self.idle.retain(|(_, c)| *c != conn);
        let Some((_, number)) = self.talks.remove(&conn) else { return };
        let Some(exchange) = self.exchanges.get_mut(&number).filter(|e| e.open) else { return };
        exchange.open = false;
        let (request, router, twin) = (exchange.request, exchange.router, exchange.twin);
        self.ledger.write(now, Saw::Cut { exchange: number });
        let stays = self.plan[request].stays;
        let elsewhere = if stays.is_some() { router } else { (router + 1) % self.routers.borrow().len() };
        let wait = stays.unwrap_or(ELSEWHERE);
        let may = never || self.plan[request].idempotent;
        let goes_on = twin || may && self.again(now, transport, request, elsewhere, wait);
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
    fn accepted(&mut self, _: Micros, _: &mut dyn Transport, _: Conn, _: Listener) {}
    fn connected(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn) {
        self.write(now, transport, conn);
    }
    fn bytes(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, bytes: &[u8]) {
        let Some((talk, number)) = self.talks.get_mut(&conn) else { return };
        let number = *number;
        match talk.hear(bytes) {
            Some(answers) => answers.iter().for_each(|a| self.answered(now, transport, number, a)),
            None => self.ledger.write(now, Saw::Stray { exchange: number }),
        }
    }
    fn half_closed(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn) {
        transport.cut(conn);
        self.gone(now, transport, conn, false);
    }
    fn closed(&mut self, now: Micros, transport: &mut dyn Transport, conn: Conn, why: Closed, _: u64) {
        self.gone(now, transport, conn, why == Closed::Never);
    }
    fn flushed(&mut self, _: Micros, _: &mut dyn Transport, _: Conn) {}
    fn woken(&mut self, now: Micros, transport: &mut dyn Transport, wake: Wake) {
        match self.wakes[wake.0 as usize].take() {
            Some(Then::Ask { request, .. }) if self.results.borrow().got[request].0 != Got::Nothing => {}
            Some(Then::Ask { request, router, twin }) => self.ask(now, transport, request, router, twin),
            Some(Then::Leave(request)) => {
                let mine = self.exchanges.iter_mut().filter(|(_, e)| e.request == request && e.open);
                for (number, exchange) in mine {
                    exchange.open = false;
                    transport.cut(exchange.conn);
                    self.talks.remove(&exchange.conn);
                    self.ledger.write(now, Saw::Left { exchange: *number });
                }
                self.settle(now, request, Got::Left);
            }
            Some(Then::GiveUp(number)) => {
                let Some(exchange) = self.exchanges.get_mut(&number).filter(|e| e.open) else { return };
                exchange.open = false;
                let (request, conn) = (exchange.request, exchange.conn);
                transport.cut(conn);
                self.talks.remove(&conn);
                self.ledger.write(now, Saw::GaveUp { exchange: number });
                self.settle(now, request, Got::Broken);
            }
            None => {}
        }
    }
}
