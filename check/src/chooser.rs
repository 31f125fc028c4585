//! The choosers that an exploration can run under: an adversary, or the production balancer.

use std::fmt::Debug;
use std::hash::{Hash, Hasher};

use gradepaddle::{Action, Balancer, Event, Micros, Settings};
use gradepaddle_dispatch::Chooser;

/// A chooser that can be part of a model state.
pub trait ModelChooser: Chooser + Clone + Debug + Eq + Hash + Send + Sync + 'static {
    /// Whether the chooser's actions are explored as steps of their own. False if the chooser decides by itself.
    const IS_EXPLORED: bool;

    /// The chooser before its first event.
    fn initial(settings: &Settings) -> Self;

    /// Makes the chooser return this action at the next event.
    fn plan(&mut self, action: Action);
}

/// Returns the actions that the exploration has planned, and no others.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Adversary {
    planned: Vec<Action>,
}

impl Chooser for Adversary {
    fn handle(&mut self, _: Micros, _: Event<'_>, out: &mut Vec<Action>) {
        out.append(&mut self.planned);
    }
}

impl ModelChooser for Adversary {
    const IS_EXPLORED: bool = true;

    fn initial(_: &Settings) -> Self {
        Adversary::default()
    }

    fn plan(&mut self, action: Action) {
        self.planned.push(action);
    }
}

impl Eq for Adversary {}

impl Hash for Adversary {
    // States are hashed between steps, when no action is planned.
    fn hash<H: Hasher>(&self, _: &mut H) {}
}

/// The balancer that runs in production. States are compared by its digest.
#[derive(Clone, Debug)]
pub struct ProductionChooser(Balancer);

impl ProductionChooser {
    fn digest(&self) -> u64 {
        let mut hasher = std::hash::DefaultHasher::new();
        self.0.digest(&mut hasher);
        hasher.finish()
    }
}

impl Chooser for ProductionChooser {
    fn handle(&mut self, now: Micros, event: Event<'_>, out: &mut Vec<Action>) {
        self.0.handle(now, event, out);
    }
}

impl ModelChooser for ProductionChooser {
    const IS_EXPLORED: bool = false;

    fn initial(settings: &Settings) -> Self {
        ProductionChooser(
            Balancer::new(settings.clone(), 7).expect("the settings of the exploration are valid"),
        )
    }

    fn plan(&mut self, _: Action) {}
}

impl PartialEq for ProductionChooser {
    fn eq(&self, other: &Self) -> bool {
        self.digest() == other.digest()
    }
}

impl Eq for ProductionChooser {}

impl Hash for ProductionChooser {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.digest(state);
    }
}
