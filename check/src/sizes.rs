//! How large a case is.

use clap::{Args, ValueEnum};
use gradepaddle::{Class, DeduplicationScope, Idempotency, Micros, Settings};

/// May a class's transactions run more than once?
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, ValueEnum)]
pub enum Kind {
    /// Repeats are harmless.
    Safe,
    /// Must never run twice.
    Unsafe,
    /// App servers of one zone drop repeats, for two time steps.
    Keyed,
    /// The same, but nothing names it to them: it must never run twice.
    Nameless,
}

impl Kind {
    /// Must one of these never run twice?
    pub fn runs_once(self) -> bool {
        matches!(self, Kind::Unsafe | Kind::Nameless)
    }

    /// How long repeats are dropped, where a time step lasts this long.
    pub fn window(step: Micros) -> Micros {
        2 * step
    }
}

/// The sizes of one exploration.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Args)]
pub struct Sizes {
    /// App servers at the start.
    #[arg(long, default_value_t = 2)]
    pub servers: u8,
    /// Attempts that a transaction may have.
    #[arg(long, default_value_t = 3)]
    pub attempts: u32,
    /// Drains that the list tells.
    #[arg(long, default_value_t = 1)]
    pub drains: u8,
    /// Transactions that clients ask for, the classes in turn.
    #[arg(long, default_value_t = 2)]
    pub transactions: u8,
    /// Their classes.
    #[arg(long, value_delimiter = ',', default_value = "safe,unsafe")]
    pub classes: Vec<Kind>,
    /// Clients that may leave before their answer.
    #[arg(long, default_value_t = 1)]
    pub leaves: u8,
    /// Crashes of the balancer, each followed by a start with the list it had first.
    #[arg(long, default_value_t = 0)]
    pub crashes: u8,
    /// App servers replaced at their address under a new id.
    #[arg(long, default_value_t = 0)]
    pub replacements: u8,
    /// Lists that fail, each followed by an old list.
    #[arg(long, default_value_t = 0)]
    pub old_lists: u8,
    /// App servers that the operators take out, and call back at any later moment.
    #[arg(long, default_value_t = 0)]
    pub bans: u8,
    /// Transactions are taken while their clients still send, and attempts use up what they send.
    #[arg(long, default_value_t = false)]
    pub flows: bool,
    /// Ends of attempts that are told a second time.
    #[arg(long, default_value_t = 0)]
    pub late_ends: u8,
    /// Every second transaction carries the id of the one before it.
    #[arg(long, default_value_t = false)]
    pub same_ids: bool,
    /// A second copy may be out, where the class allows it.
    #[arg(long, default_value_t = true, action = clap::ArgAction::Set)]
    pub second_copies: bool,
    /// Time steps until a client gives up.
    #[arg(long, default_value_t = 3)]
    pub deadline: u8,
    /// Time steps of the grace after a drain was told.
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
    /// What the decisions are told, in a world where a time step lasts this long.
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

    /// Says what cannot be explored, if anything.
    ///
    /// # Errors
    ///
    /// The first size outside its bounds, or that there is no class; named by its command-line option.
    pub fn check(&self) -> Result<(), String> {
        let bounds = [
            ("--servers", u32::from(self.servers), 1, 6),
            ("--attempts", self.attempts, 1, 6),
            ("--transactions", u32::from(self.transactions), 1, 4),
            ("--deadline", u32::from(self.deadline), 1, 20),
        ];
        for (name, value, least, most) in bounds {
            if value < least || value > most {
                return Err(format!("{name}: {value} is not from {least} to {most}"));
            }
        }
        if self.classes.is_empty() {
            return Err("--classes: at least one is needed".into());
        }
        Ok(())
    }
}
