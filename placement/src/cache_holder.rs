//! Compact ids of the servers and stores that hold cached chunks.

/// The maximum number of cache stores; further ones of a configuration are ignored.
pub(crate) const MAX_STORES: u32 = 16;

/// A cache store or a model server as a holder of cached chunks. Stores come first, so that one table holds both.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CacheHolder(u32);

impl CacheHolder {
    pub(crate) fn store(index: u32) -> CacheHolder {
        CacheHolder(index)
    }

    pub(crate) fn server(index: u32) -> CacheHolder {
        CacheHolder(index + MAX_STORES)
    }

    /// The ids of all stores that can exist.
    pub(crate) fn all_stores() -> impl Iterator<Item = CacheHolder> {
        (0..MAX_STORES).map(CacheHolder)
    }

    pub(crate) fn as_store(self) -> Option<u32> {
        (self.0 < MAX_STORES).then_some(self.0)
    }

    pub(crate) fn as_server(self) -> Option<u32> {
        self.0.checked_sub(MAX_STORES)
    }

    /// Its index in a table of all holders.
    pub(crate) fn table_index(self) -> usize {
        self.0 as usize
    }
}
