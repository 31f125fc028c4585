//! What the processes of one balancer hand over to each other in `$TMPDIR`, the only thing that they share: bans, the service
//! table, and which processes run and how many descriptors each claims. [`record`] defines the content of the files,
//! [`shared_directory`] stores them.

mod record;
mod shared_directory;

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

use crate::descriptor_budget::DescriptorBudget;
use crate::dispatch_handle::DispatchHandle;
use crate::lifecycle::Lifecycle;
pub use record::{OtherProcesses, Table};
use record::{Process, VERSION};
use shared_directory::{ProcessFile, SharedDirectory};

/// The interval at which the directory is read. A ban made by another process must apply here well within the grace.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// The interval while there is another process: it needs descriptors as soon as this one releases them.
const SHARED_POLL_INTERVAL: Duration = Duration::from_millis(40);
/// The size limit in bytes of a table that is stored for a successor.
const MAX_TABLE: usize = 1024 * 1024;

/// This process's view of the shared directory.
pub struct Handover {
    directory: SharedDirectory,
    own_name: String,
    own_file: ProcessFile,
    process: Cell<Process>,
    /// Notified when the process claims another number of descriptors.
    changed: Notify,
    /// The descriptors of the balancer, if they are shared with other processes.
    descriptors: Option<usize>,
    /// The ban files that were seen, and whether each was valid.
    seen: RefCell<BTreeMap<String, bool>>,
    /// The last error, so that it is logged only once.
    last_error: RefCell<String>,
}

impl Handover {
    /// Adds this process to the directory. `descriptors` is the limit of the balancer, if it is shared with other processes.
    ///
    /// # Errors
    ///
    /// What is wrong with the directory, or that another process of this name runs, as a text for the log.
    pub fn join(parent: &Path, name: &str, descriptors: Option<usize>) -> Result<Rc<Handover>, String> {
        let place = record::file_name("gradepaddle", name).ok_or("the balancer's name is too long")?;
        let directory = SharedDirectory::open(parent, &place).map_err(|e| format!("{place}: {e}"))?;
        let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let (born, pid) = (born.as_micros() as u64, std::process::id());
        let process = Process { version: VERSION, born, pid, ready: false, claim: record::INITIAL_CLAIM };
        let own_name = format!("process-{pid}-{born}");
        let own_file =
            directory.add_process(&own_name, &process).map_err(|e| format!("{place}/{own_name}: {e}"))?;
        Ok(Rc::new(Handover {
            directory,
            own_name,
            own_file,
            process: Cell::new(process),
            changed: Notify::new(),
            descriptors,
            seen: RefCell::default(),
            last_error: RefCell::default(),
        }))
    }

    /// The other running processes. If the directory can't be read, there are none and the error is logged.
    pub fn others(&self) -> OtherProcesses {
        let running = self.directory.processes(&self.own_name).unwrap_or_else(|e| {
            self.log_once(format!("reading the other processes failed: {e}"));
            Vec::new()
        });
        OtherProcesses::of(&self.process.get(), &running)
    }

    /// Publishes that this process can serve.
    pub fn set_ready(&self) {
        self.publish(Process { ready: true, ..self.process.get() });
    }

    fn publish(&self, process: Process) {
        if self.process.replace(process) != process
            && let Err(e) = self.own_file.write(&process)
        {
            self.log_once(format!("{}: {e}", self.own_name));
        }
    }

    /// Waits until this process has claimed more than its initial descriptors.
    pub async fn room(&self) {
        while self.descriptors.is_some() && self.process.get().claim <= record::INITIAL_CLAIM {
            self.changed.notified().await;
        }
    }

    fn log_once(&self, error: String) {
        if self.last_error.replace(error.clone()) != error {
            warn!("handover: {error}");
        }
    }

    /// Claims this process's share of the descriptors and limits the budget to it.
    pub fn share(&self, budget: &DescriptorBudget, terminating: bool) -> OtherProcesses {
        let others = self.others();
        let Some(descriptors) = self.descriptors else { return others };
        budget.set_limit(self.process.get().claim);
        let lock = match self.directory.try_lock() {
            Ok(Some(lock)) => lock,
            Ok(None) => return others,
            Err(e) => {
                self.log_once(format!("locking the claims failed: {e}"));
                return others;
            }
        };
        let (others, process) = (self.others(), self.process.get());
        let claim = others.claim(descriptors, budget.held(), process.claim, terminating);
        // Descriptors are given up before the smaller claim is published, and used after the larger one is.
        budget.set_limit(claim.min(process.claim));
        self.publish(Process { claim, ..process });
        budget.set_limit(claim);
        self.changed.notify_one();
        drop(lock);
        others
    }

    /// Stores a ban, or removes it. It is on disk when this returns.
    ///
    /// # Errors
    ///
    /// Why it is not on disk, as a text for the operator; nothing has changed then.
    pub fn store_ban(&self, server: &Id, since: Option<Micros>) -> Result<(), String> {
        let file = record::file_name("ban", server).ok_or("the id is too long to be written down")?;
        if let Some(made) = since {
            let ban = record::Ban { version: VERSION, server: server.to_string(), made };
            let text = serde_json::to_vec(&ban).map_err(|e| e.to_string())?;
            self.directory.write(&file, &text).map_err(|e| format!("the ban cannot be written down: {e}"))?;
            self.seen.borrow_mut().insert(file, true);
        } else {
            self.directory.remove(&file).map_err(|e| format!("the ban cannot be taken away: {e}"))?;
            self.seen.borrow_mut().remove(&file);
        }
        Ok(())
    }

    /// The bans that were made or lifted since the last call, by another process or before the start, with the time since which
    /// each one holds, or none if it was lifted.
    pub fn ban_changes(&self) -> Vec<(Id, Option<Micros>)> {
        let files = match self.directory.names("ban-") {
            Ok(files) => files,
            Err(e) => {
                self.log_once(format!("listing the bans failed: {e}"));
                return Vec::new();
            }
        };
        let (mut seen, mut changes) = (self.seen.borrow_mut(), Vec::new());
        let before = std::mem::take(&mut *seen);
        for file in files {
            let was = before.get(&file).copied();
            let read = || self.directory.read(&file).map_err(|e| e.to_string());
            let valid = was == Some(true)
                || match read().and_then(|text| record::parse_ban(&file, &text)) {
                    Ok((server, made)) => {
                        changes.push((server, Some(made)));
                        true
                    }
                    Err(why) => {
                        // Read again at each call: a file that is repaired later applies from then on.
                        if was.is_none() {
                            warn!(file, "handover: invalid ban file ignored: {why}");
                        }
                        false
                    }
                };
            seen.insert(file, valid);
        }
        for (file, _) in before.iter().filter(|(file, valid)| **valid && !seen.contains_key(*file)) {
            changes.extend(record::server_of_ban_file(file).map(|server| (server, None)));
        }
        changes
    }

    /// Stores the service table for a successor process.
    pub fn store_table(&self, discovery: SocketAddr, seq: u64, hosts: Vec<Value>) {
        let table = Table { version: VERSION, discovery: discovery.to_string(), seq, hosts };
        let text = serde_json::to_vec(&table).map_err(|e| e.to_string());
        let checked = text.and_then(|text| match text.len() <= MAX_TABLE {
            true => Ok(text),
            false => Err(format!("{} bytes, but the limit is {MAX_TABLE}", text.len())),
        });
        let stored = checked.and_then(|text| self.directory.write("table", &text).map_err(|e| e.to_string()));
        if let Err(why) = stored {
            self.log_once(format!("storing the table failed: {why}"));
        }
    }

    /// The service table that the previous process has stored, if any did.
    pub fn stored_table(&self) -> Option<Table> {
        let text = match self.directory.read("table") {
            Ok(text) => text,
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => return None,
            Err(e) => {
                self.log_once(format!("reading the table failed: {e}"));
                return None;
            }
        };
        match serde_json::from_slice::<Table>(&text) {
            Ok(table) if table.version == VERSION => Some(table),
            Ok(table) => {
                warn!(version = table.version, "handover: table ignored: unsupported version");
                None
            }
            Err(e) => {
                warn!("handover: table ignored: {e}");
                None
            }
        }
    }

    /// Applies the bans of other processes and updates the share of descriptors, until the process ends.
    pub async fn run(
        self: Rc<Self>,
        dispatch: DispatchHandle,
        budget: DescriptorBudget,
        lifecycle: Rc<Lifecycle>,
    ) {
        loop {
            let others = self.share(&budget, lifecycle.state().is_terminating());
            let alone = !others.older && !others.younger;
            sleep(if alone { POLL_INTERVAL } else { SHARED_POLL_INTERVAL }).await;
            for (server, since) in self.ban_changes() {
                info!(%server, out = since.is_some(), "handover: ban made or ended by another process");
                dispatch.apply_ban(server, since);
            }
        }
    }
}
