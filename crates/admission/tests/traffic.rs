//! Short periods of traffic as one router sees them: how they are classified, and which requests are
//! admitted.
use applepond_admission::traffic_monitor::TrafficClass;
use applepond_admission::{AdmissionController, Arrival, Decision, Micros};
use test_case::test_case;

const SECOND: Micros = 1_000_000;

/// A gate and how the day went so far.
struct Day {
    controller: AdmissionController,
    now: Micros,
    next: u64,
    let_in: u64,
    back: u64,
    waits: Vec<Option<Micros>>,
}

impl Day {
    fn new() -> Self {
        let now = 1_000 * SECOND;
        Day {
            controller: AdmissionController::new(now, 7),
            now,
            next: 0,
            let_in: 0,
            back: 0,
            waits: Vec::new(),
        }
    }

    /// One request of a client; a retry carries the name of an earlier one.
    fn ask(&mut self, client: u64, name: u64, told: bool) -> Decision {
        let arrival =
            Arrival { client, request_id: name, is_retry: told, importance: 1.0, remaining: 60 * SECOND };
        let decision = self.controller.decide(self.now, &arrival);
        match decision {
            Decision::Admitted { .. } => self.let_in += 1,
            Decision::Rejected { retry_after: wait, .. } => {
                self.back += 1;
                self.waits.push(wait);
            }
        }
        decision
    }

    /// For `seconds`, `firsts` and `retries` a second spread over `clients`; `well` of what goes in
    /// finishes.
    fn run(&mut self, seconds: u64, firsts: u64, retries: u64, clients: u64, well: f64) {
        let all = (firsts + retries).max(1);
        let gap = SECOND / all;
        for n in 0..seconds * all {
            self.now += gap;
            self.next += 1;
            let retry = n % all >= firsts;
            let name = if retry { self.next % 50 } else { 1_000_000 + self.next };
            let went = self.ask(self.next * 7919 % clients, name, false);
            let good = (n as f64 * well).fract() + well >= 1.0;
            if matches!(went, Decision::Admitted { .. }) {
                self.controller.request_ended(self.now, good, !good);
            }
        }
    }

    fn traffic_class(&self) -> TrafficClass {
        self.controller.traffic_monitor().class()
    }
}

#[test_case(100, 1, 1000, 1.0, TrafficClass::Calm; "an ordinary day")]
#[test_case(1000, 10, 1000, 1.0, TrafficClass::Jump; "ten times the work, no more retries than usual")]
#[test_case(100, 300, 1000, 0.2, TrafficClass::Storm; "three retries for each first try")]
#[test_case(1000, 600, 1000, 0.2, TrafficClass::Storm; "a storm hidden in a jump")]
#[test_case(100, 100, 1, 1.0, TrafficClass::Loop; "one client's loop")]
#[test_case(100, 3, 1000, 0.3, TrafficClass::Slow; "usual work, most of it not ending well")]
fn traffic_is_classified(firsts: u64, retries: u64, clients: u64, well: f64, want: TrafficClass) {
    let mut day = Day::new();
    day.run(30, 100, 1, 1000, 1.0);
    day.run(6, firsts, retries, clients, well);
    assert_eq!(day.traffic_class(), want);
}

#[test]
fn all_requests_of_a_true_jump_are_admitted() {
    let mut day = Day::new();
    day.run(30, 100, 1, 1000, 1.0);
    day.run(20, 1000, 5, 5000, 1.0);
    assert_eq!(day.back, 0);
}

// A router that was restarted in the middle knows no usual rate: the share of retries is enough. Here
// clients say so.
#[test]
fn a_storm_is_recognized_right_after_a_start() {
    let mut day = Day::new();
    for n in 0..2_000 {
        day.now += SECOND / 500;
        day.ask(n % 700, 5_000_000 + n, true);
    }
    assert_eq!(day.traffic_class(), TrafficClass::Storm);
    assert!(day.back > 500);
}

#[test]
fn a_storm_ends_when_its_retries_do_and_not_between_two_waves() {
    let mut day = Day::new();
    day.run(30, 100, 1, 1000, 1.0);
    day.run(5, 100, 300, 1000, 0.2);
    day.run(2, 100, 1, 1000, 1.0);
    assert_eq!(day.traffic_class(), TrafficClass::Storm, "it may be between two waves");
    day.run(14, 100, 1, 1000, 1.0);
    assert_eq!(day.traffic_class(), TrafficClass::Calm);
    let back = day.back;
    day.run(5, 100, 1, 1000, 1.0);
    assert_eq!(day.back, back);
}

// The same where clients do not say that they ask again: their names are known from the second time on.
#[test]
fn a_storm_is_recognized_right_after_a_start_by_names_alone() {
    let mut day = Day::new();
    for n in 0..2_000 {
        day.now += SECOND / 500;
        day.ask(n % 700, 5_000_000 + n % 700, false);
    }
    assert_eq!(day.traffic_class(), TrafficClass::Storm);
    assert!(day.back > 300, "{}", day.back);
}

// A fifth of what comes are retries: no storm by itself. It is one with a sign beside it: connections
// opened anew far above the usual, or times to come back that are not kept.
#[test_case(1, false, TrafficClass::Calm; "no other sign")]
#[test_case(10, false, TrafficClass::Storm; "connections")]
#[test_case(1, true, TrafficClass::Storm; "times not kept")]
fn indications_lower_the_fraction_of_retries_needed(connections: u64, early: bool, want: TrafficClass) {
    let mut day = Day::new();
    for n in 0..6_000u64 {
        day.now += SECOND / 200;
        day.ask(n * 7919 % 1_000, 2_000_000 + n, false);
        day.controller.request_ended(day.now, true, false);
        if n % 20 == 0 {
            day.controller.connection_accepted(day.now);
        }
    }
    for n in 0..600u64 {
        day.now += SECOND / 200;
        let retry = n % 5 == 0;
        let name = if retry { 3_000_000 + n / 100 } else { 4_000_000 + n };
        if retry && early {
            day.controller.note_scheduled_retry(name, day.now + 20 * SECOND);
        }
        day.ask(n * 7919 % 1_000, name, retry);
        day.controller.request_ended(day.now, true, false);
        if n % 20 == 0 {
            (0..connections).for_each(|_| _ = day.controller.connection_accepted(day.now));
        }
    }
    assert_eq!(day.traffic_class(), want);
}

// Half of the clients ask ten times a second whatever they are told. Those that come when they are told to
// are through about as soon as if the others were not there.
#[test]
fn clients_that_follow_are_not_slowed_by_those_that_do_not() {
    let through = |ignoring: u64| {
        const PACE: u64 = 100;
        let mut day = Day::new();
        day.run(30, PACE, 1, 1000, 1.0);
        // (when it asks, client, follows)
        let mut asks: std::collections::BTreeSet<(Micros, u64, bool)> =
            (0..400).map(|c| (day.now + c * 2_000, 10_000 + c, true)).collect();
        asks.extend((0..ignoring).map(|c| (day.now + c * 2_000, 20_000 + c, false)));
        let (begin, mut slots, mut waits) = (day.now, 0.0f64, Vec::new());
        while let Some((at, client, follows)) = asks.pop_first().filter(|(at, ..)| *at < begin + 60 * SECOND)
        {
            // The fleet finishes so many a second, and the module pushes back what has no room.
            slots = (slots + (at - day.now) as f64 * PACE as f64 / 1e6).min(10.0);
            day.now = at;
            let wait = match day.ask(client, client, true) {
                Decision::Admitted { .. } if slots >= 1.0 => {
                    slots -= 1.0;
                    day.controller.request_ended(at, true, false);
                    if follows {
                        waits.push(at - begin);
                    }
                    continue;
                }
                Decision::Admitted { .. } => {
                    day.controller.request_ended(at, false, true);
                    day.controller.schedule_retry(at, client, client, 60 * SECOND)
                }
                Decision::Rejected { retry_after: wait, .. } => wait,
            };
            asks.insert((
                at + if follows { wait.expect("there is time") } else { SECOND / 10 },
                client,
                follows,
            ));
        }
        assert_eq!(waits.len(), 400, "all followers are through");
        waits.sort_unstable();
        (waits[200], waits[399])
    };
    let (alone, beside) = (through(0), through(400));
    assert!(beside.0 < 2 * alone.0 && beside.1 < 2 * alone.1, "{alone:?} alone, {beside:?} beside 400");
}

/// A storm of clients that ask ten times a second until they are through, over ordinary work, against a
/// fleet that finishes so many a second and has its pushbacks told half a second later: seconds until all
/// are through (60 at most), and the share of what went in that had no room.
fn against(fleet: f64, ignoring: u64) -> (u64, f64) {
    let mut day = Day::new();
    day.run(30, 100, 1, 1000, 1.0);
    let (begin, mut slots) = (day.now, 0.0f64);
    let mut asks: std::collections::BTreeSet<(Micros, u64)> =
        (0..ignoring).map(|c| (day.now + c * 300, 10_000 + c)).collect();
    asks.extend((0..6_000).map(|n| (day.now + n * 10_000, 1_000_000 + n)));
    let (mut left, mut back, mut late) = (ignoring, 0u64, std::collections::VecDeque::new());
    let before = day.let_in;
    while let Some((at, client)) = asks.pop_first().filter(|_| left > 0) {
        slots = (slots + (at - day.now) as f64 * fleet / 1e6).min(fleet / 10.0);
        day.now = at;
        while late.front().is_some_and(|told| *told <= at) {
            late.pop_front();
            day.controller.request_ended(at, false, true);
        }
        let ignores = client < 1_000_000;
        let went = matches!(day.ask(client, client, ignores), Decision::Admitted { .. });
        if went && slots >= 1.0 {
            slots -= 1.0;
            day.controller.request_ended(at, true, false);
            left -= u64::from(ignores);
            continue;
        }
        back += u64::from(went);
        if went {
            late.push_back(at + SECOND / 2);
        }
        if ignores {
            asks.insert((at + SECOND / 10, client));
        }
    }
    ((day.now - begin) / SECOND, back as f64 / (day.let_in - before) as f64)
}

// What was finished before a storm is what was asked for; the fleet may bear more, and it is found out.
#[test_case(120.0, 50, 0.45; "hardly more than before: few go in for nothing")]
#[test_case(300.0, 12, 0.45; "three times as much: it is used")]
fn the_admission_rate_adapts_to_the_capacity(fleet: f64, seconds: u64, wasted: f64) {
    let (took, back) = against(fleet, 1_000);
    assert!(
        took <= seconds && back <= wasted,
        "through after {took} s, {back:.2} of what went in for nothing"
    );
}

// Ten times the work, and a storm hidden in it: once the retries are gone it is over, and the work goes in.
#[test]
fn a_storm_in_a_jump_ends_though_the_jump_does_not() {
    let mut day = Day::new();
    day.run(30, 100, 1, 1000, 1.0);
    day.run(6, 1000, 600, 5000, 0.3);
    assert_eq!(day.traffic_class(), TrafficClass::Storm);
    day.run(14, 1000, 5, 5000, 1.0);
    assert_eq!(day.traffic_class(), TrafficClass::Jump);
    let back = day.back;
    day.run(5, 1000, 5, 5000, 1.0);
    assert_eq!(day.back, back);
}

// In a storm about as many go in as the fleet finished before it, and first tries come before retries.
#[test]
fn first_attempts_come_before_retries_in_a_storm() {
    let mut day = Day::new();
    day.run(30, 200, 1, 1000, 1.0);
    day.run(4, 150, 600, 5000, 0.25);
    let (before, mut firsts, mut retries) = (day.let_in, 0, 0);
    for n in 0..3_750u64 {
        day.now += SECOND / 750;
        let retry = n % 5 != 0;
        let name = if retry { n % 50 } else { 9_000_000 + n };
        if matches!(day.ask(n * 7919 % 5000, name, false), Decision::Admitted { .. }) {
            *(if retry { &mut retries } else { &mut firsts }) += 1;
        }
    }
    let rate = (day.let_in - before) / 5;
    assert!((150..=330).contains(&rate), "{rate} a second");
    assert!(firsts >= 700, "{firsts} of 750 first tries");
    assert!(retries < 900, "{retries} of 3000 retries");
}

// One client asks ten times a second for ever: it is held to its budget, the others are not touched.
#[test]
fn the_loop_of_one_client_costs_nobody_else() {
    let mut day = Day::new();
    day.run(30, 100, 1, 1000, 1.0);
    let (mut loops, mut others) = (0, 0);
    for n in 0..4_000u64 {
        day.now += SECOND / 200;
        let decision =
            if n % 2 == 0 { day.ask(424_242, 7, true) } else { day.ask(n % 900, 8_000_000 + n, false) };
        if matches!(decision, Decision::Rejected { .. }) {
            *(if n % 2 == 0 { &mut loops } else { &mut others }) += 1;
        }
    }
    assert!(loops > 1_500 && others == 0, "{loops} of the loop, {others} of the others");
}

#[test]
fn equal_events_give_equal_decisions() {
    let run = || {
        let mut day = Day::new();
        day.run(20, 100, 1, 1000, 1.0);
        day.run(5, 100, 300, 1000, 0.2);
        day.waits
    };
    assert_eq!(run(), run());
}
