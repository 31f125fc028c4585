//! A connection, from which messages are read through a buffer and to which messages are written.
//!
//! Methods that wait for the peer are cancellation safe unless their documentation says otherwise: bytes that were read
//! stay in the buffer.

use std::io::{self, ErrorKind, IoSlice};
use std::mem::MaybeUninit;
use std::task::{Context, Poll};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::task::coop::consume_budget;
use tokio::time::{Instant, sleep, timeout};

use crate::buffers::{Chain, Pool};
use crate::stall_budget::StallBudget;
use crate::{Body, ChunkedDecoder, Framing, Head, MAX_BODY_BYTES, MAX_HEAD_BYTES, ReadError, head};

/// A connection and the bytes that were read from it but not consumed yet.
///
/// The guard `G` lives as long as the socket is open and is dropped after it, for example a share of a descriptor budget or
/// of a connection count.
pub struct Connection<G = ()> {
    stream: TcpStream,
    read_buffer: Chain,
    /// Bytes of [`Connection::send`] that have not been written yet.
    write_buffer: Chain,
    /// A write failed, since the peer has reset the connection or stopped reading: bytes that were sent may not have
    /// arrived.
    write_failed: bool,
    max_head: usize,
    max_body: u64,
    guard: G,
}

/// Time for the peer to close the connection after a last response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Progress of the search for the end of a head.
#[derive(Default)]
pub struct HeadSearch {
    /// Number of bytes that were searched without finding the end.
    searched: usize,
    /// Number of bytes of skipped empty lines before the head.
    skipped: usize,
}

impl<G> Connection<G> {
    /// Creates a connection from a stream and a guard. Buffers come from this pool; the limits are [`MAX_HEAD_BYTES`] and
    /// [`MAX_BODY_BYTES`].
    pub fn new(stream: TcpStream, pool: &Pool, guard: G) -> Self {
        // Without TCP_NODELAY a small write may wait for an acknowledgement. Nothing else depends on it, so a failure
        // is ignored.
        let _ = stream.set_nodelay(true);
        let (read_buffer, write_buffer) = (pool.chain(), pool.chain());
        Connection {
            stream,
            read_buffer,
            write_buffer,
            write_failed: false,
            max_head: MAX_HEAD_BYTES,
            max_body: MAX_BODY_BYTES,
            guard,
        }
    }

    /// Sets other limits, in bytes: the longest head that is read, and the longest body that [`Connection::body`] accepts
    /// and [`Connection::close_lingering`] discards.
    pub fn with_limits(mut self, head: usize, body: u64) -> Self {
        self.set_limits(head, body);
        self
    }

    /// Changes the limits, as in [`Connection::with_limits`].
    pub fn set_limits(&mut self, head: usize, body: u64) {
        (self.max_head, self.max_body) = (head, body);
    }

    /// The guard of the connection.
    pub fn guard(&self) -> &G {
        &self.guard
    }

    /// Creates the reader of a body with this framing, within this connection's limit.
    ///
    /// # Errors
    ///
    /// [`ReadError::BodyTooLong`] if its length is beyond that.
    pub fn body(&self, framing: Framing) -> Result<Body, ReadError> {
        Body::with_limit(framing, self.max_body)
    }

    /// True if unconsumed bytes are buffered.
    pub fn has_input(&self) -> bool {
        !self.read_buffer.is_empty()
    }

    /// The number of unconsumed bytes in the buffer.
    pub fn buffered_bytes(&self) -> usize {
        self.read_buffer.len()
    }

    /// Waits for bytes, reads them into the buffer and returns their number; 0 means that the peer has closed. Cancellation
    /// safe. A waiting connection holds no buffer of the pool. While it waits, it writes the rest of a message that was
    /// sent, however slowly the peer reads it: a peer may read the rest after it has responded.
    ///
    /// # Errors
    ///
    /// The error of the socket, also a reset that was reported to an earlier write.
    pub async fn fill(&mut self) -> io::Result<usize> {
        // A peer that sends as fast as this task reads would otherwise keep all other tasks of the thread from running.
        consume_budget().await;
        loop {
            if self.write_buffer.is_empty() {
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

    /// Reads the available bytes without waiting, up to one buffer.
    fn try_fill(&mut self) -> io::Result<usize> {
        let read = self.stream.try_read(self.read_buffer.spare_capacity());
        self.read_buffer.commit(*read.as_ref().unwrap_or(&0));
        match read {
            // The kernel reports a reset only once. If it was reported to a write, the next read returns 0 bytes like a
            // close.
            Ok(0) if self.write_failed => Err(ErrorKind::ConnectionReset.into()),
            read => read,
        }
    }

    /// Sends a message: writes what the socket accepts at once, and the rest during later reads. The peer may respond
    /// before it has read everything; an error is reported when its response is read. The rest shares the buffers of the
    /// chains.
    pub fn send(&mut self, chains: &[&Chain]) {
        let mut written = match self.write_buffer.is_empty() {
            true => write_now(&self.stream, chains, &mut self.write_failed),
            false => 0,
        };
        for chain in chains {
            self.write_buffer.push_shared(chain, written);
            written = written.saturating_sub(chain.len());
        }
    }

    /// Writes as much of the unsent rest as the socket accepts without waiting.
    fn flush(&mut self) {
        let written = write_now(&self.stream, &[&self.write_buffer], &mut self.write_failed);
        self.write_buffer.consume(written);
    }

    /// True if a message was not written completely: no other message can be sent on this connection.
    pub fn has_unsent(&self) -> bool {
        !self.write_buffer.is_empty() || self.write_failed
    }

    /// Like [`Connection::fill`], but a close or a failure of the connection is [`ReadError::Closed`].
    async fn fill_or_closed(&mut self) -> Result<(), ReadError> {
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
            self.fill_or_closed().await?;
        }
    }

    /// Takes the next head, if it is buffered completely. Empty lines before it are skipped (RFC 9112, section 2.2).
    ///
    /// # Errors
    ///
    /// [`ReadError::Malformed`], or [`ReadError::HeadTooLong`] beyond this connection's limit.
    pub fn take_head(&mut self, search: &mut HeadSearch) -> Result<Option<Head>, ReadError> {
        while search.searched == 0 && matches!(self.read_buffer.bytes().next(), Some(b'\r' | b'\n')) {
            self.read_buffer.consume(1);
            search.skipped += 1;
        }
        if let Some(end) = head::find_end(&self.read_buffer, search.searched) {
            if end > self.max_head {
                return Err(ReadError::HeadTooLong);
            }
            let text = self.read_buffer.copy_front(end);
            self.read_buffer.consume(end);
            return Ok(Some(Head::parse(text)?));
        }
        search.searched = self.read_buffer.len();
        match search.searched + search.skipped > self.max_head {
            true => Err(ReadError::HeadTooLong),
            false => Ok(None),
        }
    }

    /// Reads bytes of a body until `to` has `max_length` bytes or no more are available; true once the body is complete.
    /// Waits if none are available at first. Cancellation safe: bytes that were read are in `to`.
    ///
    /// # Errors
    ///
    /// [`ReadError::Closed`] if the connection ended within the body, else as [`Body::take`].
    pub async fn read_body(
        &mut self,
        body: &mut Body,
        to: &mut Chain,
        max_length: usize,
    ) -> Result<bool, ReadError> {
        let initial_length = to.len();
        loop {
            if body.take(&mut self.read_buffer, to, max_length)? {
                return Ok(true);
            }
            if to.len() >= max_length {
                return Ok(false);
            }
            let read = match to.len() > initial_length {
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

    /// Reads more of a chunked body that is processed as it arrives and has no planned end, until `body` has at most
    /// `max_length` bytes; true once the body has ended nevertheless. Cancellation safe.
    ///
    /// # Errors
    ///
    /// [`ReadError::Closed`] if the connection ended, else as [`ChunkedDecoder::take`].
    pub async fn read_chunks(
        &mut self,
        decoder: &mut ChunkedDecoder,
        body: &mut Chain,
        max_length: usize,
    ) -> Result<bool, ReadError> {
        let initial_length = body.len();
        loop {
            if decoder.take(&mut self.read_buffer, body, max_length)? {
                return Ok(true);
            }
            if body.len() > initial_length {
                return Ok(false);
            }
            self.fill_or_closed().await?;
        }
    }

    /// Reads the next head without waiting, if it has arrived: a response may arrive while its request is still being sent.
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

    /// Waits until there are bytes to read or the peer has closed. Cancellation safe.
    pub async fn readable(&self) {
        // If the socket fails here, the next read fails too and reports the error.
        let _ = self.stream.readable().await;
    }

    /// Waits until the peer has closed or reset the connection, even if unread bytes came before. Polls the socket: unread
    /// bytes keep it readable, so that no event would wake the task. Cancellation safe.
    pub async fn peer_closed(&self) {
        const POLL_INTERVAL: Duration = Duration::from_millis(40);
        while !matches!(self.stream.ready(Interest::READABLE).await, Ok(ready) if ready.is_read_closed()) {
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Makes the drop of the connection reset it instead of closing it; unsent bytes are then discarded.
    pub fn reset_on_drop(&self) {
        // If this fails, the connection is closed instead, and only a truncated response without a length looks complete.
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// Writes the chains completely, one after the other. Not cancellation safe: a part may have been written.
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

    /// Writes some of the bytes after the first `written`, and returns how many. Cancellation safe.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::TimedOut`] if the peer reads nothing for longer than the stall budget allows, else the error of
    /// the socket.
    pub async fn write_some(
        &self,
        chains: &[&Chain],
        written: usize,
        stall_budget: &mut StallBudget,
    ) -> io::Result<usize> {
        write_some(&self.stream, chains, written, stall_budget).await
    }

    /// True if the peer has neither closed nor sent unexpected bytes. Asks the kernel, because tokio's readiness is
    /// from the last poll of the event queue: a request written after the peer has closed in the meantime would count
    /// as one that may have run.
    pub fn is_idle(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.stream).peek(&mut byte);
        matches!(peeked, Err(e) if e.kind() == ErrorKind::WouldBlock) && self.read_buffer.is_empty()
    }

    /// Ready once an idle connection was closed or received bytes.
    pub fn poll_disturbed(&self, cx: &mut Context<'_>) -> Poll<()> {
        while self.stream.poll_read_ready(cx).is_ready() {
            // A read that would block clears tokio's readiness, so that a spurious wake-up doesn't end the wait.
            let read = self.stream.try_read(&mut [0]);
            if !matches!(read, Err(e) if e.kind() == ErrorKind::WouldBlock) {
                return Poll::Ready(());
            }
        }
        Poll::Pending
    }

    /// Shuts down writing after a last response, then discards input until the peer closes or `LINGER_TIMEOUT` has passed:
    /// closing with unread bytes would reset the connection, and the response might be lost (RFC 9112, section 9.6).
    pub async fn close_lingering(mut self) {
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let drain = async {
            let mut read = 0;
            // A client that is still sending the longest body may read its response only after that.
            while read < self.max_body {
                let buffered = self.read_buffer.len();
                self.read_buffer.consume(buffered);
                match self.fill().await {
                    Ok(0) | Err(_) => break,
                    Ok(count) => read += count as u64,
                }
            }
        };
        let _ = timeout(LINGER_TIMEOUT, drain).await;
    }
}

/// The bytes of these chains after the first `skip`, as slices for one vectored write.
fn slices_after<'a>(chains: &[&'a Chain], mut skip: usize) -> Vec<IoSlice<'a>> {
    let mut slices = Vec::new();
    for chain in chains {
        slices.extend(chain.io_slices(skip));
        skip = skip.saturating_sub(chain.len());
    }
    slices
}

/// Writes as much as the socket accepts without waiting, and returns the number of bytes. After an error everything counts
/// as written: what the peer sent before the error can still be read.
fn write_now(stream: &TcpStream, chains: &[&Chain], failed: &mut bool) -> usize {
    let total = chains.iter().map(|chain| chain.len()).sum();
    let mut written = 0;
    while written < total && !*failed {
        match stream.try_write_vectored(&slices_after(chains, written)) {
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
    let slices = slices_after(chains, written);
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
