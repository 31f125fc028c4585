//! What the processes of one balancer leave each other in `$TMPDIR`, the one thing that they share: bans, the
//! service table, and who lives and holds how much. `record` says what the files mean, `folder` keeps them.

mod folder;
mod record;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use gradepaddle::{Id, Micros};
use serde_json::Value;
use tokio::sync::Notify;
use tokio::time::sleep;
use tracing::{info, warn};

use crate::mail;
use crate::phase::Phase;
use crate::sockets::Budget;
use folder::{Entry, Folder};
pub use record::{Others, Table};
use record::{Process, VERSION};

/// How often the folder is looked at. A ban made elsewhere must bind here well within the grace.
const LOOK: Duration = Duration::from_millis(200);
/// While there is another process: what the one gives up the other needs at once.
const LOOK_CLOSELY: Duration = Duration::from_millis(40);
/// The longest table that is left for an heir.
const MOST_TABLE: usize = 1024 * 1024;

/// This process's side of the folder.
pub struct Handover {
    folder: Folder,
    own: String,
    entry: Entry,
    process: Cell<Process>,
    /// Told when the process claims another number of descriptors.
    changed: Notify,
    /// The balancer's descriptors, if they are shared with processes that may come.
    sockets: Option<usize>,
    /// Files of bans that were seen, and whether each was good.
    seen: RefCell<BTreeMap<String, bool>>,
    /// What went wrong last, so that it is said once.
    fault: RefCell<String>,
}

impl Handover {
    /// Enters this process. `sockets` are the balancer's descriptors, if others may come that share them.
    ///
    /// # Errors
    ///
    /// What is wrong with the folder, or that another process of this name lives, as a text for the log.
    pub fn enter(within: &Path, name: &str, sockets: Option<usize>) -> Result<Rc<Handover>, String> {
        let place = record::name("gradepaddle", name).ok_or("the balancer's name is too long")?;
        let folder = Folder::open(within, &place).map_err(|e| format!("{place}: {e}"))?;
        let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let (born, pid) = (born.as_micros() as u64, std::process::id());
        let process = Process { version: VERSION, born, pid, ready: false, claim: record::FIRST };
        let own = format!("process-{pid}-{born}");
        let entry = folder.enter(&own, &process).map_err(|e| format!("{place}/{own}: {e}"))?;
        Ok(Rc::new(Handover {
            folder,
            own,
            entry,
            process: Cell::new(process),
            changed: Notify::new(),
            sockets,
            seen: RefCell::default(),
            fault: RefCell::default(),
        }))
    }

    /// The others that live. A folder that cannot be read has none, and is named in the log.
    pub fn others(&self) -> Others {
        let live = self.folder.processes(&self.own).unwrap_or_else(|e| {
            self.say(format!("the other processes: {e}"));
            Vec::new()
        });
        Others::of(&self.process.get(), &live)
    }

    /// Says that this process can serve.
    pub fn ready(&self) {
        self.tell(Process { ready: true, ..self.process.get() });
    }

    fn tell(&self, process: Process) {
        if self.process.replace(process) != process
            && let Err(e) = self.entry.say(&process)
        {
            self.say(format!("{}: {e}", self.own));
        }
    }

    /// Waits until this process has more than its first descriptors.
    pub async fn room(&self) {
        while self.sockets.is_some() && self.process.get().claim <= record::FIRST {
            self.changed.notified().await;
        }
    }

    fn say(&self, fault: String) {
        if self.fault.replace(fault.clone()) != fault {
            warn!("handover: {fault}");
        }
    }

    /// Claims this process's part of the descriptors and keeps to it.
    pub fn share(&self, budget: &Budget, leaving: bool) -> Others {
        let others = self.others();
        let Some(sockets) = self.sockets else { return others };
        budget.limit(self.process.get().claim);
        let turn = match self.folder.turn() {
            Ok(Some(turn)) => turn,
            Ok(None) => return others,
            Err(e) => {
                self.say(format!("whose turn it is: {e}"));
                return others;
            }
        };
        let (others, process) = (self.others(), self.process.get());
        let claim = others.claim(sockets, budget.holds(), process.claim, leaving);
        // What is given up is given up before that is said, what is won used after.
        budget.limit(claim.min(process.claim));
        self.tell(Process { claim, ..process });
        budget.limit(claim);
        self.changed.notify_one();
        drop(turn);
        others
    }

    /// Writes a ban down, or takes it away. Done when this returns.
    ///
    /// # Errors
    ///
    /// Why it is not on disk, as a text for the operator; nothing has changed then.
    pub fn ban(&self, server: &Id, since: Option<Micros>) -> Result<(), String> {
        let file = record::name("ban", server).ok_or("the id is too long to be written down")?;
        if let Some(made) = since {
            let ban = record::Ban { version: VERSION, server: server.to_string(), made };
            let text = serde_json::to_vec(&ban).map_err(|e| e.to_string())?;
            self.folder.write(&file, &text).map_err(|e| format!("the ban cannot be written down: {e}"))?;
            self.seen.borrow_mut().insert(file, true);
        } else {
            self.folder.remove(&file).map_err(|e| format!("the ban cannot be taken away: {e}"))?;
            self.seen.borrow_mut().remove(&file);
        }
        Ok(())
    }

    /// The bans that have come, and since when they hold, and those that have gone since the last look: made by
    /// another process or before the start.
    pub fn bans(&self) -> Vec<(Id, Option<Micros>)> {
        let files = match self.folder.names("ban-") {
            Ok(files) => files,
            Err(e) => {
                self.say(format!("the bans: {e}"));
                return Vec::new();
            }
        };
        let (mut seen, mut changes) = (self.seen.borrow_mut(), Vec::new());
        let before = std::mem::take(&mut *seen);
        for file in files {
            let was = before.get(&file).copied();
            let read = || self.folder.read(&file).map_err(|e| e.to_string());
            let good = was == Some(true)
                || match read().and_then(|text| record::ban(&file, &text)) {
                    Ok((server, made)) => {
                        changes.push((server, Some(made)));
                        true
                    }
                    Err(why) => {
                        // One that is put right later counts from then on.
                        if was.is_none() {
                            warn!(file, "handover: not heeded, no ban of ours: {why}");
                        }
                        false
                    }
                };
            seen.insert(file, good);
        }
        for (file, _) in before.iter().filter(|(file, good)| **good && !seen.contains_key(*file)) {
            changes.extend(record::banned(file).map(|server| (server, None)));
        }
        changes
    }

    /// Leaves the service table for a process that may come.
    pub fn leave_table(&self, discovery: SocketAddr, seq: u64, hosts: Vec<Value>) {
        let table = Table { version: VERSION, discovery: discovery.to_string(), seq, hosts };
        let text = serde_json::to_vec(&table).map_err(|e| e.to_string());
        let fits = text.and_then(|text| match text.len() <= MOST_TABLE {
            true => Ok(text),
            false => Err(format!("{} bytes are too many", text.len())),
        });
        let left = fits.and_then(|text| self.folder.write("table", &text).map_err(|e| e.to_string()));
        if let Err(why) = left {
            self.say(format!("the table: {why}"));
        }
    }

    /// The service table as the last process left it, if any did.
    pub fn last_table(&self) -> Option<Table> {
        let text = match self.folder.read("table") {
            Ok(text) => text,
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => return None,
            Err(e) => {
                self.say(format!("the table: {e}"));
                return None;
            }
        };
        match serde_json::from_slice::<Table>(&text) {
            Ok(table) if table.version == VERSION => Some(table),
            Ok(table) => {
                warn!(version = table.version, "handover: table not heeded, its version is another");
                None
            }
            Err(e) => {
                warn!("handover: table not heeded: {e}");
                None
            }
        }
    }

    /// Keeps bans and shares as the others leave them, until the process ends.
    pub async fn run(self: Rc<Self>, decision: mail::Mailbox, budget: Budget, phase: Rc<Phase>) {
        loop {
            let others = self.share(&budget, phase.duty().is_leaving());
            let alone = !others.older && !others.younger;
            sleep(if alone { LOOK } else { LOOK_CLOSELY }).await;
            for (server, since) in self.bans() {
                info!(%server, out = since.is_some(), "handover: ban made or ended by another process");
                decision.heed_ban(server, since);
            }
        }
    }
}
