//! An exploration: its case, its chooser and its result.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};

use gradepaddle::Micros;
use stateright::{Checker, HasDiscoveries, Model};

use crate::broken::Broken;
use crate::chooser::{Adversary, ModelChooser, ProductionChooser};
use crate::property::Property;
use crate::sizes::Sizes;
use crate::world::{Case, Step, World};

/// Which chooser an exploration runs under.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChooserKind {
    /// An adversary that may request any action at any time.
    Adversary,
    /// The production balancer.
    Production,
}

/// The parameters of an exploration.
#[derive(Clone, Debug)]
pub struct Exploration {
    /// The exploration's name in reports.
    pub name: String,
    /// Bounds of the state space.
    pub sizes: Sizes,
    /// Which chooser runs.
    pub chooser: ChooserKind,
    /// Maximum number of steps from the initial state; `None` for no limit.
    pub depth: Option<usize>,
    /// The fault that is injected on purpose.
    pub broken: Broken,
}

/// A violated property with the path to it from the initial state.
#[derive(Clone, Debug)]
pub struct Breach {
    /// The violated property.
    pub property: Property,
    /// Each step, with the number of the time step in which it was taken.
    pub steps: Vec<(Micros, Step)>,
}

/// The result of an exploration.
#[derive(Clone, Debug)]
pub struct Found {
    /// Number of distinct states.
    pub states: usize,
    /// Number of steps from the initial state to the farthest state.
    pub depth: usize,
    /// Whether the depth limit cut the exploration short.
    pub cut: bool,
    /// Duration of the exploration.
    pub elapsed: Duration,
    /// The violations, shortest path first; the one that a broken version is expected to cause precedes the others.
    pub breaches: Vec<Breach>,
}

/// Length of a time step under the production balancer, whose own intervals are in real time.
const PRODUCTION_STEP: Micros = 250_000;

struct ExplorationModel<C> {
    case: Case,
    /// A state with a violation was generated. Also set for a state at the depth limit, which the checker counts but
    /// does not evaluate.
    found_breach: Arc<AtomicBool>,
    chooser: std::marker::PhantomData<fn() -> C>,
}

impl<C: ModelChooser> Model for ExplorationModel<C> {
    type State = World<C>;
    type Action = Step;

    fn init_states(&self) -> Vec<World<C>> {
        vec![self.case.initial_world()]
    }

    fn actions(&self, state: &World<C>, steps: &mut Vec<Step>) {
        state.possible_steps(&self.case, steps);
    }

    fn next_state(&self, state: &World<C>, step: Step) -> Option<World<C>> {
        let next = state.next_world(&self.case, step)?;
        if next.breach.is_some() {
            self.found_breach.store(true, Ordering::Relaxed);
        }
        Some(next)
    }

    fn properties(&self) -> Vec<stateright::Property<Self>> {
        // The checker takes plain function pointers, so each property needs its own closure.
        macro_rules! holds {
            ($($property:ident),* $(,)?) => {
                vec![$(stateright::Property::always(Property::$property.name(), |_, state: &World<C>| {
                    state.breach != Some(Property::$property)
                })),*]
            };
        }
        holds![
            OneAnswer,
            OwnAnswer,
            NoRepeat,
            NoSecondCopy,
            AttemptLimit,
            NothingNewToClosed,
            UsedOnce,
            KeptKey,
            HonestRefusal,
            AnsweredInTime,
            NothingKept,
            NothingForTheGone,
            NoDefect,
        ]
    }
}

impl Exploration {
    /// Tries every order of events, breadth first on one thread: the first path found to a violation is a shortest
    /// one, and a depth limit is reached along every path.
    pub fn run(&self) -> Found {
        match self.chooser {
            ChooserKind::Adversary => self.explore::<Adversary>(1, self.depth),
            ChooserKind::Production => self.explore::<ProductionChooser>(PRODUCTION_STEP, self.depth),
        }
    }

    fn explore<C: ModelChooser>(&self, step: Micros, depth_limit: Option<usize>) -> Found {
        let case = Case { sizes: self.sizes.clone(), step, broken: self.broken };
        let found_breach = Arc::new(AtomicBool::new(false));
        let chooser = std::marker::PhantomData;
        let model = ExplorationModel::<C> { case: case.clone(), found_breach: found_breach.clone(), chooser };
        let started = Instant::now();
        // A broken version may violate other properties on shorter paths; the search continues to the expected one.
        let expected = self.broken.expected_breach();
        let finish = match expected {
            Some(property) => HasDiscoveries::AnyOf([property.name()].into()),
            None => HasDiscoveries::AnyFailures,
        };
        let mut builder = model.checker().finish_when(finish);
        if let Some(depth_limit) = depth_limit {
            // The checker counts the initial state as depth 1.
            builder = builder.target_max_depth(depth_limit + 1);
        }
        let checker = builder.spawn_bfs().join();
        let mut breaches: Vec<Breach> = Vec::new();
        for (name, path) in checker.discoveries() {
            let property = Property::ALL.into_iter().find(|property| property.name() == name);
            let steps = path.into_vec().into_iter();
            let steps = steps.filter_map(|(world, step)| step.map(|step| (world.now() / case.step, step)));
            breaches.extend(property.map(|property| Breach { property, steps: steps.collect() }));
        }
        if breaches.is_empty() && found_breach.load(Ordering::Relaxed) {
            // The violation is at the depth limit; one more step makes the checker evaluate it.
            return self.explore::<C>(step, depth_limit.map(|depth_limit| depth_limit + 1));
        }
        breaches.sort_by_key(|breach| (Some(breach.property) != expected, breach.steps.len()));
        let depth = checker.max_depth().saturating_sub(1);
        Found {
            states: checker.unique_state_count(),
            depth,
            cut: depth_limit.is_some_and(|depth_limit| depth >= depth_limit),
            elapsed: started.elapsed(),
            breaches,
        }
    }
}

/// Runs explorations on this many threads, and reports the results in the order of the explorations, each as soon as
/// those before it are done.
pub fn run_all(
    explorations: &[Exploration],
    threads: usize,
    mut on_result: impl FnMut(&Exploration, &Found),
) {
    let next = AtomicUsize::new(0);
    let (done, results) = mpsc::channel();
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, explorations.len().max(1)) {
            let (done, next) = (done.clone(), &next);
            scope.spawn(move || {
                loop {
                    let at = next.fetch_add(1, Ordering::Relaxed);
                    let Some(exploration) = explorations.get(at) else { return };
                    // Sending cannot fail: the receiver reads until all senders are dropped.
                    let _ = done.send((at, exploration.run()));
                }
            });
        }
        drop(done);
        let mut completed: BTreeMap<usize, Found> = BTreeMap::new();
        let mut next_reported = 0;
        for (at, found) in results {
            completed.insert(at, found);
            while let Some(found) = completed.remove(&next_reported) {
                on_result(&explorations[next_reported], &found);
                next_reported += 1;
            }
        }
    });
}
