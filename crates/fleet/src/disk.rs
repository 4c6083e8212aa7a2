//! Disk threads of a router. The acceptor's vote and the snapshot are written by separate threads, so that a
//! slow disk delays neither the reactor nor the other file.
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

/// Maximum number of requests queued for the acceptor's thread. Further requests are dropped, as they might
/// be on the network, and their senders retry.
const MAX_PENDING_REQUESTS: usize = 64;
/// Capacity of the event queue; a thread blocks while it is full.
const MAX_PENDING_EVENTS: usize = 4 * MAX_PENDING_REQUESTS;

/// The replicated value. It is opaque to consensus, so that routers of different versions can share a
/// register.
pub type AgreedState = Vec<u8>;

/// A disk fault that a fault-injection scenario injects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiskFault {
    /// No fault.
    #[default]
    None,
    /// Delays each write by this time.
    Late(Duration),
    /// Reports writes as completed without performing them.
    Lies,
    /// Fails each write, as a full disk does.
    Full,
}

/// An event reported by a disk thread.
#[derive(Debug)]
pub enum DiskEvent {
    /// Replies of the acceptor, each with its receiver.
    Messages(Vec<(RouterId, Vec<u8>)>),
    /// The error that keeps the acceptor from voting, or `None` if it votes.
    AcceptorError(Option<AcceptorError>),
    /// The snapshot file has been read, which is the first event of its thread.
    SnapshotRead {
        /// The snapshot found at start-up.
        snapshot: Option<Vec<u8>>,
        /// The error of the snapshot file, if it has one.
        error: Option<StorageError>,
    },
    /// A snapshot has been written, or the error that prevented it.
    SnapshotWritten(Option<StorageError>),
}

/// Non-blocking access to the disks: each call hands its work over to a thread and returns at once.
pub trait Disks {
    /// Queues a request for the acceptor. Returns false if the queue is full or there is no acceptor.
    fn submit_acceptor_request(&mut self, message: &[u8]) -> bool;
    /// Queues a snapshot that replaces the file. Returns false if an earlier one is still queued, or if no
    /// snapshot file is configured.
    fn write_snapshot(&mut self, bytes: Vec<u8>) -> bool;
    /// Takes the next event, if there is one.
    fn next_event(&mut self) -> Option<DiskEvent>;
    /// Returns whether an event is outstanding for work that was handed over.
    fn has_pending(&self) -> bool;
    /// Returns the kernel's boot id and the time since boot in µs.
    fn boot(&self) -> (Option<BootId>, Micros);
}

/// Configuration of the disk threads.
#[derive(Clone, Debug)]
pub struct DiskConfig {
    /// This router.
    pub router: RouterId,
    /// Number of the fleet's bootstrap; a vote file of another one is rejected.
    pub fleet: u64,
    /// Id given to the vote file if it is created at this start.
    pub new_file: InstanceId,
    /// File of the acceptor's vote; `None` if this router is not a replica.
    pub votes: Option<PathBuf>,
    /// File of the snapshot; `None` if no snapshots are written.
    pub snapshot: Option<PathBuf>,
    /// Disk fault to inject.
    pub fault: DiskFault,
}

/// The disk threads of one process.
pub struct DiskThreads {
    acceptor_requests: Option<SyncSender<Vec<u8>>>,
    snapshots: Option<SyncSender<Vec<u8>>>,
    events: Receiver<DiskEvent>,
    /// Number of outstanding events for work that was handed over.
    pending: usize,
    boot: Option<BootId>,
    threads: Vec<JoinHandle<()>>,
}

impl DiskThreads {
    /// Starts a thread for each file that is configured.
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

    /// Starts a thread. The event that it reports on starting is outstanding from now on.
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
                // An acceptor error reported after start-up is not counted in `pending`, hence
                // `saturating_sub`.
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
    /// Closes the queues without joining the threads. A thread finishes the write in progress and ends when
    /// it cannot report it; writes still queued may be lost. If the disk hangs, its thread ends with the
    /// process.
    fn drop(&mut self) {
        self.acceptor_requests = None;
        self.snapshots = None;
        self.threads.retain(|thread| !thread.is_finished());
    }
}

/// Reads the kernel's random boot id.
fn boot_id() -> Option<BootId> {
    let text = std::fs::read_to_string("/proc/sys/kernel/random/boot_id").ok()?;
    u128::from_str_radix(&text.trim().replace('-', ""), 16).ok().map(BootId)
}

/// Time since boot in µs, including suspend.
fn boot_clock() -> Micros {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    time.tv_sec as Micros * 1_000_000 + time.tv_nsec as Micros / 1_000
}
