//! The request table: the state machine of each request and its attempts, whatever protocol they travel by. A
//! request starts once, each attempt closes once, a request ends once, and it is dropped with the last
//! attempt in flight. Shared by the gateway and the platform's node, each with data of its own beside a
//! request.
//!
//! Owned here: all requests that have not ended or have attempts in flight, and the queue of attempts by
//! timeout. Events: `Control`'s actions, which arrive through [`ActionQueue`], and the ends of attempts,
//! which the machine reports with [`RequestTable::close_attempt`].
use applepond::interface::{
    Actions, AttemptResult, LoadState, Micros, Outcome, RequestId, TimerToken, WorkerId,
};
use applepond_reactor::Conn;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// One attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Index into the request's attempts, in the order in which `Control` ordered them.
    pub index: usize,
}

/// An attempt that `Control` orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// The request to send.
    pub request: RequestId,
    /// Where to send it.
    pub worker: WorkerId,
    /// Time from now after which the attempt has timed out.
    pub timeout: Micros,
    /// The moment from which on no first byte of it may be sent any more.
    pub start_deadline: Micros,
}

/// One action that `Control` ordered, to be carried out when its call has returned.
#[derive(Debug)]
pub enum Action {
    /// Send an attempt.
    Send(Dispatch),
    /// End an attempt from this side.
    Cancel(AttemptId),
    /// Answer a request that has never run; with the time after which a retry is welcome, where one is given.
    Reject(RequestId, Option<Micros>),
    /// Answer a request that may have run.
    Fail(RequestId),
    /// Call `Control::timer_fired` after the delay.
    SetTimer(Micros, TimerToken),
    /// Write a line to the log.
    Log(String),
    /// Ask for the endpoint list.
    WatchEndpoints,
}

/// `Control`'s actions in their order.
#[derive(Default)]
pub struct ActionQueue(VecDeque<Action>);

impl ActionQueue {
    /// Takes the oldest action.
    pub fn pop(&mut self) -> Option<Action> {
        self.0.pop_front()
    }

    /// Whether there is nothing to carry out.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl Actions for ActionQueue {
    fn send(&mut self, request: RequestId, worker: WorkerId, timeout: Micros, start_deadline: Micros) {
        self.0.push_back(Action::Send(Dispatch { request, worker, timeout, start_deadline }));
    }
    fn cancel(&mut self, request: RequestId, index: usize) {
        self.0.push_back(Action::Cancel(AttemptId { request, index }));
    }
    fn reject(&mut self, request: RequestId, retry_after: Option<Micros>) {
        self.0.push_back(Action::Reject(request, retry_after));
    }
    fn fail(&mut self, request: RequestId) {
        self.0.push_back(Action::Fail(request));
    }
    fn set_timer(&mut self, delay: Micros, token: TimerToken) {
        self.0.push_back(Action::SetTimer(delay, token));
    }
    fn log(&mut self, text: &str) {
        self.0.push_back(Action::Log(text.to_owned()));
    }
    fn watch_endpoints(&mut self) {
        self.0.push_back(Action::WatchEndpoints);
    }
}

/// The state of one attempt.
pub struct Attempt {
    /// The worker that it was sent to.
    pub worker: WorkerId,
    /// When `Control` ordered it.
    pub sent_at: Micros,
    /// When its timeout is over.
    times_out_at: Micros,
    /// The moment from which on no first byte of it may be sent any more.
    start_deadline: Micros,
    /// The connection that it is on, or was on last.
    pub connection: Option<Conn>,
    /// Its end has been reported to `Control`.
    pub closed: bool,
}

/// The state of one request, from its arrival until its last attempt has closed.
pub struct RequestState<T> {
    /// When it arrived.
    pub arrived_at: Micros,
    /// When its final answer is due.
    pub deadline: Micros,
    /// All its attempts, in the order in which they were ordered.
    pub attempts: Vec<Attempt>,
    /// It has had its final answer, or nobody waits for one.
    pub ended: bool,
    /// One of its attempts has timed out.
    pub timed_out: bool,
    /// What the protocol keeps of it.
    pub data: T,
}

impl<T> RequestState<T> {
    /// Whether an attempt of which nothing has been sent may still start: somebody waits for its request, and
    /// where it repeats an earlier attempt, the worker would still recognise it as a repeat.
    pub fn may_start(&self, now: Micros, index: usize) -> bool {
        !self.ended && now < self.attempts[index].start_deadline
    }

    /// Attempts that have not closed.
    pub fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| !attempt.closed).count()
    }
}

/// Counts of a table, for the state page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenCounts {
    /// Requests that have not ended.
    pub requests: usize,
    /// Attempts in flight.
    pub attempts: usize,
}

/// What became of an attempt that `Control` ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Started {
    /// It is in flight, and is to be sent.
    InFlight(AttemptId),
    /// It must not be sent, as its request has ended or has had as many attempts as it may; it is to be
    /// closed.
    Refused(AttemptId),
}

/// All requests of one router.
pub struct RequestTable<T> {
    requests: BTreeMap<RequestId, RequestState<T>>,
    /// Attempts in flight by the end of their timeout. One timer serves all of them: a timer for each would
    /// outlive most attempts by seconds.
    by_timeout: BTreeSet<(Micros, AttemptId)>,
    /// When that timer fires, where one is set.
    timer_at: Option<Micros>,
}

impl<T> Default for RequestTable<T> {
    fn default() -> Self {
        RequestTable { requests: BTreeMap::new(), by_timeout: BTreeSet::new(), timer_at: None }
    }
}

impl<T> RequestTable<T> {
    /// Requests in the table: those that have not ended, and those with attempts in flight.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request is open and no attempt is in flight.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Counts what is open.
    pub fn open_counts(&self) -> OpenCounts {
        OpenCounts {
            requests: self.requests.values().filter(|request| !request.ended).count(),
            attempts: self.requests.values().map(RequestState::in_flight).sum(),
        }
    }

    /// The state of a request.
    pub fn get(&self, request: RequestId) -> Option<&RequestState<T>> {
        self.requests.get(&request)
    }

    /// The state of a request.
    pub fn get_mut(&mut self, request: RequestId) -> Option<&mut RequestState<T>> {
        self.requests.get_mut(&request)
    }

    /// Adds a request that has just arrived.
    pub fn insert(&mut self, request: RequestId, arrived_at: Micros, deadline: Micros, data: T) {
        let state =
            RequestState { arrived_at, deadline, attempts: Vec::new(), ended: false, timed_out: false, data };
        self.requests.insert(request, state);
    }

    /// Adds an attempt that `Control` orders; none where the request is not in the table.
    pub fn start_attempt(
        &mut self,
        now: Micros,
        dispatch: &Dispatch,
        max_attempts: usize,
    ) -> Option<Started> {
        let request = self.requests.get_mut(&dispatch.request)?;
        let id = AttemptId { request: dispatch.request, index: request.attempts.len() };
        let times_out_at = now + dispatch.timeout;
        request.attempts.push(Attempt {
            worker: dispatch.worker,
            sent_at: now,
            times_out_at,
            start_deadline: dispatch.start_deadline,
            connection: None,
            closed: false,
        });
        if request.ended || id.index >= max_attempts {
            return Some(Started::Refused(id));
        }
        self.by_timeout.insert((times_out_at, id));
        Some(Started::InFlight(id))
    }

    /// The moment for which the caller is to set a timer that leads to [`Self::pop_timed_out`]; none where
    /// one that is set already fires early enough.
    pub fn next_timer(&mut self) -> Option<Micros> {
        let first = self.by_timeout.first().map(|(times_out_at, _)| *times_out_at)?;
        let is_earlier = self.timer_at.is_none_or(|at| first < at);
        is_earlier.then(|| *self.timer_at.insert(first))
    }

    /// An attempt whose timeout is over; each is handed out once.
    pub fn pop_timed_out(&mut self, now: Micros) -> Option<AttemptId> {
        self.timer_at = self.timer_at.filter(|at| *at > now);
        let (_, id) = *self.by_timeout.first().filter(|(times_out_at, _)| *times_out_at <= now)?;
        self.by_timeout.pop_first();
        Some(id)
    }

    /// Closes an attempt. Gives what `Control` is to be told of it, the first time only. A request that has
    /// ended is dropped with its last attempt in flight.
    pub fn close_attempt(
        &mut self,
        now: Micros,
        id: AttemptId,
        result: AttemptResult,
    ) -> Option<AttemptResult> {
        let request = self.requests.get_mut(&id.request)?;
        let attempt = request.attempts.get_mut(id.index).filter(|attempt| !attempt.closed)?;
        attempt.closed = true;
        self.by_timeout.remove(&(attempt.times_out_at, id));
        let elapsed = now - attempt.sent_at;
        let result = AttemptResult { request_ended: request.ended, elapsed, ..result };
        self.remove_if_done(id.request);
        Some(result)
    }

    /// Marks a request as ended: its state the first time, none after that.
    pub fn end(&mut self, request: RequestId) -> Option<&mut RequestState<T>> {
        let state = self.requests.get_mut(&request).filter(|state| !state.ended)?;
        state.ended = true;
        Some(state)
    }

    /// Drops a request that nobody waits for and of which nothing was ever sent.
    pub fn remove(&mut self, request: RequestId) {
        self.requests.remove(&request);
    }

    /// Drops a request that has ended and has no attempt in flight.
    pub fn remove_if_done(&mut self, request: RequestId) {
        if self.requests.get(&request).is_some_and(|state| state.ended && state.in_flight() == 0) {
            self.requests.remove(&request);
        }
    }
}

/// The result of an attempt of which no response tells more than its outcome.
pub fn attempt_result(outcome: Outcome) -> AttemptResult {
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
