//! The three-cost minimum over the servers of a service, with the hash of key and server id for equal sums.

use gradepaddle::cost::{balancing, locality, mix, order, replacement};

use crate::api::Micros;
use crate::fleet::Candidate;
use crate::load::micros;
use crate::server::{Ejection, Server};
use crate::version::VersionDeadline;

/// What crossing zones costs in milliseconds: less than any miss, so that it decides between holders.
const FAR_MS: f64 = 1.0;
/// What a server with older weights than the newest that were named costs beside one that has those.
const OLD_WEIGHTS_MS: f64 = 20.0;
/// What one costs whose weights are unknown: nothing that it reads can be found again.
const UNKNOWN_WEIGHTS_MS: f64 = 60.0;
/// Who runs at a server is held up while a prompt is read there: what each of them costs, by the reading's time.
const HELD_UP: f64 = 0.4;
/// A reading of less holds nobody up for long, and is better done where its shared parts are.
const SHORT_MS: f64 = 100.0;
/// A reading that is believed to go on for this share of the pause that streams see is one of those that cause it: engines
/// differ, and some read much slower than is believed.
const LONG_READING: f64 = 0.4;
/// What an answer's longer writing costs: its events come late, its first one does not.
const SLOWED: f64 = 0.08;
/// The share of a server's memory that running requests may take, before one is preempted.
const MEMORY: f64 = 0.9;
/// Sums within this share of a miss are equal, between these bounds in milliseconds.
const EQUAL: f64 = 0.25;
const EQUAL_MS: [f64; 2] = [0.1, 4.0];

/// What one choice goes by; times in milliseconds.
#[derive(Clone, Debug)]
pub(crate) struct CostTerms {
    pub(crate) now: Micros,
    pub(crate) key: u64,
    pub(crate) idle: f64,
    pub(crate) overload: f64,
    pub(crate) miss: f64,
    /// Reading the request's own tokens at usual speed.
    pub(crate) read_ms: f64,
    /// Whether somebody is believed to have the shared tokens, so that they are moved and not read.
    pub(crate) fetched: bool,
    /// A reading that goes on for this long has streams beside it pause as long, and what that costs for each of them.
    pub(crate) pause_ms: f64,
    pub(crate) paused: f64,
    /// Writing the request's answer where nothing is read beside it.
    pub(crate) write_ms: f64,
    /// Tokens of the request, and what a server's memory holds; 0 if unknown.
    pub(crate) tokens: f64,
    pub(crate) memory: f64,
    pub(crate) model: Option<u32>,
    pub(crate) newest: u64,
    pub(crate) floor: u64,
    /// The versions of the model that are about to bind.
    pub(crate) ahead: Vec<VersionDeadline>,
    /// How long before that an attempt has to have begun.
    pub(crate) begin_margin: Micros,
    pub(crate) zone: u16,
}

/// The winner.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Selection {
    pub(crate) row: usize,
    pub(crate) version: Option<u64>,
    pub(crate) warm: f64,
    /// Whether every sum was infinite.
    pub(crate) infinite: bool,
    /// Whether all that could be chosen had no place free, and the least Load among them.
    pub(crate) full: bool,
    pub(crate) least_ms: f64,
}

/// Lower is better: whether the server is left out, whether its sum is infinite, the sum or then the Load, and the
/// order of the hash.
type Rank = (Ejection, bool, i64, u64);

impl CostTerms {
    /// The version of the request's model there; None within if unknown, None if it may not be used.
    fn version(&self, row: &Candidate, servers: &[Server]) -> Option<Option<u64>> {
        let Some(model) = self.model else { return Some(None) };
        let version =
            if row.model == model { row.version } else { servers[row.server as usize].version_of(model) };
        let allowed = self.floor == 0 || version.is_some_and(|v| v >= self.floor);
        (allowed && self.begins_in_time(row, version.unwrap_or(0))).then_some(version)
    }

    /// Whether a request that waits there as long as is expected begins before the version is too old.
    fn begins_in_time(&self, row: &Candidate, version: u64) -> bool {
        let expected = self.now + micros(self.load(row)) + self.begin_margin;
        !self.ahead.iter().any(|newer| newer.version > version && newer.at < expected)
    }

    fn load(&self, row: &Candidate) -> f64 {
        // A long prompt takes longer at a slow server, and whoever follows it waits as long.
        f64::from(row.load) + self.read_ms * (f64::from(row.speed) - 1.0).max(0.0)
    }

    fn overloaded(&self, row: &Candidate, load: f64) -> bool {
        let crowded = self.memory > 0.0 && f64::from(row.tokens) + self.tokens > MEMORY * self.memory;
        crowded || balancing(load, self.idle, self.overload).is_infinite()
    }

    /// The sum of the three costs without its infinite part, and what is charged besides.
    fn sum(&self, row: &Candidate, load: f64, warm: f64, version: Option<u64>) -> f64 {
        let wait = balancing(load, self.idle, f64::INFINITY);
        let far = if row.zone == self.zone { 0.0 } else { FAR_MS };
        let old = match version {
            _ if self.model.is_none() => 0.0,
            None => UNKNOWN_WEIGHTS_MS,
            Some(version) if version < self.newest => OLD_WEIGHTS_MS,
            Some(_) => 0.0,
        };
        // Of servers that would all miss, the home decides, wherever it stands.
        let far = if warm > 0.0 { far } else { 0.0 };
        let held_up = (self.read_ms - SHORT_MS).max(0.0) * f64::from(row.running) * HELD_UP;
        let paused = self.paused(row, load, warm);
        let slowed = self.write_ms * f64::from(row.slowed) * SLOWED;
        wait + held_up
            + paused
            + slowed
            + locality(self.miss, warm)
            + replacement(load, self.idle, self.miss, warm)
            + far
            + old
    }

    /// What it costs the streams that run there if the server reads on for so long that they pause beyond their bound.
    fn paused(&self, row: &Candidate, load: f64, warm: f64) -> f64 {
        if self.paused <= 0.0 {
            return 0.0;
        }
        let shared = if self.fetched { 0.0 } else { self.miss * (1.0 - warm) };
        let reads_for = load + (self.read_ms + shared) * f64::from(row.speed);
        if reads_for < LONG_READING * self.pause_ms { 0.0 } else { self.paused * f64::from(row.running) }
    }

    fn order(&self, row: &Candidate) -> u64 {
        order(mix(row.hash ^ self.key), 1.0, true)
    }
}

/// Scans the rows; `warm` has each row's share of the shared tokens that it is believed to keep. A server that was
/// tried is chosen again only if nothing else is left and nothing speaks against it.
pub(crate) fn pick(
    terms: &CostTerms,
    rows: &[Candidate],
    warm: &[f32],
    servers: &[Server],
    tried: &[u32],
) -> Option<Selection> {
    let quantum = (EQUAL * terms.miss).clamp(EQUAL_MS[0], EQUAL_MS[1]);
    let mut best: Option<((bool, Rank), usize, Option<u64>)> = None;
    let (mut full, mut least_ms) = (true, f64::INFINITY);
    for (at, row) in rows.iter().enumerate() {
        let Some(version) = terms.version(row, servers) else { continue };
        let bar = if row.barred_until > terms.now { row.bar } else { Ejection::None };
        let again = !tried.is_empty() && tried.contains(&row.server);
        if again && bar != Ejection::None {
            continue;
        }
        let load = terms.load(row);
        if bar <= Ejection::Closed && !again {
            full &= bar == Ejection::Closed || row.running >= row.slots;
            least_ms = least_ms.min(load);
        }
        let infinite = terms.overloaded(row, load);
        // If all sums are infinite the least Load wins.
        let sum = if infinite { load } else { terms.sum(row, load, f64::from(warm[at]), version) };
        let coarse = (sum / quantum + 0.5) as i64;
        let rank = (again, (bar, infinite, coarse, 0));
        if best
            .as_ref()
            .is_some_and(|(least, ..)| rank > (least.0, (least.1.0, least.1.1, least.1.2, u64::MAX)))
        {
            continue;
        }
        let rank = (again, (bar, infinite, coarse, terms.order(row)));
        if best.as_ref().is_none_or(|(least, ..)| rank < *least) {
            best = Some((rank, at, version));
        }
    }
    let ((_, (_, infinite, ..)), row, version) = best?;
    // Where only servers that are otherwise left out remain, nothing is known of a queue.
    let full = full && least_ms.is_finite();
    Some(Selection { row, version, warm: f64::from(warm[row]), infinite, full, least_ms })
}

/// The server that a key belongs to as long as all are idle: of those with this version, the first in hash order.
pub(crate) fn home(
    terms: &CostTerms,
    rows: &[Candidate],
    servers: &[Server],
    version: Option<u64>,
) -> Option<usize> {
    let fits =
        |row: &Candidate| row.barred_until <= terms.now && terms.version(row, servers) == Some(version);
    let rows = rows.iter().enumerate().filter(|(_, row)| fits(row));
    rows.min_by_key(|(_, row)| terms.order(row)).map(|(at, _)| at)
}
