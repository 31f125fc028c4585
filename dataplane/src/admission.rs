//! Whether a request may begin at this node now.
//!
//! A node that drains, has no configuration or can't be sure of its keys rejects with a short `Retry-After`: the client
//! reaches another node then.

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
    let Some(configuration) = plane.configuration() else {
        return Err(LocalResponse::Unavailable { retry_after: UNCONFIGURED_RETRY_AFTER });
    };
    let routed = route_request(&configuration, head, plane.shared_isolation());
    let depends_on_key = match &routed {
        Ok(routed) => routed.tenant.is_some(),
        Err(response) => *response == LocalResponse::Unauthorized,
    };
    // The key may have been revoked, or issued, without this node's knowledge.
    if depends_on_key && plane.keys_expired() {
        return Err(LocalResponse::Unavailable { retry_after: KEYS_EXPIRED_RETRY_AFTER });
    }
    if let Err(denial) = &routed {
        plane.denied_requests.record(plane, denial, configuration.version);
    }
    routed
}
