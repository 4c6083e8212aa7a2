//! Simulated traffic of one router: how it is classified, and which requests are admitted.
use applepond_admission::traffic_monitor::TrafficClass;
use applepond_admission::{AdmissionController, Arrival, Decision, Micros};
use test_case::test_case;

const SECOND: Micros = 1_000_000;

/// An admission controller with simulated traffic and the decisions so far.
struct Simulation {
    controller: AdmissionController,
    now: Micros,
    next_request: u64,
    admitted: u64,
    rejected: u64,
    waits: Vec<Option<Micros>>,
}

impl Simulation {
    fn new() -> Self {
        let now = 1_000 * SECOND;
        Simulation {
            controller: AdmissionController::new(now, 7),
            now,
            next_request: 0,
            admitted: 0,
            rejected: 0,
            waits: Vec::new(),
        }
    }

    /// A request of a client arrives. `is_marked_retry`: the client marks it as a retry; a retry that is
    /// not marked has the id of an earlier request.
    fn arrive(&mut self, client: u64, request_id: u64, is_marked_retry: bool) -> Decision {
        let arrival = Arrival {
            client,
            request_id,
            is_retry: is_marked_retry,
            importance: 1.0,
            remaining: 60 * SECOND,
        };
        let decision = self.controller.decide(self.now, &arrival);
        match decision {
            Decision::Admitted { .. } => self.admitted += 1,
            Decision::Rejected { retry_after, .. } => {
                self.rejected += 1;
                self.waits.push(retry_after);
            }
        }
        decision
    }

    /// Simulates `seconds` with this many first attempts and retries per second, spread over `clients`; the
    /// fraction `completing` of the admitted requests completes, and the rest is rejected by the routing
    /// module.
    fn run(&mut self, seconds: u64, first_attempts: u64, retries: u64, clients: u64, completing: f64) {
        let arrivals = (first_attempts + retries).max(1);
        let interval = SECOND / arrivals;
        for n in 0..seconds * arrivals {
            self.now += interval;
            self.next_request += 1;
            let is_retry = n % arrivals >= first_attempts;
            let request_id = if is_retry { self.next_request % 50 } else { 1_000_000 + self.next_request };
            let decision = self.arrive(self.next_request * 7919 % clients, request_id, false);
            let completes = (n as f64 * completing).fract() + completing >= 1.0;
            if matches!(decision, Decision::Admitted { .. }) {
                self.controller.request_ended(self.now, completes, !completes);
            }
        }
    }

    fn traffic_class(&self) -> TrafficClass {
        self.controller.traffic_monitor().class()
    }
}

#[test_case(100, 1, 1000, 1.0, TrafficClass::Calm; "ordinary traffic")]
#[test_case(1000, 10, 1000, 1.0, TrafficClass::Jump; "ten times the work, no more retries than usual")]
#[test_case(100, 300, 1000, 0.2, TrafficClass::Storm; "three retries for each first attempt")]
#[test_case(1000, 600, 1000, 0.2, TrafficClass::Storm; "a storm within increased work")]
#[test_case(100, 100, 1, 1.0, TrafficClass::Loop; "one client in a loop")]
#[test_case(100, 3, 1000, 0.3, TrafficClass::Slow; "usual work that mostly fails to complete")]
fn traffic_is_classified(
    first_attempts: u64,
    retries: u64,
    clients: u64,
    completing: f64,
    want: TrafficClass,
) {
    let mut simulation = Simulation::new();
    simulation.run(30, 100, 1, 1000, 1.0);
    simulation.run(6, first_attempts, retries, clients, completing);
    assert_eq!(simulation.traffic_class(), want);
}

#[test]
fn all_requests_of_increased_work_are_admitted() {
    let mut simulation = Simulation::new();
    simulation.run(30, 100, 1, 1000, 1.0);
    simulation.run(20, 1000, 5, 5000, 1.0);
    assert_eq!(simulation.rejected, 0);
}

// A router that is restarted during a storm has no usual rates, so the fraction of retries must be
// sufficient. Here clients mark their retries.
#[test]
fn a_storm_is_recognized_right_after_a_start() {
    let mut simulation = Simulation::new();
    for n in 0..2_000 {
        simulation.now += SECOND / 500;
        simulation.arrive(n % 700, 5_000_000 + n, true);
    }
    assert_eq!(simulation.traffic_class(), TrafficClass::Storm);
    assert!(simulation.rejected > 500);
}

#[test]
fn a_storm_ends_when_its_retries_do_and_not_between_two_waves() {
    let mut simulation = Simulation::new();
    simulation.run(30, 100, 1, 1000, 1.0);
    simulation.run(5, 100, 300, 1000, 0.2);
    simulation.run(2, 100, 1, 1000, 1.0);
    assert_eq!(simulation.traffic_class(), TrafficClass::Storm, "this may be a pause between two waves");
    simulation.run(14, 100, 1, 1000, 1.0);
    assert_eq!(simulation.traffic_class(), TrafficClass::Calm);
    let rejected = simulation.rejected;
    simulation.run(5, 100, 1, 1000, 1.0);
    assert_eq!(simulation.rejected, rejected);
}

// The same with clients that do not mark retries: these are recognized by their request ids.
#[test]
fn a_storm_is_recognized_right_after_a_start_by_request_ids_alone() {
    let mut simulation = Simulation::new();
    for n in 0..2_000 {
        simulation.now += SECOND / 500;
        simulation.arrive(n % 700, 5_000_000 + n % 700, false);
    }
    assert_eq!(simulation.traffic_class(), TrafficClass::Storm);
    assert!(simulation.rejected > 300, "{}", simulation.rejected);
}

// A fifth of all arrivals are retries, which is not sufficient for a storm. Together with far more new
// connections than usual, or with many early retries, it is one.
#[test_case(1, false, TrafficClass::Calm; "no other indication")]
#[test_case(10, false, TrafficClass::Storm; "connections")]
#[test_case(1, true, TrafficClass::Storm; "early retries")]
fn indications_lower_the_fraction_of_retries_needed(connections: u64, early: bool, want: TrafficClass) {
    let mut simulation = Simulation::new();
    for n in 0..6_000u64 {
        simulation.now += SECOND / 200;
        simulation.arrive(n * 7919 % 1_000, 2_000_000 + n, false);
        simulation.controller.request_ended(simulation.now, true, false);
        if n % 20 == 0 {
            simulation.controller.connection_accepted(simulation.now);
        }
    }
    for n in 0..600u64 {
        simulation.now += SECOND / 200;
        let is_retry = n % 5 == 0;
        let request_id = if is_retry { 3_000_000 + n / 100 } else { 4_000_000 + n };
        if is_retry && early {
            simulation.controller.note_scheduled_retry(request_id, simulation.now + 20 * SECOND);
        }
        simulation.arrive(n * 7919 % 1_000, request_id, is_retry);
        simulation.controller.request_ended(simulation.now, true, false);
        if n % 20 == 0 {
            (0..connections).for_each(|_| _ = simulation.controller.connection_accepted(simulation.now));
        }
    }
    assert_eq!(simulation.traffic_class(), want);
}

// Half of the clients retry ten times per second and ignore their schedule. Those that follow it must be
// served about as soon as without the others.
#[test]
fn clients_that_follow_are_not_slowed_by_those_that_do_not() {
    let simulate = |ignoring: u64| {
        const COMPLETIONS_PER_S: u64 = 100;
        let mut simulation = Simulation::new();
        simulation.run(30, COMPLETIONS_PER_S, 1, 1000, 1.0);
        // (time of arrival, client, whether it follows its schedule)
        let mut arrivals: std::collections::BTreeSet<(Micros, u64, bool)> =
            (0..400).map(|c| (simulation.now + c * 2_000, 10_000 + c, true)).collect();
        arrivals.extend((0..ignoring).map(|c| (simulation.now + c * 2_000, 20_000 + c, false)));
        let (begin, mut capacity_left, mut waits) = (simulation.now, 0.0f64, Vec::new());
        while let Some((at, client, follows)) =
            arrivals.pop_first().filter(|(at, ..)| *at < begin + 60 * SECOND)
        {
            // The fleet completes this many per second; the routing module rejects the rest.
            capacity_left =
                (capacity_left + (at - simulation.now) as f64 * COMPLETIONS_PER_S as f64 / 1e6).min(10.0);
            simulation.now = at;
            let wait = match simulation.arrive(client, client, true) {
                Decision::Admitted { .. } if capacity_left >= 1.0 => {
                    capacity_left -= 1.0;
                    simulation.controller.request_ended(at, true, false);
                    if follows {
                        waits.push(at - begin);
                    }
                    continue;
                }
                Decision::Admitted { .. } => {
                    simulation.controller.request_ended(at, false, true);
                    simulation.controller.schedule_retry(at, client, client, 60 * SECOND)
                }
                Decision::Rejected { retry_after, .. } => retry_after,
            };
            arrivals.insert((
                at + if follows { wait.expect("the deadline is far") } else { SECOND / 10 },
                client,
                follows,
            ));
        }
        assert_eq!(waits.len(), 400, "all clients that follow their schedule are served");
        waits.sort_unstable();
        (waits[200], waits[399])
    };
    let (alone, with_others) = (simulate(0), simulate(400));
    assert!(
        with_others.0 < 2 * alone.0 && with_others.1 < 2 * alone.1,
        "{alone:?} alone, {with_others:?} with 400 others"
    );
}

/// A storm of clients that retry ten times per second until they are served, besides ordinary work. The
/// fleet completes `capacity` requests per second, and its rejections become known half a second later.
/// Returns the seconds until all clients are served (60 at most), and the fraction of admitted requests
/// that were rejected downstream.
fn simulate_storm(capacity: f64, ignoring: u64) -> (u64, f64) {
    let mut simulation = Simulation::new();
    simulation.run(30, 100, 1, 1000, 1.0);
    let (begin, mut capacity_left) = (simulation.now, 0.0f64);
    let mut arrivals: std::collections::BTreeSet<(Micros, u64)> =
        (0..ignoring).map(|c| (simulation.now + c * 300, 10_000 + c)).collect();
    arrivals.extend((0..6_000).map(|n| (simulation.now + n * 10_000, 1_000_000 + n)));
    let (mut left, mut rejected_downstream, mut pending) =
        (ignoring, 0u64, std::collections::VecDeque::new());
    let before = simulation.admitted;
    while let Some((at, client)) = arrivals.pop_first().filter(|_| left > 0) {
        capacity_left = (capacity_left + (at - simulation.now) as f64 * capacity / 1e6).min(capacity / 10.0);
        simulation.now = at;
        while pending.front().is_some_and(|known_at| *known_at <= at) {
            pending.pop_front();
            simulation.controller.request_ended(at, false, true);
        }
        let ignores = client < 1_000_000;
        let is_admitted = matches!(simulation.arrive(client, client, ignores), Decision::Admitted { .. });
        if is_admitted && capacity_left >= 1.0 {
            capacity_left -= 1.0;
            simulation.controller.request_ended(at, true, false);
            left -= u64::from(ignores);
            continue;
        }
        rejected_downstream += u64::from(is_admitted);
        if is_admitted {
            pending.push_back(at + SECOND / 2);
        }
        if ignores {
            arrivals.insert((at + SECOND / 10, client));
        }
    }
    ((simulation.now - begin) / SECOND, rejected_downstream as f64 / (simulation.admitted - before) as f64)
}

// The completion rate before a storm was limited by demand. If the fleet has more capacity, it must be
// used.
#[test_case(120.0, 50, 0.45; "hardly more capacity: few requests are admitted in vain")]
#[test_case(300.0, 12, 0.45; "three times the capacity")]
fn the_admission_rate_adapts_to_the_capacity(capacity: f64, seconds: u64, wasted: f64) {
    let (duration, rejected) = simulate_storm(capacity, 1_000);
    assert!(
        duration <= seconds && rejected <= wasted,
        "all served after {duration} s, {rejected:.2} of the admitted requests rejected downstream"
    );
}

// Ten times the work with a storm hidden in it: once the retries have ended, the storm is over and all work
// is admitted.
#[test]
fn a_storm_within_increased_work_ends_with_its_retries() {
    let mut simulation = Simulation::new();
    simulation.run(30, 100, 1, 1000, 1.0);
    simulation.run(6, 1000, 600, 5000, 0.3);
    assert_eq!(simulation.traffic_class(), TrafficClass::Storm);
    simulation.run(14, 1000, 5, 5000, 1.0);
    assert_eq!(simulation.traffic_class(), TrafficClass::Jump);
    let rejected = simulation.rejected;
    simulation.run(5, 1000, 5, 5000, 1.0);
    assert_eq!(simulation.rejected, rejected);
}

// In a storm requests are admitted at about the completion rate before it, first attempts before retries.
#[test]
fn first_attempts_come_before_retries_in_a_storm() {
    let mut simulation = Simulation::new();
    simulation.run(30, 200, 1, 1000, 1.0);
    simulation.run(4, 150, 600, 5000, 0.25);
    let (before, mut first_attempts, mut retries) = (simulation.admitted, 0, 0);
    for n in 0..3_750u64 {
        simulation.now += SECOND / 750;
        let is_retry = n % 5 != 0;
        let request_id = if is_retry { n % 50 } else { 9_000_000 + n };
        if matches!(simulation.arrive(n * 7919 % 5000, request_id, false), Decision::Admitted { .. }) {
            *(if is_retry { &mut retries } else { &mut first_attempts }) += 1;
        }
    }
    let rate = (simulation.admitted - before) / 5;
    assert!((150..=330).contains(&rate), "{rate} per second");
    assert!(first_attempts >= 700, "{first_attempts} of 750 first attempts");
    assert!(retries < 900, "{retries} of 3000 retries");
}

// One client retries without end, a hundred times per second: it is limited to its budget, and other
// clients are not affected.
#[test]
fn the_loop_of_one_client_does_not_affect_others() {
    let mut simulation = Simulation::new();
    simulation.run(30, 100, 1, 1000, 1.0);
    let (mut loops, mut others) = (0, 0);
    for n in 0..4_000u64 {
        simulation.now += SECOND / 200;
        let decision = if n % 2 == 0 {
            simulation.arrive(424_242, 7, true)
        } else {
            simulation.arrive(n % 900, 8_000_000 + n, false)
        };
        if matches!(decision, Decision::Rejected { .. }) {
            *(if n % 2 == 0 { &mut loops } else { &mut others }) += 1;
        }
    }
    assert!(loops > 1_500 && others == 0, "rejected: {loops} of the loop, {others} of the others");
}

#[test]
fn equal_events_give_equal_decisions() {
    let run = || {
        let mut simulation = Simulation::new();
        simulation.run(20, 100, 1, 1000, 1.0);
        simulation.run(5, 100, 300, 1000, 0.2);
        simulation.waits
    };
    assert_eq!(run(), run());
}
