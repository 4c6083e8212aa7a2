//! How fast connections are taken: a crowd at the door must not stop those who are inside, and must not wait
//! so long that it knocks again.
use crate::Micros;

/// Connections a second. The kernel's queue of 4,096 is taken within 2 s, before its clients give up on a
/// connection (3 s and more) or their first packet is sent again many times; with its first answer each
/// costs about 60 µs, so that an eighth of a core goes to newcomers.
const PACE: f64 = 2_000.0;
/// Connections taken at once after a quiet time: what an ordinary second brings.
const BURST: f64 = 400.0;
/// Connections that must fit again before the door opens: opening it for each would cost as much as taking
/// them.
const OPENS_FOR: f64 = 50.0;

pub struct Doors {
    room: f64,
    filled: Micros,
    closings: u64,
}

impl Doors {
    pub fn new(now: Micros) -> Self {
        Doors { room: BURST, filled: now, closings: 0 }
    }

    /// One connection was taken: for how long (µs) none is to be taken now, if there is no more room.
    pub fn taken(&mut self, now: Micros) -> Option<Micros> {
        let since = now.saturating_sub(self.filled) as f64 / 1e6;
        self.room = (self.room + PACE * since).min(BURST) - 1.0;
        self.filled = now;
        let full = self.room < 1.0;
        self.closings += u64::from(full);
        full.then(|| ((OPENS_FOR - self.room) / PACE * 1e6) as Micros)
    }

    /// How often the door was closed for a moment.
    pub fn closings(&self) -> u64 {
        self.closings
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Micros = 1_000_000;

    // 4,096 stand at the door at once, as many as the kernel holds: all are in within two seconds, and no
    // stretch of 100 ms takes more than its part and a burst.
    #[test]
    fn a_crowd_is_taken_at_the_pace_and_nobody_waits_long() {
        let (mut doors, mut now, mut taken) = (Doors::new(S), S, Vec::new());
        for _ in 0..4_096 {
            taken.push(now);
            now += doors.taken(now).unwrap_or(10);
        }
        assert!(now < S + 2 * S, "the last waited {} us", now - S);
        assert!(now > S + 3 * S / 2, "it was no pace: {} us", now - S);
        let most = taken.iter().map(|t| taken.iter().filter(|o| (*t..t + S / 10).contains(*o)).count()).max();
        assert!(most <= Some((BURST + PACE / 10.0) as usize + 1), "{most:?} in 100 ms");
        assert!(doors.closings() > 50);
    }

    #[test]
    fn an_ordinary_day_never_meets_a_closed_door() {
        let mut doors = Doors::new(0);
        assert!((0..10_000u64).all(|n| doors.taken(n * 1_000).is_none()));
    }
}
