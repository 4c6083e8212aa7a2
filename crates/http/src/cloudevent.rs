//! The CloudEvents 1.0.2 HTTP binding: binary and structured mode in, binary mode out.
//!
//! Attributes come out one by one as calls; nothing here keeps an event. Batched mode is refused with 415.
use crate::Fault;
use crate::decode::Fields;
use crate::encode::Lines;
use base64::Engine;
use percent_encoding::{AsciiSet, CONTROLS, percent_decode, utf8_percent_encode};
use serde_json::Value;
use std::borrow::Cow;

/// Characters of an attribute's value that a header field carries encoded (HTTP binding, section 3.1.3.2).
const ENCODED: &AsciiSet = &CONTROLS.add(b' ').add(b'"').add(b'%');
/// Characters of an attribute's name at most: the specification asks for 20, some extensions have a few more.
const NAME_MOST: usize = 40;
/// Bytes of an attribute's value at most: ids and sources are kept while their request runs.
const VALUE_MOST: usize = 1024;
/// Attributes that every event has (specification, section 3.1).
const REQUIRED: [&str; 4] = ["id", "source", "specversion", "type"];

/// What an event says, attribute by attribute, then its data.
pub trait EventSink {
    /// A context attribute by its name, without prefix; its value in the canonical text form.
    fn attribute(&mut self, name: &str, value: &str);
    /// The data and its media type, where there is any.
    fn data(&mut self, media: Option<&str>, bytes: Vec<u8>);
}

/// What is left to do for one event once its head has been read: `body` takes what follows.
#[derive(Debug)]
pub struct Reader {
    structured: bool,
    media: Option<String>,
    seen: [bool; REQUIRED.len()],
}

fn check(name: &str, value: &str, seen: &mut [bool; REQUIRED.len()]) -> Result<(), Fault> {
    let plain = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit();
    if name.is_empty() || name.len() > NAME_MOST || !name.bytes().all(plain) {
        let shown: String = name.chars().take(NAME_MOST).collect();
        return Err(Fault::new(400, "bad-attribute", format!("'{shown}' is no name of an attribute")));
    }
    if value.len() > VALUE_MOST {
        let detail = format!("attribute '{name}' may have {VALUE_MOST} bytes");
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
    if let Some(n) = REQUIRED.iter().position(|r| *r == name) {
        if value.is_empty() {
            return Err(Fault::new(400, "empty-attribute", format!("attribute '{name}' is empty")));
        }
        seen[n] = true;
    }
    Ok(())
}

/// Media type without parameters, in lower case.
fn essence(media: &str) -> String {
    media.split(';').next().unwrap_or("").trim().to_ascii_lowercase()
}

impl Reader {
    /// Reads a request's head: the attributes of binary mode come out here.
    pub fn head(fields: &Fields<'_>, visitor: &mut dyn EventSink) -> Result<Reader, Fault> {
        let media = fields.get("content-type");
        let kind = essence(media.unwrap_or(""));
        let mut reader =
            Reader { structured: false, media: media.map(str::to_owned), seen: [false; REQUIRED.len()] };
        if kind == "application/cloudevents+json" {
            reader.structured = true;
            return Ok(reader);
        }
        if kind.starts_with("application/cloudevents-batch") {
            return Err(Fault::new(415, "batch-mode", "events are taken one by one, not in batches"));
        }
        if kind.starts_with("application/cloudevents") {
            return Err(Fault::new(415, "bad-format", "the only event format known is JSON"));
        }
        for (name, value) in fields.iter() {
            let Some(name) = name.get(..3).filter(|p| p.eq_ignore_ascii_case("ce-")).map(|_| &name[3..])
            else {
                continue;
            };
            let name = name.to_ascii_lowercase();
            let value = percent_decode(value).decode_utf8();
            let value = value.map_err(|_| {
                Fault::new(400, "bad-attribute", format!("attribute '{name}' is not UTF-8 once decoded"))
            })?;
            check(&name, &value, &mut reader.seen)?;
            visitor.attribute(&name, &value);
        }
        reader.whole()?;
        Ok(reader)
    }

    fn whole(&self) -> Result<(), Fault> {
        match REQUIRED.iter().zip(self.seen).find(|(_, seen)| !seen) {
            Some((name, _)) => {
                Err(Fault::new(400, "missing-attribute", format!("attribute '{name}' is missing")))
            }
            None => Ok(()),
        }
    }

    /// Reads the body: data in binary mode, everything in structured mode.
    pub fn body(mut self, bytes: Vec<u8>, visitor: &mut dyn EventSink) -> Result<(), Fault> {
        if !self.structured {
            visitor.data(self.media.as_deref(), bytes);
            return Ok(());
        }
        let bad = |detail: String| Fault::new(400, "bad-json", detail);
        let event: Value = serde_json::from_slice(&bytes).map_err(|e| bad(format!("the event: {e}")))?;
        let Value::Object(event) = event else { return Err(bad("the event is no JSON object".into())) };
        let mut media = None;
        for (name, value) in &event {
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
            check(name, &text, &mut self.seen)?;
            if name == "datacontenttype" {
                media = Some(text);
            } else {
                visitor.attribute(name, &text);
            }
        }
        self.whole()?;
        // JSON format, section 3.1.1.
        match (event.get("data"), event.get("data_base64")) {
            (Some(_), Some(_)) => return Err(bad("data and data_base64 exclude each other".into())),
            (None, None) => visitor.data(media.as_deref(), Vec::new()),
            (None, Some(text)) => {
                let bytes = text.as_str().and_then(|t| base64::prelude::BASE64_STANDARD.decode(t).ok());
                let bytes = bytes.ok_or_else(|| bad("data_base64 is no base64 text".into()))?;
                visitor.data(media.as_deref(), bytes);
            }
            (Some(data), None) => {
                let kind = essence(media.as_deref().unwrap_or("application/json"));
                let json = kind.ends_with("/json") || kind.ends_with("+json");
                let bytes = match data {
                    Value::String(text) if !json => text.clone().into_bytes(),
                    data => data.to_string().into_bytes(),
                };
                visitor.data(Some(media.as_deref().unwrap_or("application/json")), bytes);
            }
        }
        Ok(())
    }
}

/// Writes one attribute as a header field of binary mode.
pub fn attribute(lines: &mut Lines, name: &str, value: &str) {
    let value: Cow<'_, str> = utf8_percent_encode(value, ENCODED).into();
    lines.field(&["ce-", name].concat(), &value);
}
