//! What a router keeps in mind of workers and functions: its own sight as facts, and facts of before or
//! of others as care to be taken once.
use crate::{About, Fact, Facts, Micros, What};
use applepond::interface::{FunctionId, Learned, ServerId, Standing};
use std::collections::BTreeSet;

/// Weight from which on a worker that was in doubt is tried by one job first.
const DOUBT: f64 = 0.5;

/// A worker in one of its lives.
type Life = (ServerId, Micros);

#[derive(Default)]
pub struct Memory {
    facts: Facts,
    /// Workers of which something is still to be recalled.
    wanted: BTreeSet<Life>,
    /// Drains that the list has told in this life of the router: it may take them back.
    drained: BTreeSet<Life>,
}

fn about(what: What, server: ServerId, up_since: Micros) -> About {
    About { what, key: server.0, life: up_since }
}

impl Memory {
    pub fn facts(&self) -> &Facts {
        &self.facts
    }

    /// Facts of a snapshot or of peers.
    pub fn take(&mut self, now: Micros, facts: &[Fact]) {
        for fact in facts {
            self.facts.note(now, *fact);
            if !matches!(fact.about.what, What::LoadTime | What::Usual | What::Drain) {
                self.wanted.insert((ServerId(fact.about.key), fact.about.life));
            }
        }
    }

    /// What this router has seen of a worker that has answered it. Nothing that it was only told may come
    /// here, or hearsay would be young for ever.
    pub fn saw(&mut self, now: Micros, server: ServerId, up_since: Micros, seen: &Learned) {
        let mut note = |what, value: f64| {
            self.facts.note(now, Fact { about: about(what, server, up_since), value: value as f32, age: 0 });
        };
        note(What::Room, seen.room);
        note(What::Lag, seen.lag);
        note(What::Errors, seen.errors);
        if seen.aside {
            note(What::Aside, 1.0);
        } else {
            self.facts.drop(&about(What::Aside, server, up_since));
        }
    }

    pub fn saw_load_time(&mut self, now: Micros, function: FunctionId, took: Micros) {
        let about = About { what: What::LoadTime, key: function.0, life: 0 };
        self.facts.note(now, Fact { about, value: took as f32, age: 0 });
    }

    /// Only where the settings name none.
    pub fn load_time(&self, now: Micros, function: FunctionId) -> Option<Micros> {
        let about = About { what: What::LoadTime, key: function.0, life: 0 };
        self.facts.get(now, &about).map(|f| f.value.max(0.0) as Micros)
    }

    /// What is still to be recalled, as much as it says by now; `recalled` when it was taken up.
    pub fn recalls(&mut self, now: Micros) -> Vec<(ServerId, Micros, Learned)> {
        let facts = &self.facts;
        let get = |what, (server, up): Life| facts.get(now, &about(what, server, up));
        let told = |life: Life| {
            let part = |what| get(what, life).map_or(0.0, |f| f64::from(f.value) * f.weight());
            // Half a word is twice the room.
            let room = get(What::Room, life).map_or(f64::MAX, |f| f64::from(f.value) / f.weight());
            let aside = get(What::Aside, life).is_some_and(|f| f.weight() >= DOUBT);
            Learned { room, lag: part(What::Lag), errors: part(What::Errors), aside }
        };
        self.wanted.retain(|life| {
            [What::Room, What::Lag, What::Errors, What::Aside].iter().any(|w| get(*w, *life).is_some())
        });
        self.wanted.iter().map(|life| (life.0, life.1, told(*life))).collect()
    }

    pub fn recalled(&mut self, server: ServerId, up_since: Micros) {
        self.wanted.remove(&(server, up_since));
    }

    /// What the list says of a worker, and what is made of it: a drain told before is kept until the list, in
    /// this life of the router, has told it and taken it back, or the worker has begun anew, or it is over.
    pub fn listed(&mut self, now: Micros, server: ServerId, up_since: Micros, is: Standing) -> Standing {
        let drain = about(What::Drain, server, up_since);
        match is {
            Standing::Draining => {
                self.facts.note(now, Fact { about: drain, value: 1.0, age: 0 });
                self.drained.insert((server, up_since));
            }
            Standing::Gone => {
                self.facts.drop(&drain);
                self.drained.remove(&(server, up_since));
            }
            Standing::Ready => {
                if self.drained.remove(&(server, up_since)) {
                    self.facts.drop(&drain);
                }
                if self.facts.get(now, &drain).is_some() {
                    return Standing::Draining;
                }
            }
        }
        is
    }

    /// Drains that the list tells now stay young; called as often as snapshots are written.
    pub fn refresh(&mut self, now: Micros) {
        let drained = self.drained.iter().copied();
        for (server, up_since) in drained.collect::<Vec<_>>() {
            let about = about(What::Drain, server, up_since);
            self.facts.note(now, Fact { about, value: 1.0, age: 0 });
        }
        self.facts.clear(now);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    const S: Micros = 1_000_000;
    const W: ServerId = ServerId(7);

    fn fact(what: What, value: f32, age: Micros) -> Fact {
        Fact { about: about(what, W, 5), value, age }
    }

    #[test]
    fn care_is_recalled_once_and_fades() {
        let mut memory = Memory::default();
        memory.take(S, &[fact(What::Room, 4.0, 0), fact(What::Lag, 0.4, 0), fact(What::Aside, 1.0, 0)]);
        let young = memory.recalls(S);
        assert!(young[0].2.aside);
        assert!((young[0].2.room - 4.0).abs() < 1e-6 && (young[0].2.lag - 0.4).abs() < 1e-6);
        let later = memory.recalls(S + 20 * S);
        assert!(later[0].2.room > 4.0 && later[0].2.lag < 0.4, "{later:?}");
        assert!(!memory.recalls(S + 50 * S)[0].2.aside, "less than half a word");
        memory.recalled(W, 5);
        assert!(memory.recalls(S).is_empty());
        memory.take(S, &[fact(What::Room, 4.0, 0)]);
        assert!(memory.recalls(S + 61 * S).is_empty(), "over before it was taken up");
    }

    // Each: the list's words one after the other, and what is made of each.
    #[test_case(true, &[("ready", "draining"), ("ready", "draining")]; "kept over a restart")]
    #[test_case(true, &[("draining", "draining"), ("ready", "ready")]; "told and taken back in this life")]
    #[test_case(true, &[("gone", "gone"), ("ready", "ready")]; "gone")]
    #[test_case(false, &[("ready", "ready"), ("draining", "draining")]; "nothing before")]
    fn a_drain_is_kept(told: bool, words: &[(&str, &str)]) {
        let standing = |word: &str| match word {
            "ready" => Standing::Ready,
            "gone" => Standing::Gone,
            _ => Standing::Draining,
        };
        let mut memory = Memory::default();
        if told {
            memory.take(S, &[fact(What::Drain, 1.0, S)]);
        }
        for (n, (says, is)) in words.iter().enumerate() {
            let now = S + n as u64 * S;
            assert_eq!(memory.listed(now, W, 5, standing(says)), standing(is), "{n}");
        }
    }

    #[test]
    fn a_drain_is_of_one_life_and_ends() {
        let mut memory = Memory::default();
        memory.take(S, &[fact(What::Drain, 1.0, 0)]);
        assert_eq!(memory.listed(2 * S, W, 6, Standing::Ready), Standing::Ready, "it has begun anew");
        assert_eq!(memory.listed(62 * S, W, 5, Standing::Ready), Standing::Ready, "nobody says it any more");
        memory.listed(62 * S, W, 5, Standing::Draining);
        memory.refresh(200 * S);
        assert_eq!(memory.facts().all(210 * S).count(), 1, "while the list says it, it is young");
    }

    #[test]
    fn own_sight_is_young_and_takes_doubt_back() {
        let mut memory = Memory::default();
        memory.take(S, &[fact(What::Aside, 1.0, 0)]);
        memory.saw(2 * S, W, 5, &Learned { room: 3.0, ..Learned::default() });
        let said: Vec<_> = memory.facts().all(2 * S).map(|f| (f.about.what, f.age)).collect();
        assert_eq!(said, [(What::Room, 0), (What::Lag, 0), (What::Errors, 0)]);
        memory.saw_load_time(S, FunctionId(3), 250_000);
        assert_eq!(memory.load_time(2 * S, FunctionId(3)), Some(250_000));
        assert_eq!(memory.load_time(2 * S, FunctionId(4)), None);
    }
}
