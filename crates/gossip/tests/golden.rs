//! Golden bytes of messages between neighbours. A change breaks compatibility with routers of the previous
//! version.
use applepond_gossip::{Actions, Gossip, Key, Kind, KindLifetime, SYNC_INTERVAL};
use applepond_membership::RouterId;

const KIND: Kind = Kind(1);
const ORIGIN: RouterId = RouterId(0xaabb_ccdd_0011_2233);
const OTHER: RouterId = RouterId(70_000);

#[derive(Default)]
struct Sent(Vec<Vec<u8>>);

impl Actions for Sent {
    fn send(&mut self, _: RouterId, message: Vec<u8>) {
        self.0.push(message);
    }
}

/// Messages of an exchange between two neighbours with different entries, until both have the same.
fn exchange() -> Vec<Vec<u8>> {
    let rows: [KindLifetime; 0] = [];
    let mut origin = Gossip::new(0, ORIGIN, 300, &rows, 1);
    let mut other = Gossip::new(0, OTHER, 4, &rows, 2);
    for (key, value) in [(Key(7), &b"a value"[..]), (Key(0xffee_ddcc_bbaa_9988), b"another")] {
        origin.publish(1_000, KIND, key, value).expect("within the limits");
    }
    origin.withdraw(2_000, KIND, Key(7));
    other.publish(1_500, Kind(2), Key(9), b"its own").expect("within the limits");
    let live: std::collections::BTreeSet<RouterId> = [ORIGIN, OTHER].into();
    origin.set_live_members(3_000, live.clone());
    other.set_live_members(3_000, live);
    let mut all = Vec::new();
    let mut out = Sent::default();
    other.handle_timeout(SYNC_INTERVAL, &[ORIGIN], &mut out);
    let mut to_origin = true;
    while !out.0.is_empty() {
        let mut answers = Sent::default();
        for message in out.0 {
            let (reader, from) = if to_origin { (&mut origin, OTHER) } else { (&mut other, ORIGIN) };
            reader
                .handle_message(SYNC_INTERVAL + 1_000, from, &message, &mut answers)
                .expect("a valid message");
            all.push(message);
        }
        (out, to_origin) = (answers, !to_origin);
    }
    assert_eq!(origin.view_digest(), other.view_digest());
    all
}

#[test]
fn messages_keep_their_bytes() {
    let lines: Vec<String> = exchange().iter().map(hex::encode).collect();
    let kinds: std::collections::BTreeSet<&str> = lines.iter().map(|line| &line[2..4]).collect();
    assert_eq!(kinds.len(), 4, "all kinds of messages: {kinds:?}");
    insta::assert_snapshot!("messages", lines.join("\n"));
}
