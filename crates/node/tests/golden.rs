//! Lines and header lines of both sides: callers and model servers read them by name.
mod common;
use common::*;

#[test]
fn a_call_and_its_answer() {
    let mut b = Bench::new(2);
    let client = b.asks("hold", 1);
    let link = b.carries(1);
    let line = b.paper.told(link);
    b.says(link, word("OK", 1).as_bytes());
    let answer = b.paper.told(client).replace("\r\n", "\n");
    insta::assert_snapshot!("answered", format!("{line}\n----\n{answer}"));
}

#[test]
fn refusals() {
    let mut b = Bench::new(0);
    let rejected = b.asks("quote", 1);
    b.pass(4 * S);
    let unknown = b.asks("no-such-class", 2);
    let check = b.caller();
    b.says(check, b"GET /check HTTP/1.1\r\nHost: a\r\n\r\n");
    let all = [rejected, unknown, check].map(|conn| b.paper.told(conn));
    insta::assert_snapshot!("refusals", all.join("\n----\n").replace("\r\n", "\n"));
}
