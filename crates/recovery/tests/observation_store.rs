//! The worker history that is restored after a restart, and the drains that stay in effect.
use applepond::interface::{FunctionId, Micros, WorkerHistory, WorkerId, WorkerStatus};
use applepond_recovery::{Fact, FactKey, FactKind, ObservationStore};
use test_case::test_case;

const S: Micros = 1_000_000;
const WORKER: WorkerId = WorkerId(7);

fn fact(kind: FactKind, value: f32, age: Micros) -> Fact {
    Fact { key: FactKey { kind, subject: WORKER.0, incarnation: 5 }, value, age }
}

#[test]
fn worker_history_is_restored_once_and_fades() {
    let mut store = ObservationStore::default();
    store.import(
        S,
        &[
            fact(FactKind::ConcurrencyLimit, 4.0, 0),
            fact(FactKind::QueueingDelay, 0.4, 0),
            fact(FactKind::Ejected, 1.0, 0),
        ],
    );
    let fresh = store.pending_worker_history(S);
    assert!(fresh[0].2.ejected);
    assert!(
        (fresh[0].2.concurrency_limit - 4.0).abs() < 1e-6 && (fresh[0].2.queueing_delay - 0.4).abs() < 1e-6
    );
    let later = store.pending_worker_history(S + 20 * S);
    assert!(later[0].2.concurrency_limit > 4.0 && later[0].2.queueing_delay < 0.4, "{later:?}");
    assert!(!store.pending_worker_history(S + 50 * S)[0].2.ejected, "the ejection has less than half weight");
    store.mark_restored(WORKER, 5);
    assert!(store.pending_worker_history(S).is_empty());
    store.import(S, &[fact(FactKind::ConcurrencyLimit, 4.0, 0)]);
    assert!(store.pending_worker_history(S + 61 * S).is_empty(), "expired before it was restored");
}

// Each case lists the successive statuses in the endpoint list with the expected effective status.
#[test_case(true, &[("ready", "draining"), ("ready", "draining")]; "kept across a restart")]
#[test_case(true, &[("draining", "draining"), ("ready", "ready")]; "reported and ended since the restart")]
#[test_case(true, &[("gone", "gone"), ("ready", "ready")]; "gone")]
#[test_case(false, &[("ready", "ready"), ("draining", "draining")]; "no earlier drain")]
fn a_drain_from_before_is_kept_until_taken_back(drained_before: bool, statuses: &[(&str, &str)]) {
    let status = |name: &str| match name {
        "ready" => WorkerStatus::Ready,
        "gone" => WorkerStatus::Gone,
        _ => WorkerStatus::Draining,
    };
    let mut store = ObservationStore::default();
    if drained_before {
        store.import(S, &[fact(FactKind::Draining, 1.0, S)]);
    }
    for (n, (says, is)) in statuses.iter().enumerate() {
        let now = S + n as u64 * S;
        assert_eq!(store.apply_listed_status(now, WORKER, 5, status(says)), status(is), "{n}");
    }
}

#[test]
fn a_drain_ends_with_the_worker_or_with_time() {
    let mut store = ObservationStore::default();
    store.import(S, &[fact(FactKind::Draining, 1.0, 0)]);
    assert_eq!(
        store.apply_listed_status(2 * S, WORKER, 6, WorkerStatus::Ready),
        WorkerStatus::Ready,
        "the worker has restarted"
    );
    assert_eq!(
        store.apply_listed_status(62 * S, WORKER, 5, WorkerStatus::Ready),
        WorkerStatus::Ready,
        "the drain has expired"
    );
    store.apply_listed_status(62 * S, WORKER, 5, WorkerStatus::Draining);
    store.refresh(200 * S);
    assert_eq!(store.facts().iter(210 * S).count(), 1, "a listed drain is renewed");
}

#[test]
fn own_observations_are_young_and_end_an_ejection() {
    let mut store = ObservationStore::default();
    store.import(S, &[fact(FactKind::Ejected, 1.0, 0)]);
    store.record_worker(
        2 * S,
        WORKER,
        5,
        &WorkerHistory { concurrency_limit: 3.0, ..WorkerHistory::default() },
    );
    let said: Vec<_> = store.facts().iter(2 * S).map(|f| (f.key.kind, f.age)).collect();
    assert_eq!(
        said,
        [(FactKind::ConcurrencyLimit, 0), (FactKind::QueueingDelay, 0), (FactKind::ErrorRate, 0)]
    );
    store.record_load_time(S, FunctionId(3), 250_000);
    assert_eq!(store.load_time(2 * S, FunctionId(3)), Some(250_000));
    assert_eq!(store.load_time(2 * S, FunctionId(4)), None);
}
