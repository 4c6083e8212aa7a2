//! The request table: the state machine of each request and its attempts, independent of the protocol.
//! Invariants: each attempt is closed once, each request ends once, and an ended request is dropped with its
//! last attempt in flight. Shared by the gateway and the platform's node, each of which attaches its own data
//! to a request.
//!
//! State: all requests that have not ended or have attempts in flight, and the attempts in flight ordered by
//! timeout. Inputs: `Control`'s actions, which arrive through [`ActionQueue`], and ends of attempts, which
//! the caller reports with [`RequestTable::close_attempt`].
use applepond::interface::{
    Actions, AttemptResult, LoadState, Micros, Outcome, RequestId, TimerToken, WorkerId,
};
use applepond_reactor::ConnectionId;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Identifies one attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Index into the request's attempts, in the order in which `Control` requested them.
    pub index: usize,
}

/// An attempt requested by `Control`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// The request to send.
    pub request: RequestId,
    /// The worker to send it to.
    pub worker: WorkerId,
    /// Timeout of the attempt, from now.
    pub timeout: Micros,
    /// The time from which on the first byte of the attempt must not be sent.
    pub start_deadline: Micros,
}

/// An action of `Control`, executed after the call to `Control` that queued it has returned.
#[derive(Debug)]
pub enum Action {
    /// Send an attempt.
    Send(Dispatch),
    /// End an attempt from this side.
    Cancel(AttemptId),
    /// Reject a request that has never run, with the delay before a retry, if one is suggested.
    Reject(RequestId, Option<Micros>),
    /// Fail a request that may have run.
    Fail(RequestId),
    /// Call `Control::timer_fired` after the delay.
    SetTimer(Micros, TimerToken),
    /// Write a line to the log.
    Log(String),
    /// Request the endpoint list.
    WatchEndpoints,
}

/// Queue of `Control`'s actions, in order.
#[derive(Default)]
pub struct ActionQueue(VecDeque<Action>);

impl ActionQueue {
    /// Removes and returns the oldest action.
    pub fn pop(&mut self) -> Option<Action> {
        self.0.pop_front()
    }

    /// Whether no action is queued.
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
    /// The worker that it is sent to.
    pub worker: WorkerId,
    /// When `Control` requested it.
    pub sent_at: Micros,
    /// When it times out.
    times_out_at: Micros,
    /// The time from which on its first byte must not be sent.
    start_deadline: Micros,
    /// Its current or last connection.
    pub connection: Option<ConnectionId>,
    /// Its end has been reported to `Control`.
    pub closed: bool,
}

/// The state of one request, from its arrival until its last attempt has closed.
pub struct RequestState<T> {
    /// When it arrived.
    pub arrived_at: Micros,
    /// When its final answer is due.
    pub deadline: Micros,
    /// All its attempts, in the order in which `Control` requested them.
    pub attempts: Vec<Attempt>,
    /// It has been answered, or its answer is no longer needed.
    pub ended: bool,
    /// One of its attempts has timed out.
    pub timed_out: bool,
    /// When the first of its closed attempts that may have been executed was started.
    closed_first_possible_run: Option<Micros>,
    /// Data of the protocol.
    pub data: T,
}

impl<T> RequestState<T> {
    /// Whether an attempt of which nothing has been sent may still be started: its request has not ended, and
    /// its start deadline has not passed. After that, a worker might no longer recognise a retry as a
    /// duplicate of an earlier attempt.
    pub fn may_start(&self, now: Micros, index: usize) -> bool {
        !self.ended && now < self.attempts[index].start_deadline
    }

    /// When the first attempt that may have been executed was started; one that is not closed may be.
    pub fn first_possible_run(&self) -> Option<Micros> {
        let open = self.attempts.iter().filter(|attempt| !attempt.closed).map(|attempt| attempt.sent_at);
        open.chain(self.closed_first_possible_run).min()
    }

    /// Returns the number of attempts that are not closed.
    pub fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| !attempt.closed).count()
    }
}

/// Sizes of a request table, for the state page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenCounts {
    /// Requests that have not ended.
    pub requests: usize,
    /// Attempts in flight.
    pub attempts: usize,
}

/// Result of [`RequestTable::start_attempt`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStart {
    /// The attempt is in flight; the caller must send it.
    InFlight(AttemptId),
    /// The request has ended or has reached its limit of attempts; the caller must close the attempt without
    /// sending it.
    Refused(AttemptId),
}

/// All requests of one router.
pub struct RequestTable<T> {
    requests: BTreeMap<RequestId, RequestState<T>>,
    /// Attempts in flight, ordered by timeout. All share one timer, as most attempts end seconds before their
    /// timeout and individual timers would accumulate.
    by_timeout: BTreeSet<(Micros, AttemptId)>,
    /// When that timer fires, if it is set.
    timer_at: Option<Micros>,
}

impl<T> Default for RequestTable<T> {
    fn default() -> Self {
        RequestTable { requests: BTreeMap::new(), by_timeout: BTreeSet::new(), timer_at: None }
    }
}

impl<T> RequestTable<T> {
    /// Returns the number of requests that have not ended or have attempts in flight.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request is in the table.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Counts the requests that have not ended and the attempts in flight.
    pub fn open_counts(&self) -> OpenCounts {
        OpenCounts {
            requests: self.requests.values().filter(|request| !request.ended).count(),
            attempts: self.requests.values().map(RequestState::in_flight).sum(),
        }
    }

    /// Returns the state of a request.
    pub fn get(&self, request: RequestId) -> Option<&RequestState<T>> {
        self.requests.get(&request)
    }

    /// Returns the state of a request.
    pub fn get_mut(&mut self, request: RequestId) -> Option<&mut RequestState<T>> {
        self.requests.get_mut(&request)
    }

    /// Adds a request.
    pub fn insert(&mut self, request: RequestId, arrived_at: Micros, deadline: Micros, data: T) {
        let state = RequestState {
            arrived_at,
            deadline,
            attempts: Vec::new(),
            ended: false,
            timed_out: false,
            closed_first_possible_run: None,
            data,
        };
        self.requests.insert(request, state);
    }

    /// Adds an attempt requested by `Control`; returns `None` if the request is not in the table.
    pub fn start_attempt(
        &mut self,
        now: Micros,
        dispatch: &Dispatch,
        max_attempts: usize,
    ) -> Option<AttemptStart> {
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
            return Some(AttemptStart::Refused(id));
        }
        self.by_timeout.insert((times_out_at, id));
        Some(AttemptStart::InFlight(id))
    }

    /// Returns the time at which the caller must call [`Self::pop_timed_out`], or `None` if a timer returned
    /// earlier fires soon enough.
    pub fn next_timer(&mut self) -> Option<Micros> {
        let first = self.by_timeout.first().map(|(times_out_at, _)| *times_out_at)?;
        let is_earlier = self.timer_at.is_none_or(|at| first < at);
        is_earlier.then(|| *self.timer_at.insert(first))
    }

    /// Removes and returns an attempt that has timed out, if any.
    pub fn pop_timed_out(&mut self, now: Micros) -> Option<AttemptId> {
        self.timer_at = self.timer_at.filter(|at| *at > now);
        let (_, id) = *self.by_timeout.first().filter(|(times_out_at, _)| *times_out_at <= now)?;
        self.by_timeout.pop_first();
        Some(id)
    }

    /// Closes an attempt and returns the result to be reported to `Control`, or `None` if the attempt is
    /// closed already. An ended request is dropped with its last attempt in flight.
    pub fn close_attempt(
        &mut self,
        now: Micros,
        id: AttemptId,
        result: AttemptResult,
    ) -> Option<AttemptResult> {
        let request = self.requests.get_mut(&id.request)?;
        let attempt = request.attempts.get_mut(id.index).filter(|attempt| !attempt.closed)?;
        attempt.closed = true;
        if result.outcome.may_have_run() {
            let first = request.closed_first_possible_run.get_or_insert(attempt.sent_at);
            *first = attempt.sent_at.min(*first);
        }
        self.by_timeout.remove(&(attempt.times_out_at, id));
        let elapsed = now - attempt.sent_at;
        let result = AttemptResult { request_ended: request.ended, elapsed, ..result };
        self.remove_if_done(id.request);
        Some(result)
    }

    /// Marks a request as ended and returns its state, or `None` if it has ended already.
    pub fn end(&mut self, request: RequestId) -> Option<&mut RequestState<T>> {
        let state = self.requests.get_mut(&request).filter(|state| !state.ended)?;
        state.ended = true;
        Some(state)
    }

    /// Drops a request that was never sent and whose clients have all disconnected.
    pub fn remove(&mut self, request: RequestId) {
        self.requests.remove(&request);
    }

    /// Drops a request if it has ended and has no attempt in flight.
    pub fn remove_if_done(&mut self, request: RequestId) {
        if self.requests.get(&request).is_some_and(|state| state.ended && state.in_flight() == 0) {
            self.requests.remove(&request);
        }
    }
}

/// Returns an attempt result with an outcome only, for attempts without a response.
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
