use super::*;

/// Guards against unsafe requests that are lost on connections dropped sooner than the settings say, against giving up
/// connections because of resets that have nothing to do with idle time, and against observations that never expire.
#[test]
fn connections_are_reused_for_as_long_as_none_was_lost() {
    let (start, ms) = (Instant::now(), Duration::from_millis);
    let idle_reuse = IdleReuse::new(start);
    // One request in ten is lost after any idle time and on new connections, which rules out no idle time.
    for i in 0..200 {
        for idle in [None, Some(ms(10)), Some(ms(300)), Some(ms(3_000))] {
            idle_reuse.record(start, idle, i % 10 == 0);
        }
    }
    assert_eq!(idle_reuse.max_idle(start), Duration::MAX);
    // From now on, requests on connections that were idle for 0.8 s or more are lost.
    for _ in 0..60 {
        idle_reuse.record(start, Some(ms(900)), true);
        idle_reuse.record(start, Some(ms(700)), false);
    }
    assert_eq!(idle_reuse.max_idle(start), ms(800));
    let later = start + Duration::from_secs(400);
    assert_eq!(idle_reuse.max_idle(later), Duration::MAX, "the observations have decayed");
    let fresh = IdleReuse::new(start);
    (0..2).for_each(|_| fresh.record(start, Some(ms(1)), true));
    assert_eq!(fresh.max_idle(start), Duration::ZERO, "no idle connection is reused");
}
