//! Snapshots of the lines sent to model servers and the responses sent to clients, which both parse by name.
mod common;
use common::*;

#[test]
fn a_call_and_its_answer() {
    let mut sim = SimulatedNode::new(2);
    let client = sim.send_call("hold", 1);
    let connection = sim.connection_of(1);
    let line = sim.transport.written_text(connection);
    sim.send(connection, answer_line("OK", 1).as_bytes());
    let answer = sim.transport.written_text(client).replace("\r\n", "\n");
    insta::assert_snapshot!("answered", format!("{line}\n----\n{answer}"));
}

#[test]
fn refusals() {
    let mut sim = SimulatedNode::new(0);
    let rejected = sim.send_call("quote", 1);
    sim.advance(4 * S);
    let unknown = sim.send_call("no-such-class", 2);
    let check = sim.connect_client();
    sim.send(check, b"GET /check HTTP/1.1\r\nHost: a\r\n\r\n");
    let all = [rejected, unknown, check].map(|conn| sim.transport.written_text(conn));
    insta::assert_snapshot!("refusals", all.join("\n----\n").replace("\r\n", "\n"));
}
