//! How the process treats its clients at each moment: in service, drained by its operators, or terminating after SIGTERM.
//! No I/O: events and the time go in, and the traffic policy that follows comes out.

use gradepaddle::Micros;

/// The front (the proxy before the balancer) that has seen a failed readiness check keeps sending for less than this.
const FRONT_DELAY: Micros = 400_000;
/// A drained balancer closes idle connections and rejects requests from this long after the call on. With the 2 s that a
/// request may take afterwards, it has no clients left within 4 s.
const DRAIN_CLOSE_AFTER: Micros = 1_800_000;
/// After SIGTERM the front keeps sending for a while. For this long all connections are accepted, all requests are answered,
/// and connections of clients that only wait are kept. It is as long as possible, but ends before requests count that could
/// be found unanswered when the process ends.
const TERMINATE_CLOSE_AFTER: Micros = 650_000;
/// SIGKILL follows SIGTERM no sooner than after the longest deadline, counted as at most this, plus 0.7 s.
const MAX_COUNTED_DEADLINE: Micros = 3_000_000;
/// A request accepted after SIGTERM is answered within the counted deadline plus this, before SIGKILL.
const TERMINATE_ANSWER_MARGIN: Micros = 600_000;

/// How clients are treated at some moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrafficPolicy {
    /// Readiness checks may succeed.
    pub ready: bool,
    /// New connections are accepted.
    pub accepts: bool,
    /// Each response closes its connection.
    pub closes_after_response: bool,
    /// Connections are kept open while they wait for a request.
    pub keeps_idle: bool,
    /// New requests are rejected in a way that is safe to retry.
    pub rejects: bool,
    /// Connections in the listen backlog are left to a successor process.
    pub leaves_backlog: bool,
    /// When termination began; the process ends once all requests are answered.
    pub terminating_since: Option<Micros>,
}

impl TrafficPolicy {
    /// In service.
    pub const SERVING: TrafficPolicy = TrafficPolicy {
        ready: true,
        accepts: true,
        closes_after_response: false,
        keeps_idle: true,
        rejects: false,
        leaves_backlog: false,
        terminating_since: None,
    };

    /// The time by which a request that is accepted now has to be answered, given the longest deadline of all classes.
    pub fn answer_by(&self, longest_deadline: Micros) -> Option<Micros> {
        self.terminating_since
            .map(|at| at.saturating_add(longest_deadline.min(MAX_COUNTED_DEADLINE) + TERMINATE_ANSWER_MARGIN))
    }

    fn and(self, other: TrafficPolicy) -> TrafficPolicy {
        TrafficPolicy {
            ready: self.ready && other.ready,
            accepts: self.accepts && other.accepts,
            closes_after_response: self.closes_after_response || other.closes_after_response,
            keeps_idle: self.keeps_idle && other.keeps_idle,
            rejects: self.rejects || other.rejects,
            leaves_backlog: self.leaves_backlog || other.leaves_backlog,
            terminating_since: self.terminating_since.or(other.terminating_since),
        }
    }
}

/// Whether the process is drained, and whether it is terminating.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DrainState {
    drained_since: Option<Micros>,
    /// When termination began, and whether a successor process was serving by then.
    terminating: Option<(Micros, bool)>,
}

impl DrainState {
    /// Drains the process on behalf of the operators; false if it was drained already.
    pub fn drain(&mut self, now: Micros) -> bool {
        self.drained_since.replace(self.drained_since.unwrap_or(now)).is_none()
    }

    /// Ends the drain; false if the process is terminating, which nothing reverts.
    pub fn resume(&mut self) -> bool {
        self.drained_since = None;
        self.terminating.is_none()
    }

    /// Begins termination at the first SIGTERM; later ones change nothing. A successor is another process that serves the
    /// same clients.
    pub fn terminate(&mut self, now: Micros, has_successor: bool) {
        self.terminating.get_or_insert((now, has_successor));
    }

    /// True if the operators have drained the process.
    pub fn is_drained(&self) -> bool {
        self.drained_since.is_some()
    }

    /// True after SIGTERM.
    pub fn is_terminating(&self) -> bool {
        self.terminating.is_some()
    }

    /// The policy at this time.
    pub fn policy(&self, now: Micros) -> TrafficPolicy {
        let past = |since: Micros, span: Micros| now >= since.saturating_add(span);
        let drained = self.drained_since.map(|at| TrafficPolicy {
            ready: false,
            accepts: true,
            closes_after_response: past(at, FRONT_DELAY),
            keeps_idle: !past(at, DRAIN_CLOSE_AFTER),
            rejects: past(at, DRAIN_CLOSE_AFTER),
            ..TrafficPolicy::SERVING
        });
        // Clients keep their connections until the front has noticed: it may have no other balancer to send them to.
        let terminating = self.terminating.map(|(at, has_successor)| match has_successor {
            false => {
                let (over, terminating_since) = (past(at, TERMINATE_CLOSE_AFTER), Some(at));
                let (ready, accepts, closes_after_response, keeps_idle) = (false, !over, over, !over);
                TrafficPolicy {
                    ready,
                    accepts,
                    closes_after_response,
                    keeps_idle,
                    terminating_since,
                    ..TrafficPolicy::SERVING
                }
            }
            // The front sees the two processes as one balancer, which is ready.
            true => {
                let (keeps_idle, terminating_since) = (!past(at, TERMINATE_CLOSE_AFTER), Some(at));
                TrafficPolicy {
                    accepts: false,
                    closes_after_response: true,
                    keeps_idle,
                    leaves_backlog: true,
                    terminating_since,
                    ..TrafficPolicy::SERVING
                }
            }
        });
        [drained, terminating].into_iter().flatten().fold(TrafficPolicy::SERVING, TrafficPolicy::and)
    }

    /// When the policy changes next without another event.
    pub fn next_change(&self, now: Micros) -> Option<Micros> {
        let at = |since: Option<Micros>, span| since.map(|since| since.saturating_add(span));
        let terminating = self.terminating.map(|(at, _)| at);
        let changes = [
            at(self.drained_since, FRONT_DELAY),
            at(self.drained_since, DRAIN_CLOSE_AFTER),
            at(terminating, TERMINATE_CLOSE_AFTER),
        ];
        changes.into_iter().flatten().filter(|at| *at > now).min()
    }
}

#[cfg(test)]
mod tests;
