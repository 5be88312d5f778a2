//! Least-squares fit of a measure against the size of the fleet.

use serde::Serialize;

/// A fitted line with its standard errors.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Line {
    /// Growth of the measure per unit of size.
    pub slope: f64,
    /// Value of the line at size 0.
    pub intercept: f64,
    /// Standard error of the slope; 0 for two points, which leave no degree of freedom.
    pub slope_error: f64,
    /// Standard error of the intercept.
    pub intercept_error: f64,
    /// Residual standard deviation of the points.
    pub residual: f64,
    /// Number of points.
    pub points: usize,
}

impl Line {
    /// Returns the value of the line at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}

/// Fits a line to (size, measure) points. Returns `None` for fewer than two distinct sizes or non-finite
/// values.
pub fn line(points: &[(f64, f64)]) -> Option<Line> {
    let n = points.len() as f64;
    let mean = |coordinate: fn(&(f64, f64)) -> f64| points.iter().map(coordinate).sum::<f64>() / n;
    let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
    let sum_xx: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let sum_xy: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    if !(sum_xx > 0.0 && sum_xx.is_finite() && sum_xy.is_finite()) {
        return None;
    }
    let slope = sum_xy / sum_xx;
    let intercept = mean_y - slope * mean_x;
    let squared_residuals: f64 = points.iter().map(|p| (p.1 - intercept - slope * p.0).powi(2)).sum();
    let residual = if points.len() > 2 { (squared_residuals / (n - 2.0)).sqrt() } else { 0.0 };
    let slope_error = residual / sum_xx.sqrt();
    let intercept_error = residual * (1.0 / n + mean_x * mean_x / sum_xx).sqrt();
    Some(Line { slope, intercept, slope_error, intercept_error, residual, points: points.len() })
}
