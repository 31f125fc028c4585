//! The reference policy that reads the true present state of every app server, which no real balancer can.

use std::cell::RefCell;
use std::rc::Rc;

use gradepaddle::{Micros, Settings};

use super::lifecycle::{Choice, Strategy};
use crate::server::KeyCache;

/// The true state of one app server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerSnapshot {
    /// It accepts requests.
    pub open: bool,
    /// When it will have completed the requests that it holds, at its present throughput.
    pub free_at: Micros,
    /// Work that one of its cores completes per microsecond.
    pub core_throughput: f64,
    /// Work that it may still be sent now without a risk of overload while it is cold.
    pub cold_room: f64,
}

/// The true state of all app servers, by index. The simulator keeps it up to date.
#[derive(Default)]
pub struct GroundTruth {
    pub(crate) snapshots: RefCell<Vec<ServerSnapshot>>,
    pub(crate) key_caches: RefCell<Vec<KeyCache>>,
}

/// Sends to the app server whose answer will come first.
pub struct Oracle {
    ground_truth: Rc<GroundTruth>,
    /// Typical work of a request, in microseconds.
    typical_work: f64,
}

impl Oracle {
    pub fn new(settings: &Settings, ground_truth: Rc<GroundTruth>) -> Self {
        let shortest_target =
            settings.classes.iter().map(|class| class.latency_target).min().unwrap_or(1_000_000);
        Oracle { ground_truth, typical_work: shortest_target as f64 / 12.0 }
    }
}

impl Strategy for Oracle {
    fn pick(&mut self, choice: &mut Choice<'_>) -> Option<usize> {
        let (snapshots, key_caches) =
            (self.ground_truth.snapshots.borrow(), self.ground_truth.key_caches.borrow());
        let key = choice.key_text.and_then(number);
        let mut best: Option<(f64, usize, f64)> = None;
        for at in choice.open {
            let Some(server) = number(&choice.peers[*at].id).map(|n| n as usize) else { continue };
            let Some(snapshot) = snapshots.get(server).filter(|snapshot| snapshot.open) else { continue };
            if snapshot.cold_room < self.typical_work {
                continue;
            }
            let hit = key.is_some_and(|key| key_caches[server].contains(choice.now, key));
            let work = if hit { self.typical_work * 0.4 } else { self.typical_work };
            let done = snapshot.free_at.saturating_sub(choice.now) as f64
                + work / snapshot.core_throughput.max(1e-6);
            // A miss also evicts another key from the cache.
            let cost = done + if hit { 0.0 } else { 0.4 * self.typical_work };
            if best.is_none_or(|(least, ..)| cost < least) {
                best = Some((cost, *at, done));
            }
        }
        // A request that would be answered too late is not sent: it would take capacity from requests that
        // can be answered in time.
        best.filter(|(_, _, done)| choice.now as f64 + done < choice.useful_until as f64).map(|(_, at, _)| at)
    }
}

/// The number in an id such as `s17`.
pub fn number(name: &str) -> Option<u32> {
    name.get(1..)?.parse().ok()
}
