//! A delayed heartbeat grants a lease from the time of its sending, not of its arrival.

mod cluster;

use cluster::{Cluster, MILLISECOND};
use googletest::prelude::*;
use gradepaddle_control::{Body, HeartbeatReply, Input, Message, Output, PreVoteReply, Prepare};

/// A founded core whose primary (place 0) is gone since this moment. Its latest heartbeats came in time.
fn without_primary() -> Cluster {
    let mut cluster = Cluster::bootstrapped(3, 1);
    cluster.run(2_000);
    cluster.cut(0);
    cluster
}

/// What place 1 says to another that says this, at this time.
fn answers(cluster: &mut Cluster, at: u64, from: usize, body: Body) -> Vec<Body> {
    let (sender, address) = (cluster.replica(from).id(), cluster.nodes[from].address);
    let mut out = Vec::new();
    let replica = cluster.nodes[1].replica.as_mut().expect("it runs");
    replica.handle(at, Input::Message { from: address, message: Message { sender, body } }, &mut out);
    let said = out.into_iter().filter_map(|output| match output {
        Output::Send { to, message } if to == address => Some(message.body),
        _ => None,
    });
    said.collect()
}

fn heartbeat(cluster: &mut Cluster, at: u64, epoch: u64, sent: u64) {
    let said = answers(cluster, at, 0, Body::Heartbeat { epoch, sent });
    let granted =
        said.iter().any(|body| matches!(body, Body::HeartbeatReply(HeartbeatReply { granted: true, .. })));
    assert!(granted, "it is the primary's");
}

/// Whether place 1 would promise an epoch to place 2 at this time.
fn is_free(cluster: &mut Cluster, at: u64) -> bool {
    let said = answers(cluster, at, 2, Body::PreVote { round: 9 });
    said.iter().any(|body| matches!(body, Body::PreVoteReply(PreVoteReply { granted: true, .. })))
}

#[gtest]
fn a_lease_runs_from_the_sending_of_its_heartbeat() {
    // When the last heartbeat came after it was sent, and from when on another may lead (milliseconds).
    for late in [0, 10, 400, 1_200, 1_490, 2_500, 60_000] {
        let mut cluster = without_primary();
        let epoch = cluster.replica(0).leading(cluster.now).expect("it leads");
        let sent = cluster.now;
        let came = sent + late * MILLISECOND;
        heartbeat(&mut cluster, came, epoch, sent);
        let bound = (sent + 1_499 * MILLISECOND).max(came);
        if late < 1_499 {
            expect_that!(is_free(&mut cluster, bound), eq(false), "{late} ms late, while the lease runs");
        }
        // What the clocks may differ by since the heartbeat before is allowed for.
        let over = (sent + 1_525 * MILLISECOND).max(came);
        expect_that!(is_free(&mut cluster, over), eq(true), "{late} ms late, after the lease");
    }
}

#[gtest]
fn a_reordered_heartbeat_shortens_no_lease() {
    let mut cluster = without_primary();
    let epoch = cluster.replica(0).leading(cluster.now).expect("it leads");
    let sent = cluster.now;
    heartbeat(&mut cluster, sent, epoch, sent);
    heartbeat(&mut cluster, sent + MILLISECOND, epoch, sent - 900 * MILLISECOND);
    expect_that!(is_free(&mut cluster, sent + 1_499 * MILLISECOND), eq(false));
    expect_that!(is_free(&mut cluster, sent + 1_525 * MILLISECOND), eq(true));
}

/// What was known of its clock is of no use after its restart: the clock has begun anew.
#[gtest]
fn a_restarted_primary_is_granted_full_leases() {
    let mut cluster = Cluster::bootstrapped(3, 1);
    cluster.run(2_000);
    cluster.crash(0);
    cluster.run(200);
    cluster.start(0);
    cluster.run(400);
    let epoch = cluster.replica(0).leading(cluster.now).expect("it leads again");
    expect_that!(epoch, gt(1));
    cluster.cut(0);
    cluster.run(1);
    let restarted = cluster.now + 300 * MILLISECOND;
    // The next epoch of a process whose clock shows less than any before.
    let next = epoch + 1;
    let prepare = Body::Prepare(Prepare { epoch: next, position: None, released: None });
    answers(&mut cluster, restarted, 0, prepare);
    cluster.settle();
    heartbeat(&mut cluster, restarted, next, 5 * MILLISECOND);
    heartbeat(&mut cluster, restarted + 900 * MILLISECOND, next, 905 * MILLISECOND);
    expect_that!(is_free(&mut cluster, restarted + 2_399 * MILLISECOND), eq(false));
    expect_that!(is_free(&mut cluster, restarted + 2_480 * MILLISECOND), eq(true));
}
