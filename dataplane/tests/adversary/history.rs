//! The history of a run: what clients sent and got, what servers got and processed; and a checker of the rules.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

/// After a client has disconnected, nothing begins and idempotent work ends within this.
const DISCONNECT_GRACE: Duration = Duration::from_millis(500);

/// A kind of route of the configuration that the tests share.
#[derive(Clone, Copy, Debug)]
pub struct RouteKind {
    pub target: &'static str,
    pub max_attempts: usize,
    /// It may be processed more than once.
    pub idempotent: bool,
    /// Its answer is a stream of events.
    pub streams: bool,
}

/// All kinds of routes.
pub const ROUTE_KINDS: [RouteKind; 6] = [
    RouteKind { target: "/safe/x", max_attempts: 2, idempotent: true, streams: false },
    RouteKind { target: "/unsafe/x", max_attempts: 2, idempotent: false, streams: false },
    RouteKind { target: "/unsafe-once/x", max_attempts: 1, idempotent: false, streams: false },
    RouteKind { target: "/stream/x", max_attempts: 2, idempotent: false, streams: true },
    RouteKind { target: "/resume/x", max_attempts: 2, idempotent: true, streams: true },
    RouteKind { target: "/resume-often/x", max_attempts: 3, idempotent: true, streams: true },
];

/// One delivery of a request to a server.
#[derive(Debug)]
pub struct Delivery {
    pub server: String,
    pub at: Instant,
    /// The server began work on it.
    pub ran: bool,
    /// The status of the server's answer, if it gave one.
    pub status: Option<u16>,
    /// When its connection ended, for a server that is at work until then.
    pub stopped: Option<Instant>,
}

/// One request.
#[derive(Debug)]
struct Record {
    kind: RouteKind,
    /// The deadline that its client sent, and then the one that the latest server got.
    time_left_ms: u64,
    /// When its client closed its connection without the whole answer.
    client_left: Option<Instant>,
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
}

/// All that happened with one seed.
#[derive(Default)]
pub struct History {
    records: RefCell<BTreeMap<String, Record>>,
    violations: RefCell<Vec<String>>,
    counts: RefCell<Counts>,
    longest_stall: Cell<Duration>,
}

impl History {
    /// The thread of the test stalled for this long.
    pub fn record_stall(&self, span: Duration) {
        let longest = self.longest_stall.get().max(span);
        self.longest_stall.set(longest);
    }

    /// A client is about to send a request.
    pub fn record_request(&self, id: &str, kind: RouteKind, deadline_ms: u64) {
        self.counts.borrow_mut().exchanges += 1;
        let record = Record {
            kind,
            time_left_ms: deadline_ms,
            client_left: None,
            answered_not_processed: false,
            deliveries: Vec::new(),
        };
        let before = self.records.borrow_mut().insert(id.to_owned(), record);
        assert!(before.is_none(), "an id was used twice");
    }

    /// A client has closed its connection before it had the whole answer to this.
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

    /// A request has come to a server, as far as its head. Gives its index among the deliveries of this id.
    pub fn record_delivery(&self, id: &str, server: &str, deadline_ms: Option<u64>) -> Option<usize> {
        self.counts.borrow_mut().deliveries += 1;
        let mut records = self.records.borrow_mut();
        let Some(record) = records.get_mut(id) else {
            self.violation(format!("UNASKED: {server} got {id:?}, which no client sent"));
            return None;
        };
        match deadline_ms {
            Some(given) if given <= record.time_left_ms => record.time_left_ms = given,
            given => self
                .violation(format!("BUDGET: {id} has {given:?} ms at {server}, of {}", record.time_left_ms)),
        }
        let delivery = Delivery {
            server: server.to_owned(),
            at: Instant::now(),
            ran: false,
            status: None,
            stopped: None,
        };
        record.deliveries.push(delivery);
        Some(record.deliveries.len() - 1)
    }

    pub fn update(&self, id: &str, delivery: usize, change: impl FnOnce(&mut Delivery)) {
        if let Some(record) = self.records.borrow_mut().get_mut(id) {
            change(&mut record.deliveries[delivery]);
        }
    }

    /// True if this server ran the request, and gave this status if it says which.
    pub fn has_responded(&self, id: &str, server: &str, status: u16) -> bool {
        let records = self.records.borrow();
        let deliveries = records.get(id).map(|record| &record.deliveries[..]).unwrap_or_default();
        deliveries
            .iter()
            .any(|delivery| delivery.server == server && delivery.ran && delivery.status == Some(status))
    }

    /// The violations, once the run has ended.
    pub fn check_all(&self) -> Vec<String> {
        for (id, record) in &*self.records.borrow() {
            self.check(id, record);
        }
        self.violations.borrow().clone()
    }

    fn check(&self, id: &str, record: &Record) {
        let Record { kind, deliveries, .. } = record;
        let runs = deliveries.iter().filter(|delivery| delivery.ran).count();
        self.count(|counts| counts.retries += deliveries.len().saturating_sub(1) as u64);
        if runs > 1 && !kind.idempotent {
            self.violation(format!("TWICE: {id} at {}: {deliveries:?}", kind.target));
        }
        if record.answered_not_processed && runs > 0 {
            self.violation(format!(
                "REFUSED: {id} at {} was promised not to run: {deliveries:?}",
                kind.target
            ));
        }
        if deliveries.len() > kind.max_attempts {
            self.violation(format!(
                "BUDGET: {id} went to {} servers of {}",
                deliveries.len(),
                kind.max_attempts
            ));
        }
        let mut servers: Vec<&str> = deliveries.iter().map(|delivery| &*delivery.server).collect();
        servers.sort_unstable();
        servers.dedup();
        if servers.len() < deliveries.len() {
            self.violation(format!("TWICE: {id} came to one server twice: {deliveries:?}"));
        }
        let Some(client_left) = record.client_left else { return };
        let latest = client_left + DISCONNECT_GRACE + self.longest_stall.get();
        for delivery in deliveries {
            if delivery.at > latest {
                self.violation(format!("GONE: {id} came to {} long after its client left", delivery.server));
            }
            let works_on = delivery.stopped.is_some_and(|stopped| stopped > latest);
            if works_on && (kind.idempotent || kind.streams) {
                let late = delivery.stopped.map(|stopped| stopped.saturating_duration_since(client_left));
                let (server, came, stall) =
                    (&delivery.server, delivery.at.checked_duration_since(client_left), latest - client_left);
                self.violation(format!(
                    "GONE: {server} works on {id} at {} for {late:?} after its client left, of {stall:?}; it came \
                     {came:?} after; {deliveries:?}",
                    kind.target
                ));
            }
        }
    }
}
