//! The life of one request: attempts until one brings an answer, then the answer to its client.
//!
//! What holds whatever is chosen: a request runs at most once unless its route allows more; 429 and 503 are given only
//! if no attempt can have run; a server that takes nothing new gets nothing; one answer, whole or visibly cut.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use gradepaddle_http::buffers::Chain;
use gradepaddle_http::{Connection, Head};
use gradepaddle_placement::{AttemptOutcome, Placement, PlacementRequest, Rejection};
use tokio::time::{Instant, sleep_until};

use crate::admission::RoutedRequest;
use crate::attempt::{self, AttemptFailure, UpstreamResponse};
use crate::data_plane::{DataPlane, count};
use crate::local_response::LocalResponse;
use crate::response_forwarding::{ForwardingOutcome, ResponseForwarding};

/// Statuses by which a client knows that its request has not run.
const NOT_PROCESSED_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// Connections that did not come up before a request is refused.
const MAX_FAILED_CONNECTS: usize = 3;
/// A client that is refused comes back after this if nothing better is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(150);
/// A client that is refused since its server turned it away comes back after this.
const REJECTED_RETRY_AFTER: Duration = Duration::from_millis(60);
/// A server is given this much less than the time that is left, so that its own 504 comes before ours.
const ANSWER_MARGIN: Duration = Duration::from_millis(15);

/// A request that was read whole.
pub(crate) struct ProxiedRequest<'a> {
    pub plane: &'a Rc<DataPlane>,
    pub head: &'a Head,
    pub body: &'a Chain,
    pub admitted: RoutedRequest,
    pub arrived: Instant,
}

/// How an exchange left its client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestOutcome {
    /// An answer has been written whole.
    Responded,
    /// The connection is of no more use: the client has gone, or its answer was cut.
    Aborted,
}

/// What has been done for a request so far.
#[derive(Default)]
struct AttemptHistory {
    /// Servers that were written to.
    sent: u32,
    /// Attempts that may have run.
    may_have_run: bool,
    /// Servers not to try again.
    tried_servers: Vec<Arc<str>>,
    /// Connections that did not come up.
    failed_connects: usize,
}

/// How one attempt ended.
enum AttemptResult {
    /// An answer's head came.
    Response(Box<UpstreamResponse>, Placement),
    /// The request was not sent.
    NotSent,
    /// The server turned it away unseen.
    Rejected,
    /// The attempt failed; it may have run.
    Failed,
    /// The time is over.
    DeadlineExceeded,
    /// The client has gone.
    ClientGone,
}

impl ProxiedRequest<'_> {
    /// Carries the request out and answers its client.
    pub async fn run(&self, client: &mut Connection, close: bool) -> RequestOutcome {
        let now = self.plane.now();
        self.plane.placer.borrow_mut().record_request(now, &self.admitted.service);
        let mut progress = AttemptHistory::default();
        loop {
            match self.attempt(client, &mut progress, self.admitted.last_event_id).await {
                Err(refusal) => return self.reject(client, &progress, refusal, close).await,
                Ok(AttemptResult::Response(upstream, choice)) => {
                    if self.should_retry(&upstream, &progress) {
                        self.discard_response(&upstream, &choice);
                        progress.may_have_run = true;
                        continue;
                    }
                    return self.forward_response(client, *upstream, choice, &mut progress, close).await;
                }
                Ok(AttemptResult::NotSent) if progress.failed_connects < MAX_FAILED_CONNECTS => {}
                Ok(AttemptResult::NotSent) => {
                    return self
                        .respond_unless_run(
                            client,
                            &progress,
                            LocalResponse::BadGateway,
                            DEFAULT_RETRY_AFTER,
                            close,
                        )
                        .await;
                }
                Ok(AttemptResult::Rejected) if self.may_send(&progress) => {}
                Ok(AttemptResult::Rejected) => {
                    let pause = REJECTED_RETRY_AFTER;
                    return self
                        .respond_unless_run(client, &progress, LocalResponse::BadGateway, pause, close)
                        .await;
                }
                Ok(AttemptResult::Failed) if self.admitted.idempotent && self.may_send(&progress) => {}
                Ok(AttemptResult::Failed) => {
                    return self.respond_locally(client, LocalResponse::BadGateway, close).await;
                }
                Ok(AttemptResult::DeadlineExceeded) => {
                    return self
                        .respond_unless_run(
                            client,
                            &progress,
                            LocalResponse::GatewayTimeout,
                            DEFAULT_RETRY_AFTER,
                            close,
                        )
                        .await;
                }
                Ok(AttemptResult::ClientGone) => return RequestOutcome::Aborted,
            }
        }
    }

    /// The time by which the request has to have its answer.
    fn deadline(&self) -> Instant {
        self.arrived + self.admitted.timeout
    }

    /// True if the request may go to one more server: by its route and by the fleet's budget.
    fn may_send(&self, progress: &AttemptHistory) -> bool {
        if progress.sent == 0 {
            return true;
        }
        let now = self.plane.now();
        progress.sent < self.admitted.max_attempts
            && self.plane.placer.borrow_mut().may_retry(now, &self.admitted.service)
    }

    /// True if a server's failure is better tried again elsewhere than passed on.
    fn should_retry(&self, upstream: &UpstreamResponse, progress: &AttemptHistory) -> bool {
        upstream.status >= 500 && self.admitted.idempotent && self.may_send(progress)
    }

    fn discard_response(&self, upstream: &UpstreamResponse, choice: &Placement) {
        let (now, load) = (self.plane.now(), upstream.load());
        self.plane.placer.borrow_mut().record_end(
            now,
            choice.attempt,
            AttemptOutcome::ServerError,
            load,
            None,
        );
    }

    fn placement(&self, resumed_from: Option<u64>) -> PlacementRequest<'_> {
        PlacementRequest {
            service: &self.admitted.service,
            model: self.admitted.model.as_deref(),
            parts: &self.admitted.prompt,
            tokens_in: self.admitted.prompt_tokens,
            tokens_out: self.admitted.max_output_tokens,
            priority: self.admitted.priority,
            aim: self.admitted.latency_target.as_micros() as u64,
            gap: self.admitted.event_gap_target.map_or(0, |gap| gap.as_micros() as u64),
            time_left: self.deadline().saturating_duration_since(Instant::now()).as_micros() as u64,
            wall: self.admitted.wall.clone(),
            resumed_from,
        }
    }

    /// Makes one attempt. `last_event` is the last event that the client has.
    async fn attempt(
        &self,
        client: &Connection,
        progress: &mut AttemptHistory,
        last_event: Option<u64>,
    ) -> Result<AttemptResult, Rejection> {
        let deadline = self.deadline();
        if Instant::now() >= deadline {
            return Ok(AttemptResult::DeadlineExceeded);
        }
        let now = self.plane.now();
        let choice = self.plane.placer.borrow_mut().place(
            now,
            &self.placement(last_event),
            &progress.tried_servers,
        )?;
        self.plane.load_reports.request_placed();
        progress.tried_servers.push(choice.server.clone());
        let sent_before = progress.sent;
        // The engine counts the attempt until it is told of its end, also where this future is dropped.
        let mut guard = AttemptGuard { plane: self.plane, choice: &choice, ended: false };
        let result = tokio::select! {
            biased;
            // First of all: nothing is sent for a client that has gone.
            () = client.left() => SendResult::ClientGone,
            result = self.send(&choice, progress, last_event, deadline) => result,
            () = self.plane.version_deadline_passed(choice.attempt) => SendResult::Outdated,
            () = sleep_until(deadline) => SendResult::DeadlineExceeded,
        };
        let attempted = match result {
            SendResult::Response(upstream) => {
                if upstream.did_not_run() {
                    let outcome = not_run_outcome(&upstream);
                    guard.end(outcome, upstream.load());
                    self.plane.upstreams.record_outcome(None, false);
                    AttemptResult::Rejected
                } else if NOT_PROCESSED_STATUSES.contains(&upstream.status) {
                    // Its wording would be a promise to the client, and the server has not made it.
                    progress.may_have_run = true;
                    guard.end(AttemptOutcome::ServerError, upstream.load());
                    AttemptResult::Failed
                } else {
                    guard.ended = true;
                    progress.may_have_run = true;
                    drop(guard);
                    return Ok(AttemptResult::Response(upstream, choice));
                }
            }
            SendResult::ConnectFailed => {
                progress.failed_connects += 1;
                guard.end(AttemptOutcome::ConnectFailed, None);
                AttemptResult::NotSent
            }
            SendResult::ServerDraining => {
                guard.end(AttemptOutcome::ClientGone, None);
                AttemptResult::NotSent
            }
            SendResult::Failed => {
                progress.may_have_run = true;
                guard.end(AttemptOutcome::Broken, None);
                AttemptResult::Failed
            }
            SendResult::Outdated => {
                self.plane.attempt_withdrawn(&choice.server);
                guard.end(AttemptOutcome::Outdated, None);
                if progress.sent == sent_before {
                    AttemptResult::NotSent
                } else {
                    progress.may_have_run = true;
                    AttemptResult::Failed
                }
            }
            SendResult::DeadlineExceeded => {
                progress.may_have_run |= progress.sent > sent_before;
                guard.end(AttemptOutcome::TimedOut, None);
                AttemptResult::DeadlineExceeded
            }
            SendResult::ClientGone => {
                guard.end(AttemptOutcome::ClientGone, None);
                AttemptResult::ClientGone
            }
        };
        Ok(attempted)
    }

    /// Connects, writes the request and waits for the head of the answer.
    async fn send(
        &self,
        choice: &Placement,
        progress: &mut AttemptHistory,
        last_event: Option<u64>,
        deadline: Instant,
    ) -> SendResult {
        let plane = self.plane;
        let Some(lease) = plane.upstreams.connect(&choice.server, choice.address, &plane.pool).await else {
            return SendResult::ConnectFailed;
        };
        // A drain binds when the request is written, and the connection may have taken its time.
        if !plane.placer.borrow().accepts_requests(&choice.server) {
            return SendResult::ServerDraining;
        }
        if Instant::now() >= deadline {
            return SendResult::DeadlineExceeded;
        }
        let left = deadline.saturating_duration_since(Instant::now()).saturating_sub(ANSWER_MARGIN);
        let head = attempt::request_head(
            &plane.pool,
            self.head,
            &self.admitted,
            choice,
            self.body.len(),
            (left.as_millis() as u64).max(1),
            last_event,
        );
        progress.sent += 1;
        if progress.sent > 1 {
            let now = plane.now();
            plane.placer.borrow_mut().record_retry(now, &self.admitted.service);
            count(&plane.counters.retries);
        }
        let idle = lease.idle;
        let result =
            attempt::exchange(lease, &[&head, self.body], &self.admitted.id, self.head.method()).await;
        plane.upstreams.record_outcome(idle, matches!(result, Err(AttemptFailure::ConnectionLost)));
        match result {
            Ok(upstream) => SendResult::Response(Box::new(upstream)),
            Err(_) => SendResult::Failed,
        }
    }

    /// Passes an answer on, and takes its stream up elsewhere where that is allowed.
    async fn forward_response(
        &self,
        client: &mut Connection,
        upstream: UpstreamResponse,
        choice: Placement,
        progress: &mut AttemptHistory,
        close: bool,
    ) -> RequestOutcome {
        let succeeded = (200..300).contains(&upstream.status);
        let mut forwarding = ResponseForwarding::new(
            self.plane,
            &self.admitted,
            upstream,
            choice,
            self.deadline(),
            (close, self.head.is_old()),
        );
        loop {
            match forwarding.run(client).await {
                ForwardingOutcome::Complete => {
                    let counters = &self.plane.counters;
                    count(if succeeded { &counters.responses } else { &counters.failed });
                    return RequestOutcome::Responded;
                }
                ForwardingOutcome::ClientGone => return RequestOutcome::Aborted,
                ForwardingOutcome::Interrupted => {
                    let resumed = self.resume(client, progress, forwarding.resume_from()).await;
                    let Some((upstream, choice)) = resumed else {
                        count(&self.plane.counters.failed);
                        client.break_off();
                        return RequestOutcome::Aborted;
                    };
                    count(&self.plane.counters.resumed);
                    forwarding.resume_with(upstream, choice);
                }
            }
        }
    }

    /// Asks another server to go on behind this event; `from` is none where the answer can't be taken up.
    async fn resume(
        &self,
        client: &Connection,
        progress: &mut AttemptHistory,
        from: Option<Option<u64>>,
    ) -> Option<(UpstreamResponse, Placement)> {
        let from = from?;
        loop {
            if !self.may_send(progress) || Instant::now() >= self.deadline() {
                return None;
            }
            match self.attempt(client, progress, from).await {
                Ok(AttemptResult::Response(upstream, choice)) if upstream.status == 200 => {
                    return Some((*upstream, choice));
                }
                Ok(AttemptResult::Response(upstream, choice)) => self.discard_response(&upstream, &choice),
                Ok(AttemptResult::NotSent) if progress.failed_connects < MAX_FAILED_CONNECTS => {}
                Ok(AttemptResult::Rejected | AttemptResult::Failed) => {}
                _ => return None,
            }
        }
    }

    /// Answers a request that no server can be chosen for.
    async fn reject(
        &self,
        client: &mut Connection,
        progress: &AttemptHistory,
        refusal: Rejection,
        close: bool,
    ) -> RequestOutcome {
        let pause = match refusal {
            Rejection::NoServer { retry_after } | Rejection::Overloaded { retry_after } => retry_after,
        };
        self.respond_unless_run(
            client,
            progress,
            LocalResponse::BadGateway,
            Duration::from_micros(pause),
            close,
        )
        .await
    }

    /// Gives the request up: with a promise if it can't have run, with `otherwise` if it may have.
    async fn respond_unless_run(
        &self,
        client: &mut Connection,
        progress: &AttemptHistory,
        otherwise: LocalResponse,
        pause: Duration,
        close: bool,
    ) -> RequestOutcome {
        let answer = if progress.may_have_run { otherwise } else { LocalResponse::Unavailable(pause) };
        self.respond_locally(client, answer, close).await
    }

    async fn respond_locally(
        &self,
        client: &mut Connection,
        answer: LocalResponse,
        close: bool,
    ) -> RequestOutcome {
        let counters = &self.plane.counters;
        count(if matches!(answer, LocalResponse::Unavailable(_)) {
            &counters.rejected
        } else {
            &counters.failed
        });
        let chain = answer.write(&self.plane.pool, Some(&self.admitted.id), close);
        match client.write(&[&chain]).await {
            Ok(()) => RequestOutcome::Responded,
            Err(_) => RequestOutcome::Aborted,
        }
    }
}

/// How far an attempt came.
enum SendResult {
    Response(Box<UpstreamResponse>),
    ConnectFailed,
    ServerDraining,
    Failed,
    Outdated,
    DeadlineExceeded,
    ClientGone,
}

/// What the engine learns from a server that did not run a request.
fn not_run_outcome(upstream: &UpstreamResponse) -> AttemptOutcome {
    match (upstream.status, upstream.version()) {
        (421, Some(_)) => AttemptOutcome::VersionMismatch,
        (421, None) => AttemptOutcome::Misdirected,
        _ => AttemptOutcome::NotRun,
    }
}

/// Tells the engine of an attempt's end, at the latest when it is dropped.
struct AttemptGuard<'a> {
    plane: &'a Rc<DataPlane>,
    choice: &'a Placement,
    ended: bool,
}

impl AttemptGuard<'_> {
    fn end(&mut self, outcome: AttemptOutcome, load: Option<gradepaddle_placement::ServerLoadReport>) {
        if !std::mem::replace(&mut self.ended, true) {
            let now = self.plane.now();
            self.plane.placer.borrow_mut().record_end(now, self.choice.attempt, outcome, load, None);
        }
    }
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        self.end(AttemptOutcome::ClientGone, None);
    }
}
