//! Tests with a failing backend, which needs access to private constructors.
use super::{AcceptorFile, OpenedAcceptor};
use crate::failing_backend::FailingBackend;
use applepond_consensus::{Acceptor, AcceptorError, Ballot};
use applepond_membership::InstanceId;
use redb::Database;
use redb::backends::InMemoryBackend;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

const FLEET: u64 = 3;

fn ballot(round: u64) -> Ballot {
    Ballot { round, proposer: 1 }
}

// Whichever write fails, the acknowledged state is there after reopening, and the acceptor reports the error.
#[test]
fn whichever_write_fails_answered_rounds_stay() {
    let mut stopped = 0;
    for n in 0.. {
        let inner = Arc::new(InMemoryBackend::new());
        let writes_left = Arc::new(AtomicU64::new(u64::MAX));
        let on = |left: &Arc<AtomicU64>| {
            let backend = FailingBackend { inner: inner.clone(), writes_left: left.clone() };
            let database = Database::builder().create_with_backend(backend).expect("a store");
            AcceptorFile::with_database::<String>(database, InstanceId(5)).expect("a table")
        };
        let OpenedAcceptor { mut file, .. } = on(&writes_left);
        let mut acceptor = Acceptor::new(FLEET, Ok(None));
        writes_left.store(n, Ordering::Relaxed);
        let acknowledged =
            (1..=5).take_while(|round| acceptor.accept(ballot(*round), round.to_string(), &mut file).is_ok());
        let acknowledged = acknowledged.count() as u64;
        let error = (acknowledged < 5).then_some(AcceptorError::WriteFailed);
        assert_eq!(acceptor.error(), error, "write {n}");
        writes_left.store(0, Ordering::Relaxed);
        drop(file);
        let OpenedAcceptor { state, .. } = on(&Arc::new(AtomicU64::new(u64::MAX)));
        let round = state.map_or(0, |state| state.promised.round);
        // The state of the failed write may be there, though it was not acknowledged.
        assert!(
            (acknowledged..=acknowledged + 1).contains(&round),
            "write {n}: {acknowledged} acknowledged, {round} found"
        );
        stopped += usize::from(acknowledged < 5);
        if acknowledged == 5 {
            break;
        }
    }
    assert!(stopped > 5, "{stopped}");
}
