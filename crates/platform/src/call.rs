//! Client calls, one HTTP/1.1 request each. Parsing is strict: a request that does not have the expected form
//! is never forwarded.
use crate::line;
use crate::startup::ConfigNames;
use applepond::interface::{
    CustomerId, FunctionId, Micros, RequestArrival, RequestId, RetrySafety, StartupConfig, WorkloadId,
};
use applepond_http::Fault;
use applepond_http::decode::{Fields, Visitor};

/// Maximum size of a call's body.
pub const MAX_BODY_BYTES: u64 = 16 * 1024;
/// Maximum length of a number in a header field. The largest numbers in use have seven digits.
const MAX_NUMBER_CHARS: usize = 12;
/// Maximum number of concurrent requests per function instance. A larger value is rejected as invalid.
const MAX_CONCURRENCY: f64 = 4096.0;
/// Maximum load time of a function.
const MAX_LOAD_MS: f64 = 600_000.0;
/// Maximum memory of a function instance.
const MAX_MEMORY_MB: f64 = 1e9;

/// The kind of a request.
pub enum RequestKind {
    /// A health check of this router.
    HealthCheck,
    /// A call: its arrival for `Control`, and the first part of the line that runs it on a model server.
    Call(RequestArrival, Vec<u8>),
}

/// Collects one request from the HTTP decoder.
pub struct CallVisitor<'a> {
    /// The names behind the indices of the configuration.
    pub names: &'a ConfigNames,
    /// The start-up configuration.
    pub startup: &'a StartupConfig,
    /// Longest deadline of each workload's clients.
    pub deadlines: &'a [Micros],
    /// The request as received so far.
    pub parsed: &'a mut ParsedRequest,
}

/// A request as received so far.
#[derive(Default)]
pub struct ParsedRequest {
    /// The kind of the request, known once its head has been read.
    pub kind: Option<RequestKind>,
    /// The part of the body received so far.
    pub body: Vec<u8>,
    /// Whether the client keeps the connection open; known at the end of the request.
    pub keep_alive: bool,
    /// Whether the client waits for `100 Continue` before it sends the body.
    pub awaits_continue: bool,
}

fn bad_call(detail: &str) -> Fault {
    Fault::new(400, "bad-call", detail)
}

/// Whether the text consists of exactly this many lower-case hex digits.
fn is_hex(text: &str, digits: usize) -> bool {
    text.len() == digits && text.bytes().all(|byte| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte))
}

/// Parses a decimal number without sign or exponent, as allowed in header fields.
fn number(text: &str) -> Option<f64> {
    let plain = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    (plain && !text.is_empty() && text.len() <= MAX_NUMBER_CHARS).then(|| text.parse().ok()).flatten()
}

/// Converts the id sent by a client to the id used by `Control`, padded with zeros.
///
/// # Panics
/// If the text is longer than 36 bytes.
pub fn request_id(text: &str) -> RequestId {
    let mut id = [b'0'; 36];
    id[..text.len()].copy_from_slice(text.as_bytes());
    RequestId(id)
}

/// The id as sent by the client.
///
/// # Panics
/// If the id was not made by [`request_id`] from a text of 16 characters.
pub fn id_text(request: &RequestId) -> &str {
    std::str::from_utf8(&request.0[..16]).expect("request ids are made from text")
}

/// The raw header fields of a call. Each may occur only once.
#[derive(Default)]
struct CallFields<'a> {
    request_id: Option<&'a str>,
    workload: Option<&'a str>,
    time_left_ms: Option<&'a str>,
    customer: Option<&'a str>,
    retry: Option<&'a str>,
    idempotency_key: Option<&'a str>,
    extras: Option<&'a str>,
}

impl<'a> CallFields<'a> {
    fn read(fields: &Fields<'a>) -> Result<Self, Fault> {
        let mut call = CallFields::default();
        for (name, value) in fields.iter() {
            let Some(slot) = call.slot(name) else { continue };
            let value = std::str::from_utf8(value).map_err(|_| bad_call("a field is no text"))?;
            if slot.replace(value.trim()).is_some() {
                return Err(bad_call("a field stands twice"));
            }
        }
        Ok(call)
    }

    /// The slot for the value of the named header field, or `None` if calls do not use the field.
    fn slot(&mut self, name: &str) -> Option<&mut Option<&'a str>> {
        let slots = [
            ("request-id", &mut self.request_id),
            ("x-class", &mut self.workload),
            ("budget-ms", &mut self.time_left_ms),
            ("account", &mut self.customer),
            ("attempt-again", &mut self.retry),
            ("once-key", &mut self.idempotency_key),
            ("x-extras", &mut self.extras),
        ];
        slots.into_iter().find(|(known, _)| name.eq_ignore_ascii_case(known)).map(|(_, slot)| slot)
    }
}

fn index_of(names: &[String], name: Option<&str>) -> Option<usize> {
    names.iter().position(|known| Some(&**known) == name)
}

impl CallVisitor<'_> {
    fn parse_call(&self, target: &str, fields: &Fields<'_>) -> Result<RequestKind, Fault> {
        let function = target.strip_prefix("/do/").and_then(|path| path.strip_suffix("/fire"));
        let function = function.ok_or_else(|| Fault::new(404, "no-such-path", "calls go to /do/"))?;
        if !is_hex(function, 16) {
            return Err(bad_call("a function is named by 16 hex digits"));
        }
        let call = CallFields::read(fields)?;
        let id = call.request_id.filter(|id| is_hex(id, 16));
        let id = id.ok_or_else(|| bad_call("Request-Id: 16 hex digits are wanted"))?;
        let workload = index_of(&self.names.workloads, call.workload);
        let workload = workload.ok_or_else(|| bad_call("X-Class is not known"))?;
        let customer = self.customer(call.customer)?;
        let time_left = self.time_left(call.time_left_ms, workload)?;
        if !matches!(call.retry, None | Some("1")) {
            return Err(bad_call("Attempt-Again: 1 is wanted, or nothing"));
        }
        let key = self.idempotency_key(call.idempotency_key, workload)?;
        let mut arrival = RequestArrival {
            request: request_id(id),
            function: FunctionId::named(function),
            workload: WorkloadId(workload),
            customer,
            time_left,
            concurrency: 1,
            retry: call.retry.is_some(),
            load_time: None,
            priority_factor: 1.0,
        };
        read_extras(call.extras.unwrap_or(""), &mut arrival)?;
        let head = line::run_head(id, &self.names.workloads[workload], function, key);
        Ok(RequestKind::Call(arrival, head))
    }

    fn customer(&self, name: Option<&str>) -> Result<Option<CustomerId>, Fault> {
        match index_of(&self.names.customers, name) {
            Some(index) => Ok(Some(CustomerId(index))),
            // Without customers in the settings, any customer name is accepted and has no quota.
            None if self.names.customers.is_empty() => Ok(None),
            None => Err(bad_call("Account is not known")),
        }
    }

    /// The client's remaining time: at least 1 ms, and at most the deadline of the workload.
    fn time_left(&self, ms: Option<&str>, workload: usize) -> Result<Micros, Fault> {
        let longest_ms = self.deadlines[workload] as f64 / 1000.0;
        let ms = ms.and_then(number).filter(|ms| *ms >= 1.0 && *ms <= longest_ms.max(1.0));
        let ms = ms.ok_or_else(|| bad_call("Budget-Ms: a number in range is wanted"))?;
        Ok((ms * 1000.0) as Micros)
    }

    fn idempotency_key<'a>(&self, key: Option<&'a str>, workload: usize) -> Result<Option<&'a str>, Fault> {
        let needs_key = matches!(self.startup.workloads[workload].retry_safety, RetrySafety::Keyed { .. });
        match key {
            Some(key) if !is_hex(key, 32) => Err(bad_call("Once-Key: 32 hex digits are wanted")),
            None if needs_key => Err(bad_call("Once-Key is wanted")),
            key => Ok(key),
        }
    }
}

/// Reads the requirements of the function, given as `name:value;name:value`.
fn read_extras(extras: &str, arrival: &mut RequestArrival) -> Result<(), Fault> {
    for pair in extras.split(';').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once(':').ok_or_else(|| bad_call("X-Extras: pairs are wanted"))?;
        let value = number(value).ok_or_else(|| bad_call("X-Extras: numbers are wanted"))?;
        let in_range = match name {
            "lanes" => {
                arrival.concurrency = value as u32;
                (1.0..=MAX_CONCURRENCY).contains(&value)
            }
            "load_ms" => {
                arrival.load_time = Some((value * 1000.0) as Micros);
                value <= MAX_LOAD_MS
            }
            "memory_mb" => value <= MAX_MEMORY_MB,
            _ => true,
        };
        if !in_range {
            return Err(bad_call("X-Extras: a figure is out of range"));
        }
    }
    Ok(())
}

impl Visitor for CallVisitor<'_> {
    fn request(&mut self, method: &str, target: &str, fields: &Fields<'_>) -> Result<(), Fault> {
        *self.parsed = ParsedRequest::default();
        self.parsed.kind = Some(match (method, target) {
            ("GET", "/check") => RequestKind::HealthCheck,
            ("POST", _) => self.parse_call(target, fields)?,
            _ => return Err(Fault::new(405, "bad-method", "calls are posted")),
        });
        match fields.get("expect") {
            None => {}
            Some(expected) if expected.eq_ignore_ascii_case("100-continue") => {
                self.parsed.awaits_continue = true
            }
            Some(_) => return Err(Fault::new(417, "bad-expectation", "100-continue is the one known")),
        }
        Ok(())
    }

    fn response(&mut self, _: u16, _: &Fields<'_>) -> Result<(), Fault> {
        Err(bad_call("a request is wanted"))
    }

    fn body(&mut self, bytes: &[u8]) -> Result<(), Fault> {
        self.parsed.awaits_continue = false;
        self.parsed.body.extend_from_slice(bytes);
        Ok(())
    }

    fn end(&mut self, keep_alive: bool) -> Result<(), Fault> {
        self.parsed.awaits_continue = false;
        self.parsed.keep_alive = keep_alive;
        Ok(())
    }
}
