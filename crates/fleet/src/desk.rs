//! Disks beside the router: a keeper's vote and the snapshot, each in a thread of its own. What is handed
//! over is done there; a disk that takes its time holds up nobody but itself.
use applepond_consensus::message::{self, MessageWriter};
use applepond_consensus::{AcceptorError, AcceptorState, AcceptorStorage, RegisterState, Replica};
use applepond_membership::{InstanceId, RouterId};
use applepond_reactor::Micros;
use applepond_recovery::BootId;
use applepond_storage::{AcceptorFile, OpenedAcceptor, SnapshotFile, StorageError};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, SyncSender, TryRecvError, sync_channel};
use std::thread::JoinHandle;
use std::time::Duration;

/// Questions that wait for the keeper's disk; one more is lost, as on the network, and asked again.
const QUESTIONS_MOST: usize = 64;

/// What is agreed on: what rests on it writes itself in. Bytes, so that versions can differ in what they
/// know.
pub type Charter = Vec<u8>;

/// What a disk does in a drill.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiskFault {
    #[default]
    None,
    /// Each write takes this long.
    Late(Duration),
    /// Says that it is kept, and nothing is.
    Lies,
    /// Takes nothing.
    Full,
}

/// What the disks have said.
#[derive(Debug)]
pub enum Said {
    /// A keeper's answers.
    Messages(Vec<(RouterId, Vec<u8>)>),
    /// Why the keeper does not vote, if it does not.
    Keeper(Option<AcceptorError>),
    /// The snapshot that was there at the start; a fault of the file beside it.
    Found(Option<Vec<u8>>, Option<StorageError>),
    /// A snapshot is written, or was not.
    Written(Option<StorageError>),
}

/// Disks as the router sees them: it hands over and looks, and never waits.
pub trait Desk {
    /// A question to the keeper; false where as many as may be wait.
    fn question(&mut self, message: &[u8]) -> bool;
    /// A snapshot in place of the one before; false while the one before is being written.
    fn snapshot(&mut self, bytes: Vec<u8>) -> bool;
    fn said(&mut self) -> Option<Said>;
    /// Something is handed over whose answer is not there yet.
    fn waits(&self) -> bool;
    /// Which run of the kernel this is, and its clock in µs.
    fn boot(&self) -> (Option<BootId>, Micros);
}

struct Votings {
    file: AcceptorFile,
    fault: DiskFault,
}

impl AcceptorStorage<RegisterState<Charter>> for Votings {
    fn persist(&mut self, vote: &AcceptorState<RegisterState<Charter>>) -> Result<(), AcceptorError> {
        match self.fault {
            DiskFault::None => {}
            DiskFault::Late(time) => std::thread::sleep(time),
            DiskFault::Lies => return Ok(()),
            DiskFault::Full => return Err(AcceptorError::WriteFailed),
        }
        self.file.persist(vote)
    }
}

/// The threads of one process.
pub struct Threads {
    questions: Option<SyncSender<Vec<u8>>>,
    snapshots: Option<SyncSender<Vec<u8>>>,
    said: Receiver<Said>,
    waits: usize,
    boot: Option<BootId>,
    threads: Vec<JoinHandle<()>>,
}

fn boot_id() -> Option<BootId> {
    let text = std::fs::read_to_string("/proc/sys/kernel/random/boot_id").ok()?;
    u128::from_str_radix(&text.trim().replace('-', ""), 16).ok().map(BootId)
}

fn boot_clock() -> Micros {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    time.tv_sec as Micros * 1_000_000 + time.tv_nsec as Micros / 1_000
}

impl Threads {
    /// `votes`: the keeper's file, where this router is one; `snapshot`: where it lies, where there is one.
    /// `fleet` is the number that a vote has to be of, `fresh` that of a file that is made now.
    pub fn new(
        me: RouterId,
        (fleet, fresh): (u64, InstanceId),
        votes: Option<PathBuf>,
        snapshot: Option<PathBuf>,
        fault: DiskFault,
    ) -> Self {
        let (say, said) = sync_channel(4 * QUESTIONS_MOST);
        let (mut threads, mut waits) = (Vec::new(), 0);
        let questions = votes.map(|file| {
            let (ask, asked) = sync_channel(QUESTIONS_MOST);
            let say = say.clone();
            waits += 1;
            threads.push(std::thread::spawn(move || keeper(me, (fleet, fresh), &file, fault, &asked, &say)));
            ask
        });
        let snapshots = snapshot.map(|file| {
            let (hand, handed) = sync_channel(1);
            let say = say.clone();
            waits += 1;
            threads.push(std::thread::spawn(move || snapshots(&file, fault, &handed, &say)));
            hand
        });
        Threads { questions, snapshots, said, waits, boot: boot_id(), threads }
    }
}

/// Answers questions one by one, each after its vote is on the disk.
fn keeper(
    me: RouterId,
    (fleet, fresh): (u64, InstanceId),
    file: &Path,
    fault: DiskFault,
    asked: &Receiver<Vec<u8>>,
    say: &SyncSender<Said>,
) {
    let (mut disk, mut voter) = match AcceptorFile::open(file, fresh) {
        Ok(OpenedAcceptor { file, disk, state }) => {
            (Some(Votings { file, fault }), Replica::new(fleet, disk, Ok(state)))
        }
        Err(trouble) => (None, Replica::<Charter>::new(fleet, fresh, Err(trouble))),
    };
    let mut told = voter.error();
    if say.send(Said::Keeper(told)).is_err() {
        return;
    }
    while let Ok(question) = asked.recv() {
        struct None;
        impl AcceptorStorage<RegisterState<Charter>> for None {
            fn persist(&mut self, _: &AcceptorState<RegisterState<Charter>>) -> Result<(), AcceptorError> {
                Err(AcceptorError::WriteFailed)
            }
        }
        let mut out = MessageWriter::new(me);
        let votes: &mut dyn AcceptorStorage<RegisterState<Charter>> = match &mut disk {
            Some(disk) => disk,
            Option::None => &mut None,
        };
        // One that cannot be read is answered by nothing.
        let _ = message::handle_acceptor_request(&question, &mut voter, votes, &mut out);
        if voter.error() != told {
            told = voter.error();
            if say.send(Said::Keeper(told)).is_err() {
                return;
            }
        }
        if say.send(Said::Messages(out.messages)).is_err() {
            return;
        }
    }
}

fn snapshots(file: &Path, fault: DiskFault, handed: &Receiver<Vec<u8>>, say: &SyncSender<Said>) {
    let mut opened = SnapshotFile::open(file);
    let found = match &opened {
        Ok((opened, fault)) => match opened.read() {
            Ok(found) => Said::Found(found, fault.clone()),
            Err(unread) => Said::Found(None, Some(unread)),
        },
        Err(fault) => Said::Found(None, Some(fault.clone())),
    };
    if say.send(found).is_err() {
        return;
    }
    while let Ok(bytes) = handed.recv() {
        let full = || StorageError::WriteFailed { file: file.to_owned(), why: "no space left".to_owned() };
        // A folder that was missing may be there by now.
        if opened.is_err() {
            opened = SnapshotFile::open(file);
        }
        let written = match (&mut opened, fault) {
            (_, DiskFault::Full) => Err(full()),
            (_, DiskFault::Lies) => Ok(()),
            (Err(fault), _) => Err(fault.clone()),
            (Ok((opened, _)), fault) => {
                if let DiskFault::Late(time) = fault {
                    std::thread::sleep(time);
                }
                opened.write(&bytes)
            }
        };
        if say.send(Said::Written(written.err())).is_err() {
            return;
        }
    }
}

impl Desk for Threads {
    fn question(&mut self, message: &[u8]) -> bool {
        let Some(questions) = &self.questions else { return false };
        let taken = questions.try_send(message.to_vec()).is_ok();
        self.waits += usize::from(taken);
        taken
    }

    fn snapshot(&mut self, bytes: Vec<u8>) -> bool {
        let Some(snapshots) = &self.snapshots else { return false };
        let taken = snapshots.try_send(bytes).is_ok();
        self.waits += usize::from(taken);
        taken
    }

    fn said(&mut self) -> Option<Said> {
        match self.said.try_recv() {
            Ok(said) => {
                // The keeper's word on itself comes beside what was asked, but for the first.
                self.waits = self.waits.saturating_sub(1);
                Some(said)
            }
            Err(TryRecvError::Empty | TryRecvError::Disconnected) => None,
        }
    }

    fn waits(&self) -> bool {
        self.waits > 0
    }

    fn boot(&self) -> (Option<BootId>, Micros) {
        (self.boot, boot_clock())
    }
}

impl Drop for Threads {
    /// What was handed over is still written, unless the disk hangs: its thread ends with the process then.
    fn drop(&mut self) {
        (self.questions, self.snapshots) = (None, None);
        self.threads.retain(|t| !t.is_finished());
    }
}
