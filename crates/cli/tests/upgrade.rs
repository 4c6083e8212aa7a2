//! Rolling upgrade of a fleet of three. Each router is restarted on its existing files, the fleet agrees
//! after each step, and no stored file or message is rejected.
//!
//! `APPLEPOND_BEFORE=PATH cargo test -p applepond-cli --test upgrade` starts from the build of an earlier
//! version and downgrades one router to it at the end. Without the variable, all steps use this build.
mod common;
use common::*;
use serde_json::{Value, json};
use std::path::{Path, PathBuf};

const FLEET_SIZE: usize = 3;

/// Fleet settings of a router: all three are replicas with a snapshot.
fn extra_settings(n: usize, folder: &Path) -> String {
    let file = |extension: &str| folder.join(format!("r{n}.{extension}")).display().to_string();
    let (votes, snapshot) = (file("votes"), file("snapshot"));
    format!(" keepers = [\"r0\", \"r1\", \"r2\"]\n votes = \"{votes}\"\n snapshot = \"{snapshot}\"\n")
}

/// The drop counts allowed during an upgrade. Datagrams sealed for a process that has ended may reach its
/// successor. Malformed, replayed or unauthentic datagrams, and unknown versions, are failures.
fn allowed_drops(page: &Value) -> Value {
    let misled = &page["datagrams"]["dropped"]["misled"];
    if misled.is_null() { json!({}) } else { json!({"misled": misled}) }
}

/// Whether all routers are alive with the same view and agreed value. Asserts that none has rejected a file
/// or a message.
fn is_healthy(fleet: &Fleet, register: Option<&Value>) -> bool {
    let all: Vec<usize> = (0..FLEET_SIZE).collect();
    fleet.views_agree(&all, FLEET_SIZE)
        && all.iter().all(|n| {
            let page = fleet.fleet_section(*n);
            let shared = &page["shared"];
            assert_eq!(shared["tallies"]["unread"], 0, "router {n}: {page}");
            assert_eq!(shared["comeback"]["unusable"], Value::Null, "router {n}: {page}");
            assert_eq!(page["datagrams"]["dropped"], allowed_drops(&page), "router {n}: {page}");
            let agreed = &shared["agreed"];
            agreed["number"].as_u64() >= Some(2)
                && agreed["standstill"].is_null()
                && register.is_none_or(|register| agreed["line"] == *register)
        })
}

#[test]
fn rolling_upgrade_and_downgrade() {
    let new = PathBuf::from(env!("CARGO_BIN_EXE_applepond"));
    let before = std::env::var_os("APPLEPOND_BEFORE").map_or(new.clone(), PathBuf::from);
    let mut fleet = Fleet::new("upgrade", FLEET_SIZE, &extra_settings);
    (0..FLEET_SIZE).for_each(|n| fleet.restart_with(n, &before));
    fleet.wait_until("the fleet agrees before the upgrade", |f| is_healthy(f, None));
    let register = fleet.fleet_section(0)["shared"]["agreed"]["line"].clone();
    for (n, program) in [(0, &new), (1, &new), (2, &new), (1, &before)] {
        let others: Vec<usize> = (0..FLEET_SIZE).filter(|other| *other != n).collect();
        fleet.wait_until("a snapshot is written", |f| {
            f.fleet_section(n)["shared"]["comeback"]["snapshots"].as_u64() >= Some(1)
        });
        fleet.restart_with(n, program);
        fleet.wait_until("the fleet agrees on the same register", |f| {
            let sees_alive = |observer: usize, n: usize| f.member_row(observer, n)["standing"] == "alive";
            assert!(
                sees_alive(others[0], others[1]) && sees_alive(others[1], others[0]),
                "only router {n} was restarted"
            );
            is_healthy(f, Some(&register))
        });
    }
}
