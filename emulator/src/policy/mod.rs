//! Who chooses in a run: the decisions in service, or a reference for comparison behind the same trait.
//! References keep the rules of repeats and drains as well as they can by themselves; of cold app servers and
//! of load they know what their method says.

mod balanced;
mod lifecycle;
mod truth;

use std::rc::Rc;
use std::str::FromStr;

use gradepaddle::{Balancer, Settings, SettingsError};
use gradepaddle_dispatch::Chooser;

use balanced::{Bounded, Ewma, Least, Queues, Random, RoundRobin, Two};
use lifecycle::Lifecycle;
use truth::Seer;
pub(crate) use truth::number;
pub use truth::{Board, Glance};

/// The policies by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Policy {
    /// The decisions in service: LARD by three costs.
    Module,
    /// Any open app server.
    Random,
    /// One after the other.
    RoundRobin,
    /// The one with the fewest of our own outstanding.
    LeastOutstanding,
    /// The better of two drawn at random (Mitzenmacher, "The Power of Two Choices in Randomized Load
    /// Balancing", 2001).
    TwoChoices,
    /// The lower of two by a peak-sensitive moving average of answer times, weighed with what is outstanding
    /// (as Finagle's peak EWMA balancer does).
    PeakEwma,
    /// The key's place on a ring, unless that one is above its bound (Mirrokni, Thorup and Zadimoghaddam,
    /// "Consistent Hashing with Bounded Loads", 2016).
    BoundedHash,
    /// The shortest queue as app servers tell it, with 3 probes for each 100 requests.
    QueueProbes3,
    /// The same with 30.
    QueueProbes30,
    /// The same with one for each request.
    QueueProbes100,
    /// Sees the true state of every app server, which no balancer can.
    Seer,
}

impl Policy {
    /// All of them.
    pub const ALL: [Policy; 11] = [
        Policy::Module,
        Policy::Random,
        Policy::RoundRobin,
        Policy::LeastOutstanding,
        Policy::TwoChoices,
        Policy::PeakEwma,
        Policy::BoundedHash,
        Policy::QueueProbes3,
        Policy::QueueProbes30,
        Policy::QueueProbes100,
        Policy::Seer,
    ];

    /// Its name on the command line and in results.
    pub fn name(self) -> &'static str {
        match self {
            Policy::Module => "module",
            Policy::Random => "random",
            Policy::RoundRobin => "round-robin",
            Policy::LeastOutstanding => "least-outstanding",
            Policy::TwoChoices => "two-choices",
            Policy::PeakEwma => "peak-ewma",
            Policy::BoundedHash => "bounded-hash",
            Policy::QueueProbes3 => "queue-probes-3",
            Policy::QueueProbes30 => "queue-probes-30",
            Policy::QueueProbes100 => "queue-probes-100",
            Policy::Seer => "seer",
        }
    }

    /// One for a balancer with these settings. `board` shows the truth, for the one that sees it.
    ///
    /// # Errors
    ///
    /// The settings make no sense.
    pub fn start(
        self,
        settings: &Settings,
        seed: u64,
        board: &Rc<Board>,
    ) -> Result<Box<dyn Chooser>, SettingsError> {
        settings.check()?;
        Ok(match self {
            Policy::Module => Box::new(Balancer::new(settings.clone(), seed)?),
            Policy::Random => Box::new(Lifecycle::new(settings, seed, Random)),
            Policy::RoundRobin => Box::new(Lifecycle::new(settings, seed, RoundRobin::default())),
            Policy::LeastOutstanding => Box::new(Lifecycle::new(settings, seed, Least)),
            Policy::TwoChoices => Box::new(Lifecycle::new(settings, seed, Two)),
            Policy::PeakEwma => Box::new(Lifecycle::new(settings, seed, Ewma::default())),
            Policy::BoundedHash => Box::new(Lifecycle::new(settings, seed, Bounded::default())),
            Policy::QueueProbes3 => Box::new(Lifecycle::new(settings, seed, Queues::new(0.03))),
            Policy::QueueProbes30 => Box::new(Lifecycle::new(settings, seed, Queues::new(0.3))),
            Policy::QueueProbes100 => Box::new(Lifecycle::new(settings, seed, Queues::new(1.0))),
            Policy::Seer => Box::new(Lifecycle::new(settings, seed, Seer::new(settings, board.clone()))),
        })
    }
}

impl FromStr for Policy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let names = || Policy::ALL.map(Policy::name).join(", ");
        let found = Policy::ALL.into_iter().find(|policy| policy.name() == text);
        found.ok_or_else(|| format!("{text:?} is none of: {}", names()))
    }
}
