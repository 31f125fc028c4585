//! Scenarios and results on disk; faults name the file.

use std::fs;
use std::path::{Path, PathBuf};

use gradepaddle_emulator::result::{Outcome, SCHEMA};
use gradepaddle_emulator::scenario::Scenario;
use serde::Serialize;

/// A scenario of this name: a file, or one under `scenarios/`.
///
/// # Errors
///
/// The file cannot be read, or holds no scenario that makes sense.
pub fn scenario(name: &Path) -> Result<Scenario, String> {
    let text = text(name)?;
    parse(&text, name)
}

/// The text of a scenario, before it is decoded.
///
/// # Errors
///
/// The file cannot be read.
pub fn text(name: &Path) -> Result<String, String> {
    let path = find(name);
    fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))
}

fn find(name: &Path) -> PathBuf {
    let under = Path::new("scenarios").join(name).with_extension("toml");
    if !name.exists() && under.exists() { under } else { name.to_owned() }
}

/// Decodes a scenario; one without a name has its file's.
///
/// # Errors
///
/// The text is no scenario, or one that makes no sense; the error names line and field.
pub fn parse(text: &str, name: &Path) -> Result<Scenario, String> {
    let mut scenario = Scenario::parse(text).map_err(|fault| format!("{}: {fault}", name.display()))?;
    if scenario.name.is_empty() {
        scenario.name = name.file_stem().map_or_else(String::new, |stem| stem.to_string_lossy().into_owned());
    }
    Ok(scenario)
}

/// All scenarios of a folder, by name.
///
/// # Errors
///
/// The folder cannot be listed, or one of its scenarios cannot be read; the first one is named.
pub fn all(folder: &Path) -> Result<Vec<(PathBuf, Scenario)>, String> {
    let entries = fs::read_dir(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let mut paths: Vec<PathBuf> = entries.filter_map(|entry| entry.ok().map(|entry| entry.path())).collect();
    paths.retain(|path| path.extension().is_some_and(|end| end == "toml"));
    paths.sort();
    paths.into_iter().map(|path| scenario(&path).map(|scenario| (path, scenario))).collect()
}

/// Sets a field, named as in `fleet.servers` or `trouble[0].share`, in a scenario's text.
///
/// # Errors
///
/// The text is no TOML, or the field's name is not `SECTION.FIELD` or names a section that the scenario lacks.
pub fn with(text: &str, field: &str, value: f64) -> Result<String, String> {
    let mut table: toml::Table = toml::from_str(text).map_err(|e| e.to_string())?;
    let (section, key) = field.rsplit_once('.').ok_or_else(|| format!("{field:?} is not SECTION.FIELD"))?;
    let inner = match section.split_once('[') {
        None => table.entry(section).or_insert_with(|| toml::Table::new().into()).as_table_mut(),
        Some((list, at)) => {
            let at: usize = at.trim_end_matches(']').parse().map_err(|_| format!("{field:?}: no number"))?;
            table.get_mut(list).and_then(|list| list.get_mut(at)).and_then(toml::Value::as_table_mut)
        }
    };
    let inner = inner.ok_or_else(|| format!("{section:?} is not in the scenario"))?;
    // Counts are whole in a scenario's types, and a whole number serves for the others as well.
    let whole = value.fract() == 0.0;
    let value = if whole { toml::Value::Integer(value as i64) } else { toml::Value::Float(value) };
    inner.insert(key.to_owned(), value);
    toml::to_string(&table).map_err(|e| e.to_string())
}

/// Makes a folder for results.
///
/// # Errors
///
/// The folder cannot be made.
pub fn folder(path: &Path) -> Result<(), String> {
    fs::create_dir_all(path).map_err(|e| format!("{}: {e}", path.display()))
}

/// Writes text.
///
/// # Errors
///
/// The file cannot be written.
pub fn write(path: &Path, text: &str) -> Result<(), String> {
    fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

/// Writes a value as JSON.
///
/// # Errors
///
/// The value has no JSON form, or the file cannot be written.
pub fn write_json(path: &Path, value: &impl Serialize) -> Result<(), String> {
    let mut text = serde_json::to_string_pretty(value).map_err(|e| format!("{}: {e}", path.display()))?;
    text.push('\n');
    write(path, &text)
}

/// Reads a result; one of another format is turned down.
///
/// # Errors
///
/// The file cannot be read, or holds no result of the format [`SCHEMA`].
pub fn read(path: &Path) -> Result<Outcome, String> {
    let text = fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let value: serde_json::Value =
        serde_json::from_str(&text).map_err(|e| format!("{}: {e}", path.display()))?;
    let schema = value.get("schema").and_then(serde_json::Value::as_u64);
    if schema != Some(u64::from(SCHEMA)) {
        return Err(format!("{}: field schema: {schema:?} is not {SCHEMA}", path.display()));
    }
    serde_json::from_value(value).map_err(|e| format!("{}: {e}", path.display()))
}

#[cfg(test)]
mod tests;
