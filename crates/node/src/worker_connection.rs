//! The state of one connection to a model server, which carries many attempts at a time: the attempts in
//! flight, the queue of writes that the kernel has not accepted, and the partially received line.
use applepond::interface::{AttemptResult, Micros, RequestId, WorkerId};
use applepond_gateway::request_table::AttemptId;
use applepond_http::Fault;
use applepond_platform::{call, line};
use std::collections::{BTreeMap, VecDeque};

/// Maximum length of a line: more than twice the largest call's body in base64.
const MAX_LINE_BYTES: usize = 64 * 1024;
/// Length of the request ids sent by this router.
const ID_LENGTH: usize = 16;

/// Number of ids last sent on a connection that are not sent on it again, at 36 bytes each. An answer that is
/// later than this many requests is not told apart.
const MAX_RECENT_IDS: usize = 256;

/// A write that waits for the kernel.
pub(crate) enum QueuedWrite {
    /// The line that runs this attempt. No byte of it has been written, so it can be withdrawn.
    Attempt(AttemptId),
    /// Bytes that must be written: the rest of a line, a cancellation or a health check.
    Bytes(Vec<u8>),
}

/// A connection to a model server.
pub(crate) struct WorkerConnection {
    pub(crate) worker: WorkerId,
    /// Whether the connection is established.
    pub(crate) connected: bool,
    pub(crate) opened_at: Micros,
    /// Whether it accepts no new attempts and is closed once no answer is pending.
    pub(crate) draining: bool,
    /// Attempts of which at least one byte has been sent, as attempt indices by request id.
    pub(crate) in_flight: BTreeMap<RequestId, usize>,
    /// Ids of the last requests sent on the connection, oldest first. Answers carry only the request id, so a
    /// late one would be taken for the answer to a new request with the same id.
    recent_ids: VecDeque<RequestId>,
    pub(crate) queue: VecDeque<QueuedWrite>,
    /// Attempts whose cancellation is in `queue`. They are closed once all of it has been sent.
    pub(crate) cancelling: Vec<AttemptId>,
    /// When a write was last attempted.
    pub(crate) last_used: Micros,
    /// When bytes last arrived.
    pub(crate) last_received: Micros,
    /// When the pending health check was queued, if there is one.
    pub(crate) probed_at: Option<Micros>,
    /// The line that has been received only in part.
    partial_line: Vec<u8>,
    /// Length of the prefix of `partial_line` that contains no line end.
    searched_len: usize,
}

/// A model server's answer to an attempt.
pub(crate) struct WorkerAnswer {
    pub(crate) request: RequestId,
    pub(crate) result: AttemptResult,
    pub(crate) body: Vec<u8>,
}

/// The lines received on a connection, decoded.
#[derive(Default)]
pub(crate) struct Received {
    pub(crate) answers: Vec<WorkerAnswer>,
    /// Whether a health check was answered.
    pub(crate) probe_answered: bool,
}

impl line::LineHandler for Received {
    fn answer(&mut self, id: &str, result: AttemptResult, body: Vec<u8>) {
        // An id of another length was not sent by this router.
        if id.len() == ID_LENGTH {
            self.answers.push(WorkerAnswer { request: call::request_id(id), result, body });
        }
    }

    fn echo_answered(&mut self, _: &str) {
        self.probe_answered = true;
    }
}

impl WorkerConnection {
    /// Creates the state of a connection that is being established.
    pub(crate) fn new(now: Micros, worker: WorkerId) -> Self {
        WorkerConnection {
            worker,
            connected: false,
            opened_at: now,
            draining: false,
            in_flight: BTreeMap::new(),
            recent_ids: VecDeque::new(),
            queue: VecDeque::new(),
            cancelling: Vec::new(),
            last_used: now,
            last_received: now,
            probed_at: None,
            partial_line: Vec::new(),
            searched_len: 0,
        }
    }

    /// Number of attempts on the connection, sent or queued.
    pub(crate) fn load(&self) -> usize {
        let queued = self.queue.iter().filter(|write| matches!(write, QueuedWrite::Attempt(_)));
        self.in_flight.len() + queued.count()
    }

    /// Records an attempt of which the first bytes have been sent.
    pub(crate) fn attempt_sent(&mut self, attempt: AttemptId) {
        self.in_flight.insert(attempt.request, attempt.index);
        if self.recent_ids.len() == MAX_RECENT_IDS {
            self.recent_ids.pop_front();
        }
        self.recent_ids.push_back(attempt.request);
    }

    /// Whether an answer to a request with this id may still arrive on the connection, as one of its last
    /// requests had this id.
    pub(crate) fn has_carried(&self, request: RequestId) -> bool {
        self.recent_ids.contains(&request)
    }

    /// Whether an answer is pending, or a line that cancels an attempt has to be sent.
    pub(crate) fn has_open_attempts(&self) -> bool {
        !self.in_flight.is_empty() || !self.cancelling.is_empty()
    }

    /// Whether the connection has no attempts and nothing to write.
    pub(crate) fn is_idle(&self) -> bool {
        self.load() == 0 && self.queue.is_empty() && !self.has_open_attempts()
    }

    /// Takes the next write from the queue. Attempts stay in it unless `may_start_attempts`.
    pub(crate) fn next_write(&mut self, may_start_attempts: bool) -> Option<QueuedWrite> {
        if may_start_attempts {
            return self.queue.pop_front();
        }
        let position = self.queue.iter().position(|write| matches!(write, QueuedWrite::Bytes(_)))?;
        self.queue.remove(position)
    }

    /// Withdraws an attempt that has not been sent. Returns false if it is not in the queue.
    pub(crate) fn remove_queued(&mut self, attempt: AttemptId) -> bool {
        let is_attempt =
            |write: &QueuedWrite| matches!(write, QueuedWrite::Attempt(queued) if *queued == attempt);
        let position = self.queue.iter().position(is_attempt);
        position.is_some_and(|index| self.queue.remove(index).is_some())
    }

    /// Decodes received bytes into `received`. Lines before an invalid one are kept.
    pub(crate) fn feed(&mut self, bytes: &[u8], received: &mut Received) -> Result<(), Fault> {
        self.partial_line.extend_from_slice(bytes);
        let mut start = 0;
        while let Some(end) = self.partial_line[self.searched_len..].iter().position(|byte| *byte == b'\n') {
            let end = self.searched_len + end;
            let line = &self.partial_line[start..end];
            tracing::trace!(line = %String::from_utf8_lossy(line), "line received");
            let read = line::read(line, received);
            start = end + 1;
            self.searched_len = start;
            read?;
        }
        self.partial_line.drain(..start);
        self.searched_len = self.partial_line.len();
        if self.partial_line.len() > MAX_LINE_BYTES {
            return Err(Fault::new(502, "long-line", "line exceeds the maximum length"));
        }
        if self.partial_line.is_empty() && self.partial_line.capacity() > MAX_LINE_BYTES {
            self.partial_line = Vec::new();
        }
        Ok(())
    }
}
