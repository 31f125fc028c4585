use super::*;

/// Checks that work factors and weighted draws follow the distributions that the scenario configures.
#[test]
fn draws_have_the_configured_mean_and_weights() {
    let mut stream = Stream::of(7, StreamId::Arrivals, 0);
    for shape in [Shape::Lognormal, Shape::Pareto] {
        let mean = (0..200_000).map(|_| stream.tailed(shape, 1.5)).sum::<f64>() / 200_000.0;
        assert!((mean - 1.0).abs() < 0.05, "{shape:?}: {mean}");
    }
    let table = AliasTable::new(&[1.0, 0.0, 3.0]);
    let mut counts = [0u32; 3];
    (0..40_000).for_each(|_| counts[table.draw(&mut stream)] += 1);
    assert_eq!(counts[1], 0);
    assert!((f64::from(counts[2]) / 40_000.0 - 0.75).abs() < 0.01, "{counts:?}");
}

/// Checks that streams are reproducible and independent of each other.
#[test]
fn streams_are_independent_and_reproducible() {
    let draws = |stream_id, number| {
        let mut stream = Stream::of(1, stream_id, number);
        (0..4).map(|_| stream.any()).collect::<Vec<_>>()
    };
    assert_eq!(draws(StreamId::Server, 3), draws(StreamId::Server, 3));
    assert_ne!(draws(StreamId::Server, 3), draws(StreamId::Server, 4));
    assert_ne!(draws(StreamId::Server, 3), draws(StreamId::Network, 3));
}
