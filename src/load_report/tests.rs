use super::*;

/// Guards against values from a truncated or malformed report, and against known names that are ignored.
#[test]
fn a_report_is_read_whole_or_not_at_all() {
    let read = LoadReport::parse;
    let report = LoadReport {
        in_flight: Some(7.0),
        queue: Some(2.5),
        service_time: Some(1500.0),
        errors_per_second: Some(0.0),
    };
    for text in [
        "inflight=7,queue=2.5,latency_ms=1.5,eps=0,util=0.61",
        " concurrent = 7 , depth=2.5,mean_ms=1.5,err_ps=0,tps=9\r\n",
    ] {
        assert_eq!(read(text), Some(report), "{text}");
    }
    assert_eq!(read("util=0.5"), Some(LoadReport::default()), "nothing of use, but a report");
    for text in ["", "queue", "queue=", "queue=-1", "queue=NaN", "queue=inf", "queue=2,load", "{\"queue\":1}"]
    {
        assert_eq!(read(text), None, "{text}");
    }
    assert_eq!(read(&"queue=1,".repeat(99)), None);
}
