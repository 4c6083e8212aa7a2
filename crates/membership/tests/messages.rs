//! Truncated, mutated and forged messages are rejected and have no effect.
mod common;
use applepond_membership::message::{self, DIGEST_BUCKETS, Header, Message, MessageHandler};
use applepond_membership::{
    InstanceId, MAX_MESSAGE_BYTES, MAX_NAME_BYTES, MemberStatus, MessageError, Record, RouterId,
};
use common::{SECOND, SimulatedNetwork, address, lossy_link, name, record_message};
use proptest::prelude::*;
use std::net::SocketAddr;

/// Counts the parts of a message that are delivered.
#[derive(Default)]
struct ContentCounter(usize);

impl MessageHandler for ContentCounter {
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

/// One message of each kind, each followed by two records.
fn messages() -> Vec<Vec<u8>> {
    let (own, other) = (record(1), RouterId::named("r2"));
    let header = Header {
        from: RouterId::named("r1"),
        instance_id: own.instance_id,
        incarnation: 9,
        address: own.address,
    };
    let all = [
        Message::heartbeat(&header, Some(5), 77),
        Message::ping_request(&header, other),
        Message::ping(&header, other),
        Message::ack(&header, other),
        Message::indirect_ack(&header, other, InstanceId(3)),
        Message::sync_request(&header, &[3; DIGEST_BUCKETS]),
        Message::updates(&header),
        Message::name_conflict(&header, InstanceId(1), address(3)),
        Message::name_contested(&header, address(3)),
    ];
    let complete = |mut message: Message| {
        assert!(message.record(&record(4)) && message.record(&record(5)));
        message.bytes().to_vec()
    };
    all.into_iter().map(complete).collect()
}

// Guards against partial effects of a truncated message: unless it is truncated exactly between two updates,
// no part of it may be delivered.
#[test]
fn truncated_messages_have_no_effect() {
    for complete in messages() {
        let mut all = ContentCounter::default();
        assert_eq!(message::read(&complete, &mut all), Ok(()));
        for at in 0..complete.len() {
            let mut counter = ContentCounter::default();
            match message::read(&complete[..at], &mut counter) {
                Ok(()) => assert!(counter.0 < all.0),
                Err(_) => assert_eq!(counter.0, 0, "truncated at {at} of {}", complete.len()),
            }
        }
    }
}

#[test]
fn invalid_names_are_rejected() {
    for invalid in ["", "a b", "tab\t", &"x".repeat(MAX_NAME_BYTES + 1)] {
        let message = record_message(&record(1), &Record { name: invalid.to_owned(), ..record(2) });
        let mut counter = ContentCounter::default();
        assert_eq!(
            (message::read(&message, &mut counter), counter.0),
            (Err(MessageError::InvalidName), 0),
            "{invalid:?}"
        );
    }
}

#[test]
fn messages_stay_within_their_size() {
    let own = record(1);
    let header = Header {
        from: RouterId::named("r1"),
        instance_id: own.instance_id,
        incarnation: 9,
        address: own.address,
    };
    let mut message = Message::updates(&header);
    let fit = (0..1_000).take_while(|n| message.record(&record(*n))).count();
    assert!(fit > 10 && message.bytes().len() <= MAX_MESSAGE_BYTES);
}

proptest! {
    // Guards against panics on mutated messages; each router still counts itself as live afterwards.
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
        let mut network = SimulatedNetwork::fleet(1, 3, lossy_link(0.0));
        (0..3).for_each(|n| network.deliver(n, &bytes));
        network.run_for(SECOND);
        prop_assert!((0..3).all(|n| network.live_count(n) >= 1));
    }
}
