use super::*;
use crate::random::StreamId;
use crate::scenario::Reporting;

/// Checks that a report shows the queue at the last refresh that is old enough, not its present length, and
/// not changes between two refreshes.
#[test]
fn reports_show_the_queue_as_of_an_earlier_refresh() {
    let report = Report { how: Reporting::Probes, period_ms: 100.0, delay_ms: 30.0, noise: 0.0 };
    let mut queue_reporter = QueueReporter::new(&report, Stream::of(1, StreamId::Reports, 0));
    queue_reporter.phase = 0;
    assert_eq!(queue_reporter.read(5_000, 0), 0.0);
    queue_reporter.record(40_000, 0);
    // 4 wait from 40 ms on, 9 from 150 to 160 ms, 2 from then on.
    queue_reporter.record(150_000, 4);
    queue_reporter.record(160_000, 9);
    assert_eq!(queue_reporter.read(129_999, 2), 0.0, "the refresh at 100 ms is not told yet");
    assert_eq!(queue_reporter.read(160_000, 2), 4.0);
    assert_eq!(queue_reporter.read(229_999, 2), 4.0, "the one at 200 ms is not told yet");
    assert_eq!(queue_reporter.read(230_000, 2), 2.0, "what came and went in between is never seen");
    queue_reporter.record(1_000_000_000, 2);
    assert_eq!(queue_reporter.observations.len(), 1, "what is old is forgotten");
    queue_reporter.reset(1_000_000_000);
    assert_eq!(queue_reporter.read(1_000_000_001, 7), 0.0);
}
