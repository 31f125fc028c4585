use std::pin::pin;
use std::task::{Context, Waker};

use super::*;

/// Guards against one side that takes the descriptors of another, and against permits that are not released.
#[test]
fn each_side_has_its_part_and_gets_released_permits_back() {
    let budget = DescriptorBudget::new(FIXED + DISCOVERY + 24, 0);
    let all = |side| (0..99).map_while(|_| budget.take(side)).collect::<Vec<_>>();
    let (clients, open) = (all(Side::Client), all(Side::OpenRequest));
    assert_eq!((clients.len(), open.len()), (15, 9));
    assert!(budget.is_short(Side::Client) && !budget.is_short(Side::AppServer));
    assert_eq!(all(Side::AppServer).len(), 9);
    drop(clients);
    assert!(budget.take(Side::Client).is_some() && !budget.is_short(Side::Client));
    assert!(budget.take(Side::OpenRequest).is_none());
}

/// Guards waiting clients against a flood of silent connections: where descriptors are short, connections that never sent
/// anything are closed first, and none before it had time to send.
#[test]
fn silent_connections_are_evicted_first_and_none_at_once() {
    let budget = DescriptorBudget::new(FIXED + DISCOVERY + 24, 0);
    let is_evicted = |entry: &EvictionEntry| {
        let mut evicted = pin!(entry.evicted());
        evicted.as_mut().poll(&mut Context::from_waker(Waker::noop())).is_ready()
    };
    let (between, partial) = (budget.wait(WaitKind::BetweenRequests), budget.wait(WaitKind::PartialRequest));
    let (older, mut younger) = (budget.wait(WaitKind::Silent), budget.wait(WaitKind::Silent));
    let now = Instant::now();
    let late = now + Duration::from_secs(60);
    assert!(!budget.evict_overdue(late), "there is room");
    let mut clients: Vec<_> = (0..6).map_while(|_| budget.take(Side::Client)).collect();
    assert!(!budget.evict_overdue(now), "all have just begun to wait");
    assert!(budget.evict_overdue(now + Duration::from_millis(300)));
    assert!(is_evicted(&older) && !is_evicted(&younger));
    younger.touch();
    assert!(budget.evict_overdue(late) && is_evicted(&younger), "its wait was restarted, not made endless");
    assert!(!budget.evict_overdue(late), "there is room for connections that have sent something");
    clients.extend((0..9).map_while(|_| budget.take(Side::Client)));
    assert!(!budget.evict_overdue(now + Duration::from_millis(300)), "the other kinds may wait for longer");
    assert!(
        budget.evict_overdue(now + Duration::from_millis(600))
            && is_evicted(&between)
            && !is_evicted(&partial)
    );
    assert!(budget.evict_overdue(now + Duration::from_millis(1500)) && is_evicted(&partial));
    assert!(!budget.evict_overdue(late), "each is notified once");
}

/// Guards open requests against connections that only wait for one: the one that has been idle for longest is closed, and if
/// none is idle, the attempt gets no descriptor.
#[test]
fn an_attempt_gets_the_descriptor_of_the_connection_that_was_idle_longest() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let budget = DescriptorBudget::new(FIXED + DISCOVERY + 24, 0);
        let mut permits: Vec<_> = (0..99).map_while(|_| budget.take(Side::AppServer)).collect();
        assert!(budget.take_for_attempt().await.is_none(), "all are in use");
        let closes: Vec<_> = (0..2).map(|_| Rc::new(Notify::new())).collect();
        let _idle: Vec<_> = closes
            .iter()
            .map(|close| budget.wait_with_notify(WaitKind::IdleUpstream, close.clone()))
            .collect();
        let oldest = closes[0].clone();
        tokio::task::spawn_local(async move {
            oldest.notified().await;
            drop(permits.pop());
            // Holds the other permits.
            std::future::pending::<()>().await;
        });
        assert!(budget.take_for_attempt().await.is_some());
        let mut other = pin!(closes[1].notified());
        let notified = other.as_mut().poll(&mut Context::from_waker(Waker::noop())).is_ready();
        assert!(!notified, "one was enough");
    });
}
