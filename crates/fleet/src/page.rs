//! The fleet section of the state page, and the log lines for membership changes.
use crate::machine::FleetView;
use applepond_membership::{Change, MemberView};
use applepond_reactor::Micros;
use serde_json::{Map, Value, json};

/// Renders the fleet section of the state page. Times are in µs.
pub fn page(view: &FleetView, now: Micros) -> Value {
    let members = &view.members;
    let dropped: Map<String, Value> = view
        .envelopes
        .dropped()
        .iter()
        .map(|(reason, count)| (reason.as_str().to_owned(), json!(count)))
        .collect();
    json!({"live": members.live_count(), "live-by-zone": members.live_count_by_zone(),
        "view": members.view_digest(),
        "refused": members.has_lost_name(), "deaf": members.is_isolated(),
        "members": members.members().map(|member| member_row(&member, now)).collect::<Vec<_>>(),
        "shared": view.shared.as_ref().map(|shared| shared.page(now)),
        "datagrams": {"sent": view.sent, "not-taken": view.unsent, "unreadable": view.unreadable,
            "dropped": dropped}})
}

fn member_row(member: &MemberView, now: Micros) -> Value {
    let record = &member.record;
    json!({"name": record.name, "zone": record.zone, "address": record.address.to_string(),
        "incarnation": record.incarnation, "standing": member.observed.as_str(),
        "for-us": now.saturating_sub(member.since), "by": member.accusers,
        "lame": member.link_fault.map(|fault| format!("{fault:?}").to_lowercase())})
}

/// Logs a membership change. The function is long because it has one arm for each kind of change.
pub(crate) fn log_change(change: &Change) {
    match change {
        Change::StatusChanged { name, previous, current, accusers } => {
            let previous = previous.map_or("unknown", |status| status.as_str());
            tracing::info!(
                reason = "fleet-standing",
                router = name,
                was = previous,
                is = current.as_str(),
                by = accusers.join(","),
                "fleet: router status changed"
            );
        }
        Change::LinkFaultChanged { name, previous, current } => {
            tracing::info!(
                reason = "fleet-lame",
                router = name,
                was = ?previous,
                is = ?current,
                "fleet: link fault to a router changed"
            );
        }
        Change::ProcessStalled(time) => {
            tracing::warn!(reason = "fleet-stood-still", us = time, "fleet: this process was stalled");
        }
        Change::Isolated(isolated) => {
            tracing::warn!(
                reason = "fleet-deaf",
                deaf = isolated,
                "fleet: all neighbours silent, or heard again"
            );
        }
        Change::Rejoined(incarnation) => {
            tracing::warn!(
                reason = "fleet-returned",
                incarnation,
                "fleet: rejoined after having been removed"
            );
        }
        Change::NameLost { holder } => {
            tracing::error!(
                reason = "fleet-refused",
                %holder,
                "fleet: another process holds the name of this router"
            );
        }
        Change::NameContested { name, claimant } => {
            tracing::error!(
                reason = "fleet-taken",
                router = name,
                by = %claimant,
                "fleet: another process claims a name that is in use"
            );
        }
        Change::TableFull { name } => {
            tracing::error!(
                reason = "fleet-full",
                router = name,
                "fleet: the membership table is full; a router was not added"
            );
        }
    }
}
