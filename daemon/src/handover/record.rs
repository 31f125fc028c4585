//! The records by which the processes of one balancer know of each other, and how they share the descriptors. No I/O.

use gradepaddle::{Id, Micros};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The version of all records. Files of another version are ignored.
pub const VERSION: u32 = 1;
/// The descriptors that are left free for the start of another process, and that a process claims at its start.
pub const INITIAL_CLAIM: usize = 40;
/// A terminating process may open this many descriptors beyond those it holds, for attempts of requests that are still open.
const TERMINATING_SLACK: usize = 8;
/// The length limit of a file name in bytes.
const MAX_FILE_NAME: usize = 200;

/// A ban, in a file of its own.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
pub struct Ban {
    /// See [`VERSION`].
    pub version: u32,
    /// The app server.
    pub server: String,
    /// When it was made, in microseconds of Unix time. Builds from before this field was added leave it out; it is then 0,
    /// long ago.
    #[serde(default)]
    pub made: u64,
}

/// The service table as discovery last sent it.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
pub struct Table {
    /// See [`VERSION`].
    pub version: u32,
    /// The address of the discovery that sent it. Versions of another discovery can't be compared with `seq`.
    pub discovery: String,
    /// The list's version.
    pub seq: u64,
    /// The entries, in discovery's format.
    pub hosts: Vec<Value>,
}

/// A running process.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Process {
    /// See [`VERSION`].
    pub version: u32,
    /// When it started, in microseconds of Unix time.
    pub born: u64,
    /// Its process id, which tells apart processes that started at the same time.
    pub pid: u32,
    /// It can serve.
    pub ready: bool,
    /// The most descriptors that it holds.
    pub claim: usize,
}

/// What a process needs to know of the other running processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OtherProcesses {
    /// There is an older process.
    pub older: bool,
    /// There is a younger process.
    pub younger: bool,
    /// A younger process can serve.
    pub ready_successor: bool,
    /// The descriptors that the older processes claim, and that all of them do.
    pub claimed_by_older: usize,
    pub claimed_by_all: usize,
}

impl OtherProcesses {
    /// Summarizes these processes as seen from `me`.
    pub fn of(me: &Process, others: &[Process]) -> OtherProcesses {
        let mut sum = OtherProcesses::default();
        for other in others {
            sum.claimed_by_all += other.claim;
            if (other.born, other.pid) < (me.born, me.pid) {
                sum.older = true;
                sum.claimed_by_older += other.claim;
            } else {
                sum.younger = true;
                sum.ready_successor |= other.ready;
            }
        }
        sum
    }

    /// How many of the balancer's descriptors this process may claim. `held` is the number that it holds at this moment,
    /// `last_claim` its claim so far.
    pub fn claim(&self, descriptors: usize, held: usize, last_claim: usize, terminating: bool) -> usize {
        if terminating && self.ready_successor {
            // It accepts nothing new, so what it releases belongs to the successor from then on.
            return (held + TERMINATING_SLACK).min(last_claim);
        }
        let room = descriptors.saturating_sub(self.claimed_by_older);
        let share = match self.younger {
            false => room.saturating_sub(INITIAL_CLAIM),
            // Half. While this process holds more than that, it keeps up to three quarters; the younger one gets the rest.
            true => (held + TERMINATING_SLACK)
                .clamp(room / 2, room - room / 4)
                .min(room.saturating_sub(INITIAL_CLAIM)),
        };
        let share = share.max(INITIAL_CLAIM);
        if share <= last_claim {
            // What it holds beyond its share it releases over time, and claims until then.
            return share.max(held.min(last_claim));
        }
        // It grows only into descriptors that no process claims.
        share.min(descriptors.saturating_sub(self.claimed_by_all)).max(last_claim)
    }
}

/// The file name for an id, which may contain any characters; none if the name would be too long.
pub fn file_name(kind: &str, id: &str) -> Option<String> {
    let mut name = format!("{kind}-");
    for byte in id.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' => name.push(char::from(byte)),
            _ => name += &format!("%{byte:02x}"),
        }
    }
    (name.len() <= MAX_FILE_NAME).then_some(name)
}

/// The app server that a ban file is named after; none if the daemon writes no file of this name.
pub fn server_of_ban_file(file: &str) -> Option<Id> {
    let (mut bytes, mut rest) = (Vec::new(), file.strip_prefix("ban-")?.bytes());
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let digits = [rest.next()?, rest.next()?];
        bytes.push(u8::from_str_radix(std::str::from_utf8(&digits).ok()?, 16).ok()?);
    }
    let id = String::from_utf8(bytes).ok()?;
    (file_name("ban", &id)? == file).then(|| id.into())
}

/// Parses a ban file: the banned app server, and when the ban was made.
///
/// # Errors
///
/// What is wrong with the file, as a text for the log.
pub fn parse_ban(file: &str, text: &[u8]) -> Result<(Id, Micros), String> {
    let ban: Ban = serde_json::from_slice(text).map_err(|e| e.to_string())?;
    if ban.version != VERSION {
        return Err(format!("version {}, not {VERSION}", ban.version));
    }
    match file_name("ban", &ban.server) {
        Some(own) if own == file => Ok((ban.server.into(), ban.made)),
        _ => Err(format!("it names {:?}", ban.server)),
    }
}

#[cfg(test)]
mod tests;
