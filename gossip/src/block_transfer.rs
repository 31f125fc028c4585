//! Block transfer of large items: offers, requests, and pipelined forwarding of blocks.
//!
//! A node offers an item as soon as it has the first block, and forwards blocks as they arrive. The time to cross several
//! hops is therefore the transfer time of the item once, plus the transfer time of one block per further hop.

use std::net::SocketAddrV4;
use std::sync::Arc;

use crate::block::{Block, BlockRefusal, BlockRequest, RefusalReason};
use crate::download::{AddressedRequest, Continuation, Download, Progress, Successor};
use crate::encoding::{Encoded, EncodingId};
use crate::fetch::fetch_event;
use crate::item::KnownAge;
use crate::upload::WaitingRequest;
use crate::{AgedItem, Entry, FetchStep, Gossip, Item, Kind, Message, Offer, Output, Stamp};

impl Gossip {
    /// The highest offered stamp of an item that is being downloaded; `None` if there is no download of this name.
    pub fn downloading(&self, kind: Kind, key: &str) -> Option<Stamp> {
        self.downloads.newest(&(kind, Arc::from(key)))
    }

    /// Creates the offer of an item.
    pub(crate) fn offer(&mut self, now: u64, aged: &AgedItem) -> Offer {
        Offer { entry: aged.item.entry(), encoding: self.uploads.encoding(now, aged) }
    }

    /// Starts or extends the download of an item that was offered with its encoding, if it is missing here.
    pub(crate) fn download(
        &mut self,
        now: u64,
        offer: &Offer,
        sources: &[SocketAddrV4],
        forward: bool,
        out: &mut Vec<Output>,
    ) {
        let entry = &offer.entry;
        let Some(encoding) = offer.encoding.filter(|encoding| encoding.is_plausible()) else { return };
        if self.items.holds(entry.kind, &entry.key, entry.stamp) {
            return;
        }
        let outcome = self.downloads.add_offer(now, offer, encoding, sources, forward);
        if let Some(replaced) = outcome.replaced {
            self.refuse_waiting(&replaced, out);
        }
        if let Some(source) = sources.first().filter(|_| outcome.started) {
            self.counters.fetches += 1;
            out.push(fetch_event(entry.clone(), *source, FetchStep::Started));
        }
        self.send_requests(outcome.requests, out);
    }

    fn send_requests(&mut self, requests: Vec<AddressedRequest>, out: &mut Vec<Output>) {
        for AddressedRequest { to, request } in requests {
            self.send(to, Message::FetchBlock(request), out);
        }
    }

    /// Sends a block, or queues the request until the block has arrived here.
    pub(crate) fn handle_fetch_block(
        &mut self,
        now: u64,
        from: SocketAddrV4,
        request: BlockRequest,
        out: &mut Vec<Output>,
    ) {
        if !self.uploads.admit(now, from) {
            return self.refuse(from, request, RefusalReason::Busy, out);
        }
        if let Some(block) = self.block(now, &request) {
            if request.offset.saturating_add(request.length) >= request.encoding.len() as u64 {
                self.uploads.release(from);
            }
            self.send(from, Message::Block(block), out);
        } else if self
            .downloads
            .get(&request.entry)
            .is_some_and(|download| download.encoding == request.encoding)
        {
            self.uploads.wait(from, request);
        } else {
            self.uploads.release(from);
            self.refuse(from, request, RefusalReason::Unknown, out);
        }
    }

    fn refuse(
        &mut self,
        to: SocketAddrV4,
        request: BlockRequest,
        reason: RefusalReason,
        out: &mut Vec<Output>,
    ) {
        let BlockRequest { entry, encoding, .. } = request;
        self.send(to, Message::BlockRefused(BlockRefusal { entry, encoding, reason }), out);
    }

    /// Returns the requested block if all of its bytes are available.
    fn block(&mut self, now: u64, request: &BlockRequest) -> Option<Block> {
        let BlockRequest { entry, encoding, offset, length } = request.clone();
        let begin = usize::try_from(offset).ok()?;
        let end = begin.checked_add(usize::try_from(length).ok()?)?.min(encoding.len());
        let (content, age) = self.encoded_part(now, &entry, encoding, begin..end)?;
        Some(Block { entry, encoding, offset, age_ms: age.millis_at(now), content })
    }

    fn encoded_part(
        &mut self,
        now: u64,
        entry: &Entry,
        encoding: EncodingId,
        part: std::ops::Range<usize>,
    ) -> Option<(Arc<[u8]>, KnownAge)> {
        if let Some(download) = self.downloads.get(entry).filter(|download| download.encoding == encoding) {
            return Some((Arc::from(download.content.get(part)?), download.age));
        }
        if let Some(aged) = self.items.aged(now, entry.kind, &entry.key)
            && aged.item.stamp == entry.stamp
        {
            self.uploads.encoding(now, &aged)?;
        }
        let upload = self.uploads.find(now, entry, encoding)?;
        Some((Arc::from(upload.encoded.content.get(part)?), upload.age))
    }

    /// Handles a block: requests more, and forwards what has arrived.
    pub(crate) fn handle_block(
        &mut self,
        now: u64,
        from: SocketAddrV4,
        block: &Block,
        out: &mut Vec<Output>,
    ) {
        match self.downloads.receive(now, block) {
            None => {}
            Some(Progress::Advanced { is_first, requests }) => {
                self.send_requests(requests, out);
                if is_first {
                    self.forward_offer(&block.entry, out);
                }
                self.serve_waiting(now, &block.entry, out);
            }
            Some(Progress::Complete(download)) => self.complete_download(now, from, *download, out),
        }
    }

    /// Offers an item of which the first block has arrived to further peers.
    fn forward_offer(&mut self, entry: &Entry, out: &mut Vec<Output>) {
        let Some(download) = self.downloads.get(entry).filter(|download| download.forward) else { return };
        let offer = Offer { entry: entry.clone(), encoding: Some(download.encoding) };
        let known_by = download.sources();
        for target in self.peers.targets(&mut self.rng, self.config.fanout, &known_by) {
            self.send(target, Message::Offer { offers: vec![offer.clone()] }, out);
        }
    }

    /// Answers queued requests for blocks that have arrived.
    fn serve_waiting(&mut self, now: u64, entry: &Entry, out: &mut Vec<Output>) {
        let available = match self.downloads.get(entry) {
            Some(download) => download.content.len(),
            None => usize::MAX,
        };
        for WaitingRequest { from, request } in self.uploads.take_waiting(entry, available) {
            self.handle_fetch_block(now, from, request, out);
        }
    }

    /// Refuses all queued requests for blocks of an item.
    fn refuse_waiting(&mut self, entry: &Entry, out: &mut Vec<Output>) {
        for WaitingRequest { from, request } in self.uploads.take_waiting(entry, usize::MAX) {
            self.refuse(from, request, RefusalReason::Unknown, out);
        }
    }

    /// Verifies and merges an item of which all blocks have arrived.
    fn complete_download(&mut self, now: u64, from: SocketAddrV4, download: Download, out: &mut Vec<Output>) {
        let Download { entry, encoding, age, started_at, attempts, forward, .. } = download;
        let had_one_block = download.content.len() <= crate::download::BLOCK_BYTES;
        let encoded = Encoded::received(encoding, download.content);
        let payload = encoded.as_ref().and_then(Encoded::decode);
        let (Some(encoded), Some(payload)) = (encoded, payload) else {
            out.push(fetch_event(entry.clone(), from, FetchStep::Abandoned));
            self.refuse_waiting(&entry, out);
            return self.start_successor(now, download.successor, out);
        };
        self.uploads.store(now, &entry, encoded, age);
        let elapsed = now.saturating_sub(started_at);
        out.push(fetch_event(entry.clone(), from, FetchStep::Completed { elapsed, attempts }));
        let (kind, key, stamp) = (entry.kind, Arc::clone(&entry.key), entry.stamp);
        let item = Item { kind, key, stamp, payload: Arc::from(payload), removed: false };
        let is_new = self.items.merge(now, &AgedItem { item: item.clone(), age_ms: age.millis_at(now) });
        if is_new {
            self.counters.items_accepted += 1;
            out.push(Output::Changed(item));
            self.send_whole(now, &entry, download.whole_item_waiters, out);
            // An item of a single block was never offered while it arrived, so it is pushed now.
            if forward && had_one_block {
                self.enqueue_push(entry.name(), vec![from]);
                self.flush(now, out);
            }
        }
        self.serve_waiting(now, &entry, out);
        self.start_successor(now, download.successor, out);
    }

    /// Sends an item to nodes that have requested the whole of it.
    fn send_whole(&mut self, now: u64, entry: &Entry, wanted_by: Vec<SocketAddrV4>, out: &mut Vec<Output>) {
        let Some(aged) = self.items.aged(now, entry.kind, &entry.key) else { return };
        for to in wanted_by {
            self.send_push(to, vec![aged.clone()], true, out);
        }
    }

    fn start_successor(&mut self, now: u64, successor: Option<Successor>, out: &mut Vec<Output>) {
        if let Some(Successor { offer, sources, forward }) = successor {
            self.download(now, &offer, &sources, forward, out);
        }
    }

    /// Continues the download from another source after a refusal.
    pub(crate) fn handle_block_refusal(
        &mut self,
        now: u64,
        from: SocketAddrV4,
        refusal: &BlockRefusal,
        out: &mut Vec<Output>,
    ) {
        let continuation = self.downloads.handle_refusal(now, from, &refusal.entry, refusal.reason);
        if let Some(continuation) = continuation {
            self.continue_download(now, continuation, out);
        }
    }

    /// Continues downloads whose source has timed out from other sources.
    pub(crate) fn retry_downloads(&mut self, now: u64, out: &mut Vec<Output>) {
        for continuation in self.downloads.overdue(now) {
            self.continue_download(now, continuation, out);
        }
    }

    fn continue_download(&mut self, now: u64, continuation: Continuation, out: &mut Vec<Output>) {
        let Continuation { entry, peer, received, requests, suspended } = continuation;
        let step = if suspended { FetchStep::Abandoned } else { FetchStep::Retried { received } };
        out.push(fetch_event(entry.clone(), peer, step));
        self.send_requests(requests, out);
        if let Some(download) = self.downloads.take_superseded(&entry) {
            self.refuse_waiting(&entry, out);
            self.start_successor(now, download.successor, out);
        }
    }

    /// Ends the download of an item that arrived by other means, or the download of an older stamp of it.
    pub(crate) fn end_download(&mut self, now: u64, entry: &Entry, out: &mut Vec<Output>) {
        let Some(download) = self.downloads.finish(entry) else { return };
        if download.entry == *entry {
            self.send_whole(now, entry, download.whole_item_waiters, out);
            self.serve_waiting(now, entry, out);
        } else {
            self.refuse_waiting(&download.entry, out);
        }
        self.start_successor(now, download.successor, out);
    }
}
