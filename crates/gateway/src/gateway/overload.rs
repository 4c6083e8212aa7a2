//! Retry storms: whether load is shed ahead of `Control`, and how the traffic state is logged and shown on
//! the state page. The detector itself is in `applepond-admission`.
use super::Gateway;
use applepond::interface::Micros;
use applepond_admission::watch::Called;

impl Gateway {
    /// Whether load is being shed, because of a retry storm or of a single client that retries in a loop.
    pub(super) fn is_shedding(&self) -> bool {
        let traffic = self.admission.watch().called();
        self.deployment.storm_shedding && matches!(traffic, Called::Storm | Called::Loop)
    }

    /// Logs the traffic state if it has changed.
    pub(super) fn log_traffic_change(&mut self, now: Micros) {
        let traffic = self.admission.watch().called();
        if std::mem::replace(&mut self.logged_traffic, traffic) != traffic {
            let storm = self.storm_state(now);
            let shedding = self.is_shedding();
            tracing::info!(reason = "called", state = ?traffic, shedding, %storm, "traffic state changed");
        }
    }

    /// The state page's section on retry storms: the traffic state and when it began, the rates that it is
    /// derived from, admission counts, and compliance with `Retry-After`.
    pub(super) fn storm_state(&self, now: Micros) -> serde_json::Value {
        let watch = self.admission.watch();
        let (first_attempts, retries) = watch.rates(now);
        let (admitted, shed, queue_time) = self.admission.sums(now);
        let (too_many_opened, too_many_early) = watch.speaks(now);
        serde_json::json!({
            "called": format!("{:?}", watch.called()).to_lowercase(), "since-us": watch.since(),
            "damped": self.is_shedding(), "first-tries-per-s": first_attempts, "retries-per-s": retries,
            "usual-per-s": watch.usual(now).map(|usual| usual.0), "pace-per-s": self.admission.pace(now),
            "let-in": admitted, "would-send-back": shed, "line-us": queue_time,
            "connections": {"opened-per-s": watch.opened.per_s(now),
                "usual-per-s": watch.usual(now).map(|usual| usual.1), "speak-for-a-storm": too_many_opened,
                "door-closed": self.admission.doors().closings()},
            "advice": {"followed-per-s": watch.followed.per_s(now), "not-kept-per-s": watch.early.per_s(now),
                "speaks-for-a-storm": too_many_early},
        })
    }
}
