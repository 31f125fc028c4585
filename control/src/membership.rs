//! Plans the members of the next view.

use std::collections::BTreeMap;

use crate::{Member, Micros, ReplicaId, View, joining::Joiner, lease::PeerState, time::MILLISECOND};

/// A member that hasn't replied for this long may be replaced by a joiner.
pub(crate) const UNREACHABLE_TIMEOUT: Micros = 2_000 * MILLISECOND;
/// A member is removed after this time without a reply while the view has more members than its target size.
const SURPLUS_TIMEOUT: Micros = 1_500 * MILLISECOND;
/// A view of this size is never shrunk.
const MIN_SHRUNK_SIZE: usize = 3;
/// A backup that hasn't replied for this long is replaced while a change waits for it.
pub(crate) const BACKUP_TIMEOUT_IN_CHANGE: Micros = 800 * MILLISECOND;
/// A backup that hasn't replied for this long is replaced in any case.
pub(crate) const BACKUP_TIMEOUT: Micros = 1_500 * MILLISECOND;
/// A witness that has been bound by another candidate's promise for this long is brought back by a new epoch.
const DIVERGED_WITNESS_TIMEOUT: Micros = 1_000 * MILLISECOND;
/// A member that replied within this time is live.
pub(crate) const LIVENESS_TIMEOUT: Micros = 800 * MILLISECOND;

/// The planned members of the next view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Membership {
    pub members: Vec<Member>,
    pub target_size: usize,
}

/// What the primary bases its plan on.
pub(crate) struct MembershipPlanner<'a> {
    pub now: Micros,
    pub view: &'a View,
    pub peers: &'a BTreeMap<ReplicaId, PeerState>,
    pub joiners: &'a BTreeMap<ReplicaId, Joiner>,
    pub change_pending: bool,
    /// How many machines may be lost at once, and so how many backups the view should have.
    pub losses: usize,
    /// Whether the view no longer depends on the previous members.
    pub view_change_complete: bool,
    /// Whether the primary itself is shutting down: then no other member is removed.
    pub primary_shutting_down: bool,
    /// An injected fault: see `fault_injection.rs`.
    pub grows_at_once: bool,
}

impl MembershipPlanner<'_> {
    /// The members of the next view, if there should be one now. No member is removed without a replacement while an
    /// earlier change of members is incomplete.
    pub fn next_membership(&self) -> Option<Membership> {
        let shrunk = || self.view_change_complete.then(|| self.shrink()).flatten();
        self.admit_joiner().or_else(shrunk).or_else(|| self.rearrange())
    }

    /// Admits a joiner: in place of the member at its address, of an unreachable one, or besides all others.
    fn admit_joiner(&self) -> Option<Membership> {
        let outside = self.joiners.values().filter(|joiner| self.view.member(joiner.member.id).is_none());
        outside
            .filter(|joiner| self.grows_at_once || joiner.is_ready(self.now))
            .find_map(|joiner| self.admit(joiner))
    }

    fn admit(&self, joiner: &Joiner) -> Option<Membership> {
        let may_grow = self.grows_at_once || self.may_grow();
        let replaces_member = self.is_full() || !may_grow;
        let removed_member = self
            .member_at_address_of(&joiner.member)
            .or_else(|| replaces_member.then(|| self.replaceable()).flatten());
        if removed_member.is_none() && !may_grow {
            return None;
        }
        let mut members = self.without(removed_member);
        members.push(joiner.member.clone());
        let late_first_boot = joiner.first_boot && removed_member.is_none();
        let target_size = self.view.target_size.max(if late_first_boot { members.len() } else { 0 });
        self.if_reachable(Membership { members, target_size }, joiner.member.id)
    }

    /// Whether one more member keeps the fault tolerance. Beside an unresponsive member, a larger majority would make
    /// the view depend on each of the others: the joiner waits until that member is back, or replaces it.
    fn may_grow(&self) -> bool {
        let all_live = self.view.members.iter().all(|member| self.is_live(member.id));
        all_live || tolerable_losses(self.remaining_members() + 1, self.view.members.len() + 1) >= self.losses
    }

    /// The member that a joiner may replace: an unreachable one, or one that shuts down.
    fn replaceable(&self) -> Option<ReplicaId> {
        self.longest_unreachable(UNREACHABLE_TIMEOUT).or_else(|| self.shutting_down_member())
    }

    /// Removes a member without a replacement: a surplus one, or one without which the smaller view tolerates more
    /// losses. An even size tolerates no more losses than the odd one below it.
    fn shrink(&self) -> Option<Membership> {
        let size = self.view.members.len();
        let surplus = size > self.view.target_size;
        let timeout = if surplus { SURPLUS_TIMEOUT } else { UNREACHABLE_TIMEOUT };
        let better_without = size > MIN_SHRUNK_SIZE
            && size.is_multiple_of(2)
            && tolerable_losses(self.remaining_members(), size) < self.losses;
        if self.primary_shutting_down || (!surplus && !better_without) {
            return None;
        }
        let removed_member = self.longest_unreachable(timeout).or_else(|| self.shutting_down_member())?;
        let members = self.without(Some(removed_member));
        self.if_reachable(Membership { members, target_size: self.view.target_size }, self.view.primary)
    }

    /// The same members in a new view: to choose other backups, or to exceed the epoch of another candidate's
    /// promise.
    fn rearrange(&self) -> Option<Membership> {
        let has_diverged = self.view.members.iter().any(|member| self.has_diverged(member.id));
        if !has_diverged && !self.backups_need_change() {
            return None;
        }
        let membership =
            Membership { members: self.view.members.clone(), target_size: self.view.target_size };
        self.if_reachable(membership, self.view.primary)
    }

    fn has_diverged(&self, id: ReplicaId) -> bool {
        let timeout = if self.view.backups.contains(&id) { 0 } else { DIVERGED_WITNESS_TIMEOUT };
        let since = self.peers.get(&id).and_then(|peer| peer.diverged_since);
        since.is_some_and(|since| self.now >= since + timeout)
    }

    fn backups_need_change(&self) -> bool {
        let working = self.view.backups.iter().filter(|id| !self.is_failing(**id)).count();
        let failing = self.view.backups.len() - working;
        let spare = self.view.members.iter().any(|member| self.is_spare(member.id));
        let missing = self.view.backups.len() < self.losses;
        (failing > 0 && (spare || working > 0)) || (missing && spare)
    }

    fn is_failing(&self, backup: ReplicaId) -> bool {
        let timeout = if self.change_pending { BACKUP_TIMEOUT_IN_CHANGE } else { BACKUP_TIMEOUT };
        self.peers.get(&backup).is_some_and(|peer| !peer.healthy || self.now >= peer.last_heard + timeout)
    }

    fn is_spare(&self, id: ReplicaId) -> bool {
        !self.view.holds_data(id) && self.can_hold_data(id)
    }

    fn is_live(&self, id: ReplicaId) -> bool {
        id == self.view.primary
            || self.peers.get(&id).is_some_and(|peer| peer.is_live(self.now, LIVENESS_TIMEOUT))
    }

    /// The member whose machine came back as another replica.
    fn member_at_address_of(&self, joiner: &Member) -> Option<ReplicaId> {
        let same = self.view.members.iter().find(|member| member.address == joiner.address)?;
        (same.id != self.view.primary).then_some(same.id)
    }

    fn is_full(&self) -> bool {
        self.view.members.len() >= self.view.target_size
    }

    /// The member that has been unreachable the longest, if for longer than the timeout.
    fn longest_unreachable(&self, timeout: Micros) -> Option<ReplicaId> {
        let others = self.view.members.iter().filter(|member| member.id != self.view.primary);
        let unreachable = others.filter_map(|member| {
            let peer = self.peers.get(&member.id)?;
            // A member that never replied to this primary may have missed its first heartbeats.
            let timeout = if peer.has_replied { timeout } else { UNREACHABLE_TIMEOUT };
            (self.now >= peer.last_heard + timeout).then_some((peer.last_heard, member.id))
        });
        unreachable.min().map(|(_, id)| id)
    }

    /// A member that shuts down, if another one can hold the data.
    fn shutting_down_member(&self) -> Option<ReplicaId> {
        let removed_member = self.view.members.iter().find(|member| self.is_shutting_down(member.id))?;
        let others = self.view.members.iter().filter(|member| member.id != removed_member.id);
        let mut data_holders = others.filter(|member| self.can_hold_data(member.id));
        data_holders.next().map(|_| removed_member.id)
    }

    fn is_shutting_down(&self, id: ReplicaId) -> bool {
        self.peers.get(&id).is_some_and(|peer| peer.shutting_down)
    }

    /// Whether a member other than the primary is live and may hold data.
    fn can_hold_data(&self, id: ReplicaId) -> bool {
        id != self.view.primary && self.is_live(id) && self.peers.get(&id).is_some_and(|peer| peer.healthy)
    }

    /// How many members are live and not shutting down.
    fn remaining_members(&self) -> usize {
        let stays = |member: &&Member| self.is_live(member.id) && !self.is_shutting_down(member.id);
        self.view.members.iter().filter(stays).count()
    }

    fn without(&self, removed_member: Option<ReplicaId>) -> Vec<Member> {
        self.view.members.iter().filter(|member| Some(member.id) != removed_member).cloned().collect()
    }

    /// Keeps the plan only if a majority of the present and of the planned members is live.
    fn if_reachable(&self, membership: Membership, joiner: ReplicaId) -> Option<Membership> {
        let live = |member: &&Member| member.id == joiner || self.is_live(member.id);
        let live_majority = |members: &[Member]| members.iter().filter(live).count() * 2 > members.len();
        (live_majority(&self.view.members) && live_majority(&membership.members)).then_some(membership)
    }
}

/// How many more losses a view of this size tolerates while this many of its members are present.
fn tolerable_losses(present: usize, size: usize) -> usize {
    present.saturating_sub(size / 2 + 1)
}
