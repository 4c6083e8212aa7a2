//! What a router sees, and what it is called: calm, a jump in work, a storm of retries, one client's loop, a
//! slow day.
use crate::Micros;

/// µs over which the quick rates are taken: a storm is there within one.
const QUICK: f64 = 2_000_000.0;
/// µs over which the usual rate is learned, within its hour.
const SLOW: f64 = 300_000_000.0;
const HOUR: Micros = 3_600_000_000;
const HOURS: usize = 24;
/// Share of retries from which on it is a storm or a loop; below `SHARE_LOW` it ends. Clients that retry one
/// lost answer in a hundred are far below; when a hall is cut each request comes back at least once.
const SHARE_HIGH: f64 = 0.3;
const SHARE_LOW: f64 = 0.1;
/// Times the usual number of connections opened anew from which on that speaks for a storm; alone it says
/// nothing, as a jump in work opens connections too. Each sign that speaks for one lowers the share.
const OPENED: f64 = 4.0;
/// Share of the times told that are not kept which speaks for one as well.
const NOT_KEPT: f64 = 0.5;
/// Arrivals, as times of the usual, from which on it is a jump.
const JUMP: f64 = 2.0;
/// Retries a second at least: with fewer, chance decides.
const LEAST: f64 = 5.0;
/// Share of the retries that come from one client in a loop.
const ONE_CLIENT: f64 = 0.5;
/// Part of arrivals that ends well under which a day is slow.
const SLOW_PART: f64 = 0.7;
/// µs for which signs must be gone before a storm is over: it comes in waves.
const OVER: Micros = 3_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Called {
    Calm,
    /// More work than usual, few retries: no reason to turn any of it away.
    Jump,
    /// Many clients ask again for what they have asked before.
    Storm,
    /// One client does.
    Loop,
    /// No more than usual comes, and much of it does not end well.
    Slow,
}

/// A rate that fades; events a second.
#[derive(Clone, Copy, Default)]
pub struct Rate {
    count: f64,
    at: Micros,
}

impl Rate {
    fn faded(&self, now: Micros, span: f64) -> f64 {
        self.count * (-(now.saturating_sub(self.at) as f64) / span).exp()
    }
    pub fn add(&mut self, now: Micros) {
        self.count = self.faded(now, QUICK) + 1.0;
        self.at = now;
    }
    pub fn per_s(&self, now: Micros) -> f64 {
        self.faded(now, QUICK) / QUICK * 1e6
    }
}

#[derive(Default)]
pub struct Watch {
    born: Micros,
    firsts: Rate,
    retries: Rate,
    /// Retries of the client that has most of them.
    heaviest: f64,
    pub finished: Rate,
    pub pushed_back: Rate,
    /// Connections opened anew.
    pub opened: Rate,
    /// Times to come back: kept, and not kept.
    pub followed: Rate,
    pub early: Rate,
    /// Arrivals and connections opened a second by hour of the day, as learned while nothing was wrong, and
    /// for how long (µs).
    usual: [(f64, f64, f64); HOURS],
    learned: Micros,
    called: Option<(Called, Micros)>,
    quiet_since: Option<Micros>,
}

impl Watch {
    pub fn new(now: Micros) -> Self {
        Watch { born: now, learned: now, ..Watch::default() }
    }

    fn hour(now: Micros) -> usize {
        (now / HOUR) as usize % HOURS
    }

    /// Arrivals and connections opened a second that are usual now; none where this router has not seen
    /// enough of this hour, or the one before.
    pub fn usual(&self, now: Micros) -> Option<(f64, f64)> {
        let hour = Self::hour(now);
        let known = |n: usize| Some(self.usual[n % HOURS]).filter(|(_, _, time)| *time >= QUICK * 5.0);
        known(hour).or_else(|| known(hour + HOURS - 1)).map(|(rate, opened, _)| (rate, opened))
    }

    /// What was usual before a restart, where this life has not seen enough of the hour itself: as little as
    /// just counts, so that what comes soon weighs more.
    pub fn recall(&mut self, now: Micros, rate: f64, opened: f64) {
        let row = &mut self.usual[Self::hour(now)];
        if row.2 < QUICK * 5.0 {
            *row = (rate, opened, QUICK * 5.0);
        }
    }

    /// What speaks for a storm beside the share of retries: connections opened anew far above the usual, and
    /// times to come back that are not kept.
    pub fn speaks(&self, now: Micros) -> (bool, bool) {
        let opened = self.opened.per_s(now);
        let usual = self.usual(now).is_some_and(|(_, usual)| opened >= OPENED * usual);
        let (early, followed) = (self.early.per_s(now), self.followed.per_s(now));
        (usual && opened >= LEAST, early >= LEAST && early >= NOT_KEPT * (early + followed))
    }

    /// One arrival; `of_client` is how many retries its client has had lately.
    pub fn arrival(&mut self, now: Micros, retry: bool, of_client: f64) {
        if retry {
            self.retries.add(now);
            self.heaviest = self.heaviest.max(of_client);
        } else {
            self.firsts.add(now);
        }
        self.look(now);
    }

    pub fn rates(&self, now: Micros) -> (f64, f64) {
        (self.firsts.per_s(now), self.retries.per_s(now))
    }

    /// Since when it is called so.
    pub fn since(&self) -> Micros {
        self.called.map_or(self.born, |(_, since)| since)
    }

    pub fn called(&self) -> Called {
        self.called.map_or(Called::Calm, |(called, _)| called)
    }

    fn signs(&self, now: Micros) -> Called {
        let (firsts, retries) = self.rates(now);
        let all = firsts + retries;
        let held = matches!(self.called(), Called::Storm | Called::Loop);
        let (opened, early) = self.speaks(now);
        let signs = 1.0 + f64::from(u8::from(opened)) + f64::from(u8::from(early));
        let share = if held { SHARE_LOW } else { SHARE_HIGH / signs };
        if retries >= LEAST && retries >= share * all {
            // The quick rate holds about two seconds of retries.
            let one = self.heaviest >= ONE_CLIENT * retries * QUICK / 1e6;
            return if one { Called::Loop } else { Called::Storm };
        }
        let Some((usual, _)) = self.usual(now) else { return Called::Calm };
        if all >= JUMP * usual && all >= LEAST {
            return Called::Jump;
        }
        let ended = self.finished.per_s(now);
        if all >= LEAST && ended < SLOW_PART * all && self.pushed_back.per_s(now) > ended / 2.0 {
            return Called::Slow;
        }
        Called::Calm
    }

    fn look(&mut self, now: Micros) {
        let signs = self.signs(now);
        let held = matches!(self.called(), Called::Storm | Called::Loop);
        let bad = matches!(signs, Called::Storm | Called::Loop);
        if held && !bad {
            // Waves: between two of them it looks calm for a moment.
            let since = *self.quiet_since.get_or_insert(now);
            if now < since + OVER {
                return;
            }
        }
        self.quiet_since = None;
        if self.called.is_none_or(|(called, _)| called != signs) {
            self.called = Some((signs, now));
            self.heaviest = if bad { self.heaviest } else { 0.0 };
        }
        if signs == Called::Calm {
            self.learn(now);
        }
    }

    /// Learns what is usual, only while nothing is out of the ordinary and once the quick rate says
    /// something.
    fn learn(&mut self, now: Micros) {
        let time = now.saturating_sub(self.learned.max(self.born + QUICK as Micros)) as f64;
        if now < self.born + 2 * QUICK as Micros || time <= 0.0 {
            return;
        }
        self.learned = now;
        let (firsts, retries) = self.rates(now);
        let opened_now = self.opened.per_s(now);
        let (rate, opened, known) = &mut self.usual[Self::hour(now)];
        // At first a plain mean over the time seen, later a slow one.
        let weight = (time / (*known + time)).max(1.0 - (-time / SLOW).exp()).min(1.0);
        *rate += weight * (firsts + retries - *rate);
        *opened += weight * (opened_now - *opened);
        *known += time;
    }
}
