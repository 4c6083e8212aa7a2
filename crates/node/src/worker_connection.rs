//! Connections to model servers: many attempts on each, their lines as long as the kernel has not taken them,
//! and answers as they come in.
//!
//! Owned here: which attempts a connection has in flight, what waits to be written, and the line that has not
//! arrived completely.
use applepond::interface::{AttemptResult, Micros, RequestId, WorkerId};
use applepond_gateway::request_table::AttemptId;
use applepond_http::Fault;
use applepond_platform::{call, line};
use std::collections::{BTreeMap, VecDeque};

/// Bytes of one answer's line at most: twice what a body of the largest call takes in base64, and some.
const MAX_LINE_BYTES: usize = 64 * 1024;
/// Length of the ids that this router sends.
const ID_LENGTH: usize = 16;

/// What waits to be written.
pub(crate) enum QueuedWrite {
    /// The line that runs this attempt, of which nothing has been written: it can be taken back.
    Attempt(AttemptId),
    /// Bytes that must follow what has been written.
    Bytes(Vec<u8>),
}

/// One connection.
pub(crate) struct WorkerConnection {
    pub(crate) worker: WorkerId,
    /// It is established.
    pub(crate) connected: bool,
    pub(crate) opened_at: Micros,
    /// It carries nothing new any more, and is closed when no answer is due on it.
    pub(crate) draining: bool,
    /// Attempts of which at least a byte has been sent, by request: a model server returns an id only once.
    pub(crate) in_flight: BTreeMap<RequestId, usize>,
    pub(crate) queue: VecDeque<QueuedWrite>,
    /// Attempts that close as soon as all of the queue has been sent: the lines that cancel them wait in it.
    pub(crate) cancelling: Vec<AttemptId>,
    /// When it last had something to write.
    pub(crate) last_used: Micros,
    /// When bytes last arrived.
    pub(crate) last_received: Micros,
    /// When it was sent a health check, until that is answered.
    pub(crate) probed_at: Option<Micros>,
    /// The line that has not arrived completely.
    partial_line: Vec<u8>,
    /// Bytes of it that hold no line end.
    searched: usize,
}

/// An answer to an attempt.
pub(crate) struct WorkerAnswer {
    pub(crate) request: RequestId,
    pub(crate) result: AttemptResult,
    pub(crate) body: Vec<u8>,
}

/// What arrived on a connection, in its order.
#[derive(Default)]
pub(crate) struct Received {
    pub(crate) answers: Vec<WorkerAnswer>,
    /// A health check was answered.
    pub(crate) probe_answered: bool,
}

impl line::LineHandler for Received {
    fn answer(&mut self, id: &str, result: AttemptResult, body: Vec<u8>) {
        // An id of another form was never sent from here.
        if id.len() == ID_LENGTH {
            self.answers.push(WorkerAnswer { request: call::request_id(id), result, body });
        }
    }

    fn echo_answered(&mut self, _: &str) {
        self.probe_answered = true;
    }
}

impl WorkerConnection {
    /// A connection that is being established.
    pub(crate) fn new(now: Micros, worker: WorkerId) -> Self {
        WorkerConnection {
            worker,
            connected: false,
            opened_at: now,
            draining: false,
            in_flight: BTreeMap::new(),
            queue: VecDeque::new(),
            cancelling: Vec::new(),
            last_used: now,
            last_received: now,
            probed_at: None,
            partial_line: Vec::new(),
            searched: 0,
        }
    }

    /// Attempts on it, sent or queued.
    pub(crate) fn load(&self) -> usize {
        let queued = self.queue.iter().filter(|write| matches!(write, QueuedWrite::Attempt(_)));
        self.in_flight.len() + queued.count()
    }

    /// Whether an answer is due on it, or a line that cancels an attempt is to be sent.
    pub(crate) fn has_open_attempts(&self) -> bool {
        !self.in_flight.is_empty() || !self.cancelling.is_empty()
    }

    /// Whether nothing at all depends on it.
    pub(crate) fn is_idle(&self) -> bool {
        self.load() == 0 && self.queue.is_empty() && !self.has_open_attempts()
    }

    /// Takes back an attempt of which nothing has been sent; false where it is not queued.
    pub(crate) fn remove_queued(&mut self, attempt: AttemptId) -> bool {
        let is_attempt =
            |write: &QueuedWrite| matches!(write, QueuedWrite::Attempt(queued) if *queued == attempt);
        let position = self.queue.iter().position(is_attempt);
        position.is_some_and(|index| self.queue.remove(index).is_some())
    }

    /// Reads bytes that have arrived into `received`. What can be read before a fault counts.
    pub(crate) fn feed(&mut self, bytes: &[u8], received: &mut Received) -> Result<(), Fault> {
        self.partial_line.extend_from_slice(bytes);
        let mut start = 0;
        while let Some(end) = self.partial_line[self.searched..].iter().position(|byte| *byte == b'\n') {
            let end = self.searched + end;
            let line = &self.partial_line[start..end];
            tracing::trace!(line = %String::from_utf8_lossy(line), "line received");
            let read = line::read(line, received);
            start = end + 1;
            self.searched = start;
            read?;
        }
        self.partial_line.drain(..start);
        self.searched = self.partial_line.len();
        if self.partial_line.len() > MAX_LINE_BYTES {
            return Err(Fault::new(502, "long-line", "an answer's line does not end"));
        }
        if self.partial_line.is_empty() && self.partial_line.capacity() > MAX_LINE_BYTES {
            self.partial_line = Vec::new();
        }
        Ok(())
    }
}
