//! Bytes of messages between routers, and the digests of their names: a version that writes others cannot run
//! beside the one before.
use applepond_membership::message::{
    DIGEST_BUCKETS, Header, Message, MessageHandler, Opinion, Suspicion, read,
};
use applepond_membership::{InstanceId, MemberStatus, Record, RouterId};
use std::net::SocketAddr;

fn head() -> Header {
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

fn word(says: Opinion) -> Suspicion {
    Suspicion {
        subject: RouterId(77),
        instance_id: InstanceId(88),
        incarnation: 9,
        voter: RouterId(0xffee_ddcc_bbaa_9988),
        sequence: 1_000_000,
        says,
    }
}

/// Each kind of message, and what may follow in it.
fn messages() -> Vec<Message> {
    let (head, other) = (head(), RouterId(70_000));
    let address = "10.9.8.7:1234".parse().expect("an address");
    let parts: [u32; DIGEST_BUCKETS] = std::array::from_fn(|n| n as u32 * 65_537);
    let mut all = vec![
        Message::heartbeat(&head, Some(1_234_567), 0x0102_0304_0506_0708),
        Message::heartbeat(&head, None, 0),
        Message::ping_request(&head, other),
        Message::ping(&head, other),
        Message::ack(&head, other),
        Message::indirect_ack(&head, other, InstanceId(5)),
        Message::sync_request(&head, &parts),
        Message::updates(&head),
        Message::name_conflict(&head, InstanceId(5), address),
        Message::name_contested(&head, address),
    ];
    let mut news = Message::updates(&head);
    for status in [MemberStatus::Joining, MemberStatus::Alive, MemberStatus::Left, MemberStatus::Dead] {
        assert!(news.record(&record(status)));
    }
    for says in [Opinion::Withdrawn, Opinion::Suspected, Opinion::Dead] {
        assert!(news.suspicion(&word(says)));
    }
    all.push(news);
    all
}

/// Writes again what is read.
#[derive(Default)]
struct Copies(Vec<Message>, Vec<Record>, Vec<Suspicion>);

impl MessageHandler for Copies {
    fn heartbeat(&mut self, head: &Header, heard: Option<u64>, view: u64) {
        self.0.push(Message::heartbeat(head, heard, view));
    }
    fn ping_request(&mut self, head: &Header, whom: RouterId) {
        self.0.push(Message::ping_request(head, whom));
    }
    fn ping(&mut self, head: &Header, asker: RouterId) {
        self.0.push(Message::ping(head, asker));
    }
    fn ack(&mut self, head: &Header, asker: RouterId) {
        self.0.push(Message::ack(head, asker));
    }
    fn indirect_ack(&mut self, head: &Header, whom: RouterId, instance_id: InstanceId) {
        self.0.push(Message::indirect_ack(head, whom, instance_id));
    }
    fn sync_request(&mut self, head: &Header, view: &[u32; DIGEST_BUCKETS]) {
        self.0.push(Message::sync_request(head, view));
    }
    fn name_conflict(&mut self, head: &Header, instance_id: InstanceId, holder: SocketAddr) {
        self.0.push(Message::name_conflict(head, instance_id, holder));
    }
    fn name_contested(&mut self, head: &Header, by: SocketAddr) {
        self.0.push(Message::name_contested(head, by));
    }
    fn record(&mut self, _: &Header, record: Record) {
        self.1.push(record);
    }
    fn suspicion(&mut self, _: &Header, word: Suspicion) {
        self.2.push(word);
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
        let mut copies = Copies::default();
        assert_eq!(read(message.bytes(), &mut copies), Ok(()));
        // News has no call of its own.
        let mut copy = copies.0.pop().unwrap_or_else(|| Message::updates(&head()));
        assert!(copies.1.iter().all(|record| copy.record(record)));
        assert!(copies.2.iter().all(|word| copy.suspicion(word)));
        assert_eq!(hex::encode(copy.bytes()), hex::encode(message.bytes()));
    }
}

#[test]
fn names_keep_their_digests() {
    let names = ["", "r1", "router-7", "a-longer-name-of-a-router-in-zone-b"];
    let lines = names.map(|name| format!("{name:?} {:016x}", RouterId::named(name).0));
    insta::assert_snapshot!("digests", lines.join("\n"));
}
