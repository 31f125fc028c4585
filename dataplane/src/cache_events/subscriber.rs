//! Subscriptions to cache stores, each run by a task of its own.

use std::convert::Infallible;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use gradepaddle_config::{Configuration, ServiceKind};
use gradepaddle_placement::{CacheEvent, CachedTokens, StoreUpdate, chunk_key, holder_hash};
use tokio::time::{Instant, sleep};

use super::calls::{CachedChunk, CallError, Event, EventClient};
use super::subscriptions::CacheStoreKey;
use crate::data_plane::DataPlane;
use crate::routing::chunk_id;

/// Pause after a failed call to a store.
const RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Minimum time between the starts of two event polls, so that one response holds several events.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(250);
/// The number of concurrent calls of a store (`maxInFlight`) that are reserved for callers other than subscribing nodes.
const RESERVED_CALLS: usize = 2;

/// Starts and stops subscriptions so that this node subscribes to exactly those stores of the configuration in force
/// that its subscriber rank selects.
pub(crate) fn update_subscriptions(plane: &Rc<DataPlane>) {
    let Some(configuration) = plane.configuration() else { return };
    let stores = stores_to_subscribe(&configuration, plane.cache_stores.subscriber_rank.get());
    let mut running = plane.cache_stores.running.borrow_mut();
    running.retain(|key, task| {
        let keep = stores.contains(key);
        if !keep {
            task.abort();
        }
        keep
    });
    for key in stores {
        running.entry(key.clone()).or_insert_with(|| {
            let subscription = Subscription { plane: plane.clone(), store: key.0, address: key.1 };
            tokio::task::spawn_local(subscription.run())
        });
    }
}

/// Renews the placer's contact time of the stores that this node does not subscribe to and that other nodes report as
/// responding.
pub(crate) fn renew_reported_stores(plane: &DataPlane) {
    let now = plane.now();
    for store in plane.cache_stores.reported_without_subscription() {
        plane.placer.borrow_mut().record_cache_contact(now, &store);
    }
}

/// The stores that a node of this subscriber rank subscribes to.
fn stores_to_subscribe(configuration: &Configuration, rank: usize) -> Vec<CacheStoreKey> {
    let stores = configuration.services.iter().filter_map(|service| match &service.kind {
        ServiceKind::Store { address, max_in_flight, .. } => {
            let subscribers = (*max_in_flight as usize).saturating_sub(RESERVED_CALLS).max(1);
            (rank < subscribers).then(|| (service.name.clone(), *address))
        }
        ServiceKind::Servers { .. } => None,
    });
    stores.collect()
}

/// The subscription to one store. Its task may be aborted at any `await`: no update is applied partially then.
struct Subscription {
    plane: Rc<DataPlane>,
    store: Arc<str>,
    address: SocketAddrV4,
}

impl Subscription {
    /// Follows the store, and starts over after each failure.
    async fn run(self) {
        loop {
            // The error is not logged: a store that is down would fill the log. Its health is reported instead.
            let Err(_) = self.follow().await;
            self.plane.cache_stores.report_health(&self.store, false);
            let now = self.plane.now();
            self.plane.placer.borrow_mut().record_source_failure(now, &self.store);
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Fetches the contents of the store, and then its events until a call fails.
    async fn follow(&self) -> Result<Infallible, CallError> {
        let mut client = EventClient::connect(self.address, &self.plane.pool).await?;
        let contents = client.contents().await?;
        let (mut epoch, mut since) = (contents.epoch, contents.next_token);
        self.reset();
        for CachedChunk(salt, chunk, tokens, model) in &contents.chunks {
            self.apply(CacheEvent::Added { salt, chunk: chunk_id(chunk), tokens: *tokens, model });
        }
        loop {
            self.plane.cache_stores.report_health(&self.store, true);
            let called_at = Instant::now();
            let events = client.events(since).await?;
            // After a restart or a gap the index would hold chunks that the store no longer has.
            let reset = events.epoch != epoch || events.lost;
            if reset {
                self.reset();
            }
            (epoch, since) = (events.epoch, events.next_token);
            let now = self.plane.now();
            self.plane.placer.borrow_mut().record_cache_contact(now, &self.store);
            self.share_changes(&events.events, reset);
            for Event(_, sign, salt, chunk, tokens, model) in &events.events {
                let (chunk, tokens) = (chunk_id(chunk), *tokens);
                self.apply(match &**sign {
                    "+" => CacheEvent::Added { salt, chunk, tokens, model },
                    _ => CacheEvent::Dropped { salt, chunk, tokens, model },
                });
            }
            sleep(MIN_CALL_INTERVAL.saturating_sub(called_at.elapsed())).await;
        }
    }

    /// Queues the changes for the load reports to the nodes that do not subscribe. Only the node of rank 0 does so,
    /// since all subscribers see the same events.
    fn share_changes(&self, events: &[Event], reset: bool) {
        if self.plane.cache_stores.subscriber_rank.get() > 0 || (events.is_empty() && !reset) {
            return;
        }
        let chunks = events.iter().map(|Event(_, _, salt, chunk, tokens, _)| CachedTokens {
            key: chunk_key(salt, chunk_id(chunk)),
            tokens: *tokens,
        });
        let update = StoreUpdate { store: holder_hash(&self.store), reset, chunks: chunks.collect() };
        self.plane.placer.borrow_mut().queue_store_update(update);
    }

    /// Removes everything that the placer knows of the store's contents.
    fn reset(&self) {
        let now = self.plane.now();
        self.plane.placer.borrow_mut().reset_cache_holder(now, &self.store);
    }

    /// Applies one change of the store's contents to the placer.
    fn apply(&self, change: CacheEvent<'_>) {
        let now = self.plane.now();
        self.plane.placer.borrow_mut().apply_cache_event(now, &self.store, change);
    }
}
