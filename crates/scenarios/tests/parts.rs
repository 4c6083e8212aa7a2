//! Tests of single modules of this package.

mod audit {
    use applepond_fakes::ledger::Observation;
    use applepond_reactor::Micros;
    use applepond_scenarios::audit::{Effect, Outage, Terms, judge};

    use std::rc::Rc;
    use test_case::test_case;

    const S: Micros = 1_000_000;

    fn name(text: &str) -> Rc<str> {
        Rc::from(text)
    }

    fn received(event: &str, rack: i64) -> Observation {
        Observation::RequestReceived { worker: name("w"), rack, router: 0, event: name(event) }
    }

    fn started(event: &str) -> Observation {
        Observation::RequestStarted { worker: name("w"), event: name(event) }
    }

    fn sent(event: &str) -> Observation {
        Observation::RequestSent { exchange: 1, router: 0, event: name(event), deadline: 4 * S }
    }

    fn notified(ready: bool) -> Observation {
        Observation::EndpointSent { router: 0, worker: name("w"), ready, started_ms: 1 }
    }

    fn response(status: u16) -> Observation {
        Observation::ResponseReceived { exchange: 1, status }
    }

    fn overloaded() -> Observation {
        Observation::WorkerOverloaded { worker: name("w"), routers: vec![0, 0, 1] }
    }

    // Ledgers that break exactly one rule, next to similar ledgers that break none.
    #[test_case(vec![(0, sent("q")), (S, response(200))], None; "answered")]
    #[test_case(vec![(0, sent("q")), (S, response(200)), (S, response(200))], Some(1); "answered twice")]
    #[test_case(vec![(0, sent("q")), (S, response(200)), (S, Observation::UnexpectedBytes { exchange: 1 })],
        Some(1); "stray")]
    #[test_case(vec![(0, sent("q")), (5 * S, response(200))], Some(1); "too late")]
    #[test_case(vec![(0, sent("q")), (S, Observation::ConnectionLost { exchange: 1 })], Some(1); "cut")]
    #[test_case(vec![(0, sent("q")), (5 * S, Observation::ClientTimedOut { exchange: 1 })],
        Some(1); "never answered")]
    #[test_case(vec![(0, sent("q"))], Some(1); "left open")]
    #[test_case(vec![(0, sent("q")), (S, Observation::ClientLeft { exchange: 1 })], None; "client left")]
    #[test_case(vec![(9 * S, sent("q")), (9 * S, Observation::ConnectionLost { exchange: 1 })], None;
        "cut by the scenario's kill")]
    #[test_case(vec![(0, received("q", 1)), (1, started("q")), (2, received("q", 2)), (3, started("q"))],
        None; "idempotent twice")]
    #[test_case(vec![(0, received("c", 1)), (1, started("c")), (2, received("c", 1)), (3, started("c"))],
        Some(2); "at-most-once twice")]
    #[test_case(vec![(0, received("h", 1)), (1, started("h")), (2, received("h", 1)), (3, started("h"))],
        None; "keyed again in its rack")]
    #[test_case(vec![(0, received("h", 1)), (1, started("h")), (2, received("h", 2)), (3, started("h"))],
        Some(2); "keyed in another rack")]
    #[test_case(vec![(0, received("h", 1)), (1, started("h")), (4 * S, received("h", 1)),
        (4 * S, started("h"))],
        Some(2); "keyed after its window")]
    #[test_case(vec![(0, sent("c")), (1, received("c", 1)), (2, started("c")), (3, response(503))], Some(2);
        "rejected after it started")]
    #[test_case(vec![(0, sent("c")), (1, received("c", 1)), (3, response(503))],
        None; "rejected before it started")]
    #[test_case(vec![(0, notified(false)), (S, received("q", 1))], None; "within the grace")]
    #[test_case(vec![(0, notified(false)), (3 * S, received("q", 1))], Some(3); "past the grace")]
    #[test_case(vec![(0, notified(false)), (S, notified(false)), (2 * S + S / 2, received("q", 1))], Some(3);
        "notified again, the first notice counts")]
    #[test_case(vec![(0, notified(false)), (S, notified(true)), (3 * S, received("q", 1))],
        None; "ready again")]
    #[test_case(vec![(0, Observation::WorkerStarted { worker: name("w") }), (1, notified(true)),
        (2, overloaded())], Some(4); "overloaded")]
    #[test_case(vec![(0, notified(true)), (1, Observation::WorkerStarted { worker: name("w") }),
        (2, overloaded())], None; "overloaded before any router was notified of its start")]
    fn each_ledger_breaks_its_rule_only(ledger: Vec<(Micros, Observation)>, rule: Option<u8>) {
        let effects = [("q", Effect::Idempotent), ("h", Effect::Keyed), ("c", Effect::AtMostOnce)];
        let terms = Terms {
            grace: 2 * S,
            dedup_window: 3 * S,
            effects: effects.into_iter().map(|(n, e)| (name(n), e)).collect(),
            outages: vec![Outage { router: 0, from: 9 * S, until: 10 * S }],
            end: Micros::MAX,
        };
        let ledger: Vec<_> = ledger;
        let mut verdict = judge(&ledger, &terms);
        if rule != Some(1) {
            // These ledgers end before the responses.
            verdict.broken.remove(&1);
        }
        let rules: Vec<u8> = verdict.broken.keys().copied().collect();
        assert_eq!(rules, rule.into_iter().collect::<Vec<_>>(), "{:?}", verdict.broken);
    }
}

mod chart {
    use applepond_scenarios::chart::draw;
    use applepond_scenarios::retry_storm::Report;

    #[test]
    fn the_chart_shows_all_runs_and_the_cut() {
        let report = Report { seconds: vec![(10, 9, 20); 30], cut: (5, 12), ..Report::default() };
        let text = draw(&[("damping on", &report), ("damping off", &report)]).expect("a chart");
        assert!(text.contains("<svg") && text.contains("damping on") && text.contains("damping off"));
        assert!(text.matches("<polyline").count() >= 4, "two panels of two lines");
    }
}

mod faulty_network {
    use applepond_scenarios::faulty_network::FaultyNetwork;

    use std::io::{Read, Write};
    use std::net::{SocketAddr, TcpListener, TcpStream};

    use std::time::Duration;

    // A cut must affect one direction only, and bytes held back on a connection must arrive after it.
    #[test]
    fn a_cut_affects_one_direction_and_delays_bytes() {
        let network = FaultyNetwork::new(1).expect("a socket");
        let server = TcpListener::bind("127.0.0.1:0").expect("a port");
        let to = server.local_addr().expect("bound");
        let from = SocketAddr::from(([127, 0, 0, 9], 1));
        let mut near = TcpStream::connect(network.connection(from, to).expect("a port")).expect("it listens");
        let (mut far, _) = server.accept().expect("a connection");
        network.faults().cut.insert((to, from));
        (near.write_all(b"there"), far.write_all(b"back!")).0.expect("it reads");
        let mut got = [0; 5];
        far.read_exact(&mut got).expect("the other direction works");
        assert_eq!(&got, b"there");
        near.set_read_timeout(Some(Duration::from_millis(50))).expect("a time");
        assert!(near.read_exact(&mut got).is_err(), "nothing arrives during the cut");
        network.faults().cut.clear();
        near.set_read_timeout(Some(Duration::from_secs(10))).expect("a time");
        near.read_exact(&mut got).expect("after the cut");
        assert_eq!(&got, b"back!");
    }
}
