//! An event with all kinds of content, and changes of it: those that make another event of it, and those that
//! a client may make when it sends it again.
use super::{SimulatedGateway, event};
use applepond_reactor::ConnectionId;

/// A part of the event and its replacement.
pub type Change = (&'static str, &'static str);

/// The event that is open or has ended when another one comes: with a customer, an extension attribute, a
/// media type and data.
pub fn first_event(kind: &str) -> String {
    event(kind, "1").replacen(
        "ce-subject: hut\r\nContent-Length: 2\r\n\r\n{}",
        "ce-subject: hut\r\nce-customer: huts\r\nce-beds: 2\r\nContent-Type: application/json\r\n\
         Content-Length: 11\r\n\r\n{\"guest\":1}",
        1,
    )
}

pub fn send(sim: &mut SimulatedGateway, request: &str) -> ConnectionId {
    let client = sim.connect_client();
    sim.receive(client, request.as_bytes());
    client
}

/// Replaces a part of the first event, which must be in it.
pub fn changed(kind: &str, (part, replacement): Change) -> String {
    let first = first_event(kind);
    assert!(first.contains(part), "{part} in {first}");
    first.replacen(part, replacement, 1)
}

/// Checks the answer to an event that is none of its source and id: a refusal that promises nothing.
pub fn assert_refused(sim: &SimulatedGateway, client: ConnectionId) {
    let answer = sim.output(client);
    assert_eq!(sim.statuses(client), [409], "{answer}");
    assert!(answer.contains("\"id-conflict\"") && answer.contains("\"id\":\"1\""), "{answer}");
    assert!(answer.to_lowercase().matches("retry").count() == 0 && !answer.contains("no harm"), "{answer}");
}

pub const OTHER_DATA: Change = ("{\"guest\":1}", "{\"guest\":2}");
pub const OTHER_CUSTOMER: Change = ("ce-customer: huts", "ce-customer: inns");
pub const NO_CUSTOMER: Change = ("ce-customer: huts\r\n", "");
pub const OTHER_FUNCTION: Change = ("ce-subject: hut", "ce-subject: inn");
pub const OTHER_EXTENSION: Change = ("ce-beds: 2", "ce-beds: 3");
pub const FURTHER_EXTENSION: Change = ("ce-beds: 2", "ce-beds: 2\r\nce-meals: 1");
pub const OTHER_MEDIA_TYPE: Change = ("application/json", "text/plain");
pub const NO_DATA: Change = ("Content-Length: 11\r\n\r\n{\"guest\":1}", "Content-Length: 0\r\n\r\n");

pub const SAME: Change = ("", "");
pub const MARKED: Change = ("ce-id", "ce-retry: true\r\nce-id");
pub const OTHER_TIME: Change = ("ce-id", "ce-time: 2026-12-04T12:00:01Z\r\nce-id");
pub const OTHER_TRACE: Change = (
    "ce-id",
    "ce-traceparent: 00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01\r\nce-tracestate: a=1\r\nce-id",
);
pub const LESS_TIME: Change = ("ce-id", "ce-timelimit: 2000\r\nce-id");
pub const EXPIRY: Change = ("ce-id", "ce-expirytime: 2036-12-04T12:00:01Z\r\nce-id");
pub const OTHER_ORDER: Change =
    ("ce-customer: huts\r\nce-beds: 2\r\n", "CE-Beds: 2\r\nX-Hop: 2\r\nce-customer: huts\r\n");
pub const ENCODED: Change = ("ce-subject: hut", "ce-subject: %68ut");
