//! What balancers have in flight at servers and what they see kept there, told to each other by datagram.
//!
//! One balancer sees only its own part of the traffic, a ninth or a four-hundredth of it, and from that alone can't tell
//! which servers are reading a long prompt at this moment. So each tells the others as soon as it has request_placed a request:
//! those of its own zone itself, those of another zone through one of them ([`recipients`]). A datagram that is lost is
//! made up for by the next one, which holds all that is in flight; what is old counts for nothing.

mod content;
pub mod recipients;
pub mod resend_window;

use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use gradepaddle_proto::{Decode, Encode, KeptPrompt, LoadShare, ServerShare, StoreReport};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

use crate::data_plane::{DataPlane, count};
use content::{
    believable, kept_prompt, own_load, recent_changes, recent_prompts, same, share, sighting, store_changes,
    store_report,
};
use recipients::{Peer, Recipients};
use resend_window::ResendWindow;

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
pub struct LoadReportCounters {
    /// Sent, by this node's own messages and those that it passed on.
    pub sent: Cell<u64>,
    /// Their bytes, without those of lower layers.
    pub sent_bytes: Cell<u64>,
    /// Taken in.
    pub received: Cell<u64>,
    /// Not taken in: they could not be read.
    pub unreadable: Cell<u64>,
    /// Not taken in: their sender or origin is no member.
    pub unknown_senders: Cell<u64>,
    /// Not taken in: a later message of the same node came first.
    pub outdated: Cell<u64>,
    /// Not taken in: they hold figures that can't be.
    pub implausible: Cell<u64>,
}

/// Whom this node tells, and what it counts.
pub(crate) struct LoadReports {
    recipients: RefCell<Recipients>,
    sequence: Cell<u64>,
    /// Told when a request was request_placed.
    request_placed: Notify,
    pub counters: LoadReportCounters,
}

impl LoadReports {
    /// Of a node in this zone.
    pub fn new(zone: Arc<str>) -> Self {
        LoadReports {
            recipients: RefCell::new(Recipients::new(zone)),
            sequence: Cell::new(0),
            request_placed: Notify::new(),
            counters: LoadReportCounters::default(),
        }
    }

    /// A request was request_placed: others are told soon.
    pub fn request_placed(&self) {
        self.request_placed.notify_one();
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
        self.load_reports.recipients.borrow_mut().set_peers(peers);
    }

    /// What was counted of the loads that balancers tell each other.
    pub fn load_report_counters(&self) -> &LoadReportCounters {
        &self.load_reports.counters
    }
}

/// What others were told last.
struct LastReport {
    servers: Vec<ServerShare>,
    kept: ResendWindow<KeptPrompt>,
    changes: ResendWindow<StoreReport>,
    /// Spans without a change.
    quiet: u32,
}

/// Tells others what this node has in flight, for as long as the process runs.
pub async fn send_load_reports(plane: Rc<DataPlane>, socket: Rc<UdpSocket>) {
    let Ok(SocketAddr::V4(own)) = socket.local_addr() else { return };
    let mut last =
        LastReport { servers: Vec::new(), kept: recent_prompts(), changes: recent_changes(), quiet: 0 };
    let mut sent_at = Instant::now();
    loop {
        // Ready after either: a placement, or the span of what can wait.
        let _ = timeout(LAZY, plane.load_reports.request_placed.notified()).await;
        sleep(SPACING.saturating_sub(sent_at.elapsed())).await;
        sent_at = Instant::now();
        send_report(&plane, &socket, own, &mut last);
    }
}

fn send_report(plane: &DataPlane, socket: &UdpSocket, own: SocketAddrV4, last: &mut LastReport) {
    let now = plane.now();
    let servers: Vec<ServerShare> = plane.placer.borrow().local_loads(now).into_iter().map(share).collect();
    let fresh = plane.placer.borrow_mut().take_prefill_reports();
    let changed = plane.placer.borrow_mut().take_store_updates();
    let news = !fresh.is_empty() || !changed.is_empty();
    last.quiet += 1;
    if same(&servers, &last.servers) && !news && last.quiet < QUIET_SPANS {
        return;
    }
    last.quiet = 0;
    let load_reports = &plane.load_reports;
    let mut recipients = load_reports.recipients.borrow_mut();
    last.kept.push_round(fresh.iter().map(kept_prompt), recipients.rounds_to_reach_all());
    last.changes.push_round(changed.iter().map(store_report), recipients.rounds_to_reach_all());
    last.servers = servers;
    let message = LoadShare {
        sequence: load_reports.next_sequence(),
        origin: Some(own),
        relay: false,
        servers: last.servers.clone(),
        kept: last.kept.items(),
        changes: last.changes.items(),
    };
    let direct = message.to_bytes();
    let to_forward = LoadShare { relay: true, ..message }.to_bytes();
    for recipient in recipients.select(now, direct.len()) {
        let bytes = if recipient.forwards { &to_forward } else { &direct };
        load_reports.send(socket, bytes, recipient.address);
    }
}

/// Takes in what others tell, and passes on what is meant for the others of this zone, for as long as the process runs.
pub async fn receive_load_reports(plane: Rc<DataPlane>, socket: Rc<UdpSocket>) {
    let mut bytes = vec![0; DATAGRAM];
    loop {
        let Ok((length, SocketAddr::V4(from))) = socket.recv_from(&mut bytes).await else { continue };
        let Some(forwarded) = plane.receive_load_report(from, &bytes[..length]) else { continue };
        for neighbour in forwarded.recipients {
            plane.load_reports.send(&socket, &forwarded.bytes, neighbour);
        }
    }
}

/// A message that is meant for the others of this zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardedReport {
    /// The datagram.
    pub bytes: Vec<u8>,
    /// Whom it goes to.
    pub recipients: Vec<SocketAddrV4>,
}

impl DataPlane {
    /// Takes a datagram in. What can't be read, is from a stranger, old or absurd counts for nothing but in the
    /// counters. Gives what is to be passed on.
    pub fn receive_load_report(&self, from: SocketAddrV4, bytes: &[u8]) -> Option<ForwardedReport> {
        let counters = &self.load_reports.counters;
        let Ok(message) = LoadShare::from_bytes(bytes) else {
            count(&counters.unreadable);
            return None;
        };
        let origin = message.origin.unwrap_or(from);
        let known = self.load_reports.recipients.borrow();
        if !known.contains(from) || !known.contains(origin) {
            count(&counters.unknown_senders);
            return None;
        }
        if !believable(&message) {
            count(&counters.implausible);
            return None;
        }
        if !take(self, origin, &message) {
            count(&counters.outdated);
            return None;
        }
        count(&counters.received);
        let recipients =
            known.zone_peers().filter(|address| *address != from && *address != origin).collect();
        let bytes = || LoadShare { relay: false, origin: Some(origin), ..message.clone() }.to_bytes();
        message.relay.then(|| ForwardedReport { bytes: bytes(), recipients })
    }
}

/// Has the engine take a message in. False if a later one of the same node came first.
fn take(plane: &DataPlane, origin: SocketAddrV4, message: &LoadShare) -> bool {
    let peer = u64::from(u32::from(*origin.ip())) << 16 | u64::from(origin.port());
    let now = plane.now();
    let loads = message.servers.iter().map(own_load).collect();
    let mut placer = plane.placer.borrow_mut();
    let taken = placer.apply_peer_loads(now, peer, message.sequence, loads);
    if taken {
        let seen: Vec<_> = message.kept.iter().map(sighting).collect();
        placer.apply_peer_prefill_reports(now, &seen);
        message.changes.iter().for_each(|report| placer.apply_peer_store_update(now, &store_changes(report)));
    }
    taken
}
