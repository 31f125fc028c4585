//! Arbitrary messages of every type.
#![allow(dead_code, reason = "each test file uses a chunk")]

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use gradepaddle_control::{
    AcceptedConfiguration, AcceptedHistory, Body, Change, ControlState, Data, HeartbeatReply,
    InstallSnapshot, KnownView, LogPosition, Member, Message, PreVoteReply, Prepare, Promise, ProposalNumber,
    Record, Reject, ReplicaId, Replicate, SnapshotInstalled, StoredConfiguration, View,
};
use gradepaddle_gossip::{
    AgedItem, Block, BlockRefusal, BlockRequest, EncodingId, Entry, Item, Kind, Offer, RangeDigest,
    RangeEntries, RefusalReason, Stamp,
};
use gradepaddle_proto::{
    CacheStoreReport, CachedPrefix, Content, ControlCall, Encode, Envelope, FieldWriter, ForwardedCall,
    ForwardedReply, Identity, ModelVersion, PeerLoadReport, PromptChunk, Registration, ServerLoad,
    SessionHeartbeat, SessionHeartbeatReply, VersionQuery, VersionReply, ViewSummary,
};
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::{BoxedStrategy, Just, Strategy, any, prop_oneof};
use proptest::test_runner::{Config, RngSeed};

/// A configuration with a fixed seed and without files of failed cases.
pub fn fixed() -> Config {
    Config { rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..Config::default() }
}

/// Numbers of all encoded lengths, including both ends of the range.
pub fn number() -> impl Strategy<Value = u64> + Clone {
    prop_oneof![
        Just(0),
        Just(u64::MAX),
        0..300_u64,
        (any::<u64>(), 0..64_u32).prop_map(|(number, less)| number >> less)
    ]
}

/// Any address with a nonzero port, since 0.0.0.0:0 is omitted by the encoding.
pub fn address() -> impl Strategy<Value = SocketAddrV4> + Clone {
    (any::<u32>(), 1..=u16::MAX).prop_map(|(ip, port)| SocketAddrV4::new(Ipv4Addr::from(ip), port))
}

pub fn text() -> impl Strategy<Value = String> + Clone {
    prop_oneof![Just(String::new()), "[a-z0-9-]{1,12}", "\\PC{0,6}"]
}

pub fn name() -> impl Strategy<Value = Arc<str>> + Clone {
    text().prop_map(Arc::from)
}

pub fn bytes() -> impl Strategy<Value = Arc<[u8]>> + Clone {
    vec(any::<u8>(), 0..200).prop_map(Arc::from)
}

fn replica() -> impl Strategy<Value = ReplicaId> + Clone {
    number().prop_map(ReplicaId)
}

pub fn proposal_number() -> impl Strategy<Value = ProposalNumber> + Clone {
    (number(), replica()).prop_map(|(epoch, candidate)| ProposalNumber { epoch, candidate })
}

pub fn position() -> impl Strategy<Value = LogPosition> + Clone {
    (number(), number()).prop_map(|(epoch, sequence)| LogPosition { epoch, sequence })
}

pub fn member() -> BoxedStrategy<Member> {
    (replica(), address(), name()).prop_map(|(id, address, zone)| Member { id, address, zone }).boxed()
}

pub fn view() -> BoxedStrategy<View> {
    let lists = (vec(member(), 0..5), vec(member(), 0..4), vec(replica(), 0..4));
    (number(), lists, replica(), 0..100_usize)
        .prop_map(|(epoch, (members, previous_members, backups), primary, target_size)| View {
            epoch,
            members,
            previous_members,
            primary,
            backups,
            target_size,
        })
        .boxed()
}

pub fn known_view() -> BoxedStrategy<KnownView> {
    (view(), any::<bool>()).prop_map(|(view, active)| KnownView { view: Arc::new(view), active }).boxed()
}

pub fn change() -> BoxedStrategy<Change> {
    let put = (number(), number(), bytes(), any::<u128>());
    let put = put.prop_map(|(if_match, version, body, fingerprint)| Change::PutConfiguration {
        if_match,
        version,
        body,
        fingerprint,
    });
    let named = (text(), number()).prop_map(|(model, version)| Change::NameVersion { model, version });
    prop_oneof![put, named].boxed()
}

fn stored_configuration() -> BoxedStrategy<StoredConfiguration> {
    (number(), bytes(), any::<u128>())
        .prop_map(|(version, body, fingerprint)| StoredConfiguration { version, body, fingerprint })
        .boxed()
}

pub fn control_state() -> BoxedStrategy<ControlState> {
    let accepted = (number(), prop_oneof![Just(0), any::<u128>()])
        .prop_map(|(version, fingerprint)| AcceptedConfiguration { version, fingerprint });
    let accepted = (vec(accepted, 0..8), number())
        .prop_map(|(latest, forgotten)| AcceptedHistory::new(latest, forgotten));
    let models = vec((text(), number()), 0..5);
    (option::of(stored_configuration()), accepted, models)
        .prop_map(|(configuration, accepted, models)| ControlState {
            configuration,
            accepted,
            models: BTreeMap::from_iter(models),
        })
        .boxed()
}

pub fn data() -> BoxedStrategy<Data> {
    (position(), control_state())
        .prop_map(|(position, state)| Data { position, state: Arc::new(state) })
        .boxed()
}

pub fn record() -> BoxedStrategy<Record> {
    prop_oneof![
        proposal_number().prop_map(Record::Promise),
        known_view().prop_map(Record::View),
        data().prop_map(Record::Snapshot),
        (position(), change()).prop_map(|(position, change)| Record::Changed { position, change }),
        position().prop_map(Record::Moved),
        Just(Record::SnapshotDiscarded),
    ]
    .boxed()
}

fn lease_body() -> BoxedStrategy<Body> {
    let health = (any::<bool>(), any::<bool>(), any::<bool>());
    let echo = (number(), number(), any::<bool>(), option::of(proposal_number()), number(), health);
    prop_oneof![
        (number(), number()).prop_map(|(epoch, sent)| Body::Heartbeat { epoch, sent }),
        echo.prop_map(
            |(epoch, sent, granted, promised, view_epoch, (healthy, shutting_down, activation_durable))| {
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
        ),
        number().prop_map(|round| Body::PreVote { round }),
        (number(), any::<bool>(), option::of(proposal_number()), option::of(known_view())).prop_map(
            |(round, granted, promised, view)| Body::PreVoteReply(PreVoteReply {
                round,
                granted,
                promised,
                view
            })
        ),
    ]
    .boxed()
}

fn election_body() -> BoxedStrategy<Body> {
    let prepare = (number(), option::of(position()), option::of(proposal_number()));
    let promise =
        (number(), option::of(known_view()), option::of(position()), option::of(data()), any::<bool>());
    let refuse = (number(), option::of(proposal_number()), option::of(known_view()));
    prop_oneof![
        prepare.prop_map(|(epoch, position, released)| Body::Prepare(Prepare { epoch, position, released })),
        promise.prop_map(|(epoch, view, position, data, healthy)| Body::Promise(Promise {
            epoch,
            view,
            position,
            data,
            healthy,
        })),
        refuse.prop_map(|(epoch, promised, view)| Body::Reject(Reject { epoch, promised, view })),
    ]
    .boxed()
}

fn view_body() -> BoxedStrategy<Body> {
    let install = (number(), number(), position(), number(), option::of(control_state()));
    prop_oneof![
        install.prop_map(|(epoch, sequence, source, attempt, state)| Body::InstallSnapshot(
            InstallSnapshot { epoch, sequence, source, attempt, state: state.map(Arc::new) }
        )),
        (number(), any::<bool>(), number()).prop_map(|(epoch, complete, attempt)| Body::SnapshotInstalled(
            SnapshotInstalled { epoch, complete, attempt }
        )),
        known_view().prop_map(|view| Body::Accept { view }),
        number().prop_map(|epoch| Body::Accepted { epoch }),
        (number(), number(), change()).prop_map(|(epoch, sequence, change)| Body::Replicate(Replicate {
            epoch,
            sequence,
            change
        })),
        (number(), number()).prop_map(|(epoch, sequence)| Body::Replicated { epoch, sequence }),
        (member(), any::<bool>()).prop_map(|(member, first_boot)| Body::Join { member, first_boot }),
        proposal_number().prop_map(|released| Body::TransferLeadership { released }),
    ]
    .boxed()
}

pub fn control_message() -> BoxedStrategy<Message> {
    let body = prop_oneof![lease_body(), election_body(), view_body()];
    (replica(), body).prop_map(|(sender, body)| Message { sender, body }).boxed()
}

pub fn entry() -> BoxedStrategy<Entry> {
    (any::<u8>(), name(), number(), number())
        .prop_map(|(kind, key, major, minor)| Entry { kind: Kind(kind), key, stamp: Stamp { major, minor } })
        .boxed()
}

pub fn aged() -> BoxedStrategy<AgedItem> {
    (entry(), bytes(), any::<bool>(), any::<u32>())
        .prop_map(|(entry, payload, removed, age_ms)| AgedItem {
            item: Item { kind: entry.kind, key: entry.key, stamp: entry.stamp, payload, removed },
            age_ms,
        })
        .boxed()
}

fn range_digest() -> impl Strategy<Value = RangeDigest> + Clone {
    (any::<u16>(), number()).prop_map(|(index, hash)| RangeDigest { index, hash })
}

fn range_entries() -> impl Strategy<Value = RangeEntries> + Clone {
    (any::<u16>(), vec(entry(), 0..5)).prop_map(|(index, entries)| RangeEntries { index, entries })
}

fn encoding() -> impl Strategy<Value = EncodingId> + Clone {
    (any::<u32>(), any::<u32>()).prop_map(|(bytes, checksum)| EncodingId { bytes, checksum })
}

fn offer() -> impl Strategy<Value = Offer> + Clone {
    (entry(), option::of(encoding())).prop_map(|(entry, encoding)| Offer { entry, encoding })
}

pub fn gossip_message() -> BoxedStrategy<gradepaddle_gossip::Message> {
    use gradepaddle_gossip::Message;
    let push = (vec(aged(), 0..4), any::<bool>(), any::<bool>());
    prop_oneof![
        push.prop_map(|(items, acknowledge, repair)| Message::Push { items, acknowledge, repair }),
        vec(offer(), 0..5).prop_map(|offers| Message::Offer { offers }),
        (vec(entry(), 0..5), any::<bool>())
            .prop_map(|(entries, by_blocks)| Message::Fetch { entries, by_blocks }),
        (entry(), encoding(), number(), number()).prop_map(|(entry, encoding, offset, length)| {
            Message::FetchBlock(BlockRequest { entry, encoding, offset, length })
        }),
        (entry(), encoding(), number(), any::<u32>(), bytes()).prop_map(
            |(entry, encoding, offset, age_ms, content)| {
                Message::Block(Block { entry, encoding, offset, age_ms, content })
            }
        ),
        (entry(), encoding(), any::<bool>()).prop_map(|(entry, encoding, busy)| {
            let reason = if busy { RefusalReason::Busy } else { RefusalReason::Unknown };
            Message::BlockRefused(BlockRefusal { entry, encoding, reason })
        }),
        (vec(range_digest(), 0..70), any::<bool>())
            .prop_map(|(ranges, reply)| Message::Digest { ranges, reply }),
        vec(range_entries(), 0..4).prop_map(|ranges| Message::Entries { ranges }),
        (vec(entry(), 0..5), any::<bool>())
            .prop_map(|(entries, shutting_down)| Message::Acknowledge { entries, shutting_down }),
    ]
    .boxed()
}

pub fn identity() -> BoxedStrategy<Identity> {
    (address(), number(), name(), name(), option::of(number()), any::<bool>())
        .prop_map(|(address, incarnation, name, zone, replica, first_boot)| Identity {
            address,
            incarnation,
            name,
            zone,
            replica,
            first_boot,
        })
        .boxed()
}

pub fn session_heartbeat() -> impl Strategy<Value = SessionHeartbeat> + Clone {
    (identity(), number()).prop_map(|(identity, view_epoch)| SessionHeartbeat { identity, view_epoch })
}

fn view_summary() -> impl Strategy<Value = ViewSummary> + Clone {
    (number(), option::of(address()), vec(address(), 0..6))
        .prop_map(|(epoch, primary, members)| ViewSummary { epoch, primary, members })
}

pub fn session_heartbeat_reply() -> BoxedStrategy<SessionHeartbeatReply> {
    (number(), any::<bool>(), number(), option::of(view_summary()))
        .prop_map(|(incarnation, granted, seen_incarnation, view)| SessionHeartbeatReply {
            incarnation,
            granted,
            seen_incarnation,
            view,
        })
        .boxed()
}

pub fn control_call() -> BoxedStrategy<ControlCall> {
    prop_oneof![
        (number(), number(), bytes()).prop_map(|(if_match, version, patch)| {
            ControlCall::PatchConfiguration { if_match, version, patch }
        }),
        (number(), number(), bytes()).prop_map(|(if_match, version, body)| ControlCall::PutConfiguration {
            if_match,
            version,
            body
        }),
        Just(ControlCall::GetConfiguration),
        (name(), number()).prop_map(|(model, version)| ControlCall::NameVersion { model, version }),
    ]
    .boxed()
}

pub fn forwarded_call() -> impl Strategy<Value = ForwardedCall> + Clone {
    (number(), control_call(), number()).prop_map(|(call_id, call, known_version)| ForwardedCall {
        call_id,
        call,
        known_version,
    })
}

pub fn forwarded_reply() -> impl Strategy<Value = ForwardedReply> + Clone {
    (number(), any::<u16>(), bytes(), number()).prop_map(|(call_id, status, body, lease_remaining)| {
        ForwardedReply { call_id, status, body, lease_remaining }
    })
}

pub fn registration() -> BoxedStrategy<Registration> {
    let models = (name(), number()).prop_map(|(model, version)| ModelVersion { model, version });
    let names = (name(), name(), name());
    let flags = (any::<bool>(), any::<bool>());
    (names, address(), any::<u32>(), flags, number(), vec(models, 0..4), address())
        .prop_map(|((id, service, zone), address, slots, (draining, lost), warmup_left_ms, models, owner)| {
            Registration { id, service, address, zone, slots, draining, lost, warmup_left_ms, models, owner }
        })
        .boxed()
}

pub fn peer_load_report() -> BoxedStrategy<PeerLoadReport> {
    let share = (number(), any::<u32>(), any::<u32>(), number());
    let share = share.prop_map(|(server, backlog_ms, running, tokens)| ServerLoad {
        server,
        backlog_ms,
        running,
        tokens,
    });
    let reports = vec(cache_store_report(), 0..3);
    (number(), option::of(address()), any::<bool>(), vec(share, 0..6), vec(cached_prefix(), 0..3), reports)
        .prop_map(|(sequence, origin, relay, servers, cached_prefixes, cache_store_reports)| PeerLoadReport {
            sequence,
            origin,
            relay,
            servers,
            cached_prefixes,
            cache_store_reports,
        })
        .boxed()
}

pub fn cache_store_report() -> BoxedStrategy<CacheStoreReport> {
    let chunks = vec((number(), any::<u32>()).prop_map(|(id, tokens)| PromptChunk { id, tokens }), 0..5);
    (number(), any::<bool>(), chunks)
        .prop_map(|(store, reset, chunks)| CacheStoreReport { store, reset, chunks })
        .boxed()
}

pub fn cached_prefix() -> BoxedStrategy<CachedPrefix> {
    let chunk = (number(), any::<u32>()).prop_map(|(id, tokens)| PromptChunk { id, tokens });
    (number(), number(), number(), number(), vec(chunk, 0..5))
        .prop_map(|(server, key, version, salt, chunks)| CachedPrefix { server, key, version, salt, chunks })
        .boxed()
}

pub fn envelope() -> BoxedStrategy<Envelope> {
    let content = prop_oneof![
        control_message().prop_map(Content::Control),
        gossip_message().prop_map(Content::Gossip),
        session_heartbeat().prop_map(Content::SessionHeartbeat),
        session_heartbeat_reply().prop_map(Content::SessionHeartbeatReply),
        view().prop_map(Content::Bootstrap),
        forwarded_call().prop_map(Content::ForwardedCall),
        forwarded_reply().prop_map(Content::ForwardedReply),
        number().prop_map(|query_id| Content::VersionQuery(VersionQuery { query_id })),
        (number(), number(), number()).prop_map(|(query_id, version, age)| Content::VersionReply(
            VersionReply { query_id, version, age }
        )),
    ];
    (address(), content).prop_map(|(from, content)| Envelope { from, content }).boxed()
}

/// A message as a later build may encode it, with unknown fields before and after its own.
pub struct Later<M>(pub M);

impl<M: Encode> Encode for Later<M> {
    fn encode(&self, to: &mut FieldWriter) {
        unknown_fields(to);
        self.0.encode(to);
        unknown_fields(to);
    }
}

fn unknown_fields(to: &mut FieldWriter) {
    to.uint64(900, 7);
    to.optional_uint64(901, Some(0));
    to.bytes(902, b"\xff\x00 what a later build says");
    to.bytes(903, b"");
    to.uint64(536_870_911, u64::MAX);
}

/// An unknown field of wire type fixed64 and one of fixed32, which this build never writes but others may.
pub fn fixed_fields() -> Vec<u8> {
    let mut bytes = tag(900, 1);
    bytes.extend([1, 2, 3, 4, 5, 6, 7, 8]);
    bytes.extend(tag(901, 5));
    bytes.extend([0xff; 4]);
    bytes
}

fn tag(field: u32, wire_type: u32) -> Vec<u8> {
    let mut rest = field << 3 | wire_type;
    let mut bytes = Vec::new();
    while rest > 0x7f {
        bytes.push((rest & 0x7f) as u8 | 0x80);
        rest >>= 7;
    }
    bytes.push(rest as u8);
    bytes
}
