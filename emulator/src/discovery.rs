//! Discovery: what it has noticed of app servers, and who hears of it when.

use gradepaddle::{Micros, Server, ServerState};

use crate::random::Stream;
use crate::scenario::{Discovery as Settings, millis, seconds};

/// One change that discovery has noticed.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The app server.
    pub server: u32,
    /// What it is called from then on.
    pub state: ServerState,
    /// When it last started, if lately.
    pub started: Option<Micros>,
}

/// The service.
pub struct Discovery {
    settings: Settings,
    pub stream: Stream,
    /// All changes that were noticed, in order; a version is how many of them there are.
    pub entries: Vec<Entry>,
    /// What is noticed for certain, and when at the latest, by app server: changes keep their order.
    last: Vec<Micros>,
    /// What stands in a whole list now.
    current: Vec<Option<(ServerState, Option<Micros>)>>,
    /// It can be reached unless one of these is on.
    pub outages: u32,
    /// Further behind than usual by this.
    pub lag: Micros,
    /// When the calls that wait are done.
    free_at: Micros,
}

/// How a call ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Answered at this time.
    Answered(Micros),
    /// Failed at this time.
    Failed(Micros),
}

impl Discovery {
    /// One that has noticed nothing yet.
    pub fn new(settings: Settings, stream: Stream) -> Self {
        Discovery {
            settings,
            stream,
            entries: Vec::new(),
            last: Vec::new(),
            current: Vec::new(),
            outages: 0,
            lag: 0,
            free_at: 0,
        }
    }

    /// When a change that happens now is noticed. `silent`: nobody tells it.
    pub fn noticed_at(&mut self, now: Micros, server: u32, silent: bool) -> Micros {
        let [low, high] = if silent { self.settings.silent_notice_s } else { self.settings.notice_s };
        let after = seconds(self.stream.between(low, high)) + seconds(self.settings.lag_s) + self.lag;
        let server = server as usize;
        if self.last.len() <= server {
            self.last.resize(server + 1, 0);
        }
        self.last[server] = (now + after).max(self.last[server] + 1);
        self.last[server]
    }

    /// Enters a change; the version from now on.
    pub fn enter(&mut self, entry: Entry) -> u32 {
        let server = entry.server as usize;
        if self.current.len() <= server {
            self.current.resize(server + 1, None);
        }
        self.current[server] = (entry.state != ServerState::Gone).then_some((entry.state, entry.started));
        self.entries.push(entry);
        self.entries.len() as u32
    }

    /// The whole list.
    pub fn whole(&self) -> impl Iterator<Item = Entry> {
        let entry = |(server, current): (usize, &Option<(ServerState, Option<Micros>)>)| {
            current.map(|(state, started)| Entry { server: server as u32, state, started })
        };
        self.current.iter().enumerate().filter_map(entry)
    }

    /// How long it takes until a balancer hears of a change, beside the network.
    pub fn spread(&mut self) -> Micros {
        let most = self.settings.spread_ms;
        millis(self.stream.between(0.0, most))
    }

    /// A call that comes in now.
    pub fn call(&mut self, now: Micros) -> Call {
        if self.outages > 0 {
            // Refused, or reset: a call that finds nobody ends soon.
            return Call::Failed(now + millis(20.0));
        }
        let timeout = millis(self.settings.timeout_ms);
        let begins = self.free_at.max(now);
        if begins - now > timeout {
            return Call::Failed(now + timeout);
        }
        self.free_at = begins + (1e6 / self.settings.calls_per_s) as Micros;
        Call::Answered(self.free_at)
    }
}

/// An entry as balancers are handed it.
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
