//! The messages of the simulator's wire protocol, and malformed input.
use applepond_adapter::Host;
use test_case::test_case;

const BOOT: &str = r#"{"op":"boot","salt":5,"setup":{"allowed":{"attempts-cap":4,"cancel":true,
 "retry-after":true,
 "second-copies":true,"unheard-of":1},"lanes":[{"name":"quote","idempotency":"idempotent","on-time":500.0}],
 "penalties":{},"rules":{},"projects":[{"name":"huts","quota-per-s":75.0}],"zones":["hall-a"],
 "my-zone":"hall-a"}}"#;
const LIST: &str = r#"{"op":"endpoints","serial":1,"kind":"SAVED","members":[{"condition":"Ready","nominal":1,
 "rack-zone":"hall-a","server":"server.a","group":0}]}"#;
const ARRIVAL: &str = r#"{"op":"knock","msg-id":"5d3a91c4-e2f3-4656-a336-20af9f7c719b","model":"m-a",
 "start-ms":900,"type":"quote","size-mb":384,"at-once":2,"left":240.0,"customer":"huts"}"#;
const NO_TOKEN: &str = r#"{"op":"wakeup"}"#;
const TEXT_TOKEN: &str = r#"{"op":"wakeup","token":"x"}"#;
const SHORT_ID: &str = r#"{"op":"expired","msg-id":"x"}"#;

fn batch(host: &mut Host, events: &[&str]) -> Result<String, String> {
    let line = format!(r#"{{"ts":8412.25,"parts":[{{"router":3,"arrivals":[{}]}}]}}"#, events.join(","));
    host.handle_batch(&line).map_err(|error| error.to_string())
}

#[test]
fn an_attempt_is_sent_with_the_simulators_names() {
    let reply = batch(&mut Host::default(), &[BOOT, LIST, ARRIVAL]).expect("a legal batch");
    let reply: serde_json::Value = serde_json::from_str(&reply).expect("one JSON value");
    assert_eq!(reply["parts"][0]["router"], 3);
    let orders = reply["parts"][0]["orders"].as_array().expect("orders");
    let sent = orders.iter().find(|o| o["op"] == "try").expect("an attempt is sent");
    assert_eq!((sent["server"].as_str(), sent["patience"].as_f64()), (Some("server.a"), Some(240.0)));
    assert_eq!(sent["msg-id"], "5d3a91c4-e2f3-4656-a336-20af9f7c719b");
}

#[test]
fn an_empty_batch_and_a_restart_within_a_batch() {
    let mut host = Host::default();
    assert_eq!(host.handle_batch(r#"{"ts":1.0,"parts":[]}"#), Ok(r#"{"parts":[]}"#.to_owned()));
    batch(&mut host, &[BOOT, LIST, ARRIVAL]).expect("a legal batch");
    let again = batch(&mut host, &[r#"{"op":"kill"}"#, BOOT, ARRIVAL]).expect("a legal batch");
    assert!(!again.contains(r#""try""#), "state of the instance before the restart must be gone");
}

#[test_case(&[r#"{"op":"wakeup","token":1}"#], "instance 3: 'wakeup' before any 'boot'"; "never booted")]
#[test_case(&[BOOT, NO_TOKEN], "instance 3: 'wakeup': field 'token': expected an unsigned integer";
    "missing")]
#[test_case(&[BOOT, TEXT_TOKEN], "field 'token': expected an unsigned integer"; "wrong type")]
#[test_case(&[BOOT, SHORT_ID], "field 'msg-id': expected an id of 36 characters"; "short id")]
#[test_case(&[BOOT, r#"{"op":"tea"}"#], "unknown event 'tea'"; "unknown event")]
#[test_case(&["{"], "not JSON"; "not JSON")]
fn malformed_input_is_rejected(events: &[&str], expected: &str) {
    let error = batch(&mut Host::default(), events).expect_err("an error");
    assert!(error.contains(expected), "{error}");
}
