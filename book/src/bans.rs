//! The first kind of content: app servers that the operators have banned.

use std::cell::{Ref, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::ledger::Content;

/// The number of this kind of content.
pub const KIND: u16 = 1;
/// The longest app server id that can be banned, in bytes.
const MAX_ID_BYTES: usize = 256;
/// So many bans are bans.
const MAX_BANS: usize = 10_000;

/// A ban.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ban {
    /// Since when, in microseconds of Unix time, by the clock of the balancer that received the command.
    pub since: u64,
    /// The balancer that received the command.
    pub by: String,
}

/// A change to the bans: the body of a write.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Change {
    /// Ban an app server. If it is banned already, the first ban stays.
    Ban {
        /// The app server's id.
        server: String,
        /// The ban.
        ban: Ban,
    },
    /// End the ban of an app server.
    Lift {
        /// The app server's id.
        server: String,
    },
}

/// Encodes a change as the body of a write.
pub fn body(change: &Change) -> Vec<u8> {
    // Cannot fail: only custom serializers return errors, and these types derive theirs.
    postcard::to_stdvec(change).unwrap_or_default()
}

/// The bans in force, by app server.
pub type ActiveBans = BTreeMap<String, Ban>;

/// Shared read access to the bans in force.
#[derive(Clone, Default)]
pub struct SharedBans(Rc<RefCell<ActiveBans>>);

impl SharedBans {
    /// The bans in force now.
    pub fn borrow(&self) -> Ref<'_, ActiveBans> {
        self.0.borrow()
    }
}

/// The content that applies changes to the bans.
#[derive(Default)]
pub struct Bans(SharedBans);

impl Bans {
    /// Creates it without bans, and returns read access to them.
    pub fn new() -> (Self, SharedBans) {
        let shown = SharedBans::default();
        (Bans(shown.clone()), shown)
    }

    /// Creates it without bans, on existing shared access, which is cleared.
    pub fn sharing(shown: SharedBans) -> Self {
        shown.0.borrow_mut().clear();
        Bans(shown)
    }
}

impl Content for Bans {
    fn kind(&self) -> u16 {
        KIND
    }

    fn apply(&mut self, body: &[u8]) -> Result<bool, String> {
        let change = postcard::from_bytes(body).map_err(|e| format!("no ban can be read from it: {e}"))?;
        let mut bans = self.0.0.borrow_mut();
        match change {
            Change::Ban { server, .. } if server.len() > MAX_ID_BYTES => {
                Err(format!("the id has over {MAX_ID_BYTES} bytes"))
            }
            Change::Ban { server, .. } if bans.contains_key(&server) => Ok(false),
            Change::Ban { .. } if bans.len() >= MAX_BANS => {
                Err(format!("{MAX_BANS} app servers are out already"))
            }
            Change::Ban { server, ban } => Ok(bans.insert(server, ban).is_none()),
            Change::Lift { server } => Ok(bans.remove(&server).is_some()),
        }
    }

    fn save(&self) -> Vec<u8> {
        postcard::to_stdvec(&*self.0.borrow()).unwrap_or_default()
    }

    fn load(&mut self, saved: &[u8]) -> Result<(), String> {
        *self.0.0.borrow_mut() = postcard::from_bytes(saved).map_err(|e| e.to_string())?;
        Ok(())
    }
}
