//! Golden bytes of messages between routers and digests of names. A change breaks compatibility with routers
//! of the previous version.
use applepond_membership::message::{
    DIGEST_BUCKETS, Header, Message, MessageHandler, Opinion, Suspicion, read,
};
use applepond_membership::{InstanceId, MemberStatus, Record, RouterId};
use std::net::SocketAddr;

fn header() -> Header {
    Header {
        from: RouterId(0xaabb_ccdd_0011_2233),
        instance_id: InstanceId(987_654_321),
        incarnation: 300,
        address: "10.1.2.3:7946".parse().expect("an address"),
    }
}

fn record(status: MemberStatus) -> Record {
    Record {
        name: "router-7".into(),
        zone: "zone-a".into(),
        address: "[fd00::7]:7946".parse().expect("an address"),
        instance_id: InstanceId(123_456_789),
        incarnation: 4,
        status,
    }
}

fn suspicion(opinion: Opinion) -> Suspicion {
    Suspicion {
        subject: RouterId(77),
        instance_id: InstanceId(88),
        incarnation: 9,
        voter: RouterId(0xffee_ddcc_bbaa_9988),
        sequence: 1_000_000,
        opinion,
    }
}

/// Each kind of message, and one message with all variants of updates.
fn messages() -> Vec<Message> {
    let (header, other) = (header(), RouterId(70_000));
    let address = "10.9.8.7:1234".parse().expect("an address");
    let digests: [u32; DIGEST_BUCKETS] = std::array::from_fn(|n| n as u32 * 65_537);
    let mut all = vec![
        Message::heartbeat(&header, Some(1_234_567), 0x0102_0304_0506_0708),
        Message::heartbeat(&header, None, 0),
        Message::ping_request(&header, other),
        Message::ping(&header, other),
        Message::ack(&header, other),
        Message::indirect_ack(&header, other, InstanceId(5)),
        Message::sync_request(&header, &digests),
        Message::updates(&header),
        Message::name_conflict(&header, InstanceId(5), address),
        Message::name_contested(&header, address),
    ];
    let mut updates = Message::updates(&header);
    for status in [MemberStatus::Joining, MemberStatus::Alive, MemberStatus::Left, MemberStatus::Dead] {
        assert!(updates.record(&record(status)));
    }
    for opinion in [Opinion::Withdrawn, Opinion::Suspected, Opinion::Dead] {
        assert!(updates.suspicion(&suspicion(opinion)));
    }
    all.push(updates);
    all
}

/// Encodes decoded messages again.
#[derive(Default)]
struct Reencoder(Vec<Message>, Vec<Record>, Vec<Suspicion>);

impl MessageHandler for Reencoder {
    fn heartbeat(&mut self, header: &Header, since_last_receipt: Option<u64>, view: u64) {
        self.0.push(Message::heartbeat(header, since_last_receipt, view));
    }
    fn ping_request(&mut self, header: &Header, target: RouterId) {
        self.0.push(Message::ping_request(header, target));
    }
    fn ping(&mut self, header: &Header, requester: RouterId) {
        self.0.push(Message::ping(header, requester));
    }
    fn ack(&mut self, header: &Header, requester: RouterId) {
        self.0.push(Message::ack(header, requester));
    }
    fn indirect_ack(&mut self, header: &Header, target: RouterId, instance_id: InstanceId) {
        self.0.push(Message::indirect_ack(header, target, instance_id));
    }
    fn sync_request(&mut self, header: &Header, view: &[u32; DIGEST_BUCKETS]) {
        self.0.push(Message::sync_request(header, view));
    }
    fn name_conflict(&mut self, header: &Header, instance_id: InstanceId, holder: SocketAddr) {
        self.0.push(Message::name_conflict(header, instance_id, holder));
    }
    fn name_contested(&mut self, header: &Header, claimant: SocketAddr) {
        self.0.push(Message::name_contested(header, claimant));
    }
    fn record(&mut self, _: &Header, record: Record) {
        self.1.push(record);
    }
    fn suspicion(&mut self, _: &Header, suspicion: Suspicion) {
        self.2.push(suspicion);
    }
}

#[test]
fn messages_keep_their_bytes() {
    let lines: Vec<String> = messages().iter().map(|message| hex::encode(message.bytes())).collect();
    insta::assert_snapshot!("messages", lines.join("\n"));
}

#[test]
fn messages_are_written_as_they_were_read() {
    for message in messages() {
        let mut reencoder = Reencoder::default();
        assert_eq!(read(message.bytes(), &mut reencoder), Ok(()));
        // A message that carries only updates has no body, so the handler is not called for it.
        let mut copy = reencoder.0.pop().unwrap_or_else(|| Message::updates(&header()));
        assert!(reencoder.1.iter().all(|record| copy.record(record)));
        assert!(reencoder.2.iter().all(|suspicion| copy.suspicion(suspicion)));
        assert_eq!(hex::encode(copy.bytes()), hex::encode(message.bytes()));
    }
}

#[test]
fn names_keep_their_digests() {
    let names = ["", "r1", "router-7", "a-longer-name-of-a-router-in-zone-b"];
    let lines = names.map(|name| format!("{name:?} {:016x}", RouterId::named(name).0));
    insta::assert_snapshot!("digests", lines.join("\n"));
}
