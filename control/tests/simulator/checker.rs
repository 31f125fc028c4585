//! The invariants of the simulation.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use gradepaddle_control::{Change, ControlState, Fingerprint, HistoryLookup, Outcome, ReplicaId};

/// A broken invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// A state was committed that doesn't follow the one committed last.
    Fork(String),
    /// An acknowledged change isn't part of the committed states.
    Lost(String),
    /// A change is acknowledged that no backup holds.
    NoBackup(String),
    /// Two replicas are primary at the same time.
    TwoLeaders(ReplicaId, ReplicaId),
    /// Two replicas were primary in one epoch.
    EpochTwice(u64),
    /// A primary acts on a state that isn't the latest.
    Stale(String),
    /// A change was rejected for a reason that did not hold, or although it had been committed.
    FalseRefusal(String),
    /// Nothing was acknowledged in time although all faults have ended.
    NoProgress(String),
}

/// A configuration that clients have sent.
#[derive(Debug, Clone)]
struct Sent {
    if_match: u64,
    /// How often it was proposed, not counting the proposals that were answered with [`Outcome::NotPrimary`].
    open: u64,
    refused: bool,
}

#[derive(Debug, Default)]
pub struct Checker {
    pub committed_states: Vec<Arc<ControlState>>,
    sent: BTreeMap<Fingerprint, Sent>,
    leaders: BTreeMap<u64, ReplicaId>,
    pub acknowledged: usize,
    named: BTreeSet<(String, u64)>,
    pub found: Option<Violation>,
}

impl Checker {
    pub fn new() -> Checker {
        Checker { committed_states: vec![Arc::default()], ..Checker::default() }
    }

    pub fn latest(&self) -> &ControlState {
        &self.committed_states[self.committed_states.len() - 1]
    }

    pub fn report(&mut self, violation: Violation) {
        self.found.get_or_insert(violation);
    }

    pub fn sent(&mut self, change: &Change) {
        if let Change::PutConfiguration { if_match, fingerprint, .. } = change {
            let fresh = Sent { if_match: *if_match, open: 0, refused: false };
            self.sent.entry(*fingerprint).or_insert(fresh).open += 1;
        }
    }

    pub fn leads(&mut self, epoch: u64, id: ReplicaId) {
        if *self.leaders.entry(epoch).or_insert(id) != id {
            self.report(Violation::EpochTwice(epoch));
        }
    }

    /// A replica reports that a state is committed.
    pub fn committed(&mut self, state: &Arc<ControlState>, leading: bool) {
        if **state != *self.latest() {
            if self.committed_states.iter().any(|known| known == state) {
                if leading {
                    self.report(Violation::Stale(summary(state)));
                }
                return;
            }
            if let Err(reason) = self.follows(state) {
                let text = format!("{reason}: {} after {}", summary(state), summary(self.latest()));
                return self.report(Violation::Fork(text));
            }
            self.committed_states.push(Arc::clone(state));
        }
    }

    /// A replica that is primary holds this state.
    pub fn read(&mut self, state: &ControlState) {
        if state != self.latest() {
            let text = format!("{} instead of {}", summary(state), summary(self.latest()));
            self.report(Violation::Stale(text));
        }
    }

    fn follows(&self, state: &ControlState) -> Result<(), &'static str> {
        let last = self.latest();
        if state.configuration == last.configuration {
            let same = last
                .models
                .iter()
                .filter(|(model, version)| state.models.get(*model) == Some(version))
                .count();
            let one_named = state.models.len() - same == 1 && state.accepted == last.accepted;
            let risen = last.models.iter().all(|(model, version)| state.models.get(model) >= Some(version));
            return if one_named && risen { Ok(()) } else { Err("not exactly one model version more") };
        }
        let Some(configuration) = &state.configuration else { return Err("configuration gone") };
        let Some(sent) = self.sent.get(&configuration.fingerprint) else { return Err("never sent") };
        if sent.refused {
            return Err("was refused");
        }
        if sent.open == 0 {
            return Err("was answered with NotPrimary");
        }
        if sent.if_match != last.current_version() || configuration.version <= last.current_version() {
            return Err("not on top of its base");
        }
        let kept = state.accepted.len() == last.accepted.len() + 1;
        let in_order = state.accepted.iter().zip(last.accepted.iter()).all(|(left, right)| left == right);
        if kept && in_order && state.models == last.models { Ok(()) } else { Err("more than one change") }
    }

    /// A client gets an answer.
    pub fn answered(&mut self, change: &Change, outcome: Outcome) {
        match (change, outcome) {
            (Change::PutConfiguration { fingerprint, version, .. }, Outcome::Committed) => {
                self.acknowledged += 1;
                if self.latest().accepted.lookup(*version, *fingerprint) != HistoryLookup::Accepted {
                    self.report(Violation::Lost(format!("{fingerprint:x} acknowledged but not committed")));
                }
            }
            (Change::NameVersion { model, version }, Outcome::Committed) => {
                self.acknowledged += 1;
                if self.latest().models.get(model) < Some(version) {
                    self.report(Violation::Lost(format!("{model} {version} acknowledged but not committed")));
                }
                self.named.insert((model.clone(), *version));
            }
            (
                Change::PutConfiguration { fingerprint, if_match, version, .. },
                Outcome::Conflict { current } | Outcome::VersionNotHigher { current },
            ) => self.refused(*fingerprint, (*if_match, *version), current, outcome),
            (Change::PutConfiguration { fingerprint, .. }, Outcome::NotPrimary { .. }) => {
                if let Some(sent) = self.sent.get_mut(fingerprint) {
                    sent.open -= 1;
                }
            }
            _ => {}
        }
    }

    fn refused(
        &mut self,
        fingerprint: Fingerprint,
        (if_match, version): (u64, u64),
        current: u64,
        outcome: Outcome,
    ) {
        let true_reason = match outcome {
            // A change that builds on a later version could still be accepted.
            Outcome::Conflict { .. } => if_match < current || version <= if_match,
            _ => if_match == current && version <= current,
        };
        let known = self.latest().accepted.lookup(version, fingerprint) == HistoryLookup::Accepted;
        if current != self.latest().current_version() || !true_reason || known {
            let text = format!("{outcome:?} while {} is current", self.latest().current_version());
            self.report(Violation::FalseRefusal(text));
        }
        if let Some(sent) = self.sent.get_mut(&fingerprint) {
            sent.refused = true;
        }
    }
}

fn summary(state: &ControlState) -> String {
    let models: Vec<String> =
        state.models.iter().map(|(model, version)| format!("{model}={version}")).collect();
    format!("version {} ({} accepted, {})", state.current_version(), state.accepted.len(), models.join(" "))
}
