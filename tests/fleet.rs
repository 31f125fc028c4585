//! What is harmless in one gateway and harmful when a hundred do it.

mod common;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use common::{Bench, server};
use gradepaddle::*;

const SECOND: Micros = 1_000_000;

/// A discovery that serves calls in turn: each takes it `work`, and fails once it has waited `patience`,
/// though the work on it is done all the same. Gateways start at the times given; returns when the last
/// one has its watch, and how many calls it took.
fn watched(starts: &[Micros], work: Micros, patience: Micros) -> (Option<Micros>, usize) {
    let mut gateways: Vec<Bench> = (0..starts.len() as u32)
        .map(|me| {
            let gateways = starts.len() as u32;
            Bench::new(Settings { me, gateways, ask_discovery: true, ..Settings::default() })
        })
        .collect();
    // What each is told next: the first list, a time that it asked for, or how its call ended.
    let mut due: BinaryHeap<Reverse<(Micros, usize, u8)>> =
        starts.iter().enumerate().map(|(at, start)| Reverse((*start, at, 0))).collect();
    let (mut busy, mut calls, mut served) = (0, 0, Vec::new());
    while let Some(Reverse((now, at, what))) = due.pop() {
        if now > 60 * SECOND {
            return (None, calls);
        }
        let gateway = &mut gateways[at];
        match what {
            0 => gateway.list(now, ListKind::Cached, vec![server("a", 0)]),
            1 => drop(gateway.event(now, Event::Wake)),
            2 => gateway.list(now, ListKind::Failed, vec![]),
            _ => {
                served.push(now);
                continue;
            }
        }
        for action in &gateway.out {
            match action {
                Action::Subscribe => {
                    calls += 1;
                    busy = busy.max(now) + work;
                    let waits = busy - now;
                    due.push(Reverse(if waits > patience { (now + patience, at, 2) } else { (busy, at, 3) }));
                }
                Action::Wake { at: then } => due.push(Reverse((*then, at, 1))),
                _ => {}
            }
        }
    }
    (served.last().copied().filter(|_| served.len() == starts.len()), calls)
}

/// Guards against a fleet whose calls for the list, all made at once and made again when they fail, keep
/// discovery so busy that hardly any comes through: then nobody hears of a release.
#[test]
fn a_hundred_gateways_that_start_at_once_all_get_their_watch() {
    let (last, calls) = watched(&[0; 100], 50_000, 2 * SECOND);
    assert!(last.is_some_and(|at| at < 8 * SECOND), "the last watch came at {last:?} after {calls} calls");
    assert!(calls < 110, "{calls} calls for 100 watches");
    // A discovery half as fast makes some wait too long; they must not crowd out the others.
    let (last, calls) = watched(&[0; 100], 100_000, 2 * SECOND);
    assert!(last.is_some_and(|at| at < 40 * SECOND), "the last watch came at {last:?} after {calls} calls");
}

/// A mechanism for a large fleet costs a small one nothing.
#[test]
fn a_few_gateways_call_at_once() {
    assert_eq!(watched(&[0; 3], 1_000, 2 * SECOND), (Some(3_000), 3));
}
