//! The line protocol of the model servers: one JSON object per line, in both directions.
use applepond::interface::{AttemptResult, LoadState, Outcome};
use applepond_http::Fault;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::Value;
use std::io::Write;

/// Receives the decoded lines of a model server.
pub trait LineHandler {
    /// An attempt has ended. Only a finished attempt has a body. `elapsed` and `request_ended` are left for
    /// the owner of the attempt to fill in.
    fn answer(&mut self, id: &str, answer: AttemptResult, body: Vec<u8>);
    /// The server has answered the health check with this tag, so the connection works.
    fn echo_answered(&mut self, tag: &str);
}

/// The first part of the line that runs a request. It is the same for all attempts of the request.
pub fn run_head(id: &str, workload: &str, function: &str, idempotency_key: Option<&str>) -> Vec<u8> {
    let mut out = Vec::with_capacity(192);
    let _ = write!(
        out,
        r#"{{"verb":"DO","rid":{},"attrs":{{"queue":{},"path":{},"#,
        Value::from(id),
        Value::from(workload),
        Value::from(function)
    );
    if let Some(key) = idempotency_key {
        let _ = write!(out, r#""uniq":{},"#, Value::from(key));
    }
    out
}

/// The rest of the line that runs a request: the time left for the attempt, and the body.
///
/// # Panics
/// Never: the buffer is sized for the encoded body.
pub fn run_tail(out: &mut Vec<u8>, budget_ms: u64, body: &[u8]) {
    let _ = write!(out, r#""budget":{budget_ms}}},"content":""#);
    let from = out.len();
    out.resize(from + body.len().div_ceil(3) * 4, 0);
    let written =
        STANDARD.encode_slice(body, &mut out[from..]).expect("the buffer is sized for the encoded body");
    out.truncate(from + written);
    out.extend_from_slice(b"\"}\n");
}

/// Appends a line that cancels an attempt.
pub fn cancel(out: &mut Vec<u8>, id: &str) {
    let _ = writeln!(out, r#"{{"verb":"UNDO","rid":{}}}"#, Value::from(id));
}

/// Appends a health check of the connection, which the server answers with the same tag.
pub fn echo(out: &mut Vec<u8>, tag: &str) {
    let _ = writeln!(out, r#"{{"verb":"ECHO","rid":{}}}"#, Value::from(tag));
}

fn invalid_line(detail: &str) -> Fault {
    Fault::new(502, "spoilt-line", detail)
}

/// Decodes one line and passes it to `handler`.
///
/// # Errors
/// The line is not JSON, has no request id or no known verb, or its body is not base64.
pub fn read(line: &[u8], handler: &mut dyn LineHandler) -> Result<(), Fault> {
    let line: Value = serde_json::from_slice(line).map_err(|_| invalid_line("line is not JSON"))?;
    let text = |name: &str| line.get(name).and_then(Value::as_str);
    let id = text("rid").ok_or_else(|| invalid_line("line has no request id"))?;
    let outcome = match text("verb") {
        Some("OK") => Outcome::Finished,
        Some("MISS") => Outcome::NotLoaded,
        Some("BUSY") => Outcome::Overloaded,
        Some("ERR") => Outcome::Error,
        Some("VOID") => Outcome::Superseded,
        Some("UP") => {
            handler.echo_answered(id);
            return Ok(());
        }
        _ => return Err(invalid_line("line has no known verb")),
    };
    let body = match (outcome, text("content")) {
        (Outcome::Finished, Some(content)) => {
            STANDARD.decode(content).map_err(|_| invalid_line("body is not base64"))?
        }
        _ => Vec::new(),
    };
    let attributes = line.get("attrs").unwrap_or(&Value::Null);
    handler.answer(id, attempt_result(outcome, attributes), body);
    Ok(())
}

/// Reads the attributes of an answer. Absent and invalid attributes count as not reported.
fn attempt_result(outcome: Outcome, attributes: &Value) -> AttemptResult {
    let same_function = match attributes.get("same") {
        Some(Value::String(text)) => text.parse::<f64>().ok(),
        Some(value) => value.as_f64(),
        None => None,
    };
    let report = attributes.get("use").and_then(Value::as_str).unwrap_or("");
    AttemptResult {
        outcome,
        request_ended: false,
        elapsed: 0,
        load_state: load_state(attributes),
        same_function_in_flight: same_function.filter(|count| *count >= 0.0).map_or(0, |count| count as u32),
        reported_in_flight: reported_value(report, "concurrent"),
        reported_loads: reported_value(report, "x1"),
    }
}

fn load_state(attributes: &Value) -> LoadState {
    match attributes.get("detail").and_then(Value::as_str) {
        Some("hit") => LoadState::Loaded,
        Some("spawn") => LoadState::LoadStarted,
        Some("pending") => LoadState::LoadPending,
        Some("spawn_failed") => LoadState::LoadFailed,
        _ => LoadState::Unreported,
    }
}

/// Returns one value of a load report of the form `name:value;name:value`.
fn reported_value(report: &str, name: &str) -> Option<f64> {
    let mut pairs = report.split(';').filter_map(|pair| pair.split_once(':'));
    let (_, value) = pairs.find(|(found, _)| found.trim() == name)?;
    value.trim().parse::<f64>().ok().filter(|value| value.is_finite())
}
