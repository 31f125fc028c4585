//! Graceful shutdown: the process stays until no other replica depends on this one, or a timeout passes.

use crate::{Micros, Output, Replica};

/// Progress of a graceful shutdown.
#[derive(Debug, Default)]
pub(crate) struct ShutdownState {
    pub requested_at: Option<Micros>,
    /// Whether [`Output::ReadyToExit`] has been given.
    pub exit_announced: bool,
}

impl Replica {
    pub(crate) fn is_shutting_down(&self) -> bool {
        self.shutdown.requested_at.is_some()
    }

    pub(crate) fn tick_shutdown(&mut self, out: &mut Vec<Output>) {
        let Some(since) = self.shutdown.requested_at.filter(|_| !self.shutdown.exit_announced) else {
            return;
        };
        let exits_at_once = self.config.injected_fault.exits_at_once();
        if exits_at_once || !self.is_needed() || self.now() >= since + self.config.shutdown_timeout {
            self.shutdown.exit_announced = true;
            out.push(Output::ReadyToExit);
        }
    }

    /// Whether others depend on this replica: it holds data, its view isn't known to be active, or a view with more
    /// members than its target size is about to be replaced by one without it.
    fn is_needed(&self) -> bool {
        let needed_by_view = self.stored.view.as_ref().is_some_and(|known| {
            let surplus = known.view.members.len() > known.view.target_size;
            let may_be_removed = surplus && known.view.member(self.id).is_some();
            !known.active || may_be_removed || known.view.holds_data(self.id)
        });
        self.leadership.is_some() || self.election.campaign.is_some() || needed_by_view
    }
}
