//! Codecs of the line protocol, client calls, name service answers and the configuration: valid input is
//! decoded, invalid input is rejected.
use applepond::interface::{
    AttemptResult, CustomerId, LoadState, Micros, Outcome, RackId, RequestArrival, StartupConfig,
    WorkerStatus, ZoneId,
};
use applepond_http::decode::{Decoder, Side, Step};
use applepond_platform::call::{CallVisitor, MAX_BODY_BYTES, ParsedRequest, RequestKind, id_text};
use applepond_platform::startup::{ConfigNames, startup_config};
use applepond_platform::{config, line, name_service};
use simple_dns::rdata::{A, RData, SOA, SRV, TXT};
use simple_dns::{CLASS, Name, Packet, PacketFlag, RCODE, ResourceRecord};
use test_case::test_case;

// ---- Lines -----------------------------------------------------------------------------------

/// The answers received, and the number of health checks answered.
#[derive(Default)]
struct ReceivedLines(Vec<(String, AttemptResult, Vec<u8>)>, usize);

impl line::LineHandler for ReceivedLines {
    fn answer(&mut self, id: &str, answer: AttemptResult, body: Vec<u8>) {
        self.0.push((id.into(), answer, body));
    }
    fn echo_answered(&mut self, _: &str) {
        self.1 += 1;
    }
}

type Answer = (Outcome, LoadState, u32, Option<f64>, Option<f64>, Vec<u8>);

fn read_answer(line: &str) -> Option<Answer> {
    let mut received = ReceivedLines::default();
    line::read(line.as_bytes(), &mut received).ok()?;
    let (_, a, body) = received.0.pop()?;
    Some((a.outcome, a.load_state, a.same_function_in_flight, a.reported_in_flight, a.reported_loads, body))
}

// Load reports use the names from the settings, which differ from those in the protocol's example.
#[test_case(
    r#"{"verb":"OK","rid":"a","attrs":{"detail":"hit","same":"3","use":"x1:2;concurrent:7"},
        "content":"b2s="}"#,
    (Outcome::Finished, LoadState::Loaded, 3, Some(7.0), Some(2.0), b"ok".to_vec()); "texts, with a report")]
#[test_case(r#"{"verb":"OK","rid":"a","attrs":{"detail":"spawn","same":3},"content":""}"#,
    (Outcome::Finished, LoadState::LoadStarted, 3, None, None, vec![]); "numbers, without a body")]
#[test_case(r#"{"verb":"BUSY","rid":"a"}"#,
    (Outcome::Overloaded, LoadState::Unreported, 0, None, None, vec![]); "full")]
#[test_case(r#"{"verb":"MISS","rid":"a","attrs":{"detail":"spawn_failed"}}"#,
    (Outcome::NotLoaded, LoadState::LoadFailed, 0, None, None, vec![]); "a load that failed")]
#[test_case(r#"{"verb":"ERR","rid":"a","attrs":{"detail":"pending","use":"concurrent:x;x1:-"}}"#,
    (Outcome::Error, LoadState::LoadPending, 0, None, None, vec![]); "an invalid report")]
#[test_case(r#"{"verb":"VOID","rid":"a"}"#,
    (Outcome::Superseded, LoadState::Unreported, 0, None, None, vec![]); "void")]
fn answer_lines_are_decoded(line: &str, expected: Answer) {
    assert_eq!(read_answer(line), Some(expected));
}

#[test_case(""; "empty")]
#[test_case("{"; "cut off")]
#[test_case(r#"["OK"]"#; "no object")]
#[test_case(r#"{"verb":"OK","content":""}"#; "no id")]
#[test_case(r#"{"verb":"FINE","rid":"a"}"#; "unknown verb")]
#[test_case(r#"{"verb":"OK","rid":"a","content":"b2s"}"#; "no base64")]
fn invalid_answer_lines_are_rejected(line: &str) {
    assert!(line::read(line.as_bytes(), &mut ReceivedLines::default()).is_err());
}

#[test]
fn a_run_line_has_all_attributes() {
    let mut out = line::run_head("9b1f", "call", "7f3a", Some("5c"));
    line::run_tail(&mut out, 1500, b"\x00\xff!");
    let line: serde_json::Value = serde_json::from_slice(&out).expect("JSON");
    let expected = serde_json::json!({"verb": "DO", "rid": "9b1f", "content": "AP8h",
        "attrs": {"queue": "call", "path": "7f3a", "uniq": "5c", "budget": 1500}});
    assert_eq!((line, out.last()), (expected, Some(&b'\n')));
}

// ---- Calls -----------------------------------------------------------------------------------

const VALID_CALL: &str = "POST /do/7f3a9c21e0b4d655/fire HTTP/1.1\r\nHost: a\r\nX-Class: hold\r\n\
    Request-Id: 9b1f03aa5c7e2d41\r\nBudget-Ms: 1500\r\nAccount: huts\r\nAttempt-Again: 1\r\n\
    Once-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\nX-Extras: memory_mb:512;lanes:2;load_ms:80.5\r\n\
    Content-Length: 2\r\n\r\nhi";

fn config() -> (ConfigNames, StartupConfig, Vec<Micros>) {
    let settings = serde_json::json!({"allowed": {}, "rules": {}, "zones": ["room-1", "room-2"],
        "lanes": [{"name": "quote", "idempotency": "idempotent", "on-time": 1},
            {"name": "hold", "idempotency": "deduplicated", "group": "all", "window": 3000, "on-time": 1}],
        "projects": [{"name": "huts", "quota-per-s": 4}]});
    let names = ConfigNames::read(&settings).expect("valid settings");
    (names, startup_config(&settings, 1).expect("valid settings"), vec![1_600_000; 2])
}

/// The arrival, line head and body of a call, or the status of the response to an invalid one.
fn decode_call(request: &str) -> Result<(RequestArrival, Vec<u8>, Vec<u8>), u16> {
    let (names, config, deadlines) = config();
    let mut parsed = ParsedRequest::default();
    let mut decoder = Decoder::new(Side::Server, 8192, MAX_BODY_BYTES);
    decoder.feed(request.as_bytes());
    let mut visitor =
        CallVisitor { names: &names, startup: &config, deadlines: &deadlines, parsed: &mut parsed };
    match decoder.step(&mut visitor) {
        Ok(Step::Done) => match parsed.kind {
            Some(RequestKind::Call(arrival, head)) => Ok((arrival, head, parsed.body)),
            _ => Err(200),
        },
        Ok(Step::More) => Err(100),
        Err(fault) => Err(fault.status),
    }
}

#[test]
fn a_valid_call_is_decoded() {
    let (arrival, head, body) = decode_call(VALID_CALL).expect("a valid call");
    assert_eq!(
        (id_text(&arrival.request), arrival.workload.0, body),
        ("9b1f03aa5c7e2d41", 1, b"hi".to_vec())
    );
    assert_eq!((arrival.time_left, arrival.concurrency, arrival.retry), (1_500_000, 2, true));
    assert_eq!((arrival.load_time, arrival.customer), (Some(80_500), Some(CustomerId(0))));
    assert!(String::from_utf8(head).expect("text").contains(r#""uniq":"5c0f6e1a2b3d4c59a8b7c6d5e4f30211""#));
}

#[test_case("POST", "PUT", 405; "method")]
#[test_case("/fire", "/water", 404; "path")]
#[test_case("7f3a9c21e0b4d655", "7F3A9C21E0B4D655", 400; "capitals in the function")]
#[test_case("7f3a9c21e0b4d655", "7f3a", 400; "a short function")]
#[test_case("X-Class: hold", "X-Class: tea", 400; "workload not known")]
#[test_case("Request-Id: 9b1f03aa5c7e2d41\r\n", "", 400; "no id")]
#[test_case("9b1f03aa5c7e2d41", "9b1f03aa5c7e2d4\"", 400; "a quote in the id")]
#[test_case("Account: huts", "Account: other", 400; "customer not known")]
#[test_case("Account: huts\r\n", "", 400; "no customer")]
#[test_case("Budget-Ms: 1500", "Budget-Ms: -1", 400; "negative time")]
#[test_case("Budget-Ms: 1500", "Budget-Ms: 1e3", 400; "time that is no plain number")]
#[test_case("Budget-Ms: 1500", "Budget-Ms: 0", 400; "no time")]
#[test_case("Budget-Ms: 1500", "Budget-Ms: 1601", 400; "more time than its workload has")]
#[test_case("Budget-Ms: 1500", "Budget-Ms: 1500\r\nBudget-Ms: 9", 400; "time given twice")]
#[test_case("Attempt-Again: 1", "Attempt-Again: yes", 400; "retry")]
#[test_case("Once-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\n", "", 400; "no idempotency key")]
#[test_case("lanes:2", "lanes:0", 400; "no lanes")]
#[test_case("lanes:2", "lanes:many", 400; "lanes that are no number")]
#[test_case("lanes:2", "lanes:99999999999", 400; "too many lanes")]
#[test_case("Content-Length: 2", "Content-Length: -2", 400; "negative length")]
#[test_case("Content-Length: 2", "Content-Length: 60000000", 413; "a huge body, on its head")]
#[test_case("Content-Length: 2", "Content-Length: 2\r\nTransfer-Encoding: chunked", 400; "two lengths")]
fn invalid_calls_are_rejected(old: &str, new: &str, status: u16) {
    assert!(VALID_CALL.contains(old));
    assert_eq!(decode_call(&VALID_CALL.replace(old, new)).err(), Some(status));
}

// ---- The name service ------------------------------------------------------------------------

/// A model server in an answer: its host name, SRV priority, TXT attribute for the start time, and whether it
/// has a TXT record.
struct Entry(&'static str, u16, &'static str, bool);

fn reply(serial: Option<u32>, entries: &[Entry], change: impl FnOnce(&mut Packet)) -> Vec<u8> {
    let mut packet = Packet::new_reply(7);
    packet.set_flags(PacketFlag::RESPONSE);
    let record =
        |name: &'static str, data| ResourceRecord::new(Name::new_unchecked(name), CLASS::IN, 0, data);
    for Entry(target, priority, started, has_txt) in entries {
        let srv = SRV { priority: *priority, weight: 1305, port: 8443, target: Name::new_unchecked(target) };
        packet.answers.push(record("_rpc._tcp.mesh.local", RData::SRV(srv)));
        packet.additional_records.push(record(target, RData::A(A { address: 0x0a01_0009 })));
        if *has_txt {
            let txt = TXT::new().with_string("kind=std").and_then(|t| t.with_string("cell=2"));
            let txt = txt.and_then(|t| t.with_string(started)).expect("short texts");
            packet.additional_records.push(record(target, RData::TXT(txt)));
        }
    }
    if let Some(serial) = serial {
        let soa = SOA {
            mname: Name::new_unchecked("mesh.local"),
            rname: Name::new_unchecked("a.mesh.local"),
            serial,
            refresh: 0,
            retry: 0,
            expire: 0,
            minimum: 0,
        };
        packet.name_servers.push(record("mesh.local", RData::SOA(soa)));
    }
    change(&mut packet);
    packet.build_bytes_vec_compressed().expect("a packet")
}

const ONE: Entry = Entry("s-00c41f7a.room-2.hosts", 0, "started=5", true);

#[test]
fn a_list_is_decoded() {
    let bytes = reply(Some(41), &[ONE, Entry("s-2.room-1.hosts", 1, "started=0", true)], |_| ());
    let list = name_service::read_answer(&bytes, 7, &config().0).expect("a valid answer");
    assert_eq!((list.index, list.workers.len(), list.left_out), (41, 2, 0));
    let first = &list.workers[0];
    assert_eq!((first.name.as_str(), first.address.to_string()), ("s-00c41f7a", "10.1.0.9:8443".into()));
    let endpoint = &first.endpoint;
    assert_eq!((endpoint.zone, endpoint.rack, endpoint.weight), (Some(ZoneId(1)), RackId(2), 130.5));
    assert_eq!((endpoint.up_since, endpoint.status), (5_000, WorkerStatus::Ready));
    assert_eq!(list.workers[1].endpoint.status, WorkerStatus::Draining);
}

#[test]
fn a_server_without_its_records_is_left_out() {
    let bytes = reply(Some(41), &[Entry("s-3.room-1.hosts", 0, "started=0", false), ONE], |_| ());
    let list = name_service::read_answer(&bytes, 7, &config().0).expect("a valid answer");
    assert_eq!((list.workers.len(), list.left_out), (1, 1));
}

// A server without a cell must not be treated as sharing one: not with another such server, nor with cell 0.
#[test]
fn an_entry_without_its_cell() {
    let two = [ONE, Entry("s-2.room-1.hosts", 0, "started=0", true)];
    let bytes = reply(Some(41), &two, |packet| {
        for record in &mut packet.additional_records {
            if let RData::TXT(_) = record.rdata {
                record.rdata = RData::TXT(TXT::new().with_string("kind=std").expect("a short text"));
            }
        }
    });
    let list = name_service::read_answer(&bytes, 7, &config().0).expect("a valid answer");
    let racks: Vec<RackId> = list.workers.iter().map(|m| m.endpoint.rack).collect();
    assert!(racks.len() == 2 && racks[0] != racks[1] && !racks.contains(&RackId(0)), "{racks:?}");
}

#[test_case(|p| p.set_id(8); "under another id")]
#[test_case(|p| p.remove_flags(PacketFlag::RESPONSE); "a question")]
#[test_case(|p| p.set_flags(PacketFlag::TRUNCATION); "marked as cut short")]
#[test_case(|p| *p.rcode_mut() = RCODE::ServerFailure; "a failure")]
#[test_case(|p| p.name_servers.clear(); "without a serial")]
fn invalid_answers_are_rejected(change: fn(&mut Packet)) {
    assert!(name_service::read_answer(&reply(Some(41), &[ONE], change), 7, &config().0).is_err());
}

#[test]
fn truncated_answers_are_rejected() {
    let bytes = reply(Some(41), &[ONE], |_| ());
    for length in 0..bytes.len() {
        assert!(
            name_service::read_answer(&bytes[..length], 7, &config().0).is_err(),
            "{length} bytes of {}",
            bytes.len()
        );
    }
}

// A compressed name that points at itself must not cause an endless loop.
#[test]
fn a_name_that_points_at_itself_is_rejected() {
    let mut bytes = reply(Some(41), &[], |_| ());
    // Adds an answer whose name is a compression pointer to itself.
    bytes[7] = 1;
    let at = bytes.len() as u8;
    bytes.splice(12..12, [0xc0, 12, 0, 33, 0, 1, 0, 0, 0, 0, 0, 0]);
    assert!(at > 12 && name_service::read_answer(&bytes, 7, &config().0).is_err());
}

#[test]
fn a_query_asks_for_the_complete_list() {
    let bytes = name_service::query(0x1234);
    let packet = Packet::parse(&bytes).expect("a packet");
    assert_eq!((packet.id(), packet.questions.len()), (0x1234, 1));
    assert_eq!(packet.questions[0].qname.to_string(), "_rpc._tcp.mesh.local");
}

// ---- The configuration -----------------------------------------------------------------------

#[test_case("", "not JSON"; "empty")]
#[test_case("{}", "field 'settings'"; "no settings")]
#[test_case(r#"{"settings":{"allowed":{}},"limits":{}}"#, "field 'seed'"; "no seed")]
fn invalid_configurations_are_rejected(text: &str, message: &str) {
    let error = config::start(text.as_bytes()).expect_err("an invalid configuration");
    assert!(error.to_string().contains(message), "{error}");
}
