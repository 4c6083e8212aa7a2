//! Acceptors whose disks fail or are rolled back, and retries of a proposer.
mod common;
use applepond_consensus::{
    Acceptor, AcceptorError, AcceptorState, AcceptorStorage, Ballot, ProposalOutcome, Proposer,
    ProposerActions, RESPONSE_TIMEOUT, RETRY_BACKOFF, Rejection, ReplicaIndex,
};
use applepond_membership::InstanceId;
use common::{FLEET, Marks};
use test_case::test_case;

/// A disk that fails every write after the first `writes_left`.
struct FailingDisk {
    writes_left: usize,
    stored: Option<AcceptorState<Marks>>,
}

impl AcceptorStorage<Marks> for FailingDisk {
    fn persist(&mut self, state: &AcceptorState<Marks>) -> Result<(), AcceptorError> {
        match self.writes_left.checked_sub(1) {
            Some(writes_left) => (self.writes_left, self.stored) = (writes_left, Some(state.clone())),
            None => return Err(AcceptorError::WriteFailed),
        }
        Ok(())
    }
}

#[derive(Default)]
struct RecordedRequests(Vec<(ReplicaIndex, Ballot, Option<Marks>)>);

impl ProposerActions<Marks> for RecordedRequests {
    fn prepare(&mut self, of: ReplicaIndex, ballot: Ballot) {
        self.0.push((of, ballot, None));
    }
    fn accept(&mut self, by: ReplicaIndex, ballot: Ballot, value: &Marks) {
        self.0.push((by, ballot, Some(value.clone())));
    }
}

fn ballot(round: u64) -> Ballot {
    Ballot { round, proposer: 1 }
}

// An acceptor must not respond without having persisted its state: it abstains from the failed write on.
#[test_case(0)]
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn an_acceptor_stops_at_a_failed_write(nth: usize) {
    let mut disk = FailingDisk { writes_left: nth, stored: None };
    let mut acceptor = Acceptor::new(FLEET, Ok(None));
    let mut responses = 0;
    for round in 1..=2 {
        responses += usize::from(acceptor.prepare(ballot(round), &mut disk).is_ok());
        responses += usize::from(acceptor.accept(ballot(round), vec![round as u8], &mut disk).is_ok());
    }
    assert_eq!(responses, nth, "one response per successful write");
    assert_eq!(acceptor.error(), Some(AcceptorError::WriteFailed));
    // Restarted with the state on disk, it votes again and remembers everything it has responded to.
    let restarted = Acceptor::new(FLEET, Ok(disk.stored.clone()));
    assert_eq!(restarted.error(), None);
    assert_eq!(restarted.state(), &disk.stored.unwrap_or(AcceptorState::empty(FLEET)));
}

#[test_case(Err(AcceptorError::Corrupt), AcceptorError::Corrupt; "corrupt")]
#[test_case(Ok(Some(AcceptorState::empty(FLEET + 1))), AcceptorError::WrongFleet; "of another fleet")]
fn an_acceptor_without_a_usable_file_abstains(
    found: Result<Option<AcceptorState<Marks>>, AcceptorError>,
    error: AcceptorError,
) {
    let mut disk = FailingDisk { writes_left: 9, stored: None };
    let mut acceptor = Acceptor::new(FLEET, found);
    assert_eq!(acceptor.prepare(ballot(1), &mut disk), Err(Rejection::Abstained(error)));
    assert_eq!(acceptor.accept(ballot(1), vec![1], &mut disk), Err(Rejection::Abstained(error)));
    assert_eq!((acceptor.error(), disk.stored), (Some(error), None));
}

// If an acceptor's disk is restored from an old copy, the acceptor must not count towards a majority: it may
// have forgotten values that a majority including it accepted.
#[test]
fn a_rolled_back_acceptor_does_not_count() {
    let ids = [ReplicaIndex(0), ReplicaIndex(1), ReplicaIndex(2)];
    let (mut proposer, mut requests) = (Proposer::new(InstanceId(1), &ids, 1), RecordedRequests::default());
    let mut disks: Vec<FailingDisk> = (0..3).map(|_| FailingDisk { writes_left: 99, stored: None }).collect();
    let mut acceptors: Vec<Acceptor<Marks>> = (0..3).map(|_| Acceptor::new(FLEET, Ok(None))).collect();
    let mut round = |proposer: &mut Proposer<Marks>, acceptors: &mut Vec<Acceptor<Marks>>, of: &[usize]| {
        proposer.prepare(0, &mut requests);
        let ballot = proposer.ballot();
        let mut outcomes = Vec::new();
        for k in of {
            let Ok(promise) = acceptors[*k].prepare(ballot, &mut disks[*k]) else { continue };
            outcomes.extend(proposer.on_promised(ReplicaIndex(*k as u8), promise));
        }
        outcomes
    };
    assert_eq!(round(&mut proposer, &mut acceptors, &[0, 1]), [ProposalOutcome::Read(None)]);
    acceptors[1] = Acceptor::new(FLEET, Ok(None));
    assert_eq!(
        round(&mut proposer, &mut acceptors, &[0, 1]),
        [ProposalOutcome::StaleReplica(ReplicaIndex(1))]
    );
    assert_eq!(round(&mut proposer, &mut acceptors, &[0, 1]), [], "one of three is not a majority");
    assert_eq!(
        round(&mut proposer, &mut acceptors, &[0, 2]),
        [ProposalOutcome::Read(None)],
        "the other two form a majority"
    );
}

// After a timeout, or a rejection for a higher ballot, the proposer retries with a still higher ballot.
#[test]
fn an_unanswered_round_is_retried() {
    let (mut proposer, mut requests) =
        (Proposer::<Marks>::new(InstanceId(1), &[ReplicaIndex(0)], 1), RecordedRequests::default());
    proposer.prepare(0, &mut requests);
    proposer.wake(RESPONSE_TIMEOUT - 1, &mut requests);
    assert_eq!(requests.0.len(), 1, "not before the response timeout");
    proposer.wake(RESPONSE_TIMEOUT, &mut requests);
    proposer.wake(proposer.next_wakeup(), &mut requests);
    assert_eq!((requests.0.len(), proposer.ballot().round), (2, 2));
    proposer.on_rejected(RESPONSE_TIMEOUT, proposer.ballot(), Ballot { round: 9, proposer: 2 });
    let at = proposer.next_wakeup();
    assert!(at <= RESPONSE_TIMEOUT + RETRY_BACKOFF + (RETRY_BACKOFF << 1), "{at}");
    proposer.wake(at, &mut requests);
    assert_eq!(requests.0.last().map(|(_, ballot, _)| ballot.round), Some(10));
}
