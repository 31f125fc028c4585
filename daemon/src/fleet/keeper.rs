//! Runs a keeper: an actor around the Raft core, a task for each other keeper, a task for each incoming connection, and a
//! thread that writes to the disk.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use gradepaddle_book::store::{Batch, Disk, StoreError};
use gradepaddle_book::{
    Hello, Keeper, KeeperId, LedgerError, Message, MessageError, Output, PersistentState, Timing, Write,
    initial_batch,
};
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval, sleep};
use tracing::info;

use super::crash_point::CrashPoint;
use super::file::KeeperAddress;
use super::peer_connection::{HEARTBEAT_INTERVAL, LineError, Packet, PeerConnection};
use super::{Answers, Shared};

/// The interval of the Raft core's ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The most packets that wait for one connection. Beyond that, Raft messages are dropped, as they are sent again, and a reader
/// is disconnected.
const QUEUE_LENGTH: usize = 256;
/// The timeout of a connect, and the delay before the next one.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
const RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// An event for the actor.
enum Event {
    /// Another keeper has sent its hello.
    PeerHello(Hello),
    /// A Raft message.
    Message(Box<Message>),
    /// The disk has written all batches up to this number, or has failed.
    Kept(Result<u64, StoreError>),
    /// A write is submitted.
    Write(Write, Answers),
    /// A reader follows this keeper.
    Follow(Answers),
}

/// Why a keeper steps down.
#[derive(Debug, Error)]
pub enum StepDown {
    /// Its disk can't be trusted.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The saved ledger can't be used.
    #[error(transparent)]
    Ledger(#[from] LedgerError),
    /// The other keepers know of more than its disk holds.
    #[error(transparent)]
    Message(MessageError),
    /// Another disk has replaced it under its name.
    #[error(
        "this keeper's disk was replaced by another under its name; move the file away and start this balancer anew"
    )]
    Replaced,
}

/// Queues a packet for a connection; false if the queue is full or closed.
fn try_send(to: &Answers, packet: Packet) -> bool {
    to.try_send(packet).is_ok()
}

struct Actor {
    keeper: Keeper,
    shared: Rc<Shared>,
    crash_point: CrashPoint,
    empty_disk: bool,
    own_hello: Rc<RefCell<Hello>>,
    has_leader: Rc<Cell<bool>>,
    hellos: BTreeMap<String, Hello>,
    peers: BTreeMap<String, mpsc::Sender<Packet>>,
    ids: BTreeMap<KeeperId, String>,
    waiting: BTreeMap<(u64, u64), Answers>,
    readers: Vec<Answers>,
    disk: std::sync::mpsc::Sender<Batch>,
}

/// Runs the keeper until it steps down; does not return otherwise.
pub async fn run(
    listener: TcpListener,
    disk: (Disk, PersistentState),
    shared: Rc<Shared>,
    writes: &mut mpsc::Receiver<(Write, Answers)>,
) -> StepDown {
    let why = run_actor(listener, disk, shared.clone(), writes).await;
    shared.step_down(&why.to_string());
    why
}

/// Opens a keeper's disk, or creates one with this id.
///
/// # Errors
///
/// [`StoreError`] if the disk fails, or what is on it can't be read.
pub fn open(path: &Path, new_id: KeeperId) -> Result<(Disk, PersistentState), StoreError> {
    Disk::open(path, new_id)
}

async fn run_actor(
    listener: TcpListener,
    (disk, kept): (Disk, PersistentState),
    shared: Rc<Shared>,
    writes: &mut mpsc::Receiver<(Write, Answers)>,
) -> StepDown {
    let empty_disk = kept.is_empty();
    let names: Vec<String> = shared.file.keepers.iter().map(|keeper| keeper.name.clone()).collect();
    let keeper = Keeper::new(names.clone(), kept, shared.contents(), Timing::default(), shared.random_u64());
    let keeper = match keeper {
        Ok(keeper) => keeper,
        Err(why) => return why.into(),
    };
    info!(
        id = format!("{:x}", keeper.id()),
        blank = empty_disk,
        applied = keeper.ledger().index(),
        "book: keeper started"
    );
    let (events, mut event_receiver) = mpsc::channel(4 * QUEUE_LENGTH);
    let own_hello = Rc::new(RefCell::new(keeper.hello(&shared.name)));
    let has_leader = Rc::new(Cell::new(false));
    // The tasks end with the actor: a keeper that has stepped down has no peers.
    let mut tasks = JoinSet::new();
    let mut peers = BTreeMap::new();
    for peer in shared.file.keepers.iter().filter(|peer| peer.name != shared.name) {
        let (sender, packets) = mpsc::channel(QUEUE_LENGTH);
        peers.insert(peer.name.clone(), sender);
        tasks.spawn_local(run_peer(peer.clone(), shared.clone(), own_hello.clone(), packets, events.clone()));
    }
    tasks.spawn_local(accept(
        listener,
        shared.clone(),
        own_hello.clone(),
        has_leader.clone(),
        events.clone(),
    ));
    let mut actor = Actor {
        keeper,
        shared,
        crash_point: CrashPoint::from_env(),
        empty_disk,
        own_hello,
        has_leader,
        hellos: BTreeMap::new(),
        peers,
        ids: BTreeMap::new(),
        waiting: BTreeMap::new(),
        readers: Vec::new(),
        disk: spawn_disk_thread(disk, events),
    };
    if actor.keeper.ledger().index() > 0 {
        // The content of the disk is known before there is any connection.
        actor.shared.notify_changed();
    }
    let mut ticks = interval(TICK_INTERVAL);
    // After the process was paused, missed ticks are not made up for.
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    actor.execute_outputs();
    loop {
        let step = tokio::select! {
            biased;
            _ = ticks.tick() => actor.tick(),
            event = event_receiver.recv() => match event {
                Some(event) => actor.handle_event(event),
                // The disk thread holds a sender, so the channel stays open.
                None => Ok(()),
            },
            Some((write, answers)) = writes.recv() => {
                actor.write(write, answers);
                Ok(())
            }
        };
        actor.execute_outputs();
        if let Err(why) = step {
            return why;
        }
        if let Some(why) = actor.keeper.fault() {
            return why.clone().into();
        }
        if actor.keeper.is_removed() {
            return StepDown::Replaced;
        }
    }
}

/// Starts a thread that writes batches to the disk in order, so that serving requests never waits for the disk.
fn spawn_disk_thread(mut disk: Disk, events: mpsc::Sender<Event>) -> std::sync::mpsc::Sender<Batch> {
    let (batches, received_batches) = std::sync::mpsc::channel::<Batch>();
    std::thread::spawn(move || {
        for batch in received_batches {
            let kept = disk.write(&batch).map(|()| batch.number);
            let failed = kept.is_err();
            if events.blocking_send(Event::Kept(kept)).is_err() || failed {
                return;
            }
        }
    });
    batches
}

impl Actor {
    fn tick(&mut self) -> Result<(), StepDown> {
        self.keeper.tick();
        let status = self.keeper.status();
        self.has_leader.set(status.is_leader || status.leader.is_some());
        self.shared.update_view(|view| view.update_as_keeper(&status, self.has_leader.get()));
        self.bootstrap_if_due();
        Ok(())
    }

    /// The first keeper of the fleet file founds the book once all others have reported that they know of none.
    fn bootstrap_if_due(&mut self) {
        let keepers = &self.shared.file.keepers;
        let is_first = keepers.first().is_some_and(|first| first.name == self.shared.name);
        let has_no_book =
            |other: &KeeperAddress| self.hellos.get(&other.name).is_some_and(|hello| hello.book.is_none());
        if !self.empty_disk
            || !is_first
            || self.keeper.ledger().index() > 0
            || !keepers[1..].iter().all(has_no_book)
        {
            return;
        }
        let id = self.keeper.id();
        let batch = initial_batch(id, &self.shared.name, self.shared.contents());
        let mut kept = PersistentState { id, ..PersistentState::default() };
        kept.apply(&batch);
        let names = keepers.iter().map(|keeper| keeper.name.clone()).collect();
        // The founding batch is written before anything else, so no other keeper can learn of a book that is not on the disk.
        let keeper =
            Keeper::new(names, kept, self.shared.contents(), Timing::default(), self.shared.random_u64());
        if let Ok(keeper) = keeper {
            info!(id = format!("{id:x}"), "book: founded");
            self.keeper = keeper;
            self.empty_disk = false;
            self.store(batch);
        }
    }

    fn handle_event(&mut self, event: Event) -> Result<(), StepDown> {
        match event {
            Event::PeerHello(hello) => {
                if self.keeper.peer_seen(&hello) {
                    self.ids.insert(hello.id, hello.name.clone());
                    self.hellos.insert(hello.name.clone(), hello);
                } else {
                    self.shared.warn_once(format!(
                        "{} keeps another book; empty the disk of one of the two",
                        hello.name
                    ));
                }
            }
            Event::Message(message) => match self.keeper.receive(&message) {
                Ok(()) | Err(MessageError::ForAnother(_)) => {}
                Err(why @ MessageError::OldDisk { .. }) => return Err(StepDown::Message(why)),
                Err(why) => self.shared.warn_once(why.to_string()),
            },
            Event::Kept(Ok(number)) => {
                self.reach_crash_point("after-disk");
                self.keeper.persisted(number);
            }
            Event::Kept(Err(why)) => return Err(why.into()),
            Event::Write(write, answers) => self.write(write, answers),
            Event::Follow(answers) => {
                if try_send(&answers, Packet::Whole(self.keeper.ledger().save())) {
                    self.readers.push(answers);
                }
            }
        }
        Ok(())
    }

    fn write(&mut self, write: Write, answers: Answers) {
        let (session, number) = (write.session, write.number);
        self.waiting.retain(|_, answers| !answers.is_closed());
        self.waiting.insert((session, number), answers.clone());
        if let Err(why) = self.keeper.write(write) {
            self.waiting.remove(&(session, number));
            // The connection may have ended.
            try_send(&answers, Packet::Turned { number, why: why.to_string() });
        }
    }

    fn reach_crash_point(&self, point: &str) {
        if self.keeper.status().is_leader {
            self.crash_point.reached(point);
        }
    }

    fn store(&self, batch: Batch) {
        self.reach_crash_point("before-disk");
        // The thread ends only after a failure, which it has reported.
        let _ = self.disk.send(batch);
    }

    fn execute_outputs(&mut self) {
        for output in self.keeper.outputs() {
            match output {
                Output::Send(message) => {
                    let peer = self.ids.get(&message.to).and_then(|name| self.peers.get(name));
                    // Dropped if the queue is full: Raft sends it again.
                    let _ = peer.map(|peer| peer.try_send(Packet::Consensus(Box::new(message))));
                }
                Output::Persist(batch) => self.store(batch),
                Output::Applied { index, write } => {
                    let applied = Packet::Applied { index, write };
                    self.readers.retain(|reader| try_send(reader, applied.clone()));
                    self.shared.notify_changed();
                }
                Output::WriteDone { session, number, outcome } => {
                    // The keeper that received the write answers, whether it leads or not.
                    self.crash_point.reached("before-answer");
                    if let Some(answers) = self.waiting.remove(&(session, number)) {
                        try_send(&answers, Packet::Done { number, outcome });
                    }
                }
                Output::LedgerReplaced => {
                    let whole = Packet::Whole(self.keeper.ledger().save());
                    self.readers.retain(|reader| try_send(reader, whole.clone()));
                    self.shared.notify_changed();
                }
            }
        }
        *self.own_hello.borrow_mut() = self.keeper.hello(&self.shared.name);
    }
}

/// Keeps a connection to another keeper open, and sends it the packets that are queued for it.
async fn run_peer(
    peer: KeeperAddress,
    shared: Rc<Shared>,
    own_hello: Rc<RefCell<Hello>>,
    mut packets: mpsc::Receiver<Packet>,
    events: mpsc::Sender<Event>,
) {
    loop {
        if let Err(why) = peer_session(&peer, &shared, &own_hello, &mut packets, &events).await {
            shared.warn_once(format!("keeper {}: {why}", peer.name));
        }
        sleep(RECONNECT_DELAY).await;
    }
}

async fn peer_session(
    peer: &KeeperAddress,
    shared: &Shared,
    own_hello: &Rc<RefCell<Hello>>,
    packets: &mut mpsc::Receiver<Packet>,
    events: &mpsc::Sender<Event>,
) -> Result<(), LineError> {
    let mut connection = super::connect(peer, shared, CONNECT_TIMEOUT).await?;
    // Packets queued while there was no connection are outdated.
    while packets.try_recv().is_ok() {}
    let hello = own_hello.borrow().clone();
    connection.send(&Packet::Hello(hello)).await?;
    let mut heartbeat = interval(HEARTBEAT_INTERVAL);
    loop {
        tokio::select! {
            biased;
            received = connection.receive() => if let Packet::Hello(hello) = received? {
                handle_hello(&connection.name, hello, events).await;
            },
            _ = heartbeat.tick() => {
                let hello = own_hello.borrow().clone();
                connection.send(&Packet::Hello(hello)).await?;
            }
            packet = packets.recv() => match packet {
                Some(packet) => connection.send(&packet).await?,
                None => return Ok(()),
            },
        }
    }
}

/// Passes on a hello, if the keeper at the other end speaks for itself.
async fn handle_hello(name: &str, hello: Hello, events: &mpsc::Sender<Event>) {
    if hello.name == name {
        let _ = events.send(Event::PeerHello(hello)).await;
    }
}

async fn accept(
    listener: TcpListener,
    shared: Rc<Shared>,
    own_hello: Rc<RefCell<Hello>>,
    has_leader: Rc<Cell<bool>>,
    events: mpsc::Sender<Event>,
) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                shared.warn_once(format!("accepting a connection failed: {e}; see the limit on descriptors"));
                sleep(RECONNECT_DELAY).await;
                continue;
            }
        };
        let (shared, own_hello, has_leader, events) =
            (shared.clone(), own_hello.clone(), has_leader.clone(), events.clone());
        connections.spawn_local(async move {
            match serve_connection(stream, &shared, &own_hello, &has_leader, &events).await {
                Ok(()) | Err(LineError::Ended | LineError::Broken(_)) => {}
                Err(why) => shared.warn_once(format!("incoming connection: {why}")),
            }
        });
    }
}

/// Serves an incoming connection, of another keeper or of a reader.
async fn serve_connection(
    stream: TcpStream,
    shared: &Shared,
    own_hello: &Rc<RefCell<Hello>>,
    has_leader: &Cell<bool>,
    events: &mpsc::Sender<Event>,
) -> Result<(), LineError> {
    let mut connection =
        PeerConnection::handshake(stream, shared.file.seal.clone(), &shared.name, shared.random_u64())
            .await?;
    let is_keeper = shared.file.keepers.iter().any(|keeper| keeper.name == connection.name);
    let (answers, mut answer_receiver) = mpsc::channel(QUEUE_LENGTH);
    let mut applied_receiver: Option<mpsc::Receiver<Packet>> = None;
    let mut heartbeat = interval(HEARTBEAT_INTERVAL);
    loop {
        let applied = async {
            match &mut applied_receiver {
                Some(applied) => applied.recv().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            // The sender is held here, so the channel stays open.
            Some(packet) = answer_receiver.recv() => connection.send(&packet).await?,
            packet = applied => match packet {
                Some(packet) => connection.send(&packet).await?,
                // The reader was too slow and was dropped; it connects again.
                None => return Err(LineError::Silent),
            },
            _ = heartbeat.tick() => {
                let packet = match is_keeper {
                    true => Packet::Hello(own_hello.borrow().clone()),
                    false => Packet::Pulse { fresh: has_leader.get() },
                };
                connection.send(&packet).await?;
            }
            received = connection.receive() => match received? {
                Packet::Hello(hello) if is_keeper => handle_hello(&connection.name, hello, events).await,
                Packet::Consensus(message) if is_keeper => drop(events.send(Event::Message(message)).await),
                Packet::Write(write) => drop(events.send(Event::Write(write, answers.clone())).await),
                Packet::Follow => {
                    let (applied, follows) = mpsc::channel(QUEUE_LENGTH);
                    applied_receiver = Some(follows);
                    drop(events.send(Event::Follow(applied)).await);
                }
                _ => {}
            },
        }
    }
}
