//! The deadline of an announced version does not depend on when a node learns of the version.

mod common;

use std::sync::Arc;

use common::{MS, SECOND, address, addresses, identity, lone_gossip};
use googletest::prelude::*;
use gradepaddle_controlplane::Micros;
use gradepaddle_controlplane::item_kinds::{self, MODEL_VERSION};
use gradepaddle_controlplane::node::{Input, Node, NodeSetup, Output};
use gradepaddle_controlplane::session_client::SessionClient;
use gradepaddle_controlplane::version_announcement::{VersionAnnouncement, VersionDeadlines};
use gradepaddle_gossip::{AgedItem, Message, Stamp};
use gradepaddle_proto::{Content, Encode, Envelope};

const MODEL: &str = "advisor";
const FROM_PUBLICATION: Micros = 8 * SECOND;
const FROM_ANNOUNCEMENT: Micros = 14 * SECOND;

/// A node without a disk.
fn node() -> Node {
    Node::new(NodeSetup {
        session: SessionClient::new(identity(1, 1), addresses([3, 4]), 0),
        gossip: lone_gossip(1),
        bootstrap: None,
        heartbeat_interval: 1_200 * MS,
        order_lease: 3 * SECOND,
        version_deadlines: VersionDeadlines {
            from_publication: FROM_PUBLICATION,
            from_announcement: Some(FROM_ANNOUNCEMENT),
        },
        revoke_within: None,
        machine_losses: 1,
        control_port: 9_100,
        now: 0,
    })
}

/// A deadline as a node reports it to its data plane.
#[derive(Debug, PartialEq)]
struct Deadline {
    version: u64,
    binds_at: Micros,
    extended: bool,
}

/// Another node gossips the first publication of an announced version, `age_ms` old, or a later one. Returns the
/// reported deadlines.
fn announce(node: &mut Node, now: Micros, name: (u64, u64), age_ms: u32) -> Vec<Deadline> {
    announce_again(node, now, name, age_ms, 0)
}

/// The same for a publication that followed the first announcement after `announced_before`.
fn announce_again(
    node: &mut Node,
    now: Micros,
    (version, publication): (u64, u64),
    age_ms: u32,
    announced_before: Micros,
) -> Vec<Deadline> {
    let payload =
        if announced_before > 0 { VersionAnnouncement { announced_before }.to_bytes() } else { Vec::new() };
    let item = item_kinds::item(MODEL_VERSION, MODEL, Stamp { major: version, minor: publication }, payload);
    let items = vec![AgedItem { item, age_ms }];
    let content = Content::Gossip(Message::Push { items, acknowledge: false, repair: false });
    let mut out = Vec::new();
    node.handle(now, Input::Envelope(Envelope { from: address(3), content }), &mut out);
    out.into_iter().filter_map(|output| deadlines(now, output)).collect()
}

fn deadlines(now: Micros, output: Output) -> Option<Deadline> {
    let (model, version, deadline_in, extended) = match output {
        Output::VersionAnnounced { model, version, deadline_in } => (model, version, deadline_in, false),
        Output::VersionDeadlineExtended { model, version, deadline_in } => {
            (model, version, deadline_in, true)
        }
        _ => return None,
    };
    assert_eq!(model, Arc::from(MODEL));
    Some(Deadline { version, binds_at: now + deadline_in, extended })
}

#[gtest]
fn a_deadline_does_not_depend_on_when_the_version_is_learned() {
    // When the node learns of the version, counted from its start, and how old the announcement is then.
    for (learned_at, age) in
        [(0, 0), (0, 5 * SECOND), (300 * MS, 7 * SECOND), (2 * SECOND, 20), (60 * SECOND, 6 * SECOND)]
    {
        let age_ms = u32::try_from(age / MS).expect("a short time");
        let deadlines = announce(&mut node(), learned_at, (2, 0), age_ms);
        let binds_at = learned_at + FROM_PUBLICATION - u64::from(age_ms) * MS;
        let expected = Deadline { version: 2, binds_at, extended: false };
        expect_that!(
            deadlines,
            elements_are![eq(&expected)],
            "learned at {learned_at}, {age} after the announcement"
        );
    }
}

#[gtest]
fn a_version_learned_after_its_deadline_binds_at_once() {
    let deadlines = announce(&mut node(), 300 * MS, (2, 0), 60_000);
    expect_that!(deadlines, elements_are![eq(&Deadline { version: 2, binds_at: 300 * MS, extended: false })]);
}

#[gtest]
fn an_extended_deadline_counts_from_its_publication_where_it_is_learned_late() {
    let mut node = node();
    announce(&mut node, SECOND, (2, 0), 0);
    let deadlines = announce(&mut node, 6 * SECOND, (2, 7), 1_000);
    let extended = Deadline { version: 2, binds_at: 5 * SECOND + FROM_PUBLICATION, extended: true };
    expect_that!(deadlines, elements_are![eq(&extended)]);
    // An earlier publication that comes late is ignored.
    expect_that!(announce(&mut node, 7 * SECOND, (2, 0), 6_000), is_empty());
    // A newer version has a deadline of its own.
    let deadlines = announce(&mut node, 7 * SECOND, (3, 0), 0);
    expect_that!(
        deadlines,
        elements_are![eq(&Deadline { version: 3, binds_at: 7 * SECOND + FROM_PUBLICATION, extended: false })]
    );
}

/// An unstable core restarts the time of a version repeatedly, but only up to a total bound.
#[gtest]
fn an_extended_deadline_ends_at_the_total_bound() {
    let mut node = node();
    announce(&mut node, 0, (2, 0), 0);
    // Published again 5 s and 11 s after the announcement; learned half a second later.
    for (publication, announced_before, binds_at) in
        [(7, 5 * SECOND, 13 * SECOND), (8, 11 * SECOND, FROM_ANNOUNCEMENT)]
    {
        let deadlines =
            announce_again(&mut node, announced_before + 500 * MS, (2, publication), 500, announced_before);
        expect_that!(deadlines, elements_are![eq(&Deadline { version: 2, binds_at, extended: true })]);
    }
    // A version that is learned only after the total bound is binding at once.
    let deadlines = announce_again(&mut crate::node(), SECOND, (2, 9), 1_000, 30 * SECOND);
    expect_that!(deadlines, elements_are![eq(&Deadline { version: 2, binds_at: SECOND, extended: false })]);
}

#[gtest]
fn without_a_total_bound_a_deadline_is_extended_as_often_as_needed() {
    let deadlines = VersionDeadlines { from_publication: FROM_PUBLICATION, from_announcement: None };
    expect_that!(deadlines.remaining(0, 600 * SECOND), eq(FROM_PUBLICATION));
    expect_that!(deadlines.remaining(9 * SECOND, 9 * SECOND), eq(0));
}
