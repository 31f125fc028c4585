//! The head of a request as it is sent to a model server: the client's header fields without the hop-by-hop ones and those
//! that only the node may set, and the fields that the node adds.

use std::time::Duration;

use gradepaddle_http::buffers::{Chain, Pool};
use gradepaddle_http::{Head, push_end_to_end_fields};
use gradepaddle_placement::Placement;

use crate::proxied_request::ProxiedRequest;
use crate::routing::{LastEventId, priority_field};

/// Header fields that only the node may set: the client's values are not forwarded.
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
/// Header fields that a server needs as the client sent them. They are forwarded even if the client's `Connection`
/// field lists them as hop-by-hop.
const END_TO_END_FIELDS: [&str; 5] = ["host", "x-request-id", "x-model", "x-token-count", "x-prompt-prefix"];
/// The lowest value of `X-Deadline-Ms` that is sent, in milliseconds.
const MIN_DEADLINE_MS: u64 = 1;

/// The head of the request for the selected server. `time_left` is the time that the server has to respond, `last_event_id`
/// the id of the last event that the client has, if that is a number.
pub(crate) fn upstream_request_head(
    request: &ProxiedRequest<'_>,
    placement: &Placement,
    time_left: Duration,
    last_event_id: Option<u64>,
) -> Chain {
    let head = request.head;
    let mut out = forwarded_client_head(&request.plane.pool, head);
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
    push_last_event_id(&mut out, &request.routed.last_event_id, last_event_id);
    let length = request.body.len();
    if length > 0 || !matches!(head.method(), "GET" | "HEAD") {
        push_field(&mut out, "Content-Length", length.to_string().as_bytes());
    }
    out.push(b"\r\n");
    out
}

/// The event after which the server begins: the last one that was forwarded (`forwarded`), or else the last one that the
/// client had before (`before`).
fn push_last_event_id(out: &mut Chain, before: &LastEventId, forwarded: Option<u64>) {
    match (forwarded, before) {
        (Some(id), _) => push_field(out, "Last-Event-Id", id.to_string().as_bytes()),
        (None, LastEventId::Opaque(id)) => push_field(out, "Last-Event-Id", id),
        (None, _) => {}
    }
}

/// The request line and the client's header fields that are forwarded.
fn forwarded_client_head(pool: &Pool, head: &Head) -> Chain {
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
