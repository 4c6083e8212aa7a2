//! What a router keeps in mind of workers and functions: its own sight as facts, and facts of before or
//! of others as care to be taken once.
use crate::{Fact, FactKey, FactKind, Facts, Micros};
use applepond::interface::{FunctionId, WorkerHistory, WorkerId, WorkerStatus};
use std::collections::{BTreeSet, VecDeque};

/// Weight from which on a worker that was in doubt is tried by one request first.
const EJECTION_WEIGHT_THRESHOLD: f64 = 0.5;

/// Promises kept at most: those of the last moments, as older ones are over.
const MAX_SCHEDULED_RETRIES: usize = 1_024;

/// What is usual at a router: first tries and connections opened a second, and the pace of the fleet as it
/// sees it.
pub type TrafficBaseline = [f64; 3];

/// What was usual, and promises still to be kept with the µs that are left.
pub type RouterHistory = (Option<TrafficBaseline>, Vec<(u64, Micros)>);

/// A worker in one of its lives.
pub type WorkerIncarnation = (WorkerId, Micros);

#[derive(Default)]
pub struct ObservationStore {
    facts: Facts,
    /// Workers of which something is still to be recalled.
    wanted: BTreeSet<WorkerIncarnation>,
    /// Something of this router's own is still to be recalled.
    own: bool,
    /// Promises told in this life, the oldest first.
    promises: VecDeque<u64>,
    /// Drains that the list has told in this life of the router: it may take them back.
    drained: BTreeSet<WorkerIncarnation>,
}

fn about(what: FactKind, server: WorkerId, up_since: Micros) -> FactKey {
    FactKey { kind: what, subject: server.0, incarnation: up_since }
}

impl ObservationStore {
    pub fn facts(&self) -> &Facts {
        &self.facts
    }

    /// Facts of a snapshot or of peers.
    pub fn import(&mut self, now: Micros, facts: &[Fact]) {
        for fact in facts {
            self.facts.insert(now, *fact);
            self.own |= !fact.key.kind.is_shared();
            if fact.key.kind.is_shared() && !matches!(fact.key.kind, FactKind::LoadTime | FactKind::Draining)
            {
                self.wanted.insert((WorkerId(fact.key.subject), fact.key.incarnation));
            }
        }
    }

    /// What this router has seen of a worker that has answered it. Nothing that it was only told may come
    /// here, or hearsay would be young for ever.
    pub fn record_worker(&mut self, now: Micros, server: WorkerId, up_since: Micros, seen: &WorkerHistory) {
        let mut note = |what, value: f64| {
            self.facts.insert(now, Fact { key: about(what, server, up_since), value: value as f32, age: 0 });
        };
        note(FactKind::ConcurrencyLimit, seen.concurrency_limit);
        note(FactKind::QueueingDelay, seen.queueing_delay);
        note(FactKind::ErrorRate, seen.error_rate);
        if seen.ejected {
            note(FactKind::Ejected, 1.0);
        } else {
            self.facts.remove(&about(FactKind::Ejected, server, up_since));
        }
    }

    pub fn record_load_time(&mut self, now: Micros, function: FunctionId, took: Micros) {
        let about = FactKey { kind: FactKind::LoadTime, subject: function.0, incarnation: 0 };
        self.facts.insert(now, Fact { key: about, value: took as f32, age: 0 });
    }

    /// What is usual at this router, as it has seen itself.
    pub fn record_baseline(&mut self, now: Micros, usual: TrafficBaseline) {
        for (key, value) in usual.into_iter().enumerate() {
            let about = FactKey { kind: FactKind::TrafficBaseline, subject: key as u64, incarnation: 0 };
            self.facts.insert(now, Fact { key: about, value: value as f32, age: 0 });
        }
    }

    /// A request was told to come back in so many µs.
    pub fn record_scheduled_retry(&mut self, now: Micros, request: u64, wait: Micros) {
        let about = FactKey { kind: FactKind::ScheduledRetry, subject: request, incarnation: 0 };
        self.facts.remove(&about);
        self.facts.insert(now, Fact { key: about, value: wait as f32 / 1e3, age: 0 });
        self.promises.push_back(request);
        if self.promises.len() > MAX_SCHEDULED_RETRIES {
            let oldest = self.promises.pop_front();
            oldest.into_iter().for_each(|request| self.facts.remove(&FactKey { subject: request, ..about }));
        }
    }

    /// What was usual before the start, and promises that are still to be kept, with the µs that are
    /// left; once.
    pub fn take_router_history(&mut self, now: Micros) -> Option<RouterHistory> {
        if !std::mem::take(&mut self.own) {
            return None;
        }
        let usual = |key| {
            let about = FactKey { kind: FactKind::TrafficBaseline, subject: key, incarnation: 0 };
            self.facts.get(now, &about).map(|f| f64::from(f.value))
        };
        let left = |f: Fact| {
            let wait = (f.value.max(0.0) * 1e3) as Micros;
            wait.checked_sub(f.age).filter(|left| *left > 0).map(|left| (f.key.subject, left))
        };
        let promises =
            self.facts.iter(now).filter(|f| f.key.kind == FactKind::ScheduledRetry).filter_map(left);
        let promises = promises.collect();
        Some(((|| Some([usual(0)?, usual(1)?, usual(2)?]))(), promises))
    }

    /// Only where the settings name none.
    pub fn load_time(&self, now: Micros, function: FunctionId) -> Option<Micros> {
        let about = FactKey { kind: FactKind::LoadTime, subject: function.0, incarnation: 0 };
        self.facts.get(now, &about).map(|f| f.value.max(0.0) as Micros)
    }

    /// What is still to be recalled, as much as it says by now; `recalled` when it was taken up.
    pub fn pending_worker_history(&mut self, now: Micros) -> Vec<(WorkerId, Micros, WorkerHistory)> {
        let facts = &self.facts;
        let get = |what, (server, up): WorkerIncarnation| facts.get(now, &about(what, server, up));
        let told = |life: WorkerIncarnation| {
            let part = |what| get(what, life).map_or(0.0, |f| f64::from(f.value) * f.weight());
            // Half a word is twice the room.
            let room =
                get(FactKind::ConcurrencyLimit, life).map_or(f64::MAX, |f| f64::from(f.value) / f.weight());
            let aside = get(FactKind::Ejected, life).is_some_and(|f| f.weight() >= EJECTION_WEIGHT_THRESHOLD);
            WorkerHistory {
                concurrency_limit: room,
                queueing_delay: part(FactKind::QueueingDelay),
                error_rate: part(FactKind::ErrorRate),
                ejected: aside,
            }
        };
        self.wanted.retain(|life| {
            [FactKind::ConcurrencyLimit, FactKind::QueueingDelay, FactKind::ErrorRate, FactKind::Ejected]
                .iter()
                .any(|w| get(*w, *life).is_some())
        });
        self.wanted.iter().map(|life| (life.0, life.1, told(*life))).collect()
    }

    pub fn mark_restored(&mut self, server: WorkerId, up_since: Micros) {
        self.wanted.remove(&(server, up_since));
    }

    /// What the list says of a worker, and what is made of it: a drain told before is kept until the list, in
    /// this life of the router, has told it and taken it back, or the worker has begun anew, or it is over.
    pub fn apply_listed_status(
        &mut self,
        now: Micros,
        server: WorkerId,
        up_since: Micros,
        is: WorkerStatus,
    ) -> WorkerStatus {
        let drain = about(FactKind::Draining, server, up_since);
        match is {
            WorkerStatus::Draining => {
                self.facts.insert(now, Fact { key: drain, value: 1.0, age: 0 });
                self.drained.insert((server, up_since));
            }
            WorkerStatus::Gone => {
                self.facts.remove(&drain);
                self.drained.remove(&(server, up_since));
            }
            WorkerStatus::Ready => {
                if self.drained.remove(&(server, up_since)) {
                    self.facts.remove(&drain);
                }
                if self.facts.get(now, &drain).is_some() {
                    return WorkerStatus::Draining;
                }
            }
        }
        is
    }

    /// A whole list names these and nobody else: a drain of another one is over, and is not kept young
    /// for ever.
    pub fn apply_complete_list(&mut self, named: &[WorkerIncarnation]) {
        let gone: Vec<WorkerIncarnation> =
            self.drained.iter().copied().filter(|life| !named.contains(life)).collect();
        for (server, up_since) in gone {
            self.drained.remove(&(server, up_since));
            self.facts.remove(&about(FactKind::Draining, server, up_since));
        }
    }

    /// Drains that the list tells now stay young; called as often as snapshots are written.
    pub fn refresh(&mut self, now: Micros) {
        let drained = self.drained.iter().copied();
        for (server, up_since) in drained.collect::<Vec<_>>() {
            let about = about(FactKind::Draining, server, up_since);
            self.facts.insert(now, Fact { key: about, value: 1.0, age: 0 });
        }
        self.facts.remove_expired(now);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    const S: Micros = 1_000_000;
    const W: WorkerId = WorkerId(7);

    fn fact(what: FactKind, value: f32, age: Micros) -> Fact {
        Fact { key: about(what, W, 5), value, age }
    }

    #[test]
    fn care_is_recalled_once_and_fades() {
        let mut memory = ObservationStore::default();
        memory.import(
            S,
            &[
                fact(FactKind::ConcurrencyLimit, 4.0, 0),
                fact(FactKind::QueueingDelay, 0.4, 0),
                fact(FactKind::Ejected, 1.0, 0),
            ],
        );
        let young = memory.pending_worker_history(S);
        assert!(young[0].2.ejected);
        assert!(
            (young[0].2.concurrency_limit - 4.0).abs() < 1e-6
                && (young[0].2.queueing_delay - 0.4).abs() < 1e-6
        );
        let later = memory.pending_worker_history(S + 20 * S);
        assert!(later[0].2.concurrency_limit > 4.0 && later[0].2.queueing_delay < 0.4, "{later:?}");
        assert!(!memory.pending_worker_history(S + 50 * S)[0].2.ejected, "less than half a word");
        memory.mark_restored(W, 5);
        assert!(memory.pending_worker_history(S).is_empty());
        memory.import(S, &[fact(FactKind::ConcurrencyLimit, 4.0, 0)]);
        assert!(memory.pending_worker_history(S + 61 * S).is_empty(), "over before it was taken up");
    }

    // Each: the list's words one after the other, and what is made of each.
    #[test_case(true, &[("ready", "draining"), ("ready", "draining")]; "kept over a restart")]
    #[test_case(true, &[("draining", "draining"), ("ready", "ready")]; "told and taken back in this life")]
    #[test_case(true, &[("gone", "gone"), ("ready", "ready")]; "gone")]
    #[test_case(false, &[("ready", "ready"), ("draining", "draining")]; "nothing before")]
    fn a_drain_is_kept(told: bool, words: &[(&str, &str)]) {
        let standing = |word: &str| match word {
            "ready" => WorkerStatus::Ready,
            "gone" => WorkerStatus::Gone,
            _ => WorkerStatus::Draining,
        };
        let mut memory = ObservationStore::default();
        if told {
            memory.import(S, &[fact(FactKind::Draining, 1.0, S)]);
        }
        for (n, (says, is)) in words.iter().enumerate() {
            let now = S + n as u64 * S;
            assert_eq!(memory.apply_listed_status(now, W, 5, standing(says)), standing(is), "{n}");
        }
    }

    #[test]
    fn a_drain_is_of_one_life_and_ends() {
        let mut memory = ObservationStore::default();
        memory.import(S, &[fact(FactKind::Draining, 1.0, 0)]);
        assert_eq!(
            memory.apply_listed_status(2 * S, W, 6, WorkerStatus::Ready),
            WorkerStatus::Ready,
            "it has begun anew"
        );
        assert_eq!(
            memory.apply_listed_status(62 * S, W, 5, WorkerStatus::Ready),
            WorkerStatus::Ready,
            "nobody says it any more"
        );
        memory.apply_listed_status(62 * S, W, 5, WorkerStatus::Draining);
        memory.refresh(200 * S);
        assert_eq!(memory.facts().iter(210 * S).count(), 1, "while the list says it, it is young");
    }

    // What was promised and what was usual: this router's own, taken up once, and never given to others.
    #[test]
    fn promises_and_the_usual() {
        let mut before = ObservationStore::default();
        before.record_baseline(S, [40.0, 2.0, 300.0]);
        before.record_scheduled_retry(S, 7, 3 * S);
        before.record_scheduled_retry(S, 8, 500_000);
        let bytes = crate::encode_snapshot(1, Some(crate::BootId(1)), S, S, before.facts());
        let facts = crate::decode_snapshot(1, Some(crate::BootId(1)), 2 * S, &bytes).expect("whole");
        assert!(facts.iter().all(|f| !f.key.kind.is_shared()));
        let mut after = ObservationStore::default();
        after.import(2 * S, &facts);
        let (usual, promises) = after.take_router_history(2 * S).expect("something");
        assert_eq!(usual, Some([40.0, 2.0, 300.0]));
        assert_eq!(
            promises.iter().map(|(request, _)| *request).collect::<Vec<_>>(),
            [7],
            "the other one is over"
        );
        assert!((1_990_000..=2_010_000).contains(&promises[0].1), "{promises:?}");
        assert!(after.take_router_history(2 * S).is_none(), "once");
        let unknown = crate::decode_snapshot(1, Some(crate::BootId(2)), 2 * S, &bytes).expect("whole");
        let mut after = ObservationStore::default();
        after.import(2 * S, &unknown);
        assert!(
            after.take_router_history(2 * S).is_none_or(|(_, promises)| promises.is_empty()),
            "nobody knows its age"
        );
        (0..3_000).for_each(|request| before.record_scheduled_retry(S, 100 + request, S));
        assert!(before.facts().len() <= MAX_SCHEDULED_RETRIES + 3);
    }

    // Who drained and is in no list any more: nothing of it is kept, however many come and go.
    #[test]
    fn a_whole_list_ends_drains() {
        let mut memory = ObservationStore::default();
        for n in 0..1_000 {
            memory.apply_listed_status(S, WorkerId(n), 5, WorkerStatus::Draining);
            memory.apply_complete_list(&[(WorkerId(n), 5)]);
        }
        memory.refresh(S);
        assert_eq!((memory.drained.len(), memory.facts().len()), (1, 1));
    }

    #[test]
    fn own_sight_is_young_and_takes_doubt_back() {
        let mut memory = ObservationStore::default();
        memory.import(S, &[fact(FactKind::Ejected, 1.0, 0)]);
        memory.record_worker(
            2 * S,
            W,
            5,
            &WorkerHistory { concurrency_limit: 3.0, ..WorkerHistory::default() },
        );
        let said: Vec<_> = memory.facts().iter(2 * S).map(|f| (f.key.kind, f.age)).collect();
        assert_eq!(
            said,
            [(FactKind::ConcurrencyLimit, 0), (FactKind::QueueingDelay, 0), (FactKind::ErrorRate, 0)]
        );
        memory.record_load_time(S, FunctionId(3), 250_000);
        assert_eq!(memory.load_time(2 * S, FunctionId(3)), Some(250_000));
        assert_eq!(memory.load_time(2 * S, FunctionId(4)), None);
    }
}
