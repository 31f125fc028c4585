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
mod tests {
    use proptest::prelude::*;

    use super::*;

    /// Guards the front's 0.2 s and the operators' 4 s: clients are kept until no new ones come, and sent away
    /// early enough that a request of 2 s is through; and a drain that is taken back leaves nothing behind.
    #[test]
    fn a_drain_goes_by_steps_and_back_at_any_of_them() {
        let mut duty = Duty::default();
        assert_eq!((duty.stance(9), duty.due(9)), (Stance::SERVING, None));
        assert!(duty.drain(1_000) && !duty.drain(700_000), "the first call counts");
        let at = |duty: &Duty, ms: u64| duty.stance(1_000 + ms * 1_000);
        assert_eq!(at(&duty, 0), Stance { ready: false, ..Stance::SERVING });
        assert!(!at(&duty, 300).parts && at(&duty, 500).parts && at(&duty, 500).keeps);
        let last = at(&duty, 2_000);
        assert!(last.refuses && !last.keeps && last.accepts);
        assert_eq!(duty.due(2_000_000), None);
        assert!(duty.resume());
        assert_eq!(at(&duty, 2_000), Stance::SERVING);
    }

    /// Guards every mix of drain and SIGTERM: what the one forbids the other does not allow, and nothing
    /// brings a process back that is on its way out. `due` names every moment at which something changes.
    #[test]
    fn drain_and_sigterm_mix_in_any_order() {
        let call = prop_oneof![Just('d'), Just('r'), Just('t'), Just('h')];
        let calls = prop::collection::vec((call, 0..900_000u64), 0..8);
        proptest!(crate::http::fixed(), |(calls in calls, wait in 0..5_000_000u64)| {
            let (mut duty, mut now) = (Duty::default(), 0);
            for (call, pause) in calls {
                now += pause;
                match call {
                    'd' => drop(duty.drain(now)),
                    'r' => prop_assert_eq!(duty.resume(), !duty.is_leaving()),
                    call => duty.leave(now, call == 'h'),
                }
                let stance = duty.stance(now);
                let alone = duty.leaves.is_some_and(|(_, heir)| !heir);
                prop_assert_eq!(stance.ready, !duty.is_drained() && !alone);
                prop_assert!(stance.accepts || stance.parts, "what is taken off the backlog no more");
                prop_assert!(stance.keeps || stance.parts);
            }
            let mut at = now;
            while let Some(due) = duty.due(at).filter(|due| *due <= now + wait) {
                prop_assert_eq!(duty.stance(due - 1), duty.stance(at));
                at = due;
            }
            prop_assert_eq!(duty.stance(now + wait), duty.stance(at));
            if duty.is_leaving() && wait >= LEAVE {
                prop_assert!(!duty.stance(now + wait).accepts && !duty.stance(now + wait).keeps);
            }
        });
    }
}
