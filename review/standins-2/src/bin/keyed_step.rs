//! A chain with a step whose workers drop a repeat for three seconds. The first answer to that step breaks
//! off. Is the step sent again after its workers have forgotten it?
use standins_2::*;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const CASE: &str = "6";
/// For how long the workers drop a repeat, as the settings say, in ms.
const WINDOW_MS: f64 = 3000.0;
/// The protocol page's slack for every time limit, in ms.
const SLACK_MS: f64 = 50.0;
/// How long the first execution of a hold takes at its worker, waiting and all.
const FIRST_HOLD: Duration = Duration::from_millis(2800);
const CHAINS: usize = 6;

/// What the group of workers knows of the holds: when each came first, in ms.
#[derive(Default)]
struct Group {
    first: BTreeMap<String, f64>,
    /// Ids of holds that were executed again, and how long after they came first.
    again: Vec<(String, f64)>,
    /// Answers owed by the workers, and those of them that broke off.
    owed: usize,
    broken_off: usize,
}

fn worker(name: &'static str, record: Record, group: Arc<Mutex<Group>>) -> std::net::SocketAddr {
    let answers = AtomicU64::new(0);
    serve(move |request| {
        let id = request.field("ce-id").to_owned();
        let workload = request.field("applepond-workload").to_owned();
        let number = answers.fetch_add(1, Ordering::Relaxed);
        group.lock().unwrap().owed += 1;
        if workload != "hold" {
            let work = request.field("ce-workms").parse().unwrap_or(60);
            thread::sleep(Duration::from_millis(work));
            if workload == "confirm" {
                record.line(&format!("{name}: confirm '{id}' executed"));
            }
            return result_event(name, number, "{\"ok\":true}");
        }
        let now = record.ms();
        let first = *group.lock().unwrap().first.entry(id.clone()).or_insert(now);
        let age = now - first;
        if age == 0.0 {
            record.line(&format!("{name}: hold '{id}' comes for the first time"));
            thread::sleep(FIRST_HOLD);
            record.line(&format!("{name}: hold '{id}' executed"));
            if trouble() {
                record.line(&format!("{name}: the answer to hold '{id}' breaks off"));
                group.lock().unwrap().broken_off += 1;
                return Reply::Close;
            }
        } else if age <= WINDOW_MS + SLACK_MS {
            record.line(&format!("{name}: repeat of hold '{id}' after {age:.0} ms: dropped"));
        } else {
            record.line(&format!("{name}: hold '{id}' comes again after {age:.0} ms: EXECUTED AGAIN"));
            group.lock().unwrap().again.push((id, age));
            thread::sleep(Duration::from_millis(100));
        }
        result_event(name, number, "{\"held\":true}")
    })
}

fn settings(listen: u16, record: &str, workers: [std::net::SocketAddr; 2]) -> String {
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
  within       = "everywhere"
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
  time_limit = "8s"

  step "price" {{
    workload = "quote"
    at_least = "40ms"
    next {{ go = "beds" }}
  }}
  step "beds" {{
    workload = "hold"
    at_least = "40ms"
    next {{ go = "confirm" }}
  }}
  step "confirm" {{
    workload = "confirm"
    at_least = "40ms"
  }}
}}

worker "w1" {{
  address = "{}"
  zone    = "room-1"
}}

worker "w2" {{
  address = "{}"
  zone    = "room-1"
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
    let group = Arc::new(Mutex::new(Group::default()));
    let workers = [worker("w1", record.clone(), group.clone()), worker("w2", record.clone(), group.clone())];
    let port = free_port();
    let store = folder.0.join("record").display().to_string();
    let file = folder.write("settings.hcl", &settings(port, &store, workers));
    let mut router = Program::start(&["serve", "--settings", &file], &[], &folder.0.join("log"));
    let address = ([127, 0, 0, 1], port).into();
    if !await_listener(address) {
        return record.verdict(NOT_RUN, "the router does not listen");
    }
    // Ordinary traffic: eight desks that ask for quotes, one after another.
    let over = Arc::new(AtomicBool::new(false));
    let desks: Vec<_> = (0..8u64)
        .map(|desk| {
            let over = over.clone();
            thread::spawn(move || {
                let mut asked = 0u64;
                while !over.load(Ordering::Relaxed) {
                    asked += 1;
                    let (id, subject) = (format!("q{desk}-{asked}"), format!("hut-{}", (desk + asked) % 6));
                    let fields = [
                        ("id", id.as_str()),
                        ("source", "/desk"),
                        ("type", "quote"),
                        ("subject", subject.as_str()),
                        ("workms", "250"),
                    ];
                    let _ = send_event(address, &fields, "{}", Duration::from_secs(5));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(1500));
    let chains: Vec<_> = (0..CHAINS)
        .map(|chain| {
            let record = record.clone();
            thread::sleep(Duration::from_millis(700));
            thread::spawn(move || {
                let (id, subject) = (format!("b{chain}"), format!("hut-{}", chain % 6));
                let fields =
                    [("id", id.as_str()), ("source", "/desk"), ("type", "book"), ("subject", &subject)];
                record.line(&format!("client: book '{id}' sent"));
                let answer = send_event(address, &fields, "{}", Duration::from_secs(10));
                let told = answer.as_ref().map(|answer| format!("{} {}", answer.status(), answer.text()));
                record.line(&format!("client: book '{id}' answered: {told:?}"));
                answer.is_ok_and(|answer| answer.status() == 200)
            })
        })
        .collect();
    let finished = chains.into_iter().filter_map(|chain| chain.join().ok()).filter(|done| *done).count();
    over.store(true, Ordering::Relaxed);
    desks.into_iter().for_each(|desk| _ = desk.join());
    let ended = router.ended();
    drop(router);
    if let Some(status) = ended {
        return record.verdict(NOT_RUN, &format!("the router has ended: {status}"));
    }
    let group = group.lock().unwrap();
    if group.first.len() != CHAINS {
        return record.verdict(NOT_RUN, &format!("{} of {CHAINS} holds came", group.first.len()));
    }
    let again: Vec<String> =
        group.again.iter().map(|(id, age)| format!("'{id}' after {age:.0} ms")).collect();
    let (owed, broken_off) = (group.owed, group.broken_off);
    let summary = format!(
        "{finished} of {CHAINS} chains finished; {broken_off} of {owed} answers broke off; holds executed \
         twice: {again:?}"
    );
    record.verdict(if again.is_empty() { HELD } else { BROKEN }, &summary)
}
