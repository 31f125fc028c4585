//! A model server: heartbeats, draining, leaving, orders.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use gradepaddle_controlplane::api::Call;
use gradepaddle_controlplane::order::{Order, OrderOutcome};
use gradepaddle_controlplane::registry::Heartbeat;

use super::machine::{HEARTBEAT_INTERVAL, LEASE, ZONES};
use super::random::Random;
use super::{MODEL, MS, Micros, SECOND};

/// After the acknowledgement that it drains, a server serves for this long.
pub const DRAIN: Micros = 2 * SECOND;
/// A server whose draining nobody acknowledges ends all the same after this.
const GIVES_UP: Micros = 6 * SECOND;
/// An answer that takes longer counts as none.
pub const CALL_WITHIN: Micros = SECOND;

/// What a server is about to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    Ready,
    /// It says that it drains, since then.
    Draining(Micros),
    /// Its draining was acknowledged then.
    Drained(Micros),
    /// It says that it leaves.
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
    /// What its last call said.
    pub said: Stage,
    /// The machine that it calls.
    pub calls: Option<usize>,
    sticky: bool,
    call_count: u64,
    pause: Micros,
    /// Until when it loads, and which version.
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
            said: Stage::Ready,
            calls: None,
            sticky: random.percent(70),
            call_count: random.below(3) as u64,
            pause: 0,
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
            Stage::Draining(since) if now > since + GIVES_UP => self.stage = Stage::Ended,
            Stage::Drained(since) if now > since + DRAIN + 200 * MS => self.stage = Stage::Leaving,
            _ => {}
        }
        self.call_count += 1;
        self.attempt += 1;
        self.said = self.stage;
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

    /// Takes in what came of a call; gives the time of the next.
    pub fn answered(&mut self, now: Micros, success: bool, random: &mut Random) -> Micros {
        if !success {
            self.calls = None;
            self.pause = (self.pause * 2).clamp(50 * MS, 800 * MS);
            return now + self.pause;
        }
        self.pause = 0;
        if !self.sticky {
            self.calls = None;
        }
        match (self.said, self.stage) {
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
    pub fn holds(&mut self, now: Micros) -> u64 {
        self.load(now);
        self.version
    }

    /// Handles an order; the error says which rule it breaks.
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
        for (at, before, fence) in &self.orders {
            let wrong = match () {
                () if fence == &order.fencing_token && before != owner => "two holders with one fence",
                () if *fence > order.fencing_token => "a lower fence after a higher one",
                () if before != owner && now - at < LEASE => "turns within the lease",
                () => continue,
            };
            return Err(format!(
                "{wrong}: {before} with {fence} at {at}, then {owner} with {} at {now}",
                order.fencing_token
            ));
        }
        Ok(())
    }
}
