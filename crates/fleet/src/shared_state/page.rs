//! Section of the state page on the shared state.
use super::{Prefixes, SharedState};
use crate::disk::AgreedState;
use applepond_consensus::{Register, Unavailable};
use applepond_reactor::Micros;
use applepond_recovery::Stage;
use miette::Diagnostic;
use serde_json::{Value, json};

impl SharedState {
    /// Returns its section of the state page. Times are in µs.
    pub fn page(&self, now: Micros) -> Value {
        let (origins, bytes) = self.gossip.size();
        let gossip = json!({"origins": origins, "bytes": bytes, "view": self.gossip.view_digest(),
            "unread": self.unreadable});
        let facts = self.observations.borrow().facts().len();
        json!({"agreed": self.register.as_ref().map(|register| register_section(register, now)),
            "tallies": gossip, "pins": self.prefixes.as_ref().map(Prefixes::pinned),
            "comeback": {"stage": stage_text(self.recovery.stage()), "asks": self.recovery.requests_sent(),
                "facts": facts, "snapshots": self.snapshots_written, "unusable": self.snapshot_error}})
    }
}

fn register_section(register: &Register<AgreedState>, now: Micros) -> Value {
    let lease = register.lease(now);
    let replicas =
        lease.map(|lease| lease.state.replicas.iter().map(|replica| replica.router.0).collect::<Vec<_>>());
    json!({"number": lease.map(|lease| lease.state.version),
        "for-us": lease.map(|lease| lease.expires_at - now),
        "line": lease.map(|lease| lease.state.register_id.0), "convenes": register.is_leader(now),
        "keepers": replicas,
        "standstill": register.unavailable_reason(now).as_ref().map(unavailable_section)})
}

fn unavailable_section(reason: &Unavailable) -> Value {
    json!({"code": reason.code().map(|code| code.to_string()), "why": reason.to_string(),
        "help": reason.help().map(|help| help.to_string())})
}

fn stage_text(stage: Stage) -> String {
    match stage {
        Stage::Requesting => "asking".to_owned(),
        Stage::Recovered(peers) => format!("told by {peers}"),
        Stage::Exhausted => "untold".to_owned(),
    }
}
