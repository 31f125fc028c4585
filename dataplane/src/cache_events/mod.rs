//! What cache stores hold, by their events.
//!
//! A node asks a store for its contents once, then for events by long polls. A store holds only so many of these calls at
//! once, so in a large fleet only the nodes of the lowest subscriber ranks ask; the others learn from them, by the control
//! plane, whether a store answers at all, and by load reports what changed.

mod calls;
pub mod subscriber;
pub mod subscriptions;
