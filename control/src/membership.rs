//! Who should be in the next view.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::{Member, ReplicaId, View, config::MILLISECOND, lease::Contact};

/// A member silent for so long may be replaced by one that wants to join.
pub(crate) const UNREACHABLE_AFTER: u64 = 2_000 * MILLISECOND;
/// A member of a core with more members than it was founded with goes after this silence.
const SURPLUS_SILENT: u64 = 1_500 * MILLISECOND;
/// A core of this size never goes on with fewer members.
const SMALLEST_SHRUNK: usize = 3;
/// A backup silent for so long is replaced if a change waits for it.
pub(crate) const BACKUP_SILENT_IN_CHANGE: u64 = 800 * MILLISECOND;
/// A backup silent for so long is replaced in any case.
pub(crate) const BACKUP_SILENT: u64 = 1_500 * MILLISECOND;
/// A witness bound by a foreign promise for so long is brought back by a new epoch.
const ESTRANGED_AFTER: u64 = 1_000 * MILLISECOND;
/// A member that answered within this span counts as live.
pub(crate) const LIVE_WITHIN: u64 = 800 * MILLISECOND;
/// A replica that asked to join within this span is still there.
const JOINER_WITHIN: u64 = 3_000 * MILLISECOND;

/// A replica that asks to join.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Joiner {
    pub member: Member,
    pub first_boot: bool,
    /// When it last asked.
    pub seen: u64,
    /// When it first asked: an answer to anything that was sent before shows nothing.
    first_seen: u64,
    /// When it last answered the primary.
    answered: Option<u64>,
    /// Whether it may hold data.
    healthy: bool,
}

impl Joiner {
    /// A replica that asks for the first time.
    pub fn new(member: &Member, now: u64) -> Joiner {
        let member = member.clone();
        Joiner { member, first_boot: false, seen: now, first_seen: now, answered: None, healthy: false }
    }

    /// Whether it has asked lately.
    pub fn asks(&self, now: u64) -> bool {
        now < self.seen + JOINER_WITHIN
    }

    /// Notes its answer to a heartbeat of that time.
    pub fn note_echo(&mut self, now: u64, sent: u64, healthy: bool) {
        if sent >= self.first_seen {
            self.answered = Some(now);
            self.healthy = healthy;
        }
    }

    /// Whether it is there, can be reached both ways, and could hold data. A request to join alone shows none of it: it
    /// may be the word of a replica that is long gone.
    fn ready(&self, now: u64) -> bool {
        let there = self.answered.is_some_and(|answered| now < answered + LIVE_WITHIN);
        self.asks(now) && there && self.healthy
    }
}

/// The members that the primary wants next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Wanted {
    pub members: Vec<Member>,
    pub target_size: usize,
}

/// What the primary goes by when it looks at its view.
pub(crate) struct Outlook<'a> {
    pub now: u64,
    pub view: &'a View,
    pub contacts: &'a BTreeMap<ReplicaId, Contact>,
    pub joiners: &'a BTreeMap<ReplicaId, Joiner>,
    pub change_waits: bool,
    /// How many machines may be lost at once, and so how many backups are wanted.
    pub losses: usize,
    /// Whether the view no longer depends on the members of the one before.
    pub view_change_complete: bool,
    /// Whether the primary itself is about to end: it is the one that is to go.
    pub leaves: bool,
    /// A fault for tests of the tests.
    pub grows_at_once: bool,
}

impl Outlook<'_> {
    /// The members of the next view, if there should be one now. Nobody goes without a successor while an earlier change
    /// is open.
    pub fn wanted(&self) -> Option<Wanted> {
        let shrunk = || self.view_change_complete.then(|| self.shrinking()).flatten();
        self.joining().or_else(shrunk).or_else(|| self.rearranged())
    }

    /// A replica comes in, for a member that it was or that is gone, or besides all others.
    fn joining(&self) -> Option<Wanted> {
        let outside = self.joiners.values().filter(|joiner| self.view.member(joiner.member.id).is_none());
        outside
            .filter(|joiner| self.grows_at_once || joiner.ready(self.now))
            .find_map(|joiner| self.admit(joiner))
    }

    fn admit(&self, joiner: &Joiner) -> Option<Wanted> {
        let may_grow = self.grows_at_once || self.may_grow();
        let makes_room = self.full() || !may_grow;
        let leaver =
            self.namesake(&joiner.member).or_else(|| makes_room.then(|| self.replaceable()).flatten());
        if leaver.is_none() && !may_grow {
            return None;
        }
        let mut members = self.without(leaver);
        members.push(joiner.member.clone());
        let late_founder = joiner.first_boot && leaver.is_none();
        let target_size = self.view.target_size.max(if late_founder { members.len() } else { 0 });
        self.reachable(Wanted { members, target_size }, joiner.member.id)
    }

    /// Whether the core bears as much with one member more. A larger majority beside a silent member would make it
    /// depend on each of the others: the joiner waits until that member is back, or comes in for it.
    fn may_grow(&self) -> bool {
        let all_live = self.view.members.iter().all(|member| self.live(member.id));
        all_live || borne(self.staying() + 1, self.view.members.len() + 1) >= self.losses
    }

    /// The member that a joiner comes in for: one out of reach, or one that is about to end.
    fn replaceable(&self) -> Option<ReplicaId> {
        self.unreachable(UNREACHABLE_AFTER).or_else(|| self.shutting_down())
    }

    /// A member goes without another one in its place: one too many, or one whose absence the core bears better as a
    /// smaller core. An even size bears no more losses than the odd one below.
    fn shrinking(&self) -> Option<Wanted> {
        let size = self.view.members.len();
        let surplus = size > self.view.target_size;
        let patience = if surplus { SURPLUS_SILENT } else { UNREACHABLE_AFTER };
        let better_without =
            size > SMALLEST_SHRUNK && size.is_multiple_of(2) && borne(self.staying(), size) < self.losses;
        if self.leaves || (!surplus && !better_without) {
            return None;
        }
        let leaver = self.unreachable(patience).or_else(|| self.shutting_down())?;
        let members = self.without(Some(leaver));
        self.reachable(Wanted { members, target_size: self.view.target_size }, self.view.primary)
    }

    /// The same members anew: another choice of backups, or an epoch above a foreign promise.
    fn rearranged(&self) -> Option<Wanted> {
        let estranged = self.view.members.iter().any(|member| self.estranged(member.id));
        if !estranged && !self.backups_ail() {
            return None;
        }
        let wanted = Wanted { members: self.view.members.clone(), target_size: self.view.target_size };
        self.reachable(wanted, self.view.primary)
    }

    fn estranged(&self, id: ReplicaId) -> bool {
        let patience = if self.view.backups.contains(&id) { 0 } else { ESTRANGED_AFTER };
        let since = self.contacts.get(&id).and_then(|contact| contact.estranged);
        since.is_some_and(|since| self.now >= since + patience)
    }

    fn backups_ail(&self) -> bool {
        let sound = self.view.backups.iter().filter(|id| !self.ails(**id)).count();
        let ailing = self.view.backups.len() - sound;
        let spare = self.view.members.iter().any(|member| self.spare(member.id));
        let missing = self.view.backups.len() < self.losses;
        (ailing > 0 && (spare || sound > 0)) || (missing && spare)
    }

    fn ails(&self, backup: ReplicaId) -> bool {
        let patience = if self.change_waits { BACKUP_SILENT_IN_CHANGE } else { BACKUP_SILENT };
        self.contacts
            .get(&backup)
            .is_some_and(|contact| !contact.healthy || self.now >= contact.heard + patience)
    }

    fn spare(&self, id: ReplicaId) -> bool {
        !self.view.holds_data(id) && self.may_keep_data(id)
    }

    fn live(&self, id: ReplicaId) -> bool {
        id == self.view.primary
            || self.contacts.get(&id).is_some_and(|contact| contact.live(self.now, LIVE_WITHIN))
    }

    /// The member whose machine has come back as another replica.
    fn namesake(&self, joiner: &Member) -> Option<ReplicaId> {
        let same = self.view.members.iter().find(|member| member.address == joiner.address)?;
        (same.id != self.view.primary).then_some(same.id)
    }

    fn full(&self) -> bool {
        self.view.members.len() >= self.view.target_size
    }

    /// The member that has been out of reach the longest, if for so long.
    fn unreachable(&self, patience: u64) -> Option<ReplicaId> {
        let others = self.view.members.iter().filter(|member| member.id != self.view.primary);
        let silent = others.filter_map(|member| {
            let contact = self.contacts.get(&member.id)?;
            // One that this primary has never heard may have missed the first heartbeats.
            let patience = if contact.answered { patience } else { UNREACHABLE_AFTER };
            (self.now >= contact.heard + patience).then_some((contact.heard, member.id))
        });
        silent.min().map(|(_, id)| id)
    }

    /// A member that is about to end, if another one can hold the data.
    fn shutting_down(&self) -> Option<ReplicaId> {
        let leaver = self.view.members.iter().find(|member| self.is_shutting_down(member.id))?;
        let others = self.view.members.iter().filter(|member| member.id != leaver.id);
        let mut keepers = others.filter(|member| self.may_keep_data(member.id));
        keepers.next().map(|_| leaver.id)
    }

    fn is_shutting_down(&self, id: ReplicaId) -> bool {
        self.contacts.get(&id).is_some_and(|contact| contact.shutting_down)
    }

    /// Whether a member other than the primary is live and may hold data.
    fn may_keep_data(&self, id: ReplicaId) -> bool {
        id != self.view.primary
            && self.live(id)
            && self.contacts.get(&id).is_some_and(|contact| contact.healthy)
    }

    /// How many members are live and stay.
    fn staying(&self) -> usize {
        let stays = |member: &&Member| self.live(member.id) && !self.is_shutting_down(member.id);
        self.view.members.iter().filter(stays).count()
    }

    fn without(&self, leaver: Option<ReplicaId>) -> Vec<Member> {
        self.view.members.iter().filter(|member| Some(member.id) != leaver).cloned().collect()
    }

    /// Keeps a wish only if a majority of the members now and of those wanted can be reached.
    fn reachable(&self, wanted: Wanted, joiner: ReplicaId) -> Option<Wanted> {
        let live = |member: &&Member| member.id == joiner || self.live(member.id);
        let enough = |members: &[Member]| members.iter().filter(live).count() * 2 > members.len();
        (enough(&self.view.members) && enough(&wanted.members)).then_some(wanted)
    }
}

/// How many more losses a core of this size bears while so many of its members are there.
fn borne(present: usize, size: usize) -> usize {
    present.saturating_sub(size / 2 + 1)
}

/// A member that may become a backup.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Candidate<'a> {
    pub member: &'a Member,
    /// Whether it holds the data already.
    pub holds_data: bool,
}

/// Chooses the backups of a primary: first one from each other zone, those with the data before others.
pub(crate) fn pick_backups(
    zone: &Arc<str>,
    mut candidates: Vec<Candidate<'_>>,
    count: usize,
) -> Vec<ReplicaId> {
    let mut taken_zones: BTreeSet<&str> = BTreeSet::from([&**zone]);
    let mut backups = Vec::new();
    while backups.len() < count && !candidates.is_empty() {
        let rank = |candidate: &Candidate<'_>| {
            (taken_zones.contains(&*candidate.member.zone), !candidate.holds_data, candidate.member.id)
        };
        let best = (0..candidates.len()).min_by_key(|index| rank(&candidates[*index])).unwrap_or(0);
        let chosen = candidates.swap_remove(best);
        taken_zones.insert(&chosen.member.zone);
        backups.push(chosen.member.id);
    }
    backups
}
