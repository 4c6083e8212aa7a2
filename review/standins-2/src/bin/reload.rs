//! A gateway is given new settings while chains are under way that the new settings leave out. Do the chains
//! end as they would have, or are their holds at least taken back?
use standins_2::*;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

const CASE: &str = "9";
const CHAINS: usize = 4;

const CHAIN: &str = "chain \"book\" {
  types      = [\"book\"]
  time_limit = \"5s\"
  step \"price\" {
    workload = \"quote\"
    at_least = \"40ms\"
    next { go = \"beds\" }
  }
  step \"beds\" {
    workload = \"hold\"
    at_least = \"40ms\"
    undo     = \"release\"
    next { go = \"confirm\" }
  }
  step \"confirm\" {
    workload = \"confirm\"
    at_least = \"40ms\"
  }
  step \"release\" {
    workload = \"hold\"
  }
}
";

/// What the workers have come to.
#[derive(Default)]
struct Counts {
    held: AtomicU64,
    released: AtomicU64,
    confirmed: AtomicU64,
    untyped: AtomicU64,
}

/// A worker that takes CloudEvents: one without a type is none, and is answered 400.
fn worker(name: &'static str, record: Record, counts: Arc<Counts>) -> SocketAddr {
    let answers = AtomicU64::new(0);
    serve(move |request| {
        let (kind, id) = (request.field("ce-type").to_owned(), request.field("ce-id"));
        record.line(&format!("{name}: '{id}' of type '{kind}' comes"));
        let number = answers.fetch_add(1, Ordering::Relaxed);
        if kind.is_empty() {
            counts.untyped.fetch_add(1, Ordering::Relaxed);
            return Reply::Answer(400, Vec::new(), "{\"detail\":\"type is required\"}".to_owned());
        }
        let (work, count) = match request.field("applepond-workload") {
            "hold" if id.ends_with("/release") => (100, Some(&counts.released)),
            "hold" => (1200, Some(&counts.held)),
            "confirm" => (100, Some(&counts.confirmed)),
            _ => (60, None),
        };
        thread::sleep(Duration::from_millis(work));
        if let Some(count) = count {
            count.fetch_add(1, Ordering::Relaxed);
            record.line(&format!("{name}: '{id}' executed"));
        }
        result_event(name, number, "{\"done\":true}")
    })
}

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::new(CASE);
    let folder = Folder::new(CASE);
    let counts = Arc::new(Counts::default());
    let workers =
        [worker("w1", record.clone(), counts.clone()), worker("w2", record.clone(), counts.clone())];
    let port = free_port();
    let store = format!("record = \"{}\"\n", folder.0.join("record").display());
    let old = settings(port, &store, workers) + CHAIN;
    // The new settings move chains, holds and confirmations elsewhere; quotes stay.
    let cut = |text: &str, from: &str, to: &str| {
        let (start, end) = (text.find(from).unwrap(), text.find(to).unwrap());
        format!("{}{}", &text[..start], &text[end..])
    };
    let new = cut(&settings(port, &store, workers), "workload \"hold\"", "worker \"w1\"");
    let file = folder.write("settings.hcl", &old);
    let router = Program::start(&["serve", "--settings", &file], &[], &folder.0.join("log"));
    let address = ([127, 0, 0, 1], port).into();
    if !await_listener(address) {
        return record.verdict(NOT_RUN, "the router does not listen");
    }
    // SIGHUP never comes in the first second.
    thread::sleep(Duration::from_millis(1500));
    let chains: Vec<_> = (0..CHAINS)
        .map(|chain| {
            let record = record.clone();
            thread::spawn(move || {
                let (id, subject) = (format!("b{chain}"), format!("hut-{chain}"));
                let fields =
                    [("id", id.as_str()), ("source", "/desk"), ("type", "book"), ("subject", &subject)];
                let answer = send_event(address, &fields, "{}", Duration::from_secs(7));
                let told = answer.as_ref().map(|answer| format!("{} {}", answer.status(), answer.text()));
                record.line(&format!("client: book '{id}' answered: {told:?}"));
                answer.is_ok_and(|answer| answer.status() == 200)
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(400));
    if trouble() {
        folder.write("settings.new", &new);
        let _ = std::fs::rename(folder.0.join("settings.new"), folder.0.join("settings.hcl"));
        router.signal(SIGHUP);
        record.line("operator: new settings, SIGHUP");
    }
    let finished = chains.into_iter().filter_map(|chain| chain.join().ok()).filter(|done| *done).count();
    thread::sleep(Duration::from_secs(12));
    let log = std::fs::read_to_string(folder.0.join("log")).unwrap_or_default();
    drop(router);
    let switched = log.contains("settings-switched");
    let count = |count: &AtomicU64| count.load(Ordering::Relaxed);
    let (held, released, confirmed) =
        (count(&counts.held), count(&counts.released), count(&counts.confirmed));
    let summary = format!(
        "settings switched: {switched}; {finished} of {CHAINS} chains finished; {held} holds, {confirmed} \
         confirmed, {released} taken back; {} events without a type",
        count(&counts.untyped)
    );
    if switched != trouble() || held != CHAINS as u64 {
        return record.verdict(NOT_RUN, &summary);
    }
    record.verdict(if finished == CHAINS { HELD } else { BROKEN }, &summary)
}
