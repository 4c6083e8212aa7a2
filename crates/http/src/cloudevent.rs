//! The CloudEvents 1.0.2 HTTP binding: binary and structured mode in, binary mode out.
//!
//! Attributes come out one by one as calls; nothing here stores an event. Batched mode is rejected with 415.
use crate::Fault;
use crate::decode::Fields;
use crate::encode::Lines;
use base64::Engine;
use percent_encoding::{AsciiSet, CONTROLS, percent_decode, utf8_percent_encode};
use serde_json::{Map, Value};
use std::borrow::Cow;

/// Characters of an attribute's value that a header field carries encoded (HTTP binding, section 3.1.3.2).
const ENCODED: &AsciiSet = &CONTROLS.add(b' ').add(b'"').add(b'%');
/// Characters of an attribute's name at most: the specification asks for 20, some extensions have a few more.
const MAX_NAME_CHARS: usize = 40;
/// Bytes of an attribute's value at most: ids and sources are stored while their request runs.
const MAX_VALUE_BYTES: usize = 1024;
/// What comes before an attribute's name in binary mode.
const HEADER_PREFIX: &str = "ce-";
/// Attributes that every event has (specification, section 3.1).
const REQUIRED: [&str; 4] = ["id", "source", "specversion", "type"];

/// Receives an event: its attributes one by one, then its data.
pub trait EventSink {
    /// A context attribute by its name, without prefix; its value in the canonical text form.
    fn attribute(&mut self, name: &str, value: &str);
    /// The data and its media type, where there is any.
    fn data(&mut self, media_type: Option<&str>, bytes: Vec<u8>);
}

/// Reads one event: `head` begins, `body` takes what follows it.
#[derive(Debug)]
pub struct Reader {
    /// All of the event is in the body.
    structured: bool,
    /// Content type of the request.
    media_type: Option<String>,
    /// Which of the `REQUIRED` attributes have come.
    seen: [bool; REQUIRED.len()],
}

/// Checks one attribute, and marks it as seen.
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
    // Type String of the specification, section 2.4: no control characters.
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

/// Media type without parameters, in lower case.
fn essence(media_type: &str) -> String {
    media_type.split(';').next().unwrap_or("").trim().to_ascii_lowercase()
}

impl Reader {
    /// Reads a request's head, and visits the attributes of binary mode.
    ///
    /// # Errors
    /// A mode or format that is not supported, or an attribute that is missing or not valid.
    pub fn head(fields: &Fields<'_>, visitor: &mut dyn EventSink) -> Result<Reader, Fault> {
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
            let prefix = name.get(..HEADER_PREFIX.len());
            if !prefix.is_some_and(|prefix| prefix.eq_ignore_ascii_case(HEADER_PREFIX)) {
                continue;
            }
            let name = name[HEADER_PREFIX.len()..].to_ascii_lowercase();
            let value = percent_decode(value).decode_utf8();
            let value = value.map_err(|_| {
                Fault::new(400, "bad-attribute", format!("attribute '{name}' is not UTF-8 once decoded"))
            })?;
            check_attribute(&name, &value, &mut reader.seen)?;
            visitor.attribute(&name, &value);
        }
        reader.require_all()?;
        Ok(reader)
    }

    /// Checks that all required attributes have come.
    fn require_all(&self) -> Result<(), Fault> {
        match REQUIRED.iter().zip(self.seen).find(|(_, seen)| !seen) {
            Some((name, _)) => {
                Err(Fault::new(400, "missing-attribute", format!("attribute '{name}' is missing")))
            }
            None => Ok(()),
        }
    }

    /// Reads the body: data in binary mode, everything in structured mode.
    ///
    /// # Errors
    /// An event that is not valid in structured mode.
    pub fn body(self, bytes: Vec<u8>, visitor: &mut dyn EventSink) -> Result<(), Fault> {
        if !self.structured {
            visitor.data(self.media_type.as_deref(), bytes);
            return Ok(());
        }
        let event =
            serde_json::from_slice(&bytes).map_err(|error| bad_json(format!("the event: {error}")))?;
        let Value::Object(event) = event else { return Err(bad_json("the event is no JSON object")) };
        let media_type = self.structured_attributes(&event, visitor)?;
        structured_data(&event, media_type.as_deref(), visitor)
    }

    /// Visits the attributes of an event in JSON format, and returns its data's media type.
    fn structured_attributes(
        mut self,
        event: &Map<String, Value>,
        visitor: &mut dyn EventSink,
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
                visitor.attribute(name, &text);
            }
        }
        self.require_all()?;
        Ok(media_type)
    }
}

fn bad_json(detail: impl Into<String>) -> Fault {
    Fault::new(400, "bad-json", detail)
}

/// Visits the data of an event in JSON format (section 3.1.1).
fn structured_data(
    event: &Map<String, Value>,
    media_type: Option<&str>,
    visitor: &mut dyn EventSink,
) -> Result<(), Fault> {
    match (event.get("data"), event.get("data_base64")) {
        (Some(_), Some(_)) => return Err(bad_json("data and data_base64 exclude each other")),
        (None, None) => visitor.data(media_type, Vec::new()),
        (None, Some(text)) => {
            let bytes = text.as_str().and_then(|text| base64::prelude::BASE64_STANDARD.decode(text).ok());
            let bytes = bytes.ok_or_else(|| bad_json("data_base64 is no base64 text"))?;
            visitor.data(media_type, bytes);
        }
        (Some(data), None) => {
            let media_type = media_type.unwrap_or("application/json");
            let essence = essence(media_type);
            let is_json = essence.ends_with("/json") || essence.ends_with("+json");
            let bytes = match data {
                Value::String(text) if !is_json => text.clone().into_bytes(),
                data => data.to_string().into_bytes(),
            };
            visitor.data(Some(media_type), bytes);
        }
    }
    Ok(())
}

/// Writes one attribute as a header field of binary mode.
pub fn attribute(lines: &mut Lines, name: &str, value: &str) {
    let value: Cow<'_, str> = utf8_percent_encode(value, ENCODED).into();
    lines.field(&[HEADER_PREFIX, name].concat(), &value);
}
