//! Incremental decoder of HTTP/1.1 messages, for both sides.
use crate::Fault;

/// Header fields of one message at most: far above what clients send, and httparse needs a fixed table.
const FIELDS_MOST: usize = 96;
/// Bytes of one chunk-size line at most, extensions and all: they carry nothing for us.
const CHUNK_LINE_MOST: usize = 256;
/// Digits of a chunk's size at most: sixteen hold all of a u64, more is an attempt to overflow it.
const CHUNK_DIGITS_MOST: usize = 15;

/// What a decoder tells of one message, in this order: a head, the body in pieces, the end.
pub trait Visitor {
    /// A request's head (RFC 9112, section 3).
    fn request(&mut self, method: &str, target: &str, fields: &Fields<'_>) -> Result<(), Fault>;
    /// A response's head (RFC 9112, section 4). Interim ones (1xx) are not told.
    fn response(&mut self, status: u16, fields: &Fields<'_>) -> Result<(), Fault>;
    fn body(&mut self, bytes: &[u8]) -> Result<(), Fault>;
    /// The message is whole. `keep` tells whether the sender lets the connection stand for another one.
    fn end(&mut self, keep: bool) -> Result<(), Fault>;
}

/// The header fields of one head.
pub struct Fields<'a>(&'a [httparse::Header<'a>]);

impl<'a> Fields<'a> {
    /// The first value under this name, compared without regard to case; none where it is not UTF-8.
    pub fn get(&self, name: &str) -> Option<&'a str> {
        self.all(name).next().and_then(|v| std::str::from_utf8(v).ok())
    }

    fn all(&self, name: &str) -> impl Iterator<Item = &'a [u8]> {
        self.0.iter().filter(move |h| h.name.eq_ignore_ascii_case(name)).map(|h| h.value)
    }

    /// Names and values as they came, in their order.
    pub fn iter(&self) -> impl Iterator<Item = (&'a str, &'a [u8])> {
        self.0.iter().map(|h| (h.name, h.value))
    }

    /// Whether a comma-separated list under this name holds the word.
    pub fn lists(&self, name: &str, word: &str) -> bool {
        let texts = self.all(name).filter_map(|v| std::str::from_utf8(v).ok());
        texts.flat_map(|v| v.split(',')).any(|w| w.trim().eq_ignore_ascii_case(word))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Decodes requests.
    Server,
    /// Decodes responses.
    Client,
}

/// What came of one `step`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The message is not whole: more bytes are needed.
    More,
    /// A message ended. What came after it waits in the decoder for the next `step`.
    Done,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Head,
    Sized(u64),
    ChunkSize,
    Chunk(u64),
    ChunkEnd,
    Trailers,
    UntilClose,
}

/// One connection's decoder. Holds at most the undecoded bytes handed in; its owner stops reading when
/// `waiting` passes its bound.
pub struct Decoder {
    side: Side,
    head_most: usize,
    body_most: u64,
    buffer: Vec<u8>,
    start: usize,
    /// Bytes of the buffer already searched for the end of the head or line, so that a byte at a time costs
    /// no more than all at once.
    searched: usize,
    state: State,
    keep: bool,
    body: u64,
}

impl Decoder {
    /// `head_most` and `body_most` are bytes; past them a message is a fault (431, 413).
    pub fn new(side: Side, head_most: usize, body_most: u64) -> Self {
        Decoder {
            side,
            head_most,
            body_most,
            buffer: Vec::new(),
            start: 0,
            searched: 0,
            state: State::Head,
            keep: true,
            body: 0,
        }
    }

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

    /// Between two messages, with nothing of the next one here.
    pub fn idle(&self) -> bool {
        self.state == State::Head && self.waiting() == 0
    }

    /// A head has been told and its body is not whole yet.
    pub fn in_body(&self) -> bool {
        self.state != State::Head
    }

    fn rest(&self) -> &[u8] {
        &self.buffer[self.start..]
    }

    fn take(&mut self, bytes: usize) {
        self.start += bytes;
        self.searched = 0;
        if self.start == self.buffer.len() {
            self.buffer.clear();
            self.start = 0;
        } else if self.start > self.buffer.len() / 2 {
            self.buffer.drain(..self.start);
            self.start = 0;
        }
        if self.buffer.is_empty() && self.buffer.capacity() > self.head_most {
            self.buffer = Vec::new();
        }
    }

    /// Decodes until one message ends or bytes run out. After a fault the connection is of no more use.
    pub fn step(&mut self, visitor: &mut dyn Visitor) -> Result<Step, Fault> {
        loop {
            match self.state {
                State::Head => {
                    let Some(length) = self.head_length()? else { return Ok(Step::More) };
                    if self.head(length, visitor)? {
                        return self.ended(visitor);
                    }
                }
                State::Sized(left) => {
                    let n = self.pass_body(left, visitor)?;
                    self.state = State::Sized(left - n);
                    if left == n {
                        return self.ended(visitor);
                    }
                    if n == 0 {
                        return Ok(Step::More);
                    }
                }
                State::UntilClose => {
                    self.pass_body(u64::MAX, visitor)?;
                    return Ok(Step::More);
                }
                State::ChunkSize => {
                    let Some(line) = self.line(CHUNK_LINE_MOST)? else { return Ok(Step::More) };
                    let size = chunk_size(&self.rest()[..line])?;
                    if self.body.saturating_add(size) > self.body_most {
                        return Err(self.body_too_large());
                    }
                    self.take(line);
                    self.state = if size == 0 { State::Trailers } else { State::Chunk(size) };
                }
                State::Chunk(left) => {
                    let n = self.pass_body(left, visitor)?;
                    self.state = if n == left { State::ChunkEnd } else { State::Chunk(left - n) };
                    if n == 0 {
                        return Ok(Step::More);
                    }
                }
                State::ChunkEnd => match self.rest() {
                    [] | [b'\r'] => return Ok(Step::More),
                    [b'\r', b'\n', ..] => {
                        self.take(2);
                        self.state = State::ChunkSize;
                    }
                    _ => {
                        return Err(Fault::new(400, "bad-chunk", "a chunk does not end where its size says"));
                    }
                },
                State::Trailers => {
                    // Trailer fields are read over: nothing here needs them.
                    let Some(line) = self.line(self.head_most)? else { return Ok(Step::More) };
                    let empty = matches!(&self.rest()[..line], b"\r\n" | b"\n");
                    self.take(line);
                    if empty {
                        return self.ended(visitor);
                    }
                }
            }
        }
    }

    /// The peer ended its side. A message without a length ends here; one that is not whole is a fault.
    pub fn finish(&mut self, visitor: &mut dyn Visitor) -> Result<(), Fault> {
        match self.state {
            State::UntilClose => self.ended(visitor).map(|_| ()),
            State::Head if self.rest().iter().all(|b| matches!(b, b'\r' | b'\n')) => Ok(()),
            _ => Err(Fault::new(400, "cut-short", "the connection ended inside a message")),
        }
    }

    fn ended(&mut self, visitor: &mut dyn Visitor) -> Result<Step, Fault> {
        self.state = State::Head;
        self.body = 0;
        visitor.end(self.keep)?;
        Ok(Step::Done)
    }

    fn body_too_large(&self) -> Fault {
        Fault::new(413, "body-too-large", format!("a body may have {} bytes", self.body_most))
    }

    fn pass_body(&mut self, most: u64, visitor: &mut dyn Visitor) -> Result<u64, Fault> {
        let n = most.min(self.waiting() as u64);
        self.body += n;
        if self.body > self.body_most {
            return Err(self.body_too_large());
        }
        if n > 0 {
            visitor.body(&self.buffer[self.start..self.start + n as usize])?;
            self.take(n as usize);
        }
        Ok(n)
    }

    /// Length of the next line with its end.
    fn line(&mut self, most: usize) -> Result<Option<usize>, Fault> {
        let from = self.searched;
        let found = memchr::memchr(b'\n', &self.rest()[from..]).map(|n| from + n + 1);
        self.searched = if found.is_some() { 0 } else { self.waiting() };
        if found.unwrap_or(self.waiting()) > most {
            return Err(Fault::new(
                400,
                "long-line",
                format!("a line of a chunked body may have {most} bytes"),
            ));
        }
        Ok(found)
    }

    /// Length of the head with its empty line, once it is here.
    fn head_length(&mut self) -> Result<Option<usize>, Fault> {
        let rest = self.rest();
        // Empty lines before a request are passed over (RFC 9112, section 2.2).
        let lead = rest.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count();
        let from = self.searched.max(lead);
        let ends = |n: &usize| rest[..*n].ends_with(b"\n") || rest[..*n].ends_with(b"\n\r");
        let lines = memchr::memchr_iter(b'\n', &rest[from..]).map(|n| from + n);
        let found = lines.filter(|n| *n > lead).find(ends).map(|n| n + 1);
        let length = found.unwrap_or(rest.len());
        self.searched = if found.is_some() { 0 } else { rest.len() };
        if length > self.head_most {
            let detail = format!("a head may have {} bytes", self.head_most);
            return Err(Fault::new(431, "head-too-large", detail));
        }
        Ok(found)
    }

    /// Decodes a head that is whole; true where the message has no body.
    fn head(&mut self, length: usize, visitor: &mut dyn Visitor) -> Result<bool, Fault> {
        let mut table = [httparse::EMPTY_HEADER; FIELDS_MOST];
        let bytes = &self.buffer[self.start..self.start + length];
        let bad = |why: httparse::Error| match why {
            httparse::Error::TooManyHeaders => {
                Fault::new(431, "head-too-large", format!("a head may have {FIELDS_MOST} fields"))
            }
            httparse::Error::Version => Fault::new(505, "bad-version", "HTTP/1.1 is spoken here"),
            why => Fault::new(400, "bad-head", format!("the head cannot be read: {why}")),
        };
        let (framing, keep) = match self.side {
            Side::Server => {
                let mut head = httparse::Request::new(&mut table);
                head.parse(bytes).map_err(bad)?;
                let (Some(method), Some(target), Some(version)) = (head.method, head.path, head.version)
                else {
                    return Err(Fault::new(400, "bad-head", "the request line is not whole"));
                };
                let fields = Fields(head.headers);
                // A request must name its host exactly once (RFC 9112, section 3.2).
                if version == 1 && fields.all("host").count() != 1 {
                    return Err(Fault::new(400, "bad-host", "one Host field is wanted"));
                }
                let framing = framing(&fields)?.unwrap_or(State::Sized(0));
                // The length is looked at first: a body that is too large is not begun.
                if let State::Sized(size) = framing
                    && size > self.body_most
                {
                    return Err(self.body_too_large());
                }
                let keep = keeps(version, &fields);
                visitor.request(method, target, &fields)?;
                (framing, keep)
            }
            Side::Client => {
                let mut head = httparse::Response::new(&mut table);
                head.parse(bytes).map_err(bad)?;
                let (Some(status), Some(version)) = (head.code, head.version) else {
                    return Err(Fault::new(400, "bad-head", "the status line is not whole"));
                };
                let fields = Fields(head.headers);
                if (100..200).contains(&status) {
                    self.take(length);
                    return Ok(false);
                }
                let bare = matches!(status, 204 | 304);
                let framing = if bare { None } else { framing(&fields)? };
                let framing = framing.unwrap_or(if bare { State::Sized(0) } else { State::UntilClose });
                let keep = keeps(version, &fields) && framing != State::UntilClose;
                visitor.response(status, &fields)?;
                (framing, keep)
            }
        };
        self.keep = keep;
        self.state = framing;
        self.take(length);
        Ok(framing == State::Sized(0))
    }
}

/// How the body's end is found (RFC 9112, section 6.3); none where nothing is said.
fn framing(fields: &Fields<'_>) -> Result<Option<State>, Fault> {
    let mut lengths = fields.all("content-length");
    let length = lengths.next();
    if lengths.next().is_some() {
        return Err(Fault::new(400, "bad-length", "one Content-Length is wanted"));
    }
    let mut codings = fields.all("transfer-encoding");
    match (length, codings.next(), codings.next()) {
        // Two ways to find the end are how requests are smuggled past a peer.
        (Some(_), Some(_), _) => {
            Err(Fault::new(400, "two-lengths", "Content-Length and Transfer-Encoding exclude each other"))
        }
        (None, Some(coding), None) if coding.eq_ignore_ascii_case(b"chunked") => Ok(Some(State::ChunkSize)),
        (None, Some(_), _) => Err(Fault::new(501, "bad-coding", "the only transfer coding known is chunked")),
        (None, None, _) => Ok(None),
        (Some(digits), None, _) => {
            let plain = !digits.is_empty() && digits.iter().all(u8::is_ascii_digit);
            let size = plain.then(|| std::str::from_utf8(digits).ok()?.parse().ok()).flatten();
            let bad = || Fault::new(400, "bad-length", "Content-Length is not a whole number");
            Ok(Some(State::Sized(size.ok_or_else(bad)?)))
        }
    }
}

fn keeps(version: u8, fields: &Fields<'_>) -> bool {
    if version == 1 { !fields.lists("connection", "close") } else { fields.lists("connection", "keep-alive") }
}

fn chunk_size(line: &[u8]) -> Result<u64, Fault> {
    let bad = || Fault::new(400, "bad-chunk", "a chunk's size is not a hexadecimal number");
    let line = line.strip_suffix(b"\r\n").ok_or_else(bad)?;
    let digits = line.iter().take_while(|b| b.is_ascii_hexdigit()).count();
    let after = line[digits..].iter().find(|b| !matches!(b, b' ' | b'\t'));
    if digits == 0 || digits > CHUNK_DIGITS_MOST || after.is_some_and(|b| *b != b';') {
        return Err(bad());
    }
    let text = std::str::from_utf8(&line[..digits]).map_err(|_| bad())?;
    u64::from_str_radix(text, 16).map_err(|_| bad())
}
