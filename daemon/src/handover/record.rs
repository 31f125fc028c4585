//! What the files say by which processes of one balancer know of each other, and what follows. No I/O.

use gradepaddle::{Id, Micros};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The version of all records. A file of another is not heeded.
pub const VERSION: u32 = 1;
/// Descriptors left for the first steps of a process that may come.
pub const FIRST: usize = 40;
/// A process on its way out may open so many more than it holds: attempts for what it still answers.
const SLACK: usize = 8;
/// A file's name is at most so long.
const LONGEST: usize = 200;

/// A ban, in a file of its own.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
pub struct Ban {
    /// See [`VERSION`].
    pub version: u32,
    /// The app server.
    pub server: String,
    /// When it was made, in microseconds of Unix time. A process from before this was written down leaves none:
    /// long ago.
    #[serde(default)]
    pub made: u64,
}

/// The service table as it was last told.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
pub struct Table {
    /// See [`VERSION`].
    pub version: u32,
    /// Who told it: versions of another discovery mean nothing here.
    pub discovery: String,
    /// The list's version.
    pub seq: u64,
    /// The entries, as discovery writes them.
    pub hosts: Vec<Value>,
}

/// A process that lives.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Process {
    /// See [`VERSION`].
    pub version: u32,
    /// When it started, in microseconds of Unix time.
    pub born: u64,
    /// Its number, which tells apart those that started at one moment.
    pub pid: u32,
    /// It can serve.
    pub ready: bool,
    /// It holds at most so many descriptors.
    pub claim: usize,
}

/// What a process needs to know of the others that live.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Others {
    /// There is an older one.
    pub older: bool,
    /// There is a younger one.
    pub younger: bool,
    /// A younger one can serve.
    pub heir: bool,
    /// What the older ones claim, and what all do.
    pub before: usize,
    pub claimed: usize,
}

impl Others {
    /// What these are to this process.
    pub fn of(me: &Process, others: &[Process]) -> Others {
        let mut sum = Others::default();
        for other in others {
            sum.claimed += other.claim;
            if (other.born, other.pid) < (me.born, me.pid) {
                sum.older = true;
                sum.before += other.claim;
            } else {
                sum.younger = true;
                sum.heir |= other.ready;
            }
        }
        sum
    }

    /// How many of the balancer's descriptors this process may hold, and says that it does. `holds` is what
    /// it has at this moment, `last` what it claimed before.
    pub fn claim(&self, sockets: usize, holds: usize, last: usize, leaving: bool) -> usize {
        if leaving && self.heir {
            // It takes nothing new, so what goes is the heir's for good.
            return (holds + SLACK).min(last);
        }
        let room = sockets.saturating_sub(self.before);
        let share = match self.younger {
            false => room.saturating_sub(FIRST),
            // Half, and less than a quarter for the younger one only while that much is held here.
            true => (holds + SLACK).clamp(room / 2, room - room / 4).min(room.saturating_sub(FIRST)),
        };
        let share = share.max(FIRST);
        if share <= last {
            // What it holds beyond its share it gives up by and by, and claims till then.
            return share.max(holds.min(last));
        }
        // It grows into what nobody claims.
        share.min(sockets.saturating_sub(self.claimed)).max(last)
    }
}

/// A file's name for an id that may hold anything; none if it would be too long.
pub fn name(kind: &str, id: &str) -> Option<String> {
    let mut name = format!("{kind}-");
    for byte in id.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' => name.push(char::from(byte)),
            _ => name += &format!("%{byte:02x}"),
        }
    }
    (name.len() <= LONGEST).then_some(name)
}

/// The app server that a ban's file is named for; none if no file of ours is named so.
pub fn banned(file: &str) -> Option<Id> {
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
    (name("ban", &id)? == file).then(|| id.into())
}

/// The app server that a ban's file names, and when it was made, if the file is one of ours.
///
/// # Errors
///
/// What is wrong with the file, as a text for the log.
pub fn ban(file: &str, text: &[u8]) -> Result<(Id, Micros), String> {
    let ban: Ban = serde_json::from_slice(text).map_err(|e| e.to_string())?;
    if ban.version != VERSION {
        return Err(format!("version {}, not {VERSION}", ban.version));
    }
    match name("ban", &ban.server) {
        Some(own) if own == file => Ok((ban.server.into(), ban.made)),
        _ => Err(format!("it names {:?}", ban.server)),
    }
}

#[cfg(test)]
mod tests;
