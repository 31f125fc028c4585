//! What all references share: who is open, what is out, whether another attempt is allowed, and a final
//! answer at once where none is. Which app server it is, the method says.

use std::collections::BTreeMap;

use gradepaddle::{
    Action, Arrival, AttemptEnd, Event, Id, Idempotency, ListKind, LoadReport, Micros, Outcome, Server,
    ServerState, Settings,
};
use gradepaddle_dispatch::Chooser;
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// What a method sees of an app server.
#[derive(Clone, Debug)]
pub struct Peer {
    pub id: Id,
    pub state: ServerState,
    /// Attempts of ours that are out.
    pub outstanding: u32,
    /// Counts from 0 in the order in which they became known.
    pub number: usize,
}

/// What a method chooses among, and with.
pub struct Choice<'a> {
    pub now: Micros,
    pub peers: &'a [Peer],
    /// Positions of those that may be chosen; never empty.
    pub open: &'a [usize],
    /// A hash of what the request is about.
    pub key: u64,
    pub key_text: Option<&'a str>,
    /// When an answer stops being worth anything.
    pub useful: Micros,
    pub random: &'a mut Pcg64Mcg,
}

impl Choice<'_> {
    /// Any of those that may be chosen.
    pub fn any(&mut self) -> usize {
        self.open[self.random.random_range(0..self.open.len())]
    }
}

/// A method: which app server, and what it learns.
pub trait Method {
    /// One of `choice.open`; none where the request is to be turned away.
    fn pick(&mut self, choice: &mut Choice<'_>) -> Option<usize>;

    /// The app servers have changed.
    fn changed(&mut self, _peers: &[Peer]) {}

    /// Whom to probe as a request comes, where that is allowed: one of these.
    fn probe(&mut self, _ready: &[usize], _random: &mut Pcg64Mcg) -> Option<usize> {
        None
    }

    /// An app server has told of its load.
    fn told(&mut self, _now: Micros, _peer: usize, _report: LoadReport) {}

    /// An attempt has ended.
    fn learn(&mut self, _now: Micros, _peer: usize, _outcome: Outcome, _took: Micros) {}
}

struct Held {
    class: usize,
    key: u64,
    text: Option<Box<str>>,
    ends: Micros,
    useful: Micros,
    /// App server and outcome of each attempt.
    attempts: Vec<(usize, Option<Outcome>)>,
}

/// A reference policy.
pub struct Lifecycle<M> {
    method: M,
    effects: Vec<Idempotency>,
    aims: Vec<Micros>,
    max_attempts: usize,
    max_pause: Micros,
    only_draining_binds: bool,
    probes: bool,
    peers: Vec<Peer>,
    names: BTreeMap<Id, usize>,
    /// Positions of those that are ready.
    ready: Vec<usize>,
    held: BTreeMap<Id, Held>,
    random: Pcg64Mcg,
    asked: bool,
    /// When to ask for the list again, after a call that failed.
    ask_at: Micros,
    failures: u32,
}

impl<M: Method> Lifecycle<M> {
    pub fn new(settings: &Settings, seed: u64, method: M) -> Self {
        Lifecycle {
            method,
            effects: settings.classes.iter().map(|class| class.idempotency).collect(),
            aims: settings.classes.iter().map(|class| class.latency_target).collect(),
            max_attempts: settings.max_attempts as usize,
            max_pause: settings.max_retry_after,
            only_draining_binds: settings.keep_gone_servers,
            probes: settings.probes,
            peers: Vec::new(),
            names: BTreeMap::new(),
            ready: Vec::new(),
            held: BTreeMap::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
            asked: !settings.poll_discovery,
            ask_at: Micros::MAX,
            failures: 0,
        }
    }

    fn list(&mut self, now: Micros, kind: ListKind, servers: Vec<Server>, out: &mut Vec<Action>) {
        if kind == ListKind::Failed {
            self.failures = (self.failures + 1).min(4);
            let wait = 250_000u64 << self.failures;
            self.ask_at = now + wait / 2 + self.random.next_u64() % wait;
            out.push(Action::Wake { at: self.ask_at });
            return;
        }
        self.failures = 0;
        if kind != ListKind::Delta {
            for peer in &mut self.peers {
                if !servers.iter().any(|server| server.id == peer.id) && !self.only_draining_binds {
                    peer.state = ServerState::Gone;
                }
            }
        }
        for server in servers {
            let at = *self.names.entry(server.id.clone()).or_insert_with(|| {
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
        self.method.changed(&self.peers);
    }

    /// Sends, or gives the final answer where nothing can be sent.
    fn go_on(&mut self, now: Micros, id: Id, out: &mut Vec<Action>) {
        let Some(held) = self.held.get_mut(&id) else { return };
        let may_have_run = |outcome: &Option<Outcome>| !outcome.is_some_and(Outcome::never_ran);
        let ran = held.attempts.iter().any(|(_, outcome)| may_have_run(outcome));
        let denied = held.attempts.iter().any(|(_, outcome)| *outcome == Some(Outcome::Denied));
        let safe = self.effects[held.class] == Idempotency::Safe;
        let again = held.attempts.len() < self.max_attempts && now < held.ends && !denied && (safe || !ran);
        let untried: Vec<usize> = if held.attempts.is_empty() {
            Vec::new()
        } else {
            let tried = |at: &usize| held.attempts.iter().any(|(peer, _)| peer == at);
            self.ready.iter().copied().filter(|at| !tried(at)).collect()
        };
        let open = if held.attempts.is_empty() { &self.ready } else { &untried };
        if again && !open.is_empty() {
            let key_text = held.text.as_deref();
            let random = &mut self.random;
            let (key, peers) = (held.key, &self.peers);
            let mut choice = Choice { now, peers, open, key, key_text, useful: held.useful, random };
            if let Some(at) = self.method.pick(&mut choice) {
                held.attempts.push((at, None));
                let (server, until) = (self.peers[at].id.clone(), held.ends);
                self.peers[at].outstanding += 1;
                out.push(Action::Send { request: id, server, deadline: until });
                return;
            }
        }
        if !held.attempts.iter().any(|(_, outcome)| outcome.is_none()) {
            self.held.remove(&id);
        }
        out.push(if (safe || !ran) && !denied {
            Action::Reject { request: id, retry_after: self.max_pause / 2 }
        } else {
            Action::Fail { request: id }
        });
    }

    fn ended(&mut self, now: Micros, ended: AttemptEnd<'_>, out: &mut Vec<Action>) {
        let Some((id, held)) = self.held.get_key_value(ended.request) else { return };
        let id = id.clone();
        let Some((peer, None)) = held.attempts.get(ended.attempt as usize).copied() else { return };
        self.peers[peer].outstanding -= 1;
        self.method.learn(now, peer, ended.outcome, ended.took);
        if let Some(report) = ended.report {
            self.method.told(now, peer, report);
        }
        let Some(held) = self.held.get_mut(&id) else { return };
        held.attempts[ended.attempt as usize].1 = Some(ended.outcome);
        if ended.request_finished {
            if held.attempts.iter().all(|(_, outcome)| outcome.is_some()) {
                self.held.remove(&id);
            }
            return;
        }
        self.go_on(now, id, out);
    }
}

impl<M: Method> Chooser for Lifecycle<M> {
    fn handle(&mut self, now: Micros, event: Event<'_>, out: &mut Vec<Action>) {
        if !self.asked {
            self.asked = true;
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
                let (ends, aim) = (now + ttl, self.aims[class]);
                let useful = ends.min(now + aim);
                let held = Held { class, key, text, ends, useful, attempts: Vec::new() };
                self.held.insert(id.clone(), held);
                self.go_on(now, id, out);
            }
            Event::AttemptEnded(ended) => self.ended(now, ended, out),
            Event::ClientDisconnected { request } => {
                if let Some(held) = self.held.get(request)
                    && held.attempts.iter().all(|(_, outcome)| outcome.is_some())
                {
                    self.held.remove(request);
                }
            }
            Event::Wake => {
                if self.ask_at <= now {
                    self.ask_at = Micros::MAX;
                    out.push(Action::Subscribe);
                }
            }
            Event::ProbeEnded { server, report, .. } => {
                if let (Some(at), Some(report)) = (self.names.get(server), report) {
                    self.method.told(now, *at, report);
                }
            }
            Event::Streaming { .. } => {}
        }
    }
}

/// The same at every balancer and in every run (FNV-1a's own, by way of the standard hasher with no keys).
fn hash(text: &str) -> u64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}
