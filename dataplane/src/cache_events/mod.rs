//! Tracks the contents of cache stores by their events.
//!
//! A node fetches the contents of a store once, and then its events by long polling. A store accepts only a limited
//! number of concurrent long polls. In a large fleet, therefore, only the nodes with the lowest subscriber ranks poll
//! it. The other nodes learn from them whether a store responds at all (through the control plane), and what changed
//! (through load reports).

mod calls;
pub mod subscriber;
pub mod subscriptions;
