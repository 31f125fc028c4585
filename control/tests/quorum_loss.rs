//! A member loses contact for twenty seconds, with each kind of link fault, while clients propose changes at all nodes.

mod cluster;

use std::collections::BTreeSet;

use cluster::{Cluster, put};
use googletest::prelude::*;
use gradepaddle_control::{Change, Outcome, ProposalId};

/// How long the fault lasts, in milliseconds.
const FAULT_DURATION: u64 = 20_000;
/// Interval between the proposals at each node, in milliseconds.
const PROPOSAL_INTERVAL: u64 = 100;
/// A lease that was renewed just before the fault has expired after this time, in milliseconds.
const LEASE: u64 = 1_500;
/// A proposal is answered within this time, in milliseconds.
const ANSWER_LIMIT: u64 = 3_500;

/// How a member loses contact.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LinkFault {
    /// All messages from and to it are lost.
    Partition,
    /// All messages to it are lost; those from it arrive.
    InboundPartition,
    /// All messages from it are lost; those to it arrive.
    OutboundPartition,
    /// All messages from and to it are lost, and it is suspended from one quarter of the time to three quarters.
    PartitionAndSuspend,
    /// The process is suspended; its links work.
    Suspend,
}

const FAULTS: [LinkFault; 5] = [
    LinkFault::Partition,
    LinkFault::InboundPartition,
    LinkFault::OutboundPartition,
    LinkFault::PartitionAndSuspend,
    LinkFault::Suspend,
];

/// A proposed change.
struct Proposed {
    node_index: usize,
    at: u64,
    if_match: u64,
    proposal_id: ProposalId,
    checked: bool,
}

/// A cluster with one affected node, and clients at all nodes.
struct Scenario {
    cluster: Cluster,
    affected: usize,
    fault: LinkFault,
    began: u64,
    ended: Option<u64>,
    proposed: Vec<Proposed>,
    next_fingerprint: u128,
    /// The newest version that was acknowledged.
    newest: u64,
    /// The versions on top of which a change was committed.
    committed_bases: BTreeSet<u64>,
    acknowledged_elsewhere: Option<u64>,
}

fn ensure(holds: bool, message: impl FnOnce() -> String) -> Result<()> {
    if holds { Ok(()) } else { fail!("{}", message()) }
}

impl Scenario {
    fn new(size: usize, losses: usize, affected: usize, fault: LinkFault) -> Scenario {
        let mut cluster = Cluster::bootstrapped(size, losses);
        let proposal_id = cluster.propose(0, put(0, 1, 1));
        cluster.run(700);
        assert_eq!(cluster.answer(proposal_id), Some(Outcome::Committed));
        let began = cluster.now / cluster::MILLISECOND;
        Scenario {
            cluster,
            affected,
            fault,
            began,
            ended: None,
            proposed: Vec::new(),
            next_fingerprint: 1,
            newest: 1,
            committed_bases: BTreeSet::new(),
            acknowledged_elsewhere: None,
        }
    }

    fn milliseconds(&self) -> u64 {
        self.cluster.now / cluster::MILLISECOND
    }

    fn inject_fault(&mut self) {
        let affected = self.affected;
        for other in (0..self.cluster.nodes.len()).filter(|other| *other != affected) {
            if matches!(
                self.fault,
                LinkFault::Partition | LinkFault::InboundPartition | LinkFault::PartitionAndSuspend
            ) {
                self.cluster.cut_link(other, affected);
            }
            if matches!(
                self.fault,
                LinkFault::Partition | LinkFault::OutboundPartition | LinkFault::PartitionAndSuspend
            ) {
                self.cluster.cut_link(affected, other);
            }
        }
        if self.fault == LinkFault::Suspend {
            self.cluster.suspend(affected);
        }
    }

    fn end_fault(&mut self) {
        self.cluster.heal_network();
        self.cluster.resume(self.affected);
        self.ended = Some(self.milliseconds());
    }

    /// Proposes two conflicting changes on top of the newest version at each node that isn't suspended.
    fn propose(&mut self) {
        let at = self.milliseconds();
        for node_index in 0..self.cluster.nodes.len() {
            for _ in 0..2 {
                if self.cluster.nodes[node_index].suspended {
                    continue;
                }
                self.next_fingerprint += 1;
                let change: Change = put(self.newest, self.newest + 1, self.next_fingerprint);
                let proposal_id = self.cluster.propose(node_index, change);
                let if_match = self.newest;
                self.proposed.push(Proposed { node_index, at, if_match, proposal_id, checked: false });
            }
        }
    }

    /// Checks all answers, and the states that can be read.
    fn check_answers(&mut self) -> Result<()> {
        let now = self.milliseconds();
        let old_lease_expired = now >= self.began + LEASE;
        let mut leaders = Vec::new();
        for node_index in 0..self.cluster.nodes.len() {
            let Some(reading) = self.cluster.replica(node_index).read(self.cluster.now) else { continue };
            leaders.push(node_index);
            let version = reading.state.current_version();
            ensure(version >= self.newest, || {
                format!("{version} is read at {node_index}, not {}", self.newest)
            })?;
        }
        ensure(leaders.len() <= 1, || format!("several primaries: {leaders:?}"))?;
        for proposed in &mut self.proposed {
            let Some(outcome) = self.cluster.answer(proposed.proposal_id).filter(|_| !proposed.checked)
            else {
                continue;
            };
            proposed.checked = true;
            let clear = !matches!(outcome, Outcome::Unknown | Outcome::NotPrimary { .. });
            let cut_off = proposed.node_index == self.affected && old_lease_expired && self.ended.is_none();
            ensure(!clear || !cut_off, || format!("{outcome:?} without a quorum at {now} ms"))?;
            match outcome {
                Outcome::Committed => {
                    let first = self.committed_bases.insert(proposed.if_match);
                    ensure(first, || format!("two changes are committed on top of {}", proposed.if_match))?;
                    self.newest = self.newest.max(proposed.if_match + 1);
                    if proposed.node_index != self.affected {
                        self.acknowledged_elsewhere = self.acknowledged_elsewhere.or(Some(now));
                    }
                }
                Outcome::Conflict { current } => {
                    ensure(current > proposed.if_match, || {
                        format!("rejected for a conflict with {current}, which is not newer")
                    })?;
                    self.newest = self.newest.max(current);
                }
                Outcome::VersionNotHigher { .. } => return fail!("a higher version was rejected"),
                _ => {}
            }
        }
        self.proposed.retain(|proposed| !proposed.checked);
        let overdue = self.proposed.iter().find(|proposed| {
            now > proposed.at + ANSWER_LIMIT + 100 && !self.cluster.nodes[proposed.node_index].suspended
        });
        verify_that!(overdue.map(|proposed| (proposed.node_index, proposed.at)), none())
    }

    fn run(&mut self, milliseconds: u64) -> Result<()> {
        for step in 0..milliseconds / 5 {
            if (step * 5).is_multiple_of(PROPOSAL_INTERVAL) {
                self.propose();
            }
            self.cluster.run(5);
            self.check_answers()?;
        }
        Ok(())
    }

    /// Runs the scenario. Returns how long the other nodes took to commit again after the fault began, and how long all
    /// took to recover after it ended.
    fn play(mut self) -> Result<(u64, u64)> {
        self.inject_fault();
        self.run(FAULT_DURATION / 4)?;
        if self.fault == LinkFault::PartitionAndSuspend {
            self.cluster.suspend(self.affected);
        }
        self.run(FAULT_DURATION / 2)?;
        if self.fault == LinkFault::PartitionAndSuspend {
            self.cluster.resume(self.affected);
        }
        self.run(FAULT_DURATION / 4)?;
        let elsewhere = self.acknowledged_elsewhere.map(|at| at - self.began);
        ensure(elsewhere.is_some(), || format!("{:?}: the others acknowledged nothing", self.fault))?;
        self.end_fault();
        let recovered = self.recovery()?;
        Ok((elsewhere.or_fail()?, recovered))
    }

    /// The time from the end of the fault until the affected node knows the primary.
    fn recovery(&mut self) -> Result<u64> {
        let ended = self.milliseconds();
        while self.milliseconds() < ended + 5_000 {
            self.run(5)?;
            let leader = self.cluster.leader();
            let known = self.cluster.replica(self.affected).primary_address();
            if leader.is_some_and(|leader| known == Some(self.cluster.nodes[leader].address)) {
                return Ok(self.milliseconds() - ended);
            }
        }
        ensure(false, || "the affected node doesn't know the primary within 5 s".to_owned())?;
        Ok(u64::MAX)
    }
}

/// Points 3 to 5 of the design page: nothing is decided without the lease, and the nodes that can communicate continue.
#[gtest]
fn a_primary_without_quorum_decides_nothing_and_is_replaced() -> Result<()> {
    for (size, losses) in [(3, 1), (5, 2), (8, 2)] {
        for fault in FAULTS {
            let scenario = Scenario::new(size, losses, 0, fault);
            let (elsewhere, recovered) = scenario.play()?;
            println!(
                "{size} replicas, {fault:?}: others after {elsewhere} ms, all {recovered} ms after the end"
            );
            expect_that!(elsewhere, lt(4_000), "{size} replicas, {fault:?}");
            expect_that!(recovered, lt(1_000), "{size} replicas, {fault:?}");
        }
    }
    Ok(())
}

/// The same for a backup and for a witness: the primary continues with the other members.
#[gtest]
fn a_partitioned_member_delays_others_only_briefly() -> Result<()> {
    for affected in [1, 2] {
        for fault in FAULTS {
            let scenario = Scenario::new(3, 1, affected, fault);
            let (elsewhere, recovered) = scenario.play()?;
            println!(
                "node {affected}, {fault:?}: others after {elsewhere} ms, all {recovered} ms after the end"
            );
            expect_that!(elsewhere, lt(4_000), "node {affected}, {fault:?}");
            expect_that!(recovered, lt(1_000), "node {affected}, {fault:?}");
        }
    }
    Ok(())
}
