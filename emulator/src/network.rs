//! Delays between parties, and links that lose what is sent over them.

use gradepaddle::Micros;

use crate::random::Stream;
use crate::scenario::Network as Settings;

/// The network between zones.
pub struct Network {
    settings: Settings,
    stream: Stream,
    /// Zones that nothing gets into or out of.
    cut: Vec<u32>,
    /// Pairs of zones between which all is lost.
    lost: Vec<(u32, u32)>,
}

impl Network {
    /// A network in which everything gets through.
    pub fn new(settings: Settings, stream: Stream, zones: usize) -> Self {
        Network { settings, stream, cut: vec![0; zones], lost: Vec::new() }
    }

    /// Cuts a zone off from the others, or joins it again. Cuts may overlap.
    pub fn cut(&mut self, zone: u32, cut: bool) {
        let count = &mut self.cut[zone as usize];
        *count = if cut { *count + 1 } else { count.saturating_sub(1) };
    }

    /// Loses all between two zones, or no longer.
    pub fn lose(&mut self, from: u32, to: u32, lost: bool) {
        if lost {
            self.lost.push((from, to));
        } else if let Some(at) = self.lost.iter().position(|pair| *pair == (from, to)) {
            self.lost.swap_remove(at);
        }
    }

    /// Does anything get from one zone to the other?
    pub fn joins(&self, from: u32, to: u32) -> bool {
        if from == to {
            return true;
        }
        let cut = self.cut[from as usize] > 0 || self.cut[to as usize] > 0;
        !cut && !self.lost.iter().any(|(a, b)| (*a, *b) == (from, to) || (*b, *a) == (from, to))
    }

    /// How long a message takes from one zone to the other.
    pub fn delay(&mut self, from: u32, to: u32) -> Micros {
        let ms = if from == to { self.settings.same_ms } else { self.settings.cross_ms };
        self.jittered(ms)
    }

    /// How long a message takes between a client and its zone's balancers.
    pub fn client_delay(&mut self) -> Micros {
        self.jittered(self.settings.client_ms)
    }

    fn jittered(&mut self, ms: f64) -> Micros {
        // Never shorter: jitter is what queues add.
        let jitter = self.settings.jitter;
        let more = if jitter > 0.0 { self.stream.interval(jitter) } else { 0.0 };
        (ms * (1.0 + more) * 1000.0) as Micros
    }
}
