//! The sessions that a control balancer has granted. The members of the fleet are the nodes with a session at any control
//! balancer. No I/O.
//!
//! Each control balancer gossips the sessions that it has granted. If a control balancer is lost, its items are orphaned:
//! any other control balancer removes an item whose granter has been absent for `ORPHAN_TIMEOUT`. By then the node of
//! that session, if it is alive, has a session with another control balancer.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use gradepaddle_gossip::{Gossip, Item, Stamp};
use gradepaddle_proto::{Decode, DecodeError, Encode, FieldWriter, Fields, Identity, SessionHeartbeat};
use snafu::Snafu;

use crate::Micros;
use crate::absence_tracker::AbsenceTracker;
use crate::item_kinds::{self, SESSION};

/// A session expires after this long without a heartbeat.
pub const SESSION_TIMEOUT: Micros = 1_500_000;
/// Items whose granter has been absent for this long are removed.
const ORPHAN_TIMEOUT: Micros = 4_000_000;

/// A session as all nodes know it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Session {
    /// The node.
    pub identity: Identity,
    /// The control balancer that granted it.
    pub granted_by: SocketAddrV4,
}

impl Encode for Session {
    fn encode(&self, to: &mut FieldWriter) {
        to.message(1, &self.identity);
        to.address(2, self.granted_by);
    }
}

impl Decode for Session {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(Session { identity: fields.message("session", 1)?, granted_by: fields.address("session", 2)? })
    }
}

/// Error for a heartbeat of a process whose incarnation is lower than one that is known at its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("incarnation {newest} is known at this address"))]
pub struct StaleIncarnation {
    /// The highest known incarnation: the process has to choose a higher one.
    pub newest: u64,
}

struct GrantedSession {
    identity: Identity,
    last_heartbeat: Micros,
}

/// The sessions that this control balancer has granted.
pub struct SessionTable {
    own: SocketAddrV4,
    sessions: BTreeMap<SocketAddrV4, GrantedSession>,
    /// Control balancers that have granted sessions and have no session themselves.
    absent_granters: AbsenceTracker,
}

impl SessionTable {
    /// An empty table.
    pub fn new(own: SocketAddrV4) -> Self {
        SessionTable { own, sessions: BTreeMap::new(), absent_granters: AbsenceTracker::default() }
    }

    /// Handles a heartbeat. Returns the item to publish, if other nodes don't know of this session yet.
    ///
    /// # Errors
    ///
    /// [`StaleIncarnation`] if a later process at this address is known.
    pub fn heartbeat(
        &mut self,
        now: Micros,
        heartbeat: &SessionHeartbeat,
        gossip: &Gossip,
    ) -> Result<Option<Item>, StaleIncarnation> {
        let identity = &heartbeat.identity;
        let key = identity.address.to_string();
        // The stamp of a tombstone counts as well: the published item has to supersede it.
        let stamp = gossip.stamp(SESSION, &key).unwrap_or_default();
        if stamp.major > identity.incarnation {
            return StaleIncarnationSnafu { newest: stamp.major }.fail();
        }
        let known = self.sessions.get(&identity.address);
        let renewed = known.is_some_and(|session| session.identity == *identity);
        let granted = GrantedSession { identity: identity.clone(), last_heartbeat: now };
        self.sessions.insert(identity.address, granted);
        let published = gossip.get(SESSION, &key).is_some() && stamp.major == identity.incarnation;
        if renewed && published {
            return Ok(None);
        }
        let same_incarnation = stamp.major == identity.incarnation;
        let minor = if same_incarnation { item_kinds::next_minor(stamp.minor, self.own) } else { 0 };
        let session = Session { identity: identity.clone(), granted_by: self.own };
        let stamp = Stamp { major: identity.incarnation, minor };
        Ok(Some(item_kinds::item(SESSION, &key, stamp, session.to_bytes())))
    }

    /// Returns the tombstones to publish: for granted sessions that have expired, and for orphaned ones.
    pub fn tick(&mut self, now: Micros, gossip: &Gossip) -> Vec<Item> {
        self.adopt_own(now, gossip);
        let expired: Vec<SocketAddrV4> = self
            .sessions
            .iter()
            .filter(|(_, session)| now.saturating_sub(session.last_heartbeat) > SESSION_TIMEOUT)
            .map(|(address, _)| *address)
            .collect();
        let mut tombstones = Vec::new();
        for address in expired {
            self.sessions.remove(&address);
            tombstones.extend(self.expire(address, gossip));
        }
        tombstones.extend(self.expire_orphans(now, gossip));
        tombstones
    }

    /// Takes over the sessions that an earlier process at this address granted, so that they expire without heartbeats.
    fn adopt_own(&mut self, now: Micros, gossip: &Gossip) {
        for (_, session) in live_sessions(gossip).filter(|(_, session)| session.granted_by == self.own) {
            let address = session.identity.address;
            let adopted = GrantedSession { identity: session.identity, last_heartbeat: now };
            self.sessions.entry(address).or_insert(adopted);
        }
    }

    /// A tombstone for a session, unless another control balancer has granted it in the meantime.
    fn expire(&self, address: SocketAddrV4, gossip: &Gossip) -> Option<Item> {
        let key = address.to_string();
        let item = gossip.get(SESSION, &key)?;
        let session = Session::from_bytes(&item.payload).ok()?;
        (session.granted_by == self.own).then(|| self.tombstone(item))
    }

    fn tombstone(&self, item: &Item) -> Item {
        let minor = item_kinds::next_minor(item.stamp.minor, self.own);
        item_kinds::tombstone(SESSION, &item.key, Stamp { major: item.stamp.major, minor })
    }

    fn expire_orphans(&mut self, now: Micros, gossip: &Gossip) -> Vec<Item> {
        let sessions: Vec<(&Item, Session)> = live_sessions(gossip).collect();
        let is_alive = |node: SocketAddrV4| {
            node == self.own || sessions.iter().any(|(_, session)| session.identity.address == node)
        };
        let granters = sessions.iter().map(|(_, session)| session.granted_by);
        self.absent_granters.update(now, granters.filter(|granter| !is_alive(*granter)));
        let is_gone = |granter| self.absent_granters.absent_for_longer_than(granter, now, ORPHAN_TIMEOUT);
        let orphaned = sessions.iter().filter(|(_, session)| is_gone(session.granted_by));
        orphaned.map(|(item, _)| self.tombstone(item)).collect()
    }

    /// The number of granted sessions.
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// True if no session is granted.
    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }

    /// Removes all sessions: this node is no longer a control balancer.
    pub fn clear(&mut self) {
        self.sessions.clear();
        self.absent_granters = AbsenceTracker::default();
    }
}

/// All sessions without a tombstone, with their items.
pub fn live_sessions(gossip: &Gossip) -> impl Iterator<Item = (&Item, Session)> {
    gossip.items(SESSION).filter_map(|item| Some((item, Session::from_bytes(&item.payload).ok()?)))
}
