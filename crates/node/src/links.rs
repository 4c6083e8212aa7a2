//! Connections to model servers: many attempts on each, their lines as long as the kernel has not taken
//! them, and answers as they come in.
use applepond::interface::{AttemptResult, Micros, RequestId, WorkerId};
use applepond_gateway::request_table::AttemptId;
use applepond_http::Fault;
use applepond_platform::{call, line};
use std::collections::{BTreeMap, VecDeque};

/// Bytes of one answer's line at most: twice what a body of the largest call takes in base64, and some.
const LINE_MOST: usize = 64 * 1024;

/// What waits to be written.
pub enum Item {
    /// The line that runs this attempt, not begun yet: it can be taken back.
    Run(AttemptId),
    /// Bytes that must follow what is written already.
    Rest(Vec<u8>),
}

/// One connection.
pub struct Link {
    pub server: WorkerId,
    pub open: bool,
    pub since: Micros,
    /// It carries nothing new any more and goes when it owes nothing.
    pub parted: bool,
    /// Attempts of which at least a byte has left, by request: a model server gives back an id but once.
    pub out: BTreeMap<RequestId, usize>,
    pub queue: VecDeque<Item>,
    /// Attempts that close as soon as all of the queue has left: the words that give them up wait in it.
    pub given_up: Vec<AttemptId>,
    /// When it last had something to do.
    pub busy: Micros,
    /// When bytes last came.
    pub heard: Micros,
    /// When it was asked whether it works, until it says so.
    pub asked: Option<Micros>,
    partial: Vec<u8>,
    searched: usize,
}

/// What came on a connection, in its order.
#[derive(Default)]
pub struct Came {
    pub answers: Vec<(RequestId, AttemptResult, Vec<u8>)>,
    pub works: bool,
}

impl line::Words for Came {
    fn answer(&mut self, id: &str, answer: AttemptResult, body: Vec<u8>) {
        // An id of another form was never sent: it belongs to nobody here.
        if id.len() == 16 {
            self.answers.push((call::request_id(id), answer, body));
        }
    }
    fn works(&mut self, _: &str) {
        self.works = true;
    }
}

impl Link {
    pub fn new(now: Micros, server: WorkerId) -> Self {
        Link {
            server,
            open: false,
            since: now,
            parted: false,
            out: BTreeMap::new(),
            queue: VecDeque::new(),
            given_up: Vec::new(),
            busy: now,
            heard: now,
            asked: None,
            partial: Vec::new(),
            searched: 0,
        }
    }

    /// Attempts on it, written or not.
    pub fn load(&self) -> usize {
        self.out.len() + self.queue.iter().filter(|i| matches!(i, Item::Run(..))).count()
    }

    /// Whether an answer is awaited on it, or that the word that gives one up leaves.
    pub fn owes(&self) -> bool {
        !self.out.is_empty() || !self.given_up.is_empty()
    }

    /// Whether nobody would miss it.
    pub fn idle(&self) -> bool {
        self.load() == 0 && self.queue.is_empty() && !self.owes()
    }

    /// Takes an attempt back of which nothing has left.
    pub fn take_back(&mut self, attempt: AttemptId) -> bool {
        let waits = |i: &Item| matches!(i, Item::Run(queued) if *queued == attempt);
        let found = self.queue.iter().position(waits);
        found.is_some_and(|at| self.queue.remove(at).is_some())
    }

    /// Reads what came. What can be read before a fault counts.
    pub fn feed(&mut self, bytes: &[u8], came: &mut Came) -> Result<(), Fault> {
        self.partial.extend_from_slice(bytes);
        let mut start = 0;
        while let Some(end) = self.partial[self.searched..].iter().position(|b| *b == b'\n') {
            let end = self.searched + end;
            tracing::trace!(line = %String::from_utf8_lossy(&self.partial[start..end]), "came");
            let read = line::read(&self.partial[start..end], came);
            start = end + 1;
            self.searched = start;
            read?;
        }
        self.partial.drain(..start);
        self.searched = self.partial.len();
        if self.partial.len() > LINE_MOST {
            return Err(Fault::new(502, "long-line", "an answer's line does not end"));
        }
        if self.partial.is_empty() && self.partial.capacity() > LINE_MOST {
            self.partial = Vec::new();
        }
        Ok(())
    }
}
