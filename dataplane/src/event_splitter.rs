//! Streams of events: where an event ends, its id, and a change of weights told by it. No I/O.

/// The field that tells an event's id.
const ID: &[u8] = b"id:";
/// The field that holds an event's data.
const DATA: &[u8] = b"data:";
/// The field that tells the versions of weights from this event on.
const VERSIONS: &[u8] = b"versions:";

/// Cuts a stream into whole events.
///
/// Only whole events are passed on, so that a stream that breaks can be taken up at an event's end.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    last_id: Option<u64>,
    /// The last event had no id.
    unnumbered: bool,
    version: Option<u64>,
}

impl EventSplitter {
    /// A splitter for a stream that goes on behind this id, if it is one that is taken up.
    pub fn after(last_id: Option<u64>) -> Self {
        EventSplitter { last_id, ..EventSplitter::default() }
    }

    /// The id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// True if the last whole event is the one that [`EventSplitter::last_id`] names: behind one without an id, no
    /// server could go on without a repeat.
    pub fn last_event_has_id(&self) -> bool {
        !self.unnumbered
    }

    /// The version of weights that the last event with one told; taken by this call.
    pub fn take_version(&mut self) -> Option<u64> {
        self.version.take()
    }

    /// Takes in bytes of the stream and appends to `whole` the events that are complete by now.
    pub fn push(&mut self, bytes: &[u8], whole: &mut Vec<u8>) {
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
            whole.extend_from_slice(&self.pending[..start]);
            self.pending.drain(..start);
        }
    }

    /// Bytes behind the last whole event, given back at the end of a stream that ended in order.
    pub fn take_remainder(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.pending)
    }

    /// Drops what came of an event that will not be complete.
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
            self.unnumbered = id.is_none();
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
