//! The replicated state, its changes, views and log positions.

use std::collections::BTreeMap;
use std::sync::Arc;

use gradepaddle_control::{
    AcceptedConfiguration, AcceptedHistory, Change, ControlState, Data, Fingerprint, KnownView, LogPosition,
    Member, ProposalNumber, ReplicaId, StoredConfiguration, View,
};

use crate::fields::{Decode, DecodeError, Encode, FieldWriter, Fields, UnknownVariantSnafu};

impl Encode for ProposalNumber {
    fn encode(&self, to: &mut FieldWriter) {
        to.uint64(1, self.epoch);
        to.uint64(2, self.candidate.0);
    }
}

impl Decode for ProposalNumber {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(ProposalNumber { epoch: fields.uint64(1), candidate: ReplicaId(fields.uint64(2)) })
    }
}

impl Encode for LogPosition {
    fn encode(&self, to: &mut FieldWriter) {
        to.uint64(1, self.epoch);
        to.uint64(2, self.sequence);
    }
}

impl Decode for LogPosition {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(LogPosition { epoch: fields.uint64(1), sequence: fields.uint64(2) })
    }
}

impl Encode for Member {
    fn encode(&self, to: &mut FieldWriter) {
        to.uint64(1, self.id.0);
        to.address(2, self.address);
        to.string(3, &self.zone);
    }
}

impl Decode for Member {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(Member {
            id: ReplicaId(fields.uint64(1)),
            address: fields.address("member", 2)?,
            zone: fields.string(3),
        })
    }
}

impl Encode for View {
    fn encode(&self, to: &mut FieldWriter) {
        to.uint64(1, self.epoch);
        to.repeated_messages(2, &self.members);
        to.repeated_messages(3, &self.previous_members);
        to.uint64(4, self.primary.0);
        self.backups.iter().for_each(|backup| to.optional_uint64(5, Some(backup.0)));
        to.uint64(6, self.target_size as u64);
    }
}

impl Decode for View {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(View {
            epoch: fields.uint64(1),
            members: fields.repeated_messages(2)?,
            previous_members: fields.repeated_messages(3)?,
            primary: ReplicaId(fields.uint64(4)),
            backups: fields.repeated_uint64(5).map(ReplicaId).collect(),
            target_size: fields.uint64(6) as usize,
        })
    }
}

impl Encode for KnownView {
    fn encode(&self, to: &mut FieldWriter) {
        to.message(1, &*self.view);
        to.bool(2, self.active);
    }
}

impl Decode for KnownView {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        let view: View = fields.message("known view", 1)?;
        Ok(KnownView { view: Arc::new(view), active: fields.bool(2) })
    }
}

/// Variant numbers of [`Change`].
const PUT_CONFIGURATION: u64 = 1;
const NAME_VERSION: u64 = 2;

impl Encode for Change {
    fn encode(&self, to: &mut FieldWriter) {
        match self {
            Change::PutConfiguration { if_match, version, body, fingerprint } => {
                to.uint64(1, PUT_CONFIGURATION);
                to.uint64(2, *if_match);
                to.uint64(3, *version);
                to.bytes(4, body);
                to.bytes(5, &fingerprint.to_le_bytes());
            }
            Change::NameVersion { model, version } => {
                to.uint64(1, NAME_VERSION);
                to.uint64(3, *version);
                to.string(6, model);
            }
        }
    }
}

impl Decode for Change {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(match fields.uint64(1) {
            PUT_CONFIGURATION => Change::PutConfiguration {
                if_match: fields.uint64(2),
                version: fields.uint64(3),
                body: Arc::from(fields.bytes(4)),
                fingerprint: fingerprint(fields.bytes(5))?,
            },
            NAME_VERSION => {
                Change::NameVersion { model: fields.string(6).to_string(), version: fields.uint64(3) }
            }
            variant => return UnknownVariantSnafu { message: "change", variant }.fail(),
        })
    }
}

/// Decodes a fingerprint from its 16 bytes, little-endian.
fn fingerprint(bytes: &[u8]) -> Result<Fingerprint, DecodeError> {
    bytes.try_into().map(Fingerprint::from_le_bytes).map_err(|_| DecodeError::Malformed)
}

impl Encode for StoredConfiguration {
    fn encode(&self, to: &mut FieldWriter) {
        to.uint64(1, self.version);
        to.bytes(2, &self.body);
        to.bytes(3, &self.fingerprint.to_le_bytes());
    }
}

impl Decode for StoredConfiguration {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(StoredConfiguration {
            version: fields.uint64(1),
            body: Arc::from(fields.bytes(2)),
            fingerprint: fingerprint(fields.bytes(3))?,
        })
    }
}

/// A model with the newest announced version of its weights: an entry of [`ControlState::models`].
struct AnnouncedVersion {
    model: String,
    version: u64,
}

impl Encode for AnnouncedVersion {
    fn encode(&self, to: &mut FieldWriter) {
        to.string(1, &self.model);
        to.uint64(2, self.version);
    }
}

impl Decode for AnnouncedVersion {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(AnnouncedVersion { model: fields.string(1).to_string(), version: fields.uint64(2) })
    }
}

impl Encode for AcceptedConfiguration {
    fn encode(&self, to: &mut FieldWriter) {
        to.uint64(1, self.version);
        to.bytes(2, &self.fingerprint.to_le_bytes());
    }
}

impl Decode for AcceptedConfiguration {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(AcceptedConfiguration { version: fields.uint64(1), fingerprint: fingerprint(fields.bytes(2))? })
    }
}

impl Encode for ControlState {
    fn encode(&self, to: &mut FieldWriter) {
        to.optional_message(1, self.configuration.as_ref());
        self.accepted.iter().for_each(|accepted| to.message(2, accepted));
        for (model, version) in &self.models {
            to.message(3, &AnnouncedVersion { model: model.clone(), version: *version });
        }
        to.uint64(4, self.accepted.truncated_through());
    }
}

impl Decode for ControlState {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        let accepted = AcceptedHistory::new(fields.repeated_messages(2)?, fields.uint64(4));
        let announced: Vec<AnnouncedVersion> = fields.repeated_messages(3)?;
        let models: BTreeMap<String, u64> =
            announced.into_iter().map(|entry| (entry.model, entry.version)).collect();
        Ok(ControlState { configuration: fields.optional_message(1)?, accepted, models })
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
