//! One exploration: a case, who chooses in it, and what came out.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};

use gradepaddle::Micros;
use stateright::{Checker, HasDiscoveries, Model};

use crate::broken::Broken;
use crate::player::{Adversary, Module, Player};
use crate::property::Property;
use crate::sizes::Sizes;
use crate::world::{Case, Step, World};

/// Who chooses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Chooses {
    /// An adversary that may ask for any action at any time.
    Anything,
    /// The decisions in service.
    Decisions,
}

/// An exploration that is to be made.
#[derive(Clone, Debug)]
pub struct Exploration {
    /// What it is called in reports.
    pub name: String,
    /// How large it is.
    pub sizes: Sizes,
    /// Who chooses.
    pub chooses: Chooses,
    /// Steps from the start; none for all that there are.
    pub depth: Option<usize>,
    /// What is broken.
    pub broken: Broken,
}

/// A way to a breach, from the start.
#[derive(Clone, Debug)]
pub struct Breach {
    /// What was broken.
    pub property: Property,
    /// Each step with the time at which it was taken.
    pub steps: Vec<(Micros, Step)>,
}

/// What came out of an exploration.
#[derive(Clone, Debug)]
pub struct Found {
    /// Distinct states.
    pub states: usize,
    /// Steps from the start to the farthest of them.
    pub depth: usize,
    /// True if there was more behind the stated depth.
    pub cut: bool,
    /// How long it took.
    pub took: Duration,
    /// The breaches, the shortest way first; before them the one that a broken version is meant to show.
    pub breaches: Vec<Breach>,
}

/// A time step under the decisions in service, whose own spans are real ones.
const REAL_STEP: Micros = 250_000;

struct Explored<C> {
    case: Case,
    /// A state with a breach has come up: also one at the last step, which the checker counts but leaves
    /// unjudged.
    breached: Arc<AtomicBool>,
    player: std::marker::PhantomData<fn() -> C>,
}

impl<C: Player> Model for Explored<C> {
    type State = World<C>;
    type Action = Step;

    fn init_states(&self) -> Vec<World<C>> {
        vec![self.case.start()]
    }

    fn actions(&self, state: &World<C>, steps: &mut Vec<Step>) {
        state.steps(&self.case, steps);
    }

    fn next_state(&self, state: &World<C>, step: Step) -> Option<World<C>> {
        let next = state.after(&self.case, step)?;
        if next.breach.is_some() {
            self.breached.store(true, Ordering::Relaxed);
        }
        Some(next)
    }

    fn properties(&self) -> Vec<stateright::Property<Self>> {
        // The checker takes plain functions, so each promise has its own.
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
    /// Tries every order of events, level by level on one thread: the first way found to a breach is a
    /// shortest one, and a stated depth is reached along every path.
    pub fn run(&self) -> Found {
        match self.chooses {
            Chooses::Anything => self.explore::<Adversary>(1, self.depth),
            Chooses::Decisions => self.explore::<Module>(REAL_STEP, self.depth),
        }
    }

    fn explore<C: Player>(&self, step: Micros, most: Option<usize>) -> Found {
        let case = Case { sizes: self.sizes.clone(), step, broken: self.broken };
        let breached = Arc::new(AtomicBool::new(false));
        let player = std::marker::PhantomData;
        let model = Explored::<C> { case: case.clone(), breached: breached.clone(), player };
        let begun = Instant::now();
        // A version that is broken on purpose may break other promises on shorter ways: go on to its own.
        let wanted = self.broken.breaks();
        let finish = match wanted {
            Some(property) => HasDiscoveries::AnyOf([property.name()].into()),
            None => HasDiscoveries::AnyFailures,
        };
        let mut builder = model.checker().finish_when(finish);
        if let Some(most) = most {
            // The checker counts the start as the first.
            builder = builder.target_max_depth(most + 1);
        }
        let checker = builder.spawn_bfs().join();
        let mut breaches: Vec<Breach> = Vec::new();
        for (name, path) in checker.discoveries() {
            let property = Property::ALL.into_iter().find(|property| property.name() == name);
            let steps = path.into_vec().into_iter();
            let steps = steps.filter_map(|(world, step)| step.map(|step| (world.now() / case.step, step)));
            breaches.extend(property.map(|property| Breach { property, steps: steps.collect() }));
        }
        if breaches.is_empty() && breached.load(Ordering::Relaxed) {
            // It lies at the last step: one more shows the way.
            return self.explore::<C>(step, most.map(|most| most + 1));
        }
        breaches.sort_by_key(|breach| (Some(breach.property) != wanted, breach.steps.len()));
        let depth = checker.max_depth().saturating_sub(1);
        Found {
            states: checker.unique_state_count(),
            depth,
            cut: most.is_some_and(|most| depth >= most),
            took: begun.elapsed(),
            breaches,
        }
    }
}

/// Runs explorations, so many at a time, and hands each over as soon as those before it are done.
pub fn run_all(explorations: &[Exploration], threads: usize, mut each: impl FnMut(&Exploration, &Found)) {
    let next = AtomicUsize::new(0);
    let (done, results) = mpsc::channel();
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, explorations.len().max(1)) {
            let (done, next) = (done.clone(), &next);
            scope.spawn(move || {
                loop {
                    let at = next.fetch_add(1, Ordering::Relaxed);
                    let Some(exploration) = explorations.get(at) else { return };
                    // The receiver waits for all of them.
                    let _ = done.send((at, exploration.run()));
                }
            });
        }
        drop(done);
        let mut waiting: BTreeMap<usize, Found> = BTreeMap::new();
        let mut turn = 0;
        for (at, found) in results {
            waiting.insert(at, found);
            while let Some(found) = waiting.remove(&turn) {
                each(&explorations[turn], &found);
                turn += 1;
            }
        }
    });
}
