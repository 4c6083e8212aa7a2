//! Fresh chains under load: as many are begun as come to their end, so that work is spent on whole chains
//! and not on many first steps.
use applepond::interface::Micros;
use applepond_admission::room::Room;
use applepond_admission::watch::Rate;

/// Chains a second that are begun at the least.
const LEAST: f64 = 2.0;
/// Chains that failed with steps paid for, as a part of those that finished, from which on fresh ones are
/// held to a pace; and how many at least, as one or two say nothing.
const MUCH: f64 = 0.1;
const SOME: f64 = 3.0;
/// Times what finishes that are begun when the pace sets in, and at the least: a little less than goes out
/// drains what waits at workers and makes each step late. With 0.6 workers stood idle (drill, load 2: 506
/// whole chains instead of 588), without any bound a fifth of the work went into chains that failed (543).
const BEGINS: f64 = 1.2;
const DRAINS: f64 = 0.9;
/// µs without anybody turned away after which they are not any more.
const CALM: Micros = 3_000_000;
/// Part of a second's chains that may be begun at once.
const BURST: f64 = 0.2;

#[derive(Default)]
pub struct Pace {
    room: Room,
    finished: Rate,
    wasted: Rate,
    tokens: f64,
    filled: Micros,
    /// Since when chains are held to a pace, and when one was last turned away for it.
    held: Option<Micros>,
}

impl Pace {
    /// Whether a fresh chain is begun.
    pub fn admit(&mut self, now: Micros) -> bool {
        let (finished, wasted) = (self.finished.per_s(now), self.wasted.per_s(now));
        if self.held.is_none() && wasted >= SOME && wasted > MUCH * finished {
            (self.held, self.filled) = (Some(now), now);
        }
        let Some(last) = self.held else { return true };
        let allowed = self.room.allowed(now, finished.max(LEAST), BEGINS, DRAINS);
        let most = (allowed * BURST).max(1.0);
        self.tokens = (self.tokens + allowed * (now - self.filled) as f64 / 1e6).min(most);
        self.filled = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            self.held = (now < last + CALM).then_some(last);
            return true;
        }
        self.held = Some(now);
        self.room.want();
        false
    }

    /// A chain has come to its end: finished, or failed with steps that were paid for.
    pub fn ended(&mut self, now: Micros, finished: bool, wasted: bool) {
        self.room.ended(finished, wasted);
        if finished {
            self.finished.add(now);
        }
        if wasted {
            self.wasted.add(now);
        }
    }

    /// Chains a second that may be begun, where they are held to a pace.
    pub fn allowed(&self) -> Option<f64> {
        self.held.map(|_| self.room.last())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::BTreeMap;
    use test_case::test_case;

    const S: Micros = 1_000_000;

    /// Chains of three steps ask so many a second for 30 s of a fleet that does 90 steps a second, the oldest
    /// chain first, and have 2 s: whole ones a second in the last 20 s, and the part of the work that was
    /// wasted.
    fn against(asked: u64, paced: bool) -> (f64, f64) {
        let mut pace = Pace::default();
        // By when it came: steps done.
        let mut open: BTreeMap<Micros, u32> = BTreeMap::new();
        let (mut whole, mut spent, mut lost) = (0, 0, 0);
        let (mut now, mut next) = (S, S);
        while now < 31 * S {
            now += S / 90;
            while next <= now {
                if !paced || pace.admit(next) {
                    open.insert(next, 0);
                }
                next += S / asked;
            }
            while let Some((came, steps)) =
                open.first_key_value().map(|(c, s)| (*c, *s)).filter(|(c, _)| c + 2 * S < now)
            {
                open.remove(&came);
                lost += steps;
                pace.ended(now, false, steps > 0);
            }
            // The step that waits longest for a worker is not the one whose chain is oldest: any may be.
            let turn = open.len().checked_sub(1).map(|last| (now / 7 % 1_000_003) as usize % (last + 1));
            let Some((came, steps)) = turn.and_then(|n| open.iter_mut().nth(n)) else { continue };
            (*steps, spent) = (*steps + 1, spent + 1);
            if *steps == 3 {
                let came = *came;
                open.remove(&came);
                whole += u32::from(now > 11 * S);
                pace.ended(now, true, false);
            }
        }
        (f64::from(whole) / 20.0, f64::from(lost) / f64::from(spent))
    }

    #[test_case(15, 14.0; "half of what it can do")]
    #[test_case(60, 22.0; "twice")]
    #[test_case(90, 22.0; "three times")]
    fn whole_chains_are_finished(asked: u64, least: f64) {
        let (whole, wasted) = against(asked, true);
        assert!(whole >= least && wasted < 0.25, "{whole} a second, {wasted:.2} wasted");
    }

    // Without a pace more chains are begun than finished, and the work goes into first steps.
    #[test]
    fn without_a_pace_goodput_falls() {
        let (whole, wasted) = against(90, false);
        assert!(whole < 16.0 && wasted > 0.4, "{whole} a second, {wasted:.2} wasted");
    }

    #[test]
    fn nobody_is_turned_away_while_chains_finish() {
        let mut pace = Pace::default();
        for n in 0..5_000u64 {
            let now = S + n * 2_000;
            assert!(pace.admit(now));
            pace.ended(now, true, n % 50 == 0);
        }
        assert_eq!(pace.allowed(), None);
    }
}
