//! The fleet's part of the state page, and one line of the log for each change of membership.
use crate::machine::FleetView;
use applepond_membership::{Change, MemberView};
use applepond_reactor::Micros;
use serde_json::{Map, Value, json};

/// The view for the state page; times in it are µs.
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

/// Writes a change to the log: one arm for each kind, which is why the function is long.
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
                "fleet: the status of a router has changed"
            );
        }
        Change::LinkFaultChanged { name, previous, current } => {
            tracing::info!(
                reason = "fleet-lame",
                router = name,
                was = ?previous,
                is = ?current,
                "fleet: a link to a router works in one direction only, or does again"
            );
        }
        Change::ProcessStalled(time) => {
            tracing::warn!(reason = "fleet-stood-still", us = time, "fleet: this process was stalled");
        }
        Change::Isolated(isolated) => {
            tracing::warn!(reason = "fleet-deaf", deaf = isolated, "fleet: all neighbours are silent");
        }
        Change::Rejoined(incarnation) => {
            tracing::warn!(reason = "fleet-returned", incarnation, "fleet: this router had been removed");
        }
        Change::NameLost { holder } => {
            tracing::error!(reason = "fleet-refused", %holder, "fleet: another process has this name");
        }
        Change::NameContested { name, claimant } => {
            tracing::error!(
                reason = "fleet-taken",
                router = name,
                by = %claimant,
                "fleet: another process wants a name that is taken"
            );
        }
        Change::TableFull { name } => {
            tracing::error!(
                reason = "fleet-full",
                router = name,
                "fleet: more routers than the membership table has room for"
            );
        }
    }
}
