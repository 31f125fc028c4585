//! The holders of one cached chunk.

use crate::cache_holder::CacheHolder;

/// A chunk in the cache of one holder.
#[derive(Clone, Copy, Debug)]
pub(super) struct ChunkCopy {
    pub(super) holder: CacheHolder,
    pub(super) tokens: u32,
    /// Distinguishes the latest use from earlier ones in the holder's queue.
    pub(super) stamp: u32,
    /// When it was last used, in milliseconds.
    pub(super) used_ms: u32,
}

/// All copies of a chunk. Most chunks have one, which then costs no allocation.
#[derive(Clone, Debug)]
pub(super) enum ChunkCopies {
    One(ChunkCopy),
    /// Sorted by holder.
    Many(Vec<ChunkCopy>),
}

impl ChunkCopies {
    pub(super) fn as_slice(&self) -> &[ChunkCopy] {
        match self {
            ChunkCopies::One(copy) => std::slice::from_ref(copy),
            ChunkCopies::Many(copies) => copies,
        }
    }

    pub(super) fn find(&self, holder: CacheHolder) -> Option<&ChunkCopy> {
        let copies = self.as_slice();
        copies.binary_search_by_key(&holder, |copy| copy.holder).ok().map(|index| &copies[index])
    }

    pub(super) fn find_mut(&mut self, holder: CacheHolder) -> Option<&mut ChunkCopy> {
        match self {
            ChunkCopies::One(copy) => (copy.holder == holder).then_some(copy),
            ChunkCopies::Many(copies) => {
                let index = copies.binary_search_by_key(&holder, |copy| copy.holder).ok()?;
                copies.get_mut(index)
            }
        }
    }

    pub(super) fn insert(&mut self, copy: ChunkCopy) {
        if let ChunkCopies::One(first) = self {
            *self = ChunkCopies::Many(vec![*first]);
        }
        if let ChunkCopies::Many(copies) = self {
            let index = copies.partition_point(|other| other.holder < copy.holder);
            copies.insert(index, copy);
        }
    }

    /// Removes the copy of a holder that has one; true if none is left.
    pub(super) fn remove(&mut self, holder: CacheHolder) -> bool {
        match self {
            ChunkCopies::One(_) => true,
            ChunkCopies::Many(copies) => {
                copies.retain(|copy| copy.holder != holder);
                if let [last] = copies[..] {
                    *self = ChunkCopies::One(last);
                }
                false
            }
        }
    }

    /// Bytes on the heap.
    pub(super) fn heap_bytes(&self) -> usize {
        match self {
            ChunkCopies::One(_) => 0,
            ChunkCopies::Many(copies) => copies.capacity() * size_of::<ChunkCopy>(),
        }
    }
}
