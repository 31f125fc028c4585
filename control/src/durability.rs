//! Durability: the stored state, its records, and the rule that a reply waits for the records that it depends on.

use std::net::SocketAddrV4;

use crate::{Body, Data, KnownView, Output, ProposalNumber, Record, Replica, disk::Effect};

/// The state that the records on disk add up to. Code that changes a field also persists the record of the change.
#[derive(Debug)]
pub(crate) struct StoredState {
    /// The latest promise.
    pub promised: Option<ProposalNumber>,
    /// The latest accepted view.
    pub view: Option<KnownView>,
    /// The replicated state, on a replica that holds it.
    pub data: Option<Data>,
}

impl Replica {
    /// Persists records of changes that are in memory already, and applies the effect once they are durable.
    ///
    /// Without records, the effect waits for the pending writes. After a failed write the complete state is written.
    pub(crate) fn persist(&mut self, records: Vec<Record>, effect: Option<Effect>, out: &mut Vec<Output>) {
        let records = if self.disk.is_stale() { self.all_records() } else { records };
        if records.is_empty() {
            if let Some(effect) = effect.and_then(|effect| self.disk.attach_effect(effect)) {
                self.apply_effect(effect, out);
            }
            return;
        }
        if !self.disk.may_write(self.now()) {
            self.disk.set_stale();
            return;
        }
        let write_id = self.disk.start_write(self.now(), self.stored.promised, effect);
        out.push(Output::Persist { write_id, records });
    }

    fn all_records(&self) -> Vec<Record> {
        let mut records: Vec<Record> = self.stored.promised.map(Record::Promise).into_iter().collect();
        records.extend(self.stored.view.clone().map(Record::View));
        records.push(self.stored.data.clone().map_or(Record::SnapshotDiscarded, Record::Snapshot));
        records
    }

    pub(crate) fn reply_once_durable(&self, to: SocketAddrV4, body: Body) -> Option<Effect> {
        Some(Effect::Send { to, message: self.message(body) })
    }

    /// Whether this replica would know after a restart that its view is active.
    pub(crate) fn activation_durable(&self) -> bool {
        self.disk.all_durable() && self.stored.view.as_ref().is_some_and(|known| known.active)
    }

    /// Whether this replica may hold data for others.
    pub(crate) fn healthy(&self) -> bool {
        self.disk.is_healthy(self.now()) && self.shutdown.requested_at.is_none()
    }
}
