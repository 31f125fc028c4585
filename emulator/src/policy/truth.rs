//! The reference that sees what no balancer can: the true state of every app server at this very moment.

use std::cell::RefCell;
use std::rc::Rc;

use gradepaddle::{Micros, Settings};

use super::lifecycle::{Choice, Method};
use crate::server::Memory;

/// The truth about one app server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Glance {
    /// It takes requests.
    pub open: bool,
    /// When what it holds will be done, at the pace it has now.
    pub free_at: Micros,
    /// Work that it gets done in a microsecond.
    pub pace: f64,
    /// Work that it may still be sent now without falling over.
    pub room: f64,
}

/// Shows the truth, by the numbers of app servers. The world keeps it up to date.
#[derive(Default)]
pub struct Board {
    pub(crate) glances: RefCell<Vec<Glance>>,
    pub(crate) memories: RefCell<Vec<Memory>>,
}

/// Sends to where the answer will truly come first.
pub struct Seer {
    board: Rc<Board>,
    /// What a request usually takes.
    usual: f64,
}

impl Seer {
    pub fn new(settings: &Settings, board: Rc<Board>) -> Self {
        let aims = settings.classes.iter().map(|class| class.latency_target).min().unwrap_or(1_000_000);
        Seer { board, usual: aims as f64 / 12.0 }
    }
}

impl Method for Seer {
    fn pick(&mut self, choice: &mut Choice<'_>) -> Option<usize> {
        let (glances, memories) = (self.board.glances.borrow(), self.board.memories.borrow());
        let key = choice.key_text.and_then(number);
        let mut best: Option<(f64, usize, f64)> = None;
        for at in choice.open {
            let Some(server) = number(&choice.peers[*at].id).map(|n| n as usize) else { continue };
            let Some(glance) = glances.get(server).filter(|glance| glance.open) else { continue };
            if glance.room < self.usual {
                continue;
            }
            let hit = key.is_some_and(|key| memories[server].knows(choice.now, key));
            let work = if hit { self.usual * 0.4 } else { self.usual };
            let done = glance.free_at.saturating_sub(choice.now) as f64 + work / glance.pace.max(1e-6);
            // A miss takes the place of another key besides.
            let cost = done + if hit { 0.0 } else { 0.4 * self.usual };
            if best.is_none_or(|(least, ..)| cost < least) {
                best = Some((cost, *at, done));
            }
        }
        // What would come too late is not begun: it takes the place of what would not.
        best.filter(|(_, _, done)| choice.now as f64 + done < choice.useful as f64).map(|(_, at, _)| at)
    }
}

/// The number in a name such as `s17`.
pub fn number(name: &str) -> Option<u32> {
    name.get(1..)?.parse().ok()
}
