//! Parser for the load reports that application servers send.

use crate::api::LoadReport;

/// The most fields of a report. A valid one has at most four that are known; one with more than this is rejected.
const MOST: usize = 32;

impl LoadReport {
    /// Parses `name=value,name=value`, with each name as in the settings or on the simulator's wire. Unknown names are
    /// ignored. A value that is not a finite number of 0 or more invalidates the whole report, since the other values
    /// cannot be trusted either.
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
