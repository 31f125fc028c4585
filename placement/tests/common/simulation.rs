//! A seeded simulation of servers that run requests in batches, after the figures of inference engines on the deployment pages:
//! prefill chunks of 2,048 tokens between steps, memory shared with cached chunks, transfers over links, late events.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

use super::{
    Arc, AttemptId, AttemptOutcome, CacheEvent, Counters, MODEL, MS, Micros, PlacementConfig,
    PlacementRequest, Placer, PromptChunk, STORE, ServerEntry, ServerLoadReport, ServiceSpec, ZONES, chunk,
    entry, pool, request, shelf, store_address,
};

const STEP_MS: f64 = 5.47;
const STEP_EACH_MS: f64 = 0.0121;
const READ_TOKENS_PER_MS: f64 = 38.7;
const PIECE: u32 = 2_048;
const SETUP_MS: f64 = 1.7;
const MISS_MS: f64 = 1.0;
const EVENT_LAG: Micros = 80 * MS;
const LOST_EVENTS: u64 = 100;
const WAY: Micros = 500;

/// How requests are placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    Placer,
    Random,
    Hash,
}

#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub policy: Policy,
    pub servers: u16,
    pub balancers: usize,
    /// Requests a second of the long and the short kind.
    pub rates: [f64; 2],
    pub subjects: u64,
    pub seconds: u64,
    pub slots: u32,
    pub with_store: bool,
    pub seed: u64,
}

#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Times to first token in milliseconds, of the long and the short kind.
    pub first_ms: [Vec<f64>; 2],
    /// Tokens of shared chunks that were computed again.
    pub read_again: u64,
    pub moved: u64,
    pub refused: u64,
    pub choices: u64,
    pub counters: Vec<Counters>,
}

impl Outcome {
    pub fn percentile(&self, kind: usize, share: f64) -> f64 {
        let mut times = self.first_ms[kind].clone();
        times.sort_by(f64::total_cmp);
        times[((times.len() - 1) as f64 * share) as usize]
    }

    pub fn late(&self, kind: usize, aim_ms: f64) -> f64 {
        let times = &self.first_ms[kind];
        times.iter().filter(|t| **t > aim_ms).count() as f64 / times.len() as f64
    }
}

struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        gradepaddle::cost::mix(self.0)
    }
    fn unit(&mut self) -> f64 {
        ((self.next() >> 11) as f64 + 0.5) / (1u64 << 53) as f64
    }
    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * self.unit().ln()
    }
    /// Log-normal with this mean, cut at `most`.
    fn around(&mut self, mean: f64, spread: f64, most: f64) -> u32 {
        let normal = (-2.0 * self.unit().ln()).sqrt() * (std::f64::consts::TAU * self.unit()).cos();
        (mean * (spread * normal - spread * spread / 2.0).exp()).clamp(1.0, most) as u32
    }
}

#[derive(Clone, Debug)]
struct Job {
    kind: usize,
    came: Micros,
    balancer: usize,
    attempt: Option<AttemptId>,
    chunks: Vec<PromptChunk>,
    salt: Arc<str>,
    unread: u32,
    out: u32,
    save: bool,
}

#[derive(Default)]
struct Cache {
    room: u64,
    used: u64,
    chunks: HashMap<(Arc<str>, u64), (u32, u64)>,
    order: BTreeMap<u64, (Arc<str>, u64)>,
    clock: u64,
}

impl Cache {
    fn touch(&mut self, salt: &Arc<str>, chunk: &PromptChunk) {
        self.clock += 1;
        let clock = self.clock;
        if let Some((tokens, stamp)) = self.chunks.get_mut(&(salt.clone(), chunk.id)) {
            self.order.remove(stamp);
            (*tokens, *stamp) = (chunk.tokens, clock);
        } else {
            self.chunks.insert((salt.clone(), chunk.id), (chunk.tokens, clock));
            self.used += u64::from(chunk.tokens);
        }
        self.order.insert(clock, (salt.clone(), chunk.id));
    }

    /// Evicts the least recently used chunks beyond the capacity that running requests leave.
    fn shrink(&mut self, running: u64) -> Vec<((Arc<str>, u64), u32)> {
        let mut dropped = Vec::new();
        while self.used + running > self.room {
            let Some((_, key)) = self.order.pop_first() else { break };
            let (tokens, _) = self.chunks.remove(&key).expect("it is in both");
            self.used -= u64::from(tokens);
            dropped.push((key, tokens));
        }
        dropped
    }

    fn head(&self, salt: &Arc<str>, chunks: &[PromptChunk]) -> usize {
        chunks.iter().take_while(|chunk| self.chunks.contains_key(&(salt.clone(), chunk.id))).count()
    }
}

struct Machine {
    entry: ServerEntry,
    speed: f64,
    jobs: Vec<Job>,
    queue: Vec<Job>,
    stepping: bool,
    reading: Vec<(usize, u32)>,
    cache: Cache,
    link_until: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Arrival,
    Job(usize, usize),
    Step(usize),
    Told(usize, String, Arc<str>, u64, u32, bool),
}

pub struct Simulation {
    plan: Plan,
    random: Random,
    placers: Vec<Placer>,
    machines: Vec<Machine>,
    store: Cache,
    store_link: Micros,
    events: BinaryHeap<Reverse<(Micros, u64, Happening)>>,
    number: u64,
    jobs: HashMap<usize, Job>,
    read_before: HashMap<(Arc<str>, u64), ()>,
    sizes: HashMap<u64, u32>,
    outcome: Outcome,
}

impl Simulation {
    pub fn new(plan: Plan) -> Simulation {
        let speeds = [1.0, 1.0, 1.3];
        let machines = (0..plan.servers).map(|number| Machine {
            entry: ServerEntry { slots: plan.slots, ..entry(number, 1) },
            speed: speeds[usize::from(number / 3) % 3],
            jobs: Vec::new(),
            queue: Vec::new(),
            stepping: false,
            reading: Vec::new(),
            cache: Cache { room: 105_065, ..Cache::default() },
            link_until: 0,
        });
        let machines: Vec<Machine> = machines.collect();
        let placers = (0..plan.balancers).map(|node| {
            let config = PlacementConfig::builder().own_zone(ZONES[node % 3]).seed(node as u64).build();
            let mut placer = Placer::new(config);
            let mut services = vec![ServiceSpec::Model(pool())];
            if plan.with_store {
                services.push(ServiceSpec::Store(shelf()));
            }
            placer.set_services(0, services);
            placer.set_balancer_count(plan.balancers);
            machines.iter().for_each(|machine| placer.update_server(0, machine.entry.clone()));
            placer
        });
        Simulation {
            random: Random(plan.seed),
            placers: placers.collect(),
            machines,
            store: Cache { room: 1_354_697, ..Cache::default() },
            store_link: 0,
            events: BinaryHeap::new(),
            number: 0,
            jobs: HashMap::new(),
            read_before: HashMap::new(),
            sizes: HashMap::new(),
            outcome: Outcome::default(),
            plan,
        }
    }

    fn at(&mut self, when: Micros, what: Happening) {
        self.number += 1;
        self.events.push(Reverse((when, self.number, what)));
    }

    pub fn run(mut self) -> Outcome {
        self.at(1_000, Happening::Arrival);
        while let Some(Reverse((now, _, what))) = self.events.pop() {
            match what {
                Happening::Arrival => self.arrive(now),
                Happening::Job(machine, job) => {
                    let job = self.jobs.remove(&job).expect("sent once");
                    self.take(now, machine, job);
                }
                Happening::Step(machine) => self.stepped(now, machine),
                Happening::Told(node, holder, salt, chunk, tokens, added) => {
                    let kept = match added {
                        true => CacheEvent::Added { salt: &salt, chunk, tokens, model: MODEL },
                        false => CacheEvent::Dropped { salt: &salt, chunk, tokens: 0, model: MODEL },
                    };
                    self.placers[node].apply_cache_event(now, &holder, kept);
                }
            }
        }
        self.outcome.counters = self.placers.iter().map(Placer::counters).collect();
        self.outcome
    }

    fn size(&mut self, id: u64, mean: f64, spread: f64, most: f64) -> PromptChunk {
        let mut random = Random(id ^ self.plan.seed << 20);
        chunk(id, *self.sizes.entry(id).or_insert_with(|| random.around(mean, spread, most)))
    }

    fn prompt(&mut self, kind: usize) -> (Vec<PromptChunk>, u32) {
        let own = self.random.next() | 1 << 63;
        let draw = self.random.unit();
        if kind == 0 {
            // A slight skew: low subjects come more often.
            let subject = (draw.powf(1.4) * self.plan.subjects as f64) as u64;
            let group = self.size(1 + subject % 4, 2_520.0, 0.4, 6_290.0);
            let subject = self.size(1_000 + subject, 3_780.0, 0.7, 11_300.0);
            let own = chunk(own, self.random.around(2_890.0, 1.0, 39_600.0));
            (vec![group, subject, own], self.random.around(13.0, 1.0, 52.0))
        } else {
            let subject = (draw.powf(1.4) * 542.0) as u64;
            let group = self.size(100_000 + subject % 20, 119.0, 0.4, 298.0);
            let subject = self.size(200_000 + subject, 79.4, 0.7, 238.0);
            let own = chunk(own, self.random.around(628.0, 1.0, 3_310.0));
            (vec![group, subject, own], self.random.around(72.9, 0.69, 238.0))
        }
    }

    fn arrive(&mut self, now: Micros) {
        let rate = self.plan.rates[0] + self.plan.rates[1];
        let next = now + (self.random.exponential(1e6 / rate)) as Micros + 1;
        if next < self.plan.seconds * 1_000_000 {
            self.at(next, Happening::Arrival);
        }
        let kind = usize::from(self.random.unit() * rate > self.plan.rates[0]);
        // Shares of the balancers are uneven.
        let balancer = ((self.random.unit().powf(1.3)) * self.plan.balancers as f64) as usize;
        let (chunks, out) = self.prompt(kind);
        let salt: Arc<str> = Arc::from("fixed");
        let job = Job { kind, came: now, balancer, attempt: None, unread: 0, out, salt, save: false, chunks };
        self.outcome.choices += 1;
        let machine = match self.plan.policy {
            Policy::Random => (self.random.next() % u64::from(self.plan.servers)) as usize,
            Policy::Hash => {
                let key = gradepaddle::cost::mix(job.chunks[1].id);
                let hash = |at: &usize| gradepaddle::cost::mix(key ^ gradepaddle::cost::mix(*at as u64 + 1));
                (0..self.machines.len()).max_by_key(hash).expect("there are servers")
            }
            Policy::Placer => return self.place(now, job),
        };
        self.deliver(now + WAY, machine, job);
    }

    fn place(&mut self, now: Micros, mut job: Job) {
        let request = PlacementRequest {
            max_output_tokens: job.out,
            priority: 1 - job.kind as u8,
            latency_target: [800 * MS, 400 * MS][job.kind],
            ..request(&job.chunks)
        };
        let Ok(choice) = self.placers[job.balancer].place(now, &request, &[]) else {
            self.outcome.refused += 1;
            return;
        };
        let machine = self.machines.iter().position(|m| m.entry.id == choice.server).expect("known");
        (job.attempt, job.salt) = (Some(choice.attempt), choice.salt.expect("always set"));
        job.save = choice.save.is_some();
        let source = choice.fetch.and_then(|at| self.machines.iter().position(|m| m.entry.address == at));
        let from_store = choice.fetch == Some(store_address());
        let arrives = match (source, from_store) {
            (Some(source), _) => self.fetch(now + WAY, machine, Some(source), &job),
            (None, true) => self.fetch(now + WAY, machine, None, &job),
            (None, false) => now + WAY,
        };
        self.deliver(arrives, machine, job);
    }

    /// Transfers what the source has beyond the server's own; when the transfer is complete.
    fn fetch(&mut self, now: Micros, machine: usize, source: Option<usize>, job: &Job) -> Micros {
        let own = self.machines[machine].cache.head(&job.salt, &job.chunks);
        let (cache, link, until) = match source {
            Some(at) => (&self.machines[at].cache, 1_100_000.0, self.machines[at].link_until),
            None => (&self.store, 450_000.0, self.store_link),
        };
        let there = cache.head(&job.salt, &job.chunks);
        if there <= own {
            return now + (MISS_MS * 1e3) as Micros;
        }
        let moved: Vec<PromptChunk> = job.chunks[own..there].to_vec();
        let tokens: u32 = moved.iter().map(|chunk| chunk.tokens).sum();
        self.outcome.moved += u64::from(tokens);
        let takes = SETUP_MS + f64::from(tokens) * 327_680.0 * 8.0 / (link * 1e3);
        let end = until.max(now) + (takes * 1e3) as Micros;
        match source {
            Some(at) => self.machines[at].link_until = end,
            None => self.store_link = end,
        }
        for chunk in &moved {
            self.cache_chunks(end, machine, &job.salt, chunk);
        }
        end
    }

    fn cache_chunks(&mut self, now: Micros, machine: usize, salt: &Arc<str>, chunk: &PromptChunk) {
        let server = &mut self.machines[machine];
        server.cache.touch(salt, chunk);
        let running: u64 = server.jobs.iter().map(|job| u64::from(job.out)).sum();
        let dropped = server.cache.shrink(running);
        let id = server.entry.id.to_string();
        self.tell(now, &id, salt, chunk, true);
        for ((salt, id_of), tokens) in dropped {
            self.tell(now, &id, &salt, &super::chunk(id_of, tokens), false);
        }
    }

    fn tell(&mut self, now: Micros, holder: &str, salt: &Arc<str>, chunk: &PromptChunk, added: bool) {
        if self.plan.policy != Policy::Placer {
            return;
        }
        for node in 0..self.plan.balancers {
            if !self.random.next().is_multiple_of(LOST_EVENTS) {
                let told =
                    Happening::Told(node, holder.to_string(), salt.clone(), chunk.id, chunk.tokens, added);
                self.at(now + EVENT_LAG, told);
            }
        }
    }

    fn deliver(&mut self, when: Micros, machine: usize, job: Job) {
        self.number += 1;
        let number = self.number as usize;
        self.jobs.insert(number, job);
        self.at(when, Happening::Job(machine, number));
    }

    fn take(&mut self, now: Micros, machine: usize, mut job: Job) {
        let kept = self.machines[machine].cache.head(&job.salt, &job.chunks);
        job.unread = job.chunks[kept..].iter().map(|chunk| chunk.tokens).sum();
        let count = job.chunks.len() - 1;
        for chunk in &job.chunks[kept.min(count)..count] {
            if self.read_before.insert((job.salt.clone(), chunk.id), ()).is_some() {
                self.outcome.read_again += u64::from(chunk.tokens);
            }
        }
        for chunk in &job.chunks[..kept] {
            self.machines[machine].cache.touch(&job.salt, chunk);
        }
        let server = &mut self.machines[machine];
        server.queue.push(job);
        server.queue.sort_by_key(|job| (1 - job.kind, job.came));
        self.step(now, machine);
    }

    fn step(&mut self, now: Micros, machine: usize) {
        let server = &mut self.machines[machine];
        if server.stepping {
            return;
        }
        while server.jobs.len() < server.entry.slots as usize && !server.queue.is_empty() {
            let job = server.queue.remove(0);
            server.jobs.push(job);
        }
        if server.jobs.is_empty() {
            return;
        }
        let mut piece = PIECE;
        server.reading.clear();
        for (at, job) in server.jobs.iter().enumerate().filter(|(_, job)| job.unread > 0) {
            let reads = job.unread.min(piece);
            server.reading.push((at, reads));
            piece -= reads;
        }
        let read: u32 = PIECE - piece;
        let takes = STEP_MS + STEP_EACH_MS * server.jobs.len() as f64 + f64::from(read) / READ_TOKENS_PER_MS;
        server.stepping = true;
        let end = now + (takes * server.speed * 1e3) as Micros;
        self.at(end, Happening::Step(machine));
    }

    fn stepped(&mut self, now: Micros, machine: usize) {
        let server = &mut self.machines[machine];
        server.stepping = false;
        let reading = std::mem::take(&mut server.reading);
        let mut first = Vec::new();
        for (at, reads) in reading {
            server.jobs[at].unread -= reads;
            if server.jobs[at].unread == 0 && reads > 0 {
                first.push(server.jobs[at].clone());
            }
        }
        let report = ServerLoadReport {
            running: server.jobs.iter().filter(|job| job.unread == 0).count() as u32,
            waiting: (server.jobs.iter().filter(|job| job.unread > 0).count() + server.queue.len()) as u32,
            slots: server.entry.slots,
        };
        let mut ended = Vec::new();
        server.jobs.retain_mut(|job| {
            if job.unread == 0 {
                job.out = job.out.saturating_sub(1);
            }
            let done = job.unread == 0 && job.out == 0;
            if done {
                ended.push(job.clone());
            }
            !done
        });
        for job in first {
            self.begun(now, machine, &job, report);
        }
        for job in ended {
            if let Some(attempt) = job.attempt {
                self.placers[job.balancer].record_end(now + WAY, attempt, AttemptOutcome::Served, None, None);
            }
        }
        self.step(now, machine);
    }

    fn begun(&mut self, now: Micros, machine: usize, job: &Job, report: ServerLoadReport) {
        let took = (now + WAY - job.came) as f64 / 1e3;
        // The first seconds are left out: all caches are empty.
        if job.came > 5_000_000 {
            self.outcome.first_ms[job.kind].push(took);
        }
        for chunk in &job.chunks {
            self.cache_chunks(now, machine, &job.salt, chunk);
            if job.save {
                self.store.touch(&job.salt, chunk);
                self.store.shrink(0);
                self.tell(now, STORE, &job.salt, chunk, true);
            }
        }
        if let Some(attempt) = job.attempt {
            let id = self.machines[machine].entry.id.clone();
            self.placers[job.balancer].record_first_event(now + WAY, attempt);
            self.placers[job.balancer].observe_server_load(now + WAY, &id, report);
            self.placers[job.balancer].record_cache_contact(now + WAY, STORE);
        }
    }
}
