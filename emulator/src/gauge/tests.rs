use super::*;
use crate::random::Party;
use crate::scenario::Reporting;

/// Guards reports that know more than an app server would tell: they show what the last refresh saw that is
/// old enough, and neither the moment nor what came and went between two refreshes.
#[test]
fn a_report_shows_what_a_refresh_saw_some_time_ago() {
    let report = Report { how: Reporting::Probes, period_ms: 100.0, delay_ms: 30.0, noise: 0.0 };
    let mut gauge = Gauge::new(&report, Stream::of(1, Party::Reports, 0));
    gauge.phase = 0;
    assert_eq!(gauge.read(5_000, 0), 0.0);
    gauge.note(40_000, 0);
    // 4 wait from 40 ms on, 9 from 150 to 160 ms, 2 from then on.
    gauge.note(150_000, 4);
    gauge.note(160_000, 9);
    assert_eq!(gauge.read(129_999, 2), 0.0, "the refresh at 100 ms is not told yet");
    assert_eq!(gauge.read(160_000, 2), 4.0);
    assert_eq!(gauge.read(229_999, 2), 4.0, "the one at 200 ms is not told yet");
    assert_eq!(gauge.read(230_000, 2), 2.0, "what came and went in between is never seen");
    gauge.note(1_000_000_000, 2);
    assert_eq!(gauge.seen.len(), 1, "what is old is forgotten");
    gauge.reset(1_000_000_000);
    assert_eq!(gauge.read(1_000_000_001, 7), 0.0);
}
