//! Real processes of the program: started, paused, killed, asked to end, started anew.

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

/// One process. It is killed when it is dropped, also by a panic.
pub struct Process {
    /// Its number in the books.
    pub number: usize,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where operators call, if anywhere.
    pub door: Option<SocketAddr>,
    /// Where the others of its fleet reach it, if it keeps the book.
    pub fleet: Option<SocketAddr>,
    id: Pid,
    ledger: Ledger,
    folder: TempDir,
}

impl Process {
    /// Starts the program at this path and waits until it is ready. `config` is what its file holds; the address that
    /// it listens on is of its own choice.
    ///
    /// # Errors
    ///
    /// Those of [`Process::start_with`].
    pub async fn start(program: &Path, number: usize, config: &Value, ledger: Ledger) -> io::Result<Process> {
        Self::start_with(program, number, config, ledger, &[]).await
    }

    /// The same with more in its environment.
    ///
    /// # Errors
    ///
    /// Its folder or file cannot be written, the program cannot be started, or it does not get ready in [`PATIENCE`].
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
        let (says, said) = oneshot::channel();
        let books = ledger.clone();
        spawn_local(follow(child, output, number, says, books));
        let Ok(Ok([Some(address), door, fleet])) = tokio::time::timeout(PATIENCE, said).await else {
            return Err(Error::NotReady { number }.into());
        };
        Ok(Process { number, address, door, fleet, id, ledger, folder })
    }

    /// Its process id.
    pub fn id(&self) -> i32 {
        self.id.as_raw_nonzero().get()
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        // One that has ended and was waited for must not be signalled: its number may be another's by now.
        if matches!(self.ledger.read(|books| books.last_turn(self.number)), Some(Turn::Ended(_))) {
            return Err(Error::ProcessEnded { number: self.number }.into());
        }
        Ok(kill_process(self.id, signal)?)
    }

    fn turn(&self, turn: Turn, signal: Signal) -> io::Result<()> {
        // Written first: what comes of it is excused from this moment on.
        self.ledger.write(Fact::Turned { process: self.number, turn });
        self.signal(signal)
    }

    /// Kills it.
    ///
    /// # Errors
    ///
    /// It has ended already, or cannot be signalled.
    pub fn kill(&self) -> io::Result<()> {
        self.turn(Turn::Killed, Signal::KILL)
    }

    /// Asks it to end.
    ///
    /// # Errors
    ///
    /// It has ended already, or cannot be signalled.
    pub fn ask_to_end(&self) -> io::Result<()> {
        self.turn(Turn::Asked, Signal::TERM)
    }

    /// Pauses it.
    ///
    /// # Errors
    ///
    /// It has ended already, or cannot be signalled.
    pub fn pause(&self) -> io::Result<()> {
        self.turn(Turn::Paused, Signal::STOP)
    }

    /// Lets it go on.
    ///
    /// # Errors
    ///
    /// It has ended already, or cannot be signalled.
    pub fn resume(&self) -> io::Result<()> {
        self.turn(Turn::Resumed, Signal::CONT)
    }

    /// Gives it this configuration and tells it to read it.
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
        // It may have ended already, and then there is nothing to do.
        let _ = self.signal(Signal::KILL);
    }
}

/// Where it listens, where operators call, and where its fleet does, as its log names them.
type Named = [Option<SocketAddr>; 3];

/// Reads what a process says until it ends, and waits for it.
async fn follow(
    mut child: Child,
    output: tokio::process::ChildStdout,
    number: usize,
    says: oneshot::Sender<Named>,
    ledger: Ledger,
) {
    let mut lines = BufReader::new(output).lines();
    let (mut says, mut named) = (Some(says), Named::default());
    while let Ok(Some(line)) = lines.next_line().await {
        for (field, address) in ["listen=", "admin_addr=", "fleet_addr="].into_iter().zip(&mut named) {
            let text = line.split(field).nth(1).and_then(|rest| rest.split(' ').next());
            *address = address.or(text.and_then(|text| text.parse().ok()));
        }
        if line.contains(" ready ")
            && let Some(says) = says.take()
        {
            ledger.write(Fact::Turned { process: number, turn: Turn::Ready });
            // Nobody may wait for it any more.
            let _ = says.send(named);
        }
    }
    let status = child.wait().await.ok().and_then(|status| status.code());
    ledger.write(Fact::Turned { process: number, turn: Turn::Ended(status) });
}
