//! One router on a paper wire: hard cases, each by what its peers see.
mod common;
use applepond_node::ProcessEvent;
use applepond_reactor::Closed;
use common::*;
use serde_json::json;
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
#[test_case("quote", &[], 2; "idempotent: once more, elsewhere")]
#[test_case("confirm", &[502], 1; "at-most-once: may have run")]
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
fn attempts_spread_over_connections() {
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

// Where there are too many connections, whoever has just come may still ask: the longest silent goes, else
// the longest idle, never one whose request is open.
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

// After the word to stop: what comes is served and the last on its connection, and the process ends once
// nothing is held.
#[test]
fn leaving() {
    let mut b = Bench::new(1);
    let early = b.asks("quote", 1);
    b.news.borrow_mut().push(ProcessEvent::ShutDown);
    b.pass(100 * MS);
    b.news.borrow_mut().push(ProcessEvent::ShutDown);
    let late = b.asks("quote", 2);
    b.pass(500 * MS);
    for id in [1, 2] {
        let link = b.carries(id);
        b.says(link, word("OK", id).as_bytes());
    }
    for client in [early, late] {
        assert_eq!(b.statuses(client), [200]);
        assert!(b.paper.told(client).contains("Connection: close"));
    }
    assert!(!b.over.get(), "new calls may still come");
    b.pass(S);
    assert!(!b.over.get(), "the clients have not taken their answers yet");
    b.breaks(early, Closed::Ended);
    b.pass(100 * MS);
    assert!(!b.over.get(), "one still has not");
    b.breaks(late, Closed::Ended);
    b.pass(100 * MS);
    assert!(b.over.get());
}

#[test]
fn leaving_waits_for_what_is_held() {
    let mut b = Bench::new(1);
    let client = b.asks("confirm", 1);
    let link = b.carries(1);
    b.news.borrow_mut().push(ProcessEvent::ShutDown);
    for _ in 0..3 {
        b.pass(400 * MS);
        b.says(link, b"{\"verb\":\"UP\",\"rid\":\"works\"}\n");
    }
    assert!(!b.over.get());
    b.says(link, word("OK", 1).as_bytes());
    b.pass(100 * MS);
    assert!(!b.over.get() && b.paper.finished.contains(&client), "its answer is still on the way");
    b.pass(2 * S);
    assert!(b.over.get(), "and who never takes it is not waited for without end");
}

// A new configuration moves the name service; one that cannot be read changes nothing.
#[test_case(true, "127.0.2.9:5301"; "moved")]
#[test_case(false, "127.0.2.1:5300"; "cannot be read")]
fn again(good: bool, asked: &str) {
    let mut b = Bench::new(1);
    let mut new = file(1);
    new["names"] = "127.0.2.9:5301".into();
    let new = if good {
        Ok(Box::new(start(&new)))
    } else {
        Err(applepond_platform::fault::Unfit::NoJson(String::new()))
    };
    b.news.borrow_mut().push(ProcessEvent::ConfigReplaced(new));
    b.pass(S);
    assert_eq!(b.paper.datagrams.last().map(|(_, to, _)| to.to_string()), Some(asked.to_owned()));
    let client = b.asks("quote", 1);
    let link = b.carries(1);
    b.says(link, word("OK", 1).as_bytes());
    assert_eq!(b.statuses(client), [200]);
}

// The name service is asked again soon, with another id, until a newer list comes.
#[test]
fn a_lost_answer_is_asked_for_again() {
    let mut b = Bench::new(1);
    b.pass(S);
    let asked: Vec<_> =
        b.paper.datagrams.iter().map(|(conn, _, bytes)| (*conn, bytes[..2].to_vec())).collect();
    assert!((4..=8).contains(&asked.len()), "{}", asked.len());
    assert!(asked.windows(2).all(|w| w[0].0 != w[1].0 && w[0].1 != w[1].1), "from new ports, with new ids");
    assert!(asked[..asked.len() - 1].iter().all(|(conn, _)| b.paper.cut.contains(conn)));
}

// Rule 3 and the identity of servers, by what the list says next.
#[test_case(|list| list[0]["phase"] = "terminating".into(), true; "draining")]
#[test_case(|list| list[0]["phase"] = "terminated".into(), true; "gone")]
#[test_case(|list| list[0]["id"] = "s-new".into(), false; "a new one at the old address")]
fn listed_anew(change: fn(&mut serde_json::Value), ends: bool) {
    let mut b = Bench::new(1);
    let first = b.asks("quote", 1);
    let link = b.carries(1);
    let mut file = file(1);
    change(&mut file["known"]["updates"][0]["endpoints"]["members"]);
    b.lists(&start(&file));
    b.says(link, word("OK", 1).as_bytes());
    assert_eq!(b.statuses(first), [200], "what is out may come to its end");
    b.pass(100 * MS);
    assert!(b.paper.cut.contains(&link), "and then its connection goes");
    b.asks("quote", 2);
    b.links();
    assert_eq!(b.runs(2), usize::from(!ends));
    assert!(ends || b.carries(2) != link);
}

// What waits for a connection to a server that is drained meanwhile is taken back.
#[test]
fn drained_before_it_left() {
    let mut b = Bench::new(1);
    let client = b.asks("confirm", 1);
    let mut file = file(1);
    file["known"]["updates"][0]["endpoints"]["members"][0]["phase"] = "terminating".into();
    b.lists(&start(&file));
    b.links();
    b.pass(2 * S);
    assert_eq!((b.runs(1), b.statuses(client)), (0, vec![503]));
}

#[test]
fn silent_clients_are_off_within_three_seconds() {
    let mut b = Bench::new(1);
    let clients = [b.caller(), b.caller()];
    b.says(clients[1], b"POST /do/7f3a9c2");
    b.pass(2_900 * MS);
    assert!(clients.iter().all(|c| b.paper.cut.contains(c)));
}

// Many ids, functions and servers: what is kept of each goes with it.
#[test]
fn tables_stay_small() {
    let mut b = Bench::new(4);
    let mut timers = 0;
    for round in 0..40u64 {
        for n in 0..50 {
            let id = round * 50 + n;
            let client = b.caller();
            b.says(client, call("quote", id).replace(FUNCTION, &name(id)).as_bytes());
            let link = b.carries(id);
            b.says(link, word("OK", id).as_bytes());
            assert_eq!(b.statuses(client), [200]);
            b.breaks(client, Closed::Reset);
            b.pass(20 * MS);
        }
        b.paper.written.clear();
        b.paper.datagrams.clear();
        if round == 10 {
            timers = b.paper.timers();
        }
    }
    let open = b.node.open_counts();
    assert_eq!((open.requests, open.clients, open.workers), (0, 0, 4), "requests, clients, servers");
    assert!(
        b.node.open_counts().worker_connections <= 4 && b.paper.timers() <= timers * 2,
        "{} timers",
        b.paper.timers()
    );
}

// A connection that takes nothing is cut also when nobody waits for it any more.
#[test]
fn a_dead_connection_that_owes_nothing() {
    let mut b = Bench::new(1);
    let client = b.asks("confirm", 1);
    let link = b.paper.connects[0].0;
    b.paper.room.insert(link, 1);
    b.links();
    b.pass(300 * MS);
    b.breaks(client, Closed::Reset);
    b.pass(600 * MS);
    assert!(b.paper.cut.contains(&link));
}

// The events of the start tell that a model server has gone, and not where it was.
#[test]
fn gone_without_an_address() {
    let mut file = file(2);
    let gone = json!({"index": 2, "endpoints": {"members": [{"id": "s-1", "phase": "terminated"}]}});
    file["known"]["updates"].as_array_mut().expect("events").push(gone);
    let b = Bench::with(&file);
    assert_eq!(b.node.open_counts().workers, 1);
}

// The list of the start names no cells: no two model servers are in the same one, as far as is known.
#[test]
fn a_list_without_cells() {
    let mut file = file(2);
    for member in file["known"]["updates"][0]["endpoints"]["members"].as_array_mut().expect("two") {
        member.as_object_mut().expect("an entry").remove("cell");
    }
    let racks: Vec<_> = start(&file).known[0].1.iter().map(|member| member.listed.rack).collect();
    assert_ne!(racks[0], racks[1]);
}

// No descriptor is left for a question to the name service: what is known has to do.
#[test]
fn no_descriptor_for_a_question() {
    let mut b = Bench::new(1);
    b.paper.no_posts = usize::MAX;
    b.pass(5 * S);
    b.asks("quote", 1);
    b.links();
    assert_eq!(b.runs(1), 1);
}
