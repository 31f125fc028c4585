//! The lease that a delayed heartbeat renews counts from the time of its sending, not of its arrival.

mod cluster;

use cluster::{Cluster, MILLISECOND};
use googletest::prelude::*;
use gradepaddle_control::{Body, HeartbeatReply, Input, Message, Output, PreVoteReply, Prepare};

/// A bootstrapped cluster whose primary (node 0) has just been partitioned. Its latest heartbeats arrived in time.
fn without_primary() -> Cluster {
    let mut cluster = Cluster::bootstrapped(3, 1);
    cluster.run(2_000);
    cluster.cut(0);
    cluster
}

/// The replies of node 1 to a message that it receives from another node at this time.
fn replies(cluster: &mut Cluster, at: u64, from: usize, body: Body) -> Vec<Body> {
    let (sender, address) = (cluster.replica(from).id(), cluster.nodes[from].address);
    let mut out = Vec::new();
    let replica = cluster.nodes[1].replica.as_mut().expect("the replica is running");
    replica.handle(at, Input::Message { from: address, message: Message { sender, body } }, &mut out);
    let said = out.into_iter().filter_map(|output| match output {
        Output::Send { to, message } if to == address => Some(message.body),
        _ => None,
    });
    said.collect()
}

fn heartbeat(cluster: &mut Cluster, at: u64, epoch: u64, sent: u64) {
    let said = replies(cluster, at, 0, Body::Heartbeat { epoch, sent });
    let granted =
        said.iter().any(|body| matches!(body, Body::HeartbeatReply(HeartbeatReply { granted: true, .. })));
    assert!(granted, "the heartbeat is from the primary");
}

/// Whether node 1 would promise an epoch to node 2 at this time.
fn would_promise(cluster: &mut Cluster, at: u64) -> bool {
    let said = replies(cluster, at, 2, Body::PreVote { round: 9 });
    said.iter().any(|body| matches!(body, Body::PreVoteReply(PreVoteReply { granted: true, .. })))
}

#[gtest]
fn a_lease_runs_from_the_sending_of_its_heartbeat() {
    // How long after its sending the last heartbeat arrives, in milliseconds.
    for delay in [0, 10, 400, 1_200, 1_490, 2_500, 60_000] {
        let mut cluster = without_primary();
        let epoch = cluster.replica(0).leading(cluster.now).expect("it is primary");
        let sent = cluster.now;
        let arrived = sent + delay * MILLISECOND;
        heartbeat(&mut cluster, arrived, epoch, sent);
        let bound = (sent + 1_499 * MILLISECOND).max(arrived);
        if delay < 1_499 {
            expect_that!(
                would_promise(&mut cluster, bound),
                eq(false),
                "{delay} ms late, while the lease runs"
            );
        }
        // Later than the 1,500 ms of the lease by an allowance for the clock drift since the heartbeat before.
        let over = (sent + 1_525 * MILLISECOND).max(arrived);
        expect_that!(would_promise(&mut cluster, over), eq(true), "{delay} ms late, after the lease");
    }
}

#[gtest]
fn a_reordered_heartbeat_shortens_no_lease() {
    let mut cluster = without_primary();
    let epoch = cluster.replica(0).leading(cluster.now).expect("it is primary");
    let sent = cluster.now;
    heartbeat(&mut cluster, sent, epoch, sent);
    heartbeat(&mut cluster, sent + MILLISECOND, epoch, sent - 900 * MILLISECOND);
    expect_that!(would_promise(&mut cluster, sent + 1_499 * MILLISECOND), eq(false));
    expect_that!(would_promise(&mut cluster, sent + 1_525 * MILLISECOND), eq(true));
}

/// After a restart of the primary, what members knew of its clock no longer holds: the clock has started again.
#[gtest]
fn a_restarted_primary_is_granted_full_leases() {
    let mut cluster = Cluster::bootstrapped(3, 1);
    cluster.run(2_000);
    cluster.crash(0);
    cluster.run(200);
    cluster.start(0);
    cluster.run(400);
    let epoch = cluster.replica(0).leading(cluster.now).expect("it is primary again");
    expect_that!(epoch, gt(1));
    cluster.cut(0);
    cluster.run(1);
    let restarted = cluster.now + 300 * MILLISECOND;
    // The next epoch, of a process whose clock shows less than at any time before.
    let next = epoch + 1;
    let prepare = Body::Prepare(Prepare { epoch: next, position: None, released: None });
    replies(&mut cluster, restarted, 0, prepare);
    cluster.settle();
    heartbeat(&mut cluster, restarted, next, 5 * MILLISECOND);
    heartbeat(&mut cluster, restarted + 900 * MILLISECOND, next, 905 * MILLISECOND);
    expect_that!(would_promise(&mut cluster, restarted + 2_399 * MILLISECOND), eq(false));
    expect_that!(would_promise(&mut cluster, restarted + 2_480 * MILLISECOND), eq(true));
}
