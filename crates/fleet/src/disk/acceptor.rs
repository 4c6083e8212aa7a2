//! The acceptor's thread. It handles requests one at a time and replies only after its vote is on disk.
use super::{AgreedState, DiskConfig, DiskEvent, DiskFault};
use applepond_consensus::message::{self, MessageWriter};
use applepond_consensus::{AcceptorError, AcceptorState, AcceptorStorage, RegisterState, Replica};
use applepond_storage::{AcceptorFile, OpenedAcceptor};
use std::path::Path;
use std::sync::mpsc::{Receiver, SyncSender};

/// Storage of the vote that injects the configured disk fault.
struct FaultyStorage {
    file: AcceptorFile,
    fault: DiskFault,
}

impl AcceptorStorage<RegisterState<AgreedState>> for FaultyStorage {
    fn persist(&mut self, state: &AcceptorState<RegisterState<AgreedState>>) -> Result<(), AcceptorError> {
        match self.fault {
            DiskFault::None => {}
            DiskFault::Late(time) => std::thread::sleep(time),
            DiskFault::Lies => return Ok(()),
            DiskFault::Full => return Err(AcceptorError::WriteFailed),
        }
        self.file.persist(state)
    }
}

/// Stands in for a vote file that could not be opened; every write fails.
struct UnavailableStorage;

impl AcceptorStorage<RegisterState<AgreedState>> for UnavailableStorage {
    fn persist(&mut self, _: &AcceptorState<RegisterState<AgreedState>>) -> Result<(), AcceptorError> {
        Err(AcceptorError::WriteFailed)
    }
}

/// Runs until the router drops its end of either channel.
pub(super) fn run(
    file: &Path,
    config: &DiskConfig,
    requests: &Receiver<Vec<u8>>,
    events: &SyncSender<DiskEvent>,
) {
    let (mut storage, mut replica) = open(file, config);
    let mut reported = replica.error();
    if events.send(DiskEvent::AcceptorError(reported)).is_err() {
        return;
    }
    while let Ok(request) = requests.recv() {
        let mut replies = MessageWriter::new(config.router);
        // A malformed request gets no reply.
        let _ = message::handle_acceptor_request(&request, &mut replica, storage.as_mut(), &mut replies);
        if replica.error() != reported {
            reported = replica.error();
            if events.send(DiskEvent::AcceptorError(reported)).is_err() {
                return;
            }
        }
        if events.send(DiskEvent::Messages(replies.messages)).is_err() {
            return;
        }
    }
}

type OpenedStorage = Box<dyn AcceptorStorage<RegisterState<AgreedState>>>;

/// Opens the vote file. If it cannot be read, the replica does not vote.
fn open(file: &Path, config: &DiskConfig) -> (OpenedStorage, Replica<AgreedState>) {
    match AcceptorFile::open(file, config.new_file) {
        Ok(OpenedAcceptor { file, disk, state }) => {
            let storage = FaultyStorage { file, fault: config.fault };
            (Box::new(storage), Replica::new(config.fleet, disk, Ok(state)))
        }
        Err(error) => (Box::new(UnavailableStorage), Replica::new(config.fleet, config.new_file, Err(error))),
    }
}
