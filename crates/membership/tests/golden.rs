//! Bytes of messages between routers, and the digests of their names: a version that writes others cannot run
//! beside the one before.
use applepond_membership::message::{BUCKETS, Head, Message, Says, Word, Words, read};
use applepond_membership::{InstanceId, MemberStatus, Record, RouterId};
use std::net::SocketAddr;

fn head() -> Head {
    Head {
        from: RouterId(0xaabb_ccdd_0011_2233),
        instance_id: InstanceId(987_654_321),
        incarnation: 300,
        address: "10.1.2.3:7946".parse().expect("an address"),
    }
}

fn record(standing: MemberStatus) -> Record {
    Record {
        name: "router-7".into(),
        zone: "zone-a".into(),
        address: "[fd00::7]:7946".parse().expect("an address"),
        instance_id: InstanceId(123_456_789),
        incarnation: 4,
        standing,
    }
}

fn word(says: Says) -> Word {
    Word {
        subject: RouterId(77),
        instance_id: InstanceId(88),
        incarnation: 9,
        voter: RouterId(0xffee_ddcc_bbaa_9988),
        stamp: 1_000_000,
        says,
    }
}

/// Each kind of message, and what may follow in it.
fn messages() -> Vec<Message> {
    let (head, other) = (head(), RouterId(70_000));
    let address = "10.9.8.7:1234".parse().expect("an address");
    let parts: [u32; BUCKETS] = std::array::from_fn(|n| n as u32 * 65_537);
    let mut all = vec![
        Message::beat(&head, Some(1_234_567), 0x0102_0304_0506_0708),
        Message::beat(&head, None, 0),
        Message::ask(&head, other),
        Message::probe(&head, other),
        Message::yes(&head, other),
        Message::vouch(&head, other, InstanceId(5)),
        Message::compare(&head, &parts),
        Message::news(&head),
        Message::refused(&head, InstanceId(5), address),
        Message::taken(&head, address),
    ];
    let mut news = Message::news(&head);
    for standing in [MemberStatus::Joining, MemberStatus::Alive, MemberStatus::Left, MemberStatus::Gone] {
        assert!(news.record(&record(standing)));
    }
    for says in [Says::Withdrawn, Says::Silent, Says::Gone] {
        assert!(news.word(&word(says)));
    }
    all.push(news);
    all
}

/// Writes again what is read.
#[derive(Default)]
struct Copies(Vec<Message>, Vec<Record>, Vec<Word>);

impl Words for Copies {
    fn beat(&mut self, head: &Head, heard: Option<u64>, view: u64) {
        self.0.push(Message::beat(head, heard, view));
    }
    fn ask(&mut self, head: &Head, whom: RouterId) {
        self.0.push(Message::ask(head, whom));
    }
    fn probe(&mut self, head: &Head, asker: RouterId) {
        self.0.push(Message::probe(head, asker));
    }
    fn yes(&mut self, head: &Head, asker: RouterId) {
        self.0.push(Message::yes(head, asker));
    }
    fn vouch(&mut self, head: &Head, whom: RouterId, instance_id: InstanceId) {
        self.0.push(Message::vouch(head, whom, instance_id));
    }
    fn compare(&mut self, head: &Head, view: &[u32; BUCKETS]) {
        self.0.push(Message::compare(head, view));
    }
    fn refused(&mut self, head: &Head, instance_id: InstanceId, holder: SocketAddr) {
        self.0.push(Message::refused(head, instance_id, holder));
    }
    fn taken(&mut self, head: &Head, by: SocketAddr) {
        self.0.push(Message::taken(head, by));
    }
    fn record(&mut self, _: &Head, record: Record) {
        self.1.push(record);
    }
    fn word(&mut self, _: &Head, word: Word) {
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
        let mut copy = copies.0.pop().unwrap_or_else(|| Message::news(&head()));
        assert!(copies.1.iter().all(|record| copy.record(record)));
        assert!(copies.2.iter().all(|word| copy.word(word)));
        assert_eq!(hex::encode(copy.bytes()), hex::encode(message.bytes()));
    }
}

#[test]
fn names_keep_their_digests() {
    let names = ["", "r1", "router-7", "a-longer-name-of-a-router-in-zone-b"];
    let lines = names.map(|name| format!("{name:?} {:016x}", RouterId::named(name).0));
    insta::assert_snapshot!("digests", lines.join("\n"));
}
