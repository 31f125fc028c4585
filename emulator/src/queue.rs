//! What happens next. Events at the same microsecond come in a stated order: by rank, then in the order in
//! which they were put in.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use gradepaddle::Micros;
use slotmap::new_key_type;

new_key_type! {
    /// A try of a client's: one request on the wire.
    pub struct TryKey;
    /// What a client wants: its first try and those after it.
    pub struct QuestKey;
    /// An attempt on its way.
    pub struct FlightKey;
}

/// The ranks of events at the same time, first to last: what goes wrong, what is learned of app servers, work
/// that ends and answers on their way, new requests on their way, timers, new arrivals.
pub const RANKS: [&str; 6] = ["trouble", "list", "end", "reach", "timer", "arrival"];

/// One thing that happens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// A trouble begins, or ends.
    Trouble { at: u32, begins: bool },
    /// A step of a trouble that goes on.
    Step { at: u32, step: u32 },
    /// The truth of an app server changes.
    Truth { server: u32, life: u32, change: Change },
    /// Discovery has noticed a change.
    Noticed { entry: u32 },
    /// A balancer hears of discovery.
    Heard { balancer: u32, life: u32, news: News },
    /// A balancer process comes up.
    Up { balancer: u32 },
    /// A balancer that was asked to go has answered long enough.
    Gone { balancer: u32, life: u32 },
    /// A job ends.
    Done { server: u32, life: u32, job: FlightKey },
    /// An attempt's end reaches its balancer.
    Back { flight: FlightKey },
    /// A final answer reaches its client.
    Hear { key: TryKey },
    /// A request reaches its balancer.
    Reach { key: TryKey },
    /// An attempt's last byte reaches its app server.
    Land { flight: FlightKey },
    /// A balancer's timer.
    Timer { balancer: u32, life: u32 },
    /// An attempt's time is up.
    Expire { flight: FlightKey },
    /// A client stops waiting for a try.
    GiveUp { key: TryKey },
    /// By now its balancer must have answered all the same.
    Overdue { key: TryKey },
    /// A client leaves before its time.
    Leave { key: TryKey },
    /// Its balancer hears of that.
    Left { key: TryKey },
    /// A client tries again.
    Again { quest: QuestKey },
    /// An app server pauses.
    Pause { server: u32, life: u32 },
    /// A look at all app servers.
    Sample,
    /// The next request comes.
    Arrive,
}

/// How an app server's truth changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    Drains,
    Goes,
}

/// What a balancer hears of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum News {
    /// Entries up to this version.
    Upto(u32),
    /// The watch broke, or the call failed.
    Failed,
}

impl Event {
    fn rank(&self) -> u8 {
        match self {
            Event::Trouble { .. } | Event::Step { .. } | Event::Up { .. } | Event::Gone { .. } => 0,
            Event::Truth { .. } | Event::Noticed { .. } | Event::Heard { .. } => 1,
            Event::Done { .. } | Event::Back { .. } | Event::Hear { .. } => 2,
            Event::Reach { .. } | Event::Land { .. } | Event::Left { .. } => 3,
            Event::Timer { .. }
            | Event::Expire { .. }
            | Event::GiveUp { .. }
            | Event::Overdue { .. }
            | Event::Leave { .. }
            | Event::Sample
            | Event::Again { .. }
            | Event::Pause { .. } => 4,
            Event::Arrive => 5,
        }
    }
}

struct Entry {
    at: Micros,
    /// Rank above, number below.
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

/// All that is to come.
#[derive(Default)]
pub struct Queue {
    heap: BinaryHeap<Reverse<Entry>>,
    count: u64,
}

impl Queue {
    /// Puts an event in.
    pub fn push(&mut self, at: Micros, event: Event) {
        self.count += 1;
        let order = u64::from(event.rank()) << 56 | self.count;
        self.heap.push(Reverse(Entry { at, order, event }));
    }

    /// The next event with its time.
    pub fn pop(&mut self) -> Option<(Micros, Event)> {
        self.heap.pop().map(|Reverse(entry)| (entry.at, entry.event))
    }

    /// How many are to come.
    pub fn len(&self) -> usize {
        self.heap.len()
    }
}

#[cfg(test)]
mod tests;
