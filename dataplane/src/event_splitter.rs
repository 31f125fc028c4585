//! Server-sent events (WHATWG HTML, section 9.2): where an event ends, its id, and the model version that it names. No
//! I/O.

/// The field with an event's id.
const ID: &[u8] = b"id:";
/// The field with an event's data.
const DATA: &[u8] = b"data:";
/// The field with the model versions from this event on.
const VERSIONS: &[u8] = b"versions:";

/// Splits a stream into complete events.
///
/// Only complete events are forwarded, so that a stream that breaks can be resumed at the end of one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    last_id: Option<u64>,
    /// The last event had no id.
    last_without_id: bool,
    version: Option<u64>,
}

impl EventSplitter {
    /// A splitter for a stream that resumes behind this id, if there is one.
    pub fn after(last_id: Option<u64>) -> Self {
        EventSplitter { last_id, ..EventSplitter::default() }
    }

    /// The id of the last complete event that had one.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// True if the last complete event is the one that [`EventSplitter::last_id`] names: behind one without an id, no
    /// server could resume without a repeat.
    pub fn last_event_has_id(&self) -> bool {
        !self.last_without_id
    }

    /// The model version that the last event with one named; this call resets it.
    pub fn take_version(&mut self) -> Option<u64> {
        self.version.take()
    }

    /// Takes in bytes of the stream and appends the events that are complete by now to `complete`.
    pub fn push(&mut self, bytes: &[u8], complete: &mut Vec<u8>) {
        let searched = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(bytes);
        let mut start = 0;
        let mut at = searched;
        while let Some(end) = event_end(&self.pending, at) {
            self.read(start..end);
            start = end;
            at = end;
        }
        if start > 0 {
            complete.extend_from_slice(&self.pending[..start]);
            self.pending.drain(..start);
        }
    }

    /// Bytes behind the last complete event, to be forwarded at the end of a stream that was not truncated.
    pub fn take_remainder(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.pending)
    }

    /// Drops the beginning of an event that will not be completed.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
    }

    fn read(&mut self, event: std::ops::Range<usize>) {
        let (mut id, mut has_data) = (None, false);
        for line in self.pending[event].split(|byte| *byte == b'\n') {
            if let Some(value) = line.strip_prefix(ID) {
                id = number(value);
            } else if line.starts_with(DATA) {
                has_data = true;
            } else if line.len() >= VERSIONS.len() && line[..VERSIONS.len()].eq_ignore_ascii_case(VERSIONS) {
                self.version = number(&line[VERSIONS.len()..]).or(self.version);
            }
        }
        self.last_id = id.or(self.last_id);
        if id.is_some() || has_data {
            self.last_without_id = id.is_none();
        }
    }
}

fn number(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value.trim_ascii()).ok()?.parse().ok()
}

/// Where the event that is open at `from` ends: behind an empty line.
fn event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let mut at = from;
    while let Some(newline) = bytes[at..].iter().position(|byte| *byte == b'\n') {
        let next = at + newline + 1;
        match bytes.get(next) {
            Some(b'\n') => return Some(next + 1),
            Some(b'\r') if bytes.get(next + 1) == Some(&b'\n') => return Some(next + 2),
            _ => at = next,
        }
    }
    None
}
