//! Clients: what they ask, when, of which branch and class and about what, and what they do afterwards.

use gradepaddle::Micros;
use smallvec::SmallVec;

use crate::judge::{Counted, Ending, Rule};
use crate::queue::{Event, FlightKey, QuestKey, TryKey};
use crate::random::{Stream, Table};
use crate::scenario::{Course, Repeats, Scenario, Within, WorthBy, millis};
use crate::world::World;

/// What a client wants: a first try and those after it.
#[derive(Clone, Debug)]
pub struct Quest {
    pub counted: Counted,
    /// Its client's zone.
    zone: u32,
    pub key: u32,
    work: f64,
    /// Its client's guess at that, in microseconds.
    pub hint: Option<Micros>,
    /// Its client stays no longer.
    ends: Micros,
    tries: u32,
}

/// A try: one request on the wire.
#[derive(Clone, Debug)]
pub struct Try {
    pub quest: QuestKey,
    /// Its class's position.
    pub class: u16,
    pub key: u32,
    /// What it takes on a standard core without a warm key.
    pub work: f64,
    pub serial: u64,
    pub balancer: u32,
    pub gives_up: Micros,
    /// Its balancer has its last byte.
    pub taken: bool,
    pub answered: bool,
    pub answer: Option<Answer>,
    /// Its client still listens.
    waits: bool,
    /// Nothing more comes of it at its client.
    closed: bool,
    /// How often an app server began on it.
    pub runs: u32,
    /// Of a keyed one: where it was first begun on, and when that attempt was sent.
    pub first_run: Option<(u32, Micros)>,
    pub flights: SmallVec<[(u32, FlightKey); 2]>,
}

/// What a client hears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// An app server's answer.
    Served,
    /// Trying again is harmless.
    Refused { pause: Micros },
    /// Failed.
    Failed,
    /// The balancer was not there.
    Unreachable,
    /// The balancer died with the request.
    Lost,
}

/// Where requests come from.
pub struct Source {
    stream: Stream,
    classes: Table,
    branches: Table,
    keys: Table,
    zones: Table,
    rate: f64,
    course: Course,
    swing: f64,
    swing_us: f64,
    length: f64,
    /// Keys that draw more than their part: by trouble, the share and which.
    hot: Vec<(u32, f64, Vec<u32>)>,
    /// Classes some of whose requests are heavier: by trouble, the class, how many, and how many times.
    heavy: Vec<(u32, usize, f64, f64)>,
    /// Traffic falls from then, over so long, to this share.
    fades: Vec<(Micros, Micros, f64)>,
    factor: f64,
    /// What branches may still ask for within their share.
    tokens: Vec<(f64, Micros)>,
    quotas: Vec<f64>,
}

impl Source {
    /// What a scenario asks for.
    pub fn new(scenario: &Scenario, stream: Stream) -> Self {
        let zones = scenario.fleet.zones;
        let lean = |zone: u32| {
            let place = if zones > 1 { f64::from(zone) / f64::from(zones - 1) } else { 0.5 };
            1.0 + scenario.load.zone_skew * (0.5 - place)
        };
        let load = &scenario.load;
        let quotas = scenario.quotas();
        let branches: Vec<f64> = scenario.branches.iter().map(|b| b.share * b.usage).collect();
        Source {
            stream,
            classes: Table::new(&scenario.classes.iter().map(|class| class.share).collect::<Vec<_>>()),
            branches: Table::new(&branches),
            keys: Table::zipf(load.keys as usize, load.key_zipf),
            zones: Table::new(&(0..zones).map(lean).collect::<Vec<_>>()),
            rate: scenario.rate(),
            course: load.shape,
            swing: load.swing,
            swing_us: load.swing_s * 1e6,
            length: scenario.day.length_s * 1e6,
            hot: Vec::new(),
            heavy: Vec::new(),
            fades: Vec::new(),
            factor: 1.0,
            tokens: quotas.iter().map(|quota| (*quota, 0)).collect(),
            quotas,
        }
    }

    /// Some keys draw this share of all traffic.
    pub fn heat(&mut self, trouble: u32, share: f64, keys: Vec<u32>) {
        self.hot.push((trouble, share, keys));
    }

    /// And no longer.
    pub fn cool(&mut self, trouble: u32) {
        self.hot.retain(|(of, ..)| *of != trouble);
    }

    /// Some requests of a class are so many times heavier.
    pub fn burden(&mut self, trouble: u32, class: usize, share: f64, factor: f64) {
        self.heavy.push((trouble, class, share, factor));
    }

    /// And no longer.
    pub fn relieve(&mut self, trouble: u32) {
        self.heavy.retain(|(of, ..)| *of != trouble);
    }

    /// How many times heavier this request is.
    fn weight(&mut self, class: usize) -> f64 {
        let stream = &mut self.stream;
        let of_class = self.heavy.iter().filter(|(_, of, ..)| *of == class);
        of_class.map(|(_, _, share, factor)| if stream.chance(*share) { *factor } else { 1.0 }).product()
    }

    /// Traffic falls to this share over so long.
    pub fn fade(&mut self, from: Micros, over: Micros, to: f64) {
        self.fades.push((from, over, to));
    }

    /// Traffic is so many times what it was.
    pub fn surge(&mut self, factor: f64) {
        self.factor *= factor;
    }

    /// Requests a second at this time.
    fn rate_at(&self, now: Micros) -> f64 {
        let at = now as f64;
        let course = match self.course {
            Course::Steady => 1.0,
            Course::Ramp => 0.5 + at / self.length.max(1.0),
        };
        let swing = 1.0 + self.swing * (std::f64::consts::TAU * at / self.swing_us.max(1.0)).sin();
        let faded = |(from, over, to): &(Micros, Micros, f64)| {
            let part = (now.saturating_sub(*from) as f64 / (*over).max(1) as f64).min(1.0);
            1.0 - (1.0 - to) * part
        };
        self.rate * course * swing * self.factor * self.fades.iter().map(faded).product::<f64>()
    }

    fn next_after(&mut self, now: Micros) -> Micros {
        let mean = 1e6 / self.rate_at(now).max(1e-3);
        now + (self.stream.interval(mean).max(1.0) as Micros)
    }

    fn key(&mut self) -> u32 {
        for (_, share, keys) in &self.hot {
            if self.stream.chance(*share) && !keys.is_empty() {
                return keys[self.stream.below(keys.len())];
            }
        }
        self.keys.draw(&mut self.stream) as u32
    }

    fn in_share(&mut self, branch: usize, now: Micros) -> bool {
        let (Some((tokens, at)), Some(quota)) = (self.tokens.get_mut(branch), self.quotas.get(branch)) else {
            return true;
        };
        // A second's worth may be saved up, and two for small branches, whose requests come in clumps.
        *tokens = (*tokens + quota * (now - *at) as f64 / 1e6).min(quota.max(2.0));
        *at = now;
        let within = *tokens >= 1.0;
        *tokens -= f64::from(u8::from(within));
        within
    }
}

/// What clients do.
pub struct Habits {
    stream: Stream,
    retries: u32,
    storm: Option<u32>,
    try_share: f64,
    backoff: Micros,
    honour: f64,
    leaves: f64,
}

impl Habits {
    /// A scenario's.
    pub fn new(scenario: &Scenario, stream: Stream) -> Self {
        let clients = &scenario.clients;
        Habits {
            stream,
            retries: clients.retries,
            storm: None,
            try_share: clients.try_share,
            backoff: millis(clients.backoff_ms),
            honour: clients.honour,
            leaves: clients.leaves,
        }
    }

    /// They try again and again, or no longer.
    pub fn storm(&mut self, retries: Option<u32>) {
        self.storm = retries;
    }
}

impl World {
    /// A first try comes, and the next one is on its way.
    pub fn arrive(&mut self) {
        let now = self.now;
        if now >= self.ends {
            return;
        }
        let source = &mut self.source;
        let next = source.next_after(now);
        let class = source.classes.draw(&mut source.stream);
        let branch = source.branches.draw(&mut source.stream);
        let zone = source.zones.draw(&mut source.stream) as u32;
        let key = source.key();
        let of = &self.scenario.classes[class];
        let work = of.work_ms * 1000.0 * source.stream.tailed(of.shape, of.cv);
        let hint = self.scenario.load.hint_cv.map(|cv| (work * source.stream.factor(cv)) as Micros);
        let work = work * source.weight(class);
        let in_share = source.in_share(branch, now);
        let worth = if in_share { of.worth } else { of.worth * self.scenario.load.over_share_worth };
        let worth = match self.scenario.goal.worth_by {
            WorthBy::Request => worth,
            WorthBy::Work => worth * work / (of.work_ms * 1000.0),
        };
        let counted = Counted {
            class: class as u16,
            branch: branch as u16,
            arrived: now,
            in_share,
            worth,
            aim: millis(of.aim_ms),
        };
        self.account.asked(&counted);
        self.account.offered += work;
        let quest = Quest { counted, zone, key, work, hint, ends: now + millis(of.deadline_ms), tries: 0 };
        let quest = self.quests.insert(quest);
        self.start_try(quest);
        self.queue.push(next, Event::Arrive);
    }

    /// The balancer that the front gives a client of this zone.
    fn front(&mut self, zone: u32) -> u32 {
        let (count, zones) = (self.balancers.len() as u32, self.scenario.fleet.zones);
        // Balancers are spread over the zones in turn.
        let here = (count + zones - 1 - zone.min(zones - 1)) / zones;
        let believed = (0..here).map(|n| zone + n * zones).filter(|at| self.believed(*at));
        let mut among: SmallVec<[u32; 64]> = believed.collect();
        if among.is_empty() {
            among = (0..count).filter(|at| self.believed(*at)).collect();
        }
        if among.is_empty() {
            return self.front.below(count as usize) as u32;
        }
        among[self.front.below(among.len())]
    }

    fn start_try(&mut self, key: QuestKey) {
        let now = self.now;
        let Some(quest) = self.quests.get_mut(key) else { return };
        quest.tries += 1;
        let (zone, ends, class) = (quest.zone, quest.ends, quest.counted.class);
        let (key_of, work) = (quest.key, quest.work);
        let share = self.habits.try_share;
        let whole = ends - quest.counted.arrived;
        let gives_up = (now + (whole as f64 * share) as Micros).min(ends);
        let tries = quest.tries;
        let balancer = self.front(zone);
        self.serial += 1;
        let serial = self.serial;
        let one = Try {
            quest: key,
            class,
            key: key_of,
            work,
            serial,
            balancer,
            gives_up,
            taken: false,
            answered: false,
            answer: None,
            waits: true,
            closed: false,
            runs: 0,
            first_run: None,
            flights: SmallVec::new(),
        };
        let one = self.tries.insert(one);
        self.judge.note(serial, now, || format!("its client asks b{balancer}, try {tries}"));
        let there = now + self.network.client_delay();
        self.queue.push(there, Event::Reach { key: one });
        self.queue.push(gives_up, Event::GiveUp { key: one });
        if self.habits.leaves > 0.0 && self.habits.stream.chance(self.habits.leaves) {
            let after = (self.habits.stream.share() * (gives_up - now) as f64) as Micros;
            self.queue.push(now + after, Event::Leave { key: one });
        }
    }

    /// A final answer goes out at this time.
    pub fn reply_to(&mut self, key: TryKey, answer: Answer, at: Micros) {
        let delay = self.network.client_delay();
        let Some(one) = self.tries.get_mut(key) else { return };
        one.answered = true;
        one.answer = one.answer.or(Some(answer));
        if self.account.counts(self.now) {
            let second = self.account.second(self.now);
            match answer {
                Answer::Served => {}
                Answer::Refused { .. } => second.refusals += 1,
                _ => second.failures += 1,
            }
        }
        self.queue.push(at + delay, Event::Hear { key });
    }

    /// A final answer has come.
    pub fn hear(&mut self, key: TryKey) {
        let now = self.now;
        let Some(one) = self.tries.get_mut(key) else { return };
        one.closed = true;
        let (waits, answer, quest) = (std::mem::take(&mut one.waits), one.answer, one.quest);
        let (serial, runs) = (one.serial, one.runs);
        if waits && let Some(answer) = answer {
            self.judge.note(serial, now, || format!("its client hears: {answer:?}, {runs} runs"));
            match answer {
                Answer::Served => self.finish(quest, Ending::Served),
                Answer::Refused { pause } => self.maybe_again(quest, true, pause, Ending::Refused),
                Answer::Unreachable => self.maybe_again(quest, true, 0, Ending::Failed),
                Answer::Failed | Answer::Lost => self.maybe_again(quest, false, 0, Ending::Failed),
            }
        }
        self.settle(key, None);
    }

    /// A client stops waiting.
    pub fn give_up(&mut self, key: TryKey) {
        let Some(one) = self.tries.get_mut(key) else { return };
        let (waits, quest, answered) = (std::mem::take(&mut one.waits), one.quest, one.answered);
        if !answered && !one.closed {
            let slack = millis(self.scenario.rules.slack_ms);
            self.queue.push(self.now + slack, Event::Overdue { key });
        }
        if waits {
            self.maybe_again(quest, false, 0, Ending::GivenUp);
        }
        self.settle(key, None);
    }

    /// A request that was taken must have its answer by now, unless its balancer has died.
    pub fn overdue(&mut self, key: TryKey) {
        let now = self.now;
        let Some(one) = self.tries.get_mut(key) else { return };
        one.closed = true;
        if !one.answered && one.taken {
            let (serial, balancer) = (one.serial, one.balancer);
            self.judge.breach(Rule::Answered, now, serial, || format!("b{balancer} has not answered it"));
        }
        self.settle(key, None);
    }

    /// A client leaves before its time.
    pub fn leave(&mut self, key: TryKey) {
        let Some(one) = self.tries.get_mut(key) else { return };
        if !std::mem::take(&mut one.waits) {
            return;
        }
        one.closed = true;
        let (quest, serial) = (one.quest, one.serial);
        self.judge.note(serial, self.now, || "its client leaves".to_owned());
        let there = self.now + self.network.client_delay();
        self.queue.push(there, Event::Left { key });
        self.finish(quest, Ending::GivenUp);
    }

    /// Tries again, if habit and class allow it: after a refusal, or where nobody was there, any request,
    /// else only one that may run again wherever it then goes.
    fn maybe_again(&mut self, key: QuestKey, harmless: bool, pause: Micros, ending: Ending) {
        let now = self.now;
        let Some(quest) = self.quests.get(key) else { return };
        let storm = self.habits.storm;
        let retries = storm.unwrap_or(self.habits.retries);
        let of = &self.scenario.classes[quest.counted.class as usize];
        let safe = match of.effect {
            Repeats::Safe => true,
            Repeats::Keyed => of.group == Within::All && now < quest.counted.arrived + millis(of.window_ms),
            Repeats::Unsafe => false,
        };
        let mut wait = if storm.is_some() { 0 } else { self.habits.backoff };
        if pause > 0 && storm.is_none() && self.habits.stream.chance(self.habits.honour) {
            wait = wait.max(pause);
        }
        let at = now + wait;
        if (harmless || safe) && quest.tries <= retries && at < quest.ends {
            self.queue.push(at, Event::Again { quest: key });
        } else {
            self.finish(key, ending);
        }
    }

    /// A client tries again.
    pub fn again(&mut self, key: QuestKey) {
        self.start_try(key);
    }

    /// A quest ends.
    fn finish(&mut self, key: QuestKey, ending: Ending) {
        // Tries that were given up may still be answered, but nobody counts that.
        let Some(quest) = self.quests.get(key) else { return };
        self.account.ended(&quest.counted, self.now, ending);
        self.quests.remove(key);
    }

    /// Forgets a try from which nothing more can come. `without` is an attempt that is over.
    pub fn settle(&mut self, key: TryKey, without: Option<FlightKey>) {
        let Some(one) = self.tries.get_mut(key) else { return };
        if let Some(without) = without {
            one.flights.retain(|(_, flight)| *flight != without);
        }
        if one.closed && one.flights.is_empty() && (one.answered || !one.taken) {
            self.tries.remove(key);
        }
    }
}
