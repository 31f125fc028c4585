//! Stores' events, which tell what a store takes in and what it drops.
//!
//! A store holds only so many of these calls at once, so in a large fleet only some nodes listen; the others hear from
//! them, by the control plane, whether it answers at all.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use gradepaddle_config::{Configuration, ServiceKind};
use gradepaddle_placement::{CacheEvent, CachedTokens, StoreUpdate, chunk_key, holder_hash};
use tokio::time::{Instant, sleep};

use super::calls::{CachedChunk, Event, EventClient};
use super::subscriptions::{CacheStoreKey, StoreHealthListener, should_report_health};
use crate::admission::chunk_id;
use crate::data_plane::DataPlane;

/// A source that did not answer is called again after this.
const PAUSE: Duration = Duration::from_millis(400);
/// After events have come, more are let gather for this long.
const GATHER: Duration = Duration::from_millis(250);
/// Calls that a store holds at once are left to others beside those of the listening nodes.
const CALLS_LEFT: usize = 2;

impl DataPlane {
    /// Tells this node's place in an order of all nodes that all agree on.
    pub fn set_listener_rank(self: &Rc<Self>, rank: usize) {
        if self.cache_stores.rank.replace(rank) != rank {
            self.update_subscriptions();
        }
    }

    /// Has changes of a store's answering told to others, if this node is the first to listen.
    pub fn set_store_health_listener(&self, watch: StoreHealthListener) {
        *self.cache_stores.watch.borrow_mut() = Some(watch);
    }

    /// Another node has told whether a store answers.
    pub fn set_reported_store_health(&self, name: &str, alive: bool) {
        self.cache_stores.reported_alive.borrow_mut().insert(Arc::from(name), alive);
        if !alive {
            let now = self.now();
            self.placer.borrow_mut().record_source_failure(now, name);
        }
    }

    /// Stores that this node does not listen to count as heard while others say so.
    pub(crate) fn renew_reported_stores(&self) {
        let now = self.now();
        let running = self.cache_stores.running.borrow();
        for (name, _) in self.cache_stores.reported_alive.borrow().iter().filter(|(_, alive)| **alive) {
            if !running.keys().any(|(listened, _)| listened == name) {
                self.placer.borrow_mut().record_cache_contact(now, name);
            }
        }
    }

    /// Listens to the stores of the configuration in force, and to no others.
    pub(crate) fn update_subscriptions(self: &Rc<Self>) {
        let Some(configuration) = self.configuration() else { return };
        let wanted = stores(&configuration, self.cache_stores.rank.get());
        let mut running = self.cache_stores.running.borrow_mut();
        running.retain(|key, task| {
            let stays = wanted.contains(key);
            if !stays {
                task.abort();
            }
            stays
        });
        for key in wanted {
            running.entry(key.clone()).or_insert_with(|| {
                let feed = Subscription { plane: self.clone(), name: key.0, address: key.1 };
                tokio::task::spawn_local(feed.run())
            });
        }
    }
}

/// The stores that a node of this rank listens to.
fn stores(configuration: &Configuration, rank: usize) -> Vec<CacheStoreKey> {
    let stores = configuration.services.iter().filter_map(|service| match &service.kind {
        ServiceKind::Store { address, max_in_flight, .. } => {
            let listeners = (*max_in_flight as usize).saturating_sub(CALLS_LEFT).max(1);
            (rank < listeners).then(|| (service.name.clone(), *address))
        }
        ServiceKind::Servers { .. } => None,
    });
    stores.collect()
}

/// One store that is listened to.
struct Subscription {
    plane: Rc<DataPlane>,
    name: Arc<str>,
    address: SocketAddrV4,
}

impl Subscription {
    async fn run(self) {
        loop {
            if let Some(mut calls) = EventClient::connect(self.address, &self.plane.pool).await {
                self.listen(&mut calls).await;
            }
            self.report_health(false);
            let now = self.plane.now();
            self.plane.placer.borrow_mut().record_source_failure(now, &self.name);
            sleep(PAUSE).await;
        }
    }

    /// Has all nodes know whether the store answers, where this node is the one to tell and something else is known.
    /// Nodes that know few others yet take themselves for the first one, and may have told what is wrong.
    fn report_health(&self, alive: bool) {
        let cache_stores = &self.plane.cache_stores;
        let known = cache_stores.reported_alive.borrow().get(&self.name).copied();
        if should_report_health(cache_stores.rank.get(), known, alive)
            && let Some(watch) = &*cache_stores.watch.borrow()
        {
            watch(&self.name, alive);
        }
    }

    /// Takes in what a store keeps, and then what changes, until a call fails.
    async fn listen(&self, calls: &mut EventClient<'_>) -> Option<()> {
        let contents = calls.contents().await?;
        let (mut epoch, mut since) = (contents.epoch, contents.next_token);
        self.reset();
        for CachedChunk(salt, part, tokens, model) in &contents.held {
            self.added(salt, part, *tokens, model);
        }
        loop {
            self.report_health(true);
            let begun = Instant::now();
            let events = calls.events(since).await?;
            let reset = events.epoch != epoch || events.lost;
            if reset {
                self.reset();
            }
            (epoch, since) = (events.epoch, events.next_token);
            let now = self.plane.now();
            self.plane.placer.borrow_mut().record_cache_contact(now, &self.name);
            self.share_changes(&events.events, reset);
            for Event(_, sign, salt, part, tokens, model) in &events.events {
                match &**sign {
                    "+" => self.added(salt, part, *tokens, model),
                    _ => self.dropped(salt, part, *tokens, model),
                }
            }
            sleep(GATHER.saturating_sub(begun.elapsed())).await;
        }
    }

    /// Has nodes that do not listen told what changed, where this node is the one to tell.
    fn share_changes(&self, events: &[Event], reset: bool) {
        if self.plane.cache_stores.rank.get() > 0 || (events.is_empty() && !reset) {
            return;
        }
        let parts = events.iter().map(|Event(_, _, salt, part, tokens, _)| CachedTokens {
            key: chunk_key(salt, chunk_id(part)),
            tokens: *tokens,
        });
        let changes = StoreUpdate { store: holder_hash(&self.name), reset, parts: parts.collect() };
        self.plane.placer.borrow_mut().queue_store_update(changes);
    }

    fn reset(&self) {
        let now = self.plane.now();
        self.plane.placer.borrow_mut().reset_cache_holder(now, &self.name);
    }

    fn added(&self, salt: &str, part: &str, tokens: u32, model: &str) {
        let kept = CacheEvent::Added { salt, part: chunk_id(part), tokens, model };
        let now = self.plane.now();
        self.plane.placer.borrow_mut().apply_cache_event(now, &self.name, kept);
    }

    fn dropped(&self, salt: &str, part: &str, tokens: u32, model: &str) {
        let kept = CacheEvent::Dropped { salt, part: chunk_id(part), tokens, model };
        let now = self.plane.now();
        self.plane.placer.borrow_mut().apply_cache_event(now, &self.name, kept);
    }
}
