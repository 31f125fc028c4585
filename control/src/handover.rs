//! A primary that can't go on gives its lead to a backup.

use std::net::SocketAddrV4;

use crate::{Body, Output, ProposalNumber, Replica, config::MILLISECOND};

/// The primary repeats its request to take over this often, and for so long.
const HANDOVER_EVERY: u64 = 200 * MILLISECOND;
const HANDOVER_FOR: u64 = 1_000 * MILLISECOND;

/// A lead that was given up for another replica.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Handover {
    pub released: ProposalNumber,
    pub to: SocketAddrV4,
    pub next_send: u64,
    pub until: u64,
}

impl Replica {
    /// Gives up the lead and asks the best backup to take it.
    pub(crate) fn hand_over(&mut self, out: &mut Vec<Output>) {
        let Some(released) = self.promised else { return };
        let Some(to) = self.successor() else { return };
        self.step_down(out);
        self.hear();
        self.handover =
            Some(Handover { released, to, next_send: self.now(), until: self.now() + HANDOVER_FOR });
        self.advance_handover(out);
    }

    pub(crate) fn advance_handover(&mut self, out: &mut Vec<Output>) {
        let now = self.now();
        let Some(mut handover) = self.handover else { return };
        if now >= handover.until || self.promised != Some(handover.released) {
            self.handover = None;
        } else if now >= handover.next_send {
            handover.next_send = now + HANDOVER_EVERY;
            self.handover = Some(handover);
            self.send(handover.to, Body::TransferLeadership { released: handover.released }, out);
        }
    }

    pub(crate) fn on_take_over(&mut self, released: ProposalNumber, out: &mut Vec<Output>) {
        let Some(view) = self.current_view() else { return };
        let current =
            view.primary == released.candidate && view.holds_data(self.id) && view.epoch <= released.epoch;
        let free =
            self.campaign.is_none() && self.leadership.is_none() && self.promised_epoch() <= released.epoch;
        if current && free && self.healthy() && !self.barred(self.id, Some(released)) {
            self.poll = None;
            self.begin_campaign(Some(released), None, out);
        }
    }
}
