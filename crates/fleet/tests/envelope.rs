//! What opens, and what is dropped for which reason.
use applepond_fleet::envelope::{
    DropReason, Envelopes, FleetKey, MAX_DATAGRAM_BYTES, OVERHEAD_BYTES, process,
};
use proptest::prelude::*;
use test_case::test_case;

fn key(n: u8) -> FleetKey {
    FleetKey::from_secret(&[b'a' + n; 20]).expect("long enough")
}

/// Router 7 with this instance id under key 0.
fn seven(instance_id: u64) -> Envelopes {
    Envelopes::new(instance_id, 7, vec![key(0)])
}

/// The sender of all that is opened here.
fn eight() -> Envelopes {
    Envelopes::new(100, 8, vec![key(0)])
}

#[test]
fn what_is_sealed_opens() {
    let sealed = eight().seal(7, b"a message").expect("short");
    assert_eq!(seven(1).open(&sealed), Ok((100, &b"a message"[..])));
    assert_eq!(
        eight().seal(0, &[0; MAX_DATAGRAM_BYTES - OVERHEAD_BYTES]).map(|b| b.len()),
        Some(MAX_DATAGRAM_BYTES)
    );
    assert_eq!(eight().seal(0, &[0; MAX_DATAGRAM_BYTES - OVERHEAD_BYTES + 1]), None);
}

#[test_case(b"fifteen bytes..", false; "too short")]
#[test_case(b"  fifteen bytes..  \n", false; "white space does not count")]
#[test_case(b"sixteen bytes...\n", true; "long enough")]
fn a_secret_has_sixteen_bytes(secret: &[u8], good: bool) {
    assert_eq!(FleetKey::from_secret(secret).is_some(), good);
}

// Cut at every byte, and every bit turned: dropped, and nothing else harmed.
#[test]
fn what_is_damaged_is_dropped() {
    let sealed = eight().seal(7, b"a message").expect("short");
    let mut router = seven(1);
    for at in 0..sealed.len() {
        let torn = if at < OVERHEAD_BYTES { DropReason::Malformed } else { DropReason::NotAuthentic };
        assert_eq!(router.open(&sealed[..at]), Err(torn), "cut at {at}");
        for bit in 0..8 {
            let mut bent = sealed.clone();
            bent[at] ^= 1 << bit;
            let why = if at == 0 { DropReason::UnknownVersion } else { DropReason::NotAuthentic };
            assert_eq!(router.open(&bent), Err(why), "bit {bit} of byte {at}");
        }
    }
    assert!(router.open(&sealed).is_ok(), "the whole one still opens");
    let (all, torn) = (sealed.len() as u64, OVERHEAD_BYTES as u64);
    let counts: Vec<u64> = router.dropped().values().copied().collect();
    assert_eq!(counts, [torn, 8, all - torn + 8 * (all - 1)], "torn, version, foreign");
}

#[test]
fn a_datagram_for_another_router_is_dropped() {
    let sealed = eight().seal(9, b"x").expect("short");
    assert_eq!(seven(1).open(&sealed), Err(DropReason::WrongReceiver));
}

// For one process alone: the one after it under the same name does not take it, also where nothing has come
// from this sender before.
#[test]
fn a_datagram_for_a_process_before_is_dropped() {
    let mut sender = eight();
    let mut seal = || sender.seal(process(7, 55), b"x").expect("short");
    let mut there = seven(55);
    assert!(there.open(&seal()).is_ok() && there.was_for_me());
    assert_eq!(seven(56).open(&seal()), Err(DropReason::WrongReceiver));
    let mut any = seven(55);
    assert!(any.open(&eight().seal(0, b"x").expect("short")).is_ok() && !any.was_for_me());
}

// Two keys hold during a change; a key that went opens nothing.
#[test]
fn both_keys_open_during_a_change() {
    let mut sender = eight();
    let mut router = Envelopes::new(1, 7, vec![key(1), key(0)]);
    assert!(router.open(&sender.seal(7, b"old").expect("short")).is_ok());
    sender.set_keys(vec![key(1)]);
    assert!(router.open(&sender.seal(7, b"new").expect("short")).is_ok());
    router.set_keys(vec![key(1)]);
    let late = eight().seal(7, b"old").expect("short");
    assert_eq!(router.open(&late), Err(DropReason::NotAuthentic));
}

// In any order, each once; what is so old that it cannot be told any more does not open.
#[test_case(&[3, 1, 2], &[true, true, true]; "out of order")]
#[test_case(&[1, 1], &[true, false]; "repeated")]
#[test_case(&[1, 2, 1], &[true, true, false]; "repeated later")]
#[test_case(&[70, 6, 5], &[true, true, false]; "at the edge and beyond")]
#[test_case(&[1, 65, 1, 2], &[true, true, false, true]; "the highest moved by the whole window")]
#[test_case(&[1, 66, 1, 2], &[true, true, false, true]; "and by more")]
fn each_sequence_number_opens_once(order: &[usize], opens: &[bool]) {
    let mut sender = eight();
    let all: Vec<Vec<u8>> = (0..70).map(|_| sender.seal(7, b"x").expect("short")).collect();
    let mut router = seven(1);
    let got: Vec<bool> = order.iter().map(|n| router.open(&all[n - 1]).is_ok()).collect();
    assert_eq!(got, opens);
}

#[test]
fn its_own_datagrams_are_dropped() {
    let mut router = Envelopes::new(5, 7, vec![key(0)]);
    let sealed = router.seal(0, b"x").expect("short");
    assert_eq!(router.open(&sealed), Err(DropReason::Replayed));
}

proptest! {
    // Against a plain set: each count opens once, as long as it is within the window.
    #[test]
    fn sequence_numbers_behave_as_a_set(order in proptest::collection::vec(0usize..200, 1..300)) {
        let mut sender = eight();
        let all: Vec<Vec<u8>> = (0..200).map(|_| sender.seal(7, b"x").expect("short")).collect();
        let (mut router, mut seen, mut highest) = (seven(1), std::collections::BTreeSet::new(), 0);
        for n in order {
            let old = highest > n && highest - n > 64;
            prop_assert_eq!(router.open(&all[n]).is_ok(), !old && seen.insert(n));
            highest = highest.max(n);
        }
    }

    #[test]
    fn noise_never_opens(bytes in proptest::collection::vec(any::<u8>(), 0..1_400)) {
        prop_assert!(seven(1).open(&bytes).is_err());
    }
}

// The names that the state page shows.
#[test]
fn reasons_have_their_names() {
    let reasons = [
        DropReason::Malformed,
        DropReason::UnknownVersion,
        DropReason::NotAuthentic,
        DropReason::WrongReceiver,
        DropReason::Replayed,
    ];
    assert_eq!(reasons.map(DropReason::as_str), ["torn", "version", "foreign", "misled", "replayed"]);
}
