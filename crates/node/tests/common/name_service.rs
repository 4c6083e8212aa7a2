//! A name service for [`SimulatedNode`] that answers late, out of order, or not at all.
use super::*;
use oorandom::Rand32;
use std::collections::BTreeSet;

/// Interval at which the simulation advances.
const STEP: Micros = 10 * MS;

/// What happens to one query.
#[derive(Clone, Copy, Debug)]
pub enum Reaction {
    /// It is answered after this time, with the list as it was when the query arrived.
    AnswerAfter(Micros),
    /// It is not answered.
    Ignore,
}

struct PendingAnswer {
    at: Micros,
    conn: ConnectionId,
    bytes: Vec<u8>,
}

pub struct LateNameService {
    /// The answer to a query, with the id to be filled in.
    answer: Vec<u8>,
    serial: u32,
    pending: Vec<PendingAnswer>,
    /// When each query arrived.
    pub queries: Vec<Micros>,
    /// The highest number of sockets that the node had open at a time.
    pub max_sockets: usize,
    seen: usize,
}

impl LateNameService {
    /// Creates a service whose current list is that of the configuration.
    pub fn new(config_json: &Value) -> Self {
        LateNameService {
            answer: dns_answer(0, 1, &parse_config(config_json)),
            serial: 1,
            pending: Vec::new(),
            queries: Vec::new(),
            max_sockets: 0,
            seen: 0,
        }
    }

    /// Changes the list, as a new event.
    pub fn update(&mut self, config_json: &Value) {
        self.serial += 1;
        self.answer = dns_answer(0, self.serial, &parse_config(config_json));
    }

    /// Advances the node and answers its queries. `react` decides what happens to each query, by its number.
    pub fn run(&mut self, sim: &mut SimulatedNode, time: Micros, mut react: impl FnMut(usize) -> Reaction) {
        let end = sim.now + time;
        while sim.now < end {
            sim.advance(STEP.min(end - sim.now));
            self.receive_queries(sim, &mut react);
            self.send_due_answers(sim);
        }
    }

    fn receive_queries(&mut self, sim: &SimulatedNode, react: &mut impl FnMut(usize) -> Reaction) {
        for (conn, _, question) in &sim.transport.datagrams[self.seen..] {
            if let Reaction::AnswerAfter(delay) = react(self.queries.len()) {
                let mut bytes = self.answer.clone();
                bytes[..2].copy_from_slice(&question[..2]);
                self.pending.push(PendingAnswer { at: sim.now + delay, conn: *conn, bytes });
            }
            self.queries.push(sim.now);
        }
        self.seen = sim.transport.datagrams.len();
        self.max_sockets = self.max_sockets.max(open_sockets(sim));
    }

    /// Delivers the answers that are due. Those to a socket that has been closed are lost.
    fn send_due_answers(&mut self, sim: &mut SimulatedNode) {
        let (due, later) = self.pending.drain(..).partition(|answer| answer.at <= sim.now);
        self.pending = later;
        for PendingAnswer { conn, bytes, .. } in due {
            if !sim.transport.cut.contains(&conn) {
                sim.node.datagram_received(sim.now, &mut sim.transport, conn, &bytes);
            }
        }
    }
}

/// Number of sockets for queries that the node has open.
pub fn open_sockets(sim: &SimulatedNode) -> usize {
    let sockets: BTreeSet<_> = sim.transport.datagrams.iter().map(|(conn, _, _)| *conn).collect();
    sockets.difference(&sim.transport.cut).count()
}

/// Uneven reactions: a delay between no time and `max_delay`, or no answer to `loss_percent` of the queries.
pub fn uneven(seed: u64, max_delay: Micros, loss_percent: u32) -> impl FnMut(usize) -> Reaction {
    let mut rng = Rand32::new(seed);
    move |_| {
        let delay = Micros::from(rng.rand_range(0..max_delay as u32 + 1));
        if rng.rand_range(0..100) < loss_percent { Reaction::Ignore } else { Reaction::AnswerAfter(delay) }
    }
}
