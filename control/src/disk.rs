//! Writes on their way to the disk, and what waits for them.

use std::{collections::VecDeque, net::SocketAddrV4};

use crate::{LogPosition, Message, ProposalNumber, WriteId, config::MILLISECOND};

/// A write that takes longer than this counts the disk as unwell.
const SLOW_WRITE: u64 = 600 * MILLISECOND;
/// After a failed write the disk is tried again this much later.
const RETRY_INTERVAL: u64 = 500 * MILLISECOND;

/// What happens once everything that was known when it was asked for is durable.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Effect {
    /// Send a message.
    Send { to: SocketAddrV4, message: Message },
    /// The founding of the system is durable.
    BootstrapDurable,
    /// The own promise of a candidate is durable.
    OwnPromise { epoch: u64 },
    /// The state is installed at the candidate itself.
    OwnSnapshot { epoch: u64 },
    /// The candidate itself has accepted its view.
    OwnAccept { epoch: u64 },
    /// The primary has written a change.
    OwnChange { position: LogPosition },
}

#[derive(Debug)]
struct PendingWrite {
    write_id: WriteId,
    issued: u64,
    promised: Option<ProposalNumber>,
    effects: Vec<Effect>,
    /// False once an earlier write has failed: what this one builds on isn't there.
    valid: bool,
}

/// The writes under way and the health of the disk.
#[derive(Debug, Default)]
pub(crate) struct Disk {
    next_write_id: u64,
    outstanding: VecDeque<PendingWrite>,
    durable_promise: Option<ProposalNumber>,
    /// Since the last failure nothing has been written in full.
    stale: bool,
    failing: bool,
    last_failure: u64,
}

impl Disk {
    /// A disk from which this promise was recovered.
    pub fn recovered(promised: Option<ProposalNumber>) -> Disk {
        Disk { durable_promise: promised, ..Disk::default() }
    }

    /// The promise that a restart would find.
    pub fn durable_promise(&self) -> Option<ProposalNumber> {
        self.durable_promise
    }

    /// Whether the next write has to hold everything.
    pub fn is_stale(&self) -> bool {
        self.stale
    }

    /// Whether all that is in memory is durable.
    pub fn all_durable(&self) -> bool {
        self.outstanding.is_empty() && !self.stale
    }

    /// Whether writes succeed in time.
    pub fn is_healthy(&self, now: u64) -> bool {
        !self.failing && self.outstanding.front().is_none_or(|oldest| now < oldest.issued + SLOW_WRITE)
    }

    /// Whether a new write may be tried.
    pub fn may_write(&self, now: u64) -> bool {
        !self.failing || (self.outstanding.is_empty() && now >= self.last_failure + RETRY_INTERVAL)
    }

    /// When this disk wants attention: to be tried again, or to be called slow.
    pub fn next_deadline(&self, now: u64) -> Option<u64> {
        match self.outstanding.front() {
            Some(oldest) => Some(oldest.issued + SLOW_WRITE).filter(|at| *at > now),
            None => self.failing.then(|| self.last_failure + RETRY_INTERVAL),
        }
    }

    /// Notes a write and gives it a name.
    pub fn start_write(
        &mut self,
        now: u64,
        promised: Option<ProposalNumber>,
        effect: Option<Effect>,
    ) -> WriteId {
        self.next_write_id += 1;
        let write_id = WriteId(self.next_write_id);
        let effects = effect.into_iter().collect();
        self.outstanding.push_back(PendingWrite { write_id, issued: now, promised, effects, valid: true });
        self.stale = false;
        write_id
    }

    /// Lets an effect wait for the latest write under way; gives it back if there is none.
    pub fn attach_effect(&mut self, effect: Effect) -> Option<Effect> {
        let Some(latest) = self.outstanding.back_mut() else { return Some(effect) };
        if !latest.effects.contains(&effect) {
            latest.effects.push(effect);
        }
        None
    }

    /// Notes that memory has gone ahead without a write being tried.
    pub fn mark_stale(&mut self) {
        self.stale = true;
    }

    /// Ends a write that is durable: returns what waited for it.
    pub fn complete_write(&mut self, write_id: WriteId) -> Vec<Effect> {
        let Some(write) = self.take(write_id) else { return Vec::new() };
        if !write.valid {
            return Vec::new();
        }
        self.failing = false;
        self.durable_promise = write.promised;
        write.effects
    }

    /// Ends a write that failed, and with it all that came after it.
    pub fn fail_write(&mut self, now: u64, write_id: WriteId) {
        if self.take(write_id).is_none() {
            return;
        }
        for later in &mut self.outstanding {
            later.valid = false;
        }
        self.stale = true;
        self.failing = true;
        self.last_failure = now;
    }

    fn take(&mut self, write_id: WriteId) -> Option<PendingWrite> {
        let index = self.outstanding.iter().position(|write| write.write_id == write_id)?;
        self.outstanding.remove(index)
    }
}
