//! The discovery service: when it detects changes of app servers, and when balancers receive them.

use gradepaddle::{Micros, Server, ServerState};

use crate::random::Stream;
use crate::scenario::{Discovery as Settings, millis, seconds};

/// A change of an app server, as discovery records it.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The app server's index.
    pub server: u32,
    /// Its state from then on.
    pub state: ServerState,
    /// When it last started, if that was during the run.
    pub started: Option<Micros>,
}

/// The state of the discovery service.
pub struct Discovery {
    settings: Settings,
    pub stream: Stream,
    /// All recorded changes in order. The version of the list is their number.
    pub entries: Vec<Entry>,
    /// By app server: when its latest change is detected, so that later changes are detected after it.
    last_detection: Vec<Micros>,
    /// The current full list.
    current: Vec<Option<(ServerState, Option<Micros>)>>,
    /// The number of active outages; while there is any, the service is unreachable.
    pub outages: u32,
    /// Additional detection delay from troubles.
    pub lag: Micros,
    /// When the calls in the queue will have been served.
    free_at: Micros,
}

/// The outcome of a call for the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListCall {
    /// Answered at this time.
    Answered(Micros),
    /// Failed at this time.
    Failed(Micros),
}

impl Discovery {
    /// A service that has recorded no change yet.
    pub fn new(settings: Settings, stream: Stream) -> Self {
        Discovery {
            settings,
            stream,
            entries: Vec::new(),
            last_detection: Vec::new(),
            current: Vec::new(),
            outages: 0,
            lag: 0,
            free_at: 0,
        }
    }

    /// When a change that happens now is detected. `silent`: the app server doesn't report it.
    pub fn detection_time(&mut self, now: Micros, server: u32, silent: bool) -> Micros {
        let [low, high] = if silent { self.settings.silent_notice_s } else { self.settings.notice_s };
        let after = seconds(self.stream.between(low, high)) + seconds(self.settings.lag_s) + self.lag;
        let server = server as usize;
        if self.last_detection.len() <= server {
            self.last_detection.resize(server + 1, 0);
        }
        self.last_detection[server] = (now + after).max(self.last_detection[server] + 1);
        self.last_detection[server]
    }

    /// Records a change and returns the new version.
    pub fn record(&mut self, entry: Entry) -> u32 {
        let server = entry.server as usize;
        if self.current.len() <= server {
            self.current.resize(server + 1, None);
        }
        self.current[server] = (entry.state != ServerState::Gone).then_some((entry.state, entry.started));
        self.entries.push(entry);
        self.entries.len() as u32
    }

    /// The current full list.
    pub fn full_list(&self) -> impl Iterator<Item = Entry> {
        let entry = |(server, current): (usize, &Option<(ServerState, Option<Micros>)>)| {
            current.map(|(state, started)| Entry { server: server as u32, state, started })
        };
        self.current.iter().enumerate().filter_map(entry)
    }

    /// Draws the delay until a balancer receives a change, in addition to the network's.
    pub fn propagation_delay(&mut self) -> Micros {
        let most = self.settings.spread_ms;
        millis(self.stream.between(0.0, most))
    }

    /// Handles a call for the list that arrives now.
    pub fn request_list(&mut self, now: Micros) -> ListCall {
        if self.outages > 0 {
            // The connection is refused or reset, so the call fails quickly.
            return ListCall::Failed(now + millis(20.0));
        }
        let timeout = millis(self.settings.timeout_ms);
        let begins = self.free_at.max(now);
        if begins - now > timeout {
            return ListCall::Failed(now + timeout);
        }
        self.free_at = begins + (1e6 / self.settings.calls_per_s) as Micros;
        ListCall::Answered(self.free_at)
    }
}

/// Converts an entry to the form that balancers receive.
pub fn listed(entry: &Entry, of: &crate::server::Server) -> Server {
    Server {
        id: of.id.clone(),
        zone: of.zone,
        kind: of.kind,
        cell: of.cell,
        state: entry.state,
        weight: 1.0,
        started: entry.started,
    }
}

#[cfg(test)]
mod tests;
