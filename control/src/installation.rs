//! The second half of a campaign: the data goes to the backups, then the view to all; and the receiving side.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
    sync::Arc,
};

use crate::{
    Body, ControlState, Data, InstallSnapshot, KnownView, LogPosition, Member, Output, Prepare,
    ProposalNumber, Record, Reject, Replica, ReplicaId, SnapshotInstalled, View,
    campaign::{Campaign, Stage},
    config::MILLISECOND,
    disk::Effect,
    membership::{BackupCandidate, Membership, choose_backups},
    transfer::{state_bytes, transfer_time},
    view::BOOTSTRAP_EPOCH,
};

/// A future backup that hasn't installed the state after this span and the time of its transfer is passed over for
/// another.
const INSTALL_TIMEOUT: u64 = 500 * MILLISECOND;

impl Campaign {
    /// The view to be, with backups among those that have promised and aren't passed over.
    ///
    /// The wish for other members waits if it would leave the primary without a backup.
    fn next_view(&self, me: &Member, excluded: &BTreeSet<ReplicaId>, losses: usize) -> View {
        let membership = self.membership.as_ref().filter(|_| self.base_view.active);
        let wished = self.compose(membership, me, excluded, losses);
        let alone = wished.backups.is_empty() && wished.members.len() > 1;
        if alone { self.compose(None, me, excluded, losses) } else { wished }
    }

    fn compose(
        &self,
        membership: Option<&Membership>,
        me: &Member,
        excluded: &BTreeSet<ReplicaId>,
        losses: usize,
    ) -> View {
        let base = &self.base_view.view;
        let members = membership.map_or(&base.members, |membership| &membership.members);
        let previous_members = match (self.base_view.active, *members == base.members) {
            (false, _) => base.previous_members.clone(),
            (true, true) => Vec::new(),
            (true, false) => base.members.clone(),
        };
        // One that is about to end, or whose disk was slow, has written its promise and is better than no backup.
        let healthy = self.backup_candidates(members, me.id, excluded, true);
        let (candidates, count) = match healthy.is_empty() {
            true => (self.backup_candidates(members, me.id, excluded, false), 1),
            false => (healthy, losses.max(1)),
        };
        View {
            epoch: self.epoch,
            members: members.clone(),
            previous_members,
            primary: me.id,
            backups: choose_backups(&me.zone, candidates, count),
            target_size: membership.map_or(base.target_size, |membership| membership.target_size),
        }
    }

    /// The members that have promised and may become backups.
    fn backup_candidates<'a>(
        &self,
        members: &'a [Member],
        own: ReplicaId,
        excluded: &BTreeSet<ReplicaId>,
        healthy: bool,
    ) -> Vec<BackupCandidate<'a>> {
        let eligible = members.iter().filter(|member| {
            let promised = self.promises.get(&member.id).is_some_and(|promised| promised.healthy || !healthy);
            member.id != own && promised && !excluded.contains(&member.id)
        });
        eligible
            .map(|member| BackupCandidate { member, holds_data: self.base_view.view.holds_data(member.id) })
            .collect()
    }
}

impl Replica {
    /// Begins to install the state that the campaign has found.
    pub(crate) fn start_installation(&mut self, source: Data, out: &mut Vec<Output>) {
        let (me, losses, now) = (self.member(), self.config.machine_losses, self.now());
        let Some(campaign) = self.campaign.as_mut() else { return };
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
        let record = self.hold_snapshot(position, source.position, &source.state);
        self.persist(vec![record], Some(Effect::OwnSnapshot { epoch }), out);
        self.resend_stage(out);
        if self.config.injected_fault.accepts_before_install() {
            self.start_accepting(out);
        }
    }

    /// Holds the state under a new position, and says how to write that.
    fn hold_snapshot(
        &mut self,
        position: LogPosition,
        source: LogPosition,
        state: &Arc<ControlState>,
    ) -> Record {
        // A new position is only given to a state that is durable; else it might come to stand for another.
        let held = self.disk.all_durable() && self.data.as_ref().is_some_and(|data| data.position == source);
        let data = Data { position, state: Arc::clone(state) };
        self.data = Some(data.clone());
        if held { Record::Moved(position) } else { Record::Snapshot(data) }
    }

    /// Repeats what the present stage of the campaign has to say to those who haven't answered.
    pub(crate) fn resend_stage(&mut self, out: &mut Vec<Output>) {
        self.replace_unresponsive_backups();
        let Some(campaign) = &self.campaign else { return };
        match &campaign.stage {
            Stage::CollectingPromises => {}
            Stage::InstallingSnapshots { view, installed, .. } => {
                let waiting: Vec<ReplicaId> =
                    view.backups.iter().copied().filter(|id| !installed.contains(id)).collect();
                let (epoch, installed_here) = (campaign.epoch, installed.contains(&self.id));
                self.keep_other_members_waiting(&waiting, out);
                waiting.into_iter().for_each(|id| self.send_install_snapshot(id, out));
                if !installed_here {
                    self.persist(Vec::new(), Some(Effect::OwnSnapshot { epoch }), out);
                }
            }
            Stage::AcceptingView { view, accepted } => {
                let known = KnownView { view: Arc::clone(view), active: false };
                let mut everyone = view.everyone();
                everyone.extend(campaign.base_view.view.everyone());
                everyone.sort_by_key(|member| member.id);
                everyone.dedup_by_key(|member| member.id);
                let waiting = everyone.iter().filter(|member| !accepted.contains(&member.id));
                for member in waiting.filter(|member| member.id != self.id) {
                    self.send(member.address, Body::Accept { view: known.clone() }, out);
                }
                if !accepted.contains(&self.id) {
                    let epoch = campaign.epoch;
                    self.persist(Vec::new(), Some(Effect::OwnAccept { epoch }), out);
                }
            }
        }
    }

    /// Tells those that have nothing to install that the campaign goes on, so that none of them begins another.
    fn keep_other_members_waiting(&self, waiting: &[ReplicaId], out: &mut Vec<Output>) {
        let Some(campaign) = &self.campaign else { return };
        let Stage::InstallingSnapshots { source, .. } = &campaign.stage else { return };
        let (epoch, released) = (campaign.epoch, campaign.released);
        for member in campaign.base_view.view.everyone() {
            if member.id != self.id && !waiting.contains(&member.id) {
                let position = Some(source.position);
                self.send(member.address, Body::Prepare(Prepare { epoch, position, released }), out);
            }
        }
    }

    /// Asks a future backup to install the state. The state itself goes along only if the backup needs it and hasn't
    /// been sent it; after that this only asks whether it came.
    fn send_install_snapshot(&mut self, to: ReplicaId, out: &mut Vec<Output>) {
        let Some(campaign) = self.campaign.as_mut() else { return };
        let shown = campaign.promises.get(&to).and_then(|promised| promised.position);
        let epoch = campaign.epoch;
        let Stage::InstallingSnapshots { view, source, attempts, .. } = &mut campaign.stage else { return };
        let Some(address) = view.member(to).map(|member| member.address) else { return };
        let whole = shown != Some(source.position) && !attempts.contains_key(&to);
        if whole {
            attempts.insert(to, 1);
        }
        let install = Body::InstallSnapshot(InstallSnapshot {
            epoch,
            sequence: source.position.sequence,
            source: source.position,
            attempt: attempts.get(&to).copied().unwrap_or(0),
            state: whole.then(|| Arc::clone(&source.state)),
        });
        self.send(address, install, out);
    }

    /// Chooses other backups while the view isn't known to anybody yet.
    fn replace_unresponsive_backups(&mut self) {
        let (me, losses, now) = (self.member(), self.config.machine_losses, self.now());
        let Some(campaign) = self.campaign.as_mut() else { return };
        let Stage::InstallingSnapshots { view, source, installed, attempts, excluded, since } =
            &mut campaign.stage
        else {
            return;
        };
        let transfers = transfer_time(state_bytes(&source.state) * attempts.len());
        if now < *since + INSTALL_TIMEOUT + transfers {
            return;
        }
        let mut silent = excluded.clone();
        silent.extend(view.backups.iter().filter(|id| !installed.contains(id)));
        *since = now;
        let next = campaign.next_view(&me, &silent, losses);
        if next.backups.is_empty() {
            return;
        }
        if let Stage::InstallingSnapshots { view, excluded, .. } = &mut campaign.stage {
            *view = Arc::new(next);
            *excluded = silent;
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
        if self.promised != Some(ProposalNumber { epoch, candidate: sender }) {
            return;
        }
        self.reset_election_timer();
        let held = self.data.as_ref().map(|data| data.position);
        let complete = self.reply_once_durable(
            from,
            Body::SnapshotInstalled(SnapshotInstalled { epoch, complete: true, attempt }),
        );
        if held.is_some_and(|held| held.epoch == epoch) {
            return self.persist(Vec::new(), complete, out);
        }
        let state = state.or_else(|| {
            self.data.as_ref().filter(|data| data.position == source).map(|data| Arc::clone(&data.state))
        });
        let Some(state) = state else {
            return self.send(
                from,
                Body::SnapshotInstalled(SnapshotInstalled { epoch, complete: false, attempt }),
                out,
            );
        };
        let Data { position, state } = self.config.injected_fault.installed(position, source, state);
        let record = self.hold_snapshot(position, source, &state);
        self.persist(vec![record], complete, out);
    }

    /// A future backup lacks the state, although it was thought to hold it or was sent it.
    pub(crate) fn handle_snapshot_missing(
        &mut self,
        sender: ReplicaId,
        epoch: u64,
        attempt: u64,
        out: &mut Vec<Output>,
    ) {
        let Some(campaign) = self.campaign.as_mut().filter(|campaign| campaign.epoch == epoch) else {
            // With an attempt, it is a late answer to the installation, which is over.
            if attempt == 0 {
                self.mark_backup_outdated(sender, epoch);
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
        let Some(campaign) = self.campaign.as_mut().filter(|campaign| campaign.epoch == epoch) else {
            return;
        };
        let Stage::InstallingSnapshots { view, installed, .. } = &mut campaign.stage else { return };
        installed.insert(sender);
        let all = view.backups.iter().all(|id| installed.contains(id)) && installed.contains(&self.id);
        if all {
            self.start_accepting(out);
        }
    }

    fn start_accepting(&mut self, out: &mut Vec<Output>) {
        let Some(campaign) = self.campaign.as_mut() else { return };
        let Stage::InstallingSnapshots { view, .. } = &campaign.stage else { return };
        let (view, epoch) = (Arc::clone(view), campaign.epoch);
        campaign.stage = Stage::AcceptingView { view: Arc::clone(&view), accepted: BTreeSet::new() };
        let known = KnownView { view, active: false };
        self.view = Some(known.clone());
        self.persist(vec![Record::View(known)], Some(Effect::OwnAccept { epoch }), out);
        self.resend_stage(out);
    }

    pub(crate) fn handle_accept(&mut self, from: SocketAddrV4, known: KnownView, out: &mut Vec<Output>) {
        let (proposal_number, epoch) = (known.view.proposal_number(), known.view.epoch);
        self.observe_epoch(epoch);
        if self.names_backup_without_data(&known.view) {
            return;
        }
        self.learn_view(known, out);
        let accepted = self.promised == Some(proposal_number) && self.view_epoch() == epoch;
        if !accepted {
            let rejection = Body::Reject(Reject { epoch, promised: self.promised, view: self.view.clone() });
            return self.send(from, rejection, out);
        }
        self.reset_election_timer();
        let effect = self.reply_once_durable(from, Body::Accepted { epoch });
        self.persist(Vec::new(), effect, out);
    }

    /// A view that names this replica as a backup before it has the data; no candidate sends one.
    fn names_backup_without_data(&self, view: &View) -> bool {
        let installed = self.data.as_ref().is_some_and(|data| data.position.epoch >= view.epoch);
        let lacking = view.backups.contains(&self.id) && view.epoch > BOOTSTRAP_EPOCH && !installed;
        lacking && !self.config.injected_fault.accepts_before_install()
    }

    /// Takes in a view that exists, whether or not it may be accepted here.
    pub(crate) fn learn_view(&mut self, known: KnownView, out: &mut Vec<Output>) {
        self.observe_epoch(known.view.epoch);
        let (epoch, own) = (known.view.epoch, self.view_epoch());
        if self.campaign.as_ref().is_some_and(|campaign| campaign.epoch == epoch) {
            return;
        }
        if epoch == own {
            if known.active {
                self.mark_view_active(out);
            }
            return;
        }
        if epoch < own {
            return;
        }
        let mut records = Vec::new();
        if epoch > self.promised_epoch() {
            self.promised = Some(known.view.proposal_number());
            records.push(Record::Promise(known.view.proposal_number()));
        }
        if self.campaign.as_ref().is_some_and(|campaign| campaign.epoch < epoch) {
            self.step_down(out);
        }
        if known.view.primary != self.id && self.leadership.is_some() {
            self.end_leadership(out);
            if self.campaign.is_none() {
                self.reject_queued_proposals(out);
            }
        }
        self.pre_vote = None;
        self.view = Some(known.clone());
        records.push(Record::View(known.clone()));
        records.extend(self.bootstrap_data(&known.view));
        records.extend(known.active.then(|| self.maybe_discard_data()).flatten());
        self.persist(records, None, out);
    }

    /// The data set of the first view holds the empty state from the start.
    pub(crate) fn bootstrap_data(&mut self, view: &View) -> Option<Record> {
        let founding = view.epoch == BOOTSTRAP_EPOCH && view.holds_data(self.id) && self.data.is_none();
        founding.then(|| {
            let data =
                Data { position: LogPosition { epoch: BOOTSTRAP_EPOCH, sequence: 0 }, state: Arc::default() };
            self.data = Some(data.clone());
            Record::Snapshot(data)
        })
    }

    /// The view is active, so whoever isn't in its data set needs the data no longer.
    pub(crate) fn mark_view_active(&mut self, out: &mut Vec<Output>) {
        let Some(known) = self.view.as_mut().filter(|known| !known.active) else { return };
        known.active = true;
        let mut records = vec![Record::View(known.clone())];
        records.extend(self.maybe_discard_data());
        self.persist(records, None, out);
    }

    fn maybe_discard_data(&mut self) -> Option<Record> {
        let needed = self.current_view().is_none_or(|view| view.holds_data(self.id));
        let promised_on = self.promised_epoch() > self.view_epoch();
        if needed || promised_on || self.data.is_none() {
            return None;
        }
        self.data = None;
        Some(Record::SnapshotDiscarded)
    }

    pub(crate) fn handle_accepted(&mut self, sender: ReplicaId, epoch: u64, out: &mut Vec<Output>) {
        let Some(campaign) = self.campaign.as_mut().filter(|campaign| campaign.epoch == epoch) else {
            return;
        };
        let Stage::AcceptingView { view, accepted } = &mut campaign.stage else { return };
        accepted.insert(sender);
        let mut known = KnownView { view: Arc::clone(view), active: false };
        known.active = self.config.injected_fault.skips_previous_members();
        let data_set = view.backups.iter().all(|id| accepted.contains(id)) && accepted.contains(&self.id);
        if data_set && known.quorum(accepted) {
            let answered = accepted.iter().chain(campaign.promises.keys()).copied().collect();
            self.campaign = None;
            self.become_primary(known.view, &answered, out);
        }
    }
}
