//! The messages and records of `gradepaddle-control` as Protocol Buffers.

use std::collections::BTreeMap;
use std::sync::Arc;

use gradepaddle_control::{
    AcceptedConfiguration, AcceptedHistory, Body, Change, ControlState, Data, HeartbeatReply,
    InstallSnapshot, KnownView, LogPosition, Member, Message, PreVoteReply, Prepare, Promise, ProposalNumber,
    Record, Reject, ReplicaId, Replicate, SnapshotInstalled, StoredConfiguration, View,
};

use crate::fields::{Decode, DecodeError, Encode, FieldWriter, Fields, UnknownVariantSnafu};

impl Encode for ProposalNumber {
    fn encode(&self, to: &mut FieldWriter) {
        to.number(1, self.epoch);
        to.number(2, self.candidate.0);
    }
}

impl Decode for ProposalNumber {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(ProposalNumber { epoch: fields.number(1), candidate: ReplicaId(fields.number(2)) })
    }
}

impl Encode for LogPosition {
    fn encode(&self, to: &mut FieldWriter) {
        to.number(1, self.epoch);
        to.number(2, self.sequence);
    }
}

impl Decode for LogPosition {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(LogPosition { epoch: fields.number(1), sequence: fields.number(2) })
    }
}

impl Encode for Member {
    fn encode(&self, to: &mut FieldWriter) {
        to.number(1, self.id.0);
        to.address(2, self.address);
        to.text(3, &self.zone);
    }
}

impl Decode for Member {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(Member {
            id: ReplicaId(fields.number(1)),
            address: fields.address("member", 2)?,
            zone: fields.text(3),
        })
    }
}

impl Encode for View {
    fn encode(&self, to: &mut FieldWriter) {
        to.number(1, self.epoch);
        to.messages(2, &self.members);
        to.messages(3, &self.previous_members);
        to.number(4, self.primary.0);
        self.backups.iter().for_each(|backup| to.some_number(5, Some(backup.0)));
        to.number(6, self.target_size as u64);
    }
}

impl Decode for View {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(View {
            epoch: fields.number(1),
            members: fields.messages(2)?,
            previous_members: fields.messages(3)?,
            primary: ReplicaId(fields.number(4)),
            backups: fields.all_numbers(5).map(ReplicaId).collect(),
            target_size: fields.number(6) as usize,
        })
    }
}

impl Encode for KnownView {
    fn encode(&self, to: &mut FieldWriter) {
        to.message(1, &*self.view);
        to.truth(2, self.active);
    }
}

impl Decode for KnownView {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        let view: View = fields.message("known view", 1)?;
        Ok(KnownView { view: Arc::new(view), active: fields.truth(2) })
    }
}

const PUT_CONFIGURATION: u64 = 1;
const NAME_VERSION: u64 = 2;

impl Encode for Change {
    fn encode(&self, to: &mut FieldWriter) {
        match self {
            Change::PutConfiguration { if_match, version, body, fingerprint } => {
                to.number(1, PUT_CONFIGURATION);
                to.number(2, *if_match);
                to.number(3, *version);
                to.bytes(4, body);
                to.bytes(5, &fingerprint.to_le_bytes());
            }
            Change::NameVersion { model, version } => {
                to.number(1, NAME_VERSION);
                to.number(3, *version);
                to.text(6, model);
            }
        }
    }
}

impl Decode for Change {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(match fields.number(1) {
            PUT_CONFIGURATION => Change::PutConfiguration {
                if_match: fields.number(2),
                version: fields.number(3),
                body: Arc::from(fields.bytes(4)),
                fingerprint: fingerprint(fields.bytes(5))?,
            },
            NAME_VERSION => {
                Change::NameVersion { model: fields.text(6).to_string(), version: fields.number(3) }
            }
            variant => return UnknownVariantSnafu { message: "change", variant }.fail(),
        })
    }
}

fn fingerprint(bytes: &[u8]) -> Result<u128, DecodeError> {
    bytes.try_into().map(u128::from_le_bytes).map_err(|_| DecodeError::Malformed)
}

impl Encode for StoredConfiguration {
    fn encode(&self, to: &mut FieldWriter) {
        to.number(1, self.version);
        to.bytes(2, &self.body);
        to.bytes(3, &self.fingerprint.to_le_bytes());
    }
}

impl Decode for StoredConfiguration {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(StoredConfiguration {
            version: fields.number(1),
            body: Arc::from(fields.bytes(2)),
            fingerprint: fingerprint(fields.bytes(3))?,
        })
    }
}

/// A model with the newest named version of its weights.
struct NamedVersion {
    model: String,
    version: u64,
}

impl Encode for NamedVersion {
    fn encode(&self, to: &mut FieldWriter) {
        to.text(1, &self.model);
        to.number(2, self.version);
    }
}

impl Decode for NamedVersion {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(NamedVersion { model: fields.text(1).to_string(), version: fields.number(2) })
    }
}

impl Encode for AcceptedConfiguration {
    fn encode(&self, to: &mut FieldWriter) {
        to.number(1, self.version);
        to.bytes(2, &self.fingerprint.to_le_bytes());
    }
}

impl Decode for AcceptedConfiguration {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(AcceptedConfiguration { version: fields.number(1), fingerprint: fingerprint(fields.bytes(2))? })
    }
}

impl Encode for ControlState {
    fn encode(&self, to: &mut FieldWriter) {
        if let Some(configuration) = &self.configuration {
            to.message(1, configuration);
        }
        self.accepted.iter().for_each(|accepted| to.message(2, accepted));
        for (model, version) in &self.models {
            to.message(3, &NamedVersion { model: model.clone(), version: *version });
        }
        to.number(4, self.accepted.truncated_through());
    }
}

impl Decode for ControlState {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        let accepted = AcceptedHistory::new(fields.messages(2)?, fields.number(4));
        let named: Vec<NamedVersion> = fields.messages(3)?;
        let models: BTreeMap<String, u64> = named.into_iter().map(|one| (one.model, one.version)).collect();
        Ok(ControlState { configuration: fields.some_message(1)?, accepted, models })
    }
}

impl Encode for Data {
    fn encode(&self, to: &mut FieldWriter) {
        to.message(1, &self.position);
        to.message(2, &*self.state);
    }
}

impl Decode for Data {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        let state: ControlState = fields.message("data", 2)?;
        Ok(Data { position: fields.message("data", 1)?, state: Arc::new(state) })
    }
}

const PROMISE_RECORD: u64 = 1;
const VIEW_RECORD: u64 = 2;
const WHOLE_RECORD: u64 = 3;
const CHANGED_RECORD: u64 = 4;
const MOVED_RECORD: u64 = 5;
const DROPPED_RECORD: u64 = 6;

impl Encode for Record {
    fn encode(&self, to: &mut FieldWriter) {
        match self {
            Record::Promise(proposal_number) => variant(to, PROMISE_RECORD, proposal_number),
            Record::View(view) => variant(to, VIEW_RECORD, view),
            Record::Snapshot(data) => variant(to, WHOLE_RECORD, data),
            Record::Changed { position, change } => {
                variant(to, CHANGED_RECORD, position);
                to.message(3, change);
            }
            Record::Moved(position) => variant(to, MOVED_RECORD, position),
            Record::SnapshotDiscarded => to.number(1, DROPPED_RECORD),
        }
    }
}

fn variant<M: Encode>(to: &mut FieldWriter, number: u64, content: &M) {
    to.number(1, number);
    to.message(2, content);
}

impl Decode for Record {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        const NAME: &str = "record";
        Ok(match fields.number(1) {
            PROMISE_RECORD => Record::Promise(fields.message(NAME, 2)?),
            VIEW_RECORD => Record::View(fields.message(NAME, 2)?),
            WHOLE_RECORD => Record::Snapshot(fields.message(NAME, 2)?),
            CHANGED_RECORD => {
                Record::Changed { position: fields.message(NAME, 2)?, change: fields.message(NAME, 3)? }
            }
            MOVED_RECORD => Record::Moved(fields.message(NAME, 2)?),
            DROPPED_RECORD => Record::SnapshotDiscarded,
            variant => return UnknownVariantSnafu { message: NAME, variant }.fail(),
        })
    }
}

const HEARTBEAT: u64 = 1;
const ECHO: u64 = 2;
const POLL: u64 = 3;
const POLL_REPLY: u64 = 4;
const PREPARE: u64 = 5;
const PROMISE: u64 = 6;
const REFUSE: u64 = 7;
const INSTALL: u64 = 8;
const INSTALLED: u64 = 9;
const ACCEPT: u64 = 10;
const ACCEPTED: u64 = 11;
const REPLICATE: u64 = 12;
const REPLICATED: u64 = 13;
const JOIN: u64 = 14;
const TAKE_OVER: u64 = 15;

/// Field numbers of a message; each stands for one thing in all variants.
mod field {
    pub const SENDER: u32 = 1;
    pub const VARIANT: u32 = 2;
    pub const EPOCH: u32 = 3;
    pub const SENT: u32 = 4;
    pub const GRANTED: u32 = 5;
    pub const PROMISED: u32 = 6;
    pub const VIEW_EPOCH: u32 = 7;
    pub const FIT: u32 = 8;
    pub const VIEW: u32 = 9;
    pub const POSITION: u32 = 10;
    pub const RELEASED: u32 = 11;
    pub const DATA: u32 = 12;
    pub const SEQUENCE: u32 = 13;
    pub const STATE: u32 = 14;
    pub const COMPLETE: u32 = 15;
    pub const CHANGE: u32 = 16;
    pub const MEMBER: u32 = 17;
    pub const FIRST_BOOT: u32 = 18;
    pub const ATTEMPT: u32 = 19;
    pub const LEAVING: u32 = 20;
    pub const SETTLED: u32 = 21;
}

impl Encode for Message {
    fn encode(&self, to: &mut FieldWriter) {
        to.number(field::SENDER, self.sender.0);
        encode_body(&self.body, to);
    }
}

fn some<M: Encode>(to: &mut FieldWriter, field: u32, value: Option<&M>) {
    if let Some(value) = value {
        to.message(field, value);
    }
}

fn head(to: &mut FieldWriter, variant: u64, epoch: u64) {
    to.number(field::VARIANT, variant);
    to.number(field::EPOCH, epoch);
}

fn encode_body(body: &Body, to: &mut FieldWriter) {
    match body {
        Body::Heartbeat { epoch, sent } => {
            head(to, HEARTBEAT, *epoch);
            to.number(field::SENT, *sent);
        }
        Body::HeartbeatReply(HeartbeatReply {
            epoch,
            sent,
            granted,
            promised,
            view_epoch,
            healthy,
            shutting_down,
            activation_durable,
        }) => {
            head(to, ECHO, *epoch);
            to.number(field::SENT, *sent);
            to.truth(field::GRANTED, *granted);
            some(to, field::PROMISED, promised.as_ref());
            to.number(field::VIEW_EPOCH, *view_epoch);
            to.truth(field::FIT, *healthy);
            to.truth(field::LEAVING, *shutting_down);
            to.truth(field::SETTLED, *activation_durable);
        }
        Body::PreVote { epoch } => head(to, POLL, *epoch),
        Body::PreVoteReply(PreVoteReply { epoch, granted, promised, view }) => {
            head(to, POLL_REPLY, *epoch);
            to.truth(field::GRANTED, *granted);
            some(to, field::PROMISED, promised.as_ref());
            some(to, field::VIEW, view.as_ref());
        }
        Body::Prepare(Prepare { epoch, position, released }) => {
            head(to, PREPARE, *epoch);
            some(to, field::POSITION, position.as_ref());
            some(to, field::RELEASED, released.as_ref());
        }
        Body::Promise(Promise { epoch, view, position, data, healthy }) => {
            head(to, PROMISE, *epoch);
            some(to, field::VIEW, view.as_ref());
            some(to, field::POSITION, position.as_ref());
            some(to, field::DATA, data.as_ref());
            to.truth(field::FIT, *healthy);
        }
        Body::Reject(Reject { epoch, promised, view }) => {
            head(to, REFUSE, *epoch);
            some(to, field::PROMISED, promised.as_ref());
            some(to, field::VIEW, view.as_ref());
        }
        Body::InstallSnapshot(InstallSnapshot { epoch, sequence, source, attempt, state }) => {
            head(to, INSTALL, *epoch);
            to.number(field::SEQUENCE, *sequence);
            to.message(field::POSITION, source);
            to.number(field::ATTEMPT, *attempt);
            some(to, field::STATE, state.as_deref());
        }
        Body::SnapshotInstalled(SnapshotInstalled { epoch, complete, attempt }) => {
            head(to, INSTALLED, *epoch);
            to.number(field::ATTEMPT, *attempt);
            to.truth(field::COMPLETE, *complete);
        }
        Body::Accept { view } => {
            to.number(field::VARIANT, ACCEPT);
            to.message(field::VIEW, view);
        }
        Body::Accepted { epoch } => head(to, ACCEPTED, *epoch),
        Body::Replicate(Replicate { epoch, sequence, change }) => {
            head(to, REPLICATE, *epoch);
            to.number(field::SEQUENCE, *sequence);
            to.message(field::CHANGE, change);
        }
        Body::Replicated { epoch, sequence } => {
            head(to, REPLICATED, *epoch);
            to.number(field::SEQUENCE, *sequence);
        }
        Body::Join { member, first_boot } => {
            to.number(field::VARIANT, JOIN);
            to.message(field::MEMBER, member);
            to.truth(field::FIRST_BOOT, *first_boot);
        }
        Body::TransferLeadership { released } => {
            to.number(field::VARIANT, TAKE_OVER);
            to.message(field::RELEASED, released);
        }
    }
}

impl Decode for Message {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(Message { sender: ReplicaId(fields.number(field::SENDER)), body: decode_body(fields)? })
    }
}

fn decode_body(fields: &Fields<'_>) -> Result<Body, DecodeError> {
    const NAME: &str = "control message";
    let epoch = fields.number(field::EPOCH);
    let sent = fields.number(field::SENT);
    let sequence = fields.number(field::SEQUENCE);
    let attempt = fields.number(field::ATTEMPT);
    let granted = fields.truth(field::GRANTED);
    let healthy = fields.truth(field::FIT);
    Ok(match fields.number(field::VARIANT) {
        HEARTBEAT => Body::Heartbeat { epoch, sent },
        ECHO => {
            let promised = fields.some_message(field::PROMISED)?;
            let view_epoch = fields.number(field::VIEW_EPOCH);
            let shutting_down = fields.truth(field::LEAVING);
            let activation_durable = fields.truth(field::SETTLED);
            Body::HeartbeatReply(HeartbeatReply {
                epoch,
                sent,
                granted,
                promised,
                view_epoch,
                healthy,
                shutting_down,
                activation_durable,
            })
        }
        POLL => Body::PreVote { epoch },
        POLL_REPLY => Body::PreVoteReply(PreVoteReply {
            epoch,
            granted,
            promised: fields.some_message(field::PROMISED)?,
            view: fields.some_message(field::VIEW)?,
        }),
        PREPARE => Body::Prepare(Prepare {
            epoch,
            position: fields.some_message(field::POSITION)?,
            released: fields.some_message(field::RELEASED)?,
        }),
        PROMISE => Body::Promise(Promise {
            epoch,
            view: fields.some_message(field::VIEW)?,
            position: fields.some_message(field::POSITION)?,
            data: fields.some_message(field::DATA)?,
            healthy,
        }),
        REFUSE => Body::Reject(Reject {
            epoch,
            promised: fields.some_message(field::PROMISED)?,
            view: fields.some_message(field::VIEW)?,
        }),
        INSTALL => Body::InstallSnapshot(InstallSnapshot {
            epoch,
            sequence,
            source: fields.message(NAME, field::POSITION)?,
            attempt,
            state: fields.some_message::<ControlState>(field::STATE)?.map(Arc::new),
        }),
        INSTALLED => Body::SnapshotInstalled(SnapshotInstalled {
            epoch,
            complete: fields.truth(field::COMPLETE),
            attempt,
        }),
        ACCEPT => Body::Accept { view: fields.message(NAME, field::VIEW)? },
        ACCEPTED => Body::Accepted { epoch },
        REPLICATE => {
            Body::Replicate(Replicate { epoch, sequence, change: fields.message(NAME, field::CHANGE)? })
        }
        REPLICATED => Body::Replicated { epoch, sequence },
        JOIN => {
            let member = fields.message(NAME, field::MEMBER)?;
            Body::Join { member, first_boot: fields.truth(field::FIRST_BOOT) }
        }
        TAKE_OVER => Body::TransferLeadership { released: fields.message(NAME, field::RELEASED)? },
        variant => return UnknownVariantSnafu { message: NAME, variant }.fail(),
    })
}
