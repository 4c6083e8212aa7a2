//! Every way in which something ends, on real sockets: the bad order lies in the kernel before the router
//! looks. The rows of docs/ends.md name these cases.
mod common;
use applepond_node::ProcessEvent;
use common::*;
use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::{TcpStream, UdpSocket};
use std::rc::Rc;
use std::time::{Duration, Instant};
use test_case::test_case;

// ---- A client that has gone ------------------------------------------------------------------

// A request and its client's end come in one batch, or the end waits behind bytes that are not read yet.
#[test_case(0; "behind its request")]
#[test_case(20_000; "behind its request and more")]
fn hung_up_before_it_was_read(more: usize) {
    let mut r = Real::new(1, |_| ());
    r.served(1);
    let mut client = r.client();
    client.write_all(call("quote", 2).as_bytes()).expect("written");
    client.set_nonblocking(true).expect("set");
    let _ = client.write(&vec![b'x'; more]);
    r.hangs_up(client);
    r.until("seen", |r| r.requests_and_clients() == (0, 0));
    assert_eq!(told(&r.ends(), "DO", 2), 0, "nobody waits for it");
}

// The router stands still amid a batch, between another client's bytes and the request, and its client goes.
#[test]
fn hung_up_amid_a_batch() {
    let mut r = Real::new(1, |_| ());
    r.served(1);
    let (mut other, mut client) = (r.client(), r.client());
    r.quiet();
    other.write_all(b"GET /check HTTP/1.1\r\nHost: a\r\n\r\n").expect("written");
    client.write_all(call("quote", 2).as_bytes()).expect("written");
    let at = r.at;
    *r.between.borrow_mut() = Some(Box::new(move || {
        hang_up(at, client);
        std::thread::sleep(Duration::from_millis(60));
    }));
    r.until("seen", |r| r.node.borrow().open_counts().clients == 1);
    assert_eq!(told(&r.ends(), "DO", 2), 0, "nobody waits for it");
}

// Behind a request that waits, a client sends more than is kept, and goes: its end lies behind all of that.
#[test]
fn hung_up_behind_bytes_that_nobody_keeps() {
    let mut r = Real::new(1, |_| ());
    let (mut client, link) = r.carried("quote", 1);
    client.set_nonblocking(true).expect("set");
    let piece = [b'x'; 64 * 1024];
    while client.write(&piece).is_ok() {}
    drop(client);
    r.until("given up", |r| r.peers[link].told("UNDO", 1) == 1);
    assert_eq!(r.requests_and_clients(), (0, 0));
}

// A client that goes on sending without an end is cut, and its request given up, though it has not gone.
#[test]
fn no_end_of_bytes_behind_a_request() {
    let mut r = Real::new(1, |_| ());
    let (mut client, link) = r.carried("quote", 1);
    client.set_nonblocking(true).expect("set");
    let piece = [b'x'; 64 * 1024];
    r.until("given up", |r| {
        let _ = client.write(&piece);
        r.peers[link].told("UNDO", 1) == 1
    });
    assert_eq!(r.requests_and_clients(), (0, 0));
}

// What is sent behind a request and does not fit ends the connection, after the answer that is owed.
#[test]
fn more_than_is_kept_behind_a_request() {
    let mut r = Real::new(1, |_| ());
    let (mut client, link) = r.carried("quote", 1);
    for id in 2..500 {
        client.write_all(call("quote", id).as_bytes()).expect("read and dropped");
        r.turn();
    }
    r.peers[link].says(&word("OK", 1));
    let answer = r.rest(client);
    assert!(answer.starts_with("HTTP/1.1 200") && answer.contains("Connection: close"), "{answer}");
    assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{answer}");
}

// A model server's word that leads to a further attempt, and then the client's end, both before the router
// looks: which of them came first may not count. Connections to both model servers stand, so that the
// attempt would leave at once.
#[test_case("ERR"; "an error")]
#[test_case("BUSY"; "full")]
#[test_case("MISS"; "not loaded")]
fn hung_up_beside_an_answer(verb: &str) {
    let mut r = Real::new(2, |_| ());
    let (_first, link) = r.carried("quote", 1);
    r.peers[link].says(&word("ERR", 1));
    r.until("sent on", |r| r.peers.len() == 2 && told(&r.peers, "DO", 1) == 2);
    let other = 1 - link;
    r.peers[other].says(&word("OK", 1));
    let (client, link) = r.carried("quote", 2);
    r.quiet();
    r.peers[link].says(&word(verb, 2));
    r.hangs_up(client);
    r.until("seen", |r| r.requests_and_clients() == (0, 1));
    assert_eq!(told(&r.ends(), "DO", 2), 1, "no further attempt");
}

// The client goes while its attempt waits for a connection that comes up.
#[test_case(true; "attempts may be cancelled")]
#[test_case(false; "they may not: what has not begun is taken back all the same")]
fn hung_up_while_connecting(cancel: bool) {
    let mut r = Real::new(1, |file| file["settings"]["allowed"]["cancel"] = cancel.into());
    let mut client = r.client();
    client.write_all(call("quote", 1).as_bytes()).expect("written");
    r.until("connecting", |r| r.node.borrow().open_counts().worker_connections == 1);
    r.hangs_up(client);
    r.until("seen", |r| r.requests_and_clients() == (0, 0));
    assert_eq!(told(&r.ends(), "DO", 1), 0);
}

// It goes while its request is held here, and then a model server comes.
#[test]
fn hung_up_while_held() {
    let mut r = Real::new(1, |file| {
        file["known"]["updates"][0]["endpoints"]["members"][0]["phase"] = "terminating".into();
    });
    let mut client = r.client();
    client.write_all(call("quote", 1).as_bytes()).expect("written");
    r.until("held", |r| r.node.borrow().open_counts().requests == 1);
    let mut file = r.file.clone();
    file["known"]["updates"][0]["endpoints"]["members"][0]["phase"] = "in_service".into();
    r.lists(&start(&file));
    r.hangs_up(client);
    r.until("seen", |r| r.requests_and_clients() == (0, 0));
    r.served(2);
    assert_eq!(told(&r.ends(), "DO", 1), 0);
}

// It goes, and the router stands still past the time of the copy and of its next looks at what it holds.
#[test]
fn hung_up_before_the_hedge_delay() {
    let mut r = Real::new(2, |_| ());
    let (client, _) = r.carried("quote", 1);
    r.hangs_up(client);
    r.stands_still(900 * MS);
    r.until("seen", |r| r.requests_and_clients() == (0, 0));
    assert_eq!(told(&r.ends(), "DO", 1), 1, "no copy");
}

/// Fills a connection to a model server that reads nothing: clients whose lines wait here, behind one that
/// has left in part, and the next id.
fn fills(r: &mut Real) -> (Vec<TcpStream>, u64) {
    r.doing = Doing::Full;
    let long = |id| {
        let head = call("quote", id).replace("Content-Length: 2", "Content-Length: 16000");
        head.replace("\r\n\r\nhi", &format!("\r\n\r\n{}", "y".repeat(16_000)))
    };
    let (mut clients, open) = (Vec::new(), r.node.borrow().open_counts().requests);
    let mut next = 1;
    while clients.len() < 3 {
        let mut client = r.client();
        client.write_all(long(next).as_bytes()).expect("written");
        r.until("connected", |r| r.peers.len() == 1);
        for _ in 0..20 {
            r.peers[0].says(&word("OK", next));
            r.turn();
        }
        // That answer is nobody's as long as its line has not begun to leave.
        if r.node.borrow().open_counts().requests > open + clients.len() {
            clients.push(client);
        }
        next += 1;
        assert!(next < 100, "the connection takes all");
    }
    (clients, next)
}

// A model server that reads nothing answers until the connection is full: one line has left in part, others
// wait behind it. Their clients go: the part is made whole and given up, what waits is taken back.
#[test_case(true, false; "it reads on")]
#[test_case(false, false; "it reads on, and attempts may not be cancelled")]
#[test_case(false, true; "it resets the connection, and they may not be cancelled")]
fn hung_up_amid_a_line(cancel: bool, resets: bool) {
    let allow = |file: &mut serde_json::Value| file["settings"]["allowed"]["cancel"] = cancel.into();
    let mut r = Real::at(vec![small_server()], allow);
    let (clients, next) = fills(&mut r);
    for client in clients {
        r.hangs_up(client);
    }
    r.until("seen", |r| r.node.borrow().open_counts().clients == 0);
    let mut first = resets.then(|| r.peers.remove(0));
    if let Some(peer) = &mut first {
        peer.read();
        socket2::SockRef::from(&peer.stream).set_linger(Some(Duration::ZERO)).expect("set");
    }
    let first = first.map(|peer| peer.text);
    r.doing = Doing::Serves;
    // Where nothing may be cancelled, a line that had left in part is still owed an answer of its own.
    r.until("all over", |r| r.node.borrow().open_counts().requests <= usize::from(!cancel));
    r.served(next);
    let peers = r.ends();
    if let Some(text) = first {
        let begun = |id: u64| text.contains(&format!("DO\",\"rid\":\"{}", name(id)));
        let anew = (1..next).filter(|id| !begun(*id)).map(|id| told(&peers, "DO", id)).sum::<usize>();
        assert_eq!(anew, 0, "not on another connection either");
        return;
    }
    let lines = || peers.iter().flat_map(|peer| peer.text.lines());
    assert!(lines().all(|l| serde_json::from_str::<serde_json::Value>(l).is_ok()), "whole lines");
    let begun: Vec<usize> = (1..next).map(|id| told(&peers, "DO", id)).collect();
    assert!(begun.iter().all(|n| *n <= 1) && begun.contains(&0), "{begun:?}");
}

// Where no two attempts may be out together, the word that gives the first up leaves ahead of the next: the
// first one's connection takes nothing more, until the model server reads on, or the connection is cut.
#[test_case(Doing::Serves, 2; "it reads on")]
#[test_case(Doing::Mute, 2; "it does not even say that the connection works")]
#[test_case(Doing::Full, 1; "it never reads")]
fn a_cancel_that_cannot_leave(then: Doing, sent: usize) {
    let mut r = Real::at(vec![small_server(), small_server()], |file| {
        file["settings"]["allowed"]["second-copies"] = false.into();
        file["settings"]["lanes"][0]["on-time"] = 300.0.into();
    });
    r.served(1001);
    let (client, link) = r.carried("quote", 1000);
    let (_others, next) = fills(&mut r);
    // The other model server serves: what waits behind the full connection is sent on there after the delay.
    let reads = |r: &mut Real| {
        for peer in r.peers.iter_mut().enumerate().filter(|(n, _)| *n != link).map(|(_, peer)| peer) {
            peer.read();
            peer.says("{\"verb\":\"UP\",\"rid\":\"works\"}\n");
            let asked: Vec<u64> = (1..next).filter(|id| peer.told("DO", *id) > 0).collect();
            asked.into_iter().for_each(|id| peer.says(&word("OK", id)));
        }
        (1..next).map(|id| told(&r.peers, "DO", id)).sum::<usize>() > 0
    };
    r.until("sent on", reads);
    r.quiet();
    reads(&mut r);
    assert_eq!(told(&r.peers, "DO", 1000), 1, "the first has not been given up yet");
    r.doing = then;
    r.until("sent on, or answered", |r| {
        reads(r);
        told(&r.peers, "DO", 1000) == 2 || r.node.borrow().open_counts().requests == 0
    });
    assert_eq!(told(&r.peers, "DO", 1000), sent);
    if sent == 1 {
        r.leaves();
        let answer = r.rest(client);
        assert!(answer.starts_with("HTTP/1.1 50"), "{answer}");
    }
}

// ---- The process -----------------------------------------------------------------------------

/// A client that reads nothing, of forty requests that have been answered: most of it waits in the router.
fn owed(r: &mut Real) -> TcpStream {
    let mut client = r.small_client();
    let calls: String = (1..=40).map(|id| call("quote", id)).collect();
    client.write_all(calls.as_bytes()).expect("written");
    for id in 1..=40 {
        let link = r.carries(id);
        r.peers[link].says(&big(id));
    }
    r.until("all answered", |r| r.node.borrow().open_counts().requests == 0);
    client
}

// An answer is in the router's own buffer when the time to end has come.
#[test]
fn leaving_with_answers_that_the_client_has_not_taken() {
    let mut r = Real::new(1, |_| ());
    let mut client = owed(&mut r);
    r.leaves();
    let begun = Instant::now();
    r.until("1.2 s", |r| r.over.get() || begun.elapsed() > Duration::from_millis(1200));
    assert!(!r.over.get(), "it still owes");
    r.reads_big(&mut client, 40);
    drop(client);
    r.until("the end", |r| r.over.get());
}

// Bytes that come between the last look at the sockets and the end of the process would turn its close into a
// reset, which takes the rest of the answer along: the connection is ended first, the client's end awaited.
#[test]
fn leaving_with_bytes_unread() {
    let mut r = Real::new(1, |_| ());
    let mut client = r.small_client();
    client.write_all(call("quote", 1).as_bytes()).expect("written");
    let link = r.carries(1);
    r.leaves();
    let begun = Instant::now();
    r.until("1 s", |_| begun.elapsed() > Duration::from_secs(1));
    let mut more = client.try_clone().expect("a descriptor");
    *r.amid.borrow_mut() = Some(Box::new(move || more.write_all(b"more").expect("it stands")));
    r.peers[link].says(&big(1));
    r.until("the tick", |r| r.amid.borrow().is_none());
    r.quiet();
    let answer = r.rest(client);
    assert!(answer.starts_with("HTTP/1.1 200") && answer.matches('x').count() == 30_000, "{}", answer.len());
    r.until("the end", |r| r.over.get());
}

// Clients connect and ask between the router's look at the sockets and its tick, up to the one in which it
// stops listening: each is answered.
#[test]
fn leaving_with_clients_not_accepted_yet() {
    let mut r = Real::new(1, |_| ());
    r.served(1);
    r.leaves();
    let asked: Rc<RefCell<Vec<TcpStream>>> = Rc::default();
    let (mut next, mut served) = (2, 2);
    while r.node.borrow().local_address().is_some() || served < next {
        if r.amid.borrow().is_none() && r.node.borrow().local_address().is_some() {
            let (at, id, asked) = (r.at, next, asked.clone());
            *r.amid.borrow_mut() = Some(Box::new(move || {
                let mut client = TcpStream::connect(at).expect("it listens");
                client.write_all(call("quote", id).as_bytes()).expect("written");
                asked.borrow_mut().push(client);
            }));
            next += 1;
        }
        r.turn();
        if served as usize - 2 < asked.borrow().len() {
            let link = r.carries(served);
            r.peers[link].says(&word("OK", served));
            served += 1;
        }
    }
    let asked = asked.take();
    assert!(asked.len() > 10, "{}", asked.len());
    for client in asked {
        let answer = r.rest(client);
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    r.until("the end", |r| r.over.get());
}

// The one client of a quiet router connects and asks amid the very tick in which the router stops listening:
// nobody else is there, and nothing seems to be owed.
#[test]
fn leaving_as_the_last_client_connects() {
    let mut r = Real::new(1, |_| ());
    r.served(1);
    r.leaves();
    r.until("told to, and nobody is there", |r| {
        r.news.borrow().is_empty() && r.node.borrow().open_counts().clients == 0
    });
    let at = r.at;
    let asked: Rc<RefCell<Option<TcpStream>>> = Rc::default();
    let put = asked.clone();
    *r.amid.borrow_mut() = Some(Box::new(move || {
        let mut client = TcpStream::connect(at).expect("it listens");
        client.write_all(call("quote", 2).as_bytes()).expect("written");
        *put.borrow_mut() = Some(client);
    }));
    r.stands_still(1_000 * MS);
    r.until("the tick", |r| r.node.borrow().local_address().is_none());
    assert!(!r.over.get(), "it owes an answer");
    let link = r.carries(2);
    r.peers[link].says(&word("OK", 2));
    let answer = r.rest(asked.take().expect("it has connected"));
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    r.until("the end", |r| r.over.get());
}

// ---- Time-outs and evictions -----------------------------------------------------------------

/// Clients that have asked and lie idle, the oldest first, as many as are kept open.
fn idle(r: &mut Real, count: usize) -> Vec<TcpStream> {
    (0..count)
        .map(|_| {
            let mut client = r.client();
            client.write_all(b"GET /check HTTP/1.1\r\nHost: a\r\n\r\n").expect("written");
            let mut buffer = [0; 1024];
            r.quiet();
            assert!(client.read(&mut buffer).expect("an answer") > 0);
            client
        })
        .collect()
}

// A newcomer is accepted in the batch in which a request comes on the connection that would make room.
#[test]
fn a_newcomer_beside_a_request() {
    let mut r = Real::new(1, |file| file["limits"]["sockets"] = 16.into());
    let mut clients = idle(&mut r, 8);
    r.quiet();
    let _newcomer = TcpStream::connect(r.at).expect("it listens");
    let mut oldest = clients.remove(0);
    oldest.write_all(call("quote", 1).as_bytes()).expect("written");
    let link = r.carries(1);
    r.peers[link].says(&word("OK", 1));
    let mut answer = [0; 1024];
    r.quiet();
    let n = oldest.read(&mut answer).expect("an answer");
    assert!(answer[..n].starts_with(b"HTTP/1.1 200"));
}

// There are fewer descriptors than model servers: the connection that has lain idle longest makes room, not
// one that owes an answer, and that none was left is not the fault of the server that needs one.
#[test]
fn more_servers_than_descriptors() {
    let mut r = Real::new(8, |file| file["limits"]["sockets"] = 16.into());
    let (mut owed, first) = r.carried("quote", 1);
    let mut id = 2;
    let mut reached = std::collections::BTreeSet::new();
    while reached.len() < 8 {
        assert!(id < 200, "{} model servers of eight are used", reached.len());
        let mut client = r.client();
        let function = format!("{id:016x}");
        client.write_all(call("quote", id).replace(FUNCTION, &function).as_bytes()).expect("written");
        let link = r.carries(id);
        reached.insert(r.peers[link].stream.local_addr().expect("connected"));
        r.peers[link].says(&word("OK", id));
        let (mut answer, conns) = ([0; 1024], r.node.borrow().open_counts().worker_connections);
        assert!(conns <= 6, "{conns} connections");
        r.quiet();
        let n = client.read(&mut answer).expect("an answer");
        assert!(answer[..n].starts_with(b"HTTP/1.1 200"));
        id += 1;
    }
    r.peers[first].says(&word("OK", 1));
    r.quiet();
    let mut answer = [0; 1024];
    let n = owed.read(&mut answer).expect("an answer");
    assert!(answer[..n].starts_with(b"HTTP/1.1 200"));
}

// The connection that has lain idle longest has not been delivered all of its answers.
#[test]
fn a_newcomer_beside_answers_on_their_way() {
    let mut r = Real::new(1, |file| file["limits"]["sockets"] = 16.into());
    let mut client = owed(&mut r);
    let _others = idle(&mut r, 12);
    r.reads_big(&mut client, 40);
}

// An answer lies in the kernel when the request's time runs out while the router stands still: it counts,
// each time.
#[test]
fn an_answer_before_a_late_timer() {
    let mut r = Real::new(1, |_| ());
    let mut client = r.client();
    let short = call("confirm", 1).replace("Budget-Ms: 2000", "Budget-Ms: 400");
    client.write_all(short.as_bytes()).expect("written");
    let link = r.carries(1);
    r.peers[link].says(&word("OK", 1));
    r.stands_still(500 * MS);
    r.quiet();
    let mut answer = [0; 1024];
    let n = client.read(&mut answer).expect("an answer");
    assert!(answer[..n].starts_with(b"HTTP/1.1 200"));
}

// Silent clients, and one amid its request, are off within three seconds.
#[test]
fn silent_clients() {
    let mut r = Real::new(1, |_| ());
    let begun = Instant::now();
    let (_silent, mut half) = (r.client(), r.client());
    half.write_all(&call("quote", 1).as_bytes()[..60]).expect("written");
    r.until("off", |r| r.node.borrow().open_counts().clients == 0);
    assert!(begun.elapsed() < Duration::from_secs(3), "{:?}", begun.elapsed());
}

// What a client is told in the end: a refusal only where no attempt can have run, or running twice harms
// nothing.
#[test_case("confirm", "ERR", "502"; "at-most-once, and it may have run")]
#[test_case("confirm", "MISS", "503"; "at-most-once, and it has not")]
#[test_case("hold", "ERR", "502"; "keyed, by its group alone")]
#[test_case("quote", "ERR", "503"; "idempotent")]
fn refused_or_failed(workload: &str, verb: &str, status: &str) {
    let mut r = Real::new(1, |file| file["settings"]["allowed"]["attempts-cap"] = 1.into());
    let (client, link) = r.carried(workload, 1);
    r.peers[link].says(&word(verb, 1));
    r.leaves();
    let answer = r.rest(client);
    assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{answer}");
}

// A client's further try comes to another router: the key is the same, so the model servers know it.
#[test]
fn a_further_try_at_another_router() {
    let key = r#""uniq":"5c0f6e1a2b3d4c59a8b7c6d5e4f30211""#;
    for id in [1, 2] {
        let mut r = Real::new(1, |_| ());
        let (_client, link) = r.carried("hold", id);
        assert!(r.peers[link].text.contains(key), "{}", r.peers[link].text);
    }
}

// ---- Connections to model servers ------------------------------------------------------------

// An answer and a reset in one batch: the answer counts.
#[test]
fn an_answer_and_a_reset() {
    let mut r = Real::new(1, |_| ());
    let (client, link) = r.carried("confirm", 1);
    r.peers[link].says(&word("OK", 1));
    let peer = r.peers.remove(link);
    socket2::SockRef::from(&peer.stream).set_linger(Some(Duration::ZERO)).expect("set");
    drop(peer);
    r.leaves();
    let answer = r.rest(client);
    assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with("ok"), "{answer}");
}

// A connection stands in the kernel when its time runs out while the router stands still.
#[test]
fn connected_before_a_late_timer() {
    let mut r = Real::new(1, |_| ());
    let mut client = r.client();
    client.write_all(call("confirm", 1).as_bytes()).expect("written");
    r.until("connecting", |r| r.node.borrow().open_counts().worker_connections == 1);
    r.stands_still(300 * MS);
    r.carries(1);
    assert_eq!(told(&r.ends(), "DO", 1), 1);
}

// A drain is told while an attempt waits for a connection: it is taken back, and has not run.
#[test]
fn drained_while_connecting() {
    let (server, queue) = full_server();
    let mut r = Real::at(vec![server], |file| {
        file["settings"]["allowed"]["connect-timeout"] = 5000.0.into();
    });
    r.doing = Doing::Shut;
    let mut client = r.client();
    client.write_all(call("confirm", 1).as_bytes()).expect("written");
    r.until("connecting", |r| r.node.borrow().open_counts().worker_connections == 1);
    let mut file = r.file.clone();
    file["known"]["updates"][0]["endpoints"]["members"][0]["phase"] = "terminating".into();
    r.lists(&start(&file));
    r.until("taken in", |r| r.names.peek(&mut [0; 512]).is_ok());
    drop(queue);
    r.doing = Doing::Serves;
    r.leaves();
    let answer = r.rest(client);
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert_eq!(told(&r.ends(), "DO", 1), 0);
}

// A drain is told while a line has left in part, whose answer has come, and others wait behind it: nothing is
// owed on the connection any more, and the others are taken back and have not run.
#[test]
fn drained_amid_a_line() {
    let mut r = Real::at(vec![small_server()], |_| ());
    let (clients, next) = fills(&mut r);
    let mut file = r.file.clone();
    file["known"]["updates"][0]["endpoints"]["members"][0]["phase"] = "terminating".into();
    r.lists(&start(&file));
    r.until("taken in", |r| r.names.peek(&mut [0; 512]).is_ok());
    r.doing = Doing::Serves;
    r.leaves();
    let answers: Vec<String> = clients.into_iter().map(|client| r.rest(client)).collect();
    assert!(answers.iter().all(|answer| answer.starts_with("HTTP/1.1 503")), "{answers:?}");
    let peers = r.ends();
    let begun: Vec<usize> = (1..next).map(|id| told(&peers, "DO", id)).collect();
    assert!(begun.iter().all(|n| *n <= 1) && begun.contains(&0), "{begun:?}");
}

// A drain is told while a line has left in part that is still owed its answer: it is made whole, and the
// answer counts.
#[test]
fn drained_amid_a_line_that_is_owed_its_answer() {
    let mut r = Real::at(vec![small_server()], |_| ());
    let (clients, next) = fills(&mut r);
    // The part that has left is of a line whose answer has come. This much more is part of another one.
    let more = r.peers[0].handed() + 22_000;
    r.until("more has left", |r| {
        r.peers[0].sips();
        r.peers[0].handed() >= more
    });
    let handed = r.peers[0].handed();
    let mut file = r.file.clone();
    file["known"]["updates"][0]["endpoints"]["members"][0]["phase"] = "terminating".into();
    r.lists(&start(&file));
    r.until("taken in", |r| r.names.peek(&mut [0; 512]).is_ok());
    r.doing = Doing::Serves;
    let mut owed: Vec<u64> = (next - 3..next).collect();
    r.until("all over", |r| {
        let text = &r.peers[0].text;
        let whole = text.rfind('\n').map_or("", |end| &text[..end]);
        let is = |id: &u64| whole.contains(&format!("DO\",\"rid\":\"{}", name(*id)));
        let (came, waits): (Vec<u64>, _) = std::mem::take(&mut owed).into_iter().partition(is);
        owed = waits;
        came.into_iter().for_each(|id| r.peers[0].says(&word("OK", id)));
        r.node.borrow().open_counts().requests == 0
    });
    r.leaves();
    let answers: Vec<String> = clients.into_iter().map(|client| r.rest(client)).collect();
    let text = &r.peers[0].text;
    let line = text[..handed].rfind('\n').map_or(0, |end| end + 1);
    let ids = (next - 3..next).zip(&answers);
    for (id, answer) in ids.clone() {
        let status = if owed.contains(&id) { "503" } else { "200" };
        assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{id}: {answer}");
    }
    let begins = |id: u64| {
        let head = format!("{{\"verb\":\"DO\",\"rid\":\"{}", name(id));
        text[line..].starts_with(&head)
    };
    assert_eq!(ids.filter(|(id, _)| begins(*id)).count(), 1, "the drain came amid one of these lines");
    assert!(line < handed && !text[line..handed].contains('\n'));
    assert!(text.lines().all(|l| serde_json::from_str::<serde_json::Value>(l).is_ok()), "whole lines");
}

// Another server has taken the address: its requests go by a connection of their own, and what is out at the
// old one comes to its end.
#[test]
fn another_server_at_the_same_address() {
    let mut r = Real::new(1, |_| ());
    let (mut client, old) = r.carried("confirm", 1);
    let mut file = r.file.clone();
    file["known"]["updates"][0]["endpoints"]["members"][0]["id"] = "s-new".into();
    r.lists(&start(&file));
    r.until("taken in", |r| {
        r.node.borrow().open_counts().workers == 1 && r.names.peek(&mut [0; 512]).is_ok()
    });
    let (_client, new) = r.carried("confirm", 2);
    assert_ne!(new, old);
    r.peers[old].says(&word("OK", 1));
    r.quiet();
    let mut answer = [0; 1024];
    let n = client.read(&mut answer).expect("an answer");
    assert!(answer[..n].starts_with(b"HTTP/1.1 200"));
    r.until("parted", |r| r.node.borrow().open_counts().worker_connections == 1);
}

// A connection that owes an answer and does not even say that it works: it may have run.
#[test]
fn a_mute_server() {
    let mut r = Real::new(1, |_| ());
    let (client, _) = r.carried("confirm", 1);
    r.doing = Doing::Mute;
    r.leaves();
    let answer = r.rest(client);
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    assert_eq!(told(&r.ends(), "DO", 1), 1);
}

// A model server that turned a request away and is asked again, says so a second time: that is no answer to
// the second attempt, which goes by another connection.
#[test_case("BUSY"; "full")]
#[test_case("MISS"; "not loaded")]
fn a_second_answer_to_an_earlier_attempt(verb: &str) {
    let mut r = Real::new(1, |_| ());
    let (client, first) = r.carried("confirm", 1);
    r.peers[first].says(&word(verb, 1));
    r.until("again", |r| told(&r.peers, "DO", 1) == 2);
    r.peers[first].says(&word(verb, 1));
    r.quiet();
    let second = r.carries(1);
    assert_ne!(second, first, "by another connection");
    r.peers[second].says(&word("OK", 1));
    r.leaves();
    let answer = r.rest(client);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_eq!(told(&r.ends(), "DO", 1), 2);
}

// An answer after the word that gave it up, and one cut in the middle: nobody gets them.
#[test]
fn an_answer_after_it_was_given_up() {
    let mut r = Real::new(1, |_| ());
    let (client, link) = r.carried("quote", 1);
    r.hangs_up(client);
    r.until("given up", |r| r.peers[link].told("UNDO", 1) == 1);
    r.peers[link].says(&word("OK", 1));
    let (client, again) = r.carried("confirm", 2);
    assert_eq!(again, link, "the connection is good");
    r.peers[link].says(&word("OK", 2)[..40]);
    drop(r.peers.remove(link));
    r.leaves();
    let answer = r.rest(client);
    assert!(answer.starts_with("HTTP/1.1 502"), "it may have run: {answer}");
    assert_eq!(told(&r.ends(), "DO", 2), 0, "and is not sent again");
}

// ---- The repeat window -----------------------------------------------------------------------

// A repeat waits for its connection until the model server would not know it as one any more: it never
// begins, and as the first may have run, nothing says that trying again is harmless.
#[test]
fn a_repeat_window_that_ends_before_the_repeat_leaves() {
    let mut r = Real::new(2, |file| file["settings"]["lanes"][1]["window"] = 300.0.into());
    let (client, link) = r.carried("hold", 1);
    r.quiet();
    r.peers[link].says(&word("ERR", 1));
    r.until("a further attempt", |r| r.node.borrow().open_counts().worker_connections == 2);
    r.stands_still(400 * MS);
    r.leaves();
    let answer = r.rest(client);
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    assert_eq!(told(&r.ends(), "DO", 1), 1);
}

// ---- The watch -------------------------------------------------------------------------------

// The name service is gone (its port refuses), idle clients take every place, and then it is back with a
// model server that has just come.
#[test]
fn the_service_comes_back_amid_a_crowd() {
    let mut r = Real::new(1, |file| {
        file["limits"]["sockets"] = 64.into();
        file["known"]["updates"][0]["endpoints"]["members"][0]["phase"] = "terminating".into();
    });
    let names = r.names.local_addr().expect("bound");
    r.names = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let _crowd: Vec<_> = (0..200).map(|_| TcpStream::connect(r.at).expect("it listens")).collect();
    let begun = Instant::now();
    r.until("refused a few times", |_| begun.elapsed() > Duration::from_millis(600));
    r.names = UdpSocket::bind(names).expect("free again");
    r.names.set_nonblocking(true).expect("set");
    let mut file = r.file.clone();
    file["known"]["updates"][0]["endpoints"]["members"][0]["phase"] = "in_service".into();
    r.lists(&start(&file));
    r.served(1);
}

/// What the router looks at when it goes on.
#[derive(Clone, Copy, PartialEq)]
enum Waits {
    /// A request that nobody has read.
    Request,
    /// A connection that stands by now, with a request for it.
    Connection,
    /// The word of another server that it has failed.
    Word,
}

// The router stands still, and a server begins to drain. What waits when it goes on is not sent there: the
// list is asked for first.
#[test_case(Waits::Request; "a request has come")]
#[test_case(Waits::Connection; "a connection stands")]
#[test_case(Waits::Word; "the other server has failed")]
fn stood_still_while_a_server_drained(what: Waits) {
    let mut r = Real::new(2, |file| {
        file["settings"]["lanes"][0]["on-time"] = 4000.0.into();
        file["settings"]["lanes"][0]["deadline"] = 5000.0.into();
    });
    let ask = |id| call("quote", id).replace("Budget-Ms: 2000", "Budget-Ms: 5000");
    let mut client = r.client();
    client.write_all(ask(1).as_bytes()).expect("written");
    r.until("connecting", |r| r.node.borrow().open_counts().worker_connections == 1);
    let draining = match what {
        Waits::Connection => r.home(),
        Waits::Request => {
            let link = r.carries(1);
            r.peers[link].says(&word("OK", 1));
            r.quiet();
            r.home()
        }
        Waits::Word => {
            let link = r.carries(1);
            r.peers[link].says(&word("ERR", 1));
            1 - r.home()
        }
    };
    if what == Waits::Request {
        client.write_all(ask(2).as_bytes()).expect("written");
    }
    r.stands_still(1_100 * MS);
    let mut file = r.file.clone();
    file["known"]["updates"][0]["endpoints"]["members"][draining]["phase"] = "terminating".into();
    r.lists(&start(&file));
    let id = if what == Waits::Request { 2 } else { 1 };
    let most = if what == Waits::Word { 2 } else { 1 };
    r.until("sent on", |r| told(&r.peers, "DO", id) == most);
    r.quiet();
    let server = r.servers[draining].local_addr().expect("bound");
    let there = r.peers.iter().filter(|p| p.stream.local_addr().is_ok_and(|at| at == server));
    assert_eq!(there.map(|p| p.told("DO", id)).sum::<usize>(), 0, "not to the one that drains");
}

// It stands still, and the name service says nothing when it goes on: what is known has to do, and no attempt
// is spent on waiting for it.
#[test_case(false; "a request has come")]
#[test_case(true; "a request is held")]
fn stood_still_and_the_service_is_silent(held: bool) {
    let mut r = Real::new(1, |file| {
        file["settings"]["lanes"][0]["on-time"] = 4000.0.into();
        file["settings"]["lanes"][0]["deadline"] = 5000.0.into();
        file["settings"]["allowed"]["attempts-cap"] = (1 + usize::from(held)).into();
    });
    r.served(1);
    let mut client = r.client();
    let ask = call("quote", 2).replace("Budget-Ms: 2000", "Budget-Ms: 5000");
    client.write_all(ask.as_bytes()).expect("written");
    if held {
        let link = r.carries(2);
        r.peers[link].says(&word("BUSY", 2));
        r.quiet();
    }
    r.stands_still(1_100 * MS);
    r.until("sent on", |r| told(&r.peers, "DO", 2) == 1 + usize::from(held));
    let link = r.carries(2);
    r.peers[link].says(&word("OK", 2));
    r.leaves();
    let answer = r.rest(client);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

// The name service tells an older list, in which the model server is gone: it is none.
#[test]
fn an_older_list() {
    let mut r = Real::new(1, |_| ());
    let mut gone = r.file.clone();
    r.lists(&start(&gone));
    gone["known"]["updates"][0]["endpoints"]["members"][0]["phase"] = "terminated".into();
    r.until("taken in", |r| r.names.peek(&mut [0; 512]).is_ok());
    let mut question = [0; 512];
    let (_, from) = r.names.recv_from(&mut question).expect("just seen");
    let older = answer(u16::from_be_bytes([question[0], question[1]]), 1, &start(&gone));
    r.names.send_to(&older, from).expect("sent");
    r.until("asked again", |r| r.names.peek(&mut [0; 512]).is_ok());
    r.served(1);
}

// A new configuration moves the service amid a question: the old one's answer is nobody's.
#[test]
fn moved_amid_a_question() {
    let mut r = Real::new(1, |_| ());
    let mut question = [0; 512];
    let mut asked = None;
    r.until("a question", |r| {
        asked = r.names.recv_from(&mut question).ok();
        asked.is_some()
    });
    let old = std::mem::replace(&mut r.names, UdpSocket::bind("127.0.0.1:0").expect("a port"));
    r.names.set_nonblocking(true).expect("set");
    let mut new = r.file.clone();
    new["names"] = r.names.local_addr().expect("bound").to_string().into();
    r.news.borrow_mut().push(ProcessEvent::ConfigReplaced(Ok(Box::new(start(&new)))));
    r.until("asked anew", |r| r.names.peek(&mut [0; 512]).is_ok());
    let mut gone = r.file.clone();
    gone["known"]["updates"][0]["endpoints"]["members"][0]["phase"] = "terminated".into();
    let late = answer(u16::from_be_bytes([question[0], question[1]]), 9, &start(&gone));
    old.send_to(&late, asked.expect("just seen").1).expect("sent");
    r.served(1);
}

// ---- The time that a client has left ----------------------------------------------------------

/// Beyond what the client has left, a server may be told so much.
const SLACK: Duration = Duration::from_millis(150);

/// The deadline that a server was told for a request.
fn told_budget(r: &Real, id: u64) -> Duration {
    let lines = r.peers.iter().flat_map(|peer| peer.text.lines());
    let line = lines.filter(|line| line.contains("\"DO\"")).find(|line| line.contains(&name(id)));
    let line: serde_json::Value = serde_json::from_str(line.expect("it was sent")).expect("a line is JSON");
    let budget = &line["attrs"]["budget"];
    let budget = budget.as_u64().or_else(|| budget.as_str()?.parse().ok());
    Duration::from_millis(budget.expect("a number of milliseconds"))
}

/// The server may be told what the client had left when it read the line, and the slack.
fn assert_within(r: &Real, id: u64, begun: Instant, by: Duration) {
    let left = Duration::from_millis(2_000).saturating_sub(by);
    let told = told_budget(r, id);
    assert!(told <= left + SLACK, "told {told:?}, and of {:?} the client has {left:?}", begun.elapsed());
}

// A request comes in pieces: its client counts from the first byte.
#[test_case(20; "amid its head")]
#[test_case(usize::MAX; "amid its body")]
fn a_request_in_pieces(cut: usize) {
    let mut r = Real::new(1, |_| ());
    r.served(1);
    let text = call("quote", 2);
    let cut = cut.min(text.len() - 1);
    let mut client = r.client();
    let begun = Instant::now();
    client.write_all(&text.as_bytes()[..cut]).expect("written");
    r.quiet();
    r.runs_for(600 * MS);
    let by = begun.elapsed();
    client.write_all(&text.as_bytes()[cut..]).expect("written");
    r.carries(2);
    assert_within(&r, 2, begun, by);
}

// The router stands still while a request lies in the kernel, on a connection that stands or on a new one.
#[test_case(true; "on a connection that stands")]
#[test_case(false; "on a new one")]
fn a_request_that_lay_there_while_the_router_stood_still(stands: bool) {
    let mut r = Real::new(1, |_| ());
    r.served(1);
    let mut client = if stands { r.client() } else { TcpStream::connect(r.at).expect("it listens") };
    let begun = Instant::now();
    client.write_all(call("quote", 2).as_bytes()).expect("written");
    r.stands_still(400 * MS);
    let by = begun.elapsed();
    r.carries(2);
    assert_within(&r, 2, begun, by);
}

// A connection to the server comes up late: it is told what is left when its line is written.
#[test]
fn a_connection_that_comes_up_late() {
    let (server, queue) = full_server();
    let mut r = Real::at(vec![server], |file| {
        file["settings"]["allowed"]["connect-timeout"] = 5000.0.into();
    });
    r.doing = Doing::Shut;
    let mut client = r.client();
    let begun = Instant::now();
    client.write_all(call("quote", 2).as_bytes()).expect("written");
    r.until("connecting", |r| r.node.borrow().open_counts().worker_connections == 1);
    r.runs_for(500 * MS);
    let by = begun.elapsed();
    // The kernel tries again about a second after its first try.
    drop(queue);
    r.doing = Doing::Serves;
    r.carries(2);
    assert_within(&r, 2, begun, by);
}

// Behind a request that waits lies the next one of the same client: its time runs as well.
#[test]
fn a_request_behind_another() {
    let mut r = Real::new(1, |_| ());
    let (mut client, link) = r.carried("quote", 1);
    let begun = Instant::now();
    client.write_all(call("quote", 2).as_bytes()).expect("written");
    r.runs_for(600 * MS);
    let by = begun.elapsed();
    r.peers[link].says(&word("OK", 1));
    r.carries(2);
    assert_within(&r, 2, begun, by);
}

// The list names no server: a request on a new connection is answered all the same, also amid an exit.
#[test_case(false; "while it runs on")]
#[test_case(true; "while it leaves")]
fn no_server_is_listed(leaves: bool) {
    let mut r = Real::new(0, |_| ());
    let mut client = TcpStream::connect(r.at).expect("it listens");
    client.write_all(call("quote", 1).as_bytes()).expect("written");
    r.until("read", |r| r.node.borrow().open_counts().requests == 1);
    if leaves {
        r.leaves();
    }
    r.until("ended", |r| r.node.borrow().open_counts().requests == 0);
    r.leaves();
    let answer = r.rest(client);
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
}

// A request has more time than the platform leaves a process that is told to leave: it is answered before
// that process is killed, 3.7 s after SIGTERM, whether it is held or out at a server.
#[test_case(0, "quote", "503"; "held")]
#[test_case(1, "quote", "503"; "out, and may be repeated")]
#[test_case(1, "confirm", "502"; "out, and may not be")]
fn a_deadline_beyond_the_kill(servers: u16, workload: &str, status: &str) {
    let mut r = Real::new(servers, |file| {
        for lane in 0..3 {
            file["settings"]["lanes"][lane]["on-time"] = 7000.0.into();
            file["settings"]["lanes"][lane]["deadline"] = 9000.0.into();
        }
    });
    let mut client = r.client();
    let ask = call(workload, 1).replace("Budget-Ms: 2000", "Budget-Ms: 9000");
    client.write_all(ask.as_bytes()).expect("written");
    if servers > 0 {
        r.carries(1);
    } else {
        r.quiet();
    }
    let told = Instant::now();
    r.leaves();
    let answer = r.rest(client);
    assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{answer}");
    assert!(told.elapsed() < Duration::from_millis(3_700), "answered after {:?}", told.elapsed());
}

// A client goes with the last piece of its body: nobody waits for it.
#[test]
fn hung_up_behind_a_body_in_pieces() {
    let mut r = Real::new(1, |_| ());
    r.served(1);
    let text = call("quote", 2);
    let (head, last) = text.as_bytes().split_at(text.len() - 1);
    let mut client = r.client();
    client.write_all(head).expect("written");
    r.quiet();
    client.write_all(last).expect("written");
    r.hangs_up(client);
    r.until("seen", |r| r.requests_and_clients() == (0, 0));
    assert_eq!(told(&r.ends(), "DO", 2), 0, "nobody waits for it");
}
