//! The attempts made for a request, and whether one more is allowed.

use std::sync::Arc;

use crate::proxied_request::ProxiedRequest;
use crate::upstream_response::UpstreamResponse;

/// Failed connects after which a request is rejected.
const MAX_FAILED_CONNECTS: usize = 3;

/// The attempts made for a request so far.
#[derive(Default)]
pub(crate) struct AttemptHistory {
    /// The number of servers that the request was written to.
    pub sent: u32,
    /// Whether an attempt may have been processed. If so, the request must no longer get a 503, which says that it was not.
    pub may_have_run: bool,
    /// Servers that have been selected; none of them is selected again.
    pub tried_servers: Vec<Arc<str>>,
    /// The number of failed connects.
    pub failed_connects: usize,
}

impl AttemptHistory {
    /// True if another connect may be tried after a failed one.
    pub fn may_connect_again(&self) -> bool {
        self.failed_connects < MAX_FAILED_CONNECTS
    }

    /// True if the route and the fleet's retry budget allow sending the request to one more server. The budget is charged
    /// when the request is written.
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

    /// True if a server's 5xx response is to be retried at another server instead of being forwarded.
    pub fn should_retry(&self, request: &ProxiedRequest<'_>, response: &UpstreamResponse) -> bool {
        response.status >= 500 && self.may_retry(request)
    }
}
