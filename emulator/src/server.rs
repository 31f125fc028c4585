//! An app server: cores, job slots, a queue, a cold start, a cache of content keys, connections, pauses and
//! errors.

use std::collections::VecDeque;

use gradepaddle::{Id, Micros};

use crate::queue::UpstreamRequestKey;
use crate::queue_reporter::QueueReporter;
use crate::random::Stream;
use crate::scenario::{Fleet, seconds};

/// The state of an app server's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It accepts requests.
    Up,
    /// It completes the requests that it holds and rejects new ones.
    Draining,
    /// Its process has ended.
    Down,
}

/// An app server's cache of content keys, bounded in size and in retention time.
#[derive(Clone, Debug, Default)]
pub struct KeyCache {
    keys: Vec<u32>,
    last_used: Vec<Micros>,
    capacity: usize,
    retention: Micros,
}

impl KeyCache {
    /// An empty cache for `capacity` keys, each kept for `retention` after its last use.
    pub fn new(capacity: usize, retention: Micros) -> Self {
        KeyCache { capacity, retention, ..KeyCache::default() }
    }

    /// Whether the key is cached and has not expired.
    pub fn contains(&self, now: Micros, key: u32) -> bool {
        let at = self.keys.iter().position(|known| *known == key);
        at.is_some_and(|at| now.saturating_sub(self.last_used[at]) <= self.retention)
    }

    /// Records a use of a key; evicts the least recently used key if the cache is full.
    pub fn insert(&mut self, now: Micros, key: u32) {
        if self.capacity == 0 {
            return;
        }
        if let Some(at) = self.keys.iter().position(|known| *known == key) {
            self.last_used[at] = now;
        } else if self.keys.len() < self.capacity {
            self.keys.push(key);
            self.last_used.push(now);
        } else if let Some(at) = (0..self.last_used.len()).min_by_key(|at| self.last_used[*at]) {
            (self.keys[at], self.last_used[at]) = (key, now);
        }
    }
}

/// One balancer's idle connections to one app server, as the times of their last use in ascending order.
#[derive(Clone, Debug, Default)]
pub struct IdlePool(Vec<Micros>);

/// An attempt or deep probe in work.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// The attempt or probe that it works on.
    pub key: UpstreamRequestKey,
    /// When it will be done.
    pub ends: Micros,
    /// The share of its running time in which it needs a core; in the rest it waits on I/O.
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
    /// Its speed relative to a standard core.
    pub speed: f64,
    /// The incarnation of the process, increased at each start and stop.
    pub incarnation: u32,
    pub state: State,
    /// When it last started; 0 if it was already running when the day began.
    pub started: Micros,
    /// Queued attempts, in order of arrival.
    pub waiting: VecDeque<UpstreamRequestKey>,
    /// The sum of the work of the queued attempts.
    pub waiting_work: f64,
    /// Jobs in progress.
    pub working: Vec<Job>,
    /// The end of its current pause.
    pub paused_until: Micros,
    /// The factor by which it is slower than usual.
    pub slowness: f64,
    /// The share of its machine's CPU that another program takes.
    pub neighbour: f64,
    /// The share of requests that it answers immediately with an error.
    pub errors: f64,
    idle_pools: Vec<IdlePool>,
    /// Open connections, idle or in use.
    pub connections: u32,
    /// What reached it recently while it was cold: time, work, and whether the sending balancer had been told
    /// of its start.
    cold_work: VecDeque<(Micros, f64, bool)>,
    /// Reports its queue length, if load reports are on.
    queue_reporter: Option<QueueReporter>,
    pub stream: Stream,
}

/// The parameters of a new app server.
pub struct ServerStart {
    pub id: Id,
    pub zone: u32,
    pub kind: u32,
    pub cell: u32,
    pub cores: u32,
    pub speed: f64,
    pub started: Micros,
    pub balancers: usize,
    pub queue_reporter: Option<QueueReporter>,
    pub stream: Stream,
}

/// Whether a cold app server withstands the load that it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdLoad {
    /// The load is within its limit.
    WithinLimit,
    /// Overloaded: it crashes, and at least two thirds of the work came from balancers that had been told of
    /// its start.
    OverloadedKnowingly,
    /// Overloaded: it crashes, but too much of the work came from balancers that had not been told of its
    /// start.
    OverloadedUnknowingly,
}

impl Server {
    /// An app server that is up from now on.
    pub fn new(start: ServerStart) -> Self {
        let ServerStart { id, zone, kind, cell, cores, speed, started, balancers, queue_reporter, stream } =
            start;
        Server {
            id,
            zone,
            kind,
            cell,
            cores,
            speed,
            incarnation: 0,
            state: State::Up,
            started,
            waiting: VecDeque::new(),
            waiting_work: 0.0,
            working: Vec::new(),
            paused_until: 0,
            slowness: 1.0,
            neighbour: 0.0,
            errors: 0.0,
            idle_pools: vec![IdlePool::default(); balancers],
            connections: 0,
            cold_work: VecDeque::new(),
            queue_reporter,
            stream,
        }
    }

    /// The number of requests that it holds, queued or in work.
    pub fn held(&self) -> usize {
        self.waiting.len() + self.working.len()
    }

    /// The share of its full capacity that it has reached in its warm-up.
    pub fn warmth(&self, now: Micros, fleet: &Fleet) -> f64 {
        if self.started == 0 {
            return 1.0;
        }
        let age = now.saturating_sub(self.started) as f64 / seconds(fleet.warm_s).max(1) as f64;
        fleet.cold_from + (1.0 - fleet.cold_from) * age.min(1.0)
    }

    /// Work that one of its cores completes per microsecond.
    pub fn core_throughput(&self, now: Micros, fleet: &Fleet) -> f64 {
        let cap = f64::from(self.cores * fleet.connections_per_core).max(1.0);
        let tax = fleet.full_tax * (f64::from(self.connections) / cap).min(1.0);
        let held = self.held() as f64 / f64::from(self.cores);
        let thrash = fleet.thrash * (held - fleet.thrash_at).max(0.0);
        let own = self.speed * (1.0 - self.neighbour);
        own * self.warmth(now, fleet) * (1.0 - tax) / (self.slowness * (1.0 + thrash))
    }

    /// Whether it has a free job slot.
    pub fn has_slot(&self, fleet: &Fleet) -> bool {
        self.working.len() < (self.cores * fleet.slots_per_core) as usize
    }

    /// Whether it has a free job slot or queue place.
    pub fn has_room(&self, fleet: &Fleet) -> bool {
        self.has_slot(fleet) || self.waiting.len() < (self.cores * fleet.queue_per_core) as usize
    }

    /// Appends an attempt to the queue.
    pub fn enqueue(&mut self, now: Micros, key: UpstreamRequestKey, work: f64) {
        self.record_queue(now);
        self.waiting.push_back(key);
        self.waiting_work += work;
    }

    /// Removes and returns the oldest attempt of the queue.
    pub fn dequeue(&mut self, now: Micros) -> Option<UpstreamRequestKey> {
        self.record_queue(now);
        self.waiting.pop_front()
    }

    fn record_queue(&mut self, now: Micros) {
        if let Some(queue_reporter) = &mut self.queue_reporter {
            queue_reporter.record(now, self.waiting.len());
        }
    }

    /// The queue length that it reports now, if load reports are on.
    pub fn report(&mut self, now: Micros) -> Option<f64> {
        let waiting = self.waiting.len();
        self.queue_reporter.as_mut().map(|queue_reporter| queue_reporter.read(now, waiting))
    }

    /// Starts a job with this much work and, in addition, `io` of waiting on I/O. Jobs share the cores when
    /// they need more of them than there are. Returns when the job will be done.
    pub fn start_job(
        &mut self,
        now: Micros,
        key: UpstreamRequestKey,
        (work, io): (f64, Micros),
        fleet: &Fleet,
    ) -> Micros {
        let alone = work / self.core_throughput(now, fleet);
        let busy = alone / (alone + io as f64).max(1e-9);
        let wanted: f64 = self.working.iter().map(|job| job.busy).sum::<f64>() + busy;
        let share = (wanted / f64::from(self.cores)).max(1.0);
        let pause = self.paused_until.saturating_sub(now);
        let ends = now + pause + (alone * share).max(1.0) as Micros + io;
        self.working.push(Job { key, ends, busy });
        ends
    }

    /// When it will have completed all the requests that it holds.
    pub fn free_at(&self, now: Micros, fleet: &Fleet) -> Micros {
        let cores = f64::from(self.cores);
        let left: u64 = self.working.iter().map(|job| job.ends.saturating_sub(now)).sum();
        now + (left as f64 / cores + self.waiting_work / (self.core_throughput(now, fleet) * cores)) as Micros
    }

    /// Takes an idle connection if there is one. Closes those that have been idle for too long.
    pub fn take_idle_connection(&mut self, balancer: usize, now: Micros, idle: Micros) -> bool {
        let idle_pool = &mut self.idle_pools[balancer].0;
        let old = idle_pool.partition_point(|at| at.saturating_add(idle) <= now);
        idle_pool.drain(..old);
        self.connections = self.connections.saturating_sub(old as u32);
        idle_pool.pop().is_some()
    }

    /// Opens a connection, unless the table is full.
    pub fn connect(&mut self, fleet: &Fleet) -> bool {
        let free = self.connections < self.cores * fleet.connections_per_core;
        self.connections += u32::from(free);
        free
    }

    /// Returns a connection to the idle pool.
    pub fn return_connection(&mut self, balancer: usize, now: Micros) {
        self.idle_pools[balancer].0.push(now);
    }

    /// Closes a connection in use.
    pub fn disconnect(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    /// Closes all idle connections of a balancer that drops them or has ended.
    pub fn close_idle(&mut self, balancer: usize) {
        let count = self.idle_pools[balancer].0.len() as u32;
        self.idle_pools[balancer].0.clear();
        self.connections = self.connections.saturating_sub(count);
    }

    /// Ends its process, with all of its connections and work. Returns the attempts that it held.
    pub fn stop(&mut self) -> Vec<UpstreamRequestKey> {
        self.state = State::Down;
        self.incarnation += 1;
        self.idle_pools.iter_mut().for_each(|idle_pool| idle_pool.0.clear());
        self.connections = 0;
        self.waiting_work = 0.0;
        self.cold_work.clear();
        let working = std::mem::take(&mut self.working);
        self.waiting.drain(..).chain(working.into_iter().map(|job| job.key)).collect()
    }

    /// Starts its process, cold.
    pub fn start(&mut self, now: Micros) {
        self.state = State::Up;
        self.incarnation += 1;
        self.started = now.max(1);
        self.paused_until = 0;
        if let Some(queue_reporter) = &mut self.queue_reporter {
            queue_reporter.reset(now);
        }
    }

    /// Counts work that reaches it while it is cold, whether or not it is accepted. The work within the
    /// window must stay below the multiple of its present capacity, with a tolerance for random variation.
    pub fn record_cold_load(
        &mut self,
        now: Micros,
        work: f64,
        knew_start: bool,
        fleet: &Fleet,
        rule: (f64, Micros),
    ) -> ColdLoad {
        if self.started == 0 || now >= self.started + seconds(fleet.warm_s) {
            return ColdLoad::WithinLimit;
        }
        let (multiple, window) = rule;
        while self.cold_work.front().is_some_and(|(at, ..)| at + window <= now) {
            self.cold_work.pop_front();
        }
        self.cold_work.push_back((now, work, knew_start));
        // Keeps a single heavy request from exceeding the limit in a window that has only begun.
        let tolerance = 3.0 * work;
        let sum: f64 = self.cold_work.iter().map(|(_, work, _)| work).sum();
        let bound = multiple * self.warmth(now, fleet) * self.speed * f64::from(self.cores) * window as f64;
        if sum <= bound * 1.05 + tolerance {
            return ColdLoad::WithinLimit;
        }
        let knowing_work: f64 =
            self.cold_work.iter().filter(|(.., knew_start)| *knew_start).map(|(_, work, _)| work).sum();
        if knowing_work * 3.0 >= sum * 2.0 {
            ColdLoad::OverloadedKnowingly
        } else {
            ColdLoad::OverloadedUnknowingly
        }
    }

    /// The work that it may be sent now without risk of overload; unlimited once it is warm.
    pub fn cold_room(&self, now: Micros, fleet: &Fleet, (multiple, window): (f64, Micros)) -> f64 {
        if self.started == 0 || now >= self.started + seconds(fleet.warm_s) {
            return f64::INFINITY;
        }
        let recent = self.cold_work.iter().filter(|(at, ..)| at + window > now);
        let bound = multiple * self.warmth(now, fleet) * self.speed * f64::from(self.cores) * window as f64;
        0.7 * bound - recent.map(|(_, work, _)| work).sum::<f64>()
    }
}

#[cfg(test)]
mod tests;
