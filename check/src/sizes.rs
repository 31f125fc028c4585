//! The bounds of an exploration, which are also its command-line options.

use clap::{Args, ValueEnum};
use gradepaddle::{Class, DeduplicationScope, Idempotency, Micros, Settings};

/// Whether a class's transactions may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, ValueEnum)]
pub enum Kind {
    /// Safe to repeat.
    Safe,
    /// Must never run twice.
    Unsafe,
    /// The app servers of one zone drop repeats by key, for two time steps.
    Keyed,
    /// As keyed, but the transaction carries no key by which a repeat is recognized: it must never run twice.
    Nameless,
}

impl Kind {
    /// Whether a transaction of this kind must never run twice.
    pub fn runs_once(self) -> bool {
        matches!(self, Kind::Unsafe | Kind::Nameless)
    }

    /// The deduplication window: how long repeats are dropped, given the length of a time step.
    pub fn window(step: Micros) -> Micros {
        2 * step
    }
}

/// The bounds of one exploration.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Args)]
pub struct Sizes {
    /// App servers at the start.
    #[arg(long, default_value_t = 2)]
    pub servers: u8,
    /// Maximum number of attempts of a transaction.
    #[arg(long, default_value_t = 3)]
    pub attempts: u32,
    /// Drains that the service table reports.
    #[arg(long, default_value_t = 1)]
    pub drains: u8,
    /// Transactions that clients send, with the classes in rotation.
    #[arg(long, default_value_t = 2)]
    pub transactions: u8,
    /// Classes of the transactions.
    #[arg(long, value_delimiter = ',', default_value = "safe,unsafe")]
    pub classes: Vec<Kind>,
    /// Clients that may disconnect before their answer.
    #[arg(long, default_value_t = 1)]
    pub leaves: u8,
    /// Crashes of the balancer, each followed by a restart with the initial service table.
    #[arg(long, default_value_t = 0)]
    pub crashes: u8,
    /// App servers replaced at their address under a new id.
    #[arg(long, default_value_t = 0)]
    pub replacements: u8,
    /// Service table calls that fail, each followed by an outdated table.
    #[arg(long, default_value_t = 0)]
    pub old_lists: u8,
    /// Bans of app servers by the operators, each of which may end at any later moment.
    #[arg(long, default_value_t = 0)]
    pub bans: u8,
    /// Transactions are accepted while their clients still upload, and attempts consume the request body.
    #[arg(long, default_value_t = false)]
    pub flows: bool,
    /// Ends of attempts that are reported a second time.
    #[arg(long, default_value_t = 0)]
    pub late_ends: u8,
    /// Every second transaction has the same client request id as the one before it.
    #[arg(long, default_value_t = false)]
    pub same_ids: bool,
    /// Concurrent attempts of a transaction are allowed, where the class allows them.
    #[arg(long, default_value_t = true, action = clap::ArgAction::Set)]
    pub second_copies: bool,
    /// Time steps until a client times out.
    #[arg(long, default_value_t = 3)]
    pub deadline: u8,
    /// Time steps of the grace after a drain is reported.
    #[arg(long, default_value_t = 1)]
    pub grace: u8,
}

impl Default for Sizes {
    fn default() -> Self {
        Sizes {
            servers: 2,
            attempts: 3,
            drains: 1,
            transactions: 2,
            classes: vec![Kind::Safe, Kind::Unsafe],
            leaves: 1,
            crashes: 0,
            replacements: 0,
            old_lists: 0,
            bans: 0,
            flows: false,
            late_ends: 0,
            same_ids: false,
            second_copies: true,
            deadline: 3,
            grace: 1,
        }
    }
}

impl Sizes {
    /// The balancer's settings, given the length of a time step.
    pub fn settings(&self, step: Micros) -> Settings {
        let base = Settings::default();
        let class = |kind: &Kind| Class {
            latency_target: step * Micros::from(self.deadline),
            deadline: step * Micros::from(self.deadline),
            idempotency: match kind {
                Kind::Safe => Idempotency::Safe,
                Kind::Unsafe => Idempotency::Unsafe,
                Kind::Keyed | Kind::Nameless => {
                    Idempotency::Keyed { scope: DeduplicationScope::Zone, window: Kind::window(step) }
                }
            },
            ..base.classes[0].clone()
        };
        Settings {
            classes: self.classes.iter().map(class).collect(),
            max_attempts: self.attempts,
            hedging: self.second_copies,
            ..base
        }
    }

    /// Checks that the bounds can be explored.
    ///
    /// # Errors
    ///
    /// Names the command-line option of the first value that is out of range, or `--classes` if there is no class.
    pub fn check(&self) -> Result<(), String> {
        let bounds = [
            ("--servers", u32::from(self.servers), 1, 6),
            ("--attempts", self.attempts, 1, 6),
            ("--transactions", u32::from(self.transactions), 1, 4),
            ("--deadline", u32::from(self.deadline), 1, 20),
        ];
        for (name, value, least, most) in bounds {
            if value < least || value > most {
                return Err(format!("{name}: {value} is out of range, must be {least} to {most}"));
            }
        }
        if self.classes.is_empty() {
            return Err("--classes: at least one class is required".into());
        }
        Ok(())
    }
}
