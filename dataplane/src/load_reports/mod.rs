//! Load reports: datagrams in which a node tells its peers what it has in flight at servers and which prefixes it has seen
//! cached there.
//!
//! A node sees only its own part of the traffic, in fleets of nine to four hundred nodes a ninth to a four-hundredth of it,
//! and can't tell from that alone which servers are prefilling a long prompt at the moment. Each node therefore reports to
//! the others as soon as it has placed a request: directly to those of its own zone, and to those of another zone through
//! one of them ([`recipients`]). A lost datagram does no lasting harm: the next report holds all that is in flight, and the
//! placer discards outdated reports.

mod content;
pub mod receiver;
pub mod recipients;
pub mod resend_window;
pub mod sender;
pub mod state;
