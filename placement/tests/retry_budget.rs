//! The retry budget holds as a sum over all nodes, however uneven their shares.

mod common;

use common::MS;
use googletest::prelude::*;
use gradepaddle_placement::RetryBudget;

const WINDOW: u64 = 10_000 * MS;
const TICK: u64 = 20 * MS;

struct Fleet {
    nodes: Vec<RetryBudget>,
    shares: Vec<f64>,
    due_requests: Vec<f64>,
    requests: Vec<u32>,
    retries: Vec<u32>,
}

impl Fleet {
    fn new(count: usize, ratio: f64, slack: f64, skew: f64) -> Fleet {
        let mut nodes = vec![RetryBudget::new(ratio, slack, WINDOW); count];
        nodes.iter_mut().for_each(|node| node.set_balancer_count(0, count));
        let shares: Vec<f64> = (1..=count).map(|rank| (rank as f64).powf(-skew)).collect();
        let all: f64 = shares.iter().sum();
        let shares = shares.iter().map(|share| share / all).collect();
        Fleet { nodes, shares, due_requests: vec![0.0; count], requests: vec![], retries: vec![] }
    }

    /// One tick at this rate a second; each node retries as often as it may.
    fn tick(&mut self, rate: f64) {
        let now = self.requests.len() as u64 * TICK + WINDOW;
        let (mut requests, mut retries) = (0, 0);
        for (at, node) in self.nodes.iter_mut().enumerate() {
            self.due_requests[at] += rate * self.shares[at] * TICK as f64 / 1e6;
            while self.due_requests[at] >= 1.0 {
                self.due_requests[at] -= 1.0;
                node.record_request(now);
                requests += 1;
            }
            while node.may_retry(now) {
                node.record_retry(now);
                retries += 1;
            }
        }
        self.requests.push(requests);
        self.retries.push(retries);
    }

    /// The most by which the retries in a sliding window exceed the bound, and the most retries in one.
    fn worst(&self, ratio: f64, slack: f64) -> (f64, u32) {
        let window = (WINDOW / TICK) as usize;
        let sum = |counts: &[u32], from: usize| counts[from..from + window].iter().sum::<u32>();
        let mut worst = f64::NEG_INFINITY;
        let mut max_retries = 0;
        for from in window..self.requests.len() - window {
            let requests = [0, window / 2, window].map(|back| sum(&self.requests, from - back));
            let requests = requests.into_iter().max().unwrap_or(0);
            let retries = sum(&self.retries, from);
            worst = worst.max(f64::from(retries) - ratio * f64::from(requests) - slack);
            max_retries = max_retries.max(retries);
        }
        (worst, max_retries)
    }
}

#[gtest]
fn no_window_exceeds_the_retry_bound_over_all_nodes() {
    for (count, slack) in [(1, 58.0), (9, 58.0), (9, 60.0), (78, 58.0), (78, 10.0)] {
        for skew in [0.0, 0.7, 1.5] {
            for pattern in [0, 1, 2] {
                let mut fleet = Fleet::new(count, 0.2, slack, skew);
                for tick in 0..5_000 {
                    let rate = match pattern {
                        0 => 95.0,
                        1 => 60.0 * (1.0 + (f64::from(tick) / 300.0).sin()),
                        _ => f64::from(u8::from(tick % 1_250 < 250)) * 300.0,
                    };
                    fleet.tick(rate);
                }
                let (worst, max_retries) = fleet.worst(0.2, slack);
                println!(
                    "{count} nodes, slack {slack}, skew {skew}, pattern {pattern}: {worst:.1} {max_retries}"
                );
                expect_that!(worst, le(0.0));
                // The budget can be used.
                expect_that!(max_retries, gt(50));
            }
        }
    }
}

#[gtest]
fn a_node_without_requests_retries_within_its_share_of_the_slack() {
    let mut node = RetryBudget::new(0.2, 58.0, WINDOW);
    node.set_balancer_count(0, 9);
    let retries = (0..100).filter(|_| {
        let may = node.may_retry(WINDOW);
        if may {
            node.record_retry(WINDOW);
        }
        may
    });
    expect_that!(retries.count(), eq(5));
    // A window later, again.
    expect_that!(node.may_retry(2 * WINDOW), eq(false));
    expect_that!(node.may_retry(2 * WINDOW + WINDOW / 50), eq(true));
}

#[gtest]
fn fewer_balancers_count_only_after_several_windows() {
    let mut node = RetryBudget::new(0.2, 58.0, WINDOW);
    node.set_balancer_count(WINDOW, 78);
    node.set_balancer_count(2 * WINDOW, 1);
    expect_that!(node.may_retry(2 * WINDOW), eq(false));
    node.set_balancer_count(5 * WINDOW, 1);
    expect_that!(node.may_retry(5 * WINDOW), eq(true));
}

#[gtest]
fn each_service_has_its_own_retry_budget() {
    let mut node = common::placer(1);
    node.set_balancer_count(78);
    expect_that!(node.may_retry(WINDOW, "a"), eq(false));
    (0..100).for_each(|_| node.record_request(WINDOW, "a"));
    expect_that!(node.may_retry(WINDOW, "a"), eq(true));
    expect_that!(node.may_retry(WINDOW, "b"), eq(false));
    (0..16).for_each(|_| node.record_retry(WINDOW, "a"));
    expect_that!(node.may_retry(WINDOW, "a"), eq(false));
}
