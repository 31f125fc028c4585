//! What stores and servers keep, by their events: each is asked for them by calls that it holds until there are some.

mod call;
mod feeds;
mod listening;
mod servers;
mod stores;

pub use call::{Event as KeptEvent, Events as KeptEvents};
pub(crate) use feeds::Feeds;
pub use feeds::{StoreWatch, is_to_tell};
pub use listening::{EventLog, listens};
