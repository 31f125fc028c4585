//! A heartbeat that comes late grants a lease from its sending, not from its coming.

mod bench;

use bench::{Bench, MILLISECOND};
use googletest::prelude::*;
use gradepaddle_control::{Body, HeartbeatReply, Input, Message, Output, PreVoteReply, Prepare};

/// A founded core whose primary (place 0) is gone since this moment. Its latest heartbeats came in time.
fn without_primary() -> Bench {
    let mut bench = Bench::founded(3, 1);
    bench.run(2_000);
    bench.cut(0);
    bench
}

/// What place 1 says to another that says this, at this time.
fn answers(bench: &mut Bench, at: u64, from: usize, body: Body) -> Vec<Body> {
    let (sender, address) = (bench.replica(from).id(), bench.seats[from].address);
    let mut out = Vec::new();
    let replica = bench.seats[1].replica.as_mut().expect("it runs");
    replica.handle(at, Input::Message { from: address, message: Message { sender, body } }, &mut out);
    let said = out.into_iter().filter_map(|output| match output {
        Output::Send { to, message } if to == address => Some(message.body),
        _ => None,
    });
    said.collect()
}

fn heartbeat(bench: &mut Bench, at: u64, epoch: u64, sent: u64) {
    let said = answers(bench, at, 0, Body::Heartbeat { epoch, sent });
    let granted =
        said.iter().any(|body| matches!(body, Body::HeartbeatReply(HeartbeatReply { granted: true, .. })));
    assert!(granted, "it is the primary's");
}

/// Whether place 1 would promise an epoch to place 2 at this time.
fn is_free(bench: &mut Bench, at: u64) -> bool {
    let said = answers(bench, at, 2, Body::PreVote { epoch: 9 });
    said.iter().any(|body| matches!(body, Body::PreVoteReply(PreVoteReply { granted: true, .. })))
}

#[gtest]
fn a_lease_runs_from_the_sending_of_its_heartbeat() {
    // When the last heartbeat came after it was sent, and from when on another may lead (milliseconds).
    for late in [0, 10, 400, 1_200, 1_490, 2_500, 60_000] {
        let mut bench = without_primary();
        let epoch = bench.replica(0).leading(bench.now).expect("it leads");
        let sent = bench.now;
        let came = sent + late * MILLISECOND;
        heartbeat(&mut bench, came, epoch, sent);
        let bound = (sent + 1_499 * MILLISECOND).max(came);
        if late < 1_499 {
            expect_that!(is_free(&mut bench, bound), eq(false), "{late} ms late, while the lease runs");
        }
        // What the clocks may differ by since the heartbeat before is allowed for.
        let over = (sent + 1_525 * MILLISECOND).max(came);
        expect_that!(is_free(&mut bench, over), eq(true), "{late} ms late, after the lease");
    }
}

#[gtest]
fn a_heartbeat_that_was_overtaken_shortens_no_lease() {
    let mut bench = without_primary();
    let epoch = bench.replica(0).leading(bench.now).expect("it leads");
    let sent = bench.now;
    heartbeat(&mut bench, sent, epoch, sent);
    heartbeat(&mut bench, sent + MILLISECOND, epoch, sent - 900 * MILLISECOND);
    expect_that!(is_free(&mut bench, sent + 1_499 * MILLISECOND), eq(false));
    expect_that!(is_free(&mut bench, sent + 1_525 * MILLISECOND), eq(true));
}

/// What was known of its clock is of no use after its restart: the clock has begun anew.
#[gtest]
fn a_primary_that_restarted_is_granted_whole_leases() {
    let mut bench = Bench::founded(3, 1);
    bench.run(2_000);
    bench.crash(0);
    bench.run(200);
    bench.start(0);
    bench.run(400);
    let epoch = bench.replica(0).leading(bench.now).expect("it leads again");
    expect_that!(epoch, gt(1));
    bench.cut(0);
    bench.run(1);
    let restarted = bench.now + 300 * MILLISECOND;
    // The next epoch of a process whose clock shows less than any before.
    let next = epoch + 1;
    let prepare = Body::Prepare(Prepare { epoch: next, position: None, released: None });
    answers(&mut bench, restarted, 0, prepare);
    bench.settle();
    heartbeat(&mut bench, restarted, next, 5 * MILLISECOND);
    heartbeat(&mut bench, restarted + 900 * MILLISECOND, next, 905 * MILLISECOND);
    expect_that!(is_free(&mut bench, restarted + 2_399 * MILLISECOND), eq(false));
    expect_that!(is_free(&mut bench, restarted + 2_480 * MILLISECOND), eq(true));
}
