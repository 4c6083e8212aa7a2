//! The encoding of acceptor states and messages. A version that changes it cannot run alongside the previous
//! one, nor read its files.
use applepond_consensus::message::{self, MessageWriter};
use applepond_consensus::{
    AcceptorError, AcceptorState, AcceptorStorage, Ballot, KnownPromise, Promise, Register, RegisterActions,
    RegisterState, Replica, ReplicaId, ReplicaRequests,
};
use applepond_membership::{InstanceId, RouterId};

type Value = Vec<u8>;

const FLEET: u64 = 0x1122_3344_5566_7788;
const ME: RouterId = RouterId(0xaabb_ccdd_0011_2233);

fn replica(n: u64) -> ReplicaId {
    ReplicaId { router: RouterId(n * 1_000_003), disk: InstanceId(n * 77_777_777_777) }
}

fn agreed() -> RegisterState<Value> {
    RegisterState {
        register_id: InstanceId(987_654_321),
        version: 300,
        replicas: vec![replica(1), replica(2), replica(3)],
        previous_replicas: vec![replica(4)],
        value: b"agreed value".to_vec(),
    }
}

fn ballot(round: u64) -> Ballot {
    Ballot { round, proposer: 0xfeed_f00d }
}

/// One or more messages of each kind, in the order of the kinds.
fn messages() -> Vec<Vec<u8>> {
    let mut written = MessageWriter::new(ME);
    let to = RouterId(5);
    let known = Some(KnownPromise { disk: InstanceId(9), ballot: ballot(3) });
    ReplicaRequests::<Value>::prepare(&mut written, to, ballot(7), known);
    ReplicaRequests::<Value>::prepare(&mut written, to, ballot(7), None);
    ReplicaRequests::accept(&mut written, to, ballot(8), &agreed(), known);
    let accepted = Some((ballot(2), agreed()));
    let full = Promise { ballot: ballot(7), previous: ballot(2), accepted };
    let empty = Promise { accepted: None, ..full.clone() };
    RegisterActions::promised(&mut written, to, InstanceId(66), &full);
    RegisterActions::promised(&mut written, to, InstanceId(66), &empty);
    RegisterActions::<Value>::accepted(&mut written, to, ballot(8), InstanceId(66));
    RegisterActions::<Value>::rejected(&mut written, to, ballot(8), ballot(9));
    for error in [AcceptorError::WriteFailed, AcceptorError::Corrupt, AcceptorError::WrongFleet] {
        RegisterActions::<Value>::abstained(&mut written, to, ballot(8), error);
    }
    RegisterActions::<Value>::request_state(&mut written, to, 40_000);
    RegisterActions::<Value>::send_state(&mut written, to, 40_000, &agreed(), 2_500_000);
    written.messages.into_iter().map(|(_, bytes)| bytes).collect()
}

#[test]
fn messages_keep_their_bytes() {
    let lines: Vec<String> = messages().iter().map(hex::encode).collect();
    insta::assert_snapshot!("messages", lines.join("\n"));
}

struct Memory;

impl AcceptorStorage<RegisterState<Value>> for Memory {
    fn persist(&mut self, _: &AcceptorState<RegisterState<Value>>) -> Result<(), AcceptorError> {
        Ok(())
    }
}

#[test]
fn messages_are_read() {
    let mut replica = Replica::<Value>::new(FLEET, InstanceId(66), Ok(None));
    let mut register = Register::<Value>::new(0, (ME, InstanceId(1)), &[ME], true, 1);
    for bytes in messages() {
        let mut answers = MessageWriter::new(ME);
        let read = if message::is_acceptor_request(&bytes) {
            message::handle_acceptor_request(&bytes, &mut replica, &mut Memory, &mut answers)
        } else {
            message::handle_register_message(&bytes, &mut register, 0, &[], &mut answers)
        };
        assert_eq!(read, Ok(()), "{}", hex::encode(&bytes));
    }
}

#[test]
fn votes_keep_their_bytes() {
    let empty = AcceptorState::<RegisterState<Value>>::empty(FLEET);
    let full = AcceptorState { fleet: FLEET, promised: ballot(9), accepted: Some((ballot(8), agreed())) };
    let lines = [&empty, &full].map(|state| {
        let bytes = postcard::to_stdvec(state).expect("acceptor states can be encoded");
        let read: AcceptorState<RegisterState<Value>> =
            postcard::from_bytes(&bytes).expect("acceptor states can be decoded");
        assert_eq!(&read, state);
        hex::encode(bytes)
    });
    insta::assert_snapshot!("votes", lines.join("\n"));
}
