use super::*;

/// Guards unsafe requests against connections that die sooner than the settings say, connections against resets
/// that have nothing to do with idle time, and the future against what once was.
#[test]
fn connections_are_reused_for_as_long_as_none_was_lost() {
    let (start, ms) = (Instant::now(), Duration::from_millis);
    let idle_reuse = IdleReuse::new(start);
    // One in ten is reset whatever its connection, and nothing follows from that.
    for i in 0..200 {
        for idle in [None, Some(ms(10)), Some(ms(300)), Some(ms(3_000))] {
            idle_reuse.record(start, idle, i % 10 == 0);
        }
    }
    assert_eq!(idle_reuse.max_idle(start), Duration::MAX);
    // What was idle for 0.8 s or more is lost from now on.
    for _ in 0..60 {
        idle_reuse.record(start, Some(ms(900)), true);
        idle_reuse.record(start, Some(ms(700)), false);
    }
    assert_eq!(idle_reuse.max_idle(start), ms(800));
    let later = start + Duration::from_secs(400);
    assert_eq!(idle_reuse.max_idle(later), Duration::MAX, "it is tried again");
    let fresh = IdleReuse::new(start);
    (0..2).for_each(|_| fresh.record(start, Some(ms(1)), true));
    assert_eq!(fresh.max_idle(start), Duration::ZERO, "none is used again");
}
