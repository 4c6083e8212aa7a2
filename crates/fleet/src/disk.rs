//! The disks of a router: the acceptor's vote and the snapshot, each in a thread of its own, so that a slow
//! disk delays only what is written to it.
mod acceptor;
mod snapshot;

use applepond_consensus::AcceptorError;
use applepond_membership::{InstanceId, RouterId};
use applepond_reactor::Micros;
use applepond_recovery::BootId;
use applepond_storage::StorageError;
use std::path::PathBuf;
use std::sync::mpsc::{Receiver, SyncSender, TryRecvError, sync_channel};
use std::thread::JoinHandle;
use std::time::Duration;

/// Limit of requests that wait for the acceptor's disk; one more is lost, as on the network, and repeated by
/// its sender.
const MAX_PENDING_REQUESTS: usize = 64;
/// Limit of events that wait to be taken; a thread that has more waits.
const MAX_PENDING_EVENTS: usize = 4 * MAX_PENDING_REQUESTS;

/// The value that the fleet agrees on. Bytes, so that versions can differ in what they know.
pub type AgreedState = Vec<u8>;

/// A fault that a disk has in a fault-injection scenario.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiskFault {
    /// None.
    #[default]
    None,
    /// Each write takes this long.
    Late(Duration),
    /// Reports writes as done that are not.
    Lies,
    /// Rejects each write.
    Full,
}

/// What the threads have to report.
#[derive(Debug)]
pub enum DiskEvent {
    /// Answers of the acceptor, each with its receiver.
    Messages(Vec<(RouterId, Vec<u8>)>),
    /// Why the acceptor does not vote, if it does not.
    AcceptorError(Option<AcceptorError>),
    /// The first event of the snapshot's thread.
    SnapshotRead {
        /// The snapshot that was there at the start.
        snapshot: Option<Vec<u8>>,
        /// What is wrong with its file.
        error: Option<StorageError>,
    },
    /// A snapshot has been written, or why it has not.
    SnapshotWritten(Option<StorageError>),
}

/// Disks as the router sees them: calls hand over and return at once.
pub trait Disks {
    /// Hands a request over to the acceptor; false where too many wait.
    fn submit_acceptor_request(&mut self, message: &[u8]) -> bool;
    /// Replaces the snapshot; false while the one before is being written.
    fn write_snapshot(&mut self, bytes: Vec<u8>) -> bool;
    /// The next event, if there is one.
    fn next_event(&mut self) -> Option<DiskEvent>;
    /// Whether an event is still to come for what was handed over.
    fn has_pending(&self) -> bool;
    /// Which run of the kernel this is, and its clock in µs.
    fn boot(&self) -> (Option<BootId>, Micros);
}

/// What the threads of one process need to know.
#[derive(Clone, Debug)]
pub struct DiskConfig {
    /// This router.
    pub router: RouterId,
    /// The number of the fleet, which a vote has to be of.
    pub fleet: u64,
    /// The number of a vote file that is created now.
    pub new_file: InstanceId,
    /// File of the acceptor's vote; none where this router is not a replica.
    pub votes: Option<PathBuf>,
    /// File of the snapshot; none where there is none.
    pub snapshot: Option<PathBuf>,
    /// A fault for scenarios.
    pub fault: DiskFault,
}

/// The threads of one process.
pub struct DiskThreads {
    acceptor_requests: Option<SyncSender<Vec<u8>>>,
    snapshots: Option<SyncSender<Vec<u8>>>,
    events: Receiver<DiskEvent>,
    /// Events that are still to come for what was handed over.
    pending: usize,
    boot: Option<BootId>,
    threads: Vec<JoinHandle<()>>,
}

impl DiskThreads {
    /// Starts a thread for each file of the configuration.
    pub fn new(config: DiskConfig) -> Self {
        let (events, received_events) = sync_channel(MAX_PENDING_EVENTS);
        let mut disks = DiskThreads {
            acceptor_requests: None,
            snapshots: None,
            events: received_events,
            pending: 0,
            boot: boot_id(),
            threads: Vec::new(),
        };
        if let Some(file) = config.votes.clone() {
            let (requests, received) = sync_channel(MAX_PENDING_REQUESTS);
            let (config, events) = (config.clone(), events.clone());
            disks.spawn(move || acceptor::run(&file, &config, &received, &events));
            disks.acceptor_requests = Some(requests);
        }
        if let Some(file) = config.snapshot {
            let (snapshots, received) = sync_channel(1);
            disks.spawn(move || snapshot::run(&file, config.fault, &received, &events));
            disks.snapshots = Some(snapshots);
        }
        disks
    }

    /// Starts a thread, whose first event is pending.
    fn spawn(&mut self, run: impl FnOnce() + Send + 'static) {
        self.pending += 1;
        self.threads.push(std::thread::spawn(run));
    }
}

impl Disks for DiskThreads {
    fn submit_acceptor_request(&mut self, message: &[u8]) -> bool {
        let Some(requests) = &self.acceptor_requests else { return false };
        let accepted = requests.try_send(message.to_vec()).is_ok();
        self.pending += usize::from(accepted);
        accepted
    }

    fn write_snapshot(&mut self, bytes: Vec<u8>) -> bool {
        let Some(snapshots) = &self.snapshots else { return false };
        let accepted = snapshots.try_send(bytes).is_ok();
        self.pending += usize::from(accepted);
        accepted
    }

    fn next_event(&mut self) -> Option<DiskEvent> {
        match self.events.try_recv() {
            Ok(event) => {
                // The acceptor reports its errors beside its answers, but for the first report.
                self.pending = self.pending.saturating_sub(1);
                Some(event)
            }
            Err(TryRecvError::Empty | TryRecvError::Disconnected) => None,
        }
    }

    fn has_pending(&self) -> bool {
        self.pending > 0
    }

    fn boot(&self) -> (Option<BootId>, Micros) {
        (self.boot, boot_clock())
    }
}

impl Drop for DiskThreads {
    /// What was handed over is still written, unless the disk hangs: its thread ends with the process then.
    fn drop(&mut self) {
        self.acceptor_requests = None;
        self.snapshots = None;
        self.threads.retain(|thread| !thread.is_finished());
    }
}

/// The id that the kernel drew when it started.
fn boot_id() -> Option<BootId> {
    let text = std::fs::read_to_string("/proc/sys/kernel/random/boot_id").ok()?;
    u128::from_str_radix(&text.trim().replace('-', ""), 16).ok().map(BootId)
}

/// µs since the kernel started, sleep included.
fn boot_clock() -> Micros {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    time.tv_sec as Micros * 1_000_000 + time.tv_nsec as Micros / 1_000
}
