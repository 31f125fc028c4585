//! Scenario and result files. Errors name the file.

use std::fs;
use std::path::{Path, PathBuf};

use gradepaddle_emulator::result::{Outcome, SCHEMA};
use gradepaddle_emulator::scenario::Scenario;
use serde::Serialize;
use snafu::{OptionExt, ResultExt, ensure};

use crate::error::{
    CreateFolderSnafu, DecodeJsonSnafu, DecodeTomlSnafu, EncodeJsonSnafu, EncodeTomlSnafu, Error,
    FieldPositionSnafu, FieldWithoutSectionSnafu, ForeignSchemaSnafu, ListFolderSnafu, MissingSectionSnafu,
    ReadFileSnafu, WriteFileSnafu,
};

/// Reads a scenario: a file, or the name of one under `scenarios/`.
///
/// # Errors
///
/// The file cannot be read, or is not a valid scenario.
pub fn scenario(name: &Path) -> Result<Scenario, Error> {
    let text = text(name)?;
    parse(&text, name)
}

/// The text of a scenario, before it is decoded.
///
/// # Errors
///
/// The file cannot be read.
pub fn text(name: &Path) -> Result<String, Error> {
    let path = resolve(name);
    fs::read_to_string(&path).context(ReadFileSnafu { path })
}

fn resolve(name: &Path) -> PathBuf {
    let under = Path::new("scenarios").join(name).with_extension("toml");
    if !name.exists() && under.exists() { under } else { name.to_owned() }
}

/// Parses a scenario. If it has no name, it gets the file's.
///
/// # Errors
///
/// The text is not a valid scenario; the error names line and field.
pub fn parse(text: &str, name: &Path) -> Result<Scenario, Error> {
    let mut scenario =
        Scenario::parse(text).map_err(|reason| Error::ParseScenario { path: name.to_owned(), reason })?;
    if scenario.name.is_empty() {
        scenario.name = name.file_stem().map_or_else(String::new, |stem| stem.to_string_lossy().into_owned());
    }
    Ok(scenario)
}

/// Reads all scenarios of a folder, sorted by file name.
///
/// # Errors
///
/// The folder cannot be listed, or a scenario cannot be read; the error names the first such file.
pub fn all(folder: &Path) -> Result<Vec<(PathBuf, Scenario)>, Error> {
    let entries = fs::read_dir(folder).context(ListFolderSnafu { path: folder })?;
    let mut paths: Vec<PathBuf> = entries.filter_map(|entry| entry.ok().map(|entry| entry.path())).collect();
    paths.retain(|path| path.extension().is_some_and(|end| end == "toml"));
    paths.sort();
    paths.into_iter().map(|path| scenario(&path).map(|scenario| (path, scenario))).collect()
}

/// Sets a field, such as `fleet.servers` or `trouble[0].share`, in a scenario's text.
///
/// # Errors
///
/// The text is not TOML, or the field is not of the form `SECTION.FIELD` or names a section that the scenario
/// lacks.
pub fn with_field(text: &str, field: &str, value: f64) -> Result<String, Error> {
    let mut table: toml::Table = toml::from_str(text).context(DecodeTomlSnafu)?;
    let (section, key) = field.rsplit_once('.').context(FieldWithoutSectionSnafu { field })?;
    let inner = match section.split_once('[') {
        None => table.entry(section).or_insert_with(|| toml::Table::new().into()).as_table_mut(),
        Some((list, at)) => {
            let at: usize = at.trim_end_matches(']').parse().context(FieldPositionSnafu { field })?;
            table.get_mut(list).and_then(|list| list.get_mut(at)).and_then(toml::Value::as_table_mut)
        }
    };
    let inner = inner.context(MissingSectionSnafu { section })?;
    // Counts must be integers in TOML, and an integer is accepted for the other fields as well.
    let whole = value.fract() == 0.0;
    let value = if whole { toml::Value::Integer(value as i64) } else { toml::Value::Float(value) };
    inner.insert(key.to_owned(), value);
    toml::to_string(&table).context(EncodeTomlSnafu)
}

/// Creates a folder for results.
///
/// # Errors
///
/// The folder cannot be created.
pub fn create_folder(path: &Path) -> Result<(), Error> {
    fs::create_dir_all(path).context(CreateFolderSnafu { path })
}

/// Writes text.
///
/// # Errors
///
/// The file cannot be written.
pub fn write(path: &Path, text: &str) -> Result<(), Error> {
    fs::write(path, text).context(WriteFileSnafu { path })
}

/// Writes a value as JSON.
///
/// # Errors
///
/// The value can't be encoded as JSON, or the file cannot be written.
pub fn write_json(path: &Path, value: &impl Serialize) -> Result<(), Error> {
    let mut text = serde_json::to_string_pretty(value).context(EncodeJsonSnafu { path })?;
    text.push('\n');
    write(path, &text)
}

/// Reads a result and rejects other versions of the format.
///
/// # Errors
///
/// The file cannot be read, or is not a result of version [`SCHEMA`].
pub fn read(path: &Path) -> Result<Outcome, Error> {
    let text = fs::read_to_string(path).context(ReadFileSnafu { path })?;
    let value: serde_json::Value = serde_json::from_str(&text).context(DecodeJsonSnafu { path })?;
    let schema = value.get("schema").and_then(serde_json::Value::as_u64);
    ensure!(schema == Some(u64::from(SCHEMA)), ForeignSchemaSnafu { path, found: schema });
    serde_json::from_value(value).context(DecodeJsonSnafu { path })
}

#[cfg(test)]
mod tests;
