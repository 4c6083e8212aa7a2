//! Messages that are torn, bent or made up: a clear refusal, and nothing of them counts.
mod common;
use applepond_membership::message::{self, BUCKETS, Head, Message, Words};
use applepond_membership::*;
use common::*;
use proptest::prelude::*;
use std::net::SocketAddr;

/// Counts what a message says.
#[derive(Default)]
struct Count(usize);

impl Words for Count {
    fn beat(&mut self, _: &Head, _: Option<u64>, _: u64) {
        self.0 += 1;
    }
    fn ask(&mut self, _: &Head, _: RouterId) {
        self.0 += 1;
    }
    fn probe(&mut self, _: &Head, _: RouterId) {
        self.0 += 1;
    }
    fn yes(&mut self, _: &Head, _: RouterId) {
        self.0 += 1;
    }
    fn vouch(&mut self, _: &Head, _: RouterId, _: InstanceId) {
        self.0 += 1;
    }
    fn compare(&mut self, _: &Head, _: &[u32; BUCKETS]) {
        self.0 += 1;
    }
    fn refused(&mut self, _: &Head, _: InstanceId, _: SocketAddr) {
        self.0 += 1;
    }
    fn taken(&mut self, _: &Head, _: SocketAddr) {
        self.0 += 1;
    }
    fn record(&mut self, _: &Head, _: Record) {
        self.0 += 1;
    }
    fn word(&mut self, _: &Head, _: message::Word) {
        self.0 += 1;
    }
}

fn record(n: usize) -> Record {
    let (zone, address) = ("z".to_owned(), address(n));
    Record {
        name: name(n),
        zone,
        address,
        instance_id: InstanceId(7),
        incarnation: 9,
        standing: MemberStatus::Alive,
    }
}

/// One of each kind, with two records behind.
fn messages() -> Vec<Vec<u8>> {
    let (own, other) = (record(1), RouterId::named("r2"));
    let head = Head {
        from: RouterId::named("r1"),
        instance_id: own.instance_id,
        incarnation: 9,
        address: own.address,
    };
    let all = [
        Message::beat(&head, Some(5), 77),
        Message::ask(&head, other),
        Message::probe(&head, other),
        Message::yes(&head, other),
        Message::vouch(&head, other, InstanceId(3)),
        Message::compare(&head, &[3; BUCKETS]),
        Message::news(&head),
        Message::refused(&head, InstanceId(1), address(3)),
        Message::taken(&head, address(3)),
    ];
    let whole = |mut message: Message| {
        assert!(message.record(&record(4)) && message.record(&record(5)));
        message.bytes().to_vec()
    };
    all.into_iter().map(whole).collect()
}

// Cut anywhere but between two records nothing is said at all: what comes before the cut does not count.
#[test]
fn cut_at_every_byte() {
    for whole in messages() {
        let mut all = Count::default();
        assert_eq!(message::read(&whole, &mut all), Ok(()));
        for at in 0..whole.len() {
            let mut said = Count::default();
            match message::read(&whole[..at], &mut said) {
                Ok(()) => assert!(said.0 < all.0),
                Err(_) => assert_eq!(said.0, 0, "cut at {at} of {}", whole.len()),
            }
        }
    }
}

#[test]
fn names_are_looked_at() {
    for bad in ["", "a b", "tab\t", &"x".repeat(NAME_MOST + 1)] {
        let message = news(&record(1), &Record { name: bad.to_owned(), ..record(2) });
        let mut said = Count::default();
        assert_eq!((message::read(&message, &mut said), said.0), (Err(Trouble::Name), 0), "{bad:?}");
    }
}

#[test]
fn a_message_has_a_most() {
    let own = record(1);
    let head = Head {
        from: RouterId::named("r1"),
        instance_id: own.instance_id,
        incarnation: 9,
        address: own.address,
    };
    let mut message = Message::news(&head);
    let fit = (0..1_000).take_while(|n| message.record(&record(*n))).count();
    assert!(fit > 10 && message.bytes().len() <= MESSAGE_MOST);
}

proptest! {
    // Whatever comes, nothing panics, and a fleet goes on with one view of itself afterwards.
    #[test]
    fn made_up(kind in 0usize..9, bits in proptest::collection::vec((0usize..4_000, 0u8..8), 1..6),
               tail in proptest::collection::vec(any::<u8>(), 0..40)) {
        let mut bytes = messages()[kind].clone();
        for (at, bit) in bits {
            let at = at % bytes.len();
            bytes[at] ^= 1 << bit;
        }
        bytes.extend(tail);
        let mut paper = SimulatedNetwork::fleet(1, 3, lossy(0.0));
        (0..3).for_each(|n| paper.tell(n, &bytes));
        paper.pass(S);
        prop_assert!((0..3).all(|n| paper.live(n) >= 1));
    }
}
