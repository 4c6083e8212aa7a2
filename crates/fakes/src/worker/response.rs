//! Responses of a fake worker.
use super::{Behaviour, Worker};
use applepond_http::encode::{self, Message};
use applepond_reactor::{ConnectionId, Transport};

/// Number of huts that results can name.
const HUTS: u64 = 12;
/// How many of ten results report free beds.
const FREE_OF_TEN: u64 = 7;
/// Upper bound of the reported number of requests of the same function.
const MAX_REPORTED: usize = 30;

/// Contents of a response.
pub(super) struct Response {
    pub(super) status: u16,
    /// Value of the `applepond-outcome` header. If empty, the header is omitted and the status alone tells
    /// the outcome.
    pub(super) outcome: &'static str,
    /// State of the function's copy when the request arrived; empty if unknown.
    pub(super) copy: &'static str,
    /// Number of other requests of the same function at this worker.
    pub(super) same_function: usize,
}

/// Data that a result carries besides its price, derived from the request's event.
#[derive(Clone, Copy)]
pub(super) struct BookingData {
    hut: u64,
    has_free_beds: bool,
}

impl BookingData {
    /// Data used before the first request has finished.
    pub(super) const INITIAL: BookingData = BookingData { hut: 1, has_free_beds: true };

    /// Derives the data from an event.
    pub(super) fn from_event(event: &str) -> BookingData {
        let sum = event.bytes().fold(7u64, |sum, byte| sum.wrapping_mul(31).wrapping_add(u64::from(byte)));
        BookingData { hut: sum % HUTS + 1, has_free_beds: sum / HUTS % 10 < FREE_OF_TEN }
    }
}

impl Worker {
    /// Sends a response, distorted by the current behaviour.
    pub(super) fn respond(&mut self, transport: &mut dyn Transport, conn: ConnectionId, response: &Response) {
        let bytes = self.encode(response);
        match self.behaviour {
            Behaviour::CutAnswers => {
                transport.write(conn, &bytes[..bytes.len() / 2]);
                transport.finish(conn);
            }
            Behaviour::Garbage if conn.0.is_multiple_of(2) => {
                transport.write(conn, b"\x16\x03\x01 certainly no HTTP\r\n\r\n");
            }
            Behaviour::Garbage => transport.write(conn, &encode::response(200).body(b"no event")),
            Behaviour::TwoAnswers => transport.write(conn, &[bytes.clone(), bytes].concat()),
            _ => transport.write(conn, &bytes),
        }
    }

    fn encode(&mut self, response: &Response) -> Vec<u8> {
        let loads = self.copies.values().filter(|copy| copy.loading).count();
        let mut head = encode::response(response.status)
            .field("applepond-company", &response.same_function.min(MAX_REPORTED).to_string())
            .field("applepond-held", &self.requests.len().to_string())
            .field("applepond-loads", &loads.to_string());
        for (name, value) in [("applepond-outcome", response.outcome), ("applepond-copy", response.copy)] {
            if !value.is_empty() {
                head = head.field(name, value);
            }
        }
        if response.status != 200 {
            let body = format!("{{\"worker\":\"{}\"}}", self.config.name);
            return self.event_head(head, "rejection").body(body.as_bytes());
        }
        let body = self.result(response.same_function);
        self.event_head(head, "result").body(body.as_bytes())
    }

    /// Adds the attributes of an event of this type to the head. They identify the response.
    fn event_head(&mut self, mut head: Message, event_type: &str) -> Message {
        self.responses += 1;
        let id = format!("{}-{}-{}", self.config.name, self.generation, self.responses);
        let source = format!("/workers/{}", self.config.name);
        for (name, value) in [("specversion", "1.0"), ("type", event_type), ("id", &id), ("source", &source)]
        {
            head = head.field(&format!("ce-{name}"), value);
        }
        head.field("Content-Type", "application/json")
    }

    fn result(&self, same_function: usize) -> String {
        let BookingData { hut, has_free_beds } = self.booking;
        format!(
            "{{\"price\":{},\"worker\":\"{}\",\"hut\":\"hold-hut-{hut}\",\"other\":\"hold-hut-{}\",\
             \"desk\":\"confirm-hut-{hut}\",\"free\":{has_free_beds}}}",
            900 + same_function,
            self.config.name,
            hut % HUTS + 1
        )
    }
}
