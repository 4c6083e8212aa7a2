//! Stand-ins of the operators' platform for `applepond node`: the configuration, the name service, model
//! servers and clients, as the protocol page describes them.
use crate::{Record, read_message};
use std::io::{BufRead, BufReader, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A model server of the list.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub cell: u32,
}

/// A class, as in `lanes` of the settings.
pub struct Class {
    pub name: &'static str,
    pub deadline_ms: u32,
    pub on_time_ms: u32,
    /// The other fields of the entry, as JSON.
    pub rest: &'static str,
}

/// The configuration file of one router; `allowed` holds the fields of the settings that differ by site.
pub fn config(
    listen: SocketAddr,
    names: SocketAddr,
    servers: &[Server],
    classes: &[Class],
    allowed: &str,
    grace_ms: u32,
) -> String {
    let members: Vec<String> = servers
        .iter()
        .map(|server| {
            format!(
                "{{\"id\":\"{}\",\"host_port\":\"{}\",\"locality\":\"room-1\",\"flavor\":\"std\",\"cell\":{},\
                 \"phase\":\"in_service\",\"size\":4,\"up_since_ms\":0}}",
                server.id, server.address, server.cell
            )
        })
        .collect();
    let lanes: Vec<String> = classes
        .iter()
        .map(|class| {
            format!(
                "{{\"name\":\"{}\",\"deadline\":{},\"on-time\":{},\"late-worth\":0.1,\"stream\":false,{}}}",
                class.name, class.deadline_ms, class.on_time_ms, class.rest
            )
        })
        .collect();
    format!(
        r#"{{"name":"n0","listen":"{listen}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":128,"sockets":512}},
"names":"{names}",
"known":{{"index":1,"updates":[{{"index":1,"endpoints":{{"revision":1,"complete":true,"members":[{}]}}}}]}},
"settings":{{"allowed":{{{allowed},"cancel":true,"connect-timeout":250.0,"idle-close":15000.0,
"max-open":20000,"max-retry-after":500.0,"may-tell":false,"multiplex":100,"probes":true,"retry-after":true}},
"clients":{{"marks-retry":false}},"discovery":"push","family":"warm","group-size":1,"kinds":["std"],
"lanes":[{}],"my-zone":"room-1","over-share-worth":0.05,"period":2.0,
"projects":[{{"name":"tenant","portion":1.0,"quota-per-s":500.0}}],
"report":{{"names":["depth"],"via":"piggyback"}},
"rules":{{"answer-slack":8.0,"ask-within":10000.0,"cold-from":0.28,"fall":3000.0,"fall-multiple":2.5,
"stop-sending-within":{grace_ms},"warm-within":17000.0}},
"self-index":0,"specifics":{{"keep":8000.0,"not-loaded":"load","orders":false,"says-company":false,
"says-warm":false}},"tier":0,"tiers":["model-hosts"],"value-by":"request","weights":"nominal",
"zones":["room-1"]}}}}"#,
        members.join(","),
        lanes.join(",")
    )
}

fn name_bytes(name: &str, out: &mut Vec<u8>) {
    for label in name.split('.') {
        out.push(label.len() as u8);
        out.extend(label.bytes());
    }
    out.push(0);
}

fn resource(out: &mut Vec<u8>, name: &str, kind: u16, data: &[u8]) {
    name_bytes(name, out);
    out.extend(kind.to_be_bytes());
    out.extend([0, 1, 0, 0, 0, 0]);
    out.extend((data.len() as u16).to_be_bytes());
    out.extend(data);
}

/// The answer of the name service to the query with this id (RFC 1035, RFC 2782).
pub fn name_answer(id: u16, serial: u32, servers: &[Server]) -> Vec<u8> {
    let service = "_rpc._tcp.mesh.local";
    let host = |server: &Server| format!("{}.room-1.hosts", server.id);
    let mut out = Vec::new();
    out.extend(id.to_be_bytes());
    out.extend([0x84, 0, 0, 1]);
    for count in [servers.len(), 1, 2 * servers.len()] {
        out.extend((count as u16).to_be_bytes());
    }
    name_bytes(service, &mut out);
    out.extend([0, 33, 0, 1]);
    for server in servers {
        let mut data = vec![0, 0, 0, 40];
        data.extend(server.address.port().to_be_bytes());
        name_bytes(&host(server), &mut data);
        resource(&mut out, service, 33, &data);
    }
    let mut data = Vec::new();
    name_bytes("ns.mesh.local", &mut data);
    name_bytes("root.mesh.local", &mut data);
    data.extend(serial.to_be_bytes());
    data.extend([0; 16]);
    resource(&mut out, "mesh.local", 6, &data);
    for server in servers {
        if let IpAddr::V4(address) = server.address.ip() {
            resource(&mut out, &host(server), 1, &address.octets());
        }
        let mut data = Vec::new();
        for text in ["kind=std".to_owned(), format!("cell={}", server.cell), "started=0".to_owned()] {
            data.push(text.len() as u8);
            data.extend(text.bytes());
        }
        resource(&mut out, &host(server), 16, &data);
    }
    out
}

/// Answers each query with the same list, until the process ends.
pub fn name_service(servers: Vec<Server>) -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("no free port");
    let address = socket.local_addr().unwrap();
    thread::spawn(move || {
        let mut buffer = [0u8; 2048];
        while let Ok((count, from)) = socket.recv_from(&mut buffer) {
            if count >= 12 {
                let id = u16::from_be_bytes([buffer[0], buffer[1]]);
                let _ = socket.send_to(&name_answer(id, 1, &servers), from);
            }
        }
    });
    address
}

/// One field of a line, text or number; empty if it is absent.
pub fn field(line: &str, name: &str) -> String {
    let start = format!("\"{name}\":");
    let Some(at) = line.find(&start) else { return String::new() };
    let rest = &line[at + start.len()..];
    match rest.strip_prefix('"') {
        Some(rest) => rest.split('"').next().unwrap_or("").to_owned(),
        None => rest.split([',', '}']).next().unwrap_or("").to_owned(),
    }
}

/// Base64 of the bytes.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(*chunk.get(index).unwrap_or(&0));
        let group = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            let index = (group >> (18 - 6 * digit)) & 63;
            out.push(if digit <= chunk.len() { DIGITS[index as usize] as char } else { '=' });
        }
    }
    out
}

/// What a model server does with a request.
pub enum Run {
    /// Answers `OK` after this time.
    Ok(Duration),
    /// Takes it and answers nothing.
    Nothing,
}

/// A model server on a new port of loopback. `decide` is called with each `DO` line; `ECHO` is answered.
pub fn model_server(
    id: &str,
    cell: u32,
    record: Record,
    decide: impl Fn(&str) -> Run + Send + Sync + 'static,
) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
    let server = Server { id: id.to_owned(), address: listener.local_addr().unwrap(), cell };
    let (id, decide) = (id.to_owned(), Arc::new(decide));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, record, decide) = (id.clone(), record.clone(), decide.clone());
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(out) = stream.try_clone() else { return };
                let out = Arc::new(Mutex::new(out));
                for line in BufReader::new(stream).lines().map_while(Result::ok) {
                    let rid = field(&line, "rid");
                    match field(&line, "verb").as_str() {
                        "ECHO" => {
                            let up = format!("{{\"verb\":\"UP\",\"rid\":\"{rid}\"}}\n");
                            let _ = out.lock().unwrap().write_all(up.as_bytes());
                        }
                        "DO" => {
                            let (queue, budget) = (field(&line, "queue"), field(&line, "budget"));
                            record.line(&format!("{id}: DO {rid} {queue}, budget {budget}"));
                            let Run::Ok(work) = decide(&line) else { continue };
                            let (id, record, out) = (id.clone(), record.clone(), out.clone());
                            thread::spawn(move || {
                                thread::sleep(work);
                                let body = base64(format!("answer to {rid}").as_bytes());
                                let answer = format!(
                                    "{{\"verb\":\"OK\",\"rid\":\"{rid}\",\"attrs\":{{}},\
                                     \"content\":\"{body}\"}}\n"
                                );
                                let _ = out.lock().unwrap().write_all(answer.as_bytes());
                                record.line(&format!("{id}: OK {rid}"));
                            });
                        }
                        verb => record.line(&format!("{id}: {verb} {rid}")),
                    }
                }
            });
        }
    });
    server
}

/// A call of a client.
pub struct Call {
    pub rid: String,
    pub class: &'static str,
    pub function: String,
    pub budget_ms: u32,
    /// The field `Once-Key`, in keyed classes.
    pub key: Option<String>,
}

impl Call {
    pub fn bytes(&self) -> Vec<u8> {
        let key = self.key.as_ref().map_or(String::new(), |key| format!("Once-Key: {key}\r\n"));
        let body = format!("body of {}", self.rid);
        format!(
            "POST /do/{}/fire HTTP/1.1\r\nHost: app.svc\r\nX-Class: {}\r\nRequest-Id: {}\r\nBudget-Ms: {}\r\n\
             Account: tenant\r\n{key}X-Extras: memory_mb:512;lanes:2;load_ms:700\r\n\
             Content-Length: {}\r\n\r\n{body}",
            self.function,
            self.class,
            self.rid,
            self.budget_ms,
            body.len()
        )
        .into_bytes()
    }
}

/// The end of a call: the status of its answer, if one came, and the time from its last byte to that end.
pub struct End {
    pub status: Option<u16>,
    pub after: Duration,
}

/// Sends a call on an open connection and waits for its answer for `patience`.
pub fn call(stream: &mut TcpStream, call: &Call, patience: Duration) -> End {
    let _ = stream.set_read_timeout(Some(patience));
    let sent = stream.write_all(&call.bytes());
    let begun = Instant::now();
    let answer = sent.ok().and_then(|()| read_message(stream, &mut Vec::new()));
    End { status: answer.map(|answer| answer.status()), after: begun.elapsed() }
}
