//! How long a request has.
use applepond::interface::Micros;
use applepond_http::Fault;

/// µs kept back for the answer's way to the client: it must be there in time, not just sent in time.
const WAY_BACK: Micros = 10_000;

/// What an event says of its time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Asked {
    /// `expirytime` of the published extensions: a point on the clock, as µs since the Unix epoch.
    pub expires: Option<Micros>,
    /// `timelimit`, an extension of ours: ms from the event's arrival here.
    pub within: Option<Micros>,
}

/// A request whose time cannot be read is the client's to put right.
fn bad(what: String) -> Fault {
    Fault::new(400, "bad-time", what)
}

impl Asked {
    /// Reads one attribute; a fault says what was wanted.
    pub fn attribute(&mut self, name: &str, value: &str) -> Result<(), Fault> {
        match name {
            "expirytime" => {
                let at: jiff::Timestamp =
                    value.parse().map_err(|_| bad(format!("expirytime '{value}' is no RFC 3339 time")))?;
                self.expires = Some(at.as_microsecond().max(0) as Micros);
            }
            "timelimit" => {
                let ms: u32 = value
                    .parse()
                    .map_err(|_| bad(format!("timelimit '{value}' is no whole number of ms")))?;
                self.within = Some(Micros::from(ms) * 1000);
            }
            _ => {}
        }
        Ok(())
    }
}

/// Time left for a request that came now; none where it came too late to be answered at all. The nearest of
/// the workload's limit, the relative time and the expiry wins: a client may shorten its request's time, not
/// stretch it, and of two limits of its own the nearer one is when it will be gone.
pub fn left(now: Micros, workload: Micros, asked: Asked) -> Option<Micros> {
    let until = [Some(workload), asked.within, asked.expires.map(|at| at.saturating_sub(now))];
    let nearest = until.into_iter().flatten().min().unwrap_or(workload);
    nearest.checked_sub(WAY_BACK).filter(|left| *left > 0)
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    const S: Micros = 1_000_000;

    #[test_case(None, None, Some(5 * S - WAY_BACK); "the workload's")]
    #[test_case(Some(2000), None, Some(2 * S - WAY_BACK); "relative, nearer")]
    #[test_case(Some(9000), None, Some(5 * S - WAY_BACK); "relative, farther: not stretched")]
    #[test_case(None, Some(103), Some(3 * S - WAY_BACK); "expiry")]
    #[test_case(Some(2000), Some(103), Some(2 * S - WAY_BACK); "relative before expiry")]
    #[test_case(Some(4000), Some(103), Some(3 * S - WAY_BACK); "expiry before relative")]
    #[test_case(None, Some(99), None; "expired")]
    #[test_case(Some(10), None, None; "no time but for the way back")]
    fn nearest_wins(within_ms: Option<u64>, expires_s: Option<u64>, want: Option<Micros>) {
        let asked = Asked { within: within_ms.map(|ms| ms * 1000), expires: expires_s.map(|s| s * S) };
        assert_eq!(left(100 * S, 5 * S, asked), want);
    }

    #[test_case("expirytime", "1970-01-01T00:00:02.5Z", Some(2_500_000); "in UTC")]
    #[test_case("expirytime", "1970-01-01T01:00:02+01:00", Some(2_000_000); "with an offset")]
    #[test_case("expirytime", "tomorrow", None; "no time")]
    #[test_case("timelimit", "250", Some(250_000); "relative")]
    #[test_case("timelimit", "-1", None; "negative")]
    #[test_case("timelimit", "1e3", None; "no whole number")]
    fn read(name: &str, value: &str, want: Option<Micros>) {
        let mut asked = Asked::default();
        let result = asked.attribute(name, value);
        assert_eq!(result.ok().and(asked.expires.or(asked.within)), want);
    }
}
