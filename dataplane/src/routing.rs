//! Routes a request by its head: finds its route, tenant, service, limits and prompt. Does no I/O.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use gradepaddle_config::{Configuration, Route, RouteKind, Tenant};
use gradepaddle_http::Head;
use gradepaddle_placement::{CacheIsolation, PromptChunk};

use crate::local_response::LocalResponse;

/// The priority of a request whose route and tenant set none. Servers assume it, so it is not sent to them.
const DEFAULT_PRIORITY: u8 = 5;
/// The lowest priority; 0 is the highest.
const LOWEST_PRIORITY: u8 = 9;
/// Time allowed for a request without `X-Deadline-Ms`, from its arrival.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// The longest deadline that a client can ask for: a day, in milliseconds.
const MAX_DEADLINE_MS: f64 = 86_400_000.0;

/// A request that the configuration allows, with what follows from its route and head.
pub(crate) struct RoutedRequest {
    /// The client's `X-Request-Id`; empty if there is none.
    pub id: Vec<u8>,
    /// The service that it is sent to.
    pub service: Arc<str>,
    /// The tenant that its API key belongs to.
    pub tenant: Option<Arc<str>>,
    /// Which cached prefixes it may reuse.
    pub isolation: CacheIsolation,
    /// Its priority, 0 to 9; 0 is the highest.
    pub priority: u8,
    /// How long it may take, from its arrival.
    pub timeout: Duration,
    /// Latency target (SLO): a response within it has its full value.
    pub latency_target: Duration,
    /// Target for the gaps between the events of its stream, if its route sets one.
    pub event_gap_target: Option<Duration>,
    /// The maximum number of servers that it may be sent to.
    pub max_attempts: u32,
    /// It may be processed more than once.
    pub idempotent: bool,
    /// Its response is a stream of events.
    pub streaming: bool,
    /// Its stream may be resumed at another server.
    pub resumable: bool,
    /// The last event that its client has.
    pub last_event_id: LastEventId,
    /// The requested model (`X-Model`).
    pub model: Option<String>,
    /// The chunks of its prompt, in order (`X-Prompt-Prefix`).
    pub prompt: Vec<PromptChunk>,
    /// The number of tokens in its prompt (`X-Token-Count`, first number).
    pub prompt_tokens: u32,
    /// The maximum number of tokens generated for it (`X-Token-Count`, second number).
    pub max_output_tokens: u32,
}

/// The last event that a client has of a stream (`Last-Event-Id`). Its server goes on after that event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LastEventId {
    /// The client has none: the stream starts at its beginning.
    None,
    /// The event with this id.
    Number(u64),
    /// The event with this id, whose meaning only the server knows.
    Opaque(Vec<u8>),
}

impl LastEventId {
    fn of(head: &Head) -> Self {
        let Some(value) = head.get_all("last-event-id").next().map(<[u8]>::trim_ascii) else {
            return LastEventId::None;
        };
        let number = std::str::from_utf8(value).ok().and_then(|text| text.parse().ok());
        match number {
            Some(number) => LastEventId::Number(number),
            None if value.is_empty() => LastEventId::None,
            None => LastEventId::Opaque(value.to_vec()),
        }
    }

    /// The id if it is a number.
    pub fn number(&self) -> Option<u64> {
        if let LastEventId::Number(number) = self { Some(*number) } else { None }
    }
}

/// Finds the route, tenant and service of a request. `isolated_tenants_hash` is the hash of the set of isolated tenants.
///
/// # Errors
///
/// The response to a request that the configuration does not allow: 400, 401 or 404.
pub(crate) fn route_request(
    configuration: &Configuration,
    head: &Head,
    isolated_tenants_hash: u64,
) -> Result<RoutedRequest, LocalResponse> {
    let host =
        head.get("host").filter(|_| head.get_all("host").count() == 1).ok_or(LocalResponse::BadRequest)?;
    let route = configuration.route(host, head.path()).ok_or(LocalResponse::NotFound)?;
    let tenant = authenticate_tenant(configuration, route, head)?;
    let id = head.get_all("x-request-id").next().unwrap_or_default().to_vec();
    let service = select_service(route, &id).ok_or(LocalResponse::NotFound)?;
    let (prompt_tokens, max_output_tokens) = head.get("x-token-count").map(token_counts).unwrap_or_default();
    Ok(RoutedRequest {
        service,
        isolation: match tenant {
            Some(tenant) if tenant.isolated => CacheIsolation::Tenant(tenant.name.clone()),
            _ => CacheIsolation::Shared(isolated_tenants_hash),
        },
        priority: tenant.and_then(|tenant| tenant.priority).unwrap_or(route.priority).min(LOWEST_PRIORITY),
        tenant: tenant.map(|tenant| tenant.name.clone()),
        timeout: requested_timeout(head).min(route.timeout),
        latency_target: route.latency_target,
        event_gap_target: route.event_gap_target,
        max_attempts: route.max_attempts.max(1),
        idempotent: route.may_retry(),
        streaming: route.kind == RouteKind::Streaming,
        resumable: route.resumable,
        last_event_id: LastEventId::of(head),
        model: head.get("x-model").map(str::to_owned),
        prompt: head.get("x-prompt-prefix").map(prompt_chunks).unwrap_or_default(),
        prompt_tokens,
        max_output_tokens,
        id,
    })
}

/// The time that the client allows in `X-Deadline-Ms`. A value that is not a valid time counts as absent.
fn requested_timeout(head: &Head) -> Duration {
    let milliseconds = head.get("x-deadline-ms").and_then(|text| text.trim().parse::<f64>().ok());
    let milliseconds = milliseconds.filter(|ms| ms.is_finite() && *ms >= 0.0);
    milliseconds.map_or(DEFAULT_TIMEOUT, |ms| Duration::from_secs_f64(ms.min(MAX_DEADLINE_MS) / 1000.0))
}

/// The tenant that the request's API key belongs to; none for a request without a known key where none is required.
///
/// # Errors
///
/// 401 if the route requires a key and the request has no known one.
fn authenticate_tenant<'a>(
    configuration: &'a Configuration,
    route: &Route,
    head: &Head,
) -> Result<Option<&'a Tenant>, LocalResponse> {
    let tenant = head.get("x-api-key").and_then(|key| configuration.tenant_by_key(key.trim()));
    let required = !route.public && !configuration.tenants.is_empty();
    match tenant {
        None if required => Err(LocalResponse::Unauthorized),
        tenant => Ok(tenant),
    }
}

/// Selects one of the route's services by weight. The selection depends on the request id only, so that a request that a
/// client sends again goes to the same service, whichever node receives it.
fn select_service(route: &Route, id: &[u8]) -> Option<Arc<str>> {
    if let [only] = &route.split[..] {
        return Some(only.service.clone());
    }
    let total: f64 = route.split.iter().map(|target| target.weight).sum();
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    // The upper 53 bits as a fraction of 1: the mantissa of an `f64` has 53 bits.
    let mut point = (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64 * total;
    for target in route.split.iter().filter(|target| target.weight > 0.0) {
        if point < target.weight {
            return Some(target.service.clone());
        }
        point -= target.weight;
    }
    // Rounding may leave the point just beyond the last weight.
    route.split.iter().rfind(|target| target.weight > 0.0).map(|target| target.service.clone())
}

/// Parses the number of tokens in the prompt and the maximum number generated.
fn token_counts(text: &str) -> (u32, u32) {
    let mut numbers = text.split(',').map(|number| number.trim().parse().unwrap_or(0));
    (numbers.next().unwrap_or(0), numbers.next().unwrap_or(0))
}

/// Parses the chunks of a prompt. One that can't be parsed ends the list, since the prefix is only known up to there.
fn prompt_chunks(text: &str) -> Vec<PromptChunk> {
    text.split(',').map_while(prompt_chunk).collect()
}

fn prompt_chunk(text: &str) -> Option<PromptChunk> {
    let (id, tokens) = text.trim().split_once(':')?;
    Some(PromptChunk { id: chunk_id(id), tokens: tokens.trim().parse().ok()? })
}

/// A chunk's id as a number. An id that is not a 64-bit hexadecimal number is hashed.
pub(crate) fn chunk_id(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| {
        let mut hasher = DefaultHasher::new();
        text.hash(&mut hasher);
        hasher.finish()
    })
}

/// The value of the `Priority` field; none for the default priority, which is not sent.
pub(crate) fn priority_field(priority: u8) -> Option<u8> {
    (priority != DEFAULT_PRIORITY).then_some(priority)
}
