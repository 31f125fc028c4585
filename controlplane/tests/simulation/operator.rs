//! An operator who sends configurations and announces model versions until there is a conclusive response.

use std::sync::Arc;

use gradepaddle_controlplane::api::Call;
use gradepaddle_proto::ControlCall;

use super::callers::Outcome;
use super::{MODEL, MS, Micros};

/// A task of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Task {
    Put {
        if_match: u64,
        version: u64,
        body: Arc<[u8]>,
    },
    Patch {
        if_match: u64,
        version: u64,
        patch: Arc<[u8]>,
    },
    Announce {
        version: u64,
    },
    /// Reads which version is in force.
    Read,
}

/// An operator.
#[derive(Debug, Default)]
pub struct Operator {
    pub task: Option<Task>,
    pub begun: Micros,
    pub attempt: u64,
    /// The latest version in force that the operator knows.
    pub current: u64,
    backoff: Micros,
}

/// The conclusion that an operator draws from the outcome of a call.
#[derive(Debug, PartialEq, Eq)]
pub enum Conclusion {
    Acknowledged(Task),
    /// The change is not in force and never will be.
    Refused(Task),
    /// The newest configuration.
    Read(Arc<[u8]>),
    /// Another attempt is to be made at this time.
    RetryAt(Micros),
}

/// The beginning of each configuration and patch.
const VERSION_FIELD: &str = "{\"version\":";
/// The text before the name of a configuration's author, in the one item that every patch replaces.
const AUTHOR_FIELD: &str = "\"healthPath\":\"/";

/// The item of a configuration with its author.
fn author(by: &str) -> String {
    format!("{{\"name\":\"author\",{AUTHOR_FIELD}{by}\"}}")
}

/// The body of a configuration of about this length.
pub fn body(version: u64, by: &str, length: usize) -> Arc<[u8]> {
    let author = author(by);
    let mut text = format!("{VERSION_FIELD}{version},\"routes\":[],\"backends\":[{author}],\"padding\":\"");
    while text.len() < length {
        text.push('x');
    }
    text.push_str("\"}");
    Arc::from(text.into_bytes())
}

/// A patch that makes a configuration of this version.
pub fn patch(version: u64, by: &str) -> Arc<[u8]> {
    let author = author(by);
    Arc::from(format!("{VERSION_FIELD}{version},\"upsert\":{{\"backends\":[{author}]}}}}").into_bytes())
}

/// The version of a configuration or patch.
pub fn version_of(body: &[u8]) -> u64 {
    let text = String::from_utf8_lossy(body);
    let digits = text.strip_prefix(VERSION_FIELD).and_then(|rest| rest.split(',').next());
    digits.and_then(|digits| digits.parse().ok()).unwrap_or(u64::MAX)
}

/// The identity of a configuration: its version and its author. A patch and its result have the same identity.
pub fn identity(body: &[u8]) -> Arc<[u8]> {
    let text = String::from_utf8_lossy(body);
    let author = text.split(AUTHOR_FIELD).nth(1).and_then(|rest| rest.split('"').next()).unwrap_or_default();
    Arc::from(format!("{} {author}", version_of(body)).into_bytes())
}

impl Operator {
    pub fn begin(&mut self, now: Micros, task: Task) {
        (self.task, self.begun, self.backoff) = (Some(task), now, 0);
    }

    /// The call of the next attempt; `None` without a task.
    pub fn call(&mut self) -> Option<Call> {
        self.attempt += 1;
        Some(match self.task.clone()? {
            Task::Put { if_match, version, body } => {
                Call::Control(ControlCall::PutConfiguration { if_match, version, body })
            }
            Task::Patch { if_match, version, patch } => {
                Call::Control(ControlCall::PatchConfiguration { if_match, version, patch })
            }
            Task::Announce { version } => {
                Call::Control(ControlCall::NameVersion { model: Arc::from(MODEL), version })
            }
            Task::Read => Call::Control(ControlCall::GetConfiguration),
        })
    }

    /// Handles the outcome of a call.
    pub fn answered(&mut self, now: Micros, outcome: &Outcome) -> Conclusion {
        let status = outcome.as_ref().map_or(0, |answer| answer.status);
        let ends = matches!(status, 200..=299 | 400 | 404 | 409 | 412 | 413 | 422);
        let Some(task) = self.task.clone().filter(|_| ends) else {
            self.backoff = (self.backoff * 2).clamp(50 * MS, 400 * MS);
            return Conclusion::RetryAt(now + self.backoff);
        };
        self.task = None;
        match (&task, outcome) {
            (Task::Read, Some(answer)) if status == 200 => Conclusion::Read(answer.body.clone()),
            (Task::Put { version, .. } | Task::Patch { version, .. }, _) if status == 200 => {
                self.current = *version;
                Conclusion::Acknowledged(task)
            }
            _ if status == 200 => Conclusion::Acknowledged(task),
            _ => Conclusion::Refused(task),
        }
    }
}
