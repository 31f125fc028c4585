//! Stand-ins for app servers, discovery and clients, real processes of the program, links between them that can be
//! cut, and books from which every rule is judged. The design is in `docs/rig.md`.
//!
//! Everything is a task of one `LocalSet`. Times are microseconds since the books were opened.

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

/// Nothing that is waited for takes this long unless it never comes.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// The books as everyone writes and reads them.
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
    /// Microseconds since it was opened.
    pub fn now(&self) -> u64 {
        u64::try_from(self.0.opened.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// Writes down what was just seen.
    pub fn write(&self, fact: Fact) {
        self.0.books.borrow_mut().write(self.now(), fact);
        self.0.written.notify_waiters();
    }

    /// Reads them.
    pub fn read<T>(&self, read: impl FnOnce(&Books) -> T) -> T {
        read(&self.0.books.borrow())
    }

    /// Waits until they say so.
    ///
    /// # Panics
    ///
    /// After [`PATIENCE`], with what the books hold by then.
    pub async fn until(&self, what: &str, mut says: impl FnMut(&Books) -> bool) {
        let waits = async {
            loop {
                let written = self.0.written.notified();
                tokio::pin!(written);
                // Registered before the look, so that what is written in between is not missed.
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

/// Runs a rig on one thread until this is done.
///
/// # Panics
///
/// Where the system gives no event queue.
pub fn on_one_thread<T>(what: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, what)
}
