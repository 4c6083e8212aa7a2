//! Which exchanges share a request, and what is told again after its end.
//!
//! A request's name is (`source`, `id`): CloudEvents makes two events with the same pair the same event. An
//! exchange that names a running request joins it. After the end the answer is told again where another
//! attempt could do harm, or could only repeat work; it is remembered for a time, and up to a number and a
//! sum of bytes.
use applepond::interface::{Micros, RequestId, RetrySafety};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

/// `source` and `id` of an event.
pub type Name = (Rc<str>, Rc<str>);

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Finished,
    PushedBack,
    Killed,
}

/// What to do with an exchange that names a request.
#[derive(Debug, PartialEq)]
pub enum Claim<A> {
    /// A request of its own.
    New,
    /// It waits for this one's answer.
    Join(RequestId),
    /// It gets the answer again.
    Again(Rc<A>),
}

struct Kept<A> {
    until: Micros,
    order: u64,
    bytes: usize,
    answer: Rc<A>,
}

pub struct Claims<A> {
    running: HashMap<Name, RequestId>,
    kept: HashMap<Name, Kept<A>>,
    by_age: BTreeSet<(Micros, u64, Name)>,
    order: u64,
    bytes: usize,
    hold: Micros,
    most: usize,
    bytes_most: usize,
}

/// Whether an ended request's answer is told again. A pushback invites another try, so that must be a new
/// request. A kill promises nothing, and what may have run must not run again unless it is idempotent.
fn told_again(ending: Ending, effect: RetrySafety) -> bool {
    match ending {
        Ending::Finished => true,
        Ending::PushedBack => false,
        Ending::Killed => effect != RetrySafety::Idempotent,
    }
}

impl<A> Claims<A> {
    /// Answers are kept for `hold`, `most` of them, `bytes_most` bytes in all.
    pub fn new(hold: Micros, most: usize, bytes_most: usize) -> Self {
        Claims {
            running: HashMap::new(),
            kept: HashMap::new(),
            by_age: BTreeSet::new(),
            order: 0,
            bytes: 0,
            hold,
            most,
            bytes_most,
        }
    }

    pub fn running(&self) -> usize {
        self.running.len()
    }

    pub fn remembered(&self) -> usize {
        self.kept.len()
    }

    pub fn claim(&mut self, now: Micros, name: &Name) -> Claim<A> {
        self.forget_old(now);
        if let Some(request) = self.running.get(name) {
            return Claim::Join(*request);
        }
        self.kept.get(name).map_or(Claim::New, |k| Claim::Again(k.answer.clone()))
    }

    pub fn begin(&mut self, name: Name, request: RequestId) {
        self.running.insert(name, request);
    }

    /// A request that no exchange waits for any more and that has never been sent.
    pub fn drop(&mut self, name: &Name) {
        self.running.remove(name);
    }

    pub fn end(
        &mut self,
        now: Micros,
        name: &Name,
        ending: Ending,
        effect: RetrySafety,
        answer: Rc<A>,
        bytes: usize,
    ) {
        self.running.remove(name);
        if !told_again(ending, effect) || bytes > self.bytes_most {
            return;
        }
        self.order += 1;
        let until = now + self.hold;
        let bytes = bytes + name.0.len() + name.1.len();
        let kept = Kept { until, order: self.order, bytes, answer };
        if let Some(old) = self.kept.insert(name.clone(), kept) {
            self.by_age.remove(&(old.until, old.order, name.clone()));
            self.bytes -= old.bytes;
        }
        self.by_age.insert((until, self.order, name.clone()));
        self.bytes += bytes;
        self.forget_old(now);
    }

    fn forget_old(&mut self, now: Micros) {
        while let Some((until, _, _)) = self.by_age.first()
            && (*until <= now || self.kept.len() > self.most || self.bytes > self.bytes_most)
        {
            let (_, _, name) = self.by_age.pop_first().expect("there is a first");
            self.bytes -= self.kept.remove(&name).map_or(0, |k| k.bytes);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use applepond::interface::IdempotencyScope;
    use test_case::test_case;

    const MARKED: RetrySafety = RetrySafety::Keyed { scope: IdempotencyScope::Rack, window: 1 };

    fn name(n: u32) -> Name {
        (Rc::from("/desk"), Rc::from(n.to_string()))
    }

    fn request(n: u8) -> RequestId {
        RequestId([n; 36])
    }

    #[test_case(Ending::Finished, RetrySafety::Idempotent, true; "finished: the work is done")]
    #[test_case(Ending::Finished, RetrySafety::AtMostOnce, true; "finished at-most-once")]
    #[test_case(Ending::PushedBack, RetrySafety::AtMostOnce, false; "pushed back: a new try is invited")]
    #[test_case(Ending::Killed, RetrySafety::Idempotent, false; "killed idempotent may run again")]
    #[test_case(Ending::Killed, MARKED, true; "killed keyed may have run")]
    #[test_case(Ending::Killed, RetrySafety::AtMostOnce, true; "killed at-most-once may have run")]
    fn after_the_end(ending: Ending, effect: RetrySafety, again: bool) {
        let mut claims = Claims::new(1000, 10, 1000);
        assert_eq!(claims.claim(0, &name(1)), Claim::New);
        claims.begin(name(1), request(1));
        assert_eq!(claims.claim(5, &name(1)), Claim::Join(request(1)), "while it runs");
        claims.end(10, &name(1), ending, effect, Rc::new("answer"), 6);
        let want = if again { Claim::Again(Rc::new("answer")) } else { Claim::New };
        assert_eq!(claims.claim(1009, &name(1)), want);
        assert_eq!(claims.claim(1010, &name(1)), Claim::New, "after its time");
    }

    #[test_case(4, 100_000; "by number")]
    #[test_case(1000, 4 * 16; "by bytes")]
    fn bounded(most: usize, bytes: usize) {
        let mut claims = Claims::new(1000, most, bytes);
        for n in 0..100 {
            claims.begin(name(n), request(n as u8));
            claims.end(u64::from(n), &name(n), Ending::Finished, RetrySafety::AtMostOnce, Rc::new(()), 9);
            assert!(claims.remembered() <= 4);
        }
        assert_eq!(
            (claims.claim(100, &name(99)), claims.claim(100, &name(0))),
            (Claim::Again(Rc::new(())), Claim::New)
        );
        assert!(claims.remembered() >= 3 && claims.running() == 0);
        claims.claim(5000, &name(1));
        assert_eq!((claims.remembered(), claims.bytes, claims.by_age.len()), (0, 0, 0));
    }
}
