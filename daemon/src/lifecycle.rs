//! The [`DrainState`] of the process. Publishes the [`TrafficPolicy`] after each event and whenever time changes it.

use std::cell::Cell;

use gradepaddle::Micros;
use tokio::sync::{Notify, watch};
use tokio::time::sleep_until;

use crate::clock::Clock;
use crate::drain_state::{DrainState, TrafficPolicy};

/// Holds the drain state and publishes the traffic policy.
pub struct Lifecycle {
    state: Cell<DrainState>,
    clock: Clock,
    policy: watch::Sender<TrafficPolicy>,
    changed: Notify,
}

impl Lifecycle {
    /// Of a process in service.
    pub fn new(clock: Clock) -> Self {
        let policy = watch::Sender::new(TrafficPolicy::SERVING);
        Lifecycle { state: Cell::default(), clock, policy, changed: Notify::new() }
    }

    /// The current state.
    pub fn state(&self) -> DrainState {
        self.state.get()
    }

    /// Changes the state. The policy that follows is in effect when this returns.
    pub fn update<T>(&self, change: impl FnOnce(&mut DrainState, Micros) -> T) -> T {
        let (mut state, now) = (self.state.get(), self.clock.now());
        let result = change(&mut state, now);
        self.state.set(state);
        self.publish(now);
        self.changed.notify_one();
        result
    }

    /// The traffic policy, now and from now on.
    pub fn watch(&self) -> watch::Receiver<TrafficPolicy> {
        self.policy.subscribe()
    }

    fn publish(&self, now: Micros) {
        let policy = self.state.get().policy(now);
        self.policy.send_if_modified(|current| std::mem::replace(current, policy) != policy);
    }

    /// Publishes the changes that time brings, until the process ends.
    pub async fn run(&self) {
        loop {
            let now = self.clock.now();
            self.publish(now);
            match self.state.get().next_change(now) {
                Some(due) => tokio::select! {
                    () = sleep_until(self.clock.instant(due)) => {}
                    () = self.changed.notified() => {}
                },
                None => self.changed.notified().await,
            }
        }
    }
}
