//! What was tried for a request, and whether one more attempt is allowed.

use std::sync::Arc;

use crate::proxied_request::ProxiedRequest;
use crate::upstream_response::UpstreamResponse;

/// Connections that may fail to come up before a request is rejected.
const MAX_FAILED_CONNECTS: usize = 3;

/// What has been done for a request so far.
#[derive(Default)]
pub(crate) struct AttemptHistory {
    /// Servers that the request was written to.
    pub sent: u32,
    /// An attempt may have been processed: 503 would be a lie from now on.
    pub may_have_run: bool,
    /// Servers that were selected; none is selected again.
    pub tried_servers: Vec<Arc<str>>,
    /// Connections that did not come up.
    pub failed_connects: usize,
}

impl AttemptHistory {
    /// True if another connection may be tried after one that did not come up.
    pub fn may_connect_again(&self) -> bool {
        self.failed_connects < MAX_FAILED_CONNECTS
    }

    /// True if the request may be sent to one more server: by its route, and by the fleet's retry
    /// budget, which is charged when the request is written.
    pub fn may_send(&self, request: &ProxiedRequest<'_>) -> bool {
        if self.sent == 0 {
            return true;
        }
        let (plane, routed) = (request.plane, &request.routed);
        let now = plane.now();
        self.sent < routed.max_attempts && plane.placer.borrow_mut().may_retry(now, &routed.service)
    }

    /// True if a failed attempt that may have been processed may be followed by another.
    pub fn may_retry(&self, request: &ProxiedRequest<'_>) -> bool {
        request.routed.idempotent && self.may_send(request)
    }

    /// True if a server's 5xx is better retried at another server than forwarded.
    pub fn should_retry(&self, request: &ProxiedRequest<'_>, response: &UpstreamResponse) -> bool {
        response.status >= 500 && self.may_retry(request)
    }
}
