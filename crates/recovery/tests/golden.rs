//! Bytes of snapshots and of messages between processes: a version that writes or reads others cannot run
//! beside the one before, nor read its disk.
use applepond_membership::RouterId;
use applepond_recovery::message::{self, Words};
use applepond_recovery::*;

const ME: RouterId = RouterId(0xaabb_ccdd_0011_2233);
const ROUTER: u64 = 0x0102_0304_0506_0708;

/// One fact of each sort.
fn facts() -> Vec<Fact> {
    let about = |(n, what)| About { what, key: 1_000_003 * (n as u64 + 1), life: 77 * n as u64 };
    let each = What::EACH.into_iter().enumerate();
    each.map(|(n, what)| Fact { about: about((n, what)), value: 0.5 + n as f32, age: 100_000 * n as u64 })
        .collect()
}

fn shared() -> Vec<Fact> {
    facts().into_iter().filter(|fact| fact.about.what.shared()).collect()
}

fn messages() -> Vec<Vec<u8>> {
    vec![
        message::ask(ME, 40_000, 300),
        message::give(ME, 40_000, 300, false, &shared()),
        message::give(ME, 40_000, 301, true, &[]),
        message::later(ME, 40_000, 250_000),
        message::empty(ME, 40_000),
    ]
}

#[derive(Default)]
struct Copies(Vec<Vec<u8>>);

impl Words for Copies {
    fn asked(&mut self, from: RouterId, number: u64, page: u16) {
        self.0.push(message::ask(from, number, page));
    }
    fn given(&mut self, from: RouterId, number: u64, page: u16, last: bool, facts: Vec<Fact>) {
        self.0.push(message::give(from, number, page, last, &facts));
    }
    fn later(&mut self, from: RouterId, number: u64, wait: u64) {
        self.0.push(message::later(from, number, wait));
    }
    fn empty(&mut self, from: RouterId, number: u64) {
        self.0.push(message::empty(from, number));
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
        assert_eq!(message::read(&message, &mut copies), Ok(()));
    }
    assert_eq!(copies.0, messages());
}

#[test]
fn snapshots_keep_their_bytes() {
    let mut known = Facts::default();
    facts().into_iter().for_each(|fact| known.note(0, fact));
    let boot = Some(Boot(0x1122_3344_5566_7788_99aa_bbcc_ddee_ff00));
    let written = [write(ROUTER, boot, 5_000_000, 0, &known), write(ROUTER, None, 0, 0, &Facts::default())];
    let lines: Vec<String> = written.iter().map(hex::encode).collect();
    insta::assert_snapshot!("snapshots", lines.join("\n"));
    let mut found = read(ROUTER, boot, 5_000_000, &written[0]).expect("a snapshot");
    found.sort_by_key(|fact| fact.about);
    assert_eq!(found, facts());
    let mut again = Facts::default();
    found.into_iter().for_each(|fact| again.note(0, fact));
    assert_eq!(write(ROUTER, boot, 5_000_000, 0, &again), written[0]);
}
