//! Admission: decides whether this node may process a request now.
//!
//! A node that is shutting down, has no configuration or can't tell whether its API keys are still valid rejects requests
//! with a short `Retry-After`, so that the client retries at another node. A node that knows of a newer configuration which
//! it has not received yet does the same for requests that its own configuration denies.

use std::rc::Rc;
use std::time::Duration;

use gradepaddle_http::Head;

use crate::data_plane::DataPlane;
use crate::local_response::LocalResponse;
use crate::routing::{RoutedRequest, route_request};

/// `Retry-After` of a node without a configuration.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(300);
/// `Retry-After` of a node whose keys have expired.
const KEYS_EXPIRED_RETRY_AFTER: Duration = Duration::from_millis(60);
/// `Retry-After` of a node whose process is about to exit.
const CLOSING_RETRY_AFTER: Duration = Duration::from_millis(60);
/// After a start, a request waits for the configuration this long: it arrives as soon as there is a primary.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(1500);
/// After a start, a request that needs a key waits this long for evidence that keys are valid.
const KEY_VALIDITY_WAIT: Duration = Duration::from_millis(700);
/// A request that the configuration in force denies waits this long for a newer one that is known to exist.
const NEWER_CONFIGURATION_WAIT: Duration = Duration::from_millis(500);
/// `Retry-After` of a node that has not received a newer configuration yet.
const OUTDATED_RETRY_AFTER: Duration = Duration::from_millis(60);

/// Routes a request if it may be processed now. Cancellation safe: nothing is reserved.
///
/// # Errors
///
/// The response to a request that is not admitted.
pub(crate) async fn admit(plane: &Rc<DataPlane>, head: &Head) -> Result<RoutedRequest, LocalResponse> {
    // A request admitted now could still be in progress when the process has to exit.
    if !plane.accepts_requests() {
        return Err(LocalResponse::Unavailable { retry_after: CLOSING_RETRY_AFTER });
    }
    let configuration = plane.wait_for_configuration(CONFIGURATION_WAIT).await;
    if configuration.is_some_and(|configuration| configuration.needs_key()) {
        plane.key_validity.wait_for_first(KEY_VALIDITY_WAIT).await;
    }
    // Routes by the configuration in force now, not the one from before the wait: the evidence of key validity may have
    // arrived together with a new configuration.
    let routed = route(plane, head);
    let Some(newer_version) = plane.newer_configuration_version().filter(|_| is_denied(&routed)) else {
        return check_keys(plane, routed);
    };
    plane.wait_for_version(newer_version, NEWER_CONFIGURATION_WAIT).await;
    let routed = check_keys(plane, route(plane, head));
    if is_denied(&routed) && plane.newer_configuration_version().is_some() {
        return Err(LocalResponse::Unavailable { retry_after: OUTDATED_RETRY_AFTER });
    }
    routed
}

/// True if the request was denied, and another configuration may allow it.
fn is_denied(routed: &Result<RoutedRequest, LocalResponse>) -> bool {
    matches!(routed, Err(LocalResponse::NotFound | LocalResponse::Unauthorized))
}

/// Routes a request by the configuration in force.
///
/// # Errors
///
/// The response to a request that the configuration does not allow, or to any request while there is none.
fn route(plane: &DataPlane, head: &Head) -> Result<RoutedRequest, LocalResponse> {
    let configuration =
        plane.configuration().ok_or(LocalResponse::Unavailable { retry_after: UNCONFIGURED_RETRY_AFTER })?;
    route_request(&configuration, head, plane.isolated_tenants_hash())
}

/// Rejects a request whose outcome depends on an API key while it is unknown whether keys are still valid; returns any other
/// result unchanged, and records a denial.
///
/// # Errors
///
/// The response to a request that is not admitted.
fn check_keys(
    plane: &DataPlane,
    routed: Result<RoutedRequest, LocalResponse>,
) -> Result<RoutedRequest, LocalResponse> {
    let depends_on_key = match &routed {
        Ok(routed) => routed.tenant.is_some(),
        Err(response) => *response == LocalResponse::Unauthorized,
    };
    // The key may have been revoked, or issued, without this node's knowledge.
    if depends_on_key && plane.keys_expired() {
        return Err(LocalResponse::Unavailable { retry_after: KEYS_EXPIRED_RETRY_AFTER });
    }
    if let Err(denial) = &routed {
        plane.denied_requests.record(plane, denial);
    }
    routed
}
