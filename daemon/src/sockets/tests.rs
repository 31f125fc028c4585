use std::pin::pin;
use std::task::{Context, Waker};

use super::*;

/// Guards against one side that takes the descriptors of the other, and permits that get lost.
#[test]
fn each_side_has_its_part_and_gets_it_back() {
    let budget = Budget::new(OWN + DISCOVERY + 24, 0);
    let all = |side| (0..99).map_while(|_| budget.take(side)).collect::<Vec<_>>();
    let (clients, open) = (all(Side::Terminal), all(Side::Open));
    assert_eq!((clients.len(), open.len()), (15, 9));
    assert!(budget.is_short(Side::Terminal) && !budget.is_short(Side::Server));
    assert_eq!(all(Side::Server).len(), 9);
    drop(clients);
    assert!(budget.take(Side::Terminal).is_some() && !budget.is_short(Side::Terminal));
    assert!(budget.take(Side::Open).is_none());
}

/// Guards usual clients that wait against a flood of silent ones: where descriptors are short, those go
/// first that never spoke, and none before it had time to.
#[test]
fn silent_terminals_make_room_first_and_none_at_once() {
    let budget = Budget::new(OWN + DISCOVERY + 24, 0);
    let told = |waiting: &Waiting| {
        let mut unwanted = pin!(waiting.unwanted());
        unwanted.as_mut().poll(&mut Context::from_waker(Waker::noop())).is_ready()
    };
    let (next, rest) = (budget.wait(Wait::Next), budget.wait(Wait::Rest));
    let (older, mut younger) = (budget.wait(Wait::Silent), budget.wait(Wait::Silent));
    let now = Instant::now();
    let late = now + Duration::from_secs(60);
    assert!(!budget.relieve(late), "there is room");
    let mut terminals: Vec<_> = (0..6).map_while(|_| budget.take(Side::Terminal)).collect();
    assert!(!budget.relieve(now), "all have just begun");
    assert!(budget.relieve(now + Duration::from_millis(300)));
    assert!(told(&older) && !told(&younger));
    younger.touch();
    assert!(budget.relieve(late) && told(&younger), "it waits anew, not for ever");
    assert!(!budget.relieve(late), "there is room for those that spoke");
    terminals.extend((0..9).map_while(|_| budget.take(Side::Terminal)));
    assert!(!budget.relieve(now + Duration::from_millis(300)), "it takes longer for the others");
    assert!(budget.relieve(now + Duration::from_millis(600)) && told(&next) && !told(&rest));
    assert!(budget.relieve(now + Duration::from_millis(1500)) && told(&rest));
    assert!(!budget.relieve(late), "each is told once");
}

/// Guards open requests against connections that only wait for one: the longest idle makes room, and without any that
/// is idle the attempt is not made.
#[test]
fn an_attempt_gets_the_descriptor_of_the_connection_that_was_idle_longest() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let budget = Budget::new(OWN + DISCOVERY + 24, 0);
        let mut held: Vec<_> = (0..99).map_while(|_| budget.take(Side::Server)).collect();
        assert!(budget.take_for_attempt().await.is_none(), "all are in use");
        let closes: Vec<_> = (0..2).map(|_| Rc::new(Notify::new())).collect();
        let _idle: Vec<_> = closes.iter().map(|close| budget.wait_with(Wait::Idle, close.clone())).collect();
        let oldest = closes[0].clone();
        tokio::task::spawn_local(async move {
            oldest.notified().await;
            drop(held.pop());
            // The others stay out.
            std::future::pending::<()>().await;
        });
        assert!(budget.take_for_attempt().await.is_some());
        let mut other = pin!(closes[1].notified());
        let told = other.as_mut().poll(&mut Context::from_waker(Waker::noop())).is_ready();
        assert!(!told, "one was enough");
    });
}
