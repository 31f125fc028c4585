//! Received messages that the node has not handled yet, bounded in bytes.
//!
//! Gossip is queued in a lane of its own, so that large messages do not delay leases, sessions or calls. If a bound is
//! reached, the arriving message is dropped, as if the network had lost it: a node that needs a reply sends its message
//! again, and gossip is repaired by later comparisons. A peer that floods this node reaches its own bound before the
//! bound of the lane, and loses only its own messages.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use gradepaddle_proto::{Content, Envelope};
use snafu::Snafu;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Maximum number of bytes queued in one lane. A message that would exceed it is dropped, unless the lane is empty.
pub const MAX_LANE_BYTES: usize = 16 * 1024 * 1024;
/// Maximum number of bytes of one peer in one lane: as much as a peer's send queue holds. A message that would exceed
/// it is dropped, unless no message of this peer is queued in the lane.
pub const MAX_PEER_BYTES: usize = crate::send_queue::MAX_QUEUED_BYTES;
/// Memory that a queued message takes in addition to its bytes on the wire: its decoded fields and its entry in the lane.
const MESSAGE_OVERHEAD: usize = 256;
/// After this many urgent messages in a row, a queued gossip message is handled.
const MAX_URGENT_RUN: usize = 32;
/// Dropped messages are reported together at this interval.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Why a received message was not queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum InboxError {
    /// The bound of its peer or of its lane is reached; the message is dropped.
    #[snafu(display("the inbox is full"))]
    Full,
    /// The receiving end is gone.
    #[snafu(display("the inbox is closed"))]
    Closed,
}

/// Messages of one peer that were dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DroppedMessages {
    /// The peer.
    pub peer: SocketAddrV4,
    /// Messages since the last report.
    pub count: u64,
    /// Messages of this peer since the start of the process.
    pub total: u64,
}

/// A queued message with the number of bytes that count against the bounds.
#[derive(Debug)]
struct QueuedMessage {
    envelope: Envelope,
    bytes: usize,
}

/// The bytes that are queued in a lane.
#[derive(Debug, Default)]
struct Occupancy {
    total: usize,
    by_peer: HashMap<SocketAddrV4, usize>,
}

impl Occupancy {
    fn has_room(&self, peer: SocketAddrV4, bytes: usize) -> bool {
        let of_peer = self.by_peer.get(&peer).copied().unwrap_or(0);
        let peer_fits = of_peer == 0 || of_peer + bytes <= MAX_PEER_BYTES;
        let lane_fits = self.total == 0 || self.total + bytes <= MAX_LANE_BYTES;
        peer_fits && lane_fits
    }

    fn add(&mut self, peer: SocketAddrV4, bytes: usize) {
        self.total += bytes;
        *self.by_peer.entry(peer).or_default() += bytes;
    }

    fn remove(&mut self, peer: SocketAddrV4, bytes: usize) {
        self.total = self.total.saturating_sub(bytes);
        if let Some(of_peer) = self.by_peer.get_mut(&peer) {
            *of_peer = of_peer.saturating_sub(bytes);
            if *of_peer == 0 {
                self.by_peer.remove(&peer);
            }
        }
    }
}

/// The number of dropped messages by peer.
#[derive(Debug, Default)]
struct DropCounters {
    unreported: BTreeMap<SocketAddrV4, u64>,
    totals: BTreeMap<SocketAddrV4, u64>,
}

/// The state that both ends of the inbox share.
#[derive(Debug, Default)]
struct Shared {
    urgent: Occupancy,
    gossip: Occupancy,
    drops: DropCounters,
}

/// The lane in which a message is queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Lane {
    /// Latency-sensitive messages: leases, sessions, calls.
    Urgent,
    Gossip,
}

impl Lane {
    fn of(content: &Content) -> Lane {
        match content {
            Content::Gossip(_) => Lane::Gossip,
            Content::Control(_)
            | Content::SessionHeartbeat(_)
            | Content::SessionHeartbeatReply(_)
            | Content::Bootstrap(_)
            | Content::ForwardedCall(_)
            | Content::ForwardedReply(_)
            | Content::VersionQuery(_)
            | Content::VersionReply(_) => Lane::Urgent,
        }
    }
}

impl Shared {
    fn occupancy(&mut self, lane: Lane) -> &mut Occupancy {
        match lane {
            Lane::Urgent => &mut self.urgent,
            Lane::Gossip => &mut self.gossip,
        }
    }
}

/// The sending end, to which connections pass the messages that they receive.
#[derive(Debug, Clone)]
pub struct Inbox {
    urgent: mpsc::UnboundedSender<QueuedMessage>,
    gossip: mpsc::UnboundedSender<QueuedMessage>,
    shared: Rc<RefCell<Shared>>,
}

/// The receiving end, from which the node takes messages.
#[derive(Debug)]
pub struct InboxReceiver {
    urgent: mpsc::UnboundedReceiver<QueuedMessage>,
    gossip: mpsc::UnboundedReceiver<QueuedMessage>,
    shared: Rc<RefCell<Shared>>,
    /// Urgent messages taken since the last gossip message.
    urgent_run: usize,
    last_report: Option<Instant>,
}

/// An empty inbox.
pub fn inbox() -> (Inbox, InboxReceiver) {
    let (urgent, urgent_receiver) = mpsc::unbounded_channel();
    let (gossip, gossip_receiver) = mpsc::unbounded_channel();
    let shared = Rc::new(RefCell::new(Shared::default()));
    let receiver = InboxReceiver {
        urgent: urgent_receiver,
        gossip: gossip_receiver,
        shared: Rc::clone(&shared),
        urgent_run: 0,
        last_report: None,
    };
    (Inbox { urgent, gossip, shared }, receiver)
}

impl Inbox {
    /// Queues a message that took `bytes` on the wire.
    ///
    /// # Errors
    ///
    /// [`InboxError`] if the message is dropped.
    pub fn push(&self, envelope: Envelope, bytes: usize) -> Result<(), InboxError> {
        let (peer, lane) = (envelope.from, Lane::of(&envelope.content));
        let bytes = bytes + MESSAGE_OVERHEAD;
        let mut shared = self.shared.borrow_mut();
        if !shared.occupancy(lane).has_room(peer, bytes) {
            shared.drops.count(peer);
            return Err(InboxError::Full);
        }
        let sender = match lane {
            Lane::Urgent => &self.urgent,
            Lane::Gossip => &self.gossip,
        };
        sender.send(QueuedMessage { envelope, bytes }).map_err(|_| InboxError::Closed)?;
        shared.occupancy(lane).add(peer, bytes);
        Ok(())
    }
}

impl DropCounters {
    fn count(&mut self, peer: SocketAddrV4) {
        *self.unreported.entry(peer).or_default() += 1;
        *self.totals.entry(peer).or_default() += 1;
    }
}

impl InboxReceiver {
    /// The next message; `None` once all sending ends are gone.
    ///
    /// Cancellation safe: a message is taken only when the future completes.
    pub async fn recv(&mut self) -> Option<Envelope> {
        if let Some(envelope) = self.try_recv() {
            return Some(envelope);
        }
        tokio::select! {
            biased;
            Some(queued) = self.urgent.recv() => Some(self.take(Lane::Urgent, queued)),
            Some(queued) = self.gossip.recv() => Some(self.take(Lane::Gossip, queued)),
            else => None,
        }
    }

    /// The next message that is already queued, if any.
    pub fn try_recv(&mut self) -> Option<Envelope> {
        let order = match self.urgent_run < MAX_URGENT_RUN {
            true => [Lane::Urgent, Lane::Gossip],
            false => [Lane::Gossip, Lane::Urgent],
        };
        order.into_iter().find_map(|lane| {
            let queued = match lane {
                Lane::Urgent => self.urgent.try_recv(),
                Lane::Gossip => self.gossip.try_recv(),
            };
            queued.ok().map(|queued| self.take(lane, queued))
        })
    }

    fn take(&mut self, lane: Lane, queued: QueuedMessage) -> Envelope {
        self.urgent_run = match lane {
            Lane::Urgent => self.urgent_run.saturating_add(1),
            Lane::Gossip => 0,
        };
        self.shared.borrow_mut().occupancy(lane).remove(queued.envelope.from, queued.bytes);
        queued.envelope
    }

    /// The messages that were dropped since the last report, by peer; empty if the last report was less than a second
    /// ago.
    pub fn take_dropped(&mut self, now: Instant) -> Vec<DroppedMessages> {
        let mut shared = self.shared.borrow_mut();
        let too_early = self.last_report.is_some_and(|last| now < last + REPORT_INTERVAL);
        if shared.drops.unreported.is_empty() || too_early {
            return Vec::new();
        }
        self.last_report = Some(now);
        let unreported = std::mem::take(&mut shared.drops.unreported);
        let totals = &shared.drops.totals;
        let report = unreported.into_iter().map(|(peer, count)| {
            let total = totals.get(&peer).copied().unwrap_or(count);
            DroppedMessages { peer, count, total }
        });
        report.collect()
    }

    /// The bytes that are queued in both lanes.
    pub fn queued_bytes(&self) -> usize {
        let shared = self.shared.borrow();
        shared.urgent.total + shared.gossip.total
    }
}
