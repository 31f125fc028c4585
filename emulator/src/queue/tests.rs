use super::*;

/// Checks the order of events due at the same microsecond: an answer is handled before the time-out that it
/// races with, regardless of which was pushed first.
#[test]
fn events_due_together_are_ordered_by_rank_then_push_order() {
    let mut queue = Queue::default();
    let (key, upstream_request) = (ClientRequestKey::default(), UpstreamRequestKey::default());
    queue.push(5, Event::NextArrival);
    queue.push(5, Event::ClientTimeout { key });
    queue.push(5, Event::AttemptTimeout { upstream_request });
    queue.push(5, Event::RequestAtServer { upstream_request });
    queue.push(5, Event::ClientAnswer { key });
    queue.push(5, Event::Trouble { at: 0, begins: true });
    queue.push(4, Event::NextArrival);
    let order: Vec<u8> = std::iter::from_fn(|| queue.pop()).map(|(_, event)| event.rank()).collect();
    assert_eq!(order, [5, 0, 2, 3, 4, 4, 5]);
    queue.push(9, Event::ClientTimeout { key });
    queue.push(9, Event::AttemptTimeout { upstream_request });
    assert_eq!(queue.pop().map(|(_, event)| event), Some(Event::ClientTimeout { key }));
}
