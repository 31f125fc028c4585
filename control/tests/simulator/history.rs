//! A history of calls and responses, and a check of its linearizability: each call takes effect at one moment
//! between its invocation and its response (Wing and Gong, Testing and Verifying Concurrent Objects, 1993).

use std::collections::HashSet;

use gradepaddle_control::Fingerprint;

/// An operation on the register.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Operation {
    /// Put a configuration in force on top of a version.
    Put { if_match: u64, version: u64, fingerprint: Fingerprint },
    /// Read the configuration in force; there is none before the first.
    Read,
}

/// The response to a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Response {
    /// The configuration was accepted, by this call or an earlier one.
    Committed,
    /// The configuration was not accepted and won't be.
    Refused,
    /// This configuration is in force.
    InForce(Option<Fingerprint>),
}

/// A call and its response. Moments are consecutive numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Call {
    pub operation: Operation,
    pub invoked_at: u64,
    /// None if the outcome is unknown: the call may take effect at any later time, or never.
    pub answered: Option<(u64, Response)>,
}

/// Calls in the order in which they were invoked.
#[derive(Debug, Clone, Default)]
pub struct History {
    calls: Vec<Option<Call>>,
    moment: u64,
}

impl History {
    fn next_moment(&mut self) -> u64 {
        self.moment += 1;
        self.moment
    }

    /// Records the invocation of a call; returns the index of the call.
    pub fn invoke(&mut self, operation: Operation) -> usize {
        let invoked_at = self.next_moment();
        self.calls.push(Some(Call { operation, invoked_at, answered: None }));
        self.calls.len() - 1
    }

    pub fn answer(&mut self, call_index: usize, response: Response) {
        let moment = self.next_moment();
        if let Some(call) = &mut self.calls[call_index] {
            call.answered = Some((moment, response));
        }
    }

    /// Records the response that the call was not carried out: it must never take effect.
    pub fn nothing_done(&mut self, call_index: usize) {
        self.calls[call_index] = None;
    }

    /// Whether the call is a read.
    pub fn reads(&self, call_index: usize) -> bool {
        self.calls[call_index].is_some_and(|call| call.operation == Operation::Read)
    }

    pub fn read(&mut self, found: Option<Fingerprint>) {
        let call_index = self.invoke(Operation::Read);
        self.answer(call_index, Response::InForce(found));
    }

    pub fn len(&self) -> usize {
        self.calls.iter().flatten().count()
    }

    /// Whether there is an order of the calls, each at one moment between invocation and response, that gives all of
    /// the responses (Wing and Gong).
    pub fn linearizable(&self) -> bool {
        let calls: Vec<Call> = self.calls.iter().flatten().copied().collect();
        let done = vec![false; calls.len()];
        Search { calls, seen: HashSet::new() }.explains(done, Register::default())
    }
}

/// The sequential register with which all responses have to agree.
#[derive(Debug, Clone, Default)]
struct Register {
    version: u64,
    in_force: Option<Fingerprint>,
    accepted: HashSet<Fingerprint>,
}

impl Register {
    /// Whether the operation changes the register.
    fn changes(&self, operation: Operation) -> bool {
        match operation {
            Operation::Put { if_match, version, fingerprint } => {
                if_match == self.version && version > self.version && !self.accepted.contains(&fingerprint)
            }
            Operation::Read => false,
        }
    }

    /// The response to an operation that changes nothing.
    fn response(&self, operation: Operation) -> Response {
        match operation {
            Operation::Put { fingerprint, .. } if self.accepted.contains(&fingerprint) => Response::Committed,
            Operation::Put { .. } => Response::Refused,
            Operation::Read => Response::InForce(self.in_force),
        }
    }

    fn after(&self, operation: Operation) -> Register {
        let mut next = self.clone();
        if let Operation::Put { version, fingerprint, .. } = operation {
            next.version = version;
            next.in_force = Some(fingerprint);
            next.accepted.insert(fingerprint);
        }
        next
    }
}

struct Search {
    calls: Vec<Call>,
    /// States of the search from which no valid order was found: the calls that were done, and the configuration in
    /// force.
    seen: HashSet<(Vec<bool>, Option<Fingerprint>)>,
}

impl Search {
    fn explains(&mut self, mut done: Vec<bool>, register: Register) -> bool {
        // A call that changes nothing, and whose response is correct in this state, can be placed here without loss.
        while let Some(index) = self.next_settled_call(&done, &register) {
            done[index] = true;
        }
        let Some(first_answer) = self.first_answer(&done) else { return true };
        if !self.seen.insert((done.clone(), register.in_force)) {
            return false;
        }
        let may_change = |call: &Call| {
            let wanted = call.answered.is_none_or(|(_, response)| response == Response::Committed);
            call.invoked_at < first_answer && wanted && register.changes(call.operation)
        };
        let next: Vec<usize> =
            (0..done.len()).filter(|index| !done[*index] && may_change(&self.calls[*index])).collect();
        next.into_iter().any(|index| {
            let mut with = done.clone();
            with[index] = true;
            let after = register.after(self.calls[index].operation);
            self.explains(with, after)
        })
    }

    /// The moment of the first response among the calls that aren't done.
    fn first_answer(&self, done: &[bool]) -> Option<u64> {
        let open = self.calls.iter().zip(done).filter(|(_, done)| !**done);
        open.filter_map(|(call, _)| call.answered.map(|(moment, _)| moment)).min()
    }

    fn next_settled_call(&self, done: &[bool], register: &Register) -> Option<usize> {
        let first_answer = self.first_answer(done)?;
        let fits = |call: &Call| {
            let unchanged = !register.changes(call.operation) && call.invoked_at < first_answer;
            unchanged && call.answered.is_some_and(|(_, given)| given == register.response(call.operation))
        };
        (0..done.len()).find(|index| !done[*index] && fits(&self.calls[*index]))
    }
}
