//! Truncated, mutated and forged messages: they are rejected and have no effect.
mod common;
use applepond_membership::message::{self, DIGEST_BUCKETS, Header, Message, MessageHandler};
use applepond_membership::{
    InstanceId, MAX_MESSAGE_BYTES, MAX_NAME_BYTES, MemberStatus, MessageError, Record, RouterId,
};
use common::{SECOND, SimulatedNetwork, address, lossy, name, news};
use proptest::prelude::*;
use std::net::SocketAddr;

/// Counts what a message says.
#[derive(Default)]
struct Count(usize);

impl MessageHandler for Count {
    fn heartbeat(&mut self, _: &Header, _: Option<u64>, _: u64) {
        self.0 += 1;
    }
    fn ping_request(&mut self, _: &Header, _: RouterId) {
        self.0 += 1;
    }
    fn ping(&mut self, _: &Header, _: RouterId) {
        self.0 += 1;
    }
    fn ack(&mut self, _: &Header, _: RouterId) {
        self.0 += 1;
    }
    fn indirect_ack(&mut self, _: &Header, _: RouterId, _: InstanceId) {
        self.0 += 1;
    }
    fn sync_request(&mut self, _: &Header, _: &[u32; DIGEST_BUCKETS]) {
        self.0 += 1;
    }
    fn name_conflict(&mut self, _: &Header, _: InstanceId, _: SocketAddr) {
        self.0 += 1;
    }
    fn name_contested(&mut self, _: &Header, _: SocketAddr) {
        self.0 += 1;
    }
    fn record(&mut self, _: &Header, _: Record) {
        self.0 += 1;
    }
    fn suspicion(&mut self, _: &Header, _: message::Suspicion) {
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
        status: MemberStatus::Alive,
    }
}

/// One of each kind, with two records behind.
fn messages() -> Vec<Vec<u8>> {
    let (own, other) = (record(1), RouterId::named("r2"));
    let head = Header {
        from: RouterId::named("r1"),
        instance_id: own.instance_id,
        incarnation: 9,
        address: own.address,
    };
    let all = [
        Message::heartbeat(&head, Some(5), 77),
        Message::ping_request(&head, other),
        Message::ping(&head, other),
        Message::ack(&head, other),
        Message::indirect_ack(&head, other, InstanceId(3)),
        Message::sync_request(&head, &[3; DIGEST_BUCKETS]),
        Message::updates(&head),
        Message::name_conflict(&head, InstanceId(1), address(3)),
        Message::name_contested(&head, address(3)),
    ];
    let whole = |mut message: Message| {
        assert!(message.record(&record(4)) && message.record(&record(5)));
        message.bytes().to_vec()
    };
    all.into_iter().map(whole).collect()
}

// Cut anywhere but between two records nothing is said at all: what comes before the cut does not count.
#[test]
fn truncated_messages_have_no_effect() {
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
fn invalid_names_are_rejected() {
    for bad in ["", "a b", "tab\t", &"x".repeat(MAX_NAME_BYTES + 1)] {
        let message = news(&record(1), &Record { name: bad.to_owned(), ..record(2) });
        let mut said = Count::default();
        assert_eq!(
            (message::read(&message, &mut said), said.0),
            (Err(MessageError::InvalidName), 0),
            "{bad:?}"
        );
    }
}

#[test]
fn messages_stay_within_their_size() {
    let own = record(1);
    let head = Header {
        from: RouterId::named("r1"),
        instance_id: own.instance_id,
        incarnation: 9,
        address: own.address,
    };
    let mut message = Message::updates(&head);
    let fit = (0..1_000).take_while(|n| message.record(&record(*n))).count();
    assert!(fit > 10 && message.bytes().len() <= MAX_MESSAGE_BYTES);
}

proptest! {
    // Whatever comes, nothing panics, and a fleet goes on with one view of itself afterwards.
    #[test]
    fn mutated_messages_do_no_harm(kind in 0usize..9,
               bits in proptest::collection::vec((0usize..4_000, 0u8..8), 1..6),
               tail in proptest::collection::vec(any::<u8>(), 0..40)) {
        let mut bytes = messages()[kind].clone();
        for (at, bit) in bits {
            let at = at % bytes.len();
            bytes[at] ^= 1 << bit;
        }
        bytes.extend(tail);
        let mut network = SimulatedNetwork::fleet(1, 3, lossy(0.0));
        (0..3).for_each(|n| network.deliver(n, &bytes));
        network.run_for(SECOND);
        prop_assert!((0..3).all(|n| network.live_count(n) >= 1));
    }
}
