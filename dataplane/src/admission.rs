//! From a request's head to what it may do: its route, its tenant, its prompt.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use gradepaddle_config::{Configuration, Route, Tenant};
use gradepaddle_http::Head;
use gradepaddle_placement::{CacheIsolation, PromptChunk};

use crate::local_response::LocalResponse;

/// The urgency of a request without one.
const DEFAULT_PRIORITY: u8 = 5;
/// The least urgent.
const LOWEST_PRIORITY: u8 = 9;
/// How long a client waits that doesn't say.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// A request that the configuration allows.
pub(crate) struct RoutedRequest {
    /// Its client's id for it.
    pub id: Vec<u8>,
    /// The service that gets it.
    pub service: Arc<str>,
    /// The tenant that holds its key.
    pub tenant: Option<Arc<str>>,
    /// Whose parts of prompts it may meet.
    pub wall: CacheIsolation,
    /// Its urgency, 0 first.
    pub priority: u8,
    /// How long it may be held, from its arrival.
    pub timeout: Duration,
    /// Inside this an answer has its full worth.
    pub latency_target: Duration,
    /// Inside this its events have to follow one another, if its route says so.
    pub event_gap_target: Option<Duration>,
    /// The most servers it may be sent to.
    pub max_attempts: u32,
    /// It may run more than once.
    pub idempotent: bool,
    /// Its answer is a stream of events.
    pub streaming: bool,
    /// Its stream may be taken up at another server.
    pub resumable: bool,
    /// The last event that its client has.
    pub last_event_id: Option<u64>,
    /// The model.
    pub model: Option<String>,
    /// The parts of its prompt, in order.
    pub prompt: Vec<PromptChunk>,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Tokens put out at the most.
    pub max_output_tokens: u32,
}

/// Finds what a request may do.
///
/// # Errors
///
/// The answer to a request that no configuration in force allows.
pub(crate) fn route_request(
    configuration: &Configuration,
    head: &Head,
    wall: u64,
) -> Result<RoutedRequest, LocalResponse> {
    let host = head.get("host").filter(|_| head.all("host").count() == 1).ok_or(LocalResponse::BadRequest)?;
    let route = configuration.route(host, head.path()).ok_or(LocalResponse::NotFound)?;
    let tenant = tenant(configuration, route, head)?;
    let id = head.all("x-request-id").next().unwrap_or_default().to_vec();
    let service = select_service(route, &id).ok_or(LocalResponse::NotFound)?;
    let (prompt_tokens, max_output_tokens) = head.get("x-token-count").map(token_counts).unwrap_or_default();
    let asked = head.get("x-deadline-ms").and_then(|text| text.trim().parse::<f64>().ok());
    let asked = asked.filter(|ms| ms.is_finite() && *ms >= 0.0);
    let asked = asked.map_or(DEFAULT_TIMEOUT, |ms| Duration::from_secs_f64(ms.min(86_400_000.0) / 1000.0));
    Ok(RoutedRequest {
        service,
        wall: match tenant {
            Some(tenant) if tenant.isolated => CacheIsolation::Tenant(tenant.name.clone()),
            _ => CacheIsolation::Shared(wall),
        },
        priority: tenant.and_then(|tenant| tenant.priority).unwrap_or(route.priority).min(LOWEST_PRIORITY),
        tenant: tenant.map(|tenant| tenant.name.clone()),
        timeout: asked.min(route.timeout),
        latency_target: route.target,
        event_gap_target: route.gap_aim,
        max_attempts: route.tries.max(1),
        idempotent: route.may_repeat(),
        streaming: route.kind == gradepaddle_config::RouteKind::Streaming,
        resumable: route.resumable,
        last_event_id: head.get("last-event-id").and_then(|text| text.trim().parse().ok()),
        model: head.get("x-model").map(str::to_owned),
        prompt: head.get("x-prompt-prefix").map(prompt_chunks).unwrap_or_default(),
        prompt_tokens,
        max_output_tokens,
        id,
    })
}

/// The tenant whose key a request bears; none where no key is asked for.
fn tenant<'a>(
    configuration: &'a Configuration,
    route: &Route,
    head: &Head,
) -> Result<Option<&'a Tenant>, LocalResponse> {
    let known = head.get("x-api-key").and_then(|key| configuration.tenant_by_key(key.trim()));
    let needed = !route.public && !configuration.tenants.is_empty();
    match known {
        None if needed => Err(LocalResponse::Unauthorized),
        known => Ok(known),
    }
}

/// One of the route's services by weight. The same request goes the same way at every node.
fn select_service(route: &Route, id: &[u8]) -> Option<Arc<str>> {
    if let [only] = &route.split[..] {
        return Some(only.service.clone());
    }
    let total: f64 = route.split.iter().map(|target| target.weight).sum();
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    let mut at = (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64 * total;
    for target in route.split.iter().filter(|target| target.weight > 0.0) {
        if at < target.weight {
            return Some(target.service.clone());
        }
        at -= target.weight;
    }
    route.split.iter().rfind(|target| target.weight > 0.0).map(|target| target.service.clone())
}

/// Tokens of the prompt, and the most put out.
fn token_counts(text: &str) -> (u32, u32) {
    let mut numbers = text.split(',').map(|number| number.trim().parse().unwrap_or(0));
    (numbers.next().unwrap_or(0), numbers.next().unwrap_or(0))
}

/// The parts of a prompt; what can't be read ends the list.
fn prompt_chunks(text: &str) -> Vec<PromptChunk> {
    text.split(',').map_while(prompt_chunk).collect()
}

fn prompt_chunk(text: &str) -> Option<PromptChunk> {
    let (id, tokens) = text.trim().split_once(':')?;
    Some(PromptChunk { id: chunk_id(id), tokens: tokens.trim().parse().ok()? })
}

/// A part's id as a number; one that is no hexadecimal number of 64 bits is hashed.
pub(crate) fn chunk_id(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| {
        let mut hasher = DefaultHasher::new();
        text.hash(&mut hasher);
        hasher.finish()
    })
}

/// The value of the `Priority` field: absent means the usual.
pub(crate) fn priority_field(priority: u8) -> Option<u8> {
    (priority != DEFAULT_PRIORITY).then_some(priority)
}
