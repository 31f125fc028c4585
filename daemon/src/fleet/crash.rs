//! Points at which a test lets the process end at once, as by a loss of power. Compiled out of release builds.

/// Counts down to the end at one point.
#[derive(Default)]
pub struct Crash {
    #[cfg(debug_assertions)]
    left: std::cell::Cell<Option<(&'static str, u32)>>,
}

/// Where it may end.
#[cfg(debug_assertions)]
const POINTS: [&str; 3] = ["before-disk", "after-disk", "before-answer"];

impl Crash {
    /// As `GRADEPADDLE_CRASH` says: a point, a colon, and at which time that it is passed. Those of the disk count
    /// while this keeper leads.
    pub fn told() -> Self {
        #[cfg(debug_assertions)]
        {
            let text = std::env::var("GRADEPADDLE_CRASH").unwrap_or_default();
            let told = text.split_once(':').and_then(|(name, count)| {
                let point = POINTS.into_iter().find(|point| *point == name)?;
                Some((point, count.parse().ok()?))
            });
            Crash { left: std::cell::Cell::new(told) }
        }
        #[cfg(not(debug_assertions))]
        Crash::default()
    }

    /// This point is passed.
    #[cfg(debug_assertions)]
    pub fn pass(&self, point: &str) {
        if let Some((at, left)) = self.left.get().filter(|(at, _)| *at == point) {
            if left <= 1 {
                std::process::abort();
            }
            self.left.set(Some((at, left - 1)));
        }
    }

    /// This point is passed.
    #[cfg(not(debug_assertions))]
    pub fn pass(&self, _point: &str) {}
}
