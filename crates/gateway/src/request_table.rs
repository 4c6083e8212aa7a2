//! The life of a request and of its attempts, whatever protocol they travel by: begun once, each attempt
//! closed once, one end, and the queue of those whose time runs. Kept here for every router around the
//! module.
use applepond::interface::*;
use applepond_reactor::Conn;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What the module ordered, until its call returns.
pub enum Act {
    /// With the time that it has, and the time from which on it may not begin any more.
    Send(RequestId, WorkerId, Micros, Micros),
    Cancel(RequestId, usize),
    PushBack(RequestId, Option<Micros>),
    Kill(RequestId),
    Wake(Micros, TimerToken),
    Note(String),
    Watch,
}

#[derive(Default)]
pub struct Acts(pub VecDeque<Act>);

impl Actions for Acts {
    fn send(&mut self, request: RequestId, server: WorkerId, patience: Micros, begin: Micros) {
        self.0.push_back(Act::Send(request, server, patience, begin));
    }
    fn cancel(&mut self, request: RequestId, attempt: usize) {
        self.0.push_back(Act::Cancel(request, attempt));
    }
    fn reject(&mut self, request: RequestId, come_back: Option<Micros>) {
        self.0.push_back(Act::PushBack(request, come_back));
    }
    fn fail(&mut self, request: RequestId) {
        self.0.push_back(Act::Kill(request));
    }
    fn set_timer(&mut self, delay: Micros, token: TimerToken) {
        self.0.push_back(Act::Wake(delay, token));
    }
    fn log(&mut self, text: &str) {
        self.0.push_back(Act::Note(text.to_owned()));
    }
    fn watch_endpoints(&mut self) {
        self.0.push_back(Act::Watch);
    }
}

/// One attempt of a request.
pub struct Attempt {
    pub server: WorkerId,
    pub sent: Micros,
    /// When its time is up.
    until: Micros,
    /// From when on nothing of it may leave any more.
    begin: Micros,
    /// Its connection: the one that it is on, or was on last.
    pub link: Option<Conn>,
    pub closed: bool,
}

/// One request, from its arrival until its last attempt has closed, and what its protocol keeps of it.
pub struct Life<T> {
    pub came: Micros,
    pub deadline: Micros,
    pub attempts: Vec<Attempt>,
    pub ended: bool,
    pub timed_out: bool,
    pub of: T,
}

impl<T> Life<T> {
    /// Whether an attempt of which nothing has left may still begin: somebody waits for its request, and
    /// where it is a repeat, that would still be known.
    pub fn may_begin(&self, now: Micros, n: usize) -> bool {
        !self.ended && now < self.attempts[n].begin
    }

    pub fn out(&self) -> usize {
        self.attempts.iter().filter(|e| !e.closed).count()
    }
}

/// All requests of one router.
pub struct Lives<T> {
    lives: BTreeMap<RequestId, Life<T>>,
    /// Attempts that are out, by when their time is up. One timer serves all of them: a timer for each
    /// would outlive most attempts by seconds.
    out: BTreeSet<(Micros, RequestId, usize)>,
    /// When that timer fires, where one is set.
    armed: Option<Micros>,
}

impl<T> Default for Lives<T> {
    fn default() -> Self {
        Lives { lives: BTreeMap::new(), out: BTreeSet::new(), armed: None }
    }
}

impl<T> Lives<T> {
    pub fn len(&self) -> usize {
        self.lives.len()
    }

    pub fn is_empty(&self) -> bool {
        self.lives.is_empty()
    }

    /// Jobs that have not ended, and attempts that are out.
    pub fn open(&self) -> (usize, usize) {
        let open = self.lives.values().filter(|l| !l.ended).count();
        (open, self.lives.values().map(Life::out).sum())
    }

    pub fn get(&self, request: RequestId) -> Option<&Life<T>> {
        self.lives.get(&request)
    }

    pub fn get_mut(&mut self, request: RequestId) -> Option<&mut Life<T>> {
        self.lives.get_mut(&request)
    }

    pub fn begin(&mut self, request: RequestId, came: Micros, deadline: Micros, of: T) {
        let life = Life { came, deadline, attempts: Vec::new(), ended: false, timed_out: false, of };
        self.lives.insert(request, life);
    }

    /// Begins an attempt, by its number; none where there is no such request. An error is one that may not go
    /// out: its request has ended, or has had as many as it may.
    pub fn execute(
        &mut self,
        now: Micros,
        request: RequestId,
        server: WorkerId,
        (patience, begin): (Micros, Micros),
        most: usize,
    ) -> Option<Result<usize, usize>> {
        let life = self.lives.get_mut(&request)?;
        let n = life.attempts.len();
        let until = now + patience;
        life.attempts.push(Attempt { server, sent: now, until, begin, link: None, closed: false });
        if life.ended || n >= most {
            return Some(Err(n));
        }
        self.out.insert((until, request, n));
        Some(Ok(n))
    }

    /// When the timer is to fire that leads to `due`, unless one set before fires earlier anyway.
    pub fn arm(&mut self) -> Option<Micros> {
        let until = self.out.first().map(|(until, _, _)| *until)?;
        let earlier = self.armed.is_none_or(|at| until < at);
        earlier.then(|| *self.armed.insert(until))
    }

    /// An attempt whose time is up, each once.
    pub fn due(&mut self, now: Micros) -> Option<(RequestId, usize)> {
        self.armed = self.armed.filter(|at| *at > now);
        let (_, request, n) = *self.out.first().filter(|(until, _, _)| *until <= now)?;
        self.out.pop_first();
        Some((request, n))
    }

    /// Closes an attempt: what the module is to be told of it, once. A request that has ended goes with the
    /// last that is out.
    pub fn close(
        &mut self,
        now: Micros,
        request: RequestId,
        n: usize,
        answer: AttemptResult,
    ) -> Option<AttemptResult> {
        let life = self.lives.get_mut(&request)?;
        let attempt = life.attempts.get_mut(n).filter(|e| !e.closed)?;
        attempt.closed = true;
        self.out.remove(&(attempt.until, request, n));
        let answer = AttemptResult { request_ended: life.ended, elapsed: now - attempt.sent, ..answer };
        self.forget(request);
        Some(answer)
    }

    /// The one end of a request: its record the first time, none after it.
    pub fn end(&mut self, request: RequestId) -> Option<&mut Life<T>> {
        let life = self.lives.get_mut(&request).filter(|l| !l.ended)?;
        life.ended = true;
        Some(life)
    }

    /// Drops a request that nobody waits for and of which nothing was ever sent.
    pub fn drop(&mut self, request: RequestId) {
        self.lives.remove(&request);
    }

    /// Drops a request that has ended and has nothing out.
    pub fn forget(&mut self, request: RequestId) {
        if self.lives.get(&request).is_some_and(|l| l.ended && l.out() == 0) {
            self.lives.remove(&request);
        }
    }
}

/// An attempt's end that no answer tells more about.
pub fn ended(outcome: Outcome) -> AttemptResult {
    AttemptResult {
        outcome,
        request_ended: false,
        elapsed: 0,
        load_state: LoadState::Unreported,
        same_function_in_flight: 0,
        reported_in_flight: None,
        reported_loads: None,
    }
}
