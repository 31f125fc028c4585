//! Buffers of one size from a pool, chained for messages longer than one of them.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::IoSlice;
use std::rc::Rc;

/// The size of each buffer, in bytes: most messages fit one.
pub const SIZE: usize = 4096;
/// Free buffers that the pool keeps; more are given back to the allocator.
const MAX_FREE: usize = 1024;

/// How much of a message is moved at once, in bytes: while memory is low, and otherwise.
const PART_SIZES: [usize; 2] = [SIZE, 8 * SIZE];

/// A body up to this length, in bytes, is buffered completely before it is forwarded, a longer one is streamed. While
/// memory is low, that is one buffer.
const MAX_BUFFERED_BODY: usize = 16 * SIZE;

/// The pool that all messages take their buffers from.
#[derive(Clone, Default)]
pub struct Pool(Rc<Inner>);

struct Inner {
    free: RefCell<Vec<Box<[u8]>>>,
    /// Buffers that are in use.
    in_use: Cell<usize>,
    /// From so many on memory is low.
    low_from: Cell<usize>,
}

impl Default for Inner {
    fn default() -> Self {
        Inner { free: RefCell::default(), in_use: Cell::default(), low_from: Cell::new(usize::MAX) }
    }
}

impl Pool {
    /// Limits the buffers to this many bytes: beyond three quarters of that, memory is low, and each connection adds a few
    /// buffers at most.
    pub fn set_limit(&self, bytes: usize) {
        self.0.low_from.set(bytes / 4 * 3 / SIZE);
    }

    /// True if no more should be buffered.
    pub fn is_low(&self) -> bool {
        self.0.in_use.get() >= self.0.low_from.get()
    }

    /// How much of a message is moved at once.
    pub fn part_size(&self) -> usize {
        PART_SIZES[usize::from(!self.is_low())]
    }

    /// How much of a body is buffered at most, in bytes.
    pub fn max_buffered_body(&self) -> usize {
        if self.is_low() { SIZE } else { MAX_BUFFERED_BODY }
    }

    fn take(&self) -> Box<[u8]> {
        self.0.in_use.set(self.0.in_use.get() + 1);
        self.0.free.borrow_mut().pop().unwrap_or_else(|| vec![0; SIZE].into_boxed_slice())
    }

    fn give(&self, bytes: Box<[u8]>) {
        self.0.in_use.set(self.0.in_use.get() - 1);
        let mut free = self.0.free.borrow_mut();
        if free.len() < MAX_FREE.min(self.0.low_from.get()) {
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

    /// Free space at the back, at least one byte; what is written there counts after [`Chain::commit`].
    pub fn spare_capacity(&mut self) -> &mut [u8] {
        if self.links.back().is_none_or(|link| link.end == SIZE) {
            self.links.push_back(Link { bytes: self.pool.take(), start: 0, end: 0 });
        }
        let at = self.links.len() - 1;
        let link = &mut self.links[at];
        &mut link.bytes[link.end..]
    }

    /// Counts bytes just written to [`Chain::spare_capacity`]. A buffer that was not used is given back.
    pub fn commit(&mut self, count: usize) {
        if let Some(link) = self.links.back_mut() {
            link.end += count;
            self.len += count;
        }
        if self.links.back().is_some_and(|link| link.start == link.end)
            && let Some(link) = self.links.pop_back()
        {
            self.pool.give(link.bytes);
        }
    }

    /// Appends a copy of these bytes.
    pub fn push(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let space = self.spare_capacity();
            let count = space.len().min(bytes.len());
            space[..count].copy_from_slice(&bytes[..count]);
            self.commit(count);
            bytes = &bytes[count..];
        }
    }

    /// Appends a copy of another chain.
    pub fn push_chain(&mut self, other: &Chain) {
        other.slices().for_each(|slice| self.push(slice));
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
    pub fn move_front_to(&mut self, mut count: usize, to: &mut Chain) {
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
            let skipped = skip.min(slice.len());
            skip -= skipped;
            if skipped < slice.len() {
                slices.push(IoSlice::new(&slice[skipped..]));
            }
        }
        slices
    }

    /// A copy of the first bytes in one piece.
    pub fn copy_front(&self, count: usize) -> Vec<u8> {
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
mod tests;
