//! The last phase of a campaign: the view goes to all members, and is active once a quorum has accepted it.

use std::{collections::BTreeSet, sync::Arc};

use crate::{Body, KnownView, Output, Record, Replica, ReplicaId, campaign::Stage, disk::Effect};

impl Replica {
    pub(crate) fn start_accepting(&mut self, out: &mut Vec<Output>) {
        let Some(campaign) = self.election.campaign.as_mut() else { return };
        let Stage::InstallingSnapshots { view, .. } = &campaign.stage else { return };
        let (view, epoch) = (Arc::clone(view), campaign.epoch);
        campaign.stage = Stage::AcceptingView { view: Arc::clone(&view), accepted: BTreeSet::new() };
        let known = KnownView { view, active: false };
        self.stored.view = Some(known.clone());
        self.persist(vec![Record::View(known)], Some(Effect::OwnAccept { epoch }), out);
        self.resend_stage(out);
    }

    pub(crate) fn handle_accepted(&mut self, sender: ReplicaId, epoch: u64, out: &mut Vec<Output>) {
        let Some(campaign) = self.election.campaign.as_mut().filter(|campaign| campaign.epoch == epoch)
        else {
            return;
        };
        let Stage::AcceptingView { view, accepted } = &mut campaign.stage else { return };
        accepted.insert(sender);
        let mut known = KnownView { view: Arc::clone(view), active: false };
        known.active = self.config.injected_fault.skips_previous_members();
        let data_set_accepted =
            view.backups.iter().all(|id| accepted.contains(id)) && accepted.contains(&self.id);
        if data_set_accepted && known.quorum(accepted) {
            let replied = accepted.iter().chain(campaign.promises.keys()).copied().collect();
            self.election.campaign = None;
            self.become_primary(known.view, &replied, out);
        }
    }

    /// Sends the view to the members that haven't accepted it.
    pub(crate) fn resend_accept(&mut self, out: &mut Vec<Output>) {
        let Some(campaign) = &self.election.campaign else { return };
        let Stage::AcceptingView { view, accepted } = &campaign.stage else { return };
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
