//! Desks whose first try of a quote breaks off early and whose second try has less time, and model servers
//! whose loads wait for a model store that has stopped.
use review_standins::{
    BROKEN, Event, HELD, Message, Process, Record, cannot_run, folder, free_address, limit_time, listen,
    result_event, with_trouble,
};
use std::collections::BTreeSet;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Work of a request, and the load of its model while the store serves.
const WORK: Duration = Duration::from_millis(130);
const LOAD: Duration = Duration::from_millis(300);
/// How long the store stands still, from the start of the day.
const STORE_DOWN: Duration = Duration::from_secs(8);
/// The client's time for the first try, all of the workload's limit, and for the second, half of it.
const FIRST_LIMIT: Duration = Duration::from_millis(4000);
const SECOND_LIMIT: Duration = Duration::from_millis(2000);
/// When the client leaves its first try: 0.4 of the start target of 1.5 s.
const LEAVES_AFTER: Duration = Duration::from_millis(600);
/// Until this long after a try's time an answer only earns nothing; later it is lost.
const SLACK: Duration = Duration::from_millis(500);
const DESKS: usize = 5;

/// A model server's store and the models it has loaded.
struct Server {
    name: &'static str,
    record: Record,
    store_back_at: Option<Instant>,
    loaded: Mutex<BTreeSet<String>>,
}

impl Server {
    fn serve(&self, stream: TcpStream) {
        let Ok(reader) = stream.try_clone() else { return };
        let (mut reader, mut writer) = (BufReader::new(reader), stream);
        while let Ok(Some(request)) = Message::read(&mut reader) {
            let id = request.field("ce-id").to_owned();
            let model = request.field("applepond-function").to_owned();
            self.record.line(&format!("{} gets {id}", self.name));
            if !self.loaded.lock().expect("no holder panics").contains(&model) {
                if let Some(back_at) = self.store_back_at {
                    sleep(back_at.saturating_duration_since(Instant::now()));
                }
                sleep(LOAD);
                self.loaded.lock().expect("no holder panics").insert(model);
            }
            sleep(WORK);
            let body = format!("{{\"for\":\"{id}\",\"worker\":\"{}\"}}", self.name);
            let sent = writer.write_all(&result_event("result", self.name, &body)).is_ok();
            self.record.line(&format!("{} has run {id}, answer sent: {sent}", self.name));
        }
    }
}

/// One try of a desk, which waits for `wait`. Returns the status and when the answer came.
fn ask(
    desk: usize,
    gateway: SocketAddr,
    record: &Record,
    limit: Duration,
    wait: Duration,
) -> Option<(u16, Duration)> {
    let (source, id, model) = (format!("/desk/{desk}"), format!("quote-{desk}"), format!("hut-{desk}"));
    let event = Event {
        source: &source,
        id: &id,
        event_type: "quote",
        subject: &model,
        time_limit: limit,
        retry: limit != FIRST_LIMIT,
        body: "{\"nights\": 2}",
    };
    let stream = TcpStream::connect(gateway);
    let mut stream = stream.unwrap_or_else(|error| cannot_run(&format!("the gateway: {error}")));
    let _ = stream.set_read_timeout(Some(wait));
    record.line(&format!("desk {desk} sends {id}, waits for {} ms", limit.as_millis()));
    let sent_at = Instant::now();
    if stream.write_all(&event.encode()).is_err() {
        cannot_run("the gateway takes no request");
    }
    let answer = Message::read(&mut BufReader::new(stream)).ok().flatten();
    let after = sent_at.elapsed();
    match answer {
        Some(answer) => {
            let (status, ms) = (answer.status(), after.as_millis());
            record.line(&format!("desk {desk} gets {status} for {id} after {ms} ms"));
            Some((status, after))
        }
        None => {
            record
                .line(&format!("desk {desk} has no answer for {id} after {} ms, leaves", after.as_millis()));
            None
        }
    }
}

/// One desk. Returns whether its last try got its final answer in time, or within the slack.
fn desk(number: usize, gateway: SocketAddr, record: &Record) -> bool {
    if ask(number, gateway, record, FIRST_LIMIT, LEAVES_AFTER).is_some() {
        return true;
    }
    // Keeps its connection open until well after the slack, to see whether an answer comes at all.
    let answer = ask(number, gateway, record, SECOND_LIMIT, Duration::from_secs(6));
    answer.is_some_and(|(_, after)| after <= SECOND_LIMIT + SLACK)
}

fn main() {
    limit_time(Duration::from_secs(90));
    let record = Record::create();
    let (gateway, workers) = (free_address(), [free_address(), free_address()]);
    let settings = folder().join("gateway.hcl");
    let text = include_str!("../../settings/earlier-deadline.hcl")
        .replace("GATEWAY", &gateway.to_string())
        .replace("WORKER1", &workers[0].to_string())
        .replace("WORKER2", &workers[1].to_string());
    std::fs::write(&settings, text).unwrap_or_else(|error| cannot_run(&error.to_string()));
    let store_back_at = with_trouble().then(|| Instant::now() + STORE_DOWN);
    for (address, name) in workers.into_iter().zip(["w1", "w2"]) {
        let server = Server { name, record: record.clone(), store_back_at, loaded: Mutex::default() };
        listen(address, move |stream| server.serve(stream));
    }
    let mut process = Process::serve(&settings, "gateway.log");
    sleep(Duration::from_millis(300));
    let desks: Vec<_> = (0..DESKS)
        .map(|number| {
            let record = record.clone();
            std::thread::spawn(move || desk(number, gateway, &record))
        })
        .collect();
    let results = desks.into_iter().map(|desk| desk.join().unwrap_or_else(|_| cannot_run("a desk failed")));
    let lost = results.filter(|in_time| !in_time).count();
    if process.has_ended() {
        cannot_run("the gateway has ended by itself");
    }
    drop(process);
    let summary = format!("desks {DESKS}, last tries without a final answer in their time + 500 ms: {lost}");
    record.line(&summary);
    println!("{summary}");
    std::process::exit(if lost > 0 { BROKEN } else { HELD });
}
