//! While a client's quote is open, another client sends an event under the id of that request with another
//! body. What is it answered?
use standins_2::*;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const CASE: &str = "10";
const ROUNDS: usize = 5;

/// A worker that answers with what it was asked. It notes the events that come to it.
fn worker(name: &'static str, record: Record, came: Arc<Mutex<Vec<String>>>) -> SocketAddr {
    let answers = AtomicU64::new(0);
    serve(move |request| {
        let (kind, id) = (request.field("applepond-workload"), request.field("ce-id"));
        record.line(&format!("{name}: {kind} '{id}' comes with {}", request.text()));
        came.lock().unwrap().push(format!("{kind} {id}"));
        thread::sleep(Duration::from_millis(600));
        let body = format!("{{\"answers\":\"{kind} {id}\",\"to\":{}}}", request.text());
        result_event(name, answers.fetch_add(1, Ordering::Relaxed), &body)
    })
}

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::new(CASE);
    let folder = Folder::new(CASE);
    let came = Arc::new(Mutex::new(Vec::new()));
    let workers = [worker("w1", record.clone(), came.clone()), worker("w2", record.clone(), came.clone())];
    let port = free_port();
    let customers = "customer \"snezka-hut\" {\n  jobs_per_s = 60\n}\ncustomer \"labska-hut\" {\n  \
                     jobs_per_s = 50\n}\n";
    let file = folder.write("settings.hcl", &settings(port, customers, workers));
    let router = Program::start(&["serve", "--settings", &file], &[], &folder.0.join("log"));
    let address = ([127, 0, 0, 1], port).into();
    if !await_listener(address) {
        return record.verdict(NOT_RUN, "the router does not listen");
    }
    let (mut served, mut others, mut usual) = (0, 0, 0);
    for round in 0..2 * ROUNDS {
        let open = format!("r{round}");
        // Without the disruption the second client's event has an id of its own.
        let other = if trouble() { open.clone() } else { format!("s{round}") };
        let quote = {
            let (record, id) = (record.clone(), open.clone());
            thread::spawn(move || {
                send(address, &record, "usual", &id, "quote", "snezka-hut", "{\"nights\":2,\"guest\":\"A\"}")
            })
        };
        thread::sleep(Duration::from_millis(200));
        // The first rounds differ in the body alone, and decide; the others in type and customer too.
        let (kind, customer) =
            if round < ROUNDS { ("quote", "snezka-hut") } else { ("confirm", "labska-hut") };
        let answer = send(address, &record, "other", &other, kind, customer, "{\"beds\":4,\"guest\":\"B\"}");
        let answered = quote.join().ok().flatten();
        usual += usize::from(answered.is_some_and(|text| text.contains("\"A\"")));
        let foreign = usize::from(answer.is_some_and(|body| body.contains("\"A\"")));
        if round < ROUNDS {
            served += foreign;
        } else {
            others += foreign;
        }
    }
    drop(router);
    let came = came.lock().unwrap().len();
    if usual != 2 * ROUNDS {
        return record.verdict(NOT_RUN, &format!("{usual} of {} usual quotes were answered", 2 * ROUNDS));
    }
    if !trouble() && came < 4 * ROUNDS {
        return record.verdict(NOT_RUN, &format!("{came} of {} events came to a worker", 4 * ROUNDS));
    }
    let summary = format!(
        "{served} of {ROUNDS} events under the id of an open quote, with another body, were answered 200 \
         with the answer to the other body; of another type and customer too: {others} of {ROUNDS}"
    );
    record.verdict(if served == 0 { HELD } else { BROKEN }, &summary)
}

/// Sends an event; returns the body of its answer if that is 200.
fn send(
    address: SocketAddr,
    record: &Record,
    client: &str,
    id: &str,
    kind: &str,
    customer: &str,
    body: &str,
) -> Option<String> {
    let fields = [
        ("id", id),
        ("source", "/desk/7"),
        ("type", kind),
        ("subject", "hut-labska"),
        ("customer", customer),
    ];
    record.line(&format!("{client} client: {kind} '{id}' of {customer} sent with {body}"));
    let answer = send_event(address, &fields, body, Duration::from_secs(6));
    let told = answer.as_ref().map(|answer| format!("{} {}", answer.status(), answer.text()));
    record.line(&format!("{client} client: {kind} '{id}' answered: {told:?}"));
    answer.ok().filter(|answer| answer.status() == 200).map(|answer| answer.text())
}
