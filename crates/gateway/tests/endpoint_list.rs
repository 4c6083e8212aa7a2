//! How messages of the endpoint list change the workers' records.
use applepond::interface::{WorkerId, WorkerStatus, ZoneId};
use applepond_gateway::endpoint_list::{EndpointList, IdleConnection};
use applepond_reactor::ConnectionId;
use test_case::test_case;

fn full(status: &str, started: u64) -> String {
    format!(
        r#"{{"kind":"full","workers":[{{"name":"w","address":"127.0.0.1:9","standing":"{status}",
        "started":{started},"zone":"b","rack":3,"weight":2.5}}]}}"#
    )
}

// Idempotency keys may be shared within a rack, so workers without one must not be placed in a common rack.
#[test]
fn workers_without_a_rack_share_none() {
    let line = r#"{"kind":"full","workers":[{"name":"w","address":"127.0.0.1:9","standing":"ready"},
        {"name":"v","address":"127.0.0.1:8","standing":"ready"}]}"#;
    let update =
        EndpointList::default().read_line(line.replace('\n', "").as_bytes(), &[]).expect("valid line");
    assert_ne!(update.entries[0].rack, update.entries[1].rack);
}

#[test_case("", "invalid JSON"; "empty")]
#[test_case("{\"kind\":\"some\"}", "'kind'"; "kind")]
#[test_case("{\"kind\":\"full\"}", "'workers': not an array"; "no workers")]
#[test_case("{\"kind\":\"full\",\"workers\":[{}]}", "'workers[0]': 'name'"; "no name")]
#[test_case(&full("tired", 0), "'standing': worker w"; "standing")]
#[test_case("{\"kind\":\"full\",\"workers\":[{\"name\":\"w\",\"address\":\"here\"}]}", "'address': worker w";
"address")]
fn an_invalid_line_changes_nothing(line: &str, message: &str) {
    let mut list = EndpointList::default();
    list.read_line(full("ready", 7).as_bytes(), &[]).expect("valid line");
    let error = list.read_line(line.as_bytes(), &[]).expect_err("invalid line");
    assert!(error.to_string().contains(message), "{error}");
    assert_eq!(list.iter().next().map(|(_, w)| w.status), Some(WorkerStatus::Ready));
}

#[test_case(&full("ready", 7), false, Some(WorkerStatus::Ready); "unchanged")]
#[test_case(&full("ready", 8), true, Some(WorkerStatus::Ready); "restarted")]
#[test_case(&full("draining", 7), true, Some(WorkerStatus::Draining); "draining")]
#[test_case("{\"kind\":\"full\",\"workers\":[]}", true, None; "missing from a full list")]
#[test_case("{\"kind\":\"changes\",\"workers\":[]}", false, Some(WorkerStatus::Ready); "no change")]
fn idle_connections_to_a_replaced_or_draining_process_are_aborted(
    line: &str,
    aborted: bool,
    status: Option<WorkerStatus>,
) {
    let mut list = EndpointList::default();
    let zones = ["a".to_owned(), "b".to_owned()];
    let update = list.read_line(full("ready", 7).as_bytes(), &zones).expect("valid line");
    let first = &update.entries[0];
    assert_eq!((first.up_since, first.zone, first.rack.0, first.weight), (7000, Some(ZoneId(1)), 3, 2.5));
    let id = WorkerId::named("w");
    list.get_mut(id).expect("known").idle.push(IdleConnection { conn: ConnectionId(5), since: 0 });
    let update = list.read_line(line.as_bytes(), &zones).expect("valid line");
    assert_eq!(update.disconnect, if aborted { vec![ConnectionId(5)] } else { vec![] });
    assert_eq!(list.get(id).map(|w| w.status), status);
}

fn list_of(kind: &str, status: &str, names: std::ops::Range<u32>) -> Vec<u8> {
    let worker = |n| format!(r#"{{"name":"w{n}","address":"127.0.0.1:9","standing":"{status}"}}"#);
    let workers: Vec<String> = names.map(worker).collect();
    format!(r#"{{"kind":"{kind}","workers":[{}]}}"#, workers.join(",")).into_bytes()
}

// The design size of 30,000 workers must be accepted, also when a full list replaces another one that
// differs.
#[test]
fn a_list_of_thirty_thousand_workers_replaces_another() {
    let mut list = EndpointList::default();
    list.read_line(&list_of("full", "ready", 0..30_000), &[]).expect("valid line");
    list.read_line(&list_of("full", "ready", 10_000..40_000), &[]).expect("valid line");
    assert_eq!(list.iter().count(), 30_000);
    assert!(list.get(WorkerId::named("w9999")).is_none());
    let error = list.read_line(&list_of("full", "ready", 0..60_001), &[]).expect_err("too many workers");
    assert!(error.to_string().contains("too many workers: 60001, limit is 60000"), "{error}");
}

// The record of a gone worker is kept while attempts are in flight, and dropped with the next message after
// that.
#[test]
fn a_gone_worker_is_dropped_once_nothing_is_in_flight() {
    let mut list = EndpointList::default();
    list.read_line(&list_of("full", "ready", 0..3), &[]).expect("valid line");
    let id = WorkerId::named("w1");
    list.get_mut(id).expect("known").in_flight = 1;
    list.read_line(&list_of("changes", "gone", 0..2), &[]).expect("valid line");
    assert!(list.get(WorkerId::named("w0")).is_none());
    assert_eq!(list.get(id).map(|w| w.status), Some(WorkerStatus::Gone));
    list.read_line(&list_of("changes", "ready", 1..2), &[]).expect("valid line");
    list.get_mut(id).expect("listed again").in_flight = 0;
    list.read_line(&list_of("changes", "ready", 5..6), &[]).expect("valid line");
    assert_eq!(list.get(id).map(|w| w.status), Some(WorkerStatus::Ready));
    list.read_line(&list_of("changes", "gone", 1..2), &[]).expect("valid line");
    assert!(list.get(id).is_none());
}
