//! How long a request has until its final answer, from its workload's limit and from what its event asks for.
use applepond::interface::Micros;
use applepond_http::Fault;

/// Time kept back for the answer's way to the client: it must have arrived by the deadline, not just left.
pub const RESPONSE_MARGIN: Micros = 10_000;

/// What an event says of its own deadline.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestedDeadline {
    /// `expirytime` of the published CloudEvents extensions: µs since the Unix epoch.
    pub expires_at: Option<Micros>,
    /// `timelimit`, an extension of this project: time from the event's arrival here.
    pub time_limit: Option<Micros>,
}

/// The answer to an event whose deadline cannot be read.
fn bad_time(detail: String) -> Fault {
    Fault::new(400, "bad-time", detail)
}

impl RequestedDeadline {
    /// Reads one attribute of the event; attributes that say nothing of its deadline are ignored.
    ///
    /// # Errors
    ///
    /// A 400 answer, where `expirytime` is no RFC 3339 time or `timelimit` no whole number of milliseconds.
    pub fn read_attribute(&mut self, name: &str, value: &str) -> Result<(), Fault> {
        match name {
            "expirytime" => {
                let at: jiff::Timestamp = value
                    .parse()
                    .map_err(|_| bad_time(format!("expirytime '{value}' is no RFC 3339 time")))?;
                self.expires_at = Some(at.as_microsecond().max(0) as Micros);
            }
            "timelimit" => {
                let ms: u32 = value
                    .parse()
                    .map_err(|_| bad_time(format!("timelimit '{value}' is no whole number of ms")))?;
                self.time_limit = Some(Micros::from(ms) * 1000);
            }
            _ => {}
        }
        Ok(())
    }
}

/// Time left for a request that arrived now; none where it is already too late to answer it. The nearest of
/// the workload's limit, `time_limit` and `expires_at` counts: a client may shorten its request's time, not
/// stretch it, and of two limits of its own the nearer one is when it stops waiting.
pub fn time_left(now: Micros, workload_limit: Micros, requested: RequestedDeadline) -> Option<Micros> {
    let until_expiry = requested.expires_at.map(|at| at.saturating_sub(now));
    let limits = [Some(workload_limit), requested.time_limit, until_expiry];
    let nearest = limits.into_iter().flatten().min().unwrap_or(workload_limit);
    nearest.checked_sub(RESPONSE_MARGIN).filter(|left| *left > 0)
}
