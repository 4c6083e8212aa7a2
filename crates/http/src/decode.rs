//! Incremental decoder of HTTP/1.1 messages, for both sides.
use crate::Fault;
use crate::framing::{Framing, chunk_size, keeps_alive};

/// Header fields of one message at most: far above what clients send, and httparse needs a fixed table.
const MAX_FIELDS: usize = 96;
/// Bytes of one chunk-size line at most, extensions and all: they carry nothing for us.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// Receives the parts of messages: for each a head, the body in pieces, the end. A fault ends the decoding.
pub trait Visitor {
    /// A request's head (RFC 9112, section 3).
    ///
    /// # Errors
    /// Why the visitor does not accept the request.
    fn request(&mut self, method: &str, target: &str, fields: &Fields<'_>) -> Result<(), Fault>;
    /// A response's head (RFC 9112, section 4). Interim ones (1xx) are passed over.
    ///
    /// # Errors
    /// Why the visitor does not accept the response.
    fn response(&mut self, status: u16, fields: &Fields<'_>) -> Result<(), Fault>;
    /// A piece of the body.
    ///
    /// # Errors
    /// Why the visitor does not accept the body.
    fn body(&mut self, bytes: &[u8]) -> Result<(), Fault>;
    /// The message is complete. `keep_alive` is whether the sender lets the connection persist for another
    /// one.
    ///
    /// # Errors
    /// Why the visitor does not accept the message as a whole.
    fn end(&mut self, keep_alive: bool) -> Result<(), Fault>;
}

/// The header fields of one head.
pub struct Fields<'a>(&'a [httparse::Header<'a>]);

impl<'a> Fields<'a> {
    /// The first value under this name, compared without regard to case; none where it is not UTF-8.
    pub fn get(&self, name: &str) -> Option<&'a str> {
        self.all(name).next().and_then(|value| std::str::from_utf8(value).ok())
    }

    /// All values under this name, in their order.
    pub(crate) fn all(&self, name: &str) -> impl Iterator<Item = &'a [u8]> {
        self.0.iter().filter(move |field| field.name.eq_ignore_ascii_case(name)).map(|field| field.value)
    }

    /// Names and values as they came, in their order.
    pub fn iter(&self) -> impl Iterator<Item = (&'a str, &'a [u8])> {
        self.0.iter().map(|field| (field.name, field.value))
    }

    /// Whether a comma-separated list under this name holds the word.
    pub fn lists(&self, name: &str, word: &str) -> bool {
        let texts = self.all(name).filter_map(|value| std::str::from_utf8(value).ok());
        texts.flat_map(|text| text.split(',')).any(|item| item.trim().eq_ignore_ascii_case(word))
    }
}

/// Which side of HTTP the decoder stands on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Decodes requests.
    Server,
    /// Decodes responses.
    Client,
}

/// The outcome of one `step`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The message is not complete: more bytes are needed.
    More,
    /// A message ended. What came after it waits in the decoder for the next `step`.
    Done,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Before a head or inside of it.
    Head,
    /// In a body of which so many bytes are left.
    Sized(u64),
    /// Before a chunk-size line.
    ChunkSize,
    /// In a chunk of which so many bytes are left.
    Chunk(u64),
    /// Before the line end after a chunk's data.
    ChunkEnd,
    /// In the trailer section.
    Trailers,
    /// In a body that ends with the connection.
    UntilClose,
}

/// The outcome of decoding one element of a message.
enum Progress {
    /// The next element may be there.
    GoOn,
    /// The element is not complete.
    NeedsBytes,
    /// The message is complete.
    MessageEnds,
}

/// What a head says of what follows it.
struct Head {
    framing: Framing,
    keep_alive: bool,
}

/// One connection's decoder. It holds at most the undecoded bytes handed in; its owner stops reading when
/// `waiting` passes its bound.
pub struct Decoder {
    side: Side,
    max_head_bytes: usize,
    max_body_bytes: u64,
    buffer: Vec<u8>,
    /// Where the undecoded bytes begin in the buffer.
    start: usize,
    /// Bytes of the buffer already searched for the end of the head or line, so that a byte at a time costs
    /// no more than all at once.
    searched: usize,
    state: State,
    /// The sender of the present message lets the connection persist.
    keep_alive: bool,
    /// Bytes of the present body so far.
    body_bytes: u64,
}

impl Decoder {
    /// A decoder for a new connection. A message whose head or body passes its bound is a fault (431, 413).
    pub fn new(side: Side, max_head_bytes: usize, max_body_bytes: u64) -> Self {
        Decoder {
            side,
            max_head_bytes,
            max_body_bytes,
            buffer: Vec::new(),
            start: 0,
            searched: 0,
            state: State::Head,
            keep_alive: true,
            body_bytes: 0,
        }
    }

    /// Hands in bytes as they were read.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.start > 0 && self.start == self.buffer.len() {
            self.buffer.clear();
            self.start = 0;
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// Bytes handed in and not yet decoded.
    pub fn waiting(&self) -> usize {
        self.buffer.len() - self.start
    }

    /// Whether it stands between two messages, with nothing of the next one here.
    pub fn idle(&self) -> bool {
        self.state == State::Head && self.waiting() == 0
    }

    /// Whether a head has been visited and its body is not complete yet.
    pub fn in_body(&self) -> bool {
        self.state != State::Head
    }

    fn undecoded(&self) -> &[u8] {
        &self.buffer[self.start..]
    }

    /// Drops bytes that have been decoded, and gives memory back where there is much of it.
    fn consume(&mut self, count: usize) {
        self.start += count;
        self.searched = 0;
        if self.start == self.buffer.len() {
            self.buffer.clear();
            self.start = 0;
        } else if self.start > self.buffer.len() / 2 {
            self.buffer.drain(..self.start);
            self.start = 0;
        }
        if self.buffer.is_empty() && self.buffer.capacity() > self.max_head_bytes {
            self.buffer = Vec::new();
        }
    }

    /// Decodes until one message ends or bytes run out.
    ///
    /// # Errors
    /// A message that breaks the protocol or a bound, or the visitor's own fault. Afterwards the connection
    /// is of no more use.
    pub fn step(&mut self, visitor: &mut dyn Visitor) -> Result<Step, Fault> {
        loop {
            let progress = match self.state {
                State::Head => self.step_head(visitor)?,
                State::Sized(left) => self.step_sized(left, visitor)?,
                State::UntilClose => {
                    self.pass_body(u64::MAX, visitor)?;
                    Progress::NeedsBytes
                }
                State::ChunkSize => self.step_chunk_size()?,
                State::Chunk(left) => self.step_chunk(left, visitor)?,
                State::ChunkEnd => self.step_chunk_end()?,
                State::Trailers => self.step_trailers()?,
            };
            match progress {
                Progress::GoOn => {}
                Progress::NeedsBytes => return Ok(Step::More),
                Progress::MessageEnds => {
                    self.end_message(visitor)?;
                    return Ok(Step::Done);
                }
            }
        }
    }

    fn step_head(&mut self, visitor: &mut dyn Visitor) -> Result<Progress, Fault> {
        let Some(length) = self.head_length()? else { return Ok(Progress::NeedsBytes) };
        let has_body = self.decode_head(length, visitor)?;
        Ok(if has_body { Progress::GoOn } else { Progress::MessageEnds })
    }

    fn step_sized(&mut self, left: u64, visitor: &mut dyn Visitor) -> Result<Progress, Fault> {
        let passed = self.pass_body(left, visitor)?;
        self.state = State::Sized(left - passed);
        Ok(match passed {
            _ if passed == left => Progress::MessageEnds,
            0 => Progress::NeedsBytes,
            _ => Progress::GoOn,
        })
    }

    fn step_chunk_size(&mut self) -> Result<Progress, Fault> {
        let Some(line) = self.line_length(MAX_CHUNK_LINE_BYTES)? else { return Ok(Progress::NeedsBytes) };
        let size = chunk_size(&self.undecoded()[..line])?;
        if self.body_bytes.saturating_add(size) > self.max_body_bytes {
            return Err(self.body_too_large());
        }
        self.consume(line);
        self.state = if size == 0 { State::Trailers } else { State::Chunk(size) };
        Ok(Progress::GoOn)
    }

    fn step_chunk(&mut self, left: u64, visitor: &mut dyn Visitor) -> Result<Progress, Fault> {
        let passed = self.pass_body(left, visitor)?;
        self.state = if passed == left { State::ChunkEnd } else { State::Chunk(left - passed) };
        Ok(if passed == 0 { Progress::NeedsBytes } else { Progress::GoOn })
    }

    fn step_chunk_end(&mut self) -> Result<Progress, Fault> {
        match self.undecoded() {
            [] | [b'\r'] => Ok(Progress::NeedsBytes),
            [b'\r', b'\n', ..] => {
                self.consume(2);
                self.state = State::ChunkSize;
                Ok(Progress::GoOn)
            }
            _ => Err(Fault::new(400, "bad-chunk", "a chunk does not end where its size says")),
        }
    }

    /// Trailer fields are read over: nothing here needs them.
    fn step_trailers(&mut self) -> Result<Progress, Fault> {
        let Some(line) = self.line_length(self.max_head_bytes)? else { return Ok(Progress::NeedsBytes) };
        let empty = matches!(&self.undecoded()[..line], b"\r\n" | b"\n");
        self.consume(line);
        Ok(if empty { Progress::MessageEnds } else { Progress::GoOn })
    }

    /// The peer ended its side, which ends a message without a length.
    ///
    /// # Errors
    /// A message that is not complete, or the visitor's own fault.
    pub fn finish(&mut self, visitor: &mut dyn Visitor) -> Result<(), Fault> {
        match self.state {
            State::UntilClose => self.end_message(visitor),
            State::Head if self.undecoded().iter().all(|byte| matches!(byte, b'\r' | b'\n')) => Ok(()),
            _ => Err(Fault::new(400, "cut-short", "the connection ended inside a message")),
        }
    }

    fn end_message(&mut self, visitor: &mut dyn Visitor) -> Result<(), Fault> {
        self.state = State::Head;
        self.body_bytes = 0;
        visitor.end(self.keep_alive)
    }

    fn body_too_large(&self) -> Fault {
        Fault::new(413, "body-too-large", format!("a body may have {} bytes", self.max_body_bytes))
    }

    /// Hands the visitor what is here of the body, up to `limit` bytes; returns how many that were.
    fn pass_body(&mut self, limit: u64, visitor: &mut dyn Visitor) -> Result<u64, Fault> {
        let count = limit.min(self.waiting() as u64);
        self.body_bytes += count;
        if self.body_bytes > self.max_body_bytes {
            return Err(self.body_too_large());
        }
        if count > 0 {
            visitor.body(&self.buffer[self.start..self.start + count as usize])?;
            self.consume(count as usize);
        }
        Ok(count)
    }

    /// Length of the next line with its end, once it is here.
    fn line_length(&mut self, limit: usize) -> Result<Option<usize>, Fault> {
        let from = self.searched;
        let found = memchr::memchr(b'\n', &self.undecoded()[from..]).map(|at| from + at + 1);
        self.searched = if found.is_some() { 0 } else { self.waiting() };
        if found.unwrap_or(self.waiting()) > limit {
            return Err(Fault::new(
                400,
                "long-line",
                format!("a line of a chunked body may have {limit} bytes"),
            ));
        }
        Ok(found)
    }

    /// Length of the head with its empty line, once it is here.
    fn head_length(&mut self) -> Result<Option<usize>, Fault> {
        let undecoded = self.undecoded();
        // Empty lines before a request are passed over (RFC 9112, section 2.2).
        let lead = undecoded.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
        let from = self.searched.max(lead);
        let is_empty_line =
            |at: &usize| undecoded[..*at].ends_with(b"\n") || undecoded[..*at].ends_with(b"\n\r");
        let line_ends = memchr::memchr_iter(b'\n', &undecoded[from..]).map(|at| from + at);
        let found = line_ends.filter(|at| *at > lead).find(is_empty_line).map(|at| at + 1);
        let length = found.unwrap_or(undecoded.len());
        self.searched = if found.is_some() { 0 } else { undecoded.len() };
        if length > self.max_head_bytes {
            let detail = format!("a head may have {} bytes", self.max_head_bytes);
            return Err(Fault::new(431, "head-too-large", detail));
        }
        Ok(found)
    }

    /// Decodes a complete head; false where the message ends with it. An interim response is none: the
    /// message goes on with another head.
    fn decode_head(&mut self, length: usize, visitor: &mut dyn Visitor) -> Result<bool, Fault> {
        let head = match self.side {
            Side::Server => self.decode_request(length, visitor)?,
            Side::Client => self.decode_response(length, visitor)?,
        };
        self.consume(length);
        let Some(head) = head else { return Ok(true) };
        self.keep_alive = head.keep_alive;
        self.state = match head.framing {
            Framing::Length(size) => State::Sized(size),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        Ok(head.framing != Framing::Length(0))
    }

    fn decode_request(&self, length: usize, visitor: &mut dyn Visitor) -> Result<Option<Head>, Fault> {
        let mut table = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut head = httparse::Request::new(&mut table);
        head.parse(&self.undecoded()[..length]).map_err(head_fault)?;
        let (Some(method), Some(target), Some(version)) = (head.method, head.path, head.version) else {
            return Err(Fault::new(400, "bad-head", "the request line is not whole"));
        };
        let fields = Fields(head.headers);
        // A request must name its host exactly once (RFC 9112, section 3.2).
        if version == 1 && fields.all("host").count() != 1 {
            return Err(Fault::new(400, "bad-host", "one Host field is wanted"));
        }
        let framing = Framing::read(&fields)?.unwrap_or(Framing::Length(0));
        // The length is looked at first: a body that is too large is not begun.
        if let Framing::Length(size) = framing
            && size > self.max_body_bytes
        {
            return Err(self.body_too_large());
        }
        let keep_alive = keeps_alive(version, &fields);
        visitor.request(method, target, &fields)?;
        Ok(Some(Head { framing, keep_alive }))
    }

    /// None for an interim response, which is passed over.
    fn decode_response(&self, length: usize, visitor: &mut dyn Visitor) -> Result<Option<Head>, Fault> {
        let mut table = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut head = httparse::Response::new(&mut table);
        head.parse(&self.undecoded()[..length]).map_err(head_fault)?;
        let (Some(status), Some(version)) = (head.code, head.version) else {
            return Err(Fault::new(400, "bad-head", "the status line is not whole"));
        };
        if (100..200).contains(&status) {
            return Ok(None);
        }
        let fields = Fields(head.headers);
        let bodyless = matches!(status, 204 | 304);
        let framing = if bodyless {
            Framing::Length(0)
        } else {
            Framing::read(&fields)?.unwrap_or(Framing::UntilClose)
        };
        let keep_alive = keeps_alive(version, &fields) && framing != Framing::UntilClose;
        visitor.response(status, &fields)?;
        Ok(Some(Head { framing, keep_alive }))
    }
}

fn head_fault(error: httparse::Error) -> Fault {
    match error {
        httparse::Error::TooManyHeaders => {
            Fault::new(431, "head-too-large", format!("a head may have {MAX_FIELDS} fields"))
        }
        httparse::Error::Version => Fault::new(505, "bad-version", "HTTP/1.1 is spoken here"),
        error => Fault::new(400, "bad-head", format!("the head cannot be read: {error}")),
    }
}
