//! The time a request has until its final answer, from its workload's limit and the deadline in its event.
use applepond::interface::Micros;
use applepond_http::Fault;

/// Time reserved for the transmission of the answer, which must arrive at the client by the deadline.
pub const RESPONSE_MARGIN: Micros = 10_000;

/// The deadline requested by an event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestedDeadline {
    /// `expirytime` of the published CloudEvents extensions, in µs since the Unix epoch.
    pub expires_at: Option<Micros>,
    /// `timelimit`, an extension of this project: time from the event's arrival at the router.
    pub time_limit: Option<Micros>,
}

/// Returns the 400 error for an event with an invalid deadline.
fn invalid_deadline(detail: String) -> Fault {
    Fault::new(400, "bad-time", detail)
}

impl RequestedDeadline {
    /// Reads one attribute of the event; attributes unrelated to the deadline are ignored.
    ///
    /// # Errors
    ///
    /// Returns a 400 error if `expirytime` is not an RFC 3339 time or `timelimit` is not a whole number of
    /// milliseconds.
    pub fn read_attribute(&mut self, name: &str, value: &str) -> Result<(), Fault> {
        match name {
            "expirytime" => {
                let at: jiff::Timestamp = value
                    .parse()
                    .map_err(|_| invalid_deadline(format!("expirytime '{value}' is no RFC 3339 time")))?;
                self.expires_at = Some(at.as_microsecond().max(0) as Micros);
            }
            "timelimit" => {
                let ms: u32 = value
                    .parse()
                    .map_err(|_| invalid_deadline(format!("timelimit '{value}' is no whole number of ms")))?;
                self.time_limit = Some(Micros::from(ms) * 1000);
            }
            _ => {}
        }
        Ok(())
    }
}

/// Returns the time left for a request that arrived now, or `None` if it is too late to answer it. The
/// earliest of the workload's limit, `time_limit` and `expires_at` applies: a client may shorten the time of
/// its request but not extend it, and it stops waiting at the earlier of its own two limits.
pub fn time_left(now: Micros, workload_limit: Micros, requested: RequestedDeadline) -> Option<Micros> {
    let until_expiry = requested.expires_at.map(|at| at.saturating_sub(now));
    let limits = [Some(workload_limit), requested.time_limit, until_expiry];
    let nearest = limits.into_iter().flatten().min().unwrap_or(workload_limit);
    nearest.checked_sub(RESPONSE_MARGIN).filter(|left| *left > 0)
}
