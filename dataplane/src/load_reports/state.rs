//! The state shared by the sender and the receiver of load reports.

use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;

use tokio::net::UdpSocket;
use tokio::sync::Notify;

use super::recipients::Recipients;
use crate::counters::increment;

/// Counters of datagrams with load reports since the start.
#[derive(Debug, Default)]
pub struct LoadReportCounters {
    /// Sent, including forwarded reports of other nodes.
    pub sent: Cell<u64>,
    /// Bytes of payload sent.
    pub sent_bytes: Cell<u64>,
    /// Received and accepted.
    pub received: Cell<u64>,
    /// Rejected: not decodable.
    pub unreadable: Cell<u64>,
    /// Rejected: the sender or the origin is no member.
    pub unknown_senders: Cell<u64>,
    /// Rejected: a later report of the same node was received before.
    pub outdated: Cell<u64>,
    /// Rejected: figures that no node can have.
    pub implausible: Cell<u64>,
}

/// The recipients of this node's reports, and the counters.
pub(crate) struct LoadReports {
    pub recipients: RefCell<Recipients>,
    /// Notified when a request was placed.
    pub request_placed: Notify,
    pub counters: LoadReportCounters,
    sequence: Cell<u64>,
}

impl LoadReports {
    /// Creates the state of a node in this zone.
    pub fn new(zone: Arc<str>) -> Self {
        LoadReports {
            recipients: RefCell::new(Recipients::new(zone)),
            request_placed: Notify::new(),
            counters: LoadReportCounters::default(),
            sequence: Cell::new(0),
        }
    }

    /// Notes that a request was placed, so that a report is sent soon.
    pub fn request_placed(&self) {
        self.request_placed.notify_one();
    }

    /// Returns the sequence number of the next report, starting with 1.
    pub fn next_sequence(&self) -> u64 {
        self.sequence.set(self.sequence.get() + 1);
        self.sequence.get()
    }

    /// Sends and counts a datagram.
    pub fn send(&self, socket: &UdpSocket, bytes: &[u8], to: SocketAddrV4) {
        increment(&self.counters.sent);
        let sent_bytes = &self.counters.sent_bytes;
        sent_bytes.set(sent_bytes.get() + bytes.len() as u64);
        // An error is ignored: datagrams may be lost in any case, and the next report makes up for it.
        let _ = socket.try_send_to(bytes, SocketAddr::V4(to));
    }
}
