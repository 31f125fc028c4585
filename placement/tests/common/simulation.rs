//! A seeded simulation of servers that run requests in batches, with the parameters of the inference engines on the deployment
//! pages: prefill in chunks of 2,048 tokens between decode steps, memory that running requests share with cached chunks,
//! transfers over links, and delayed cache events.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

use super::{
    Arc, AttemptId, AttemptOutcome, CacheEvent, Counters, MODEL, MS, Micros, PlacementConfig,
    PlacementRequest, Placer, PromptChunk, STORE, ServerEntry, ServerLoadReport, ServiceSpec, ZONES,
    cache_store, chunk, entry, model_service, request, store_address,
};

const DECODE_STEP_MS: f64 = 5.47;
const DECODE_STEP_PER_REQUEST_MS: f64 = 0.0121;
const PREFILL_TOKENS_PER_MS: f64 = 38.7;
const PREFILL_CHUNK_TOKENS: u32 = 2_048;
const TRANSFER_SETUP_MS: f64 = 1.7;
/// The duration of a fetch that finds nothing.
const FETCH_MISS_MS: f64 = 1.0;
const CACHE_EVENT_DELAY: Micros = 80 * MS;
/// One in this many cache events is lost.
const EVENTS_PER_LOST_EVENT: u64 = 100;
/// The delay of a message in one direction.
const NETWORK_DELAY: Micros = 500;

/// How requests are placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    Placer,
    Random,
    Hash,
}

#[derive(Clone, Copy, Debug)]
pub struct SimulationConfig {
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
pub struct SimulationResult {
    /// Times to first token in milliseconds, of the long and the short kind.
    pub first_token_ms: [Vec<f64>; 2],
    /// Tokens of shared chunks that were computed again.
    pub recomputed_tokens: u64,
    pub transferred_tokens: u64,
    pub rejected: u64,
    pub requests: u64,
    pub counters: Vec<Counters>,
}

impl SimulationResult {
    pub fn percentile(&self, kind: usize, share: f64) -> f64 {
        let mut times = self.first_token_ms[kind].clone();
        times.sort_by(f64::total_cmp);
        times[((times.len() - 1) as f64 * share) as usize]
    }

    pub fn share_above(&self, kind: usize, target_ms: f64) -> f64 {
        let times = &self.first_token_ms[kind];
        times.iter().filter(|t| **t > target_ms).count() as f64 / times.len() as f64
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
    /// A log-normal number with this mean, capped at `max`.
    fn log_normal(&mut self, mean: f64, spread: f64, max: f64) -> u32 {
        let normal = (-2.0 * self.unit().ln()).sqrt() * (std::f64::consts::TAU * self.unit()).cos();
        (mean * (spread * normal - spread * spread / 2.0).exp()).clamp(1.0, max) as u32
    }
}

#[derive(Clone, Debug)]
struct Job {
    kind: usize,
    arrived_at: Micros,
    balancer: usize,
    attempt: Option<AttemptId>,
    chunks: Vec<PromptChunk>,
    salt: Arc<str>,
    /// Prompt tokens whose prefill is not complete.
    uncomputed_tokens: u32,
    /// Output tokens that are not generated yet.
    output_tokens: u32,
    save_to_store: bool,
}

#[derive(Default)]
struct Cache {
    capacity: u64,
    used: u64,
    chunks: HashMap<(Arc<str>, u64), (u32, u64)>,
    by_last_use: BTreeMap<u64, (Arc<str>, u64)>,
    clock: u64,
}

impl Cache {
    fn touch(&mut self, salt: &Arc<str>, chunk: &PromptChunk) {
        self.clock += 1;
        let clock = self.clock;
        if let Some((tokens, stamp)) = self.chunks.get_mut(&(salt.clone(), chunk.id)) {
            self.by_last_use.remove(stamp);
            (*tokens, *stamp) = (chunk.tokens, clock);
        } else {
            self.chunks.insert((salt.clone(), chunk.id), (chunk.tokens, clock));
            self.used += u64::from(chunk.tokens);
        }
        self.by_last_use.insert(clock, (salt.clone(), chunk.id));
    }

    /// Evicts the least recently used chunks beyond the capacity that running requests leave.
    fn evict(&mut self, running: u64) -> Vec<((Arc<str>, u64), u32)> {
        let mut evicted = Vec::new();
        while self.used + running > self.capacity {
            let Some((_, key)) = self.by_last_use.pop_first() else { break };
            let (tokens, _) = self.chunks.remove(&key).expect("both tables have the chunk");
            self.used -= u64::from(tokens);
            evicted.push((key, tokens));
        }
        evicted
    }

    /// The number of chunks from the first one on that are cached.
    fn cached_chunks(&self, salt: &Arc<str>, chunks: &[PromptChunk]) -> usize {
        chunks.iter().take_while(|chunk| self.chunks.contains_key(&(salt.clone(), chunk.id))).count()
    }
}

struct SimulatedServer {
    entry: ServerEntry,
    speed: f64,
    jobs: Vec<Job>,
    queue: Vec<Job>,
    is_stepping: bool,
    prefilling: Vec<(usize, u32)>,
    cache: Cache,
    link_busy_until: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Delivery(usize, usize),
    StepEnd(usize),
    CacheEventArrival(usize, String, Arc<str>, u64, u32, bool),
}

pub struct Simulation {
    config: SimulationConfig,
    random: Random,
    placers: Vec<Placer>,
    servers: Vec<SimulatedServer>,
    store: Cache,
    store_link_busy_until: Micros,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    event_count: u64,
    jobs: HashMap<usize, Job>,
    computed_chunks: HashMap<(Arc<str>, u64), ()>,
    chunk_tokens: HashMap<u64, u32>,
    result: SimulationResult,
}

impl Simulation {
    pub fn new(config: SimulationConfig) -> Simulation {
        let speeds = [1.0, 1.0, 1.3];
        let servers = (0..config.servers).map(|number| SimulatedServer {
            entry: ServerEntry { slots: config.slots, ..entry(number, 1) },
            speed: speeds[usize::from(number / 3) % 3],
            jobs: Vec::new(),
            queue: Vec::new(),
            is_stepping: false,
            prefilling: Vec::new(),
            cache: Cache { capacity: 105_065, ..Cache::default() },
            link_busy_until: 0,
        });
        let servers: Vec<SimulatedServer> = servers.collect();
        let placers = (0..config.balancers).map(|node| {
            let placement_config =
                PlacementConfig::builder().own_zone(ZONES[node % 3]).seed(node as u64).build();
            let mut placer = Placer::new(placement_config);
            let mut services = vec![ServiceSpec::Model(model_service())];
            if config.with_store {
                services.push(ServiceSpec::Store(cache_store()));
            }
            placer.set_services(0, services);
            placer.set_balancer_count(config.balancers);
            servers.iter().for_each(|server| placer.update_server(0, server.entry.clone()));
            placer
        });
        Simulation {
            random: Random(config.seed),
            placers: placers.collect(),
            servers,
            store: Cache { capacity: 1_354_697, ..Cache::default() },
            store_link_busy_until: 0,
            events: BinaryHeap::new(),
            event_count: 0,
            jobs: HashMap::new(),
            computed_chunks: HashMap::new(),
            chunk_tokens: HashMap::new(),
            result: SimulationResult::default(),
            config,
        }
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    pub fn run(mut self) -> SimulationResult {
        self.schedule(1_000, Event::Arrival);
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            match event {
                Event::Arrival => self.handle_arrival(now),
                Event::Delivery(server_index, job) => {
                    let job = self.jobs.remove(&job).expect("sent once");
                    self.enqueue_job(now, server_index, job);
                }
                Event::StepEnd(server_index) => self.end_step(now, server_index),
                Event::CacheEventArrival(node, holder, salt, chunk, tokens, added) => {
                    let event = match added {
                        true => CacheEvent::Added { salt: &salt, chunk, tokens, model: MODEL },
                        false => CacheEvent::Dropped { salt: &salt, chunk, tokens: 0, model: MODEL },
                    };
                    self.placers[node].apply_cache_event(now, &holder, event);
                }
            }
        }
        self.result.counters = self.placers.iter().map(Placer::counters).collect();
        self.result
    }

    fn sized_chunk(&mut self, id: u64, mean: f64, spread: f64, max: f64) -> PromptChunk {
        let mut random = Random(id ^ self.config.seed << 20);
        chunk(id, *self.chunk_tokens.entry(id).or_insert_with(|| random.log_normal(mean, spread, max)))
    }

    fn draw_prompt(&mut self, kind: usize) -> (Vec<PromptChunk>, u32) {
        let own = self.random.next() | 1 << 63;
        let draw = self.random.unit();
        if kind == 0 {
            // A slight skew: low subjects come more often.
            let subject = (draw.powf(1.4) * self.config.subjects as f64) as u64;
            let group = self.sized_chunk(1 + subject % 4, 2_520.0, 0.4, 6_290.0);
            let subject = self.sized_chunk(1_000 + subject, 3_780.0, 0.7, 11_300.0);
            let own = chunk(own, self.random.log_normal(2_890.0, 1.0, 39_600.0));
            (vec![group, subject, own], self.random.log_normal(13.0, 1.0, 52.0))
        } else {
            let subject = (draw.powf(1.4) * 542.0) as u64;
            let group = self.sized_chunk(100_000 + subject % 20, 119.0, 0.4, 298.0);
            let subject = self.sized_chunk(200_000 + subject, 79.4, 0.7, 238.0);
            let own = chunk(own, self.random.log_normal(628.0, 1.0, 3_310.0));
            (vec![group, subject, own], self.random.log_normal(72.9, 0.69, 238.0))
        }
    }

    fn handle_arrival(&mut self, now: Micros) {
        let rate = self.config.rates[0] + self.config.rates[1];
        let next = now + (self.random.exponential(1e6 / rate)) as Micros + 1;
        if next < self.config.seconds * 1_000_000 {
            self.schedule(next, Event::Arrival);
        }
        let kind = usize::from(self.random.unit() * rate > self.config.rates[0]);
        // Shares of the balancers are uneven.
        let balancer = ((self.random.unit().powf(1.3)) * self.config.balancers as f64) as usize;
        let (chunks, output_tokens) = self.draw_prompt(kind);
        let salt: Arc<str> = Arc::from("fixed");
        let job = Job {
            kind,
            arrived_at: now,
            balancer,
            attempt: None,
            uncomputed_tokens: 0,
            output_tokens,
            salt,
            save_to_store: false,
            chunks,
        };
        self.result.requests += 1;
        let server_index = match self.config.policy {
            Policy::Random => (self.random.next() % u64::from(self.config.servers)) as usize,
            Policy::Hash => {
                let key = gradepaddle::cost::mix(job.chunks[1].id);
                let hash = |at: &usize| gradepaddle::cost::mix(key ^ gradepaddle::cost::mix(*at as u64 + 1));
                (0..self.servers.len()).max_by_key(hash).expect("there are servers")
            }
            Policy::Placer => return self.place(now, job),
        };
        self.deliver(now + NETWORK_DELAY, server_index, job);
    }

    fn place(&mut self, now: Micros, mut job: Job) {
        let request = PlacementRequest {
            max_output_tokens: job.output_tokens,
            priority: 1 - job.kind as u8,
            latency_target: [800 * MS, 400 * MS][job.kind],
            ..request(&job.chunks)
        };
        let Ok(placement) = self.placers[job.balancer].place(now, &request, &[]) else {
            self.result.rejected += 1;
            return;
        };
        let server_index = self.servers.iter().position(|m| m.entry.id == placement.server).expect("known");
        (job.attempt, job.salt) = (Some(placement.attempt), placement.salt.expect("always set"));
        job.save_to_store = placement.save.is_some();
        let source = placement.fetch.and_then(|at| self.servers.iter().position(|m| m.entry.address == at));
        let from_store = placement.fetch == Some(store_address());
        let arrives = match (source, from_store) {
            (Some(source), _) => self.fetch(now + NETWORK_DELAY, server_index, Some(source), &job),
            (None, true) => self.fetch(now + NETWORK_DELAY, server_index, None, &job),
            (None, false) => now + NETWORK_DELAY,
        };
        self.deliver(arrives, server_index, job);
    }

    /// Transfers the chunks that the source has beyond the server's own, and returns when the transfer is complete.
    fn fetch(&mut self, now: Micros, server_index: usize, source: Option<usize>, job: &Job) -> Micros {
        let own = self.servers[server_index].cache.cached_chunks(&job.salt, &job.chunks);
        let (cache, link, until) = match source {
            Some(at) => (&self.servers[at].cache, 1_100_000.0, self.servers[at].link_busy_until),
            None => (&self.store, 450_000.0, self.store_link_busy_until),
        };
        let available = cache.cached_chunks(&job.salt, &job.chunks);
        if available <= own {
            return now + (FETCH_MISS_MS * 1e3) as Micros;
        }
        let transferred: Vec<PromptChunk> = job.chunks[own..available].to_vec();
        let tokens: u32 = transferred.iter().map(|chunk| chunk.tokens).sum();
        self.result.transferred_tokens += u64::from(tokens);
        let duration_ms = TRANSFER_SETUP_MS + f64::from(tokens) * 327_680.0 * 8.0 / (link * 1e3);
        let end = until.max(now) + (duration_ms * 1e3) as Micros;
        match source {
            Some(at) => self.servers[at].link_busy_until = end,
            None => self.store_link_busy_until = end,
        }
        for chunk in &transferred {
            self.cache_chunks(end, server_index, &job.salt, chunk);
        }
        end
    }

    fn cache_chunks(&mut self, now: Micros, server_index: usize, salt: &Arc<str>, chunk: &PromptChunk) {
        let server = &mut self.servers[server_index];
        server.cache.touch(salt, chunk);
        let running: u64 = server.jobs.iter().map(|job| u64::from(job.output_tokens)).sum();
        let evicted = server.cache.evict(running);
        let id = server.entry.id.to_string();
        self.send_cache_event(now, &id, salt, chunk, true);
        for ((salt, id_of), tokens) in evicted {
            self.send_cache_event(now, &id, &salt, &super::chunk(id_of, tokens), false);
        }
    }

    fn send_cache_event(
        &mut self,
        now: Micros,
        holder: &str,
        salt: &Arc<str>,
        chunk: &PromptChunk,
        added: bool,
    ) {
        if self.config.policy != Policy::Placer {
            return;
        }
        for node in 0..self.config.balancers {
            if !self.random.next().is_multiple_of(EVENTS_PER_LOST_EVENT) {
                let arrival = Event::CacheEventArrival(
                    node,
                    holder.to_string(),
                    salt.clone(),
                    chunk.id,
                    chunk.tokens,
                    added,
                );
                self.schedule(now + CACHE_EVENT_DELAY, arrival);
            }
        }
    }

    fn deliver(&mut self, at: Micros, server_index: usize, job: Job) {
        self.event_count += 1;
        let number = self.event_count as usize;
        self.jobs.insert(number, job);
        self.schedule(at, Event::Delivery(server_index, number));
    }

    fn enqueue_job(&mut self, now: Micros, server_index: usize, mut job: Job) {
        let cached = self.servers[server_index].cache.cached_chunks(&job.salt, &job.chunks);
        job.uncomputed_tokens = job.chunks[cached..].iter().map(|chunk| chunk.tokens).sum();
        let count = job.chunks.len() - 1;
        for chunk in &job.chunks[cached.min(count)..count] {
            if self.computed_chunks.insert((job.salt.clone(), chunk.id), ()).is_some() {
                self.result.recomputed_tokens += u64::from(chunk.tokens);
            }
        }
        for chunk in &job.chunks[..cached] {
            self.servers[server_index].cache.touch(&job.salt, chunk);
        }
        let server = &mut self.servers[server_index];
        server.queue.push(job);
        server.queue.sort_by_key(|job| (1 - job.kind, job.arrived_at));
        self.start_step(now, server_index);
    }

    fn start_step(&mut self, now: Micros, server_index: usize) {
        let server = &mut self.servers[server_index];
        if server.is_stepping {
            return;
        }
        while server.jobs.len() < server.entry.slots as usize && !server.queue.is_empty() {
            let job = server.queue.remove(0);
            server.jobs.push(job);
        }
        if server.jobs.is_empty() {
            return;
        }
        let mut budget = PREFILL_CHUNK_TOKENS;
        server.prefilling.clear();
        for (at, job) in server.jobs.iter().enumerate().filter(|(_, job)| job.uncomputed_tokens > 0) {
            let computed = job.uncomputed_tokens.min(budget);
            server.prefilling.push((at, computed));
            budget -= computed;
        }
        let computed: u32 = PREFILL_CHUNK_TOKENS - budget;
        let duration_ms = DECODE_STEP_MS
            + DECODE_STEP_PER_REQUEST_MS * server.jobs.len() as f64
            + f64::from(computed) / PREFILL_TOKENS_PER_MS;
        server.is_stepping = true;
        let end = now + (duration_ms * server.speed * 1e3) as Micros;
        self.schedule(end, Event::StepEnd(server_index));
    }

    fn end_step(&mut self, now: Micros, server_index: usize) {
        let server = &mut self.servers[server_index];
        server.is_stepping = false;
        let prefilling = std::mem::take(&mut server.prefilling);
        let mut first = Vec::new();
        for (at, computed) in prefilling {
            server.jobs[at].uncomputed_tokens -= computed;
            if server.jobs[at].uncomputed_tokens == 0 && computed > 0 {
                first.push(server.jobs[at].clone());
            }
        }
        let report = ServerLoadReport {
            running: server.jobs.iter().filter(|job| job.uncomputed_tokens == 0).count() as u32,
            waiting: (server.jobs.iter().filter(|job| job.uncomputed_tokens > 0).count() + server.queue.len())
                as u32,
            slots: server.entry.slots,
        };
        let mut ended = Vec::new();
        server.jobs.retain_mut(|job| {
            if job.uncomputed_tokens == 0 {
                job.output_tokens = job.output_tokens.saturating_sub(1);
            }
            let done = job.uncomputed_tokens == 0 && job.output_tokens == 0;
            if done {
                ended.push(job.clone());
            }
            !done
        });
        for job in first {
            self.record_first_token(now, server_index, &job, report);
        }
        for job in ended {
            if let Some(attempt) = job.attempt {
                self.placers[job.balancer].record_end(
                    now + NETWORK_DELAY,
                    attempt,
                    AttemptOutcome::Served,
                    None,
                    None,
                );
            }
        }
        self.start_step(now, server_index);
    }

    fn record_first_token(&mut self, now: Micros, server_index: usize, job: &Job, report: ServerLoadReport) {
        let elapsed_ms = (now + NETWORK_DELAY - job.arrived_at) as f64 / 1e3;
        // The first seconds are left out, because all caches are empty then.
        if job.arrived_at > 5_000_000 {
            self.result.first_token_ms[job.kind].push(elapsed_ms);
        }
        for chunk in &job.chunks {
            self.cache_chunks(now, server_index, &job.salt, chunk);
            if job.save_to_store {
                self.store.touch(&job.salt, chunk);
                self.store.evict(0);
                self.send_cache_event(now, STORE, &job.salt, chunk, true);
            }
        }
        if let Some(attempt) = job.attempt {
            let id = self.servers[server_index].entry.id.clone();
            self.placers[job.balancer].record_first_event(now + NETWORK_DELAY, attempt);
            self.placers[job.balancer].observe_server_load(now + NETWORK_DELAY, &id, report);
            self.placers[job.balancer].record_cache_contact(now + NETWORK_DELAY, STORE);
        }
    }
}
