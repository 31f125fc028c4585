//! Runs keepers of the book under random faults that a seed determines: lost, duplicated and delayed messages, partitions,
//! crashes, slow disks and emptied disks. It checks that no two keepers apply different writes at an index, that no write
//! takes effect twice, and that no acknowledged write is missing in the end.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

use gradepaddle_book::store::Batch;
use gradepaddle_book::{Content, Keeper, Message, Output, PersistentState, Timing, Write, initial_batch};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A version that is broken on purpose, to show that the check finds the fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// No fault.
    Nothing,
    /// Batches are acknowledged as persisted before they are on the disk.
    AcknowledgesBeforeTheDisk,
    /// A keeper whose disk was emptied continues under its old id, so it can vote twice in a term.
    VotesAfterAnEmptiedDisk,
    /// A retried write gets a new number, so it is not recognized as a duplicate.
    ForgetsADuplicate,
}

/// The parameters of one run.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// Equal seeds give equal runs.
    pub seed: u64,
    /// Number of keepers.
    pub keepers: usize,
    /// Number of steps with faults; a tick takes four steps.
    pub steps: u64,
    /// The fault that is injected on purpose.
    pub broken: Broken,
}

/// Counts of what happened in a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    /// Writes that were acknowledged.
    pub acknowledged: usize,
    /// Crashes of keepers that restarted with their disks.
    pub crashes: usize,
    /// Crashes of keepers that restarted with empty disks.
    pub emptied: usize,
    /// Partitions.
    pub partitions: usize,
    /// The latest Raft term.
    pub term: u64,
}

impl Seen {
    /// Adds the counts of another run; the term is the later of both.
    pub fn add(&mut self, other: Seen) {
        self.acknowledged += other.acknowledged;
        self.crashes += other.crashes;
        self.emptied += other.emptied;
        self.partitions += other.partitions;
        self.term = self.term.max(other.term);
    }
}

/// The content of the book in this check: the bodies of all applied writes, which are numbers, in order.
struct WriteNumbers(Rc<RefCell<Vec<u32>>>);

const KIND: u16 = 77;

impl Content for WriteNumbers {
    fn kind(&self) -> u16 {
        KIND
    }

    fn apply(&mut self, body: &[u8]) -> Result<bool, String> {
        let number =
            body.try_into().map(u32::from_le_bytes).map_err(|_| "body is not a 4-byte number".to_owned())?;
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
    applied_numbers: Rc<RefCell<Vec<u32>>>,
    /// The state that survives a crash, and the batches that are being written, each with the step of its completion.
    disk: PersistentState,
    pending_batches: VecDeque<(u64, Batch)>,
    /// The longest time that a batch takes to persist, in steps.
    max_persist_steps: u64,
    /// The step at which the crashed keeper restarts.
    down_until: u64,
}

/// A client that submits one write at a time and retries it until it is acknowledged.
struct Client {
    session: u64,
    number: u64,
    body: u32,
    /// The step at which the write is retried; 0 if no write is pending.
    retry_at: u64,
}

struct Simulation {
    run: Run,
    random: Pcg64Mcg,
    now: u64,
    nodes: Vec<Node>,
    ids: BTreeMap<u64, usize>,
    network: Vec<(u64, Message)>,
    /// The side of the partition that each node is on.
    partition_sides: Vec<u8>,
    healed_at: u64,
    clients: Vec<Client>,
    /// The body of the latest new write.
    last_body: u32,
    acknowledged: BTreeSet<u32>,
    /// The write at each index, as applied by the first keeper that reached the index.
    applied: BTreeMap<u64, Write>,
    seen: Seen,
    breach: Option<String>,
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("k{n}")).collect()
}

impl Run {
    /// Executes the run: first with faults, then without, until the keepers converge.
    ///
    /// # Errors
    ///
    /// The violation, with the seed and the step.
    pub fn execute(self) -> Result<Seen, String> {
        let mut simulation = Simulation::new(self);
        while simulation.now < self.steps {
            simulation.inject_faults();
            simulation.step();
            simulation.check_invariants()?;
        }
        simulation.heal();
        // No faults from here on: the keepers must converge, and the book must still accept writes.
        let before = simulation.acknowledged.len();
        for _ in 0..20_000 {
            simulation.step();
            simulation.check_invariants()?;
            if simulation.has_converged() && simulation.acknowledged.len() > before + 5 {
                simulation.seen.acknowledged = simulation.acknowledged.len();
                return Ok(simulation.seen);
            }
        }
        let statuses: Vec<_> =
            simulation.nodes.iter().map(|node| node.keeper.as_ref().map(Keeper::status)).collect();
        Err(format!("seed {}: the keepers did not converge after the faults: {statuses:#?}", self.seed))
    }
}

impl Simulation {
    fn new(run: Run) -> Self {
        let mut simulation = Simulation {
            run,
            random: Pcg64Mcg::seed_from_u64(run.seed),
            now: 0,
            nodes: Vec::new(),
            ids: BTreeMap::new(),
            network: Vec::new(),
            partition_sides: vec![0; run.keepers],
            healed_at: 0,
            clients: Vec::new(),
            last_body: 0,
            acknowledged: BTreeSet::new(),
            applied: BTreeMap::new(),
            seen: Seen::default(),
            breach: None,
        };
        for at in 0..run.keepers {
            let id = simulation.random.random_range(1..u64::MAX);
            let mut disk = PersistentState { id, ..PersistentState::default() };
            if at == 0 {
                disk.apply(&initial_batch(id, "k0", vec![Box::new(WriteNumbers(Rc::default()))]));
            }
            let max_persist_steps = if simulation.random.random_bool(0.2) { 30 } else { 4 };
            let applied_numbers = Rc::default();
            simulation.nodes.push(Node {
                keeper: None,
                applied_numbers,
                disk,
                pending_batches: VecDeque::new(),
                max_persist_steps,
                down_until: 0,
            });
            simulation.start(at);
        }
        for session in 1..=3 {
            simulation.clients.push(Client { session, number: 0, body: 0, retry_at: 0 });
        }
        simulation
    }

    fn start(&mut self, at: usize) {
        let seed = self.random.random();
        let timing = Timing { snapshot_interval: 40, retained_entries: 10, ..Timing::default() };
        let node = &mut self.nodes[at];
        node.applied_numbers = Rc::default();
        let contents: Vec<Box<dyn Content>> = vec![Box::new(WriteNumbers(node.applied_numbers.clone()))];
        let keeper = Keeper::new(names(self.run.keepers), node.disk.clone(), contents, timing, seed);
        self.ids.insert(node.disk.id, at);
        match keeper {
            Ok(keeper) => node.keeper = Some(keeper),
            Err(why) => self.breach = Some(why.to_string()),
        }
        self.handle_outputs(at);
    }

    fn crash(&mut self, at: usize, emptied: bool) {
        let downtime = self.random.random_range(20..400);
        let new_id = self.random.random_range(1..u64::MAX);
        let node = &mut self.nodes[at];
        node.keeper = None;
        node.pending_batches.clear();
        node.down_until = self.now + downtime;
        if emptied {
            let id = if self.run.broken == Broken::VotesAfterAnEmptiedDisk { node.disk.id } else { new_id };
            node.disk = PersistentState { id, ..PersistentState::default() };
            self.seen.emptied += 1;
        } else {
            self.seen.crashes += 1;
        }
    }

    /// Number of machines whose disks do not contribute to the quorum: emptied ones that are not voters again yet.
    fn unusable_disks(&self) -> usize {
        let keepers = self.nodes.iter().filter_map(|node| node.keeper.as_ref());
        let Some(best) = keepers.max_by_key(|keeper| (keeper.status().is_leader, keeper.ledger().index()))
        else {
            return self.nodes.len();
        };
        let counts = |node: &&Node| best.is_voter(node.disk.id) && node.disk.snapshot.index > 0;
        self.nodes.len() - self.nodes.iter().filter(counts).count()
    }

    fn inject_faults(&mut self) {
        if self.now == self.healed_at && self.now > 0 {
            self.partition_sides.fill(0);
        }
        if !self.random.random_bool(0.01) {
            return;
        }
        let at = self.random.random_range(0..self.run.keepers);
        let up = self.nodes[at].keeper.is_some();
        match self.random.random_range(0..4) {
            0 if self.healed_at < self.now => {
                let random = &mut self.random;
                self.partition_sides.iter_mut().for_each(|side| *side = random.random_range(0..2));
                self.healed_at = self.now + self.random.random_range(40..600);
                self.seen.partitions += 1;
            }
            1 | 2 if up => self.crash(at, false),
            // Only a minority of the disks may be empty at a time.
            3 if up && self.unusable_disks() < (self.run.keepers - 1) / 2 => self.crash(at, true),
            _ => {}
        }
    }

    fn heal(&mut self) {
        self.partition_sides.fill(0);
        self.nodes.iter_mut().for_each(|node| node.down_until = self.now);
    }

    fn step(&mut self) {
        self.now += 1;
        for at in 0..self.nodes.len() {
            if self.nodes[at].keeper.is_none() && self.nodes[at].down_until <= self.now {
                self.start(at);
            }
            self.complete_disk_writes(at);
            if self.now % 4 == at as u64 % 4
                && let Some(keeper) = &mut self.nodes[at].keeper
            {
                keeper.tick();
            }
            if self.now % 16 == at as u64 % 16 {
                self.announce(at);
            }
            self.handle_outputs(at);
        }
        let now = self.now;
        let (due, later): (Vec<_>, _) = self.network.drain(..).partition(|(when, _)| *when <= now);
        self.network = later;
        for (_, message) in due {
            let Some(at) = self.ids.get(&message.to).copied() else { continue };
            if let Some(keeper) = &mut self.nodes[at].keeper {
                // The keeper rejects messages that are outdated or addressed to another member.
                let _ = keeper.receive(&message);
                self.handle_outputs(at);
            }
        }
        self.submit_writes();
    }

    fn announce(&mut self, at: usize) {
        let Some(hello) = self.nodes[at].keeper.as_ref().map(|keeper| keeper.hello(&format!("k{at}"))) else {
            return;
        };
        for other in
            (0..self.nodes.len()).filter(|other| self.partition_sides[*other] == self.partition_sides[at])
        {
            if let Some(keeper) = &mut self.nodes[other].keeper {
                keeper.peer_seen(&hello);
            }
        }
    }

    fn complete_disk_writes(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        while node.pending_batches.front().is_some_and(|(when, _)| *when <= self.now) {
            let Some((_, batch)) = node.pending_batches.pop_front() else { break };
            node.disk.apply(&batch);
            if let Some(keeper) = &mut node.keeper
                && self.run.broken != Broken::AcknowledgesBeforeTheDisk
            {
                keeper.persisted(batch.number);
            }
        }
    }

    fn handle_outputs(&mut self, at: usize) {
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
                        let previous = node.pending_batches.back().map_or(self.now, |(when, _)| *when);
                        let duration = self.random.random_range(0..=node.max_persist_steps);
                        node.pending_batches.push_back((previous.max(self.now + duration), batch.clone()));
                        if let Some(keeper) = &mut node.keeper
                            && self.run.broken == Broken::AcknowledgesBeforeTheDisk
                        {
                            keeper.persisted(batch.number);
                        }
                    }
                    Output::Applied { index, write } => {
                        let first = self.applied.entry(index).or_insert_with(|| write.clone());
                        if *first != write {
                            self.breach = Some(format!("different writes applied at index {index}"));
                        }
                    }
                    Output::WriteDone { session, number, .. } => self.write_acknowledged(session, number),
                    Output::LedgerReplaced => {}
                }
            }
        }
    }

    fn send(&mut self, from: usize, message: Message) {
        let to = self.ids.get(&message.to).copied();
        let cut = to.is_some_and(|to| self.partition_sides[to] != self.partition_sides[from]);
        if cut || self.random.random_bool(0.03) {
            return;
        }
        let copies = if self.random.random_bool(0.02) { 2 } else { 1 };
        for _ in 0..copies {
            let max_delay = if self.random.random_bool(0.02) { 60 } else { 3 };
            self.network.push((self.now + self.random.random_range(1..=max_delay), message.clone()));
        }
    }

    fn write_acknowledged(&mut self, session: u64, number: u64) {
        let client = self.clients.iter_mut().find(|client| client.session == session);
        if let Some(client) = client.filter(|client| client.number == number && client.retry_at > 0) {
            self.acknowledged.insert(client.body);
            client.retry_at = 0;
        }
    }

    fn submit_writes(&mut self) {
        for at in 0..self.clients.len() {
            let to = self.random.random_range(0..self.nodes.len());
            let client = &mut self.clients[at];
            if client.retry_at == 0 {
                self.last_body += 1;
                (client.body, client.number) = (self.last_body, client.number + 1);
            } else if client.retry_at > self.now {
                continue;
            } else if self.run.broken == Broken::ForgetsADuplicate {
                client.number += 1;
            }
            client.retry_at = self.now + 80;
            let body = client.body.to_le_bytes().to_vec();
            let write = Write { session: client.session, number: client.number, kind: KIND, body };
            if let Some(keeper) = &mut self.nodes[to].keeper {
                // A write that is not accepted is retried later, at a randomly chosen keeper.
                let _ = keeper.write(write);
                self.handle_outputs(to);
            }
        }
    }

    fn check_invariants(&mut self) -> Result<(), String> {
        let at = format!("seed {}, step {}", self.run.seed, self.now);
        if let Some(breach) = &self.breach {
            return Err(format!("{at}: {breach}"));
        }
        if !self.now.is_multiple_of(64) {
            return Ok(());
        }
        let logs: Vec<_> = self.nodes.iter().map(|node| node.applied_numbers.borrow()).collect();
        let longest = logs.iter().max_by_key(|log| log.len());
        let Some(longest) = longest else { return Ok(()) };
        let mut distinct = BTreeSet::new();
        if let Some(duplicate) = longest.iter().find(|number| !distinct.insert(**number)) {
            return Err(format!("{at}: write {duplicate} took effect twice"));
        }
        if logs.iter().any(|log| !longest.starts_with(log)) {
            return Err(format!("{at}: two keepers have different content"));
        }
        Ok(())
    }

    /// Whether all keepers are up, all are voters, and each has every acknowledged write.
    fn has_converged(&mut self) -> bool {
        let statuses: Vec<_> =
            self.nodes.iter().filter_map(|n| n.keeper.as_ref()).map(Keeper::status).collect();
        self.seen.term = statuses.iter().map(|status| status.term).max().unwrap_or_default();
        let logs: Vec<_> = self.nodes.iter().map(|node| node.applied_numbers.borrow()).collect();
        let complete = logs.iter().all(|log| self.acknowledged.iter().all(|number| log.contains(number)));
        let all_voters = statuses.iter().all(|status| status.voters.len() == self.run.keepers);
        statuses.len() == self.run.keepers && all_voters && complete
    }
}

#[cfg(test)]
mod tests;
