//! Servers' events: each server is listened to by one balancer, which tells the others what it dropped
//! ([`crate::load_sharing`]).

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use gradepaddle_engine::KeepingServer;
use tokio::time::{Instant, sleep};

use super::call::EventCalls;
use super::listening::{EventLog, listens};
use crate::shared::DataPlane;

/// A server that did not answer is called again after this.
const PAUSE: Duration = Duration::from_secs(1);
/// After events have come, more are let gather for this long.
const GATHER: Duration = Duration::from_millis(300);

impl DataPlane {
    /// Listens to the servers that are this balancer's, and to no others. Nothing is done while the balancers and
    /// servers are the same, or have changed since the last call: at the start each knows of few others.
    pub(crate) fn update_server_feeds(self: &Rc<Self>) {
        let Some(own) = self.sharing.own_address() else { return };
        let balancers = self.sharing.peers();
        let servers = self.engine.borrow().keeping_servers();
        let view = (balancers, servers);
        let settled = self.feeds.server_view.replace(Some(view.clone())) == Some(view.clone());
        if settled && self.feeds.listened_view.replace(Some(view.clone())) != Some(view.clone()) {
            self.listen_to(own, &view.0, view.1);
        }
    }

    fn listen_to(self: &Rc<Self>, own: SocketAddrV4, others: &[SocketAddrV4], servers: Vec<KeepingServer>) {
        let wanted: Vec<KeepingServer> =
            servers.into_iter().filter(|server| listens(own, others, server.hash)).collect();
        let mut running = self.feeds.servers.borrow_mut();
        running.retain(|server, task| {
            let stays = wanted.contains(server);
            if !stays {
                task.abort();
            }
            stays
        });
        for server in wanted {
            running
                .entry(server.clone())
                .or_insert_with(|| tokio::task::spawn_local(listen(self.clone(), server)));
        }
    }
}

/// Takes in what a server drops, for as long as the task runs.
async fn listen(plane: Rc<DataPlane>, server: KeepingServer) {
    let mut log = EventLog::new(server.hash);
    loop {
        if let Some(mut calls) = EventCalls::dial(server.address, &plane.pool).await {
            hear(&plane, &mut calls, &mut log).await;
        }
        sleep(PAUSE).await;
    }
}

/// Takes in events until a call fails.
async fn hear(plane: &DataPlane, calls: &mut EventCalls<'_>, log: &mut EventLog) {
    loop {
        let begun = Instant::now();
        let Some(answer) = calls.events(log.since()).await else { return };
        let now = plane.now();
        if let Some(changes) = log.take(now, &answer) {
            plane.engine.borrow_mut().server_changed(now, changes);
        }
        sleep(GATHER.saturating_sub(begun.elapsed())).await;
    }
}
