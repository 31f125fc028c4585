use super::*;

/// Guards against disconnecting senders that are as slow as the platform allows, and against senders that keep a
/// descriptor in use while they stall or send only a few bytes at a time.
#[test]
fn a_sender_at_the_promised_rate_is_kept_and_a_slower_one_is_not() {
    let is_kept = |bytes: usize, every_ms: u64| {
        let mut stall_budget = StallBudget::for_sender();
        (0..10_000).all(|_| {
            let wait = Duration::from_millis(every_ms);
            let in_time = wait < stall_budget.remaining();
            stall_budget.record_wait(wait, bytes);
            in_time
        })
    };
    assert!(is_kept(64, 1) && is_kept(6_400, 100) && is_kept(64_000, 1_000));
    assert!(!is_kept(20, 1) && !is_kept(1, 100) && !is_kept(1_000_000, 2_700));
    assert!(
        StallBudget::for_sender().remaining() > Duration::from_millis(2_300),
        "a complete request may take 2 s"
    );
}
