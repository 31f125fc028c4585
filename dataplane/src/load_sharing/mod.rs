//! What balancers have in flight at servers and what they see kept there, told to each other by datagram.
//!
//! One balancer sees only its own part of the traffic, a ninth or a four-hundredth of it, and from that alone can't tell
//! which servers are reading a long prompt at this moment. So each tells the others as soon as it has placed a request:
//! those of its own zone itself, those of another zone through one of them ([`audience`]). A datagram that is lost is
//! made up for by the next one, which holds all that is in flight; what is old counts for nothing.

pub mod audience;
mod content;
pub mod recent_rounds;

use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use gradepaddle_proto::{CacheStoreReport, CachedPrefix, Decode, Encode, PeerLoadReport, ServerLoad};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

use crate::shared::{DataPlane, count};
use audience::{Audience, Peer};
use content::{
    believable, kept_prompt, own_load, recent_changes, recent_prompts, same, share, sighting, store_changes,
    store_report,
};
use recent_rounds::RecentRounds;

/// Between two messages at least.
const SPACING: Duration = Duration::from_millis(10);
/// What changes without a placement (prompts read, requests ended) is told after this.
const LAZY: Duration = Duration::from_millis(250);
/// Without a change the message is sent again after so many of these spans.
const QUIET_SPANS: u32 = 4;
/// The longest datagram that is read, in bytes.
const DATAGRAM: usize = 64 * 1024;

/// Datagrams of other balancers, counted since the start.
#[derive(Debug, Default)]
pub struct SharingCounters {
    /// Sent, by this node's own messages and those that it passed on.
    pub sent: Cell<u64>,
    /// Their bytes, without those of lower layers.
    pub sent_bytes: Cell<u64>,
    /// Taken in.
    pub heard: Cell<u64>,
    /// Not taken in: they could not be read.
    pub unreadable: Cell<u64>,
    /// Not taken in: their sender or origin is no member.
    pub strangers: Cell<u64>,
    /// Not taken in: a later message of the same node came first.
    pub outdated: Cell<u64>,
    /// Not taken in: they hold figures that can't be.
    pub absurd: Cell<u64>,
}

/// Whom this node tells, and what it counts.
pub(crate) struct Sharing {
    audience: RefCell<Audience>,
    sequence: Cell<u64>,
    /// Told when a request was placed.
    placed: Notify,
    pub counters: SharingCounters,
}

impl Sharing {
    /// Of a node in this zone.
    pub fn new(zone: Arc<str>) -> Self {
        Sharing {
            audience: RefCell::new(Audience::new(zone)),
            sequence: Cell::new(0),
            placed: Notify::new(),
            counters: SharingCounters::default(),
        }
    }

    /// A request was placed: others are told soon.
    pub fn placed(&self) {
        self.placed.notify_one();
    }

    fn next_sequence(&self) -> u64 {
        self.sequence.set(self.sequence.get() + 1);
        self.sequence.get()
    }

    fn send(&self, socket: &UdpSocket, bytes: &[u8], to: SocketAddrV4) {
        count(&self.counters.sent);
        let sent_bytes = &self.counters.sent_bytes;
        sent_bytes.set(sent_bytes.get() + bytes.len() as u64);
        // A datagram may be lost in any case.
        let _ = socket.try_send_to(bytes, SocketAddr::V4(to));
    }
}

impl DataPlane {
    /// The other balancers.
    pub fn set_peers(&self, peers: &[Peer]) {
        self.sharing.audience.borrow_mut().set_peers(peers);
    }

    /// What was counted of the loads that balancers tell each other.
    pub fn sharing_counters(&self) -> &SharingCounters {
        &self.sharing.counters
    }
}

/// What others were told last.
struct LastTold {
    servers: Vec<ServerLoad>,
    kept: RecentRounds<CachedPrefix>,
    changes: RecentRounds<CacheStoreReport>,
    /// Spans without a change.
    quiet: u32,
}

/// Tells others what this node has in flight, for as long as the process runs.
pub async fn tell_loads(plane: Rc<DataPlane>, socket: Rc<UdpSocket>) {
    let Ok(SocketAddr::V4(own)) = socket.local_addr() else { return };
    let mut last =
        LastTold { servers: Vec::new(), kept: recent_prompts(), changes: recent_changes(), quiet: 0 };
    let mut told_at = Instant::now();
    loop {
        // Ready after either: a placement, or the span of what can wait.
        let _ = timeout(LAZY, plane.sharing.placed.notified()).await;
        sleep(SPACING.saturating_sub(told_at.elapsed())).await;
        told_at = Instant::now();
        tell(&plane, &socket, own, &mut last);
    }
}

fn tell(plane: &DataPlane, socket: &UdpSocket, own: SocketAddrV4, last: &mut LastTold) {
    let now = plane.now();
    let servers: Vec<ServerLoad> = plane.engine.borrow().own_loads(now).into_iter().map(share).collect();
    let fresh = plane.engine.borrow_mut().take_sightings();
    let changed = plane.engine.borrow_mut().take_store_changes();
    let news = !fresh.is_empty() || !changed.is_empty();
    last.quiet += 1;
    if same(&servers, &last.servers) && !news && last.quiet < QUIET_SPANS {
        return;
    }
    last.quiet = 0;
    let sharing = &plane.sharing;
    let mut audience = sharing.audience.borrow_mut();
    last.kept.keep(fresh.iter().map(kept_prompt), audience.rounds());
    last.changes.keep(changed.iter().map(store_report), audience.rounds());
    last.servers = servers;
    let message = PeerLoadReport {
        sequence: sharing.next_sequence(),
        origin: Some(own),
        relay: false,
        servers: last.servers.clone(),
        cached_prefixes: last.kept.all(),
        cache_store_reports: last.changes.all(),
    };
    let direct = message.to_bytes();
    let relayed = PeerLoadReport { relay: true, ..message }.to_bytes();
    for recipient in audience.recipients(now, direct.len()) {
        let bytes = if recipient.relays { &relayed } else { &direct };
        sharing.send(socket, bytes, recipient.address);
    }
}

/// Takes in what others tell, and passes on what is meant for the others of this zone, for as long as the process runs.
pub async fn hear_loads(plane: Rc<DataPlane>, socket: Rc<UdpSocket>) {
    let mut bytes = vec![0; DATAGRAM];
    loop {
        let Ok((length, SocketAddr::V4(from))) = socket.recv_from(&mut bytes).await else { continue };
        let Some(passed_on) = plane.hear(from, &bytes[..length]) else { continue };
        for neighbour in passed_on.to {
            plane.sharing.send(&socket, &passed_on.bytes, neighbour);
        }
    }
}

/// A message that is meant for the others of this zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PassedOn {
    /// The datagram.
    pub bytes: Vec<u8>,
    /// Whom it goes to.
    pub to: Vec<SocketAddrV4>,
}

impl DataPlane {
    /// Takes a datagram in. What can't be read, is from a stranger, old or absurd counts for nothing but in the
    /// counters. Gives what is to be passed on.
    pub fn hear(&self, from: SocketAddrV4, bytes: &[u8]) -> Option<PassedOn> {
        let counters = &self.sharing.counters;
        let Ok(message) = PeerLoadReport::from_bytes(bytes) else {
            count(&counters.unreadable);
            return None;
        };
        let origin = message.origin.unwrap_or(from);
        let audience = self.sharing.audience.borrow();
        if !audience.knows(from) || !audience.knows(origin) {
            count(&counters.strangers);
            return None;
        }
        if !believable(&message) {
            count(&counters.absurd);
            return None;
        }
        if !take(self, origin, &message) {
            count(&counters.outdated);
            return None;
        }
        count(&counters.heard);
        let to = audience.neighbours().filter(|address| *address != from && *address != origin).collect();
        let bytes = || PeerLoadReport { relay: false, origin: Some(origin), ..message.clone() }.to_bytes();
        message.relay.then(|| PassedOn { bytes: bytes(), to })
    }
}

/// Has the engine take a message in. False if a later one of the same node came first.
fn take(plane: &DataPlane, origin: SocketAddrV4, message: &PeerLoadReport) -> bool {
    let peer = u64::from(u32::from(*origin.ip())) << 16 | u64::from(origin.port());
    let now = plane.now();
    let loads = message.servers.iter().map(own_load).collect();
    let mut engine = plane.engine.borrow_mut();
    let taken = engine.peer_loads(now, peer, message.sequence, loads);
    if taken {
        let seen: Vec<_> = message.cached_prefixes.iter().map(sighting).collect();
        engine.peer_sightings(now, &seen);
        message
            .cache_store_reports
            .iter()
            .for_each(|report| engine.peer_store_changes(now, &store_changes(report)));
    }
    taken
}
