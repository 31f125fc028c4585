//! The view that a campaign forms: members, previous members, and the choice of backups.

use std::{collections::BTreeSet, sync::Arc};

use crate::{Member, ReplicaId, View, campaign::Campaign, membership::Membership};

impl Campaign {
    /// The next view, with backups among the members that have promised and aren't excluded.
    ///
    /// A planned change of members is deferred if it would leave the primary without a backup. A base view of one
    /// member is the exception: it has nobody who could be a backup, so it could never grow. There the joiner becomes
    /// a backup in the view after the next.
    pub fn next_view(&self, primary: &Member, excluded: &BTreeSet<ReplicaId>, losses: usize) -> View {
        let membership = self.membership.as_ref().filter(|_| self.base_view.active);
        let planned = self.compose(membership, primary, excluded, losses);
        let grows_from_one = self.base_view.view.members.len() == 1;
        let without_backup = planned.backups.is_empty() && planned.members.len() > 1 && !grows_from_one;
        if without_backup { self.compose(None, primary, excluded, losses) } else { planned }
    }

    fn compose(
        &self,
        membership: Option<&Membership>,
        primary: &Member,
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
        // A member that shuts down or has a slow disk has still made its promise durable: it is better than no backup.
        let healthy = self.backup_candidates(members, primary.id, excluded, true);
        let (candidates, count) = match healthy.is_empty() {
            true => (self.backup_candidates(members, primary.id, excluded, false), 1),
            false => (healthy, losses.max(1)),
        };
        View {
            epoch: self.epoch,
            members: members.clone(),
            previous_members,
            primary: primary.id,
            backups: choose_backups(&primary.zone, candidates, count),
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

/// A member that may become a backup.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct BackupCandidate<'a> {
    pub member: &'a Member,
    /// Whether it already holds the data.
    pub holds_data: bool,
}

/// Chooses the backups of a primary: other zones first, then members that already hold the data.
fn choose_backups(zone: &Arc<str>, mut candidates: Vec<BackupCandidate<'_>>, count: usize) -> Vec<ReplicaId> {
    let mut taken_zones: BTreeSet<&str> = BTreeSet::from([&**zone]);
    let mut backups = Vec::new();
    while backups.len() < count && !candidates.is_empty() {
        let rank = |candidate: &BackupCandidate<'_>| {
            (taken_zones.contains(&*candidate.member.zone), !candidate.holds_data, candidate.member.id)
        };
        let best = (0..candidates.len()).min_by_key(|index| rank(&candidates[*index])).unwrap_or(0);
        let chosen = candidates.swap_remove(best);
        taken_zones.insert(&chosen.member.zone);
        backups.push(chosen.member.id);
    }
    backups
}
