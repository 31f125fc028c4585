//! Sends this node's load reports.

use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use gradepaddle_proto::{CacheStoreReport, CachedPrefix, Encode, PeerLoadReport, ServerLoad};
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, timeout};

use super::content::{
    cached_prefix, cached_prefix_window, server_load, store_report, store_report_window, unchanged,
};
use super::resend_window::ResendWindow;
use crate::data_plane::DataPlane;

/// Minimum time between two reports.
const MIN_INTERVAL: Duration = Duration::from_millis(10);
/// Changes that are no placements (prompts prefilled, requests ended) are reported at this interval.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);
/// Without a change, one report is sent in this many intervals.
const MAX_UNCHANGED_INTERVALS: u32 = 4;

/// The content of the last report, and the items that are still to be resent.
struct LastReport {
    servers: Vec<ServerLoad>,
    prefixes: ResendWindow<CachedPrefix>,
    store_updates: ResendWindow<CacheStoreReport>,
    /// Intervals since the last report.
    unchanged_intervals: u32,
}

/// Reports what this node has in flight to its peers, for as long as the process runs.
pub async fn send_load_reports(plane: Rc<DataPlane>, socket: Rc<UdpSocket>) {
    let Ok(SocketAddr::V4(own)) = socket.local_addr() else { return };
    let mut last = LastReport {
        servers: Vec::new(),
        prefixes: cached_prefix_window(),
        store_updates: store_report_window(),
        unchanged_intervals: 0,
    };
    let mut sent_at = Instant::now();
    loop {
        // Wakes up after a placement, or after the interval for other changes.
        let _ = timeout(IDLE_INTERVAL, plane.load_reports.request_placed.notified()).await;
        sleep(MIN_INTERVAL.saturating_sub(sent_at.elapsed())).await;
        sent_at = Instant::now();
        send_report(&plane, &socket, own, &mut last);
    }
}

/// Sends a report if anything has changed or one is due.
fn send_report(plane: &DataPlane, socket: &UdpSocket, own: SocketAddrV4, last: &mut LastReport) {
    let now = plane.now();
    let servers: Vec<ServerLoad> =
        plane.placer.borrow().local_loads(now).into_iter().map(server_load).collect();
    let new_prefixes = plane.placer.borrow_mut().take_prefill_reports();
    let new_updates = plane.placer.borrow_mut().take_store_updates();
    let has_new_items = !new_prefixes.is_empty() || !new_updates.is_empty();
    last.unchanged_intervals += 1;
    let is_due = last.unchanged_intervals >= MAX_UNCHANGED_INTERVALS;
    if unchanged(&servers, &last.servers) && !has_new_items && !is_due {
        return;
    }
    last.unchanged_intervals = 0;
    let reports = &plane.load_reports;
    let mut recipients = reports.recipients.borrow_mut();
    let rounds = recipients.rounds_to_reach_all();
    last.prefixes.push_round(new_prefixes.iter().map(cached_prefix), rounds);
    last.store_updates.push_round(new_updates.iter().map(store_report), rounds);
    last.servers = servers;
    let report = PeerLoadReport {
        sequence: reports.next_sequence(),
        origin: Some(own),
        relay: false,
        servers: last.servers.clone(),
        cached_prefixes: last.prefixes.items(),
        cache_store_reports: last.store_updates.items(),
    };
    let direct = report.to_bytes();
    let to_forward = PeerLoadReport { relay: true, ..report }.to_bytes();
    for recipient in recipients.select(now, direct.len()) {
        let bytes = if recipient.forwards { &to_forward } else { &direct };
        reports.send(socket, bytes, recipient.address);
    }
}
