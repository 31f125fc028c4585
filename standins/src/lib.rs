//! A test harness for real processes of the program: fake app servers, discovery and clients, relays that cut and delay the
//! links between them, and a record of what all of them observed, which is checked against rules. The design is in
//! `docs/rig.md`.
//!
//! All tasks run on one `LocalSet`. Times are in microseconds since the [`Ledger`] was created.

pub mod books;
pub mod broken;
pub mod clients;
pub mod council;
pub mod discovery;
pub mod error;
pub mod fleet;
pub mod front;
pub mod mesh;
pub mod process;
pub mod relay;
pub mod server;
mod wire;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use books::{Books, Fact};

pub use error::Error;

/// The time limit of every wait. Long enough that an event that has not occurred by then will not occur at all.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// A shared handle to the record of observations.
#[derive(Clone)]
pub struct Ledger(Rc<Shared>);

struct Shared {
    books: RefCell<Books>,
    opened: Instant,
    written: Notify,
}

impl Default for Ledger {
    fn default() -> Self {
        let (books, written) = (RefCell::default(), Notify::new());
        Ledger(Rc::new(Shared { books, opened: Instant::now(), written }))
    }
}

impl Ledger {
    /// Microseconds since it was created.
    pub fn now(&self) -> u64 {
        u64::try_from(self.0.opened.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// Records a fact with the current time.
    pub fn write(&self, fact: Fact) {
        self.0.books.borrow_mut().write(self.now(), fact);
        self.0.written.notify_waiters();
    }

    /// Reads the record.
    pub fn read<T>(&self, read: impl FnOnce(&Books) -> T) -> T {
        read(&self.0.books.borrow())
    }

    /// Waits until the record satisfies the predicate.
    ///
    /// # Panics
    ///
    /// It does not within [`PATIENCE`]. The message has a summary of the record.
    pub async fn until(&self, what: &str, mut says: impl FnMut(&Books) -> bool) {
        let waits = async {
            loop {
                let written = self.0.written.notified();
                tokio::pin!(written);
                // Registered before the check, so that a fact recorded in between is not missed.
                written.as_mut().enable();
                if self.read(&mut says) {
                    return;
                }
                written.await;
            }
        };
        if tokio::time::timeout(PATIENCE, waits).await.is_err() {
            panic!("{what} did not come; the books hold {}", self.read(Books::summary));
        }
    }
}

/// Runs a future and the tasks that it spawns on one thread, until the future is done.
///
/// # Panics
///
/// The operating system provides no event queue.
pub fn on_one_thread<T>(what: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, what)
}
