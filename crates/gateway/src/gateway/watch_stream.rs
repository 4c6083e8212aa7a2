//! One connection to the endpoint list's server: the response received on it, split into lines.
use applepond_http::Fault;
use applepond_http::decode::{Decoder, Fields, Side, Step, Visitor};
use applepond_reactor::ConnectionId;
use std::collections::VecDeque;

/// Maximum size of the response head, and of one line of the list.
const MAX_LINE_BYTES: usize = 8 * 1024 * 1024;

/// A connection to the endpoint list's server.
pub(super) struct WatchStream {
    pub(super) conn: ConnectionId,
    decoder: Decoder,
    lines: ListLines,
}

impl WatchStream {
    /// Creates the state of a connection on which nothing has been received.
    pub(super) fn new(conn: ConnectionId) -> Self {
        let decoder = Decoder::new(Side::Client, MAX_LINE_BYTES, u64::MAX);
        WatchStream { conn, decoder, lines: ListLines::default() }
    }

    /// Decodes received bytes. Returns false if nothing more can be received: the response has ended or is
    /// invalid. The lines before that are kept.
    pub(super) fn feed(&mut self, bytes: &[u8]) -> bool {
        self.decoder.feed(bytes);
        matches!(self.decoder.step(&mut self.lines), Ok(Step::More))
    }

    /// Takes the lines that have been received completely.
    pub(super) fn take_lines(&mut self) -> VecDeque<Vec<u8>> {
        std::mem::take(&mut self.lines.complete)
    }
}

/// Splits the body of the list's response into lines.
#[derive(Default)]
struct ListLines {
    /// The line that has not been received completely.
    partial: Vec<u8>,
    complete: VecDeque<Vec<u8>>,
}

impl Visitor for ListLines {
    fn request(&mut self, _: &str, _: &str, _: &Fields<'_>) -> Result<(), Fault> {
        Err(Fault::new(400, "bad-head", "expected a response, got a request"))
    }

    fn response(&mut self, status: u16, _: &Fields<'_>) -> Result<(), Fault> {
        if status == 200 {
            Ok(())
        } else {
            Err(Fault::new(status, "no-list", "the endpoint list was not sent"))
        }
    }

    fn body(&mut self, bytes: &[u8]) -> Result<(), Fault> {
        for byte in bytes {
            if *byte == b'\n' {
                self.complete.push_back(std::mem::take(&mut self.partial));
            } else if self.partial.len() < MAX_LINE_BYTES {
                self.partial.push(*byte);
            } else {
                return Err(Fault::new(413, "long-line", "a line of the endpoint list is too long"));
            }
        }
        Ok(())
    }

    fn end(&mut self, _: bool) -> Result<(), Fault> {
        Ok(())
    }
}
