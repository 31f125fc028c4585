//! A primary loses its quorum for twenty seconds, in each kind of partition, while clients call both sides.

mod cluster;

use std::collections::BTreeSet;

use cluster::{Cluster, put};
use googletest::prelude::*;
use gradepaddle_control::{Change, Outcome, ProposalId};

/// How long the trouble lasts, in milliseconds.
const FAULT_DURATION: u64 = 20_000;
/// Somebody asks at each place this often, in milliseconds.
const ASK_EVERY: u64 = 100;
/// A lease that was renewed just before the cut has run out after this, in milliseconds.
const LEASE: u64 = 1_500;
/// A proposal is answered within this, in milliseconds.
const ANSWER_LIMIT: u64 = 3_500;

/// How a machine loses contact.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LinkFault {
    /// Nothing gets through in either direction.
    Partition,
    /// It hears nobody, and all hear it.
    Deaf,
    /// All hear nothing of it, and it hears all.
    Mute,
    /// It is cut off, and frozen from one quarter of the time to three.
    PartitionAndSuspend,
    /// The process stands still; its links are well.
    Suspend,
}

const FAULTS: [LinkFault; 5] = [
    LinkFault::Partition,
    LinkFault::Deaf,
    LinkFault::Mute,
    LinkFault::PartitionAndSuspend,
    LinkFault::Suspend,
];

/// A change that was asked for.
struct Asked {
    place: usize,
    at: u64,
    if_match: u64,
    proposal_id: ProposalId,
    judged: bool,
}

/// A core with a place in trouble, and callers everywhere.
struct Course {
    cluster: Cluster,
    affected: usize,
    fault: LinkFault,
    began: u64,
    ended: Option<u64>,
    asked: Vec<Asked>,
    next_fingerprint: u128,
    /// The newest version that was acknowledged.
    newest: u64,
    /// The versions on top of which a change was acknowledged.
    taken_on: BTreeSet<u64>,
    acknowledged_elsewhere: Option<u64>,
}

fn ensure(holds: bool, otherwise: impl FnOnce() -> String) -> Result<()> {
    if holds { Ok(()) } else { fail!("{}", otherwise()) }
}

impl Course {
    fn new(size: usize, losses: usize, affected: usize, fault: LinkFault) -> Course {
        let mut cluster = Cluster::bootstrapped(size, losses);
        let proposal_id = cluster.ask(0, put(0, 1, 1));
        cluster.run(700);
        assert_eq!(cluster.answer(proposal_id), Some(Outcome::Committed));
        let began = cluster.now / cluster::MILLISECOND;
        Course {
            cluster,
            affected,
            fault,
            began,
            ended: None,
            asked: Vec::new(),
            next_fingerprint: 1,
            newest: 1,
            taken_on: BTreeSet::new(),
            acknowledged_elsewhere: None,
        }
    }

    fn milliseconds(&self) -> u64 {
        self.cluster.now / cluster::MILLISECOND
    }

    fn begin_trouble(&mut self) {
        let affected = self.affected;
        for other in (0..self.cluster.nodes.len()).filter(|other| *other != affected) {
            if matches!(self.fault, LinkFault::Partition | LinkFault::Deaf | LinkFault::PartitionAndSuspend) {
                self.cluster.cut_link(other, affected);
            }
            if matches!(self.fault, LinkFault::Partition | LinkFault::Mute | LinkFault::PartitionAndSuspend) {
                self.cluster.cut_link(affected, other);
            }
        }
        if self.fault == LinkFault::Suspend {
            self.cluster.suspend(affected);
        }
    }

    fn end_trouble(&mut self) {
        self.cluster.heal_network();
        self.cluster.resume(self.affected);
        self.ended = Some(self.milliseconds());
    }

    /// Two operators ask for different changes on top of the newest version, at each place that answers.
    fn ask(&mut self) {
        let at = self.milliseconds();
        for place in 0..self.cluster.nodes.len() {
            for _ in 0..2 {
                if self.cluster.nodes[place].suspended {
                    continue;
                }
                self.next_fingerprint += 1;
                let change: Change = put(self.newest, self.newest + 1, self.next_fingerprint);
                let proposal_id = self.cluster.ask(place, change);
                let if_match = self.newest;
                self.asked.push(Asked { place, at, if_match, proposal_id, judged: false });
            }
        }
    }

    /// Looks at all answers and at who may be read.
    fn judge(&mut self) -> Result<()> {
        let now = self.milliseconds();
        let old_lease_is_over = now >= self.began + LEASE;
        let mut leaders = Vec::new();
        for place in 0..self.cluster.nodes.len() {
            let Some(reading) = self.cluster.replica(place).read(self.cluster.now) else { continue };
            leaders.push(place);
            let version = reading.state.current_version();
            ensure(version >= self.newest, || format!("{version} is read at {place}, not {}", self.newest))?;
        }
        ensure(leaders.len() <= 1, || format!("{leaders:?} lead"))?;
        for asked in &mut self.asked {
            let Some(outcome) = self.cluster.answer(asked.proposal_id).filter(|_| !asked.judged) else {
                continue;
            };
            asked.judged = true;
            let clear = !matches!(outcome, Outcome::Unknown | Outcome::NotPrimary { .. });
            let cut_off = asked.place == self.affected && old_lease_is_over && self.ended.is_none();
            ensure(!clear || !cut_off, || format!("{outcome:?} without contact at {now} ms"))?;
            match outcome {
                Outcome::Committed => {
                    let first = self.taken_on.insert(asked.if_match);
                    ensure(first, || format!("two changes are taken on top of {}", asked.if_match))?;
                    self.newest = self.newest.max(asked.if_match + 1);
                    if asked.place != self.affected {
                        self.acknowledged_elsewhere = self.acknowledged_elsewhere.or(Some(now));
                    }
                }
                Outcome::Conflict { current } => {
                    ensure(current > asked.if_match, || format!("{current} is refused without a rival"))?;
                    self.newest = self.newest.max(current);
                }
                Outcome::VersionNotHigher { .. } => return fail!("a version that rises is refused"),
                _ => {}
            }
        }
        self.asked.retain(|asked| !asked.judged);
        let overdue = self
            .asked
            .iter()
            .find(|asked| now > asked.at + ANSWER_LIMIT + 100 && !self.cluster.nodes[asked.place].suspended);
        verify_that!(overdue.map(|asked| (asked.place, asked.at)), none())
    }

    fn go_on(&mut self, milliseconds: u64) -> Result<()> {
        for step in 0..milliseconds / 5 {
            if (step * 5).is_multiple_of(ASK_EVERY) {
                self.ask();
            }
            self.cluster.run(5);
            self.judge()?;
        }
        Ok(())
    }

    /// The whole course; gives how long the others took to acknowledge again, and how long all took after the end.
    fn play(mut self) -> Result<(u64, u64)> {
        self.begin_trouble();
        self.go_on(FAULT_DURATION / 4)?;
        if self.fault == LinkFault::PartitionAndSuspend {
            self.cluster.suspend(self.affected);
        }
        self.go_on(FAULT_DURATION / 2)?;
        if self.fault == LinkFault::PartitionAndSuspend {
            self.cluster.resume(self.affected);
        }
        self.go_on(FAULT_DURATION / 4)?;
        let elsewhere = self.acknowledged_elsewhere.map(|at| at - self.began);
        ensure(elsewhere.is_some(), || format!("{:?}: the others acknowledged nothing", self.fault))?;
        self.end_trouble();
        let recovered = self.recovery()?;
        Ok((elsewhere.or_fail()?, recovered))
    }

    /// The time from the end of the trouble until the place that had it knows whom all others follow.
    fn recovery(&mut self) -> Result<u64> {
        let ended = self.milliseconds();
        while self.milliseconds() < ended + 5_000 {
            self.go_on(5)?;
            let leader = self.cluster.leader();
            let known = self.cluster.replica(self.affected).primary_address();
            if leader.is_some_and(|leader| known == Some(self.cluster.nodes[leader].address)) {
                return Ok(self.milliseconds() - ended);
            }
        }
        ensure(false, || "no common leader within 5 s".to_owned())?;
        Ok(u64::MAX)
    }
}

/// Design page, points 3 to 5: nothing is decided without the lease, and those that can talk go on.
#[gtest]
fn a_primary_without_quorum_decides_nothing_and_is_replaced() -> Result<()> {
    for (size, losses) in [(3, 1), (5, 2), (8, 2)] {
        for fault in FAULTS {
            let course = Course::new(size, losses, 0, fault);
            let (elsewhere, recovered) = course.play()?;
            println!(
                "{size} replicas, {fault:?}: others after {elsewhere} ms, all {recovered} ms after the end"
            );
            expect_that!(elsewhere, lt(4_000), "{size} replicas, {fault:?}");
            expect_that!(recovered, lt(1_000), "{size} replicas, {fault:?}");
        }
    }
    Ok(())
}

/// The same for a backup and for a witness: the primary goes on with the others.
#[gtest]
fn a_partitioned_member_delays_others_only_briefly() -> Result<()> {
    for affected in [1, 2] {
        for fault in FAULTS {
            let course = Course::new(3, 1, affected, fault);
            let (elsewhere, recovered) = course.play()?;
            println!(
                "place {affected}, {fault:?}: others after {elsewhere} ms, all {recovered} ms after the end"
            );
            expect_that!(elsewhere, lt(4_000), "place {affected}, {fault:?}");
            expect_that!(recovered, lt(1_000), "place {affected}, {fault:?}");
        }
    }
    Ok(())
}
