//! Bytes of votes and of messages between processes: a version that writes or reads others cannot run beside
//! the one before, nor read its disk.
use applepond_consensus::message::{self, Written};
use applepond_consensus::*;
use applepond_membership::{InstanceId, RouterId};

type Value = Vec<u8>;

const FLEET: u64 = 0x1122_3344_5566_7788;
const ME: RouterId = RouterId(0xaabb_ccdd_0011_2233);

fn seat(n: u64) -> Seat {
    Seat { name: RouterId(n * 1_000_003), disk: InstanceId(n * 77_777_777_777) }
}

fn agreed() -> Agreed<Value> {
    Agreed {
        line: InstanceId(987_654_321),
        number: 300,
        keepers: vec![seat(1), seat(2), seat(3)],
        before: vec![seat(4)],
        value: b"agreed value".to_vec(),
    }
}

fn ballot(round: u64) -> Ballot {
    Ballot { round, by: 0xfeed_f00d }
}

/// All questions and answers there are, in the order of their kinds.
fn messages() -> Vec<Vec<u8>> {
    let mut written = Written::by(ME);
    let to = RouterId(5);
    let word = Some((InstanceId(9), ballot(3)));
    Questions::<Value>::promise(&mut written, to, ballot(7), word);
    Questions::<Value>::promise(&mut written, to, ballot(7), None);
    Questions::accept(&mut written, to, ballot(8), &agreed(), word);
    let accepted = (ballot(2), agreed());
    Actions::<Value>::promised(&mut written, to, (ballot(7), ballot(2)), InstanceId(66), Some(&accepted));
    Actions::<Value>::promised(&mut written, to, (ballot(7), ballot(2)), InstanceId(66), None);
    Actions::<Value>::accepted(&mut written, to, ballot(8), InstanceId(66));
    Actions::<Value>::refused(&mut written, to, ballot(8), ballot(9));
    for trouble in [Trouble::NotWritten, Trouble::Torn, Trouble::Foreign] {
        Actions::<Value>::doubts(&mut written, to, ballot(8), trouble);
    }
    Actions::<Value>::ask(&mut written, to, 40_000);
    Actions::<Value>::copy(&mut written, to, 40_000, &agreed(), 2_500_000);
    written.messages.into_iter().map(|(_, bytes)| bytes).collect()
}

#[test]
fn messages_keep_their_bytes() {
    let lines: Vec<String> = messages().iter().map(hex::encode).collect();
    insta::assert_snapshot!("messages", lines.join("\n"));
}

struct Memory;

impl Votes<Agreed<Value>> for Memory {
    fn keep(&mut self, _: &Vote<Agreed<Value>>) -> Result<(), Trouble> {
        Ok(())
    }
}

#[test]
fn messages_are_read() {
    let mut voter = Voter::<Value>::new(FLEET, InstanceId(66), Ok(None));
    let mut register = Register::<Value>::new(0, (ME, InstanceId(1)), &[ME], true, 1);
    for bytes in messages() {
        let mut answers = Written::by(ME);
        let read = if message::is_question(&bytes) {
            message::vote(&bytes, &mut voter, &mut Memory, &mut answers)
        } else {
            message::read(&bytes, &mut register, 0, &[], &mut answers)
        };
        assert_eq!(read, Ok(()), "{}", hex::encode(&bytes));
    }
}

#[test]
fn votes_keep_their_bytes() {
    let empty = Vote::<Agreed<Value>>::none(FLEET);
    let full = Vote { fleet: FLEET, promised: ballot(9), accepted: Some((ballot(8), agreed())) };
    let lines = [&empty, &full].map(|vote| {
        let bytes = postcard::to_stdvec(vote).expect("votes can be written");
        let read: Vote<Agreed<Value>> = postcard::from_bytes(&bytes).expect("votes can be read");
        assert_eq!(&read, vote);
        hex::encode(bytes)
    });
    insta::assert_snapshot!("votes", lines.join("\n"));
}
