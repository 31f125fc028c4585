//! What operators asked the fleet and were answered, as a history that one register has to explain.

use std::collections::HashMap;

use gradepaddle_controlplane::api::{Call, fingerprint_number};
use gradepaddle_proto::ControlCall;

use super::callers::{Caller, Outcome};
use super::operator::identity;
use super::random::Random;
use super::world::{Event, World};
use super::{MS, SECOND};

#[path = "../../../control/tests/simulator/history.rs"]
mod history;

pub use history::History;
use history::{Operation, Response};

/// In so many of a hundred cases the newest configuration is read instead of an old order sent again.
const READS: u64 = 30;

/// The history of a day, with an operator who sends orders of before again at any time, to any machine.
#[derive(Debug)]
pub struct Histories {
    history: History,
    open: HashMap<Caller, usize>,
    sent: Vec<Call>,
    random: Random,
    attempt: u64,
}

impl Histories {
    pub fn new(seed: u64) -> Histories {
        Histories {
            history: History::default(),
            open: HashMap::new(),
            sent: Vec::new(),
            random: Random::new(seed),
            attempt: 0,
        }
    }

    pub fn asked(&mut self, caller: Caller, call: &Call) {
        let operation = match call {
            Call::Control(ControlCall::PutConfiguration { if_match, version, body }) => {
                let fingerprint = fingerprint_number(&identity(body));
                Operation::Put { if_match: *if_match, version: *version, fingerprint }
            }
            Call::Control(ControlCall::PatchConfiguration { if_match, version, patch }) => {
                let fingerprint = fingerprint_number(&identity(patch));
                Operation::Put { if_match: *if_match, version: *version, fingerprint }
            }
            Call::Control(ControlCall::GetConfiguration) => Operation::Read,
            _ => return,
        };
        if matches!(caller, Caller::Operator { .. }) && operation != Operation::Read {
            self.sent.push(call.clone());
        }
        let name = self.history.invoke(operation);
        self.open.insert(caller, name);
    }

    /// Takes in the end of a call. One without a clear answer may take effect at any time after it.
    pub fn answered(&mut self, caller: Caller, outcome: &Outcome) {
        let Some((name, answer)) = self.open.remove(&caller).zip(outcome.as_ref()) else { return };
        let reads = self.history.reads(name);
        match answer.status {
            200 if reads => {
                let found = Response::InForce(Some(fingerprint_number(&identity(&answer.body))));
                self.history.answer(name, found);
            }
            404 if reads => self.history.answer(name, Response::InForce(None)),
            200 => self.history.answer(name, Response::Committed),
            400 | 412 => self.history.answer(name, Response::Refused),
            _ => {}
        }
    }

    fn next_call(&mut self) -> Option<Call> {
        if self.random.percent(READS) || self.sent.is_empty() {
            return Some(Call::Control(ControlCall::GetConfiguration));
        }
        let index = self.random.below(self.sent.len());
        self.sent.get(index).cloned()
    }
}

impl World {
    /// Keeps the history of the day and sends orders again.
    pub fn with_histories(mut self, seed: u64) -> World {
        self.histories = Some(Histories::new(seed));
        self.schedule(3 * SECOND, Event::Resend);
        self
    }

    /// Plays the day; its history besides.
    pub fn play_with_history(self) -> (super::Report, History) {
        let (report, histories) = self.play_keeping_histories();
        (report, histories.map(|histories| histories.history).unwrap_or_default())
    }

    /// The operator who sends orders of before again has a turn.
    pub fn resend(&mut self) {
        let listed: Vec<usize> =
            self.machines.iter().filter(|one| !one.removed).map(|one| one.number).collect();
        let Some(histories) = &mut self.histories else { return };
        let (call, machine) = (histories.next_call(), histories.random.choose(&listed));
        histories.attempt += 1;
        let attempt = histories.attempt;
        let pause = histories.random.between(50 * MS, 600 * MS);
        if let Some((call, machine)) = call.zip(machine) {
            self.call(machine, Caller::Resender { attempt }, call);
        }
        self.schedule_in(pause, Event::Resend);
    }
}
