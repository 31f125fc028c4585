//! The bytes of every message, from fixed values with every field set and with every field at its default. Different
//! builds depend on them: a change here is a change of the protocol.
//!
//! `golden/messages.txt` has a line for each message: its name and its bytes in hexadecimal.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use googletest::prelude::*;
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
    CacheStoreReport, CachedPrefix, Content, ControlCall, Decode, Encode, Envelope, ForwardedCall,
    ForwardedReply, Identity, ModelVersion, PeerLoadReport, PromptChunk, Registration, ServerLoad,
    SessionHeartbeat, SessionHeartbeatReply, VersionQuery, VersionReply, ViewSummary, frame,
};

const GOLDEN: &str = include_str!("golden/messages.txt");

/// The golden lines that have not been compared yet.
struct Golden {
    lines: BTreeMap<&'static str, &'static str>,
}

impl Golden {
    /// Selects the lines whose names start with a prefix.
    fn section(prefix: &str) -> Golden {
        let lines = GOLDEN.lines().map(|line| line.split_once(' ').unwrap_or((line, "")));
        Golden { lines: lines.filter(|(name, _)| name.starts_with(prefix)).collect() }
    }

    /// Compares the bytes of a message with the line of this name, and decodes the line back to the message.
    fn check<M: Encode + Decode + PartialEq + Debug>(&mut self, name: &str, message: &M) {
        let written = hex(&message.to_bytes());
        let golden = self.lines.remove(name);
        expect_that!(written, eq(golden.unwrap_or("no such line")), "{name}");
        let read = M::from_bytes(&bytes(golden.unwrap_or_default()));
        expect_that!(read.as_ref(), ok(eq(message)), "{name}");
    }

    fn check_all_compared(self) {
        expect_that!(self.lines, is_empty());
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let digits =
        hex.as_bytes().chunks(2).map(|pair| std::str::from_utf8(pair).expect("two hexadecimal digits"));
    digits.map(|pair| u8::from_str_radix(pair, 16).expect("two hexadecimal digits")).collect()
}

fn address(last: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 2, last), 7640)
}

/// The address that is encoded as 1, since 0 would be omitted.
fn lowest_address() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 1)
}

fn proposal_number() -> ProposalNumber {
    ProposalNumber { epoch: 300, candidate: ReplicaId(2) }
}

fn position() -> LogPosition {
    LogPosition { epoch: 299, sequence: 70_000 }
}

fn member(id: u64) -> Member {
    Member { id: ReplicaId(id), address: address(id as u8), zone: "zone-a".into() }
}

fn view() -> View {
    View {
        epoch: 300,
        members: vec![member(1), member(2), member(3)],
        previous_members: vec![member(1), member(4)],
        primary: ReplicaId(2),
        backups: vec![ReplicaId(1), ReplicaId(3)],
        target_size: 5,
    }
}

fn empty_view() -> View {
    View {
        epoch: 0,
        members: vec![],
        previous_members: vec![],
        primary: ReplicaId(0),
        backups: vec![],
        target_size: 0,
    }
}

fn known_view() -> KnownView {
    KnownView { view: Arc::new(view()), active: true }
}

fn put() -> Change {
    Change::PutConfiguration {
        if_match: 6,
        version: 7,
        body: Arc::from(*b"{\"version\":7}"),
        fingerprint: 0x0102_0304_0506_0708_090a_0b0c_0d0e_0f10,
    }
}

fn state() -> ControlState {
    let accepted =
        |version| AcceptedConfiguration { version, fingerprint: u128::from(version) << 64 | 0xfeed };
    ControlState {
        configuration: Some(StoredConfiguration {
            version: 7,
            body: Arc::from(*b"{\"version\":7}"),
            fingerprint: 0x0102_0304_0506_0708_090a_0b0c_0d0e_0f10,
        }),
        accepted: AcceptedHistory::new(vec![accepted(6), accepted(7)], 5),
        models: BTreeMap::from([("model-a".to_owned(), 10_000), ("model-b".to_owned(), 0)]),
    }
}

fn data() -> Data {
    Data { position: position(), state: Arc::new(state()) }
}

#[gtest]
fn parts_of_the_control_state_keep_their_bytes() {
    let mut golden = Golden::section("state/");
    golden.check("state/ballot", &proposal_number());
    golden.check("state/ballot/default", &ProposalNumber { epoch: 0, candidate: ReplicaId(0) });
    golden.check("state/position", &position());
    golden.check("state/position/default", &LogPosition::default());
    golden.check("state/member", &member(3));
    golden.check(
        "state/member/default",
        &Member { id: ReplicaId(0), address: lowest_address(), zone: "".into() },
    );
    golden.check("state/view", &view());
    golden.check("state/view/default", &empty_view());
    golden.check("state/known_view", &known_view());
    golden.check("state/known_view/default", &KnownView { view: Arc::new(empty_view()), active: false });
    golden.check("state/put_configuration", &put());
    let empty_put = Change::PutConfiguration { if_match: 0, version: 0, body: Arc::from([]), fingerprint: 0 };
    golden.check("state/put_configuration/default", &empty_put);
    golden.check("state/name_version", &Change::NameVersion { model: "model-a".into(), version: 10_000 });
    golden.check("state/name_version/default", &Change::NameVersion { model: String::new(), version: 0 });
    golden.check("state/stored_configuration", &state().configuration.expect("it has one"));
    golden.check(
        "state/accepted_configuration",
        &AcceptedConfiguration { version: 7, fingerprint: u128::MAX - 1 },
    );
    golden.check("state/control_state", &state());
    golden.check("state/control_state/default", &ControlState::default());
    golden.check("state/data", &data());
    golden.check("state/data/default", &Data::default());
    golden.check_all_compared();
}

#[gtest]
fn records_keep_their_bytes() {
    let mut golden = Golden::section("record/");
    golden.check("record/promise", &Record::Promise(proposal_number()));
    golden.check("record/view", &Record::View(known_view()));
    golden.check("record/whole", &Record::Snapshot(data()));
    golden.check("record/whole/default", &Record::Snapshot(Data::default()));
    golden.check("record/changed", &Record::Changed { position: position(), change: put() });
    golden.check("record/moved", &Record::Moved(position()));
    golden.check("record/dropped", &Record::SnapshotDiscarded);
    golden.check_all_compared();
}

fn from_sender(body: Body) -> Message {
    Message { sender: ReplicaId(2), body }
}

fn from_default_sender(body: Body) -> Message {
    Message { sender: ReplicaId(0), body }
}

#[gtest]
fn heartbeats_and_pre_votes_keep_their_bytes() {
    let mut golden = Golden::section("lease/");
    golden.check("lease/heartbeat", &from_sender(Body::Heartbeat { epoch: 300, sent: 5_000_000 }));
    golden.check("lease/heartbeat/default", &from_default_sender(Body::Heartbeat { epoch: 0, sent: 0 }));
    let echo = Body::HeartbeatReply(HeartbeatReply {
        epoch: 300,
        sent: 5_000_000,
        granted: true,
        promised: Some(proposal_number()),
        view_epoch: 299,
        healthy: true,
        shutting_down: true,
        activation_durable: true,
    });
    golden.check("lease/echo", &from_sender(echo));
    let echo = Body::HeartbeatReply(HeartbeatReply {
        epoch: 0,
        sent: 0,
        granted: false,
        promised: None,
        view_epoch: 0,
        healthy: false,
        shutting_down: false,
        activation_durable: false,
    });
    golden.check("lease/echo/default", &from_default_sender(echo));
    golden.check("lease/poll", &from_sender(Body::PreVote { round: 301 }));
    golden.check("lease/poll/default", &from_default_sender(Body::PreVote { round: 0 }));
    let (promised, view) = (Some(proposal_number()), Some(known_view()));
    golden.check(
        "lease/poll_reply",
        &from_sender(Body::PreVoteReply(PreVoteReply { round: 301, granted: true, promised, view })),
    );
    let reply = Body::PreVoteReply(PreVoteReply { round: 0, granted: false, promised: None, view: None });
    golden.check("lease/poll_reply/default", &from_default_sender(reply));
    golden.check_all_compared();
}

#[gtest]
fn messages_of_an_election_keep_their_bytes() {
    let mut golden = Golden::section("election/");
    let prepare =
        Body::Prepare(Prepare { epoch: 301, position: Some(position()), released: Some(proposal_number()) });
    golden.check("election/prepare", &from_sender(prepare));
    golden.check(
        "election/prepare/default",
        &from_default_sender(Body::Prepare(Prepare { epoch: 0, position: None, released: None })),
    );
    let promise = Body::Promise(Promise {
        epoch: 301,
        view: Some(known_view()),
        position: Some(position()),
        data: Some(data()),
        healthy: true,
    });
    golden.check("election/promise", &from_sender(promise));
    let promise = Body::Promise(Promise { epoch: 0, view: None, position: None, data: None, healthy: false });
    golden.check("election/promise/default", &from_default_sender(promise));
    let refuse =
        Body::Reject(Reject { epoch: 301, promised: Some(proposal_number()), view: Some(known_view()) });
    golden.check("election/refuse", &from_sender(refuse));
    golden.check(
        "election/refuse/default",
        &from_default_sender(Body::Reject(Reject { epoch: 0, promised: None, view: None })),
    );
    let install = Body::InstallSnapshot(InstallSnapshot {
        epoch: 301,
        sequence: 70_000,
        source: position(),
        attempt: 2,
        state: Some(Arc::new(state())),
    });
    golden.check("election/install", &from_sender(install));
    let install = Body::InstallSnapshot(InstallSnapshot {
        epoch: 0,
        sequence: 0,
        source: LogPosition::default(),
        attempt: 0,
        state: None,
    });
    golden.check("election/install/default", &from_default_sender(install));
    golden.check(
        "election/installed",
        &from_sender(Body::SnapshotInstalled(SnapshotInstalled { epoch: 301, complete: true, attempt: 2 })),
    );
    golden.check(
        "election/installed/default",
        &from_default_sender(Body::SnapshotInstalled(SnapshotInstalled {
            epoch: 0,
            complete: false,
            attempt: 0,
        })),
    );
    golden.check("election/accept", &from_sender(Body::Accept { view: known_view() }));
    let view = KnownView { view: Arc::new(empty_view()), active: false };
    golden.check("election/accept/default", &from_default_sender(Body::Accept { view }));
    golden.check("election/accepted", &from_sender(Body::Accepted { epoch: 301 }));
    golden.check("election/accepted/default", &from_default_sender(Body::Accepted { epoch: 0 }));
    golden.check_all_compared();
}

#[gtest]
fn messages_of_a_view_in_service_keep_their_bytes() {
    let mut golden = Golden::section("service/");
    let replicate = Body::Replicate(Replicate { epoch: 301, sequence: 70_001, change: put() });
    golden.check("service/replicate", &from_sender(replicate));
    let change = Change::NameVersion { model: "model-a".into(), version: 10_000 };
    golden.check(
        "service/replicate/default",
        &from_default_sender(Body::Replicate(Replicate { epoch: 0, sequence: 0, change })),
    );
    golden.check("service/replicated", &from_sender(Body::Replicated { epoch: 301, sequence: 70_001 }));
    golden.check(
        "service/replicated/default",
        &from_default_sender(Body::Replicated { epoch: 0, sequence: 0 }),
    );
    golden.check("service/join", &from_sender(Body::Join { member: member(4), first_boot: true }));
    let member = Member { id: ReplicaId(0), address: lowest_address(), zone: "".into() };
    golden.check("service/join/default", &from_default_sender(Body::Join { member, first_boot: false }));
    golden.check("service/take_over", &from_sender(Body::TransferLeadership { released: proposal_number() }));
    let released = ProposalNumber { epoch: 0, candidate: ReplicaId(0) };
    golden.check("service/take_over/default", &from_default_sender(Body::TransferLeadership { released }));
    golden.check_all_compared();
}

fn entry(kind: u8) -> Entry {
    Entry { kind: Kind(kind), key: "key-1".into(), stamp: Stamp { major: 400, minor: 3 } }
}

fn empty_entry() -> Entry {
    Entry { kind: Kind(0), key: "".into(), stamp: Stamp { major: 0, minor: 0 } }
}

fn aged() -> AgedItem {
    let Entry { kind, key, stamp } = entry(1);
    AgedItem { item: Item { kind, key, stamp, payload: Arc::from(*b"payload"), removed: true }, age_ms: 1500 }
}

/// An offer of a build without block transfer.
fn whole(kind: u8) -> Offer {
    Offer { entry: entry(kind), encoding: None }
}

fn check_block_transfer(golden: &mut Golden) {
    use gradepaddle_gossip::Message;
    let encoding = EncodingId { bytes: 61_440, checksum: u32::MAX };
    let offer = Offer { entry: entry(1), encoding: Some(encoding) };
    golden.check("dissemination/offer/blocks", &Message::Offer { offers: vec![offer] });
    let fetch = Message::Fetch { entries: vec![entry(1)], by_blocks: true };
    golden.check("dissemination/fetch/blocks", &fetch);
    let request = BlockRequest { entry: entry(1), encoding, offset: 8_192, length: 8_192 };
    golden.check("dissemination/fetch_block", &Message::FetchBlock(request));
    let content = Arc::from(*b"content");
    let block = Block { entry: entry(1), encoding, offset: 8_192, age_ms: 1_500, content };
    golden.check("dissemination/block", &Message::Block(block));
    for (name, reason) in [("busy", RefusalReason::Busy), ("unknown", RefusalReason::Unknown)] {
        let refusal = BlockRefusal { entry: entry(1), encoding, reason };
        golden.check(&format!("dissemination/block_refused/{name}"), &Message::BlockRefused(refusal));
    }
}

#[gtest]
fn gossip_messages_keep_their_bytes() {
    use gradepaddle_gossip::Message;
    let mut golden = Golden::section("dissemination/");
    golden.check("dissemination/entry", &entry(255));
    golden.check("dissemination/entry/default", &empty_entry());
    golden.check("dissemination/aged", &aged());
    let Entry { kind, key, stamp } = empty_entry();
    let item = Item { kind, key, stamp, payload: Arc::from([]), removed: false };
    golden.check("dissemination/aged/default", &AgedItem { item, age_ms: 0 });
    let digest = RangeDigest { index: 65_535, hash: u64::MAX };
    let ranges = RangeEntries { index: 513, entries: vec![entry(1), entry(2)] };
    golden.check("dissemination/range_digest", &digest);
    golden.check("dissemination/range_digest/default", &RangeDigest { index: 0, hash: 0 });
    golden.check("dissemination/range_entries", &ranges);
    golden.check("dissemination/range_entries/default", &RangeEntries { index: 0, entries: vec![] });
    let push = Message::Push { items: vec![aged(), aged()], acknowledge: true, repair: true };
    golden.check("dissemination/push", &push);
    let push = Message::Push { items: vec![], acknowledge: false, repair: false };
    golden.check("dissemination/push/default", &push);
    golden.check("dissemination/offer", &Message::Offer { offers: vec![whole(1), whole(2)] });
    golden.check("dissemination/offer/default", &Message::Offer { offers: vec![] });
    golden.check(
        "dissemination/fetch",
        &Message::Fetch { entries: vec![entry(1), entry(2)], by_blocks: false },
    );
    golden.check("dissemination/fetch/default", &Message::Fetch { entries: vec![], by_blocks: false });
    check_block_transfer(&mut golden);
    golden.check("dissemination/digest", &Message::Digest { ranges: vec![digest, digest], reply: true });
    golden.check("dissemination/digest/default", &Message::Digest { ranges: vec![], reply: false });
    golden.check("dissemination/entries", &Message::Entries { ranges: vec![ranges] });
    golden.check("dissemination/entries/default", &Message::Entries { ranges: vec![] });
    golden.check(
        "dissemination/confirm",
        &Message::Acknowledge { entries: vec![entry(1)], shutting_down: true },
    );
    golden.check(
        "dissemination/confirm/default",
        &Message::Acknowledge { entries: vec![], shutting_down: false },
    );
    golden.check_all_compared();
}

fn identity() -> Identity {
    Identity {
        address: address(3),
        incarnation: 1_700_000_000_000_000,
        name: "node-1".into(),
        zone: "zone-a".into(),
        replica: Some(3),
        first_boot: true,
    }
}

fn empty_identity() -> Identity {
    Identity {
        address: lowest_address(),
        incarnation: 0,
        name: "".into(),
        zone: "".into(),
        replica: None,
        first_boot: false,
    }
}

fn session_heartbeat() -> SessionHeartbeat {
    SessionHeartbeat { identity: identity(), view_epoch: 300 }
}

fn session_heartbeat_reply() -> SessionHeartbeatReply {
    SessionHeartbeatReply {
        incarnation: 1_700_000_000_000_000,
        granted: true,
        seen_incarnation: 1_600_000_000_000_000,
        view: Some(ViewSummary {
            epoch: 300,
            primary: Some(address(2)),
            members: vec![address(1), address(2), address(3)],
        }),
    }
}

fn forwarded_call() -> ForwardedCall {
    let call = ControlCall::PutConfiguration { if_match: 6, version: 7, body: Arc::from(*b"{}") };
    ForwardedCall { call_id: 900, call, known_version: 0 }
}

fn forwarded_reply() -> ForwardedReply {
    ForwardedReply { call_id: 900, status: 412, body: Arc::from(*b"{}"), lease_remaining: 2_500_000 }
}

#[gtest]
fn messages_of_sessions_keep_their_bytes() {
    let mut golden = Golden::section("session/");
    golden.check("session/identity", &identity());
    golden.check("session/identity/default", &empty_identity());
    golden.check("session/identity/replica_0", &Identity { replica: Some(0), ..empty_identity() });
    golden.check("session/beat", &session_heartbeat());
    golden.check("session/beat/default", &SessionHeartbeat { identity: empty_identity(), view_epoch: 0 });
    golden.check("session/view_summary", &session_heartbeat_reply().view.expect("it has one"));
    golden.check("session/view_summary/default", &ViewSummary::default());
    golden.check("session/grant", &session_heartbeat_reply());
    let grant = SessionHeartbeatReply { incarnation: 0, granted: false, seen_incarnation: 0, view: None };
    golden.check("session/grant/default", &grant);
    golden.check("session/newest_ask", &VersionQuery { query_id: 77 });
    golden.check("session/newest_ask/default", &VersionQuery { query_id: 0 });
    golden.check("session/newest_told", &VersionReply { query_id: 77, version: 7, age: 120_000 });
    golden.check("session/newest_told/default", &VersionReply { query_id: 0, version: 0, age: 0 });
    golden.check_all_compared();
}

#[gtest]
fn forwarded_calls_keep_their_bytes() {
    let mut golden = Golden::section("call/");
    golden.check("call/put_configuration", &forwarded_call().call);
    let put = ControlCall::PutConfiguration { if_match: 0, version: 0, body: Arc::from([]) };
    golden.check("call/put_configuration/default", &put);
    let patch = ControlCall::PatchConfiguration { if_match: 7, version: 8, patch: Arc::from(*b"{\"a\":1}") };
    golden.check("call/patch_configuration", &patch);
    let patch = ControlCall::PatchConfiguration { if_match: 0, version: 0, patch: Arc::from([]) };
    golden.check("call/patch_configuration/default", &patch);
    golden.check("call/get_configuration", &ControlCall::GetConfiguration);
    golden.check("call/name_version", &ControlCall::NameVersion { model: "model-a".into(), version: 10_000 });
    golden.check("call/name_version/default", &ControlCall::NameVersion { model: "".into(), version: 0 });
    golden.check("call/forward", &forwarded_call());
    golden.check(
        "call/forward/default",
        &ForwardedCall { call_id: 0, call: ControlCall::GetConfiguration, known_version: 0 },
    );
    let call = ControlCall::GetConfiguration;
    golden.check("call/forward/known_version", &ForwardedCall { call_id: 900, call, known_version: 300 });
    golden.check("call/forwarded", &forwarded_reply());
    let empty = ForwardedReply { call_id: 0, status: 0, body: Arc::from([]), lease_remaining: 0 };
    golden.check("call/forwarded/default", &empty);
    golden.check_all_compared();
}

fn registration() -> Registration {
    Registration {
        id: "server-1".into(),
        service: "alpha".into(),
        address: address(9),
        zone: "zone-b".into(),
        slots: 64,
        draining: true,
        lost: true,
        warmup_left_ms: 2500,
        models: vec![
            ModelVersion { model: "model-a".into(), version: 10_000 },
            ModelVersion { model: "".into(), version: 0 },
        ],
        owner: address(2),
    }
}

#[gtest]
fn registrations_keep_their_bytes() {
    let mut golden = Golden::section("registration");
    golden.check("registration", &registration());
    let empty = Registration {
        id: "".into(),
        service: "".into(),
        address: lowest_address(),
        zone: "".into(),
        slots: 0,
        draining: false,
        lost: false,
        warmup_left_ms: 0,
        models: vec![],
        owner: lowest_address(),
    };
    golden.check("registration/default", &empty);
    golden.check("registration/weights", &ModelVersion { model: "model-a".into(), version: 10_000 });
    golden.check_all_compared();
}

fn cache_store_report() -> CacheStoreReport {
    let chunks =
        vec![PromptChunk { id: 0x1234_5678_9abc_def0, tokens: 256 }, PromptChunk { id: 2, tokens: 0 }];
    CacheStoreReport { store: 0xfedc_ba98_7654_3210, reset: true, chunks }
}

fn cached_prefix() -> CachedPrefix {
    let chunks = vec![PromptChunk { id: 11, tokens: 256 }, PromptChunk { id: 12, tokens: 100 }];
    CachedPrefix { server: u64::MAX, key: 5, version: 10_000, salt: 0x0123_4567_89ab_cdef, chunks }
}

#[gtest]
fn load_datagrams_keep_their_bytes() {
    let mut golden = Golden::section("load/");
    let share = ServerLoad { server: u64::MAX, backlog_ms: 1500, running: 12, tokens: 34_567 };
    let empty_share = ServerLoad { server: 0, backlog_ms: 0, running: 0, tokens: 0 };
    golden.check("load/server_share", &share);
    golden.check("load/server_share/default", &empty_share);
    golden.check("load/prompt_part", &PromptChunk { id: 11, tokens: 256 });
    golden.check("load/prompt_part/default", &PromptChunk { id: 0, tokens: 0 });
    golden.check("load/kept_prompt", &cached_prefix());
    let empty = CachedPrefix { server: 0, key: 0, version: 0, salt: 0, chunks: vec![] };
    golden.check("load/kept_prompt/default", &empty);
    golden.check("load/store_report", &cache_store_report());
    golden.check("load/store_report/default", &CacheStoreReport::default());
    let peer_load_report = PeerLoadReport {
        sequence: 1000,
        origin: Some(address(4)),
        relay: true,
        servers: vec![share, empty_share],
        cached_prefixes: vec![cached_prefix()],
        cache_store_reports: vec![cache_store_report()],
    };
    golden.check("load/load_share", &peer_load_report);
    golden.check("load/load_share/default", &PeerLoadReport::default());
    golden.check_all_compared();
}

fn enveloped(content: Content) -> Envelope {
    Envelope { from: address(3), content }
}

#[gtest]
fn envelopes_keep_their_bytes() {
    let mut golden = Golden::section("envelope/");
    let control = from_sender(Body::Heartbeat { epoch: 300, sent: 5_000_000 });
    golden.check("envelope/control", &enveloped(Content::Control(control)));
    let spread = gradepaddle_gossip::Message::Offer { offers: vec![whole(1)] };
    golden.check("envelope/spread", &enveloped(Content::Gossip(spread)));
    golden.check("envelope/session_beat", &enveloped(Content::SessionHeartbeat(session_heartbeat())));
    golden.check(
        "envelope/session_grant",
        &enveloped(Content::SessionHeartbeatReply(session_heartbeat_reply())),
    );
    golden.check("envelope/found", &enveloped(Content::Bootstrap(view())));
    golden.check("envelope/forward", &enveloped(Content::ForwardedCall(forwarded_call())));
    golden.check("envelope/forwarded", &enveloped(Content::ForwardedReply(forwarded_reply())));
    golden.check("envelope/newest_ask", &enveloped(Content::VersionQuery(VersionQuery { query_id: 77 })));
    let told = VersionReply { query_id: 77, version: 7, age: 120_000 };
    golden.check("envelope/newest_told", &enveloped(Content::VersionReply(told)));
    golden.check_all_compared();
}

#[gtest]
fn frames_keep_their_length_and_checksum() {
    let mut framed = Vec::new();
    frame::write(b"", &mut framed);
    frame::write(b"123456789", &mut framed);
    // CRC-32 of "123456789" is 0xcbf43926, the check value of the published algorithm; that of nothing is 0.
    let golden = "0000000000000000090000002639f4cb313233343536373839";
    expect_that!(hex(&framed), eq(golden));
    let mut reader = frame::FrameReader::default();
    reader.push(&bytes(golden));
    expect_that!(reader.next_body(), ok(some(eq(b""))));
    expect_that!(reader.next_body(), ok(some(eq(b"123456789"))));
    expect_that!(reader.next_body(), ok(none()));
    expect_that!(frame::HEADER_BYTES, eq(8));
    expect_that!(frame::MAX_BODY_BYTES, eq(6_291_456));
}

#[gtest]
fn errors_of_malformed_bytes_keep_their_text() {
    let text = |bytes: &[u8]| Envelope::from_bytes(bytes).expect_err("the bytes are malformed").to_string();
    expect_that!(text(&[0xff]), eq("the message is cut or malformed"));
    expect_that!(text(&[0x10, 5]), eq("field 3 of envelope is missing or of another type"));
    expect_that!(text(&[0x10, 99]), eq("envelope knows no variant 99"));
    let mut reader = frame::FrameReader::default();
    reader.push(&[1, 0, 0x60, 0, 0, 0, 0, 0]);
    let error = reader.next_body().expect_err("the frame is too long");
    expect_that!(error.to_string(), eq("a frame of 6291457 bytes is too long"));
    let mut reader = frame::FrameReader::default();
    reader.push(&[0, 0, 0, 0, 1, 0, 0, 0]);
    let error = reader.next_body().expect_err("the checksum is wrong");
    expect_that!(error.to_string(), eq("a frame's checksum does not fit its body"));
}
