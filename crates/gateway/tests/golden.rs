//! Header lines of both HTTP sides: clients, workers and operators' tools read them by name.
mod common;
use common::*;

/// What went to the worker and back to the client, with what differs from run to run left out.
#[test]
fn header_lines_of_a_finished_request() {
    let mut sim = SimulatedGateway::new(deployment(1));
    let client = sim.connect_client();
    let event = event("hold", "1").replace(
        "Content-Length",
        "ce-customer: huts\r\nce-opening: o1\r\n\
         ce-openingsize: 300\r\nce-timelimit: 3000\r\nContent-Type: application/json\r\nContent-Length",
    );
    sim.receive(client, event.as_bytes());
    let connection = sim.worker_connections()[0];
    sim.receive(connection, FINISHED_RESPONSE.as_bytes());
    insta::assert_snapshot!(
        "finished",
        format!("{}\n\n----\n{}", sim.told(connection), sim.told(client)).replace("\r\n", "\n")
    );
}

#[test]
fn header_lines_of_refusals() {
    let mut sim = SimulatedGateway::new(deployment(0));
    let unknown = sim.send_event("nothing-known", "1");
    let rejected = sim.send_event("confirm", "2");
    sim.advance(4 * S);
    let cut = sim.connect_client();
    sim.receive(cut, b"POST /events HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}");
    let all = [unknown, rejected, cut].map(|conn| sim.told(conn));
    insta::assert_snapshot!("refusals", all.join("\n----\n").replace("\r\n", "\n"));
}
