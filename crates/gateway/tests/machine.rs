//! The instance on a paper wire: hard cases, each by the outcome that its peers see.
mod common;
use applepond::interface::Micros;
use applepond_gateway::Deployment;
use applepond_reactor::{Closed, Machine};
use common::*;
use proptest::prelude::*;
use test_case::test_case;

#[test]
fn a_job_goes_out_and_its_answer_comes_back() {
    let mut b = Bench::new(deployment(2));
    let client = b.asks("quote", "1");
    let link = b.links()[0];
    let request = b.told(link);
    for wanted in ["POST /run", "ce-id: 1\r\n", "applepond-function: hut\r\n", "applepond-time-left-ms: 3990"]
    {
        assert!(request.contains(wanted), "{wanted} in {request}");
    }
    b.says(link, DONE.as_bytes());
    assert_eq!(b.statuses(client), [200]);
    assert!(b.told(client).ends_with("{\"ok\": 1}") && b.told(client).contains("ce-type: result"));
}

// A client's retry joins the running request: one attempt, one answer to each exchange; after the end it is
// told again.
#[test_case("quote"; "idempotent")]
#[test_case("confirm"; "at-most-once")]
fn retries_join(kind: &str) {
    let mut b = Bench::new(deployment(2));
    let clients = [b.asks(kind, "1"), b.asks(kind, "1"), b.asks(kind, "1")];
    let link = b.links()[0];
    b.says(link, DONE.as_bytes());
    let late = b.asks(kind, "1");
    for client in clients.into_iter().chain([late]) {
        assert_eq!(b.statuses(client), [200]);
    }
    assert_eq!(b.requests(), 1);
    b.pass(61 * S);
    b.asks(kind, "1");
    b.links();
    assert_eq!(b.requests(), 2, "after its time the answer is forgotten");
}

#[test]
fn a_retry_after_a_pushback_is_a_new_job() {
    let mut b = Bench::new(deployment(0));
    let first = b.asks("confirm", "1");
    b.pass(4 * S);
    assert_eq!(b.statuses(first), [503]);
    let told = b.told(first);
    assert!(
        told.contains("Retry-After: ") && told.contains("retry-after-ms") && told.contains("pushed-back")
    );
    let again = b.asks("confirm", "1");
    b.pass(4 * S);
    assert_eq!((b.statuses(first), b.statuses(again)), (vec![503], vec![503]));
}

// At-most-once, by what had left when the connection ended.
#[test_case(false, Closed::Never, 2, None; "never open: sent elsewhere")]
#[test_case(true, Closed::Reset, 1, Some(502); "open and written: may have run")]
#[test_case(true, Closed::Ended, 1, Some(502); "closed by the worker after it was written")]
fn at_most_once(open: bool, why: Closed, requests: usize, status: Option<u16>) {
    let mut b = Bench::new(deployment(3));
    let client = b.asks("confirm", "1");
    let (link, _) = b.paper.connects[0];
    if open {
        b.connected(link);
    }
    b.breaks(link, why);
    b.pass(S);
    b.links();
    assert_eq!(b.requests(), 1, "written once: here, or elsewhere where the first never stood");
    assert_eq!(b.paper.connects.len(), if open { 1 } else { requests });
    assert_eq!(b.statuses(client).first().copied(), status);
    let again = b.asks("confirm", "1");
    if status.is_some() {
        assert_eq!(b.statuses(again).first().copied(), status, "a retry is told the same and runs nothing");
    }
}

// A kept connection that the worker closed at that moment: once more if no byte left, else it may have run.
#[test_case(0, 2, None; "nothing written: a new connection, the same worker")]
#[test_case(1, 1, Some(502); "one byte written")]
fn kept_connection_closed(bytes: u64, requests: usize, status: Option<u16>) {
    let mut b = Bench::new(deployment(1));
    b.asks("confirm", "1");
    let link = b.links()[0];
    b.says(link, DONE.as_bytes());
    b.paper.stuck.insert(link);
    let client = b.asks("confirm", "2");
    assert_eq!(b.paper.connects.len(), 1, "the kept connection is used");
    *b.paper.sent.get_mut(&link).expect("used before") += bytes;
    b.breaks(link, Closed::Reset);
    b.links();
    assert_eq!((b.paper.connects.len(), b.statuses(client).first().copied()), (requests, status));
}

#[test]
fn an_old_kept_connection_carries_no_at_most_once_job() {
    let mut b = Bench::new(deployment(1));
    b.asks("quote", "1");
    let link = b.links()[0];
    b.says(link, DONE.as_bytes());
    b.pass(600 * MS);
    b.asks("confirm", "2");
    assert_eq!(b.paper.connects.len(), 2);
    b.asks("quote", "3");
    assert_eq!(b.paper.connects.len(), 2, "an idempotent one goes there still");
    b.pass(6 * S);
    assert!(b.paper.cut.contains(&b.paper.connects[1].0), "what hangs past the limit is cut");
}

// The hedge: the loser is told by the end of its connection, and what it still says is not read.
#[test]
fn a_cancel_is_real_and_late_answers_are_swallowed() {
    let mut b = Bench::new(deployment(3));
    let client = b.asks("quote", "1");
    let first = b.links()[0];
    b.pass(800 * MS);
    let links = b.links();
    assert_eq!(links.len(), 2, "one copy after the hedge delay");
    b.says(links[1], DONE.as_bytes());
    assert!(b.paper.cut.contains(&first));
    b.says(first, DONE.as_bytes());
    assert_eq!(b.statuses(client), [200]);
}

#[test_case("quote", 503; "idempotent is pushed back")]
#[test_case("confirm", 504; "at-most-once is killed")]
fn an_answer_after_the_deadline(kind: &str, status: u16) {
    let mut b = Bench::new(deployment(1));
    let client = b.asks(kind, "1");
    let link = b.links()[0];
    b.pass(3990 * MS);
    assert_eq!(b.statuses(client), [status]);
    b.says(link, DONE.as_bytes());
    b.pass(10 * S);
    assert_eq!(b.statuses(client), [status]);
}

#[test]
fn two_answers_at_once() {
    let mut b = Bench::new(deployment(1));
    let client = b.asks("quote", "1");
    let link = b.links()[0];
    b.says(link, format!("{DONE}{DONE}").as_bytes());
    assert_eq!(b.statuses(client), [200]);
    assert!(b.paper.cut.contains(&link), "that connection is not trusted further");
    let next = b.asks("quote", "2");
    assert!(b.statuses(next).is_empty(), "the second answer is not the next job's");
}

// What a worker says that is no answer: the request is not answered by it.
#[test_case("\x16\x03\x01 no HTTP\r\n\r\n", 502; "no HTTP")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", 502; "no event")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", 502; "two lengths")]
#[test_case("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", 502; "503 without the worker's mark")]
fn garbage(says: &str, status: u16) {
    let mut b = Bench::new(deployment(1));
    let client = b.asks("confirm", "1");
    let link = b.links()[0];
    b.says(link, says.as_bytes());
    assert_eq!(b.statuses(client), [status]);
}

#[test]
fn full_by_its_mark_moves_a_at_most_once_job_on() {
    let mut b = Bench::new(deployment(2));
    let client = b.asks("confirm", "1");
    let link = b.links()[0];
    b.says(link, b"HTTP/1.1 503 Full\r\napplepond-outcome: full\r\nContent-Length: 0\r\n\r\n");
    let second = b.links()[1];
    b.says(second, DONE.as_bytes());
    assert_eq!(b.statuses(client), [200]);
}

// A worker's answer cut at every byte, then broken off: never half an answer to the client.
#[test]
fn an_answer_cut_at_every_byte() {
    for n in 0..DONE.len() {
        let mut b = Bench::new(deployment(1));
        let client = b.asks("confirm", "1");
        let link = b.links()[0];
        b.says(link, &DONE.as_bytes()[..n]);
        assert!(b.statuses(client).is_empty(), "cut at {n}");
        b.breaks(link, Closed::Reset);
        assert_eq!(b.statuses(client), [502], "cut at {n}");
    }
}

#[test]
fn a_drain_told_while_the_connection_is_made() {
    let mut deployment = deployment(0);
    deployment.endpoint_list = Some("127.0.0.1:8999".parse().expect("an address"));
    let mut b = Bench::new(deployment);
    let list = b.links()[0];
    let line = |standing: &str| {
        let line = format!(
            "{{\"kind\":\"full\",\"workers\":[{{\"name\":\"w\",\"address\":\"127.0.0.1:9\",\
             \"standing\":\"{standing}\"}}]}}\n"
        );
        format!("{:x}\r\n{line}\r\n", line.len())
    };
    b.says(
        list,
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}", line("ready")).as_bytes(),
    );
    let client = b.asks("quote", "1");
    let link = b.paper.connects[1].0;
    b.says(list, line("draining").as_bytes());
    b.connected(link);
    assert_eq!(b.requests(), 0, "nothing new after the notice");
    b.pass(4 * S);
    assert_eq!((b.requests(), b.statuses(client)), (0, vec![503]));
}

// The list cut in two pieces at every byte says the same.
#[test]
fn a_list_cut_at_every_byte() {
    let worker = "{\"name\":\"w\",\"address\":\"127.0.0.1:9\",\"standing\":\"ready\"}";
    let line = format!("{{\"kind\":\"full\",\"workers\":[{worker}]}}\n");
    let all = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{line}\r\n", line.len());
    for n in 0..all.len() {
        let mut deployment = deployment(0);
        deployment.endpoint_list = Some("127.0.0.1:8999".parse().expect("an address"));
        let mut b = Bench::new(deployment);
        let list = b.links()[0];
        b.says(list, &all.as_bytes()[..n]);
        b.says(list, &all.as_bytes()[n..]);
        b.asks("quote", "1");
        b.links();
        assert_eq!(b.requests(), 1, "cut at {n}");
    }
}

// The list breaks off or talks nonsense: what was known holds, and it is asked for again.
#[test_case("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"; "refused")]
#[test_case("\x00\x01\r\n\r\n"; "no HTTP")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n{...\n"; "no JSON, then its end")]
fn a_broken_list(says: &str) {
    let mut deployment = deployment(1);
    deployment.endpoint_list = Some("127.0.0.1:8999".parse().expect("an address"));
    let mut b = Bench::new(deployment);
    let list = b.links()[0];
    b.says(list, says.as_bytes());
    b.pass(S);
    assert!(b.paper.cut.contains(&list) && b.paper.connects.len() >= 2, "asked again");
    let client = b.asks("quote", "1");
    let link = *b.links().last().expect("a link");
    b.says(link, DONE.as_bytes());
    assert_eq!(b.statuses(client), [200]);
}

#[test]
fn a_client_that_leaves() {
    let mut b = Bench::new(deployment(1));
    let gone = b.asks("confirm", "1");
    let link = b.links()[0];
    b.breaks(gone, Closed::Reset);
    let back = b.asks("confirm", "1");
    b.says(link, DONE.as_bytes());
    assert_eq!((b.statuses(back), b.requests()), (vec![200], 1), "it joins what it left");
    let mut b = Bench::new(deployment(0));
    let gone = b.asks("confirm", "1");
    b.breaks(gone, Closed::Reset);
    b.asks("confirm", "1");
    let page = b.caller();
    b.says(page, b"GET /-/state HTTP/1.1\r\nHost: a\r\n\r\n");
    let state = b.told(page);
    assert!(state.contains("\"taken\":2") && state.contains("\"open\":1"), "never sent, it ended: {state}");
}

// Answers go out one by one and in the order of the requests, though the second request ends first.
#[test]
fn pipelined_requests() {
    let mut b = Bench::new(deployment(2));
    let client = b.caller();
    let both = format!("{}{}", event("quote", "1"), event("quote", "2"));
    b.says(client, both.as_bytes());
    let link = b.links()[0];
    b.says(link, DONE.as_bytes());
    assert_eq!(b.statuses(client), [200]);
    b.says(link, DONE.as_bytes());
    assert_eq!(b.statuses(client), [200, 200]);
}

#[test]
fn a_client_that_half_closes_still_gets_its_answer() {
    let mut b = Bench::new(deployment(1));
    let client = b.asks("quote", "1");
    let now = b.now;
    b.gateway.half_closed(now, &mut b.paper, client);
    let link = b.links()[0];
    b.says(link, DONE.as_bytes());
    assert_eq!(b.statuses(client), [200]);
    assert!(b.paper.finished.contains(&client));
}

#[test]
fn expect_continue() {
    let mut b = Bench::new(deployment(1));
    let client = b.caller();
    let event = event("quote", "1").replace("Host: a", "Host: a\r\nExpect: 100-continue");
    let (head, body) = event.split_at(event.len() - 2);
    b.says(client, head.as_bytes());
    assert_eq!(b.told(client), "HTTP/1.1 100 Continue\r\n\r\n");
    b.says(client, body.as_bytes());
    b.links();
    assert_eq!(b.requests(), 1);
}

#[test]
fn a_byte_a_second_and_never_reading() {
    let mut b = Bench::new(deployment(1));
    let slow = b.caller();
    for byte in event("quote", "1").bytes().take(20) {
        b.says(slow, &[byte]);
        b.pass(S);
    }
    assert_eq!(b.statuses(slow), [408]);
    let deaf = b.caller();
    b.paper.stuck.insert(deaf);
    b.says(deaf, event("quote", "2").as_bytes());
    let link = b.links()[0];
    b.says(link, DONE.as_bytes());
    b.pass(16 * S);
    assert!(b.paper.cut.contains(&deaf), "its buffer is given up");
}

// While one waits, the pipeline behind it stays bounded: reading pauses, and goes on with the answer.
#[test]
fn a_long_pipeline_pauses_reading() {
    let mut b = Bench::new(deployment(1));
    let client = b.caller();
    b.says(client, event("quote", "0").as_bytes());
    let more: String = (1..1000).map(|n| event("quote", &n.to_string())).collect();
    b.says(client, more.as_bytes());
    assert!(b.paper.paused.contains(&client));
    let link = b.links()[0];
    b.says(link, DONE.as_bytes());
    assert!(!b.paper.paused.contains(&client));
}

fn bad(field: &str, with: &str) -> String {
    event("quote", "1").replacen(field, with, 1)
}

// Each is told what is wrong, its connection ends or goes on as it should, and the neighbour notices nothing.
#[test_case(&bad("ce-type: quote", "ce-type: tea"), 422, "unknown-workload"; "unknown workload")]
#[test_case(&bad("ce-subject: hut", "ce-customer: nobody\r\nce-subject: hut"), 422, "unknown-customer";
    "unknown customer")]
#[test_case(&bad("ce-subject: hut\r\n", ""), 422, "no-function"; "no function")]
#[test_case(&bad("ce-subject: hut", "ce-expirytime: soon\r\nce-subject: hut"), 400, "bad-time"; "bad expiry")]
#[test_case(&bad("ce-subject: hut", "ce-expirytime: 1970-01-01T00:00:00Z\r\nce-subject: hut"), 504, "expired";
    "expired")]
#[test_case(&bad("ce-id: 1\r\n", ""), 400, "missing-attribute"; "no id")]
#[test_case(&bad("1.0\r\n", "0.3\r\n"), 422, "bad-specversion"; "specversion")]
#[test_case(&bad("ce-id: 1", "ce-id: a%00b"), 400, "control-character"; "control character")]
#[test_case(&bad("Content-Length: 2", "Content-Length: 10485760"), 413, "body-too-large"; "10 MiB")]
#[test_case(&bad("Content-Length: 2", "Content-Length: 2\r\nTransfer-Encoding: chunked"), 400, "two-lengths";
    "two lengths")]
#[test_case(&bad("Host: a", "Host: a\r\nX: a\r\n b"), 400, "bad-head"; "folded field")]
#[test_case(&bad("POST /events", "GET /events"), 405, "bad-method"; "method")]
#[test_case(&bad("POST /events", "POST /elsewhere"), 404, "no-such-path"; "path")]
#[test_case(&bad("Host: a", "Host: a\r\nContent-Type: application/cloudevents-batch+json"), 415, "batch-mode";
    "batch")]
#[test_case(&bad("Host: a", "Host: a\r\nExpect: tea"), 417, "bad-expectation"; "expectation")]
fn bad_requests(request: &str, status: u16, reason: &str) {
    let mut b = Bench::new(deployment(1));
    let neighbour = b.asks("quote", "n");
    let client = b.caller();
    b.says(client, request.as_bytes());
    assert_eq!(b.statuses(client), [status]);
    let told = b.told(client);
    assert!(
        told.contains(&format!("\"reason\":\"{reason}\"")) && told.contains("application/problem+json"),
        "{told}"
    );
    let link = b.links()[0];
    b.says(link, DONE.as_bytes());
    assert_eq!((b.statuses(neighbour), b.requests()), (vec![200], 1));
}

// Two thousand retries of different clients within four seconds, to an instance that has seen nothing before:
// told from work, most are sent back before the module, each with a time of its own; the state page says why.
// Undamped all go in.
#[test_case(true; "damped")]
#[test_case(false; "not damped")]
fn a_storm(damping: bool) {
    let mut b = Bench::new(Deployment { storm_shedding: damping, ..deployment(0) });
    let mut clients = Vec::new();
    for n in 0..2_000 {
        let client = b.caller();
        let retry = event("quote", &n.to_string()).replace("/desk", &format!("/desk/{}", n % 900));
        b.says(client, retry.replace("ce-id", "ce-retry: true\r\nce-id").as_bytes());
        clients.push(client);
        b.pass(2 * MS);
    }
    let page = b.caller();
    b.says(page, b"GET /-/state HTTP/1.1\r\nHost: a\r\n\r\n");
    let state = b.told(page);
    assert!(
        state.contains("\"called\":\"storm\"") && state.contains(&format!("\"damped\":{damping}")),
        "{state}"
    );
    let reasons = |b: &Bench, reason: &str| clients.iter().filter(|c| b.told(**c).contains(reason)).count();
    assert_eq!(reasons(&b, "\"reason\":\"storm\"") > 1_000, damping);
    b.pass(5 * S);
    assert!(clients.iter().all(|c| b.statuses(*c).len() == 1), "one answer each in any case");
    let waits: std::collections::BTreeSet<String> = clients
        .iter()
        .filter_map(|c| b.told(*c).split("retry-after-ms\":").nth(1).map(|w| w[..4].to_owned()))
        .collect();
    assert!(waits.len() > 200, "{} different times", waits.len());
}

// A crowd at the door: all of it is taken, at a pace, and the door is open again soon after.
#[test_case(true; "damped")]
#[test_case(false; "not damped")]
fn a_crowd_at_the_door(damping: bool) {
    let mut b = Bench::new(Deployment { storm_shedding: damping, ..deployment(1) });
    let (begun, mut closings) = (b.now, 0);
    for _ in 0..4_000 {
        b.caller();
        while !b.paper.deaf.is_empty() {
            closings += 1;
            b.pass(5 * MS);
            assert!(b.now < begun + 3 * S, "the door stays closed");
        }
    }
    assert_eq!(closings > 0, damping);
    assert_eq!(b.now > begun + S, damping, "4,000 do not come in at once");
}

// A time that the module named while all was calm is remembered: whoever comes before it did not follow.
#[test]
fn times_of_the_module_are_kept_or_not() {
    let mut b = Bench::new(deployment(0));
    let ask = |b: &mut Bench, n: u32| {
        let client = b.asks("quote", &n.to_string());
        b.pass(MS);
        client
    };
    let first: Vec<_> = (0..40).map(|n| ask(&mut b, n)).collect();
    b.pass(S);
    assert!(first.iter().all(|c| b.told(*c).contains("retry-after-ms")), "{}", b.told(first[0]));
    (0..40).for_each(|n| _ = ask(&mut b, n));
    let page = b.caller();
    b.says(page, b"GET /-/state HTTP/1.1\r\nHost: a\r\n\r\n");
    let told = b.told(page);
    let page: serde_json::Value =
        serde_json::from_str(told.split("\r\n\r\n").nth(1).expect("a body")).expect("JSON");
    let advice = &page["storm"]["advice"];
    let rates = ["followed-per-s", "not-kept-per-s"].map(|n| advice[n].as_f64().expect("a rate"));
    assert!(rates[0] + rates[1] > 10.0, "{advice}");
}

#[test]
fn the_state_page() {
    let mut b = Bench::new(deployment(2));
    b.asks("quote", "1");
    let client = b.caller();
    b.says(client, b"GET /-/state HTTP/1.1\r\nHost: a\r\n\r\n");
    let told = b.told(client);
    let page: serde_json::Value =
        serde_json::from_str(told.split("\r\n\r\n").nth(1).expect("a body")).expect("JSON");
    assert_eq!((&page["jobs"]["open"], &page["workers"]["ready"]), (&1.into(), &2.into()));
}

proptest! {
    // Random bytes from client, worker and list, in random pieces: no panic, and the neighbour is answered.
    #[test]
    fn random_bytes(noise in prop::collection::vec(any::<u8>(), 0..300), cut in 0usize..300) {
        let mut deployment = deployment(1);
        deployment.endpoint_list = Some("127.0.0.1:8999".parse().expect("an address"));
        let mut b = Bench::new(deployment);
        let cut = cut.min(noise.len());
        let list = b.links()[0];
        let client = b.asks("quote", "1");
        b.links();
        let (link, wild) = (b.paper.connects[1].0, b.caller());
        for conn in [wild, list, link] {
            b.says(conn, &noise[..cut]);
            b.says(conn, &noise[cut..]);
        }
        b.pass(5 * S);
        prop_assert_eq!(b.statuses(client).len(), 1);
    }
}

/// Leases by name, until a time.
struct Leases(&'static str, Micros, std::rc::Rc<std::cell::RefCell<Vec<(String, u32)>>>);

impl applepond_gateway::PrefixTracker for Leases {
    fn record_use(&mut self, name: &str, size: u32) {
        self.2.borrow_mut().push((name.to_owned(), size));
    }
    fn pin_lease(&self, now: Micros, name: &str) -> Option<Micros> {
        (name == self.0 && now < self.1).then(|| self.1 - now)
    }
    fn set_ready_workers(&mut self, _: usize) {}
}

// A request's opening goes to its worker, with a lease while the list has it; a request is counted when it
// is taken.
#[test_case("opening: long", "size: 7", Some("applepond-opening-lease-ms: 2000"), &[("long", 7)]; "pinned")]
#[test_case("opening: other", "size: 7", None, &[("other", 7)]; "not in the list")]
#[test_case("opening: long", "size: seven", Some("lease-ms: 2000"), &[("long", 0)]; "of unknown size")]
#[test_case("other: long", "size: 7", None, &[]; "without one")]
fn openings_ride(by: &str, size: &str, lease: Option<&str>, counted: &[(&str, u32)]) {
    let mut b = Bench::new(deployment(1));
    let uses = std::rc::Rc::default();
    let gateway = applepond_gateway::Gateway::new(b.now, deployment(1), Box::new(|_| ()));
    let leases = Leases("long", b.now + 2 * S, std::rc::Rc::clone(&uses));
    b.gateway = gateway.with_prefix_tracker(Box::new(leases));
    b.paper = Default::default();
    b.gateway.start(b.now, &mut b.paper);
    let client = b.caller();
    let more = format!("ce-type: quote\r\nce-{by}\r\nce-opening{size}\r\n");
    b.says(client, event("quote", "1").replace("ce-type: quote\r\n", &more).as_bytes());
    let link = b.links()[0];
    let told = b.told(link);
    assert_eq!(told.contains("applepond-opening: "), !counted.is_empty(), "{told}");
    assert_eq!(told.contains("applepond-opening-lease-ms"), lease.is_some(), "{told}");
    assert!(lease.is_none_or(|l| told.contains(l)), "{told}");
    let counted: Vec<(String, u32)> = counted.iter().map(|(n, s)| ((*n).to_owned(), *s)).collect();
    assert_eq!(*uses.borrow(), counted);
    assert!(told.contains("ce-type: quote"));
}
