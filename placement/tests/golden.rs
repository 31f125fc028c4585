//! Golden test of placements: two placers that exchange reports are driven by seeded random calls, and everything that they
//! return goes into a digest. The expected digests were recorded at commit 4552024. Renaming and restructuring code does not
//! change them; a change of any decision does.

mod common;

use std::net::SocketAddrV4;
use std::sync::Arc;

use common::{MODEL, MS, STORE, ZONES, cache_store, entry, model_service};
use googletest::prelude::*;
use gradepaddle::cost::{hash, mix};
use gradepaddle_placement::{
    AttemptId, AttemptOutcome, CacheEvent, CacheIsolation, CacheStoreService, CachedTokens, Micros,
    ModelService, ModelVersion, Placement, PlacementConfig, PlacementRequest, Placer, PromptChunk, Rejection,
    ServerEntry, ServerLoadReport, ServerState, ServiceSpec, StoreUpdate, StreamPause, TableSizes, chunk_key,
    holder_hash,
};

const SERVERS: u16 = 14;
const STEPS: usize = 20_000;
/// The digests of seeds 1 to 6.
const DIGESTS: [&str; 6] = [
    "cb52203808b16b8c",
    "8d65d122af8f7a55",
    "5d37eee4477b61ce",
    "30b55bf4ba4d602d",
    "730f935a17642f4a",
    "7b733e12e702df29",
];
const SECOND_SERVICE: &str = "annex";
const SECOND_MODEL: &str = "m1";
const SECOND_STORE: &str = "cellar";

/// Seeded random numbers.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.0)
    }

    fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

/// A digest of all that was returned.
struct Digest(u64);

impl Digest {
    fn number(&mut self, number: u64) {
        self.0 = mix(self.0.rotate_left(7) ^ number);
    }

    fn float(&mut self, number: f64) {
        self.number(number.to_bits());
    }

    fn text(&mut self, text: &str) {
        self.number(hash(text));
    }

    fn address(&mut self, address: Option<SocketAddrV4>) {
        self.text(&address.map_or_else(String::new, |address| address.to_string()));
    }

    fn placement(&mut self, placement: &Placement) {
        self.number(placement.attempt.0);
        self.text(&placement.server);
        self.address(Some(placement.address));
        self.address(placement.fetch);
        self.address(placement.save);
        self.number(placement.expect_version.map_or(u64::MAX, |version| version));
        self.text(placement.salt.as_deref().unwrap_or_default());
    }

    fn rejection(&mut self, rejection: Rejection) {
        let (kind, retry_after) = match rejection {
            Rejection::NoServer { retry_after } => (1, retry_after),
            Rejection::Overloaded { retry_after } => (2, retry_after),
        };
        self.number(kind);
        self.number(retry_after);
    }
}

/// A placer with the attempts that are in flight there.
struct Node {
    placer: Placer,
    attempts: Vec<(AttemptId, Arc<str>)>,
    sequence: u64,
}

impl Node {
    fn new(zone: &str, seed: u64) -> Node {
        let config = PlacementConfig::builder()
            .own_zone(zone)
            .seed(seed)
            .keys_per_generation(40)
            .max_index_entries(900)
            .retry_slack(3.0)
            .build();
        let mut placer = Placer::new(config);
        placer.set_services(0, services(105_065));
        placer.set_balancer_count(2);
        (0..SERVERS).for_each(|number| placer.update_server(0, server(number, 1, ServerState::Ready)));
        Node { placer, attempts: Vec::new(), sequence: 0 }
    }
}

fn services(cache_tokens: u64) -> Vec<ServiceSpec> {
    let second_service = ModelService::builder()
        .name(SECOND_SERVICE)
        .slots(2)
        .cache_tokens(30_000)
        .token_bytes(131_072)
        .link_mbps(9_000.0)
        .models(vec![Arc::from(SECOND_MODEL)])
        .build();
    let second_store = CacheStoreService::builder()
        .name(SECOND_STORE)
        .address(SocketAddrV4::new([172, 20, 0, 3].into(), 8080))
        .zone("c")
        .cache_tokens(90_000)
        .link_mbps(2_000.0)
        .build();
    let first = ModelService { cache_tokens, ..model_service() };
    vec![
        ServiceSpec::Model(first),
        ServiceSpec::Model(second_service),
        ServiceSpec::Store(cache_store()),
        ServiceSpec::Store(second_store),
    ]
}

fn server(number: u16, version: u64, state: ServerState) -> ServerEntry {
    let server = ServerEntry { state, ..entry(number, version) };
    if number % 5 != 4 {
        return server;
    }
    ServerEntry {
        service: Arc::from(SECOND_SERVICE),
        slots: 2,
        warmup_left: 900 * MS,
        models: vec![ModelVersion { model: Arc::from(SECOND_MODEL), version }],
        ..server
    }
}

fn server_id(random: &mut Random) -> String {
    format!("i-{}", random.below(u64::from(SERVERS) + 1))
}

fn model(random: &mut Random) -> &'static str {
    if random.chance(75) { MODEL } else { SECOND_MODEL }
}

fn chunks(random: &mut Random) -> Vec<PromptChunk> {
    let subject = random.below(30);
    let chain = [
        PromptChunk { id: 1 + subject % 4, tokens: 2_520 },
        PromptChunk { id: 1_000 + subject, tokens: 1_000 + 200 * (subject as u32 % 9) },
        PromptChunk { id: 1_000_000 + random.below(200), tokens: 40 + random.below(3_000) as u32 },
    ];
    chain[random.below(3) as usize..].to_vec()
}

fn load(random: &mut Random) -> Option<ServerLoadReport> {
    let report = ServerLoadReport {
        running: random.below(60) as u32,
        waiting: random.below(6) as u32,
        slots: 2 + random.below(47) as u32,
    };
    random.chance(40).then_some(report)
}

fn outcome(random: &mut Random) -> AttemptOutcome {
    let outcomes = [
        AttemptOutcome::NotProcessed,
        AttemptOutcome::Misdirected,
        AttemptOutcome::VersionMismatch,
        AttemptOutcome::Outdated,
        AttemptOutcome::ConnectFailed,
        AttemptOutcome::ConnectionBroken,
        AttemptOutcome::TimedOut,
        AttemptOutcome::ClientGone,
        AttemptOutcome::ServerError,
    ];
    if random.chance(80) { AttemptOutcome::Served } else { outcomes[random.below(9) as usize] }
}

fn place(node: &mut Node, now: Micros, random: &mut Random, digest: &mut Digest) {
    let chunks = chunks(random);
    let known_model = random.chance(92);
    let second = random.chance(20);
    let (service, model) = if second { (SECOND_SERVICE, SECOND_MODEL) } else { (common::SERVICE, MODEL) };
    let isolation = match random.below(4) {
        0 => CacheIsolation::Tenant(Arc::from("alone")),
        _ => CacheIsolation::Shared(3),
    };
    let request = PlacementRequest {
        service: if random.chance(99) { service } else { "nowhere" },
        model: known_model.then_some(model),
        chunks: &chunks,
        prompt_tokens: chunks.iter().map(|chunk| chunk.tokens).sum::<u32>() + random.below(90) as u32,
        max_output_tokens: 1 + random.below(60) as u32,
        priority: random.below(3) as u8,
        latency_target: [0, 400 * MS, 800 * MS][random.below(3) as usize],
        event_gap_target: [0, 300 * MS][random.below(2) as usize],
        time_left: 1_000 * MS + random.below(5_000) * MS,
        isolation,
        resumed_from: None,
    };
    let tried: Vec<Arc<str>> = (0..random.below(3)).map(|_| Arc::from(server_id(random))).collect();
    node.placer.record_request(now, request.service);
    match node.placer.place(now, &request, &tried) {
        Ok(placement) => {
            digest.placement(&placement);
            digest.number(node.placer.start_deadline(placement.attempt).unwrap_or(u64::MAX));
            node.attempts.push((placement.attempt, placement.server));
        }
        Err(rejection) => digest.rejection(rejection),
    }
}

fn advance_attempt(node: &mut Node, now: Micros, random: &mut Random, digest: &mut Digest) {
    if node.attempts.is_empty() {
        return;
    }
    let at = random.below(node.attempts.len() as u64) as usize;
    let (attempt, server) = node.attempts[at].clone();
    if random.chance(55) {
        let reported = random.chance(50).then(|| random.below(4));
        let outdated = node.placer.outdated_start(now, attempt, reported);
        digest.number(outdated.map_or(0, |start| mix(start.version ^ (start.binding << 8)) ^ start.waited));
        node.placer.record_first_event(now, attempt);
        return;
    }
    node.attempts.swap_remove(at);
    let versions = random
        .chance(30)
        .then(|| vec![ModelVersion { model: Arc::from(model(random)), version: 1 + random.below(3) }]);
    let load = load(random);
    node.placer.record_end(now, attempt, outcome(random), load, versions.as_deref());
    digest.number(u64::from(node.placer.accepts_requests(&server)));
}

fn change_server(node: &mut Node, now: Micros, random: &mut Random) {
    let (id, pause) = (server_id(random), random.below(400) * MS);
    match random.below(12) {
        0 => node.placer.remove_server(now, &id),
        1..=4 => {
            let states = [ServerState::Ready, ServerState::Ready, ServerState::Ready, ServerState::Draining];
            let lost = random.chance(10);
            let state = if lost { ServerState::Lost } else { states[random.below(4) as usize] };
            let number = random.below(u64::from(SERVERS)) as u16;
            node.placer.update_server(now, server(number, 1 + random.below(3), state));
        }
        5 => node.placer.pause_server(now, &id, pause),
        6 => node.placer.record_server_failure(now, &id),
        7 => node.placer.observe_version(now, &id, model(random), 1 + random.below(3)),
        8..=10 => {
            if let Some(load) = load(random) {
                node.placer.observe_server_load(now, &id, load);
            }
        }
        _ => node.placer.set_balancer_count(1 + random.below(5) as usize),
    }
}

fn change_versions(node: &mut Node, now: Micros, random: &mut Random) {
    let (model, version) = (model(random), 1 + random.below(3));
    let binds_at = now + random.below(3_000) * MS;
    if random.chance(70) {
        node.placer.announce_version(binds_at, model, version);
    } else {
        node.placer.extend_version_deadline(binds_at, model, version);
    }
}

fn apply_holder_event(node: &mut Node, now: Micros, random: &mut Random) {
    let stores = [STORE, SECOND_STORE];
    let holder =
        if random.chance(60) { stores[random.below(2) as usize].to_owned() } else { server_id(random) };
    let salt = format!("v{}-{:016x}-{:016x}", 1 + random.below(3), hash(MODEL), mix(3));
    let chunk = chunks(random)[0];
    let (id, tokens) = (chunk.id, chunk.tokens);
    match random.below(20) {
        0 => node.placer.reset_cache_holder(now, &holder),
        1 => node.placer.record_source_failure(now, &holder),
        2..=5 => node.placer.record_cache_contact(now, &holder),
        6..=8 => {
            let dropped = CacheEvent::Dropped { salt: &salt, chunk: id, tokens: 0, model: MODEL };
            node.placer.apply_cache_event(now, &holder, dropped);
        }
        _ => {
            let added = CacheEvent::Added { salt: &salt, chunk: id, tokens, model: MODEL };
            node.placer.apply_cache_event(now, &holder, added);
        }
    }
    if random.chance(30) {
        let chunks = vec![CachedTokens { key: chunk_key(&salt, id), tokens }];
        let update = StoreUpdate { store: holder_hash(&holder), reset: random.chance(4), chunks };
        node.placer.queue_store_update(update);
    }
}

/// Sends one node's reports to the other.
fn exchange(nodes: &mut [Node; 2], from: usize, now: Micros, digest: &mut Digest) {
    let sender = &mut nodes[from];
    sender.sequence += 1;
    let (sequence, loads) = (sender.sequence, sender.placer.local_loads(now));
    for load in &loads {
        digest.number(load.server ^ u64::from(load.running) ^ load.tokens);
        digest.float(load.backlog_ms);
    }
    let prefill_reports = sender.placer.take_prefill_reports();
    for report in &prefill_reports {
        digest.number(report.server ^ report.key ^ report.version ^ report.salt);
        report.chunks.iter().for_each(|chunk| digest.number(chunk.id ^ u64::from(chunk.tokens)));
    }
    let store_updates = sender.placer.take_store_updates();
    let receiver = &mut nodes[1 - from].placer;
    digest.number(u64::from(receiver.apply_peer_loads(now, from as u64, sequence, loads)));
    receiver.apply_peer_prefill_reports(now, &prefill_reports);
    for update in &store_updates {
        digest.number(update.store ^ u64::from(update.reset));
        update.chunks.iter().for_each(|chunk| digest.number(chunk.key ^ u64::from(chunk.tokens)));
        receiver.apply_peer_store_update(now, update);
    }
}

fn digest_status(node: &Node, now: Micros, digest: &mut Digest) {
    let mut servers: Vec<_> = node.placer.server_statuses(now).collect();
    servers.sort_by(|a, b| a.id.cmp(&b.id));
    for server in servers {
        digest.text(&server.id);
        digest.text(&server.service);
        digest.number(server.state as u64);
        digest.number(u64::from(server.is_ejected) ^ u64::from(server.in_flight) << 8);
        digest.float(server.load_ms);
        digest.float(server.running);
        digest.float(server.slowness);
        digest.number(server.cached_chunks as u64);
        for known in server.models {
            digest.text(&known.model);
            digest.number(known.version);
        }
    }
    let counters = node.placer.counters();
    let counts = [
        counters.placements,
        counters.cached,
        counters.all_overloaded,
        counters.fetches,
        counters.guessed_fetches,
        counters.saves,
        counters.unknown_versions,
        counters.outdated_starts,
        counters.rejected_without_server,
        counters.rejected_overloaded,
    ];
    counts.into_iter().for_each(|count| digest.number(count));
    digest.number(node.placer.in_flight() as u64);
    let TableSizes { keys, index_entries, .. } = node.placer.table_sizes();
    [keys, index_entries].into_iter().for_each(|size| digest.number(size as u64));
}

fn count_retries(node: &mut Node, now: Micros, random: &mut Random, digest: &mut Digest) {
    let service = if random.chance(70) { common::SERVICE } else { SECOND_SERVICE };
    let allowed = node.placer.may_retry(now, service);
    digest.number(u64::from(allowed));
    if allowed {
        node.placer.record_retry(now, service);
    }
    let longest = 100 * MS + random.below(300) * MS;
    node.placer.observe_stream_pause(StreamPause { service, longest });
}

fn run(seed: u64) -> u64 {
    let mut random = Random(seed);
    let mut digest = Digest(seed);
    let mut nodes = [Node::new(ZONES[0], 7 + seed), Node::new(ZONES[1], 8 + seed)];
    let mut now: Micros = 0;
    for step in 0..STEPS {
        now += random.below(9_000);
        let at = random.below(2) as usize;
        let node = &mut nodes[at];
        match random.below(100) {
            0..=41 => place(node, now, &mut random, &mut digest),
            42..=82 => advance_attempt(node, now, &mut random, &mut digest),
            83..=84 => change_server(node, now, &mut random),
            85 if random.chance(20) => change_versions(node, now, &mut random),
            85..=92 => apply_holder_event(node, now, &mut random),
            93..=95 => count_retries(node, now, &mut random, &mut digest),
            _ => exchange(&mut nodes, at, now, &mut digest),
        }
        if step % 500 == 499 {
            nodes.iter().for_each(|node| digest_status(node, now, &mut digest));
        }
        if step == STEPS / 2 {
            nodes.iter_mut().for_each(|node| node.placer.set_services(now, services(60_000)));
        }
    }
    digest.0
}

#[gtest]
fn placements_match_the_recorded_digests() {
    let digests: Vec<String> = (1..=6).map(|seed| format!("{:016x}", run(seed))).collect();
    expect_that!(digests, eq(&DIGESTS));
}
