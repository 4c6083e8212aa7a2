//! How much may go in where more is wanted than there is room for: found by steps, up while next to nothing
//! of what went in had no room, down while much of it had none.
use crate::Micros;

/// µs between two steps: about what it takes until it is told that there was no room. Factors of a step where
/// little, and much, of what went in had none, beside what finished.
const STEP: Micros = 500_000;
const STEP_UP: f64 = 1.2;
const STEP_DOWN: f64 = 0.85;
const LITTLE: f64 = 0.05;
const MUCH: f64 = 0.15;
/// Times what finishes that may go in at most: it would grow without end where nobody uses it.
const PROBES_MOST: f64 = 2.0;
/// Steps after which the last figure is not taken up again.
const STALE: Micros = 6;

#[derive(Default)]
pub struct Room {
    allowed: f64,
    stepped: Micros,
    wanted: bool,
    /// Finished, and without room, since the last step.
    ends: (f64, f64),
}

impl Room {
    /// Whether it was looked at lately.
    pub fn in_use(&self, now: Micros) -> bool {
        self.stepped + STALE * STEP >= now
    }

    /// What may go in a second as of the last look.
    pub fn last(&self) -> f64 {
        self.allowed
    }

    /// What may go in a second, where `pace` finishes: from `begin` times that on, and never under `least`
    /// times that.
    pub fn allowed(&mut self, now: Micros, pace: f64, begin: f64, least: f64) -> f64 {
        if !self.in_use(now) {
            (self.allowed, self.stepped, self.ends) = (pace * begin, now, (0.0, 0.0));
        }
        if self.stepped + STEP <= now {
            self.stepped = now;
            let (done, back) = std::mem::take(&mut self.ends);
            if back > MUCH * done {
                self.allowed *= STEP_DOWN;
            } else if back <= LITTLE * done && std::mem::take(&mut self.wanted) {
                self.allowed *= STEP_UP;
            }
            self.allowed = self.allowed.min(PROBES_MOST * pace);
        }
        self.allowed = self.allowed.max(pace * least);
        self.allowed
    }

    /// Somebody was not let in.
    pub fn want(&mut self) {
        self.wanted = true;
    }

    /// What went in has come to its end: it finished, or had no room.
    pub fn ended(&mut self, finished: bool, no_room: bool) {
        self.ends.0 += f64::from(u8::from(finished));
        self.ends.1 += f64::from(u8::from(no_room));
    }
}
