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
        event_type: None,
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

/// The bytes of `record()` in the version before the type of the event was stored, as in the snapshot
/// `chains`.
const RECORD_WITHOUT_TYPE: &str = "04626f6f6bef9bafcdf8acd1910101036875740104687574730a63652d69643a20310d0a01\
    106170706c69636174696f6e2f6a736f6e027b7d8092f40180a0c21e01000300c0843d010001046672656503796573011343\
    6f6e74656e742d547970653a20612f620d0a04626f64790180897a01020104667265650379657300ac02c08db70100";

/// The stored form of the key `/desk/7` and `1`.
const KEY: &[u8] = b"/desk/7\x001";

/// Writes bytes as the record of `/desk/7` and `1`, as another version does.
fn write_record(file: &std::path::Path, bytes: &[u8]) {
    drop(DiskStore::open(file).expect("a new file"));
    let database = Database::create(file).expect("opened again");
    let write = database.begin_write().expect("a transaction");
    let table: TableDefinition<'_, &[u8], &[u8]> = TableDefinition::new("chains");
    write.open_table(table).expect("a table").insert(KEY, bytes).expect("room");
    write.commit().expect("room");
}

// A record of the version before is read; the type of its event is not known.
#[test]
fn a_record_without_the_type_of_its_event_is_read() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("record");
    write_record(&file, &hex::decode(RECORD_WITHOUT_TYPE).expect("hexadecimal"));
    let mut disk = DiskStore::open(&file).expect("opened again");
    assert_eq!(disk.load(("/desk/7", "1")), Ok(Some(record())));
}

// The type of the event follows what the version before wrote, which ignores bytes behind a record: a router
// that goes back to that version reads the records of this one.
#[test]
fn the_version_before_reads_a_record_with_the_type_of_its_event() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("record");
    let with_type = WorkflowRecord { event_type: Some("book".into()), ..record() };
    let mut disk = DiskStore::open(&file).expect("a new file");
    disk.save(&[(("/desk/7", "1"), &with_type)]).expect("room");
    drop(disk);
    let database = Database::create(&file).expect("opened again");
    let chains: TableDefinition<'_, &[u8], &[u8]> = TableDefinition::new("chains");
    let chains = database.begin_read().expect("a transaction").open_table(chains).expect("a table");
    let bytes = chains.get(KEY).expect("readable").expect("recorded").value().to_vec();
    assert_eq!(hex::encode(&bytes), format!("{RECORD_WITHOUT_TYPE}04{}", hex::encode("book")));
    assert_eq!(postcard::from_bytes(&bytes), Ok(record()), "the reader of the version before");
    drop((chains, database));
    let mut disk = DiskStore::open(&file).expect("opened again");
    assert_eq!(disk.load(("/desk/7", "1")), Ok(Some(with_type)));
}

// Whatever is behind the type belongs to a later version. A type that is cut off is an error, not an unknown
// type.
#[test]
fn a_type_that_is_cut_off_is_an_error() {
    let bytes = hex::decode(format!("{RECORD_WITHOUT_TYPE}04{}", hex::encode("book"))).expect("hexadecimal");
    let folder = tempfile::tempdir().expect("a folder");
    let read = |name: &str, bytes: &[u8]| {
        let file = folder.path().join(name);
        write_record(&file, bytes);
        DiskStore::open(&file).expect("opened again").load(("/desk/7", "1"))
    };
    for cut in 1..=4 {
        assert!(read(&cut.to_string(), &bytes[..bytes.len() - cut]).is_err(), "{cut} bytes are missing");
    }
    let later = [&bytes[..], &[1, 2, 3]].concat();
    assert_eq!(
        read("later", &later),
        Ok(Some(WorkflowRecord { event_type: Some("book".into()), ..record() }))
    );
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
