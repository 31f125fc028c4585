//! Every message round-trips, even with unknown fields of a later build, and arbitrary bytes are decoded or rejected.

mod common;

use std::{fmt::Debug, sync::Arc};

use common::*;
use googletest::prelude::*;
use gradepaddle_control::{
    ACCEPTED_HISTORY_ENTRIES, Change, ControlState, Data, KnownView, LogPosition, Member, ProposalNumber,
    Record, View,
};
use gradepaddle_gossip::{AgedItem, Entry};
use gradepaddle_proto::{
    CachedPrefix, Content, ControlCall, Decode, DecodeError, Encode, Envelope, FieldWriter, ForwardedCall,
    ForwardedReply, Identity, ModelVersion, PeerLoadReport, Registration, SessionHeartbeat,
    SessionHeartbeatReply,
};
use proptest::collection::vec;
use proptest::prelude::{Strategy, any, prop_assert, prop_assert_eq, proptest};
use proptest::test_runner::TestCaseError;

/// Checks that a message round-trips, alone and surrounded by unknown fields.
fn check_round_trip<M>(message: &M) -> std::result::Result<(), TestCaseError>
where
    M: Encode + Decode + PartialEq + Debug + Clone,
{
    let written = message.to_bytes();
    prop_assert_eq!(M::from_bytes(&written), Ok(message.clone()));
    let later = Later(message.clone()).to_bytes();
    prop_assert!(later.len() > written.len());
    prop_assert_eq!(M::from_bytes(&later), Ok(message.clone()));
    let with_fixed = [fixed_fields(), written, fixed_fields()].concat();
    prop_assert_eq!(M::from_bytes(&with_fixed), Ok(message.clone()));
    Ok(())
}

macro_rules! round_trips {
    ($($test:ident: $strategy:expr,)*) => {
        proptest! {
            #![proptest_config(fixed())]
            $(
                #[test]
                fn $test(message in $strategy) {
                    check_round_trip(&message)?;
                }
            )*
        }
    };
}

round_trips! {
    proposal_numbers_round_trip: proposal_number(),
    log_positions_round_trip: position(),
    members_round_trip: member(),
    views_round_trip: view(),
    known_views_round_trip: known_view(),
    changes_round_trip: change(),
    control_states_round_trip: control_state(),
    data_round_trip: data(),
    records_round_trip: record(),
    control_messages_round_trip: control_message(),
    entries_round_trip: entry(),
    aged_items_round_trip: aged(),
    gossip_messages_round_trip: gossip_message(),
    identities_round_trip: identity(),
    session_heartbeats_round_trip: session_heartbeat(),
    session_heartbeat_replies_round_trip: session_heartbeat_reply(),
    control_calls_round_trip: control_call(),
    forwarded_calls_round_trip: forwarded_call(),
    forwarded_replies_round_trip: forwarded_reply(),
    registrations_round_trip: registration(),
    peer_load_reports_round_trip: peer_load_report(),
    cached_prefixes_round_trip: cached_prefix(),
    envelopes_round_trip: envelope(),
}

/// Decodes bytes as every type. A message that can be decoded must be equal after encoding and decoding it again.
fn decode_as_every_type(bytes: &[u8]) -> std::result::Result<(), TestCaseError> {
    check_reencoding::<ProposalNumber>(bytes)?;
    check_reencoding::<LogPosition>(bytes)?;
    check_reencoding::<Member>(bytes)?;
    check_reencoding::<View>(bytes)?;
    check_reencoding::<KnownView>(bytes)?;
    check_reencoding::<Change>(bytes)?;
    check_reencoding::<ControlState>(bytes)?;
    check_reencoding::<Data>(bytes)?;
    check_reencoding::<Record>(bytes)?;
    check_reencoding::<gradepaddle_control::Message>(bytes)?;
    check_reencoding::<Entry>(bytes)?;
    check_reencoding::<AgedItem>(bytes)?;
    check_reencoding::<gradepaddle_gossip::Message>(bytes)?;
    check_reencoding::<Identity>(bytes)?;
    check_reencoding::<SessionHeartbeat>(bytes)?;
    check_reencoding::<SessionHeartbeatReply>(bytes)?;
    check_reencoding::<ControlCall>(bytes)?;
    check_reencoding::<ForwardedCall>(bytes)?;
    check_reencoding::<ForwardedReply>(bytes)?;
    check_reencoding::<ModelVersion>(bytes)?;
    check_reencoding::<CachedPrefix>(bytes)?;
    check_reencoding::<PeerLoadReport>(bytes)?;
    check_reencoding::<Registration>(bytes)?;
    check_reencoding::<Envelope>(bytes)
}

/// Checks that a decoded message is equal after encoding and decoding it again. A message decoded from random bytes may
/// have the address 0.0.0.0:0, which is omitted by the encoding, so a missing field is accepted.
fn check_reencoding<M: Encode + Decode + PartialEq + Debug>(
    bytes: &[u8],
) -> std::result::Result<(), TestCaseError> {
    let Ok(message) = M::from_bytes(bytes) else { return Ok(()) };
    match M::from_bytes(&message.to_bytes()) {
        Ok(again) => prop_assert_eq!(again, message),
        Err(error) => prop_assert!(matches!(error, DecodeError::Missing { .. }), "{error:?} of {message:?}"),
    }
    Ok(())
}

/// Corrupts a message: truncates it, or replaces some of its bytes.
fn mutated(message: impl Strategy<Value = Vec<u8>>) -> impl Strategy<Value = Vec<u8>> {
    let changes = vec((any::<proptest::sample::Index>(), any::<u8>()), 0..4);
    (message, changes, any::<proptest::sample::Index>(), any::<bool>()).prop_map(
        |(mut bytes, changes, end, cut)| {
            if !bytes.is_empty() {
                changes.into_iter().for_each(|(at, byte)| *at.get_mut(&mut bytes) = byte);
            }
            if cut {
                bytes.truncate(end.index(bytes.len() + 1));
            }
            bytes
        },
    )
}

proptest! {
    #![proptest_config(fixed())]

    #[test]
    fn random_bytes_are_decoded_or_rejected(bytes in vec(any::<u8>(), 0..64)) {
        decode_as_every_type(&bytes)?;
    }

    #[test]
    fn mutated_envelopes_are_decoded_or_rejected(bytes in mutated(envelope().prop_map(|m| m.to_bytes()))) {
        decode_as_every_type(&bytes)?;
    }

    #[test]
    fn mutated_records_are_decoded_or_rejected(bytes in mutated(record().prop_map(|m| m.to_bytes()))) {
        decode_as_every_type(&bytes)?;
    }

    #[test]
    fn mutated_control_messages_are_decoded_or_rejected(
        bytes in mutated(control_message().prop_map(|m| m.to_bytes()))
    ) {
        decode_as_every_type(&bytes)?;
    }

    #[test]
    fn mutated_gossip_messages_are_decoded_or_rejected(
        bytes in mutated(gossip_message().prop_map(|m| m.to_bytes()))
    ) {
        decode_as_every_type(&bytes)?;
    }

    #[test]
    fn mutated_registrations_are_decoded_or_rejected(bytes in mutated(registration().prop_map(|m| m.to_bytes()))) {
        decode_as_every_type(&bytes)?;
    }

    #[test]
    fn mutated_peer_load_reports_are_decoded_or_rejected(bytes in mutated(peer_load_report().prop_map(|m| m.to_bytes()))) {
        decode_as_every_type(&bytes)?;
    }

    #[test]
    fn a_truncated_envelope_is_rejected(envelope in envelope()) {
        let bytes = envelope.to_bytes();
        for end in 0..bytes.len() {
            // The content is the last field, so every truncated envelope lacks it.
            prop_assert!(Envelope::from_bytes(&bytes[..end]).is_err(), "truncated after {end} bytes");
        }
    }
}

/// A heartbeat of a later build, whose identity has more fields.
struct LaterHeartbeat(SessionHeartbeat);

impl Encode for LaterHeartbeat {
    fn encode(&self, to: &mut FieldWriter) {
        to.message(1, &Later(self.0.identity.clone()));
        to.uint64(2, self.0.view_epoch);
    }
}

/// An envelope whose content is of a later build.
struct LaterEnvelope(SessionHeartbeat);

impl Encode for LaterEnvelope {
    fn encode(&self, to: &mut FieldWriter) {
        to.address(1, self.0.identity.address);
        to.uint64(2, 3);
        to.message(3, &LaterHeartbeat(self.0.clone()));
    }
}

proptest! {
    #![proptest_config(fixed())]

    #[test]
    fn unknown_fields_are_skipped_at_every_depth(beat in session_heartbeat()) {
        let envelope = Envelope::from_bytes(&LaterEnvelope(beat.clone()).to_bytes());
        prop_assert_eq!(
            envelope,
            Ok(Envelope { from: beat.identity.address, content: Content::SessionHeartbeat(beat) })
        );
    }
}

/// A message that consists only of its variant number.
struct Variant {
    field: u32,
    number: u64,
}

impl Encode for Variant {
    fn encode(&self, to: &mut FieldWriter) {
        to.optional_uint64(self.field, Some(self.number));
    }
}

fn unknown_variant<M: Decode>(field: u32, number: u64) -> Option<u64> {
    match M::from_bytes(&Variant { field, number }.to_bytes()) {
        Err(DecodeError::UnknownVariant { variant, .. }) => Some(variant),
        _ => None,
    }
}

#[gtest]
fn a_variant_of_a_later_build_is_rejected_by_its_number() {
    for number in [0, 99, u64::MAX] {
        expect_that!(unknown_variant::<Record>(1, number), some(eq(number)));
        expect_that!(unknown_variant::<Change>(1, number), some(eq(number)));
        expect_that!(unknown_variant::<gradepaddle_control::Message>(2, number), some(eq(number)));
        expect_that!(unknown_variant::<gradepaddle_gossip::Message>(1, number), some(eq(number)));
        expect_that!(unknown_variant::<ControlCall>(1, number), some(eq(number)));
        expect_that!(unknown_variant::<Envelope>(2, number), some(eq(number)));
    }
}

#[gtest]
fn a_message_without_a_required_field_is_rejected() {
    let missing =
        |result: std::result::Result<(), DecodeError>| matches!(result, Err(DecodeError::Missing { .. }));
    expect_true!(missing(Member::from_bytes(&[]).map(drop)));
    expect_true!(missing(KnownView::from_bytes(&[]).map(drop)));
    expect_true!(missing(Data::from_bytes(&[]).map(drop)));
    expect_true!(missing(Identity::from_bytes(&[]).map(drop)));
    expect_true!(missing(SessionHeartbeat::from_bytes(&[]).map(drop)));
    expect_true!(missing(ForwardedCall::from_bytes(&[]).map(drop)));
    expect_true!(missing(Registration::from_bytes(&[]).map(drop)));
}

/// Field and variant numbers are shared by different builds, so they must not change by accident.
#[gtest]
fn the_bytes_of_a_session_heartbeat_stay_the_same() {
    let identity = Identity {
        address: "10.1.2.3:7640".parse().expect("an address"),
        incarnation: 300,
        name: "n1".into(),
        zone: "z".into(),
        replica: Some(0),
        first_boot: true,
    };
    let beat = SessionHeartbeat { identity, view_epoch: 5 };
    let envelope = Envelope { from: beat.identity.address, content: Content::SessionHeartbeat(beat) };
    let address = [0xd8, 0xbb, 0x8c, 0x90, 0x90, 0xc0, 0x02];
    let identity =
        [&[0x08][..], &address, &[0x10, 0xac, 0x02, 0x1a, 2, b'n', b'1', 0x22, 1, b'z', 0x28, 0, 0x30, 1]];
    let identity = identity.concat();
    let beat = [&[0x0a, identity.len() as u8][..], &identity, &[0x10, 5]].concat();
    let expected = [&[0x08][..], &address, &[0x10, 3, 0x1a, beat.len() as u8], &beat].concat();
    expect_that!(envelope.to_bytes(), eq(&expected));
}

/// The most that a full history may add to the encoded state, in bytes.
const MAX_HISTORY_BYTES: usize = 256 * 1024;

#[gtest]
fn a_full_history_of_accepted_configurations_round_trips_and_stays_small() {
    let put = |version: u64| Change::PutConfiguration {
        if_match: version - 1,
        version,
        body: Arc::from([]),
        fingerprint: u128::from(version) << 64 | 0xFEED,
    };
    let changes = 1..=ACCEPTED_HISTORY_ENTRIES as u64 + 5;
    let state = changes.fold(ControlState::default(), |state, version| state.after(&put(version)));
    let bytes = state.to_bytes();
    expect_that!(bytes.len(), lt(MAX_HISTORY_BYTES));
    println!("{ACCEPTED_HISTORY_ENTRIES} accepted configurations: {} bytes", bytes.len());
    expect_that!(ControlState::from_bytes(&bytes), ok(eq(&state)));
}
