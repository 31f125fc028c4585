//! Proxies an admitted request: makes attempts until one yields a response, and forwards that response to the client.
//!
//! Invariants, whichever servers are selected: a request is processed at most once unless its route allows more; the
//! client gets a 429 or 503 only if no attempt can have been processed; nothing is sent to a draining server; the client
//! gets one response, either complete or visibly truncated.

use std::time::Duration;

use gradepaddle_http::Connection;
use gradepaddle_placement::{AttemptOutcome, Placement, Rejection};
use tokio::time::Instant;

use crate::attempt::{AttemptResult, attempt};
use crate::counters::increment;
use crate::local_response::LocalResponse;
use crate::proxied_request::ProxiedRequest;
use crate::response_forwarding::{ForwardingOutcome, ResponseForwarding, ResumePoint};
use crate::retry::AttemptHistory;
use crate::upstream_response::UpstreamResponse;

/// `Retry-After` of a rejected request for which the placer gives no time.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(150);
/// `Retry-After` of a request that its server rejected.
const REJECTED_RETRY_AFTER: Duration = Duration::from_millis(60);

/// How the proxying of a request ended, seen from the client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use = "an aborted connection can't be used for another request"]
pub(crate) enum RequestOutcome {
    /// A complete response has been written.
    Responded,
    /// The connection is unusable: the client disconnected, or its response was truncated.
    Aborted,
}

/// A request that is being proxied, with the history of its attempts.
pub(crate) struct Proxy<'a> {
    request: &'a ProxiedRequest<'a>,
    history: AttemptHistory,
    /// Whether the client's connection is closed after the response.
    close: bool,
}

impl<'a> Proxy<'a> {
    /// Creates the proxy for a request that has not been sent to any server.
    pub fn new(request: &'a ProxiedRequest<'a>, close: bool) -> Self {
        Proxy { request, history: AttemptHistory::default(), close }
    }

    /// Makes attempts until one yields a response or no more are allowed, and responds to the client.
    pub async fn run(mut self, client: &mut Connection) -> RequestOutcome {
        let (plane, routed) = (self.request.plane, &self.request.routed);
        let now = plane.now();
        plane.placer.borrow_mut().record_request(now, &routed.service);
        loop {
            let result =
                attempt(self.request, client, &mut self.history, routed.last_event_id.number()).await;
            let (failure_response, retry_after) = match result {
                Err(rejection) => (LocalResponse::BadGateway, retry_after(rejection)),
                Ok(AttemptResult::Response(response, placement)) => {
                    if self.history.should_retry(self.request, &response) {
                        self.discard_response(&response, &placement);
                        continue;
                    }
                    return self.forward_response(client, *response, placement).await;
                }
                Ok(AttemptResult::NotSent) if self.history.may_connect_again() => continue,
                Ok(AttemptResult::NotSent) => (LocalResponse::BadGateway, DEFAULT_RETRY_AFTER),
                Ok(AttemptResult::Rejected) if self.history.may_send(self.request) => continue,
                Ok(AttemptResult::Rejected) => (LocalResponse::BadGateway, REJECTED_RETRY_AFTER),
                Ok(AttemptResult::Failed) if self.history.may_retry(self.request) => continue,
                Ok(AttemptResult::Failed) => {
                    return self.respond_locally(client, LocalResponse::BadGateway).await;
                }
                Ok(AttemptResult::DeadlineExceeded) => (LocalResponse::GatewayTimeout, DEFAULT_RETRY_AFTER),
                Ok(AttemptResult::ClientGone) => return RequestOutcome::Aborted,
            };
            // A 503 tells the client that its request was not processed.
            let response = match self.history.may_have_run {
                true => failure_response,
                false => LocalResponse::Unavailable { retry_after },
            };
            return self.respond_locally(client, response).await;
        }
    }

    /// Reports an attempt to the placer as failed; its response is not forwarded.
    fn discard_response(&self, response: &UpstreamResponse, placement: &Placement) {
        let plane = self.request.plane;
        let (now, load) = (plane.now(), response.load());
        plane.placer.borrow_mut().record_end(now, placement.attempt, AttemptOutcome::ServerError, load, None);
    }

    /// Forwards a response, and resumes its stream at another server where that is allowed.
    async fn forward_response(
        mut self,
        client: &mut Connection,
        response: UpstreamResponse,
        placement: Placement,
    ) -> RequestOutcome {
        let counters = &self.request.plane.counters;
        let succeeded = (200..300).contains(&response.status);
        let mut forwarding = ResponseForwarding::new(self.request, response, placement, self.close);
        loop {
            match forwarding.run(client).await {
                ForwardingOutcome::Complete => {
                    increment(if succeeded { &counters.responses } else { &counters.failed });
                    return RequestOutcome::Responded;
                }
                ForwardingOutcome::ClientGone => return RequestOutcome::Aborted,
                ForwardingOutcome::Interrupted => {
                    let Some((response, placement)) = self.resume(client, forwarding.resume_point()).await
                    else {
                        increment(&counters.failed);
                        // The client must see a reset: an end could pass for the end of the response.
                        client.reset_on_drop();
                        return RequestOutcome::Aborted;
                    };
                    increment(&counters.resumed);
                    forwarding.resume_with(response, placement);
                }
            }
        }
    }

    /// Resumes a stream at another server. `resume_point` is none if the response can't be resumed.
    async fn resume(
        &mut self,
        client: &Connection,
        resume_point: Option<ResumePoint>,
    ) -> Option<(UpstreamResponse, Placement)> {
        let ResumePoint { last_event_id } = resume_point?;
        loop {
            if !self.history.may_send(self.request) || Instant::now() >= self.request.deadline() {
                return None;
            }
            match attempt(self.request, client, &mut self.history, last_event_id).await {
                Ok(AttemptResult::Response(response, placement)) if response.is_event_stream() => {
                    return Some((*response, placement));
                }
                Ok(AttemptResult::Response(response, placement)) => {
                    self.discard_response(&response, &placement);
                }
                Ok(AttemptResult::NotSent) if self.history.may_connect_again() => {}
                Ok(AttemptResult::Rejected | AttemptResult::Failed) => {}
                Ok(AttemptResult::NotSent | AttemptResult::DeadlineExceeded | AttemptResult::ClientGone)
                | Err(_) => return None,
            }
        }
    }

    /// Writes a response of the node's own to the client, and counts the request as rejected or failed.
    async fn respond_locally(&self, client: &Connection, response: LocalResponse) -> RequestOutcome {
        let plane = self.request.plane;
        let not_processed = matches!(response, LocalResponse::Unavailable { .. });
        increment(if not_processed { &plane.counters.rejected } else { &plane.counters.failed });
        let id = Some(&*self.request.routed.id);
        response.write(&plane.pool, client, self.request.permit, id, self.close).await
    }
}

/// The `Retry-After` of a request for which no server could be selected.
fn retry_after(rejection: Rejection) -> Duration {
    let (Rejection::NoServer { retry_after } | Rejection::Overloaded { retry_after }) = rejection;
    Duration::from_micros(retry_after)
}
