//! One attempt: selects a server, writes the request to it and reads the head of its response.
//!
//! The placer counts an attempt as in flight from the selection of its server until its end is reported to the placer.
//! [`AttemptGuard`] reports the end wherever the attempt's future is dropped.

use std::rc::Rc;
use std::time::Duration;

use gradepaddle_http::Connection;
use gradepaddle_placement::{AttemptId, AttemptOutcome, Placement, Rejection, ServerLoadReport};
use tokio::time::{Instant, sleep_until};

use crate::counters::increment;
use crate::data_plane::DataPlane;
use crate::proxied_request::ProxiedRequest;
use crate::retry::AttemptHistory;
use crate::upstream_request::upstream_request_head;
use crate::upstream_response::{ExchangeError, UpstreamResponse, exchange};

/// Statuses that tell a client that its request was not processed.
const NOT_PROCESSED_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// The deadline sent to a server is this much earlier than the request's, so that a 504 of the server arrives before the
/// node generates its own.
const RESPONSE_MARGIN: Duration = Duration::from_millis(15);

/// How an attempt ended.
pub(crate) enum AttemptResult {
    /// The head of a response was received. The caller must report the attempt's end to the placer.
    Response(Box<UpstreamResponse>, Placement),
    /// The request was not written.
    NotSent,
    /// The server rejected the request without processing it.
    Rejected,
    /// The attempt failed; the request may have been processed.
    Failed,
    /// The request's deadline has passed.
    DeadlineExceeded,
    /// The client has closed its connection.
    ClientGone,
}

/// How sending the request to the selected server ended.
enum SendResult {
    Response(Box<UpstreamResponse>),
    ConnectFailed,
    /// The server began to drain before the request was written.
    ServerDraining,
    Failed,
    /// The server's model version is about to become too old.
    VersionOutdated,
    DeadlineExceeded,
    ClientGone,
}

/// Makes one attempt. `last_event_id` is the id of the last event that the client has.
///
/// If the future is dropped, the attempt is reported to the placer as ended by the client, and the connection is reset.
///
/// # Errors
///
/// The placer's reason for not selecting a server.
pub(crate) async fn attempt(
    request: &ProxiedRequest<'_>,
    client: &Connection,
    history: &mut AttemptHistory,
    last_event_id: Option<u64>,
) -> Result<AttemptResult, Rejection> {
    let (plane, deadline) = (request.plane, request.deadline());
    if Instant::now() >= deadline {
        return Ok(AttemptResult::DeadlineExceeded);
    }
    let placement = request.select_server(last_event_id, &history.tried_servers)?;
    let guard = AttemptGuard { plane, attempt: placement.attempt, ended: false };
    plane.load_reports.request_placed();
    history.tried_servers.push(placement.server.clone());
    let sent_before = history.sent;
    // `send` is not cancellation safe and need not be: if another branch completes first, the attempt is over.
    let result = tokio::select! {
        biased;
        // Polled first: nothing is sent for a client that has disconnected.
        () = client.peer_closed() => SendResult::ClientGone,
        result = send(request, &placement, history, last_event_id) => result,
        () = plane.version_deadline_passed(placement.attempt) => SendResult::VersionOutdated,
        () = sleep_until(deadline) => SendResult::DeadlineExceeded,
    };
    let sent = history.sent > sent_before;
    Ok(conclude(guard, placement, history, result, sent))
}

/// Connects, writes the request and waits for the head of the response.
async fn send(
    request: &ProxiedRequest<'_>,
    placement: &Placement,
    history: &mut AttemptHistory,
    last_event_id: Option<u64>,
) -> SendResult {
    let (plane, deadline) = (request.plane, request.deadline());
    let Some(pooled) = plane.upstreams.connect(&placement.server, placement.address, &plane.pool).await
    else {
        return SendResult::ConnectFailed;
    };
    // Checked again right before the write: the server may have begun to drain while the connection was set up.
    if !plane.placer.borrow().accepts_requests(&placement.server) {
        return SendResult::ServerDraining;
    }
    let now = Instant::now();
    if now >= deadline {
        return SendResult::DeadlineExceeded;
    }
    let time_left = deadline.saturating_duration_since(now).saturating_sub(RESPONSE_MARGIN);
    let head = upstream_request_head(request, placement, time_left, last_event_id);
    history.sent += 1;
    if history.sent > 1 {
        let now = plane.now();
        plane.placer.borrow_mut().record_retry(now, &request.routed.service);
        increment(&plane.counters.retries);
    }
    let idle = pooled.idle;
    let result = exchange(pooled, &[&head, request.body], &request.routed.id, request.head.method()).await;
    plane.upstreams.record_outcome(idle, matches!(result, Err(ExchangeError::ConnectionLost)));
    match result {
        Ok(response) => SendResult::Response(Box::new(response)),
        Err(_) => SendResult::Failed,
    }
}

/// Reports the end of the attempt to the placer, unless a response is yet to be forwarded, and records whether the request
/// may have been processed. `sent`: the request was written to the server, at least in part.
fn conclude(
    mut guard: AttemptGuard<'_>,
    placement: Placement,
    history: &mut AttemptHistory,
    result: SendResult,
    sent: bool,
) -> AttemptResult {
    match result {
        SendResult::Response(response) => conclude_response(guard, placement, history, response),
        SendResult::ConnectFailed => {
            history.failed_connects += 1;
            guard.end(AttemptOutcome::ConnectFailed, None);
            AttemptResult::NotSent
        }
        SendResult::ServerDraining => {
            guard.end(AttemptOutcome::ClientGone, None);
            AttemptResult::NotSent
        }
        SendResult::Failed => {
            history.may_have_run = true;
            guard.end(AttemptOutcome::ConnectionBroken, None);
            AttemptResult::Failed
        }
        SendResult::VersionOutdated => {
            guard.plane.attempt_withdrawn(&placement.server);
            guard.end(AttemptOutcome::Outdated, None);
            history.may_have_run |= sent;
            if sent { AttemptResult::Failed } else { AttemptResult::NotSent }
        }
        SendResult::DeadlineExceeded => {
            history.may_have_run |= sent;
            guard.end(AttemptOutcome::TimedOut, None);
            AttemptResult::DeadlineExceeded
        }
        SendResult::ClientGone => {
            guard.end(AttemptOutcome::ClientGone, None);
            AttemptResult::ClientGone
        }
    }
}

/// Decides whether a response may be forwarded; if not, reports the end of the attempt to the placer.
fn conclude_response(
    mut guard: AttemptGuard<'_>,
    placement: Placement,
    history: &mut AttemptHistory,
    response: Box<UpstreamResponse>,
) -> AttemptResult {
    if response.was_not_processed() {
        guard.end(not_processed_outcome(&response), response.load());
        guard.plane.upstreams.record_outcome(None, false);
        return AttemptResult::Rejected;
    }
    history.may_have_run = true;
    if NOT_PROCESSED_STATUSES.contains(&response.status) {
        // The status would tell the client that its request was not processed, which the server has not said.
        guard.end(AttemptOutcome::ServerError, response.load());
        return AttemptResult::Failed;
    }
    guard.release();
    AttemptResult::Response(response, placement)
}

/// What is reported to the placer about a server that did not process a request.
fn not_processed_outcome(response: &UpstreamResponse) -> AttemptOutcome {
    match (response.status, response.version()) {
        (421, Some(_)) => AttemptOutcome::VersionMismatch,
        (421, None) => AttemptOutcome::Misdirected,
        _ => AttemptOutcome::NotProcessed,
    }
}

/// Reports the attempt's end to the placer, at the latest when the guard is dropped. The attempt's future may be dropped at
/// any `await`; without the guard the server's count of requests in flight would then never be decremented.
struct AttemptGuard<'a> {
    plane: &'a Rc<DataPlane>,
    attempt: AttemptId,
    ended: bool,
}

impl AttemptGuard<'_> {
    /// Reports the attempt's end, unless that has been done.
    fn end(&mut self, outcome: AttemptOutcome, load: Option<ServerLoadReport>) {
        if !std::mem::replace(&mut self.ended, true) {
            let now = self.plane.now();
            self.plane.placer.borrow_mut().record_end(now, self.attempt, outcome, load, None);
        }
    }

    /// Leaves it to the caller to report the attempt's end to the placer.
    fn release(mut self) {
        self.ended = true;
    }
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        self.end(AttemptOutcome::ClientGone, None);
    }
}
