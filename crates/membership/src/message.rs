//! Messages between routers: a head, what the kind needs, then news until the end. Integers and texts as
//! postcard writes them. A message is read whole before any of it counts.
use crate::{InstanceId, Record, RouterId};
use applepond::interface::Micros;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Bytes of a message at most: with its envelope it stays under 1,200, which every path carries whole.
pub const MESSAGE_MOST: usize = 1_140;
/// Parts of the view that are compared by themselves.
pub const BUCKETS: usize = 32;

/// Who writes; a copy of what it says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    pub from: RouterId,
    pub instance_id: InstanceId,
    pub incarnation: u64,
    pub address: SocketAddr,
}

/// What a voter says of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Says {
    /// The voter hears it again.
    Withdrawn,
    /// Neither the voter nor those it asked hear it.
    Silent,
    /// The voter has concluded from several votes that it is gone.
    Gone,
}

/// One router's word on another's incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Word {
    pub subject: RouterId,
    pub instance_id: InstanceId,
    pub incarnation: u64,
    pub voter: RouterId,
    /// Later words of a voter carry higher ones.
    pub stamp: u64,
    pub says: Says,
}

/// Why a message is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// It ends early, goes on after its end, or holds what no message holds.
    Unreadable,
    /// A name or a zone is empty, too long or of other characters than are printed.
    Name,
}

/// What a message says, call by call, after it was found to be whole.
pub trait Words {
    /// `heard`: µs since the writer last heard the reader, where it has; `view`: its view as one number.
    fn beat(&mut self, head: &Head, heard: Option<Micros>, view: u64);
    /// Does the reader hear this one?
    fn ask(&mut self, head: &Head, whom: RouterId);
    fn probe(&mut self, head: &Head, asker: RouterId);
    fn yes(&mut self, head: &Head, asker: RouterId);
    fn vouch(&mut self, head: &Head, whom: RouterId, instance_id: InstanceId);
    /// The writer's view by parts: those that differ are wanted.
    fn compare(&mut self, head: &Head, view: &[u32; BUCKETS]);
    /// The reader's name is another's.
    fn refused(&mut self, head: &Head, instance_id: InstanceId, holder: SocketAddr);
    /// Somebody else wanted the reader's name.
    fn taken(&mut self, head: &Head, by: SocketAddr);
    fn record(&mut self, head: &Head, record: Record);
    fn word(&mut self, head: &Head, word: Word);
}

const BEAT: u8 = 0;
const ASK: u8 = 1;
const PROBE: u8 = 2;
const YES: u8 = 3;
const VOUCH: u8 = 4;
const COMPARE: u8 = 5;
const NEWS: u8 = 6;
const REFUSED: u8 = 7;
const TAKEN: u8 = 8;
/// Tags of what follows the kind's own part.
const RECORD: u8 = 20;
const WORD: u8 = 21;

/// A message as it grows.
pub struct Message(Vec<u8>);

impl Message {
    fn begin(kind: u8, head: &Head, of: &impl Serialize) -> Self {
        let mut message = Message(Vec::with_capacity(256));
        let fits = message.put(kind, &(head, of));
        debug_assert!(fits, "no kind's own part fills a message");
        message
    }
    pub fn beat(head: &Head, heard: Option<Micros>, view: u64) -> Self {
        Self::begin(BEAT, head, &(heard, view))
    }
    pub fn ask(head: &Head, whom: RouterId) -> Self {
        Self::begin(ASK, head, &whom)
    }
    pub fn probe(head: &Head, asker: RouterId) -> Self {
        Self::begin(PROBE, head, &asker)
    }
    pub fn yes(head: &Head, asker: RouterId) -> Self {
        Self::begin(YES, head, &asker)
    }
    pub fn vouch(head: &Head, whom: RouterId, instance_id: InstanceId) -> Self {
        Self::begin(VOUCH, head, &(whom, instance_id))
    }
    pub fn compare(head: &Head, view: &[u32; BUCKETS]) -> Self {
        Self::begin(COMPARE, head, view)
    }
    pub fn news(head: &Head) -> Self {
        Self::begin(NEWS, head, &())
    }
    pub fn refused(head: &Head, instance_id: InstanceId, holder: SocketAddr) -> Self {
        Self::begin(REFUSED, head, &(instance_id, holder))
    }
    pub fn taken(head: &Head, by: SocketAddr) -> Self {
        Self::begin(TAKEN, head, &by)
    }

    /// Adds a tagged part; false, and nothing added, where there is no room left.
    fn put(&mut self, tag: u8, part: &impl Serialize) -> bool {
        let Ok(bytes) = postcard::to_allocvec(part) else { return false };
        let fits = self.0.len() + 1 + bytes.len() <= MESSAGE_MOST;
        if fits {
            self.0.push(tag);
            self.0.extend_from_slice(&bytes);
        }
        fits
    }
    pub fn record(&mut self, record: &Record) -> bool {
        self.put(RECORD, record)
    }
    pub fn word(&mut self, word: &Word) -> bool {
        self.put(WORD, word)
    }
    /// Adds what another message holds after its own part.
    pub fn append(&mut self, tail: &[u8]) -> bool {
        let fits = self.0.len() + tail.len() <= MESSAGE_MOST;
        if fits {
            self.0.extend_from_slice(tail);
        }
        fits
    }
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }
}

/// Takes one part off the front.
fn take<T: DeserializeOwned>(bytes: &mut &[u8]) -> Result<T, Trouble> {
    let (part, rest) = postcard::take_from_bytes(bytes).map_err(|_| Trouble::Unreadable)?;
    *bytes = rest;
    Ok(part)
}

/// What a name or a zone looks like.
pub fn nameable(text: &str) -> bool {
    !text.is_empty() && text.len() <= crate::NAME_MOST && text.bytes().all(|b| b.is_ascii_graphic())
}

/// Reads a message to its end; nothing is said unless all of it can be read.
pub fn read(bytes: &[u8], words: &mut dyn Words) -> Result<(), Trouble> {
    let mut rest = bytes;
    let kind: u8 = take(&mut rest)?;
    let head: Head = take(&mut rest)?;
    let own = rest;
    pass(kind, &head, own, None)?;
    pass(kind, &head, own, Some(words))
}

fn pass(kind: u8, head: &Head, own: &[u8], mut words: Option<&mut dyn Words>) -> Result<(), Trouble> {
    let mut rest = own;
    macro_rules! say {
        ($word:ident, $($part:expr),+) => {
            if let Some(words) = words.as_mut() {
                words.$word(head, $($part),+);
            }
        };
    }
    // News first: what the kind's own part leads to rests on them.
    let mut after = own;
    match kind {
        BEAT => _ = take::<(Option<Micros>, u64)>(&mut after)?,
        ASK | PROBE | YES => _ = take::<RouterId>(&mut after)?,
        VOUCH => _ = take::<(RouterId, InstanceId)>(&mut after)?,
        COMPARE => _ = take::<[u32; BUCKETS]>(&mut after)?,
        NEWS => {}
        REFUSED => _ = take::<(InstanceId, SocketAddr)>(&mut after)?,
        TAKEN => _ = take::<SocketAddr>(&mut after)?,
        _ => return Err(Trouble::Unreadable),
    }
    while !after.is_empty() {
        match take::<u8>(&mut after)? {
            RECORD => {
                let record: Record = take(&mut after)?;
                if !nameable(&record.name) || !nameable(&record.zone) {
                    return Err(Trouble::Name);
                }
                say!(record, record);
            }
            WORD => {
                let word: Word = take(&mut after)?;
                say!(word, word);
            }
            _ => return Err(Trouble::Unreadable),
        }
    }
    match kind {
        BEAT => {
            let (heard, view) = take(&mut rest)?;
            say!(beat, heard, view);
        }
        ASK => say!(ask, take(&mut rest)?),
        PROBE => say!(probe, take(&mut rest)?),
        YES => say!(yes, take(&mut rest)?),
        VOUCH => {
            let (whom, instance_id) = take(&mut rest)?;
            say!(vouch, whom, instance_id);
        }
        COMPARE => say!(compare, &take(&mut rest)?),
        REFUSED => {
            let (instance_id, holder) = take(&mut rest)?;
            say!(refused, instance_id, holder);
        }
        TAKEN => say!(taken, take(&mut rest)?),
        _ => {}
    }
    Ok(())
}
