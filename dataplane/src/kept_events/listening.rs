//! Who listens to which server, and what its events come to. No I/O.

use std::collections::HashMap;
use std::net::SocketAddrV4;

use gradepaddle::cost::mix;
use gradepaddle_engine::{KeptChanges, KeptTokens, Micros, Part, kept_key};

use super::call::Events;

/// After a gap in its events a server does not count as heard for this long: what was dropped unheard is given up
/// meanwhile by its age.
const GAP_COUNTS: Micros = 5_000_000;

/// Whether this balancer is the one that listens to a server: the one of highest weight, which all that know the same
/// balancers agree on. Another one moves only its own share.
pub fn listens(own: SocketAddrV4, others: &[SocketAddrV4], server: u64) -> bool {
    let weight = |balancer: &SocketAddrV4| {
        let number = u64::from(u32::from(*balancer.ip())) << 16 | u64::from(balancer.port());
        (mix(server ^ mix(number)), number)
    };
    let ours = weight(&own);
    others.iter().all(|other| weight(other) < ours)
}

/// What was heard of one server's events so far.
#[derive(Debug)]
pub struct EventLog {
    server: u64,
    epoch: Option<u64>,
    since: u64,
    gap_until: Micros,
}

impl EventLog {
    /// Of a server by the hash of its id.
    pub fn new(server: u64) -> Self {
        EventLog { server, epoch: None, since: 0, gap_until: 0 }
    }

    /// The event to ask from.
    pub fn since(&self) -> u64 {
        self.since
    }

    /// Takes in an answer. What it comes to for others; none where nothing was dropped and nothing else can be told.
    pub fn take(&mut self, now: Micros, answer: &Events) -> Option<KeptChanges> {
        let restarted = self.epoch.is_some_and(|epoch| epoch != answer.epoch);
        let first = self.epoch.is_none();
        let from = if restarted { 0 } else { self.since };
        let missing = answer.next_token.saturating_sub(from) > answer.events.len() as u64;
        if !first && (answer.lost || missing) {
            self.gap_until = now + GAP_COUNTS;
        }
        (self.epoch, self.since) = (Some(answer.epoch), answer.next_token);
        let parts = dropped_parts(answer);
        let heard_whole = now >= self.gap_until;
        let tells = heard_whole || restarted || !parts.is_empty();
        tells.then_some(KeptChanges { holder: self.server, whole: heard_whole, everything: restarted, parts })
    }
}

/// What a server keeps less of after these events than before.
fn dropped_parts(answer: &Events) -> Vec<KeptTokens> {
    let mut last: HashMap<u64, (bool, u32)> = HashMap::new();
    for event in &answer.events {
        let key = kept_key(&event.2, Part::id(&event.3));
        last.insert(key, (event.1 == "-", event.4));
    }
    let mut parts: Vec<KeptTokens> = last
        .into_iter()
        .filter(|(_, (dropped, _))| *dropped)
        .map(|(key, (_, tokens))| KeptTokens { key, tokens })
        .collect();
    parts.sort_by_key(|part| part.key);
    parts
}
