//! Fits a straight line to points by least squares.

use serde::Serialize;

/// The fitted line and its coefficient of determination.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub(super) struct Fit {
    /// The value at 0.
    pub(super) intercept: f64,
    /// The growth per unit.
    pub(super) slope: f64,
    /// The share of the variance that the line explains.
    pub(super) r2: f64,
}

impl Fit {
    pub(super) fn of(points: &[(f64, f64)]) -> Self {
        let n = points.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / n;
        let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
        let sum = |of: &dyn Fn(f64, f64) -> f64| {
            points.iter().map(|(x, y)| of(x - mean_x, y - mean_y)).sum::<f64>()
        };
        let (xx, xy, yy) = (sum(&|x, _| x * x), sum(&|x, y| x * y), sum(&|_, y| y * y));
        let slope = if xx == 0.0 { 0.0 } else { xy / xx };
        let r2 = if xx == 0.0 || yy == 0.0 { 0.0 } else { xy * xy / (xx * yy) };
        Self { intercept: mean_y - slope * mean_x, slope, r2 }
    }
}
