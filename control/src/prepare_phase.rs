//! The first phase of a campaign: promises of a quorum, and the newest state among them.

use crate::{
    Body, Data, KnownView, Micros, Output, Prepare, Promise, Reject, Replica, ReplicaId,
    campaign::{Campaign, ReceivedPromise},
    time::MILLISECOND,
};

/// After a quorum of promises the candidate waits this much longer for other members, which may be better backups.
pub(crate) const PROMISE_GRACE_PERIOD: Micros = 40 * MILLISECOND;

impl Replica {
    /// This replica's own promise is durable: now other members may be asked.
    pub(crate) fn handle_own_promise(&mut self, epoch: u64, out: &mut Vec<Output>) {
        let position = self.stored.data.as_ref().map(|data| data.position);
        let (data, healthy) = (self.stored.data.clone(), self.healthy());
        let Some(campaign) = self.election.campaign.as_mut().filter(|campaign| campaign.epoch == epoch)
        else {
            return;
        };
        campaign.promises.insert(self.id, ReceivedPromise { position, data, healthy });
        self.broadcast_prepare(out);
        self.maybe_record_quorum(out);
    }

    /// Asks all members that haven't promised yet.
    pub(crate) fn broadcast_prepare(&mut self, out: &mut Vec<Output>) {
        let Some(campaign) = &self.election.campaign else { return };
        if !campaign.promises.contains_key(&self.id) {
            return;
        }
        let Campaign { epoch, position, released, .. } = *campaign;
        for member in campaign.base_view.view.everyone() {
            if !campaign.promises.contains_key(&member.id) {
                self.send(member.address, Body::Prepare(Prepare { epoch, position, released }), out);
            }
        }
    }

    pub(crate) fn handle_promise(
        &mut self,
        sender: ReplicaId,
        Promise { epoch, view, position, data, healthy }: Promise,
        out: &mut Vec<Output>,
    ) {
        let Some(campaign) = self.election.campaign.as_mut() else { return };
        if campaign.epoch != epoch || !campaign.stage.collecting_promises() {
            return;
        }
        let before = campaign.promises.remove(&sender).filter(|before| before.position == position);
        let data = data.or_else(|| before.and_then(|before| before.data));
        campaign.promises.insert(sender, ReceivedPromise { position, data, healthy });
        if let Some(view) = view {
            self.maybe_rebase(view, out);
        }
        self.maybe_record_quorum(out);
    }

    /// Rebases the campaign on a later view that a member knows.
    fn maybe_rebase(&mut self, mut reported: KnownView, out: &mut Vec<Output>) {
        reported.active |= self.config.injected_fault.skips_previous_members();
        let Some(campaign) = self.election.campaign.as_mut() else { return };
        if reported.view.epoch == campaign.base_view.view.epoch {
            campaign.base_view.active |= reported.active;
        } else if reported.view.epoch > campaign.base_view.view.epoch {
            campaign.base_view = reported;
            campaign.membership = None;
            campaign.quorum_since = None;
            self.end_leadership(out);
            let Some(campaign) = self.election.campaign.as_mut() else { return };
            if campaign.base_view.view.epoch >= campaign.epoch
                || campaign.base_view.view.member(self.id).is_none()
            {
                let later_view = campaign.base_view.clone();
                self.abandon_campaign(out);
                return self.learn_view(later_view, out);
            }
            self.broadcast_prepare(out);
        }
    }

    fn maybe_record_quorum(&mut self, out: &mut Vec<Output>) {
        let (now, fault) = (self.now(), self.config.injected_fault);
        let Some(campaign) = self.election.campaign.as_mut() else { return };
        if campaign.stage.collecting_promises()
            && campaign.quorum_since.is_none()
            && campaign.has_quorum(fault)
        {
            campaign.quorum_since = Some(now);
        }
        self.maybe_start_installation(out);
    }

    pub(crate) fn maybe_start_installation(&mut self, out: &mut Vec<Output>) {
        let Some(campaign) = &self.election.campaign else { return };
        let Some(since) = campaign.quorum_since else { return };
        let promises_complete = campaign.all_promised() || self.now() >= since + PROMISE_GRACE_PERIOD;
        if !campaign.stage.collecting_promises() || !promises_complete {
            return;
        }
        match self.newest_data() {
            Some(data) => self.start_installation(data, out),
            None => self.request_data(out),
        }
    }

    /// The newest state among those of the data set of the latest view (Paxos Made Simple, section 2.2: the
    /// highest-numbered proposal).
    fn newest_data(&self) -> Option<Data> {
        let campaign = self.election.campaign.as_ref()?;
        if self.config.injected_fault.takes_any_data() {
            let any = campaign.promises.values().find_map(|promised| promised.data.clone());
            return Some(any.unwrap_or_default());
        }
        let newest = campaign.promises.keys().filter_map(|id| campaign.usable_position(*id)).max()?;
        let known_data = campaign.promises.values().filter_map(|promised| promised.data.as_ref());
        known_data.chain(&self.stored.data).find(|data| data.position == newest).cloned()
    }

    /// Requests the promises again together with the data, because the candidate's own data turned out to be
    /// outdated.
    fn request_data(&mut self, out: &mut Vec<Output>) {
        let Some(campaign) = self.election.campaign.as_mut() else { return };
        if campaign.position.take().is_some() {
            campaign.promises.retain(|id, _| *id == self.id);
            campaign.quorum_since = None;
            self.broadcast_prepare(out);
        }
    }

    pub(crate) fn handle_reject(
        &mut self,
        sender: ReplicaId,
        Reject { epoch, promised, view }: Reject,
        out: &mut Vec<Output>,
    ) {
        let now = self.now();
        self.observe_epoch(promised.map_or(0, |proposal_number| proposal_number.epoch));
        if let Some(view) = view {
            self.learn_view(view, out);
        }
        let Some(campaign) = self.election.campaign.as_mut().filter(|campaign| campaign.epoch == epoch)
        else {
            return;
        };
        if promised.is_some_and(|proposal_number| proposal_number.epoch >= epoch) {
            campaign.rejected.insert(sender);
            campaign.rejected_since.get_or_insert(now);
            if campaign.cannot_reach_quorum() {
                self.abandon_campaign(out);
            }
        }
    }
}
