//! The acceptor of Paxos (Lamport, Paxos Made Simple, section 2.2): which epochs a replica promises, and which views it
//! accepts. Both are durable before they are answered.

use std::net::SocketAddrV4;

use crate::{
    Body, Data, KnownView, LogPosition, Output, Prepare, Promise, ProposalNumber, Record, Reject, Replica,
    ReplicaId, View,
    campaign::SnapshotSent,
    transmission::{retransmission_delay, state_bytes},
    view::BOOTSTRAP_EPOCH,
};

impl Replica {
    /// Whether a lease forbids this replica to promise anything to the candidate.
    pub(crate) fn lease_forbids_promise(
        &self,
        candidate: ReplicaId,
        released: Option<ProposalNumber>,
    ) -> bool {
        if self.config.injected_fault.ignores_lease() {
            return false;
        }
        let leads = candidate != self.id && self.leading(self.now()).is_some();
        leads || self.lease_grant.granted.is_some_and(|grant| grant.blocks(self.now(), candidate, released))
    }

    pub(crate) fn handle_prepare(
        &mut self,
        from: SocketAddrV4,
        sender: ReplicaId,
        Prepare { epoch, position, released }: Prepare,
        out: &mut Vec<Output>,
    ) {
        self.observe_epoch(epoch);
        let proposal_number = ProposalNumber { epoch, candidate: sender };
        let repeated = self.stored.promised == Some(proposal_number);
        let is_member = self
            .stored
            .view
            .as_ref()
            .is_none_or(|known| known.view.everyone().iter().any(|m| m.id == sender));
        if !repeated
            && (epoch <= self.promised_epoch() || !is_member || self.lease_forbids_promise(sender, released))
        {
            let rejection = Body::Reject(Reject {
                epoch,
                promised: self.stored.promised,
                view: self.stored.view.clone(),
            });
            return self.send(from, rejection, out);
        }
        let mut records = Vec::new();
        self.reset_election_timer();
        if !repeated {
            self.stored.promised = Some(proposal_number);
            self.election.pre_vote = None;
            self.step_down(out);
            records.push(Record::Promise(proposal_number));
        }
        let reply = self.make_promise(proposal_number, position);
        if self.config.injected_fault.forgets_promise() {
            return self.send(from, reply, out);
        }
        let effect = self.reply_once_durable(from, reply);
        self.persist(records, effect, out);
    }

    fn make_promise(
        &mut self,
        proposal_number: ProposalNumber,
        candidate_position: Option<LogPosition>,
    ) -> Body {
        let newer = self.stored.data.clone().filter(|data| {
            candidate_position.is_none_or(|candidate_position| candidate_position < data.position)
        });
        let data = newer.filter(|data| self.should_send_snapshot(proposal_number, candidate_position, data));
        Body::Promise(Promise {
            epoch: proposal_number.epoch,
            view: self.stored.view.clone(),
            position: self.stored.data.as_ref().map(|data| data.position),
            data,
            healthy: self.healthy(),
        })
    }

    /// Whether the data is to be sent with a promise: not if it was sent before and may still be in transit. Records
    /// the transmission if so.
    fn should_send_snapshot(
        &mut self,
        proposal_number: ProposalNumber,
        candidate_position: Option<LogPosition>,
        data: &Data,
    ) -> bool {
        let before = self.election.snapshot_sent.filter(|sent| {
            sent.proposal_number == proposal_number && sent.candidate_position == candidate_position
        });
        let timeout = |sent: SnapshotSent| retransmission_delay(state_bytes(&data.state), sent.repetitions);
        if before.is_some_and(|sent| self.now() < sent.sent_at + timeout(sent)) {
            return false;
        }
        let repetitions = before.map_or(0, |sent| sent.repetitions + 1);
        self.election.snapshot_sent =
            Some(SnapshotSent { proposal_number, candidate_position, sent_at: self.now(), repetitions });
        true
    }

    pub(crate) fn handle_accept(&mut self, from: SocketAddrV4, known: KnownView, out: &mut Vec<Output>) {
        let (proposal_number, epoch) = (known.view.proposal_number(), known.view.epoch);
        self.observe_epoch(epoch);
        if self.names_backup_without_data(&known.view) {
            return;
        }
        self.learn_view(known, out);
        let accepted = self.stored.promised == Some(proposal_number) && self.view_epoch() == epoch;
        if !accepted {
            let rejection = Body::Reject(Reject {
                epoch,
                promised: self.stored.promised,
                view: self.stored.view.clone(),
            });
            return self.send(from, rejection, out);
        }
        self.reset_election_timer();
        let effect = self.reply_once_durable(from, Body::Accepted { epoch });
        self.persist(Vec::new(), effect, out);
    }

    /// Whether the view names this replica as a backup before it has the data; no candidate sends such a view.
    fn names_backup_without_data(&self, view: &View) -> bool {
        let installed = self.stored.data.as_ref().is_some_and(|data| data.position.epoch >= view.epoch);
        let lacks_data = view.backups.contains(&self.id) && view.epoch > BOOTSTRAP_EPOCH && !installed;
        lacks_data && !self.config.injected_fault.accepts_before_install()
    }
}
