//! How the end of a message's body is found, and whether the connection may be reused.
use crate::Fault;
use crate::decode::Fields;

/// Limit of the digits of a chunk's size: fewer than the sixteen that a `u64` holds, so that no size
/// overflows it.
const MAX_CHUNK_SIZE_DIGITS: usize = 15;

/// How the end of a message's body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// The body has this many bytes.
    Length(u64),
    /// The body consists of chunks and ends with the last one.
    Chunked,
    /// The body ends when the connection does.
    UntilClose,
}

impl Framing {
    /// Reads the framing from a head (RFC 9112, section 6.3); `None` if the head does not specify one.
    pub(crate) fn read(fields: &Fields<'_>) -> Result<Option<Framing>, Fault> {
        let mut lengths = fields.values("content-length");
        let length = lengths.next();
        if lengths.next().is_some() {
            return Err(Fault::new(400, "bad-length", "one Content-Length is wanted"));
        }
        let mut codings = fields.values("transfer-encoding");
        match (length, codings.next(), codings.next()) {
            // A proxy in between may find the end of the body by the other of the two, which allows request
            // smuggling (RFC 9112, section 11.2).
            (Some(_), Some(_), _) => {
                Err(Fault::new(400, "two-lengths", "Content-Length and Transfer-Encoding exclude each other"))
            }
            (None, Some(coding), None) if coding.eq_ignore_ascii_case(b"chunked") => {
                Ok(Some(Framing::Chunked))
            }
            (None, Some(_), _) => {
                Err(Fault::new(501, "bad-coding", "the only transfer coding known is chunked"))
            }
            (None, None, _) => Ok(None),
            (Some(digits), None, _) => content_length(digits).map(|size| Some(Framing::Length(size))),
        }
    }
}

fn content_length(digits: &[u8]) -> Result<u64, Fault> {
    let plain = !digits.is_empty() && digits.iter().all(u8::is_ascii_digit);
    let size = plain.then(|| std::str::from_utf8(digits).ok()?.parse().ok()).flatten();
    size.ok_or_else(|| Fault::new(400, "bad-length", "Content-Length is not a whole number"))
}

/// Whether the sender of a head allows the connection to be reused (RFC 9112, section 9.3).
pub(crate) fn keeps_alive(minor_version: u8, fields: &Fields<'_>) -> bool {
    if minor_version == 1 {
        !fields.list_contains("connection", "close")
    } else {
        fields.list_contains("connection", "keep-alive")
    }
}

/// Parses a chunk-size line, including its line end. Chunk extensions are ignored.
pub(crate) fn chunk_size(line: &[u8]) -> Result<u64, Fault> {
    let bad = || Fault::new(400, "bad-chunk", "a chunk's size is not a hexadecimal number");
    let line = line.strip_suffix(b"\r\n").ok_or_else(bad)?;
    let digits = line.iter().take_while(|byte| byte.is_ascii_hexdigit()).count();
    let after = line[digits..].iter().find(|byte| !matches!(byte, b' ' | b'\t'));
    if digits == 0 || digits > MAX_CHUNK_SIZE_DIGITS || after.is_some_and(|byte| *byte != b';') {
        return Err(bad());
    }
    let text = std::str::from_utf8(&line[..digits]).map_err(|_| bad())?;
    u64::from_str_radix(text, 16).map_err(|_| bad())
}
