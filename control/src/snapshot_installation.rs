//! The second phase of a campaign: the state is installed on the backups of the next view; and the receiving side.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
    sync::Arc,
};

use crate::{
    Body, ControlState, Data, InstallSnapshot, LogPosition, Micros, Output, Prepare, ProposalNumber, Record,
    Replica, ReplicaId, SnapshotInstalled,
    campaign::Stage,
    disk::Effect,
    time::MILLISECOND,
    transmission::{state_bytes, transfer_time},
};

/// A future backup that hasn't installed the state after this time, plus the time of the transfer, is replaced by
/// another.
const INSTALL_TIMEOUT: Micros = 500 * MILLISECOND;

impl Replica {
    /// Starts to install the state that the campaign has found.
    pub(crate) fn start_installation(&mut self, source: Data, out: &mut Vec<Output>) {
        let (me, losses, now) = (self.member(), self.config.machine_losses, self.now());
        let Some(campaign) = self.election.campaign.as_mut() else { return };
        let excluded = BTreeSet::new();
        let view = campaign.next_view(&me, &excluded, losses);
        let position = LogPosition { epoch: campaign.epoch, sequence: source.position.sequence };
        campaign.stage = Stage::InstallingSnapshots {
            view: Arc::new(view),
            source: source.clone(),
            installed: BTreeSet::new(),
            attempts: BTreeMap::new(),
            excluded,
            since: now,
        };
        let epoch = campaign.epoch;
        let record = self.store_snapshot(position, source.position, &source.state);
        self.persist(vec![record], Some(Effect::OwnSnapshot { epoch }), out);
        self.resend_stage(out);
        if self.config.injected_fault.accepts_before_install() {
            self.start_accepting(out);
        }
    }

    /// Stores the state under a new position, and returns the record to persist.
    fn store_snapshot(
        &mut self,
        position: LogPosition,
        source: LogPosition,
        state: &Arc<ControlState>,
    ) -> Record {
        // Only a durable state may get a new position without being written again: after a crash the position could
        // otherwise belong to another state.
        let durable =
            self.disk.all_durable() && self.stored.data.as_ref().is_some_and(|data| data.position == source);
        let data = Data { position, state: Arc::clone(state) };
        self.stored.data = Some(data.clone());
        if durable { Record::Moved(position) } else { Record::Snapshot(data) }
    }

    /// Repeats the requests of the present phase to the replicas that haven't replied.
    pub(crate) fn resend_stage(&mut self, out: &mut Vec<Output>) {
        self.replace_unresponsive_backups();
        let Some(campaign) = &self.election.campaign else { return };
        match &campaign.stage {
            Stage::CollectingPromises => {}
            Stage::InstallingSnapshots { view, installed, .. } => {
                let without_snapshot: Vec<ReplicaId> =
                    view.backups.iter().copied().filter(|id| !installed.contains(id)).collect();
                let (epoch, installed_here) = (campaign.epoch, installed.contains(&self.id));
                self.resend_prepare_to_others(&without_snapshot, out);
                without_snapshot.into_iter().for_each(|id| self.send_install_snapshot(id, out));
                if !installed_here {
                    self.persist(Vec::new(), Some(Effect::OwnSnapshot { epoch }), out);
                }
            }
            Stage::AcceptingView { .. } => self.resend_accept(out),
        }
    }

    /// Repeats the prepare request to members that have nothing to install, so that their election timers don't
    /// expire.
    fn resend_prepare_to_others(&self, without_snapshot: &[ReplicaId], out: &mut Vec<Output>) {
        let Some(campaign) = &self.election.campaign else { return };
        let Stage::InstallingSnapshots { source, .. } = &campaign.stage else { return };
        let (epoch, released) = (campaign.epoch, campaign.released);
        for member in campaign.base_view.view.everyone() {
            if member.id != self.id && !without_snapshot.contains(&member.id) {
                let position = Some(source.position);
                self.send(member.address, Body::Prepare(Prepare { epoch, position, released }), out);
            }
        }
    }

    /// Asks a future backup to install the state. The state itself is included only if the backup needs it and hasn't
    /// been sent it; a repetition only asks whether it arrived.
    fn send_install_snapshot(&mut self, to: ReplicaId, out: &mut Vec<Output>) {
        let Some(campaign) = self.election.campaign.as_mut() else { return };
        let reported_position = campaign.promises.get(&to).and_then(|promised| promised.position);
        let epoch = campaign.epoch;
        let Stage::InstallingSnapshots { view, source, attempts, .. } = &mut campaign.stage else { return };
        let Some(address) = view.member(to).map(|member| member.address) else { return };
        let include_state = reported_position != Some(source.position) && !attempts.contains_key(&to);
        if include_state {
            attempts.insert(to, 1);
        }
        let install = Body::InstallSnapshot(InstallSnapshot {
            epoch,
            sequence: source.position.sequence,
            source: source.position,
            attempt: attempts.get(&to).copied().unwrap_or(0),
            state: include_state.then(|| Arc::clone(&source.state)),
        });
        self.send(address, install, out);
    }

    /// Chooses other backups while no other replica knows the view yet.
    fn replace_unresponsive_backups(&mut self) {
        let (me, losses, now) = (self.member(), self.config.machine_losses, self.now());
        let Some(campaign) = self.election.campaign.as_mut() else { return };
        let Stage::InstallingSnapshots { view, source, installed, attempts, excluded, since } =
            &mut campaign.stage
        else {
            return;
        };
        let transfers = transfer_time(state_bytes(&source.state) * attempts.len());
        if now < *since + INSTALL_TIMEOUT + transfers {
            return;
        }
        let mut unresponsive = excluded.clone();
        unresponsive.extend(view.backups.iter().filter(|id| !installed.contains(id)));
        *since = now;
        let next = campaign.next_view(&me, &unresponsive, losses);
        if next.backups.is_empty() {
            return;
        }
        if let Stage::InstallingSnapshots { view, excluded, .. } = &mut campaign.stage {
            *view = Arc::new(next);
            *excluded = unresponsive;
        }
    }

    pub(crate) fn handle_install_snapshot(
        &mut self,
        from: SocketAddrV4,
        sender: ReplicaId,
        InstallSnapshot { epoch, sequence, source, attempt, state }: InstallSnapshot,
        out: &mut Vec<Output>,
    ) {
        let position = LogPosition { epoch, sequence };
        if self.stored.promised != Some(ProposalNumber { epoch, candidate: sender }) {
            return;
        }
        self.reset_election_timer();
        let own_position = self.stored.data.as_ref().map(|data| data.position);
        let complete = self.reply_once_durable(
            from,
            Body::SnapshotInstalled(SnapshotInstalled { epoch, complete: true, attempt }),
        );
        if own_position.is_some_and(|own| own.epoch == epoch) {
            return self.persist(Vec::new(), complete, out);
        }
        let state = state.or_else(|| {
            self.stored
                .data
                .as_ref()
                .filter(|data| data.position == source)
                .map(|data| Arc::clone(&data.state))
        });
        let Some(state) = state else {
            return self.send(
                from,
                Body::SnapshotInstalled(SnapshotInstalled { epoch, complete: false, attempt }),
                out,
            );
        };
        let Data { position, state } = self.config.injected_fault.installed(position, source, state);
        let record = self.store_snapshot(position, source, &state);
        self.persist(vec![record], complete, out);
    }

    /// A future backup lacks the state, although it reported the source position or was sent the state.
    pub(crate) fn handle_snapshot_missing(
        &mut self,
        sender: ReplicaId,
        epoch: u64,
        attempt: u64,
        out: &mut Vec<Output>,
    ) {
        let Some(campaign) = self.election.campaign.as_mut().filter(|campaign| campaign.epoch == epoch)
        else {
            // A reply with an attempt belongs to an installation that is over.
            if attempt == 0 {
                self.record_outdated_backup(sender, epoch);
            }
            return;
        };
        let Stage::InstallingSnapshots { view, source, attempts, .. } = &mut campaign.stage else { return };
        let known = attempts.get(&sender).copied().unwrap_or(0);
        let Some(member) = view.member(sender).filter(|_| attempt == known) else { return };
        attempts.insert(sender, known + 1);
        let install = Body::InstallSnapshot(InstallSnapshot {
            epoch,
            sequence: source.position.sequence,
            source: source.position,
            attempt: known + 1,
            state: Some(Arc::clone(&source.state)),
        });
        let address = member.address;
        self.send(address, install, out);
    }

    pub(crate) fn handle_snapshot_installed(&mut self, sender: ReplicaId, epoch: u64, out: &mut Vec<Output>) {
        let Some(campaign) = self.election.campaign.as_mut().filter(|campaign| campaign.epoch == epoch)
        else {
            return;
        };
        let Stage::InstallingSnapshots { view, installed, .. } = &mut campaign.stage else { return };
        installed.insert(sender);
        let all = view.backups.iter().all(|id| installed.contains(id)) && installed.contains(&self.id);
        if all {
            self.start_accepting(out);
        }
    }
}
