//! Messages between replicas.
//!
//! All variants share one set of field numbers ([`field`]): a field has the same meaning in every message.

use std::sync::Arc;

use gradepaddle_control::{
    Body, ControlState, HeartbeatReply, InstallSnapshot, Message, PreVoteReply, Prepare, Promise, Reject,
    ReplicaId, Replicate, SnapshotInstalled,
};

use crate::fields::{Decode, DecodeError, Encode, FieldWriter, Fields, UnknownVariantSnafu};

/// The message's name in errors.
const NAME: &str = "control message";

/// Field numbers of a message.
mod field {
    pub const SENDER: u32 = 1;
    pub const VARIANT: u32 = 2;
    pub const EPOCH: u32 = 3;
    pub const SENT: u32 = 4;
    pub const GRANTED: u32 = 5;
    pub const PROMISED: u32 = 6;
    pub const VIEW_EPOCH: u32 = 7;
    pub const HEALTHY: u32 = 8;
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
    pub const SHUTTING_DOWN: u32 = 20;
    pub const ACTIVATION_DURABLE: u32 = 21;
}

/// Variant numbers of a message, the values of [`field::VARIANT`].
mod variant {
    pub const HEARTBEAT: u64 = 1;
    pub const HEARTBEAT_REPLY: u64 = 2;
    pub const PRE_VOTE: u64 = 3;
    pub const PRE_VOTE_REPLY: u64 = 4;
    pub const PREPARE: u64 = 5;
    pub const PROMISE: u64 = 6;
    pub const REJECT: u64 = 7;
    pub const INSTALL_SNAPSHOT: u64 = 8;
    pub const SNAPSHOT_INSTALLED: u64 = 9;
    pub const ACCEPT: u64 = 10;
    pub const ACCEPTED: u64 = 11;
    pub const REPLICATE: u64 = 12;
    pub const REPLICATED: u64 = 13;
    pub const JOIN: u64 = 14;
    pub const TRANSFER_LEADERSHIP: u64 = 15;
}

/// A body with several fields. The trait keeps the encoding and decoding of a body next to each other.
trait BodyFields: Sized {
    /// The body's variant number.
    const VARIANT: u64;

    fn epoch(&self) -> u64;

    /// Writes the fields after sender, variant and epoch.
    fn encode_fields(&self, to: &mut FieldWriter);

    fn decode_fields(fields: &Fields<'_>, epoch: u64) -> Result<Self, DecodeError>;
}

impl BodyFields for HeartbeatReply {
    const VARIANT: u64 = variant::HEARTBEAT_REPLY;

    fn epoch(&self) -> u64 {
        self.epoch
    }

    fn encode_fields(&self, to: &mut FieldWriter) {
        to.uint64(field::SENT, self.sent);
        to.bool(field::GRANTED, self.granted);
        to.optional_message(field::PROMISED, self.promised.as_ref());
        to.uint64(field::VIEW_EPOCH, self.view_epoch);
        to.bool(field::HEALTHY, self.healthy);
        to.bool(field::SHUTTING_DOWN, self.shutting_down);
        to.bool(field::ACTIVATION_DURABLE, self.activation_durable);
    }

    fn decode_fields(fields: &Fields<'_>, epoch: u64) -> Result<Self, DecodeError> {
        Ok(HeartbeatReply {
            epoch,
            sent: fields.uint64(field::SENT),
            granted: fields.bool(field::GRANTED),
            promised: fields.optional_message(field::PROMISED)?,
            view_epoch: fields.uint64(field::VIEW_EPOCH),
            healthy: fields.bool(field::HEALTHY),
            shutting_down: fields.bool(field::SHUTTING_DOWN),
            activation_durable: fields.bool(field::ACTIVATION_DURABLE),
        })
    }
}

impl BodyFields for PreVoteReply {
    const VARIANT: u64 = variant::PRE_VOTE_REPLY;

    /// The epoch field of a pre-vote carries its round.
    fn epoch(&self) -> u64 {
        self.round
    }

    fn encode_fields(&self, to: &mut FieldWriter) {
        to.bool(field::GRANTED, self.granted);
        to.optional_message(field::PROMISED, self.promised.as_ref());
        to.optional_message(field::VIEW, self.view.as_ref());
    }

    fn decode_fields(fields: &Fields<'_>, epoch: u64) -> Result<Self, DecodeError> {
        Ok(PreVoteReply {
            round: epoch,
            granted: fields.bool(field::GRANTED),
            promised: fields.optional_message(field::PROMISED)?,
            view: fields.optional_message(field::VIEW)?,
        })
    }
}

impl BodyFields for Prepare {
    const VARIANT: u64 = variant::PREPARE;

    fn epoch(&self) -> u64 {
        self.epoch
    }

    fn encode_fields(&self, to: &mut FieldWriter) {
        to.optional_message(field::POSITION, self.position.as_ref());
        to.optional_message(field::RELEASED, self.released.as_ref());
    }

    fn decode_fields(fields: &Fields<'_>, epoch: u64) -> Result<Self, DecodeError> {
        Ok(Prepare {
            epoch,
            position: fields.optional_message(field::POSITION)?,
            released: fields.optional_message(field::RELEASED)?,
        })
    }
}

impl BodyFields for Promise {
    const VARIANT: u64 = variant::PROMISE;

    fn epoch(&self) -> u64 {
        self.epoch
    }

    fn encode_fields(&self, to: &mut FieldWriter) {
        to.optional_message(field::VIEW, self.view.as_ref());
        to.optional_message(field::POSITION, self.position.as_ref());
        to.optional_message(field::DATA, self.data.as_ref());
        to.bool(field::HEALTHY, self.healthy);
    }

    fn decode_fields(fields: &Fields<'_>, epoch: u64) -> Result<Self, DecodeError> {
        Ok(Promise {
            epoch,
            view: fields.optional_message(field::VIEW)?,
            position: fields.optional_message(field::POSITION)?,
            data: fields.optional_message(field::DATA)?,
            healthy: fields.bool(field::HEALTHY),
        })
    }
}

impl BodyFields for Reject {
    const VARIANT: u64 = variant::REJECT;

    fn epoch(&self) -> u64 {
        self.epoch
    }

    fn encode_fields(&self, to: &mut FieldWriter) {
        to.optional_message(field::PROMISED, self.promised.as_ref());
        to.optional_message(field::VIEW, self.view.as_ref());
    }

    fn decode_fields(fields: &Fields<'_>, epoch: u64) -> Result<Self, DecodeError> {
        Ok(Reject {
            epoch,
            promised: fields.optional_message(field::PROMISED)?,
            view: fields.optional_message(field::VIEW)?,
        })
    }
}

impl BodyFields for InstallSnapshot {
    const VARIANT: u64 = variant::INSTALL_SNAPSHOT;

    fn epoch(&self) -> u64 {
        self.epoch
    }

    fn encode_fields(&self, to: &mut FieldWriter) {
        to.uint64(field::SEQUENCE, self.sequence);
        to.message(field::POSITION, &self.source);
        to.uint64(field::ATTEMPT, self.attempt);
        to.optional_message(field::STATE, self.state.as_deref());
    }

    fn decode_fields(fields: &Fields<'_>, epoch: u64) -> Result<Self, DecodeError> {
        let state: Option<ControlState> = fields.optional_message(field::STATE)?;
        Ok(InstallSnapshot {
            epoch,
            sequence: fields.uint64(field::SEQUENCE),
            source: fields.message(NAME, field::POSITION)?,
            attempt: fields.uint64(field::ATTEMPT),
            state: state.map(Arc::new),
        })
    }
}

impl BodyFields for SnapshotInstalled {
    const VARIANT: u64 = variant::SNAPSHOT_INSTALLED;

    fn epoch(&self) -> u64 {
        self.epoch
    }

    fn encode_fields(&self, to: &mut FieldWriter) {
        to.uint64(field::ATTEMPT, self.attempt);
        to.bool(field::COMPLETE, self.complete);
    }

    fn decode_fields(fields: &Fields<'_>, epoch: u64) -> Result<Self, DecodeError> {
        Ok(SnapshotInstalled {
            epoch,
            complete: fields.bool(field::COMPLETE),
            attempt: fields.uint64(field::ATTEMPT),
        })
    }
}

impl BodyFields for Replicate {
    const VARIANT: u64 = variant::REPLICATE;

    fn epoch(&self) -> u64 {
        self.epoch
    }

    fn encode_fields(&self, to: &mut FieldWriter) {
        to.uint64(field::SEQUENCE, self.sequence);
        to.message(field::CHANGE, &self.change);
    }

    fn decode_fields(fields: &Fields<'_>, epoch: u64) -> Result<Self, DecodeError> {
        Ok(Replicate {
            epoch,
            sequence: fields.uint64(field::SEQUENCE),
            change: fields.message(NAME, field::CHANGE)?,
        })
    }
}

fn write_header(to: &mut FieldWriter, variant: u64, epoch: u64) {
    to.uint64(field::VARIANT, variant);
    to.uint64(field::EPOCH, epoch);
}

fn encode_body<B: BodyFields>(to: &mut FieldWriter, body: &B) {
    write_header(to, B::VARIANT, body.epoch());
    body.encode_fields(to);
}

impl Encode for Message {
    fn encode(&self, to: &mut FieldWriter) {
        to.uint64(field::SENDER, self.sender.0);
        match &self.body {
            Body::Heartbeat { epoch, sent } => {
                write_header(to, variant::HEARTBEAT, *epoch);
                to.uint64(field::SENT, *sent);
            }
            Body::HeartbeatReply(reply) => encode_body(to, reply),
            Body::PreVote { round } => write_header(to, variant::PRE_VOTE, *round),
            Body::PreVoteReply(reply) => encode_body(to, reply),
            Body::Prepare(prepare) => encode_body(to, prepare),
            Body::Promise(promise) => encode_body(to, promise),
            Body::Reject(reject) => encode_body(to, reject),
            Body::InstallSnapshot(install) => encode_body(to, install),
            Body::SnapshotInstalled(installed) => encode_body(to, installed),
            Body::Accept { view } => {
                to.uint64(field::VARIANT, variant::ACCEPT);
                to.message(field::VIEW, view);
            }
            Body::Accepted { epoch } => write_header(to, variant::ACCEPTED, *epoch),
            Body::Replicate(replicate) => encode_body(to, replicate),
            Body::Replicated { epoch, sequence } => {
                write_header(to, variant::REPLICATED, *epoch);
                to.uint64(field::SEQUENCE, *sequence);
            }
            Body::Join { member, first_boot } => {
                to.uint64(field::VARIANT, variant::JOIN);
                to.message(field::MEMBER, member);
                to.bool(field::FIRST_BOOT, *first_boot);
            }
            Body::TransferLeadership { released } => {
                to.uint64(field::VARIANT, variant::TRANSFER_LEADERSHIP);
                to.message(field::RELEASED, released);
            }
        }
    }
}

impl Decode for Message {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(Message { sender: ReplicaId(fields.uint64(field::SENDER)), body: decode_body(fields)? })
    }
}

fn decode_body(fields: &Fields<'_>) -> Result<Body, DecodeError> {
    let epoch = fields.uint64(field::EPOCH);
    Ok(match fields.uint64(field::VARIANT) {
        variant::HEARTBEAT => Body::Heartbeat { epoch, sent: fields.uint64(field::SENT) },
        variant::HEARTBEAT_REPLY => Body::HeartbeatReply(BodyFields::decode_fields(fields, epoch)?),
        variant::PRE_VOTE => Body::PreVote { round: epoch },
        variant::PRE_VOTE_REPLY => Body::PreVoteReply(BodyFields::decode_fields(fields, epoch)?),
        variant::PREPARE => Body::Prepare(BodyFields::decode_fields(fields, epoch)?),
        variant::PROMISE => Body::Promise(BodyFields::decode_fields(fields, epoch)?),
        variant::REJECT => Body::Reject(BodyFields::decode_fields(fields, epoch)?),
        variant::INSTALL_SNAPSHOT => Body::InstallSnapshot(BodyFields::decode_fields(fields, epoch)?),
        variant::SNAPSHOT_INSTALLED => Body::SnapshotInstalled(BodyFields::decode_fields(fields, epoch)?),
        variant::ACCEPT => Body::Accept { view: fields.message(NAME, field::VIEW)? },
        variant::ACCEPTED => Body::Accepted { epoch },
        variant::REPLICATE => Body::Replicate(BodyFields::decode_fields(fields, epoch)?),
        variant::REPLICATED => Body::Replicated { epoch, sequence: fields.uint64(field::SEQUENCE) },
        variant::JOIN => Body::Join {
            member: fields.message(NAME, field::MEMBER)?,
            first_boot: fields.bool(field::FIRST_BOOT),
        },
        variant::TRANSFER_LEADERSHIP => {
            Body::TransferLeadership { released: fields.message(NAME, field::RELEASED)? }
        }
        variant => return UnknownVariantSnafu { message: NAME, variant }.fail(),
    })
}
