//! What a balancer remembers: records and a fixed hash, no decisions.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::fmt::{self, Write as _};
use std::hash::{BuildHasherDefault, Hasher};

use crate::api::{Id, Micros, Outcome, ServerState, Settings};
use crate::sharing::Sharing;

/// FNV-1a with a final mix: fixed, so that all gateways and all runs agree.
#[derive(Clone)]
pub struct Fixed(u64);

impl Default for Fixed {
    fn default() -> Self {
        Fixed(0xcbf2_9ce4_8422_2325)
    }
}

impl Hasher for Fixed {
    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
    fn finish(&self) -> u64 {
        mix(self.0)
    }
}

pub type FixedMap<K, V> = HashMap<K, V, BuildHasherDefault<Fixed>>;

/// A bijective mix of 64 bits.
pub fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    x = (x ^ (x >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    x ^ (x >> 33)
}

/// A hash of a text that is the same everywhere and in every version.
pub fn hash(text: &str) -> u64 {
    let mut hasher = Fixed::default();
    hasher.write(text.as_bytes());
    hasher.finish()
}

/// One gateway's balancer.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) random: u64,
    pub(crate) servers: Vec<Peer>,
    pub(crate) names: FixedMap<Id, usize>,
    /// Places of servers that are forgotten.
    pub(crate) free: Vec<usize>,
    pub(crate) ready: Vec<usize>,
    /// Ready by the list, but not by what they answer.
    pub(crate) trial: Vec<usize>,
    /// The ready servers that each class may be sent to.
    pub(crate) open: Vec<Vec<usize>>,
    pub(crate) listed: bool,
    pub(crate) requests: FixedMap<Id, Request>,
    pub(crate) reviews: BinaryHeap<Reverse<(Micros, u64, Id)>>,
    pub(crate) sequence: u64,
    pub(crate) armed: Micros,
    pub(crate) ask_at: Micros,
    pub(crate) ask_failed: u32,
    pub(crate) young: FixedMap<u64, Entry>,
    pub(crate) old: FixedMap<u64, Entry>,
    pub(crate) classes: Vec<Seen>,
    pub(crate) tokens: Vec<(f64, Micros)>,
    pub(crate) top_worth: f64,
    pub(crate) warm_share: f64,
    pub(crate) retries: f64,
    pub(crate) refreshed: Micros,
    pub(crate) drain: f64,
    /// Mean wait over the servers open to each class.
    pub(crate) mean_wait: Vec<f64>,
    /// All servers are of one size.
    pub(crate) even: bool,
    /// Zones from which nothing was heard since an attempt failed there.
    pub(crate) zones: BTreeMap<u32, Zone>,
    /// How many servers each zone has.
    pub(crate) spans: BTreeMap<u32, usize>,
    pub(crate) briefs: Vec<Brief>,
    /// Failures by server and class, as odds.
    pub(crate) odds: Vec<f64>,
    /// How much is kept over a time, as last asked for.
    pub(crate) kept: (Micros, [f64; 4]),
    pub(crate) tally: Tally,
}

impl Balancer {
    /// Feeds all that this balancer remembers into a hash, so that a search over orders of events knows
    /// states apart. Its settings are left out: they never change. Equal memories may come out unequal
    /// (where a table lists the same entries in another order), unequal ones never equal but for chance.
    pub fn digest(&self, state: &mut impl Hasher) {
        // Named one by one, so that a new field is not forgotten here.
        let Balancer {
            settings: _,
            random,
            servers,
            names,
            free,
            ready,
            trial,
            open,
            listed,
            requests,
            reviews,
            sequence,
            armed,
            ask_at,
            ask_failed,
            young,
            old,
            classes,
            tokens,
            top_worth,
            warm_share,
            retries,
            refreshed,
            drain,
            mean_wait,
            even,
            zones,
            spans,
            briefs,
            odds,
            kept,
            tally,
        } = self;
        let mut text = Text(state);
        // Hashing text cannot fail.
        let _ = write!(text, "{random} {servers:?}{names:?}{free:?}{ready:?}{trial:?}{open:?}{listed}");
        let _ =
            write!(text, "{requests:?}{reviews:?}{sequence} {armed} {ask_at} {ask_failed} {young:?}{old:?}");
        let _ = write!(text, "{classes:?}{tokens:?}{top_worth} {warm_share} {retries} {refreshed} {drain} ");
        let _ = write!(text, "{mean_wait:?}{even}{zones:?}{spans:?}{briefs:?}{odds:?}{kept:?}{tally:?}");
    }
}

/// Text that is hashed instead of kept.
struct Text<'a, H>(&'a mut H);

impl<H: Hasher> fmt::Write for Text<'_, H> {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}

/// What this gateway knows of a server.
#[derive(Clone, Debug, Default)]
pub struct Peer {
    pub id: Id,
    pub hash: u64,
    pub zone: u32,
    pub kind: u32,
    pub cell: u32,
    pub state: ServerState,
    /// Its size, and that in sizes of a mean server.
    pub size: f64,
    pub relative: f64,
    /// Not known to be no server: it answers, or nothing has been sent to it yet.
    pub proven: bool,
    /// It has answered this gateway.
    pub answered: bool,
    /// Since when the list calls it gone, or names it no more, without having said that it drains.
    pub dropped: Option<Micros>,
    /// When an unproven server may be tried again, and how often in a row it did not answer.
    pub trial: Micros,
    pub doubt: u32,
    /// Counts starts: a key is held by one life of a server.
    pub life: u32,
    pub started: Option<Micros>,
    /// The last send.
    pub sent: Micros,
    pub in_flight: u32,
    /// Expected work of my attempts that are out.
    pub work: f64,
    /// Its mean over about the time of one answer for each other gateway: the reading stands for
    /// so many others that it must be averaged over as many more.
    pub usual: f64,
    /// How many of my attempts stand behind that mean.
    pub weight: f64,
    /// Work that the other gateways are taken to have there.
    pub others: f64,
    /// Work of attempts that ended without an answer: it may still be there, and it fades.
    pub ghost: f64,
    /// Share of failures lately, by class; fades to the class's share everywhere.
    pub faults: Vec<f64>,
    /// How many attempts have ended there lately.
    pub heard: f64,
    /// Errors in a row lately, by class.
    pub errors: Vec<u32>,
    pub faded: Micros,
    /// Sums behind the drain rate: work met and the time it took.
    pub met: f64,
    pub took: f64,
    /// The last answer, or the first send since nothing was out.
    pub sign: Micros,
    /// Since when it may have an idle connection from here.
    pub idle: Option<Micros>,
    /// Work answered lately, over a fall window.
    pub carried: f64,
    /// What a cold server was sent within the fall window.
    pub spent: VecDeque<(Micros, f64)>,
}

/// A zone that does not answer.
#[derive(Clone, Debug, Default)]
pub struct Zone {
    /// Failures in a row, at any of its servers.
    pub silent: u32,
    /// When it may be tried again.
    pub trial: Micros,
}

#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub server: usize,
    pub life: u32,
    pub sent: Micros,
    pub work: f64,
    pub met: f64,
    /// All the work ahead of it, and of how many requests.
    pub all: (f64, f64),
    /// A miss or a hit for sure.
    pub hit: Option<usize>,
    /// How long its connection had been idle, if it was.
    pub gap: Micros,
    pub outcome: Option<Outcome>,
}

#[derive(Clone, Debug)]
pub struct Request {
    pub class: usize,
    pub key: u64,
    pub keyed: bool,
    pub work: f64,
    /// That work is its client's guess, not the mean of its class.
    pub hinted: bool,
    /// It may run once only, unless its class is safe.
    pub once: bool,
    pub value: f64,
    /// When the client gives up, and when an answer stops being worth anything.
    pub ends: Micros,
    pub useful: Micros,
    pub attempts: Vec<Attempt>,
    pub streaming: bool,
    pub closed: bool,
}

/// Which servers may get another attempt.
#[derive(Clone, Copy, PartialEq)]
pub enum Repeat {
    Any,
    Zone(u32),
    Cell(u32),
    No,
}

#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Running low and mean of the time to an answer.
    pub floor: f64,
    pub typical: f64,
    /// Share of its attempts that fail lately, at any server.
    pub failing: f64,
    /// What its answers take everywhere beyond what other classes' do.
    pub own: f64,
    pub aim: f64,
    /// Attempts that are out, and those that servers ended lately.
    pub out: u32,
    pub ended: f64,
    pub faded: Micros,
    /// Mean work of its requests, as hinted.
    pub work: f64,
}

#[derive(Clone, Debug)]
pub struct Holder {
    pub server: usize,
    pub life: u32,
    pub used: Micros,
}

/// What each choice reads of a server.
#[derive(Clone, Debug, Default)]
pub struct Brief {
    pub hash: u64,
    /// Expected wait.
    pub wait: f64,
    /// How fast it works.
    pub rate: f64,
    pub size: f64,
    pub zone: u32,
    pub cell: u32,
    /// Neither cold nor unproven.
    pub plain: bool,
}

/// A server that may take the request.
#[derive(Clone, Debug)]
pub struct Seat {
    pub server: usize,
    pub order: u64,
    pub wait: f64,
    pub trouble: f64,
    pub load: f64,
    /// How likely it holds the key, whether by agreement, and whether in this gateway's table.
    pub warm: f64,
    pub home: bool,
    pub held: bool,
}

/// What is known of a key: who holds it, and how often it came here lately.
#[derive(Clone, Debug, Default)]
pub struct Entry {
    pub holders: Vec<Holder>,
    pub came: f64,
    pub last: Micros,
}

pub struct Pick {
    pub server: usize,
    /// In this gateway's table for the key.
    pub held: bool,
    /// How likely the server is warm for the key.
    pub warm: f64,
    pub wait: f64,
    /// Expected time to an answer.
    pub expected: f64,
    pub finite: bool,
}

/// Figures over all servers, zero at the start.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    pub mean_work: f64,
    /// Mean time by work on an otherwise empty server, for hits and for misses.
    pub pace: [f64; 2],
    /// Sums over all servers like a server's own, and the mean work met.
    pub all: [f64; 2],
    pub mean_met: f64,
    /// How servers share their time among requests.
    pub sharing: Sharing,
    /// Work that stands for a rate of one until the first answers have told the rate.
    pub primer: f64,
    /// Mean of my work at a server, over the time of a few answers.
    pub usual: f64,
    /// Share of attempts lately that brought no answer in time.
    pub lost: f64,
    /// Work that comes in here, by time.
    pub offered: f64,
    pub came: Micros,
    /// Arrivals lately, faded as those of each key.
    pub arrivals: f64,
    /// Attempts answered and lost, by how long the connection had been idle.
    pub gaps: [[f64; 2]; 8],
    pub recalled: Micros,
    pub kind_rate: BTreeMap<u32, f64>,
    /// Sum and number of answer times by work, of each kind.
    pub paces: BTreeMap<u32, [f64; 2]>,
}
