//! All orders of a small fleet's steps, breadth first, and long runs by chance of a larger one.
mod common;
use common::*;
use oorandom::Rand64;
use rustc_hash::{FxHashSet, FxHasher};
use std::time::Instant;
use test_case::test_case;

/// Two hashes of a state: among some millions of states two that are alike by both are not to be expected.
fn key(world: &World) -> (u64, u64) {
    (world.hash_with::<FxHasher>(), world.hash_with::<std::hash::DefaultHasher>())
}

struct Explored {
    states: usize,
    depth: usize,
    /// The shortest history that breaks a promise, and which.
    broken: Option<(Vec<Step>, String)>,
}

/// Every order of steps up to this depth, each state once.
fn explore(begin: World, depth: usize) -> Explored {
    let mut seen = FxHashSet::default();
    seen.insert(key(&begin));
    // Each state by the step that led to it and the place of the one before.
    let mut came: Vec<(usize, Option<Step>)> = vec![(0, None)];
    let mut level = vec![(0, begin)];
    for at in 0..depth {
        let mut next = Vec::new();
        for (place, world) in &level {
            for step in world.steps() {
                let mut new = world.clone();
                let broken = new.step(&step).err();
                if broken.is_none() && !seen.insert(key(&new)) {
                    continue;
                }
                came.push((*place, Some(step)));
                if let Some(why) = broken {
                    let (mut history, mut place) = (Vec::new(), came.len() - 1);
                    while let (before, Some(step)) = &came[place] {
                        history.insert(0, step.clone());
                        place = *before;
                    }
                    return Explored { states: seen.len(), depth: at + 1, broken: Some((history, why)) };
                }
                next.push((came.len() - 1, new));
            }
        }
        if next.is_empty() {
            return Explored { states: seen.len(), depth: at, broken: None };
        }
        level = next;
    }
    Explored { states: seen.len(), depth, broken: None }
}

fn told(name: &str, found: &Explored, begun: Instant) {
    println!("{name}: {} states, depth {}, {:?}", found.states, found.depth, begun.elapsed());
    if let Some((history, why)) = &found.broken {
        println!("  {why}");
        history.iter().for_each(|step| println!("  {step:?}"));
    }
}

// Three keepers, two proposers; tries, repeats and crashes that may happen.
#[test_case([2, 0, 0], 99; "two tries, all there is")]
#[test_case([2, 1, 0], 13; "two tries, a repeat")]
#[test_case([2, 0, 1], 14; "two tries, a crash of a proposer")]
#[test_case([3, 1, 1], 9; "three tries, a repeat, a crash")]
fn no_order_breaks_it(left: [u8; 3], depth: usize) {
    let begun = Instant::now();
    let found = explore(World::new(Plant::Sound, 3, 2, left), depth);
    told("sound", &found, begun);
    assert!(found.broken.is_none());
    assert!(found.depth == depth || depth == 99, "to the stated depth");
}

#[test_case(Plant::ForgetsVote, [2, 0, 1], 16)]
#[test_case(Plant::TellsFirst, [2, 0, 1], 16)]
#[test_case(Plant::CountsTwice, [1, 1, 0], 10)]
#[test_case(Plant::BallotAgain, [2, 0, 1], 14)]
fn what_is_planted_is_found(plant: Plant, left: [u8; 3], depth: usize) {
    let begun = Instant::now();
    let found = explore(World::new(plant, 3, 2, left), depth);
    told(&format!("{plant:?}"), &found, begun);
    assert!(found.broken.is_some());
}

// Five keepers, three proposers that try again and again, losses, repeats and crashes of all.
#[test_case(3, 2)]
#[test_case(5, 3)]
fn long_runs(keepers: usize, proposers: usize) {
    for seed in 0..50 {
        let mut world = World::new(Plant::Sound, keepers, proposers, [u8::MAX; 3]);
        let mut rng = Rand64::new(seed);
        for _ in 0..4_000 {
            world.left = [u8::MAX; 3];
            let idle = (0..proposers).filter(|p| world.proposers[*p].is_idle()).count();
            let letters = world.net.len() as u64;
            let chance = rng.rand_float();
            let any = |rng: &mut Rand64, of: usize| rng.rand_range(0..of as u64) as usize;
            let step = if letters == 0 || chance < 0.02 + 0.03 * idle as f64 {
                Step::Begin(any(&mut rng, proposers))
            } else {
                let at = rng.rand_range(0..letters) as usize;
                let letter = world.net.keys().nth(at).expect("one of them").clone();
                match chance {
                    c if c > 0.999 => Step::CrashProposer(any(&mut rng, proposers)),
                    c if c > 0.995 => Step::CrashKeeper(any(&mut rng, keepers)),
                    c if c > 0.9 => Step::Lose(letter),
                    c if c > 0.85 => Step::TakeAndKeep(letter),
                    _ => Step::Take(letter),
                }
            };
            world.step(&step).unwrap_or_else(|why| panic!("seed {seed}: {why}"));
        }
        assert!(world.written > 10, "seed {seed}: {} written", world.written);
    }
}
