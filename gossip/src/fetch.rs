//! What was asked for and has not come: each item is fetched from one node at a time.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::config::micros;
use crate::item::Name;
use crate::{Entry, Stamp};

/// Other nodes that hold an item and are remembered while it is fetched.
const OTHERS_AT_MOST: usize = 8;

/// One item on its way.
#[derive(Debug)]
struct Fetch {
    stamp: Stamp,
    asked: SocketAddrV4,
    others: Vec<SocketAddrV4>,
    deadline: u64,
    pass_on: bool,
}

/// All items on their way.
#[derive(Debug)]
pub(crate) struct Fetches {
    again_after: u64,
    by_name: BTreeMap<Name, Fetch>,
    /// Deadlines in their order, some of fetches that are done.
    deadlines: VecDeque<(u64, Name)>,
}

impl Fetches {
    pub(crate) fn new(again_after: Duration) -> Self {
        Self { again_after: micros(again_after), by_name: BTreeMap::new(), deadlines: VecDeque::new() }
    }

    /// A node holds an item that is lacking here. Returns whether to fetch it from there now; otherwise it is on its
    /// way and the node is remembered. `pass_on`: whether the item is to be passed on when it comes.
    pub(crate) fn want(&mut self, now: u64, from: SocketAddrV4, entry: &Entry, pass_on: bool) -> bool {
        if let Some(fetch) = self.by_name.get_mut(&entry.name()).filter(|fetch| fetch.stamp >= entry.stamp) {
            fetch.pass_on |= pass_on;
            if fetch.stamp == entry.stamp {
                fetch.remember(from);
            }
            return false;
        }
        let fetch = Fetch { stamp: entry.stamp, asked: from, others: Vec::new(), deadline: 0, pass_on };
        self.begin(now, entry.name(), fetch);
        true
    }

    /// An item came. If it was being fetched, returns whether it is to be passed on.
    pub(crate) fn arrived(&mut self, entry: &Entry) -> Option<bool> {
        let name = entry.name();
        if self.by_name.get(&name)?.stamp > entry.stamp {
            return None;
        }
        let fetch = self.by_name.remove(&name)?;
        self.drop_done_deadlines();
        Some(fetch.pass_on)
    }

    /// What did not come in time: whom to ask next, and for what. Given up where nobody else is known.
    pub(crate) fn overdue(&mut self, now: u64) -> BTreeMap<SocketAddrV4, Vec<Entry>> {
        let mut again: BTreeMap<SocketAddrV4, Vec<Entry>> = BTreeMap::new();
        while self.next_due() <= now {
            let Some((_, name)) = self.deadlines.pop_front() else { break };
            let Some(mut fetch) = self.by_name.remove(&name) else { continue };
            if fetch.deadline > now {
                self.by_name.insert(name, fetch);
            } else if let Some(next) = fetch.others.pop() {
                fetch.asked = next;
                let (kind, key) = name.clone();
                again.entry(next).or_default().push(Entry { kind, key, stamp: fetch.stamp });
                self.begin(now, name, fetch);
            }
        }
        again
    }

    /// When a fetch may be overdue next.
    pub(crate) fn next_due(&self) -> u64 {
        self.deadlines.front().map_or(u64::MAX, |(deadline, _)| *deadline)
    }

    fn begin(&mut self, now: u64, name: Name, mut fetch: Fetch) {
        fetch.deadline = now + self.again_after;
        self.deadlines.push_back((fetch.deadline, name.clone()));
        self.by_name.insert(name, fetch);
    }

    fn drop_done_deadlines(&mut self) {
        while self.deadlines.front().is_some_and(|(_, name)| !self.by_name.contains_key(name)) {
            self.deadlines.pop_front();
        }
    }
}

impl Fetch {
    fn remember(&mut self, offerer: SocketAddrV4) {
        let is_known = offerer == self.asked || self.others.contains(&offerer);
        if !is_known && self.others.len() < OTHERS_AT_MOST {
            self.others.push(offerer);
        }
    }
}
