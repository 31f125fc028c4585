//! Operators that propose configurations and model versions, sometimes concurrently and sometimes again.

use std::{collections::BTreeMap, sync::Arc};

use gradepaddle_control::{Change, Outcome, ProposalId};

use super::random::Random;

#[derive(Debug, Default)]
pub struct Clients {
    next_proposal_id: u64,
    next_fingerprint: u128,
    pub open: BTreeMap<ProposalId, Change>,
    /// The version that the operators believe to be current.
    believed: u64,
    /// Changes whose outcome is unknown.
    unknown_outcomes: Vec<Change>,
}

impl Clients {
    /// The next change that an operator proposes.
    pub fn next_change(&mut self, random: &mut Random) -> Change {
        if !self.unknown_outcomes.is_empty() && random.permille(350) {
            let index = random.below(self.unknown_outcomes.len());
            return self.unknown_outcomes.swap_remove(index);
        }
        if random.permille(150) {
            let model = format!("m{}", random.below(2));
            return Change::NameVersion { model, version: random.between(1, 40) };
        }
        self.configuration(self.believed, random)
    }

    /// A new configuration on top of a version.
    pub fn configuration(&mut self, if_match: u64, random: &mut Random) -> Change {
        self.next_fingerprint += 1;
        let version = if random.permille(30) { if_match } else { if_match + random.between(1, 4) };
        let body = Arc::from(self.next_fingerprint.to_le_bytes().as_slice());
        Change::PutConfiguration { if_match, version, body, fingerprint: self.next_fingerprint }
    }

    pub fn proposal_id(&mut self, change: &Change) -> ProposalId {
        self.next_proposal_id += 1;
        let proposal_id = ProposalId(self.next_proposal_id);
        self.open.insert(proposal_id, change.clone());
        proposal_id
    }

    pub fn learn(&mut self, change: &Change, outcome: Outcome) {
        match (change, outcome) {
            (Change::PutConfiguration { version, .. }, Outcome::Committed) => {
                self.believed = self.believed.max(*version);
            }
            (_, Outcome::Conflict { current } | Outcome::VersionNotHigher { current }) => {
                self.believed = current;
            }
            (_, Outcome::Unknown | Outcome::NotPrimary { .. }) => self.unknown_outcomes.push(change.clone()),
            _ => {}
        }
        self.unknown_outcomes.truncate(8);
    }

    /// The machine crashed before it answered the proposal.
    pub fn unanswered(&mut self, proposal_id: ProposalId) {
        if let Some(change) = self.open.remove(&proposal_id) {
            self.unknown_outcomes.push(change);
        }
    }
}
