//! The inputs of the control plane, and the periodic maintenance that involves several parts of the data plane.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

use gradepaddle_config::Configuration;
use slog::info;

use crate::cache_events::subscriber::{renew_reported_stores, update_subscriptions};
use crate::cache_events::subscriptions::StoreHealthListener;
use crate::data_plane::DataPlane;
use crate::load_reports::recipients::Peer;
use crate::service_specs::service_specs;

impl DataPlane {
    /// Puts a configuration in force, unless one of the same or a later version already is.
    pub fn set_configuration(self: &Rc<Self>, configuration: Configuration) {
        if self.configuration().is_some_and(|current| current.version >= configuration.version) {
            return;
        }
        let mut hasher = DefaultHasher::new();
        for tenant in configuration.isolated_tenants() {
            tenant.name.hash(&mut hasher);
        }
        let now = self.now();
        self.placer.borrow_mut().set_services(now, service_specs(&configuration));
        info!(self.log, "configuration applied"; "version" => configuration.version);
        self.replace_configuration(Rc::new(configuration), hasher.finish());
        self.update_idle_limits();
        update_subscriptions(self);
    }

    /// Sets this node's subscriber rank: its position in an order of all nodes on which all nodes agree.
    pub fn set_subscriber_rank(self: &Rc<Self>, rank: usize) {
        if self.cache_stores.subscriber_rank.replace(rank) != rank {
            update_subscriptions(self);
        }
    }

    /// Sets the complete list of the other nodes.
    pub fn set_peers(&self, peers: &[Peer]) {
        self.load_reports.recipients.borrow_mut().set_peers(peers);
        self.set_node_count(peers.len() + 1);
    }

    /// Sets the callback that reports to the other nodes whether a cache store responds. It is only called at the node that
    /// is responsible for these reports.
    pub fn set_store_health_listener(&self, listener: StoreHealthListener) {
        self.cache_stores.set_health_listener(listener);
    }

    /// Takes in another node's report whether a cache store responds.
    pub fn set_reported_store_health(&self, name: &str, alive: bool) {
        self.cache_stores.set_reported(name, alive);
        if !alive {
            let now = self.now();
            self.placer.borrow_mut().record_source_failure(now, name);
        }
    }

    /// Periodic maintenance, to be called about once a second: logs expired keys, closes stale idle connections, and renews
    /// the contact times of cache stores that other nodes report as alive.
    pub fn sweep(&self) {
        self.log_key_validity();
        self.upstreams.sweep();
        renew_reported_stores(self);
    }
}
