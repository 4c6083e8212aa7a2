//! Golden bytes of the agreed list and of published panes. A change breaks compatibility with routers of the
//! previous version.
use applepond_prefix_cache::{PANE_DURATION, PaneCounter, Pin, PinList, PrefixId};

fn list() -> PinList {
    let pin = |n: u64| Pin { id: PrefixId(n * 0x0123_4567_89ab_cdef), size: 300 * n as u32 };
    PinList { pins: (1..=3).map(pin).collect() }
}

#[test]
fn lists_keep_their_bytes() {
    let written = [list(), PinList::default()].map(|list| list.write());
    insta::assert_snapshot!("lists", written.each_ref().map(hex::encode).join("\n"));
    assert_eq!(PinList::read(&written[0]).ok(), Some(list()));
    assert_eq!(PinList::read(&written[1]).ok(), Some(PinList::default()));
}

#[test]
fn panes_keep_their_bytes() {
    let mut panes = PaneCounter::new(0);
    for (id, uses) in [(1, 5), (0xffee_ddcc_bbaa_9988, 2), (70_000, 1)] {
        (0..uses).for_each(|_| panes.record_use(PrefixId(id)));
    }
    let counts = panes.take_finished(PANE_DURATION).expect("the pane has ended");
    let bytes = PaneCounter::write(&counts);
    insta::assert_snapshot!("panes", hex::encode(&bytes));
    let read = PaneCounter::read(counts.pane, &bytes).expect("valid counts");
    assert_eq!(PaneCounter::write(&read), bytes);
}
