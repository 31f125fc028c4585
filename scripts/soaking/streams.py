"""The streams of events that model servers send. A stream's path determines its events, which are the same at each server."""
import hashlib

#: Bounds of the number of events of a stream.
MIN_EVENTS, MAX_EVENTS = 3, 12
#: Number of parts in which a server writes an event, so that a crash can fall within it.
PARTS = 3


def digest(path):
    return hashlib.sha256(path.encode()).digest()


def events(path):
    """All events of the stream with this path, in order, encoded."""
    seed = digest(path)
    count = MIN_EVENTS + seed[0] % (MAX_EVENTS - MIN_EVENTS + 1)
    line_end = "\r\n" if seed[1] % 2 else "\n"
    return [line_end.join((f"id: {number}", f"data: {path} token {number} of {count}", "", "")).encode()
            for number in range(1, count + 1)]


def parts(event):
    """The parts of an event; all but the last one end within it."""
    size = len(event) // PARTS
    return [event[:size], event[size:2 * size], event[2 * size:]]


def whole_events(path, received):
    """The number of events that these bytes hold; None unless the bytes are a prefix of the stream."""
    everything = b"".join(events(path))
    if not everything.startswith(received):
        return None
    number, end = 0, 0
    for event in events(path):
        end += len(event)
        if end > len(received):
            break
        number += 1
    return number


def prefix(path, number):
    """The bytes of the first events of a stream."""
    return b"".join(events(path)[:number])
