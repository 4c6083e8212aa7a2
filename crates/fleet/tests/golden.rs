//! Golden bytes of datagrams: a version that seals different bytes cannot share a fleet with its predecessor.
use applepond_fleet::envelope::{Envelopes, FleetKey, process_receiver};

#[test]
fn datagrams_keep_their_bytes() {
    let key = || FleetKey::from_secret(b"  a secret of sixteen bytes and more\n").expect("long enough");
    let mut sender = Envelopes::new(0x1122_3344_5566_7788, 8, vec![key()]);
    let to_process = process_receiver(7, 99);
    let sealed: Vec<Vec<u8>> = [(7, &b"a message"[..]), (0, b""), (to_process, b"for one process")]
        .into_iter()
        .map(|(to, message)| sender.seal(to, message).expect("short"))
        .collect();
    let lines: Vec<String> = sealed.iter().map(hex::encode).collect();
    insta::assert_snapshot!("datagrams", format!("{to_process:016x}\n{}", lines.join("\n")));
    let mut receiver = Envelopes::new(99, 7, vec![key()]);
    for (datagram, message) in sealed.iter().zip([&b"a message"[..], b"", b"for one process"]) {
        assert_eq!(receiver.open(datagram), Ok((0x1122_3344_5566_7788, message)));
    }
}
