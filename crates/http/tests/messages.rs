//! Decoding of valid messages, whole and split at every byte, and rejection of invalid ones.
use applepond_http::Fault;
use applepond_http::cloudevent::{EventSink, Reader};
use applepond_http::decode::{Decoder, Fields, Side, Step, Visitor};
use applepond_http::encode;
use proptest::prelude::*;
use test_case::test_case;

const MAX_HEAD_BYTES: usize = 16 * 1024;
const MAX_BODY_BYTES: u64 = 1024;

/// Records the visits of a decoder as lines of text. With `events` it reads each request as a CloudEvent, as
/// the gateway does.
#[derive(Default)]
struct RecordingVisitor {
    visits: Visits,
    reader: Option<Reader>,
    body: Vec<u8>,
    events: bool,
}

#[derive(Default)]
struct Visits(Vec<String>);

impl Visits {
    fn push(&mut self, line: String) {
        self.0.push(line);
    }
}

impl EventSink for Visits {
    fn attribute(&mut self, name: &str, value: &str) {
        self.push(format!("{name}={value}"));
    }
    fn data(&mut self, media: Option<&str>, bytes: Vec<u8>) {
        self.push(format!("data {media:?} {}", String::from_utf8_lossy(&bytes)));
    }
}

impl Visitor for RecordingVisitor {
    fn request(&mut self, method: &str, target: &str, fields: &Fields<'_>) -> Result<(), Fault> {
        self.visits.push(format!("{method} {target}"));
        if self.events {
            self.reader = Some(Reader::head(fields, &mut self.visits)?);
        }
        Ok(())
    }
    fn response(&mut self, status: u16, _: &Fields<'_>) -> Result<(), Fault> {
        self.visits.push(format!("status {status}"));
        Ok(())
    }
    fn body(&mut self, bytes: &[u8]) -> Result<(), Fault> {
        self.body.extend_from_slice(bytes);
        Ok(())
    }
    fn end(&mut self, keep_alive: bool) -> Result<(), Fault> {
        let body = std::mem::take(&mut self.body);
        match self.reader.take() {
            Some(reader) => reader.body(body, &mut self.visits)?,
            None => self.visits.push(String::from_utf8_lossy(&body).into_owned()),
        }
        self.visits.push(format!("end {keep_alive}"));
        Ok(())
    }
}

fn decode(side: Side, events: bool, pieces: &[&[u8]]) -> (Vec<String>, Option<Fault>) {
    let mut decoder = Decoder::new(side, MAX_HEAD_BYTES, MAX_BODY_BYTES);
    let mut record = RecordingVisitor { events, ..RecordingVisitor::default() };
    for piece in pieces {
        decoder.feed(piece);
        loop {
            match decoder.step(&mut record) {
                Ok(Step::Done) => {}
                Ok(Step::More) => break,
                Err(fault) => return (record.visits.0, Some(fault)),
            }
        }
    }
    let fault = decoder.finish(&mut record).err();
    (record.visits.0, fault)
}

const BINARY: &str = "POST /events HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\n\
    ce-specversion: 1.0\r\nce-id: 7%20b\r\nce-source: /desk\r\nce-type: quote\r\n\
    CE-Subject: hut\r\nContent-Length: 2\r\n\r\n{}";
const STRUCTURED: &str = "POST /events HTTP/1.1\r\nHost: a\r\n\
    Content-Type: application/cloudevents+json; charset=utf-8\r\nTransfer-Encoding: chunked\r\n\r\n\
    1e\r\n{\"specversion\":\"1.0\",\"id\":\"7\",\r\n\
    30;x=1\r\n\"source\":\"/d\",\"type\":\"q\",\"n\":3,\"data\":{\"a\":\"b\"}}\r\n0\r\nT: x\r\n\r\n";
const PIPELINED: &str = "\r\nPOST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc\
    GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
const RESPONSES: &str = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok\
    HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 200 OK\r\n\r\nuntil the end";

#[test_case(Side::Server, true, BINARY, &["POST /events", "specversion=1.0", "id=7 b", "source=/desk",
    "type=quote", "subject=hut", "data Some(\"application/json\") {}", "end true"]; "binary")]
#[test_case(Side::Server, true, STRUCTURED, &["POST /events", "id=7", "n=3", "source=/d", "specversion=1.0",
    "type=q", "data Some(\"application/json\") {\"a\":\"b\"}", "end true"]; "structured in chunks")]
#[test_case(Side::Server, false, PIPELINED, &["POST /", "abc", "end true", "GET /x", "", "end false"];
    "pipelined")]
#[test_case(Side::Client, false, RESPONSES, &["status 200", "ok", "end true", "status 204", "", "end true",
    "status 200", "until the end", "end false"]; "responses")]
fn decodes_whole_and_split_at_every_byte(side: Side, events: bool, sample: &str, want: &[&str]) {
    let bytes = sample.as_bytes();
    assert_eq!(decode(side, events, &[bytes]), (want.iter().map(|s| s.to_string()).collect(), None));
    let whole = decode(side, events, &[bytes]);
    for n in 0..bytes.len() {
        assert_eq!(decode(side, events, &[&bytes[..n], &bytes[n..]]), whole, "cut at {n}");
        // A truncated message is a fault, unless the cut is between messages. It never yields a wrong
        // message.
        let (visits, fault) = decode(side, events, &[&bytes[..n]]);
        let matching = visits.iter().zip(&whole.0).filter(|(a, b)| a == b).count();
        let body_cut = side == Side::Client && visits.len() > 6;
        assert!(matching == visits.len() || body_cut || fault.is_some(), "cut at {n}: {visits:?}");
    }
    let single: Vec<&[u8]> = bytes.chunks(1).collect();
    assert_eq!(decode(side, events, &single), whole, "a byte at a time");
}

const EVENT_FIELDS: &str = "ce-specversion: 1.0\r\nce-id: 7\r\nce-source: /desk\r\nce-type: quote\r\n";

fn post(fields: &str, body: &str) -> String {
    let event =
        if fields.contains("application/cloudevents") || fields.contains("ce-") { "" } else { EVENT_FIELDS };
    format!("POST / HTTP/1.1\r\nHost: a\r\n{event}{fields}\r\n{body}")
}

const STRUCTURED_MODE: &str = "Content-Type: application/cloudevents+json\r\n";

fn structured(body: &str) -> String {
    post(&format!("{STRUCTURED_MODE}Content-Length: {}\r\n", body.len()), body)
}

const DATA_TWICE: &str =
    r#"{"specversion":"1.0","id":"1","source":"a","type":"b","data":1,"data_base64":""}"#;

#[test_case(post("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "abc"), 400, "two-lengths";
    "two lengths")]
#[test_case(post("Content-Length: 3\r\nContent-Length: 3\r\n", "abc"), 400, "bad-length"; "length twice")]
#[test_case(post("Content-Length: +3\r\n", "abc"), 400, "bad-length"; "length with sign")]
#[test_case(post("Content-Length: 99999999999999999999\r\n", ""), 400, "bad-length"; "length over u64")]
#[test_case(post("Content-Length: 1025\r\n", ""), 413, "body-too-large"; "long body, not begun")]
#[test_case(post("Transfer-Encoding: chunked\r\n", "401\r\n"), 413, "body-too-large"; "long chunk")]
#[test_case(post("Transfer-Encoding: chunked\r\n", "xyz\r\n"), 400, "bad-chunk"; "chunk size no number")]
#[test_case(post("Transfer-Encoding: chunked\r\n", "\r\n"), 400, "bad-chunk"; "chunk size empty")]
#[test_case(post("Transfer-Encoding: chunked\r\n", "1\r\nabc"), 400, "bad-chunk"; "chunk longer than size")]
#[test_case(post("Transfer-Encoding: chunked\r\n", "1111111111111111\r\n"), 400, "bad-chunk";
    "chunk size overflows")]
#[test_case(post("Transfer-Encoding: gzip\r\n", ""), 501, "bad-coding"; "unknown coding")]
#[test_case(post("X: a\r\n b\r\n", ""), 400, "bad-head"; "folded field")]
#[test_case(post("X : a\r\n", ""), 400, "bad-head"; "space before colon")]
#[test_case(post(&format!("X: {}\r\n", "a".repeat(65536)), ""), 431, "head-too-large"; "64 KiB of head")]
#[test_case(post(&"X: a\r\n".repeat(200), ""), 431, "head-too-large"; "200 fields")]
#[test_case("POST / HTTP/1.1\r\n\r\n".into(), 400, "bad-host"; "no host")]
#[test_case("POST / HTTP/2.7\r\nHost: a\r\n\r\n".into(), 505, "bad-version"; "other version")]
#[test_case(post("ce-id: 7\r\n", ""), 400, "missing-attribute"; "no source")]
#[test_case(post("Content-Length: 3\r\n", "ab"), 400, "cut-short"; "ends inside the body")]
#[test_case(structured("{"), 400, "bad-json"; "bad JSON")]
#[test_case(structured("[]"), 400, "bad-json"; "no object")]
#[test_case(structured(r#"{"specversion":"1.0","source":"a","type":"b"}"#), 400, "missing-attribute";
    "no id")]
#[test_case(structured(r#"{"specversion":"1.0","id":"","source":"a","type":"b"}"#), 400, "empty-attribute";
    "empty id")]
#[test_case(structured(r#"{"specversion":"0.3","id":"1","source":"a","type":"b"}"#), 422, "bad-specversion";
    "0.3")]
#[test_case(structured(r#"{"specversion":"1.0","id":"a\u0000","source":"a","type":"b"}"#),
    400, "control-character";
    "control character")]
#[test_case(structured(r#"{"specversion":"1.0","id":{},"source":"a","type":"b"}"#), 400, "bad-attribute";
    "id an object")]
#[test_case(structured(DATA_TWICE), 400,
    "bad-json"; "two kinds of data")]
#[test_case(post("Content-Type: application/cloudevents-batch+json\r\n", ""), 415, "batch-mode"; "batch")]
#[test_case(post("Content-Type: application/cloudevents+avro\r\n", ""), 415, "bad-format"; "other format")]
#[test_case(post("ce-id: %ff\r\n", ""), 400, "bad-attribute"; "not UTF-8")]
fn rejects_invalid_messages(sample: String, status: u16, reason: &str) {
    let whole = decode(Side::Server, true, &[sample.as_bytes()]).1.expect("a fault");
    assert_eq!((whole.status, whole.reason), (status, reason));
    let single: Vec<&[u8]> = sample.as_bytes().chunks(1).collect();
    assert_eq!(decode(Side::Server, true, &single).1, Some(whole), "a byte at a time");
}

#[test]
fn field_values_cannot_add_fields() {
    let out = encode::response(200).field("X", "a\r\nEvil: b").body(b"");
    assert!(!String::from_utf8(out).expect("text").contains("\r\nEvil"));
}

proptest! {
    // Arbitrary bytes do not panic, and the outcome does not depend on where they are split.
    #[test]
    fn random_bytes_decode_alike_however_split(
        bytes in prop::collection::vec(any::<u8>(), 0..400),
        cut in 0usize..400,
        server: bool,
    ) {
        let side = if server { Side::Server } else { Side::Client };
        let cut = cut.min(bytes.len());
        let cut = decode(side, true, &[&bytes[..cut], &bytes[cut..]]);
        prop_assert_eq!(cut.1, decode(side, true, &[&bytes]).1);
    }

    // The same for a valid message with one byte changed.
    #[test]
    fn a_message_with_one_byte_changed_decodes_alike_however_split(
        at in 0usize..200, byte: u8, which in 0usize..4,
    ) {
        let mut bytes = [BINARY, STRUCTURED, PIPELINED, RESPONSES][which].as_bytes().to_vec();
        let at = at % bytes.len();
        bytes[at] = byte;
        let side = if which == 3 { Side::Client } else { Side::Server };
        let single: Vec<&[u8]> = bytes.chunks(1).collect();
        prop_assert_eq!(decode(side, which < 2, &single).1, decode(side, which < 2, &[&bytes]).1);
    }
}
