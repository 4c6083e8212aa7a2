//! Keepers whose disks fail, and a proposer that finds one older than its word.
mod common;
use applepond_consensus::*;
use applepond_membership::InstanceId;
use common::{FLEET, Marks};
use test_case::test_case;

/// A disk whose writes fail from the Nth on; what the failed one has left on it is not known.
struct Failing {
    left: usize,
    holds: Option<AcceptorState<Marks>>,
}

impl AcceptorStorage<Marks> for Failing {
    fn persist(&mut self, vote: &AcceptorState<Marks>) -> Result<(), AcceptorError> {
        match self.left.checked_sub(1) {
            Some(left) => (self.left, self.holds) = (left, Some(vote.clone())),
            None => return Err(AcceptorError::WriteFailed),
        }
        Ok(())
    }
}

#[derive(Default)]
struct Asked(Vec<(ReplicaIndex, Ballot, Option<Marks>)>);

impl ProposerActions<Marks> for Asked {
    fn prepare(&mut self, of: ReplicaIndex, ballot: Ballot) {
        self.0.push((of, ballot, None));
    }
    fn accept(&mut self, by: ReplicaIndex, ballot: Ballot, value: &Marks) {
        self.0.push((by, ballot, Some(value.clone())));
    }
}

fn ballot(round: u64) -> Ballot {
    Ballot { round, by: 1 }
}

// Guards against a vote that is told and not written: the keeper stops at the write that fails, by name.
#[test_case(0)]
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn the_nth_write_fails(nth: usize) {
    let mut disk = Failing { left: nth, holds: None };
    let mut keeper = Acceptor::new(FLEET, Ok(None));
    let mut told = 0;
    for round in 1..=2 {
        told += usize::from(keeper.prepare(ballot(round), &mut disk).is_some());
        told += usize::from(keeper.accept(ballot(round), vec![round as u8], &mut disk).is_some());
    }
    assert_eq!(told, nth, "as many answers as writes");
    assert_eq!(keeper.error(), Some(AcceptorError::WriteFailed));
    // Restarted on what the disk has, it votes again, and has forgotten nothing that it told.
    let again = Acceptor::new(FLEET, Ok(disk.holds.clone()));
    assert_eq!(again.error(), None);
    assert_eq!(again.state(), &disk.holds.unwrap_or(AcceptorState::empty(FLEET)));
}

#[test_case(Err(AcceptorError::Corrupt), AcceptorError::Corrupt; "torn")]
#[test_case(Ok(Some(AcceptorState::empty(FLEET + 1))), AcceptorError::WrongFleet; "of another fleet")]
fn does_not_vote(found: Result<Option<AcceptorState<Marks>>, AcceptorError>, trouble: AcceptorError) {
    let mut disk = Failing { left: 9, holds: None };
    let mut keeper = Acceptor::new(FLEET, found);
    assert!(keeper.prepare(ballot(1), &mut disk).is_none());
    assert!(keeper.accept(ballot(1), vec![1], &mut disk).is_none());
    assert_eq!((keeper.error(), disk.holds), (Some(trouble), None));
}

// Guards against a disk that was put back from a copy: its keeper would make a majority that has forgotten.
#[test]
fn older_than_its_word() {
    let ids = [ReplicaIndex(0), ReplicaIndex(1), ReplicaIndex(2)];
    let (mut proposer, mut asked) = (Proposer::new(InstanceId(1), &ids, 1), Asked::default());
    let mut disks: Vec<Failing> = (0..3).map(|_| Failing { left: 99, holds: None }).collect();
    let mut keepers: Vec<Acceptor<Marks>> = (0..3).map(|_| Acceptor::new(FLEET, Ok(None))).collect();
    let mut round = |proposer: &mut Proposer<Marks>, keepers: &mut Vec<Acceptor<Marks>>, of: &[usize]| {
        proposer.prepare(0, &mut asked);
        let ballot = proposer.ballot();
        let mut told = Vec::new();
        for k in of {
            let Some(Ok((before, accepted))) = keepers[*k].prepare(ballot, &mut disks[*k]) else { continue };
            told.extend(proposer.on_promised(ReplicaIndex(*k as u8), ballot, before, accepted));
        }
        told
    };
    assert_eq!(round(&mut proposer, &mut keepers, &[0, 1]), [ProposalOutcome::Read(None)]);
    keepers[1] = Acceptor::new(FLEET, Ok(None));
    assert_eq!(round(&mut proposer, &mut keepers, &[0, 1]), [ProposalOutcome::StaleReplica(ReplicaIndex(1))]);
    assert_eq!(round(&mut proposer, &mut keepers, &[0, 1]), [], "one is no majority of three");
    assert_eq!(
        round(&mut proposer, &mut keepers, &[0, 2]),
        [ProposalOutcome::Read(None)],
        "the others go on"
    );
}

// Nobody answers, or another overtakes: it tries again by itself, above the ballot that it lost to.
#[test]
fn tries_again() {
    let (mut proposer, mut asked) =
        (Proposer::<Marks>::new(InstanceId(1), &[ReplicaIndex(0)], 1), Asked::default());
    proposer.prepare(0, &mut asked);
    proposer.wake(RESPONSE_TIMEOUT - 1, &mut asked);
    assert_eq!(asked.0.len(), 1, "not before its patience ends");
    proposer.wake(RESPONSE_TIMEOUT, &mut asked);
    proposer.wake(proposer.next_wakeup(), &mut asked);
    assert_eq!((asked.0.len(), proposer.ballot().round), (2, 2));
    proposer.on_rejected(RESPONSE_TIMEOUT, proposer.ballot(), Ballot { round: 9, by: 2 });
    let at = proposer.next_wakeup();
    assert!(at <= RESPONSE_TIMEOUT + RETRY_BACKOFF + (RETRY_BACKOFF << 1), "{at}");
    proposer.wake(at, &mut asked);
    assert_eq!(asked.0.last().map(|(_, ballot, _)| ballot.round), Some(10));
}
