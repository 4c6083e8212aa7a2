//! Shutdown: all clients are answered, and their responses are delivered.
//!
//! Each test runs the node on real sockets and brings events into an unfavourable order in the kernel before
//! the router polls. docs/ends.md lists these tests by name.
mod common;
use common::sockets::{SocketNode, client_with_unread_answers, large_answer};
use common::*;
use std::cell::RefCell;
use std::io::Write;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

// A response is still in the router's buffer when the grace period is over. The node waits for the client.
#[test]
fn a_shutdown_awaits_clients_that_still_take_their_answers() {
    let mut rig = SocketNode::new(1, |_| ());
    let mut client = client_with_unread_answers(&mut rig);
    rig.shut_down();
    let begun = Instant::now();
    rig.wait_until("1.2 s", |rig| rig.exited.get() || begun.elapsed() > Duration::from_millis(1200));
    assert!(!rig.exited.get(), "responses are still undelivered");
    rig.read_large_answers(&mut client, 40);
    drop(client);
    rig.wait_until("exit", |rig| rig.exited.get());
}

// If bytes arrive between the last poll of the sockets and the exit, closing the socket causes a reset, which
// discards the rest of the response. The router must shut down its side first and wait for the client's
// close.
#[test]
fn a_shutdown_with_unread_bytes_delivers_its_answers() {
    let mut rig = SocketNode::new(1, |_| ());
    let mut client = rig.small_client();
    client.write_all(call("quote", 1).as_bytes()).expect("written");
    let connection = rig.connection_of(1);
    rig.shut_down();
    let begun = Instant::now();
    rig.wait_until("1 s", |_| begun.elapsed() > Duration::from_secs(1));
    let mut more = client.try_clone().expect("a descriptor");
    *rig.on_tick.borrow_mut() = Some(Box::new(move || more.write_all(b"more").expect("open connection")));
    rig.peers[connection].send(&large_answer(1));
    rig.wait_until("tick", |rig| rig.on_tick.borrow().is_none());
    rig.settle();
    let answer = rig.read_to_end(client);
    assert!(answer.starts_with("HTTP/1.1 200") && answer.matches('x').count() == 30_000, "{}", answer.len());
    rig.wait_until("exit", |rig| rig.exited.get());
}

// Clients connect and send requests between the router's poll of the sockets and its tick, up to the tick in
// which it stops listening. All of them must be answered.
#[test]
fn a_shutdown_answers_clients_in_the_accept_queue() {
    let mut rig = SocketNode::new(1, |_| ());
    rig.complete_request(1);
    rig.shut_down();
    let clients: Rc<RefCell<Vec<TcpStream>>> = Rc::default();
    let (mut next, mut served) = (2, 2);
    while rig.node.borrow().local_address().is_some() || served < next {
        if rig.on_tick.borrow().is_none() && rig.node.borrow().local_address().is_some() {
            let (at, id, clients) = (rig.address, next, clients.clone());
            *rig.on_tick.borrow_mut() = Some(Box::new(move || {
                let mut client = TcpStream::connect(at).expect("the node listens");
                client.write_all(call("quote", id).as_bytes()).expect("written");
                clients.borrow_mut().push(client);
            }));
            next += 1;
        }
        rig.turn();
        if served as usize - 2 < clients.borrow().len() {
            let connection = rig.connection_of(served);
            rig.peers[connection].send(&answer_line("OK", served));
            served += 1;
        }
    }
    let clients = clients.take();
    assert!(clients.len() > 10, "{}", clients.len());
    for client in clients {
        let answer = rig.read_to_end(client);
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    rig.wait_until("exit", |rig| rig.exited.get());
}

// The only client of an idle router connects and sends a request during the tick in which the router stops
// listening, when no request or client is known to the router.
#[test]
fn a_shutdown_answers_a_client_that_connects_in_its_last_tick() {
    let mut rig = SocketNode::new(1, |_| ());
    rig.complete_request(1);
    rig.shut_down();
    rig.wait_until("shutdown requested, and no clients", |rig| {
        rig.process_events.borrow().is_empty() && rig.node.borrow().open_counts().clients == 0
    });
    let at = rig.address;
    let last_client: Rc<RefCell<Option<TcpStream>>> = Rc::default();
    let slot = last_client.clone();
    *rig.on_tick.borrow_mut() = Some(Box::new(move || {
        let mut client = TcpStream::connect(at).expect("the node listens");
        client.write_all(call("quote", 2).as_bytes()).expect("written");
        *slot.borrow_mut() = Some(client);
    }));
    rig.pause(1_000 * MS);
    rig.wait_until("tick", |rig| rig.node.borrow().local_address().is_none());
    assert!(!rig.exited.get(), "a response is pending");
    let connection = rig.connection_of(2);
    rig.peers[connection].send(&answer_line("OK", 2));
    let answer = rig.read_to_end(last_client.take().expect("the client has connected"));
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    rig.wait_until("exit", |rig| rig.exited.get());
}
