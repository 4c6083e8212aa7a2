//! A backend whose writes fail, which only this module can put under a file.
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

// Whichever write fails: what was answered for is there afterwards, and the acceptor says why it stopped.
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
        let answered =
            (1..=5).take_while(|round| acceptor.accept(ballot(*round), round.to_string(), &mut file).is_ok());
        let answered = answered.count() as u64;
        let error = (answered < 5).then_some(AcceptorError::WriteFailed);
        assert_eq!(acceptor.error(), error, "write {n}");
        writes_left.store(0, Ordering::Relaxed);
        drop(file);
        let OpenedAcceptor { state, .. } = on(&Arc::new(AtomicU64::new(u64::MAX)));
        let round = state.map_or(0, |state| state.promised.round);
        // A state whose writing failed may be there: nobody was told of it.
        assert!((answered..=answered + 1).contains(&round), "write {n}: {answered} answered, {round} found");
        stopped += usize::from(answered < 5);
        if answered == 5 {
            break;
        }
    }
    assert!(stopped > 5, "{stopped}");
}
