//! Downloads of large items, block by block, each from one source at a time. This module sends no messages: its methods
//! return the requests to send.
//!
//! The blocks of a download arrive nearly in order, so its state is the contiguous prefix received so far and the few
//! blocks that arrived after a gap. A source that times out is replaced by another one, which continues after the prefix.
//! An item that is superseded during its download is still received completely, and then the newest one is downloaded:
//! if each newer item restarted the download, a node might never complete one while changes keep coming.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use crate::block::{Block, BlockRequest, RefusalReason};
use crate::config::micros;
use crate::encoding::EncodingId;
use crate::item::{KnownAge, Name};
use crate::{Entry, Offer, Stamp};

/// Size of a block, in bytes.
pub(crate) const BLOCK_BYTES: usize = 8 * 1024;
/// The most blocks that are requested beyond the received prefix.
const WINDOW_BLOCKS: usize = 4;
/// The most sources that are kept for a download.
const MAX_SOURCES: usize = 9;
/// How long to wait after all known sources were busy, in microseconds.
const BUSY_RETRY_DELAY_US: u64 = 100_000;
/// The timeout doubles with each consecutive source that has timed out, at most this many times.
const MAX_TIMEOUT_DOUBLINGS: u32 = 1;
/// After this many consecutive timeouts, a download is suspended until a source is offered again.
const MAX_STALLS: u32 = 8;

/// A block request and its destination.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct AddressedRequest {
    pub to: SocketAddrV4,
    pub request: BlockRequest,
}

/// The result of an offer.
#[derive(Debug, Default)]
pub(crate) struct OfferOutcome {
    /// Whether a new download starts.
    pub started: bool,
    /// An item whose download ends in favor of the new one, since nothing of it had arrived or it was suspended.
    pub replaced: Option<Entry>,
    pub requests: Vec<AddressedRequest>,
}

/// The result of a block.
#[derive(Debug)]
pub(crate) enum Progress {
    /// More of the item has arrived.
    Advanced {
        /// Whether this is the first block of the item.
        is_first: bool,
        requests: Vec<AddressedRequest>,
    },
    /// All of the item has arrived.
    Complete(Box<Download>),
}

/// A download that continues from another source, or is suspended.
#[derive(Debug)]
pub(crate) struct Continuation {
    pub entry: Entry,
    /// The next source, or the last one if the download is suspended.
    pub peer: SocketAddrV4,
    /// Length of the received prefix, in bytes.
    pub received: usize,
    /// Empty if the download is suspended.
    pub requests: Vec<AddressedRequest>,
    pub suspended: bool,
}

/// The download of one item.
#[derive(Debug)]
pub(crate) struct Download {
    pub entry: Entry,
    pub encoding: EncodingId,
    pub forward: bool,
    pub age: KnownAge,
    pub content: Vec<u8>,
    pub started_at: u64,
    pub attempts: u32,
    /// Nodes without block transfer that have requested the whole item.
    pub whole_item_waiters: Vec<SocketAddrV4>,
    /// The newest item of this name that was offered during the download.
    pub successor: Option<Successor>,
    /// Nodes that have at least a part of the item; requests go to the first.
    sources: VecDeque<SocketAddrV4>,
    /// Blocks that were received after a gap, by offset.
    out_of_order: BTreeMap<usize, Arc<[u8]>>,
    /// Whether the blocks in the gap have been requested again.
    gap_requested: bool,
    /// The offset up to which blocks have been requested.
    requested: usize,
    /// When to switch to another source; `u64::MAX` while the download is suspended.
    deadline: u64,
    /// Consecutive sources that have timed out.
    consecutive_stalls: u32,
    /// Consecutive sources that were busy.
    consecutive_busy: usize,
    /// Whether `deadline` is the end of the delay after all sources were busy.
    backing_off: bool,
}

/// The item to download next.
#[derive(Debug)]
pub(crate) struct Successor {
    pub offer: Offer,
    pub sources: Vec<SocketAddrV4>,
    pub forward: bool,
}

impl Download {
    fn new(now: u64, entry: Entry, encoding: EncodingId, forward: bool) -> Self {
        Download {
            entry,
            encoding,
            forward,
            age: KnownAge::default(),
            content: Vec::new(),
            started_at: now,
            attempts: 0,
            whole_item_waiters: Vec::new(),
            successor: None,
            sources: VecDeque::new(),
            out_of_order: BTreeMap::new(),
            gap_requested: false,
            requested: 0,
            deadline: u64::MAX,
            consecutive_stalls: 0,
            consecutive_busy: 0,
            backing_off: false,
        }
    }

    /// Nodes that are known to have at least a part of the item.
    pub(crate) fn sources(&self) -> Vec<SocketAddrV4> {
        self.sources.iter().copied().collect()
    }

    /// Whether the download has no source.
    fn is_suspended(&self) -> bool {
        self.sources.is_empty()
    }

    fn suspend(&mut self) {
        self.sources.clear();
        self.deadline = u64::MAX;
    }

    fn add_source(&mut self, source: SocketAddrV4) {
        if !self.sources.contains(&source) && self.sources.len() < MAX_SOURCES {
            self.sources.push_back(source);
        }
    }

    /// Adds sources. A suspended download resumes from one of them.
    fn add_sources(
        &mut self,
        now: u64,
        stall_timeout: u64,
        sources: &[SocketAddrV4],
        forward: bool,
    ) -> Vec<AddressedRequest> {
        let was_suspended = self.is_suspended();
        self.forward |= forward;
        sources.iter().for_each(|source| self.add_source(*source));
        if !was_suspended {
            return Vec::new();
        }
        self.consecutive_stalls = 0;
        self.request_from_source(now, stall_timeout)
    }

    /// Requests everything after the received prefix from the first source, as far as the window allows.
    fn request_from_source(&mut self, now: u64, stall_timeout: u64) -> Vec<AddressedRequest> {
        self.requested = self.content.len();
        self.out_of_order.clear();
        self.gap_requested = false;
        self.attempts += 1;
        self.backing_off = false;
        self.deadline = now + (stall_timeout << self.consecutive_stalls.min(MAX_TIMEOUT_DOUBLINGS));
        self.requests_within_window()
    }

    /// Returns the requests that the window allows. Before the first block the window is a single block, so that all nodes
    /// that fetch from one source can start forwarding early.
    fn requests_within_window(&mut self) -> Vec<AddressedRequest> {
        let blocks = if self.content.is_empty() { 1 } else { WINDOW_BLOCKS };
        let until = (self.content.len() + blocks * BLOCK_BYTES).min(self.encoding.len());
        let Some(to) = self.sources.front().copied() else { return Vec::new() };
        let mut requests = Vec::new();
        while self.requested < until {
            let request = self.block_request(self.requested);
            self.requested += request.length as usize;
            requests.push(AddressedRequest { to, request });
        }
        requests
    }

    /// Appends a block to the received prefix, and the buffered blocks that have become contiguous with it. Returns whether
    /// the prefix has grown.
    fn append(&mut self, offset: usize, content: &[u8]) -> bool {
        if !self.append_one(offset, content) {
            return false;
        }
        self.gap_requested = false;
        while let Some((offset, content)) = self.out_of_order.pop_first() {
            if offset > self.content.len() {
                self.out_of_order.insert(offset, content);
                break;
            }
            self.append_one(offset, &content);
        }
        self.requested = self.requested.max(self.content.len());
        true
    }

    fn append_one(&mut self, offset: usize, content: &[u8]) -> bool {
        let Some(overlap) = self.content.len().checked_sub(offset) else { return false };
        let remaining = self.encoding.len() - self.content.len();
        let Some(suffix) = content.get(overlap..).filter(|suffix| !suffix.is_empty()) else { return false };
        self.content.extend_from_slice(&suffix[..suffix.len().min(remaining)]);
        true
    }

    /// Buffers a block that arrived after a gap. The missing blocks are probably lost, so they are requested again, once.
    fn buffer_out_of_order(&mut self, offset: usize, block: &Block) -> Vec<AddressedRequest> {
        if offset >= self.requested || self.out_of_order.insert(offset, block.content.clone()).is_some() {
            return Vec::new();
        }
        let Some(to) = self.sources.front().copied().filter(|_| !self.gap_requested) else {
            return Vec::new();
        };
        self.gap_requested = true;
        let first_buffered = self.out_of_order.keys().next().copied().unwrap_or(offset);
        let missing = (self.content.len()..first_buffered).step_by(BLOCK_BYTES);
        missing.map(|offset| AddressedRequest { to, request: self.block_request(offset) }).collect()
    }

    fn block_request(&self, offset: usize) -> BlockRequest {
        let length = BLOCK_BYTES.min(self.encoding.len() - offset);
        let (entry, encoding) = (self.entry.clone(), self.encoding);
        BlockRequest { entry, encoding, offset: offset as u64, length: length as u64 }
    }

    /// Continues from the next source.
    fn request_from_next_source(&mut self, now: u64, stall_timeout: u64) -> Vec<AddressedRequest> {
        if !self.sources.is_empty() {
            self.sources.rotate_left(1);
        }
        self.request_from_source(now, stall_timeout)
    }

    /// Waits until `until` before the next request, since all sources were busy.
    fn back_off(&mut self, until: u64) {
        self.consecutive_busy = 0;
        self.backing_off = true;
        self.deadline = until;
    }
}

/// All downloads, at most one per name.
#[derive(Debug)]
pub(crate) struct Downloads {
    stall_timeout: u64,
    by_name: BTreeMap<Name, Download>,
}

impl Downloads {
    /// Creates the table. A source that sends nothing for `stall_timeout` is replaced.
    pub(crate) fn new(stall_timeout: Duration) -> Self {
        Self { stall_timeout: micros(stall_timeout), by_name: BTreeMap::new() }
    }

    pub(crate) fn get(&self, entry: &Entry) -> Option<&Download> {
        self.by_name.get(&entry.name()).filter(|download| download.entry.stamp == entry.stamp)
    }

    pub(crate) fn get_mut(&mut self, entry: &Entry) -> Option<&mut Download> {
        self.by_name.get_mut(&entry.name()).filter(|download| download.entry.stamp == entry.stamp)
    }

    /// The stamp of the successor, or of the current download of a name if it has none.
    pub(crate) fn newest(&self, name: &Name) -> Option<Stamp> {
        let download = self.by_name.get(name)?;
        let successor = download.successor.as_ref().map(|successor| successor.offer.entry.stamp);
        Some(successor.unwrap_or(download.entry.stamp))
    }

    /// Adds a node that has all of an item as a source. Returns whether the item is being downloaded already.
    pub(crate) fn add_source(&mut self, entry: &Entry, source: SocketAddrV4) -> bool {
        let download = self.get_mut(entry).filter(|download| !download.is_suspended());
        download.is_some_and(|download| {
            download.add_source(source);
            true
        })
    }

    /// Handles an offer of an item in this encoding by nodes that have at least a part of it.
    pub(crate) fn add_offer(
        &mut self,
        now: u64,
        offer: &Offer,
        encoding: EncodingId,
        sources: &[SocketAddrV4],
        forward: bool,
    ) -> OfferOutcome {
        let mut outcome = OfferOutcome::default();
        if let Some(current) = self.by_name.get_mut(&offer.entry.name()) {
            if offer.entry.stamp < current.entry.stamp {
                return outcome;
            }
            let is_same = offer.entry.stamp == current.entry.stamp;
            if is_same && encoding == current.encoding {
                outcome.requests = current.add_sources(now, self.stall_timeout, sources, forward);
                return outcome;
            }
            if is_same && !current.is_suspended() {
                return outcome;
            }
            if !is_same && !current.content.is_empty() && !current.is_suspended() {
                current.set_successor(offer, sources, forward);
                return outcome;
            }
            outcome.replaced = Some(current.entry.clone());
        }
        let mut download = Download::new(now, offer.entry.clone(), encoding, forward);
        sources.iter().for_each(|source| download.add_source(*source));
        outcome.started = true;
        outcome.requests = download.request_from_source(now, self.stall_timeout);
        self.by_name.insert(offer.entry.name(), download);
        outcome
    }

    /// Handles a block from any node. `None` if it contains nothing new.
    pub(crate) fn receive(&mut self, now: u64, block: &Block) -> Option<Progress> {
        let timeout = self.stall_timeout;
        let download = self.get_mut(&block.entry).filter(|download| download.encoding == block.encoding)?;
        let is_first = download.content.is_empty();
        let offset = usize::try_from(block.offset).unwrap_or(usize::MAX);
        if offset > download.content.len() {
            let requests = download.buffer_out_of_order(offset, block);
            return Some(Progress::Advanced { is_first: false, requests });
        }
        if !download.append(offset, &block.content) {
            return None;
        }
        if is_first {
            download.age = KnownAge::new(now, block.age_ms);
        }
        if download.content.len() >= download.encoding.len() {
            let download = self.by_name.remove(&block.entry.name())?;
            return Some(Progress::Complete(Box::new(download)));
        }
        (download.consecutive_stalls, download.consecutive_busy, download.backing_off) = (0, 0, false);
        download.deadline = now + timeout;
        Some(Progress::Advanced { is_first, requests: download.requests_within_window() })
    }

    /// Handles the refusal of a block: continues from another source, at once or after a delay.
    pub(crate) fn handle_refusal(
        &mut self,
        now: u64,
        from: SocketAddrV4,
        entry: &Entry,
        reason: RefusalReason,
    ) -> Option<Continuation> {
        let timeout = self.stall_timeout;
        let download = self.get_mut(entry).filter(|download| !download.is_suspended())?;
        let is_current_source = download.sources.front() == Some(&from);
        if reason == RefusalReason::Unknown {
            download.sources.retain(|source| *source != from);
        }
        if !is_current_source || download.backing_off {
            return None;
        }
        if download.is_suspended() {
            download.suspend();
            return Some(download.continuation(from, Vec::new()));
        }
        let requests = match reason {
            RefusalReason::Unknown => download.request_from_source(now, timeout),
            RefusalReason::Busy => {
                download.consecutive_busy += 1;
                if download.consecutive_busy >= download.sources.len() {
                    download.back_off(now + BUSY_RETRY_DELAY_US);
                    return None;
                }
                download.request_from_next_source(now, timeout)
            }
        };
        Some(download.continuation(from, requests))
    }

    /// Handles downloads whose source has timed out: each continues from its next source or is suspended.
    pub(crate) fn overdue(&mut self, now: u64) -> Vec<Continuation> {
        let timeout = self.stall_timeout;
        let overdue = self.by_name.values_mut().filter(|download| download.deadline <= now);
        let continued = overdue.filter_map(|download| {
            let source = download.sources.front().copied()?;
            download.consecutive_stalls += u32::from(!download.backing_off);
            if download.consecutive_stalls > MAX_STALLS {
                download.suspend();
                return Some(download.continuation(source, Vec::new()));
            }
            let requests = download.request_from_next_source(now, timeout);
            Some(download.continuation(source, requests))
        });
        continued.collect()
    }

    /// Removes a download that is suspended and has a successor.
    pub(crate) fn take_superseded(&mut self, entry: &Entry) -> Option<Download> {
        self.get(entry).filter(|download| download.is_suspended() && download.successor.is_some())?;
        self.by_name.remove(&entry.name())
    }

    /// Removes the download of an item that has become known with this stamp, or the download of a lower stamp.
    pub(crate) fn finish(&mut self, entry: &Entry) -> Option<Download> {
        let name = entry.name();
        self.by_name.get(&name).filter(|download| download.entry.stamp <= entry.stamp)?;
        self.by_name.remove(&name)
    }

    /// When the next source times out; `u64::MAX` for never.
    pub(crate) fn next_due(&self) -> u64 {
        self.by_name.values().map(|download| download.deadline).min().unwrap_or(u64::MAX)
    }
}

impl Download {
    /// Sets the successor if the offer is newer than the present one, or adds sources to it.
    fn set_successor(&mut self, offer: &Offer, sources: &[SocketAddrV4], forward: bool) {
        match &mut self.successor {
            Some(known) if known.offer == *offer => {
                known.sources.extend(sources);
                known.forward |= forward;
            }
            Some(known) if known.offer.entry.stamp >= offer.entry.stamp => {}
            _ => {
                let (offer, sources) = (offer.clone(), sources.to_vec());
                self.successor = Some(Successor { offer, sources, forward });
            }
        }
    }

    fn continuation(&self, source: SocketAddrV4, requests: Vec<AddressedRequest>) -> Continuation {
        Continuation {
            entry: self.entry.clone(),
            peer: requests.first().map_or(source, |request| request.to),
            received: self.content.len(),
            requests,
            suspended: self.is_suspended(),
        }
    }
}
