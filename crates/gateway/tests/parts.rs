//! Cases of single modules of this package.

mod attempt_outcome {
    use applepond::interface::Outcome;
    use applepond_gateway::attempt_outcome::{
        SendProgress, from_response, may_resend, on_disconnect, send_progress,
    };
    use applepond_reactor::Closed;
    use test_case::test_case;

    #[test_case(false, 0, 0, Outcome::ConnectFailed; "never open")]
    #[test_case(true, 0, 0, Outcome::ConnectFailed; "open, nothing written")]
    #[test_case(true, 700, 700, Outcome::ConnectFailed; "kept, nothing of this one written")]
    #[test_case(true, 700, 701, Outcome::ConnectionLost; "kept, one byte written")]
    #[test_case(true, 0, 9000, Outcome::ConnectionLost; "all written")]
    fn ends(open: bool, before: u64, sent: u64, want: Outcome) {
        assert_eq!(on_disconnect(send_progress(open, before, sent)), want);
    }

    #[test_case(SendProgress::NothingSent, true, Closed::Reset, true; "kept and closed meanwhile")]
    #[test_case(SendProgress::NothingSent, false, Closed::Reset, false;
        "a new one: the worker is in trouble")]
    #[test_case(SendProgress::Sent, true, Closed::Reset, false; "a byte has left: it may have run")]
    #[test_case(SendProgress::NotConnected, false, Closed::Never, false; "refused")]
    fn once_more(progress: SendProgress, kept: bool, why: Closed, want: bool) {
        assert_eq!(may_resend(progress, kept, why), want);
    }

    #[test_case(200, None, true, Outcome::Finished; "finished")]
    #[test_case(200, None, false, Outcome::Error; "garbage with a good status")]
    #[test_case(503, Some("full"), false, Outcome::Overloaded; "full, by the worker's own mark")]
    #[test_case(503, None, false, Outcome::Error; "503 of who knows whom proves nothing")]
    #[test_case(404, Some("missing"), false, Outcome::NotLoaded; "missing")]
    #[test_case(404, None, false, Outcome::Error; "404 without the mark")]
    #[test_case(500, Some("full"), false, Outcome::Error; "a mark that does not fit its status")]
    fn answers(status: u16, mark: Option<&str>, event: bool, want: Outcome) {
        assert_eq!(from_response(status, mark, event), want);
    }
}

mod endpoint_list {
    use applepond_gateway::endpoint_list::{EndpointList, IdleConnection};

    use applepond::interface::{WorkerId, WorkerStatus, ZoneId};
    use applepond_reactor::Conn;

    use test_case::test_case;

    fn full(standing: &str, started: u64) -> String {
        format!(
            r#"{{"kind":"full","workers":[{{"name":"w","address":"127.0.0.1:9","standing":"{standing}",
            "started":{started},"zone":"b","rack":3,"weight":2.5}}]}}"#
        )
    }

    // Whose rack is not told, shares with nobody what it has seen.
    #[test]
    fn workers_without_racks() {
        let line = r#"{"kind":"full","workers":[{"name":"w","address":"127.0.0.1:9","standing":"ready"},
            {"name":"v","address":"127.0.0.1:8","standing":"ready"}]}"#;
        let taken =
            EndpointList::default().read_line(line.replace('\n', "").as_bytes(), &[]).expect("a good line");
        assert_ne!(taken.entries[0].rack, taken.entries[1].rack);
    }

    #[test_case("", "no JSON"; "empty")]
    #[test_case("{\"kind\":\"some\"}", "'kind'"; "kind")]
    #[test_case("{\"kind\":\"full\"}", "'workers': no array"; "no workers")]
    #[test_case("{\"kind\":\"full\",\"workers\":[{}]}", "'workers[0]': 'name'"; "no name")]
    #[test_case(&full("tired", 0), "'standing': w"; "standing")]
    #[test_case("{\"kind\":\"full\",\"workers\":[{\"name\":\"w\",\"address\":\"here\"}]}", "'address': w";
    "address")]
    fn a_line_that_cannot_be_read_changes_nothing(line: &str, why: &str) {
        let mut hosts = EndpointList::default();
        hosts.read_line(full("ready", 7).as_bytes(), &[]).expect("a good line");
        let fault = hosts.read_line(line.as_bytes(), &[]).expect_err("a fault");
        assert!(fault.to_string().contains(why), "{fault}");
        assert_eq!(hosts.iter().next().map(|(_, w)| w.status), Some(WorkerStatus::Ready));
    }

    #[test_case(&full("ready", 7), false, Some(WorkerStatus::Ready); "the same again")]
    #[test_case(&full("ready", 8), true, Some(WorkerStatus::Ready); "restarted")]
    #[test_case(&full("draining", 7), true, Some(WorkerStatus::Draining); "draining")]
    #[test_case("{\"kind\":\"full\",\"workers\":[]}", true, None; "left out of a full list")]
    #[test_case("{\"kind\":\"changes\",\"workers\":[]}", false, Some(WorkerStatus::Ready); "no change")]
    fn idle_connections_go_with_what_they_led_to(line: &str, cut: bool, standing: Option<WorkerStatus>) {
        let mut hosts = EndpointList::default();
        let zones = ["a".to_owned(), "b".to_owned()];
        let taken = hosts.read_line(full("ready", 7).as_bytes(), &zones).expect("a good line");
        let first = &taken.entries[0];
        assert_eq!((first.up_since, first.zone, first.rack.0, first.weight), (7000, Some(ZoneId(1)), 3, 2.5));
        let id = WorkerId::named("w");
        hosts.get_mut(id).expect("known").idle.push(IdleConnection { conn: Conn(5), since: 0 });
        let taken = hosts.read_line(line.as_bytes(), &zones).expect("a good line");
        assert_eq!(taken.disconnect, if cut { vec![Conn(5)] } else { vec![] });
        assert_eq!(hosts.get(id).map(|w| w.status), standing);
    }

    fn many(kind: &str, standing: &str, names: std::ops::Range<u32>) -> Vec<u8> {
        let worker = |n| format!(r#"{{"name":"w{n}","address":"127.0.0.1:9","standing":"{standing}"}}"#);
        let workers: Vec<String> = names.map(worker).collect();
        format!(r#"{{"kind":"{kind}","workers":[{}]}}"#, workers.join(",")).into_bytes()
    }

    // The size of the fleet ahead is no fault, also when a whole list replaces another.
    #[test]
    fn thirty_thousand_workers() {
        let mut hosts = EndpointList::default();
        hosts.read_line(&many("full", "ready", 0..30_000), &[]).expect("a good line");
        hosts.read_line(&many("full", "ready", 10_000..40_000), &[]).expect("a good line");
        assert_eq!(hosts.iter().count(), 30_000);
        assert!(hosts.get(WorkerId::named("w9999")).is_none());
        let fault = hosts.read_line(&many("full", "ready", 0..60_001), &[]).expect_err("more than a fleet");
        assert!(fault.to_string().contains("60001 workers; 60000"), "{fault}");
    }

    // One that is gone stays while something is out there, and goes with the next message once nothing is.
    #[test]
    fn gone_with_something_out() {
        let mut hosts = EndpointList::default();
        hosts.read_line(&many("full", "ready", 0..3), &[]).expect("a good line");
        let id = WorkerId::named("w1");
        hosts.get_mut(id).expect("known").in_flight = 1;
        hosts.read_line(&many("changes", "gone", 0..2), &[]).expect("a good line");
        assert!(hosts.get(WorkerId::named("w0")).is_none());
        assert_eq!(hosts.get(id).map(|w| w.status), Some(WorkerStatus::Gone));
        hosts.read_line(&many("changes", "ready", 1..2), &[]).expect("a good line");
        hosts.get_mut(id).expect("it came back").in_flight = 0;
        hosts.read_line(&many("changes", "ready", 5..6), &[]).expect("a good line");
        assert_eq!(hosts.get(id).map(|w| w.status), Some(WorkerStatus::Ready));
        hosts.read_line(&many("changes", "gone", 1..2), &[]).expect("a good line");
        assert!(hosts.get(id).is_none());
    }
}
