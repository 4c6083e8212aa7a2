//! Parts of the output that several scenarios have.
use applepond_fakes::client::RequestOutcome;
use applepond_scenarios::audit::Verdict;
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;

/// What each rule asks, in a few words.
const RULES: [&str; 5] = [
    "one final answer for each job, in time, nothing after",
    "no effect twice",
    "nothing new to a draining or gone worker past the grace",
    "no cold worker pushed over",
    "orders to load rationed (the routers give none)",
];
/// Limit of breaches of one rule that are printed.
const MAX_BREACHES: usize = 5;

/// Ends as clients saw them, by their names, as JSON.
pub(super) fn ends_as_json(ends: &BTreeMap<RequestOutcome, usize>) -> Map<String, Value> {
    ends.iter().map(|(end, count)| (format!("{end:?}"), json!(count))).collect()
}

/// Ends as clients saw them, in words.
pub(super) fn ends_in_words(ends: &BTreeMap<RequestOutcome, usize>) -> String {
    let words: Vec<String> = ends.iter().map(|(end, count)| format!("{count} {end:?}")).collect();
    words.join(", ")
}

/// What was broken, as JSON.
pub(super) fn broken_as_json(verdict: &Verdict) -> Vec<Value> {
    let broken = verdict.broken.iter();
    broken.map(|(rule, (times, faults))| json!({"rule": rule, "times": times, "faults": faults})).collect()
}

/// Prints the verdict on the five rules.
pub(super) fn print_rules(verdict: &Verdict) {
    for (index, rule) in RULES.iter().enumerate() {
        print_rule(verdict, index as u8 + 1, rule);
    }
}

/// Prints the verdict on one rule.
pub(super) fn print_rule(verdict: &Verdict, number: u8, rule: &str) {
    match verdict.broken.get(&number) {
        None => println!("  rule {number}: held: {rule}"),
        Some((times, faults)) => {
            println!("  rule {number}: BROKEN {times} time(s): {rule}");
            faults.iter().for_each(|fault| println!("    {fault}"));
        }
    }
}

/// Prints the breaches of rules that have names, and the seeded bugs that look like them.
pub(super) fn print_breaches(broken: &BTreeMap<&'static str, Vec<String>>, looks_like: &[&str]) {
    for (rule, breaches) in broken {
        println!("  BROKEN {} time(s): {rule}", breaches.len());
        breaches.iter().take(MAX_BREACHES).for_each(|breach| println!("    {breach}"));
    }
    if !looks_like.is_empty() {
        println!("  as with: {}", looks_like.join(", "));
    }
}
