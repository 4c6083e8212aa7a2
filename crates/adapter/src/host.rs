//! Many wholly separate instances behind one wire.
use applepond::control::Control;
use applepond::interface::*;
use applepond_platform::fault::Unfit;
use applepond_platform::fields::*;
use applepond_platform::rows::{Words, copy_note, startup};
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// All instances of this process, by the number that the wire gives them.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Instance>,
}

/// One instance: its decisions and the names behind the ids.
struct Instance {
    control: Control,
    names: Names,
}

#[derive(Default)]
struct Names {
    servers: BTreeMap<WorkerId, String>,
    functions: BTreeMap<FunctionId, String>,
    words: Words,
}

/// Writes what the decisions order as actions of the wire, in their order.
struct Reply<'a> {
    names: &'a Names,
    actions: Vec<Value>,
}

fn ms(time: Micros) -> f64 {
    time as f64 / 1000.0
}

fn id_text(request: &RequestId) -> &str {
    std::str::from_utf8(&request.0).expect("ids came in as text")
}

impl Actions for Reply<'_> {
    /// On the simulator's wire an attempt leaves when it is ordered.
    fn send(&mut self, request: RequestId, server: WorkerId, patience: Micros, _begin: Micros) {
        let server = &self.names.servers[&server];
        self.actions.push(
            json!({"op": "try", "msg-id": id_text(&request), "server": server, "patience": ms(patience)}),
        );
    }

    fn cancel(&mut self, request: RequestId, attempt: usize) {
        self.actions.push(json!({"op": "call-off", "msg-id": id_text(&request), "send-no": attempt}));
    }

    fn reject(&mut self, request: RequestId, come_back: Option<Micros>) {
        self.actions.push(json!({"op": "decline", "msg-id": id_text(&request), "wait": come_back.map(ms)}));
    }

    fn fail(&mut self, request: RequestId) {
        self.actions.push(json!({"op": "report-failure", "msg-id": id_text(&request)}));
    }

    fn set_timer(&mut self, delay: Micros, token: TimerToken) {
        self.actions.push(json!({"op": "after", "offset": ms(delay), "token": token.0}));
    }

    fn log(&mut self, text: &str) {
        self.actions.push(json!({"op": "journal-line", "message": text}));
    }

    fn watch_endpoints(&mut self) {
        self.actions.push(json!({"op": "watch", "active": true}));
    }
}

impl Host {
    /// Answers one batch; a fault names the instance and the field.
    pub fn batch(&mut self, line: &str) -> Result<String, Unfit> {
        let batch: Value =
            serde_json::from_str(line).map_err(|e| Unfit::NoJson(e.to_string()).at("batch"))?;
        let now = time(&batch, "ts").map_err(|why| why.at("batch"))?;
        let mut parts = Vec::new();
        for part in array(&batch, "parts").map_err(|why| why.at("batch"))? {
            let number = whole(part, "router").map_err(|why| why.at("batch"))?;
            let told = |why: Unfit| why.at(format!("instance {number}"));
            let mut actions = Vec::new();
            for event in array(part, "arrivals").map_err(told)? {
                actions.extend(self.event(number, now, event).map_err(told)?);
            }
            if !actions.is_empty() {
                parts.push(json!({"router": number, "orders": actions}));
            }
        }
        Ok(json!({ "parts": parts }).to_string())
    }

    fn event(&mut self, number: u64, now: Micros, event: &Value) -> Read<Vec<Value>> {
        let op = text(event, "op")?;
        if op == "boot" {
            let setup = object(event, "setup")?;
            let names = Names { words: Words::read(setup)?, ..Names::default() };
            let rows = startup(setup, whole(event, "salt")?)?;
            let mut reply = Reply { names: &names, actions: Vec::new() };
            let control = Control::new(now, rows, &mut reply);
            let actions = reply.actions;
            self.instances.insert(number, Instance { control, names });
            return Ok(actions);
        }
        if op == "kill" {
            self.instances.remove(&number);
            return Ok(Vec::new());
        }
        let instance = self.instances.get_mut(&number).ok_or_else(|| Unfit::NotBooted(op.to_owned()))?;
        instance.event(now, op, event).map_err(|why| why.at(format!("'{op}'")))
    }
}

impl Instance {
    fn event(&mut self, now: Micros, op: &str, event: &Value) -> Read<Vec<Value>> {
        // Names come first, so that an id is known before anything is ordered for it.
        if op == "endpoints" {
            for entry in maybe(event, "members").and_then(Value::as_array).into_iter().flatten() {
                let name = text(entry, "server")?;
                self.names.servers.entry(WorkerId::named(name)).or_insert_with(|| name.to_owned());
            }
        }
        if op == "knock" {
            let name = text(event, "model")?;
            self.names.functions.entry(FunctionId::named(name)).or_insert_with(|| name.to_owned());
        }
        let names = &self.names;
        let reply = &mut Reply { names, actions: Vec::new() };
        let control = &mut self.control;
        control.advance_to(now);
        match op {
            "endpoints" => {
                let kind = match text(event, "kind")? {
                    "INCREMENTAL" => EndpointListKind::Changes,
                    "FULL" => EndpointListKind::Full,
                    "SAVED" => EndpointListKind::Saved,
                    "FAILED" => EndpointListKind::Failed,
                    other => return Err(Unfit::field("kind", format!("'{other}' is not known"))),
                };
                let entries =
                    maybe(event, "members").and_then(Value::as_array).map_or(&[][..], Vec::as_slice);
                let entries = entries.iter().map(|e| listed(e, names)).collect::<Read<Vec<_>>>()?;
                control.endpoints_updated(reply, kind, &entries);
            }
            "knock" => {
                let customer = match maybe(event, "customer") {
                    None => None,
                    Some(v) if v.as_u64() == Some(0) => None,
                    Some(_) => Some(CustomerId(position(&names.words.customers, event, "customer")?)),
                };
                let arrival = RequestArrival {
                    request: request(event)?,
                    function: FunctionId::named(text(event, "model")?),
                    workload: WorkloadId(position(&names.words.workloads, event, "type")?),
                    customer,
                    time_left: time(event, "left")?,
                    retry: mark(event, "retry")?,
                    concurrency: number_or(event, "at-once", 1.0)? as u32,
                    load_time: maybe(event, "start-ms").map(|_| time(event, "start-ms")).transpose()?,
                    priority_factor: 1.0,
                };
                control.request_arrived(reply, &arrival);
            }
            "closed-attempt" => {
                let detail = number_or(event, "detail", 0.0)? as u32;
                let usage = maybe(event, "usage").unwrap_or(&Value::Null);
                let answer = AttemptResult {
                    outcome: outcome(event)?,
                    request_ended: mark(event, "terminal")?,
                    elapsed: time_or_none(event, "elapsed")?,
                    load_state: copy_note(detail & 7),
                    same_function_in_flight: detail >> 3,
                    reported_in_flight: maybe(usage, "concurrent").and_then(Value::as_f64),
                    reported_loads: maybe(usage, "x1").and_then(Value::as_f64),
                };
                control.attempt_finished(
                    reply,
                    request(event)?,
                    number_or(event, "send-no", 0.0)? as usize,
                    &answer,
                );
            }
            "streaming" => control.response_started(request(event)?),
            "expired" => control.client_disconnected(reply, request(event)?),
            "wakeup" => control.timer_fired(reply, TimerToken(whole(event, "token")?)),
            // Nothing is decided on these yet: no probe, message or order to load is ever sent.
            "probed" | "whisper" | "stands" => {}
            other => return Err(Unfit::Event(other.to_owned())),
        }
        Ok(std::mem::take(&mut reply.actions))
    }
}

fn outcome(event: &Value) -> Read<Outcome> {
    Ok(match number_or(event, "code", 0.0)? as i64 {
        0 => Outcome::Finished,
        1 => Outcome::NotLoaded,
        255 => Outcome::Error,
        254 => Outcome::Overloaded,
        253 => Outcome::TimedOut,
        252 => Outcome::ConnectFailed,
        251 => Outcome::ConnectionLost,
        250 => Outcome::Cancelled,
        249 => Outcome::Superseded,
        other => return Err(Unfit::field("code", format!("{other} is not known"))),
    })
}

fn listed(entry: &Value, names: &Names) -> Read<Endpoint> {
    let place = |list: &[String], name| maybe(entry, name).map(|_| position(list, entry, name)).transpose();
    Ok(Endpoint {
        worker: WorkerId::named(text(entry, "server")?),
        status: match text(entry, "condition")? {
            "Ready" => WorkerStatus::Ready,
            "Terminating" => WorkerStatus::Draining,
            "Gone" => WorkerStatus::Gone,
            other => return Err(Unfit::field("condition", format!("'{other}' is not known"))),
        },
        up_since: time_or_none(entry, "up-since")?,
        zone: place(&names.words.zones, "rack-zone")?.map(ZoneId),
        rack: RackId(number_or(entry, "group", 0.0)? as i64),
        weight: number_or(entry, "nominal", 1.0)?,
    })
}

fn request(from: &Value) -> Read<RequestId> {
    let id = text(from, "msg-id")?;
    id.as_bytes().try_into().map(RequestId).or_else(|_| fault("msg-id", "36 characters are wanted"))
}
