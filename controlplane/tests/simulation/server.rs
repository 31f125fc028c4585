//! A simulated model server: heartbeats, draining, leaving, orders.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use gradepaddle_controlplane::api::Call;
use gradepaddle_controlplane::order::{Order, OrderOutcome};
use gradepaddle_controlplane::registry::Heartbeat;

use super::machine::{HEARTBEAT_INTERVAL, LEASE, ZONES};
use super::random::Random;
use super::{MODEL, MS, Micros, SECOND};

/// A server serves for this long after its draining has been acknowledged.
pub const DRAIN: Micros = 2 * SECOND;
/// A server whose draining is not acknowledged within this time ends without an acknowledgment.
const DRAIN_TIMEOUT: Micros = 6 * SECOND;
/// A response that takes longer is ignored.
pub const CALL_TIMEOUT: Micros = SECOND;

/// The stages in the life of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    Ready,
    /// It has been reporting since this time that it drains.
    Draining(Micros),
    /// Its draining was acknowledged at this time.
    Drained(Micros),
    /// It reports that it leaves.
    Leaving,
    Ended,
}

/// A model server.
pub struct Server {
    pub id: Arc<str>,
    pub zone: usize,
    pub address: SocketAddrV4,
    pub version: u64,
    pub stage: Stage,
    pub since: Micros,
    /// It crashed.
    pub crashed: bool,
    pub attempt: u64,
    /// The stage that its last call reported.
    pub last_reported: Stage,
    /// The machine that it calls; `None` if it has to choose one.
    pub calls: Option<usize>,
    sticky: bool,
    call_count: u64,
    backoff: Micros,
    /// The load in progress: when it ends, and its version.
    loading: Option<(Micros, u64)>,
    orders: Vec<(Micros, Arc<str>, u64)>,
}

impl Server {
    pub fn new(index: usize, zone: usize, now: Micros, random: &mut Random) -> Server {
        let address = SocketAddrV4::new(
            Ipv4Addr::new(10, 100 + zone as u8, (index / 200) as u8, (index % 200) as u8),
            80,
        );
        Server {
            id: Arc::from(format!("s-{index}")),
            zone,
            address,
            version: 1,
            stage: Stage::Ready,
            since: now,
            crashed: false,
            attempt: 0,
            last_reported: Stage::Ready,
            calls: None,
            sticky: random.percent(70),
            call_count: random.below(3) as u64,
            backoff: 0,
            loading: None,
            orders: Vec::new(),
        }
    }

    pub fn alive(&self) -> bool {
        self.stage != Stage::Ended
    }

    /// The next call to make; `None` once it has ended.
    pub fn call(&mut self, now: Micros) -> Option<Call> {
        self.load(now);
        match self.stage {
            Stage::Draining(since) if now > since + DRAIN_TIMEOUT => self.stage = Stage::Ended,
            Stage::Drained(since) if now > since + DRAIN + 200 * MS => self.stage = Stage::Leaving,
            _ => {}
        }
        self.call_count += 1;
        self.attempt += 1;
        self.last_reported = self.stage;
        match self.stage {
            Stage::Ended => None,
            Stage::Leaving => Some(Call::Leave { id: self.id.to_string() }),
            _ => Some(Call::Heartbeat { id: self.id.to_string(), heartbeat: self.heartbeat() }),
        }
    }

    fn heartbeat(&self) -> Heartbeat {
        let state = if self.stage == Stage::Ready { "ready" } else { "draining" };
        let body = serde_json::json!({
            "backend": "advice", "address": self.address, "zone": ZONES[self.zone], "slots": 8, "state": state,
            "models": [{"name": MODEL, "version": self.version}], "callCount": self.call_count,
        });
        serde_json::from_value(body).expect("a heartbeat")
    }

    /// Handles the outcome of a call. Returns the time of the next call.
    pub fn answered(&mut self, now: Micros, success: bool, random: &mut Random) -> Micros {
        if !success {
            self.calls = None;
            self.backoff = (self.backoff * 2).clamp(50 * MS, 800 * MS);
            return now + self.backoff;
        }
        self.backoff = 0;
        if !self.sticky {
            self.calls = None;
        }
        match (self.last_reported, self.stage) {
            (Stage::Draining(_), Stage::Draining(_)) => self.stage = Stage::Drained(now),
            (Stage::Leaving, Stage::Leaving) => self.stage = Stage::Ended,
            _ => {}
        }
        let wait = match self.stage {
            Stage::Drained(since) => HEARTBEAT_INTERVAL.min((since + DRAIN + 201 * MS).saturating_sub(now)),
            _ => HEARTBEAT_INTERVAL,
        };
        now + wait + random.between(0, 50 * MS)
    }

    fn load(&mut self, now: Micros) {
        if let Some((_, version)) = self.loading.filter(|(until, _)| *until <= now) {
            self.version = self.version.max(version);
            self.loading = None;
        }
    }

    /// The version that it has loaded by now.
    pub fn loaded_version(&mut self, now: Micros) -> u64 {
        self.load(now);
        self.version
    }

    /// Handles an order. The error names the invariant that the order violates.
    pub fn order(
        &mut self,
        now: Micros,
        order: &Order,
        owner: &Arc<str>,
        random: &mut Random,
    ) -> Result<OrderOutcome, String> {
        self.check_order(now, order, owner)?;
        self.orders.push((now, owner.clone(), order.fencing_token));
        self.load(now);
        if self.version >= order.version {
            return Ok(OrderOutcome::Loaded);
        }
        if self.loading.is_some() {
            return Ok(OrderOutcome::Failed);
        }
        self.loading = Some((now + random.between(200 * MS, 900 * MS), order.version));
        Ok(OrderOutcome::InProgress)
    }

    fn check_order(&self, now: Micros, order: &Order, owner: &Arc<str>) -> Result<(), String> {
        for (at, previous_owner, token) in &self.orders {
            let wrong = match () {
                () if token == &order.fencing_token && previous_owner != owner => {
                    "two owners with one fencing token"
                }
                () if *token > order.fencing_token => "a lower fencing token after a higher one",
                () if previous_owner != owner && now - at < LEASE => "orders of two owners within the lease",
                () => continue,
            };
            return Err(format!(
                "{wrong}: {previous_owner} with {token} at {at}, then {owner} with {} at {now}",
                order.fencing_token
            ));
        }
        Ok(())
    }
}
