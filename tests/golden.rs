//! Pins name digests and the hash order. Routers of two versions that disagree on them would not share the
//! workers' caches.
mod common;
use applepond::interface::*;
use common::*;

const NAMES: [&str; 5] = ["", "hut", "hut-labska", "server.0", "a-longer-name/of-a-function:7"];

#[test]
fn names_keep_their_digests() {
    let line =
        |name: &&str| format!("{name:?} {:016x} {:016x}", WorkerId::named(name).0, FunctionId::named(name).0);
    let lines: Vec<String> = NAMES.iter().map(line).collect();
    insta::assert_snapshot!("digests", lines.join("\n"));
}

#[test]
fn functions_keep_their_first_workers() {
    let lines: Vec<String> =
        (0..40).map(|n| format!("hut-{n} {}", first_workers(&format!("hut-{n}")))).collect();
    insta::assert_snapshot!("first_workers", lines.join("\n"));
}

/// The first four workers in a function's hash order, among twenty workers of three weights. Each is
/// removed once it has been found to be the home.
fn first_workers(function: &str) -> String {
    let weighted =
        |n: u64| Endpoint { weight: [1.0, 0.5, 2.25][n as usize % 3], ..endpoint(n, WorkerStatus::Ready, 0) };
    let mut router = TestRouter::new(config(RetrySafety::Idempotent), 0);
    router.update_endpoints(&(0..20).map(weighted).collect::<Vec<_>>());
    let mut first = Vec::new();
    for n in 0..4 {
        router.request_arrives(n, function, 5000 * MS);
        let home = router.sent_to(n)[0];
        router.attempt_ends(n, 0, &attempt_result(Outcome::Finished));
        let place = (0..20).find(|n| worker(*n) == home).expect("a listed worker");
        router.update_endpoints(&[Endpoint { status: WorkerStatus::Gone, ..weighted(place) }]);
        first.push(place.to_string());
    }
    first.join(" ")
}
