//! Clients whose requests wait at the gateway give up and close their connections. Are their requests sent to
//! a worker afterwards?
use standins_2::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const CASE: &str = "hand";
/// How long the first load of a function takes.
const LOAD: Duration = Duration::from_millis(3400);
const WORK: Duration = Duration::from_millis(150);
/// When a client gives up: after 60% of the time limit of 5 s.
const PATIENCE: Duration = Duration::from_millis(3000);
/// An attempt that begins later than this after its client has gone is a break, in ms.
const GRACE_MS: f64 = 100.0;
const CLIENTS: usize = 8;

fn worker(name: &'static str, record: Record, came: Arc<Mutex<BTreeMap<String, f64>>>) -> SocketAddr {
    let loading = AtomicBool::new(false);
    let loaded = Arc::new(AtomicBool::new(false));
    let answers = AtomicU64::new(0);
    serve(move |request| {
        let id = request.field("ce-id").to_owned();
        came.lock().unwrap().insert(id.clone(), record.ms());
        record.line(&format!("{name}: '{id}' comes"));
        if !loading.swap(true, Ordering::SeqCst) {
            thread::sleep(LOAD);
            loaded.store(true, Ordering::SeqCst);
        }
        while !loaded.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
        thread::sleep(WORK);
        record.line(&format!("{name}: '{id}' executed"));
        result_event(name, answers.fetch_add(1, Ordering::Relaxed), "{\"confirmed\":true}")
    })
}

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::new(CASE);
    let folder = Folder::new(CASE);
    let came = Arc::new(Mutex::new(BTreeMap::new()));
    let workers = [worker("w1", record.clone(), came.clone()), worker("w2", record.clone(), came.clone())];
    let port = free_port();
    let file = folder.write("settings.hcl", &settings(port, "", workers));
    let router = Program::start(&["serve", "--settings", &file], &[], &folder.0.join("log"));
    let address = ([127, 0, 0, 1], port).into();
    if !await_listener(address) {
        return record.verdict(NOT_RUN, "the router does not listen");
    }
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let record = record.clone();
            thread::sleep(Duration::from_millis(20));
            // The last four clients give up, where the case plays its disruption.
            let patience =
                if trouble() && client >= CLIENTS / 2 { PATIENCE } else { Duration::from_millis(5500) };
            thread::spawn(move || {
                let id = format!("c{client}");
                let fields =
                    [("id", id.as_str()), ("source", "/desk"), ("type", "confirm"), ("subject", "hut-1")];
                record.line(&format!("client: confirm '{id}' sent"));
                let answer = send_event(address, &fields, "{}", patience).map(|answer| answer.status());
                let closed = record.ms();
                record.line(&format!("client: confirm '{id}': {answer:?}, connection closed"));
                (id, answer.is_err().then_some(closed))
            })
        })
        .collect();
    let gone: Vec<(String, Option<f64>)> =
        clients.into_iter().filter_map(|client| client.join().ok()).collect();
    thread::sleep(Duration::from_millis(2500));
    drop(router);
    let came = came.lock().unwrap();
    let late = gone.iter().filter_map(|(id, closed)| {
        let after = came.get(id)? - (*closed)?;
        (after > GRACE_MS).then(|| format!("'{id}' {after:.0} ms"))
    });
    let late: Vec<String> = late.collect();
    let left = gone.iter().filter(|(_, closed)| closed.is_some()).count();
    let summary =
        format!("{left} of {CLIENTS} clients left; sent to a worker after its client left: {late:?}");
    if !trouble() && left > 0 {
        return record.verdict(NOT_RUN, &summary);
    }
    record.verdict(if late.is_empty() { HELD } else { BROKEN }, &summary)
}
