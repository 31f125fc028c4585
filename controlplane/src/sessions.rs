//! Sessions that a control balancer holds, and the members that follow from all of them. No I/O.
//!
//! Each control balancer publishes the sessions that it holds. An item's holder may go: then any control balancer that
//! has missed the holder for a while removes the item, and the node, if it lives, has a session elsewhere by then.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Arc;

use gradepaddle_gossip::{Gossip, Item, Stamp};
use gradepaddle_proto::{Decode, DecodeError, Encode, FieldWriter, Fields, Identity, SessionHeartbeat};

use crate::Micros;
use crate::absence::Absence;
use crate::kinds::{self, SESSION};

/// A session without a heartbeat for this long has lapsed.
pub const LAPSES_AFTER: Micros = 1_500_000;
/// Items whose holder has been missing for this long are removed.
const ORPHANED_AFTER: Micros = 4_000_000;

/// A session as all nodes know it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Session {
    /// The node.
    pub identity: Identity,
    /// The control balancer with which it stands.
    pub holder: SocketAddrV4,
}

impl Encode for Session {
    fn encode(&self, to: &mut FieldWriter) {
        to.message(1, &self.identity);
        to.address(2, self.holder);
    }
}

impl Decode for Session {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(Session { identity: fields.message("session", 1)?, holder: fields.address("session", 2)? })
    }
}

struct Held {
    identity: Identity,
    heard: Micros,
}

/// The sessions that this control balancer holds.
pub struct HeldSessions {
    own: SocketAddrV4,
    held: BTreeMap<SocketAddrV4, Held>,
    /// Holders of others' items that are missing.
    absence: Absence,
}

impl HeldSessions {
    /// Holds none.
    pub fn new(own: SocketAddrV4) -> Self {
        HeldSessions { own, held: BTreeMap::new(), absence: Absence::default() }
    }

    /// Takes in a heartbeat. Gives the item to publish, if others don't know of this session yet.
    ///
    /// # Errors
    ///
    /// The incarnation of a later process at this address, if one is known: the node has to go beyond it.
    pub fn beat(
        &mut self,
        now: Micros,
        beat: &SessionHeartbeat,
        spread: &Gossip,
    ) -> Result<Option<Item>, u64> {
        let identity = &beat.identity;
        let key = identity.address.to_string();
        // The stamp of a tombstone counts: what is published has to be above it.
        let stamp = spread.stamp(SESSION, &key).unwrap_or_default();
        if stamp.major > identity.incarnation {
            return Err(stamp.major);
        }
        let renewed = self.held.get(&identity.address).is_some_and(|held| held.identity == *identity);
        self.held.insert(identity.address, Held { identity: identity.clone(), heard: now });
        let stands = spread.get(SESSION, &key).is_some() && stamp.major == identity.incarnation;
        if renewed && stands {
            return Ok(None);
        }
        let minor =
            if stamp.major == identity.incarnation { kinds::next_minor(stamp.minor, self.own) } else { 0 };
        let session = Session { identity: identity.clone(), holder: self.own };
        let stamp = Stamp { major: identity.incarnation, minor };
        Ok(Some(kinds::item(SESSION, &key, stamp, session.to_bytes())))
    }

    /// Sessions that have lapsed here, and those whose holder is long gone, as tombstones to publish.
    pub fn tick(&mut self, now: Micros, spread: &Gossip) -> Vec<Item> {
        self.adopt(now, spread);
        let lapsed: Vec<SocketAddrV4> = self
            .held
            .iter()
            .filter(|(_, held)| now.saturating_sub(held.heard) > LAPSES_AFTER)
            .map(|(address, _)| *address)
            .collect();
        let mut removed = Vec::new();
        for address in lapsed {
            self.held.remove(&address);
            removed.extend(self.removal(address, spread));
        }
        removed.extend(self.orphans(now, spread));
        removed
    }

    /// Sessions that bear this node's name, from before it started, stand until they lapse here.
    fn adopt(&mut self, now: Micros, spread: &Gossip) {
        for (_, session) in live(spread).filter(|(_, session)| session.holder == self.own) {
            let address = session.identity.address;
            self.held.entry(address).or_insert(Held { identity: session.identity, heard: now });
        }
    }

    /// A tombstone for a session that this node was the last to hold.
    fn removal(&self, address: SocketAddrV4, spread: &Gossip) -> Option<Item> {
        let key = address.to_string();
        let item = spread.get(SESSION, &key)?;
        let session = Session::from_bytes(&item.payload).ok()?;
        (session.holder == self.own).then(|| self.tombstone(item))
    }

    fn tombstone(&self, item: &Item) -> Item {
        let minor = kinds::next_minor(item.stamp.minor, self.own);
        kinds::removal(SESSION, &item.key, Stamp { major: item.stamp.major, minor })
    }

    fn orphans(&mut self, now: Micros, spread: &Gossip) -> Vec<Item> {
        let sessions: Vec<(&Item, Session)> = live(spread).collect();
        let alive = |holder: SocketAddrV4| {
            holder == self.own || sessions.iter().any(|(_, session)| session.identity.address == holder)
        };
        let holders = sessions.iter().map(|(_, session)| session.holder);
        self.absence.update(now, holders.filter(|holder| !alive(*holder)));
        let long_gone = |holder: &SocketAddrV4| self.absence.longer_than(*holder, now, ORPHANED_AFTER);
        let orphaned = sessions.iter().filter(|(_, session)| long_gone(&session.holder));
        orphaned.map(|(item, _)| self.tombstone(item)).collect()
    }

    /// How many sessions stand here.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// True if none stands here.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Lets all go: this node is no control balancer any longer.
    pub fn clear(&mut self) {
        self.held.clear();
        self.absence = Absence::default();
    }
}

/// All sessions that stand, with their items.
pub fn live(spread: &Gossip) -> impl Iterator<Item = (&Item, Session)> {
    spread.items(SESSION).filter_map(|item| Some((item, Session::from_bytes(&item.payload).ok()?)))
}

/// The zone of a node, if its session stands.
pub fn zone_of(spread: &Gossip, address: SocketAddrV4) -> Option<Arc<str>> {
    let item = spread.get(SESSION, &address.to_string())?;
    Session::from_bytes(&item.payload).ok().map(|session| session.identity.zone)
}
