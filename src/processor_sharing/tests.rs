use super::*;

/// Guards against a light request that avoids a server because of a heavy one that it would overtake, and against
/// the reverse. The processing mode is detected from answer times alone, and again when it changes.
#[test]
fn the_rule_that_servers_follow_is_found_from_their_times() {
    let mut sharing = ProcessorSharing::default();
    let mut random = 7u64;
    let mut draw = move || {
        random = crate::state::mix(random);
        (random >> 11) as f64 / (1u64 << 53) as f64
    };
    for (shares, rounds) in [(false, 2_000), (true, 2_000), (false, 2_000)] {
        for _ in 0..rounds {
            let mut work = || 20_000.0 * (4.0 * draw()).exp();
            let (count, own) = (4.0, work());
            let others: Vec<f64> = (0..4).map(|_| work()).collect();
            let all: f64 = others.iter().sum();
            let waits = match shares {
                true => others.iter().map(|other| other.min(own)).sum(),
                false => all,
            };
            let time = (waits + own) / 0.7 * (0.5 + draw());
            sharing.learn(all, count, own, time);
        }
        assert_eq!(sharing.shares, shares);
    }
    // Without hints all requests have the same work, which shows nothing.
    let mut even = ProcessorSharing::default();
    (0..1_000).for_each(|i| even.learn(300.0, 3.0, 100.0, f64::from(i % 7 + 1)));
    assert!(!even.shares && even.light == [0.0; 3]);
}
