//! View changes that the primary starts: to change members or backups, or to raise the epoch.

use crate::{
    Member, Output, Replica,
    leadership::VIEW_CHANGE_INTERVAL,
    membership::{Membership, MembershipPlanner},
};

impl Replica {
    pub(crate) fn maybe_change_view(&mut self, out: &mut Vec<Output>) {
        let now = self.now();
        let Some(leadership) = &self.leadership else { return };
        if self.election.campaign.is_some()
            || now < leadership.next_view_change
            || self.leading(now).is_none()
        {
            return;
        }
        // A failed campaign of this replica has bound members to its epoch: only a view of a higher epoch frees them.
        let campaign_failed = self.stored.promised != Some(leadership.view.proposal_number());
        let Some(membership) = self.planned_membership() else {
            if campaign_failed {
                self.change_view(None, out);
            }
            return;
        };
        self.change_view(Some(membership), out);
    }

    fn planned_membership(&self) -> Option<Membership> {
        let leadership = self.leadership.as_ref()?;
        let planner = MembershipPlanner {
            now: self.now(),
            view: &leadership.view,
            peers: &leadership.peers,
            joiners: &leadership.joiners,
            change_pending: leadership.pending.is_some(),
            losses: self.config.machine_losses.max(1),
            view_change_complete: self.view_change_complete(),
            primary_shutting_down: self.is_shutting_down(),
            grows_at_once: self.config.injected_fault.grows_at_once(),
        };
        planner.next_membership()
    }

    fn change_view(&mut self, membership: Option<Membership>, out: &mut Vec<Output>) {
        let now = self.now();
        let Some(leadership) = self.leadership.as_mut() else { return };
        leadership.next_view_change = now + VIEW_CHANGE_INTERVAL;
        if let Some(membership) = &membership {
            let kept = |member: &&Member| membership.members.iter().any(|other| other.id == member.id);
            let departed = leadership.view.members.iter().filter(|member| !kept(member));
            let replaced = departed
                .filter(|member| membership.members.iter().any(|other| other.address == member.address));
            leadership.replaced.extend(replaced.map(|member| member.id));
        }
        self.start_campaign(None, membership, out);
    }
}
