//! One task for each cache store that this node subscribes to.

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

/// A store that did not answer is called again after this.
const RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Calls for events begin at least this far apart, so that one answer holds several.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(250);
/// Of the calls that a store holds at once (`maxInFlight`), so many are left to others than the subscribing nodes.
const RESERVED_CALLS: usize = 2;

/// Subscribes to the stores of the configuration in force that this node's subscriber rank is due for, and to no others.
pub(crate) fn update_subscriptions(plane: &Rc<DataPlane>) {
    let Some(configuration) = plane.configuration() else { return };
    let due = due_stores(&configuration, plane.cache_stores.subscriber_rank.get());
    let mut running = plane.cache_stores.running.borrow_mut();
    running.retain(|key, task| {
        let stays = due.contains(key);
        if !stays {
            task.abort();
        }
        stays
    });
    for key in due {
        running.entry(key.clone()).or_insert_with(|| {
            let subscription = Subscription { plane: plane.clone(), store: key.0, address: key.1 };
            tokio::task::spawn_local(subscription.run())
        });
    }
}

/// Has the placer count stores that this node does not subscribe to as alive while other nodes say so.
pub(crate) fn renew_reported_stores(plane: &DataPlane) {
    let now = plane.now();
    for store in plane.cache_stores.reported_without_subscription() {
        plane.placer.borrow_mut().record_cache_contact(now, &store);
    }
}

/// The stores that a node of this subscriber rank subscribes to.
fn due_stores(configuration: &Configuration, rank: usize) -> Vec<CacheStoreKey> {
    let stores = configuration.services.iter().filter_map(|service| match &service.kind {
        ServiceKind::Store { address, max_in_flight, .. } => {
            let subscribers = (*max_in_flight as usize).saturating_sub(RESERVED_CALLS).max(1);
            (rank < subscribers).then(|| (service.name.clone(), *address))
        }
        ServiceKind::Servers { .. } => None,
    });
    stores.collect()
}

/// The subscription to one store. Its task may be aborted at any `await`: nothing is left half done there.
struct Subscription {
    plane: Rc<DataPlane>,
    store: Arc<str>,
    address: SocketAddrV4,
}

impl Subscription {
    async fn run(self) {
        loop {
            // What failed is not logged: a store that is down would fill the log. Its health is reported.
            let Err(_) = self.follow().await;
            self.plane.cache_stores.report_health(&self.store, false);
            let now = self.plane.now();
            self.plane.placer.borrow_mut().record_source_failure(now, &self.store);
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Takes in what the store holds, and then its events, until a call fails.
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

    /// Has the changes reported to nodes that do not subscribe, where this node is the one to do so: all subscribers see
    /// the same events.
    fn share_changes(&self, events: &[Event], reset: bool) {
        if self.plane.cache_stores.subscriber_rank.get() > 0 || (events.is_empty() && !reset) {
            return;
        }
        let chunks = events.iter().map(|Event(_, _, salt, chunk, tokens, _)| CachedTokens {
            key: chunk_key(salt, chunk_id(chunk)),
            tokens: *tokens,
        });
        let changes = StoreUpdate { store: holder_hash(&self.store), reset, chunks: chunks.collect() };
        self.plane.placer.borrow_mut().queue_store_update(changes);
    }

    fn reset(&self) {
        let now = self.plane.now();
        self.plane.placer.borrow_mut().reset_cache_holder(now, &self.store);
    }

    fn apply(&self, change: CacheEvent<'_>) {
        let now = self.plane.now();
        self.plane.placer.borrow_mut().apply_cache_event(now, &self.store, change);
    }
}
