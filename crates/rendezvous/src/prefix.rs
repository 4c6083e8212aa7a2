//! The first members of one key's order.
use crate::{HashScheme, Members};
use std::cmp::Ordering;

/// Expected initial length of a prefix; each extension doubles it.
pub const INITIAL_PREFIX_LEN: usize = 8;
/// A prefix longer than this multiple of its walked length is truncated to half of that multiple.
const MAX_LENGTH_FACTOR: usize = 4;
/// The walked length decays by 1/n at each refresh.
const WALKED_DECAY: usize = 16;

/// A member in an order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ranked<M> {
    /// Score for the key.
    pub score: f64,
    /// Weight of the member.
    pub weight: f64,
    /// The member.
    pub member: M,
}

impl<M: Ord> Ranked<M> {
    /// Compares two members by their position in an order.
    pub fn compare(&self, other: &Self) -> Ordering {
        self.score.total_cmp(&other.score).then_with(|| self.member.cmp(&other.member))
    }
}

/// The first members of one key's order: all with a score up to a cutoff, lowest first.
///
/// Belongs to one key and one [`Members`]. [`Prefix::refresh`] must be called before each walk.
pub struct Prefix<M> {
    /// All members whose score is at most `cutoff`, in order.
    entries: Vec<Ranked<M>>,
    cutoff: f64,
    /// Fast rejection: members with a hash below `min_hash` and a weight up to `max_weight` are beyond
    /// the cutoff.
    min_hash: u64,
    max_weight: f64,
    /// Version of the members that the entries reflect.
    version: u64,
    /// Decaying maximum of the number of members walked.
    walked: usize,
}

/// Result of a search among the entries.
struct SearchResult<M> {
    ranked: Ranked<M>,
    /// Index of the member, or the index at which to insert it.
    index: Result<usize, usize>,
}

impl<M> Default for Prefix<M> {
    fn default() -> Self {
        Prefix { entries: Vec::new(), cutoff: 0.0, min_hash: 0, max_weight: 0.0, version: 0, walked: 0 }
    }
}

impl<M: Copy + Ord> Prefix<M> {
    /// Number of members in the prefix.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the prefix is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Updates the prefix to the current members.
    pub fn refresh<D: HashScheme<Member = M>>(&mut self, members: &Members<D>, key: D::Key) {
        self.walked -= self.walked / WALKED_DECAY;
        let log = members.log();
        if self.version != log.version() {
            match log.since(self.version).filter(|_| self.cutoff > 0.0) {
                Some(changes) => {
                    for change in changes {
                        self.remove_member::<D>(key, change.member, change.before);
                        self.insert_member::<D>(key, change.member, change.after);
                    }
                }
                None => self.entries.clear(),
            }
            if self.entries.is_empty() {
                self.cutoff = 0.0;
            }
            self.version = log.version();
        }
        self.truncate::<D>();
    }

    /// The member at a zero-based index of the order; `None` past the end. Extends the prefix on demand.
    pub fn get<D: HashScheme<Member = M>>(
        &mut self,
        members: &Members<D>,
        key: D::Key,
        index: usize,
    ) -> Option<Ranked<M>> {
        while index >= self.entries.len() && self.entries.len() < members.len() {
            self.extend(members, key);
        }
        self.walked = self.walked.max(index + 1);
        self.entries.get(index).copied()
    }

    /// Doubles the expected length. A prefix expected to hold half of all members is extended to all of
    /// them.
    fn extend<D: HashScheme<Member = M>>(&mut self, members: &Members<D>, key: D::Key) {
        let initial_cutoff = INITIAL_PREFIX_LEN as f64 / members.total_weight();
        let cutoff = initial_cutoff.max(2.0 * self.cutoff);
        let expected = cutoff * members.total_weight();
        self.cutoff = if 2.0 * expected >= members.len() as f64 { f64::INFINITY } else { cutoff };
        self.entries = members.scan(key, self.cutoff);
        self.entries.shrink_to_fit();
        self.update_min_hash::<D>();
    }

    fn update_min_hash<D: HashScheme<Member = M>>(&mut self) {
        self.max_weight = 1.0_f64.max(self.max_weight);
        self.min_hash = D::min_hash(self.cutoff, self.max_weight);
    }

    /// Searches the entries for a member; `None` if it is beyond the cutoff.
    fn search<D: HashScheme<Member = M>>(
        &mut self,
        key: D::Key,
        member: M,
        weight: f64,
    ) -> Option<SearchResult<M>> {
        if weight > self.max_weight {
            self.max_weight = weight;
            self.update_min_hash::<D>();
        }
        let hash = D::hash(key, D::digest(member));
        if hash < self.min_hash {
            return None;
        }
        let ranked = Ranked { score: D::score(hash, weight), weight, member };
        let index = self.entries.binary_search_by(|entry| entry.compare(&ranked));
        (ranked.score <= self.cutoff).then_some(SearchResult { ranked, index })
    }

    /// Removes a member that had this weight.
    fn remove_member<D: HashScheme<Member = M>>(&mut self, key: D::Key, member: M, weight: Option<f64>) {
        let found = weight.and_then(|weight| self.search::<D>(key, member, weight));
        if let Some(SearchResult { index: Ok(index), .. }) = found {
            self.entries.remove(index);
        }
    }

    /// Inserts a member with this weight.
    fn insert_member<D: HashScheme<Member = M>>(&mut self, key: D::Key, member: M, weight: Option<f64>) {
        let found = weight.and_then(|weight| self.search::<D>(key, member, weight));
        if let Some(SearchResult { ranked, index: Err(index) }) = found {
            self.entries.insert(index, ranked);
        }
    }

    /// Drops entries that are no longer walked and lowers the cutoff accordingly.
    fn truncate<D: HashScheme<Member = M>>(&mut self) {
        let wanted = self.walked.max(INITIAL_PREFIX_LEN);
        if self.entries.len() <= MAX_LENGTH_FACTOR * wanted {
            return;
        }
        self.entries.truncate(MAX_LENGTH_FACTOR / 2 * wanted);
        self.entries.shrink_to_fit();
        self.cutoff = self.entries[self.entries.len() - 1].score;
        self.update_min_hash::<D>();
    }
}
