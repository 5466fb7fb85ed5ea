//! Least-squares fit of a line through the figures, and its predictions for other sizes.
use crate::Error;
use serde::Serialize;

/// Summary of the figures of one size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct SizeSummary {
    /// The size.
    pub size: f64,
    /// The number of runs.
    #[serde(rename = "plays")]
    pub runs: usize,
    /// The minimum.
    pub min: f64,
    /// The mean.
    pub mean: f64,
    /// The maximum.
    pub max: f64,
}

/// The prediction for a size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Prediction {
    /// The size.
    pub size: f64,
    /// The figure on the line.
    pub figure: f64,
    /// The standard error of one run there; none with two points.
    pub error: Option<f64>,
    /// Whether the size is larger than any measured size.
    #[serde(rename = "beyond")]
    pub is_extrapolated: bool,
}

/// A line by least squares.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LineFit {
    /// The increase for each unit of size.
    pub slope: f64,
    /// The standard error of the slope; none with two points.
    pub slope_error: Option<f64>,
    /// The value of the line at size 0.
    pub intercept: f64,
    /// The standard deviation of the runs around the line; none with two points.
    #[serde(rename = "spread")]
    pub residual_deviation: Option<f64>,
    /// The slope of the upper half of the sizes over that of the lower half: 1 for a straight line, none with two sizes or
    /// where the lower half is level.
    #[serde(rename = "bend")]
    pub bend_ratio: Option<f64>,
    /// The power of the size with which the means grow over the upper half of the sizes: 1 where the figure grows with the
    /// size, 2 with its square; none where a mean or size is not above zero. Where it is far from 1 the line predicts nothing
    /// about larger sizes.
    #[serde(rename = "power")]
    pub exponent: Option<f64>,
    /// The figures of each size.
    pub sizes: Vec<SizeSummary>,
    /// The predictions for the requested sizes.
    #[serde(rename = "at")]
    pub predictions: Vec<Prediction>,
}

/// Fits a line through (size, figure) of all runs, and predicts the figure at other sizes.
pub fn fit_line(points: &[(f64, f64)], predicted_sizes: &[f64]) -> Result<LineFit, Error> {
    if points.iter().any(|(x, y)| !x.is_finite() || !y.is_finite()) {
        return Err(Error::NotFinite);
    }
    let mut sorted = points.to_vec();
    sorted.sort_by(|one, other| one.0.total_cmp(&other.0));
    let sizes: Vec<SizeSummary> =
        sorted.chunk_by(|one, other| one.0 == other.0).map(summarize_size).collect();
    let line = Line::fit(&sorted).ok_or(Error::TooFewSizes(sizes.len()))?;
    let half_len = sizes.len().div_ceil(2);
    let bend_ratio = (sizes.len() > 2).then(|| {
        let (low, high) = (sizes[half_len - 1].size, sizes[sizes.len() - half_len].size);
        let lower: Vec<_> = sorted.iter().copied().filter(|p| p.0 <= low).collect();
        let upper: Vec<_> = sorted.iter().copied().filter(|p| p.0 >= high).collect();
        let (lower, upper) = (Line::fit(&lower)?.slope, Line::fit(&upper)?.slope);
        Some(upper / lower).filter(|ratio| ratio.is_finite())
    });
    let upper = sizes[sizes.len() - half_len..].iter().map(|s| (s.size.ln(), s.mean.ln()));
    let logarithms: Vec<_> = upper.collect();
    let exponent =
        logarithms.iter().all(|(x, y)| x.is_finite() && y.is_finite()).then(|| Line::fit(&logarithms));
    let max_size = sizes.last().map_or(0.0, |s| s.size);
    let predict = |size: &f64| Prediction {
        size: *size,
        figure: line.intercept + line.slope * size,
        error: line.error_at(*size),
        is_extrapolated: *size > max_size,
    };
    Ok(LineFit {
        slope: line.slope,
        slope_error: line.residual_deviation.map(|s| s / line.size_square_sum.sqrt()),
        intercept: line.intercept,
        residual_deviation: line.residual_deviation,
        bend_ratio: bend_ratio.flatten(),
        exponent: exponent.flatten().map(|line| line.slope),
        predictions: predicted_sizes.iter().map(predict).collect(),
        sizes,
    })
}

fn summarize_size(points: &[(f64, f64)]) -> SizeSummary {
    let figures = || points.iter().map(|p| p.1);
    SizeSummary {
        size: points.first().map_or(0.0, |p| p.0),
        runs: points.len(),
        min: figures().fold(f64::INFINITY, f64::min),
        mean: figures().sum::<f64>() / points.len() as f64,
        max: figures().fold(f64::NEG_INFINITY, f64::max),
    }
}

struct Line {
    slope: f64,
    intercept: f64,
    /// The mean of the sizes, and the sum of the squares of their deviations from it.
    mean_size: f64,
    size_square_sum: f64,
    count: f64,
    residual_deviation: Option<f64>,
}

impl Line {
    /// Returns `None` for fewer than two distinct sizes.
    fn fit(points: &[(f64, f64)]) -> Option<Line> {
        let count = points.len() as f64;
        let mean_size = points.iter().map(|p| p.0).sum::<f64>() / count;
        let mean = points.iter().map(|p| p.1).sum::<f64>() / count;
        let size_square_sum = points.iter().map(|p| (p.0 - mean_size).powi(2)).sum::<f64>();
        if points.is_empty() || size_square_sum <= 0.0 {
            return None;
        }
        let slope = points.iter().map(|p| (p.0 - mean_size) * (p.1 - mean)).sum::<f64>() / size_square_sum;
        let intercept = mean - slope * mean_size;
        let residual_sum = points.iter().map(|p| (p.1 - intercept - slope * p.0).powi(2)).sum::<f64>();
        let residual_deviation = (points.len() > 2).then(|| (residual_sum / (count - 2.0)).sqrt());
        Some(Line { slope, intercept, mean_size, size_square_sum, count, residual_deviation })
    }

    fn error_at(&self, size: f64) -> Option<f64> {
        let leverage = (size - self.mean_size).powi(2) / self.size_square_sum;
        self.residual_deviation.map(|s| s * (1.0 + 1.0 / self.count + leverage).sqrt())
    }
}
