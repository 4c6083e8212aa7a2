//! Incremental decoder of HTTP/1.1 requests and responses.
use crate::Fault;
use crate::framing::{Framing, chunk_size, keeps_alive};

/// Limit of the header fields of one message, as httparse needs a table of fixed size. Clients send far
/// fewer.
const MAX_FIELDS: usize = 96;
/// Limit of a chunk-size line in bytes, including chunk extensions, which are ignored.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// Receives the parts of each message: the head, the body in pieces, the end. Returning a fault ends the
/// decoding.
pub trait Visitor {
    /// A request's head (RFC 9112, section 3).
    ///
    /// # Errors
    /// The reason for which the visitor rejects the request.
    fn request(&mut self, method: &str, target: &str, fields: &Fields<'_>) -> Result<(), Fault>;
    /// A response's head (RFC 9112, section 4). Interim responses (1xx) are skipped.
    ///
    /// # Errors
    /// The reason for which the visitor rejects the response.
    fn response(&mut self, status: u16, fields: &Fields<'_>) -> Result<(), Fault>;
    /// A piece of the body.
    ///
    /// # Errors
    /// The reason for which the visitor rejects the body.
    fn body(&mut self, bytes: &[u8]) -> Result<(), Fault>;
    /// The message is complete. `keep_alive` is whether the sender allows the connection to be reused.
    ///
    /// # Errors
    /// The reason for which the visitor rejects the message.
    fn end(&mut self, keep_alive: bool) -> Result<(), Fault>;
}

/// The header fields of one message.
pub struct Fields<'a>(&'a [httparse::Header<'a>]);

impl<'a> Fields<'a> {
    /// The first value of this field, whose name is compared without regard to case; `None` if it is absent
    /// or not UTF-8.
    pub fn get(&self, name: &str) -> Option<&'a str> {
        self.values(name).next().and_then(|value| std::str::from_utf8(value).ok())
    }

    /// All values of this field, in order.
    pub(crate) fn values(&self, name: &str) -> impl Iterator<Item = &'a [u8]> {
        self.0.iter().filter(move |field| field.name.eq_ignore_ascii_case(name)).map(|field| field.value)
    }

    /// Names and values as received, in order.
    pub fn iter(&self) -> impl Iterator<Item = (&'a str, &'a [u8])> {
        self.0.iter().map(|field| (field.name, field.value))
    }

    /// Whether a field of this name, read as a comma-separated list, contains `word` in any case.
    pub fn list_contains(&self, name: &str, word: &str) -> bool {
        let texts = self.values(name).filter_map(|value| std::str::from_utf8(value).ok());
        texts.flat_map(|text| text.split(',')).any(|item| item.trim().eq_ignore_ascii_case(word))
    }
}

/// The side of the connection that the decoder is used on.
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
    /// More bytes are needed to complete the message.
    More,
    /// A message is complete. The bytes that follow it remain in the decoder for the next `step`.
    Done,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Before or within a head.
    Head,
    /// In a body with this many bytes left.
    Sized(u64),
    /// Before a chunk-size line.
    ChunkSize,
    /// In a chunk with this many bytes left.
    Chunk(u64),
    /// Before the line end that follows a chunk's data.
    ChunkEnd,
    /// In the trailer section.
    Trailers,
    /// In a body that ends when the connection does.
    UntilClose,
}

/// The outcome of decoding one element of a message.
enum Progress {
    /// The element is complete; decoding continues with the next one.
    Continue,
    /// More bytes are needed to complete the element.
    NeedMoreBytes,
    /// The message is complete.
    MessageComplete,
}

/// The properties of a message that its head determines.
struct Head {
    framing: Framing,
    keep_alive: bool,
}

/// The decoder of one connection. It buffers the bytes that have not been decoded; its owner limits them by
/// not reading from the connection while `buffered_bytes` is too high.
pub struct Decoder {
    side: Side,
    max_head_bytes: usize,
    max_body_bytes: u64,
    buffer: Vec<u8>,
    /// Start of the undecoded bytes in the buffer.
    start: usize,
    /// Number of undecoded bytes already searched for the end of the head or line. It avoids searching them
    /// again when a message arrives in many small reads.
    searched: usize,
    state: State,
    /// The sender of the current message allows the connection to be reused.
    keep_alive: bool,
    /// Bytes of the current body decoded so far.
    body_bytes: u64,
}

impl Decoder {
    /// Creates the decoder of a new connection. A message whose head or body exceeds its limit is rejected
    /// with 431 or 413.
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

    /// Adds bytes read from the connection.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.start > 0 && self.start == self.buffer.len() {
            self.buffer.clear();
            self.start = 0;
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// Number of bytes added and not decoded yet.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len() - self.start
    }

    /// Whether the last message is complete and no byte of the next one has been added.
    pub fn idle(&self) -> bool {
        self.state == State::Head && self.buffered_bytes() == 0
    }

    /// Whether a head has been decoded and its body is not complete yet.
    pub fn in_body(&self) -> bool {
        self.state != State::Head
    }

    fn undecoded(&self) -> &[u8] {
        &self.buffer[self.start..]
    }

    /// Drops decoded bytes, and frees an empty buffer that has grown large.
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

    /// Decodes until a message is complete or no bytes are left.
    ///
    /// # Errors
    /// A message that violates the protocol or exceeds a limit, or the visitor's fault. The decoder cannot be
    /// used afterwards.
    pub fn step(&mut self, visitor: &mut dyn Visitor) -> Result<Step, Fault> {
        loop {
            let progress = match self.state {
                State::Head => self.step_head(visitor)?,
                State::Sized(left) => self.step_sized(left, visitor)?,
                State::UntilClose => {
                    self.deliver_body(u64::MAX, visitor)?;
                    Progress::NeedMoreBytes
                }
                State::ChunkSize => self.step_chunk_size()?,
                State::Chunk(left) => self.step_chunk(left, visitor)?,
                State::ChunkEnd => self.step_chunk_end()?,
                State::Trailers => self.step_trailers()?,
            };
            match progress {
                Progress::Continue => {}
                Progress::NeedMoreBytes => return Ok(Step::More),
                Progress::MessageComplete => {
                    self.end_message(visitor)?;
                    return Ok(Step::Done);
                }
            }
        }
    }

    fn step_head(&mut self, visitor: &mut dyn Visitor) -> Result<Progress, Fault> {
        let Some(length) = self.head_length()? else { return Ok(Progress::NeedMoreBytes) };
        let has_body = self.decode_head(length, visitor)?;
        Ok(if has_body { Progress::Continue } else { Progress::MessageComplete })
    }

    fn step_sized(&mut self, left: u64, visitor: &mut dyn Visitor) -> Result<Progress, Fault> {
        let delivered = self.deliver_body(left, visitor)?;
        self.state = State::Sized(left - delivered);
        Ok(match delivered {
            _ if delivered == left => Progress::MessageComplete,
            0 => Progress::NeedMoreBytes,
            _ => Progress::Continue,
        })
    }

    fn step_chunk_size(&mut self) -> Result<Progress, Fault> {
        let Some(line) = self.line_length(MAX_CHUNK_LINE_BYTES)? else { return Ok(Progress::NeedMoreBytes) };
        let size = chunk_size(&self.undecoded()[..line])?;
        if self.body_bytes.saturating_add(size) > self.max_body_bytes {
            return Err(self.body_too_large());
        }
        self.consume(line);
        self.state = if size == 0 { State::Trailers } else { State::Chunk(size) };
        Ok(Progress::Continue)
    }

    fn step_chunk(&mut self, left: u64, visitor: &mut dyn Visitor) -> Result<Progress, Fault> {
        let delivered = self.deliver_body(left, visitor)?;
        self.state = if delivered == left { State::ChunkEnd } else { State::Chunk(left - delivered) };
        Ok(if delivered == 0 { Progress::NeedMoreBytes } else { Progress::Continue })
    }

    fn step_chunk_end(&mut self) -> Result<Progress, Fault> {
        match self.undecoded() {
            [] | [b'\r'] => Ok(Progress::NeedMoreBytes),
            [b'\r', b'\n', ..] => {
                self.consume(2);
                self.state = State::ChunkSize;
                Ok(Progress::Continue)
            }
            _ => Err(Fault::new(400, "bad-chunk", "a chunk does not end where its size says")),
        }
    }

    /// Trailer fields are skipped, as nothing uses them.
    fn step_trailers(&mut self) -> Result<Progress, Fault> {
        let Some(line) = self.line_length(self.max_head_bytes)? else { return Ok(Progress::NeedMoreBytes) };
        let empty = matches!(&self.undecoded()[..line], b"\r\n" | b"\n");
        self.consume(line);
        Ok(if empty { Progress::MessageComplete } else { Progress::Continue })
    }

    /// Tells the decoder that the peer has shut down its direction, which ends a message without a length.
    ///
    /// # Errors
    /// An incomplete message, or the visitor's fault.
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

    /// Passes buffered bytes of the body to the visitor, at most `limit`, and returns their number.
    fn deliver_body(&mut self, limit: u64, visitor: &mut dyn Visitor) -> Result<u64, Fault> {
        let count = limit.min(self.buffered_bytes() as u64);
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

    /// Length of the next line including its line end; `None` if it is not complete yet.
    fn line_length(&mut self, limit: usize) -> Result<Option<usize>, Fault> {
        let from = self.searched;
        let found = memchr::memchr(b'\n', &self.undecoded()[from..]).map(|at| from + at + 1);
        self.searched = if found.is_some() { 0 } else { self.buffered_bytes() };
        if found.unwrap_or(self.buffered_bytes()) > limit {
            return Err(Fault::new(
                400,
                "long-line",
                format!("a line of a chunked body may have {limit} bytes"),
            ));
        }
        Ok(found)
    }

    /// Length of the head including the empty line that ends it; `None` if it is not complete yet.
    fn head_length(&mut self) -> Result<Option<usize>, Fault> {
        let undecoded = self.undecoded();
        // Empty lines before a request are ignored (RFC 9112, section 2.2).
        let leading = undecoded.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
        let from = self.searched.max(leading);
        let ends_empty_line =
            |at: &usize| undecoded[..*at].ends_with(b"\n") || undecoded[..*at].ends_with(b"\n\r");
        let line_ends = memchr::memchr_iter(b'\n', &undecoded[from..]).map(|at| from + at);
        let found = line_ends.filter(|at| *at > leading).find(ends_empty_line).map(|at| at + 1);
        let length = found.unwrap_or(undecoded.len());
        self.searched = if found.is_some() { 0 } else { undecoded.len() };
        if length > self.max_head_bytes {
            let detail = format!("a head may have {} bytes", self.max_head_bytes);
            return Err(Fault::new(431, "head-too-large", detail));
        }
        Ok(found)
    }

    /// Decodes a complete head. Returns false if the message ends with it. After an interim response it
    /// returns true, as the final response follows.
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
        if version == 1 && fields.values("host").count() != 1 {
            return Err(Fault::new(400, "bad-host", "one Host field is wanted"));
        }
        let framing = Framing::read(&fields)?.unwrap_or(Framing::Length(0));
        // A body whose declared length exceeds the limit is rejected before any of it is read.
        if let Framing::Length(size) = framing
            && size > self.max_body_bytes
        {
            return Err(self.body_too_large());
        }
        let keep_alive = keeps_alive(version, &fields);
        visitor.request(method, target, &fields)?;
        Ok(Some(Head { framing, keep_alive }))
    }

    /// Returns `None` for an interim response, which is skipped.
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
        let has_no_body = matches!(status, 204 | 304);
        let framing = if has_no_body {
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
