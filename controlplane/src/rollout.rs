//! The duty of bringing servers to named versions of weights. No I/O.
//!
//! Only the primary does it, under its epoch as the fence, and only once no other can have given an order within a
//! lease. A few servers of a model at once: each is first held back from new requests, then ordered, then watched until
//! it holds the version.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Arc;

use gradepaddle_gossip::{Item, Stamp};
use gradepaddle_proto::{Decode, DecodeError, Encode, FieldWriter, Fields, Registration};

use crate::Micros;
use crate::kinds::{self, ORDERED};
use crate::orders::ORDER_UNDER_WAY;

/// A server is held back for this long before it is ordered, so that all nodes know.
const HOLD_BEFORE: Micros = 120_000;
/// An order that was taken is asked after, at first and then again, after this long.
const ASK_AFTER: Micros = 350_000;
/// An order that was neither taken nor refused clearly is given again after this.
const AGAIN_AFTER: Micros = 500_000;
/// A server that does not come to hold the version within this is given up for now.
const GIVE_UP_AFTER: Micros = 7_000_000;
/// What a batch of servers takes, from the first one being held back to the last one being open again.
const BATCH_TAKES: Micros = 1_500_000;
/// A server that was given up is left alone for this long.
const LEFT_ALONE_FOR: Micros = 3_000_000;
/// One in so many servers of a model is being loaded at once, as many as [`AT_ONCE_LEAST`] in any case.
const AT_ONCE_SHARE: usize = 6;
const AT_ONCE_LEAST: usize = 1;
/// One in so many at the most, as long as others are still of use without the version.
const AT_ONCE_MOST: usize = 2;
/// After a change of the primary, the lease of the one before has to run out, and its last order has to be over, with
/// a little to spare.
const LEASE_MARGIN: Micros = ORDER_UNDER_WAY.as_micros() as Micros + 50_000;

/// The servers that are there, by id.
pub type Servers = BTreeMap<Arc<str>, Registration>;

/// What a server that is being loaded is marked with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ordered {
    /// The model.
    pub model: Arc<str>,
    /// The version that it is brought to.
    pub version: u64,
    /// It holds it. A server that was given up bears a tombstone that is not done.
    pub done: bool,
}

impl Encode for Ordered {
    fn encode(&self, to: &mut FieldWriter) {
        to.string(1, &self.model);
        to.uint64(2, self.version);
        to.bool(3, self.done);
    }
}

impl Decode for Ordered {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(Ordered { model: fields.string(1), version: fields.uint64(2), done: fields.bool(3) })
    }
}

/// An order to one server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The server.
    pub server: Arc<str>,
    /// Where it is reached.
    pub address: SocketAddrV4,
    /// The model.
    pub model: Arc<str>,
    /// The version to bring it to.
    pub version: u64,
    /// The fence.
    pub fence: u64,
}

/// How a server answered an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// 202: it is in progress.
    InProgress,
    /// 200: it holds already.
    Holds,
    /// It was not taken, or nobody knows.
    NotTaken,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Publish the mark of a server.
    Mark(Item),
    /// Give an order.
    Order(Order),
    /// Ask a server which versions it holds.
    Ask {
        /// The server.
        server: Arc<str>,
        /// Where it is reached.
        address: SocketAddrV4,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Held,
    Sent,
    Taken,
}

struct Running {
    address: SocketAddrV4,
    model: Arc<str>,
    version: u64,
    /// It took requests until then: its work is missing meanwhile.
    was_of_use: bool,
    stage: Stage,
    since: Micros,
    due: Micros,
}

impl Running {
    /// True if this order was given for this work, under the fence in force.
    fn was_given(&self, order: &Order, fence: Option<u64>) -> bool {
        self.stage != Stage::Held
            && fence == Some(order.fence)
            && self.model == order.model
            && self.version == order.version
    }
}

/// A server that holds an older version of a model than the newest.
struct Outdated<'a> {
    server: &'a Registration,
    /// From when on it gets nothing new.
    due: Option<Micros>,
}

/// The duty, while this node is the primary.
pub struct Rollout {
    lease: Micros,
    fence: Option<u64>,
    /// The last epoch in which this node led.
    last_fence: u64,
    allowed: Micros,
    running: BTreeMap<Arc<str>, Running>,
    /// Versions of each model that servers hold by their own word, which their heartbeats will tell later.
    known: BTreeMap<Arc<str>, BTreeMap<Arc<str>, u64>>,
    /// Servers that were given up, and until when they are left alone.
    given_up: BTreeMap<Arc<str>, Micros>,
    /// For each version of a model, from when on nothing goes to servers with older ones.
    due: BTreeMap<String, BTreeMap<u64, Micros>>,
    marks: u64,
}

impl Rollout {
    /// Not leading.
    pub fn new(lease: Micros) -> Self {
        Rollout {
            lease,
            fence: None,
            last_fence: 0,
            allowed: 0,
            running: BTreeMap::new(),
            known: BTreeMap::new(),
            given_up: BTreeMap::new(),
            due: BTreeMap::new(),
            marks: 0,
        }
    }

    /// This node leads in this epoch. Orders wait until any other's lease has run out: not after the founding, nor where
    /// this node led in the epoch just before.
    pub fn lead(&mut self, now: Micros, epoch: u64) {
        let follows_itself = self.last_fence > 0 && epoch <= self.last_fence + 1;
        // A wait that still runs goes on through an own change of the view.
        let from = if epoch <= 1 || follows_itself { now } else { now + self.lease + LEASE_MARGIN };
        self.allowed = self.allowed.max(from);
        self.fence = Some(epoch);
        self.last_fence = epoch;
        self.running.clear();
        self.known.clear();
    }

    /// This node does not lead any longer.
    pub fn stop(&mut self) {
        self.fence = None;
        self.running.clear();
    }

    /// From this time on nothing new goes to servers that hold an older version of the model.
    pub fn set_due(&mut self, model: &str, version: u64, due: Micros) {
        self.due.entry(model.to_owned()).or_default().insert(version, due);
    }

    /// Of the versions whose time is over, the newest says all.
    fn forget_past_dues(&mut self, now: Micros, model: &str) {
        let Some(dues) = self.due.get_mut(model) else { return };
        let past = dues.iter().filter(|(_, due)| **due <= now).map(|(version, _)| *version).max();
        dues.retain(|version, due| *due > now || Some(*version) >= past);
    }

    /// When a server that holds this version of a model gets nothing new any more; none if nothing newer is known.
    fn due_at(&self, model: &str, held: u64) -> Option<Micros> {
        let newer = self.due.get(model)?.range(held + 1..);
        newer.map(|(_, due)| *due).min()
    }

    /// What is due. `servers` are all that are known, `named` the newest versions.
    pub fn tick(&mut self, now: Micros, servers: &Servers, named: &BTreeMap<String, u64>) -> Vec<Step> {
        let mut steps = Vec::new();
        let Some(fence) = self.fence.filter(|_| now >= self.allowed) else { return steps };
        for (model, version) in named {
            self.begin(now, fence, servers, model, *version, &mut steps);
        }
        self.go_on(now, fence, servers, &mut steps);
        steps
    }

    /// Starts servers that are to load: all that get nothing new any more, and as many of the others as may be missing
    /// at once, those first whose time is over first.
    fn begin(
        &mut self,
        now: Micros,
        fence: u64,
        servers: &Servers,
        model: &str,
        version: u64,
        steps: &mut Vec<Step>,
    ) {
        self.given_up.retain(|_, until| *until > now);
        self.forget_past_dues(now, model);
        let holders = servers.values().filter(|one| holds(one, model).is_some()).count();
        let mut outdated = self.outdated(servers, model, version);
        outdated.sort_by_key(|one| one.due.unwrap_or(Micros::MAX));
        let most = self.at_once(now, holders, &outdated);
        let mut missing = self.running.values().filter(|one| one.was_of_use && &*one.model == model).count();
        for Outdated { server, due } in outdated {
            let of_use = due.is_none_or(|due| now < due);
            let free = !self.running.contains_key(&server.id) && !self.given_up.contains_key(&server.id);
            if !free || server.draining || server.lost || (of_use && missing >= most) {
                continue;
            }
            missing += usize::from(of_use);
            self.hold(now, fence, server, (model, version), of_use, steps);
        }
    }

    /// The servers that hold an older version of a model.
    fn outdated<'a>(&self, servers: &'a Servers, model: &str, version: u64) -> Vec<Outdated<'a>> {
        let held = servers.values().filter_map(|server| Some((server, self.held(server, model)?)));
        let older = held.filter(|(_, held)| *held < version);
        older.map(|(server, held)| Outdated { server, due: self.due_at(model, held) }).collect()
    }

    /// Has all nodes know that a server is about to load.
    fn hold(
        &mut self,
        now: Micros,
        fence: u64,
        server: &Registration,
        (model, version): (&str, u64),
        was_of_use: bool,
        steps: &mut Vec<Step>,
    ) {
        let model: Arc<str> = Arc::from(model);
        let mark = Ordered { model: model.clone(), version, done: false };
        steps.push(Step::Mark(self.mark(fence, &server.id, &mark, false)));
        let (address, stage) = (server.address, Stage::Held);
        let due = now + HOLD_BEFORE;
        let running = Running { address, model, version, was_of_use, stage, since: now, due };
        self.running.insert(server.id.clone(), running);
    }

    /// How many servers that are of use may be missing at once: few, but as many as it takes for each to be done in its
    /// time. `outdated` are in the order of their times.
    fn at_once(&self, now: Micros, holders: usize, outdated: &[Outdated<'_>]) -> usize {
        let few = (holders / AT_ONCE_SHARE).max(AT_ONCE_LEAST);
        let dues = outdated.iter().filter_map(|one| one.due).filter(|due| now < *due);
        let in_time = dues.enumerate().map(|(before, due)| {
            let batches = (due - now) / BATCH_TAKES;
            (before + 1).div_ceil(batches.max(1) as usize)
        });
        few.max(in_time.max().unwrap_or(0).min(holders / AT_ONCE_MOST))
    }

    fn mark(&mut self, fence: u64, server: &str, ordered: &Ordered, ended: bool) -> Item {
        self.marks += 1;
        let item =
            kinds::item(ORDERED, server, Stamp { major: fence, minor: self.marks }, ordered.to_bytes());
        // A mark of work that has ended is a tombstone: told to all, then forgotten.
        Item { removed: ended, ..item }
    }

    fn go_on(&mut self, now: Micros, fence: u64, servers: &Servers, steps: &mut Vec<Step>) {
        let mut over = Vec::new();
        for (id, running) in &mut self.running {
            let server = servers.get(id).filter(|server| !server.lost);
            let held = server.and_then(|server| holds(server, &running.model));
            let late = now.saturating_sub(running.since) > GIVE_UP_AFTER;
            let reached = held.is_some_and(|held| held >= running.version);
            if held.is_none() || reached || late {
                over.push((id.clone(), reached));
            } else if now >= running.due {
                match running.stage {
                    Stage::Held | Stage::Sent => {
                        running.stage = Stage::Sent;
                        running.due = now + AGAIN_AFTER;
                        steps.push(Step::Order(Order {
                            server: id.clone(),
                            address: running.address,
                            model: running.model.clone(),
                            version: running.version,
                            fence,
                        }));
                    }
                    Stage::Taken => {
                        running.due = now + ASK_AFTER;
                        steps.push(Step::Ask { server: id.clone(), address: running.address });
                    }
                }
            }
        }
        for (id, reached) in over {
            if !reached {
                self.given_up.insert(id.clone(), now + LEFT_ALONE_FOR);
            }
            self.finish(&id, reached, steps);
        }
    }

    /// The version that a server holds, by its heartbeat or by its later word.
    fn held(&self, server: &Registration, model: &str) -> Option<u64> {
        let told = self.known.get(&server.id).and_then(|models| models.get(model)).copied().unwrap_or(0);
        holds(server, model).map(|held| held.max(told))
    }

    /// Ends the work on a server and says so to all.
    fn finish(&mut self, id: &str, reached: bool, steps: &mut Vec<Step>) {
        let (Some(running), Some(fence)) = (self.running.remove(id), self.fence) else { return };
        if reached {
            let models = self.known.entry(Arc::from(id)).or_default();
            models.insert(running.model.clone(), running.version);
        }
        let mark = Ordered { model: running.model, version: running.version, done: reached };
        steps.push(Step::Mark(self.mark(fence, id, &mark, true)));
    }

    /// Takes in the answer to an order. One that comes after its work has ended says nothing of what is under way at
    /// its server by then.
    pub fn answered(&mut self, now: Micros, order: &Order, answer: OrderAnswer) -> Vec<Step> {
        let mut steps = Vec::new();
        let fence = self.fence;
        let Some(running) = self.running.get_mut(&order.server) else { return steps };
        if !running.was_given(order, fence) {
            return steps;
        }
        match answer {
            OrderAnswer::Holds => self.finish(&order.server, true, &mut steps),
            OrderAnswer::InProgress => {
                running.stage = Stage::Taken;
                running.due = now + ASK_AFTER;
            }
            OrderAnswer::NotTaken => {}
        }
        steps
    }

    /// Takes in which version of a model a server holds by its own report.
    pub fn reported(&mut self, server: &str, model: &str, version: u64) -> Vec<Step> {
        let mut steps = Vec::new();
        let done = self.running.get(server).is_some_and(|one| &*one.model == model && version >= one.version);
        if done {
            self.finish(server, true, &mut steps);
        }
        steps
    }

    /// True if an order may be sent at this moment under this fence.
    pub fn may_order(&self, fence: u64) -> bool {
        self.fence == Some(fence)
    }
}

/// The version of a model that a server holds; none if it does not serve the model.
fn holds(server: &Registration, model: &str) -> Option<u64> {
    server.models.iter().find(|one| &*one.model == model).map(|one| one.version)
}
