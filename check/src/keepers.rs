//! Keepers of the book under random faults by seed: messages lost, doubled and late, partitions, crashes, slow disks, disks
//! that are emptied. What is judged: no two keepers apply different writes at an index, no write takes effect twice, and
//! none that was acknowledged is missing in the end.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

use gradepaddle_book::store::Batch;
use gradepaddle_book::{Content, Keeper, Message, Output, PersistentState, Timing, Write, initial_batch};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A version that is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// None.
    Nothing,
    /// It says that it has kept what is not on the disk yet.
    AcknowledgesBeforeTheDisk,
    /// With an empty disk it goes on under the number that it had.
    VotesAfterAnEmptiedDisk,
    /// A write that is tried again is taken for another.
    ForgetsADuplicate,
}

/// A run.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// Equal seeds give equal runs.
    pub seed: u64,
    /// How many keepers.
    pub keepers: usize,
    /// Steps under faults; a tick has four.
    pub steps: u64,
    /// What is broken.
    pub broken: Broken,
}

/// What was seen in a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    /// Writes that were acknowledged.
    pub acknowledged: usize,
    /// Keepers that crashed and came back with their disks.
    pub crashes: usize,
    /// Keepers that came back with empty disks.
    pub emptied: usize,
    /// Partitions.
    pub partitions: usize,
    /// Terms that passed.
    pub term: u64,
}

impl Seen {
    /// Adds what another run has seen; of terms the latest.
    pub fn add(&mut self, other: Seen) {
        self.acknowledged += other.acknowledged;
        self.crashes += other.crashes;
        self.emptied += other.emptied;
        self.partitions += other.partitions;
        self.term = self.term.max(other.term);
    }
}

/// Content for the check: the numbers of all writes, in their order.
struct Numbers(Rc<RefCell<Vec<u32>>>);

const KIND: u16 = 77;

impl Content for Numbers {
    fn kind(&self) -> u16 {
        KIND
    }

    fn apply(&mut self, body: &[u8]) -> Result<bool, String> {
        let number = body.try_into().map(u32::from_le_bytes).map_err(|_| "no number".to_owned())?;
        self.0.borrow_mut().push(number);
        Ok(true)
    }

    fn save(&self) -> Vec<u8> {
        self.0.borrow().iter().flat_map(|number| number.to_le_bytes()).collect()
    }

    fn load(&mut self, saved: &[u8]) -> Result<(), String> {
        let numbers = saved.chunks_exact(4).filter_map(|four| four.try_into().ok().map(u32::from_le_bytes));
        *self.0.borrow_mut() = numbers.collect();
        Ok(())
    }
}

struct Node {
    keeper: Option<Keeper>,
    shown: Rc<RefCell<Vec<u32>>>,
    /// What survives a crash, and what is under way to it, each until its step.
    disk: PersistentState,
    under_way: VecDeque<(u64, Batch)>,
    /// Steps that a batch takes at most.
    slow: u64,
    /// Crashed until this step.
    until: u64,
}

/// A client: one write at a time, tried again until it is acknowledged.
struct Client {
    session: u64,
    number: u64,
    body: u32,
    again: u64,
}

struct World {
    run: Run,
    random: Pcg64Mcg,
    now: u64,
    nodes: Vec<Node>,
    ids: BTreeMap<u64, usize>,
    net: Vec<(u64, Message)>,
    /// Who is on which side.
    sides: Vec<u8>,
    healed_at: u64,
    clients: Vec<Client>,
    next: u32,
    acknowledged: BTreeSet<u32>,
    /// What was applied at each index, wherever it was first.
    applied: BTreeMap<u64, Write>,
    seen: Seen,
    breach: Option<String>,
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("k{n}")).collect()
}

impl Run {
    /// Plays it.
    ///
    /// # Errors
    ///
    /// What was broken, with the step.
    pub fn play(self) -> Result<Seen, String> {
        let mut world = World::new(self);
        while world.now < self.steps {
            world.faults();
            world.step();
            world.verdict()?;
        }
        world.heal();
        // Everything is well from here on: all must come together, and the book must still take writes.
        let before = world.acknowledged.len();
        for _ in 0..20_000 {
            world.step();
            world.verdict()?;
            if world.is_together() && world.acknowledged.len() > before + 5 {
                world.seen.acknowledged = world.acknowledged.len();
                return Ok(world.seen);
            }
        }
        let stands: Vec<_> =
            world.nodes.iter().map(|node| node.keeper.as_ref().map(Keeper::status)).collect();
        Err(format!("seed {}: the keepers do not come together again: {stands:#?}", self.seed))
    }
}

impl World {
    fn new(run: Run) -> Self {
        let mut world = World {
            run,
            random: Pcg64Mcg::seed_from_u64(run.seed),
            now: 0,
            nodes: Vec::new(),
            ids: BTreeMap::new(),
            net: Vec::new(),
            sides: vec![0; run.keepers],
            healed_at: 0,
            clients: Vec::new(),
            next: 0,
            acknowledged: BTreeSet::new(),
            applied: BTreeMap::new(),
            seen: Seen::default(),
            breach: None,
        };
        for at in 0..run.keepers {
            let id = world.random.random_range(1..u64::MAX);
            let mut disk = PersistentState { id, ..PersistentState::default() };
            if at == 0 {
                disk.apply(&initial_batch(id, "k0", vec![Box::new(Numbers(Rc::default()))]));
            }
            let slow = if world.random.random_bool(0.2) { 30 } else { 4 };
            let shown = Rc::default();
            world.nodes.push(Node { keeper: None, shown, disk, under_way: VecDeque::new(), slow, until: 0 });
            world.start(at);
        }
        for session in 1..=3 {
            world.clients.push(Client { session, number: 0, body: 0, again: 0 });
        }
        world
    }

    fn start(&mut self, at: usize) {
        let seed = self.random.random();
        let timing = Timing { snapshot_interval: 40, retained_entries: 10, ..Timing::default() };
        let node = &mut self.nodes[at];
        node.shown = Rc::default();
        let contents: Vec<Box<dyn Content>> = vec![Box::new(Numbers(node.shown.clone()))];
        let keeper = Keeper::new(names(self.run.keepers), node.disk.clone(), contents, timing, seed);
        self.ids.insert(node.disk.id, at);
        match keeper {
            Ok(keeper) => node.keeper = Some(keeper),
            Err(why) => self.breach = Some(why.to_string()),
        }
        self.carry_out(at);
    }

    fn crash(&mut self, at: usize, emptied: bool) {
        let down = self.random.random_range(20..400);
        let fresh = self.random.random_range(1..u64::MAX);
        let node = &mut self.nodes[at];
        node.keeper = None;
        node.under_way.clear();
        node.until = self.now + down;
        if emptied {
            let id = if self.run.broken == Broken::VotesAfterAnEmptiedDisk { node.disk.id } else { fresh };
            node.disk = PersistentState { id, ..PersistentState::default() };
            self.seen.emptied += 1;
        } else {
            self.seen.crashes += 1;
        }
    }

    /// Machines whose disks do not count yet: emptied ones that are not voters again.
    fn missing(&self) -> usize {
        let keepers = self.nodes.iter().filter_map(|node| node.keeper.as_ref());
        let Some(best) = keepers.max_by_key(|keeper| (keeper.status().is_leader, keeper.ledger().index()))
        else {
            return self.nodes.len();
        };
        let counts = |node: &&Node| best.is_voter(node.disk.id) && node.disk.snapshot.index > 0;
        self.nodes.len() - self.nodes.iter().filter(counts).count()
    }

    fn faults(&mut self) {
        if self.now == self.healed_at && self.now > 0 {
            self.sides.fill(0);
        }
        if !self.random.random_bool(0.01) {
            return;
        }
        let at = self.random.random_range(0..self.run.keepers);
        let up = self.nodes[at].keeper.is_some();
        match self.random.random_range(0..4) {
            0 if self.healed_at < self.now => {
                let random = &mut self.random;
                self.sides.iter_mut().for_each(|side| *side = random.random_range(0..2));
                self.healed_at = self.now + self.random.random_range(40..600);
                self.seen.partitions += 1;
            }
            1 | 2 if up => self.crash(at, false),
            // A minority of the machines at a time.
            3 if up && self.missing() < (self.run.keepers - 1) / 2 => self.crash(at, true),
            _ => {}
        }
    }

    fn heal(&mut self) {
        self.sides.fill(0);
        self.nodes.iter_mut().for_each(|node| node.until = self.now);
    }

    fn step(&mut self) {
        self.now += 1;
        for at in 0..self.nodes.len() {
            if self.nodes[at].keeper.is_none() && self.nodes[at].until <= self.now {
                self.start(at);
            }
            self.disk(at);
            if self.now % 4 == at as u64 % 4
                && let Some(keeper) = &mut self.nodes[at].keeper
            {
                keeper.tick();
            }
            if self.now % 16 == at as u64 % 16 {
                self.greet(at);
            }
            self.carry_out(at);
        }
        let now = self.now;
        let (due, later): (Vec<_>, _) = self.net.drain(..).partition(|(when, _)| *when <= now);
        self.net = later;
        for (_, message) in due {
            let Some(at) = self.ids.get(&message.to).copied() else { continue };
            if let Some(keeper) = &mut self.nodes[at].keeper {
                // What is not for it, or comes too late, is turned away; that is the library's to say.
                let _ = keeper.receive(&message);
                self.carry_out(at);
            }
        }
        self.write();
    }

    fn greet(&mut self, at: usize) {
        let Some(hello) = self.nodes[at].keeper.as_ref().map(|keeper| keeper.hello(&format!("k{at}"))) else {
            return;
        };
        for other in (0..self.nodes.len()).filter(|other| self.sides[*other] == self.sides[at]) {
            if let Some(keeper) = &mut self.nodes[other].keeper {
                keeper.peer_seen(&hello);
            }
        }
    }

    fn disk(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        while node.under_way.front().is_some_and(|(when, _)| *when <= self.now) {
            let Some((_, batch)) = node.under_way.pop_front() else { break };
            node.disk.apply(&batch);
            if let Some(keeper) = &mut node.keeper
                && self.run.broken != Broken::AcknowledgesBeforeTheDisk
            {
                keeper.persisted(batch.number);
            }
        }
    }

    fn carry_out(&mut self, at: usize) {
        while let Some(keeper) = &mut self.nodes[at].keeper {
            let outputs = keeper.outputs();
            if outputs.is_empty() {
                return;
            }
            for output in outputs {
                match output {
                    Output::Send(message) => self.send(at, message),
                    Output::Persist(batch) => {
                        let node = &mut self.nodes[at];
                        let before = node.under_way.back().map_or(self.now, |(when, _)| *when);
                        let takes = self.random.random_range(0..=node.slow);
                        node.under_way.push_back((before.max(self.now + takes), batch.clone()));
                        if let Some(keeper) = &mut node.keeper
                            && self.run.broken == Broken::AcknowledgesBeforeTheDisk
                        {
                            keeper.persisted(batch.number);
                        }
                    }
                    Output::Applied { index, write } => {
                        let first = self.applied.entry(index).or_insert_with(|| write.clone());
                        if *first != write {
                            self.breach = Some(format!("two writes at index {index}"));
                        }
                    }
                    Output::WriteDone { session, number, .. } => self.done(session, number),
                    Output::LedgerReplaced => {}
                }
            }
        }
    }

    fn send(&mut self, from: usize, message: Message) {
        let to = self.ids.get(&message.to).copied();
        let cut = to.is_some_and(|to| self.sides[to] != self.sides[from]);
        if cut || self.random.random_bool(0.03) {
            return;
        }
        let copies = if self.random.random_bool(0.02) { 2 } else { 1 };
        for _ in 0..copies {
            let late = if self.random.random_bool(0.02) { 60 } else { 3 };
            self.net.push((self.now + self.random.random_range(1..=late), message.clone()));
        }
    }

    fn done(&mut self, session: u64, number: u64) {
        let client = self.clients.iter_mut().find(|client| client.session == session);
        if let Some(client) = client.filter(|client| client.number == number && client.again > 0) {
            self.acknowledged.insert(client.body);
            client.again = 0;
        }
    }

    fn write(&mut self) {
        for at in 0..self.clients.len() {
            let to = self.random.random_range(0..self.nodes.len());
            let client = &mut self.clients[at];
            if client.again == 0 {
                self.next += 1;
                (client.body, client.number) = (self.next, client.number + 1);
            } else if client.again > self.now {
                continue;
            } else if self.run.broken == Broken::ForgetsADuplicate {
                client.number += 1;
            }
            client.again = self.now + 80;
            let body = client.body.to_le_bytes().to_vec();
            let write = Write { session: client.session, number: client.number, kind: KIND, body };
            if let Some(keeper) = &mut self.nodes[to].keeper {
                // Not taken in, it is tried elsewhere later.
                let _ = keeper.write(write);
                self.carry_out(to);
            }
        }
    }

    fn verdict(&mut self) -> Result<(), String> {
        let at = format!("seed {}, step {}", self.run.seed, self.now);
        if let Some(breach) = &self.breach {
            return Err(format!("{at}: {breach}"));
        }
        if !self.now.is_multiple_of(64) {
            return Ok(());
        }
        let lists: Vec<_> = self.nodes.iter().map(|node| node.shown.borrow()).collect();
        let longest = lists.iter().max_by_key(|list| list.len());
        let Some(longest) = longest else { return Ok(()) };
        let mut once = BTreeSet::new();
        if let Some(twice) = longest.iter().find(|number| !once.insert(**number)) {
            return Err(format!("{at}: write {twice} took effect twice"));
        }
        if lists.iter().any(|list| !longest.starts_with(list)) {
            return Err(format!("{at}: two keepers hold different books"));
        }
        Ok(())
    }

    /// All hold the same, with all that was acknowledged, and all take part.
    fn is_together(&mut self) -> bool {
        let stands: Vec<_> =
            self.nodes.iter().filter_map(|n| n.keeper.as_ref()).map(Keeper::status).collect();
        self.seen.term = stands.iter().map(|stand| stand.term).max().unwrap_or_default();
        let lists: Vec<_> = self.nodes.iter().map(|node| node.shown.borrow()).collect();
        let all = lists.iter().all(|list| self.acknowledged.iter().all(|number| list.contains(number)));
        let voters = stands.iter().all(|stand| stand.voters.len() == self.run.keepers);
        stands.len() == self.run.keepers && voters && all
    }
}

#[cfg(test)]
mod tests;
