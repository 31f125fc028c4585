//! Pending writes to the disk, the effects that wait for them, and the health of the disk.

use std::{collections::VecDeque, net::SocketAddrV4};

use crate::{LogPosition, Message, Micros, ProposalNumber, WriteId, time::MILLISECOND};

/// A disk that works on its oldest pending write for longer than this is unhealthy.
const SLOW_WRITE: Micros = 600 * MILLISECOND;
/// A disk whose oldest pending write was issued longer ago than this is unhealthy too: this includes the time that the
/// write waited for earlier ones.
const SLOW_QUEUE: Micros = 1_800 * MILLISECOND;
/// With each completed write, the recent write time decays by one part in this many.
const RECENT_WRITE_DECAY: Micros = 4;
/// Delay between a failed write and the next one.
const RETRY_INTERVAL: Micros = 500 * MILLISECOND;

/// What happens once everything that was in memory when it was requested is durable.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Effect {
    /// Send a message.
    Send { to: SocketAddrV4, message: Message },
    /// The first view of the system is durable.
    BootstrapDurable,
    /// The candidate's own promise is durable.
    OwnPromise { epoch: u64 },
    /// The state is installed on the candidate itself.
    OwnSnapshot { epoch: u64 },
    /// The candidate itself has accepted its view.
    OwnAccept { epoch: u64 },
    /// The primary's own write of a change is durable.
    OwnChange { position: LogPosition },
}

#[derive(Debug)]
struct PendingWrite {
    write_id: WriteId,
    issued: Micros,
    promised: Option<ProposalNumber>,
    effects: Vec<Effect>,
    /// False once an earlier write has failed: the records that this write builds on are missing.
    valid: bool,
}

/// The pending writes and the health of the disk.
#[derive(Debug, Default)]
pub(crate) struct Disk {
    next_write_id: u64,
    outstanding: VecDeque<PendingWrite>,
    durable_promise: Option<ProposalNumber>,
    /// A write has failed and no complete set of records has been written since.
    stale: bool,
    failing: bool,
    last_failure: Micros,
    /// The longest time that a recent write took; it decays with each completed write.
    recent_write: Micros,
    last_completion: Micros,
}

impl Disk {
    /// A disk from which this promise was recovered.
    pub fn recovered(promised: Option<ProposalNumber>) -> Disk {
        Disk { durable_promise: promised, ..Disk::default() }
    }

    /// The promise that a restart would recover.
    pub fn durable_promise(&self) -> Option<ProposalNumber> {
        self.durable_promise
    }

    /// Whether the next write has to contain the complete state.
    pub fn is_stale(&self) -> bool {
        self.stale
    }

    /// Whether everything that is in memory is durable.
    pub fn all_durable(&self) -> bool {
        self.outstanding.is_empty() && !self.stale
    }

    /// Whether writes succeed, and in time.
    pub fn is_healthy(&self, now: Micros) -> bool {
        !self.failing && self.slow_at().is_none_or(|at| now < at)
    }

    /// When the oldest pending write makes the disk unhealthy.
    fn slow_at(&self) -> Option<Micros> {
        let oldest = self.outstanding.front()?;
        let started = oldest.issued.max(self.last_completion);
        Some((started + SLOW_WRITE).min(oldest.issued + SLOW_QUEUE))
    }

    /// How long a write takes at present, as far as completed writes tell; at most [`SLOW_WRITE`].
    pub fn expected_write(&self) -> Micros {
        self.recent_write.min(SLOW_WRITE)
    }

    /// Whether a new write may be started.
    pub fn may_write(&self, now: Micros) -> bool {
        !self.failing || (self.outstanding.is_empty() && now >= self.last_failure + RETRY_INTERVAL)
    }

    /// When the disk should be retried, or becomes unhealthy because a write is slow.
    pub fn next_deadline(&self, now: Micros) -> Option<Micros> {
        match self.slow_at() {
            Some(at) => Some(at).filter(|at| *at > now),
            None => self.failing.then(|| self.last_failure + RETRY_INTERVAL),
        }
    }

    /// Records a write and returns its id.
    pub fn start_write(
        &mut self,
        now: Micros,
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

    /// Attaches an effect to the latest pending write; returns it if there is none.
    pub fn attach_effect(&mut self, effect: Effect) -> Option<Effect> {
        let Some(latest) = self.outstanding.back_mut() else { return Some(effect) };
        if !latest.effects.contains(&effect) {
            latest.effects.push(effect);
        }
        None
    }

    /// Records that memory has changed without a write.
    pub fn set_stale(&mut self) {
        self.stale = true;
    }

    /// Completes a durable write and returns the effects that waited for it.
    pub fn complete_write(&mut self, now: Micros, write_id: WriteId) -> Vec<Effect> {
        let Some(write) = self.remove(write_id) else { return Vec::new() };
        self.last_completion = now;
        let decayed = self.recent_write - self.recent_write / RECENT_WRITE_DECAY;
        self.recent_write = now.saturating_sub(write.issued).max(decayed);
        if !write.valid {
            return Vec::new();
        }
        self.failing = false;
        self.durable_promise = write.promised;
        write.effects
    }

    /// Completes a failed write, and invalidates all that were started after it.
    pub fn fail_write(&mut self, now: Micros, write_id: WriteId) {
        if self.remove(write_id).is_none() {
            return;
        }
        for later in &mut self.outstanding {
            later.valid = false;
        }
        self.stale = true;
        self.failing = true;
        self.last_failure = now;
    }

    fn remove(&mut self, write_id: WriteId) -> Option<PendingWrite> {
        let index = self.outstanding.iter().position(|write| write.write_id == write_id)?;
        self.outstanding.remove(index)
    }
}
