//! The view that a replica knows: how it learns of one, of its activation, and of the first one at bootstrap.

use std::sync::Arc;

use crate::{
    Data, KnownView, LogPosition, Output, Record, Replica, View, disk::Effect, view::BOOTSTRAP_EPOCH,
};

impl Replica {
    /// Bootstraps the system with its first view, unless this replica already knows a view.
    pub(crate) fn bootstrap(&mut self, view: View, out: &mut Vec<Output>) {
        if self.stored.view.is_some() || self.stored.promised.is_some() || view.epoch != BOOTSTRAP_EPOCH {
            return;
        }
        let view = Arc::new(view);
        let known = KnownView { view: Arc::clone(&view), active: true };
        self.stored.promised = Some(view.proposal_number());
        self.stored.view = Some(known.clone());
        self.observe_epoch(view.epoch);
        self.reset_election_timer();
        let mut records = vec![Record::Promise(view.proposal_number()), Record::View(known)];
        records.extend(self.bootstrap_data(&view));
        let effect = (view.primary == self.id).then_some(Effect::BootstrapDurable);
        self.persist(records, effect, out);
    }

    pub(crate) fn handle_bootstrap_durable(&mut self) {
        let Some(known) = self.stored.view.clone() else { return };
        let unchanged_since_bootstrap =
            known.view.epoch == BOOTSTRAP_EPOCH && self.stored.promised == Some(known.view.proposal_number());
        if unchanged_since_bootstrap && self.leadership.is_none() {
            let everyone = known.view.members.iter().map(|member| member.id).collect();
            self.start_leadership(known.view, &everyone);
        }
    }

    /// Learns of a view that exists, whether or not this replica may accept it.
    pub(crate) fn learn_view(&mut self, known: KnownView, out: &mut Vec<Output>) {
        self.observe_epoch(known.view.epoch);
        let (epoch, own_epoch) = (known.view.epoch, self.view_epoch());
        if self.election.campaign.as_ref().is_some_and(|campaign| campaign.epoch == epoch) {
            return;
        }
        if epoch == own_epoch {
            if known.active {
                self.activate_view(out);
            }
            return;
        }
        if epoch < own_epoch {
            return;
        }
        let mut records = Vec::new();
        if epoch > self.promised_epoch() {
            self.stored.promised = Some(known.view.proposal_number());
            records.push(Record::Promise(known.view.proposal_number()));
        }
        if self.election.campaign.as_ref().is_some_and(|campaign| campaign.epoch < epoch) {
            self.step_down(out);
        }
        if known.view.primary != self.id && self.leadership.is_some() {
            self.end_leadership(out);
            if self.election.campaign.is_none() {
                self.reject_queued_proposals(out);
            }
        }
        self.election.pre_vote = None;
        self.stored.view = Some(known.clone());
        records.push(Record::View(known.clone()));
        records.extend(self.bootstrap_data(&known.view));
        records.extend(known.active.then(|| self.maybe_discard_data()).flatten());
        self.persist(records, None, out);
    }

    /// The data set of the first view holds the empty state without an installation.
    fn bootstrap_data(&mut self, view: &View) -> Option<Record> {
        let bootstrapping =
            view.epoch == BOOTSTRAP_EPOCH && view.holds_data(self.id) && self.stored.data.is_none();
        bootstrapping.then(|| {
            let data =
                Data { position: LogPosition { epoch: BOOTSTRAP_EPOCH, sequence: 0 }, state: Arc::default() };
            self.stored.data = Some(data.clone());
            Record::Snapshot(data)
        })
    }

    /// Marks the view as active; replicas outside its data set discard their data.
    pub(crate) fn activate_view(&mut self, out: &mut Vec<Output>) {
        let Some(known) = self.stored.view.as_mut().filter(|known| !known.active) else { return };
        known.active = true;
        let mut records = vec![Record::View(known.clone())];
        records.extend(self.maybe_discard_data());
        self.persist(records, None, out);
    }

    fn maybe_discard_data(&mut self) -> Option<Record> {
        let needed = self.current_view().is_none_or(|view| view.holds_data(self.id));
        let promised_later = self.promised_epoch() > self.view_epoch();
        if needed || promised_later || self.stored.data.is_none() {
            return None;
        }
        self.stored.data = None;
        Some(Record::SnapshotDiscarded)
    }
}
