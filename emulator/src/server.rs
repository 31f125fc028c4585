//! An app server: cores, slots, a waiting room, a cold start, a memory of keys, connections, pauses, errors.

use std::collections::VecDeque;

use gradepaddle::{Id, Micros};

use crate::gauge::Gauge;
use crate::queue::FlightKey;
use crate::random::Stream;
use crate::scenario::{Fleet, seconds};

/// Is it there?
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It runs.
    Up,
    /// It finishes what it has and turns away the rest.
    Draining,
    /// Its process is gone.
    Down,
}

/// What an app server remembers of keys: as many as fit, each for a while.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    keys: Vec<u32>,
    met: Vec<Micros>,
    most: usize,
    lasts: Micros,
}

impl Memory {
    /// An empty one for so many keys, each kept for so long.
    pub fn new(most: usize, lasts: Micros) -> Self {
        Memory { most, lasts, ..Memory::default() }
    }

    /// Is this key warm?
    pub fn knows(&self, now: Micros, key: u32) -> bool {
        let at = self.keys.iter().position(|known| *known == key);
        at.is_some_and(|at| now.saturating_sub(self.met[at]) <= self.lasts)
    }

    /// Notes that it met a key; the one met longest ago makes room.
    pub fn meet(&mut self, now: Micros, key: u32) {
        if self.most == 0 {
            return;
        }
        if let Some(at) = self.keys.iter().position(|known| *known == key) {
            self.met[at] = now;
        } else if self.keys.len() < self.most {
            self.keys.push(key);
            self.met.push(now);
        } else if let Some(at) = (0..self.met.len()).min_by_key(|at| self.met[*at]) {
            (self.keys[at], self.met[at]) = (key, now);
        }
    }
}

/// One balancer's idle connections to one app server, by when each was last used.
#[derive(Clone, Debug, Default)]
pub struct Pool(Vec<Micros>);

/// An attempt in work.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    pub key: FlightKey,
    pub ends: Micros,
    /// The part of its time in which it needs a core; the rest it waits on others.
    pub busy: f64,
}

/// An app server. Work is in microseconds on a standard core.
#[derive(Clone, Debug)]
pub struct Server {
    pub id: Id,
    pub zone: u32,
    pub kind: u32,
    pub cell: u32,
    pub cores: u32,
    pub speed: f64,
    /// Counts starts.
    pub life: u32,
    pub state: State,
    /// Its last start; 0 for long ago.
    pub started: Micros,
    /// Attempts that wait, first come first served.
    pub waiting: VecDeque<FlightKey>,
    pub waiting_work: f64,
    /// Attempts in work.
    pub working: Vec<Job>,
    /// Until then it works on nothing.
    pub paused_until: Micros,
    /// How much slower than usual it is.
    pub slowness: f64,
    /// The part of its machine that another program takes.
    pub neighbour: f64,
    /// The share of requests that it answers with an error at once.
    pub errors: f64,
    pools: Vec<Pool>,
    pub connections: u32,
    /// What it was sent lately while cold: when, how much, and by one that was told that it started.
    sent: VecDeque<(Micros, f64, bool)>,
    /// What it tells of its queue, if anything.
    gauge: Option<Gauge>,
    pub stream: Stream,
}

/// What a start is made of.
pub struct Start {
    pub id: Id,
    pub zone: u32,
    pub kind: u32,
    pub cell: u32,
    pub cores: u32,
    pub speed: f64,
    pub started: Micros,
    pub balancers: usize,
    pub gauge: Option<Gauge>,
    pub stream: Stream,
}

/// How a cold app server takes what it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fall {
    /// It bears it.
    Bears,
    /// It falls over, and balancers that knew are to blame.
    Blame,
    /// It falls over, and too few of them knew.
    Unknown,
}

impl Server {
    /// One that runs from now on.
    pub fn new(start: Start) -> Self {
        let Start { id, zone, kind, cell, cores, speed, started, balancers, gauge, stream } = start;
        Server {
            id,
            zone,
            kind,
            cell,
            cores,
            speed,
            life: 0,
            state: State::Up,
            started,
            waiting: VecDeque::new(),
            waiting_work: 0.0,
            working: Vec::new(),
            paused_until: 0,
            slowness: 1.0,
            neighbour: 0.0,
            errors: 0.0,
            pools: vec![Pool::default(); balancers],
            connections: 0,
            sent: VecDeque::new(),
            gauge,
            stream,
        }
    }

    /// Requests that it holds.
    pub fn held(&self) -> usize {
        self.waiting.len() + self.working.len()
    }

    /// The share of its capacity that it has by now.
    pub fn warmth(&self, now: Micros, fleet: &Fleet) -> f64 {
        if self.started == 0 {
            return 1.0;
        }
        let age = now.saturating_sub(self.started) as f64 / seconds(fleet.warm_s).max(1) as f64;
        fleet.cold_from + (1.0 - fleet.cold_from) * age.min(1.0)
    }

    /// Work that one of its cores gets done in a microsecond.
    pub fn pace(&self, now: Micros, fleet: &Fleet) -> f64 {
        let cap = f64::from(self.cores * fleet.connections_per_core).max(1.0);
        let tax = fleet.full_tax * (f64::from(self.connections) / cap).min(1.0);
        let held = self.held() as f64 / f64::from(self.cores);
        let thrash = fleet.thrash * (held - fleet.thrash_at).max(0.0);
        let own = self.speed * (1.0 - self.neighbour);
        own * self.warmth(now, fleet) * (1.0 - tax) / (self.slowness * (1.0 + thrash))
    }

    /// May one more be taken into work?
    pub fn has_slot(&self, fleet: &Fleet) -> bool {
        self.working.len() < (self.cores * fleet.slots_per_core) as usize
    }

    /// Is there room for one more?
    pub fn has_room(&self, fleet: &Fleet) -> bool {
        self.has_slot(fleet) || self.waiting.len() < (self.cores * fleet.queue_per_core) as usize
    }

    /// Takes an attempt into the waiting room.
    pub fn enter(&mut self, now: Micros, key: FlightKey, work: f64) {
        self.note(now);
        self.waiting.push_back(key);
        self.waiting_work += work;
    }

    /// The attempt that has waited longest leaves the waiting room.
    pub fn next(&mut self, now: Micros) -> Option<FlightKey> {
        self.note(now);
        self.waiting.pop_front()
    }

    fn note(&mut self, now: Micros) {
        if let Some(gauge) = &mut self.gauge {
            gauge.note(now, self.waiting.len());
        }
    }

    /// What it tells of its queue now, if anything.
    pub fn report(&mut self, now: Micros) -> Option<f64> {
        let waiting = self.waiting.len();
        self.gauge.as_mut().map(|gauge| gauge.read(now, waiting))
    }

    /// Begins on a job of so much work that waits on others for `io` besides. Beyond its cores, jobs that need
    /// one share them. Gives back when it will be done.
    pub fn begin(&mut self, now: Micros, key: FlightKey, (work, io): (f64, Micros), fleet: &Fleet) -> Micros {
        let alone = work / self.pace(now, fleet);
        let busy = alone / (alone + io as f64).max(1e-9);
        let wanted: f64 = self.working.iter().map(|job| job.busy).sum::<f64>() + busy;
        let share = (wanted / f64::from(self.cores)).max(1.0);
        let pause = self.paused_until.saturating_sub(now);
        let ends = now + pause + (alone * share).max(1.0) as Micros + io;
        self.working.push(Job { key, ends, busy });
        ends
    }

    /// When it will be done with all that it holds.
    pub fn free_at(&self, now: Micros, fleet: &Fleet) -> Micros {
        let cores = f64::from(self.cores);
        let left: u64 = self.working.iter().map(|job| job.ends.saturating_sub(now)).sum();
        now + (left as f64 / cores + self.waiting_work / (self.pace(now, fleet) * cores)) as Micros
    }

    /// Takes an idle connection, if there is one; those idle for too long are closed.
    pub fn reuse(&mut self, balancer: usize, now: Micros, idle: Micros) -> bool {
        let pool = &mut self.pools[balancer].0;
        let old = pool.partition_point(|at| at.saturating_add(idle) <= now);
        pool.drain(..old);
        self.connections = self.connections.saturating_sub(old as u32);
        pool.pop().is_some()
    }

    /// Opens a connection, unless the table is full.
    pub fn connect(&mut self, fleet: &Fleet) -> bool {
        let free = self.connections < self.cores * fleet.connections_per_core;
        self.connections += u32::from(free);
        free
    }

    /// A connection is free again.
    pub fn park(&mut self, balancer: usize, now: Micros) {
        self.pools[balancer].0.push(now);
    }

    /// A connection ends.
    pub fn disconnect(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    /// A balancer closes its idle connections, or has died.
    pub fn drop_idle(&mut self, balancer: usize) {
        let count = self.pools[balancer].0.len() as u32;
        self.pools[balancer].0.clear();
        self.connections = self.connections.saturating_sub(count);
    }

    /// Its process ends: all connections and all work go with it. Gives back the attempts that it held.
    pub fn stop(&mut self) -> Vec<FlightKey> {
        self.state = State::Down;
        self.life += 1;
        self.pools.iter_mut().for_each(|pool| pool.0.clear());
        self.connections = 0;
        self.waiting_work = 0.0;
        self.sent.clear();
        let working = std::mem::take(&mut self.working);
        self.waiting.drain(..).chain(working.into_iter().map(|job| job.key)).collect()
    }

    /// Its process starts, cold.
    pub fn start(&mut self, now: Micros) {
        self.state = State::Up;
        self.life += 1;
        self.started = now.max(1);
        self.paused_until = 0;
        if let Some(gauge) = &mut self.gauge {
            gauge.reset(now);
        }
    }

    /// Counts work that reaches it while it is cold, whether or not it is taken: what it is sent within the
    /// window must stay under the multiple of what it can do, with a little room for chance.
    pub fn bears(&mut self, now: Micros, work: f64, told: bool, fleet: &Fleet, rule: (f64, Micros)) -> Fall {
        if self.started == 0 || now >= self.started + seconds(fleet.warm_s) {
            return Fall::Bears;
        }
        let (multiple, window) = rule;
        while self.sent.front().is_some_and(|(at, ..)| at + window <= now) {
            self.sent.pop_front();
        }
        self.sent.push_back((now, work, told));
        // A window that has only begun is not judged by one heavy request.
        let chance = 3.0 * work;
        let sum: f64 = self.sent.iter().map(|(_, work, _)| work).sum();
        let bound = multiple * self.warmth(now, fleet) * self.speed * f64::from(self.cores) * window as f64;
        if sum <= bound * 1.05 + chance {
            return Fall::Bears;
        }
        let knew: f64 = self.sent.iter().filter(|(.., told)| *told).map(|(_, work, _)| work).sum();
        if knew * 3.0 >= sum * 2.0 { Fall::Blame } else { Fall::Unknown }
    }

    /// Work that it may still be sent now.
    pub fn room(&self, now: Micros, fleet: &Fleet, (multiple, window): (f64, Micros)) -> f64 {
        if self.started == 0 || now >= self.started + seconds(fleet.warm_s) {
            return f64::INFINITY;
        }
        let lately = self.sent.iter().filter(|(at, ..)| at + window > now);
        let bound = multiple * self.warmth(now, fleet) * self.speed * f64::from(self.cores) * window as f64;
        0.7 * bound - lately.map(|(_, work, _)| work).sum::<f64>()
    }
}

#[cfg(test)]
mod tests;
