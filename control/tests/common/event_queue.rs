//! Events of a simulation in the order of their times; events of one time come in the order in which they were added.

use std::{
    cmp::{Ordering, Reverse},
    collections::BinaryHeap,
};

struct Scheduled<E> {
    at: u64,
    order: u64,
    event: E,
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}
impl<E> Eq for Scheduled<E> {}
impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl<E> Ord for Scheduled<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// Events that are still to come.
pub struct EventQueue<E> {
    scheduled: BinaryHeap<Reverse<Scheduled<E>>>,
    order: u64,
}

impl<E> EventQueue<E> {
    pub fn new() -> EventQueue<E> {
        EventQueue { scheduled: BinaryHeap::new(), order: 0 }
    }

    /// Adds an event at a time in microseconds.
    pub fn push(&mut self, at: u64, event: E) {
        self.order += 1;
        self.scheduled.push(Reverse(Scheduled { at, order: self.order, event }));
    }

    /// The time of the next event.
    pub fn next_at(&self) -> Option<u64> {
        self.scheduled.peek().map(|Reverse(next)| next.at)
    }

    /// Takes the next event with its time.
    pub fn pop(&mut self) -> Option<(u64, E)> {
        self.scheduled.pop().map(|Reverse(next)| (next.at, next.event))
    }
}
