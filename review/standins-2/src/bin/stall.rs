//! Routers stand still for up to two seconds and then find all that came meanwhile. A client has sent its
//! call to such a router; the model server that gets it answers nothing. Is the client answered in time?
use standins_2::platform::{Call, Class, End, Run, call, config, model_server, name_service};
use standins_2::*;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The case's folder.
const CASE: &str = "8";
/// The time limit of both classes; a try is given up after 50 to 100% of it.
const BUDGET_MS: u32 = 3000;
/// An answer up to half a second after its time earns nothing; later, it is lost. With the sockets' slack.
const LATEST: Duration = Duration::from_millis(BUDGET_MS as u64 + 550);
/// A model host that hangs does so for at least this long.
const HANG: Duration = Duration::from_millis(5200);
const STALL: Duration = Duration::from_millis(1900);
const ROUNDS: usize = 3;
/// Clients of each of the two routers.
const CLIENTS: usize = 24;
const SERVERS: usize = 6;

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::new(CASE);
    let folder = Folder::new(CASE);
    // `STALL=0` and `HANG=0` leave out one of the two troubles alone.
    let asked = |name: &str| trouble() && std::env::var(name).map_or(true, |value| value != "0");
    let (stalls, hangs) = (asked("STALL"), asked("HANG"));
    let hanging = Arc::new(AtomicBool::new(false));
    let servers: Vec<_> = (0..SERVERS)
        .map(|number| {
            let hanging = hanging.clone();
            model_server(&format!("s-{number}"), number as u32 / 3, record.clone(), move |_| {
                match number == 0 && hanging.load(Ordering::Relaxed) {
                    true => Run::Nothing,
                    false => Run::Ok(Duration::from_millis(120)),
                }
            })
        })
        .collect();
    let names = name_service(servers.clone());
    let listen: SocketAddr = ([127, 0, 0, 1], free_port()).into();
    let other: SocketAddr = ([127, 0, 0, 1], free_port()).into();
    let classes = [
        Class {
            name: "payee-check",
            deadline_ms: BUDGET_MS,
            on_time_ms: 750,
            rest: "\"group\":\"all\",\"idempotency\":\"idempotent\",\"window\":3000,\"worth\":3",
        },
        Class {
            name: "payment-post",
            deadline_ms: BUDGET_MS,
            on_time_ms: 1200,
            rest: "\"group\":\"cell\",\"idempotency\":\"deduplicated\",\"window\":2000,\"worth\":9",
        },
    ];
    let allowed = "\"attempts-cap\":3,\"second-copies\":false";
    let config = |at| {
        let text = config(at, names, &servers, &classes, allowed, 1000);
        text.replace("\"group-size\":1", "\"group-size\":2")
    };
    let file = folder.write("config.json", &config(listen));
    let mut router = Program::start(&["node"], &[("PROXY_CONFIG", &file)], &folder.0.join("log"));
    // The second router never stands still.
    let text = config(other).replace("\"name\":\"n0\"", "\"name\":\"n1\"");
    let file = folder.write("other.json", &text.replace("\"self-index\":0", "\"self-index\":1"));
    let second = Program::start(&["node"], &[("PROXY_CONFIG", &file)], &folder.0.join("log-1"));
    if !await_listener(listen) || !await_listener(other) {
        return record.verdict(NOT_RUN, "the router does not listen");
    }
    // Ordinary calls first: all functions are known and answered.
    let early = round(&record, [listen, other], 0);
    let early = early.iter().filter(|(_, end)| end.status == Some(200)).count();
    let mut late = Vec::new();
    for number in 1..=ROUNDS {
        let begun = Instant::now();
        hanging.store(hangs, Ordering::Relaxed);
        record.line(&format!(
            "round {number}: s-0 answers nothing: {hangs}; the router stands still: {stalls}"
        ));
        if stalls {
            router.signal(SIGSTOP);
        }
        let calls = {
            let record = record.clone();
            thread::spawn(move || round(&record, [listen, other], number))
        };
        thread::sleep(STALL);
        if stalls {
            router.signal(SIGCONT);
            record.line("the router goes on");
        }
        for (rid, end) in calls.join().unwrap_or_default() {
            if end.status.is_none() || end.after > LATEST {
                late.push(format!("{rid} {:?} after {} ms", end.status, end.after.as_millis()));
            }
        }
        thread::sleep(HANG.saturating_sub(begun.elapsed()));
        hanging.store(false, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(1500));
    }
    let ended = router.ended();
    drop((router, second));
    if ended.is_some() || early < 2 * CLIENTS {
        let text = format!("{early} of {} early calls served; router: {ended:?}", 2 * CLIENTS);
        return record.verdict(NOT_RUN, &text);
    }
    let summary = format!(
        "{} of {} calls had no answer half a second after their time: {late:?}",
        late.len(),
        2 * ROUNDS * CLIENTS
    );
    record.verdict(if late.is_empty() { HELD } else { BROKEN }, &summary)
}

/// Clients of both routers send a call each; returns how each of them ended.
fn round(record: &Record, routers: [SocketAddr; 2], number: usize) -> Vec<(String, End)> {
    let clients: Vec<_> = (0..2 * CLIENTS)
        .map(|index| {
            let (client, at) = (index % CLIENTS, routers[index / CLIENTS]);
            let record = record.clone();
            thread::spawn(move || {
                let mut stream = TcpStream::connect(at).ok()?;
                let _ = stream.set_nodelay(true);
                thread::sleep(Duration::from_millis(30 + 2 * client as u64));
                let keyed = client % 4 == 3;
                let rid = format!("{:08x}{index:08x}", number + 1);
                let this = Call {
                    class: if keyed { "payment-post" } else { "payee-check" },
                    function: format!("{:016x}", 0x7f3a_9c21 + client % 12),
                    budget_ms: BUDGET_MS,
                    key: keyed.then(|| format!("{rid}{rid}")),
                    rid,
                };
                record.line(&format!("client: {} {} sent", this.class, this.rid));
                let begun = Instant::now();
                // Then it stops waiting and closes its connection.
                let end = call(&mut stream, &this, LATEST);
                let waited = begun.elapsed().as_millis();
                record.line(&format!("client: {} answered {:?} after {waited} ms", this.rid, end.status));
                Some((this.rid, end))
            })
        })
        .collect();
    clients.into_iter().filter_map(|client| client.join().ok().flatten()).collect()
}
