//! Points at which a test makes the process abort, as in a loss of power. Compiled out of release builds.

/// Counts down to the abort at one point.
#[derive(Default)]
pub struct CrashPoint {
    #[cfg(debug_assertions)]
    remaining: std::cell::Cell<Option<(&'static str, u32)>>,
}

/// The points at which the process can abort.
#[cfg(debug_assertions)]
const POINTS: [&str; 3] = ["before-disk", "after-disk", "before-answer"];

impl CrashPoint {
    /// Reads `GRADEPADDLE_CRASH`: a point, a colon, and the number of times that the point is reached until the abort. The two
    /// points of the disk count only while this keeper leads.
    pub fn from_env() -> Self {
        #[cfg(debug_assertions)]
        {
            let text = std::env::var("GRADEPADDLE_CRASH").unwrap_or_default();
            let point = text.split_once(':').and_then(|(name, count)| {
                let point = POINTS.into_iter().find(|point| *point == name)?;
                Some((point, count.parse().ok()?))
            });
            CrashPoint { remaining: std::cell::Cell::new(point) }
        }
        #[cfg(not(debug_assertions))]
        CrashPoint::default()
    }

    /// Called where the process reaches this point; aborts it if the count is used up.
    #[cfg(debug_assertions)]
    pub fn reached(&self, point: &str) {
        if let Some((at, remaining)) = self.remaining.get().filter(|(at, _)| *at == point) {
            if remaining <= 1 {
                std::process::abort();
            }
            self.remaining.set(Some((at, remaining - 1)));
        }
    }

    /// Does nothing in release builds.
    #[cfg(not(debug_assertions))]
    pub fn reached(&self, _point: &str) {}
}
