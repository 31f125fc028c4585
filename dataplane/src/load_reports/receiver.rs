//! Receives the load reports of peers, and forwards those that are addressed to all nodes of the zone.

use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;

use gradepaddle_proto::{Decode, Encode, PeerLoadReport};
use tokio::net::UdpSocket;

use super::content::{is_plausible, local_load, prefill_report, store_update};
use crate::counters::increment;
use crate::data_plane::DataPlane;

/// Maximum size of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// A report that is to be forwarded to the other nodes of this zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardedReport {
    /// The datagram.
    pub bytes: Vec<u8>,
    /// The nodes that it is to be sent to.
    pub recipients: Vec<SocketAddrV4>,
}

/// Receives and forwards load reports, for as long as the process runs.
pub async fn receive_load_reports(plane: Rc<DataPlane>, socket: Rc<UdpSocket>) {
    let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, SocketAddr::V4(from))) = socket.recv_from(&mut bytes).await else { continue };
        let Some(forwarded) = plane.receive_load_report(from, &bytes[..length]) else { continue };
        for recipient in forwarded.recipients {
            plane.load_reports.send(&socket, &forwarded.bytes, recipient);
        }
    }
}

impl DataPlane {
    /// Applies a received datagram, and returns the report to be forwarded, if any. A datagram that is undecodable, from an
    /// unknown node, outdated or implausible is only counted.
    #[must_use = "the other nodes of the zone receive the report only through this node"]
    pub fn receive_load_report(&self, from: SocketAddrV4, bytes: &[u8]) -> Option<ForwardedReport> {
        let counters = &self.load_reports.counters;
        let Ok(report) = PeerLoadReport::from_bytes(bytes) else {
            increment(&counters.unreadable);
            return None;
        };
        // Older builds send reports without an origin and never forward them, so the sender is the origin.
        let origin = report.origin.unwrap_or(from);
        let members = self.load_reports.recipients.borrow();
        if !members.contains(from) || !members.contains(origin) {
            increment(&counters.unknown_senders);
            return None;
        }
        if !is_plausible(&report) {
            increment(&counters.implausible);
            return None;
        }
        if !apply(self, origin, &report) {
            increment(&counters.outdated);
            return None;
        }
        increment(&counters.received);
        if !report.relay {
            return None;
        }
        let recipients = members.zone_peers().filter(|peer| *peer != from && *peer != origin).collect();
        let bytes = PeerLoadReport { relay: false, origin: Some(origin), ..report }.to_bytes();
        Some(ForwardedReport { bytes, recipients })
    }
}

/// Applies a report to the placer. False if a later report of the same node was applied before.
fn apply(plane: &DataPlane, origin: SocketAddrV4, report: &PeerLoadReport) -> bool {
    let peer = u64::from(u32::from(*origin.ip())) << 16 | u64::from(origin.port());
    let now = plane.now();
    let loads = report.servers.iter().map(local_load).collect();
    let mut placer = plane.placer.borrow_mut();
    let is_latest = placer.apply_peer_loads(now, peer, report.sequence, loads);
    if is_latest {
        let prefill_reports: Vec<_> = report.cached_prefixes.iter().map(prefill_report).collect();
        placer.apply_peer_prefill_reports(now, &prefill_reports);
        report
            .cache_store_reports
            .iter()
            .for_each(|update| placer.apply_peer_store_update(now, &store_update(update)));
    }
    is_latest
}
