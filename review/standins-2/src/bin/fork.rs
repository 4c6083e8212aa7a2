//! A chain holds beds at two huts at once and goes on with the first. Its gateway is killed while the
//! confirmation runs and started again; the client asks again, and the chain fails. Are both holds taken back?
use standins_2::*;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const CASE: &str = "hand";

const CHAIN: &str = "chain \"book\" {
  types      = [\"book\"]
  time_limit = \"5s\"
  step \"price\" {
    workload = \"quote\"
    at_least = \"40ms\"
    next {
      first = [\"one\", \"two\"]
      join  = \"confirm\"
    }
  }
  step \"one\" {
    workload = \"hold\"
    undo     = \"release-one\"
  }
  step \"two\" {
    workload = \"hold\"
    undo     = \"release-two\"
  }
  step \"confirm\" {
    workload = \"confirm\"
    at_least = \"40ms\"
  }
  step \"release-one\" {
    workload = \"hold\"
  }
  step \"release-two\" {
    workload = \"hold\"
  }
}
";

fn worker(name: &'static str, record: Record, done: Arc<Mutex<BTreeSet<String>>>) -> SocketAddr {
    let answers = AtomicU64::new(0);
    serve(move |request| {
        let id = request.field("ce-id").to_owned();
        let step = id.split('/').nth(1).unwrap_or("").to_owned();
        let work = match step.as_str() {
            "two" => 250,
            "confirm" => 1500,
            _ => 80,
        };
        thread::sleep(Duration::from_millis(work));
        record.line(&format!("{name}: '{id}' executed"));
        done.lock().unwrap().insert(step);
        result_event(name, answers.fetch_add(1, Ordering::Relaxed), "{\"done\":true}")
    })
}

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::new(CASE);
    let folder = Folder::new(CASE);
    let done = Arc::new(Mutex::new(BTreeSet::new()));
    let workers = [worker("w1", record.clone(), done.clone()), worker("w2", record.clone(), done.clone())];
    let port = free_port();
    let store = format!("record = \"{}\"\n", folder.0.join("record").display());
    let file = folder.write("settings.hcl", &(settings(port, &store, workers) + CHAIN));
    let router = Program::start(&["serve", "--settings", &file], &[], &folder.0.join("log"));
    let address: SocketAddr = ([127, 0, 0, 1], port).into();
    if !await_listener(address) {
        return record.verdict(NOT_RUN, "the router does not listen");
    }
    let fields = [("id", "b"), ("source", "/desk"), ("type", "book"), ("subject", "hut-1")];
    let ask = {
        let record = record.clone();
        thread::spawn(move || {
            let answer = send_event(address, &fields, "{}", Duration::from_secs(6));
            record.line(&format!("client: {:?}", answer.map(|answer| (answer.status(), answer.text()))));
        })
    };
    thread::sleep(Duration::from_millis(800));
    drop(router);
    record.line("the router is killed");
    let _ = ask.join();
    thread::sleep(Duration::from_millis(500));
    let router = Program::start(&["serve", "--settings", &file], &[], &folder.0.join("log"));
    if !await_listener(address) {
        return record.verdict(NOT_RUN, "the router does not listen again");
    }
    let answer = send_event(address, &fields, "{}", Duration::from_secs(6));
    record.line(&format!("client: {:?}", answer.map(|answer| (answer.status(), answer.text()))));
    thread::sleep(Duration::from_secs(8));
    drop(router);
    let done = done.lock().unwrap();
    let left: Vec<&str> = [("one", "release-one"), ("two", "release-two")]
        .into_iter()
        .filter(|(hold, undo)| done.contains(*hold) && !done.contains(*undo))
        .map(|(hold, _)| hold)
        .collect();
    record.verdict(if left.is_empty() { HELD } else { BROKEN }, &format!("holds not taken back: {left:?}"))
}
