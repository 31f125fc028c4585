//! The timing of the service table's list: when to call discovery, how long a call or a watch may be silent, and when
//! changes that were missed count as delivered all the same. No I/O: the caller reports what happened and when, and is
//! told until when to wait.
//!
//! The protocol sets the time limits (`docs/list-clock.md`): a change counts as delivered 6 s after discovery had it and
//! could be reached, whatever happened to the calls, and 4 s after a move to another discovery. An empty line is sent
//! every 2 s as a heartbeat.

use gradepaddle::Micros;

/// How often discovery sends an empty line while nothing changes.
pub const HEARTBEAT_INTERVAL: Micros = 2_000_000;
/// A missed change counts as delivered this long after discovery had it and could be reached.
pub const DELIVERY_BOUND: Micros = 6_000_000;
/// After a move to another discovery, its changes count as delivered this long after the move.
pub const DELIVERY_BOUND_AFTER_MOVE: Micros = 4_000_000;
/// The longest silence of a watch before it is given up. Two calls still fit between this and [`DELIVERY_BOUND`].
const MAX_SILENCE: Micros = 4_000_000;
/// The longest and the shortest wait for the list after a call. Discovery may be busy, and a call that is given up and
/// repeated costs it twice.
const LIST_WAIT: [Micros; 2] = [3_000_000, 1_000_000];
/// The longest time between attempts to connect to an unreachable discovery. They cost it nothing, and it may be back at
/// any moment without notice.
pub const RECONNECT_INTERVAL: Micros = 1_000_000;
/// The longest wait before a rejected or broken call is repeated: the first value in a small fleet, the second where many
/// processes call. Three calls then fit before [`DELIVERY_BOUND`] in a small fleet, two in a large one.
pub const RETRY_INTERVALS: [Micros; 2] = [1_000_000, 2_500_000];
/// Discovery serves calls one after another, and each takes about this long.
const CALL_DURATION: Micros = 60_000;

/// How a call or a watch failed, other than by silence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection could be established: discovery is unreachable.
    Unreachable,
    /// Discovery was reached, but rejected the call, closed the connection or sent something that is not a list.
    TurnedDown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Stage {
    /// No call is in progress.
    Idle,
    /// A call was made at this time, and the list has not arrived yet.
    Calling(Micros),
    /// The list has arrived; a change or heartbeat last arrived at this time.
    Watching(Micros),
}

/// The list timing of one process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ListClock {
    stage: Stage,
    /// The longest recent gap between heartbeats, which decays by an eighth with each heartbeat. The longer gaps of a slow
    /// discovery thus do not count as silence.
    heartbeat_gap: Micros,
    /// When changes that may have been missed count as delivered; none while nothing can have been missed.
    delivered_by: Option<Micros>,
    /// The last call was rejected: discovery is reachable but overloaded.
    busy: bool,
    /// How long discovery needs to serve one call of each process.
    all_calls_duration: Micros,
    /// Seed of the jitter that spreads the calls of the processes.
    seed: u64,
}

impl Default for ListClock {
    fn default() -> Self {
        ListClock::new(1, 0)
    }
}

impl ListClock {
    /// Creates the clock of one of `processes` processes. Different seeds spread their calls.
    pub fn new(processes: u32, seed: u64) -> Self {
        let all_calls_duration = Micros::from(processes) * CALL_DURATION;
        ListClock {
            stage: Stage::Idle,
            heartbeat_gap: HEARTBEAT_INTERVAL,
            delivered_by: None,
            busy: false,
            all_calls_duration,
            seed,
        }
    }

    /// A call to discovery starts.
    pub fn call_started(&mut self, now: Micros) {
        self.stage = Stage::Calling(now);
    }

    /// A complete list, or a complete change to it, arrived.
    pub fn list_received(&mut self, now: Micros) {
        (self.delivered_by, self.busy) = (None, false);
        match self.stage {
            Stage::Watching(_) => self.heartbeat_received(now),
            Stage::Calling(_) | Stage::Idle => self.stage = Stage::Watching(now),
        }
    }

    /// An empty line arrived. It is ignored before the list, which the call is still waiting for.
    pub fn heartbeat_received(&mut self, now: Micros) {
        if let Stage::Watching(last_heard) = self.stage {
            self.heartbeat_gap =
                (now - last_heard).max(self.heartbeat_gap - self.heartbeat_gap / 8).max(HEARTBEAT_INTERVAL);
            self.stage = Stage::Watching(now);
        }
    }

    /// Until when the current call or watch may be silent; none if there is neither.
    pub fn silence_deadline(&self) -> Option<Micros> {
        match self.stage {
            Stage::Idle => None,
            Stage::Watching(last_heard) => {
                Some(last_heard + (self.heartbeat_gap + self.heartbeat_gap / 4).min(MAX_SILENCE))
            }
            Stage::Calling(at) => {
                let delivered_by = self.delivered_by.unwrap_or(at + DELIVERY_BOUND);
                let [longest, shortest] = LIST_WAIT;
                // An overloaded discovery is given time to serve the calls of all other processes.
                let shortest =
                    if self.busy { self.all_calls_duration.clamp(shortest, longest) } else { shortest };
                // After `delivered_by` a faster retry gains nothing and only adds load to a busy discovery.
                Some(
                    at + if delivered_by > at {
                        ((delivered_by - at) / 2).clamp(shortest, longest)
                    } else {
                        longest
                    },
                )
            }
        }
    }

    /// The current call or watch was silent for too long and is given up; the caller makes a new call at once.
    pub fn silence_timed_out(&mut self) {
        let since = match self.stage {
            Stage::Idle => return,
            Stage::Calling(at) | Stage::Watching(at) => at,
        };
        self.delivered_by = Some(self.delivered_by.unwrap_or(since + DELIVERY_BOUND));
        self.stage = Stage::Idle;
    }

    /// A call or a watch failed. Returns when to make the next call: discovery may be back at any moment, and
    /// [`DELIVERY_BOUND`] counts from then on.
    pub fn call_failed(&mut self, now: Micros, how: Failure) -> Micros {
        let since = match self.stage {
            Stage::Calling(at) => at,
            Stage::Idle | Stage::Watching(_) => now,
        };
        self.stage = Stage::Idle;
        let max_wait = match how {
            Failure::Unreachable => {
                // While discovery is unreachable the bound does not run, so it restarts now. A bound from before the
                // outage that is still ahead stays.
                self.delivered_by =
                    Some(self.delivered_by.filter(|by| *by > now).unwrap_or(now + DELIVERY_BOUND));
                self.busy = false;
                RECONNECT_INTERVAL
            }
            Failure::TurnedDown => {
                self.delivered_by = Some(self.delivered_by.unwrap_or(since + DELIVERY_BOUND));
                self.busy = true;
                let [least, most] = RETRY_INTERVALS;
                (self.all_calls_duration / 8).clamp(least, most)
            }
        };
        now + max_wait / 2 + hash_seed(self.seed ^ now) % (max_wait / 2)
    }

    /// Discovery has moved to another address.
    pub fn discovery_moved(&mut self, now: Micros) {
        (self.stage, self.busy) = (Stage::Idle, false);
        self.delivered_by = Some(
            self.delivered_by
                .map_or(now + DELIVERY_BOUND_AFTER_MOVE, |by| by.min(now + DELIVERY_BOUND_AFTER_MOVE)),
        );
    }

    /// True if changes that did not arrive may count as delivered by now.
    pub fn is_behind(&self, now: Micros) -> bool {
        self.delivered_by.is_some_and(|by| by <= now)
    }
}

/// Hashes a seed to jitter, so that processes whose calls fail together do not retry together: the finalizer of
/// splitmix64.
fn hash_seed(seed: u64) -> u64 {
    let mut z = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
