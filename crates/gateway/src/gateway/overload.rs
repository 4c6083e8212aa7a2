//! Retry storms as this gateway sees them: whether load is shed before `Control`, and what the log and the
//! state page show of it. The detector itself is in `applepond-admission`.
use super::Gateway;
use applepond::interface::Micros;
use applepond_admission::traffic_monitor::TrafficClass;

impl Gateway {
    /// Whether a retry storm, or the loop of one client, is under way and load is shed.
    pub(super) fn is_shedding(&self) -> bool {
        let traffic = self.admission.traffic_monitor().class();
        self.deployment.storm_shedding && matches!(traffic, TrafficClass::Storm | TrafficClass::Loop)
    }

    /// Writes a line to the log when the traffic's state changes.
    pub(super) fn log_traffic_change(&mut self, now: Micros) {
        let traffic = self.admission.traffic_monitor().class();
        if std::mem::replace(&mut self.logged_traffic, traffic) != traffic {
            let storm = self.storm_state(now);
            let shedding = self.is_shedding();
            tracing::info!(reason = "called", state = ?traffic, shedding, %storm, "traffic state changed");
        }
    }

    /// The part of the state page about retry storms: the traffic's state and since when, the rates that it
    /// comes from, what is admitted and advised.
    pub(super) fn storm_state(&self, now: Micros) -> serde_json::Value {
        let watch = self.admission.traffic_monitor();
        let (first_attempts, retries) = watch.rates(now);
        let (admitted, shed, line) = self.admission.totals(now);
        let (too_many_opened, too_many_early) = watch.storm_indications(now);
        serde_json::json!({
            "called": format!("{:?}", watch.class()).to_lowercase(), "since-us": watch.since(),
            "damped": self.is_shedding(), "first-tries-per-s": first_attempts, "retries-per-s": retries,
            "usual-per-s": watch.usual(now).map(|usual| usual.0),
            "pace-per-s": self.admission.best_completion_rate(now),
            "let-in": admitted, "would-send-back": shed, "line-us": line,
            "connections": {"opened-per-s": watch.connections.per_s(now),
                "usual-per-s": watch.usual(now).map(|usual| usual.1), "speak-for-a-storm": too_many_opened,
                "door-closed": self.admission.accept_limiter().pauses()},
            "advice": {"followed-per-s": watch.on_time_retries.per_s(now),
                "not-kept-per-s": watch.early_retries.per_s(now),
                "speaks-for-a-storm": too_many_early},
        })
    }
}
