//! When an announced version becomes binding at a node, however late the node learns of it.

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
const WITHIN: Micros = 8 * SECOND;
const IN_ALL: Micros = 14 * SECOND;

/// A node without a disk.
fn node() -> Node {
    Node::new(NodeSetup {
        session: SessionClient::new(identity(1, 1), addresses([3, 4]), 0),
        gossip: lone_gossip(1),
        bootstrap: None,
        heartbeat_interval: 1_200 * MS,
        order_lease: 3 * SECOND,
        version_deadlines: VersionDeadlines { from_publication: WITHIN, from_announcement: Some(IN_ALL) },
        revoke_within: None,
        machine_losses: 1,
        control_port: 9_100,
        now: 0,
    })
}

/// What a node reports to its data plane: the version, its deadline, and whether that was extended.
#[derive(Debug, PartialEq)]
struct Deadline {
    version: u64,
    binds_at: Micros,
    postponed: bool,
}

/// Another node gossips that a version was announced so many milliseconds ago, in its first or a later publication.
fn learn(node: &mut Node, now: Micros, name: (u64, u64), age_ms: u32) -> Vec<Deadline> {
    learn_again(node, now, name, age_ms, 0)
}

/// The same of a publication so long after the naming.
fn learn_again(
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
    let (model, version, deadline_in, postponed) = match output {
        Output::VersionAnnounced { model, version, deadline_in } => (model, version, deadline_in, false),
        Output::VersionDeadlineExtended { model, version, deadline_in } => {
            (model, version, deadline_in, true)
        }
        _ => return None,
    };
    assert_eq!(model, Arc::from(MODEL));
    Some(Deadline { version, binds_at: now + deadline_in, postponed })
}

#[gtest]
fn a_deadline_does_not_depend_on_when_the_version_is_learned() {
    // When the node hears of it after its own start, and how long after the naming that is.
    for (heard_at, age) in
        [(0, 0), (0, 5 * SECOND), (300 * MS, 7 * SECOND), (2 * SECOND, 20), (60 * SECOND, 6 * SECOND)]
    {
        let age_ms = u32::try_from(age / MS).expect("a short time");
        let deadlines = learn(&mut node(), heard_at, (2, 0), age_ms);
        let binds_at = heard_at + WITHIN - u64::from(age_ms) * MS;
        let expected = Deadline { version: 2, binds_at, postponed: false };
        expect_that!(
            deadlines,
            elements_are![eq(&expected)],
            "heard at {heard_at}, {age} after it was named"
        );
    }
}

#[gtest]
fn a_version_learned_after_its_deadline_binds_at_once() {
    let deadlines = learn(&mut node(), 300 * MS, (2, 0), 60_000);
    expect_that!(
        deadlines,
        elements_are![eq(&Deadline { version: 2, binds_at: 300 * MS, postponed: false })]
    );
}

#[gtest]
fn an_extended_deadline_counts_from_its_publication_where_it_is_learned_late() {
    let mut node = node();
    learn(&mut node, SECOND, (2, 0), 0);
    let deadlines = learn(&mut node, 6 * SECOND, (2, 7), 1_000);
    let postponed = Deadline { version: 2, binds_at: 5 * SECOND + WITHIN, postponed: true };
    expect_that!(deadlines, elements_are![eq(&postponed)]);
    // An old publication that comes late says nothing.
    expect_that!(learn(&mut node, 7 * SECOND, (2, 0), 6_000), is_empty());
    // A newer version has a time of its own.
    let deadlines = learn(&mut node, 7 * SECOND, (3, 0), 0);
    expect_that!(
        deadlines,
        elements_are![eq(&Deadline { version: 3, binds_at: 7 * SECOND + WITHIN, postponed: false })]
    );
}

/// A core that is unstable again and again lets the time begin anew, but not for ever.
#[gtest]
fn an_extended_deadline_ends_at_the_total_bound() {
    let mut node = node();
    learn(&mut node, 0, (2, 0), 0);
    // Published anew 5 s and 11 s after the naming; heard of half a second later.
    for (publication, announced_before, binds_at) in [(7, 5 * SECOND, 13 * SECOND), (8, 11 * SECOND, IN_ALL)]
    {
        let deadlines =
            learn_again(&mut node, announced_before + 500 * MS, (2, publication), 500, announced_before);
        expect_that!(deadlines, elements_are![eq(&Deadline { version: 2, binds_at, postponed: true })]);
    }
    // One that is heard of only after that binds at once.
    let deadlines = learn_again(&mut crate::node(), SECOND, (2, 9), 1_000, 30 * SECOND);
    expect_that!(deadlines, elements_are![eq(&Deadline { version: 2, binds_at: SECOND, postponed: false })]);
}

#[gtest]
fn without_a_total_bound_a_deadline_is_extended_as_often_as_needed() {
    let times = VersionDeadlines { from_publication: WITHIN, from_announcement: None };
    expect_that!(times.remaining(0, 600 * SECOND), eq(WITHIN));
    expect_that!(times.remaining(9 * SECOND, 9 * SECOND), eq(0));
}
