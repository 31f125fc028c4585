//! A pool of buffers of one size, and chains of them for messages longer than one buffer.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::IoSlice;
use std::rc::Rc;

/// The size of each buffer, in bytes. Most messages fit into one buffer.
pub const SIZE: usize = 4096;
/// Maximum number of free buffers that the pool keeps; further ones are returned to the allocator.
const MAX_FREE_BUFFERS: usize = 1024;

/// Maximum bytes of a message that are transferred at once: while memory is low, and otherwise.
const PART_SIZES: [usize; 2] = [SIZE, 8 * SIZE];

/// A body up to this length, in bytes, is buffered completely before it is forwarded; a longer one is streamed. While
/// memory is low, the limit is one buffer.
const MAX_BUFFERED_BODY: usize = 16 * SIZE;

/// The pool from which all messages of a thread take their buffers.
#[derive(Clone, Default)]
pub struct Pool(Rc<Inner>);

struct Inner {
    free: RefCell<Vec<Box<[u8]>>>,
    /// Number of buffers in use.
    in_use: Cell<usize>,
    /// Number of buffers in use from which on memory is low.
    low_threshold: Cell<usize>,
}

impl Default for Inner {
    fn default() -> Self {
        Inner { free: RefCell::default(), in_use: Cell::default(), low_threshold: Cell::new(usize::MAX) }
    }
}

impl Pool {
    /// Limits the buffers to this many bytes. From three quarters of that on, memory counts as low, and each connection
    /// then takes only a few more buffers.
    pub fn set_limit(&self, bytes: usize) {
        self.0.low_threshold.set(bytes / 4 * 3 / SIZE);
    }

    /// True if memory is low, so that no more should be buffered.
    pub fn is_low(&self) -> bool {
        self.0.in_use.get() >= self.0.low_threshold.get()
    }

    /// Maximum bytes of a message to transfer at once.
    pub fn part_size(&self) -> usize {
        PART_SIZES[usize::from(!self.is_low())]
    }

    /// Maximum length of a body that is buffered completely, in bytes.
    pub fn max_buffered_body(&self) -> usize {
        if self.is_low() { SIZE } else { MAX_BUFFERED_BODY }
    }

    fn take(&self) -> Buffer {
        self.0.in_use.set(self.0.in_use.get() + 1);
        let bytes = self.0.free.borrow_mut().pop().unwrap_or_else(|| vec![0; SIZE].into_boxed_slice());
        Buffer { bytes, pool: self.clone() }
    }

    fn put_back(&self, bytes: Box<[u8]>) {
        self.0.in_use.set(self.0.in_use.get() - 1);
        let mut free = self.0.free.borrow_mut();
        if free.len() < MAX_FREE_BUFFERS.min(self.0.low_threshold.get()) {
            free.push(bytes);
        }
    }

    /// An empty chain of this pool's buffers.
    pub fn chain(&self) -> Chain {
        Chain { pool: self.clone(), segments: VecDeque::new(), len: 0 }
    }
}

/// A buffer, returned to its pool when it is dropped.
struct Buffer {
    bytes: Box<[u8]>,
    pool: Pool,
}

impl Clone for Buffer {
    fn clone(&self) -> Self {
        let mut copy = self.pool.take();
        copy.bytes.copy_from_slice(&self.bytes);
        copy
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        self.pool.put_back(std::mem::take(&mut self.bytes));
    }
}

/// A range of a buffer that is in use. Several chains may share a buffer; only one that has it alone writes to it.
#[derive(Clone)]
struct Segment {
    buffer: Rc<Buffer>,
    start: usize,
    end: usize,
}

impl Segment {
    fn bytes(&self) -> &[u8] {
        &self.buffer.bytes[self.start..self.end]
    }

    /// True if bytes can be appended.
    fn has_spare_capacity(&self) -> bool {
        self.end < SIZE && Rc::strong_count(&self.buffer) == 1
    }
}

/// A byte queue in a chain of buffers: appended at the back, consumed from the front.
pub struct Chain {
    pool: Pool,
    segments: VecDeque<Segment>,
    len: usize,
}

impl Chain {
    /// The number of bytes in the chain.
    pub fn len(&self) -> usize {
        self.len
    }

    /// True if the chain has no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Free space at the back, at least one byte. Bytes written to it belong to the chain after [`Chain::commit`].
    pub fn spare_capacity(&mut self) -> &mut [u8] {
        if !self.segments.back().is_some_and(Segment::has_spare_capacity) {
            self.segments.push_back(Segment { buffer: Rc::new(self.pool.take()), start: 0, end: 0 });
        }
        let last = self.segments.len() - 1;
        let segment = &mut self.segments[last];
        // Never copies: a buffer with spare capacity isn't shared.
        &mut Rc::make_mut(&mut segment.buffer).bytes[segment.end..]
    }

    /// Adds the first `count` bytes of [`Chain::spare_capacity`] to the chain. An unused buffer is returned to the pool.
    pub fn commit(&mut self, count: usize) {
        if let Some(segment) = self.segments.back_mut() {
            segment.end += count;
            self.len += count;
        }
        if self.segments.back().is_some_and(|segment| segment.start == segment.end) {
            self.segments.pop_back();
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

    /// Appends the bytes of another chain after its first `skip`, without a copy: both chains share the buffers, which are
    /// returned to the pool when neither has bytes in them.
    pub fn push_shared(&mut self, other: &Chain, mut skip: usize) {
        for segment in &other.segments {
            let skipped = skip.min(segment.end - segment.start);
            skip -= skipped;
            let shared = Segment { start: segment.start + skipped, ..segment.clone() };
            if shared.start < shared.end {
                self.len += shared.end - shared.start;
                self.segments.push_back(shared);
            }
        }
    }

    /// Drops this many bytes at the front and returns their buffers to the pool.
    pub fn consume(&mut self, mut count: usize) {
        self.len -= count.min(self.len);
        while let Some(segment) = self.segments.front_mut() {
            let length = count.min(segment.end - segment.start);
            segment.start += length;
            count -= length;
            if segment.start < segment.end {
                return;
            }
            self.segments.pop_front();
        }
    }

    /// Moves this many bytes from the front to the back of `to`.
    pub fn move_front_to(&mut self, mut count: usize, to: &mut Chain) {
        while count > 0 {
            let Some(first) = self.slices().next() else { return };
            let length = count.min(first.len());
            to.push(&first[..length]);
            self.consume(length);
            count -= length;
        }
    }

    /// The bytes as one slice per buffer.
    pub fn slices(&self) -> impl Iterator<Item = &[u8]> {
        self.segments.iter().map(Segment::bytes)
    }

    /// The bytes one by one.
    pub fn bytes(&self) -> impl Iterator<Item = u8> {
        self.slices().flatten().copied()
    }

    /// The bytes after the first `skip` as slices for one vectored write.
    pub fn io_slices(&self, mut skip: usize) -> Vec<IoSlice<'_>> {
        let mut slices = Vec::with_capacity(self.segments.len());
        for slice in self.slices() {
            let skipped = skip.min(slice.len());
            skip -= skipped;
            if skipped < slice.len() {
                slices.push(IoSlice::new(&slice[skipped..]));
            }
        }
        slices
    }

    /// A contiguous copy of the first `count` bytes.
    pub fn copy_front(&self, count: usize) -> Vec<u8> {
        let mut copy = Vec::with_capacity(count.min(self.len));
        for slice in self.slices() {
            let length = (count - copy.len()).min(slice.len());
            copy.extend_from_slice(&slice[..length]);
        }
        copy
    }
}

#[cfg(test)]
mod tests;
