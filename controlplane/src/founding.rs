//! The first start of the whole system: who founds the control state, and with whom. No I/O.
//!
//! All processes get the same seeds at the first start, and these are up. Each says hello to the seeds; the lowest of
//! them waits until no new core machine has come for a while, then founds the first view. Nothing has been acknowledged
//! before, so there is nothing that two founders could lose; a later start never founds.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use gradepaddle_control::{Member, ReplicaId, View};
use gradepaddle_proto::Identity;

use crate::Micros;

/// The founder waits for this long at least after its own start.
const WAITS_AT_LEAST: Micros = 1_000_000;
/// And for all other seeds, or this long, if most of them have said hello.
const WAITS_FOR_SEEDS: Micros = 4_000_000;
/// And until no new core machine has come for this long.
const SETTLES_AFTER: Micros = 600_000;
/// The first view is told again this often, for as long as [`TELLS_FOR`].
const TELLS_EVERY: Micros = 300_000;
const TELLS_FOR: Micros = 6_000_000;
/// The epoch of the first view.
const FIRST_EPOCH: u64 = 1;

/// The founder's part.
pub struct Founding {
    own: SocketAddrV4,
    machine_losses: usize,
    started: Micros,
    /// The other seeds, which are up at the first start, and those of them that have said hello.
    seeds: BTreeSet<SocketAddrV4>,
    greeted: BTreeSet<SocketAddrV4>,
    candidates: BTreeMap<SocketAddrV4, Identity>,
    last_new: Micros,
    /// The first view, since when it is told.
    founded: Option<(View, Micros)>,
    due: Micros,
}

/// The first view for one of its members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Found {
    /// The member.
    pub to: SocketAddrV4,
    /// The view.
    pub view: View,
}

impl Founding {
    /// The part of the node at this address, if it is the one to found; `None` for all others.
    pub fn new(
        own: SocketAddrV4,
        seeds: &[SocketAddrV4],
        machine_losses: usize,
        first_boot: bool,
        now: Micros,
    ) -> Option<Self> {
        let founds = first_boot && seeds.iter().min() == Some(&own);
        founds.then(|| Founding {
            own,
            machine_losses,
            started: now,
            seeds: seeds.iter().copied().filter(|seed| *seed != own).collect(),
            greeted: BTreeSet::new(),
            candidates: BTreeMap::new(),
            last_new: now,
            founded: None,
            due: now + SETTLES_AFTER,
        })
    }

    /// Takes in a node that says hello.
    pub fn hello(&mut self, now: Micros, identity: &Identity) {
        if self.seeds.contains(&identity.address) {
            self.greeted.insert(identity.address);
        }
        let candidate = identity.replica.is_some() && identity.first_boot;
        if candidate && self.founded.is_none() && !self.candidates.contains_key(&identity.address) {
            self.candidates.insert(identity.address, identity.clone());
            self.last_new = now;
        }
    }

    /// The first view for its members, when it is due.
    pub fn tick(&mut self, now: Micros) -> Vec<Found> {
        if now < self.due {
            return Vec::new();
        }
        self.due = now + TELLS_EVERY;
        if self.founded.is_none() && self.settled(now) {
            self.founded = self.view().map(|view| (view, now));
        }
        match &self.founded {
            Some((view, since)) if now.saturating_sub(*since) < TELLS_FOR => {
                let members = view.members.iter();
                members.map(|member| Found { to: member.address, view: view.clone() }).collect()
            }
            Some(_) => {
                self.due = Micros::MAX;
                Vec::new()
            }
            None => Vec::new(),
        }
    }

    /// True once the first view is made.
    pub fn has_founded(&self) -> bool {
        self.founded.is_some()
    }

    /// When [`Founding::tick`] has something to do.
    pub fn next_wake(&self) -> Micros {
        self.due
    }

    fn settled(&self, now: Micros) -> bool {
        let waited = now.saturating_sub(self.started);
        let all = self.greeted.len() == self.seeds.len();
        // One that hears of no other seed may be cut off, or have started anew beside a running fleet.
        let most = 2 * self.greeted.len() >= self.seeds.len() && waited >= WAITS_FOR_SEEDS;
        (all || most) && waited >= WAITS_AT_LEAST && now.saturating_sub(self.last_new) >= SETTLES_AFTER
    }

    fn view(&self) -> Option<View> {
        let members: Vec<Member> = self.candidates.values().filter_map(member).collect();
        let primary = members.iter().find(|member| member.address == self.own).or(members.first())?.clone();
        let wanted = self.machine_losses.max(1).min(members.len() - 1);
        let others = members.iter().filter(|member| member.id != primary.id);
        let (far, near): (Vec<&Member>, Vec<&Member>) =
            others.partition(|member| member.zone != primary.zone);
        let backups = far.into_iter().chain(near).take(wanted).map(|member| member.id).collect();
        let target_size = members.len();
        Some(View {
            epoch: FIRST_EPOCH,
            members,
            previous_members: Vec::new(),
            primary: primary.id,
            backups,
            target_size,
        })
    }
}

fn member(identity: &Identity) -> Option<Member> {
    let id = ReplicaId(identity.replica?);
    Some(Member { id, address: identity.address, zone: identity.zone.clone() })
}
