//! What clients sent and got, what servers got and ran, and which rule that breaks.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

/// Nothing begins, and repeatable work ends, within this after a client has left.
const GONE_WITHIN: Duration = Duration::from_millis(500);

/// A kind of route of the configuration that the tests share.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub target: &'static str,
    pub tries: usize,
    /// It may run more than once.
    pub repeatable: bool,
    /// Its answer is a stream of events.
    pub streams: bool,
}

/// All kinds of routes.
pub const KINDS: [Kind; 6] = [
    Kind { target: "/safe/x", tries: 2, repeatable: true, streams: false },
    Kind { target: "/unsafe/x", tries: 2, repeatable: false, streams: false },
    Kind { target: "/unsafe-once/x", tries: 1, repeatable: false, streams: false },
    Kind { target: "/stream/x", tries: 2, repeatable: false, streams: true },
    Kind { target: "/resume/x", tries: 2, repeatable: true, streams: true },
    Kind { target: "/resume-often/x", tries: 3, repeatable: true, streams: true },
];

/// One arrival of a request at a server.
#[derive(Debug)]
pub struct Visit {
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
    kind: Kind,
    /// What its client asked for, and then what the latest server was given.
    time_left_ms: u64,
    /// When its client closed its connection without the whole answer.
    left: Option<Instant>,
    promised: bool,
    visits: Vec<Visit>,
}

/// How often what has happened.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub exchanges: u64,
    pub successes: u64,
    pub cuts: u64,
    pub promises: u64,
    pub failures: u64,
    pub left: u64,
    pub visits: u64,
    pub repeats: u64,
}

/// All that happened in one play.
#[derive(Default)]
pub struct Ledger {
    records: RefCell<BTreeMap<String, Record>>,
    broken: RefCell<Vec<String>>,
    counts: RefCell<Counts>,
    longest_stall: Cell<Duration>,
}

impl Ledger {
    /// The thread that plays everything stood still for this long.
    pub fn stood_still(&self, span: Duration) {
        let longest = self.longest_stall.get().max(span);
        self.longest_stall.set(longest);
    }

    /// A client is about to send a request.
    pub fn sending(&self, id: &str, kind: Kind, deadline_ms: u64) {
        self.counts.borrow_mut().exchanges += 1;
        let record =
            Record { kind, time_left_ms: deadline_ms, left: None, promised: false, visits: Vec::new() };
        let before = self.records.borrow_mut().insert(id.to_owned(), record);
        assert!(before.is_none(), "an id was used twice");
    }

    /// A client has closed its connection before it had the whole answer to this.
    pub fn left(&self, id: &str) {
        self.counts.borrow_mut().left += 1;
        if let Some(record) = self.records.borrow_mut().get_mut(id) {
            record.left = Some(Instant::now());
        }
    }

    pub fn promised(&self, id: &str) {
        if let Some(record) = self.records.borrow_mut().get_mut(id) {
            record.promised = true;
        }
    }

    pub fn count(&self, change: impl FnOnce(&mut Counts)) {
        change(&mut self.counts.borrow_mut());
    }

    pub fn counts(&self) -> Counts {
        *self.counts.borrow()
    }

    pub fn broke(&self, what: String) {
        self.broken.borrow_mut().push(what);
    }

    /// A request has come to a server, as far as its head. Gives its number among the visits of this id.
    pub fn visited(&self, id: &str, server: &str, deadline_ms: Option<u64>) -> Option<usize> {
        self.counts.borrow_mut().visits += 1;
        let mut records = self.records.borrow_mut();
        let Some(record) = records.get_mut(id) else {
            self.broke(format!("UNASKED: {server} got {id:?}, which no client sent"));
            return None;
        };
        match deadline_ms {
            Some(given) if given <= record.time_left_ms => record.time_left_ms = given,
            given => {
                self.broke(format!("BUDGET: {id} has {given:?} ms at {server}, of {}", record.time_left_ms))
            }
        }
        let visit =
            Visit { server: server.to_owned(), at: Instant::now(), ran: false, status: None, stopped: None };
        record.visits.push(visit);
        Some(record.visits.len() - 1)
    }

    pub fn note(&self, id: &str, visit: usize, change: impl FnOnce(&mut Visit)) {
        if let Some(record) = self.records.borrow_mut().get_mut(id) {
            change(&mut record.visits[visit]);
        }
    }

    /// True if this server ran the request, and gave this status if it says which.
    pub fn gave(&self, id: &str, server: &str, status: u16) -> bool {
        let records = self.records.borrow();
        let visits = records.get(id).map(|record| &record.visits[..]).unwrap_or_default();
        visits.iter().any(|visit| visit.server == server && visit.ran && visit.status == Some(status))
    }

    /// Which rules were broken, once all has ended.
    pub fn verdict(&self) -> Vec<String> {
        for (id, record) in &*self.records.borrow() {
            self.judge(id, record);
        }
        self.broken.borrow().clone()
    }

    fn judge(&self, id: &str, record: &Record) {
        let Record { kind, visits, .. } = record;
        let runs = visits.iter().filter(|visit| visit.ran).count();
        self.count(|counts| counts.repeats += visits.len().saturating_sub(1) as u64);
        if runs > 1 && !kind.repeatable {
            self.broke(format!("TWICE: {id} at {}: {visits:?}", kind.target));
        }
        if record.promised && runs > 0 {
            self.broke(format!("REFUSED: {id} at {} was promised not to run: {visits:?}", kind.target));
        }
        if visits.len() > kind.tries {
            self.broke(format!("BUDGET: {id} went to {} servers of {}", visits.len(), kind.tries));
        }
        let mut servers: Vec<&str> = visits.iter().map(|visit| &*visit.server).collect();
        servers.sort_unstable();
        servers.dedup();
        if servers.len() < visits.len() {
            self.broke(format!("TWICE: {id} came to one server twice: {visits:?}"));
        }
        let Some(left) = record.left else { return };
        let latest = left + GONE_WITHIN + self.longest_stall.get();
        for visit in visits {
            if visit.at > latest {
                self.broke(format!("GONE: {id} came to {} long after its client left", visit.server));
            }
            let works_on = visit.stopped.is_some_and(|stopped| stopped > latest);
            if works_on && (kind.repeatable || kind.streams) {
                let late = visit.stopped.map(|stopped| stopped.saturating_duration_since(left));
                let (server, came, stall) =
                    (&visit.server, visit.at.checked_duration_since(left), latest - left);
                self.broke(format!(
                    "GONE: {server} works on {id} at {} for {late:?} after its client left, of {stall:?}; it came \
                     {came:?} after; {visits:?}",
                    kind.target
                ));
            }
        }
    }
}
