//! One keeper: the Raft library with its log, the ledger that is applied from it, and the membership.

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
/// How many writes may be pending at a keeper.
const MAX_PENDING_WRITES: usize = 4096;
/// A learner that lags by at most this many entries counts as caught up.
const CATCH_UP_ENTRIES: u64 = 16;

/// Time limits in ticks, and how much of the log is retained.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// The shortest and the longest election timeout.
    pub election: [usize; 2],
    /// Between two heartbeats of a leader.
    pub heartbeat: usize,
    /// After which a write that has not been applied is proposed again.
    pub retry: u64,
    /// After which a write is no longer proposed here. Its client has to retry it or give up.
    pub forget: u64,
    /// After which a snapshot that was not acknowledged is sent again.
    pub resend: u64,
    /// A keeper that was seen within this time counts as present.
    pub present: u64,
    /// Entries between two snapshots.
    pub snapshot_interval: u64,
    /// Entries before a snapshot that stay in the log for members that lag a little.
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

/// What a keeper announces about itself to each other keeper, on connecting and from time to time.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Hello {
    /// Its name in the fleet file.
    pub name: String,
    /// The id of its disk.
    pub id: KeeperId,
    /// The id of the book: that of the keeper that created it. None while its disk is empty.
    pub book: Option<KeeperId>,
}

/// What the caller has to do, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send this message to `message.to`. It may be lost.
    Send(Message),
    /// Write this to the disk after all earlier batches, then call [`Keeper::persisted`].
    Persist(Batch),
    /// This write was applied or refused at this index: pass it on to readers.
    Applied {
        /// The index.
        index: u64,
        /// The write.
        write: Write,
    },
    /// The outcome of a write that was submitted to this keeper.
    WriteDone {
        /// The session of the writer.
        session: u64,
        /// The number of the write in its session.
        number: u64,
        /// The outcome.
        outcome: Outcome,
    },
    /// The ledger was replaced by a snapshot: readers have to reload it from [`Keeper::ledger`].
    LedgerReplaced,
}

/// Why a write is not accepted.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Refused {
    /// Too few keepers have become voters so far.
    #[error(
        "the book is not open yet: {voters} of the {needed} keepers that it needs take part; start the others"
    )]
    NotOpen {
        /// The current number of voters.
        voters: usize,
        /// The number of voters needed.
        needed: usize,
    },
    /// The body is too long.
    #[error("a write of {0} bytes, over {MAX_WRITE_BYTES}; say it in several writes")]
    TooLong(usize),
    /// This keeper does not know the kind of content.
    #[error("content of kind {0} is not known to this keeper; finish the roll-out first")]
    UnknownKind(u16),
    /// Too many writes are pending.
    #[error("{MAX_PENDING_WRITES} writes wait for a leader; look at the keepers, then try again")]
    Busy,
}

/// The status of a keeper.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// It is the leader.
    pub is_leader: bool,
    /// The name of the current leader, if it knows one.
    pub leader: Option<String>,
    /// The current term.
    pub term: u64,
    /// The index up to which its ledger is applied.
    pub applied_index: u64,
    /// The names of the voters.
    pub voters: Vec<String>,
    /// The names of the learners, which are still catching up.
    pub learners: Vec<String>,
    /// During a joint membership change: until it ends, the voters that are being replaced count too.
    pub in_membership_change: bool,
    /// True if writes are accepted.
    pub accepts_writes: bool,
}

struct PendingWrite {
    write: Write,
    since: u64,
    again: u64,
}

/// What is held back until the batch with this number is on the disk.
struct AwaitingDisk {
    number: u64,
    messages: Vec<eraftpb::Message>,
    /// The index of the snapshot in the batch.
    snapshot: Option<u64>,
}

#[derive(Default, Serialize, Deserialize)]
struct State {
    book: KeeperId,
    names: BTreeMap<KeeperId, String>,
    ledger: Vec<u8>,
}

/// A keeper: one Raft member.
pub struct Keeper {
    id: KeeperId,
    /// The keepers that the fleet file names, in its order.
    named: Vec<String>,
    timing: Timing,
    node: RawNode<Log>,
    log: Log,
    ledger: Ledger,
    /// The id of the book: that of the keeper that created it.
    book: KeeperId,
    names: BTreeMap<KeeperId, String>,
    membership: Membership,
    present: BTreeMap<String, (KeeperId, u64)>,
    pending_writes: BTreeMap<(u64, u64), PendingWrite>,
    /// When the snapshot that is in flight to each keeper was sent.
    snapshots_in_flight: BTreeMap<KeeperId, u64>,
    /// What waits for acknowledgements of the disk, oldest first.
    awaiting_disk: VecDeque<AwaitingDisk>,
    /// Why it must stop.
    fault: Option<LedgerError>,
    now: u64,
    /// State of the random generator for election timing. Equal seeds give equal behaviour.
    random_state: u64,
    out: Vec<Output>,
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Cannot fail: only custom serializers return errors, and these types derive theirs.
    postcard::to_stdvec(value).unwrap_or_default()
}

/// The batch that the first keeper writes to its empty disk to create the book, with itself as the only voter.
pub fn initial_batch(id: KeeperId, name: &str, contents: Vec<Box<dyn Content>>) -> Batch {
    let mut ledger = Ledger::new(contents);
    ledger.advance_to(1);
    let names = BTreeMap::from([(id, name.to_owned())]);
    let state = encode(&State { book: id, names, ledger: ledger.save() });
    let membership = Membership { voters: vec![id], ..Membership::default() };
    Batch {
        number: 0,
        hard: Some(HardState { term: 1, vote: 0, commit: 1 }),
        snapshot: Some(Snapshot { index: 1, term: 1, membership, state }),
        ..Batch::default()
    }
}

impl Keeper {
    /// Creates a keeper from the state on its disk. Equal seeds, disks and inputs give equal outputs.
    ///
    /// # Errors
    ///
    /// The state on the disk can not be used.
    pub fn new(
        named: Vec<String>,
        persisted: PersistentState,
        contents: Vec<Box<dyn Content>>,
        timing: Timing,
        seed: u64,
    ) -> Result<Keeper, LedgerError> {
        let (id, membership) = (persisted.id, persisted.snapshot.membership.clone());
        let [shortest, longest] = timing.election;
        // The library randomizes the election timeout with the system's generator unless the range has a single value.
        // Skipped ticks vary it instead, see `tick`.
        let election = shortest + (seed as usize) % (longest - shortest);
        let config = Config {
            id,
            election_tick: election,
            min_election_tick: election,
            max_election_tick: election + 1,
            heartbeat_tick: timing.heartbeat,
            max_size_per_msg: 256 * 1024,
            max_inflight_msgs: 64,
            applied: persisted.snapshot.index,
            check_quorum: true,
            pre_vote: true,
            ..Config::default()
        };
        let mut ledger = Ledger::new(contents);
        let mut state = State::default();
        if persisted.snapshot.index > 0 {
            state = postcard::from_bytes(&persisted.snapshot.state)
                .map_err(|e| LedgerError::Unreadable(e.to_string()))?;
            ledger.load(&state.ledger)?;
            ledger.advance_to(persisted.snapshot.index);
        }
        let log = Log::new(persisted);
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
            membership,
            present: BTreeMap::new(),
            pending_writes: BTreeMap::new(),
            snapshots_in_flight: BTreeMap::new(),
            awaiting_disk: VecDeque::new(),
            fault: None,
            now: 0,
            random_state: seed | 1,
            out: Vec::new(),
        };
        keeper.process_ready();
        Ok(keeper)
    }

    /// The id of its disk.
    pub fn id(&self) -> KeeperId {
        self.id
    }

    /// The applied state.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Its announcement to other keepers.
    pub fn hello(&self, name: &str) -> Hello {
        Hello { name: name.to_owned(), id: self.id, book: (self.book != 0).then_some(self.book) }
    }

    /// The name of a keeper, if it is known from the membership.
    pub fn name(&self, id: KeeperId) -> Option<&str> {
        self.names.get(&id).map(String::as_str)
    }

    /// Its status.
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
            voters: names(&self.membership.voters),
            learners: names(&self.membership.learners),
            in_membership_change: !self.membership.outgoing.is_empty(),
            accepts_writes: self.check_open().is_ok(),
        }
    }

    /// True if the keeper with this disk is a voter, as far as is known here. False during a joint change, in which the
    /// voters that it replaces still count.
    pub fn is_voter(&self, id: KeeperId) -> bool {
        self.membership.voters.contains(&id) && self.membership.outgoing.is_empty()
    }

    /// True if its disk is known to have been replaced and removed from the membership.
    pub fn is_removed(&self) -> bool {
        let Membership { voters, learners, outgoing, learners_next, .. } = &self.membership;
        let all = [voters, learners, outgoing, learners_next];
        self.names.contains_key(&self.id) && !all.iter().any(|ids| ids.contains(&self.id))
    }

    fn check_open(&self) -> Result<(), Refused> {
        let (voters, needed) = (self.membership.voters.len(), self.named.len() / 2 + 1);
        if voters >= needed { Ok(()) } else { Err(Refused::NotOpen { voters, needed }) }
    }

    /// Why it must stop: it received a snapshot that it can not use.
    pub fn fault(&self) -> Option<&LedgerError> {
        self.fault.as_ref()
    }

    /// Takes the outputs since the last call.
    pub fn outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.out)
    }

    /// Advances the time by one tick.
    pub fn tick(&mut self) {
        self.now += 1;
        // xorshift64: a keeper that is not the leader skips one tick in eight at random, so that no two keepers keep
        // starting elections at the same moment.
        self.random_state ^= self.random_state << 13;
        self.random_state ^= self.random_state >> 7;
        self.random_state ^= self.random_state << 17;
        let leads = self.node.raft.state == StateRole::Leader;
        if leads || !self.random_state.is_multiple_of(8) {
            self.node.tick();
        }
        if leads {
            self.update_membership();
            self.retry_lost_snapshots();
        } else {
            self.snapshots_in_flight.clear();
        }
        let now = self.now;
        self.pending_writes.retain(|_, waiting| now < waiting.since + self.timing.forget);
        let due: Vec<_> =
            self.pending_writes.iter().filter(|(_, w)| w.again <= now).map(|(at, _)| *at).collect();
        for at in due {
            self.propose(at);
        }
        self.process_ready();
    }

    /// Records the announcement of another keeper. Returns false if it belongs to another book; its messages must then be
    /// ignored.
    pub fn peer_seen(&mut self, hello: &Hello) -> bool {
        if self.book != 0 && hello.book.is_some_and(|book| book != self.book) {
            return false;
        }
        self.present.insert(hello.name.clone(), (hello.id, self.now));
        true
    }

    /// Handles a message from another keeper.
    ///
    /// # Errors
    ///
    /// The message is not accepted. After [`MessageError::OldDisk`] this keeper must stop.
    pub fn receive(&mut self, message: &Message) -> Result<(), MessageError> {
        if message.to != self.id {
            return Err(MessageError::ForAnother(message.to));
        }
        let here = self.log.last_entry_index();
        // The library would panic on this. A leader only sends commit indexes that this keeper has acknowledged, so its
        // disk must be an old copy.
        let known = match MessageType::from_i32(message.kind) {
            Some(MessageType::MsgHeartbeat) => message.commit,
            _ => 0,
        };
        if known > here {
            return Err(MessageError::OldDisk { here, known });
        }
        let step = self.node.step(message.to_raft_message()?);
        self.process_ready();
        step.map_err(|e| MessageError::TurnedDown(e.to_string()))
    }

    /// Handles the acknowledgement of the disk for this batch and all earlier ones.
    pub fn persisted(&mut self, number: u64) {
        self.release(number);
        self.process_ready();
    }

    fn release(&mut self, number: u64) {
        while self.awaiting_disk.front().is_some_and(|held| held.number <= number) {
            let Some(held) = self.awaiting_disk.pop_front() else { break };
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

    /// Submits a write. [`Output::WriteDone`] follows once it is applied here. If it does not in time, the write may be
    /// submitted again, here or at another keeper, with the same session and number.
    ///
    /// # Errors
    ///
    /// The write is not accepted.
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
        if self.pending_writes.len() >= MAX_PENDING_WRITES {
            return Err(Refused::Busy);
        }
        let at = (session, number);
        self.pending_writes.insert(at, PendingWrite { write, since: self.now, again: self.now });
        self.propose(at);
        self.process_ready();
        Ok(())
    }

    fn propose(&mut self, at: (u64, u64)) {
        let Some(waiting) = self.pending_writes.get_mut(&at) else { return };
        waiting.again = self.now + self.timing.retry;
        // Without a leader the library drops the proposal; it is repeated after `timing.retry`.
        let _ = self.node.propose(Vec::new(), encode(&waiting.write));
    }

    /// Adds keepers that are present but not members yet, one membership change at a time.
    fn update_membership(&mut self) {
        let raft = &self.node.raft;
        if raft.has_pending_conf() || !self.membership.outgoing.is_empty() {
            return;
        }
        let single = |kind, id| {
            let mut change = ConfChangeSingle::default();
            change.set_change_type(kind);
            change.node_id = id;
            change
        };
        let Membership { voters, learners, .. } = &self.membership;
        let same_name = |name: &str, but: KeeperId, among: &[KeeperId]| -> Vec<KeeperId> {
            among.iter().copied().filter(|id| *id != but && self.name(*id) == Some(name)).collect()
        };
        let near = |id: KeeperId| {
            let matched = raft.prs().get(id).map_or(0, |progress| progress.matched);
            matched > 0 && matched + CATCH_UP_ENTRIES >= raft.raft_log.last_index()
        };
        let present = self
            .present
            .iter()
            .filter(|(name, (_, seen))| self.named.contains(name) && self.now <= seen + self.timing.present);
        let mut change = None;
        for (name, (id, _)) in present {
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
                change = Some((changes, encode(&(*id, name))));
                break;
            }
        }
        if let Some((changes, context)) = change {
            let mut change = ConfChangeV2::default();
            change.set_changes(changes.into());
            change.context = context.clone().into();
            // If the library rejects the change, it is proposed again at the next tick.
            let _ = self.node.propose_conf_change(context, change);
        }
    }

    /// Reports snapshots without acknowledgement as lost: the library sends no other before it is told so.
    fn retry_lost_snapshots(&mut self) {
        let in_flight = self.node.raft.prs().iter().filter(|(_, p)| p.state == ProgressState::Snapshot);
        let in_flight: Vec<KeeperId> = in_flight.map(|(id, _)| *id).collect();
        self.snapshots_in_flight.retain(|id, _| in_flight.contains(id));
        for id in in_flight {
            let since = *self.snapshots_in_flight.entry(id).or_insert(self.now);
            if self.now > since + self.timing.resend {
                self.snapshots_in_flight.remove(&id);
                self.node.report_snapshot(id, SnapshotStatus::Failure);
            }
        }
    }

    /// Processes the library's `Ready` states until there is none left.
    fn process_ready(&mut self) {
        while self.fault.is_none() && self.node.has_ready() {
            let mut ready = self.node.ready();
            let now = ready.take_messages();
            self.send(now);
            let mut batch = Batch { number: ready.number(), ..Batch::default() };
            if !ready.snapshot().is_empty() {
                let snapshot = Snapshot::from(ready.snapshot());
                if let Err(error) = self.restore(&snapshot) {
                    // The snapshot is neither persisted nor acknowledged, as this keeper can not read it.
                    self.fault = Some(error);
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
            self.awaiting_disk.push_back(AwaitingDisk { number, messages: later, snapshot });
            match nothing {
                false => self.out.push(Output::Persist(batch)),
                // Nothing to persist, and no earlier batch waits for the disk: it counts as persisted at once.
                true if self.awaiting_disk.len() == 1 => self.release(number),
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
            // An empty change ends a joint change. Data can be trusted, as keepers write it and frames have a keyed hash.
            if change.merge_from_bytes(&entry.data).is_ok()
                && let Ok(members) = self.node.apply_conf_change(&change)
            {
                self.membership = (&members).into();
                if let Ok((id, name)) = postcard::from_bytes(&change.context) {
                    self.names.insert(id, name);
                }
                let Membership { voters, learners, outgoing, .. } = &self.membership;
                let all = [voters, learners, outgoing];
                let own = self.id;
                self.names.retain(|id, _| *id == own || all.iter().any(|ids| ids.contains(id)));
            }
            self.ledger.advance_to(entry.index);
            return;
        }
        let Ok(write) = postcard::from_bytes::<Write>(&entry.data) else {
            // The first entry of a new leader is empty.
            self.ledger.advance_to(entry.index);
            return;
        };
        if let Some(outcome) = self.ledger.apply(entry.index, &write) {
            let (session, number) = (write.session, write.number);
            self.out.push(Output::Applied { index: entry.index, write });
            if self.pending_writes.remove(&(session, number)).is_some() {
                self.out.push(Output::WriteDone { session, number, outcome });
            }
        }
    }

    /// Replaces the whole state by a snapshot from another keeper.
    fn restore(&mut self, snapshot: &Snapshot) -> Result<(), LedgerError> {
        let state: State =
            postcard::from_bytes(&snapshot.state).map_err(|e| LedgerError::Unreadable(e.to_string()))?;
        self.ledger.load(&state.ledger)?;
        (self.book, self.names) = (state.book, state.names);
        self.ledger.advance_to(snapshot.index);
        self.membership = snapshot.membership.clone();
        self.out.push(Output::LedgerReplaced);
        Ok(())
    }

    fn snapshot_if_due(&mut self) {
        let index = self.ledger.index();
        let had = self.log.snapshot_index();
        let is_due =
            index >= had + self.timing.snapshot_interval || (self.log.is_snapshot_requested() && index > had);
        if !is_due {
            return;
        }
        let Some(term) = self.log.term_at(index) else { return };
        let state = State { book: self.book, names: self.names.clone(), ledger: self.ledger.save() };
        let snapshot = Snapshot { index, term, membership: self.membership.clone(), state: encode(&state) };
        let first = self.log.compact(snapshot.clone(), self.timing.retained_entries);
        let batch = Batch { snapshot: Some(snapshot), first: Some(first), ..Batch::default() };
        self.out.push(Output::Persist(batch));
    }
}

#[cfg(test)]
mod tests;
