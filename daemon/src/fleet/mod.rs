//! The book of the fleet in this process: keeper or reader, its bans, and what it says of itself. Off unless a fleet file
//! is named. What it is for, and the ways weighed, stand in `docs/fleet-book.md`.

mod crash;
mod file;
mod keeper;
mod line;
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

use file::{File, FileError, Named};
use line::{Line, LineError, Packet};

/// A write that nothing came of is handed in again after this.
const RETRY: Duration = Duration::from_millis(1500);
/// An operator waits this long for the book.
const PATIENCE: Duration = Duration::from_secs(4);
/// So many writes wait at this process.
const QUEUE: usize = 64;
/// So many different complaints are logged; each once.
const COMPLAINTS: usize = 200;

/// Where answers to a write go.
type Answers = mpsc::Sender<Packet>;

/// Why the book can not be kept or read here.
#[derive(Debug, Error)]
pub enum FleetError {
    /// The fleet file.
    #[error(transparent)]
    File(#[from] FileError),
    /// The address where this keeper is to be reached.
    #[error("listen: {0}: {1}; see who else listens there, or name another address in the fleet file")]
    Listen(std::net::SocketAddr, std::io::Error),
}

/// Why a write is not known to hold.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum WriteError {
    /// It was turned down.
    #[error("the book did not take it: {0}")]
    Turned(String),
    /// Nothing came of it in time. It is tried on.
    #[error(
        "no majority of keepers has confirmed it yet; it is tried on, so ask `book` for the revision, and see the keepers"
    )]
    Unconfirmed,
    /// Too many wait.
    #[error("{QUEUE} writes wait already; see the keepers")]
    Busy,
}

/// What the book says of itself here.
#[derive(Clone, Debug, Serialize)]
pub struct View {
    /// `keeper` or `reader`.
    role: &'static str,
    /// It leads.
    leads: bool,
    /// The leader, or for a reader the keeper that it follows.
    from: Option<String>,
    /// Up to where the book is known here.
    revision: u64,
    /// Milliseconds since a keeper with a leader was heard.
    age_ms: Option<u64>,
    /// Keepers that count.
    voters: Vec<String>,
    /// Keepers that are being caught up.
    learners: Vec<String>,
    /// Amid a change of who counts: no further machine may be taken away.
    changing: bool,
    /// Why this keeper has stepped down.
    fault: Option<String>,
    /// App servers that are out by the book.
    out: Vec<String>,
    #[serde(skip)]
    heard: Option<Instant>,
}

impl View {
    fn stands(&mut self, status: &Status, fresh: bool) {
        (self.leads, self.from, self.revision) =
            (status.is_leader, status.leader.clone(), status.applied_index);
        (self.voters, self.learners) = (status.voters.clone(), status.learners.clone());
        self.changing = status.in_membership_change;
        if fresh {
            self.heard = Some(Instant::now());
        }
    }

    fn reads(&mut self, from: &str, revision: u64, fresh: bool) {
        (self.from, self.revision) = (Some(from.to_owned()), revision);
        if fresh {
            self.heard = Some(Instant::now());
        }
    }
}

/// What all actors of the book share.
struct Common {
    name: String,
    file: File,
    bans: SharedBans,
    /// What was there of the content at the last telling.
    changes: watch::Sender<u64>,
    view: RefCell<View>,
    random: RefCell<Pcg64Mcg>,
    complaints: RefCell<BTreeSet<String>>,
}

impl Common {
    fn contents(&self) -> Vec<Box<dyn Content>> {
        vec![Box::new(Bans::sharing(self.bans.clone()))]
    }

    fn draw(&self) -> u64 {
        self.random.borrow_mut().random()
    }

    fn changed(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    fn say(&self, change: impl FnOnce(&mut View)) {
        change(&mut self.view.borrow_mut());
    }

    /// This keeper does not go on, for this reason; it reads from now on.
    fn steps_down(&self, why: &str) {
        warn!("book: this keeper steps down: {why}");
        self.say(|view| {
            (view.role, view.leads, view.fault) = ("reader", false, Some(why.to_owned()));
        });
    }

    /// Logs a complaint, the first time that it comes up.
    fn once(&self, what: String) {
        let mut complaints = self.complaints.borrow_mut();
        if complaints.len() < COMPLAINTS && complaints.insert(what.clone()) {
            warn!("book: {what}");
        }
    }
}

/// Dials a keeper and meets it.
async fn reach(named: &Named, common: &Common, within: Duration) -> Result<Line, LineError> {
    let stream =
        timeout(within, TcpStream::connect(named.address)).await.map_err(|_| LineError::Silent)??;
    let line = Line::meet(stream, common.file.seal.clone(), &common.name, common.draw()).await?;
    match line.name == named.name {
        true => Ok(line),
        false => Err(LineError::Another(line.name.clone(), named.name.clone())),
    }
}

type Asked = (bans::Change, oneshot::Sender<Result<Outcome, String>>);

/// The book, as the rest of the daemon sees it.
#[derive(Clone)]
pub struct Book {
    common: Rc<Common>,
    asks: mpsc::Sender<Asked>,
    changes: watch::Receiver<u64>,
}

impl Book {
    /// Opens the book by this file; a keeper listens when this returns.
    ///
    /// # Errors
    ///
    /// What keeps this process from taking part, with its remedy.
    pub async fn open(path: &Path, name: &str, seed: u64, peers: bool) -> Result<Book, FleetError> {
        if !peers {
            return Err(FileError::Forbidden.into());
        }
        let file = File::read(path, name)?;
        let (changes, seen) = watch::channel(0);
        // Numbers of disks and sessions must differ between processes that were given the same seed.
        let clock = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let random = seed ^ (clock.as_nanos() as u64) ^ u64::from(std::process::id()).rotate_left(40);
        let keeps = file.keeps.clone();
        let view = View {
            role: if keeps.is_some() { "keeper" } else { "reader" },
            leads: false,
            from: None,
            revision: 0,
            age_ms: None,
            voters: Vec::new(),
            learners: Vec::new(),
            changing: false,
            fault: None,
            out: Vec::new(),
            heard: None,
        };
        let common = Rc::new(Common {
            name: name.to_owned(),
            file,
            bans: SharedBans::default(),
            changes,
            view: RefCell::new(view),
            random: RefCell::new(Pcg64Mcg::seed_from_u64(random)),
            complaints: RefCell::default(),
        });
        let (asks, asked) = mpsc::channel(QUEUE);
        let (writes, mut given) = mpsc::channel(QUEUE);
        let mut keeps_with = None;
        if let Some((listen, disk)) = keeps {
            match keeper::open(&disk, common.draw().max(1)) {
                Ok(disk) => {
                    let listener =
                        TcpListener::bind(listen).await.map_err(|e| FleetError::Listen(listen, e))?;
                    let at = listener.local_addr().map_err(|e| FleetError::Listen(listen, e))?;
                    info!(fleet_addr = %at, "book: keeper listens");
                    keeps_with = Some((listener, disk));
                }
                // The balancer serves all the same, by what the other keepers tell.
                Err(why) => common.steps_down(&why.to_string()),
            }
        }
        let of = common.clone();
        spawn_local(async move {
            if let Some((listener, disk)) = keeps_with {
                keeper::run(listener, disk, of.clone(), &mut given).await;
            }
            info!(keepers = of.file.keepers.len(), "book: reader");
            reader::run(of, &mut given).await;
        });
        spawn_local(write_in_turn(common.clone(), asked, writes));
        Ok(Book { common, asks, changes: seen })
    }

    /// Takes an app server out for all balancers, or lets it serve. The outcome once it holds.
    ///
    /// # Errors
    ///
    /// It is not known to hold.
    pub async fn ban(&self, server: &str, since: Option<u64>) -> Result<Outcome, WriteError> {
        let server = server.to_owned();
        let change = match since {
            Some(since) => bans::Change::Ban { server, ban: Ban { since, by: self.common.name.clone() } },
            None => bans::Change::Lift { server },
        };
        let (answer, answered) = oneshot::channel();
        self.asks.try_send((change, answer)).map_err(|_| WriteError::Busy)?;
        match timeout(PATIENCE, answered).await {
            Ok(Ok(Ok(Outcome::Refused(why)) | Err(why))) => Err(WriteError::Turned(why)),
            Ok(Ok(Ok(outcome))) => Ok(outcome),
            Ok(Err(_)) | Err(_) => Err(WriteError::Unconfirmed),
        }
    }

    /// Hands each change of the bans on, for as long as the process lasts.
    pub async fn follow(self, mut each: impl FnMut(&str, Option<u64>)) {
        let mut held = ActiveBans::new();
        let mut changes = self.changes.clone();
        // It lasts as long as its sender, which is held here.
        while changes.changed().await.is_ok() {
            let now = self.common.bans.borrow().clone();
            now.iter()
                .filter(|(id, _)| !held.contains_key(*id))
                .for_each(|(id, ban)| each(id, Some(ban.since)));
            held.keys().filter(|id| !now.contains_key(*id)).for_each(|id| each(id, None));
            held = now;
        }
    }

    /// Waits until the book was told here, this long at most: an app server that is out gets nothing from the start.
    pub async fn told(&self, within: Duration) {
        let mut changes = self.changes.clone();
        let _ = timeout(within, changes.wait_for(|count| *count > 0)).await;
    }

    /// What it says of itself, as JSON.
    pub fn view(&self) -> String {
        let mut view = self.common.view.borrow().clone();
        let millis = |at: Instant| u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX);
        (view.age_ms, view.out) =
            (view.heard.map(millis), self.common.bans.borrow().keys().cloned().collect());
        serde_json::to_string(&view).unwrap_or_default()
    }
}

/// Hands writes in one after the other, each until it is known what came of it: a later one must not overtake.
async fn write_in_turn(
    common: Rc<Common>,
    mut asked: mpsc::Receiver<Asked>,
    writes: mpsc::Sender<(Write, Answers)>,
) {
    let (session, mut number) = (common.draw(), 0);
    while let Some((change, answer)) = asked.recv().await {
        number += 1;
        let write = Write { session, number, kind: bans::KIND, body: bans::body(&change) };
        let came = loop {
            let (answers, mut answered) = mpsc::channel(4);
            if writes.send((write.clone(), answers)).await.is_err() {
                // This keeper has stepped down.
                break Err("this keeper has stepped down; tell another balancer".to_owned());
            }
            match timeout(RETRY, answered.recv()).await {
                Ok(Some(Packet::Done { outcome, .. })) => break Ok(outcome),
                Ok(Some(Packet::Turned { why, .. })) => break Err(why),
                // The connection ended under it: another is tried.
                Ok(_) => sleep(RETRY / 8).await,
                Err(_) => {}
            }
        };
        // The operator may have gone; it holds all the same.
        let _ = answer.send(came);
    }
}
