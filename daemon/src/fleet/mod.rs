//! The fleet's book in this process: the replicated list of bans that all balancers share. A process is either a keeper (a
//! member of the Raft group) or a reader that follows one. Off unless a fleet file is configured. Its purpose and the
//! alternatives considered are in `docs/fleet-book.md`.

mod crash_point;
mod file;
mod keeper;
mod peer_connection;
mod reader;

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use gradepaddle_book::bans::{self, ActiveBans, Ban, Bans, SharedBans};
use gradepaddle_book::{Content, Outcome, Status, Write};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};
use tracing::{info, warn};

use file::{FileError, FleetFile, KeeperAddress};
use peer_connection::{LineError, Packet, PeerConnection};

/// A write without a result is submitted again after this.
const WRITE_RETRY_AFTER: Duration = Duration::from_millis(1500);
/// How long an operator's command waits for its write.
const BAN_TIMEOUT: Duration = Duration::from_secs(4);
/// The most writes that wait at this process.
const MAX_QUEUED_WRITES: usize = 64;
/// The most different warnings that are logged, each once.
const MAX_WARNINGS: usize = 200;

/// The channel for the result of a write.
type Answers = mpsc::Sender<Packet>;

/// Why this process can't take part in the book.
#[derive(Debug, Error)]
pub enum FleetError {
    /// The fleet file is invalid.
    #[error(transparent)]
    FleetFile(#[from] FileError),
    /// This keeper can't listen at its address.
    #[error("listen: {0}: {1}; see who else listens there, or name another address in the fleet file")]
    Listen(std::net::SocketAddr, std::io::Error),
}

/// Why a write is not known to be committed.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum WriteError {
    /// It was rejected.
    #[error("the book did not take it: {0}")]
    Turned(String),
    /// There was no result in time. It is still retried.
    #[error(
        "no majority of keepers has confirmed it yet; it is tried on, so ask `book` for the revision, and see the keepers"
    )]
    Unconfirmed,
    /// Too many writes are waiting.
    #[error("{MAX_QUEUED_WRITES} writes wait already; see the keepers")]
    Busy,
}

/// The status of the book at this process, as the `book` command reports it.
#[derive(Clone, Debug, Serialize)]
pub struct View {
    /// `keeper` or `reader`.
    role: &'static str,
    /// This keeper is the leader.
    leads: bool,
    /// The leader, or for a reader the keeper that it follows.
    from: Option<String>,
    /// The last write that is applied here.
    revision: u64,
    /// Milliseconds since the last contact with a keeper that had a leader.
    age_ms: Option<u64>,
    /// The voting keepers.
    voters: Vec<String>,
    /// Keepers that are catching up and do not vote yet.
    learners: Vec<String>,
    /// A change of the voters is in progress: no other machine may be taken away until it is done.
    changing: bool,
    /// Why this keeper has stepped down.
    fault: Option<String>,
    /// The banned app servers.
    out: Vec<String>,
    #[serde(skip)]
    last_contact: Option<Instant>,
}

impl View {
    fn update_as_keeper(&mut self, status: &Status, fresh: bool) {
        (self.leads, self.from, self.revision) =
            (status.is_leader, status.leader.clone(), status.applied_index);
        (self.voters, self.learners) = (status.voters.clone(), status.learners.clone());
        self.changing = status.in_membership_change;
        if fresh {
            self.last_contact = Some(Instant::now());
        }
    }

    fn update_as_reader(&mut self, from: &str, revision: u64, fresh: bool) {
        (self.from, self.revision) = (Some(from.to_owned()), revision);
        if fresh {
            self.last_contact = Some(Instant::now());
        }
    }
}

/// What all actors of the book share.
struct Shared {
    name: String,
    file: FleetFile,
    bans: SharedBans,
    /// The number of changes of the content so far.
    changes: watch::Sender<u64>,
    view: RefCell<View>,
    random: RefCell<Pcg64Mcg>,
    warnings: RefCell<BTreeSet<String>>,
}

impl Shared {
    fn contents(&self) -> Vec<Box<dyn Content>> {
        vec![Box::new(Bans::sharing(self.bans.clone()))]
    }

    fn random_u64(&self) -> u64 {
        self.random.borrow_mut().random()
    }

    fn notify_changed(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    fn update_view(&self, change: impl FnOnce(&mut View)) {
        change(&mut self.view.borrow_mut());
    }

    /// Records why this keeper steps down; from now on this process is a reader.
    fn step_down(&self, why: &str) {
        warn!("book: this keeper steps down: {why}");
        self.update_view(|view| {
            (view.role, view.leads, view.fault) = ("reader", false, Some(why.to_owned()));
        });
    }

    /// Logs a warning, the first time that it occurs.
    fn warn_once(&self, what: String) {
        let mut warnings = self.warnings.borrow_mut();
        if warnings.len() < MAX_WARNINGS && warnings.insert(what.clone()) {
            warn!("book: {what}");
        }
    }
}

/// Connects to a keeper, and checks that it is the one that was addressed.
async fn connect(
    keeper: &KeeperAddress,
    shared: &Shared,
    within: Duration,
) -> Result<PeerConnection, LineError> {
    let stream =
        timeout(within, TcpStream::connect(keeper.address)).await.map_err(|_| LineError::Silent)??;
    let connection =
        PeerConnection::handshake(stream, shared.file.seal.clone(), &shared.name, shared.random_u64())
            .await?;
    match connection.name == keeper.name {
        true => Ok(connection),
        false => Err(LineError::Another(connection.name.clone(), keeper.name.clone())),
    }
}

type QueuedWrite = (bans::Change, oneshot::Sender<Result<Outcome, String>>);

/// A handle to the book for the rest of the daemon.
#[derive(Clone)]
pub struct Book {
    shared: Rc<Shared>,
    requests: mpsc::Sender<QueuedWrite>,
    changes: watch::Receiver<u64>,
}

impl Book {
    /// Opens the book as this fleet file configures it; a keeper listens when this returns.
    ///
    /// # Errors
    ///
    /// What keeps this process from taking part, with its remedy.
    pub async fn open(path: &Path, name: &str, seed: u64, peers: bool) -> Result<Book, FleetError> {
        if !peers {
            return Err(FileError::Forbidden.into());
        }
        let file = FleetFile::read(path, name)?;
        let (changes, changes_receiver) = watch::channel(0);
        // The ids of disks and sessions must differ between processes that are configured with the same seed.
        let clock = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let random = seed ^ (clock.as_nanos() as u64) ^ u64::from(std::process::id()).rotate_left(40);
        let own_keeper = file.own_keeper.clone();
        let view = View {
            role: if own_keeper.is_some() { "keeper" } else { "reader" },
            leads: false,
            from: None,
            revision: 0,
            age_ms: None,
            voters: Vec::new(),
            learners: Vec::new(),
            changing: false,
            fault: None,
            out: Vec::new(),
            last_contact: None,
        };
        let shared = Rc::new(Shared {
            name: name.to_owned(),
            file,
            bans: SharedBans::default(),
            changes,
            view: RefCell::new(view),
            random: RefCell::new(Pcg64Mcg::seed_from_u64(random)),
            warnings: RefCell::default(),
        });
        let (requests, queue) = mpsc::channel(MAX_QUEUED_WRITES);
        let (writes, mut write_receiver) = mpsc::channel(MAX_QUEUED_WRITES);
        let mut keeper_setup = None;
        if let Some((listen, disk)) = own_keeper {
            match keeper::open(&disk, shared.random_u64().max(1)) {
                Ok(disk) => {
                    let listener =
                        TcpListener::bind(listen).await.map_err(|e| FleetError::Listen(listen, e))?;
                    let at = listener.local_addr().map_err(|e| FleetError::Listen(listen, e))?;
                    info!(fleet_addr = %at, "book: keeper listens");
                    keeper_setup = Some((listener, disk));
                }
                // The balancer still serves, and follows the other keepers as a reader.
                Err(why) => shared.step_down(&why.to_string()),
            }
        }
        let task_shared = shared.clone();
        spawn_local(async move {
            if let Some((listener, disk)) = keeper_setup {
                keeper::run(listener, disk, task_shared.clone(), &mut write_receiver).await;
            }
            info!(keepers = task_shared.file.keepers.len(), "book: reader started");
            reader::run(task_shared, &mut write_receiver).await;
        });
        spawn_local(write_in_order(shared.clone(), queue, writes));
        Ok(Book { shared, requests, changes: changes_receiver })
    }

    /// Bans an app server at all balancers, or lifts the ban. Returns the outcome once the write is committed.
    ///
    /// # Errors
    ///
    /// The write is not known to be committed.
    pub async fn set_ban(&self, server: &str, since: Option<u64>) -> Result<Outcome, WriteError> {
        let server = server.to_owned();
        let change = match since {
            Some(since) => bans::Change::Ban { server, ban: Ban { since, by: self.shared.name.clone() } },
            None => bans::Change::Lift { server },
        };
        let (answer, response) = oneshot::channel();
        self.requests.try_send((change, answer)).map_err(|_| WriteError::Busy)?;
        match timeout(BAN_TIMEOUT, response).await {
            Ok(Ok(Ok(Outcome::Refused(why)) | Err(why))) => Err(WriteError::Turned(why)),
            Ok(Ok(Ok(outcome))) => Ok(outcome),
            Ok(Err(_)) | Err(_) => Err(WriteError::Unconfirmed),
        }
    }

    /// Calls `each` at each change of the bans, until the process ends.
    pub async fn follow(self, mut each: impl FnMut(&str, Option<u64>)) {
        let mut previous = ActiveBans::new();
        let mut changes = self.changes.clone();
        // The sender is held here, so the channel stays open.
        while changes.changed().await.is_ok() {
            let current = self.shared.bans.borrow().clone();
            current
                .iter()
                .filter(|(id, _)| !previous.contains_key(*id))
                .for_each(|(id, ban)| each(id, Some(ban.since)));
            previous.keys().filter(|id| !current.contains_key(*id)).for_each(|id| each(id, None));
            previous = current;
        }
    }

    /// Waits until the book's content is known here, for at most this long, so that a banned app server gets no request from
    /// the start.
    pub async fn wait_until_known(&self, within: Duration) {
        let mut changes = self.changes.clone();
        let _ = timeout(within, changes.wait_for(|count| *count > 0)).await;
    }

    /// The status of the book, as JSON.
    pub fn view(&self) -> String {
        let mut view = self.shared.view.borrow().clone();
        let millis = |at: Instant| u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX);
        (view.age_ms, view.out) =
            (view.last_contact.map(millis), self.shared.bans.borrow().keys().cloned().collect());
        serde_json::to_string(&view).unwrap_or_default()
    }
}

/// Submits writes one at a time, each until its result is known, so that no write overtakes an earlier one.
async fn write_in_order(
    shared: Rc<Shared>,
    mut queue: mpsc::Receiver<QueuedWrite>,
    writes: mpsc::Sender<(Write, Answers)>,
) {
    let (session, mut number) = (shared.random_u64(), 0);
    while let Some((change, answer)) = queue.recv().await {
        number += 1;
        let write = Write { session, number, kind: bans::KIND, body: bans::body(&change) };
        let result = loop {
            let (answers, mut response) = mpsc::channel(4);
            if writes.send((write.clone(), answers)).await.is_err() {
                // This keeper has stepped down.
                break Err("this keeper has stepped down; tell another balancer".to_owned());
            }
            match timeout(WRITE_RETRY_AFTER, response.recv()).await {
                Ok(Some(Packet::Done { outcome, .. })) => break Ok(outcome),
                Ok(Some(Packet::Turned { why, .. })) => break Err(why),
                // The connection ended before the result: the write is submitted again on another one.
                Ok(_) => sleep(WRITE_RETRY_AFTER / 8).await,
                Err(_) => {}
            }
        };
        // The operator may have disconnected; the result holds all the same.
        let _ = answer.send(result);
    }
}
