//! Whether a request may begin at this node now.
//!
//! A node that drains, has no configuration or can't be sure of its keys rejects with a short `Retry-After`: the client
//! reaches another node then. So does one that knows of a newer configuration that it lacks, for what its own denies.

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
/// `Retry-After` of a node that is about to end.
const CLOSING_RETRY_AFTER: Duration = Duration::from_millis(60);
/// After a start, a request waits for the configuration this long: it comes as soon as there is a primary.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(1500);
/// After a start, a request that needs a key waits this long for evidence that keys are valid.
const KEY_VALIDITY_WAIT: Duration = Duration::from_millis(700);

/// A request that the configuration in force denies waits this long for a newer one that is on its way.
const NEWER_CONFIGURATION_WAIT: Duration = Duration::from_millis(500);
/// `Retry-After` of a node that lacks a newer configuration.
const OUTDATED_RETRY_AFTER: Duration = Duration::from_millis(60);

/// Routes a request that may begin now. Cancellation safe: nothing is reserved.
///
/// # Errors
///
/// The response to a request that is not begun.
pub(crate) async fn admit(plane: &Rc<DataPlane>, head: &Head) -> Result<RoutedRequest, LocalResponse> {
    // A request begun now could still be at work when the process has to end.
    if !plane.accepts_requests() {
        return Err(LocalResponse::Unavailable { retry_after: CLOSING_RETRY_AFTER });
    }
    let configuration = plane.wait_for_configuration(CONFIGURATION_WAIT).await;
    if configuration.is_some_and(|configuration| configuration.needs_key()) {
        plane.key_validity.wait_for_first(KEY_VALIDITY_WAIT).await;
    }
    // Evidence of key validity counts for the configuration in force now, which may have changed during the wait.
    let routed = route(plane, head);
    let Some(newer) = plane.newer_configuration().filter(|_| is_denied(&routed)) else {
        return check_keys(plane, routed);
    };
    plane.wait_for_version(newer, NEWER_CONFIGURATION_WAIT).await;
    let routed = check_keys(plane, route(plane, head));
    if is_denied(&routed) && plane.newer_configuration().is_some() {
        return Err(LocalResponse::Unavailable { retry_after: OUTDATED_RETRY_AFTER });
    }
    routed
}

/// True if another configuration may allow the request.
fn is_denied(routed: &Result<RoutedRequest, LocalResponse>) -> bool {
    matches!(routed, Err(LocalResponse::NotFound | LocalResponse::Unauthorized))
}

/// Routes a request by the configuration in force.
///
/// # Errors
///
/// The response to a request that it does not allow, or to any while there is no configuration.
fn route(plane: &DataPlane, head: &Head) -> Result<RoutedRequest, LocalResponse> {
    let configuration =
        plane.configuration().ok_or(LocalResponse::Unavailable { retry_after: UNCONFIGURED_RETRY_AFTER })?;
    route_request(&configuration, head, plane.shared_isolation())
}

/// Passes on what does not depend on a key, or does while keys are known to be valid; records what is denied.
///
/// # Errors
///
/// The response to a request that is not begun.
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
