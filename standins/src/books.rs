//! The record of what the clients, app servers, discovery and processes of a test observed, and the check of the rules
//! against it. No I/O and no clock: each fact is recorded with its time.

use std::collections::BTreeMap;
use std::fmt::{self, Write as _};

/// Identifies a request. Each retry by a client has an id of its own.
pub type Request = u64;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeats {
    /// Any number of times.
    Safe,
    /// With effect once: app servers in the group of the first run drop repeats within the window.
    Keyed {
        /// In microseconds, from when the first attempt was sent.
        window: u64,
    },
    /// At most once.
    Unsafe,
}

/// The state of an app server as reported by discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It accepts requests.
    Up,
    /// It accepts no new requests.
    Draining,
    /// It no longer exists.
    Removed,
}

impl Health {
    /// The state's name in discovery's list.
    pub fn name(self) -> &'static str {
        match self {
            Health::Up => "up",
            Health::Draining => "draining",
            Health::Removed => "removed",
        }
    }
}

/// The result of a client's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Status 200 with this body.
    Served(String),
    /// Status 429 or 503.
    Refused,
    /// Any other status.
    Failed(u16),
    /// More bytes followed the answer.
    Doubled,
    /// The connection ended before the answer was complete.
    Lost,
    /// No answer arrived in time, and the client disconnected.
    GivenUp,
}

/// How an app server handled an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Took {
    /// It started to process the request; its answer has this body.
    Begun(String),
    /// It rejected the request without processing it.
    TurnedAway,
}

/// What happened to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// It reported that it is ready.
    Ready,
    /// The test killed it.
    Killed,
    /// It received the signal to shut down.
    Asked,
    /// It was paused.
    Paused,
    /// It was resumed.
    Resumed,
    /// It has exited with this status; `None` if a signal ended it.
    Ended(Option<i32>),
}

/// One observation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fact {
    /// A client wrote the last byte of a request to a process.
    Asked {
        /// The request.
        request: Request,
        /// The process that it was sent to.
        process: usize,
        /// Whether it may run again.
        repeats: Repeats,
        /// How long the client waits, in microseconds.
        waits: u64,
    },
    /// The process closed an idle connection before it can have read the request; the client sends it again.
    Unread {
        /// The request.
        request: Request,
    },
    /// A client could not connect to the process that it was directed to.
    Missed {
        /// The process.
        process: usize,
    },
    /// A client received the result of a request.
    Heard {
        /// The request.
        request: Request,
        /// The result.
        answer: Answer,
    },
    /// An app server received the last byte of an attempt.
    Came {
        /// The request.
        request: Request,
        /// The app server.
        server: usize,
        /// The group of app servers that share its idempotency keys.
        group: usize,
        /// How the app server handled it.
        took: Took,
    },
    /// Discovery sent a process the state of an app server.
    Told {
        /// The process.
        process: usize,
        /// The app server.
        server: usize,
        /// The state.
        health: Health,
    },
    /// The state of an app server changed at discovery, whether or not any process is told.
    Changed {
        /// The app server.
        server: usize,
        /// The new state.
        health: Health,
    },
    /// The watches of a process are silent from now on.
    Silenced {
        /// The process.
        process: usize,
    },
    /// Discovery answers a call of a process again; the changes that it missed follow.
    Hears {
        /// The process.
        process: usize,
    },
    /// Something happened to a process.
    Turned {
        /// The process.
        process: usize,
        /// The event.
        turn: Turn,
    },
}

/// A rule that every request must satisfy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A client gets at most one final answer, and a served one was produced by an app server.
    OneAnswer,
    /// A request that a running process has accepted is answered before its client times out.
    Answered,
    /// A request does not run more often than its class allows.
    NoSecondRun,
    /// A process sends no attempt to a draining or removed app server later than the drain grace after it was told.
    DrainKept,
    /// A refused request has not run, unless it is safe to repeat.
    HonestRefusal,
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// The rule.
    pub rule: Rule,
    /// The request.
    pub request: Request,
    /// The facts about the request, one per line.
    pub history: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} broken by request {}:\n{}", self.rule, self.request, self.history)
    }
}

/// A change that was missed during a silence counts as delivered this long after the silence began, in microseconds
/// (`docs/list-clock.md`).
const DELIVERY_BOUND: u64 = 6_000_000;

/// The tolerances of the rules, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Allowed {
    /// The drain grace, from when the drain was sent to the process.
    pub grace: u64,
    /// Added to every time limit.
    pub slack: u64,
}

/// All facts, in the order in which they were recorded.
#[derive(Debug, Default)]
pub struct Books {
    facts: Vec<(u64, Fact)>,
    asked: usize,
    heard: usize,
}

/// The facts about one request.
#[derive(Default)]
struct RequestRecord<'a> {
    asked: Option<(u64, usize, Repeats, u64)>,
    unread: bool,
    heard: Vec<(u64, &'a Answer)>,
    came: Vec<(u64, usize, usize, &'a Took)>,
}

impl Books {
    /// Records a fact. Times must not decrease.
    pub fn write(&mut self, at: u64, fact: Fact) {
        self.asked += usize::from(matches!(fact, Fact::Asked { .. }));
        self.heard += usize::from(matches!(fact, Fact::Heard { .. } | Fact::Unread { .. }));
        self.facts.push((at, fact));
    }

    /// All facts.
    pub fn facts(&self) -> impl Iterator<Item = &(u64, Fact)> {
        self.facts.iter()
    }

    /// Number of requests that clients have sent.
    pub fn asked(&self) -> usize {
        self.asked
    }

    /// Number of requests whose clients have a result.
    pub fn heard(&self) -> usize {
        self.heard
    }

    /// Number of answers that satisfy the predicate.
    pub fn count(&self, fits: impl Fn(&Answer) -> bool) -> usize {
        self.facts.iter().filter(|(_, f)| matches!(f, Fact::Heard { answer, .. } if fits(answer))).count()
    }

    /// Number of attempts that an app server started to process.
    pub fn begun(&self, server: usize) -> usize {
        let begun = |fact: &Fact| matches!(fact, Fact::Came { server: at, took: Took::Begun(_), .. } if *at == server);
        self.facts.iter().filter(|(_, fact)| begun(fact)).count()
    }

    /// The latest event of a process.
    pub fn last_turn(&self, process: usize) -> Option<Turn> {
        self.facts.iter().rev().find_map(|(_, fact)| match fact {
            Fact::Turned { process: of, turn } if *of == process => Some(*turn),
            _ => None,
        })
    }

    /// Whether the test killed this process.
    pub fn was_killed(&self, process: usize) -> bool {
        self.facts.iter().any(|(_, f)| *f == Fact::Turned { process, turn: Turn::Killed })
    }

    /// Number of requests to a process that were served.
    pub fn served_by(&self, process: usize) -> usize {
        let records = self.records();
        let served = |record: &&RequestRecord<'_>| {
            record.asked.is_some_and(|(_, by, ..)| by == process)
                && record.heard.iter().any(|(_, answer)| matches!(answer, Answer::Served(_)))
        };
        records.values().filter(served).count()
    }

    /// Number of requests to a process that were served with an answer of this app server.
    pub fn served_at(&self, process: usize, server: usize) -> usize {
        let records = self.records();
        let made = |record: &RequestRecord<'_>, answer: &Answer| {
            let made = |took: &Took| matches!((took, answer), (Took::Begun(made), Answer::Served(body)) if made == body);
            record.came.iter().any(|(_, at, _, took)| *at == server && made(took))
        };
        let served = |record: &&RequestRecord<'_>| {
            record.asked.is_some_and(|(_, by, ..)| by == process)
                && record.heard.iter().any(|(_, answer)| made(record, answer))
        };
        records.values().filter(served).count()
    }

    /// The latest state of an app server that discovery sent to a process.
    pub fn last_told(&self, process: usize, server: usize) -> Option<Health> {
        self.facts.iter().rev().find_map(|(_, fact)| match fact {
            Fact::Told { process: to, server: of, health } if (*to, *of) == (process, server) => {
                Some(*health)
            }
            _ => None,
        })
    }

    /// A one-line summary of the counts.
    pub fn summary(&self) -> String {
        let served = self.count(|answer| matches!(answer, Answer::Served(_)));
        let refused = self.count(|answer| *answer == Answer::Refused);
        let failed = self.count(|answer| matches!(answer, Answer::Failed(_)));
        let lost = self.count(|answer| *answer == Answer::Lost);
        let given_up = self.count(|answer| *answer == Answer::GivenUp);
        format!(
            "{} asked, {} heard: {served} served, {refused} refused, {failed} failed, {lost} lost, {given_up} given up",
            self.asked, self.heard
        )
    }

    fn records(&self) -> BTreeMap<Request, RequestRecord<'_>> {
        let mut records: BTreeMap<Request, RequestRecord<'_>> = BTreeMap::new();
        for (at, fact) in &self.facts {
            match fact {
                Fact::Asked { request, process, repeats, waits } => {
                    records.entry(*request).or_default().asked = Some((*at, *process, *repeats, *waits));
                }
                Fact::Unread { request } => records.entry(*request).or_default().unread = true,
                Fact::Heard { request, answer } => {
                    records.entry(*request).or_default().heard.push((*at, answer));
                }
                Fact::Came { request, server, group, took } => {
                    records.entry(*request).or_default().came.push((*at, *server, *group, took));
                }
                Fact::Missed { .. }
                | Fact::Told { .. }
                | Fact::Changed { .. }
                | Fact::Silenced { .. }
                | Fact::Hears { .. }
                | Fact::Turned { .. } => {}
            }
        }
        records
    }

    /// Checks every request against the rules, and returns the violations. Call it when no request is in flight any more.
    pub fn verdict(&self, allowed: Allowed) -> Vec<Breach> {
        let mut breaches = Vec::new();
        for (request, record) in self.records() {
            for rule in self.broken_rules(&record, allowed) {
                breaches.push(Breach { rule, request, history: self.history(request) });
            }
        }
        breaches
    }

    fn broken_rules(&self, record: &RequestRecord<'_>, allowed: Allowed) -> Vec<Rule> {
        let Some((asked, process, repeats, waits)) = record.asked else {
            // An app server received a request that no client sent.
            return vec![Rule::OneAnswer];
        };
        let mut rules = Vec::new();
        let begun: Vec<_> = record
            .came
            .iter()
            .filter_map(|(at, server, group, took)| match took {
                Took::Begun(body) => Some((*at, *server, *group, body)),
                Took::TurnedAway => None,
            })
            .collect();
        let finals: Vec<_> =
            record.heard.iter().filter(|(_, a)| !matches!(a, Answer::Lost | Answer::GivenUp)).collect();
        let fabricated = finals
            .iter()
            .any(|(_, answer)| matches!(answer, Answer::Served(body) if begun.iter().all(|(.., made)| *made != body)));
        let has_extra_bytes = finals.iter().any(|(_, answer)| **answer == Answer::Doubled);
        if finals.len() > 1 || fabricated || has_extra_bytes {
            rules.push(Rule::OneAnswer);
        }
        // A request that reached an app server was read by the process, even if the client took it for unread when the
        // connection closed.
        let read = !record.unread || !record.came.is_empty();
        if finals.is_empty() && read && !self.was_disrupted(process, asked, asked + waits + allowed.slack) {
            rules.push(Rule::Answered);
        }
        let second = match (repeats, begun.first()) {
            (Repeats::Unsafe, _) => begun.len() > 1,
            (Repeats::Keyed { window }, Some((first, _, group, _))) => {
                begun.iter().any(|(at, _, other, _)| other != group || *at > first + window + allowed.slack)
            }
            _ => false,
        };
        if second {
            rules.push(Rule::NoSecondRun);
        }
        let late = |(at, server): (u64, usize)| {
            let told = self.closed_since(process, server, at);
            told.is_some_and(|told| at > told + allowed.grace + allowed.slack)
        };
        if record.came.iter().any(|(at, server, ..)| late((*at, *server))) {
            rules.push(Rule::DrainKept);
        }
        let refused = finals.iter().any(|(_, answer)| **answer == Answer::Refused);
        if refused && repeats != Repeats::Safe && !begun.is_empty() {
            rules.push(Rule::HonestRefusal);
        }
        rules
    }

    /// Whether the test had killed or paused the process before the request, or did so while the request was open. A
    /// restarted process has another number.
    fn was_disrupted(&self, process: usize, from: u64, until: u64) -> bool {
        let mut paused = false;
        for (at, fact) in self.facts.iter().take_while(|(at, _)| *at <= until) {
            let Fact::Turned { process: of, turn } = fact else { continue };
            if *of != process {
                continue;
            }
            if *turn == Turn::Killed || (*turn == Turn::Paused && *at >= from) {
                return true;
            }
            if *at < from {
                paused = *turn == Turn::Paused || (paused && *turn != Turn::Resumed);
            }
        }
        paused
    }

    /// Since when, as of `at`, a process counts as told that an app server is draining or removed: from when discovery
    /// sent the change or, if a silence held it back, from [`DELIVERY_BOUND`] after the silence began, whether or not the change
    /// arrived.
    fn closed_since(&self, process: usize, server: usize, at: u64) -> Option<u64> {
        let (mut since, mut silent, mut missed) = (None, None, None);
        for (when, fact) in self.facts.iter().take_while(|(when, _)| *when <= at) {
            match fact {
                Fact::Told { process: to, server: of, health } if (*to, *of) == (process, server) => {
                    since = if *health == Health::Up {
                        None
                    } else {
                        since.or(missed.filter(|delivered_by| delivered_by < when)).or(Some(*when))
                    };
                    missed = None;
                }
                Fact::Silenced { process: of } if *of == process => silent = silent.or(Some(*when)),
                Fact::Hears { process: of } if *of == process => silent = None,
                Fact::Changed { server: of, health } if *of == server => {
                    let delivered_by = silent.map(|silent: u64| (silent + DELIVERY_BOUND).max(*when));
                    missed = if *health == Health::Up { None } else { missed.or(delivered_by) };
                }
                _ => {}
            }
        }
        since.or(missed.filter(|delivered_by| *delivered_by <= at))
    }

    /// The facts about a request and about its process, one per line.
    pub fn history(&self, request: Request) -> String {
        let process = self.facts.iter().find_map(|(_, fact)| match fact {
            Fact::Asked { request: of, process, .. } if *of == request => Some(*process),
            _ => None,
        });
        let mut text = String::new();
        for (at, fact) in &self.facts {
            let concerns = match fact {
                Fact::Asked { request: of, .. }
                | Fact::Unread { request: of }
                | Fact::Heard { request: of, .. }
                | Fact::Came { request: of, .. } => *of == request,
                Fact::Told { process: of, health, .. } => Some(*of) == process && *health != Health::Up,
                Fact::Turned { process: of, .. } => Some(*of) == process,
                Fact::Missed { .. } | Fact::Changed { .. } | Fact::Silenced { .. } | Fact::Hears { .. } => {
                    false
                }
            };
            if concerns {
                // Writing to a `String` cannot fail.
                let _ = writeln!(text, "{:>12.6} s  {fact:?}", *at as f64 / 1e6);
            }
        }
        text
    }
}

#[cfg(test)]
mod tests;
