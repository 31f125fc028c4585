//! Joining: non-members send join requests, and the primary tracks who has sent one.

use std::{collections::BTreeMap, net::SocketAddrV4, sync::Arc};

use crate::{
    Body, KnownView, Member, Micros, Output, Replica, membership::LIVENESS_TIMEOUT, time::MILLISECOND,
};

/// Interval between the join requests of a non-member.
pub(crate) const JOIN_INTERVAL: Micros = 1_000 * MILLISECOND;

/// How long a join request counts.
const JOIN_REQUEST_VALIDITY: Micros = 3_000 * MILLISECOND;

/// Join requests of a replica that isn't a member.
#[derive(Debug)]
pub(crate) struct JoinState {
    /// Internal addresses at which members may be found.
    pub addresses: Vec<SocketAddrV4>,
    pub next_request: Micros,
}

/// A replica that has requested to join, as the primary sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Joiner {
    pub member: Member,
    pub first_boot: bool,
    /// When its last request arrived.
    pub last_request: Micros,
    /// When its first request arrived: a reply to anything that was sent before doesn't count.
    first_request: Micros,
    /// When it last replied to a heartbeat.
    last_reply: Option<Micros>,
    /// Whether it may hold data.
    healthy: bool,
}

impl Joiner {
    /// A replica whose first request has arrived.
    pub fn new(member: &Member, now: Micros) -> Joiner {
        let member = member.clone();
        Joiner {
            member,
            first_boot: false,
            last_request: now,
            first_request: now,
            last_reply: None,
            healthy: false,
        }
    }

    /// Whether a request of it still counts.
    pub fn is_requesting(&self, now: Micros) -> bool {
        now < self.last_request + JOIN_REQUEST_VALIDITY
    }

    /// Records its reply to a heartbeat that was sent at this time.
    pub fn record_heartbeat_reply(&mut self, now: Micros, sent: Micros, healthy: bool) {
        if sent >= self.first_request {
            self.last_reply = Some(now);
            self.healthy = healthy;
        }
    }

    /// Whether it is running, reachable in both directions, and could hold data. A join request alone shows none of
    /// this: it may be a delayed message of a replica that no longer exists.
    pub fn is_ready(&self, now: Micros) -> bool {
        let has_replied = self.last_reply.is_some_and(|replied| now < replied + LIVENESS_TIMEOUT);
        self.is_requesting(now) && has_replied && self.healthy
    }
}

impl Replica {
    pub(crate) fn wants_to_join(&self) -> bool {
        let member = self.current_view().is_some_and(|view| view.member(self.id).is_some());
        let anyone_known = self.stored.view.is_some() || !self.join.addresses.is_empty();
        !member && !self.is_shutting_down() && anyone_known
    }

    pub(crate) fn maybe_request_join(&mut self, out: &mut Vec<Output>) {
        if !self.wants_to_join() || self.now() < self.join.next_request {
            return;
        }
        self.join.next_request = self.now() + JOIN_INTERVAL;
        let mut addresses: BTreeMap<SocketAddrV4, ()> =
            self.join.addresses.iter().map(|peer| (*peer, ())).collect();
        if let Some(view) = self.current_view() {
            addresses.extend(view.members.iter().map(|member| (member.address, ())));
        }
        addresses.remove(&self.config.address);
        // A replica that knows a view was removed from it: it replaces a member and doesn't raise the target size.
        let first_boot = self.config.first_boot && self.stored.view.is_none();
        let join = Body::Join { member: self.member(), first_boot };
        for address in addresses.into_keys() {
            self.send(address, join.clone(), out);
        }
    }

    pub(crate) fn handle_join(
        &mut self,
        from: SocketAddrV4,
        member: Member,
        first_boot: bool,
        out: &mut Vec<Output>,
    ) {
        let now = self.now();
        let Some(leadership) = self.leadership.as_mut() else {
            let sent_by_joiner = from == member.address && member.address != self.config.address;
            let primary =
                self.other_primary_address().filter(|address| sent_by_joiner && *address != member.address);
            if let Some(primary) = primary {
                self.forward_join(primary, member, first_boot, out);
            }
            return;
        };
        if leadership.view.member(member.id).is_some() {
            let view = KnownView { view: Arc::clone(&leadership.view), active: true };
            return self.send(member.address, Body::Accept { view }, out);
        }
        if !leadership.replaced.contains(&member.id) && member.address != self.config.address {
            leadership
                .joiners
                .retain(|id, joiner| *id == member.id || joiner.member.address != member.address);
            let joiner = leadership.joiners.entry(member.id).or_insert_with(|| Joiner::new(&member, now));
            joiner.first_boot = first_boot;
            joiner.last_request = now;
            let epoch = leadership.epoch;
            // The request may be delayed: only a reply to this heartbeat shows that the replica is running.
            if !leadership.lease_renewals.quorum_lost(now) {
                self.send(member.address, Body::Heartbeat { epoch, sent: now }, out);
            }
        }
    }

    fn forward_join(&self, to: SocketAddrV4, member: Member, first_boot: bool, out: &mut Vec<Output>) {
        let sender = member.id;
        let message = crate::Message { sender, body: Body::Join { member, first_boot } };
        out.push(Output::Send { to, message });
    }
}
