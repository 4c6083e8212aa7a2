//! Replicas whose disks fail, and a proposer that finds one older than its promise.
mod common;
use applepond_consensus::{
    Acceptor, AcceptorError, AcceptorState, AcceptorStorage, Ballot, ProposalOutcome, Proposer,
    ProposerActions, RESPONSE_TIMEOUT, RETRY_BACKOFF, Rejection, ReplicaIndex,
};
use applepond_membership::InstanceId;
use common::{FLEET, Marks};
use test_case::test_case;

/// A disk whose writes fail from the Nth on; what the failed one has left on it is not known.
struct FailingDisk {
    left: usize,
    holds: Option<AcceptorState<Marks>>,
}

impl AcceptorStorage<Marks> for FailingDisk {
    fn persist(&mut self, vote: &AcceptorState<Marks>) -> Result<(), AcceptorError> {
        match self.left.checked_sub(1) {
            Some(left) => (self.left, self.holds) = (left, Some(vote.clone())),
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

// Guards against an answer without a durable state: the acceptor stops at the write that fails, and says why.
#[test_case(0)]
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn an_acceptor_stops_at_a_failed_write(nth: usize) {
    let mut disk = FailingDisk { left: nth, holds: None };
    let mut keeper = Acceptor::new(FLEET, Ok(None));
    let mut report = 0;
    for round in 1..=2 {
        report += usize::from(keeper.prepare(ballot(round), &mut disk).is_ok());
        report += usize::from(keeper.accept(ballot(round), vec![round as u8], &mut disk).is_ok());
    }
    assert_eq!(report, nth, "as many answers as writes");
    assert_eq!(keeper.error(), Some(AcceptorError::WriteFailed));
    // Restarted on what the disk has, it votes again, and has forgotten nothing that it told.
    let again = Acceptor::new(FLEET, Ok(disk.holds.clone()));
    assert_eq!(again.error(), None);
    assert_eq!(again.state(), &disk.holds.unwrap_or(AcceptorState::empty(FLEET)));
}

#[test_case(Err(AcceptorError::Corrupt), AcceptorError::Corrupt; "torn")]
#[test_case(Ok(Some(AcceptorState::empty(FLEET + 1))), AcceptorError::WrongFleet; "of another fleet")]
fn an_acceptor_without_a_usable_file_abstains(
    found: Result<Option<AcceptorState<Marks>>, AcceptorError>,
    trouble: AcceptorError,
) {
    let mut disk = FailingDisk { left: 9, holds: None };
    let mut keeper = Acceptor::new(FLEET, found);
    assert_eq!(keeper.prepare(ballot(1), &mut disk), Err(Rejection::Abstained(trouble)));
    assert_eq!(keeper.accept(ballot(1), vec![1], &mut disk), Err(Rejection::Abstained(trouble)));
    assert_eq!((keeper.error(), disk.holds), (Some(trouble), None));
}

// Guards against a disk that was put back from a copy: its replica would make a majority that has forgotten.
#[test]
fn a_rolled_back_acceptor_does_not_count() {
    let ids = [ReplicaIndex(0), ReplicaIndex(1), ReplicaIndex(2)];
    let (mut proposer, mut asked) = (Proposer::new(InstanceId(1), &ids, 1), RecordedRequests::default());
    let mut disks: Vec<FailingDisk> = (0..3).map(|_| FailingDisk { left: 99, holds: None }).collect();
    let mut acceptors: Vec<Acceptor<Marks>> = (0..3).map(|_| Acceptor::new(FLEET, Ok(None))).collect();
    let mut round = |proposer: &mut Proposer<Marks>, acceptors: &mut Vec<Acceptor<Marks>>, of: &[usize]| {
        proposer.prepare(0, &mut asked);
        let ballot = proposer.ballot();
        let mut report = Vec::new();
        for k in of {
            let Ok(promise) = acceptors[*k].prepare(ballot, &mut disks[*k]) else { continue };
            report.extend(proposer.on_promised(ReplicaIndex(*k as u8), promise));
        }
        report
    };
    assert_eq!(round(&mut proposer, &mut acceptors, &[0, 1]), [ProposalOutcome::Read(None)]);
    acceptors[1] = Acceptor::new(FLEET, Ok(None));
    assert_eq!(
        round(&mut proposer, &mut acceptors, &[0, 1]),
        [ProposalOutcome::StaleReplica(ReplicaIndex(1))]
    );
    assert_eq!(round(&mut proposer, &mut acceptors, &[0, 1]), [], "one is no majority of three");
    assert_eq!(
        round(&mut proposer, &mut acceptors, &[0, 2]),
        [ProposalOutcome::Read(None)],
        "the others go on"
    );
}

// Nobody answers, or another proposer overtakes: the next round begins by itself, above that ballot.
#[test]
fn an_unanswered_round_is_retried() {
    let (mut proposer, mut asked) =
        (Proposer::<Marks>::new(InstanceId(1), &[ReplicaIndex(0)], 1), RecordedRequests::default());
    proposer.prepare(0, &mut asked);
    proposer.wake(RESPONSE_TIMEOUT - 1, &mut asked);
    assert_eq!(asked.0.len(), 1, "not before the response timeout");
    proposer.wake(RESPONSE_TIMEOUT, &mut asked);
    proposer.wake(proposer.next_wakeup(), &mut asked);
    assert_eq!((asked.0.len(), proposer.ballot().round), (2, 2));
    proposer.on_rejected(RESPONSE_TIMEOUT, proposer.ballot(), Ballot { round: 9, proposer: 2 });
    let at = proposer.next_wakeup();
    assert!(at <= RESPONSE_TIMEOUT + RETRY_BACKOFF + (RETRY_BACKOFF << 1), "{at}");
    proposer.wake(at, &mut asked);
    assert_eq!(asked.0.last().map(|(_, ballot, _)| ballot.round), Some(10));
}
