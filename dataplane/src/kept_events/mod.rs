//! What stores keep, by their events: each is asked for them by calls that it holds until there are some.

mod call;
mod feeds;
mod stores;

pub(crate) use feeds::Feeds;
pub use feeds::{StoreWatch, is_to_tell};
