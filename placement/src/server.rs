//! One model server as this node knows it: its state, its load, and for how long it is left out.

use std::net::SocketAddrV4;
use std::sync::Arc;

use gradepaddle::cost::mix;

use crate::api::*;
use crate::load::ServerLoad;
use crate::version::LoadedVersion;

/// A server that failed is left out this long at first, then twice as long, up to the most.
const SUSPECT: Micros = 200_000;
const SUSPECT_MOST: Micros = 2_000_000;
/// One that turned a request away is left out for this long, and up to as long again.
const CLOSED: Micros = 150_000;
/// How often that doubles.
const CLOSINGS_MOST: u32 = 3;
/// A server counts as slow by this factor while it warms up.
const WARMING: f64 = 1.5;

/// Why a server is left out for a moment; the higher, the later it is resorted to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Ejection {
    None,
    Closed,
    Suspect,
    Lost,
}

/// One incarnation of a server.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub(crate) id: Arc<str>,
    pub(crate) service: u32,
    pub(crate) address: SocketAddrV4,
    pub(crate) zone: u16,
    pub(crate) slots: u32,
    pub(crate) state: ServerState,
    /// Which incarnation has this place among the servers.
    pub(crate) life: u32,
    pub(crate) hash: u64,
    pub(crate) weights: Vec<LoadedVersion>,
    pub(crate) load: ServerLoad,
    /// Whether this node has sent it anything or had a report.
    pub(crate) seen: bool,
    pub(crate) since: Micros,
    pub(crate) bar: Ejection,
    pub(crate) barred_until: Micros,
    pub(crate) suspicion: u32,
    /// Requests turned away in a row.
    pub(crate) closings: u32,
    pub(crate) suspect_since: Micros,
    pub(crate) warm_at: Micros,
    /// When its link is done with the moves that this node ordered.
    pub(crate) moving_until: Micros,
    /// When it last told of kept parts.
    pub(crate) heard: Option<Micros>,
    pub(crate) row: u32,
}

impl Server {
    pub(crate) fn version_of(&self, model: u32) -> Option<u64> {
        self.weights.iter().find(|w| w.model == model).and_then(|w| w.version)
    }

    pub(crate) fn bar(&self, now: Micros) -> Ejection {
        match self.state {
            ServerState::Ready if self.barred_until > now => self.bar,
            ServerState::Ready => Ejection::None,
            _ => Ejection::Lost,
        }
    }

    /// It turned a request away: it is left out for a moment, not equally long at all nodes.
    pub(crate) fn close(&mut self, now: Micros, salt: u64) {
        // One that loads weights turns all away until it has done: it is asked at growing intervals.
        let span = CLOSED << self.closings.min(CLOSINGS_MOST);
        self.closings += 1;
        let until = now + span + mix(self.hash ^ salt ^ now) % span;
        if self.bar != Ejection::Suspect || self.barred_until <= now {
            (self.bar, self.barred_until) = (Ejection::Closed, until);
        }
    }

    /// It is about to load weights: it is left out for this long, or no longer.
    pub(crate) fn hold(&mut self, now: Micros, span: Micros) {
        if self.bar != Ejection::Suspect || self.barred_until <= now {
            (self.bar, self.barred_until) = (Ejection::Closed, now + span);
        }
    }

    /// It failed. What fails at one moment counts once.
    pub(crate) fn suspect(&mut self, now: Micros, sent: Micros) {
        if self.suspicion > 0 && sent < self.suspect_since {
            return;
        }
        let span = (SUSPECT << self.suspicion.min(4)).min(SUSPECT_MOST);
        self.suspicion += 1;
        self.suspect_since = now;
        (self.bar, self.barred_until) = (Ejection::Suspect, now + span);
    }

    /// It answered an attempt that was sent then.
    pub(crate) fn trust(&mut self, sent: Micros) {
        if self.suspicion > 0 && sent >= self.suspect_since {
            self.suspicion = 0;
            if self.bar == Ejection::Suspect {
                self.barred_until = 0;
            }
        }
    }

    /// It is not the one that answers at its address.
    pub(crate) fn misdirected(&mut self, now: Micros) {
        self.suspicion = self.suspicion.max(3);
        self.suspect(now, now);
    }

    pub(crate) fn speed(&self, now: Micros) -> f64 {
        self.load.speed() * if self.warm_at > now { WARMING } else { 1.0 }
    }
}
