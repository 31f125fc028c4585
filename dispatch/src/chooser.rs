//! The interface between dispatch and the code that makes its decisions.

use gradepaddle::{Action, Balancer, Event, Micros};

/// Decides which app server a transaction is sent to, whether it is retried and what is refused. It receives every event
/// in order, and its actions are carried out in order unless one would break a rule.
pub trait Chooser {
    /// Handles one event at time `now` and appends its actions to `out`.
    fn handle(&mut self, now: Micros, event: Event<'_>, out: &mut Vec<Action>);
}

/// The chooser used in production.
impl Chooser for Balancer {
    fn handle(&mut self, now: Micros, event: Event<'_>, out: &mut Vec<Action>) {
        Balancer::handle(self, now, event, out);
    }
}

impl<C: Chooser + ?Sized> Chooser for Box<C> {
    fn handle(&mut self, now: Micros, event: Event<'_>, out: &mut Vec<Action>) {
        (**self).handle(now, event, out);
    }
}
