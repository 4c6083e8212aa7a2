//! Bytes of messages between processes: a version that writes others cannot run beside the one before.
use applepond_consensus::{Acceptor, AcceptorError, AcceptorState, AcceptorStorage, Ballot};
use applepond_membership::{InstanceId, RouterId};
use applepond_quota::message::{self, Written};
use applepond_quota::*;

const ME: RouterId = RouterId(0xaabb_ccdd_0011_2233);

fn term() -> Term {
    Term { number: 12, name: RouterId(4_000_000_007), by: InstanceId(55), settings: 0xdead_beef }
}

fn ballot(round: u64) -> Ballot {
    Ballot { round, by: 0xfeed_f00d }
}

fn messages() -> Vec<Vec<u8>> {
    let mut written = Written::by(ME);
    let to = RouterId(5);
    written.promise(to, ballot(7));
    written.accept(to, ballot(8), &term());
    written.promised(to, ballot(7), ballot(2), Some((ballot(2), term())));
    written.promised(to, ballot(7), ballot(2), None);
    written.accepted(to, ballot(8));
    written.refused(to, ballot(8), ballot(9));
    written.ask(to, InstanceId(77), 0xdead_beef, (3, 4), &[1, 200, 70_000]);
    written.given(to, InstanceId(77), 4, &[1, 200, 70_000]);
    written.elsewhere(to, RouterId(6));
    written.messages.into_iter().map(|(_, bytes)| bytes).collect()
}

#[test]
fn messages_keep_their_bytes() {
    let lines: Vec<String> = messages().iter().map(hex::encode).collect();
    insta::assert_snapshot!("messages", lines.join("\n"));
}

struct Memory;

impl AcceptorStorage<Term> for Memory {
    fn persist(&mut self, _: &AcceptorState<Term>) -> Result<(), AcceptorError> {
        Ok(())
    }
}

#[test]
fn messages_are_read() {
    let rows = vec![Row { whole: 1_000, floor: 10 }];
    let place = Place { name: ME, instance_id: InstanceId(1), keepers: vec![ME], routers: 3, rows };
    let mut office = Office::new(0, place, Some(Acceptor::new(3, Ok(None))), 1);
    for bytes in messages() {
        let mut answers = Written::by(ME);
        let read = message::read(&bytes, 0, &mut office, &mut Memory, &|_| true, &mut answers);
        assert_eq!(read, Some(()), "{}", hex::encode(&bytes));
    }
}

#[test]
fn terms_keep_their_bytes() {
    let bytes = postcard::to_stdvec(&term()).expect("terms can be written");
    assert_eq!(postcard::from_bytes::<Term>(&bytes), Ok(term()));
    insta::assert_snapshot!("terms", hex::encode(bytes));
}
