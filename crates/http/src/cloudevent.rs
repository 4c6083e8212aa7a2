//! The CloudEvents 1.0.2 HTTP binding: reads binary and structured mode, writes binary mode.
//!
//! The reader passes each attribute to a sink and does not store the event. Batched mode is rejected with
//! 415.
use crate::Fault;
use crate::decode::Fields;
use crate::encode::HeaderLines;
use base64::Engine;
use percent_encoding::{AsciiSet, CONTROLS, percent_decode, utf8_percent_encode};
use serde_json::{Map, Value};
use std::borrow::Cow;

/// Characters that are percent-encoded in an attribute's header field (HTTP binding, section 3.1.3.2).
const PERCENT_ENCODED: &AsciiSet = &CONTROLS.add(b' ').add(b'"').add(b'%');
/// Limit of an attribute's name in characters. The specification recommends 20; some extensions exceed it.
const MAX_NAME_CHARS: usize = 40;
/// Limit of an attribute's value in bytes. The id and the source are stored while their request runs.
const MAX_VALUE_BYTES: usize = 1024;
/// Prefix of the header field of an attribute in binary mode.
const FIELD_PREFIX: &str = "ce-";
/// Attributes that every event must have (specification, section 3.1).
const REQUIRED: [&str; 4] = ["id", "source", "specversion", "type"];

/// Receives an event: its attributes one by one, then its data.
pub trait EventSink {
    /// A context attribute: its name without prefix, and its value in the canonical string form.
    fn attribute(&mut self, name: &str, value: &str);
    /// The event's data, which may be empty, and its media type, if known.
    fn data(&mut self, media_type: Option<&str>, bytes: Vec<u8>);
}

/// Reads one event: first `head`, then `body`.
#[derive(Debug)]
pub struct Reader {
    /// The event is in structured mode: the body contains all of it.
    structured: bool,
    /// Content type of the request.
    media_type: Option<String>,
    /// For each of the `REQUIRED` attributes, whether it has been read.
    seen: [bool; REQUIRED.len()],
}

/// Validates one attribute and records it as seen if it is required.
fn check_attribute(name: &str, value: &str, seen: &mut [bool; REQUIRED.len()]) -> Result<(), Fault> {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit();
    if name.is_empty() || name.len() > MAX_NAME_CHARS || !name.bytes().all(allowed) {
        let shown: String = name.chars().take(MAX_NAME_CHARS).collect();
        return Err(Fault::new(400, "bad-attribute", format!("'{shown}' is no name of an attribute")));
    }
    if value.len() > MAX_VALUE_BYTES {
        let detail = format!("attribute '{name}' may have {MAX_VALUE_BYTES} bytes");
        return Err(Fault::new(400, "bad-attribute", detail));
    }
    // Strings must not contain control characters (specification, section 2.4).
    if value.chars().any(char::is_control) {
        let detail = format!("attribute '{name}' holds a control character");
        return Err(Fault::new(400, "control-character", detail));
    }
    if name == "specversion" && value != "1.0" {
        let detail = format!("specversion 1.0 is spoken here, not '{}'", value.escape_default());
        return Err(Fault::new(422, "bad-specversion", detail));
    }
    if let Some(index) = REQUIRED.iter().position(|required| *required == name) {
        if value.is_empty() {
            return Err(Fault::new(400, "empty-attribute", format!("attribute '{name}' is empty")));
        }
        seen[index] = true;
    }
    Ok(())
}

/// The media type without parameters, in lower case.
fn essence(media_type: &str) -> String {
    media_type.split(';').next().unwrap_or("").trim().to_ascii_lowercase()
}

impl Reader {
    /// Reads a request's head. In binary mode it passes the attributes to `sink`.
    ///
    /// # Errors
    /// An unsupported mode or format, or an attribute that is missing or invalid.
    pub fn head(fields: &Fields<'_>, sink: &mut dyn EventSink) -> Result<Reader, Fault> {
        let media_type = fields.get("content-type");
        let essence = essence(media_type.unwrap_or(""));
        let mut reader = Reader {
            structured: false,
            media_type: media_type.map(str::to_owned),
            seen: [false; REQUIRED.len()],
        };
        if essence == "application/cloudevents+json" {
            reader.structured = true;
            return Ok(reader);
        }
        if essence.starts_with("application/cloudevents-batch") {
            return Err(Fault::new(415, "batch-mode", "events are taken one by one, not in batches"));
        }
        if essence.starts_with("application/cloudevents") {
            return Err(Fault::new(415, "bad-format", "the only event format known is JSON"));
        }
        for (name, value) in fields.iter() {
            let prefix = name.get(..FIELD_PREFIX.len());
            if !prefix.is_some_and(|prefix| prefix.eq_ignore_ascii_case(FIELD_PREFIX)) {
                continue;
            }
            let name = name[FIELD_PREFIX.len()..].to_ascii_lowercase();
            let value = percent_decode(value).decode_utf8();
            let value = value.map_err(|_| {
                Fault::new(400, "bad-attribute", format!("attribute '{name}' is not UTF-8 once decoded"))
            })?;
            check_attribute(&name, &value, &mut reader.seen)?;
            sink.attribute(&name, &value);
        }
        reader.require_all()?;
        Ok(reader)
    }

    /// Checks that all required attributes have been read.
    fn require_all(&self) -> Result<(), Fault> {
        match REQUIRED.iter().zip(self.seen).find(|(_, seen)| !seen) {
            Some((name, _)) => {
                Err(Fault::new(400, "missing-attribute", format!("attribute '{name}' is missing")))
            }
            None => Ok(()),
        }
    }

    /// Reads the body: the data in binary mode, the whole event in structured mode.
    ///
    /// # Errors
    /// An invalid event in structured mode.
    pub fn body(self, bytes: Vec<u8>, sink: &mut dyn EventSink) -> Result<(), Fault> {
        if !self.structured {
            sink.data(self.media_type.as_deref(), bytes);
            return Ok(());
        }
        let event =
            serde_json::from_slice(&bytes).map_err(|error| bad_json(format!("the event: {error}")))?;
        let Value::Object(event) = event else { return Err(bad_json("the event is no JSON object")) };
        let media_type = self.visit_attributes(&event, sink)?;
        visit_data(&event, media_type.as_deref(), sink)
    }

    /// Passes the attributes of an event in JSON format to `sink` and returns the media type of its data.
    fn visit_attributes(
        mut self,
        event: &Map<String, Value>,
        sink: &mut dyn EventSink,
    ) -> Result<Option<String>, Fault> {
        let mut media_type = None;
        for (name, value) in event {
            if name == "data" || name == "data_base64" || value.is_null() {
                continue;
            }
            let text = match value {
                Value::String(text) => text.clone(),
                Value::Bool(_) | Value::Number(_) if !value.is_f64() => value.to_string(),
                _ => {
                    let detail = format!("attribute '{name}' is neither text, whole number nor truth value");
                    return Err(Fault::new(400, "bad-attribute", detail));
                }
            };
            check_attribute(name, &text, &mut self.seen)?;
            if name == "datacontenttype" {
                media_type = Some(text);
            } else {
                sink.attribute(name, &text);
            }
        }
        self.require_all()?;
        Ok(media_type)
    }
}

fn bad_json(detail: impl Into<String>) -> Fault {
    Fault::new(400, "bad-json", detail)
}

/// Passes the data of an event in JSON format to `sink` (JSON event format, section 3.1.1).
fn visit_data(
    event: &Map<String, Value>,
    media_type: Option<&str>,
    sink: &mut dyn EventSink,
) -> Result<(), Fault> {
    match (event.get("data"), event.get("data_base64")) {
        (Some(_), Some(_)) => return Err(bad_json("data and data_base64 exclude each other")),
        (None, None) => sink.data(media_type, Vec::new()),
        (None, Some(text)) => {
            let bytes = text.as_str().and_then(|text| base64::prelude::BASE64_STANDARD.decode(text).ok());
            let bytes = bytes.ok_or_else(|| bad_json("data_base64 is no base64 text"))?;
            sink.data(media_type, bytes);
        }
        (Some(data), None) => {
            let media_type = media_type.unwrap_or("application/json");
            let essence = essence(media_type);
            let is_json = essence.ends_with("/json") || essence.ends_with("+json");
            let bytes = match data {
                Value::String(text) if !is_json => text.clone().into_bytes(),
                data => data.to_string().into_bytes(),
            };
            sink.data(Some(media_type), bytes);
        }
    }
    Ok(())
}

/// Writes one attribute as a header field in binary mode.
pub fn attribute(lines: &mut HeaderLines, name: &str, value: &str) {
    let value: Cow<'_, str> = utf8_percent_encode(value, PERCENT_ENCODED).into();
    lines.field(&[FIELD_PREFIX, name].concat(), &value);
}
