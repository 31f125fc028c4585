//! Splits server-sent events (WHATWG HTML, section 9.2): finds where an event ends, its id, and the model version that it
//! names. Does no I/O.

/// The field with an event's id.
const ID: &[u8] = b"id:";
/// The field with an event's data.
const DATA: &[u8] = b"data:";
/// The field with the model versions from this event on.
const VERSIONS: &[u8] = b"versions:";

/// Splits a stream into complete events.
///
/// Only complete events are forwarded, so that an interrupted stream can be resumed after the last one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Bytes after the last complete event.
    pending: Vec<u8>,
    last_id: Option<u64>,
    /// Whether the last complete event had no id.
    last_without_id: bool,
    /// Whether another event is known to follow: the first one, or one of which only the beginning was received.
    awaits_event: bool,
    /// The last model version named since the last [`EventSplitter::take_version`].
    version: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter for a stream that starts after the event with this id, or at its beginning.
    pub fn after(last_id: Option<u64>) -> Self {
        EventSplitter { last_id, awaits_event: last_id.is_none(), ..EventSplitter::default() }
    }

    /// Creates a splitter for a stream that starts after an event whose id is no number.
    pub fn after_opaque_id() -> Self {
        EventSplitter::default()
    }

    /// The id of the last complete event that had one.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// True if the last complete event is the one that [`EventSplitter::last_id`] names. After an event without an id, no
    /// server could resume the stream without repeating it.
    pub fn last_event_has_id(&self) -> bool {
        !self.last_without_id
    }

    /// The model version most recently named by an event. The call resets it.
    pub fn take_version(&mut self) -> Option<u64> {
        self.version.take()
    }

    /// Adds bytes of the stream, and appends the events that they complete to `complete`.
    pub fn push(&mut self, bytes: &[u8], complete: &mut Vec<u8>) {
        // The line ends that complete an event may be split between two calls.
        let search_from = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(bytes);
        let mut start = 0;
        let mut at = search_from;
        while let Some(end) = event_end(&self.pending, at) {
            self.parse_event(start..end);
            start = end;
            at = end;
        }
        if start > 0 {
            complete.extend_from_slice(&self.pending[..start]);
            self.pending.drain(..start);
        }
    }

    /// True if the stream may end here: no event is incomplete, and none is known to follow. A stream that ends elsewhere is
    /// truncated.
    pub fn may_end(&self) -> bool {
        !self.is_within_event() && (!self.awaits_event || self.ends_unsplit())
    }

    /// True if bytes of an incomplete event are pending. Empty lines are no event.
    pub fn is_within_event(&self) -> bool {
        !is_blank(&self.pending) && !self.ends_unsplit()
    }

    /// True if the pending bytes are complete events whose lines end with a carriage return alone. Such events are not split.
    fn ends_unsplit(&self) -> bool {
        !is_blank(&self.pending) && self.pending.ends_with(b"\r\r")
    }

    /// Takes the bytes after the last complete event. They are forwarded at the end of a stream that was not truncated.
    pub fn take_remainder(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.pending)
    }

    /// Discards the beginning of an event that will not be completed. The server that resumes the stream sends the event again.
    pub fn discard_partial(&mut self) {
        self.awaits_event |= self.is_within_event();
        self.pending.clear();
    }

    /// Reads the id and the model version of a complete event.
    fn parse_event(&mut self, event: std::ops::Range<usize>) {
        self.awaits_event &= is_blank(&self.pending[event.clone()]);
        let (mut id, mut has_data) = (None, false);
        for line in self.pending[event].split(|byte| *byte == b'\n') {
            if let Some(value) = line.strip_prefix(ID) {
                id = parse_number(value);
            } else if line.starts_with(DATA) {
                has_data = true;
            } else if line.len() >= VERSIONS.len() && line[..VERSIONS.len()].eq_ignore_ascii_case(VERSIONS) {
                self.version = parse_number(&line[VERSIONS.len()..]).or(self.version);
            }
        }
        self.last_id = id.or(self.last_id);
        if id.is_some() || has_data {
            self.last_without_id = id.is_none();
        }
    }
}

fn parse_number(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value.trim_ascii()).ok()?.parse().ok()
}

/// True for empty lines alone.
fn is_blank(bytes: &[u8]) -> bool {
    bytes.iter().all(|byte| matches!(byte, b'\r' | b'\n'))
}

/// Where the event that has begun before `from` ends: after an empty line.
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
