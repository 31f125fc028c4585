//! A keeper as the daemon runs it: an actor round the core, one for each other keeper, one for each who calls, and a thread
//! that waits for the disk.

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

use super::crash::Crash;
use super::file::Named;
use super::line::{Line, LineError, PULSE, Packet};
use super::{Answers, Common};

/// One tick.
const TICK: Duration = Duration::from_millis(50);
/// So much waits for one other side; what of the consensus is too much is dropped, as it is sent anew, and a reader that
/// is so slow is cut off.
const QUEUE: usize = 256;
/// How long a dial may take, and how long to wait before the next.
const DIAL: Duration = Duration::from_millis(1000);
const AGAIN: Duration = Duration::from_millis(200);

/// What comes to the actor.
enum Event {
    /// Another keeper tells of itself.
    Heard(Hello),
    /// A word of the consensus.
    Message(Box<Message>),
    /// The disk has kept what it was given up to this number, or can not.
    Kept(Result<u64, StoreError>),
    /// A write is handed in.
    Write(Write, Answers),
    /// A reader follows.
    Follow(Answers),
}

/// Why a keeper steps down.
#[derive(Debug, Error)]
pub enum StepDown {
    /// Its disk can not be trusted.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// What is saved can not be used.
    #[error(transparent)]
    Ledger(#[from] LedgerError),
    /// The others remember more.
    #[error(transparent)]
    Message(MessageError),
    /// It was replaced.
    #[error(
        "this keeper's disk was replaced by another under its name; move the file away and start this balancer anew"
    )]
    Replaced,
}

/// Tells the other side, if it keeps up; false if it is to be cut off.
fn tell(to: &Answers, packet: Packet) -> bool {
    to.try_send(packet).is_ok()
}

struct Actor {
    keeper: Keeper,
    common: Rc<Common>,
    crash: Crash,
    blank: bool,
    own: Rc<RefCell<Hello>>,
    fresh: Rc<Cell<bool>>,
    heard: BTreeMap<String, Hello>,
    peers: BTreeMap<String, mpsc::Sender<Packet>>,
    ids: BTreeMap<KeeperId, String>,
    waiting: BTreeMap<(u64, u64), Answers>,
    readers: Vec<Answers>,
    disk: std::sync::mpsc::Sender<Batch>,
}

/// Keeps the book until it steps down; never ends otherwise.
pub async fn run(
    listener: TcpListener,
    disk: (Disk, PersistentState),
    common: Rc<Common>,
    writes: &mut mpsc::Receiver<(Write, Answers)>,
) -> StepDown {
    let why = keep(listener, disk, common.clone(), writes).await;
    common.steps_down(&why.to_string());
    why
}

/// Opens the disk of a keeper, or makes one.
///
/// # Errors
///
/// [`StoreError`] if the disk fails, or what is on it can't be read.
pub fn open(path: &Path, fresh: KeeperId) -> Result<(Disk, PersistentState), StoreError> {
    Disk::open(path, fresh)
}

async fn keep(
    listener: TcpListener,
    (disk, kept): (Disk, PersistentState),
    common: Rc<Common>,
    writes: &mut mpsc::Receiver<(Write, Answers)>,
) -> StepDown {
    let blank = kept.is_empty();
    let names: Vec<String> = common.file.keepers.iter().map(|keeper| keeper.name.clone()).collect();
    let keeper = Keeper::new(names.clone(), kept, common.contents(), Timing::default(), common.draw());
    let keeper = match keeper {
        Ok(keeper) => keeper,
        Err(why) => return why.into(),
    };
    info!(id = format!("{:x}", keeper.id()), blank, applied = keeper.ledger().index(), "book: keeper");
    let (events, mut inbox) = mpsc::channel(4 * QUEUE);
    let own = Rc::new(RefCell::new(keeper.hello(&common.name)));
    let fresh = Rc::new(Cell::new(false));
    // They end with the actor: one that has stepped down is nobody's peer.
    let mut tasks = JoinSet::new();
    let mut peers = BTreeMap::new();
    for named in common.file.keepers.iter().filter(|named| named.name != common.name) {
        let (mailbox, packets) = mpsc::channel(QUEUE);
        peers.insert(named.name.clone(), mailbox);
        tasks.spawn_local(dial(named.clone(), common.clone(), own.clone(), packets, events.clone()));
    }
    tasks.spawn_local(accept(listener, common.clone(), own.clone(), fresh.clone(), events.clone()));
    let mut actor = Actor {
        keeper,
        common,
        crash: Crash::told(),
        blank,
        own,
        fresh,
        heard: BTreeMap::new(),
        peers,
        ids: BTreeMap::new(),
        waiting: BTreeMap::new(),
        readers: Vec::new(),
        disk: write_behind(disk, events),
    };
    if actor.keeper.ledger().index() > 0 {
        // What the disk holds, before anybody is met.
        actor.common.changed();
    }
    let mut ticks = interval(TICK);
    // After a pause the time that passed is no reason to hurry.
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    actor.carry_out();
    loop {
        let step = tokio::select! {
            biased;
            _ = ticks.tick() => actor.tick(),
            event = inbox.recv() => match event {
                Some(event) => actor.take(event),
                // The actor holds a sender by way of its disk.
                None => Ok(()),
            },
            Some((write, answers)) = writes.recv() => {
                actor.write(write, answers);
                Ok(())
            }
        };
        actor.carry_out();
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

/// A thread that puts batches on the disk in their order, so that nobody who is served waits for it.
fn write_behind(mut disk: Disk, events: mpsc::Sender<Event>) -> std::sync::mpsc::Sender<Batch> {
    let (batches, given) = std::sync::mpsc::channel::<Batch>();
    std::thread::spawn(move || {
        for batch in given {
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
        self.fresh.set(status.is_leader || status.leader.is_some());
        self.common.say(|view| view.stands(&status, self.fresh.get()));
        self.found_if_due();
        Ok(())
    }

    /// The first keeper founds the book once all others have said that they know of none.
    fn found_if_due(&mut self) {
        let named = &self.common.file.keepers;
        let first = named.first().is_some_and(|first| first.name == self.common.name);
        let blank = |other: &Named| self.heard.get(&other.name).is_some_and(|hello| hello.book.is_none());
        if !self.blank || !first || self.keeper.ledger().index() > 0 || !named[1..].iter().all(blank) {
            return;
        }
        let id = self.keeper.id();
        let batch = initial_batch(id, &self.common.name, self.common.contents());
        let mut kept = PersistentState { id, ..PersistentState::default() };
        kept.apply(&batch);
        let names = named.iter().map(|keeper| keeper.name.clone()).collect();
        // Nobody can have heard of what is not on the disk: it goes there first, and all else behind it.
        let keeper = Keeper::new(names, kept, self.common.contents(), Timing::default(), self.common.draw());
        if let Ok(keeper) = keeper {
            info!(id = format!("{id:x}"), "book: founded");
            self.keeper = keeper;
            self.blank = false;
            self.keep(batch);
        }
    }

    fn take(&mut self, event: Event) -> Result<(), StepDown> {
        match event {
            Event::Heard(hello) => {
                if self.keeper.peer_seen(&hello) {
                    self.ids.insert(hello.id, hello.name.clone());
                    self.heard.insert(hello.name.clone(), hello);
                } else {
                    self.common
                        .once(format!("{} keeps another book; empty the disk of one of the two", hello.name));
                }
            }
            Event::Message(message) => match self.keeper.receive(&message) {
                Ok(()) | Err(MessageError::ForAnother(_)) => {}
                Err(why @ MessageError::OldDisk { .. }) => return Err(StepDown::Message(why)),
                Err(why) => self.common.once(why.to_string()),
            },
            Event::Kept(Ok(number)) => {
                self.pass("after-disk");
                self.keeper.persisted(number);
            }
            Event::Kept(Err(why)) => return Err(why.into()),
            Event::Write(write, answers) => self.write(write, answers),
            Event::Follow(answers) => {
                if tell(&answers, Packet::Whole(self.keeper.ledger().save())) {
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
            // Whoever asked may have gone.
            tell(&answers, Packet::Turned { number, why: why.to_string() });
        }
    }

    fn pass(&self, point: &str) {
        if self.keeper.status().is_leader {
            self.crash.pass(point);
        }
    }

    fn keep(&self, batch: Batch) {
        self.pass("before-disk");
        // The thread ends only after a failure, which it has told.
        let _ = self.disk.send(batch);
    }

    fn carry_out(&mut self) {
        for output in self.keeper.outputs() {
            match output {
                Output::Send(message) => {
                    let peer = self.ids.get(&message.to).and_then(|name| self.peers.get(name));
                    // Full, it is dropped: the consensus sends anew.
                    let _ = peer.map(|peer| peer.try_send(Packet::Consensus(Box::new(message))));
                }
                Output::Persist(batch) => self.keep(batch),
                Output::Applied { index, write } => {
                    let applied = Packet::Applied { index, write };
                    self.readers.retain(|reader| tell(reader, applied.clone()));
                    self.common.changed();
                }
                Output::WriteDone { session, number, outcome } => {
                    // Whoever was asked answers, leader or not.
                    self.crash.pass("before-answer");
                    if let Some(answers) = self.waiting.remove(&(session, number)) {
                        tell(&answers, Packet::Done { number, outcome });
                    }
                }
                Output::LedgerReplaced => {
                    let whole = Packet::Whole(self.keeper.ledger().save());
                    self.readers.retain(|reader| tell(reader, whole.clone()));
                    self.common.changed();
                }
            }
        }
        *self.own.borrow_mut() = self.keeper.hello(&self.common.name);
    }
}

/// Holds a connection to another keeper, and says there what comes in.
async fn dial(
    named: Named,
    common: Rc<Common>,
    own: Rc<RefCell<Hello>>,
    mut packets: mpsc::Receiver<Packet>,
    events: mpsc::Sender<Event>,
) {
    loop {
        if let Err(why) = dialled(&named, &common, &own, &mut packets, &events).await {
            common.once(format!("keeper {}: {why}", named.name));
        }
        sleep(AGAIN).await;
    }
}

async fn dialled(
    named: &Named,
    common: &Common,
    own: &Rc<RefCell<Hello>>,
    packets: &mut mpsc::Receiver<Packet>,
    events: &mpsc::Sender<Event>,
) -> Result<(), LineError> {
    let mut line = super::reach(named, common, DIAL).await?;
    // What waited for a connection is old by now.
    while packets.try_recv().is_ok() {}
    let hello = own.borrow().clone();
    line.say(&Packet::Hello(hello)).await?;
    let mut pulse = interval(PULSE);
    loop {
        tokio::select! {
            biased;
            heard = line.hear() => if let Packet::Hello(hello) = heard? {
                take_hello(&line.name, hello, events).await;
            },
            _ = pulse.tick() => {
                let hello = own.borrow().clone();
                line.say(&Packet::Hello(hello)).await?;
            }
            packet = packets.recv() => match packet {
                Some(packet) => line.say(&packet).await?,
                None => return Ok(()),
            },
        }
    }
}

/// A keeper speaks for itself alone.
async fn take_hello(name: &str, hello: Hello, events: &mpsc::Sender<Event>) {
    if hello.name == name {
        let _ = events.send(Event::Heard(hello)).await;
    }
}

async fn accept(
    listener: TcpListener,
    common: Rc<Common>,
    own: Rc<RefCell<Hello>>,
    fresh: Rc<Cell<bool>>,
    events: mpsc::Sender<Event>,
) {
    let mut callers = JoinSet::new();
    loop {
        while callers.try_join_next().is_some() {}
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                common.once(format!("accepting failed: {e}; see the limit on descriptors"));
                sleep(AGAIN).await;
                continue;
            }
        };
        let (common, own, fresh, events) = (common.clone(), own.clone(), fresh.clone(), events.clone());
        callers.spawn_local(async move {
            match caller(stream, &common, &own, &fresh, &events).await {
                Ok(()) | Err(LineError::Ended | LineError::Broken(_)) => {}
                Err(why) => common.once(format!("a caller: {why}")),
            }
        });
    }
}

/// One who calls: another keeper, or a reader.
async fn caller(
    stream: TcpStream,
    common: &Common,
    own: &Rc<RefCell<Hello>>,
    fresh: &Cell<bool>,
    events: &mpsc::Sender<Event>,
) -> Result<(), LineError> {
    let mut line = Line::meet(stream, common.file.seal.clone(), &common.name, common.draw()).await?;
    let keeps = common.file.keepers.iter().any(|keeper| keeper.name == line.name);
    let (answers, mut answered) = mpsc::channel(QUEUE);
    let mut followed: Option<mpsc::Receiver<Packet>> = None;
    let mut pulse = interval(PULSE);
    loop {
        let applied = async {
            match &mut followed {
                Some(applied) => applied.recv().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            // Its own sender is held here: it does not end.
            Some(packet) = answered.recv() => line.say(&packet).await?,
            packet = applied => match packet {
                Some(packet) => line.say(&packet).await?,
                // It was too slow, and starts anew.
                None => return Err(LineError::Silent),
            },
            _ = pulse.tick() => {
                let packet = match keeps {
                    true => Packet::Hello(own.borrow().clone()),
                    false => Packet::Pulse { fresh: fresh.get() },
                };
                line.say(&packet).await?;
            }
            heard = line.hear() => match heard? {
                Packet::Hello(hello) if keeps => take_hello(&line.name, hello, events).await,
                Packet::Consensus(message) if keeps => drop(events.send(Event::Message(message)).await),
                Packet::Write(write) => drop(events.send(Event::Write(write, answers.clone())).await),
                Packet::Follow => {
                    let (applied, follows) = mpsc::channel(QUEUE);
                    followed = Some(follows);
                    drop(events.send(Event::Follow(applied)).await);
                }
                _ => {}
            },
        }
    }
}
