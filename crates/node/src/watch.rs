//! The name service: asked now and then, its answers believed only in their order.
use applepond::interface::Micros;
use applepond_platform::names::{self, Told};
use applepond_platform::rows::Words;
use applepond_reactor::{Conn, Transport};
use oorandom::Rand32;
use std::net::SocketAddr;

/// µs between two questions: an event counts as told 1.5 s after it happened, and two answers may get lost.
const ASK_EVERY: Micros = 250_000;
/// µs after which an answer is not awaited any more: many times the way there and back.
const ANSWER_LIMIT: Micros = 200_000;
/// µs before the next question after one that brought nothing: a service in trouble is not hammered.
const ASK_AGAIN: Micros = 50_000;
/// µs after a question that has had its time when this process must have stood still: twice what lies between
/// two, and less than the 1.5 s after which an event counts as told.
const STALE: Micros = 1_000_000;

pub struct Watch {
    service: SocketAddr,
    rng: Rand32,
    /// Number of the last event that was taken in.
    index: u64,
    asking: Option<(Conn, u16, Micros)>,
    next: Micros,
    /// When the last question was asked that has been answered or has had its time.
    asked: Micros,
}

impl Watch {
    pub fn new(now: Micros, service: SocketAddr, index: u64, seed: u64) -> Self {
        Watch { service, rng: Rand32::new(seed), index, asking: None, next: 0, asked: now }
    }

    /// Whether this process has not asked for so long that a server may have drained, and gone, without its
    /// knowledge. A service that says nothing makes nothing stale: it has been asked.
    pub fn stale(&self, now: Micros) -> bool {
        now > self.asked + STALE
    }

    /// Another address from now on; the numbers continue.
    pub fn moved(&mut self, transport: &mut dyn Transport, service: SocketAddr) {
        if self.service != service {
            self.service = service;
            self.give_up(transport, 0);
        }
    }

    fn give_up(&mut self, transport: &mut dyn Transport, next: Micros) {
        if let Some((conn, _, since)) = self.asking.take() {
            transport.cut(conn);
            self.asked = since;
        }
        self.next = next;
    }

    /// Asks where it is time to: with a new id and from a new port each time, so that no late or false answer
    /// fits the question.
    pub fn tick(&mut self, now: Micros, transport: &mut dyn Transport) {
        if self.asking.is_some_and(|(_, _, since)| now >= since + ANSWER_LIMIT) {
            self.give_up(transport, now);
        }
        if self.asking.is_some() || now < self.next && !self.stale(now) {
            return;
        }
        match transport.datagrams(self.service) {
            Some(conn) => {
                let id = self.rng.rand_u32() as u16;
                transport.datagram(conn, &names::query(id));
                self.asking = Some((conn, id, now));
            }
            // No descriptor is left for a question: what is known has to do.
            None => self.asked = now,
        }
    }

    /// A datagram has come: the list, where it is one and newer than what is known.
    pub fn told(
        &mut self,
        now: Micros,
        transport: &mut dyn Transport,
        conn: Conn,
        bytes: &[u8],
        words: &Words,
    ) -> Option<Told> {
        let (_, id, _) = self.asking.filter(|(asked, _, _)| *asked == conn)?;
        match names::answer(bytes, id, words) {
            Ok(told) if told.index >= self.index => {
                self.give_up(transport, now + ASK_EVERY);
                let news = told.index > self.index;
                self.index = told.index;
                news.then_some(told)
            }
            Ok(told) => {
                tracing::debug!(told = told.index, known = self.index, "an older list");
                self.give_up(transport, now + ASK_AGAIN);
                None
            }
            Err(why) => {
                tracing::debug!(%why, "an answer of the name service is not taken");
                self.give_up(transport, now + ASK_AGAIN);
                None
            }
        }
    }
}
