//! One router on a paper wire: hard cases, each by what its peers see.
mod common;
use applepond_reactor::Closed;
use common::*;
use test_case::test_case;

#[test]
fn a_call_goes_out_and_its_answer_comes_back() {
    let mut b = Bench::new(2);
    let client = b.asks("hold", 1);
    let link = b.carries(1);
    let line = b.paper.told(link);
    for wanted in [
        r#""queue":"hold""#,
        r#""path":"7f3a9c21e0b4d655""#,
        r#""uniq":"5c0f6e1a2b3d4c59a8b7c6d5e4f30211""#,
        r#""budget":1990}"#,
        r#""content":"aGk=""#,
    ] {
        assert!(line.contains(wanted), "{wanted} in {line}");
    }
    b.says(link, word("OK", 1).as_bytes());
    assert_eq!(b.statuses(client), [200]);
    assert!(b.paper.told(client).ends_with("\r\n\r\nok"));
}

#[test]
fn ready_at_once() {
    let mut b = Bench::new(1);
    let client = b.caller();
    b.says(client, b"GET /check HTTP/1.1\r\nHost: a\r\n\r\n");
    assert_eq!(b.statuses(client), [200]);
}

// What has left on a lost connection may have run; what has not goes out on another.
#[test_case("quote", &[], 2; "restartable: once more, elsewhere")]
#[test_case("confirm", &[502], 1; "run-once: may have run")]
fn a_connection_breaks(workload: &str, told: &[u16], runs: usize) {
    let mut b = Bench::new(2);
    let client = b.asks(workload, 1);
    let link = b.carries(1);
    b.breaks(link, Closed::Reset);
    b.links();
    assert_eq!((b.statuses(client).as_slice(), b.runs(1)), (told, runs));
}

#[test]
fn a_connection_that_never_stood_ran_nothing() {
    let mut b = Bench::new(2);
    let client = b.asks("confirm", 1);
    let first = b.paper.connects[0].0;
    b.breaks(first, Closed::Never);
    let link = b.carries(1);
    b.says(link, word("OK", 1).as_bytes());
    assert_eq!((b.statuses(client), b.runs(1)), (vec![200], 1));
}

// A line of which the kernel took nothing is taken back; one byte, and it may have run.
#[test_case(0, 503; "nothing has left")]
#[test_case(1, 502; "a byte has left, and the connection does not say that it works")]
fn time_is_up_on_a_connection_that_takes_nothing(room: usize, status: u16) {
    let mut b = Bench::new(1);
    let client = b.asks("confirm", 1);
    let link = b.paper.connects[0].0;
    b.paper.room.insert(link, room);
    b.links();
    b.pass(2 * S);
    assert_eq!(b.statuses(client), [status]);
}

#[test]
fn executions_spread_over_connections() {
    let mut b = Bench::new(1);
    for id in 1..=12 {
        b.asks("quote", id);
        b.links();
    }
    let loads: Vec<usize> = b.links().iter().map(|c| b.lines(*c).len()).collect();
    assert!(loads.iter().all(|n| *n <= 4), "a lost connection takes few along: {loads:?}");
    assert!(loads.len() <= 4, "and they are not opened without need: {loads:?}");
}

// Other answers than the one asked for harm nothing.
#[test_case("", &word("OK", 1); "a second copy")]
#[test_case(&word("OK", 99), ""; "an unknown id ahead")]
#[test_case("{\"verb\":\"UP\",\"rid\":\"x\"}\n", ""; "an echo that nobody asked for")]
fn more_than_belongs_to_it(ahead: &str, behind: &str) {
    let mut b = Bench::new(1);
    let clients = [b.asks("confirm", 1), b.asks("confirm", 2)];
    let link = b.carries(1);
    b.says(link, format!("{ahead}{}{behind}{}", word("OK", 1), word("OK", 2)).as_bytes());
    assert_eq!(clients.map(|c| b.statuses(c)), [vec![200], vec![200]]);
    assert!(!b.paper.cut.contains(&link));
}

// What cannot be read ends the connection, and is not passed on.
#[test_case(b"\x00\xff\x13\x37\n"; "noise")]
#[test_case(b"{\"verb\":\"OK\",\"rid\":\"0000000000000001\",\"content\":\"b2s\"}\n"; "no base64")]
#[test_case(b"{\"verb\":\"FINE\",\"rid\":\"0000000000000001\"}\n"; "an unknown word")]
#[test_case(&[b'x'; 100_000]; "a line that does not end")]
fn spoilt(bytes: &[u8]) {
    let mut b = Bench::new(1);
    let client = b.asks("confirm", 1);
    let link = b.carries(1);
    b.says(link, bytes);
    assert!(b.paper.cut.contains(&link));
    assert_eq!(b.statuses(client), [502], "it may have run");
}

#[test]
fn a_client_that_goes_gives_its_job_up() {
    let mut b = Bench::new(1);
    let client = b.asks("confirm", 1);
    let link = b.carries(1);
    b.breaks(client, Closed::Reset);
    assert_eq!(b.lines(link).last(), Some(&("UNDO".into(), name(1))));
    b.says(link, word("OK", 1).as_bytes());
    assert_eq!(b.statuses(client), [0u16; 0]);
}

#[test]
fn an_open_id_is_no_second_job() {
    let mut b = Bench::new(1);
    let (client, other) = (b.asks("quote", 1), b.asks("quote", 1));
    assert_eq!(b.statuses(other), [409]);
    let link = b.carries(1);
    b.says(link, word("OK", 1).as_bytes());
    assert_eq!((b.statuses(client), b.runs(1)), (vec![200], 1));
}

// A connection that owes answers and says nothing is asked whether it works, and cut when it does not say so.
#[test_case(true, &[]; "it works: the job is long")]
#[test_case(false, &[502]; "it does not")]
fn silence(works: bool, told: &[u16]) {
    let mut b = Bench::new(1);
    let client = b.asks("confirm", 1);
    let link = b.carries(1);
    b.pass(300 * MS);
    assert_eq!(b.lines(link).last().map(|(verb, _)| verb.as_str()), Some("ECHO"));
    if works {
        b.says(link, b"{\"verb\":\"UP\",\"rid\":\"works\"}\n");
    }
    b.pass(550 * MS);
    assert_eq!((b.statuses(client).as_slice(), b.paper.cut.contains(&link)), (told, !works));
}

#[test]
fn an_idle_connection_is_asked_nothing_and_goes_before_its_server_closes_it() {
    let mut b = Bench::new(1);
    b.asks("quote", 1);
    let link = b.carries(1);
    b.says(link, word("OK", 1).as_bytes());
    b.pass(11 * S);
    assert_eq!((b.lines(link).len(), b.paper.cut.contains(&link)), (1, false));
    b.pass(S);
    assert!(b.paper.cut.contains(&link));
}

// Where there are too many connections, whoever has just come may still ask: the longest silent goes, else the
// longest idle, never one whose job is open.
#[test_case(0; "all others asked once and stay")]
#[test_case(100; "some never ask")]
fn a_crowd_of_connections(silent: usize) {
    let mut b = Bench::new(1);
    let open = b.asks("quote", 1_000);
    let mute: Vec<_> = (0..silent).map(|_| b.caller()).collect();
    for _ in 0..127 - silent {
        b.pass(2 * MS);
        let idle = b.caller();
        b.says(idle, b"GET /check HTTP/1.1\r\nHost: a\r\n\r\n");
    }
    b.pass(300 * MS);
    let fresh: Vec<_> = (0..50).map(|_| b.caller()).collect();
    for (conn, id) in fresh.iter().zip(2_000..) {
        assert!(!b.paper.cut.contains(conn), "it has just come");
        b.says(*conn, call("quote", id).as_bytes());
    }
    let first = mute.first().copied();
    assert!(first.is_none_or(|c| b.paper.cut.contains(&c)) && !b.paper.cut.contains(&open));
}
