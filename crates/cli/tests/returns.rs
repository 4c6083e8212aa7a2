//! Drills of fleets that come back and of openings, with eight routers each; apart from the other drills,
//! so that not all of them run side by side.
use std::process::{Command, Output};
use test_case::test_case;

/// Records of chains are kept in memory where that can be: a disk that takes 150 ms for a flush stops a
/// router for as long, and the verdict would be the disk's.
fn drill(words: &[&str]) -> Output {
    let mut program = Command::new(env!("CARGO_BIN_EXE_applepond"));
    let memory = std::path::Path::new("/dev/shm");
    if memory.is_dir() {
        program.env("TMPDIR", memory);
    }
    program.arg("drill").args(words).output().expect("the program runs")
}

// Most routers die and come back, by a list that is behind: service is whole again, and a drain is kept.
#[test_case("kill", "", None; "sound")]
#[test_case("lost", "", None; "all at once, disks lost")]
#[test_case("kill", "forgets-drains", Some("as with: forgets-drains"); "planted")]
#[test_case("nineteen", "empty-is-zero", Some("empty-is-zero"); "emptiness believed")]
fn comes_back(fault: &str, plant: &str, named: Option<&str>) {
    let words = ["comeback", "--seed", "7", "--routers", "8", "--workers", "6", "--fault", fault];
    let planted = ["--plant", plant];
    let out = drill(&[&words[..], if plant.is_empty() { &[] } else { &planted }].concat());
    let told = String::from_utf8_lossy(&out.stdout);
    assert_eq!(out.status.code(), Some(i32::from(named.is_some())), "{told}");
    assert!(named.is_none_or(|n| told.contains(n)), "{told}");
}

// Keepers die while openings are pinned; one router's loop is never among them, unless its guard is out.
#[test_case("", None; "sound")]
#[test_case("lone-voter-pins", Some("as with: lone-voter-pins"); "planted")]
fn openings_are_pinned_by_many(plant: &str, named: Option<&str>) {
    let words =
        ["openings", "--seed", "7", "--routers", "8", "--workers", "6", "--fault", "keepers", "--way"];
    let planted = ["--plant", plant];
    let all = [&words[..], &["merged"], if plant.is_empty() { &[] } else { &planted[..] }].concat();
    let out = drill(&all);
    let told = String::from_utf8_lossy(&out.stdout);
    assert_eq!(out.status.code(), Some(i32::from(named.is_some())), "{told}");
    assert!(named.is_none_or(|n| told.contains(n)), "{told}");
}
