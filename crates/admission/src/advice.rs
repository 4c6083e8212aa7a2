//! When to come back: each pushed-back client is given a time of its own, one after the other at the pace at
//! which the fleet has room, with a part by chance, so that what comes back fits, and no second all at once.
use crate::Micros;

/// µs named at least.
pub const LEAST: Micros = 200_000;
/// Part of the wait that is drawn by chance on top: routers' lines of times overlap evenly, without talking.
const SPREAD: f64 = 0.5;
/// Times the wait doubles for a client that comes before its time: it loses to those that follow, not to all.
const DOUBLES: u32 = 4;
/// µs that a request needs to be worth coming back for.
const WORTH: Micros = 100_000;
/// µs named at most: the pace may be known better by then, above all to a router that has just started (in
/// the drill 454 of 17,000 requests of clients that follow were not done 60 s after, with workers idle).
const LONGEST: Micros = 20_000_000;

#[derive(Default)]
pub struct Advice {
    /// The time given out last: the end of the line.
    line: f64,
}

impl Advice {
    /// µs to wait. `pace` is how many returns a second there is room for, `left` how long the client stays in
    /// all, `ignored` how often it came before its time lately, `chance` a number from 0 to 1. None where it
    /// has not the time to come back at all.
    pub fn wait(
        &mut self,
        now: Micros,
        pace: f64,
        left: Micros,
        ignored: u32,
        chance: f64,
    ) -> Option<Micros> {
        let last = left.checked_sub(WORTH).filter(|last| *last >= LEAST)?.min(LONGEST);
        // The line begins at the least wait: a floor under single waits would bring all of the first ones at
        // once.
        let line = self.line.max((now + LEAST) as f64);
        let turn = line - now as f64 + 1e6 / pace.max(0.1);
        let wait = (turn * f64::from(1u32 << ignored.min(DOUBLES))) * (1.0 + SPREAD * chance);
        if wait <= last as f64 {
            // Only a wait that fits takes a place in the line: others' turns are not lost to those that
            // leave.
            if ignored == 0 {
                self.line = now as f64 + turn;
            }
            return Some(wait as Micros);
        }
        // The line is longer than that: a time of chance within it, or all would come at its end.
        Some(LEAST + ((last - LEAST) as f64 * (0.5 + chance / 2.0)) as Micros)
    }

    /// One that was given a turn came before it: its place is for the next.
    pub fn given_up(&mut self, now: Micros, pace: f64) {
        self.line = (self.line - 1e6 / pace.max(0.1)).max((now + LEAST) as f64);
    }

    /// µs from now to the end of the line.
    pub fn line(&self, now: Micros) -> Micros {
        (self.line - now as f64).max(0.0) as Micros
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use oorandom::Rand64;
    use test_case::test_case;

    const S: Micros = 1_000_000;

    // 5,000 pushed back in the same moment: what comes back fits the pace, and makes no second wave.
    #[test_case(500.0, 1; "one router")]
    #[test_case(500.0, 4; "four routers that do not talk, a quarter of the pace each")]
    fn the_return_is_no_second_wave(pace: f64, routers: usize) {
        let mut returns = vec![0usize; 400];
        for router in 0..routers {
            let (mut advice, mut rng) = (Advice::default(), Rand64::new(router as u128));
            for _ in 0..5_000 / routers {
                let wait = advice.wait(S, pace / routers as f64, 60 * S, 0, rng.rand_float());
                returns[(wait.expect("there is time") / 100_000) as usize] += 1;
            }
        }
        let most = returns.iter().max().copied().unwrap_or(0) as f64 * 10.0;
        assert!(most <= 1.5 * pace, "{most} a second at the peak");
        assert_eq!(returns.iter().sum::<usize>(), 5_000);
    }

    #[test_case(250_000, None; "no time to come back")]
    #[test_case(2 * S, Some(2 * S); "within the client's time")]
    fn never_past_the_limit(left: Micros, most: Option<Micros>) {
        let mut advice = Advice::default();
        for n in 0..1_000 {
            let wait = advice.wait(S, 10.0, left, 0, f64::from(n) / 1_000.0);
            assert_eq!(wait.is_some(), most.is_some());
            assert!(wait.is_none_or(|w| w >= LEAST && Some(w) < most));
        }
    }

    // A line of minutes is not told as such: whoever stands far back asks again within 20 s, at no second
    // together.
    #[test]
    fn a_long_line_is_told_anew() {
        let (mut advice, mut rng) = (Advice::default(), Rand64::new(7));
        let mut returns = [0usize; 21];
        for _ in 0..3_000 {
            let wait = advice.wait(S, 35.0, 90 * S, 0, rng.rand_float()).expect("there is time");
            returns[(wait / S) as usize] += 1;
        }
        assert_eq!(returns.iter().sum::<usize>(), 3_000);
        assert!(returns.iter().all(|n| *n < 450), "{returns:?}");
    }

    // Those that ignore advice wait longer and longer, and do not move the others' times.
    #[test]
    fn ignoring_costs_only_those_that_do() {
        let mut advice = Advice::default();
        let first = advice.wait(S, 10.0, 60 * S, 0, 0.0).expect("time");
        (0..100).for_each(|_| assert!(advice.wait(S, 10.0, 60 * S, 3, 0.0).is_some()));
        let again = advice.wait(S, 10.0, 60 * S, 1, 0.0).expect("time");
        let next = advice.wait(S, 10.0, 60 * S, 0, 0.0).expect("time");
        assert!(next <= first + 200_000 && again >= 2 * first.min(next) - 100_000, "{first} {again} {next}");
    }
}
