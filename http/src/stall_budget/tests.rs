use super::*;

/// Guards honest senders, however slow by the platform's word, against being cut off, and descriptors against
/// those that stand still or drip.
#[test]
fn a_sender_at_the_promised_rate_is_kept_and_a_slower_one_is_not() {
    let lives = |bytes: usize, every_ms: u64| {
        let mut stall_budget = StallBudget::for_sender();
        (0..10_000).all(|_| {
            let wait = Duration::from_millis(every_ms);
            let in_time = wait < stall_budget.remaining();
            stall_budget.record_wait(wait, bytes);
            in_time
        })
    };
    assert!(lives(64, 1) && lives(6_400, 100) && lives(64_000, 1_000));
    assert!(!lives(20, 1) && !lives(1, 100) && !lives(1_000_000, 2_700));
    assert!(
        StallBudget::for_sender().remaining() > Duration::from_millis(2_300),
        "a whole request may take 2 s"
    );
}
