//! A chain that ends after its hold, so that the hold is taken back by an undo. The workers of a rack drop a
//! repeat of it for three seconds. The first answer to the undo never comes. Is the undo executed twice?
use standins_2::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const CASE: &str = "7";
/// For how long the workers of the rack drop a repeat, as the settings say, in ms.
const WINDOW_MS: f64 = 3000.0;
/// The protocol page's slack for every time limit, in ms.
const SLACK_MS: f64 = 50.0;
const CHAINS: usize = 3;
/// How long the case watches after the chains have been answered.
const WATCH: Duration = Duration::from_secs(16);

/// What the rack knows of one hold or undo.
struct Seen {
    first: f64,
    executions: u32,
}

type Rack = Arc<Mutex<BTreeMap<String, Seen>>>;

fn worker(name: &'static str, record: Record, rack: Rack, owed: Arc<AtomicU64>) -> SocketAddr {
    let answers = AtomicU64::new(0);
    serve(move |request| {
        let id = request.field("ce-id").to_owned();
        let number = answers.fetch_add(1, Ordering::Relaxed);
        owed.fetch_add(1, Ordering::Relaxed);
        if request.field("applepond-workload") != "hold" {
            thread::sleep(Duration::from_millis(60));
            // The hut has closed: the result names no desk that could confirm the stay.
            return result_event(name, number, "{\"price\":900}");
        }
        thread::sleep(Duration::from_millis(200));
        let (executions, age) = {
            let now = record.ms();
            let mut rack = rack.lock().unwrap();
            let seen = rack.entry(id.clone()).or_insert(Seen { first: now, executions: 0 });
            let age = now - seen.first;
            if seen.executions > 0 && age <= WINDOW_MS + SLACK_MS {
                record.line(&format!("{name}: repeat of '{id}' after {age:.0} ms: dropped"));
                return result_event(name, number, "{\"done\":true}");
            }
            seen.executions += 1;
            (seen.executions, age)
        };
        record.line(&format!("{name}: '{id}' executed, time {executions}, {age:.0} ms after the first"));
        if trouble() && executions == 1 && id.ends_with("/release") {
            record.line(&format!("{name}: the answer to '{id}' never comes"));
            thread::sleep(Duration::from_secs(100));
        }
        result_event(name, number, "{\"done\":true}")
    })
}

fn settings(listen: u16, record: &str, workers: [SocketAddr; 2]) -> String {
    format!(
        r#"
listen = "127.0.0.1:{listen}"
zones  = ["room-1"]
router = 0
routers = 1
seed   = 7
record = "{record}"
keep   = "10s"

rules {{
  cold_share    = 0.2
  warm_within   = "10s"
  fall_multiple = 2.5
  fall_span     = "1s"
}}

workload "quote" {{
  types        = ["quote"]
  effect       = "restartable"
  start_target = "1500ms"
  time_limit   = "4s"
  lanes        = 4
  load_time    = "1s"
}}

workload "hold" {{
  types        = ["hold"]
  effect       = "fingerprinted"
  within       = "rack"
  window       = "3s"
  start_target = "1500ms"
  time_limit   = "5s"
  importance   = 3
  lanes        = 4
  load_time    = "1s"
}}

workload "confirm" {{
  types        = ["confirm"]
  effect       = "run-once"
  start_target = "750ms"
  time_limit   = "5s"
  importance   = 5
  lanes        = 4
  load_time    = "1s"
}}

chain "book" {{
  types      = ["book"]
  time_limit = "4s"

  step "price" {{
    workload = "quote"
    at_least = "40ms"
    next {{ go = "beds" }}
  }}
  step "beds" {{
    workload = "hold"
    at_least = "40ms"
    undo     = "release"
    next {{ go = "confirm" }}
  }}
  step "confirm" {{
    workload      = "confirm"
    function_from = "price.desk"
    at_least      = "40ms"
  }}
  step "release" {{
    workload = "hold"
  }}
}}

worker "w1" {{
  address = "{}"
  zone    = "room-1"
  rack    = 1
}}

worker "w2" {{
  address = "{}"
  zone    = "room-1"
  rack    = 1
}}
"#,
        workers[0], workers[1]
    )
}

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::new(CASE);
    let folder = Folder::new(CASE);
    let rack = Rack::default();
    let owed = Arc::new(AtomicU64::new(0));
    let workers = ["w1", "w2"].map(|name| worker(name, record.clone(), rack.clone(), owed.clone()));
    let port = free_port();
    let store = folder.0.join("record").display().to_string();
    let file = folder.write("settings.hcl", &settings(port, &store, workers));
    let mut router = Program::start(&["serve", "--settings", &file], &[], &folder.0.join("log"));
    let address = ([127, 0, 0, 1], port).into();
    if !await_listener(address) {
        return record.verdict(NOT_RUN, "the router does not listen");
    }
    // Ordinary traffic: four desks that ask for quotes, one after another.
    let over = Arc::new(AtomicBool::new(false));
    let desks: Vec<_> = (0..4u64)
        .map(|desk| {
            let over = over.clone();
            thread::spawn(move || {
                let mut asked = 0u64;
                while !over.load(Ordering::Relaxed) {
                    asked += 1;
                    let (id, subject) = (format!("q{desk}-{asked}"), format!("hut-{}", (desk + asked) % 6));
                    let fields =
                        [("id", id.as_str()), ("source", "/desk"), ("type", "quote"), ("subject", &subject)];
                    let _ = send_event(address, &fields, "{}", Duration::from_secs(5));
                }
            })
        })
        .collect();
    for chain in 0..CHAINS {
        let (id, subject) = (format!("b{chain}"), format!("hut-{chain}"));
        let fields = [("id", id.as_str()), ("source", "/desk"), ("type", "book"), ("subject", &subject)];
        record.line(&format!("client: book '{id}' sent"));
        let answer = send_event(address, &fields, "{}", Duration::from_secs(6));
        let told = answer.map(|answer| format!("{} {}", answer.status(), answer.text()));
        record.line(&format!("client: book '{id}' answered: {told:?}"));
        thread::sleep(Duration::from_millis(500));
    }
    thread::sleep(WATCH);
    over.store(true, Ordering::Relaxed);
    desks.into_iter().for_each(|desk| _ = desk.join());
    let ended = router.ended();
    drop(router);
    if let Some(status) = ended {
        return record.verdict(NOT_RUN, &format!("the router has ended: {status}"));
    }
    let rack = rack.lock().unwrap();
    let undone = rack.keys().filter(|id| id.ends_with("/release")).count();
    if undone != CHAINS {
        return record.verdict(NOT_RUN, &format!("{undone} of {CHAINS} holds were taken back"));
    }
    let again: Vec<String> = rack
        .iter()
        .filter(|(_, seen)| seen.executions > 1)
        .map(|(id, seen)| format!("'{id}' {} times", seen.executions))
        .collect();
    let (lost, owed) = (if trouble() { CHAINS } else { 0 }, owed.load(Ordering::Relaxed));
    let summary = format!(
        "{undone} holds taken back, {lost} of {owed} answers never came; executed more than once: {again:?}"
    );
    record.verdict(if again.is_empty() { HELD } else { BROKEN }, &summary)
}
