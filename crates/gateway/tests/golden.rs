//! Header lines of both HTTP sides: clients, workers and operators' tools read them by name.
mod common;
use common::*;

/// What went to the worker and back to the client, with what differs from run to run left out.
#[test]
fn header_lines_of_a_finished_request() {
    let mut b = Bench::new(deployment(1));
    let client = b.caller();
    let event = event("hold", "1").replace(
        "Content-Length",
        "ce-customer: huts\r\nce-opening: o1\r\n\
         ce-openingsize: 300\r\nce-timelimit: 3000\r\nContent-Type: application/json\r\nContent-Length",
    );
    b.says(client, event.as_bytes());
    let link = b.links()[0];
    b.says(link, DONE.as_bytes());
    insta::assert_snapshot!(
        "finished",
        format!("{}\n\n----\n{}", b.told(link), b.told(client)).replace("\r\n", "\n")
    );
}

#[test]
fn header_lines_of_refusals() {
    let mut b = Bench::new(deployment(0));
    let unknown = b.asks("nothing-known", "1");
    let rejected = b.asks("confirm", "2");
    b.pass(4 * S);
    let cut = b.caller();
    b.says(cut, b"POST /events HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}");
    let all = [unknown, rejected, cut].map(|conn| b.told(conn));
    insta::assert_snapshot!("refusals", all.join("\n----\n").replace("\r\n", "\n"));
}
