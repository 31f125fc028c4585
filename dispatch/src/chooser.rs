//! What dispatch asks for decisions.

use gradepaddle::{Action, Balancer, Event, Micros};

/// Decides which app server gets a transaction, whether to try again and what is turned away. It is told
/// every event, in order, and its actions are carried out in order unless one would break a rule.
pub trait Chooser {
    /// Takes in one event at this time and appends what is to be done.
    fn handle(&mut self, now: Micros, event: Event<'_>, out: &mut Vec<Action>);
}

/// The one in service.
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
