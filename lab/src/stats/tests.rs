use super::*;

/// Checks the confidence interval against the textbook value for four numbers.
#[test]
fn the_interval_is_students() {
    let estimate = Estimate::of(&[1.0, 2.0, 3.0, 4.0]);
    // s = 1.29099, t(0.975, 3) = 3.18245.
    assert!((estimate.mean - 2.5).abs() < 1e-12 && (estimate.half - 2.05426).abs() < 1e-4, "{estimate:?}");
    assert_eq!(Estimate::of(&[7.0]), Estimate { mean: 7.0, half: 0.0, least: 7.0, count: 1 });
}
