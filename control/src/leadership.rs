//! What the primary of an active view keeps in mind.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
    sync::Arc,
};

use crate::{
    Change, LogPosition, ProposalId, ReplicaId, View,
    config::MILLISECOND,
    lease::{LeaseRenewals, PeerState},
    membership::Joiner,
};

/// After a view, the next change of the view waits at least this long.
pub(crate) const VIEW_CHANGE_INTERVAL: u64 = 200 * MILLISECOND;

/// A change that waits for its turn.
#[derive(Debug)]
pub(crate) struct Proposal {
    pub proposal_id: ProposalId,
    pub change: Change,
    pub since: u64,
}

/// The change in replication.
#[derive(Debug)]
pub(crate) struct PendingChange {
    /// Who is to be answered; none once the answer limit has passed.
    pub proposal_id: Option<ProposalId>,
    pub change: Change,
    pub position: LogPosition,
    pub since: u64,
    pub durable: BTreeSet<ReplicaId>,
    pub next_send: u64,
    /// How often it has gone to the backups.
    pub transmissions: u32,
}

/// What the primary of an active view keeps in mind.
#[derive(Debug)]
pub(crate) struct Leadership {
    pub epoch: u64,
    pub view: Arc<View>,
    /// The first epoch of this unbroken lead: echoes from before are void.
    pub first_epoch: u64,
    pub peers: BTreeMap<ReplicaId, PeerState>,
    pub joiners: BTreeMap<ReplicaId, Joiner>,
    /// Members that were left out, until when they are told once the view without them is settled.
    pub removed: BTreeMap<ReplicaId, (SocketAddrV4, u64)>,
    /// Replicas whose machine has come back as another replica.
    pub replaced: BTreeSet<ReplicaId>,
    pub pending: Option<PendingChange>,
    pub lease_renewals: LeaseRenewals,
    pub next_heartbeat: u64,
    pub next_view_change: u64,
}
