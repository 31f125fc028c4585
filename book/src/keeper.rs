//! One keeper: the consensus library with its log, the ledger that follows from it, and who takes part.

use std::collections::{BTreeMap, VecDeque};

use protobuf::{Message as _, ProtobufEnum};
use raft::eraftpb::{self, ConfChangeSingle, ConfChangeType, ConfChangeV2, EntryType, MessageType};
use raft::{Config, ProgressState, RawNode, SnapshotStatus, StateRole};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::KeeperId;
use crate::ledger::{Content, Ledger, LedgerError, Outcome, Write};
use crate::log::{Entry, HardState, Log, Membership, PersistentState, Snapshot};
use crate::message::{Message, MessageError};
use crate::store::Batch;

/// The longest body of a write, in bytes.
pub const MAX_WRITE_BYTES: usize = 64 * 1024;
/// So many writes may wait at a keeper.
const WAITING: usize = 4096;
/// A learner that lags by no more entries counts as caught up.
const NEAR: u64 = 16;

/// Spans, in ticks, and how much of the log is kept.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// The shortest and the longest silence of a leader before another keeper stands for election.
    pub election: [usize; 2],
    /// Between two words of a leader.
    pub heartbeat: usize,
    /// After which a write that has not come through is proposed again.
    pub retry: u64,
    /// After which a write is no longer tried here; whoever waits for it tries again or gives up.
    pub forget: u64,
    /// After which a snapshot that is not acknowledged is sent again.
    pub resend: u64,
    /// A keeper that was heard of within this is there.
    pub present: u64,
    /// Entries between two snapshots.
    pub snapshot_interval: u64,
    /// Entries that are kept behind a snapshot for those that lag a little.
    pub retained_entries: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            election: [10, 20],
            heartbeat: 2,
            retry: 12,
            forget: 400,
            resend: 40,
            present: 40,
            snapshot_interval: 1000,
            retained_entries: 200,
        }
    }
}

/// What a keeper tells of itself to each other one when they meet, and now and then.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Hello {
    /// Its name in the file.
    pub name: String,
    /// Its disk.
    pub id: KeeperId,
    /// The book that it belongs to: the number of the keeper that founded it. None while its disk is empty.
    pub book: Option<KeeperId>,
}

/// What is to be done, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send this to `message.to`; it may be lost.
    Send(Message),
    /// Put this on the disk, behind all before it, and then say [`Keeper::persisted`].
    Persist(Batch),
    /// This write took effect or was turned down, at this index: pass it on to readers.
    Applied {
        /// The index.
        index: u64,
        /// What was written.
        write: Write,
    },
    /// What came of a write that was handed in here.
    WriteDone {
        /// Whose.
        session: u64,
        /// Which.
        number: u64,
        /// What.
        outcome: Outcome,
    },
    /// The ledger was replaced as a whole: readers start anew from [`Keeper::ledger`].
    LedgerReplaced,
}

/// Why a write is not taken in.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Refused {
    /// Too few keepers have ever taken part.
    #[error(
        "the book is not open yet: {voters} of the {needed} keepers that it needs take part; start the others"
    )]
    NotOpen {
        /// Those that count.
        voters: usize,
        /// Those that it needs.
        needed: usize,
    },
    /// It is too long.
    #[error("a write of {0} bytes, over {MAX_WRITE_BYTES}; say it in several writes")]
    TooLong(usize),
    /// The kind is not known here.
    #[error("content of kind {0} is not known to this keeper; finish the roll-out first")]
    UnknownKind(u16),
    /// Too many wait.
    #[error("{WAITING} writes wait for a leader; look at the keepers, then try again")]
    Busy,
}

/// Where a keeper stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// It leads.
    pub is_leader: bool,
    /// The name of the leader that it knows.
    pub leader: Option<String>,
    /// The term.
    pub term: u64,
    /// Up to where its ledger goes.
    pub applied_index: u64,
    /// Those that count, by name.
    pub voters: Vec<String>,
    /// Those that are being caught up, by name.
    pub learners: Vec<String>,
    /// Amid a change of who counts: until it is over, those that are replaced count too.
    pub in_membership_change: bool,
    /// Writes are taken.
    pub accepts_writes: bool,
}

struct Waiting {
    write: Write,
    since: u64,
    again: u64,
}

/// What follows once the disk has kept the batch of this number.
struct Held {
    number: u64,
    messages: Vec<eraftpb::Message>,
    /// The index of the snapshot in it.
    snapshot: Option<u64>,
}

#[derive(Default, Serialize, Deserialize)]
struct State {
    book: KeeperId,
    names: BTreeMap<KeeperId, String>,
    ledger: Vec<u8>,
}

/// A keeper.
pub struct Keeper {
    id: KeeperId,
    /// The keepers that the file names, in its order.
    named: Vec<String>,
    timing: Timing,
    node: RawNode<Log>,
    log: Log,
    ledger: Ledger,
    /// The number of the founder.
    book: KeeperId,
    names: BTreeMap<KeeperId, String>,
    members: Membership,
    present: BTreeMap<String, (KeeperId, u64)>,
    waiting: BTreeMap<(u64, u64), Waiting>,
    /// Since when a snapshot is under way to another keeper.
    sending: BTreeMap<KeeperId, u64>,
    /// What waits for the disk.
    held: VecDeque<Held>,
    /// Why it must not go on.
    fault: Option<LedgerError>,
    now: u64,
    /// A small generator for the pace of elections: equal seeds give equal keepers.
    chance: u64,
    out: Vec<Output>,
}

fn plain<T: Serialize>(value: &T) -> Vec<u8> {
    // Only a value that refuses to be serialized could fail, and those here are plain.
    postcard::to_stdvec(value).unwrap_or_default()
}

/// What the first keeper puts on its empty disk to found the book, with itself alone.
pub fn initial_batch(id: KeeperId, name: &str, contents: Vec<Box<dyn Content>>) -> Batch {
    let mut ledger = Ledger::new(contents);
    ledger.pass(1);
    let names = BTreeMap::from([(id, name.to_owned())]);
    let state = plain(&State { book: id, names, ledger: ledger.save() });
    let members = Membership { voters: vec![id], ..Membership::default() };
    Batch {
        number: 0,
        hard: Some(HardState { term: 1, vote: 0, commit: 1 }),
        snapshot: Some(Snapshot { index: 1, term: 1, members, state }),
        ..Batch::default()
    }
}

impl Keeper {
    /// A keeper with what its disk holds. Equal seeds, disks and inputs give equal outputs.
    ///
    /// # Errors
    ///
    /// The saved book can not be used.
    pub fn new(
        named: Vec<String>,
        kept: PersistentState,
        contents: Vec<Box<dyn Content>>,
        timing: Timing,
        seed: u64,
    ) -> Result<Keeper, LedgerError> {
        let (id, members) = (kept.id, kept.snapshot.members.clone());
        let [shortest, longest] = timing.election;
        // The library draws this span from the system unless it has one value; the pace of ticks varies it.
        let election = shortest + (seed as usize) % (longest - shortest);
        let config = Config {
            id,
            election_tick: election,
            min_election_tick: election,
            max_election_tick: election + 1,
            heartbeat_tick: timing.heartbeat,
            max_size_per_msg: 256 * 1024,
            max_inflight_msgs: 64,
            applied: kept.snapshot.index,
            check_quorum: true,
            pre_vote: true,
            ..Config::default()
        };
        let mut ledger = Ledger::new(contents);
        let mut state = State::default();
        if kept.snapshot.index > 0 {
            state = postcard::from_bytes(&kept.snapshot.state)
                .map_err(|e| LedgerError::Unreadable(e.to_string()))?;
            ledger.load(&state.ledger)?;
            ledger.pass(kept.snapshot.index);
        }
        let log = Log::new(kept);
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let node = RawNode::new(&config, log.clone(), &logger)
            .map_err(|e| LedgerError::Unreadable(e.to_string()))?;
        let mut keeper = Keeper {
            id,
            named,
            timing,
            node,
            log,
            ledger,
            book: state.book,
            names: state.names,
            members,
            present: BTreeMap::new(),
            waiting: BTreeMap::new(),
            sending: BTreeMap::new(),
            held: VecDeque::new(),
            fault: None,
            now: 0,
            chance: seed | 1,
            out: Vec::new(),
        };
        keeper.settle();
        Ok(keeper)
    }

    /// Its disk's number.
    pub fn id(&self) -> KeeperId {
        self.id
    }

    /// The applied state.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// What it tells of itself.
    pub fn hello(&self, name: &str) -> Hello {
        Hello { name: name.to_owned(), id: self.id, book: (self.book != 0).then_some(self.book) }
    }

    /// The name of a keeper, if it ever took part.
    pub fn name(&self, id: KeeperId) -> Option<&str> {
        self.names.get(&id).map(String::as_str)
    }

    /// Where it stands.
    pub fn status(&self) -> Status {
        let raft = &self.node.raft;
        let names = |ids: &[KeeperId]| -> Vec<String> {
            ids.iter().map(|id| self.name(*id).map_or_else(|| format!("{id:x}"), str::to_owned)).collect()
        };
        Status {
            is_leader: raft.state == StateRole::Leader,
            leader: self.name(raft.leader_id).map(str::to_owned),
            term: raft.term,
            applied_index: self.ledger.index(),
            voters: names(&self.members.voters),
            learners: names(&self.members.learners),
            in_membership_change: !self.members.outgoing.is_empty(),
            accepts_writes: self.check_open().is_ok(),
        }
    }

    /// True if the keeper with this disk counts, as far as is known here. Not amid a change: until that is over, those
    /// that it replaces count beside it.
    pub fn is_voter(&self, id: KeeperId) -> bool {
        self.members.voters.contains(&id) && self.members.outgoing.is_empty()
    }

    /// True if its disk is known to be no longer part of the book: it was replaced.
    pub fn is_removed(&self) -> bool {
        let Membership { voters, learners, outgoing, learners_next, .. } = &self.members;
        let all = [voters, learners, outgoing, learners_next];
        self.names.contains_key(&self.id) && !all.iter().any(|ids| ids.contains(&self.id))
    }

    fn check_open(&self) -> Result<(), Refused> {
        let (voters, needed) = (self.members.voters.len(), self.named.len() / 2 + 1);
        if voters >= needed { Ok(()) } else { Err(Refused::NotOpen { voters, needed }) }
    }

    /// Why it must not go on: what another keeper told can not be used here.
    pub fn fault(&self) -> Option<&LedgerError> {
        self.fault.as_ref()
    }

    /// What is to be done since the last time.
    pub fn outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.out)
    }

    /// Time passes by one tick.
    pub fn tick(&mut self) {
        self.now += 1;
        // xorshift64: a keeper that does not lead misses one tick in eight, so that no two keep standing for election in
        // the same moment.
        self.chance ^= self.chance << 13;
        self.chance ^= self.chance >> 7;
        self.chance ^= self.chance << 17;
        let leads = self.node.raft.state == StateRole::Leader;
        if leads || !self.chance.is_multiple_of(8) {
            self.node.tick();
        }
        if leads {
            self.see_to_members();
            self.see_to_snapshots();
        } else {
            self.sending.clear();
        }
        let now = self.now;
        self.waiting.retain(|_, waiting| now < waiting.since + self.timing.forget);
        let due: Vec<_> = self.waiting.iter().filter(|(_, w)| w.again <= now).map(|(at, _)| *at).collect();
        for at in due {
            self.propose(at);
        }
        self.settle();
    }

    /// Another keeper is there, and tells this of itself. False if it belongs to another book: nothing that it says is
    /// to be taken in.
    pub fn peer_seen(&mut self, hello: &Hello) -> bool {
        if self.book != 0 && hello.book.is_some_and(|book| book != self.book) {
            return false;
        }
        self.present.insert(hello.name.clone(), (hello.id, self.now));
        true
    }

    /// A message came.
    ///
    /// # Errors
    ///
    /// It is not taken in. After [`MessageError::OldDisk`] this keeper must not go on.
    pub fn receive(&mut self, message: &Message) -> Result<(), MessageError> {
        if message.to != self.id {
            return Err(MessageError::ForAnother(message.to));
        }
        let here = self.log.last();
        // The library would end the process over it: a leader never goes on from what was not acknowledged.
        let known = match MessageType::from_i32(message.kind) {
            Some(MessageType::MsgHeartbeat) => message.commit,
            _ => 0,
        };
        if known > here {
            return Err(MessageError::OldDisk { here, known });
        }
        let step = self.node.step(message.of_library()?);
        self.settle();
        step.map_err(|e| MessageError::TurnedDown(e.to_string()))
    }

    /// The disk has kept this batch, and all before it.
    pub fn persisted(&mut self, number: u64) {
        self.release(number);
        self.settle();
    }

    fn release(&mut self, number: u64) {
        while self.held.front().is_some_and(|held| held.number <= number) {
            let Some(held) = self.held.pop_front() else { break };
            self.node.on_persist_ready(held.number);
            if let Some(index) = held.snapshot {
                self.node.advance_apply_to(index);
            }
            self.send(held.messages);
        }
    }

    fn send(&mut self, messages: Vec<eraftpb::Message>) {
        self.out.extend(messages.iter().map(|message| Output::Send(message.into())));
    }

    /// A write is handed in. [`Output::WriteDone`] follows once it is applied here; if none does in time, it may be handed
    /// in again, here or elsewhere, with the same session and number.
    ///
    /// # Errors
    ///
    /// It is not taken in.
    pub fn write(&mut self, write: Write) -> Result<(), Refused> {
        let (session, number) = (write.session, write.number);
        if let Some(outcome) = self.ledger.outcome(session, number) {
            self.out.push(Output::WriteDone { session, number, outcome: outcome.clone() });
            return Ok(());
        }
        self.check_open()?;
        if write.body.len() > MAX_WRITE_BYTES {
            return Err(Refused::TooLong(write.body.len()));
        }
        if !self.ledger.knows(write.kind) {
            return Err(Refused::UnknownKind(write.kind));
        }
        if self.waiting.len() >= WAITING {
            return Err(Refused::Busy);
        }
        let at = (session, number);
        self.waiting.insert(at, Waiting { write, since: self.now, again: self.now });
        self.propose(at);
        self.settle();
        Ok(())
    }

    fn propose(&mut self, at: (u64, u64)) {
        let Some(waiting) = self.waiting.get_mut(&at) else { return };
        waiting.again = self.now + self.timing.retry;
        // Without a leader it is dropped, and tried again when it is due.
        let _ = self.node.propose(Vec::new(), plain(&waiting.write));
    }

    /// Brings in those that are there and do not take part, one change at a time.
    fn see_to_members(&mut self) {
        let raft = &self.node.raft;
        if raft.has_pending_conf() || !self.members.outgoing.is_empty() {
            return;
        }
        let single = |kind, id| {
            let mut change = ConfChangeSingle::default();
            change.set_change_type(kind);
            change.node_id = id;
            change
        };
        let Membership { voters, learners, .. } = &self.members;
        let same_name = |name: &str, but: KeeperId, among: &[KeeperId]| -> Vec<KeeperId> {
            among.iter().copied().filter(|id| *id != but && self.name(*id) == Some(name)).collect()
        };
        let near = |id: KeeperId| {
            let matched = raft.prs().get(id).map_or(0, |progress| progress.matched);
            matched > 0 && matched + NEAR >= raft.raft_log.last_index()
        };
        let there = self
            .present
            .iter()
            .filter(|(name, (_, seen))| self.named.contains(name) && self.now <= seen + self.timing.present);
        let mut change = None;
        for (name, (id, _)) in there {
            let (votes, learns) = (voters.contains(id), learners.contains(id));
            let mut changes = Vec::new();
            if learns && near(*id) {
                changes.push(single(ConfChangeType::AddNode, *id));
                let old = same_name(name, *id, voters);
                changes.extend(old.into_iter().map(|id| single(ConfChangeType::RemoveNode, id)));
            } else if !votes && !learns {
                changes.push(single(ConfChangeType::AddLearnerNode, *id));
                let old = same_name(name, *id, learners);
                changes.extend(old.into_iter().map(|id| single(ConfChangeType::RemoveNode, id)));
            }
            if !changes.is_empty() {
                change = Some((changes, plain(&(*id, name))));
                break;
            }
        }
        if let Some((changes, context)) = change {
            let mut change = ConfChangeV2::default();
            change.set_changes(changes.into());
            change.context = context.clone().into();
            // Not taken now, it is found again at the next tick.
            let _ = self.node.propose_conf_change(context, change);
        }
    }

    /// A snapshot that was sent may be lost, and the library waits until it is told so.
    fn see_to_snapshots(&mut self) {
        let underway = self.node.raft.prs().iter().filter(|(_, p)| p.state == ProgressState::Snapshot);
        let underway: Vec<KeeperId> = underway.map(|(id, _)| *id).collect();
        self.sending.retain(|id, _| underway.contains(id));
        for id in underway {
            let since = *self.sending.entry(id).or_insert(self.now);
            if self.now > since + self.timing.resend {
                self.sending.remove(&id);
                self.node.report_snapshot(id, SnapshotStatus::Failure);
            }
        }
    }

    /// Carries out what the library has ready.
    fn settle(&mut self) {
        while self.fault.is_none() && self.node.has_ready() {
            let mut ready = self.node.ready();
            let now = ready.take_messages();
            self.send(now);
            let mut batch = Batch { number: ready.number(), ..Batch::default() };
            if !ready.snapshot().is_empty() {
                let snapshot = Snapshot::from(ready.snapshot());
                if let Err(why) = self.restore(&snapshot) {
                    // Neither kept nor acknowledged: this keeper does not know what it would vouch for.
                    self.fault = Some(why);
                    return;
                }
                self.log.restore(snapshot.clone());
                batch.snapshot = Some(snapshot);
            }
            batch.entries = ready.entries().iter().map(Entry::from).collect();
            self.log.append(&batch.entries);
            if let Some(hard) = ready.hs() {
                let hard = HardState::from(hard);
                self.log.set_hard(&hard);
                batch.hard = Some(hard);
            }
            let committed = ready.take_committed_entries();
            let later = ready.take_persisted_messages();
            let number = ready.number();
            let nothing = batch.hard.is_none() && batch.entries.is_empty() && batch.snapshot.is_none();
            self.node.advance_append_async(ready);
            let snapshot = batch.snapshot.as_ref().map(|snapshot| snapshot.index);
            self.held.push_back(Held { number, messages: later, snapshot });
            match nothing {
                false => self.out.push(Output::Persist(batch)),
                // Nothing before it is under way to the disk: it is kept already.
                true if self.held.len() == 1 => self.release(number),
                true => self.out.push(Output::Persist(batch)),
            }
            for entry in &committed {
                self.apply(entry);
            }
            if let Some(last) = committed.last() {
                self.node.advance_apply_to(last.index);
            }
        }
        self.snapshot_if_due();
    }

    fn apply(&mut self, entry: &eraftpb::Entry) {
        if entry.entry_type != EntryType::EntryNormal {
            let mut change = ConfChangeV2::default();
            // Empty is the end of a joint change. It is our own writing, under a keyed hash.
            if change.merge_from_bytes(&entry.data).is_ok()
                && let Ok(members) = self.node.apply_conf_change(&change)
            {
                self.members = (&members).into();
                if let Ok((id, name)) = postcard::from_bytes(&change.context) {
                    self.names.insert(id, name);
                }
                let Membership { voters, learners, outgoing, .. } = &self.members;
                let all = [voters, learners, outgoing];
                let own = self.id;
                self.names.retain(|id, _| *id == own || all.iter().any(|ids| ids.contains(id)));
            }
            self.ledger.pass(entry.index);
            return;
        }
        let Ok(write) = postcard::from_bytes::<Write>(&entry.data) else {
            // A new leader's first entry carries nothing.
            self.ledger.pass(entry.index);
            return;
        };
        if let Some(outcome) = self.ledger.apply(entry.index, &write) {
            let (session, number) = (write.session, write.number);
            self.out.push(Output::Applied { index: entry.index, write });
            if self.waiting.remove(&(session, number)).is_some() {
                self.out.push(Output::WriteDone { session, number, outcome });
            }
        }
    }

    /// The whole state, from another keeper.
    fn restore(&mut self, snapshot: &Snapshot) -> Result<(), LedgerError> {
        let state: State =
            postcard::from_bytes(&snapshot.state).map_err(|e| LedgerError::Unreadable(e.to_string()))?;
        self.ledger.load(&state.ledger)?;
        (self.book, self.names) = (state.book, state.names);
        self.ledger.pass(snapshot.index);
        self.members = snapshot.members.clone();
        self.out.push(Output::LedgerReplaced);
        Ok(())
    }

    fn snapshot_if_due(&mut self) {
        let index = self.ledger.index();
        let had = self.log.snapshot_index();
        let is_due =
            index >= had + self.timing.snapshot_interval || (self.log.wants_snapshot() && index > had);
        if !is_due {
            return;
        }
        let Some(term) = self.log.term_at(index) else { return };
        let state = State { book: self.book, names: self.names.clone(), ledger: self.ledger.save() };
        let snapshot = Snapshot { index, term, members: self.members.clone(), state: plain(&state) };
        let first = self.log.compact(snapshot.clone(), self.timing.retained_entries);
        let batch = Batch { snapshot: Some(snapshot), first: Some(first), ..Batch::default() };
        self.out.push(Output::Persist(batch));
    }
}

#[cfg(test)]
mod tests;
