//! Means over seeds with confidence intervals.

use serde::{Deserialize, Serialize};
use statrs::distribution::{ContinuousCDF, StudentsT};

/// A mean with the half-width of its 95 % confidence interval (Student's t).
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Estimate {
    /// The mean.
    pub mean: f64,
    /// Half-width of the 95 % confidence interval; 0 if there is only one value.
    pub half: f64,
    /// The smallest value.
    pub least: f64,
    /// The number of values.
    pub count: usize,
}

impl Estimate {
    /// Estimates the mean of these values.
    pub fn of(values: &[f64]) -> Self {
        let count = values.len();
        if count == 0 {
            return Estimate::default();
        }
        let mean = values.iter().sum::<f64>() / count as f64;
        let least = values.iter().copied().fold(f64::INFINITY, f64::min);
        let freedom = count as f64 - 1.0;
        let half = match StudentsT::new(0.0, 1.0, freedom) {
            Ok(student) if count > 1 => {
                let variance = values.iter().map(|x| (x - mean).powi(2)).sum::<f64>() / freedom;
                student.inverse_cdf(0.975) * (variance / count as f64).sqrt()
            }
            _ => 0.0,
        };
        Estimate { mean, half, least, count }
    }
}

#[cfg(test)]
mod tests;
