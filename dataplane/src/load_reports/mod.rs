//! Load reports: what a node has in flight at servers and which prefixes it has seen cached there, sent to its peers by
//! datagram.
//!
//! One node sees only its own part of the traffic, a ninth or a four-hundredth of it, and from that alone can't tell
//! which servers are prefilling a long prompt at this moment. So each reports to the others as soon as it has placed a
//! request: to those of its own zone itself, to those of another zone through one of them ([`recipients`]). A datagram
//! that is lost is made up for by the next one, which holds all that is in flight; the placer discards what is old.

mod content;
pub mod receiver;
pub mod recipients;
pub mod resend_window;
pub mod sender;
pub mod state;
