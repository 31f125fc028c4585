//! The bounds of a process, for machines of all sizes.

use googletest::prelude::*;
use gradepaddle_resources::ResourcePlan;

const BYTES_PER_MB: usize = 1_000_000;
/// Descriptors for files outside the disk folder (`DEPLOY.md`).
const RESERVED_DESCRIPTORS: usize = 200;

/// Guards against bounds whose sum is more than the machine has: what is held for others leaves two fifths of the memory to
/// the node's own state.
#[gtest]
fn the_bounds_fit_the_machine_and_leave_room_for_the_own_state() {
    for memory_mb in [48, 64, 160, 260, 1_000, 16_000] {
        let plan = ResourcePlan::new(memory_mb, 4_100);
        let memory = memory_mb as usize * BYTES_PER_MB;
        let held = plan.front.max_bytes() + plan.control.max_bytes() + plan.response_bytes;
        let own = memory - held;
        expect_that!(own, ge(memory * 2 / 5), "{memory_mb} MB");
        expect_that!(plan.readiness.max_bytes(), le(own / 5), "{memory_mb} MB");
        if memory_mb >= 160 {
            let for_peers = plan.peers.total_bytes + plan.peer_send_bytes;
            expect_that!(own - for_peers, ge(memory * 3 / 10), "{memory_mb} MB");
        }
    }
}

/// Guards against more connections than descriptors: each client may have a connection to a server too.
#[gtest]
fn the_connections_fit_the_descriptors() {
    for open_files in [400, 1_024, 4_100, 65_536] {
        for memory_mb in [64, 260, 64_000] {
            let plan = ResourcePlan::new(memory_mb, open_files);
            let connections = 2 * plan.front.clients.max_connections
                + plan.control.clients.max_connections
                + plan.readiness.clients.max_connections
                + plan.idle_upstreams
                + 2 * plan.peers.max_connections;
            expect_that!(
                connections + RESERVED_DESCRIPTORS,
                le(open_files as usize),
                "{open_files} files, {memory_mb} MB"
            );
        }
    }
}

/// Guards against bounds that clients within the limits of the pages would meet: a machine of the sites holds the longest body
/// and the longest call several times, and hundreds of clients.
#[gtest]
fn a_machine_of_the_sites_serves_clients_within_the_limits() {
    let plan = ResourcePlan::new(260, 4_100);
    let (front, control) = (plan.front.clients, plan.control.clients);
    expect_that!(front.max_connections, ge(400));
    expect_that!(front.total_bytes - front.max_connections * front.connection_bytes, ge(8 * 4 * 1024 * 1024));
    expect_that!(control.max_connections, ge(100));
    expect_that!(plan.peers.max_connections, ge(400));
    expect_that!(plan.peers.total_bytes - 300 * plan.peers.connection_bytes, ge(6 * 1024 * 1024 + 8));
    expect_that!(plan.front.backlog, ge(256));
    expect_that!(plan.control.backlog, ge(128));
}

/// Guards against an overflow or an address that accepts nobody, for settings out of the ordinary.
#[gtest]
fn extreme_settings_have_a_plan() {
    for (memory_mb, open_files) in [(0, 0), (1, 1), (u64::MAX, u64::MAX)] {
        let plan = ResourcePlan::new(memory_mb, open_files);
        for listener in [plan.front, plan.control, plan.readiness] {
            expect_that!(listener.clients.max_connections, gt(0));
            expect_that!(listener.backlog, gt(0));
        }
    }
}
