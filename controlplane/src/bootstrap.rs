//! Bootstrap of a fleet: which node makes the first view of the control state, and of which members. No I/O.
//!
//! At the first start all processes get the same seeds, and all seeds are running. Each node sends heartbeats to the
//! seeds. The seed with the lowest address waits until no new core machine has sent a heartbeat for a while, then makes
//! the first view. Nothing has been acknowledged before that, so even two first views would lose no data. A later start
//! never bootstraps.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use gradepaddle_control::{Member, ReplicaId, View};
use gradepaddle_proto::Identity;

use crate::Micros;

/// The minimum time from this node's start to the first view.
const MIN_WAIT: Micros = 1_000_000;
/// Until this time after the start, all other seeds must have sent a heartbeat; after it, half of them are enough.
const SEED_WAIT: Micros = 4_000_000;
/// The first view is made once no heartbeat of a new core machine has come for this long.
const SETTLE_TIME: Micros = 600_000;
/// The first view is sent again at this interval for [`RESEND_PERIOD`], as messages may be lost.
const RESEND_INTERVAL: Micros = 300_000;
const RESEND_PERIOD: Micros = 6_000_000;
/// The epoch of the first view.
const FIRST_EPOCH: u64 = 1;

/// The state of the one node that makes the first view.
pub struct Bootstrap {
    own: SocketAddrV4,
    machine_losses: usize,
    started: Micros,
    /// The other seeds, all of which are running at the first start.
    seeds: BTreeSet<SocketAddrV4>,
    /// The other seeds that have sent a heartbeat.
    heard_seeds: BTreeSet<SocketAddrV4>,
    candidates: BTreeMap<SocketAddrV4, Identity>,
    last_candidate_at: Micros,
    first_view: Option<FirstView>,
    next_due: Micros,
}

struct FirstView {
    view: View,
    made_at: Micros,
}

/// The first view, to be sent to one of its members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BootstrapMessage {
    /// The member.
    pub to: SocketAddrV4,
    /// The view.
    pub view: View,
}

impl Bootstrap {
    /// The state at the node that makes the first view; `None` at all others.
    pub fn new(
        own: SocketAddrV4,
        seeds: &[SocketAddrV4],
        machine_losses: usize,
        first_boot: bool,
        now: Micros,
    ) -> Option<Self> {
        let responsible = first_boot && seeds.iter().min() == Some(&own);
        responsible.then(|| Bootstrap {
            own,
            machine_losses,
            started: now,
            seeds: seeds.iter().copied().filter(|seed| *seed != own).collect(),
            heard_seeds: BTreeSet::new(),
            candidates: BTreeMap::new(),
            last_candidate_at: now,
            first_view: None,
            next_due: now + SETTLE_TIME,
        })
    }

    /// Handles the heartbeat of a node, including this node's own.
    pub fn handle_heartbeat(&mut self, now: Micros, identity: &Identity) {
        if self.seeds.contains(&identity.address) {
            self.heard_seeds.insert(identity.address);
        }
        let candidate = identity.replica.is_some() && identity.first_boot;
        if candidate && self.first_view.is_none() && !self.candidates.contains_key(&identity.address) {
            self.candidates.insert(identity.address, identity.clone());
            self.last_candidate_at = now;
        }
    }

    /// Returns the first view for each of its members when it is due to be sent.
    pub fn tick(&mut self, now: Micros) -> Vec<BootstrapMessage> {
        if now < self.next_due {
            return Vec::new();
        }
        self.next_due = now + RESEND_INTERVAL;
        if self.first_view.is_none() && self.is_settled(now) {
            self.first_view = self.make_view().map(|view| FirstView { view, made_at: now });
        }
        match &self.first_view {
            Some(first) if now.saturating_sub(first.made_at) < RESEND_PERIOD => {
                let members = first.view.members.iter();
                members
                    .map(|member| BootstrapMessage { to: member.address, view: first.view.clone() })
                    .collect()
            }
            Some(_) => {
                self.next_due = Micros::MAX;
                Vec::new()
            }
            None => Vec::new(),
        }
    }

    /// True once the first view has been made.
    pub fn has_view(&self) -> bool {
        self.first_view.is_some()
    }

    /// When [`Bootstrap::tick`] has to be called next.
    pub fn next_wake(&self) -> Micros {
        self.next_due
    }

    fn is_settled(&self, now: Micros) -> bool {
        let waited = now.saturating_sub(self.started);
        let all_seeds = self.heard_seeds.len() == self.seeds.len();
        // A node that gets heartbeats of no other seed may be partitioned, or may have restarted in a running fleet.
        let half_of_seeds = 2 * self.heard_seeds.len() >= self.seeds.len() && waited >= SEED_WAIT;
        let settled = now.saturating_sub(self.last_candidate_at) >= SETTLE_TIME;
        (all_seeds || half_of_seeds) && waited >= MIN_WAIT && settled
    }

    /// Makes the first view. Backups are chosen from zones other than the primary's first.
    fn make_view(&self) -> Option<View> {
        let members: Vec<Member> = self.candidates.values().filter_map(member).collect();
        let primary = members.iter().find(|member| member.address == self.own).or(members.first())?.clone();
        let backup_count = self.machine_losses.max(1).min(members.len() - 1);
        let others = members.iter().filter(|member| member.id != primary.id);
        let (in_other_zones, in_same_zone): (Vec<&Member>, Vec<&Member>) =
            others.partition(|member| member.zone != primary.zone);
        let backups = in_other_zones
            .into_iter()
            .chain(in_same_zone)
            .take(backup_count)
            .map(|member| member.id)
            .collect();
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
