//! What the daemon is told at its start: the `RELAY_*` variables and the JSON file that one of them names.

use std::net::SocketAddr;

use gradepaddle::settings::{Config as SettingsObject, Deployment};
use serde::Deserialize;

use crate::service_table::Listing;

/// The whole configuration.
pub struct Config {
    /// The balancer's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The descriptor of the clients' listening socket, where the platform hands one down.
    pub inherited: Option<i32>,
    /// The most memory the process may hold, in MB.
    pub memory_mb: usize,
    /// Where operators call, if anywhere.
    pub admin_addr: Option<SocketAddr>,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// The seed for random numbers.
    pub seed: u64,
    /// The most descriptors the process may hold.
    pub sockets: usize,
    /// The service table as this balancer last had it.
    pub known: Listing,
    /// The settings in the module's terms.
    pub deployment: Deployment,
}

#[derive(Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<String>,
    admin_addr: Option<String>,
    discovery: Option<String>,
    seed: String,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    known: Listing,
    settings: SettingsObject,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
    memory_mb: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1024, memory_mb: 192 }
    }
}

/// When the file is read.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Occasion {
    /// At the start: a variable that is set goes before the file.
    Start,
    /// The file has been replaced: its `discovery` goes before the variable, which is older.
    Anew,
}

/// The fewest descriptors that leave room for both sides.
const FEWEST_SOCKETS: usize = 64;

impl Config {
    /// Reads variables by `variable` and the file by `RELAY_CONFIG`; says plainly what is wrong.
    ///
    /// # Errors
    ///
    /// What is wrong with a variable or the file, as a text for the log.
    pub fn read(variable: impl Fn(&str) -> Option<String>, on: Occasion) -> Result<Self, String> {
        let path = variable("RELAY_CONFIG").ok_or("RELAY_CONFIG is not set")?;
        let text = std::fs::read_to_string(&path).map_err(|e| format!("RELAY_CONFIG: {path}: {e}"))?;
        Self::parse(&text, variable, on).map_err(|fault| format!("{path}: {fault}"))
    }

    /// The fields that differ in `fresh` and are heeded only at a start.
    pub fn unheeded(&self, fresh: &Config) -> Vec<&'static str> {
        let differ = [
            ("name", self.name != fresh.name),
            ("listen", self.listen != fresh.listen),
            ("admin_addr", self.admin_addr != fresh.admin_addr),
            ("limits", (self.sockets, self.memory_mb) != (fresh.sockets, fresh.memory_mb)),
            ("settings", self.deployment != fresh.deployment),
        ];
        differ.iter().filter(|(_, differs)| *differs).map(|(field, _)| *field).collect()
    }

    fn parse(text: &str, variable: impl Fn(&str) -> Option<String>, on: Occasion) -> Result<Self, String> {
        let mut reader = serde_json::Deserializer::from_str(text);
        let file: File = serde_path_to_error::deserialize(&mut reader)
            .map_err(|e| format!("field {}: {}", e.path(), e.inner()))?;
        let told = |name: &str, field: &str, value: Option<String>| {
            let variable = variable(name);
            let newer = on == Occasion::Anew && field == "discovery" && value.is_some();
            let told = if newer { value } else { variable.or(value) };
            told.ok_or(format!("field {field} is missing and {name} is not set"))
        };
        let address = |field: &str, text: String| {
            text.parse::<SocketAddr>().map_err(|e| format!("field {field}: {text:?}: {e}"))
        };
        let listen = told("RELAY_LISTEN", "listen", file.listen)?;
        let discovery = told("RELAY_DISCOVERY", "discovery", file.discovery)?;
        let admin_addr = variable("RELAY_ADMIN_ADDR").or(file.admin_addr);
        let admin_addr = admin_addr.map(|text| address("admin_addr", text)).transpose()?;
        let inherited = variable("RELAY_INHERITED_FD").map(|text| {
            let number = text.parse().ok().filter(|fd: &i32| *fd >= 0);
            number.ok_or(format!("RELAY_INHERITED_FD: {text:?} is no descriptor"))
        });
        let inherited = inherited.transpose()?;
        if file.limits.sockets < FEWEST_SOCKETS {
            return Err(format!("field limits.sockets: {} is under {FEWEST_SOCKETS}", file.limits.sockets));
        }
        let seed = u64::from_str_radix(&file.seed, 16);
        let deployment = file.settings.deployment().map_err(|e| format!("field settings: {e}"))?;
        deployment.settings.check().map_err(|e| format!("field {e}"))?;
        Ok(Config {
            name: told("RELAY_NAME", "name", file.name)?,
            listen: address("listen", listen)?,
            inherited,
            memory_mb: file.limits.memory_mb,
            admin_addr,
            discovery: address("discovery", discovery)?,
            seed: seed.map_err(|e| format!("field seed: {:?} is no hexadecimal number: {e}", file.seed))?,
            sockets: file.limits.sockets,
            known: file.known,
            deployment,
        })
    }
}
