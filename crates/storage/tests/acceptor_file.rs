//! An acceptor's state on disk: restarts and damaged files.
use applepond_consensus::{Acceptor, AcceptorError, Ballot, Rejection};
use applepond_membership::InstanceId;
use applepond_storage::{AcceptorFile, OpenedAcceptor};

const FLEET: u64 = 3;

fn ballot(round: u64) -> Ballot {
    Ballot { round, proposer: 1 }
}

#[test]
fn the_state_is_there_after_a_restart() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("votes");
    let OpenedAcceptor { mut file, disk, state } =
        AcceptorFile::open::<String>(&path, InstanceId(5)).expect("a new file");
    assert_eq!(disk, InstanceId(5));
    let mut acceptor = Acceptor::new(FLEET, Ok(state));
    assert_eq!(acceptor.accept(ballot(4), "term".to_owned(), &mut file), Ok(()));
    drop(file);
    let OpenedAcceptor { mut file, disk, state } =
        AcceptorFile::open::<String>(&path, InstanceId(9)).expect("opened again");
    assert_eq!(disk, InstanceId(5), "the same file");
    let mut acceptor = Acceptor::new(FLEET, Ok(state.clone()));
    assert_eq!(
        acceptor.prepare(ballot(3), &mut file),
        Err(Rejection::Superseded { promised: ballot(4) }),
        "the promise is durable"
    );
    assert_eq!(Acceptor::new(FLEET + 1, Ok(state)).error(), Some(AcceptorError::WrongFleet));
}

// A truncated file is reported as corrupt or has the last state: an earlier state would break a promise.
#[test]
fn a_truncated_file_is_corrupt_or_has_the_last_state() {
    let folder = tempfile::tempdir().expect("a folder");
    let (path, cut) = (folder.path().join("votes"), folder.path().join("cut"));
    let OpenedAcceptor { mut file, .. } =
        AcceptorFile::open::<String>(&path, InstanceId(5)).expect("a new file");
    let mut acceptor = Acceptor::new(FLEET, Ok(None));
    for round in 1..=40 {
        assert!(acceptor.accept(ballot(round), "x".repeat(200), &mut file).is_ok());
    }
    drop(file);
    let whole = std::fs::read(&path).expect("read");
    let mut corrupt = 0;
    for at in (1..whole.len()).step_by(4_096) {
        std::fs::write(&cut, &whole[..at]).expect("written");
        match AcceptorFile::open::<String>(&cut, InstanceId(6)) {
            Ok(opened) => assert_eq!(opened.state.as_ref(), Some(acceptor.state()), "cut at {at}"),
            Err(error) => corrupt += usize::from(error == AcceptorError::Corrupt),
        }
    }
    assert!(corrupt > 10, "{corrupt}");
    std::fs::write(&cut, "certainly no votes ".repeat(1_000)).expect("written");
    assert_eq!(AcceptorFile::open::<String>(&cut, InstanceId(6)).err(), Some(AcceptorError::Corrupt));
}
