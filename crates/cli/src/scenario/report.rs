//! Output shared by several scenarios.
use applepond_fakes::client::RequestOutcome;
use applepond_scenarios::audit::Verdict;
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;

/// Summaries of rules 1 to 5.
const RULES: [&str; 5] = [
    "one final response per request, in time, and nothing after it",
    "no effect executed twice",
    "no new attempt at a draining or removed worker after the grace period",
    "no cold worker overloaded",
    "load orders rationed (the routers issue none)",
];
/// Maximum number of breaches printed per rule.
const MAX_BREACHES: usize = 5;

/// Renders the outcomes seen by clients as JSON, by name.
pub(super) fn outcomes_as_json(outcomes: &BTreeMap<RequestOutcome, usize>) -> Map<String, Value> {
    outcomes.iter().map(|(outcome, count)| (format!("{outcome:?}"), json!(count))).collect()
}

/// Renders the outcomes seen by clients as text.
pub(super) fn outcomes_as_text(outcomes: &BTreeMap<RequestOutcome, usize>) -> String {
    let counts: Vec<String> =
        outcomes.iter().map(|(outcome, count)| format!("{count} {outcome:?}")).collect();
    counts.join(", ")
}

/// Renders the broken rules as JSON.
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

/// Prints the breaches of named rules, and the seeded bugs that would cause them.
pub(super) fn print_breaches(broken: &BTreeMap<&'static str, Vec<String>>, looks_like: &[&str]) {
    for (rule, breaches) in broken {
        println!("  BROKEN {} time(s): {rule}", breaches.len());
        breaches.iter().take(MAX_BREACHES).for_each(|breach| println!("    {breach}"));
    }
    if !looks_like.is_empty() {
        println!("  as with: {}", looks_like.join(", "));
    }
}
