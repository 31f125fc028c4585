//! A primary that can't go on gives its lead to a backup.

use std::net::SocketAddrV4;

use crate::{Body, Output, ProposalNumber, Replica, config::MILLISECOND};

/// The primary repeats its request to take over this often, and for so long.
const TRANSFER_RESEND_INTERVAL: u64 = 200 * MILLISECOND;
const TRANSFER_TIMEOUT: u64 = 1_000 * MILLISECOND;

/// A lead that was given up for another replica.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LeadershipTransfer {
    pub released: ProposalNumber,
    pub target: SocketAddrV4,
    pub next_send: u64,
    pub deadline: u64,
}

impl Replica {
    /// Gives up the lead and asks the best backup to take it.
    pub(crate) fn transfer_leadership(&mut self, out: &mut Vec<Output>) {
        let Some(released) = self.promised else { return };
        let Some(to) = self.transfer_target() else { return };
        self.step_down(out);
        self.reset_election_timer();
        self.leadership_transfer = Some(LeadershipTransfer {
            released,
            target: to,
            next_send: self.now(),
            deadline: self.now() + TRANSFER_TIMEOUT,
        });
        self.tick_leadership_transfer(out);
    }

    pub(crate) fn tick_leadership_transfer(&mut self, out: &mut Vec<Output>) {
        let now = self.now();
        let Some(mut transfer) = self.leadership_transfer else { return };
        if now >= transfer.deadline || self.promised != Some(transfer.released) {
            self.leadership_transfer = None;
        } else if now >= transfer.next_send {
            transfer.next_send = now + TRANSFER_RESEND_INTERVAL;
            self.leadership_transfer = Some(transfer);
            self.send(transfer.target, Body::TransferLeadership { released: transfer.released }, out);
        }
    }

    pub(crate) fn handle_transfer_leadership(&mut self, released: ProposalNumber, out: &mut Vec<Output>) {
        let Some(view) = self.current_view() else { return };
        let current =
            view.primary == released.candidate && view.holds_data(self.id) && view.epoch <= released.epoch;
        let free =
            self.campaign.is_none() && self.leadership.is_none() && self.promised_epoch() <= released.epoch;
        if current && free && self.healthy() && !self.lease_forbids_promise(self.id, Some(released)) {
            self.pre_vote = None;
            self.start_campaign(Some(released), None, out);
        }
    }
}
