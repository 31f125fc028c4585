//! The three costs of LARD (P-HTTP paper, section 4.1) and the hash order that breaks ties between equal sums. Load,
//! thresholds and `miss` share one unit; `warm` is the share of a cache miss that a server saves, from 0 to 1 (1 if the
//! key is certainly cached there).
pub use crate::state::{hash, mix};

/// Balancing cost: the load above the `idle` threshold, infinite above `overload`.
pub fn balancing(load: f64, idle: f64, overload: f64) -> f64 {
    if load > overload { f64::INFINITY } else { (load - idle).max(0.0) }
}

/// Locality cost of serving the request: 1 if its key is cached at the server, `miss` if it is not.
pub fn locality(miss: f64, warm: f64) -> f64 {
    miss + (1.0 - miss) * warm
}

/// Replacement cost of what the server evicts and has to load again: none while it is idle or has the key cached.
pub fn replacement(load: f64, idle: f64, miss: f64, warm: f64) -> f64 {
    if load < idle { 0.0 } else { miss * (1.0 - warm) }
}

/// The rank of a server in weighted rendezvous hashing, lowest first, from the mixed hash of key and server. Each server
/// ranks first for a share of the keys that is proportional to its size. `even` means that all sizes are equal.
pub fn order(mixed: u64, size: f64, even: bool) -> u64 {
    if even {
        return !mixed;
    }
    let unit = ((mixed >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    // For the highest hashes `unit` rounds to 1 and the logarithm to 0: subtracting from 0.0 gives +0.0, since the bits
    // of -0.0 would rank last.
    (0.0 - unit.ln() / size).to_bits()
}
