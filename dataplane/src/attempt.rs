//! One attempt at one server: the request is written, the head of its answer read.

use gradepaddle_http::buffers::{Chain, Pool};
use gradepaddle_http::{Body, Connection, Fault, Framing, Head, push_headers};
use gradepaddle_placement::{Placement, ServerLoadReport};

use crate::admission::{RoutedRequest, priority_field};
use crate::upstream_pool::PooledConnection;

/// Fields that the node sets itself, whatever the client sent.
const OWN_FIELDS: [&str; 12] = [
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
/// Fields that a server needs as the client sent them, also where the client lists them as fields of its connection.
const END_TO_END: [&str; 5] = ["host", "x-request-id", "x-model", "x-token-count", "x-prompt-prefix"];
/// Answers of other requests that are passed over before this one's.
const SURPLUS_MOST: usize = 4;
/// The longest surplus answer that is read to its end.
const SURPLUS_BYTES: usize = 1 << 20;
/// Interim (1xx) answers that are passed over.
const INTERIM_MOST: usize = 16;

/// Why an attempt brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptFailure {
    /// The connection broke before any of the answer came; the request may have run.
    ConnectionLost,
    /// What came is no answer to this request; it may have run.
    InvalidResponse,
}

/// A server's answer, of which the head has been read.
pub(crate) struct UpstreamResponse {
    /// The connection, with the body behind the head.
    pub connection: Connection,
    /// The head.
    pub head: Head,
    /// Its status.
    pub status: u16,
    /// What is left of the body.
    pub body: Body,
    /// How the body is framed.
    pub framing: Framing,
}

/// What a server says of its answer besides.
impl UpstreamResponse {
    /// The request did not run: the server says so. A success that says so contradicts itself.
    pub fn did_not_run(&self) -> bool {
        self.status == 421 || (self.status >= 400 && self.head.get("x-not-run").is_some())
    }

    /// The server's own account of its load.
    pub fn load(&self) -> Option<ServerLoadReport> {
        let text = self.head.get("x-server-load")?;
        let mut numbers = text.split(',').map(|number| number.trim().parse::<u32>());
        let mut next = || numbers.next()?.ok();
        Some(ServerLoadReport { running: next()?, waiting: next()?, slots: next()? })
    }

    /// The version of weights that the answer is made by.
    pub fn version(&self) -> Option<u64> {
        let text = self.head.get("versions")?;
        text.rsplit(['=', ':', ' ']).next()?.trim().parse().ok()
    }
}

/// The head of the request as this server gets it.
pub(crate) fn request_head(
    pool: &Pool,
    head: &Head,
    admitted: &RoutedRequest,
    choice: &Placement,
    body: usize,
    deadline_ms: u64,
    last_event: Option<u64>,
) -> Chain {
    let mut out = pool.chain();
    for part in [head.method(), " ", head.target(), " HTTP/1.1\r\n"] {
        out.push(part.as_bytes());
    }
    push_headers(&mut out, head, &OWN_FIELDS);
    for name in END_TO_END.iter().filter(|name| head.lists("connection", name)) {
        for value in head.all(name) {
            for part in [name.as_bytes(), b": ", value, b"\r\n"] {
                out.push(part);
            }
        }
    }
    let mut field = |name: &str, value: &str| {
        for part in [name, ": ", value, "\r\n"] {
            out.push(part.as_bytes());
        }
    };
    field("X-Deadline-Ms", &deadline_ms.to_string());
    field("X-Target-Server", &choice.server);
    if let Some(tenant) = &admitted.tenant {
        field("X-Tenant", tenant);
    }
    if let Some(priority) = priority_field(admitted.priority) {
        field("Priority", &priority.to_string());
    }
    if let Some(version) = choice.expect_version {
        field("Expect-Version", &version.to_string());
    }
    if let Some(salt) = &choice.salt {
        field("Cache-Salt", salt);
    }
    if let Some(source) = choice.fetch {
        field("Kv-Fetch", &source.to_string());
    }
    if let Some(store) = choice.save {
        field("Kv-Save", &store.to_string());
    }
    if let Some(last) = last_event {
        field("Last-Event-Id", &last.to_string());
    }
    if body > 0 || !matches!(head.method(), "GET" | "HEAD") {
        field("Content-Length", &body.to_string());
    }
    out.push(b"\r\n");
    out
}

/// A connection with a request that has no answer yet. If it is given up, what of the request is still on this machine
/// is taken back: a close alone would go on delivering it, and begin work that nobody waits for.
struct AbortOnDrop(Option<Connection>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        if let Some(connection) = &self.0 {
            connection.break_off();
        }
    }
}

/// Writes the request and reads the head of its answer, which may come before a long request has been written: the rest
/// is written as the answer is read.
///
/// # Errors
///
/// [`AttemptFailure`]; the request may have run in either case.
pub(crate) async fn exchange(
    lease: PooledConnection,
    request: &[&Chain],
    id: &[u8],
    method: &str,
) -> Result<UpstreamResponse, AttemptFailure> {
    let mut asked = AbortOnDrop(Some(lease.connection));
    let Some(connection) = &mut asked.0 else { return Err(AttemptFailure::ConnectionLost) };
    connection.send(request);
    for _ in 0..SURPLUS_MOST {
        let head = final_head(connection).await?;
        let status = head.status().map_err(|_| AttemptFailure::InvalidResponse)?;
        let framing = framing(&head, method)?;
        let body = Body::new(framing).map_err(|_| AttemptFailure::InvalidResponse)?;
        if is_for(&head, id) {
            let Some(connection) = asked.0.take() else { break };
            return Ok(UpstreamResponse { connection, head, status, body, framing });
        }
        // How long it is depends on what it answers: the request of another exchange, not this HEAD.
        if method == "HEAD" {
            return Err(AttemptFailure::InvalidResponse);
        }
        pass_over(connection, body).await?;
    }
    Err(AttemptFailure::InvalidResponse)
}

/// The next head that is no interim answer's.
async fn final_head(connection: &mut Connection) -> Result<Head, AttemptFailure> {
    for _ in 0..INTERIM_MOST {
        let head = connection.read_head().await.map_err(|fault| failure(&fault))?;
        match head.status() {
            Ok(100..=199) => {}
            Ok(_) => return Ok(head),
            Err(_) => return Err(AttemptFailure::InvalidResponse),
        }
    }
    Err(AttemptFailure::InvalidResponse)
}

/// How the body of an answer is framed. One that only the connection's end would end is taken where that is announced.
fn framing(head: &Head, method: &str) -> Result<Framing, AttemptFailure> {
    if method == "HEAD" || head.is_bare() {
        return Ok(Framing::Length(0));
    }
    match head.framing(Framing::UntilClose) {
        Ok(Framing::UntilClose) if head.keeps_alive() => Err(AttemptFailure::InvalidResponse),
        Ok(framing) => Ok(framing),
        Err(_) => Err(AttemptFailure::InvalidResponse),
    }
}

/// True if an answer bears this request's id and no other. One that bears none can't be told from a surplus one, unless
/// the request has none either.
fn is_for(head: &Head, id: &[u8]) -> bool {
    let mut ids = head.all("x-request-id");
    ids.next().unwrap_or_default() == id && ids.all(|other| other == id)
}

/// Reads a surplus answer to its end.
async fn pass_over(connection: &mut Connection, mut body: Body) -> Result<(), AttemptFailure> {
    let mut bytes = Pool::default().chain();
    loop {
        let whole = connection.read_piece(&mut body, &mut bytes, SURPLUS_BYTES).await;
        match whole {
            Ok(true) => return Ok(()),
            Ok(false) if bytes.len() >= SURPLUS_BYTES => return Err(AttemptFailure::InvalidResponse),
            Ok(false) => {}
            Err(fault) => return Err(failure(&fault)),
        }
    }
}

pub(crate) fn failure(fault: &Fault) -> AttemptFailure {
    match fault {
        Fault::Ended => AttemptFailure::ConnectionLost,
        _ => AttemptFailure::InvalidResponse,
    }
}
