//! Tests of sealing and opening datagrams, and of the reasons for which they are dropped.
use applepond_fleet::envelope::{
    DropReason, Envelopes, FleetKey, MAX_DATAGRAM_BYTES, OVERHEAD_BYTES, process_receiver,
};
use proptest::prelude::*;
use test_case::test_case;

fn test_key(n: u8) -> FleetKey {
    FleetKey::from_secret(&[b'a' + n; 20]).expect("long enough")
}

/// Envelopes of router 7, with key 0.
fn receiver_envelopes(instance_id: u64) -> Envelopes {
    Envelopes::new(instance_id, 7, vec![test_key(0)])
}

/// Envelopes of router 8 with key 0, the sender in these tests.
fn sender_envelopes() -> Envelopes {
    Envelopes::new(100, 8, vec![test_key(0)])
}

#[test]
fn sealed_datagrams_open() {
    let sealed = sender_envelopes().seal(7, b"a message").expect("short");
    assert_eq!(receiver_envelopes(1).open(&sealed), Ok((100, &b"a message"[..])));
    assert_eq!(
        sender_envelopes().seal(0, &[0; MAX_DATAGRAM_BYTES - OVERHEAD_BYTES]).map(|b| b.len()),
        Some(MAX_DATAGRAM_BYTES)
    );
    assert_eq!(sender_envelopes().seal(0, &[0; MAX_DATAGRAM_BYTES - OVERHEAD_BYTES + 1]), None);
}

#[test_case(b"fifteen bytes..", false; "too short")]
#[test_case(b"  fifteen bytes..  \n", false; "surrounding white space is ignored")]
#[test_case(b"sixteen bytes...\n", true; "long enough")]
fn secrets_need_sixteen_bytes(secret: &[u8], accepted: bool) {
    assert_eq!(FleetKey::from_secret(secret).is_some(), accepted);
}

// Truncates a datagram at every byte and flips every bit. Each variant is dropped, and the intact datagram
// still opens afterwards.
#[test]
fn damaged_datagrams_are_dropped() {
    let sealed = sender_envelopes().seal(7, b"a message").expect("short");
    let mut router = receiver_envelopes(1);
    for at in 0..sealed.len() {
        let reason = if at < OVERHEAD_BYTES { DropReason::Malformed } else { DropReason::NotAuthentic };
        assert_eq!(router.open(&sealed[..at]), Err(reason), "truncated at {at}");
        for bit in 0..8 {
            let mut flipped = sealed.clone();
            flipped[at] ^= 1 << bit;
            let reason = if at == 0 { DropReason::UnknownVersion } else { DropReason::NotAuthentic };
            assert_eq!(router.open(&flipped), Err(reason), "bit {bit} of byte {at}");
        }
    }
    assert!(router.open(&sealed).is_ok(), "the intact datagram still opens");
    let (length, malformed) = (sealed.len() as u64, OVERHEAD_BYTES as u64);
    let counts: Vec<u64> = router.dropped().values().copied().collect();
    assert_eq!(
        counts,
        [malformed, 8, length - malformed + 8 * (length - 1)],
        "malformed, unknown version, not authentic"
    );
}

#[test]
fn a_datagram_for_another_router_is_dropped() {
    let sealed = sender_envelopes().seal(9, b"x").expect("short");
    assert_eq!(receiver_envelopes(1).open(&sealed), Err(DropReason::WrongReceiver));
}

// A datagram addressed to one process is rejected by its successor under the same name, even if the replay
// filter of the successor does not know the sender yet.
#[test]
fn datagrams_for_a_previous_process_are_dropped() {
    let mut sender = sender_envelopes();
    let mut seal = || sender.seal(process_receiver(7, 55), b"x").expect("short");
    let mut addressed = receiver_envelopes(55);
    assert!(addressed.open(&seal()).is_ok() && addressed.last_was_for_process());
    assert_eq!(receiver_envelopes(56).open(&seal()), Err(DropReason::WrongReceiver));
    let mut any = receiver_envelopes(55);
    assert!(
        any.open(&sender_envelopes().seal(0, b"x").expect("short")).is_ok() && !any.last_was_for_process()
    );
}

// During a key rotation both keys open datagrams; a removed key opens none.
#[test]
fn both_keys_open_during_a_rotation() {
    let mut sender = sender_envelopes();
    let mut router = Envelopes::new(1, 7, vec![test_key(1), test_key(0)]);
    assert!(router.open(&sender.seal(7, b"old").expect("short")).is_ok());
    sender.set_keys(vec![test_key(1)]);
    assert!(router.open(&sender.seal(7, b"new").expect("short")).is_ok());
    router.set_keys(vec![test_key(1)]);
    let late = sender_envelopes().seal(7, b"old").expect("short");
    assert_eq!(router.open(&late), Err(DropReason::NotAuthentic));
}

// Datagrams open in any order, each once. One whose sequence number is below the replay window is dropped.
#[test_case(&[3, 1, 2], &[true, true, true]; "out of order")]
#[test_case(&[1, 1], &[true, false]; "repeated")]
#[test_case(&[1, 2, 1], &[true, true, false]; "repeated later")]
#[test_case(&[70, 6, 5], &[true, true, false]; "at the edge of the window and beyond")]
#[test_case(&[1, 65, 1, 2], &[true, true, false, true]; "highest advanced by the whole window")]
#[test_case(&[1, 66, 1, 2], &[true, true, false, true]; "highest advanced by more than the window")]
fn each_sequence_number_opens_once(order: &[usize], opens: &[bool]) {
    let mut sender = sender_envelopes();
    let all: Vec<Vec<u8>> = (0..70).map(|_| sender.seal(7, b"x").expect("short")).collect();
    let mut router = receiver_envelopes(1);
    let opened: Vec<bool> = order.iter().map(|n| router.open(&all[n - 1]).is_ok()).collect();
    assert_eq!(opened, opens);
}

#[test]
fn own_datagrams_are_dropped() {
    let mut router = Envelopes::new(5, 7, vec![test_key(0)]);
    let sealed = router.seal(0, b"x").expect("short");
    assert_eq!(router.open(&sealed), Err(DropReason::Replayed));
}

proptest! {
    // Compares the replay filter with a set of all numbers seen, limited to the replay window.
    #[test]
    fn sequence_numbers_behave_as_a_set(order in proptest::collection::vec(0usize..200, 1..300)) {
        let mut sender = sender_envelopes();
        let all: Vec<Vec<u8>> = (0..200).map(|_| sender.seal(7, b"x").expect("short")).collect();
        let (mut router, mut seen, mut highest) =
            (receiver_envelopes(1), std::collections::BTreeSet::new(), 0);
        for n in order {
            let too_old = highest > n && highest - n > 64;
            prop_assert_eq!(router.open(&all[n]).is_ok(), !too_old && seen.insert(n));
            highest = highest.max(n);
        }
    }

    #[test]
    fn random_bytes_never_open(bytes in proptest::collection::vec(any::<u8>(), 0..1_400)) {
        prop_assert!(receiver_envelopes(1).open(&bytes).is_err());
    }
}

// The state page shows the reasons under these names.
#[test]
fn drop_reasons_keep_their_names() {
    let reasons = [
        DropReason::Malformed,
        DropReason::UnknownVersion,
        DropReason::NotAuthentic,
        DropReason::WrongReceiver,
        DropReason::Replayed,
    ];
    assert_eq!(reasons.map(DropReason::as_str), ["torn", "version", "foreign", "misled", "replayed"]);
}
