//! Retry storms: whether load is shed ahead of `Control`, and how the traffic state is logged and shown on
//! the state page. The detector itself is in `applepond-admission`.
use super::Gateway;
use applepond::interface::Micros;
use applepond_admission::traffic_monitor::TrafficClass;

impl Gateway {
    /// Whether load is being shed, because of a retry storm or of a single client that retries in a loop.
    pub(super) fn is_shedding(&self) -> bool {
        let traffic = self.admission.traffic_monitor().class();
        self.deployment.storm_shedding && matches!(traffic, TrafficClass::Storm | TrafficClass::Loop)
    }

    /// Logs the traffic state if it has changed.
    pub(super) fn log_traffic_change(&mut self, now: Micros) {
        let traffic = self.admission.traffic_monitor().class();
        if std::mem::replace(&mut self.logged_traffic, traffic) != traffic {
            let storm = self.storm_state(now);
            let shedding = self.is_shedding();
            tracing::info!(reason = "called", state = ?traffic, shedding, %storm, "traffic state changed");
        }
    }

    /// The state page's section on retry storms: the traffic state and when it began, the rates that it is
    /// derived from, admission counts, and compliance with `Retry-After`.
    pub(super) fn storm_state(&self, now: Micros) -> serde_json::Value {
        let monitor = self.admission.traffic_monitor();
        let (first_attempts, retries) = monitor.rates(now);
        let (admitted, shed, queue_time) = self.admission.totals(now);
        let (too_many_opened, too_many_early) = monitor.storm_indications(now);
        serde_json::json!({
            "called": format!("{:?}", monitor.class()).to_lowercase(), "since-us": monitor.since(),
            "damped": self.is_shedding(), "first-tries-per-s": first_attempts, "retries-per-s": retries,
            "usual-per-s": monitor.usual(now).map(|usual| usual.0),
            "pace-per-s": self.admission.best_completion_rate(now),
            "let-in": admitted, "would-send-back": shed, "line-us": queue_time,
            "connections": {"opened-per-s": monitor.connections.per_s(now),
                "usual-per-s": monitor.usual(now).map(|usual| usual.1), "speak-for-a-storm": too_many_opened,
                "door-closed": self.admission.accept_limiter().pauses()},
            "advice": {"followed-per-s": monitor.on_time_retries.per_s(now),
                "not-kept-per-s": monitor.early_retries.per_s(now),
                "speaks-for-a-storm": too_many_early},
        })
    }
}
