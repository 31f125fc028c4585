//! Errors of experiments. The messages name the file and the place in it, since people read them on the
//! command line; each variant keeps its cause as the source.

use std::io;
use std::num::{ParseFloatError, ParseIntError};
use std::path::PathBuf;

use gradepaddle::SettingsError;
use gradepaddle_emulator::result::SCHEMA;
use snafu::Snafu;

/// The cause of a plot that could not be drawn; its type differs by backend.
pub type DrawError = Box<dyn std::error::Error + Send + Sync>;

/// An experiment, or reading or writing its files, failed.
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

    /// A folder cannot be created.
    #[snafu(display("{}: {source}", path.display()))]
    CreateFolder {
        /// The folder.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },

    /// A file is not a valid scenario of the emulator.
    #[snafu(display("{}: {reason}", path.display()))]
    ParseScenario {
        /// The file.
        path: PathBuf,
        /// The emulator's message, with line and field.
        reason: String,
    },

    /// The emulator rejected a scenario.
    #[snafu(display("{reason}"))]
    RejectedScenario {
        /// The emulator's message, with the field.
        reason: String,
    },

    /// A file is not a valid scenario for real processes.
    #[snafu(display("{}: {source}", path.display()))]
    FleetScenario {
        /// The file.
        path: PathBuf,
        /// The error in its text.
        #[snafu(source(from(Error, Box::new)))]
        source: Box<Error>,
    },

    /// A text is not a valid scenario for real processes. The decoder ends its message with a line break,
    /// which is trimmed.
    #[snafu(display("{}", source.to_string().trim_end()))]
    DecodeFleetScenario {
        /// The decoder's error, with line and column.
        source: toml::de::Error,
    },

    /// A field is out of bounds.
    #[snafu(display("{field}: {value} is not from {least} to {most}"))]
    OutOfBounds {
        /// The field, as in `fault[0].share`.
        field: String,
        /// Its value.
        value: f64,
        /// The lower bound.
        least: f64,
        /// The upper bound.
        most: f64,
    },

    /// The text of a scenario in which a field is to be set is not TOML.
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

    /// The index in a field name, as in `trouble[0].share`, is not a number.
    #[snafu(display("{field:?}: the index is not a number"))]
    FieldPosition {
        /// The name.
        field: String,
        /// The parser's error.
        source: ParseIntError,
    },

    /// A scenario lacks the section of a field that is to be set.
    #[snafu(display("{section:?} is not in the scenario"))]
    MissingSection {
        /// The section.
        section: String,
    },

    /// A value can't be encoded as JSON.
    #[snafu(display("{}: {source}", path.display()))]
    EncodeJson {
        /// The file that was to be written.
        path: PathBuf,
        /// The encoder's error.
        source: serde_json::Error,
    },

    /// A file is not JSON, or not a result.
    #[snafu(display("{}: {source}", path.display()))]
    DecodeJson {
        /// The file.
        path: PathBuf,
        /// The decoder's error, with line and column.
        source: serde_json::Error,
    },

    /// A result has another format version than [`SCHEMA`].
    #[snafu(display("{}: field schema: {found:?} is not {SCHEMA}", path.display()))]
    ForeignSchema {
        /// The file.
        path: PathBuf,
        /// The version that it names, if any.
        found: Option<u64>,
    },

    /// A value of a swept parameter is not a number.
    #[snafu(display("{text:?} is not a number"))]
    NotANumber {
        /// The value as written.
        text: String,
        /// The parser's error.
        source: ParseFloatError,
    },

    /// A range of a swept parameter lacks a part.
    #[snafu(display("{text:?} is not FROM..TO:STEP"))]
    MalformedRange {
        /// The range as written.
        text: String,
    },

    /// A range of a swept parameter is not ascending, or has too many steps.
    #[snafu(display("{text:?}: not an ascending range of at most 1000 steps"))]
    RangeSteps {
        /// The range as written.
        text: String,
    },

    /// A parameter to vary lacks the field or its values.
    #[snafu(display("{text:?} is not FIELD=VALUES"))]
    MalformedVariation {
        /// The argument as written.
        text: String,
    },

    /// More than two parameters are to be varied.
    #[snafu(display("one or two parameters can be varied"))]
    VariationCount,

    /// No policy has this name.
    #[snafu(display("{reason}"))]
    UnknownPolicy {
        /// The emulator's message, with the known names.
        reason: String,
    },

    /// The thread of a run panicked before it returned a result.
    #[snafu(display("a run panicked"))]
    RunPanicked,

    /// The balancer rejected its settings.
    #[snafu(display("{source}"))]
    Settings {
        /// The invalid setting.
        source: SettingsError,
    },

    /// No program path is given, and this program's own path is unknown.
    #[snafu(display(
        "this program's own path is unknown; pass the path of the balancer program with --program"
    ))]
    UnnamedProgram,

    /// There is no program at the path.
    #[snafu(display(
        "{}: program not found; build it with `cargo build --release`, or pass its path with --program",
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

    /// A plot cannot be drawn, or its file cannot be written.
    #[snafu(display("{}: {source}", path.display()))]
    DrawFile {
        /// The file.
        path: PathBuf,
        /// The backend's error.
        source: DrawError,
    },

    /// A plot cannot be rendered as SVG text.
    #[snafu(display("{source}"))]
    Draw {
        /// The backend's error.
        source: DrawError,
    },
}
