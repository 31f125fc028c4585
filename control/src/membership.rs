//! Who should be in the next view.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::{Member, ReplicaId, View, config::MILLISECOND, lease::PeerState};

/// A member silent for so long may be replaced by one that wants to join.
pub(crate) const UNREACHABLE_TIMEOUT: u64 = 2_000 * MILLISECOND;
/// A member of a core with more members than it was founded with goes after this silence.
const SURPLUS_TIMEOUT: u64 = 1_500 * MILLISECOND;
/// A core of this size never goes on with fewer members.
const MIN_SHRUNK_SIZE: usize = 3;
/// A backup silent for so long is replaced if a change waits for it.
pub(crate) const BACKUP_TIMEOUT_IN_CHANGE: u64 = 800 * MILLISECOND;
/// A backup silent for so long is replaced in any case.
pub(crate) const BACKUP_TIMEOUT: u64 = 1_500 * MILLISECOND;
/// A witness bound by a foreign promise for so long is brought back by a new epoch.
const DIVERGED_WITNESS_TIMEOUT: u64 = 1_000 * MILLISECOND;
/// A member that answered within this span counts as live.
pub(crate) const LIVENESS_TIMEOUT: u64 = 800 * MILLISECOND;
/// A replica that asked to join within this span is still there.
const JOIN_REQUEST_VALIDITY: u64 = 3_000 * MILLISECOND;

/// A replica that asks to join.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Joiner {
    pub member: Member,
    pub first_boot: bool,
    /// When it last asked.
    pub last_request: u64,
    /// When it first asked: an answer to anything that was sent before shows nothing.
    first_request: u64,
    /// When it last answered the primary.
    last_reply: Option<u64>,
    /// Whether it may hold data.
    healthy: bool,
}

impl Joiner {
    /// A replica that asks for the first time.
    pub fn new(member: &Member, now: u64) -> Joiner {
        let member = member.clone();
        Joiner {
            member,
            first_boot: false,
            last_request: now,
            first_request: now,
            last_reply: None,
            healthy: false,
        }
    }

    /// Whether it has asked lately.
    pub fn is_requesting(&self, now: u64) -> bool {
        now < self.last_request + JOIN_REQUEST_VALIDITY
    }

    /// Notes its answer to a heartbeat of that time.
    pub fn record_heartbeat_reply(&mut self, now: u64, sent: u64, healthy: bool) {
        if sent >= self.first_request {
            self.last_reply = Some(now);
            self.healthy = healthy;
        }
    }

    /// Whether it is there, can be reached both ways, and could hold data. A request to join alone shows none of it: it
    /// may be the word of a replica that is long gone.
    fn is_ready(&self, now: u64) -> bool {
        let there = self.last_reply.is_some_and(|answered| now < answered + LIVENESS_TIMEOUT);
        self.is_requesting(now) && there && self.healthy
    }
}

/// The members that the primary wants next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Membership {
    pub members: Vec<Member>,
    pub target_size: usize,
}

/// What the primary goes by when it looks at its view.
pub(crate) struct MembershipPlanner<'a> {
    pub now: u64,
    pub view: &'a View,
    pub peers: &'a BTreeMap<ReplicaId, PeerState>,
    pub joiners: &'a BTreeMap<ReplicaId, Joiner>,
    pub change_waits: bool,
    /// How many machines may be lost at once, and so how many backups are wanted.
    pub losses: usize,
    /// Whether the view no longer depends on the members of the one before.
    pub view_change_complete: bool,
    /// Whether the primary itself is about to end: it is the one that is to go.
    pub primary_shutting_down: bool,
    /// A fault for tests of the tests.
    pub grows_at_once: bool,
}

impl MembershipPlanner<'_> {
    /// The members of the next view, if there should be one now. Nobody goes without a successor while an earlier change
    /// is open.
    pub fn next_membership(&self) -> Option<Membership> {
        let shrunk = || self.view_change_complete.then(|| self.shrink()).flatten();
        self.admit_joiner().or_else(shrunk).or_else(|| self.rearrange())
    }

    /// A replica comes in, for a member that it was or that is gone, or besides all others.
    fn admit_joiner(&self) -> Option<Membership> {
        let outside = self.joiners.values().filter(|joiner| self.view.member(joiner.member.id).is_none());
        outside
            .filter(|joiner| self.grows_at_once || joiner.is_ready(self.now))
            .find_map(|joiner| self.admit(joiner))
    }

    fn admit(&self, joiner: &Joiner) -> Option<Membership> {
        let may_grow = self.grows_at_once || self.may_grow();
        let makes_room = self.is_full() || !may_grow;
        let removed_member = self
            .member_at_address_of(&joiner.member)
            .or_else(|| makes_room.then(|| self.replaceable()).flatten());
        if removed_member.is_none() && !may_grow {
            return None;
        }
        let mut members = self.without(removed_member);
        members.push(joiner.member.clone());
        let late_first_boot = joiner.first_boot && removed_member.is_none();
        let target_size = self.view.target_size.max(if late_first_boot { members.len() } else { 0 });
        self.if_reachable(Membership { members, target_size }, joiner.member.id)
    }

    /// Whether the core bears as much with one member more. A larger majority beside a silent member would make it
    /// depend on each of the others: the joiner waits until that member is back, or comes in for it.
    fn may_grow(&self) -> bool {
        let all_live = self.view.members.iter().all(|member| self.is_live(member.id));
        all_live || tolerable_losses(self.remaining_members() + 1, self.view.members.len() + 1) >= self.losses
    }

    /// The member that a joiner comes in for: one out of reach, or one that is about to end.
    fn replaceable(&self) -> Option<ReplicaId> {
        self.longest_unreachable(UNREACHABLE_TIMEOUT).or_else(|| self.shutting_down_member())
    }

    /// A member goes without another one in its place: one too many, or one whose absence the core bears better as a
    /// smaller core. An even size bears no more losses than the odd one below.
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

    /// The same members anew: another choice of backups, or an epoch above a foreign promise.
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
        let sound = self.view.backups.iter().filter(|id| !self.is_failing(**id)).count();
        let ailing = self.view.backups.len() - sound;
        let spare = self.view.members.iter().any(|member| self.is_spare(member.id));
        let missing = self.view.backups.len() < self.losses;
        (ailing > 0 && (spare || sound > 0)) || (missing && spare)
    }

    fn is_failing(&self, backup: ReplicaId) -> bool {
        let timeout = if self.change_waits { BACKUP_TIMEOUT_IN_CHANGE } else { BACKUP_TIMEOUT };
        self.peers.get(&backup).is_some_and(|peer| !peer.healthy || self.now >= peer.last_heard + timeout)
    }

    fn is_spare(&self, id: ReplicaId) -> bool {
        !self.view.holds_data(id) && self.can_hold_data(id)
    }

    fn is_live(&self, id: ReplicaId) -> bool {
        id == self.view.primary
            || self.peers.get(&id).is_some_and(|peer| peer.is_live(self.now, LIVENESS_TIMEOUT))
    }

    /// The member whose machine has come back as another replica.
    fn member_at_address_of(&self, joiner: &Member) -> Option<ReplicaId> {
        let same = self.view.members.iter().find(|member| member.address == joiner.address)?;
        (same.id != self.view.primary).then_some(same.id)
    }

    fn is_full(&self) -> bool {
        self.view.members.len() >= self.view.target_size
    }

    /// The member that has been out of reach the longest, if for so long.
    fn longest_unreachable(&self, timeout: u64) -> Option<ReplicaId> {
        let others = self.view.members.iter().filter(|member| member.id != self.view.primary);
        let silent = others.filter_map(|member| {
            let peer = self.peers.get(&member.id)?;
            // One that this primary has never heard may have missed the first heartbeats.
            let timeout = if peer.has_replied { timeout } else { UNREACHABLE_TIMEOUT };
            (self.now >= peer.last_heard + timeout).then_some((peer.last_heard, member.id))
        });
        silent.min().map(|(_, id)| id)
    }

    /// A member that is about to end, if another one can hold the data.
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

    /// How many members are live and stay.
    fn remaining_members(&self) -> usize {
        let stays = |member: &&Member| self.is_live(member.id) && !self.is_shutting_down(member.id);
        self.view.members.iter().filter(stays).count()
    }

    fn without(&self, removed_member: Option<ReplicaId>) -> Vec<Member> {
        self.view.members.iter().filter(|member| Some(member.id) != removed_member).cloned().collect()
    }

    /// Keeps a wish only if a majority of the members now and of those wanted can be reached.
    fn if_reachable(&self, membership: Membership, joiner: ReplicaId) -> Option<Membership> {
        let live = |member: &&Member| member.id == joiner || self.is_live(member.id);
        let enough = |members: &[Member]| members.iter().filter(live).count() * 2 > members.len();
        (enough(&self.view.members) && enough(&membership.members)).then_some(membership)
    }
}

/// How many more losses a core of this size bears while so many of its members are there.
fn tolerable_losses(present: usize, size: usize) -> usize {
    present.saturating_sub(size / 2 + 1)
}

/// A member that may become a backup.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct BackupCandidate<'a> {
    pub member: &'a Member,
    /// Whether it holds the data already.
    pub holds_data: bool,
}

/// Chooses the backups of a primary: first one from each other zone, those with the data before others.
pub(crate) fn choose_backups(
    zone: &Arc<str>,
    mut candidates: Vec<BackupCandidate<'_>>,
    count: usize,
) -> Vec<ReplicaId> {
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
