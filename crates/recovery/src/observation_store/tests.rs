//! Tests of private bounds.
use super::{MAX_SCHEDULED_RETRIES, Micros, ObservationStore};
use crate::{BootId, decode_snapshot, encode_snapshot};
use applepond::interface::{WorkerId, WorkerStatus};

const S: Micros = 1_000_000;

// Scheduled retries and the traffic baseline belong to this router: they are returned once and never shared.
#[test]
fn router_history_is_taken_once_and_never_shared() {
    let mut before = ObservationStore::default();
    before.record_baseline(S, [40.0, 2.0, 300.0]);
    before.record_scheduled_retry(S, 7, 3 * S);
    before.record_scheduled_retry(S, 8, 500_000);
    let bytes = encode_snapshot(1, Some(BootId(1)), S, S, before.facts());
    let facts = decode_snapshot(1, Some(BootId(1)), 2 * S, &bytes).expect("whole");
    assert!(facts.iter().all(|f| !f.key.kind.is_shared()));
    let mut after = ObservationStore::default();
    after.import(2 * S, &facts);
    let (baseline, retries) = after.take_router_history(2 * S).expect("something");
    assert_eq!(baseline, Some([40.0, 2.0, 300.0]));
    assert_eq!(
        retries.iter().map(|(request, _)| *request).collect::<Vec<_>>(),
        [7],
        "the other retry is past"
    );
    assert!((1_990_000..=2_010_000).contains(&retries[0].1), "{retries:?}");
    assert!(after.take_router_history(2 * S).is_none(), "once");
    let unknown = decode_snapshot(1, Some(BootId(2)), 2 * S, &bytes).expect("whole");
    let mut after = ObservationStore::default();
    after.import(2 * S, &unknown);
    assert!(
        after.take_router_history(2 * S).is_none_or(|(_, retries)| retries.is_empty()),
        "the age is unknown"
    );
    (0..3_000).for_each(|request| before.record_scheduled_retry(S, 100 + request, S));
    assert!(before.facts().len() <= MAX_SCHEDULED_RETRIES + 3);
}

// The drain of a worker that is no longer listed is removed, so that drains do not accumulate.
#[test]
fn a_complete_list_ends_drains_of_others() {
    let mut store = ObservationStore::default();
    for n in 0..1_000 {
        store.apply_listed_status(S, WorkerId(n), 5, WorkerStatus::Draining);
        store.apply_complete_list(&[(WorkerId(n), 5)]);
    }
    store.refresh(S);
    assert_eq!((store.listed_drains.len(), store.facts().len()), (1, 1));
}
