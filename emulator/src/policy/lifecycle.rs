//! The request handling that all reference policies share: the list of open app servers, outstanding
//! attempts, whether another attempt is allowed, and an immediate final answer if none is. A strategy selects
//! the app server.

use std::collections::BTreeMap;

use gradepaddle::{
    Action, Arrival, AttemptEnd, Event, Id, Idempotency, ListKind, LoadReport, Micros, Outcome, Server,
    ServerState, Settings,
};
use gradepaddle_dispatch::Chooser;
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// An app server as a strategy sees it.
#[derive(Clone, Debug)]
pub struct Peer {
    pub id: Id,
    pub state: ServerState,
    /// Outstanding attempts of this balancer.
    pub outstanding: u32,
    /// Index in the order in which the app servers became known, from 0.
    pub number: usize,
}

/// The input of a selection.
pub struct Choice<'a> {
    pub now: Micros,
    pub peers: &'a [Peer],
    /// Positions of the app servers that may be selected; never empty.
    pub open: &'a [usize],
    /// A hash of the request's content key.
    pub key: u64,
    pub key_text: Option<&'a str>,
    /// An answer after this time has no worth.
    pub useful_until: Micros,
    pub random: &'a mut Pcg64Mcg,
}

impl Choice<'_> {
    /// A random one of the app servers that may be selected.
    pub fn any(&mut self) -> usize {
        self.open[self.random.random_range(0..self.open.len())]
    }
}

/// A selection strategy.
pub trait Strategy {
    /// Selects one of `choice.open`, or none to reject the request.
    fn pick(&mut self, choice: &mut Choice<'_>) -> Option<usize>;

    /// Called when the list of app servers has changed.
    fn on_servers_changed(&mut self, _peers: &[Peer]) {}

    /// Selects an app server to probe when a request arrives, where probes are allowed.
    fn probe(&mut self, _ready: &[usize], _random: &mut Pcg64Mcg) -> Option<usize> {
        None
    }

    /// Called when an app server has reported its load.
    fn on_load_report(&mut self, _now: Micros, _peer: usize, _report: LoadReport) {}

    /// Called when an attempt has ended.
    fn on_attempt_end(&mut self, _now: Micros, _peer: usize, _outcome: Outcome, _took: Micros) {}
}

struct PendingRequest {
    class: usize,
    key: u64,
    text: Option<Box<str>>,
    deadline: Micros,
    useful_until: Micros,
    /// The app server of each attempt, and its outcome once it has ended.
    attempts: Vec<(usize, Option<Outcome>)>,
}

/// A reference policy: a chooser that delegates the selection of app servers to a strategy.
pub struct ReferencePolicy<M> {
    method: M,
    idempotency: Vec<Idempotency>,
    latency_targets: Vec<Micros>,
    max_attempts: usize,
    max_retry_after: Micros,
    keep_gone_servers: bool,
    probes: bool,
    peers: Vec<Peer>,
    positions: BTreeMap<Id, usize>,
    /// Positions of the ready app servers.
    ready: Vec<usize>,
    pending: BTreeMap<Id, PendingRequest>,
    random: Pcg64Mcg,
    subscribed: bool,
    /// When to request the list again after a failed call.
    resubscribe_at: Micros,
    failures: u32,
}

impl<M: Strategy> ReferencePolicy<M> {
    pub fn new(settings: &Settings, seed: u64, method: M) -> Self {
        ReferencePolicy {
            method,
            idempotency: settings.classes.iter().map(|class| class.idempotency).collect(),
            latency_targets: settings.classes.iter().map(|class| class.latency_target).collect(),
            max_attempts: settings.max_attempts as usize,
            max_retry_after: settings.max_retry_after,
            keep_gone_servers: settings.keep_gone_servers,
            probes: settings.probes,
            peers: Vec::new(),
            positions: BTreeMap::new(),
            ready: Vec::new(),
            pending: BTreeMap::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
            subscribed: !settings.poll_discovery,
            resubscribe_at: Micros::MAX,
            failures: 0,
        }
    }

    fn list(&mut self, now: Micros, kind: ListKind, servers: Vec<Server>, out: &mut Vec<Action>) {
        if kind == ListKind::Failed {
            self.failures = (self.failures + 1).min(4);
            let wait = 250_000u64 << self.failures;
            self.resubscribe_at = now + wait / 2 + self.random.next_u64() % wait;
            out.push(Action::Wake { at: self.resubscribe_at });
            return;
        }
        self.failures = 0;
        if kind != ListKind::Delta {
            for peer in &mut self.peers {
                if !servers.iter().any(|server| server.id == peer.id) && !self.keep_gone_servers {
                    peer.state = ServerState::Gone;
                }
            }
        }
        for server in servers {
            let at = *self.positions.entry(server.id.clone()).or_insert_with(|| {
                let number = self.peers.len();
                self.peers.push(Peer {
                    id: server.id.clone(),
                    state: ServerState::Gone,
                    outstanding: 0,
                    number,
                });
                number
            });
            self.peers[at].state = server.state;
        }
        self.ready = (0..self.peers.len()).filter(|at| self.peers[*at].state == ServerState::Ready).collect();
        self.method.on_servers_changed(&self.peers);
    }

    /// Starts an attempt, or gives the final answer if none can be started.
    fn send_or_answer(&mut self, now: Micros, id: Id, out: &mut Vec<Action>) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        let may_have_run = |outcome: &Option<Outcome>| !outcome.is_some_and(Outcome::never_ran);
        let ran = pending.attempts.iter().any(|(_, outcome)| may_have_run(outcome));
        let denied = pending.attempts.iter().any(|(_, outcome)| *outcome == Some(Outcome::Denied));
        let safe = self.idempotency[pending.class] == Idempotency::Safe;
        let again =
            pending.attempts.len() < self.max_attempts && now < pending.deadline && !denied && (safe || !ran);
        let untried: Vec<usize> = if pending.attempts.is_empty() {
            Vec::new()
        } else {
            let tried = |at: &usize| pending.attempts.iter().any(|(peer, _)| peer == at);
            self.ready.iter().copied().filter(|at| !tried(at)).collect()
        };
        let open = if pending.attempts.is_empty() { &self.ready } else { &untried };
        if again && !open.is_empty() {
            let key_text = pending.text.as_deref();
            let random = &mut self.random;
            let (key, peers) = (pending.key, &self.peers);
            let mut choice =
                Choice { now, peers, open, key, key_text, useful_until: pending.useful_until, random };
            if let Some(at) = self.method.pick(&mut choice) {
                pending.attempts.push((at, None));
                let (server, until) = (self.peers[at].id.clone(), pending.deadline);
                self.peers[at].outstanding += 1;
                out.push(Action::Send { request: id, server, deadline: until });
                return;
            }
        }
        if !pending.attempts.iter().any(|(_, outcome)| outcome.is_none()) {
            self.pending.remove(&id);
        }
        out.push(if (safe || !ran) && !denied {
            Action::Reject { request: id, retry_after: self.max_retry_after / 2 }
        } else {
            Action::Fail { request: id }
        });
    }

    fn ended(&mut self, now: Micros, ended: AttemptEnd<'_>, out: &mut Vec<Action>) {
        let Some((id, pending)) = self.pending.get_key_value(ended.request) else { return };
        let id = id.clone();
        let Some((peer, None)) = pending.attempts.get(ended.attempt as usize).copied() else { return };
        self.peers[peer].outstanding -= 1;
        self.method.on_attempt_end(now, peer, ended.outcome, ended.took);
        if let Some(report) = ended.report {
            self.method.on_load_report(now, peer, report);
        }
        let Some(pending) = self.pending.get_mut(&id) else { return };
        pending.attempts[ended.attempt as usize].1 = Some(ended.outcome);
        if ended.request_finished {
            if pending.attempts.iter().all(|(_, outcome)| outcome.is_some()) {
                self.pending.remove(&id);
            }
            return;
        }
        self.send_or_answer(now, id, out);
    }
}

impl<M: Strategy> Chooser for ReferencePolicy<M> {
    fn handle(&mut self, now: Micros, event: Event<'_>, out: &mut Vec<Action>) {
        if !self.subscribed {
            self.subscribed = true;
            out.push(Action::Subscribe);
        }
        match event {
            Event::List { kind, servers } => self.list(now, kind, servers, out),
            Event::Request(Arrival { id, class, ttl, key, .. }) => {
                if self.probes
                    && let Some(at) = self.method.probe(&self.ready, &mut self.random)
                {
                    out.push(Action::Probe { server: self.peers[at].id.clone() });
                }
                let text = key.map(Box::from);
                let key = hash(key.unwrap_or(&id));
                let (deadline, target) = (now + ttl, self.latency_targets[class]);
                let useful_until = deadline.min(now + target);
                let pending =
                    PendingRequest { class, key, text, deadline, useful_until, attempts: Vec::new() };
                self.pending.insert(id.clone(), pending);
                self.send_or_answer(now, id, out);
            }
            Event::AttemptEnded(ended) => self.ended(now, ended, out),
            Event::ClientDisconnected { request } => {
                if let Some(pending) = self.pending.get(request)
                    && pending.attempts.iter().all(|(_, outcome)| outcome.is_some())
                {
                    self.pending.remove(request);
                }
            }
            Event::Wake => {
                if self.resubscribe_at <= now {
                    self.resubscribe_at = Micros::MAX;
                    out.push(Action::Subscribe);
                }
            }
            Event::ProbeEnded { server, report, .. } => {
                if let (Some(at), Some(report)) = (self.positions.get(server), report) {
                    self.method.on_load_report(now, *at, report);
                }
            }
            Event::Streaming { .. } => {}
        }
    }
}

/// Hashes a key. The result is the same at every balancer and in every run, as the standard hasher is used
/// with fixed keys.
fn hash(text: &str) -> u64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}
