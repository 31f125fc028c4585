//! The life of a transaction, from its acceptance until its final answer has been given and its last attempt has ended.
//! The crate does no I/O and contains no clock and no protocol: the caller (the daemon, the emulator, a plug-in, the
//! exhaustive check) passes every [`Input`] with the time and carries out the [`Output`]s that it gets back. Messages and
//! replies are opaque.
//!
//! The decisions are made by the [`Chooser`]; production uses [`gradepaddle::Balancer`]. [`Dispatch`] enforces what must
//! hold *whatever* the chooser decides (`docs/properties.md` lists these properties and the code that ensures them): an
//! action that would break a rule is not carried out but counted as a [`Defect`], and its transaction ends with a failure
//! that does not claim whether the request ran.
//!
//! ```
//! use gradepaddle::{Balancer, ListKind, Server, ServerState, Settings};
//! use gradepaddle_dispatch::{Cause, Dispatch, Extent, FinalAnswer, Input, Limits, Output, Transaction};
//!
//! let settings = Settings::default();
//! let balancer = Balancer::new(settings.clone(), 7)?;
//! let mut dispatch: Dispatch<_, &str, &str> = Dispatch::new(balancer, &settings, "n1", Limits::default());
//! let mut out = Vec::new();
//! let server = Server {
//!     id: "a".into(), zone: 0, kind: 0, cell: 0, state: ServerState::Ready, weight: 1.0, started: None,
//! };
//! dispatch.handle(0, Input::ServerList { kind: ListKind::Full, servers: vec![server] }, &mut out);
//! let transaction = Transaction {
//!     client_request_id: (*b"c1").into(), class: 0, tenant: None, key: None, once: false, hint: None, arrived: 10, time_left: 500_000, upload_complete: true,
//!     message: "GET /",
//! };
//! out.clear();
//! dispatch.handle(10, Input::Accepted { ticket: 1, transaction }, &mut out);
//! assert!(out.iter().any(|o| matches!(o, Output::Start { ticket: 1, attempt: 0, message: "GET /", .. })));
//! out.clear();
//! let ended = Input::AttemptEnded {
//!     ticket: 1, attempt: 0, extent: Extent::Whole, cause: Cause::Served, reply: Some("yes"), report: None,
//! };
//! dispatch.handle(900, ended, &mut out);
//! assert!(out.contains(&Output::Answer { ticket: 1, answer: FinalAnswer::Served("yes") }));
//! assert_eq!(dispatch.len(), 0);
//! # Ok::<(), gradepaddle::SettingsError>(())
//! ```

mod attempt;
mod chooser;
mod dispatch;
mod fleet;
mod guard;
mod io;
mod list_clock;
mod transaction;

pub use attempt::{Cause, Extent, outcome};
pub use chooser::Chooser;
pub use dispatch::{Dispatch, Limits};
pub use fleet::{Availability, Fleet, Location};
pub use guard::{Defect, Defects, Guard, Rules};
pub use io::{FinalAnswer, Input, Output, Ticket, Transaction};
pub use list_clock::{
    DELIVERY_BOUND, Failure, HEARTBEAT_INTERVAL, ListClock, RECONNECT_INTERVAL, RETRY_INTERVALS,
};
pub use transaction::{AttemptView, TransactionView};
