//! Lines to model servers and their answers: one JSON object a line.
use applepond::interface::{AttemptResult, LoadState, Outcome};
use applepond_http::Fault;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::Value;
use std::io::Write;

/// What a line of a model server tells.
pub trait Words {
    /// The end of an attempt. Only a finished one brings a body; `elapsed` and `closed` are the owner's.
    fn answer(&mut self, id: &str, answer: AttemptResult, body: Vec<u8>);
    /// The connection works.
    fn works(&mut self, tag: &str);
}

/// The part of a line that runs a request that is the same for each of its attempts, up to the time it has.
pub fn head(id: &str, workload: &str, function: &str, mark: Option<&str>) -> Vec<u8> {
    let mut out = Vec::with_capacity(192);
    let _ = write!(
        out,
        r#"{{"verb":"DO","rid":{},"attrs":{{"queue":{},"path":{},"#,
        Value::from(id),
        Value::from(workload),
        Value::from(function)
    );
    if let Some(mark) = mark {
        let _ = write!(out, r#""uniq":{},"#, Value::from(mark));
    }
    out
}

/// The rest of such a line.
pub fn rest(out: &mut Vec<u8>, budget_ms: u64, body: &[u8]) {
    let _ = write!(out, r#""budget":{budget_ms}}},"content":""#);
    let from = out.len();
    out.resize(from + body.len().div_ceil(3) * 4, 0);
    let n = STANDARD.encode_slice(body, &mut out[from..]).expect("the buffer was made to fit");
    out.truncate(from + n);
    out.extend_from_slice(b"\"}\n");
}

/// Gives an attempt up.
pub fn undo(out: &mut Vec<u8>, id: &str) {
    let _ = writeln!(out, r#"{{"verb":"UNDO","rid":{}}}"#, Value::from(id));
}

/// Asks whether the connection works.
pub fn echo(out: &mut Vec<u8>, tag: &str) {
    let _ = writeln!(out, r#"{{"verb":"ECHO","rid":{}}}"#, Value::from(tag));
}

fn spoilt(why: &str) -> Fault {
    Fault::new(502, "spoilt-line", why)
}

/// Reads one line.
pub fn read(line: &[u8], words: &mut dyn Words) -> Result<(), Fault> {
    let line: Value = serde_json::from_slice(line).map_err(|_| spoilt("no JSON"))?;
    let text = |name: &str| line.get(name).and_then(Value::as_str);
    let id = text("rid").ok_or_else(|| spoilt("no id"))?;
    let outcome = match text("verb") {
        Some("OK") => Outcome::Finished,
        Some("MISS") => Outcome::NotLoaded,
        Some("BUSY") => Outcome::Overloaded,
        Some("ERR") => Outcome::Error,
        Some("VOID") => Outcome::Superseded,
        Some("UP") => {
            words.works(id);
            return Ok(());
        }
        _ => return Err(spoilt("no known word")),
    };
    let attrs = line.get("attrs").unwrap_or(&Value::Null);
    let number = |name: &str| match attrs.get(name) {
        Some(Value::String(text)) => text.parse::<f64>().ok(),
        Some(value) => value.as_f64(),
        None => None,
    };
    let report = attrs.get("use").and_then(Value::as_str).unwrap_or("");
    let reported = |name: &str| {
        let pairs = report.split(';').filter_map(|pair| pair.split_once(':'));
        pairs.into_iter().find(|(n, _)| n.trim() == name).and_then(|(_, v)| v.trim().parse::<f64>().ok())
    };
    let copy = match attrs.get("detail").and_then(Value::as_str) {
        Some("hit") => LoadState::Loaded,
        Some("spawn") => LoadState::LoadStarted,
        Some("pending") => LoadState::LoadPending,
        Some("spawn_failed") => LoadState::LoadFailed,
        _ => LoadState::Unreported,
    };
    let body = match (outcome, text("content")) {
        (Outcome::Finished, Some(content)) => {
            STANDARD.decode(content).map_err(|_| spoilt("the body is no base64"))?
        }
        _ => Vec::new(),
    };
    let answer = AttemptResult {
        outcome,
        request_ended: false,
        elapsed: 0,
        load_state: copy,
        same_function_in_flight: number("same").filter(|n| *n >= 0.0).map_or(0, |n| n as u32),
        reported_in_flight: reported("concurrent").filter(|n| n.is_finite()),
        reported_loads: reported("x1").filter(|n| n.is_finite()),
    };
    words.answer(id, answer, body);
    Ok(())
}
