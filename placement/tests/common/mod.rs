//! Helpers of the tests: server entries, services, requests and a placer with a few servers.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use gradepaddle_placement::{
    AttemptId, AttemptOutcome, CacheEvent, CacheIsolation, CacheStoreService, Counters, Micros, ModelService,
    ModelVersion, Placement, PlacementConfig, PlacementRequest, Placer, PromptChunk, ServerEntry,
    ServerLoadReport, ServerState, ServiceSpec,
};

pub mod simulation;

pub const SERVICE: &str = "pool";
pub const MODEL: &str = "m0";
pub const STORE: &str = "shelf";
pub const ZONES: [&str; 3] = ["a", "b", "c"];
pub const MS: Micros = 1_000;

pub fn address(number: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, (number >> 8) as u8, number as u8), 8080)
}

pub fn entry(number: u16, version: u64) -> ServerEntry {
    ServerEntry {
        id: Arc::from(format!("i-{number}")),
        service: Arc::from(SERVICE),
        address: address(number),
        zone: Arc::from(ZONES[usize::from(number) % 3]),
        slots: 48,
        state: ServerState::Ready,
        warmup_left: 0,
        models: vec![ModelVersion { model: Arc::from(MODEL), version }],
    }
}

pub fn model_service() -> ModelService {
    ModelService::builder()
        .name(SERVICE)
        .slots(48)
        .cache_tokens(105_065)
        .token_bytes(327_680)
        .link_mbps(1_100_000.0)
        .models(vec![Arc::from(MODEL)])
        .max_connections(310)
        .build()
}

pub fn store_address() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(172, 20, 0, 2), 8080)
}

pub fn cache_store() -> CacheStoreService {
    CacheStoreService::builder()
        .name(STORE)
        .address(store_address())
        .zone("b")
        .cache_tokens(1_354_697)
        .link_mbps(450_000.0)
        .build()
}

/// A placer in zone a with `count` servers of version 1.
pub fn placer(count: u16) -> Placer {
    placer_of(PlacementConfig::builder().own_zone("a").seed(7).build(), count)
}

pub fn placer_of(config: PlacementConfig, count: u16) -> Placer {
    let mut placer = Placer::new(config);
    placer.set_services(0, vec![ServiceSpec::Model(model_service()), ServiceSpec::Store(cache_store())]);
    (0..count).for_each(|number| placer.update_server(0, entry(number, 1)));
    placer
}

pub fn chunk(id: u64, tokens: u32) -> PromptChunk {
    PromptChunk { id, tokens }
}

/// A long prompt: two shared chunks of 2,520 and 3,780 tokens and 2,890 of its own.
pub fn long_prompt(subject: u64, own: u64) -> Vec<PromptChunk> {
    vec![chunk(1 + subject % 4, 2_520), chunk(1_000 + subject, 3_780), chunk(1_000_000 + own, 2_890)]
}

pub fn request(chunks: &[PromptChunk]) -> PlacementRequest<'_> {
    PlacementRequest {
        service: SERVICE,
        model: Some(MODEL),
        chunks,
        prompt_tokens: chunks.iter().map(|chunk| chunk.tokens).sum(),
        max_output_tokens: 13,
        priority: 1,
        latency_target: 800 * MS,
        event_gap_target: 0,
        time_left: 6_000 * MS,
        isolation: CacheIsolation::Shared(0),
        resumed_from: None,
    }
}

/// Places a long prompt.
pub fn place(placer: &mut Placer, now: Micros, subject: u64, own: u64) -> Placement {
    placer.place(now, &request(&long_prompt(subject, own)), &[]).expect("a server is ready")
}

/// Reports the first event of an attempt after 60 ms and its end after 100 ms.
pub fn serve(placer: &mut Placer, now: Micros, placement: &Placement) {
    placer.record_first_event(now + 60 * MS, placement.attempt);
    placer.record_end(now + 100 * MS, placement.attempt, AttemptOutcome::Served, None, None);
}

pub fn added<'a>(salt: &'a str, chunk: &PromptChunk) -> CacheEvent<'a> {
    CacheEvent::Added { salt, chunk: chunk.id, tokens: chunk.tokens, model: MODEL }
}
