//! Calls of clients: one HTTP/1.1 request each, read strictly. What a client did not send in this form is
//! never passed on.
use crate::line;
use crate::rows::Words;
use applepond::interface::*;
use applepond_http::Fault;
use applepond_http::decode::{Fields, Visitor};

/// Bytes of a call's body at most.
pub const BODY_MOST: u64 = 16 * 1024;
/// Digits of a number in a head at most: the largest figures in use have seven.
const DIGITS_MOST: usize = 12;
/// Jobs that one copy may run at a time at most, µs a load may take, MB a copy may have: past them a figure
/// is taken for nonsense.
const LANES_MOST: f64 = 4096.0;
const LOAD_MOST_MS: f64 = 600_000.0;
const MEMORY_MOST_MB: f64 = 1e9;

/// What a request asks for.
pub enum Ask {
    /// Whether this router serves.
    Check,
    /// A request: what the module is told, and the head of the line that runs it.
    Job(RequestArrival, Vec<u8>),
}

/// One request while it comes in.
pub struct Incoming<'a> {
    pub words: &'a Words,
    pub rows: &'a StartupConfig,
    /// The longest time that clients of each workload wait.
    pub deadlines: &'a [Micros],
    pub part: &'a mut Part,
}

/// What has come of a request so far.
#[derive(Default)]
pub struct Part {
    pub ask: Option<Ask>,
    pub body: Vec<u8>,
    pub keep: bool,
    /// The client waits for a word before it sends its body.
    pub go_on: bool,
}

fn bad(what: &str) -> Fault {
    Fault::new(400, "bad-call", what)
}

fn hex(text: &str, digits: usize) -> bool {
    text.len() == digits && text.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b))
}

/// A number as a head may carry it: digits, with a fraction or without.
fn number(text: &str) -> Option<f64> {
    let plain = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    (plain && !text.is_empty() && text.len() <= DIGITS_MOST).then(|| text.parse().ok()).flatten()
}

/// A request's id in the module's form.
pub fn request_id(text: &str) -> RequestId {
    let mut id = [b'0'; 36];
    id[..text.len()].copy_from_slice(text.as_bytes());
    RequestId(id)
}

/// The id as it came.
pub fn id_text(request: &RequestId) -> &str {
    std::str::from_utf8(&request.0[..16]).expect("ids came in as text")
}

impl Incoming<'_> {
    fn call(&self, target: &str, fields: &Fields<'_>) -> Result<Ask, Fault> {
        let function = target.strip_prefix("/do/").and_then(|rest| rest.strip_suffix("/fire"));
        let function = function.ok_or_else(|| Fault::new(404, "no-such-path", "calls go to /do/"))?;
        if !hex(function, 16) {
            return Err(bad("a function is named by 16 hex digits"));
        }
        let (mut id, mut class, mut budget, mut account) = (None, None, None, None);
        let (mut retry, mut mark, mut extras) = (None, None, None);
        for (name, value) in fields.iter() {
            let slot = match () {
                () if name.eq_ignore_ascii_case("request-id") => &mut id,
                () if name.eq_ignore_ascii_case("x-class") => &mut class,
                () if name.eq_ignore_ascii_case("budget-ms") => &mut budget,
                () if name.eq_ignore_ascii_case("account") => &mut account,
                () if name.eq_ignore_ascii_case("attempt-again") => &mut retry,
                () if name.eq_ignore_ascii_case("once-key") => &mut mark,
                () if name.eq_ignore_ascii_case("x-extras") => &mut extras,
                () => continue,
            };
            let value = std::str::from_utf8(value).map_err(|_| bad("a field is no text"))?;
            if slot.replace(value.trim()).is_some() {
                return Err(bad("a field stands twice"));
            }
        }
        let id = id.filter(|id| hex(id, 16)).ok_or_else(|| bad("Request-Id: 16 hex digits are wanted"))?;
        let place = |names: &[String], named: Option<&str>| names.iter().position(|n| Some(&**n) == named);
        let workload = place(&self.words.workloads, class).ok_or_else(|| bad("X-Class is not known"))?;
        let customer = match place(&self.words.customers, account) {
            Some(n) => Some(CustomerId(n)),
            // Where the settings name no tenants, whatever a client calls itself is nobody's share.
            None if self.words.customers.is_empty() => None,
            None => return Err(bad("Account is not known")),
        };
        let most = self.deadlines[workload] as f64 / 1000.0;
        let left = budget.and_then(number).filter(|ms| *ms >= 1.0 && *ms <= most.max(1.0));
        let left = left.ok_or_else(|| bad("Budget-Ms: a number in range is wanted"))?;
        if !matches!(retry, None | Some("1")) {
            return Err(bad("Attempt-Again: 1 is wanted, or nothing"));
        }
        let marked = matches!(self.rows.workloads[workload].retry_safety, RetrySafety::Keyed { .. });
        let mark = match mark {
            Some(mark) if !hex(mark, 32) => return Err(bad("Once-Key: 32 hex digits are wanted")),
            None if marked => return Err(bad("Once-Key is wanted")),
            mark => mark,
        };
        let mut arrival = RequestArrival {
            request: request_id(id),
            function: FunctionId::named(function),
            workload: WorkloadId(workload),
            customer,
            time_left: (left * 1000.0) as Micros,
            concurrency: 1,
            retry: retry.is_some(),
            load_time: None,
            priority_factor: 1.0,
        };
        for pair in extras.unwrap_or("").split(';').filter(|pair| !pair.is_empty()) {
            let (name, value) = pair.split_once(':').ok_or_else(|| bad("X-Extras: pairs are wanted"))?;
            let value = number(value).ok_or_else(|| bad("X-Extras: numbers are wanted"))?;
            let in_range = match name {
                "lanes" => {
                    arrival.concurrency = value as u32;
                    (1.0..=LANES_MOST).contains(&value)
                }
                "load_ms" => {
                    arrival.load_time = Some((value * 1000.0) as Micros);
                    value <= LOAD_MOST_MS
                }
                "memory_mb" => value <= MEMORY_MOST_MB,
                _ => true,
            };
            if !in_range {
                return Err(bad("X-Extras: a figure is out of range"));
            }
        }
        let head = line::head(id, &self.words.workloads[workload], function, mark);
        Ok(Ask::Job(arrival, head))
    }
}

impl Visitor for Incoming<'_> {
    fn request(&mut self, method: &str, target: &str, fields: &Fields<'_>) -> Result<(), Fault> {
        *self.part = Part::default();
        self.part.ask = Some(match (method, target) {
            ("GET", "/check") => Ask::Check,
            ("POST", _) => self.call(target, fields)?,
            _ => return Err(Fault::new(405, "bad-method", "calls are posted")),
        });
        match fields.get("expect") {
            None => {}
            Some(what) if what.eq_ignore_ascii_case("100-continue") => self.part.go_on = true,
            Some(_) => return Err(Fault::new(417, "bad-expectation", "100-continue is the one known")),
        }
        Ok(())
    }

    fn response(&mut self, _: u16, _: &Fields<'_>) -> Result<(), Fault> {
        Err(bad("a request is wanted"))
    }

    fn body(&mut self, bytes: &[u8]) -> Result<(), Fault> {
        self.part.go_on = false;
        self.part.body.extend_from_slice(bytes);
        Ok(())
    }

    fn end(&mut self, keep: bool) -> Result<(), Fault> {
        self.part.go_on = false;
        self.part.keep = keep;
        Ok(())
    }
}
