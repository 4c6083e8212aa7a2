//! The table names and encoding of stored data. A version that changes them cannot read the files of the
//! previous one.
use applepond::interface::Micros;
use applepond_consensus::{AcceptorState, AcceptorStorage, Ballot, RegisterState, ReplicaId};
use applepond_membership::{InstanceId, RouterId};
use applepond_storage::{
    AcceptorFile, DiskStore, OpenedAcceptor, SnapshotFile, StepOutcome, StepRecord, StoredResponse,
    WorkflowRecord, WorkflowStore,
};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use std::collections::BTreeMap;

fn record() -> WorkflowRecord {
    let answer = StoredResponse { header_lines: b"Content-Type: a/b\r\n".to_vec(), body: b"body".to_vec() };
    let fields = BTreeMap::from([("free".to_owned(), "yes".to_owned())]);
    let end = |code, response| Some(StepOutcome { code, fields: fields.clone(), response });
    let steps = BTreeMap::from([
        (0, StepRecord { sent_at: 1_000_000, outcome: end(0, Some(answer)) }),
        (1, StepRecord { sent_at: 2_000_000, outcome: end(2, None) }),
        (300, StepRecord { sent_at: 3_000_000, outcome: None }),
    ]);
    WorkflowRecord {
        workflow: "book".into(),
        plan_digest: 0x0123_4567_89ab_cdef,
        function: Some("hut".into()),
        customer: Some("huts".into()),
        header_lines: b"ce-id: 1\r\n".to_vec(),
        content_type: Some("application/json".into()),
        data: b"{}".to_vec(),
        deadline: 4_000_000,
        expires_at: 64_000_000,
        failed: true,
        closed: false,
        steps,
    }
}

/// All rows of a table, as text.
fn rows(database: &Database, table: &str) -> Vec<String> {
    let read = database.begin_read().expect("a transaction");
    let table: TableDefinition<'_, u64, &[u8]> = TableDefinition::new(table);
    let table = read.open_table(table).expect("a table of this name and form");
    let row = |row: Result<(redb::AccessGuard<'_, u64>, redb::AccessGuard<'_, &[u8]>), _>| {
        let (key, value) = row.expect("a row");
        format!("{} {}", key.value(), hex::encode(value.value()))
    };
    table.iter().expect("rows").map(row).collect()
}

#[test]
fn records_of_chains_keep_their_bytes() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("record");
    let mut disk = DiskStore::open(&file).expect("a new file");
    let empty = WorkflowRecord::default();
    disk.save(&[(("/desk/7", "1"), &record()), (("/desk/7", "2"), &empty)]).expect("room");
    drop(disk);
    let database = Database::create(&file).expect("opened again");
    let read = database.begin_read().expect("a transaction");
    let chains: TableDefinition<'_, &[u8], &[u8]> = TableDefinition::new("chains");
    let chains = read.open_table(chains).expect("a table of this name and form");
    let mut lines = Vec::new();
    for row in chains.iter().expect("rows") {
        let (key, value) = row.expect("a row");
        lines.push(format!("chains {} {}", hex::encode(key.value()), hex::encode(value.value())));
    }
    let until: TableDefinition<'_, (Micros, &[u8]), ()> = TableDefinition::new("until");
    let until = read.open_table(until).expect("a table of this name and form");
    for row in until.iter().expect("rows") {
        let (key, _) = row.expect("a row");
        let (at, name) = key.value();
        lines.push(format!("until {at} {}", hex::encode(name)));
    }
    insta::assert_snapshot!("chains", lines.join("\n"));
    drop((chains, until, read, database));
    let mut disk = DiskStore::open(&file).expect("opened again");
    assert_eq!(disk.load(("/desk/7", "1")).expect("read"), Some(record()));
    assert_eq!(disk.load(("/desk/7", "2")).expect("read"), Some(empty));
}

#[test]
fn votes_keep_their_bytes() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("votes");
    let replica =
        |n: u64| ReplicaId { router: RouterId(n * 1_000_003), disk: InstanceId(n * 77_777_777_777) };
    let agreed = RegisterState {
        register_id: InstanceId(987_654_321),
        version: 300,
        replicas: vec![replica(1), replica(2), replica(3)],
        previous_replicas: vec![replica(4)],
        value: b"agreed value".to_vec(),
    };
    let ballot = |round| Ballot { round, proposer: 0xfeed_f00d };
    let vote = AcceptorState { fleet: 77, promised: ballot(9), accepted: Some((ballot(8), agreed)) };
    let OpenedAcceptor { file: mut opened, .. } =
        AcceptorFile::open::<RegisterState<Vec<u8>>>(&file, InstanceId(555)).expect("a new file");
    opened.persist(&vote).expect("room");
    drop(opened);
    let database = Database::create(&file).expect("opened again");
    insta::assert_snapshot!("votes", rows(&database, "vote").join("\n"));
    drop(database);
    let OpenedAcceptor { disk, state, .. } =
        AcceptorFile::open::<RegisterState<Vec<u8>>>(&file, InstanceId(1)).expect("opened again");
    assert_eq!((disk, state), (InstanceId(555), Some(vote)));
}

#[test]
fn snapshots_keep_their_table() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("snapshot");
    let (mut opened, _) = SnapshotFile::open(&file).expect("a new file");
    opened.write(b"the bytes").expect("room");
    drop(opened);
    let database = Database::create(&file).expect("opened again");
    insta::assert_snapshot!("snapshot", rows(&database, "snapshot").join("\n"));
}
