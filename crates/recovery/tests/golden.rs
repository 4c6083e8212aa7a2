//! The encoding of snapshots and messages. A version that changes it cannot run alongside the previous one,
//! nor read its files.
use applepond_membership::RouterId;
use applepond_recovery::message::{self, MessageVisitor};
use applepond_recovery::{BootId, Fact, FactKey, FactKind, Facts, decode_snapshot, encode_snapshot};

const ME: RouterId = RouterId(0xaabb_ccdd_0011_2233);
const ROUTER: u64 = 0x0102_0304_0506_0708;

/// One fact of each kind.
fn facts() -> Vec<Fact> {
    let key_of =
        |(n, kind)| FactKey { kind, subject: 1_000_003 * (n as u64 + 1), incarnation: 77 * n as u64 };
    let each = FactKind::EACH.into_iter().enumerate();
    each.map(|(n, kind)| Fact { key: key_of((n, kind)), value: 0.5 + n as f32, age: 100_000 * n as u64 })
        .collect()
}

fn shared() -> Vec<Fact> {
    facts().into_iter().filter(|fact| fact.key.kind.is_shared()).collect()
}

fn messages() -> Vec<Vec<u8>> {
    vec![
        message::encode_request(ME, 40_000, 300),
        message::encode_page(ME, 40_000, 300, false, &shared()),
        message::encode_page(ME, 40_000, 301, true, &[]),
        message::encode_retry_later(ME, 40_000, 250_000),
        message::encode_empty(ME, 40_000),
    ]
}

#[derive(Default)]
struct Copies(Vec<Vec<u8>>);

impl MessageVisitor for Copies {
    fn on_request(&mut self, from: RouterId, number: u64, page: u16) {
        self.0.push(message::encode_request(from, number, page));
    }
    fn on_page(&mut self, from: RouterId, number: u64, page: u16, last: bool, facts: Vec<Fact>) {
        self.0.push(message::encode_page(from, number, page, last, &facts));
    }
    fn on_retry_later(&mut self, from: RouterId, number: u64, wait: u64) {
        self.0.push(message::encode_retry_later(from, number, wait));
    }
    fn on_empty(&mut self, from: RouterId, number: u64) {
        self.0.push(message::encode_empty(from, number));
    }
}

#[test]
fn messages_keep_their_bytes() {
    let lines: Vec<String> = messages().iter().map(hex::encode).collect();
    insta::assert_snapshot!("messages", lines.join("\n"));
}

#[test]
fn messages_are_written_as_they_were_read() {
    let mut copies = Copies::default();
    for message in messages() {
        assert_eq!(message::decode(&message, &mut copies), Ok(()));
    }
    assert_eq!(copies.0, messages());
}

#[test]
fn snapshots_keep_their_bytes() {
    let mut known = Facts::default();
    facts().into_iter().for_each(|fact| known.insert(0, fact));
    let boot = Some(BootId(0x1122_3344_5566_7788_99aa_bbcc_ddee_ff00));
    let written = [
        encode_snapshot(ROUTER, boot, 5_000_000, 0, &known),
        encode_snapshot(ROUTER, None, 0, 0, &Facts::default()),
    ];
    let lines: Vec<String> = written.iter().map(hex::encode).collect();
    insta::assert_snapshot!("snapshots", lines.join("\n"));
    let mut found = decode_snapshot(ROUTER, boot, 5_000_000, &written[0]).expect("a snapshot");
    found.sort_by_key(|fact| fact.key);
    assert_eq!(found, facts());
    let mut again = Facts::default();
    found.into_iter().for_each(|fact| again.insert(0, fact));
    assert_eq!(encode_snapshot(ROUTER, boot, 5_000_000, 0, &again), written[0]);
}
