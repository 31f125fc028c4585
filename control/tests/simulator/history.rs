//! A history of calls and answers, and a check of its linearizability: each call takes effect at one moment
//! between its invocation and its response (Wing and Gong, Testing and Verifying Concurrent Objects, 1993).

use std::collections::HashSet;

use gradepaddle_control::Fingerprint;

/// What is asked of the register.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Operation {
    /// Put a configuration in force on top of a version.
    Put { if_match: u64, version: u64, fingerprint: Fingerprint },
    /// Read what is in force, none before the first.
    Read,
}

/// What was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Response {
    /// The configuration was taken, now or before.
    Committed,
    /// It was not and won't be.
    Refused,
    /// This one is in force.
    InForce(Option<Fingerprint>),
}

/// A question and its answer, at moments that are numbers in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Call {
    pub operation: Operation,
    pub asked: u64,
    /// None if there was no clear answer: the call may take effect at any time, or never.
    pub answered: Option<(u64, Response)>,
}

/// Calls in the order in which they were asked.
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

    /// Notes a question; returns its name.
    pub fn ask(&mut self, operation: Operation) -> usize {
        let asked = self.next_moment();
        self.calls.push(Some(Call { operation, asked, answered: None }));
        self.calls.len() - 1
    }

    pub fn answer(&mut self, name: usize, response: Response) {
        let moment = self.next_moment();
        if let Some(call) = &mut self.calls[name] {
            call.answered = Some((moment, response));
        }
    }

    /// The call was answered by "nothing was done": it must never take effect.
    pub fn nothing_done(&mut self, name: usize) {
        self.calls[name] = None;
    }

    /// Whether the call of this name is a read.
    pub fn reads(&self, name: usize) -> bool {
        self.calls[name].is_some_and(|call| call.operation == Operation::Read)
    }

    pub fn read(&mut self, found: Option<Fingerprint>) {
        let name = self.ask(Operation::Read);
        self.answer(name, Response::InForce(found));
    }

    pub fn len(&self) -> usize {
        self.calls.iter().flatten().count()
    }

    /// Whether some order of the calls, each at one moment of its span, gives all of the answers (Wing and Gong).
    pub fn linearizable(&self) -> bool {
        let calls: Vec<Call> = self.calls.iter().flatten().copied().collect();
        let done = vec![false; calls.len()];
        Search { calls, seen: HashSet::new() }.explains(done, Register::default())
    }
}

/// The register that all calls are to be explained by.
#[derive(Debug, Clone, Default)]
struct Register {
    version: u64,
    in_force: Option<Fingerprint>,
    taken: HashSet<Fingerprint>,
}

impl Register {
    /// Whether the operation changes the register.
    fn changes(&self, operation: Operation) -> bool {
        match operation {
            Operation::Put { if_match, version, fingerprint } => {
                if_match == self.version && version > self.version && !self.taken.contains(&fingerprint)
            }
            Operation::Read => false,
        }
    }

    /// The answer to an operation that changes nothing.
    fn response(&self, operation: Operation) -> Response {
        match operation {
            Operation::Put { fingerprint, .. } if self.taken.contains(&fingerprint) => Response::Committed,
            Operation::Put { .. } => Response::Refused,
            Operation::Read => Response::InForce(self.in_force),
        }
    }

    fn after(&self, operation: Operation) -> Register {
        let mut next = self.clone();
        if let Operation::Put { version, fingerprint, .. } = operation {
            next.version = version;
            next.in_force = Some(fingerprint);
            next.taken.insert(fingerprint);
        }
        next
    }
}

struct Search {
    calls: Vec<Call>,
    /// Calls that were done, and what was in force then, from which nothing was found.
    seen: HashSet<(Vec<bool>, Option<Fingerprint>)>,
}

impl Search {
    fn explains(&mut self, mut done: Vec<bool>, register: Register) -> bool {
        // What changes nothing and is answered truly now may as well come now.
        while let Some(index) = self.settled(&done, &register) {
            done[index] = true;
        }
        let Some(first_answer) = self.first_answer(&done) else { return true };
        if !self.seen.insert((done.clone(), register.in_force)) {
            return false;
        }
        let may_change = |call: &Call| {
            let wanted = call.answered.is_none_or(|(_, response)| response == Response::Committed);
            call.asked < first_answer && wanted && register.changes(call.operation)
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

    /// The moment of the first answer among the calls that aren't done.
    fn first_answer(&self, done: &[bool]) -> Option<u64> {
        let open = self.calls.iter().zip(done).filter(|(_, done)| !**done);
        open.filter_map(|(call, _)| call.answered.map(|(moment, _)| moment)).min()
    }

    fn settled(&self, done: &[bool], register: &Register) -> Option<usize> {
        let first_answer = self.first_answer(done)?;
        let fits = |call: &Call| {
            let unchanged = !register.changes(call.operation) && call.asked < first_answer;
            unchanged && call.answered.is_some_and(|(_, given)| given == register.response(call.operation))
        };
        (0..done.len()).find(|index| !done[*index] && fits(&self.calls[*index]))
    }
}
