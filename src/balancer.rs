//! The decisions of the balancer, in one module per concern. The interface (settings, events, actions) is in `api.rs`, the
//! state in `state.rs`.
//!
//! The common path is locality-aware request distribution (LARD; P-HTTP paper, section 4.1): look the key up, sum the
//! balancing, locality and replacement costs of each eligible server, select the lowest sum, break ties by a hash of key and
//! server id, and record that the server will have the key cached. Everything else is a term of a server's load, or an
//! exception that `docs/design.md` lists with its condition.

mod admission;
mod attempts;
mod health;
mod key_table;
mod learning;
mod load;
mod retries;
mod selection;
mod server_list;
mod slow_start;

pub(crate) use health::TRIAL_INTERVAL;

use std::cmp::Reverse;

use crate::api::{Action, Event, Micros, Settings, SettingsError};
use crate::state::{Balancer, ClassStats, FleetStats, mix};
use retries::MAX_RETRY_BUDGET;

/// The cost of a cache hit as a share of that of a miss, before either has been measured.
const INITIAL_HIT_COST_RATIO: f64 = 0.5;

impl Balancer {
    /// Creates a balancer that knows no servers. Equal settings, seeds and events give equal actions.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if a setting is invalid.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        // A service rate learned from the first few answers alone may be off by a factor of 100, and then all requests
        // are rejected.
        let prior_work = settings.classes.iter().map(|c| c.latency_target as f64).sum::<f64>()
            / settings.classes.len() as f64;
        Ok(Balancer {
            fleet: FleetStats { prior_work, ..FleetStats::default() },
            rng_state: mix(seed) | 1,
            eligible: vec![Vec::new(); settings.classes.len()],
            next_wake: Micros::MAX,
            next_poll: Micros::MAX,
            class_stats: settings
                .classes
                .iter()
                .map(|c| ClassStats { latency_target: c.latency_target as f64, ..ClassStats::default() })
                .collect(),
            tenant_tokens: settings.tenants.iter().map(|_| (1.0, 0)).collect(),
            max_worth: settings.classes.iter().map(|c| c.worth).fold(0.0, f64::max),
            hit_cost_ratio: INITIAL_HIT_COST_RATIO,
            retry_budget: MAX_RETRY_BUDGET,
            mean_rate: 1.0,
            mean_wait: vec![0.0; settings.classes.len()],
            settings,
            ..Balancer::default()
        })
    }

    /// The number of servers in memory: those listed, and those gone that requests in flight may still refer to.
    pub fn known_servers(&self) -> usize {
        self.server_slots.len()
    }

    /// Processes one event and appends the resulting actions to `out`, in order.
    pub fn handle(&mut self, now: Micros, event: Event<'_>, out: &mut Vec<Action>) {
        match event {
            Event::List { kind, servers } => self.handle_list(now, kind, servers),
            Event::Request(arrival) => self.handle_request(now, arrival, out),
            Event::Streaming { request, attempt } => self.handle_streaming(request, attempt, out),
            Event::AttemptEnded(ended) => self.handle_attempt_end(now, ended, out),
            Event::ClientDisconnected { request } => self.handle_client_left(request, out),
            Event::Wake => self.handle_wake(now, out),
            Event::ProbeEnded { server, outcome, .. } => self.handle_probe_end(now, server, outcome),
        }
        if self.next_poll <= now {
            out.push(Action::Subscribe);
            self.next_poll = Micros::MAX;
        }
        let due = self.reviews.peek().map_or(Micros::MAX, |Reverse((at, ..))| *at).min(self.next_poll);
        if due < self.next_wake {
            self.next_wake = due;
            out.push(Action::Wake { at: due.max(now) });
        }
    }

    /// The next number of a xorshift generator.
    fn next_random(&mut self) -> u64 {
        self.rng_state ^= self.rng_state << 13;
        self.rng_state ^= self.rng_state >> 7;
        self.rng_state ^= self.rng_state << 17;
        self.rng_state
    }
}
