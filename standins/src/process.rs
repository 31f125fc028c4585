//! Real processes of the program under test, which can be started, paused, killed, shut down and restarted.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use tempfile::TempDir;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::sync::oneshot;
use tokio::task::spawn_local;

use crate::books::{Fact, Turn};
use crate::{Error, Ledger, PATIENCE};

/// One process. It is killed when this is dropped, also during a panic.
pub struct Process {
    /// Its number in the recorded facts.
    pub number: usize,
    /// The address at which it accepts clients.
    pub address: SocketAddr,
    /// The address for operators' calls, if it has one.
    pub door: Option<SocketAddr>,
    /// The address for the other processes of its fleet, if it is a keeper of the book.
    pub fleet: Option<SocketAddr>,
    id: Pid,
    ledger: Ledger,
    folder: TempDir,
}

impl Process {
    /// Starts the program at this path and waits until it is ready. `config` is the content of its configuration file; the
    /// program chooses the address that it listens on.
    ///
    /// # Errors
    ///
    /// Those of [`Process::start_with`].
    pub async fn start(program: &Path, number: usize, config: &Value, ledger: Ledger) -> io::Result<Process> {
        Self::start_with(program, number, config, ledger, &[]).await
    }

    /// Like [`Process::start`], with additional environment variables.
    ///
    /// # Errors
    ///
    /// Its folder or file cannot be written, the program cannot be started, or it is not ready within [`PATIENCE`].
    pub async fn start_with(
        program: &Path,
        number: usize,
        config: &Value,
        ledger: Ledger,
        more: &[(&str, String)],
    ) -> io::Result<Process> {
        let folder = tempfile::tempdir()?;
        let path: PathBuf = folder.path().join("config.json");
        std::fs::write(&path, config.to_string())?;
        let mut child = Command::new(program)
            .env_clear()
            .env("RELAY_CONFIG", &path)
            .env("TMPDIR", folder.path())
            .envs(more.iter().map(|(name, value)| (name, value)))
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        let id = child.id().and_then(|id| Pid::from_raw(id.try_into().ok()?)).ok_or(Error::NoProcessId)?;
        let output = child.stdout.take().ok_or(Error::NoOutput)?;
        let (ready_sender, ready_receiver) = oneshot::channel();
        let books = ledger.clone();
        spawn_local(follow_output(child, output, number, ready_sender, books));
        let Ok(Ok([Some(address), door, fleet])) = tokio::time::timeout(PATIENCE, ready_receiver).await
        else {
            return Err(Error::NotReady { number }.into());
        };
        Ok(Process { number, address, door, fleet, id, ledger, folder })
    }

    /// Its process id.
    pub fn id(&self) -> i32 {
        self.id.as_raw_nonzero().get()
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        // A process that has ended and was waited for must not be signalled: its process id may have been reused.
        if matches!(self.ledger.read(|books| books.last_turn(self.number)), Some(Turn::Ended(_))) {
            return Err(Error::ProcessEnded { number: self.number }.into());
        }
        Ok(kill_process(self.id, signal)?)
    }

    fn record_and_signal(&self, turn: Turn, signal: Signal) -> io::Result<()> {
        // Recorded before the signal, because requests that the signal disrupts are excused from this time on.
        self.ledger.write(Fact::Turned { process: self.number, turn });
        self.signal(signal)
    }

    /// Kills it.
    ///
    /// # Errors
    ///
    /// It has ended already, or cannot be signalled.
    pub fn kill(&self) -> io::Result<()> {
        self.record_and_signal(Turn::Killed, Signal::KILL)
    }

    /// Sends it the signal to shut down.
    ///
    /// # Errors
    ///
    /// It has ended already, or cannot be signalled.
    pub fn ask_to_end(&self) -> io::Result<()> {
        self.record_and_signal(Turn::Asked, Signal::TERM)
    }

    /// Pauses it.
    ///
    /// # Errors
    ///
    /// It has ended already, or cannot be signalled.
    pub fn pause(&self) -> io::Result<()> {
        self.record_and_signal(Turn::Paused, Signal::STOP)
    }

    /// Resumes it.
    ///
    /// # Errors
    ///
    /// It has ended already, or cannot be signalled.
    pub fn resume(&self) -> io::Result<()> {
        self.record_and_signal(Turn::Resumed, Signal::CONT)
    }

    /// Replaces its configuration file and signals it to reload the file.
    ///
    /// # Errors
    ///
    /// The file cannot be written, it has ended already, or it cannot be signalled.
    pub fn reload(&self, config: &Value) -> io::Result<()> {
        std::fs::write(self.folder.path().join("config.json"), config.to_string())?;
        self.signal(Signal::HUP)
    }

    /// Waits until it has ended.
    pub async fn ended(&self) {
        let number = self.number;
        let ended = |turn: Option<Turn>| matches!(turn, Some(Turn::Ended(_)));
        self.ledger.until("the end of a process", |books| ended(books.last_turn(number))).await;
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails if it has ended already.
        let _ = self.signal(Signal::KILL);
    }
}

/// The addresses for clients, for operators and for its fleet, as reported in its log.
type ListenAddresses = [Option<SocketAddr>; 3];

/// Reads the output of a process until it ends, then waits for its exit.
async fn follow_output(
    mut child: Child,
    output: tokio::process::ChildStdout,
    number: usize,
    ready_sender: oneshot::Sender<ListenAddresses>,
    ledger: Ledger,
) {
    let mut lines = BufReader::new(output).lines();
    let (mut ready_sender, mut addresses) = (Some(ready_sender), ListenAddresses::default());
    while let Ok(Some(line)) = lines.next_line().await {
        for (field, address) in ["listen=", "admin_addr=", "fleet_addr="].into_iter().zip(&mut addresses) {
            let text = line.split(field).nth(1).and_then(|rest| rest.split(' ').next());
            *address = address.or(text.and_then(|text| text.parse().ok()));
        }
        if line.contains(" ready ")
            && let Some(ready_sender) = ready_sender.take()
        {
            ledger.write(Fact::Turned { process: number, turn: Turn::Ready });
            // Fails if the receiver has timed out.
            let _ = ready_sender.send(addresses);
        }
    }
    let status = child.wait().await.ok().and_then(|status| status.code());
    ledger.write(Fact::Turned { process: number, turn: Turn::Ended(status) });
}
