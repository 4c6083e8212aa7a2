//! Fake clients with open-loop arrivals. They retry as docs/gateway.md permits; some send a request twice at
//! once, some disconnect before the response.
//!
//! docs/gateway.md permits any client to retry a rejected request or one whose connection was never
//! established. A request whose connection broke later may be retried only if it is idempotent.
use crate::http_peer::{HttpPeer, Message};
use crate::ledger::{Event, Ledger, Observation};
use applepond_http::decode::Side;
use applepond_http::encode;
use applepond_reactor::{Closed, ConnectionId, Listener, Machine, Micros, TimerId, Transport};
use serde_json::json;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// Delay in µs before a retry at another router after a connection failed.
const FAILOVER_DELAY: Micros = 50_000;
/// Time in µs for which a client still listens after its deadline, to observe responses that are late.
const LATE_LISTENING_TIME: Micros = 300_000;

/// Computes a client's next request from its last one, the time in µs until the response, and the response.
/// Returns `None` if the client is done.
pub type FollowUp = Rc<dyn Fn(&PlannedRequest, Micros, &Message) -> Option<PlannedRequest>>;

/// A request that a client is going to make.
#[derive(Clone)]
pub struct PlannedRequest {
    /// Time of the first attempt.
    pub at: Micros,
    /// Source of the event.
    pub source: String,
    /// Id of the event.
    pub id: String,
    /// Type of the event.
    pub event_type: &'static str,
    /// Function to call.
    pub function: String,
    /// Customer on whose behalf it is made.
    pub customer: &'static str,
    /// Run time at a warm worker, in ms.
    pub work_ms: u64,
    /// Total time that the client waits, over all attempts, in µs.
    pub timeout: Micros,
    /// Time within which a response counts as in time, in µs.
    pub latency_target: Micros,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether it carries an idempotency key.
    pub keyed: bool,
    /// Whether the event is sent in structured content mode.
    pub structured: bool,
    /// Index of the router of the first attempt.
    pub router: usize,
    /// Limit of attempts, the first included.
    pub max_attempts: u32,
    /// If set, the client never changes its router, and after a failed connection retries there with this
    /// delay in µs.
    pub sticky_retry_delay: Option<Micros>,
    /// Whether the client retries rejections after `sticky_retry_delay` instead of the time that the response
    /// names.
    pub ignores_retry_after: bool,
    /// If set, the client sends the same event a second time after this many µs, without waiting for the
    /// first exchange to end.
    pub duplicate_after: Option<Micros>,
    /// If set, the client disconnects after this many µs without waiting for the response.
    pub disconnect_after: Option<Micros>,
    /// Name and size of its prompt prefix.
    pub prefix: Option<(String, u32)>,
    /// Computes the next request once this one has succeeded within its latency target.
    pub follow_up: Option<FollowUp>,
}

/// How a request ended, as seen by its client.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestOutcome {
    /// There was no response yet, or the time was up before an attempt could be made.
    #[default]
    Nothing,
    /// It succeeded within its latency target.
    Finished,
    /// It succeeded after its latency target.
    Late,
    /// It was rejected with no time or attempt left.
    PushedBack,
    /// It failed with status 502 or 504.
    Killed,
    /// The connection broke and no retry was possible, or the response did not come in time.
    Broken,
    /// The client disconnected, as planned.
    Left,
    /// It ended with another status.
    Other(u16),
}

/// An attempt of a request on a connection.
struct Exchange {
    request: usize,
    conn: ConnectionId,
    router: usize,
    open: bool,
    is_duplicate: bool,
}

/// Results of the requests.
#[derive(Default)]
pub struct Results {
    /// By request, its outcome and the time in µs from its planned first attempt until then.
    pub outcomes: Vec<(RequestOutcome, Micros)>,
    /// Number of requests that have ended.
    pub done: usize,
}

/// The action of a timer.
enum Timer {
    Send { request: usize, router: usize, is_duplicate: bool },
    Disconnect(usize),
    TimeOut(u64),
}

/// All fake clients of a scenario.
pub struct Client {
    plan: Vec<PlannedRequest>,
    routers: Rc<RefCell<Vec<SocketAddr>>>,
    ledger: Ledger,
    results: Rc<RefCell<Results>>,
    attempts: Vec<u32>,
    exchanges: BTreeMap<u64, Exchange>,
    peers: BTreeMap<ConnectionId, (HttpPeer, u64)>,
    idle: Vec<(usize, ConnectionId)>,
    last_exchange: u64,
    timers: Vec<Option<Timer>>,
}

impl Client {
    /// Creates clients that make the requests of `plan`. The addresses in `routers` may change during the
    /// run, for example when a router is restarted on another port.
    pub fn new(
        plan: Vec<PlannedRequest>,
        routers: Rc<RefCell<Vec<SocketAddr>>>,
        ledger: Ledger,
    ) -> (Self, Rc<RefCell<Results>>) {
        let results =
            Rc::new(RefCell::new(Results { outcomes: vec![Default::default(); plan.len()], done: 0 }));
        let client = Client {
            attempts: vec![0; plan.len()],
            plan,
            routers,
            ledger,
            results: results.clone(),
            exchanges: BTreeMap::new(),
            peers: BTreeMap::new(),
            idle: Vec::new(),
            last_exchange: 0,
            timers: Vec::new(),
        };
        (client, results)
    }

    fn set_timer(&mut self, transport: &mut dyn Transport, at: Micros, timer: Timer) {
        self.timers.push(Some(timer));
        transport.set_timer_at(at, TimerId(self.timers.len() as u64 - 1));
    }

    /// Sets the outcome of a request unless it has one already.
    fn record_outcome(&self, now: Micros, request: usize, outcome: RequestOutcome) {
        let mut results = self.results.borrow_mut();
        if results.outcomes[request].0 == RequestOutcome::Nothing {
            results.outcomes[request] = (outcome, now - self.plan[request].at);
            results.done += 1;
        }
    }

    /// Starts an attempt, on an idle connection if there is one.
    fn send(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        request: usize,
        router: usize,
        is_duplicate: bool,
    ) {
        let planned = &self.plan[request];
        if now >= planned.at + planned.timeout {
            return self.record_outcome(now, request, RequestOutcome::Nothing);
        }
        let idle = self.idle.iter().position(|(r, _)| *r == router);
        let address = self.routers.borrow()[router];
        let (conn, is_connected) = match idle {
            Some(n) => (self.idle.swap_remove(n).1, true),
            None => (transport.connect(address, planned.timeout), false),
        };
        self.last_exchange += 1;
        self.exchanges
            .insert(self.last_exchange, Exchange { request, conn, router, open: true, is_duplicate });
        let peer = self.peers.entry(conn).or_insert_with(|| (HttpPeer::new(Side::Client), 0));
        peer.1 = self.last_exchange;
        let (until, number) = (planned.at + planned.timeout + LATE_LISTENING_TIME, self.last_exchange);
        self.set_timer(transport, until, Timer::TimeOut(number));
        if is_connected {
            self.write(now, transport, conn);
        }
    }

    /// Writes the request of the exchange to which the connection belongs.
    fn write(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId) {
        let Some((_, number)) = self.peers.get(&conn) else { return };
        let Some(exchange) = self.exchanges.get(number) else { return };
        let p = &self.plan[exchange.request];
        let left = ((p.at + p.timeout).saturating_sub(now) / 1000).to_string();
        let (work, retry) = (p.work_ms.to_string(), (self.attempts[exchange.request] > 1).to_string());
        let keyed = p.keyed.to_string();
        let prefix = p.prefix.as_ref().map(|(name, size)| (name.as_str(), size.to_string()));
        let mut attributes = vec![
            ("specversion", "1.0"),
            ("id", &p.id),
            ("source", &p.source),
            ("type", p.event_type),
            ("subject", &p.function),
            ("customer", p.customer),
            ("workms", &work),
            ("timelimit", &left),
            ("retry", &retry),
            ("fingerprint", &keyed),
        ];
        if let Some((name, size)) = &prefix {
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
        let deadline = p.at + p.timeout;
        self.ledger.record(now, Observation::RequestSent { exchange: *number, router, event, deadline });
    }

    /// Schedules a retry after `wait` µs if an attempt is left and the deadline permits it. Returns whether
    /// it did.
    fn retry(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        request: usize,
        router: usize,
        wait: Micros,
    ) -> bool {
        let p = &self.plan[request];
        let may_retry = self.attempts[request] < p.max_attempts && now + wait < p.at + p.timeout;
        if may_retry {
            self.attempts[request] += 1;
            self.set_timer(transport, now + wait, Timer::Send { request, router, is_duplicate: false });
        }
        may_retry
    }

    fn response_received(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        number: u64,
        response: &Message,
    ) {
        let Some(exchange) = self.exchanges.get_mut(&number).filter(|e| e.open) else {
            return self.ledger.record(now, Observation::UnexpectedBytes { exchange: number });
        };
        exchange.open = false;
        let (request, conn, router, is_duplicate) =
            (exchange.request, exchange.conn, exchange.router, exchange.is_duplicate);
        self.ledger.record(now, Observation::ResponseReceived { exchange: number, status: response.status });
        if response.keep_alive {
            self.idle.push((router, conn));
        }
        let is_late = now > self.plan[request].at + self.plan[request].latency_target;
        match response.status {
            200 => {
                let p = &self.plan[request];
                let next = p.follow_up.as_ref().and_then(|follow_up| follow_up(p, now - p.at, response));
                match next.filter(|_| !is_late) {
                    Some(next) => {
                        self.plan[request] = next;
                        self.attempts[request] = 1;
                        self.send(now, transport, request, router, false);
                    }
                    None => self.record_outcome(
                        now,
                        request,
                        if is_late { RequestOutcome::Late } else { RequestOutcome::Finished },
                    ),
                }
            }
            503 | 429 if !is_duplicate => {
                let seconds = response.number("retry-after").unwrap_or(1) * 1_000_000;
                let body: serde_json::Value = serde_json::from_slice(&response.body).unwrap_or_default();
                let retry_after = body["retry-after-ms"].as_u64().map_or(seconds, |ms| ms * 1000);
                let own =
                    self.plan[request].sticky_retry_delay.filter(|_| self.plan[request].ignores_retry_after);
                let wait = own.unwrap_or(retry_after);
                if !self.retry(now, transport, request, router, wait) {
                    self.record_outcome(now, request, RequestOutcome::PushedBack);
                }
            }
            503 | 429 => {}
            502 | 504 => self.record_outcome(now, request, RequestOutcome::Killed),
            other => self.record_outcome(now, request, RequestOutcome::Other(other)),
        }
    }

    /// Handles the end of a connection, which breaks off its open exchange.
    fn connection_ended(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: ConnectionId,
        was_never_established: bool,
    ) {
        self.idle.retain(|(_, c)| *c != conn);
        let Some((_, number)) = self.peers.remove(&conn) else { return };
        let Some(exchange) = self.exchanges.get_mut(&number).filter(|e| e.open) else { return };
        exchange.open = false;
        let (request, router, is_duplicate) = (exchange.request, exchange.router, exchange.is_duplicate);
        self.ledger.record(now, Observation::ConnectionLost { exchange: number });
        let sticky_retry_delay = self.plan[request].sticky_retry_delay;
        let next_router =
            if sticky_retry_delay.is_some() { router } else { (router + 1) % self.routers.borrow().len() };
        let wait = sticky_retry_delay.unwrap_or(FAILOVER_DELAY);
        let may_retry = was_never_established || self.plan[request].idempotent;
        let continues = is_duplicate || may_retry && self.retry(now, transport, request, next_router, wait);
        if !continues {
            self.record_outcome(now, request, RequestOutcome::Broken);
        }
    }
}

impl Machine for Client {
    fn start(&mut self, _: Micros, transport: &mut dyn Transport) {
        for request in 0..self.plan.len() {
            let p = self.plan[request].clone();
            self.attempts[request] = 1;
            self.set_timer(transport, p.at, Timer::Send { request, router: p.router, is_duplicate: false });
            if let Some(after) = p.duplicate_after {
                self.set_timer(
                    transport,
                    p.at + after,
                    Timer::Send { request, router: p.router, is_duplicate: true },
                );
            }
            if let Some(after) = p.disconnect_after {
                self.set_timer(transport, p.at + after, Timer::Disconnect(request));
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
            Some(responses) => {
                responses.iter().for_each(|response| self.response_received(now, transport, number, response))
            }
            None => self.ledger.record(now, Observation::UnexpectedBytes { exchange: number }),
        }
    }
    fn half_closed(&mut self, now: Micros, transport: &mut dyn Transport, conn: ConnectionId) {
        transport.abort(conn);
        self.connection_ended(now, transport, conn, false);
    }
    fn closed(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: ConnectionId,
        why: Closed,
        _: u64,
    ) {
        self.connection_ended(now, transport, conn, why == Closed::NotEstablished);
    }
    fn flushed(&mut self, _: Micros, _: &mut dyn Transport, _: ConnectionId) {}
    fn timer_fired(&mut self, now: Micros, transport: &mut dyn Transport, timer: TimerId) {
        match self.timers[timer.0 as usize].take() {
            Some(Timer::Send { request, .. })
                if self.results.borrow().outcomes[request].0 != RequestOutcome::Nothing => {}
            Some(Timer::Send { request, router, is_duplicate }) => {
                self.send(now, transport, request, router, is_duplicate)
            }
            Some(Timer::Disconnect(request)) => {
                let open = self.exchanges.iter_mut().filter(|(_, e)| e.request == request && e.open);
                for (number, exchange) in open {
                    exchange.open = false;
                    transport.abort(exchange.conn);
                    self.peers.remove(&exchange.conn);
                    self.ledger.record(now, Observation::ClientLeft { exchange: *number });
                }
                self.record_outcome(now, request, RequestOutcome::Left);
            }
            Some(Timer::TimeOut(number)) => {
                let Some(exchange) = self.exchanges.get_mut(&number).filter(|e| e.open) else { return };
                exchange.open = false;
                let (request, conn) = (exchange.request, exchange.conn);
                transport.abort(conn);
                self.peers.remove(&conn);
                self.ledger.record(now, Observation::ClientTimedOut { exchange: number });
                self.record_outcome(now, request, RequestOutcome::Broken);
            }
            None => {}
        }
    }
}
