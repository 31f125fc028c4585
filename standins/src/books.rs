//! Who saw what, and whether a rule was broken. No I/O and no clock: facts come with their times.

use std::collections::BTreeMap;
use std::fmt::{self, Write as _};

/// Names a request: each try of a client's has an id of its own.
pub type Request = u64;

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeats {
    /// As often as it likes.
    Safe,
    /// Once in effect: repeats within the window, in microseconds, in the group of the first run are dropped.
    Keyed {
        /// From the sending of the first.
        window: u64,
    },
    /// Once.
    Unsafe,
}

/// What discovery says of an app server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It takes requests.
    Up,
    /// It wants nothing new.
    Draining,
    /// It is gone.
    Removed,
}

impl Health {
    /// As the list writes it.
    pub fn name(self) -> &'static str {
        match self {
            Health::Up => "up",
            Health::Draining => "draining",
            Health::Removed => "removed",
        }
    }
}

/// What a client's request came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// 200 with this body.
    Served(String),
    /// 429 or 503.
    Refused,
    /// Any other status.
    Failed(u16),
    /// Something came behind the answer.
    Doubled,
    /// The connection ended without a whole answer.
    Lost,
    /// Nothing came in its time, and its client went away.
    GivenUp,
}

/// How an app server took an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Took {
    /// It began on it, and would answer with this body.
    Begun(String),
    /// Turned away unseen.
    TurnedAway,
}

/// What happened to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// It is ready.
    Ready,
    /// It was killed, by the rig.
    Killed,
    /// It was asked to end.
    Asked,
    /// It was paused.
    Paused,
    /// It goes on.
    Resumed,
    /// It has ended, with this status.
    Ended(Option<i32>),
}

/// One thing that was seen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fact {
    /// A client wrote the last byte of a request to a process.
    Asked {
        /// Which.
        request: Request,
        /// To whom.
        process: usize,
        /// May it run again?
        repeats: Repeats,
        /// How long its client waits, in microseconds.
        waits: u64,
    },
    /// The connection was closed between requests before a process can have read it; its client asks anew.
    Unread {
        /// Which.
        request: Request,
    },
    /// A client found nobody where it was sent.
    Missed {
        /// Where it was sent.
        process: usize,
    },
    /// What its client heard.
    Heard {
        /// Of which request.
        request: Request,
        /// What.
        answer: Answer,
    },
    /// The last byte of an attempt came to an app server.
    Came {
        /// Of which request.
        request: Request,
        /// To whom.
        server: usize,
        /// The group of app servers that know of its key.
        group: usize,
        /// How it was taken.
        took: Took,
    },
    /// Discovery wrote to a process what it says of an app server.
    Told {
        /// To whom.
        process: usize,
        /// Of whom.
        server: usize,
        /// What.
        health: Health,
    },
    /// Discovery has a change, whoever is told of it.
    Changed {
        /// Of whom.
        server: usize,
        /// What holds now.
        health: Health,
    },
    /// The watches of a process say nothing from now on.
    Silenced {
        /// Whose.
        process: usize,
    },
    /// A call of a process is answered; what it has missed follows.
    Hears {
        /// Whose.
        process: usize,
    },
    /// Something happened to a process.
    Turned {
        /// To whom.
        process: usize,
        /// What.
        turn: Turn,
    },
}

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// One final answer, and one that an app server made if it is a success.
    OneAnswer,
    /// What a running process has taken is answered, in its client's time.
    Answered,
    /// No second run beyond what its class allows.
    NoSecondRun,
    /// Nothing new to an app server later than the grace after its process was told.
    DrainKept,
    /// What is refused has not run, unless repeats are harmless.
    HonestRefusal,
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// Which.
    pub rule: Rule,
    /// Of which request.
    pub request: Request,
    /// What was seen of it, line by line.
    pub history: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} broken by request {}:\n{}", self.rule, self.request, self.history)
    }
}

/// What is missed in a silence counts as told so long after that began, in microseconds (`docs/list-clock.md`).
const UNHEARD: u64 = 6_000_000;

/// What the rules allow, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Allowed {
    /// After a drain was told.
    pub grace: u64,
    /// On top of every time limit.
    pub slack: u64,
}

/// Everything that was seen, in order.
#[derive(Debug, Default)]
pub struct Books {
    facts: Vec<(u64, Fact)>,
    asked: usize,
    heard: usize,
}

/// What belongs to one request.
#[derive(Default)]
struct Case<'a> {
    asked: Option<(u64, usize, Repeats, u64)>,
    unread: bool,
    heard: Vec<(u64, &'a Answer)>,
    came: Vec<(u64, usize, usize, &'a Took)>,
}

impl Books {
    /// Writes down a fact; times never go back.
    pub fn write(&mut self, at: u64, fact: Fact) {
        self.asked += usize::from(matches!(fact, Fact::Asked { .. }));
        self.heard += usize::from(matches!(fact, Fact::Heard { .. } | Fact::Unread { .. }));
        self.facts.push((at, fact));
    }

    /// All facts.
    pub fn facts(&self) -> impl Iterator<Item = &(u64, Fact)> {
        self.facts.iter()
    }

    /// Requests that were asked.
    pub fn asked(&self) -> usize {
        self.asked
    }

    /// Requests whose clients have heard.
    pub fn heard(&self) -> usize {
        self.heard
    }

    /// Clients that heard what fits.
    pub fn count(&self, fits: impl Fn(&Answer) -> bool) -> usize {
        self.facts.iter().filter(|(_, f)| matches!(f, Fact::Heard { answer, .. } if fits(answer))).count()
    }

    /// Attempts that an app server began on.
    pub fn begun(&self, server: usize) -> usize {
        let begun = |fact: &Fact| matches!(fact, Fact::Came { server: at, took: Took::Begun(_), .. } if *at == server);
        self.facts.iter().filter(|(_, fact)| begun(fact)).count()
    }

    /// Has this happened to a process, as the last thing?
    pub fn last_turn(&self, process: usize) -> Option<Turn> {
        self.facts.iter().rev().find_map(|(_, fact)| match fact {
            Fact::Turned { process: of, turn } if *of == process => Some(*turn),
            _ => None,
        })
    }

    /// Did the rig kill this process?
    pub fn was_killed(&self, process: usize) -> bool {
        self.facts.iter().any(|(_, f)| *f == Fact::Turned { process, turn: Turn::Killed })
    }

    /// Requests that a process has served.
    pub fn served_by(&self, process: usize) -> usize {
        let cases = self.cases();
        let served = |case: &&Case<'_>| {
            case.asked.is_some_and(|(_, by, ..)| by == process)
                && case.heard.iter().any(|(_, answer)| matches!(answer, Answer::Served(_)))
        };
        cases.values().filter(served).count()
    }

    /// Requests of a process that this app server has answered.
    pub fn served_at(&self, process: usize, server: usize) -> usize {
        let cases = self.cases();
        let made = |case: &Case<'_>, answer: &Answer| {
            let made = |took: &Took| matches!((took, answer), (Took::Begun(made), Answer::Served(body)) if made == body);
            case.came.iter().any(|(_, at, _, took)| *at == server && made(took))
        };
        let served = |case: &&Case<'_>| {
            case.asked.is_some_and(|(_, by, ..)| by == process)
                && case.heard.iter().any(|(_, answer)| made(case, answer))
        };
        cases.values().filter(served).count()
    }

    /// The last that discovery told a process of an app server.
    pub fn last_told(&self, process: usize, server: usize) -> Option<Health> {
        self.facts.iter().rev().find_map(|(_, fact)| match fact {
            Fact::Told { process: to, server: of, health } if (*to, *of) == (process, server) => {
                Some(*health)
            }
            _ => None,
        })
    }

    /// In one line.
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

    fn cases(&self) -> BTreeMap<Request, Case<'_>> {
        let mut cases: BTreeMap<Request, Case<'_>> = BTreeMap::new();
        for (at, fact) in &self.facts {
            match fact {
                Fact::Asked { request, process, repeats, waits } => {
                    cases.entry(*request).or_default().asked = Some((*at, *process, *repeats, *waits));
                }
                Fact::Unread { request } => cases.entry(*request).or_default().unread = true,
                Fact::Heard { request, answer } => {
                    cases.entry(*request).or_default().heard.push((*at, answer));
                }
                Fact::Came { request, server, group, took } => {
                    cases.entry(*request).or_default().came.push((*at, *server, *group, took));
                }
                Fact::Missed { .. }
                | Fact::Told { .. }
                | Fact::Changed { .. }
                | Fact::Silenced { .. }
                | Fact::Hears { .. }
                | Fact::Turned { .. } => {}
            }
        }
        cases
    }

    /// What the rules were broken by: each request is accounted for. The books are to be closed, with nothing under
    /// way any more.
    pub fn verdict(&self, allowed: Allowed) -> Vec<Breach> {
        let mut breaches = Vec::new();
        for (request, case) in self.cases() {
            for rule in self.judge(&case, allowed) {
                breaches.push(Breach { rule, request, history: self.history(request) });
            }
        }
        breaches
    }

    fn judge(&self, case: &Case<'_>, allowed: Allowed) -> Vec<Rule> {
        let Some((asked, process, repeats, waits)) = case.asked else {
            // An app server got what no client asked for.
            return vec![Rule::OneAnswer];
        };
        let mut rules = Vec::new();
        let begun: Vec<_> = case
            .came
            .iter()
            .filter_map(|(at, server, group, took)| match took {
                Took::Begun(body) => Some((*at, *server, *group, body)),
                Took::TurnedAway => None,
            })
            .collect();
        let finals: Vec<_> =
            case.heard.iter().filter(|(_, a)| !matches!(a, Answer::Lost | Answer::GivenUp)).collect();
        let invented = finals
            .iter()
            .any(|(_, answer)| matches!(answer, Answer::Served(body) if begun.iter().all(|(.., made)| *made != body)));
        let doubled = finals.iter().any(|(_, answer)| **answer == Answer::Doubled);
        if finals.len() > 1 || invented || doubled {
            rules.push(Rule::OneAnswer);
        }
        // What came to an app server was read by its process, whatever its client took the close for.
        let read = !case.unread || !case.came.is_empty();
        if finals.is_empty() && read && !self.excused(process, asked, asked + waits + allowed.slack) {
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
        if case.came.iter().any(|(at, server, ..)| late((*at, *server))) {
            rules.push(Rule::DrainKept);
        }
        let refused = finals.iter().any(|(_, answer)| **answer == Answer::Refused);
        if refused && repeats != Repeats::Safe && !begun.is_empty() {
            rules.push(Rule::HonestRefusal);
        }
        rules
    }

    /// Had the rig killed or paused the process that was to answer, or did it meanwhile? A process that is started anew
    /// has another number.
    fn excused(&self, process: usize, from: u64, until: u64) -> bool {
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

    /// Since when an app server has counted as told to be closed to a process, at this time: from when discovery wrote
    /// it, and what a silence kept back from [`UNHEARD`] after that began, whether it came or not.
    fn closed_since(&self, process: usize, server: usize, at: u64) -> Option<u64> {
        let (mut since, mut silent, mut missed) = (None, None, None);
        for (when, fact) in self.facts.iter().take_while(|(when, _)| *when <= at) {
            match fact {
                Fact::Told { process: to, server: of, health } if (*to, *of) == (process, server) => {
                    since = if *health == Health::Up {
                        None
                    } else {
                        since.or(missed.filter(|counts| counts < when)).or(Some(*when))
                    };
                    missed = None;
                }
                Fact::Silenced { process: of } if *of == process => silent = silent.or(Some(*when)),
                Fact::Hears { process: of } if *of == process => silent = None,
                Fact::Changed { server: of, health } if *of == server => {
                    let counts = silent.map(|silent: u64| (silent + UNHEARD).max(*when));
                    missed = if *health == Health::Up { None } else { missed.or(counts) };
                }
                _ => {}
            }
        }
        since.or(missed.filter(|counts| *counts <= at))
    }

    /// What was seen of a request, and what happened to its process meanwhile.
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
                // Writing to a string does not fail.
                let _ = writeln!(text, "{:>12.6} s  {fact:?}", *at as f64 / 1e6);
            }
        }
        text
    }
}

#[cfg(test)]
mod tests;
