//! Accepted settings keys: a file that is valid for one version must be valid for the next.
use applepond_settings::deployment;

const EVERY_KEY: &str = include_str!("fixtures/every_key.hcl");

#[test]
fn a_file_with_every_key_is_valid() {
    assert_eq!(deployment(EVERY_KEY).err(), None);
}

/// The fault of an unknown key lists the known keys of its block.
#[test]
fn blocks_keep_their_keys() {
    let mut known = Vec::new();
    for (number, line) in EVERY_KEY.lines().enumerate().filter(|(_, line)| line.trim_end().ends_with('{')) {
        let mut lines: Vec<&str> = EVERY_KEY.lines().collect();
        lines.insert(number + 1, "no_such_key = 1");
        let faults = deployment(&lines.join("\n")).expect_err("an unknown key");
        known.extend(faults.iter().map(|fault| format!("{} -> {}", line.trim(), fault.wanted)));
    }
    let whole = format!("no_such_key = 1\n{EVERY_KEY}");
    known.extend(deployment(&whole).expect_err("an unknown key").iter().map(|fault| fault.wanted.clone()));
    insta::assert_snapshot!("keys", known.join("\n"));
}
