//! Model servers of which some answers come a second time, some milliseconds late, and the desks that ask a
//! gateway for bookings.
use review_standins::{
    BROKEN, Event, HELD, Message, Process, Record, cannot_run, folder, free_address, limit_time, listen,
    result_event, with_trouble,
};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Work of a request: the lower end of the site's range.
const WORK: Duration = Duration::from_millis(130);
/// One answer of this many comes a second time.
const ONE_IN: u64 = 10;
/// How late the second answer is.
const SECOND_AFTER: Duration = Duration::from_millis(8);
const DESKS: usize = 4;
/// How long the desks ask.
const DAY: Duration = Duration::from_secs(6);
/// Time of a desk between an answer and its next request.
const BETWEEN: Duration = Duration::from_millis(2);
/// The client's time for a request.
const TIME_LIMIT: Duration = Duration::from_secs(5);

/// Serves one connection of a router to a model server.
fn serve_worker(name: &str, record: &Record, answers: &Arc<AtomicU64>, stream: TcpStream) {
    let Ok(reader) = stream.try_clone() else { return };
    let mut reader = BufReader::new(reader);
    let writer = Arc::new(Mutex::new(stream));
    while let Ok(Some(request)) = Message::read(&mut reader) {
        let id = request.field("ce-id").to_owned();
        let hut = request.field("ce-subject").to_owned();
        record.line(&format!("{name} runs {id}"));
        std::thread::sleep(WORK);
        let body = format!("{{\"for\":\"{id}\",\"hut\":\"{hut}\",\"worker\":\"{name}\"}}");
        let number = answers.fetch_add(1, Ordering::Relaxed);
        let bytes = result_event(&format!("{name}-{number}"), name, &body);
        record.line(&format!("{name} answers {id}"));
        if writer.lock().expect("no holder panics").write_all(&bytes).is_err() {
            return;
        }
        if with_trouble() && number % ONE_IN == ONE_IN - 1 {
            let (writer, record, name) = (writer.clone(), record.clone(), name.to_owned());
            std::thread::spawn(move || {
                std::thread::sleep(SECOND_AFTER);
                record.line(&format!("{name} answers {id} a second time"));
                let _ = writer.lock().expect("no holder panics").write_all(&bytes);
            });
        }
    }
}

/// What a desk counted.
#[derive(Default)]
struct Counts {
    sent: u64,
    served: u64,
    other: u64,
    foreign: u64,
}

/// A connection of a desk to the gateway.
fn connect(gateway: SocketAddr) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect(gateway).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(TIME_LIMIT + Duration::from_secs(1))).ok()?;
    Some(BufReader::new(stream))
}

/// One desk: asks for one booking after the other on its connection.
fn desk(number: usize, gateway: SocketAddr, record: &Record) -> Counts {
    let mut counts = Counts::default();
    let source = format!("/desk/{number}");
    let until = Instant::now() + DAY;
    let mut connection: Option<BufReader<TcpStream>> = None;
    while Instant::now() < until {
        counts.sent += 1;
        let id = format!("booking-{number}-{}", counts.sent);
        let event_type = if counts.sent.is_multiple_of(2) { "confirm" } else { "quote" };
        let event = Event {
            source: &source,
            id: &id,
            event_type,
            subject: "hut-labska",
            time_limit: TIME_LIMIT,
            retry: false,
            body: "{\"nights\": 2}",
        };
        let open = connection.take().or_else(|| connect(gateway));
        let mut open = open.unwrap_or_else(|| cannot_run("the gateway takes no connection"));
        record.line(&format!("desk {number} sends {id} ({event_type})"));
        let answer =
            open.get_mut().write_all(&event.encode()).ok().and_then(|()| Message::read(&mut open).ok());
        let answer = answer.flatten();
        let is_open = answer.as_ref().is_some_and(|answer| answer.field("connection") != "close");
        match answer {
            Some(answer) if answer.status() == 200 => {
                counts.served += 1;
                let body = answer.text();
                let own = body.contains(&format!("\"for\":\"{id}\""));
                let mark = if own { "" } else { "  <-- made for another request" };
                record.line(&format!("desk {number} gets 200 for {id}: {body}{mark}"));
                counts.foreign += u64::from(!own);
            }
            answer => {
                counts.other += 1;
                let status = answer.map_or(0, |answer| answer.status());
                record.line(&format!("desk {number} gets {status} for {id}"));
            }
        }
        connection = is_open.then_some(open);
        std::thread::sleep(BETWEEN);
    }
    counts
}

fn main() {
    limit_time(Duration::from_secs(90));
    let record = Record::create();
    let gateway = free_address();
    let workers = [free_address(), free_address()];
    let answers = Arc::new(AtomicU64::new(0));
    for (index, address) in workers.iter().enumerate() {
        let (record, answers) = (record.clone(), answers.clone());
        let name = format!("w{}", index + 1);
        listen(*address, move |stream| serve_worker(&name, &record, &answers, stream));
    }
    let settings = folder().join("gateway.hcl");
    let text = include_str!("../../settings/second-answer.hcl")
        .replace("GATEWAY", &gateway.to_string())
        .replace("WORKER1", &workers[0].to_string())
        .replace("WORKER2", &workers[1].to_string());
    std::fs::write(&settings, text).unwrap_or_else(|error| cannot_run(&error.to_string()));
    let mut process = Process::serve(&settings, "gateway.log");
    let desks: Vec<_> = (0..DESKS)
        .map(|number| {
            let record = record.clone();
            std::thread::spawn(move || desk(number, gateway, &record))
        })
        .collect();
    let mut total = Counts::default();
    for desk in desks {
        let counts = desk.join().unwrap_or_else(|_| cannot_run("a desk failed"));
        total.sent += counts.sent;
        total.served += counts.served;
        total.other += counts.other;
        total.foreign += counts.foreign;
    }
    if process.has_ended() {
        cannot_run("the gateway has ended by itself");
    }
    let Counts { sent, served, other, foreign } = total;
    let summary = format!(
        "sent {sent}, served {served}, other answers {other}, \
         served with what was made for another request {foreign}"
    );
    record.line(&summary);
    println!("{summary}");
    if served == 0 {
        cannot_run("nothing was served");
    }
    drop(process);
    std::process::exit(if foreign > 0 { BROKEN } else { HELD });
}
