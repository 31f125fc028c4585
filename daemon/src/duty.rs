//! What the process owes its clients at each moment: in service, drained by its operators, or on its way out.
//! No I/O: calls and a time go in, and what holds by then comes out.

use gradepaddle::Micros;

/// A front that has heard a no goes on sending for less than this.
const FRONT: Micros = 400_000;
/// So long after the call a drained balancer closes idle connections and takes nothing more. With the 2 s that
/// a request may take afterwards it is free of clients in 4 s.
const DRAINED: Micros = 1_800_000;
/// After SIGTERM, the front goes on sending for a while, so that long all is accepted and answered, and clients that only
/// wait are kept: as late as can be, but before requests count that might be found unanswered at the end.
const LEAVE: Micros = 650_000;
/// The end comes no sooner after SIGTERM than the longest deadline, which counts up to this, and 0.7 s. What is taken on
/// the way out is answered before that.
const LONGEST: Micros = 3_000_000;
const ANSWERED: Micros = 600_000;

/// What holds at some moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stance {
    /// Health checks may be told yes.
    pub ready: bool,
    /// New connections are accepted.
    pub accepts: bool,
    /// Each answer ends its connection.
    pub parts: bool,
    /// Connections are kept while they wait for a request.
    pub keeps: bool,
    /// New requests are turned away, which is harmless.
    pub refuses: bool,
    /// What waits to be accepted is left to an heir.
    pub to_heir: bool,
    /// The process ends once all is answered; since when.
    pub leaves: Option<Micros>,
}

impl Stance {
    /// In service.
    pub const SERVING: Stance = Stance {
        ready: true,
        accepts: true,
        parts: false,
        keeps: true,
        refuses: false,
        to_heir: false,
        leaves: None,
    };

    /// By when a request that is taken now has to be answered, where the longest deadline is this.
    pub fn answered_by(&self, longest: Micros) -> Option<Micros> {
        self.leaves.map(|at| at.saturating_add(longest.min(LONGEST) + ANSWERED))
    }

    fn and(self, other: Stance) -> Stance {
        Stance {
            ready: self.ready && other.ready,
            accepts: self.accepts && other.accepts,
            parts: self.parts || other.parts,
            keeps: self.keeps && other.keeps,
            refuses: self.refuses || other.refuses,
            to_heir: self.to_heir || other.to_heir,
            leaves: self.leaves.or(other.leaves),
        }
    }
}

/// Why the process is not plainly in service, if it is not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Duty {
    drained: Option<Micros>,
    /// Since when it leaves, and whether an heir serves by then.
    leaves: Option<(Micros, bool)>,
}

impl Duty {
    /// The operators send clients away. True unless that holds already.
    pub fn drain(&mut self, now: Micros) -> bool {
        self.drained.replace(self.drained.unwrap_or(now)).is_none()
    }

    /// The operators take that back; false if the process is on its way out, from which nothing brings it back.
    pub fn resume(&mut self) -> bool {
        self.drained = None;
        self.leaves.is_none()
    }

    /// SIGTERM. Counts from the first one. An heir is another process that serves the same clients.
    pub fn leave(&mut self, now: Micros, heir: bool) {
        self.leaves.get_or_insert((now, heir));
    }

    /// True if the operators have drained it.
    pub fn is_drained(&self) -> bool {
        self.drained.is_some()
    }

    /// True after SIGTERM.
    pub fn is_leaving(&self) -> bool {
        self.leaves.is_some()
    }

    /// What holds now.
    pub fn stance(&self, now: Micros) -> Stance {
        let past = |since: Micros, span: Micros| now >= since.saturating_add(span);
        let drained = self.drained.map(|at| Stance {
            ready: false,
            accepts: true,
            parts: past(at, FRONT),
            keeps: !past(at, DRAINED),
            refuses: past(at, DRAINED),
            ..Stance::SERVING
        });
        // Until the front knows, clients keep their connections: it may have no other balancer to give them.
        let leaves = self.leaves.map(|(at, heir)| match heir {
            false => {
                let (over, leaves) = (past(at, LEAVE), Some(at));
                let (ready, accepts, parts, keeps) = (false, !over, over, !over);
                Stance { ready, accepts, parts, keeps, leaves, ..Stance::SERVING }
            }
            // To the front the two are one balancer, which is ready.
            true => {
                let (keeps, leaves) = (!past(at, LEAVE), Some(at));
                Stance { accepts: false, parts: true, keeps, to_heir: true, leaves, ..Stance::SERVING }
            }
        });
        [drained, leaves].into_iter().flatten().fold(Stance::SERVING, Stance::and)
    }

    /// When that changes by itself.
    pub fn due(&self, now: Micros) -> Option<Micros> {
        let at = |since: Option<Micros>, span| since.map(|since| since.saturating_add(span));
        let leaves = self.leaves.map(|(at, _)| at);
        let turns = [at(self.drained, FRONT), at(self.drained, DRAINED), at(leaves, LEAVE)];
        turns.into_iter().flatten().filter(|at| *at > now).min()
    }
}

#[cfg(test)]
mod tests;
