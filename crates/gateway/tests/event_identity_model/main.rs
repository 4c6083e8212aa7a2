//! Random events under few ids, beside answers, broken answers, unreachable workers, kills and time, against
//! a worker that recognises duplicates by `source` and `id` alone. Checks what each client is told and what
//! the worker executes. `PROPTEST_CASES` sets the number of histories, `PROPTEST_RNG_SEED` the seed.
#[path = "../common/mod.rs"]
mod common;
mod history;
mod worker;

use history::{Event, History, Kind};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use worker::Fate;

/// Number of histories and seed in a usual run of the tests.
const DEFAULT_CASES: u32 = 2_000;
const DEFAULT_SEED: u64 = 1;
/// Longest time between two steps of a history, in milliseconds. A history is shorter than the time for which
/// answers are kept.
const MAX_PAUSE_MS: u64 = 1_500;
const MAX_STEPS: usize = 35;

/// One step of a history.
#[derive(Clone, Debug)]
enum Step {
    Send {
        event: Event,
        is_marked: bool,
    },
    /// The worker completes the request that it has had for the longest time.
    Respond,
    Pause {
        milliseconds: u64,
    },
    /// The worker accepts connections, or does not.
    SetReachable(bool),
    /// The router is killed, and another one starts on its record.
    Kill,
    /// The client that has waited for the shortest time disconnects.
    Leave,
}

fn event() -> impl Strategy<Value = Event> {
    let kind = prop::sample::select(vec![Kind::Quote, Kind::Hold, Kind::Confirm, Kind::Book, Kind::Rebook]);
    let id = prop_oneof![5 => Just("1"), 1 => Just("1/beds")];
    (kind, id, 1u8..=2).prop_map(|(kind, id, data)| Event { kind, id, data })
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (event(), any::<bool>()).prop_map(|(event, is_marked)| Step::Send { event, is_marked }),
        6 => Just(Step::Respond),
        4 => (1..MAX_PAUSE_MS).prop_map(|milliseconds| Step::Pause { milliseconds }),
        1 => any::<bool>().prop_map(Step::SetReachable),
        1 => Just(Step::Kill),
        1 => Just(Step::Leave),
    ]
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        4 => Just(Fate::Answer),
        2 => Just(Fate::BreakOff),
        1 => Just(Fate::RejectAsFull),
        1 => Just(Fate::Fail),
    ]
}

fn config() -> ProptestConfig {
    let variable = |name: &str| std::env::var(name).ok().and_then(|value| value.parse::<u64>().ok());
    ProptestConfig {
        cases: variable("PROPTEST_CASES").map_or(DEFAULT_CASES, |cases| cases as u32),
        rng_seed: RngSeed::Fixed(variable("PROPTEST_RNG_SEED").unwrap_or(DEFAULT_SEED)),
        failure_persistence: None,
        ..Default::default()
    }
}

proptest! {
    #![proptest_config(config())]

    // No client gets another event's answer, nothing that must not run twice does, and no refusal invites a
    // retry of what may have run.
    #[test]
    fn events_of_few_ids_are_told_apart(
        steps in prop::collection::vec(step(), 1..MAX_STEPS),
        fates in prop::collection::vec(fate(), 1..8),
    ) {
        let mut history = History::new(fates);
        for step in &steps {
            match *step {
                Step::Send { event, is_marked } => history.send(event, is_marked),
                Step::Respond => history.respond(),
                Step::Pause { milliseconds } => history.pause(milliseconds),
                Step::SetReachable(is_reachable) => history.set_reachable(is_reachable),
                Step::Kill => history.kill(),
                Step::Leave => history.leave(),
            }
        }
        history.finish();
    }
}
