//! The daemon's configuration: the `RELAY_*` environment variables and the JSON file that `RELAY_CONFIG` names.

use std::net::SocketAddr;

use gradepaddle::settings::{Config as SettingsObject, Deployment};
use serde::Deserialize;

use crate::service_table::HostList;

/// The whole configuration.
pub struct Config {
    /// The balancer's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The descriptor of the clients' listening socket, if the platform passes one.
    pub inherited_fd: Option<i32>,
    /// The memory limit of the process, in MB.
    pub memory_mb: usize,
    /// The address of the operators' admin listener, if any.
    pub admin_addr: Option<SocketAddr>,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The seed for random numbers.
    pub seed: u64,
    /// The descriptor limit of the process.
    pub descriptors: usize,
    /// The service table as this balancer last had it.
    pub initial_table: HostList,
    /// The settings, converted for the decisions.
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
    known: HostList,
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

/// Why the file is read.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum ReadReason {
    /// The daemon starts: a variable that is set takes precedence over the file.
    Start,
    /// The file has been replaced: its `discovery` takes precedence over the variable, which is older.
    Reload,
}

/// The smallest descriptor limit that leaves room for clients and app servers.
const MIN_SOCKETS: usize = 64;

impl Config {
    /// Reads the variables with `variable`, and the file that `RELAY_CONFIG` names.
    ///
    /// # Errors
    ///
    /// What is wrong with a variable or the file, as a text for the log.
    pub fn read(variable: impl Fn(&str) -> Option<String>, reason: ReadReason) -> Result<Self, String> {
        let path = variable("RELAY_CONFIG").ok_or("RELAY_CONFIG is not set")?;
        let text = std::fs::read_to_string(&path).map_err(|e| format!("RELAY_CONFIG: {path}: {e}"))?;
        Self::parse(&text, variable, reason).map_err(|error| format!("{path}: {error}"))
    }

    /// The fields that differ in `new` and take effect only at a start.
    pub fn restart_only_changes(&self, new: &Config) -> Vec<&'static str> {
        let fields = [
            ("name", self.name != new.name),
            ("listen", self.listen != new.listen),
            ("admin_addr", self.admin_addr != new.admin_addr),
            ("limits", (self.descriptors, self.memory_mb) != (new.descriptors, new.memory_mb)),
            ("settings", self.deployment != new.deployment),
        ];
        fields.iter().filter(|(_, differs)| *differs).map(|(field, _)| *field).collect()
    }

    fn parse(
        text: &str,
        variable: impl Fn(&str) -> Option<String>,
        reason: ReadReason,
    ) -> Result<Self, String> {
        let mut deserializer = serde_json::Deserializer::from_str(text);
        let file: File = serde_path_to_error::deserialize(&mut deserializer)
            .map_err(|e| format!("field {}: {}", e.path(), e.inner()))?;
        let required = |name: &str, field: &str, value: Option<String>| {
            let variable = variable(name);
            let prefers_file = reason == ReadReason::Reload && field == "discovery" && value.is_some();
            let found = if prefers_file { value } else { variable.or(value) };
            found.ok_or(format!("field {field} is missing and {name} is not set"))
        };
        let address = |field: &str, text: String| {
            text.parse::<SocketAddr>().map_err(|e| format!("field {field}: {text:?}: {e}"))
        };
        let listen = required("RELAY_LISTEN", "listen", file.listen)?;
        let discovery = required("RELAY_DISCOVERY", "discovery", file.discovery)?;
        let admin_addr = variable("RELAY_ADMIN_ADDR").or(file.admin_addr);
        let admin_addr = admin_addr.map(|text| address("admin_addr", text)).transpose()?;
        let inherited_fd = variable("RELAY_INHERITED_FD").map(|text| {
            let number = text.parse().ok().filter(|fd: &i32| *fd >= 0);
            number.ok_or(format!("RELAY_INHERITED_FD: {text:?} is no descriptor"))
        });
        let inherited_fd = inherited_fd.transpose()?;
        if file.limits.sockets < MIN_SOCKETS {
            return Err(format!("field limits.sockets: {} is under {MIN_SOCKETS}", file.limits.sockets));
        }
        let seed = u64::from_str_radix(&file.seed, 16);
        let deployment = file.settings.deployment().map_err(|e| format!("field settings: {e}"))?;
        deployment.settings.check().map_err(|e| format!("field {e}"))?;
        Ok(Config {
            name: required("RELAY_NAME", "name", file.name)?,
            listen: address("listen", listen)?,
            inherited_fd,
            memory_mb: file.limits.memory_mb,
            admin_addr,
            discovery: address("discovery", discovery)?,
            seed: seed.map_err(|e| format!("field seed: {:?} is no hexadecimal number: {e}", file.seed))?,
            descriptors: file.limits.sockets,
            initial_table: file.known,
            deployment,
        })
    }
}
