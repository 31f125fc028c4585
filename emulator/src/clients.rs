//! Clients: the requests that they send (time, branch, class and content key) and how they react to answers
//! and time-outs.

use gradepaddle::Micros;
use smallvec::SmallVec;

use crate::evaluation::{Ending, RequestInfo, Rule};
use crate::queue::{ClientRequestKey, Event, LogicalRequestKey, UpstreamRequestKey};
use crate::random::{AliasTable, Stream};
use crate::scenario::{DedupScope, Effect, LoadShape, Scenario, WorthBy, millis};
use crate::world::World;

/// A logical request: a first try and its retries.
#[derive(Clone, Debug)]
pub struct LogicalRequest {
    /// Its attributes for the metrics.
    pub info: RequestInfo,
    /// The client's zone.
    zone: u32,
    pub key: u32,
    work: f64,
    /// The client's estimate of the work, in microseconds.
    pub hint: Option<Micros>,
    /// The client's deadline.
    ends: Micros,
    /// Tries sent so far.
    tries: u32,
}

/// One request on the wire: a first try or a retry.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    pub logical_request: LogicalRequestKey,
    /// The index of its class.
    pub class: u16,
    pub key: u32,
    /// Its work in microseconds on a standard core, if its key is not cached.
    pub work: f64,
    pub request_id: u64,
    /// The index of the balancer that it was sent to.
    pub balancer: u32,
    /// When its client stops waiting for the answer.
    pub gives_up_at: Micros,
    /// The balancer has received all of it.
    pub accepted: bool,
    /// The balancer has answered, or the client has disconnected.
    pub answered: bool,
    /// The first answer that was sent to the client.
    pub answer: Option<Answer>,
    /// The client still waits for the answer.
    client_waits: bool,
    /// The client side is complete: no further event reaches the client.
    closed: bool,
    /// How many times an app server began to work on it.
    pub runs: u32,
    /// For a keyed class: the deduplication group of the first run, and when that attempt was sent.
    pub first_run: Option<(u32, Micros)>,
    /// Its attempts that have not ended, with their numbers.
    pub upstream_requests: SmallVec<[(u32, UpstreamRequestKey); 2]>,
}

/// The final answer to a client's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The answer of an app server.
    Served,
    /// Refused without side effects: a retry is safe.
    Refused { pause: Micros },
    /// Failed; it may have run.
    Failed,
    /// The balancer was down.
    Unreachable,
    /// The balancer ended while it held the request.
    Lost,
}

/// Generates the arrivals of logical requests.
pub struct TrafficSource {
    stream: Stream,
    classes: AliasTable,
    branches: AliasTable,
    keys: AliasTable,
    zones: AliasTable,
    rate: f64,
    /// The course of the rate over the day.
    course: LoadShape,
    /// Amplitude of the sine wave on the rate, relative to the mean.
    swing: f64,
    /// Period of that wave, in microseconds.
    swing_us: f64,
    length: f64,
    /// Hot keys: trouble index, share of all traffic, keys.
    hot: Vec<(u32, f64, Vec<u32>)>,
    /// Heavy requests: trouble index, class index, share of the class's requests, factor on their work.
    heavy: Vec<(u32, usize, f64, f64)>,
    /// Traffic ramp-downs: start, duration, remaining share of traffic.
    ramp_downs: Vec<(Micros, Micros, f64)>,
    /// The factor of active surges on the rate.
    rate_factor: f64,
    /// Token buckets of the branches' quotas: tokens, and when they were last refilled.
    quota_tokens: Vec<(f64, Micros)>,
    /// Quotas of the branches, in requests per second.
    quotas: Vec<f64>,
}

impl TrafficSource {
    /// The arrivals that a scenario describes.
    pub fn new(scenario: &Scenario, stream: Stream) -> Self {
        let zones = scenario.fleet.zones;
        let zone_weight = |zone: u32| {
            let position = if zones > 1 { f64::from(zone) / f64::from(zones - 1) } else { 0.5 };
            1.0 + scenario.load.zone_skew * (0.5 - position)
        };
        let load = &scenario.load;
        let quotas = scenario.quotas();
        let branches: Vec<f64> = scenario.branches.iter().map(|b| b.share * b.usage).collect();
        TrafficSource {
            stream,
            classes: AliasTable::new(&scenario.classes.iter().map(|class| class.share).collect::<Vec<_>>()),
            branches: AliasTable::new(&branches),
            keys: AliasTable::zipf(load.keys as usize, load.key_zipf),
            zones: AliasTable::new(&(0..zones).map(zone_weight).collect::<Vec<_>>()),
            rate: scenario.rate(),
            course: load.shape,
            swing: load.swing,
            swing_us: load.swing_s * 1e6,
            length: scenario.day.length_s * 1e6,
            hot: Vec::new(),
            heavy: Vec::new(),
            ramp_downs: Vec::new(),
            rate_factor: 1.0,
            quota_tokens: quotas.iter().map(|quota| (*quota, 0)).collect(),
            quotas,
        }
    }

    /// From now on, this share of all traffic goes to a few keys.
    pub fn add_hot_keys(&mut self, trouble: u32, share: f64, keys: Vec<u32>) {
        self.hot.push((trouble, share, keys));
    }

    /// Ends the effect of [`Self::add_hot_keys`] for this trouble.
    pub fn remove_hot_keys(&mut self, trouble: u32) {
        self.hot.retain(|(id, ..)| *id != trouble);
    }

    /// From now on, a share of a class's requests takes `factor` times the work.
    pub fn add_heavy_requests(&mut self, trouble: u32, class: usize, share: f64, factor: f64) {
        self.heavy.push((trouble, class, share, factor));
    }

    /// Ends the effect of [`Self::add_heavy_requests`] for this trouble.
    pub fn remove_heavy_requests(&mut self, trouble: u32) {
        self.heavy.retain(|(id, ..)| *id != trouble);
    }

    /// Draws the factor on the work of a request of this class.
    fn work_factor(&mut self, class: usize) -> f64 {
        let stream = &mut self.stream;
        let of_class = self.heavy.iter().filter(|(_, affected, ..)| *affected == class);
        of_class.map(|(_, _, share, factor)| if stream.chance(*share) { *factor } else { 1.0 }).product()
    }

    /// Reduces traffic linearly to the share `to` over a period.
    pub fn ramp_down(&mut self, from: Micros, over: Micros, to: f64) {
        self.ramp_downs.push((from, over, to));
    }

    /// Multiplies the rate of arrivals.
    pub fn scale_rate(&mut self, factor: f64) {
        self.rate_factor *= factor;
    }

    /// The rate of arrivals at this time, in requests per second.
    fn rate_at(&self, now: Micros) -> f64 {
        let at = now as f64;
        let course = match self.course {
            LoadShape::Steady => 1.0,
            LoadShape::Ramp => 0.5 + at / self.length.max(1.0),
        };
        let swing = 1.0 + self.swing * (std::f64::consts::TAU * at / self.swing_us.max(1.0)).sin();
        let ramped_down = |(from, over, to): &(Micros, Micros, f64)| {
            let part = (now.saturating_sub(*from) as f64 / (*over).max(1) as f64).min(1.0);
            1.0 - (1.0 - to) * part
        };
        self.rate
            * course
            * swing
            * self.rate_factor
            * self.ramp_downs.iter().map(ramped_down).product::<f64>()
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

    fn take_quota_token(&mut self, branch: usize, now: Micros) -> bool {
        let (Some((tokens, at)), Some(quota)) = (self.quota_tokens.get_mut(branch), self.quotas.get(branch))
        else {
            return true;
        };
        // The bucket holds one second's quota, but at least two tokens: the requests of small branches arrive
        // in bursts.
        *tokens = (*tokens + quota * (now - *at) as f64 / 1e6).min(quota.max(2.0));
        *at = now;
        let within = *tokens >= 1.0;
        *tokens -= f64::from(u8::from(within));
        within
    }
}

/// How clients retry and disconnect.
pub struct ClientBehaviour {
    stream: Stream,
    retries: u32,
    /// Immediate retries during a retry storm.
    retry_storm: Option<u32>,
    try_share: f64,
    backoff: Micros,
    /// Share of clients that wait for the retry delay of a refusal.
    honours_pause: f64,
    /// Share of tries whose client disconnects before its time-out.
    disconnect_share: f64,
}

impl ClientBehaviour {
    /// The behaviour that a scenario describes.
    pub fn new(scenario: &Scenario, stream: Stream) -> Self {
        let clients = &scenario.clients;
        ClientBehaviour {
            stream,
            retries: clients.retries,
            retry_storm: None,
            try_share: clients.try_share,
            backoff: millis(clients.backoff_ms),
            honours_pause: clients.honour,
            disconnect_share: clients.leaves,
        }
    }

    /// Starts a retry storm with this many immediate retries, or ends it.
    pub fn set_retry_storm(&mut self, retries: Option<u32>) {
        self.retry_storm = retries;
    }
}

impl World {
    /// Starts a logical request and schedules the next arrival.
    pub fn on_arrival(&mut self) {
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
        let class_settings = &self.scenario.classes[class];
        let work =
            class_settings.work_ms * 1000.0 * source.stream.tailed(class_settings.shape, class_settings.cv);
        let hint = self.scenario.load.hint_cv.map(|cv| (work * source.stream.factor(cv)) as Micros);
        let work = work * source.work_factor(class);
        let in_share = source.take_quota_token(branch, now);
        let worth = if in_share {
            class_settings.worth
        } else {
            class_settings.worth * self.scenario.load.over_share_worth
        };
        let worth = match self.scenario.goal.worth_by {
            WorthBy::Request => worth,
            WorthBy::Work => worth * work / (class_settings.work_ms * 1000.0),
        };
        let info = RequestInfo {
            class: class as u16,
            branch: branch as u16,
            arrived: now,
            in_share,
            worth,
            aim: millis(class_settings.aim_ms),
        };
        self.metrics.record_arrival(&info);
        self.metrics.offered += work;
        let logical_request = LogicalRequest {
            info,
            zone,
            key,
            work,
            hint,
            ends: now + millis(class_settings.deadline_ms),
            tries: 0,
        };
        let logical_request = self.logical_requests.insert(logical_request);
        self.start_try(logical_request);
        self.queue.push(next, Event::NextArrival);
    }

    /// The balancer to which the front routes a client of this zone: a routable one of the zone, else any
    /// routable one, else any.
    fn pick_balancer(&mut self, zone: u32) -> u32 {
        let (count, zones) = (self.balancers.len() as u32, self.scenario.fleet.zones);
        // Balancers are assigned to the zones round-robin.
        let here = (count + zones - 1 - zone.min(zones - 1)) / zones;
        let routable = (0..here).map(|n| zone + n * zones).filter(|at| self.is_routable(*at));
        let mut candidates: SmallVec<[u32; 64]> = routable.collect();
        if candidates.is_empty() {
            candidates = (0..count).filter(|at| self.is_routable(*at)).collect();
        }
        if candidates.is_empty() {
            return self.front_random.below(count as usize) as u32;
        }
        candidates[self.front_random.below(candidates.len())]
    }

    fn start_try(&mut self, key: LogicalRequestKey) {
        let now = self.now;
        let Some(logical_request) = self.logical_requests.get_mut(key) else { return };
        logical_request.tries += 1;
        let (zone, ends, class) = (logical_request.zone, logical_request.ends, logical_request.info.class);
        let (key_of, work) = (logical_request.key, logical_request.work);
        let share = self.client_behaviour.try_share;
        let whole = ends - logical_request.info.arrived;
        let gives_up_at = (now + (whole as f64 * share) as Micros).min(ends);
        let tries = logical_request.tries;
        let balancer = self.pick_balancer(zone);
        self.last_request_id += 1;
        let request_id = self.last_request_id;
        let client_request = ClientRequest {
            logical_request: key,
            class,
            key: key_of,
            work,
            request_id,
            balancer,
            gives_up_at,
            accepted: false,
            answered: false,
            answer: None,
            client_waits: true,
            closed: false,
            runs: 0,
            first_run: None,
            upstream_requests: SmallVec::new(),
        };
        let client_request = self.client_requests.insert(client_request);
        self.rule_monitor.note(request_id, now, || format!("its client asks b{balancer}, try {tries}"));
        let there = now + self.network.client_delay();
        self.queue.push(there, Event::RequestAtBalancer { key: client_request });
        self.queue.push(gives_up_at, Event::ClientTimeout { key: client_request });
        if self.client_behaviour.disconnect_share > 0.0
            && self.client_behaviour.stream.chance(self.client_behaviour.disconnect_share)
        {
            let after = (self.client_behaviour.stream.share() * (gives_up_at - now) as f64) as Micros;
            self.queue.push(now + after, Event::ClientDisconnect { key: client_request });
        }
    }

    /// Sends the final answer to the client at the given time.
    pub fn send_answer(&mut self, key: ClientRequestKey, answer: Answer, at: Micros) {
        let delay = self.network.client_delay();
        let Some(client_request) = self.client_requests.get_mut(key) else { return };
        client_request.answered = true;
        client_request.answer = client_request.answer.or(Some(answer));
        if self.metrics.is_counted(self.now) {
            let second = self.metrics.second(self.now);
            match answer {
                Answer::Served => {}
                Answer::Refused { .. } => second.refusals += 1,
                _ => second.failures += 1,
            }
        }
        self.queue.push(at + delay, Event::ClientAnswer { key });
    }

    /// The final answer reaches the client.
    pub fn on_client_answer(&mut self, key: ClientRequestKey) {
        let now = self.now;
        let Some(client_request) = self.client_requests.get_mut(key) else { return };
        client_request.closed = true;
        let (waits, answer, logical) = (
            std::mem::take(&mut client_request.client_waits),
            client_request.answer,
            client_request.logical_request,
        );
        let (request_id, runs) = (client_request.request_id, client_request.runs);
        if waits && let Some(answer) = answer {
            self.rule_monitor.note(request_id, now, || format!("its client hears: {answer:?}, {runs} runs"));
            match answer {
                Answer::Served => self.finish(logical, Ending::Served),
                Answer::Refused { pause } => self.retry_or_finish(logical, true, pause, Ending::Refused),
                Answer::Unreachable => self.retry_or_finish(logical, true, 0, Ending::Failed),
                Answer::Failed | Answer::Lost => self.retry_or_finish(logical, false, 0, Ending::Failed),
            }
        }
        self.remove_if_finished(key, None);
    }

    /// The client's time-out for a try expires.
    pub fn on_client_timeout(&mut self, key: ClientRequestKey) {
        let Some(client_request) = self.client_requests.get_mut(key) else { return };
        let (waits, logical_request, answered) = (
            std::mem::take(&mut client_request.client_waits),
            client_request.logical_request,
            client_request.answered,
        );
        if !answered && !client_request.closed {
            let slack = millis(self.scenario.rules.slack_ms);
            self.queue.push(self.now + slack, Event::AnswerOverdue { key });
        }
        if waits {
            self.retry_or_finish(logical_request, false, 0, Ending::GivenUp);
        }
        self.remove_if_finished(key, None);
    }

    /// Checks that an accepted request has its answer by now, unless its balancer has ended.
    pub fn on_answer_overdue(&mut self, key: ClientRequestKey) {
        let now = self.now;
        let Some(client_request) = self.client_requests.get_mut(key) else { return };
        client_request.closed = true;
        if !client_request.answered && client_request.accepted {
            let (request_id, balancer) = (client_request.request_id, client_request.balancer);
            self.rule_monitor
                .breach(Rule::Answered, now, request_id, || format!("b{balancer} has not answered it"));
        }
        self.remove_if_finished(key, None);
    }

    /// The client disconnects before its time-out.
    pub fn on_client_disconnect(&mut self, key: ClientRequestKey) {
        let Some(client_request) = self.client_requests.get_mut(key) else { return };
        if !std::mem::take(&mut client_request.client_waits) {
            return;
        }
        client_request.closed = true;
        let (logical_request, request_id) = (client_request.logical_request, client_request.request_id);
        self.rule_monitor.note(request_id, self.now, || "its client leaves".to_owned());
        let there = self.now + self.network.client_delay();
        self.queue.push(there, Event::DisconnectAtBalancer { key });
        self.finish(logical_request, Ending::GivenUp);
    }

    /// Retries if the client's behaviour and the class allow it. After a refusal, or if the balancer was down
    /// (`harmless`), any request may be retried; otherwise only one that may run again on any app server.
    fn retry_or_finish(&mut self, key: LogicalRequestKey, harmless: bool, pause: Micros, ending: Ending) {
        let now = self.now;
        let Some(logical_request) = self.logical_requests.get(key) else { return };
        let retry_storm = self.client_behaviour.retry_storm;
        let retries = retry_storm.unwrap_or(self.client_behaviour.retries);
        let class_settings = &self.scenario.classes[logical_request.info.class as usize];
        let safe = match class_settings.effect {
            Effect::Safe => true,
            Effect::Keyed => {
                class_settings.group == DedupScope::All
                    && now < logical_request.info.arrived + millis(class_settings.window_ms)
            }
            Effect::Unsafe => false,
        };
        let mut wait = if retry_storm.is_some() { 0 } else { self.client_behaviour.backoff };
        if pause > 0
            && retry_storm.is_none()
            && self.client_behaviour.stream.chance(self.client_behaviour.honours_pause)
        {
            wait = wait.max(pause);
        }
        let at = now + wait;
        if (harmless || safe) && logical_request.tries <= retries && at < logical_request.ends {
            self.queue.push(at, Event::ClientRetry { logical_request: key });
        } else {
            self.finish(key, ending);
        }
    }

    /// The client sends a retry.
    pub fn on_client_retry(&mut self, key: LogicalRequestKey) {
        self.start_try(key);
    }

    /// Ends a logical request and counts how it ended.
    fn finish(&mut self, key: LogicalRequestKey, ending: Ending) {
        // A try that the client gave up may still be answered later; that answer is not counted.
        let Some(logical_request) = self.logical_requests.get(key) else { return };
        self.metrics.record_ending(&logical_request.info, self.now, ending);
        self.logical_requests.remove(key);
    }

    /// Removes a try when no further event can concern it. `without` is an attempt that has ended.
    pub fn remove_if_finished(&mut self, key: ClientRequestKey, without: Option<UpstreamRequestKey>) {
        let Some(client_request) = self.client_requests.get_mut(key) else { return };
        if let Some(without) = without {
            client_request.upstream_requests.retain(|(_, upstream_request)| *upstream_request != without);
        }
        if client_request.closed
            && client_request.upstream_requests.is_empty()
            && (client_request.answered || !client_request.accepted)
        {
            self.client_requests.remove(key);
        }
    }
}
