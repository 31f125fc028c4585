//! The client of a session: which control balancers it tries, when it moves on to the next, and its incarnation.

mod common;

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use common::{MS, SECOND, address, addresses, grant, identity, view};
use googletest::prelude::*;
use gradepaddle_controlplane::Micros;
use gradepaddle_controlplane::session_client::{OutgoingHeartbeat, SessionClient};
use gradepaddle_proto::SessionHeartbeatReply;

/// A session client with its clock.
struct TestClient {
    session: SessionClient,
    now: Micros,
}

impl TestClient {
    fn new(own: u8, seeds: &[u8]) -> TestClient {
        let seeds = addresses(seeds.iter().copied());
        TestClient { session: SessionClient::new(identity(own, 100), seeds, 0), now: 0 }
    }

    /// Advances to the next wake-up and ticks. Returns the heartbeats.
    fn next(&mut self) -> Vec<OutgoingHeartbeat> {
        self.now = self.now.max(self.session.next_wake());
        let mut heartbeats = Vec::new();
        self.session.tick(self.now, &mut heartbeats);
        heartbeats
    }

    /// Runs until `until` without any replies. Returns the times and receivers of the heartbeats.
    fn run_without_replies(&mut self, until: Micros) -> Vec<(Micros, SocketAddrV4)> {
        let mut sent = Vec::new();
        while self.session.next_wake() <= until {
            let heartbeats = self.next();
            sent.extend(heartbeats.into_iter().map(|heartbeat| (self.now, heartbeat.to)));
        }
        sent
    }

    fn handle_reply(&mut self, from: SocketAddrV4, answer: &SessionHeartbeatReply) -> bool {
        self.session.handle_reply(self.now, from, answer)
    }
}

fn receivers(heartbeats: &[OutgoingHeartbeat]) -> Vec<SocketAddrV4> {
    heartbeats.iter().map(|heartbeat| heartbeat.to).collect()
}

/// A client that knows a view and has a session, and the control balancer that granted it.
fn settled(own: u8, members: &[u8]) -> (TestClient, SocketAddrV4) {
    let mut client = TestClient::new(own, members);
    client.next();
    client.handle_reply(
        address(members[0]),
        &SessionHeartbeatReply { granted: false, ..grant(100, Some(view(3, members.to_vec()))) },
    );
    loop {
        let heartbeats = client.next();
        if let [heartbeat] = &heartbeats[..] {
            let to = heartbeat.to;
            client.handle_reply(to, &grant(100, None));
            return (client, to);
        }
    }
}

#[gtest]
fn without_a_view_all_seeds_are_asked_repeatedly() -> Result<()> {
    let mut client = TestClient::new(2, &[1, 2, 3]);
    for _ in 0..10 {
        expect_that!(receivers(&client.next()), unordered_elements_are![&address(1), &address(3)]);
    }
    expect_that!(client.now, le(3 * SECOND));
    expect_that!(client.session.last_granted(), none());
    Ok(())
}

#[gtest]
fn a_view_leads_to_one_of_its_members() -> Result<()> {
    let (mut client, control) = settled(9, &[1, 2, 3]);
    expect_that!(addresses([1, 2, 3]), contains(eq(&control)));
    expect_that!(client.session.last_granted(), some(eq(client.now)));
    for _ in 0..20 {
        expect_that!(receivers(&client.next()), elements_are![&control]);
        client.handle_reply(control, &grant(100, None));
    }
    Ok(())
}

#[gtest]
fn a_control_balancer_has_no_session_with_itself() -> Result<()> {
    let (mut client, control) = settled(1, &[1, 2, 3]);
    expect_that!(control, not(eq(address(1))));
    let sent = client.run_without_replies(20 * SECOND);
    expect_that!(sent.iter().any(|(_, to)| *to == address(1)), eq(false));
    Ok(())
}

#[gtest]
fn a_timeout_moves_on_to_the_next_control_balancer() -> Result<()> {
    let (mut client, control) = settled(9, &[1, 2, 3]);
    let since = client.now;
    let sent = client.run_without_replies(since + 8 * SECOND);
    let moved = sent.iter().find(|(_, to)| *to != control).or_fail()?;
    expect_that!(moved.0, le(since + 1_500 * MS));
    expect_that!(moved.0, gt(since + SECOND));
    let tried: BTreeSet<SocketAddrV4> = sent.iter().map(|(_, to)| *to).collect();
    expect_that!(tried, eq(&addresses([1, 2, 3]).into_iter().collect::<BTreeSet<_>>()));
    Ok(())
}

#[gtest]
fn after_a_round_without_replies_the_seeds_are_asked() -> Result<()> {
    let (mut client, _) = settled(9, &[1, 2, 3]);
    client.session.set_seeds(addresses([7, 8]));
    let since = client.now;
    let sent = client.run_without_replies(since + 10 * SECOND);
    let to_seeds: Vec<&(Micros, SocketAddrV4)> = sent.iter().filter(|(_, to)| *to == address(7)).collect();
    expect_that!(to_seeds.len(), ge(1));
    expect_that!(to_seeds[0].0, le(since + 5 * SECOND));
    expect_that!(sent.iter().any(|(_, to)| *to == address(8)), eq(true));
    Ok(())
}

#[gtest]
fn a_view_from_a_seed_replaces_an_outdated_one() -> Result<()> {
    let (mut client, _) = settled(9, &[1, 2, 3]);
    client.session.set_seeds(addresses([7]));
    let newer = view(8, [4, 5, 6]);
    client.handle_reply(
        address(7),
        &SessionHeartbeatReply { granted: false, ..grant(100, Some(newer.clone())) },
    );
    expect_that!(client.session.view(), eq(&newer));
    let receivers_after = receivers(&client.next());
    expect_that!(receivers_after.len(), eq(1));
    expect_that!(newer.members, contains(eq(&receivers_after[0])));
    Ok(())
}

#[gtest]
fn an_older_view_is_not_learned() -> Result<()> {
    let (mut client, _) = settled(9, &[1, 2, 3]);
    client.session.learn_view(&view(2, [4, 5]));
    expect_that!(client.session.view(), eq(&view(3, [1, 2, 3])));
    client.session.learn_view(&view(3, [4, 5]));
    expect_that!(client.session.view(), eq(&view(3, [1, 2, 3])));
    Ok(())
}

#[gtest]
fn an_incarnation_that_was_overtaken_is_raised_beyond_it() -> Result<()> {
    let (mut client, control) = settled(9, &[1, 2, 3]);
    let refused = SessionHeartbeatReply { granted: false, seen_incarnation: 4_000, ..grant(100, None) };
    expect_that!(client.handle_reply(control, &refused), eq(false));
    let heartbeats = client.next();
    expect_that!(heartbeats[0].heartbeat.identity.incarnation, eq(4_001));
    expect_that!(client.now, le(SECOND));
    expect_that!(client.handle_reply(control, &grant(4_001, None)), eq(true));
    Ok(())
}

#[gtest]
fn a_grant_of_an_earlier_incarnation_grants_nothing() -> Result<()> {
    let (mut client, control) = settled(9, &[1, 2, 3]);
    let before = client.session.last_granted();
    client.now += SECOND;
    expect_that!(client.handle_reply(control, &grant(99, None)), eq(false));
    expect_that!(client.session.last_granted(), eq(before));
    Ok(())
}

#[gtest]
fn a_control_balancer_that_does_not_grant_is_given_up() -> Result<()> {
    let (mut client, control) = settled(9, &[1, 2, 3]);
    let since = client.now;
    let refused = SessionHeartbeatReply { granted: false, ..grant(100, None) };
    while client.now < since + 2 * SECOND {
        let heartbeats = client.next();
        for heartbeat in heartbeats.iter().filter(|heartbeat| heartbeat.to == control) {
            client.handle_reply(heartbeat.to, &refused);
        }
        if heartbeats.iter().any(|heartbeat| heartbeat.to != control) {
            return Ok(());
        }
    }
    fail!("the node stayed with a control balancer that does not grant its session")
}

#[gtest]
fn a_control_balancer_that_leaves_the_view_is_given_up_at_once() -> Result<()> {
    let (mut client, control) = settled(9, &[1, 2, 3]);
    let others: Vec<u8> = [1, 2, 3].into_iter().filter(|one| address(*one) != control).collect();
    client.session.learn_view(&view(4, others));
    expect_that!(receivers(&client.next()), not(contains(eq(&control))));
    Ok(())
}

#[gtest]
fn nodes_spread_over_the_control_balancers() -> Result<()> {
    let mut chosen = BTreeSet::new();
    for own in 10..60 {
        chosen.insert(settled(own, &[1, 2, 3, 4, 5]).1);
    }
    expect_that!(chosen.len(), eq(5));
    Ok(())
}

#[gtest]
fn the_replica_id_is_sent_once_there_is_one() -> Result<()> {
    let mut client = TestClient::new(2, &[1]);
    expect_that!(client.next()[0].heartbeat.identity.replica, none());
    client.session.set_replica(Some(77));
    expect_that!(client.next()[0].heartbeat.identity.replica, some(eq(77)));
    Ok(())
}
