//! Adapter between the simulator's wire protocol (one JSON object per line) and `crate::api`.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::fmt;
use std::io::{self, BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};

use serde::Deserialize;

use crate::api::{
    Action, Arrival, AttemptEnd, Event, ListKind, LoadReport, Micros, Outcome, Server, ServerState,
};
use crate::settings::{Config, Deployment, intern_name, micros_from_ms, one};
use crate::state::Balancer;

/// Why the adapter stopped.
#[derive(Debug)]
pub enum WireError {
    /// Reading or writing failed.
    Io(io::Error),
    /// A line is invalid.
    Line {
        /// The line number, from 1.
        number: u64,
        /// What is wrong with it.
        fault: String,
    },
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::Io(error) => write!(f, "{error}"),
            WireError::Line { number, fault } => write!(f, "line {number}: {fault}"),
        }
    }
}

impl std::error::Error for WireError {}

impl From<io::Error> for WireError {
    fn from(error: io::Error) -> Self {
        WireError::Io(error)
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Line<'a> {
    what: &'a str,
    moment_ms: Option<f64>,
    #[serde(borrow)]
    gateway_id: Option<Cow<'a, str>>,
    init_seed: Option<u64>,
    config: Option<Box<Config>>,
    form: Option<&'a str>,
    records: Option<Vec<Record>>,
    #[serde(borrow)]
    handle: Option<Cow<'a, str>>,
    #[serde(borrow)]
    grade: Option<Cow<'a, str>>,
    #[serde(borrow)]
    billing: Option<Billing<'a>>,
    #[serde(default)]
    options: u32,
    ttl_ms: Option<f64>,
    weight_hint_ms: Option<f64>,
    #[serde(borrow)]
    partition_key: Option<Cow<'a, str>>,
    r#try: Option<u32>,
    duration_ms: Option<f64>,
    #[serde(borrow)]
    host: Option<Cow<'a, str>>,
    #[serde(default)]
    no_more: bool,
    ending: Option<u8>,
    server_stats: Option<Stats>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Billing<'a> {
    Name(#[serde(borrow)] Cow<'a, str>),
    None(serde::de::IgnoredAny),
}

#[derive(Deserialize)]
struct Stats {
    concurrent: Option<f64>,
    depth: Option<f64>,
    mean_ms: Option<f64>,
    err_ps: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Record {
    host: String,
    #[serde(default)]
    campus: String,
    #[serde(default)]
    machine: String,
    #[serde(default)]
    cell: u32,
    phase: String,
    #[serde(default = "one")]
    share: f64,
    #[serde(default)]
    boot_time_ms: f64,
}

/// A balancer with the names behind its indices.
struct Instance {
    balancer: Balancer,
    deployment: Deployment,
}

/// Serves the protocol until the input ends.
///
/// # Errors
///
/// Reading or writing fails, a line is invalid, or the input ends inside a round.
pub fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), WireError> {
    let mut instances: BTreeMap<String, Instance> = BTreeMap::new();
    let (mut line, mut reply, mut actions) = (Vec::new(), Vec::new(), Vec::new());
    let (mut number, mut now) = (0u64, None::<Micros>);
    loop {
        line.clear();
        if input.read_until(b'\n', &mut line)? == 0 {
            return match now {
                None => Ok(()),
                Some(_) => Err(WireError::Line { number, fault: "the input ends inside a round".into() }),
            };
        }
        number += 1;
        let fail = |fault: String| WireError::Line { number, fault };
        let text = std::str::from_utf8(&line).map_err(|e| fail(format!("not UTF-8: {e}")))?.trim();
        if text.is_empty() {
            continue;
        }
        let parsed: Line = serde_json::from_str(text).map_err(|_| fail(explain(text)))?;
        let missing = |field: &str| fail(format!("{}: field {field} is missing", parsed.what));
        match (parsed.what, now) {
            ("Round", None) => {
                now = Some(micros_from_ms(parsed.moment_ms.ok_or_else(|| missing("momentMs"))?));
                continue;
            }
            ("EofBatch", Some(_)) => {
                reply.extend_from_slice(b"{\"what\":\"Done\"}\n");
                output.write_all(&reply)?;
                output.flush()?;
                reply.clear();
                now = None;
                continue;
            }
            (what, None) => return Err(fail(format!("what: {what} outside a round"))),
            ("Round", Some(_)) => return Err(fail("what: Round inside a round".into())),
            _ => {}
        }
        let at = now.unwrap_or_default();
        let gateway = parsed.gateway_id.as_deref().ok_or_else(|| missing("gatewayId"))?;
        if parsed.what == "NewInstance" {
            let config = parsed.config.as_deref().ok_or_else(|| missing("config"))?;
            let seed = parsed.init_seed.ok_or_else(|| missing("initSeed"))?;
            let deployment = config.deployment().map_err(&fail)?;
            let balancer = Balancer::new(deployment.settings.clone(), seed);
            let balancer = balancer.map_err(|e| fail(format!("config: {e}")))?;
            let instance = Instance { balancer, deployment };
            instances.insert(gateway.to_owned(), instance);
            continue;
        }
        if parsed.what == "Teardown" {
            if instances.remove(gateway).is_none() {
                return Err(fail(format!("gatewayId: unknown instance {gateway}")));
            }
            continue;
        }
        let instance = instances
            .get_mut(gateway)
            .ok_or_else(|| fail(format!("gatewayId: unknown instance {gateway}")))?;
        let Some(event) = event(&parsed, instance).map_err(&fail)? else { continue };
        actions.clear();
        let balancer = &mut instance.balancer;
        if guarded(&mut reply, gateway, || balancer.handle(at, event, &mut actions)) {
            continue;
        }
        for action in &actions {
            write_action(&mut reply, gateway, action);
        }
    }
}

/// Runs a decision. A panic is reported as an `InternalError` of this instance alone; returns true in that case.
fn guarded(reply: &mut Vec<u8>, gateway: &str, run: impl FnOnce()) -> bool {
    let Err(panic) = catch_unwind(AssertUnwindSafe(run)) else { return false };
    let text = panic.downcast_ref::<String>().map(String::as_str);
    let text = text.or(panic.downcast_ref::<&str>().copied()).unwrap_or("panic");
    put(reply, "InternalError", gateway);
    put_text(reply, "words", text);
    reply.extend_from_slice(b"}\n");
    true
}

/// Describes why a line does not parse, with the path of the field.
fn explain(text: &str) -> String {
    let mut reader = serde_json::Deserializer::from_str(text);
    match serde_path_to_error::deserialize::<_, Line>(&mut reader) {
        Ok(_) => "trailing characters after the object".into(),
        Err(error) => format!("field {}: {}", error.path(), error.inner()),
    }
}

fn outcome(ending: u8) -> Result<Outcome, String> {
    Ok(match ending {
        0 => Outcome::Error,
        1 => Outcome::Ok,
        2 => Outcome::Overloaded,
        3 => Outcome::TimedOut,
        4 => Outcome::ConnectFailed,
        5 => Outcome::Reset,
        6 => Outcome::Cancelled,
        7 => Outcome::NotSent,
        other => return Err(format!("ending: unknown outcome {other}")),
    })
}

/// Converts a line into an event; `None` for a line that the balancer does not use.
fn event<'a>(line: &'a Line<'_>, instance: &mut Instance) -> Result<Option<Event<'a>>, String> {
    let what = line.what;
    let missing = |field: &str| format!("{what}: field {field} is missing");
    let request = || line.handle.as_deref().ok_or_else(|| missing("handle"));
    let attempt = || line.r#try.ok_or_else(|| missing("try"));
    let took = || line.duration_ms.map(micros_from_ms).ok_or_else(|| missing("durationMs"));
    let ending = || outcome(line.ending.ok_or_else(|| missing("ending"))?);
    let report = || {
        line.server_stats.as_ref().map(|s| LoadReport {
            in_flight: s.concurrent,
            queue: s.depth,
            service_time: s.mean_ms.map(|ms| ms * 1000.0),
            errors_per_second: s.err_ps,
        })
    };
    Ok(Some(match what {
        "Discovery" => {
            let kind = match line.form.ok_or_else(|| missing("form"))? {
                "delta" => ListKind::Delta,
                "full" => ListKind::Full,
                "cached" => ListKind::Cached,
                "failed" => ListKind::Failed,
                other => return Err(format!("form: unknown kind of list {other}")),
            };
            let mut servers = Vec::new();
            for record in line.records.as_deref().unwrap_or_default() {
                servers.push(Server {
                    id: record.host.as_str().into(),
                    zone: intern_name(&mut instance.deployment.zones, &record.campus),
                    kind: intern_name(&mut instance.deployment.kinds, &record.machine),
                    cell: record.cell,
                    state: match record.phase.as_str() {
                        "IN" => ServerState::Ready,
                        "LAME" => ServerState::Draining,
                        "OUT" => ServerState::Gone,
                        other => return Err(format!("records.phase: unknown state {other}")),
                    },
                    weight: record.share,
                    started: (record.boot_time_ms > 0.0).then(|| micros_from_ms(record.boot_time_ms)),
                });
            }
            Event::List { kind, servers }
        }
        "Arrival" => {
            let grade = line.grade.as_deref().ok_or_else(|| missing("grade"))?;
            let find = |names: &[String], name: &str| names.iter().position(|n| n == name);
            let tenant = match &line.billing {
                Some(Billing::Name(name)) => find(&instance.deployment.tenants, name),
                Some(Billing::None(_)) | None => None,
            };
            Event::Request(Arrival {
                id: request()?.into(),
                class: find(&instance.deployment.classes, grade)
                    .ok_or_else(|| format!("grade: unknown class {grade}"))?,
                tenant,
                ttl: micros_from_ms(line.ttl_ms.ok_or_else(|| missing("ttlMs"))?),
                work_hint: line.weight_hint_ms.filter(|_| line.options & 1 != 0).map(|ms| ms * 1000.0),
                key: line.partition_key.as_deref(),
                run_once: false,
            })
        }
        "Flowing" => Event::Streaming { request: request()?, attempt: attempt()? },
        "Answer" => Event::AttemptEnded(AttemptEnd {
            request: request()?,
            attempt: attempt()?,
            outcome: ending()?,
            took: took()?,
            request_finished: line.no_more,
            report: report(),
        }),
        "Lapsed" => Event::ClientDisconnected { request: request()? },
        "Wake" => Event::Wake,
        "HealthResult" => Event::ProbeEnded {
            server: line.host.as_deref().ok_or_else(|| missing("host"))?,
            outcome: ending()?,
            took: took()?,
            report: report(),
        },
        "NoteFrom" => return Ok(None),
        other => return Err(format!("what: unknown event {other}")),
    }))
}

fn put(reply: &mut Vec<u8>, what: &str, gateway: &str) {
    reply.extend_from_slice(b"{\"what\":\"");
    reply.extend_from_slice(what.as_bytes());
    reply.push(b'"');
    put_text(reply, "gatewayId", gateway);
}

fn put_text(reply: &mut Vec<u8>, field: &str, text: &str) {
    put_field(reply, field);
    // Writing text to a vector cannot fail.
    let _ = serde_json::to_writer(reply, text);
}

fn put_field(reply: &mut Vec<u8>, field: &str) {
    reply.extend_from_slice(b",\"");
    reply.extend_from_slice(field.as_bytes());
    reply.extend_from_slice(b"\":");
}

fn put_ms(reply: &mut Vec<u8>, field: &str, at: Micros) {
    put_field(reply, field);
    let _ = write!(reply, "{}.{:03}", at / 1000, at % 1000);
}

fn write_action(reply: &mut Vec<u8>, gateway: &str, action: &Action) {
    match action {
        Action::Send { request, server, deadline } => {
            put(reply, "Place", gateway);
            put_text(reply, "handle", request);
            put_text(reply, "host", server);
            put_ms(reply, "untilMs", *deadline);
        }
        Action::Reject { request, retry_after } => {
            put(reply, "Reject", gateway);
            put_text(reply, "handle", request);
            put_ms(reply, "pauseMs", *retry_after);
        }
        Action::Fail { request } => {
            put(reply, "Fail", gateway);
            put_text(reply, "handle", request);
        }
        Action::Cancel { request, attempt } => {
            put(reply, "StopAttempt", gateway);
            put_text(reply, "handle", request);
            put_field(reply, "try");
            let _ = write!(reply, "{attempt}");
        }
        Action::Wake { at } => {
            put(reply, "WakeAt", gateway);
            put_ms(reply, "instantMs", *at);
            reply.extend_from_slice(b",\"label\":0");
        }
        Action::Probe { server } => {
            put(reply, "Poll", gateway);
            put_text(reply, "host", server);
        }
        Action::CloseIdleConnections { server } => {
            put(reply, "DropConns", gateway);
            put_text(reply, "host", server);
        }
        Action::Subscribe => {
            put(reply, "Subscribe", gateway);
            reply.extend_from_slice(b",\"on\":true");
        }
        Action::Log { text } => {
            put(reply, "Log", gateway);
            put_text(reply, "words", text);
        }
    }
    reply.extend_from_slice(b"}\n");
}

#[cfg(test)]
mod tests;
