//! The history of a run: what clients sent and received, what servers received and processed; and a checker of the rules.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;

use crate::server::{Shape, TruncatedEnd};

/// From this long after a client has disconnected, no server may receive its request, and servers must have been
/// stopped if the request is idempotent or a stream.
const DISCONNECT_GRACE: Duration = Duration::from_millis(500);

/// A kind of route of the configuration that the tests share.
#[derive(Clone, Copy, Debug)]
pub struct RouteKind {
    pub target: &'static str,
    pub max_attempts: usize,
    /// Whether a request may be processed more than once.
    pub idempotent: bool,
    /// Whether the response is a stream of events.
    pub streaming: bool,
}

/// All kinds of routes.
pub const ROUTE_KINDS: [RouteKind; 6] = [
    RouteKind { target: "/safe/x", max_attempts: 2, idempotent: true, streaming: false },
    RouteKind { target: "/unsafe/x", max_attempts: 2, idempotent: false, streaming: false },
    RouteKind { target: "/unsafe-once/x", max_attempts: 1, idempotent: false, streaming: false },
    RouteKind { target: "/stream/x", max_attempts: 2, idempotent: false, streaming: true },
    RouteKind { target: "/resume/x", max_attempts: 2, idempotent: true, streaming: true },
    RouteKind { target: "/resume-often/x", max_attempts: 3, idempotent: true, streaming: true },
];

/// One delivery of a request to a server.
#[derive(Debug)]
pub struct Delivery {
    pub server: String,
    pub at: Instant,
    /// Whether the server began to process it.
    pub ran: bool,
    /// The status of the server's response, if it sent one.
    pub status: Option<u16>,
    /// When its connection ended, for a server that works on the request until then.
    pub stopped: Option<Instant>,
    /// The body that the client may take for a complete one: its server closed the connection in order, and nothing shows that
    /// bytes are missing.
    pub unnoticeable_end: Option<Vec<u8>>,
    /// The event within which the server closed the connection in order.
    pub incomplete_event: Option<u64>,
}

/// A way in which servers truncate responses, for one kind of client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Truncation {
    pub framing: Shape,
    pub end: TruncatedEnd,
    pub streaming: bool,
    pub http_1_0: bool,
}

/// One request.
#[derive(Debug)]
struct Record {
    kind: RouteKind,
    http_1_0: bool,
    /// The deadline that the client sent, and later the one that the latest server received.
    time_left_ms: u64,
    /// When its client disconnected without the complete response.
    client_left: Option<Instant>,
    /// Whether the client got a status that says that the request was not processed.
    answered_not_processed: bool,
    deliveries: Vec<Delivery>,
}

/// Counts of what happened.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub exchanges: u64,
    pub successes: u64,
    pub truncated: u64,
    pub says_not_processed: u64,
    pub failures: u64,
    pub client_left: u64,
    pub deliveries: u64,
    pub retries: u64,
    /// Streams that were sent to three servers.
    pub resumed_twice: u64,
}

/// The history of the run of one seed.
#[derive(Default)]
pub struct History {
    records: RefCell<BTreeMap<String, Record>>,
    violations: RefCell<Vec<String>>,
    counts: RefCell<Counts>,
    truncations: RefCell<BTreeSet<Truncation>>,
    longest_stall: Cell<Duration>,
}

impl History {
    /// The thread of the test stalled for this long.
    pub fn record_stall(&self, span: Duration) {
        let longest = self.longest_stall.get().max(span);
        self.longest_stall.set(longest);
    }

    /// Records that a client is about to send a request.
    pub fn record_request(&self, id: &str, kind: RouteKind, deadline_ms: u64, http_1_0: bool) {
        self.counts.borrow_mut().exchanges += 1;
        let record = Record {
            kind,
            http_1_0,
            time_left_ms: deadline_ms,
            client_left: None,
            answered_not_processed: false,
            deliveries: Vec::new(),
        };
        let before = self.records.borrow_mut().insert(id.to_owned(), record);
        assert!(before.is_none(), "an id was used twice");
    }

    /// Records that a client has disconnected before it had the complete response to this request.
    pub fn client_left(&self, id: &str) {
        self.counts.borrow_mut().client_left += 1;
        if let Some(record) = self.records.borrow_mut().get_mut(id) {
            record.client_left = Some(Instant::now());
        }
    }

    pub fn answered_not_processed(&self, id: &str) {
        if let Some(record) = self.records.borrow_mut().get_mut(id) {
            record.answered_not_processed = true;
        }
    }

    pub fn count(&self, change: impl FnOnce(&mut Counts)) {
        change(&mut self.counts.borrow_mut());
    }

    pub fn counts(&self) -> Counts {
        *self.counts.borrow()
    }

    pub fn violation(&self, what: String) {
        self.violations.borrow_mut().push(what);
    }

    /// Records that a server has received the head of a request. Returns its index among the deliveries of this id.
    pub fn record_delivery(&self, id: &str, server: &str, deadline_ms: Option<u64>) -> Option<usize> {
        self.counts.borrow_mut().deliveries += 1;
        let mut records = self.records.borrow_mut();
        let Some(record) = records.get_mut(id) else {
            self.violation(format!("unknown request: {server} got {id:?}, which no client sent"));
            return None;
        };
        match deadline_ms {
            Some(given) if given <= record.time_left_ms => record.time_left_ms = given,
            given => self.violation(format!(
                "deadline extended: {id} has {given:?} ms at {server}, of {}",
                record.time_left_ms
            )),
        }
        let delivery = Delivery {
            server: server.to_owned(),
            at: Instant::now(),
            ran: false,
            status: None,
            stopped: None,
            unnoticeable_end: None,
            incomplete_event: None,
        };
        record.deliveries.push(delivery);
        Some(record.deliveries.len() - 1)
    }

    pub fn update(&self, id: &str, delivery: usize, change: impl FnOnce(&mut Delivery)) {
        if let Some(record) = self.records.borrow_mut().get_mut(id) {
            change(&mut record.deliveries[delivery]);
        }
    }

    /// Records that a server truncates its response to this request.
    pub fn record_truncation(&self, id: &str, framing: Shape, end: TruncatedEnd) {
        let Some((streaming, http_1_0)) =
            self.records.borrow().get(id).map(|record| (record.kind.streaming, record.http_1_0))
        else {
            return;
        };
        self.truncations.borrow_mut().insert(Truncation { framing, end, streaming, http_1_0 });
    }

    /// The ways in which responses were truncated.
    pub fn truncations(&self) -> BTreeSet<Truncation> {
        self.truncations.borrow().clone()
    }

    /// Records that a server closes its connection in order after a part of the body, and that this body may look complete.
    pub fn record_unnoticeable_end(&self, id: &str, delivery: usize, body: Vec<u8>) {
        self.update(id, delivery, |delivery| delivery.unnoticeable_end = Some(body));
    }

    /// Records that a server closes its connection in order within this event.
    pub fn record_incomplete_event(&self, id: &str, delivery: usize, event: u64) {
        self.update(id, delivery, |delivery| delivery.incomplete_event = Some(event));
    }

    /// True if a server closed its connection in order within this event of the stream.
    pub fn event_is_incomplete(&self, id: &str, event: u64) -> bool {
        let records = self.records.borrow();
        let deliveries = records.get(id).map(|record| &record.deliveries[..]).unwrap_or_default();
        deliveries.iter().any(|delivery| delivery.incomplete_event == Some(event))
    }

    /// True if the client may take this body for the complete one, though bytes are missing. Each server has a body of its own,
    /// but the events of a stream are the same at all.
    pub fn may_look_complete(&self, id: &str, server: &str, body: &[u8]) -> bool {
        let records = self.records.borrow();
        let Some(record) = records.get(id) else { return false };
        record.deliveries.iter().any(|delivery| {
            let is_sender = record.kind.streaming || delivery.server == server;
            is_sender && delivery.unnoticeable_end.as_deref() == Some(body)
        })
    }

    /// True if this server processed the request and responded with this status.
    pub fn has_responded(&self, id: &str, server: &str, status: u16) -> bool {
        let records = self.records.borrow();
        let deliveries = records.get(id).map(|record| &record.deliveries[..]).unwrap_or_default();
        deliveries
            .iter()
            .any(|delivery| delivery.server == server && delivery.ran && delivery.status == Some(status))
    }

    /// Checks the history after the end of the run, and returns all violations.
    pub fn check_all(&self) -> Vec<String> {
        for (id, record) in &*self.records.borrow() {
            self.check(id, record);
        }
        self.violations.borrow().clone()
    }

    fn check(&self, id: &str, record: &Record) {
        let Record { kind, deliveries, .. } = record;
        let runs = deliveries.iter().filter(|delivery| delivery.ran).count();
        self.count(|counts| {
            counts.retries += deliveries.len().saturating_sub(1) as u64;
            counts.resumed_twice += u64::from(kind.streaming && deliveries.len() > 2);
        });
        if runs > 1 && !kind.idempotent {
            self.violation(format!("processed more than once: {id} at {}: {deliveries:?}", kind.target));
        }
        if record.answered_not_processed && runs > 0 {
            self.violation(format!(
                "processed after all: {id} at {} was reported as not processed: {deliveries:?}",
                kind.target
            ));
        }
        if deliveries.len() > kind.max_attempts {
            self.violation(format!(
                "too many attempts: {id} was sent to {} servers, {} allowed",
                deliveries.len(),
                kind.max_attempts
            ));
        }
        let mut servers: Vec<&str> = deliveries.iter().map(|delivery| &*delivery.server).collect();
        servers.sort_unstable();
        servers.dedup();
        if servers.len() < deliveries.len() {
            self.violation(format!("sent twice: {id} was sent to the same server twice: {deliveries:?}"));
        }
        let Some(client_left) = record.client_left else { return };
        let latest = client_left + DISCONNECT_GRACE + self.longest_stall.get();
        for delivery in deliveries {
            if delivery.at > latest {
                self.violation(format!(
                    "sent after disconnect: {id} reached {} long after its client left",
                    delivery.server
                ));
            }
            let still_working = delivery.stopped.is_some_and(|stopped| stopped > latest);
            if still_working && (kind.idempotent || kind.streaming) {
                let late = delivery.stopped.map(|stopped| stopped.saturating_duration_since(client_left));
                let (server, came, stall) =
                    (&delivery.server, delivery.at.checked_duration_since(client_left), latest - client_left);
                self.violation(format!(
                    "not stopped: {server} worked on {id} at {} for {late:?} after its client left, {stall:?} allowed; it \
                     was delivered {came:?} after; {deliveries:?}",
                    kind.target
                ));
            }
        }
    }
}
