//! Replication of one change at a time from the primary to its backups (Viewstamped Replication; primary-backup).

use std::{collections::BTreeSet, net::SocketAddrV4, sync::Arc};

use crate::{
    Body, Change, Data, LogPosition, Micros, Outcome, Output, ProposalId, ProposalNumber, Record, Replica,
    ReplicaId, Replicate, SnapshotInstalled,
    disk::Effect,
    leadership::PendingChange,
    time::MILLISECOND,
    transmission::{change_bytes, retransmission_delay},
};

/// Interval at which a change is sent again to backups that haven't acknowledged it.
const REPLICATION_RESEND_INTERVAL: Micros = 150 * MILLISECOND;

impl Replica {
    pub(crate) fn start_change(
        &mut self,
        proposal_id: ProposalId,
        change: Change,
        since: Micros,
        out: &mut Vec<Output>,
    ) {
        let (Some(leadership), Some(data)) = (&self.leadership, &self.stored.data) else { return };
        let position = LogPosition { epoch: leadership.epoch, sequence: data.position.sequence + 1 };
        let state = Arc::new(self.committed.after(&change));
        self.stored.data = Some(Data { position, state });
        let pending = PendingChange {
            proposal_id: Some(proposal_id),
            change: change.clone(),
            position,
            since,
            durable: BTreeSet::new(),
            next_send: self.now(),
            transmissions: 0,
        };
        if let Some(leadership) = self.leadership.as_mut() {
            leadership.pending = Some(pending);
        }
        // Persisted before it is sent: an effect without records is attached to the latest pending write, which has
        // to be this one.
        self.persist(vec![Record::Changed { position, change }], Some(Effect::OwnChange { position }), out);
        self.maybe_send_change(out);
    }

    pub(crate) fn maybe_send_change(&mut self, out: &mut Vec<Output>) {
        let (now, own_id) = (self.now(), self.id);
        if self.election.campaign.is_some() {
            return;
        }
        let Some(leadership) = self.leadership.as_mut() else { return };
        let view = Arc::clone(&leadership.view);
        let Some(pending) = leadership.pending.as_mut().filter(|pending| now >= pending.next_send) else {
            return;
        };
        let LogPosition { epoch, sequence } = pending.position;
        let repeat_write =
            pending.since + REPLICATION_RESEND_INTERVAL <= now && !pending.durable.contains(&own_id);
        let waiting = view.backups.iter().filter(|id| !pending.durable.contains(id));
        let addresses: Vec<_> =
            waiting.filter_map(|id| view.member(*id)).map(|member| member.address).collect();
        let bytes = change_bytes(&pending.change) * addresses.len();
        pending.next_send =
            now + REPLICATION_RESEND_INTERVAL + retransmission_delay(bytes, pending.transmissions);
        pending.transmissions += 1;
        let change = pending.change.clone();
        let position = pending.position;
        for address in addresses {
            self.send(address, Body::Replicate(Replicate { epoch, sequence, change: change.clone() }), out);
        }
        if repeat_write {
            self.persist(Vec::new(), Some(Effect::OwnChange { position }), out);
        }
    }

    pub(crate) fn handle_replicate(
        &mut self,
        from: SocketAddrV4,
        sender: ReplicaId,
        Replicate { epoch, sequence, change }: Replicate,
        out: &mut Vec<Output>,
    ) {
        let position = LogPosition { epoch, sequence };
        let promised = self.stored.promised == Some(ProposalNumber { epoch, candidate: sender });
        let is_backup =
            self.current_view().is_some_and(|view| view.epoch == epoch && view.backups.contains(&self.id));
        if !promised || !is_backup {
            return;
        }
        let follows = |data: &Data| data.position.epoch == epoch && data.position.sequence + 1 >= sequence;
        let Some(data) = self.stored.data.clone().filter(follows) else {
            // Reached only after a disk was restored from an older copy. Without a reply the primary would wait for
            // ever.
            return self.send(
                from,
                Body::SnapshotInstalled(SnapshotInstalled { epoch, complete: false, attempt: 0 }),
                out,
            );
        };
        let reply = self.reply_once_durable(from, Body::Replicated { epoch, sequence });
        if data.position.sequence + 1 == sequence {
            self.stored.data = Some(Data { position, state: Arc::new(data.state.after(&change)) });
            self.persist(vec![Record::Changed { position, change }], reply, out);
        } else if data.position == position {
            self.persist(Vec::new(), reply, out);
        }
    }

    pub(crate) fn handle_replicated(
        &mut self,
        sender: ReplicaId,
        position: LogPosition,
        out: &mut Vec<Output>,
    ) {
        let acknowledges_early = self.config.injected_fault.acknowledges_early();
        let Some(leadership) = self.leadership.as_mut() else { return };
        let Some(pending) = leadership.pending.as_mut().filter(|pending| pending.position == position) else {
            return;
        };
        pending.durable.insert(sender);
        let backups_durable = leadership.view.backups.iter().all(|id| pending.durable.contains(id));
        // Once this replica has promised a later epoch, the next view decides about the change.
        let own_epoch = self.stored.promised == Some(leadership.view.proposal_number());
        if own_epoch && pending.durable.contains(&self.id) && (backups_durable || acknowledges_early) {
            self.commit(out);
        }
    }

    /// A backup lacks changes that it has acknowledged: a view change installs the state there again.
    pub(crate) fn record_outdated_backup(&mut self, backup: ReplicaId, epoch: u64) {
        let now = self.now();
        let Some(leadership) = self.leadership.as_mut().filter(|lead| lead.epoch == epoch) else { return };
        if let Some(peer) = leadership.peers.get_mut(&backup) {
            peer.diverged_since = peer.diverged_since.or(Some(now));
        }
    }

    fn commit(&mut self, out: &mut Vec<Output>) {
        let Some(pending) = self.leadership.as_mut().and_then(|leadership| leadership.pending.take()) else {
            return;
        };
        let Some(data) = &self.stored.data else { return };
        self.committed = Arc::clone(&data.state);
        out.push(Output::Committed { state: Arc::clone(&self.committed) });
        let answer = |proposal_id| Output::Answer { proposal_id, outcome: Outcome::Committed };
        out.extend(pending.proposal_id.map(answer));
    }
}
