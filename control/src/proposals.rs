//! Proposals: changes wait in a queue, are checked when their turn comes, and are answered.

use crate::{Change, Micros, Outcome, Output, ProposalId, Replica};

/// A change that waits in the queue.
#[derive(Debug)]
pub(crate) struct Proposal {
    pub proposal_id: ProposalId,
    pub change: Change,
    pub since: Micros,
}

impl Replica {
    pub(crate) fn propose(&mut self, proposal_id: ProposalId, change: Change, out: &mut Vec<Output>) {
        if self.leadership.is_none() && self.election.campaign.is_none() {
            let outcome = Outcome::NotPrimary { primary: self.other_primary_address() };
            return out.push(Output::Answer { proposal_id, outcome });
        }
        self.queue.push(Proposal { proposal_id, change, since: self.now() });
    }

    /// Rejects the proposals whose replication hasn't started.
    pub(crate) fn reject_queued_proposals(&mut self, out: &mut Vec<Output>) {
        let outcome = Outcome::NotPrimary { primary: self.other_primary_address() };
        let rejected = std::mem::take(&mut self.queue);
        out.extend(
            rejected
                .into_iter()
                .map(|proposal| Output::Answer { proposal_id: proposal.proposal_id, outcome }),
        );
    }

    pub(crate) fn expire_proposals(&mut self, out: &mut Vec<Output>) {
        let (now, limit) = (self.now(), self.config.proposal_timeout);
        let outcome = Outcome::NotPrimary { primary: None };
        let overdue = |proposal: &mut Proposal| now >= proposal.since + limit;
        for proposal in self.queue.extract_if(.., overdue) {
            out.push(Output::Answer { proposal_id: proposal.proposal_id, outcome });
        }
        let pending = self.leadership.as_mut().and_then(|leadership| leadership.pending.as_mut());
        if let Some(pending) = pending.filter(|pending| now >= pending.since + limit) {
            let answer = |proposal_id| Output::Answer { proposal_id, outcome: Outcome::Unknown };
            out.extend(pending.proposal_id.take().map(answer));
        }
    }

    /// Checks the changes whose turn has come, and starts the first that has to be replicated.
    pub(crate) fn process_queue(&mut self, out: &mut Vec<Output>) {
        while self.can_start_change() && !self.queue.is_empty() {
            let Proposal { proposal_id, change, since } = self.queue.remove(0);
            match self.committed.check(&change).outcome() {
                Some(outcome) => out.push(Output::Answer { proposal_id, outcome }),
                None => self.start_change(proposal_id, change, since, out),
            }
        }
        self.inject_early_rejections(out);
    }

    fn can_start_change(&self) -> bool {
        let Some(leadership) = &self.leadership else { return false };
        let own_epoch = self.stored.promised == Some(leadership.view.proposal_number());
        let free = leadership.pending.is_none() && self.election.campaign.is_none() && own_epoch;
        free && self.leading(self.now()).is_some()
    }
}
