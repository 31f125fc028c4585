//! The queue of pending events. Events due at the same microsecond are ordered by rank, then by the order in
//! which they were pushed.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use gradepaddle::Micros;
use slotmap::new_key_type;

new_key_type! {
    /// One request that a client sends: a first try or a retry.
    pub struct ClientRequestKey;
    /// A logical request of a client: its first try and all of its retries.
    pub struct LogicalRequestKey;
    /// An attempt or a probe that a balancer has sent to an app server.
    pub struct UpstreamRequestKey;
}

/// The ranks of events due at the same time, first to last: troubles, server list changes, completed work and
/// results in transit, requests in transit, timers, new arrivals.
pub const RANKS: [&str; 6] = ["trouble", "list", "end", "reach", "timer", "arrival"];

/// An event of the simulation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// A trouble of the scenario begins or ends.
    Trouble { at: u32, begins: bool },
    /// The next step of a trouble that proceeds in steps.
    TroubleStep { at: u32, step: u32 },
    /// An app server starts draining or stops.
    StateChange { server: u32, incarnation: u32, change: Change },
    /// Discovery records a change of an app server.
    DiscoveryUpdate { entry: u32 },
    /// A server list, or the failure of the call for it, reaches a balancer.
    ListUpdate { balancer: u32, incarnation: u32, news: DiscoveryMessage },
    /// A balancer process starts.
    BalancerStart { balancer: u32 },
    /// A draining balancer stops, if it has no open requests.
    BalancerStop { balancer: u32, incarnation: u32 },
    /// An app server completes a job.
    WorkDone { server: u32, incarnation: u32, job: UpstreamRequestKey },
    /// The result of an attempt or probe reaches its balancer.
    AttemptResult { upstream_request: UpstreamRequestKey },
    /// The final answer reaches the client.
    ClientAnswer { key: ClientRequestKey },
    /// A client's request reaches its balancer.
    RequestAtBalancer { key: ClientRequestKey },
    /// The last byte of an attempt or probe reaches its app server.
    RequestAtServer { upstream_request: UpstreamRequestKey },
    /// A balancer's timer is due.
    BalancerTimer { balancer: u32, incarnation: u32 },
    /// The balancer's time-out of an attempt or probe expires.
    AttemptTimeout { upstream_request: UpstreamRequestKey },
    /// A client's time-out for a try expires.
    ClientTimeout { key: ClientRequestKey },
    /// The grace period after the client's time-out is over: the balancer must have answered by now.
    AnswerOverdue { key: ClientRequestKey },
    /// A client disconnects before its time-out.
    ClientDisconnect { key: ClientRequestKey },
    /// The balancer learns that the client has disconnected.
    DisconnectAtBalancer { key: ClientRequestKey },
    /// A client sends a retry.
    ClientRetry { logical_request: LogicalRequestKey },
    /// An app server pauses, for example for garbage collection.
    ServerPause { server: u32, incarnation: u32 },
    /// The state of all app servers is sampled for the report.
    Sample,
    /// The next logical request arrives.
    NextArrival,
}

/// A planned change of an app server's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    Drain,
    Stop,
}

/// What a balancer receives from discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMessage {
    /// All list changes up to this version.
    UpToVersion(u32),
    /// The watch was interrupted, or the call for the list failed.
    Failed,
}

impl Event {
    fn rank(&self) -> u8 {
        match self {
            Event::Trouble { .. }
            | Event::TroubleStep { .. }
            | Event::BalancerStart { .. }
            | Event::BalancerStop { .. } => 0,
            Event::StateChange { .. } | Event::DiscoveryUpdate { .. } | Event::ListUpdate { .. } => 1,
            Event::WorkDone { .. } | Event::AttemptResult { .. } | Event::ClientAnswer { .. } => 2,
            Event::RequestAtBalancer { .. }
            | Event::RequestAtServer { .. }
            | Event::DisconnectAtBalancer { .. } => 3,
            Event::BalancerTimer { .. }
            | Event::AttemptTimeout { .. }
            | Event::ClientTimeout { .. }
            | Event::AnswerOverdue { .. }
            | Event::ClientDisconnect { .. }
            | Event::Sample
            | Event::ClientRetry { .. }
            | Event::ServerPause { .. } => 4,
            Event::NextArrival => 5,
        }
    }
}

struct Entry {
    at: Micros,
    /// The rank in the upper 8 bits, the push sequence number below.
    order: u64,
    event: Event,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// The pending events, earliest first.
#[derive(Default)]
pub struct Queue {
    heap: BinaryHeap<Reverse<Entry>>,
    count: u64,
}

impl Queue {
    pub fn push(&mut self, at: Micros, event: Event) {
        self.count += 1;
        let order = u64::from(event.rank()) << 56 | self.count;
        self.heap.push(Reverse(Entry { at, order, event }));
    }

    /// Removes the next event and returns it with its time.
    pub fn pop(&mut self) -> Option<(Micros, Event)> {
        self.heap.pop().map(|Reverse(entry)| (entry.at, entry.event))
    }

    /// The number of pending events.
    pub fn len(&self) -> usize {
        self.heap.len()
    }
}

#[cfg(test)]
mod tests;
