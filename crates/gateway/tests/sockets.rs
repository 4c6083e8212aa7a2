//! A gateway on loopback sockets, with fake workers and clients in the same reactor.
mod common;

use applepond_fakes::client::{Client, PlannedRequest, RequestOutcome, Results};
use applepond_fakes::ledger::{Ledger, Observation};
use applepond_fakes::worker::{Behaviour, ScriptEvent, Worker, WorkerConfig};
use applepond_gateway::Gateway;
use applepond_reactor::{Micros, Reactor};
use common::{MS, S};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use test_case::test_case;

/// Limit of reactor turns, of at most 10 ms each, after which a test that waits for a condition fails.
const MAX_TURNS: usize = 3_000;

struct Fleet {
    reactor: Reactor,
    gateway: SocketAddr,
    ledger: Ledger,
}

fn worker_config(n: u16, listen: SocketAddr) -> WorkerConfig {
    WorkerConfig {
        name: Rc::from(format!("w{n}")),
        listen,
        rack: 0,
        cores: 64,
        memory_mb: 1_000,
        max_waiting: 1_000,
        store: None,
        load_time: 20 * MS,
        idle_unload_time: 10 * S,
        cold_share: 1.0,
        warmup_time: 0,
        overload_factor: f64::INFINITY,
        overload_window: S,
        dedup_window: 3 * S,
        seed: 1,
        prefix_units: 400,
        prepare_time_per_unit: 1_000,
    }
}

/// Starts a gateway and fake workers, each of which follows the script `turns`.
fn fleet(workers: u16, turns: &[(Micros, ScriptEvent)]) -> Fleet {
    let mut reactor = Reactor::new().expect("epoll");
    let ledger = Ledger::default();
    let mut deployment = common::deployment(workers);
    deployment.listen = "127.0.0.1:0".parse().expect("an address");
    deployment.max_clients = 5_000;
    deployment.startup.customers[0].requests_per_second = 100_000.0;
    deployment.workloads.iter_mut().for_each(|w| w.default_function.concurrency = 64);
    let begin = reactor.now();
    for (n, worker) in deployment.workers.iter_mut().enumerate() {
        let free_address = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr());
        worker.address = free_address.expect("a free port");
        let script = turns.iter().map(|(at, turn)| (begin + at, *turn)).collect();
        let config = worker_config(n as u16, worker.address);
        reactor.add(Box::new(Worker::new(config, script, ledger.clone(), Rc::default())));
    }
    let address = Rc::new(Cell::new(None));
    let bound_address = address.clone();
    let gateway = Gateway::new(reactor.now(), deployment, Box::new(move |a| bound_address.set(Some(a))));
    reactor.add(Box::new(gateway));
    Fleet { reactor, gateway: address.get().expect("it listens"), ledger }
}

/// Runs the reactor until `done` returns true.
fn run_until(reactor: &mut Reactor, mut done: impl FnMut() -> bool) {
    for _ in 0..MAX_TURNS {
        if done() {
            return;
        }
        reactor.turn(Duration::from_millis(10)).expect("a turn");
    }
    panic!("the condition was not met within {MAX_TURNS} turns");
}

/// Counts requests by their outcome.
fn outcomes(results: &Results) -> BTreeMap<RequestOutcome, usize> {
    let mut outcomes = BTreeMap::new();
    results.outcomes.iter().for_each(|(got, _)| *outcomes.entry(*got).or_default() += 1);
    outcomes
}

fn planned_request(at: Micros, n: usize, kind: &'static str) -> PlannedRequest {
    PlannedRequest {
        at,
        source: "/desk".into(),
        id: n.to_string(),
        event_type: kind,
        function: format!("hut-{}", n % 8),
        customer: "huts",
        work_ms: 1,
        timeout: 4 * S,
        latency_target: 2 * S,
        idempotent: kind == "quote",
        keyed: kind == "hold",
        structured: n.is_multiple_of(2),
        router: 0,
        max_attempts: 1,
        sticky_retry_delay: None,
        ignores_retry_after: false,
        duplicate_after: None,
        disconnect_after: None,
        prefix: None,
        follow_up: None,
    }
}

// A thousand clients connect at the same time and send one request each: each gets exactly one answer.
#[test]
fn a_thousand_clients_at_once_are_answered() {
    let mut fleet = fleet(8, &[]);
    let at = fleet.reactor.now() + 50 * MS;
    let plan = (0..1_000).map(|n| planned_request(at, n, "quote")).collect();
    let routers = Rc::new(RefCell::new(vec![fleet.gateway]));
    let (client, results) = Client::new(plan, routers, fleet.ledger.clone());
    fleet.reactor.add(Box::new(client));
    run_until(&mut fleet.reactor, || results.borrow().done == 1_000);
    fleet.ledger.read(|seen| {
        let count = |what: fn(&Observation) -> bool| seen.iter().filter(|(_, saw)| what(saw)).count();
        assert_eq!(count(|s| matches!(s, Observation::RequestSent { .. })), 1_000);
        assert_eq!(count(|s| matches!(s, Observation::ResponseReceived { .. })), 1_000);
        assert_eq!(
            count(|s| matches!(
                s,
                Observation::UnexpectedBytes { .. }
                    | Observation::ConnectionLost { .. }
                    | Observation::ClientTimedOut { .. }
            )),
            0
        );
    });
    let outcomes = outcomes(&results.borrow());
    let ok = outcomes.get(&RequestOutcome::Finished).unwrap_or(&0)
        + outcomes.get(&RequestOutcome::Late).unwrap_or(&0);
    assert!(
        ok >= 500 && ok + outcomes.get(&RequestOutcome::PushedBack).unwrap_or(&0) == 1_000,
        "{outcomes:?}"
    );
}

// Whether workers cut responses, hang, fail or send garbage, an at-most-once request is begun at most once
// and gets one answer.
#[test_case(Behaviour::CutAnswers, &[RequestOutcome::Killed, RequestOutcome::PushedBack]; "cut")]
#[test_case(Behaviour::Garbage, &[RequestOutcome::Killed, RequestOutcome::PushedBack]; "garbage")]
#[test_case(Behaviour::FailFast(1.0), &[RequestOutcome::Killed, RequestOutcome::PushedBack]; "fail")]
#[test_case(Behaviour::Hang, &[RequestOutcome::Killed, RequestOutcome::PushedBack]; "hang")]
#[test_case(Behaviour::TwoAnswers, &[RequestOutcome::Finished, RequestOutcome::PushedBack]; "two answers")]
#[test_case(Behaviour::RefuseAll, &[RequestOutcome::PushedBack, RequestOutcome::PushedBack]; "full")]
fn no_at_most_once_request_runs_twice_among_failing_workers(mood: Behaviour, allowed: &[RequestOutcome]) {
    let mut fleet = fleet(3, &[(0, ScriptEvent::SetBehaviour(mood))]);
    let at = fleet.reactor.now() + 50 * MS;
    let plan = (0..40).map(|n| planned_request(at + n as Micros * 5 * MS, n, "confirm")).collect();
    let (client, results) =
        Client::new(plan, Rc::new(RefCell::new(vec![fleet.gateway])), fleet.ledger.clone());
    fleet.reactor.add(Box::new(client));
    run_until(&mut fleet.reactor, || results.borrow().done == 40);
    fleet.ledger.read(|seen| {
        for n in 0..40 {
            let event = format!("/desk {n}");
            let began = seen
                .iter()
                .filter(|(_, s)| matches!(s, Observation::RequestStarted { event: e, .. } if **e == *event))
                .count();
            assert!(began <= 1, "{event} began {began} times");
        }
    });
    let outcomes = outcomes(&results.borrow());
    assert!(outcomes.keys().all(|got| allowed.contains(got)), "{outcomes:?}");
}

// A worker dies while it runs idempotent requests: they are retried on the other worker.
#[test]
fn idempotent_requests_of_a_dead_worker_are_answered_by_another() {
    let mut fleet = fleet(2, &[]);
    let at = fleet.reactor.now() + 50 * MS;
    let requests =
        (0..20).map(|n| PlannedRequest { work_ms: 200, ..planned_request(at, n, "quote") }).collect();
    let (client, results) =
        Client::new(requests, Rc::new(RefCell::new(vec![fleet.gateway])), fleet.ledger.clone());
    fleet.reactor.add(Box::new(client));
    let ledger = fleet.ledger.clone();
    run_until(&mut fleet.reactor, || {
        ledger.read(|s| s.iter().any(|(_, s)| matches!(s, Observation::RequestStarted { .. })))
    });
    // The first machine added is the first worker.
    fleet.reactor.remove(0);
    run_until(&mut fleet.reactor, || results.borrow().done == 20);
    let outcomes = outcomes(&results.borrow());
    let ok = outcomes.get(&RequestOutcome::Finished).unwrap_or(&0)
        + outcomes.get(&RequestOutcome::Late).unwrap_or(&0);
    assert!(ok >= 15 && !outcomes.contains_key(&RequestOutcome::Broken), "{outcomes:?}");
}

// Clients that send one byte at a time, and clients that never read, do not affect other clients.
#[test]
fn slow_clients_do_not_delay_others() {
    let mut fleet = fleet(2, &[]);
    let mut slow: Vec<TcpStream> =
        (0..50).map(|_| TcpStream::connect(fleet.gateway).expect("connects")).collect();
    let mut not_reading: Vec<TcpStream> =
        (0..50).map(|_| TcpStream::connect(fleet.gateway).expect("connects")).collect();
    for (n, stream) in not_reading.iter_mut().enumerate() {
        stream.write_all(common::event("quote", &format!("not-reading-{n}")).as_bytes()).expect("written");
    }
    let at = fleet.reactor.now() + 50 * MS;
    let plan = (0..100).map(|n| planned_request(at + n as Micros * 5 * MS, n, "quote")).collect();
    let (client, results) =
        Client::new(plan, Rc::new(RefCell::new(vec![fleet.gateway])), fleet.ledger.clone());
    fleet.reactor.add(Box::new(client));
    let event = common::event("quote", "slow");
    let mut bytes = event.bytes();
    run_until(&mut fleet.reactor, || {
        if let Some(byte) = bytes.next() {
            slow.iter_mut().for_each(|s| s.write_all(&[byte]).expect("written"));
        }
        results.borrow().done == 100
    });
    assert_eq!(outcomes(&results.borrow()), [(RequestOutcome::Finished, 100)].into());
}

#[test]
fn an_event_is_answered_over_real_sockets() {
    let mut fleet = fleet(1, &[]);
    let mut stream = TcpStream::connect(fleet.gateway).expect("connects");
    stream.set_nonblocking(true).expect("set");
    stream
        .write_all(common::event("quote", "1").replace("Host: a", "Host: a\r\nConnection: close").as_bytes())
        .expect("written");
    let mut answer = Vec::new();
    let mut buffer = [0; 4096];
    run_until(&mut fleet.reactor, || match stream.read(&mut buffer) {
        Ok(0) => true,
        Ok(n) => {
            answer.extend_from_slice(&buffer[..n]);
            false
        }
        Err(_) => false,
    });
    let answer = String::from_utf8_lossy(&answer);
    assert!(answer.starts_with("HTTP/1.1 200 OK") && answer.contains("ce-source: /workers/w0"), "{answer}");
}
