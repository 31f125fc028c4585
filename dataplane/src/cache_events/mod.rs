//! What stores keep, by their events: each is asked for them by calls that it holds until there are some.

mod calls;
mod subscriber;
mod subscriptions;

pub(crate) use subscriptions::CacheStoreSubscriptions;
pub use subscriptions::{StoreHealthListener, should_report_health};
