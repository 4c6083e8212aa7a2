//! Independent router instances that share one connection to the simulator.

use applepond::control::Control;
use applepond::interface::{
    Actions, AttemptResult, CustomerId, Endpoint, EndpointListKind, FunctionId, Micros, Outcome, RackId,
    RequestArrival, RequestId, TimerToken, WorkerId, WorkerStatus, WorkloadId, ZoneId,
};
use applepond_platform::errors::InputError;
use applepond_platform::fields::{
    InputResult, array, flag, invalid_field, name_index, number_or, object, optional, text, time,
    time_or_zero, unsigned,
};
use applepond_platform::startup::{ConfigNames, load_state_from_code, startup_config};
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// Low bits of a response's `detail`, which encode the load state. The other bits count the requests of the
/// same function in flight.
const LOAD_STATE_MASK: u32 = 7;
const LOAD_STATE_BITS: u32 = 3;

/// All router instances of this process, by the number that the simulator assigns to them.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Instance>,
}

/// A router instance and the names that its ids stand for.
struct Instance {
    control: Control,
    names: Names,
}

/// The simulator's names of workers and functions, and the names in the configuration.
#[derive(Default)]
struct Names {
    workers: BTreeMap<WorkerId, String>,
    functions: BTreeMap<FunctionId, String>,
    config: ConfigNames,
}

/// Collects the actions of one event, in order, as messages to the simulator.
struct ReplyBuilder<'a> {
    names: &'a Names,
    actions: Vec<Value>,
}

fn millis(time: Micros) -> f64 {
    time as f64 / 1000.0
}

fn id_text(request: &RequestId) -> &str {
    std::str::from_utf8(&request.0).expect("ids are created from UTF-8 text")
}

impl Actions for ReplyBuilder<'_> {
    /// `not_after` is ignored: the simulator sends an attempt at once.
    fn send(&mut self, request: RequestId, worker: WorkerId, timeout: Micros, _not_after: Micros) {
        let worker = &self.names.workers[&worker];
        self.actions.push(
            json!({"op": "try", "msg-id": id_text(&request), "server": worker, "patience": millis(timeout)}),
        );
    }

    fn cancel(&mut self, request: RequestId, attempt: usize) {
        self.actions.push(json!({"op": "call-off", "msg-id": id_text(&request), "send-no": attempt}));
    }

    fn reject(&mut self, request: RequestId, retry_after: Option<Micros>) {
        self.actions
            .push(json!({"op": "decline", "msg-id": id_text(&request), "wait": retry_after.map(millis)}));
    }

    fn fail(&mut self, request: RequestId) {
        self.actions.push(json!({"op": "report-failure", "msg-id": id_text(&request)}));
    }

    fn set_timer(&mut self, delay: Micros, token: TimerToken) {
        self.actions.push(json!({"op": "after", "offset": millis(delay), "token": token.0}));
    }

    fn log(&mut self, text: &str) {
        self.actions.push(json!({"op": "journal-line", "message": text}));
    }

    fn watch_endpoints(&mut self) {
        self.actions.push(json!({"op": "watch", "active": true}));
    }
}

impl Host {
    /// Handles one batch of events, given as a line of JSON, and returns the resulting actions as a line of
    /// JSON.
    ///
    /// # Errors
    /// A malformed batch; the error names the instance and the field. Earlier events of the batch have taken
    /// effect, so the caller has to stop.
    pub fn handle_batch(&mut self, line: &str) -> Result<String, InputError> {
        let batch: Value = serde_json::from_str(line)
            .map_err(|error| InputError::InvalidJson(error.to_string()).in_context("batch"))?;
        let now = time(&batch, "ts").map_err(|error| error.in_context("batch"))?;
        let mut parts = Vec::new();
        for part in array(&batch, "parts").map_err(|error| error.in_context("batch"))? {
            let number = unsigned(part, "router").map_err(|error| error.in_context("batch"))?;
            let in_instance = |error: InputError| error.in_context(format!("instance {number}"));
            let mut actions = Vec::new();
            for event in array(part, "arrivals").map_err(in_instance)? {
                actions.extend(self.handle_event(number, now, event).map_err(in_instance)?);
            }
            if !actions.is_empty() {
                parts.push(json!({"router": number, "orders": actions}));
            }
        }
        Ok(json!({ "parts": parts }).to_string())
    }

    fn handle_event(&mut self, number: u64, now: Micros, event: &Value) -> InputResult<Vec<Value>> {
        let op = text(event, "op")?;
        if op == "boot" {
            let setup = object(event, "setup")?;
            let names = Names { config: ConfigNames::read(setup)?, ..Names::default() };
            let config = startup_config(setup, unsigned(event, "salt")?)?;
            let mut reply = ReplyBuilder { names: &names, actions: Vec::new() };
            let control = Control::new(now, config, &mut reply);
            let actions = reply.actions;
            self.instances.insert(number, Instance { control, names });
            return Ok(actions);
        }
        if op == "kill" {
            self.instances.remove(&number);
            return Ok(Vec::new());
        }
        let instance = self.instances.get_mut(&number).ok_or_else(|| InputError::NotBooted(op.to_owned()))?;
        instance.handle_event(now, op, event).map_err(|error| error.in_context(format!("'{op}'")))
    }
}

impl Instance {
    fn handle_event(&mut self, now: Micros, op: &str, event: &Value) -> InputResult<Vec<Value>> {
        // Names are recorded before the event is handled, as its actions look them up by id.
        if op == "endpoints" {
            for entry in optional(event, "members").and_then(Value::as_array).into_iter().flatten() {
                let name = text(entry, "server")?;
                self.names.workers.entry(WorkerId::named(name)).or_insert_with(|| name.to_owned());
            }
        }
        if op == "knock" {
            let name = text(event, "model")?;
            self.names.functions.entry(FunctionId::named(name)).or_insert_with(|| name.to_owned());
        }
        let names = &self.names;
        let reply = &mut ReplyBuilder { names, actions: Vec::new() };
        let control = &mut self.control;
        control.advance_to(now);
        match op {
            "endpoints" => control.endpoints_updated(reply, list_kind(event)?, &endpoints(event, names)?),
            "knock" => control.request_arrived(reply, &arrival(event, names)?),
            "closed-attempt" => {
                let result = attempt_result(event)?;
                let request = request(event)?;
                let number = number_or(event, "send-no", 0.0)? as usize;
                control.attempt_finished(reply, request, number, &result);
            }
            "streaming" => control.response_started(request(event)?),
            "expired" => control.client_disconnected(reply, request(event)?),
            "wakeup" => control.timer_fired(reply, TimerToken(unsigned(event, "token")?)),
            // Events of probes, messages and load orders. They are ignored, as the router sends none of these
            // yet.
            "probed" | "whisper" | "stands" => {}
            other => return Err(InputError::UnknownEvent(other.to_owned())),
        }
        Ok(std::mem::take(&mut reply.actions))
    }
}

fn list_kind(event: &Value) -> InputResult<EndpointListKind> {
    Ok(match text(event, "kind")? {
        "INCREMENTAL" => EndpointListKind::Changes,
        "FULL" => EndpointListKind::Full,
        "SAVED" => EndpointListKind::Saved,
        "FAILED" => EndpointListKind::Failed,
        other => return Err(InputError::field("kind", format!("unknown kind of list '{other}'"))),
    })
}

fn endpoints(event: &Value, names: &Names) -> InputResult<Vec<Endpoint>> {
    let entries = optional(event, "members").and_then(Value::as_array).map_or(&[][..], Vec::as_slice);
    entries.iter().map(|entry| endpoint(entry, names)).collect()
}

fn arrival(event: &Value, names: &Names) -> InputResult<RequestArrival> {
    let customer = match optional(event, "customer") {
        None => None,
        Some(value) if value.as_u64() == Some(0) => None,
        Some(_) => Some(CustomerId(name_index(&names.config.customers, event, "customer")?)),
    };
    Ok(RequestArrival {
        request: request(event)?,
        function: FunctionId::named(text(event, "model")?),
        workload: WorkloadId(name_index(&names.config.workloads, event, "type")?),
        customer,
        time_left: time(event, "left")?,
        retry: flag(event, "retry")?,
        concurrency: number_or(event, "at-once", 1.0)? as u32,
        load_time: optional(event, "start-ms").map(|_| time(event, "start-ms")).transpose()?,
        priority_factor: 1.0,
    })
}

fn attempt_result(event: &Value) -> InputResult<AttemptResult> {
    let detail = number_or(event, "detail", 0.0)? as u32;
    let usage = optional(event, "usage").unwrap_or(&Value::Null);
    Ok(AttemptResult {
        outcome: outcome(event)?,
        request_ended: flag(event, "terminal")?,
        elapsed: time_or_zero(event, "elapsed")?,
        load_state: load_state_from_code(detail & LOAD_STATE_MASK),
        same_function_in_flight: detail >> LOAD_STATE_BITS,
        reported_in_flight: optional(usage, "concurrent").and_then(Value::as_f64),
        reported_loads: optional(usage, "x1").and_then(Value::as_f64),
    })
}

fn outcome(event: &Value) -> InputResult<Outcome> {
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
        other => return Err(InputError::field("code", format!("unknown outcome code {other}"))),
    })
}

fn endpoint(entry: &Value, names: &Names) -> InputResult<Endpoint> {
    let position_of =
        |list: &[String], name| optional(entry, name).map(|_| name_index(list, entry, name)).transpose();
    Ok(Endpoint {
        worker: WorkerId::named(text(entry, "server")?),
        status: match text(entry, "condition")? {
            "Ready" => WorkerStatus::Ready,
            "Terminating" => WorkerStatus::Draining,
            "Gone" => WorkerStatus::Gone,
            other => {
                return Err(InputError::field("condition", format!("unknown worker condition '{other}'")));
            }
        },
        up_since: time_or_zero(entry, "up-since")?,
        zone: position_of(&names.config.zones, "rack-zone")?.map(ZoneId),
        rack: RackId(number_or(entry, "group", 0.0)? as i64),
        weight: number_or(entry, "nominal", 1.0)?,
    })
}

fn request(from: &Value) -> InputResult<RequestId> {
    let id = text(from, "msg-id")?;
    id.as_bytes()
        .try_into()
        .map(RequestId)
        .or_else(|_| invalid_field("msg-id", "expected an id of 36 characters"))
}
