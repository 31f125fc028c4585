//! The head of a request as a model server gets it: the client's fields, less those of one connection and those that
//! only the node may set, and the node's own.

use std::time::Duration;

use gradepaddle_http::buffers::{Chain, Pool};
use gradepaddle_http::{Head, push_end_to_end_fields};
use gradepaddle_placement::Placement;

use crate::proxied_request::ProxiedRequest;
use crate::routing::priority_field;

/// Fields that the node sets itself, whatever the client sent.
const NODE_FIELDS: [&str; 12] = [
    "x-api-key",
    "x-tenant",
    "x-deadline-ms",
    "x-target-server",
    "priority",
    "expect-version",
    "cache-salt",
    "kv-fetch",
    "kv-save",
    "last-event-id",
    "x-not-run",
    "accept-encoding",
];
/// Fields that a server needs as the client sent them, also where the client's `Connection` lists them as its own.
const END_TO_END_FIELDS: [&str; 5] = ["host", "x-request-id", "x-model", "x-token-count", "x-prompt-prefix"];
/// The least value of `X-Deadline-Ms`, in milliseconds.
const MIN_DEADLINE_MS: u64 = 1;

/// The head of the request for the chosen server. `time_left` is what the server is given to respond in, `last_event` the
/// last event that the client has.
pub(crate) fn upstream_request_head(
    request: &ProxiedRequest<'_>,
    placement: &Placement,
    time_left: Duration,
    last_event: Option<u64>,
) -> Chain {
    let head = request.head;
    let mut out = client_part(&request.plane.pool, head);
    let mut field = |name: &str, value: &str| push_field(&mut out, name, value.as_bytes());
    let deadline_ms = (time_left.as_millis() as u64).max(MIN_DEADLINE_MS);
    field("X-Deadline-Ms", &deadline_ms.to_string());
    field("X-Target-Server", &placement.server);
    if let Some(tenant) = &request.routed.tenant {
        field("X-Tenant", tenant);
    }
    if let Some(priority) = priority_field(request.routed.priority) {
        field("Priority", &priority.to_string());
    }
    if let Some(version) = placement.expect_version {
        field("Expect-Version", &version.to_string());
    }
    if let Some(salt) = &placement.salt {
        field("Cache-Salt", salt);
    }
    if let Some(source) = placement.fetch {
        field("Kv-Fetch", &source.to_string());
    }
    if let Some(store) = placement.save {
        field("Kv-Save", &store.to_string());
    }
    if let Some(last) = last_event {
        field("Last-Event-Id", &last.to_string());
    }
    let length = request.body.len();
    if length > 0 || !matches!(head.method(), "GET" | "HEAD") {
        field("Content-Length", &length.to_string());
    }
    out.push(b"\r\n");
    out
}

/// The request line and the fields of the client that are forwarded.
fn client_part(pool: &Pool, head: &Head) -> Chain {
    let mut out = pool.chain();
    for text in [head.method(), " ", head.target(), " HTTP/1.1\r\n"] {
        out.push(text.as_bytes());
    }
    push_end_to_end_fields(&mut out, head, &NODE_FIELDS);
    for name in END_TO_END_FIELDS.iter().filter(|name| head.list_contains("connection", name)) {
        head.get_all(name).for_each(|value| push_field(&mut out, name, value));
    }
    out
}

fn push_field(out: &mut Chain, name: &str, value: &[u8]) {
    for bytes in [name.as_bytes(), b": ", value, b"\r\n"] {
        out.push(bytes);
    }
}
