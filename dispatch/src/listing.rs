//! The list's clock: when to call for the list, how long a call or a watch may say nothing, and by when what was missed
//! counts as told all the same. No I/O: it takes what happened with the time, and says until when to wait.
//!
//! The spans are the protocol's (`docs/list-clock.md`): what a silent watch or call misses counts as told 6 s after the
//! silence began, a moved discovery 4 s after the move, and an empty line comes every 2 s.

use gradepaddle::Micros;

/// An empty line comes this often as long as nothing changes.
pub const BEAT: Micros = 2_000_000;
/// What is missed in a silence counts as told so long after it began.
pub const TOLD: Micros = 6_000_000;
/// What the discovery that was moved to has to tell counts as told so long after the move.
pub const MOVED: Micros = 4_000_000;
/// The longest silence of a watch that is waited out: behind it two calls still fit before [`TOLD`].
const LONGEST: Micros = 4_000_000;
/// The longest and the shortest wait for the list that a call brings. Discovery may be busy, and a call that is given up
/// and made again costs it twice.
const PATIENCE: [Micros; 2] = [3_000_000, 1_000_000];
/// Failed calls come no closer together.
const APART: Micros = 250_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Stage {
    /// No call is open.
    Idle,
    /// Called at this time, and not told the list yet.
    Called(Micros),
    /// Told; something was last heard at this time.
    Watching(Micros),
}

/// The clock of one process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ListClock {
    stage: Stage,
    /// The longest gap that a watch ended by itself, fading: those of a slow discovery are no silence.
    beat: Micros,
    /// What may have been missed counts as told at this time; none while nothing can have been missed.
    told_by: Option<Micros>,
}

impl Default for ListClock {
    fn default() -> Self {
        ListClock { stage: Stage::Idle, beat: BEAT, told_by: None }
    }
}

impl ListClock {
    /// A call goes out.
    pub fn called(&mut self, now: Micros) {
        self.stage = Stage::Called(now);
    }

    /// A list, or changes of it, came whole.
    pub fn told(&mut self, now: Micros) {
        self.told_by = None;
        match self.stage {
            Stage::Watching(_) => self.beats(now),
            Stage::Called(_) | Stage::Idle => self.stage = Stage::Watching(now),
        }
    }

    /// An empty line came. Before the list it proves nothing: what the call asked for is still owed.
    pub fn beats(&mut self, now: Micros) {
        if let Stage::Watching(heard) = self.stage {
            self.beat = (now - heard).max(self.beat - self.beat / 8).max(BEAT);
            self.stage = Stage::Watching(now);
        }
    }

    /// Until when what is open may go on without a word; none if nothing is open.
    pub fn silent_at(&self) -> Option<Micros> {
        match self.stage {
            Stage::Idle => None,
            Stage::Watching(heard) => Some(heard + (self.beat + self.beat / 4).min(LONGEST)),
            Stage::Called(at) => {
                let by = self.told_by.unwrap_or(at + TOLD);
                let [longest, shortest] = PATIENCE;
                // Past that moment there is nothing left to hurry for, and hurry keeps a busy discovery busy.
                Some(at + if by > at { ((by - at) / 2).clamp(shortest, longest) } else { longest })
            }
        }
    }

    /// What was open has said nothing for too long and is given up; it is asked anew at once.
    pub fn fell_silent(&mut self) {
        let since = match self.stage {
            Stage::Idle => return,
            Stage::Called(at) | Stage::Watching(at) => at,
        };
        self.told_by = Some(self.told_by.unwrap_or(since + TOLD));
        self.stage = Stage::Idle;
    }

    /// A call failed, or a watch broke, with a word: refused, reset, turned down. Gives back by when to ask again at the
    /// latest, where a silence before it leaves only so much time; otherwise the decisions space the calls.
    pub fn failed(&mut self, now: Micros) -> Option<Micros> {
        self.stage = Stage::Idle;
        let left = self.told_by?.checked_sub(now)?;
        (left > APART).then(|| now + (left / 2).max(APART))
    }

    /// Discovery is elsewhere from now on.
    pub fn moved(&mut self, now: Micros) {
        self.stage = Stage::Idle;
        self.told_by = Some(self.told_by.map_or(now + MOVED, |by| by.min(now + MOVED)));
    }

    /// True if changes may count as told that did not come.
    pub fn is_behind(&self, now: Micros) -> bool {
        self.told_by.is_some_and(|by| by <= now)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Micros = 1_000_000;

    /// Guards the times that the fleet trial counts by: a watch that falls silent is asked anew with time for two calls
    /// before what it missed counts as told, and a call that says nothing likewise.
    #[test]
    fn a_silence_leaves_time_for_two_calls() {
        let mut clock = ListClock::default();
        clock.called(0);
        assert_eq!(clock.silent_at(), Some(3 * S));
        clock.told(S);
        clock.beats(3 * S);
        assert_eq!(clock.silent_at(), Some(3 * S + BEAT + BEAT / 4));
        let mut calls = Vec::new();
        for _ in 0..4 {
            let now = clock.silent_at().expect("it is open");
            clock.fell_silent();
            clock.called(now);
            calls.push(now);
        }
        assert_eq!(calls, [5_500_000, 7_250_000, 8_250_000, 9_250_000]);
        assert!(calls[1] < 3 * S + TOLD && clock.is_behind(3 * S + TOLD));
        // Behind that moment a busy discovery is not asked every second.
        assert_eq!(clock.silent_at(), Some(9_250_000 + 3 * S));
        clock.told(10 * S);
        assert!(!clock.is_behind(20 * S));
    }

    /// Guards a discovery that is slow against calls that it does not need, and the limit against one slow beat that
    /// would stretch it for ever.
    #[test]
    fn a_slow_beat_is_no_silence_and_is_forgotten() {
        let mut clock = ListClock::default();
        clock.called(0);
        clock.told(0);
        clock.beats(2_400_000);
        assert_eq!(clock.silent_at(), Some(2_400_000 + 3 * S));
        let mut now = 2_400_000;
        for _ in 0..8 {
            now += BEAT;
            clock.beats(now);
        }
        assert_eq!(clock.silent_at(), Some(now + BEAT + BEAT / 4));
    }

    /// Guards failed calls behind a silence, which must not wait as long as when discovery is down.
    #[test]
    fn a_failure_behind_a_silence_is_followed_up_in_time() {
        let mut clock = ListClock::default();
        clock.called(0);
        assert_eq!(clock.failed(S), None, "nothing was silent");
        clock.called(2 * S);
        clock.fell_silent();
        clock.called(5 * S);
        assert_eq!(clock.failed(6 * S), Some(7 * S));
        assert_eq!(clock.failed(9 * S), None, "too late to matter");
        let mut moved = ListClock::default();
        moved.moved(10 * S);
        moved.called(10 * S);
        assert_eq!(moved.silent_at(), Some(12 * S));
    }
}
