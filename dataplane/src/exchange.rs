//! The life of one request: attempts until one brings an answer, then the answer to its client.
//!
//! What holds whatever is chosen: a request runs at most once unless its route allows more; 429 and 503 are given only
//! if no attempt can have run; a server that takes nothing new gets nothing; one answer, whole or visibly cut.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use gradepaddle_engine::{AttemptOutcome, Choice, Refusal, Request as Placement};
use gradepaddle_http::buffers::Chain;
use gradepaddle_http::{Connection, Head};
use tokio::time::{Instant, sleep_until};

use crate::admission::Admitted;
use crate::answer::OwnAnswer;
use crate::attempt::{self, AttemptFailure, Upstream};
use crate::relay::{self, Relayed};
use crate::shared::{DataPlane, count};

/// Statuses by which a client knows that its request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// Connections that did not come up before a request is refused.
const DIALS_MOST: usize = 3;
/// A client that is refused comes back after this if nothing better is known.
const USUAL_PAUSE: Duration = Duration::from_millis(150);
/// A client that is refused since its server turned it away comes back after this.
const TURNED_AWAY_PAUSE: Duration = Duration::from_millis(60);
/// A server is given this much less than the time that is left, so that its own 504 comes before ours.
const ANSWER_MARGIN: Duration = Duration::from_millis(15);

/// A request that was read whole.
pub(crate) struct Exchange<'a> {
    pub plane: &'a Rc<DataPlane>,
    pub head: &'a Head,
    pub body: &'a Chain,
    pub admitted: Admitted,
    pub arrived: Instant,
}

/// How an exchange left its client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Left {
    /// An answer has been written whole.
    Answered,
    /// The connection is of no more use: the client has gone, or its answer was cut.
    Broken,
}

/// What has been done for a request so far.
#[derive(Default)]
struct Progress {
    /// Servers that were written to.
    sent: u32,
    /// Attempts that may have run.
    may_have_run: bool,
    /// Servers not to try again.
    tried: Vec<Arc<str>>,
    /// Connections that did not come up.
    dials: usize,
}

/// How one attempt ended.
enum Attempted {
    /// An answer's head came.
    Answer(Box<Upstream>, Choice),
    /// The request was not sent.
    NotSent,
    /// The server turned it away unseen.
    TurnedAway,
    /// The attempt failed; it may have run.
    Failed,
    /// The time is over.
    Late,
    /// The client has gone.
    ClientGone,
}

impl Exchange<'_> {
    /// Carries the request out and answers its client.
    pub async fn run(&self, client: &mut Connection, close: bool) -> Left {
        let now = self.plane.now();
        self.plane.engine.borrow_mut().note_request(now, &self.admitted.service);
        let mut progress = Progress::default();
        loop {
            match self.attempt(client, &mut progress, self.admitted.last_event).await {
                Err(refusal) => return self.refuse(client, &progress, refusal, close).await,
                Ok(Attempted::Answer(upstream, choice)) => {
                    if self.worth_another(&upstream, &progress) {
                        self.drop_answer(&upstream, &choice);
                        progress.may_have_run = true;
                        continue;
                    }
                    return self.relay(client, *upstream, choice, &mut progress, close).await;
                }
                Ok(Attempted::NotSent) if progress.dials < DIALS_MOST => {}
                Ok(Attempted::NotSent) => {
                    return self.give_up(client, &progress, OwnAnswer::BadUpstream, USUAL_PAUSE, close).await;
                }
                Ok(Attempted::TurnedAway) if self.may_send_again(&progress) => {}
                Ok(Attempted::TurnedAway) => {
                    let pause = TURNED_AWAY_PAUSE;
                    return self.give_up(client, &progress, OwnAnswer::BadUpstream, pause, close).await;
                }
                Ok(Attempted::Failed) if self.admitted.may_repeat && self.may_send_again(&progress) => {}
                Ok(Attempted::Failed) => return self.own(client, OwnAnswer::BadUpstream, close).await,
                Ok(Attempted::Late) => {
                    return self.give_up(client, &progress, OwnAnswer::Late, USUAL_PAUSE, close).await;
                }
                Ok(Attempted::ClientGone) => return Left::Broken,
            }
        }
    }

    /// The time by which the request has to have its answer.
    fn deadline(&self) -> Instant {
        self.arrived + self.admitted.time
    }

    /// True if the request may go to one more server: by its route and by the fleet's budget.
    fn may_send_again(&self, progress: &Progress) -> bool {
        if progress.sent == 0 {
            return true;
        }
        let now = self.plane.now();
        progress.sent < self.admitted.tries
            && self.plane.engine.borrow_mut().may_repeat(now, &self.admitted.service)
    }

    /// True if a server's failure is better tried again elsewhere than passed on.
    fn worth_another(&self, upstream: &Upstream, progress: &Progress) -> bool {
        upstream.status >= 500 && self.admitted.may_repeat && self.may_send_again(progress)
    }

    fn drop_answer(&self, upstream: &Upstream, choice: &Choice) {
        let (now, load) = (self.plane.now(), upstream.load());
        self.plane.engine.borrow_mut().ended(now, choice.attempt, AttemptOutcome::ServerError, load, None);
    }

    fn placement(&self, resumed_from: Option<u64>) -> Placement<'_> {
        Placement {
            service: &self.admitted.service,
            model: self.admitted.model.as_deref(),
            parts: &self.admitted.parts,
            tokens_in: self.admitted.tokens_in,
            tokens_out: self.admitted.tokens_out,
            priority: self.admitted.priority,
            aim: self.admitted.aim.as_micros() as u64,
            gap: self.admitted.gap_aim.map_or(0, |gap| gap.as_micros() as u64),
            time_left: self.deadline().saturating_duration_since(Instant::now()).as_micros() as u64,
            wall: self.admitted.wall.clone(),
            resumed_from,
        }
    }

    /// Makes one attempt. `last_event` is the last event that the client has.
    async fn attempt(
        &self,
        client: &Connection,
        progress: &mut Progress,
        last_event: Option<u64>,
    ) -> Result<Attempted, Refusal> {
        let deadline = self.deadline();
        if Instant::now() >= deadline {
            return Ok(Attempted::Late);
        }
        let now = self.plane.now();
        let choice =
            self.plane.engine.borrow_mut().choose(now, &self.placement(last_event), &progress.tried)?;
        self.plane.sharing.placed();
        progress.tried.push(choice.server.clone());
        let sent_before = progress.sent;
        // The engine counts the attempt until it is told of its end, also where this future is dropped.
        let mut guard = AttemptGuard { plane: self.plane, choice: &choice, ended: false };
        let result = tokio::select! {
            biased;
            // First of all: nothing is sent for a client that has gone.
            () = client.left() => Sent::ClientGone,
            result = self.send(&choice, progress, last_event, deadline) => result,
            () = self.plane.outdated(choice.attempt) => Sent::Outdated,
            () = sleep_until(deadline) => Sent::Late,
        };
        let attempted = match result {
            Sent::Answer(upstream) => {
                if upstream.did_not_run() {
                    let outcome = not_run_outcome(&upstream);
                    guard.end(outcome, upstream.load());
                    self.plane.upstreams.note(None, false);
                    Attempted::TurnedAway
                } else if PROMISES.contains(&upstream.status) {
                    // Its wording would be a promise to the client, and the server has not made it.
                    progress.may_have_run = true;
                    guard.end(AttemptOutcome::ServerError, upstream.load());
                    Attempted::Failed
                } else {
                    guard.ended = true;
                    progress.may_have_run = true;
                    drop(guard);
                    return Ok(Attempted::Answer(upstream, choice));
                }
            }
            Sent::NoConnection => {
                progress.dials += 1;
                guard.end(AttemptOutcome::ConnectFailed, None);
                Attempted::NotSent
            }
            Sent::Closed => {
                guard.end(AttemptOutcome::ClientGone, None);
                Attempted::NotSent
            }
            Sent::Failed => {
                progress.may_have_run = true;
                guard.end(AttemptOutcome::Broken, None);
                Attempted::Failed
            }
            Sent::Outdated => {
                self.plane.took_back(&choice.server);
                guard.end(AttemptOutcome::Outdated, None);
                if progress.sent == sent_before {
                    Attempted::NotSent
                } else {
                    progress.may_have_run = true;
                    Attempted::Failed
                }
            }
            Sent::Late => {
                progress.may_have_run |= progress.sent > sent_before;
                guard.end(AttemptOutcome::TimedOut, None);
                Attempted::Late
            }
            Sent::ClientGone => {
                guard.end(AttemptOutcome::ClientGone, None);
                Attempted::ClientGone
            }
        };
        Ok(attempted)
    }

    /// Connects, writes the request and waits for the head of the answer.
    async fn send(
        &self,
        choice: &Choice,
        progress: &mut Progress,
        last_event: Option<u64>,
        deadline: Instant,
    ) -> Sent {
        let plane = self.plane;
        let Some(lease) = plane.upstreams.connect(&choice.server, choice.address, &plane.pool).await else {
            return Sent::NoConnection;
        };
        // A drain binds when the request is written, and the connection may have taken its time.
        if !plane.engine.borrow().takes_requests(&choice.server) {
            return Sent::Closed;
        }
        if Instant::now() >= deadline {
            return Sent::Late;
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
            plane.engine.borrow_mut().note_repeat(now, &self.admitted.service);
            count(&plane.counters.repeats);
        }
        let idle = lease.idle;
        let result =
            attempt::exchange(lease, &[&head, self.body], &self.admitted.id, self.head.method()).await;
        plane.upstreams.note(idle, matches!(result, Err(AttemptFailure::Broken)));
        match result {
            Ok(upstream) => Sent::Answer(Box::new(upstream)),
            Err(_) => Sent::Failed,
        }
    }

    /// Passes an answer on, and takes its stream up elsewhere where that is allowed.
    async fn relay(
        &self,
        client: &mut Connection,
        upstream: Upstream,
        choice: Choice,
        progress: &mut Progress,
        close: bool,
    ) -> Left {
        let succeeded = (200..300).contains(&upstream.status);
        let mut relay = relay::Relay::new(
            self.plane,
            &self.admitted,
            upstream,
            choice,
            self.deadline(),
            (close, self.head.is_old()),
        );
        loop {
            match relay.run(client).await {
                Relayed::Whole => {
                    let counters = &self.plane.counters;
                    count(if succeeded { &counters.served } else { &counters.failed });
                    return Left::Answered;
                }
                Relayed::ClientGone => return Left::Broken,
                Relayed::Cut => {
                    let resumed = self.resume(client, progress, relay.resume_from()).await;
                    let Some((upstream, choice)) = resumed else {
                        count(&self.plane.counters.failed);
                        client.break_off();
                        return Left::Broken;
                    };
                    count(&self.plane.counters.resumed);
                    relay.go_on(upstream, choice);
                }
            }
        }
    }

    /// Asks another server to go on behind this event; `from` is none where the answer can't be taken up.
    async fn resume(
        &self,
        client: &Connection,
        progress: &mut Progress,
        from: Option<Option<u64>>,
    ) -> Option<(Upstream, Choice)> {
        let from = from?;
        loop {
            if !self.may_send_again(progress) || Instant::now() >= self.deadline() {
                return None;
            }
            match self.attempt(client, progress, from).await {
                Ok(Attempted::Answer(upstream, choice)) if upstream.status == 200 => {
                    return Some((*upstream, choice));
                }
                Ok(Attempted::Answer(upstream, choice)) => self.drop_answer(&upstream, &choice),
                Ok(Attempted::NotSent) if progress.dials < DIALS_MOST => {}
                Ok(Attempted::TurnedAway | Attempted::Failed) => {}
                _ => return None,
            }
        }
    }

    /// Answers a request that no server can be chosen for.
    async fn refuse(
        &self,
        client: &mut Connection,
        progress: &Progress,
        refusal: Refusal,
        close: bool,
    ) -> Left {
        let pause = match refusal {
            Refusal::NoServer { retry_after } | Refusal::Overloaded { retry_after } => retry_after,
        };
        self.give_up(client, progress, OwnAnswer::BadUpstream, Duration::from_micros(pause), close).await
    }

    /// Gives the request up: with a promise if it can't have run, with `otherwise` if it may have.
    async fn give_up(
        &self,
        client: &mut Connection,
        progress: &Progress,
        otherwise: OwnAnswer,
        pause: Duration,
        close: bool,
    ) -> Left {
        let answer = if progress.may_have_run { otherwise } else { OwnAnswer::Refused(pause) };
        self.own(client, answer, close).await
    }

    async fn own(&self, client: &mut Connection, answer: OwnAnswer, close: bool) -> Left {
        let counters = &self.plane.counters;
        count(if matches!(answer, OwnAnswer::Refused(_)) { &counters.refused } else { &counters.failed });
        let chain = answer.write(&self.plane.pool, Some(&self.admitted.id), close);
        match client.write(&[&chain]).await {
            Ok(()) => Left::Answered,
            Err(_) => Left::Broken,
        }
    }
}

/// How far an attempt came.
enum Sent {
    Answer(Box<Upstream>),
    NoConnection,
    Closed,
    Failed,
    Outdated,
    Late,
    ClientGone,
}

/// What the engine learns from a server that did not run a request.
fn not_run_outcome(upstream: &Upstream) -> AttemptOutcome {
    match (upstream.status, upstream.version()) {
        (421, Some(_)) => AttemptOutcome::VersionMismatch,
        (421, None) => AttemptOutcome::Misdirected,
        _ => AttemptOutcome::NotRun,
    }
}

/// Tells the engine of an attempt's end, at the latest when it is dropped.
struct AttemptGuard<'a> {
    plane: &'a Rc<DataPlane>,
    choice: &'a Choice,
    ended: bool,
}

impl AttemptGuard<'_> {
    fn end(&mut self, outcome: AttemptOutcome, load: Option<gradepaddle_engine::LoadReport>) {
        if !std::mem::replace(&mut self.ended, true) {
            let now = self.plane.now();
            self.plane.engine.borrow_mut().ended(now, self.choice.attempt, outcome, load, None);
        }
    }
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        self.end(AttemptOutcome::ClientGone, None);
    }
}
