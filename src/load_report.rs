//! Load reports as app servers write them on sockets. No decisions here.

use crate::api::LoadReport;

/// The most fields that are looked at: a report names four at most, and more is none.
const MOST: usize = 32;

impl LoadReport {
    /// Reads `name=value,name=value`, each name as in the settings or as on the simulator's wire. Names that are
    /// not known are skipped. A value that is no number, negative or without end makes the whole report
    /// worthless: nothing tells which of its figures still mean something.
    pub fn parse(text: &str) -> Option<LoadReport> {
        let mut report = LoadReport::default();
        let fields: Vec<&str> = text.split(',').map(str::trim).filter(|field| !field.is_empty()).collect();
        if fields.is_empty() || fields.len() > MOST {
            return None;
        }
        for field in fields {
            let (name, value) = field.split_once('=')?;
            let value: f64 = value.trim().parse().ok().filter(|v: &f64| v.is_finite() && *v >= 0.0)?;
            let known = match name.trim() {
                "inflight" | "concurrent" => &mut report.in_flight,
                "queue" | "depth" => &mut report.queue,
                "latency_ms" | "mean_ms" => {
                    report.service_time = Some(value * 1000.0);
                    continue;
                }
                "eps" | "err_ps" => &mut report.errors_per_second,
                _ => continue,
            };
            *known = Some(value);
        }
        Some(report)
    }
}

#[cfg(test)]
mod tests;
