//! The answers of a worker.
use super::{Mood, Worker};
use applepond_http::encode::{self, Message};
use applepond_reactor::{ConnectionId, Transport};

/// Huts that results name.
const HUTS: u64 = 12;
/// How many of ten of them have free beds.
const FREE_OF_TEN: u64 = 7;
/// Limit of the requests of the same function that are reported.
const MAX_REPORTED: usize = 30;

/// What an answer says.
pub(super) struct Answer {
    pub(super) status: u16,
    /// Outcome, where it is not by the status.
    pub(super) outcome: &'static str,
    /// What the function's copy was like.
    pub(super) copy: &'static str,
    /// Other requests of the same function here.
    pub(super) same_function: usize,
}

/// What a result says beside its price.
#[derive(Clone, Copy)]
pub(super) struct Facts {
    hut: u64,
    has_free_beds: bool,
}

impl Facts {
    /// Of a worker that has finished nothing yet.
    pub(super) const FIRST: Facts = Facts { hut: 1, has_free_beds: true };

    /// Of this event.
    pub(super) fn of(event: &str) -> Facts {
        let sum = event.bytes().fold(7u64, |sum, byte| sum.wrapping_mul(31).wrapping_add(u64::from(byte)));
        Facts { hut: sum % HUTS + 1, has_free_beds: sum / HUTS % 10 < FREE_OF_TEN }
    }
}

impl Worker {
    /// Answers a request as the mood is.
    pub(super) fn answer(&mut self, transport: &mut dyn Transport, conn: ConnectionId, answer: &Answer) {
        let bytes = self.encode(answer);
        match self.mood {
            Mood::CutAnswers => {
                transport.write(conn, &bytes[..bytes.len() / 2]);
                transport.finish(conn);
            }
            Mood::Garbage if conn.0.is_multiple_of(2) => {
                transport.write(conn, b"\x16\x03\x01 certainly no HTTP\r\n\r\n");
            }
            Mood::Garbage => transport.write(conn, &encode::response(200).body(b"no event")),
            Mood::TwoAnswers => transport.write(conn, &[bytes.clone(), bytes].concat()),
            _ => transport.write(conn, &bytes),
        }
    }

    fn encode(&mut self, answer: &Answer) -> Vec<u8> {
        let loads = self.copies.values().filter(|copy| copy.loading).count();
        let mut head = encode::response(answer.status)
            .field("applepond-company", &answer.same_function.min(MAX_REPORTED).to_string())
            .field("applepond-held", &self.requests.len().to_string())
            .field("applepond-loads", &loads.to_string());
        for (name, value) in [("applepond-outcome", answer.outcome), ("applepond-copy", answer.copy)] {
            if !value.is_empty() {
                head = head.field(name, value);
            }
        }
        if answer.status != 200 {
            return head.body(format!("{{\"worker\":\"{}\"}}", self.build.name).as_bytes());
        }
        let body = self.result(answer.same_function);
        self.result_head(head).body(body.as_bytes())
    }

    /// The attributes of a result.
    fn result_head(&mut self, mut head: Message) -> Message {
        self.answered += 1;
        let id = format!("{}-{}-{}", self.build.name, self.life, self.answered);
        let source = format!("/workers/{}", self.build.name);
        for (name, value) in [("specversion", "1.0"), ("type", "result"), ("id", &id), ("source", &source)] {
            head = head.field(&format!("ce-{name}"), value);
        }
        head.field("Content-Type", "application/json")
    }

    fn result(&self, same_function: usize) -> String {
        let Facts { hut, has_free_beds } = self.facts;
        format!(
            "{{\"price\":{},\"worker\":\"{}\",\"hut\":\"hold-hut-{hut}\",\"other\":\"hold-hut-{}\",\
             \"desk\":\"confirm-hut-{hut}\",\"free\":{has_free_beds}}}",
            900 + same_function,
            self.build.name,
            hut % HUTS + 1
        )
    }
}
