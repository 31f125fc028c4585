//! The first content: app servers that the operators have taken out.

use std::cell::{Ref, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::ledger::Content;

/// The number of this kind.
pub const KIND: u16 = 1;
/// The longest id of an app server that is taken down, in bytes.
const LONGEST_ID: usize = 256;
/// So many bans are held.
const MOST: usize = 10_000;

/// A ban.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ban {
    /// Since when, in microseconds of Unix time, as the balancer that was told had it.
    pub since: u64,
    /// The balancer that was told.
    pub by: String,
}

/// What is written.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Change {
    /// Take it out. One that is out stays so since the first time.
    Ban {
        /// The app server's id.
        server: String,
        /// Since when, and by whom.
        ban: Ban,
    },
    /// Let it serve.
    Lift {
        /// The app server's id.
        server: String,
    },
}

/// The body of a write.
pub fn body(change: &Change) -> Vec<u8> {
    // Only a value that refuses to be serialized could fail, and these are plain.
    postcard::to_stdvec(change).unwrap_or_default()
}

/// The bans that hold, by app server.
pub type ActiveBans = BTreeMap<String, Ban>;

/// What is shown of the bans to those who act on them.
#[derive(Clone, Default)]
pub struct SharedBans(Rc<RefCell<ActiveBans>>);

impl SharedBans {
    /// The bans that hold now.
    pub fn borrow(&self) -> Ref<'_, ActiveBans> {
        self.0.borrow()
    }
}

/// The content.
#[derive(Default)]
pub struct Bans(SharedBans);

impl Bans {
    /// None yet, and where they will be shown.
    pub fn new() -> (Self, SharedBans) {
        let shown = SharedBans::default();
        (Bans(shown.clone()), shown)
    }

    /// None yet, to be shown there.
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
        let mut held = self.0.0.borrow_mut();
        match change {
            Change::Ban { server, .. } if server.len() > LONGEST_ID => {
                Err(format!("the id has over {LONGEST_ID} bytes"))
            }
            Change::Ban { server, .. } if held.contains_key(&server) => Ok(false),
            Change::Ban { .. } if held.len() >= MOST => Err(format!("{MOST} app servers are out already")),
            Change::Ban { server, ban } => Ok(held.insert(server, ban).is_none()),
            Change::Lift { server } => Ok(held.remove(&server).is_some()),
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
