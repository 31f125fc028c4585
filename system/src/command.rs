//! The command line.

use std::net::SocketAddrV4;
use std::path::PathBuf;

use bpaf::Bpaf;

/// What the program is asked to do.
// Doc comments here are printed as help, where backticks would show.
#[expect(clippy::doc_markdown, reason = "the text is printed as help")]
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    /// Run a node; GRADEPADDLE_BOOT names its settings file
    #[bpaf(command)]
    Run,
    /// Check a settings file and print every finding; nothing is started
    #[bpaf(command("check-settings"))]
    CheckSettings {
        /// The settings file (TOML)
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Check an operator's configuration and print every finding
    #[bpaf(command("check-config"))]
    CheckConfiguration {
        /// The version that is in place, if its order is to be checked too
        #[bpaf(argument("VERSION"))]
        current: Option<u64>,
        /// The configuration (JSON)
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Print what changes for requests between two configurations
    #[bpaf(command)]
    Diff {
        /// The old configuration (JSON)
        #[bpaf(positional("OLD"))]
        old: PathBuf,
        /// The new configuration (JSON)
        #[bpaf(positional("NEW"))]
        new: PathBuf,
    },
    /// Print the state of a fleet as a node sees it
    #[bpaf(command)]
    Status {
        /// The node's control address, IP:PORT
        #[bpaf(positional("ADDRESS"))]
        address: SocketAddrV4,
    },
    /// Let a stopped node go on alone with the control state on its disk, once a majority is lost for good
    #[bpaf(command("recover-state"))]
    RecoverState {
        /// Begin with an empty state: all machines that held one are lost
        #[bpaf(long("from-nothing"))]
        from_nothing: bool,
        /// Write; without it the plan is only printed
        #[bpaf(long("accept-loss"))]
        accept_loss: bool,
        /// The settings file of the stopped node (TOML)
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

/// Parses the command line. If it is invalid or asks for help, prints a message and ends the program.
pub fn parse() -> Command {
    command().run()
}
