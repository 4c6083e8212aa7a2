//! A gateway stands still while a worker is reported draining. Is new work sent to that worker afterwards?
use standins_2::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const CASE: &str = "hand";
const CLIENTS: usize = 16;
const GRACE_MS: f64 = 1000.0;
const SLACK_MS: f64 = 50.0;
const STALL: Duration = Duration::from_millis(1900);

fn worker(name: &'static str, record: Record, came: Arc<Mutex<Vec<(f64, &'static str)>>>) -> SocketAddr {
    let answers = AtomicU64::new(0);
    serve(move |request| {
        came.lock().unwrap().push((record.ms(), name));
        record.line(&format!("{name}: '{}' comes", request.field("ce-id")));
        thread::sleep(Duration::from_millis(100));
        result_event(name, answers.fetch_add(1, Ordering::Relaxed), "{\"done\":true}")
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
    let (port, hosts) = (free_port(), free_port());
    let at = format!("127.0.0.1:{hosts}");
    let rows = [format!("--worker=w1={}", workers[0]), format!("--worker=w2={}", workers[1])];
    let args = ["standin", "hosts", "--listen", &at, &rows[0], &rows[1]];
    let _list = Program::start(&args, &[], &folder.0.join("hosts"));
    if !await_listener(at.parse().unwrap()) {
        return record.verdict(NOT_RUN, "the host list does not listen");
    }
    let text = settings(port, &format!("hosts = \"{at}\"\n"), workers);
    let text = text[..text.find("worker \"w1\"").unwrap()].to_owned();
    let file = folder.write("settings.hcl", &text);
    let router = Program::start(&["serve", "--settings", &file], &[], &folder.0.join("log"));
    let address: SocketAddr = ([127, 0, 0, 1], port).into();
    if !await_listener(address) {
        return record.verdict(NOT_RUN, "the router does not listen");
    }
    thread::sleep(Duration::from_millis(500));
    let quote = |stream: &mut TcpStream, id: &str, subject: &str| {
        let fields = [("id", id), ("source", "/desk"), ("type", "quote"), ("subject", subject)];
        let _ = stream.write_all(&event_bytes(&fields, "{}"));
    };
    let mut clients: Vec<TcpStream> = (0..CLIENTS).filter_map(|_| TcpStream::connect(address).ok()).collect();
    for (index, client) in clients.iter_mut().enumerate() {
        quote(client, &format!("a{index}"), &format!("hut-{}", index % 8));
        let _ = read_message(client, &mut Vec::new());
    }
    if trouble() {
        router.signal(SIGSTOP);
        record.line("the router stands still");
    }
    for (index, client) in clients.iter_mut().enumerate() {
        if trouble() {
            quote(client, &format!("b{index}"), &format!("hut-{}", index % 8));
        }
    }
    thread::sleep(Duration::from_millis(100));
    let mut post = TcpStream::connect(&at).unwrap();
    let _ = post.write_all(b"POST /-/standing?w1=draining HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
    let told = record.ms();
    record.line("host list: w1 draining");
    thread::sleep(STALL - Duration::from_millis(100));
    if trouble() {
        router.signal(SIGCONT);
        record.line("the router goes on");
    } else {
        for (index, client) in clients.iter_mut().enumerate() {
            quote(client, &format!("b{index}"), &format!("hut-{}", index % 8));
        }
    }
    thread::sleep(Duration::from_millis(1500));
    drop(router);
    let came = came.lock().unwrap();
    let late: Vec<String> = came
        .iter()
        .filter(|(at, name)| *name == "w1" && at - told > GRACE_MS + SLACK_MS)
        .map(|(at, _)| format!("{:.0} ms", at - told))
        .collect();
    let summary = format!("new work at w1 after its drain was told: {late:?}");
    record.verdict(if late.is_empty() { HELD } else { BROKEN }, &summary)
}
