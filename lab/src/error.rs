//! What can go wrong in an experiment. The printed texts name the file and the place in it, since people read them on
//! the command line; each variant keeps its cause as the source.

use std::io;
use std::num::{ParseFloatError, ParseIntError};
use std::path::PathBuf;

use gradepaddle::SettingsError;
use gradepaddle_emulator::result::SCHEMA;
use snafu::Snafu;

/// The cause of a plot that could not be drawn; its type differs by backend.
pub type DrawError = Box<dyn std::error::Error + Send + Sync>;

/// Why an experiment, or reading or writing its files, failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A file cannot be read.
    #[snafu(display("{}: {source}", path.display()))]
    ReadFile {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },

    /// A file cannot be written.
    #[snafu(display("{}: {source}", path.display()))]
    WriteFile {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },

    /// The files of a folder cannot be listed.
    #[snafu(display("{}: {source}", path.display()))]
    ListFolder {
        /// The folder.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },

    /// A folder cannot be made.
    #[snafu(display("{}: {source}", path.display()))]
    CreateFolder {
        /// The folder.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },

    /// A file holds no scenario of the emulator, or one that makes no sense.
    #[snafu(display("{}: {reason}", path.display()))]
    ParseScenario {
        /// The file.
        path: PathBuf,
        /// What the emulator says, with line and field.
        reason: String,
    },

    /// The emulator does not run a scenario.
    #[snafu(display("{reason}"))]
    RejectedScenario {
        /// What the emulator says, with the field.
        reason: String,
    },

    /// A file holds no scenario of real processes, or one that makes no sense.
    #[snafu(display("{}: {source}", path.display()))]
    FleetScenario {
        /// The file.
        path: PathBuf,
        /// What is wrong with its text.
        #[snafu(source(from(Error, Box::new)))]
        source: Box<Error>,
    },

    /// A text is no scenario of real processes. The decoder ends its text with a line break, which is cut off.
    #[snafu(display("{}", source.to_string().trim_end()))]
    DecodeFleetScenario {
        /// The decoder's error, with line and column.
        source: toml::de::Error,
    },

    /// A field lies outside its bounds.
    #[snafu(display("{field}: {value} is not from {least} to {most}"))]
    OutOfBounds {
        /// The field, as in `fault[0].share`.
        field: String,
        /// Its value.
        value: f64,
        /// The least that is allowed.
        least: f64,
        /// The most that is allowed.
        most: f64,
    },

    /// The text of a scenario whose field is to be set is no TOML.
    #[snafu(display("{source}"))]
    DecodeToml {
        /// The decoder's error, with line and column.
        source: toml::de::Error,
    },

    /// A scenario with a field set cannot be written as TOML.
    #[snafu(display("{source}"))]
    EncodeToml {
        /// The encoder's error.
        source: toml::ser::Error,
    },

    /// The name of a field has no section.
    #[snafu(display("{field:?} is not SECTION.FIELD"))]
    FieldWithoutSection {
        /// The name.
        field: String,
    },

    /// The position in the name of a field, as in `trouble[0].share`, is no number.
    #[snafu(display("{field:?}: no number"))]
    FieldPosition {
        /// The name.
        field: String,
        /// Why it is none.
        source: ParseIntError,
    },

    /// A scenario lacks the section of a field that is to be set.
    #[snafu(display("{section:?} is not in the scenario"))]
    MissingSection {
        /// The section.
        section: String,
    },

    /// A value has no JSON form.
    #[snafu(display("{}: {source}", path.display()))]
    EncodeJson {
        /// The file that was to be written.
        path: PathBuf,
        /// The encoder's error.
        source: serde_json::Error,
    },

    /// A file holds no JSON, or no result.
    #[snafu(display("{}: {source}", path.display()))]
    DecodeJson {
        /// The file.
        path: PathBuf,
        /// The decoder's error, with line and column.
        source: serde_json::Error,
    },

    /// A result has another format than [`SCHEMA`].
    #[snafu(display("{}: field schema: {found:?} is not {SCHEMA}", path.display()))]
    ForeignSchema {
        /// The file.
        path: PathBuf,
        /// The format that it names, if any.
        found: Option<u64>,
    },

    /// A value of a swept parameter is no number.
    #[snafu(display("{text:?} is no number"))]
    NotANumber {
        /// The value as written.
        text: String,
        /// Why it is none.
        source: ParseFloatError,
    },

    /// A range of a swept parameter lacks a part.
    #[snafu(display("{text:?} is not FROM..TO:STEP"))]
    MalformedRange {
        /// The range as written.
        text: String,
    },

    /// A range of a swept parameter runs downwards or nowhere, or has too many steps.
    #[snafu(display("{text:?}: no range of at most 1000 steps upwards"))]
    RangeSteps {
        /// The range as written.
        text: String,
    },

    /// What is to be varied lacks the field or its values.
    #[snafu(display("{text:?} is not FIELD=VALUES"))]
    MalformedVariation {
        /// The argument as written.
        text: String,
    },

    /// More than two fields are to be varied.
    #[snafu(display("one or two figures can be varied"))]
    VariationCount,

    /// No policy has this name.
    #[snafu(display("{reason}"))]
    UnknownPolicy {
        /// What the emulator says, with the names that there are.
        reason: String,
    },

    /// The thread of a run panicked, and left no result.
    #[snafu(display("a run panicked"))]
    RunPanicked,

    /// The balancer turns its settings down.
    #[snafu(display("{source}"))]
    Settings {
        /// The setting that makes no sense.
        source: SettingsError,
    },

    /// No program is named, and this program's own path is unknown.
    #[snafu(display("no program is named by --program"))]
    UnnamedProgram,

    /// No program is at the path.
    #[snafu(display(
        "{}: no program there; build it by `cargo build --release`, or name it by --program",
        path.display()
    ))]
    MissingProgram {
        /// The path.
        path: PathBuf,
    },

    /// A run of real processes failed.
    #[snafu(display("{source}"))]
    Fleet {
        /// The error of the process, socket or file concerned.
        source: io::Error,
    },

    /// A plot cannot be drawn, or its file not written.
    #[snafu(display("{}: {source}", path.display()))]
    DrawFile {
        /// The file.
        path: PathBuf,
        /// The backend's error.
        source: DrawError,
    },

    /// A plot cannot be drawn as text.
    #[snafu(display("{source}"))]
    Draw {
        /// The backend's error.
        source: DrawError,
    },
}
