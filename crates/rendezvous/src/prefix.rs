//! The kept beginning of one key's order.
use crate::{Draw, Members};
use std::cmp::Ordering;

/// Members that a prefix holds to begin with, on average; each extension doubles that.
pub const PREFIX_FIRST: usize = 8;
/// A prefix more than so many times as long as what is walked of it is cut to half of that.
const SLACK: usize = 4;
/// What was once walked counts a sixteenth less at each later walk.
const WALKED_FADE: usize = 16;

/// A member at its place in an order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ranked<M> {
    /// Its score for the key.
    pub score: f64,
    /// Its weight.
    pub weight: f64,
    /// The member.
    pub member: M,
}

impl<M: Ord> Ranked<M> {
    /// Which of two comes first in an order.
    pub fn order(&self, other: &Self) -> Ordering {
        self.score.total_cmp(&other.score).then_with(|| self.member.cmp(&other.member))
    }
}

/// The first members of one key's order: all whose score is at most a cutoff, lowest first.
///
/// It belongs to one key and one [`Members`]; [`Prefix::refresh`] has to come before each walk.
pub struct Prefix<M> {
    entries: Vec<Ranked<M>>,
    cutoff: f64,
    /// Hashes below this one, of members of at most this weight, are beyond the cutoff.
    quick: (u64, f64),
    /// The membership's version that the entries hold for.
    version: u64,
    /// Places walked lately; it fades.
    walked: usize,
}

/// An entry, and its place or the one where it would stand.
type Search<M> = (Ranked<M>, Result<usize, usize>);

impl<M> Default for Prefix<M> {
    fn default() -> Self {
        Prefix { entries: Vec::new(), cutoff: 0.0, quick: (0, 0.0), version: 0, walked: 0 }
    }
}

impl<M: Copy + Ord> Prefix<M> {
    /// Members held at present.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Brings the prefix up to the members as they are now.
    pub fn refresh<D: Draw<Member = M>>(&mut self, members: &Members<D>, key: D::Key) {
        self.walked -= self.walked / WALKED_FADE;
        let log = members.log();
        if self.version != log.version() {
            match log.since(self.version).filter(|_| self.cutoff > 0.0) {
                Some(changes) => {
                    for change in changes {
                        self.leave::<D>(key, change.member, change.before);
                        self.join::<D>(key, change.member, change.after);
                    }
                }
                None => self.entries.clear(),
            }
            if self.entries.is_empty() {
                self.cutoff = 0.0;
            }
            self.version = log.version();
        }
        self.shorten::<D>();
    }

    /// The member at a place of the order, from 0; `None` past the last one. Extends what is kept on demand.
    pub fn get<D: Draw<Member = M>>(
        &mut self,
        members: &Members<D>,
        key: D::Key,
        place: usize,
    ) -> Option<Ranked<M>> {
        while place >= self.entries.len() && self.entries.len() < members.len() {
            self.extend(members, key);
        }
        self.walked = self.walked.max(place + 1);
        self.entries.get(place).copied()
    }

    /// Twice as many as now, and so many that a half of all is the whole.
    fn extend<D: Draw<Member = M>>(&mut self, members: &Members<D>, key: D::Key) {
        let first = PREFIX_FIRST as f64 / members.total_weight();
        let cutoff = first.max(2.0 * self.cutoff);
        let expected = cutoff * members.total_weight();
        self.cutoff = if 2.0 * expected >= members.len() as f64 { f64::INFINITY } else { cutoff };
        self.entries = members.scan(key, self.cutoff);
        self.entries.shrink_to_fit();
        self.look_quick::<D>();
    }

    fn look_quick<D: Draw<Member = M>>(&mut self) {
        let heaviest = 1.0_f64.max(self.quick.1);
        self.quick = (D::least_hash(self.cutoff, heaviest), heaviest);
    }

    /// A member's place among the entries where it belongs to them: found, or where it would stand.
    fn search<D: Draw<Member = M>>(&mut self, key: D::Key, member: M, weight: f64) -> Option<Search<M>> {
        if weight > self.quick.1 {
            self.quick.1 = weight;
            self.look_quick::<D>();
        }
        let hash = D::hash(key, D::digest(member));
        if hash < self.quick.0 {
            return None;
        }
        let ranked = Ranked { score: D::score(hash, weight), weight, member };
        let found = self.entries.binary_search_by(|entry| entry.order(&ranked));
        Some((ranked, found)).filter(|(ranked, _)| ranked.score <= self.cutoff)
    }

    fn leave<D: Draw<Member = M>>(&mut self, key: D::Key, member: M, weight: Option<f64>) {
        let found = weight.and_then(|weight| self.search::<D>(key, member, weight));
        if let Some((_, Ok(place))) = found {
            self.entries.remove(place);
        }
    }

    fn join<D: Draw<Member = M>>(&mut self, key: D::Key, member: M, weight: Option<f64>) {
        let found = weight.and_then(|weight| self.search::<D>(key, member, weight));
        if let Some((ranked, Err(place))) = found {
            self.entries.insert(place, ranked);
        }
    }

    /// Gives back what is no longer walked; what stays is again all up to a cutoff.
    fn shorten<D: Draw<Member = M>>(&mut self) {
        let wanted = self.walked.max(PREFIX_FIRST);
        if self.entries.len() <= SLACK * wanted {
            return;
        }
        self.entries.truncate(SLACK / 2 * wanted);
        self.entries.shrink_to_fit();
        self.cutoff = self.entries[self.entries.len() - 1].score;
        self.look_quick::<D>();
    }
}
