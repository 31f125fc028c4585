//! Views: who the members are, who leads, who holds the data, and what counts as a quorum.

use std::{collections::BTreeSet, sync::Arc};

use crate::{Member, ReplicaId};

/// The epoch of the first view.
pub(crate) const BOOTSTRAP_EPOCH: u64 = 1;

/// The right to form the view of one epoch: members promise an epoch to one candidate only.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposalNumber {
    /// The epoch.
    pub epoch: u64,
    /// The replica to which it was promised.
    pub candidate: ReplicaId,
}

/// One view: the arrangement that holds for an epoch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct View {
    /// Its epoch, unique to the view.
    pub epoch: u64,
    /// All replicas that take part; those that are neither primary nor backup are witnesses.
    pub members: Vec<Member>,
    /// The members of the view before, where they differ. Until the view is known to be active, a majority of these
    /// is needed besides a majority of the members.
    pub previous_members: Vec<Member>,
    /// The replica that leads.
    pub primary: ReplicaId,
    /// The replicas that hold the data besides the primary.
    pub backups: Vec<ReplicaId>,
    /// The number of members to which the view shrinks again after replacements.
    pub target_size: usize,
}

/// A view together with what is known of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownView {
    /// The view.
    pub view: Arc<View>,
    /// Whether it is known to have been accepted by its quorum. Only then may a successor change the members.
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

    /// Members and prior members, each once.
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
    /// Whether these replicas may decide for the view: a majority of its members, and one of the prior members as
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
