//! Leadership transfer (Raft: Ongaro's thesis, section 3.10): a primary that can't continue hands over to a backup.

use std::net::SocketAddrV4;

use crate::{Body, Micros, Output, ProposalNumber, Replica, membership::LIVENESS_TIMEOUT, time::MILLISECOND};

/// Interval at which the request to a backup to become primary is repeated.
const TRANSFER_RESEND_INTERVAL: Micros = 200 * MILLISECOND;
/// For how long the request is repeated.
const TRANSFER_TIMEOUT: Micros = 1_000 * MILLISECOND;

/// A transfer that is under way.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LeadershipTransfer {
    pub released: ProposalNumber,
    pub target: SocketAddrV4,
    pub next_send: Micros,
    pub deadline: Micros,
}

impl Replica {
    /// Releases this replica's leases and asks the best backup to become primary.
    pub(crate) fn transfer_leadership(&mut self, out: &mut Vec<Output>) {
        let Some(released) = self.stored.promised else { return };
        let Some(target) = self.transfer_target() else { return };
        self.step_down(out);
        self.reset_election_timer();
        self.leadership_transfer = Some(LeadershipTransfer {
            released,
            target,
            next_send: self.now(),
            deadline: self.now() + TRANSFER_TIMEOUT,
        });
        self.tick_leadership_transfer(out);
    }

    pub(crate) fn tick_leadership_transfer(&mut self, out: &mut Vec<Output>) {
        let now = self.now();
        let Some(mut transfer) = self.leadership_transfer else { return };
        if now >= transfer.deadline || self.stored.promised != Some(transfer.released) {
            self.leadership_transfer = None;
        } else if now >= transfer.next_send {
            transfer.next_send = now + TRANSFER_RESEND_INTERVAL;
            self.leadership_transfer = Some(transfer);
            self.send(transfer.target, Body::TransferLeadership { released: transfer.released }, out);
        }
    }

    pub(crate) fn handle_transfer_leadership(&mut self, released: ProposalNumber, out: &mut Vec<Output>) {
        let Some(view) = self.current_view() else { return };
        let is_valid =
            view.primary == released.candidate && view.holds_data(self.id) && view.epoch <= released.epoch;
        let idle = self.election.campaign.is_none()
            && self.leadership.is_none()
            && self.promised_epoch() <= released.epoch;
        if is_valid && idle && self.healthy() && !self.lease_forbids_promise(self.id, Some(released)) {
            self.election.pre_vote = None;
            self.start_campaign(Some(released), None, out);
        }
    }
}

impl Replica {
    /// The best backup for a transfer: live, healthy, and heard from last.
    pub(crate) fn transfer_target(&self) -> Option<SocketAddrV4> {
        let leadership = self.leadership.as_ref()?;
        let ready = leadership.view.backups.iter().filter_map(|id| {
            let peer = leadership.peers.get(id)?;
            (peer.healthy && peer.is_live(self.now(), LIVENESS_TIMEOUT)).then_some((peer.last_heard, *id))
        });
        let (_, best) = ready.max()?;
        leadership.view.member(best).map(|member| member.address)
    }
}
