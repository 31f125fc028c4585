//! Who chooses in an exploration.

use std::fmt::Debug;
use std::hash::{Hash, Hasher};

use gradepaddle::{Action, Balancer, Event, Micros, Settings};
use gradepaddle_dispatch::Chooser;

/// A chooser that can be part of a state.
pub trait Player: Chooser + Clone + Debug + Eq + Hash + Send + Sync + 'static {
    /// True if its actions are steps of the exploration of their own.
    const CHOOSES: bool;

    /// One that has seen nothing yet.
    fn fresh(settings: &Settings) -> Self;

    /// What it is to ask for at the next event.
    fn plan(&mut self, action: Action);
}

/// Asks for whatever the exploration has planned, and for nothing else.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Adversary {
    planned: Vec<Action>,
}

impl Chooser for Adversary {
    fn handle(&mut self, _: Micros, _: Event<'_>, out: &mut Vec<Action>) {
        out.append(&mut self.planned);
    }
}

impl Player for Adversary {
    const CHOOSES: bool = true;

    fn fresh(_: &Settings) -> Self {
        Adversary::default()
    }

    fn plan(&mut self, action: Action) {
        self.planned.push(action);
    }
}

impl Eq for Adversary {}

impl Hash for Adversary {
    // Between steps nothing is planned.
    fn hash<H: Hasher>(&self, _: &mut H) {}
}

/// The decisions in service.
#[derive(Clone, Debug)]
pub struct Module(Balancer);

impl Module {
    fn digest(&self) -> u64 {
        let mut hasher = std::hash::DefaultHasher::new();
        self.0.digest(&mut hasher);
        hasher.finish()
    }
}

impl Chooser for Module {
    fn handle(&mut self, now: Micros, event: Event<'_>, out: &mut Vec<Action>) {
        self.0.handle(now, event, out);
    }
}

impl Player for Module {
    const CHOOSES: bool = false;

    fn fresh(settings: &Settings) -> Self {
        Module(Balancer::new(settings.clone(), 7).expect("settings of the check's own"))
    }

    fn plan(&mut self, _: Action) {}
}

impl PartialEq for Module {
    fn eq(&self, other: &Self) -> bool {
        self.digest() == other.digest()
    }
}

impl Eq for Module {}

impl Hash for Module {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.digest(state);
    }
}
