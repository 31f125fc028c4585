//! Operators: the changes that they propose, and the history of the answers.

use gradepaddle_control::{Change, Input, Outcome, ProposalId, Replica};

use super::{Event, World};

use crate::simulator::{
    MILLISECOND,
    checker::Violation,
    history::{Operation, Response},
};

impl World {
    /// Several operators propose concurrently: conflicting changes on top of one version, the same change at several
    /// machines, and changes that were sent before.
    pub(super) fn propose_concurrently(&mut self) {
        let first = self.clients.next_change(&mut self.random);
        let base = match &first {
            Change::PutConfiguration { if_match, .. } => Some(*if_match),
            Change::NameVersion { .. } => None,
        };
        let mut changes = vec![first.clone()];
        for _ in 1..self.random.between(1, self.operators as u64) {
            let again = (!self.sent_changes.is_empty()).then(|| self.random.below(self.sent_changes.len()));
            changes.push(match (self.random.below(4), base, again) {
                (0, ..) => first.clone(),
                (1, _, Some(again)) => self.sent_changes[again].clone(),
                (_, Some(base), _) => self.clients.configuration(base, &mut self.random),
                _ => first.clone(),
            });
        }
        for change in changes {
            let machine = self.random_machine();
            let pause = self.random.between(1, 200 * MILLISECOND);
            self.sent_changes.push(change.clone());
            self.schedule(pause, Event::Propose { machine, change, tries: 4 });
        }
        if self.healed.is_none() {
            let pause = self.random.between(100, 800) * MILLISECOND;
            self.schedule(pause, Event::ProposeNext);
        }
    }

    pub(super) fn record_proposal(&mut self, proposal_id: ProposalId, change: &Change) {
        if let Change::PutConfiguration { if_match, version, fingerprint, .. } = change
            && self.operators > 0
        {
            let (if_match, version, fingerprint) = (*if_match, *version, *fingerprint);
            let call_index = self.history.invoke(Operation::Put { if_match, version, fingerprint });
            self.open_calls.insert(proposal_id, call_index);
        }
    }

    pub(super) fn record_answer(&mut self, proposal_id: ProposalId, outcome: Outcome) {
        let Some(call_index) = self.open_calls.remove(&proposal_id) else { return };
        match outcome {
            Outcome::Committed => self.history.answer(call_index, Response::Committed),
            Outcome::Conflict { .. } | Outcome::VersionNotHigher { .. } => {
                self.history.answer(call_index, Response::Refused);
            }
            Outcome::NotPrimary { .. } => self.history.nothing_done(call_index),
            Outcome::Unknown => {}
        }
    }

    /// Reads the configuration from the primary.
    pub(super) fn record_read(&mut self, index: usize) {
        if self.operators > 0 && self.leading(index).is_some() {
            let state = self.machines[index].replica.as_ref().map(Replica::state);
            let found = state.and_then(|state| state.configuration.as_ref()).map(|one| one.fingerprint);
            self.history.read(found);
        }
    }

    pub(super) fn propose(&mut self, index: usize, change: Change, tries: usize) {
        if self.machines[index].replica.is_none() || self.suspended(index) || tries == 0 {
            return;
        }
        self.checker.sent(&change);
        let proposal_id = self.clients.proposal_id(&change);
        self.machines[index].open_proposals.push(proposal_id);
        if self.trace {
            eprintln!(
                "{:>10} {} receives proposal {proposal_id:?} {change:?}",
                self.now, self.machines[index].address
            );
        }
        self.record_read(index);
        self.record_proposal(proposal_id, &change);
        self.input(index, Input::Propose { proposal_id, change });
    }

    pub(super) fn answered(&mut self, index: usize, proposal_id: ProposalId, outcome: Outcome) {
        let Some(change) = self.clients.open.remove(&proposal_id) else {
            return self.checker.report(Violation::Fork(format!("{proposal_id:?} answered twice")));
        };
        if self.trace {
            eprintln!(
                "{:>10} {} answers {proposal_id:?} {outcome:?}",
                self.now, self.machines[index].address
            );
        }
        self.record_answer(proposal_id, outcome);
        self.machines[index].open_proposals.retain(|open| *open != proposal_id);
        if outcome == Outcome::Committed && self.plan.replicas > 1 {
            let view = self.machines[index].replica.as_ref().and_then(|replica| replica.status().view);
            if view.is_some_and(|known| known.view.backups.is_empty()) {
                self.checker.report(Violation::NoBackup(format!("{proposal_id:?}")));
            }
        }
        self.checker.answered(&change, outcome);
        self.clients.learn(&change, outcome);
        let probed = self.probe.as_ref() == Some(&change);
        if probed && outcome == Outcome::Committed {
            self.recovered = self.healed.map(|healed| self.now - healed);
        }
        if let Outcome::NotPrimary { primary: Some(primary) } = outcome {
            let target = self.machines.iter().position(|machine| machine.address == primary);
            if let Some(machine) = target.filter(|_| !probed && self.random.permille(800)) {
                let pause = self.random.between(1, 5) * MILLISECOND;
                self.schedule(pause, Event::Propose { machine, change, tries: 1 });
            }
        }
    }
}
