//! Every message is read as it was written, also from a later build, and no bytes are too wild to be refused.

mod common;

use std::{fmt::Debug, sync::Arc};

use common::*;
use googletest::prelude::*;
use gradepaddle_control::{
    ACCEPTED_HISTORY_ENTRIES, Change, ControlState, Data, KnownView, LogPosition, Member, ProposalNumber,
    Record, View,
};
use gradepaddle_proto::{
    Content, ControlCall, Decode, DecodeError, Encode, Envelope, FieldWriter, Forward, Forwarded, Identity,
    KeptPrompt, LoadShare, Registration, SessionBeat, SessionGrant, Weights,
};
use gradepaddle_spread::{Aged, Entry};
use proptest::collection::vec;
use proptest::prelude::{Strategy, any, prop_assert, prop_assert_eq, proptest};
use proptest::test_runner::TestCaseError;

/// A message is read as it was written, and also with unknown fields round it.
fn comes_back<M>(message: &M) -> std::result::Result<(), TestCaseError>
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
                    comes_back(&message)?;
                }
            )*
        }
    };
}

round_trips! {
    ballots_come_back: proposal_number(),
    positions_come_back: position(),
    members_come_back: member(),
    views_come_back: view(),
    known_views_come_back: known_view(),
    changes_come_back: change(),
    control_states_come_back: control_state(),
    data_come_back: data(),
    records_come_back: record(),
    control_messages_come_back: control_message(),
    entries_come_back: entry(),
    aged_items_come_back: aged(),
    spread_messages_come_back: spread_message(),
    identities_come_back: identity(),
    session_beats_come_back: session_beat(),
    session_grants_come_back: session_grant(),
    control_calls_come_back: control_call(),
    forwards_come_back: forward(),
    forwarded_answers_come_back: forwarded(),
    registrations_come_back: registration(),
    load_shares_come_back: load_share(),
    kept_prompts_come_back: kept_prompt(),
    envelopes_come_back: envelope(),
}

/// Reads bytes as every type there is. What is read can be written, and comes back the same.
fn read_as_everything(bytes: &[u8]) -> std::result::Result<(), TestCaseError> {
    stable::<ProposalNumber>(bytes)?;
    stable::<LogPosition>(bytes)?;
    stable::<Member>(bytes)?;
    stable::<View>(bytes)?;
    stable::<KnownView>(bytes)?;
    stable::<Change>(bytes)?;
    stable::<ControlState>(bytes)?;
    stable::<Data>(bytes)?;
    stable::<Record>(bytes)?;
    stable::<gradepaddle_control::Message>(bytes)?;
    stable::<Entry>(bytes)?;
    stable::<Aged>(bytes)?;
    stable::<gradepaddle_spread::Message>(bytes)?;
    stable::<Identity>(bytes)?;
    stable::<SessionBeat>(bytes)?;
    stable::<SessionGrant>(bytes)?;
    stable::<ControlCall>(bytes)?;
    stable::<Forward>(bytes)?;
    stable::<Forwarded>(bytes)?;
    stable::<Weights>(bytes)?;
    stable::<KeptPrompt>(bytes)?;
    stable::<LoadShare>(bytes)?;
    stable::<Registration>(bytes)?;
    stable::<Envelope>(bytes)
}

/// A message out of wild bytes may bear the address that is none, which is written as no address.
fn stable<M: Encode + Decode + PartialEq + Debug>(bytes: &[u8]) -> std::result::Result<(), TestCaseError> {
    let Ok(message) = M::from_bytes(bytes) else { return Ok(()) };
    match M::from_bytes(&message.to_bytes()) {
        Ok(again) => prop_assert_eq!(again, message),
        Err(error) => prop_assert!(matches!(error, DecodeError::Missing { .. }), "{error:?} of {message:?}"),
    }
    Ok(())
}

/// What may happen to a message on its way: its end is lost, or some of its bytes are others.
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
    fn random_bytes_are_read_or_refused(bytes in vec(any::<u8>(), 0..64)) {
        read_as_everything(&bytes)?;
    }

    #[test]
    fn mutated_envelopes_are_read_or_refused(bytes in mutated(envelope().prop_map(|m| m.to_bytes()))) {
        read_as_everything(&bytes)?;
    }

    #[test]
    fn mutated_records_are_read_or_refused(bytes in mutated(record().prop_map(|m| m.to_bytes()))) {
        read_as_everything(&bytes)?;
    }

    #[test]
    fn mutated_control_messages_are_read_or_refused(
        bytes in mutated(control_message().prop_map(|m| m.to_bytes()))
    ) {
        read_as_everything(&bytes)?;
    }

    #[test]
    fn mutated_spread_messages_are_read_or_refused(
        bytes in mutated(spread_message().prop_map(|m| m.to_bytes()))
    ) {
        read_as_everything(&bytes)?;
    }

    #[test]
    fn mutated_registrations_are_read_or_refused(bytes in mutated(registration().prop_map(|m| m.to_bytes()))) {
        read_as_everything(&bytes)?;
    }

    #[test]
    fn mutated_load_shares_are_read_or_refused(bytes in mutated(load_share().prop_map(|m| m.to_bytes()))) {
        read_as_everything(&bytes)?;
    }

    #[test]
    fn an_envelope_that_is_cut_anywhere_is_read_or_refused(envelope in envelope()) {
        let bytes = envelope.to_bytes();
        for end in 0..bytes.len() {
            // Without its last field, which bears the content, no envelope is whole.
            prop_assert!(Envelope::from_bytes(&bytes[..end]).is_err(), "cut behind {end} bytes");
        }
    }
}

/// A beat of a later build, whose identity tells more.
struct LaterBeat(SessionBeat);

impl Encode for LaterBeat {
    fn encode(&self, to: &mut FieldWriter) {
        to.message(1, &Later(self.0.identity.clone()));
        to.number(2, self.0.view_epoch);
    }
}

/// An envelope whose content is of a later build.
struct LaterEnvelope(SessionBeat);

impl Encode for LaterEnvelope {
    fn encode(&self, to: &mut FieldWriter) {
        to.address(1, self.0.identity.address);
        to.number(2, 3);
        to.message(3, &LaterBeat(self.0.clone()));
    }
}

proptest! {
    #![proptest_config(fixed())]

    #[test]
    fn unknown_fields_are_passed_over_at_every_depth(beat in session_beat()) {
        let envelope = Envelope::from_bytes(&LaterEnvelope(beat.clone()).to_bytes());
        prop_assert_eq!(
            envelope,
            Ok(Envelope { from: beat.identity.address, content: Content::SessionBeat(beat) })
        );
    }
}

/// A message that is nothing but the number of its variant.
struct Variant {
    field: u32,
    number: u64,
}

impl Encode for Variant {
    fn encode(&self, to: &mut FieldWriter) {
        to.some_number(self.field, Some(self.number));
    }
}

fn unknown_variant<M: Decode>(field: u32, number: u64) -> Option<u64> {
    match M::from_bytes(&Variant { field, number }.to_bytes()) {
        Err(DecodeError::UnknownVariant { variant, .. }) => Some(variant),
        _ => None,
    }
}

#[gtest]
fn a_variant_of_a_later_build_is_refused_by_its_number() {
    for number in [0, 99, u64::MAX] {
        expect_that!(unknown_variant::<Record>(1, number), some(eq(number)));
        expect_that!(unknown_variant::<Change>(1, number), some(eq(number)));
        expect_that!(unknown_variant::<gradepaddle_control::Message>(2, number), some(eq(number)));
        expect_that!(unknown_variant::<gradepaddle_spread::Message>(1, number), some(eq(number)));
        expect_that!(unknown_variant::<ControlCall>(1, number), some(eq(number)));
        expect_that!(unknown_variant::<Envelope>(2, number), some(eq(number)));
    }
}

#[gtest]
fn a_message_without_what_it_needs_is_refused() {
    let missing =
        |result: std::result::Result<(), DecodeError>| matches!(result, Err(DecodeError::Missing { .. }));
    expect_true!(missing(Member::from_bytes(&[]).map(drop)));
    expect_true!(missing(KnownView::from_bytes(&[]).map(drop)));
    expect_true!(missing(Data::from_bytes(&[]).map(drop)));
    expect_true!(missing(Identity::from_bytes(&[]).map(drop)));
    expect_true!(missing(SessionBeat::from_bytes(&[]).map(drop)));
    expect_true!(missing(Forward::from_bytes(&[]).map(drop)));
    expect_true!(missing(Registration::from_bytes(&[]).map(drop)));
}

/// The numbers of fields and variants are what two builds agree on; they must not change unseen.
#[gtest]
fn the_bytes_of_a_session_beat_stay_the_same() {
    let identity = Identity {
        address: "10.1.2.3:7640".parse().expect("an address"),
        incarnation: 300,
        name: "n1".into(),
        zone: "z".into(),
        replica: Some(0),
        first_boot: true,
    };
    let beat = SessionBeat { identity, view_epoch: 5 };
    let envelope = Envelope { from: beat.identity.address, content: Content::SessionBeat(beat) };
    let address = [0xd8, 0xbb, 0x8c, 0x90, 0x90, 0xc0, 0x02];
    let identity =
        [&[0x08][..], &address, &[0x10, 0xac, 0x02, 0x1a, 2, b'n', b'1', 0x22, 1, b'z', 0x28, 0, 0x30, 1]];
    let identity = identity.concat();
    let beat = [&[0x0a, identity.len() as u8][..], &identity, &[0x10, 5]].concat();
    let expected = [&[0x08][..], &address, &[0x10, 3, 0x1a, beat.len() as u8], &beat].concat();
    expect_that!(envelope.to_bytes(), eq(&expected));
}

/// What all remembered orders may add to the state, in bytes.
const HISTORY_AT_MOST: usize = 256 * 1024;

#[gtest]
fn a_full_memory_of_accepted_orders_survives_and_stays_small() {
    let put = |version: u64| Change::PutConfiguration {
        if_match: version - 1,
        version,
        body: Arc::from([]),
        fingerprint: u128::from(version) << 64 | 0xFEED,
    };
    let changes = 1..=ACCEPTED_HISTORY_ENTRIES as u64 + 5;
    let state = changes.fold(ControlState::default(), |state, version| state.after(&put(version)));
    let bytes = state.to_bytes();
    expect_that!(bytes.len(), lt(HISTORY_AT_MOST));
    println!("{ACCEPTED_HISTORY_ENTRIES} accepted orders: {} bytes", bytes.len());
    expect_that!(ControlState::from_bytes(&bytes), ok(eq(&state)));
}
