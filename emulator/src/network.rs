//! Network delays between clients, balancers and app servers, and links that drop all traffic.

use gradepaddle::Micros;

use crate::random::Stream;
use crate::scenario::Network as Settings;

/// The network between zones.
pub struct Network {
    settings: Settings,
    stream: Stream,
    /// The number of active cuts of each zone; a zone with any is isolated from the others.
    cuts_by_zone: Vec<u32>,
    /// Pairs of zones between which all traffic is dropped, in both directions.
    lost_links: Vec<(u32, u32)>,
}

impl Network {
    /// A network without cuts or lost links.
    pub fn new(settings: Settings, stream: Stream, zones: usize) -> Self {
        Network { settings, stream, cuts_by_zone: vec![0; zones], lost_links: Vec::new() }
    }

    /// Isolates a zone from the others, or ends one such cut. Cuts may overlap.
    pub fn set_zone_cut(&mut self, zone: u32, cut: bool) {
        let count = &mut self.cuts_by_zone[zone as usize];
        *count = if cut { *count + 1 } else { count.saturating_sub(1) };
    }

    /// Starts or stops dropping all traffic between two zones.
    pub fn set_link_lost(&mut self, from: u32, to: u32, lost: bool) {
        if lost {
            self.lost_links.push((from, to));
        } else if let Some(at) = self.lost_links.iter().position(|pair| *pair == (from, to)) {
            self.lost_links.swap_remove(at);
        }
    }

    /// Whether traffic gets from one zone to the other.
    pub fn is_connected(&self, from: u32, to: u32) -> bool {
        if from == to {
            return true;
        }
        let cut = self.cuts_by_zone[from as usize] > 0 || self.cuts_by_zone[to as usize] > 0;
        !cut && !self.lost_links.iter().any(|(a, b)| (*a, *b) == (from, to) || (*b, *a) == (from, to))
    }

    /// The delay of a message from one zone to another.
    pub fn delay(&mut self, from: u32, to: u32) -> Micros {
        let ms = if from == to { self.settings.same_ms } else { self.settings.cross_ms };
        self.jittered(ms)
    }

    /// The delay of a message between a client and a balancer.
    pub fn client_delay(&mut self) -> Micros {
        self.jittered(self.settings.client_ms)
    }

    fn jittered(&mut self, ms: f64) -> Micros {
        // Jitter models queueing, so it only adds to the delay.
        let jitter = self.settings.jitter;
        let more = if jitter > 0.0 { self.stream.interval(jitter) } else { 0.0 };
        (ms * (1.0 + more) * 1000.0) as Micros
    }
}
