//! What a process that shuts down owes its clients, and delivers.
//!
//! Each case runs the node on real sockets: the bad order lies in the kernel before the router looks. The
//! rows of docs/ends.md name these cases.
mod common;
use common::sockets::{SocketNode, big, owed};
use common::*;
use std::cell::RefCell;
use std::io::Write;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

// An answer is in the router's own buffer when the time to end has come.
#[test]
fn a_shutdown_awaits_clients_that_still_take_their_answers() {
    let mut rig = SocketNode::new(1, |_| ());
    let mut client = owed(&mut rig);
    rig.leaves();
    let begun = Instant::now();
    rig.until("1.2 s", |rig| rig.over.get() || begun.elapsed() > Duration::from_millis(1200));
    assert!(!rig.over.get(), "it still owes");
    rig.reads_big(&mut client, 40);
    drop(client);
    rig.until("the end", |rig| rig.over.get());
}

// Bytes that come between the last look at the sockets and the end of the process would turn its close into a
// reset, which takes the rest of the answer along: the connection is ended first, the client's end awaited.
#[test]
fn a_shutdown_with_unread_bytes_delivers_its_answers() {
    let mut rig = SocketNode::new(1, |_| ());
    let mut client = rig.small_client();
    client.write_all(call("quote", 1).as_bytes()).expect("written");
    let connection = rig.carries(1);
    rig.leaves();
    let begun = Instant::now();
    rig.until("1 s", |_| begun.elapsed() > Duration::from_secs(1));
    let mut more = client.try_clone().expect("a descriptor");
    *rig.amid.borrow_mut() = Some(Box::new(move || more.write_all(b"more").expect("it stands")));
    rig.peers[connection].send(&big(1));
    rig.until("the tick", |rig| rig.amid.borrow().is_none());
    rig.quiet();
    let answer = rig.rest(client);
    assert!(answer.starts_with("HTTP/1.1 200") && answer.matches('x').count() == 30_000, "{}", answer.len());
    rig.until("the end", |rig| rig.over.get());
}

// Clients connect and ask between the router's look at the sockets and its tick, up to the one in which it
// stops listening: each is answered.
#[test]
fn a_shutdown_answers_clients_in_the_accept_queue() {
    let mut rig = SocketNode::new(1, |_| ());
    rig.served(1);
    rig.leaves();
    let asked: Rc<RefCell<Vec<TcpStream>>> = Rc::default();
    let (mut next, mut served) = (2, 2);
    while rig.node.borrow().local_address().is_some() || served < next {
        if rig.amid.borrow().is_none() && rig.node.borrow().local_address().is_some() {
            let (at, id, asked) = (rig.at, next, asked.clone());
            *rig.amid.borrow_mut() = Some(Box::new(move || {
                let mut client = TcpStream::connect(at).expect("it listens");
                client.write_all(call("quote", id).as_bytes()).expect("written");
                asked.borrow_mut().push(client);
            }));
            next += 1;
        }
        rig.turn();
        if served as usize - 2 < asked.borrow().len() {
            let connection = rig.carries(served);
            rig.peers[connection].send(&word("OK", served));
            served += 1;
        }
    }
    let asked = asked.take();
    assert!(asked.len() > 10, "{}", asked.len());
    for client in asked {
        let answer = rig.rest(client);
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    rig.until("the end", |rig| rig.over.get());
}

// The one client of a quiet router connects and asks amid the very tick in which the router stops listening:
// nobody else is there, and nothing seems to be owed.
#[test]
fn a_shutdown_answers_a_client_that_connects_in_its_last_tick() {
    let mut rig = SocketNode::new(1, |_| ());
    rig.served(1);
    rig.leaves();
    rig.until("told to, and nobody is there", |rig| {
        rig.process_events.borrow().is_empty() && rig.node.borrow().open_counts().clients == 0
    });
    let at = rig.at;
    let asked: Rc<RefCell<Option<TcpStream>>> = Rc::default();
    let put = asked.clone();
    *rig.amid.borrow_mut() = Some(Box::new(move || {
        let mut client = TcpStream::connect(at).expect("it listens");
        client.write_all(call("quote", 2).as_bytes()).expect("written");
        *put.borrow_mut() = Some(client);
    }));
    rig.stands_still(1_000 * MS);
    rig.until("the tick", |rig| rig.node.borrow().local_address().is_none());
    assert!(!rig.over.get(), "it owes an answer");
    let connection = rig.carries(2);
    rig.peers[connection].send(&word("OK", 2));
    let answer = rig.rest(asked.take().expect("it has connected"));
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    rig.until("the end", |rig| rig.over.get());
}
