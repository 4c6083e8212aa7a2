//! Reading of one request of a client: its target, its event and the event's attributes.
use crate::deadline::RequestedDeadline;
use applepond_http::Fault;
use applepond_http::cloudevent::{self, EventSink, Reader};
use applepond_http::decode::{Fields, Visitor};
use applepond_http::encode::HeaderLines;
use std::rc::Rc;

/// The event of a request, filled in as its attributes are read.
#[derive(Default)]
pub(crate) struct ReceivedEvent {
    pub(crate) id: String,
    pub(crate) source: String,
    pub(crate) event_type: String,
    pub(crate) deadline: RequestedDeadline,
    /// The client has marked it as a retry.
    pub(crate) is_retry: bool,
    /// All attributes as header lines for the worker, in one buffer to avoid two strings for each.
    pub(crate) fields: HeaderLines,
    /// Names of the attributes that the deployment reads by name.
    attribute_names: Rc<[String]>,
    /// Values of these attributes, in the same order.
    attribute_values: Vec<Option<String>>,
    pub(crate) media_type: Option<String>,
    pub(crate) data: Vec<u8>,
    /// Fault for which the event is refused once it is complete.
    fault: Option<Fault>,
}

impl ReceivedEvent {
    fn new(attribute_names: &Rc<[String]>) -> Self {
        ReceivedEvent {
            attribute_names: attribute_names.clone(),
            attribute_values: vec![None; attribute_names.len()],
            ..ReceivedEvent::default()
        }
    }

    /// Returns the value of an attribute that the deployment reads by name.
    pub(crate) fn attribute(&self, name: &str) -> Option<&str> {
        let mut attributes = self.attribute_names.iter().zip(&self.attribute_values);
        attributes.find(|(known, _)| *known == name).and_then(|(_, value)| value.as_deref())
    }
}

impl EventSink for ReceivedEvent {
    fn attribute(&mut self, name: &str, value: &str) {
        match name {
            "id" => self.id = value.to_owned(),
            "source" => self.source = value.to_owned(),
            "type" => self.event_type = value.to_owned(),
            "retry" => self.is_retry = value == "true",
            _ => {}
        }
        if let Err(fault) = self.deadline.read_attribute(name, value) {
            self.fault = Some(fault);
        }
        if let Some(index) = self.attribute_names.iter().position(|known| known == name) {
            self.attribute_values[index] = Some(value.to_owned());
        }
        cloudevent::attribute(&mut self.fields, name, value);
    }

    fn data(&mut self, media_type: Option<&str>, bytes: Vec<u8>) {
        self.media_type = media_type.map(str::to_owned);
        self.data = bytes;
    }
}

/// Collects one request from the HTTP decoder.
pub(super) struct RequestReader {
    attribute_names: Rc<[String]>,
    pub(super) event: ReceivedEvent,
    /// Set if the request carries an event.
    event_reader: Option<Reader>,
    body: Vec<u8>,
    pub(super) is_state_page: bool,
    /// The client waits for `100 Continue` before it sends the body.
    pub(super) expects_continue: bool,
    /// The connection may carry further requests.
    pub(super) keep_alive: bool,
}

impl RequestReader {
    pub(super) fn new(attribute_names: Rc<[String]>) -> Self {
        RequestReader {
            event: ReceivedEvent::new(&attribute_names),
            attribute_names,
            event_reader: None,
            body: Vec::new(),
            is_state_page: false,
            expects_continue: false,
            keep_alive: false,
        }
    }

    /// Returns the complete request, and starts a new one in its place.
    pub(super) fn take(&mut self) -> RequestReader {
        let next = RequestReader::new(self.attribute_names.clone());
        std::mem::replace(self, next)
    }

    /// Sets the attributes read by name from the next request on.
    pub(super) fn set_attribute_names(&mut self, attribute_names: Rc<[String]>) {
        self.attribute_names = attribute_names;
    }
}

impl Visitor for RequestReader {
    fn request(&mut self, method: &str, target: &str, fields: &Fields<'_>) -> Result<(), Fault> {
        *self = RequestReader::new(self.attribute_names.clone());
        let path = target.split('?').next().unwrap_or(target);
        match (method, path) {
            ("GET", "/-/state") => self.is_state_page = true,
            ("POST", "/" | "/events") => self.event_reader = Some(Reader::head(fields, &mut self.event)?),
            (_, "/" | "/events" | "/-/state") => {
                let detail = "events are taken by POST, the state is read by GET";
                return Err(Fault::new(405, "bad-method", detail));
            }
            _ => return Err(Fault::new(404, "no-such-path", "events are taken at /events")),
        }
        match fields.get("expect") {
            None => {}
            Some(expected) if expected.eq_ignore_ascii_case("100-continue") => self.expects_continue = true,
            Some(_) => return Err(Fault::new(417, "bad-expectation", "100-continue is the one known")),
        }
        Ok(())
    }

    fn response(&mut self, _: u16, _: &Fields<'_>) -> Result<(), Fault> {
        Err(Fault::new(400, "bad-head", "a request is wanted"))
    }

    fn body(&mut self, bytes: &[u8]) -> Result<(), Fault> {
        self.expects_continue = false;
        self.body.extend_from_slice(bytes);
        Ok(())
    }

    fn end(&mut self, keep_alive: bool) -> Result<(), Fault> {
        self.expects_continue = false;
        self.keep_alive = keep_alive;
        let body = std::mem::take(&mut self.body);
        if let Some(reader) = self.event_reader.take() {
            reader.body(body, &mut self.event)?;
        }
        match self.event.fault.take() {
            Some(fault) => Err(fault),
            None => Ok(()),
        }
    }
}
