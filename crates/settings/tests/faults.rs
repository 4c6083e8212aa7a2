//! Valid settings files, and the reported position of each fault.
use applepond_gateway::deployment::PrefixAttributes;
use applepond_settings::deployment;
use test_case::test_case;

const VALID: &str = r#"listen = "127.0.0.1:0"
zones = ["hall-a"]
rules {
  cold_share = 0.2
  warm_within = "10s"
  fall_multiple = 2.5
  fall_span = "1s"
}
workload "quote" {
  types = ["quote"]
  effect = "restartable"
  start_target = "500ms"
  time_limit = "5s"
}
worker "w1" {
  address = "127.0.0.1:9001"
  zone = "hall-a"
}
"#;

#[test]
fn a_valid_file_with_its_defaults() {
    let d = deployment(VALID).expect("no fault");
    assert_eq!(
        (d.startup.router_count, d.startup.attempt_policy.max_attempts, d.workloads[0].deadline),
        (1, 4, 5_000_000)
    );
    assert!(!d.startup.timeouts_shared, "clients may give their own time limits");
    let shared = deployment(&VALID.replace("zones", "limits_shared = true\nzones")).expect("no fault");
    assert!(shared.startup.timeouts_shared);
    assert_eq!((d.workers[0].zone, d.startup.slow_start.overload_factor), (Some(0), 2.5));
}

// A worker without a rack does not share one with other workers.
#[test]
fn workers_without_racks_share_none() {
    let two = format!("{VALID}worker \"w2\" {{\n  address = \"127.0.0.1:9002\"\n}}\n");
    let d = deployment(&two).expect("no fault");
    assert_ne!(d.workers[0].rack, d.workers[1].rack);
    let named = two.replace("address =", "rack = 0\n  address =");
    let d = deployment(&named).expect("no fault");
    assert_eq!(d.workers[0].rack, d.workers[1].rack);
}

#[test_case("listen = \"127.0.0.1:0\"", "listen = 8080", "1:10: found listen = `8080`; wanted: an address";
    "address")]
#[test_case("listen = \"127.0.0.1:0\"\n", "", "1:1: found no listen in the file"; "missing")]
#[test_case("\"10s\"", "\"10 s\"", "5:17: found warm_within = `\"10 s\"`; wanted: a time"; "time")]
#[test_case("0.2", "1.5", "4:16: found cold_share = `1.5`; wanted: a number from 0.01 to 1"; "range")]
#[test_case("\"restartable\"", "\"safe\"", "11:12: found effect = `\"safe\"`; wanted: one of \"restart";
    "word")]
#[test_case("fall_span", "fall_spam", "7:3: found 'fall_spam' in block 'rules'; wanted: one of";
    "misspelt")]
#[test_case("rules {", "rule {", "1:1: found no block 'rules'"; "block missing")]
#[test_case("[\"quote\"]", "[]", "10:11: found no type"; "no type")]
#[test_case("\"500ms\"", "\"6s\"", "12:18: found a start_target later than the time_limit";
    "target past limit")]
#[test_case("  zone = \"hall-a\"", "  zone = \"hall-x\"", "17:10: found zone"; "zone")]
#[test_case("\"fingerprint", "", ""; "unchanged file without faults")]
#[test_case("zones = [\"hall-a\"]", "zones = [", "found"; "syntax")]
#[test_case("zones", "limits_shared = 1\nzones", "2:17: found limits_shared = `1`"; "limits shared")]
#[test_case("zones", "router = 1\nzones", "2:10: found router = 1 of 1"; "router past routers")]
fn each_fault_is_reported_at_its_place(old: &str, new: &str, expected: &str) {
    let text = VALID.replacen(old, new, 1);
    match deployment(&text) {
        Ok(_) => assert!(expected.is_empty(), "a fault was expected: {expected}"),
        Err(faults) => {
            let all: Vec<String> = faults.iter().map(ToString::to_string).collect();
            assert!(!expected.is_empty() && all.iter().any(|f| f.contains(expected)), "{all:#?}");
        }
    }
}

#[test]
fn all_faults_are_reported_in_order() {
    let text = VALID.replace("500ms", "soon").replace("0.2", "\"x\"").replace("effect", "efect");
    let places: Vec<usize> = deployment(&text).expect_err("faults").iter().map(|f| f.line).collect();
    assert_eq!(places, [4, 9, 11, 12]);
}

#[test_case("effect = \"fingerprinted\"", 2; "scope and window are missing")]
#[test_case("effect = \"run-once\"\n  window = \"3s\"", 1; "a window without an idempotency key")]
fn a_keyed_workload_names_scope_and_window(effect: &str, faults: usize) {
    let text = VALID.replace("effect = \"restartable\"", effect);
    assert_eq!(deployment(&text).expect_err("faults").len(), faults);
}

#[test]
fn a_repeated_name_is_a_fault() {
    let text = format!("{VALID}{}", VALID[VALID.find("workload").expect("there")..].replace("w1", "w2"));
    let faults = deployment(&text).expect_err("faults");
    assert!(faults.len() == 1 && faults[0].found.contains("workload \"quote\" a second time"), "{faults:?}");
}

const FLEET: &str = r#"fleet {
  name = "r1"
  zone = "a"
  listen = "127.0.0.1:7946"
  seeds = ["127.0.0.1:7946"]
  key_files = ["key"]
}
"#;

#[test]
fn a_valid_fleet_block() {
    let d = deployment(&format!("{FLEET}{VALID}")).expect("no fault");
    let fleet = d.fleet.expect("a block");
    assert_eq!((fleet.name.as_str(), fleet.seeds, fleet.listen.port()), ("r1", vec![fleet.listen], 7946));
    assert!(deployment(VALID).expect("no fault").fleet.is_none());
    let more = "]\n  keepers = [\"r1\"]\n  votes = \"v\"\n  snapshot = \"s\"\n  founding = 3\n}";
    let d = deployment(&format!("{}{VALID}", FLEET.replacen("]\n}", more, 1))).expect("no fault");
    let fleet = d.fleet.expect("a block");
    assert_eq!((fleet.voters, fleet.bootstrap_epoch), (vec!["r1".to_owned()], 3));
    assert!(fleet.votes_file.is_some() && fleet.snapshot_file.is_some());
}

#[test_case("\"r1\"", "\"r 1\"", "2:10: found name = \"r 1\""; "space in a name")]
#[test_case("zone = \"a\"", "zone = \"\"", "3:10: found zone"; "empty zone")]
#[test_case("listen = \"127.0.0.1:7946\"", "listen = \"0.0.0.0:7946\"", "4:12: found a listen address";
    "any")]
#[test_case("[\"127.0.0.1:7946\"]", "[\"here\"]", "5:11: found seed \"here\""; "a seed that is no address")]
#[test_case("[\"127.0.0.1:7946\"]", "[]", "5:11: found no seed"; "no seed")]
#[test_case("[\"key\"]", "[]", "6:15: found no key"; "no key")]
#[test_case("]\n}", "]\n  keepers = [\"r2\", \"r3\"]\n}", "7:13: found 2 keepers: r2, r3"; "two keepers")]
#[test_case("]\n}", "]\n  keepers = [\"a\", \"b\", \"a\"]\n}", "7:13: found 3 keepers"; "one twice")]
#[test_case("]\n}", "]\n  keepers = [\"r1\"]\n}", "a router in keepers without a file"; "no votes")]
#[test_case("]\n}", "]\n  votes = \"f\"\n  snapshot = \"f\"\n}", "8:14: found the same file"; "same file")]
#[test_case("]\n}", "]\n openings {\n prepare = \"1ms\"\n memory = 5\n }\n}", "openings without keepers";
    "no replicas")]
#[test_case("]\n}", "]\n  openings {\n    memory = 0\n  }\n}", "8:14: found"; "zero memory")]
#[test_case("]\n}", "]\n  founding = 0\n}", "7:14: found"; "founding zero")]
#[test_case("seeds", "sedes", "5:3: found 'sedes' in block 'fleet'"; "misspelt")]
fn each_fault_of_a_fleet_block_is_reported(old: &str, new: &str, expected: &str) {
    let faults = deployment(&format!("{}{VALID}", FLEET.replacen(old, new, 1))).expect_err("a fault");
    let all: Vec<String> = faults.iter().map(ToString::to_string).collect();
    assert!(all.iter().any(|f| f.contains(expected)), "{all:#?}");
}

// A workload has both attributes of a prefix, its name and its size, or neither.
#[test]
fn half_a_prefix_is_a_fault() {
    let one = VALID.replacen("  types ", "  opening_by = \"opening\"\n  types ", 1);
    assert_ne!(one, VALID);
    let faults = deployment(&one).expect_err("a fault");
    assert!(
        faults.iter().any(|f| f.to_string().contains("one of opening_by and opening_size_by")),
        "{faults:?}"
    );
    let both = one.replacen("  opening_by", "  opening_size_by = \"size\"\n  opening_by", 1);
    let attributes = deployment(&both).expect("no fault").workloads[0].prefix_attributes.clone();
    let want = PrefixAttributes { name: "opening".to_owned(), size: "size".to_owned() };
    assert_eq!(attributes, Some(want));
}
