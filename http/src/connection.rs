//! A connection: messages are read from it through a buffer of its own, and written to it.
//!
//! Whatever waits for the other side is cancellation safe unless its documentation says otherwise: what has been read
//! stays in the buffer.

use std::io::{self, ErrorKind, IoSlice};
use std::mem::MaybeUninit;
use std::task::{Context, Poll};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use crate::buffers::{Chain, Pool};
use crate::stall_budget::StallBudget;
use crate::{Body, ChunkedDecoder, Framing, Head, MAX_BODY_BYTES, MAX_HEAD_BYTES, ReadError, head};

/// A connection with what has been read from it and not used yet.
///
/// The guard `G` lives as long as the socket is open, and is dropped after it: a share of a budget of descriptors, or a
/// count of connections.
pub struct Connection<G = ()> {
    stream: TcpStream,
    inbox: Chain,
    /// What [`Connection::send`] has still to write.
    outbox: Chain,
    /// The other side has broken the connection or has ended its reading: what was sent may not have come.
    write_failed: bool,
    max_head: usize,
    max_body: u64,
    _guard: G,
}

/// How long the other side is given to close after a last response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// How far a head has been searched for.
#[derive(Default)]
pub struct HeadSearch {
    /// Bytes in which its end is not.
    searched: usize,
    /// Bytes of empty lines before it.
    skipped: usize,
}

impl<G> Connection<G> {
    /// Takes over a stream and a guard. Buffers come from this pool; heads and bodies may be as long as [`MAX_HEAD_BYTES`]
    /// and [`MAX_BODY_BYTES`].
    pub fn new(stream: TcpStream, pool: &Pool, guard: G) -> Self {
        // Without this a small write may wait for an acknowledgement, which is all that a failure costs.
        let _ = stream.set_nodelay(true);
        let (inbox, outbox) = (pool.chain(), pool.chain());
        Connection {
            stream,
            inbox,
            outbox,
            write_failed: false,
            max_head: MAX_HEAD_BYTES,
            max_body: MAX_BODY_BYTES,
            _guard: guard,
        }
    }

    /// With other limits, in bytes: the longest head that is read, and the longest body that [`Connection::body`]
    /// admits and [`Connection::close_lingering`] discards.
    pub fn with_limits(mut self, head: usize, body: u64) -> Self {
        self.set_limits(head, body);
        self
    }

    /// Other limits from now on, as in [`Connection::with_limits`].
    pub fn set_limits(&mut self, head: usize, body: u64) {
        (self.max_head, self.max_body) = (head, body);
    }

    /// A body framed so, within this connection's limit.
    ///
    /// # Errors
    ///
    /// [`ReadError::BodyTooLong`] if its length is beyond that.
    pub fn body(&self, framing: Framing) -> Result<Body, ReadError> {
        Body::with_limit(framing, self.max_body)
    }

    /// True if bytes are buffered that no message has used.
    pub fn has_input(&self) -> bool {
        !self.inbox.is_empty()
    }

    /// How many bytes are buffered.
    pub fn buffered_bytes(&self) -> usize {
        self.inbox.len()
    }

    /// Reads what there is into the buffer and gives the number of bytes; 0 means that the other side has closed. Cancellation
    /// safe. A connection that waits occupies no buffer of the pool. Meanwhile the rest of a message that was sent is
    /// written, however slowly the other side reads it: it may do so after its response.
    ///
    /// # Errors
    ///
    /// The error of the socket; also a reset that an earlier write met.
    pub async fn fill(&mut self) -> io::Result<usize> {
        loop {
            if self.outbox.is_empty() {
                self.stream.readable().await?;
            } else {
                tokio::select! {
                    biased;
                    readable = self.stream.readable() => readable?,
                    writable = self.stream.writable() => {
                        writable?;
                        self.flush();
                        continue;
                    }
                }
            }
            match self.try_fill() {
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                read => return read,
            }
        }
    }

    /// Reads what is there at this moment, up to one buffer.
    fn try_fill(&mut self) -> io::Result<usize> {
        let read = self.stream.try_read(self.inbox.spare_capacity());
        self.inbox.commit(*read.as_ref().unwrap_or(&0));
        match read {
            // The kernel reports the reset that made a write fail only once: what reads like an end may be that reset.
            Ok(0) if self.write_failed => Err(ErrorKind::ConnectionReset.into()),
            read => read,
        }
    }

    /// Sends a message: writes what the socket takes at once, and the rest while something is read. The other side may
    /// respond before it has read everything; an error shows when its response is read.
    pub fn send(&mut self, chains: &[&Chain]) {
        let written = match self.outbox.is_empty() {
            true => write_now(&self.stream, chains, &mut self.write_failed),
            false => 0,
        };
        for slice in slices_behind(chains, written) {
            self.outbox.push(&slice);
        }
    }

    /// Writes as much of the unsent rest as the socket takes now.
    fn flush(&mut self) {
        let written = write_now(&self.stream, &[&self.outbox], &mut self.write_failed);
        self.outbox.consume(written);
    }

    /// True if a message was not written to its end: the connection can bear no other.
    pub fn has_unsent(&self) -> bool {
        !self.outbox.is_empty() || self.write_failed
    }

    async fn more(&mut self) -> Result<(), ReadError> {
        match self.fill().await {
            Ok(0) | Err(_) => Err(ReadError::Closed),
            Ok(_) => Ok(()),
        }
    }

    /// Reads the next head. Cancellation safe.
    ///
    /// # Errors
    ///
    /// [`ReadError::Closed`], [`ReadError::Malformed`], or [`ReadError::HeadTooLong`] beyond this connection's limit.
    pub async fn read_head(&mut self) -> Result<Head, ReadError> {
        let mut search = HeadSearch::default();
        loop {
            if let Some(head) = self.take_head(&mut search)? {
                return Ok(head);
            }
            self.more().await?;
        }
    }

    /// The next head, if it is buffered. Empty lines before it are skipped (RFC 9112, section 2.2).
    ///
    /// # Errors
    ///
    /// [`ReadError::Malformed`], or [`ReadError::HeadTooLong`] beyond this connection's limit.
    pub fn take_head(&mut self, search: &mut HeadSearch) -> Result<Option<Head>, ReadError> {
        while search.searched == 0 && matches!(self.inbox.bytes().next(), Some(b'\r' | b'\n')) {
            self.inbox.consume(1);
            search.skipped += 1;
        }
        if let Some(end) = head::find_end(&self.inbox, search.searched) {
            if end > self.max_head {
                return Err(ReadError::HeadTooLong);
            }
            let text = self.inbox.copy_front(end);
            self.inbox.consume(end);
            return Ok(Some(Head::parse(text)?));
        }
        search.searched = self.inbox.len();
        match search.searched + search.skipped > self.max_head {
            true => Err(ReadError::HeadTooLong),
            false => Ok(None),
        }
    }

    /// Moves what comes of a body, until `to` holds `most` bytes or no more has come yet; true once it is complete. Waits
    /// for some of it if need be. Cancellation safe: what was moved is in `to`.
    ///
    /// # Errors
    ///
    /// [`ReadError::Closed`] if the connection ended within the body, else as [`Body::take`].
    pub async fn read_body(
        &mut self,
        body: &mut Body,
        to: &mut Chain,
        most: usize,
    ) -> Result<bool, ReadError> {
        let had = to.len();
        loop {
            if body.take(&mut self.inbox, to, most)? {
                return Ok(true);
            }
            if to.len() >= most {
                return Ok(false);
            }
            let read = match to.len() > had {
                true => match self.try_fill() {
                    Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(false),
                    read => read,
                },
                false => self.fill().await,
            };
            match read {
                // A reset does not end a body, it truncates it.
                Ok(0) => return body.finish().map(|()| true),
                Ok(_) => {}
                Err(_) => return Err(ReadError::Closed),
            }
        }
    }

    /// Reads more of a chunked body that has no planned end and is used as it comes, `most` bytes at once; true once it
    /// has ended all the same. Cancellation safe.
    ///
    /// # Errors
    ///
    /// [`ReadError::Closed`] if the connection ended, else as [`ChunkedDecoder::take`].
    pub async fn read_chunks(
        &mut self,
        chunks: &mut ChunkedDecoder,
        body: &mut Chain,
        most: usize,
    ) -> Result<bool, ReadError> {
        let had = body.len();
        loop {
            if chunks.take(&mut self.inbox, body, most)? {
                return Ok(true);
            }
            if body.len() > had {
                return Ok(false);
            }
            self.more().await?;
        }
    }

    /// The next head, if it has come: a response may come while its request is still being sent.
    ///
    /// # Errors
    ///
    /// As [`Connection::read_head`].
    pub fn try_read_head(&mut self) -> Result<Option<Head>, ReadError> {
        let mut search = HeadSearch::default();
        loop {
            if let Some(head) = self.take_head(&mut search)? {
                return Ok(Some(head));
            }
            match self.try_fill() {
                Ok(0) => return Err(ReadError::Closed),
                Ok(_) => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(None),
                Err(_) => return Err(ReadError::Closed),
            }
        }
    }

    /// Ready once there is something to read, or the other side has closed. Cancellation safe.
    pub async fn readable(&self) {
        // A socket that fails here fails at the next read too, which reports it.
        let _ = self.stream.readable().await;
    }

    /// Ready once the other side has closed or reset the connection, also behind bytes that nobody reads. Polls: unread
    /// bytes keep the socket readable, so that no event would wake the task. Cancellation safe.
    pub async fn peer_closed(&self) {
        const POLL_INTERVAL: Duration = Duration::from_millis(40);
        while !matches!(self.stream.ready(Interest::READABLE).await, Ok(ready) if ready.is_read_closed()) {
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Has the connection reset, not closed, when it is dropped; unsent bytes are discarded then.
    pub fn reset_on_drop(&self) {
        // If it fails, only a response without a length could pass for complete.
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// Writes the chains one after the other, to their end. Not cancellation safe: a part may have been written.
    ///
    /// # Errors
    ///
    /// As [`Connection::write_some`].
    pub async fn write(&self, chains: &[&Chain]) -> io::Result<()> {
        let mut stall_budget = StallBudget::for_reader();
        let total: usize = chains.iter().map(|chain| chain.len()).sum();
        let mut written = 0;
        while written < total {
            written += self.write_some(chains, written, &mut stall_budget).await?;
        }
        Ok(())
    }

    /// Writes some of what stands behind the first `written` bytes, and gives how many. Cancellation safe.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::TimedOut`] if the other side reads nothing for longer than the stall budget allows, else the error of
    /// the socket.
    pub async fn write_some(
        &self,
        chains: &[&Chain],
        written: usize,
        stall_budget: &mut StallBudget,
    ) -> io::Result<usize> {
        write_some(&self.stream, chains, written, stall_budget).await
    }

    /// True if the other side has neither closed nor sent anything out of turn. Asks the kernel: tokio's readiness is
    /// from the last time that the event queue was read, and a request written after a close that came since would count as
    /// one that may have run.
    pub fn is_idle(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.stream).peek(&mut byte);
        matches!(peeked, Err(e) if e.kind() == ErrorKind::WouldBlock) && self.inbox.is_empty()
    }

    /// Ready once an idle connection was closed or received bytes.
    pub fn poll_disturbed(&self, cx: &mut Context<'_>) -> Poll<()> {
        while self.stream.poll_read_ready(cx).is_ready() {
            // Reading nothing clears tokio's readiness, so that a spurious wake-up is waited out.
            let nothing = self.stream.try_read(&mut [0]);
            if !matches!(nothing, Err(e) if e.kind() == ErrorKind::WouldBlock) {
                return Poll::Ready(());
            }
        }
        Poll::Pending
    }

    /// Closes this side after a last response and waits a moment for the other: closing with bytes unread would reset the
    /// connection, and the response might be lost with it (RFC 9112, section 9.6).
    pub async fn close_lingering(mut self) {
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let drain = async {
            let mut read = 0;
            // A client that is still sending the longest body may read its response only after that.
            while read < self.max_body {
                let buffered = self.inbox.len();
                self.inbox.consume(buffered);
                match self.fill().await {
                    Ok(0) | Err(_) => break,
                    Ok(count) => read += count as u64,
                }
            }
        };
        let _ = timeout(LINGER_TIMEOUT, drain).await;
    }
}

/// The bytes of these chains behind the first `skip`, for one vectored write.
fn slices_behind<'a>(chains: &[&'a Chain], mut skip: usize) -> Vec<IoSlice<'a>> {
    let mut slices = Vec::new();
    for chain in chains {
        slices.extend(chain.io_slices(skip));
        skip = skip.saturating_sub(chain.len());
    }
    slices
}

/// Writes as much as the socket takes now, and gives how many bytes. After an error everything counts as written: what the
/// other side sent before can still be read.
fn write_now(stream: &TcpStream, chains: &[&Chain], failed: &mut bool) -> usize {
    let total = chains.iter().map(|chain| chain.len()).sum();
    let mut written = 0;
    while written < total && !*failed {
        match stream.try_write_vectored(&slices_behind(chains, written)) {
            Ok(count) if count > 0 => written += count,
            Err(e) if e.kind() == ErrorKind::WouldBlock => return written,
            Ok(_) | Err(_) => *failed = true,
        }
    }
    total
}

async fn write_some(
    stream: &TcpStream,
    chains: &[&Chain],
    written: usize,
    stall_budget: &mut StallBudget,
) -> io::Result<usize> {
    let slices = slices_behind(chains, written);
    loop {
        match stream.try_write_vectored(&slices) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(count) => {
                stall_budget.record_wait(Duration::ZERO, count);
                return Ok(count);
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
        let since = Instant::now();
        timeout(stall_budget.remaining(), stream.writable()).await.map_err(|_| ErrorKind::TimedOut)??;
        stall_budget.record_wait(since.elapsed(), 0);
    }
}

#[cfg(test)]
mod tests;
