//! Scenarios of recovery and of prompt prefixes, with eight routers each. They are in a file of their own so
//! that they do not run in parallel with the other scenarios.
use std::process::{Command, Output};
use test_case::test_case;

/// Runs a scenario. Workflow stores are kept in memory if possible: a disk that takes 150 ms per flush would
/// stall the router for as long and decide the verdict.
fn run_scenario(args: &[&str]) -> Output {
    let mut program = Command::new(env!("CARGO_BIN_EXE_applepond"));
    let memory = std::path::Path::new("/dev/shm");
    if memory.is_dir() {
        program.env("TMPDIR", memory);
    }
    program.arg("drill").args(args).output().expect("the program runs")
}

// Most routers are killed and restart with a stale endpoint list: service recovers, and drains still apply.
#[test_case("kill", "", None; "no bug")]
#[test_case("lost", "", None; "all at once, disks lost")]
#[test_case("kill", "forgets-drains", Some("as with: forgets-drains"); "drains forgotten")]
#[test_case("nineteen", "empty-is-zero", Some("empty-is-zero"); "empty answers accepted as facts")]
fn recovery_scenario(fault: &str, seeded_bug: &str, expected: Option<&str>) {
    let args = ["comeback", "--seed", "7", "--routers", "8", "--workers", "6", "--fault", fault];
    let bug_args = ["--plant", seeded_bug];
    let out = run_scenario(&[&args[..], if seeded_bug.is_empty() { &[] } else { &bug_args }].concat());
    let stdout = String::from_utf8_lossy(&out.stdout);
    assert_eq!(out.status.code(), Some(i32::from(expected.is_some())), "{stdout}");
    assert!(expected.is_none_or(|text| stdout.contains(text)), "{stdout}");
}

// Replicas are killed while prefixes are pinned. Requests repeated by one router alone never cause a pin,
// unless the guard against that is disabled.
#[test_case("", None; "no bug")]
#[test_case("lone-voter-pins", Some("as with: lone-voter-pins"); "single router pins")]
fn prefix_scenario(seeded_bug: &str, expected: Option<&str>) {
    let args = ["openings", "--seed", "7", "--routers", "8", "--workers", "6", "--fault", "keepers", "--way"];
    let bug_args = ["--plant", seeded_bug];
    let args = [&args[..], &["merged"], if seeded_bug.is_empty() { &[] } else { &bug_args[..] }].concat();
    let out = run_scenario(&args);
    let stdout = String::from_utf8_lossy(&out.stdout);
    assert_eq!(out.status.code(), Some(i32::from(expected.is_some())), "{stdout}");
    assert!(expected.is_none_or(|text| stdout.contains(text)), "{stdout}");
}
