//! Model checking of the proposer and acceptor: exhaustive breadth-first exploration of a small fleet, and
//! long random runs of a larger one.
mod common;
use common::*;
use oorandom::Rand64;
use std::time::Instant;
use test_case::test_case;

// Three acceptors and two proposers. The array bounds the rounds, duplicated messages and crashes.
#[test_case([2, 0, 0], 99; "two rounds, exhaustive")]
#[test_case([2, 1, 0], 13; "two rounds, a duplicate")]
#[test_case([2, 0, 1], 14; "two rounds, a crash of a proposer")]
#[test_case([3, 1, 1], 9; "three rounds, a duplicate, a crash")]
fn no_order_of_steps_breaks_safety(remaining: [u8; 3], depth: usize) {
    let started = Instant::now();
    let found = explore(World::new(SeededBug::Sound, 3, 2, remaining), depth);
    report("sound", &found, started);
    assert!(found.broken.is_none());
    assert!(found.depth == depth || depth == 99, "the exploration reaches its depth");
}

#[test_case(SeededBug::ForgetsState, [2, 0, 1], 16)]
#[test_case(SeededBug::AnswersBeforeWrite, [2, 0, 1], 16)]
#[test_case(SeededBug::CountsTwice, [1, 1, 0], 10)]
#[test_case(SeededBug::ReusesBallot, [2, 0, 1], 14)]
fn each_seeded_bug_is_found(bug: SeededBug, remaining: [u8; 3], depth: usize) {
    let started = Instant::now();
    let found = explore(World::new(bug, 3, 2, remaining), depth);
    report(&format!("{bug:?}"), &found, started);
    assert!(found.broken.is_some());
}

// Random runs with lost and duplicated messages and crashes of acceptors and proposers.
#[test_case(3, 2)]
#[test_case(5, 3)]
fn long_random_runs_stay_safe(acceptors: usize, proposers: usize) {
    for seed in 0..50 {
        let mut world = World::new(SeededBug::Sound, acceptors, proposers, [u8::MAX; 3]);
        let mut rng = Rand64::new(seed);
        for _ in 0..4_000 {
            world.remaining = [u8::MAX; 3];
            let idle = (0..proposers).filter(|p| world.proposers[*p].is_idle()).count();
            let messages = world.net.len() as u64;
            let chance = rng.rand_float();
            let any = |rng: &mut Rand64, of: usize| rng.rand_range(0..of as u64) as usize;
            let step = if messages == 0 || chance < 0.02 + 0.03 * idle as f64 {
                Step::Begin(any(&mut rng, proposers))
            } else {
                let at = rng.rand_range(0..messages) as usize;
                let message = world.net.keys().nth(at).expect("one of them").clone();
                match chance {
                    c if c > 0.999 => Step::CrashProposer(any(&mut rng, proposers)),
                    c if c > 0.995 => Step::CrashAcceptor(any(&mut rng, acceptors)),
                    c if c > 0.9 => Step::Lose(message),
                    c if c > 0.85 => Step::TakeAndKeep(message),
                    _ => Step::Take(message),
                }
            };
            world.step(&step).unwrap_or_else(|why| panic!("seed {seed}: {why}"));
        }
        assert!(world.written > 10, "seed {seed}: {} written", world.written);
    }
}
