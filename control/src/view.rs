//! Views (Viewstamped Replication Revisited; Vertical Paxos calls them configurations) and their quorums.

use std::{collections::BTreeSet, sync::Arc};

use crate::{Member, ReplicaId};

/// The epoch of the first view.
pub(crate) const BOOTSTRAP_EPOCH: u64 = 1;

/// A proposal number (Paxos Made Simple, section 2.2): an epoch, and the one candidate that may form its view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposalNumber {
    /// The epoch.
    pub epoch: u64,
    /// The replica to which it was promised.
    pub candidate: ReplicaId,
}

/// One view: the members and their roles in one epoch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct View {
    /// Its epoch, unique to the view.
    pub epoch: u64,
    /// All members; those that are neither primary nor backup are witnesses: they vote but hold no data.
    pub members: Vec<Member>,
    /// The members of the previous view, if they differ. Until the view is known to be active, a majority of these
    /// is needed besides a majority of the members.
    pub previous_members: Vec<Member>,
    /// The primary.
    pub primary: ReplicaId,
    /// The backups: they hold the data besides the primary.
    pub backups: Vec<ReplicaId>,
    /// The number of members to which the view shrinks again after replacements.
    pub target_size: usize,
}

/// A view together with what is known of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownView {
    /// The view.
    pub view: Arc<View>,
    /// Whether its quorum is known to have accepted it. Only then may the next view change the members.
    pub active: bool,
}

impl View {
    /// The proposal number under which the view was formed.
    pub fn proposal_number(&self) -> ProposalNumber {
        ProposalNumber { epoch: self.epoch, candidate: self.primary }
    }

    /// The member with this identity.
    pub fn member(&self, id: ReplicaId) -> Option<&Member> {
        self.members.iter().find(|member| member.id == id)
    }

    /// Whether the replica is primary or backup.
    pub fn holds_data(&self, id: ReplicaId) -> bool {
        self.primary == id || self.backups.contains(&id)
    }

    /// Members and previous members, without duplicates.
    pub fn everyone(&self) -> Vec<Member> {
        let mut everyone = self.members.clone();
        for member in &self.previous_members {
            if self.member(member.id).is_none() {
                everyone.push(member.clone());
            }
        }
        everyone
    }
}

impl KnownView {
    /// Whether these replicas are a quorum of the view: a majority of its members, and one of the previous members as
    /// long as the view isn't known to be active.
    pub fn quorum(&self, present: &BTreeSet<ReplicaId>) -> bool {
        majority(&self.view.members, present)
            && (self.active || majority(&self.view.previous_members, present))
    }
}

/// Whether more than half of the members are present; trivially so where there are none.
pub(crate) fn majority(members: &[Member], present: &BTreeSet<ReplicaId>) -> bool {
    members.is_empty()
        || members.iter().filter(|member| present.contains(&member.id)).count() * 2 > members.len()
}
