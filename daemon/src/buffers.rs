//! Buffers of one size from a pool, chained for messages longer than one of them.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::IoSlice;
use std::rc::Rc;

/// The size of each buffer: most messages, head and all, fit one.
pub const SIZE: usize = 4096;
/// Free buffers kept for the next message; more are given back to the system.
const KEPT: usize = 1024;

/// The pool that all messages take their buffers from.
#[derive(Clone, Default)]
pub struct Pool(Rc<RefCell<Vec<Box<[u8]>>>>);

impl Pool {
    fn take(&self) -> Box<[u8]> {
        self.0.borrow_mut().pop().unwrap_or_else(|| vec![0; SIZE].into_boxed_slice())
    }

    fn give(&self, bytes: Box<[u8]>) {
        let mut free = self.0.borrow_mut();
        if free.len() < KEPT {
            free.push(bytes);
        }
    }

    /// An empty chain of this pool's buffers.
    pub fn chain(&self) -> Chain {
        Chain { pool: self.clone(), links: VecDeque::new(), len: 0 }
    }
}

/// A buffer with the span of it that is in use.
struct Link {
    bytes: Box<[u8]>,
    start: usize,
    end: usize,
}

/// Bytes in a row of buffers: appended at the back, taken from the front.
pub struct Chain {
    pool: Pool,
    links: VecDeque<Link>,
    len: usize,
}

impl Chain {
    /// How many bytes it holds.
    pub fn len(&self) -> usize {
        self.len
    }

    /// True if it holds nothing.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Free room at the back, at least one byte; what is written there counts after [`Chain::filled`].
    pub fn room(&mut self) -> &mut [u8] {
        if self.links.back().is_none_or(|link| link.end == SIZE) {
            self.links.push_back(Link { bytes: self.pool.take(), start: 0, end: 0 });
        }
        let at = self.links.len() - 1;
        let link = &mut self.links[at];
        &mut link.bytes[link.end..]
    }

    /// Counts bytes just written to [`Chain::room`].
    pub fn filled(&mut self, count: usize) {
        if let Some(link) = self.links.back_mut() {
            link.end += count;
            self.len += count;
        }
    }

    /// Appends a copy of these bytes.
    pub fn push(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let room = self.room();
            let count = room.len().min(bytes.len());
            room[..count].copy_from_slice(&bytes[..count]);
            self.filled(count);
            bytes = &bytes[count..];
        }
    }

    /// Drops this many bytes at the front, and their buffers go back to the pool.
    pub fn consume(&mut self, mut count: usize) {
        self.len -= count.min(self.len);
        while let Some(link) = self.links.front_mut() {
            let here = count.min(link.end - link.start);
            link.start += here;
            count -= here;
            if link.start < link.end {
                return;
            }
            if let Some(link) = self.links.pop_front() {
                self.pool.give(link.bytes);
            }
        }
    }

    /// Moves this many bytes from the front to the back of `to`.
    pub fn shift(&mut self, mut count: usize, to: &mut Chain) {
        while count > 0 {
            let Some(first) = self.slices().next() else { return };
            let here = count.min(first.len());
            to.push(&first[..here]);
            self.consume(here);
            count -= here;
        }
    }

    /// Its bytes, buffer by buffer.
    pub fn slices(&self) -> impl Iterator<Item = &[u8]> {
        self.links.iter().map(|link| &link.bytes[link.start..link.end])
    }

    /// Its bytes one by one.
    pub fn bytes(&self) -> impl Iterator<Item = u8> {
        self.slices().flatten().copied()
    }

    /// The first buffers from this byte on, for one vectored write.
    pub fn io_slices(&self, mut skip: usize) -> Vec<IoSlice<'_>> {
        let mut slices = Vec::with_capacity(self.links.len());
        for slice in self.slices() {
            let cut = skip.min(slice.len());
            skip -= cut;
            if cut < slice.len() {
                slices.push(IoSlice::new(&slice[cut..]));
            }
        }
        slices
    }

    /// A copy of the first bytes in one piece.
    pub fn copy(&self, count: usize) -> Vec<u8> {
        let mut all = Vec::with_capacity(count.min(self.len));
        for slice in self.slices() {
            let here = (count - all.len()).min(slice.len());
            all.extend_from_slice(&slice[..here]);
        }
        all
    }
}

impl Drop for Chain {
    fn drop(&mut self) {
        for link in self.links.drain(..) {
            self.pool.give(link.bytes);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against bytes lost or doubled where a message crosses from one buffer to the next.
    #[test]
    fn a_long_message_keeps_its_bytes_and_gives_its_buffers_back() {
        let pool = Pool::default();
        let message: Vec<u8> = (0..3 * SIZE + 17).map(|i| (i % 251) as u8).collect();
        let (mut chain, mut front) = (pool.chain(), pool.chain());
        chain.push(&message);
        chain.shift(SIZE + 5, &mut front);
        assert_eq!((front.len(), chain.len()), (SIZE + 5, 2 * SIZE + 12));
        assert_eq!(front.copy(usize::MAX - 1), message[..SIZE + 5]);
        assert_eq!(chain.copy(usize::MAX - 1), message[SIZE + 5..]);
        assert_eq!(chain.bytes().next(), Some(message[SIZE + 5]));
        let skipped: usize = chain.io_slices(SIZE).iter().map(|slice| slice.len()).sum();
        assert_eq!(skipped, SIZE + 12);
        chain.consume(SIZE);
        assert_eq!(chain.copy(3), message[2 * SIZE + 5..2 * SIZE + 8]);
        drop((chain, front));
        assert!(pool.0.borrow().len() >= 4, "the buffers are there to be used again");
    }
}
