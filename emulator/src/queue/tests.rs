use super::*;

/// Guards the stated order: at one microsecond an answer comes before the time-out that it would have
/// raced, whichever was put in first.
#[test]
fn events_at_one_time_come_by_rank_and_then_as_they_were_put_in() {
    let mut queue = Queue::default();
    let (key, flight) = (TryKey::default(), FlightKey::default());
    queue.push(5, Event::Arrive);
    queue.push(5, Event::GiveUp { key });
    queue.push(5, Event::Expire { flight });
    queue.push(5, Event::Land { flight });
    queue.push(5, Event::Hear { key });
    queue.push(5, Event::Trouble { at: 0, begins: true });
    queue.push(4, Event::Arrive);
    let order: Vec<u8> = std::iter::from_fn(|| queue.pop()).map(|(_, event)| event.rank()).collect();
    assert_eq!(order, [5, 0, 2, 3, 4, 4, 5]);
    queue.push(9, Event::GiveUp { key });
    queue.push(9, Event::Expire { flight });
    assert_eq!(queue.pop().map(|(_, event)| event), Some(Event::GiveUp { key }));
}
