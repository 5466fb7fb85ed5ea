//! A line through what was measured, and what it says of other sizes.
use crate::Error;
use serde::Serialize;

/// The figures of one size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Spread {
    /// The size.
    pub size: f64,
    /// How many plays there are.
    pub plays: usize,
    /// The least of them.
    pub min: f64,
    /// Their mean.
    pub mean: f64,
    /// The greatest.
    pub max: f64,
}

/// What the line says of a size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Reach {
    /// The size.
    pub size: f64,
    /// The figure on the line.
    pub figure: f64,
    /// The standard error of one play there; none with two points.
    pub error: Option<f64>,
    /// Whether the size lies beyond those that were measured.
    pub beyond: bool,
}

/// A line by least squares.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Slope {
    /// What each unit of size adds.
    pub slope: f64,
    /// The standard error of that; none with two points.
    pub slope_error: Option<f64>,
    /// Where the line begins.
    pub intercept: f64,
    /// The standard deviation of the plays round the line; none with two points.
    pub spread: Option<f64>,
    /// The slope of the upper half of the sizes over that of the lower half: 1 where nothing bends, none with two sizes or
    /// where the lower half is level.
    pub bend: Option<f64>,
    /// The power of the size with which the means grow over the upper half of the sizes: 1 where the figure grows with the
    /// size, 2 with its square; none where a mean or size is not above zero. Where it is far from 1 the line says nothing
    /// of sizes beyond.
    pub power: Option<f64>,
    /// The figures of each size.
    pub sizes: Vec<Spread>,
    /// What the line says of the sizes asked for.
    pub at: Vec<Reach>,
}

/// Fits a line through (size, figure) of all plays, and says what it comes to at other sizes.
pub fn slope(points: &[(f64, f64)], at: &[f64]) -> Result<Slope, Error> {
    if points.iter().any(|(x, y)| !x.is_finite() || !y.is_finite()) {
        return Err(Error::NotFinite);
    }
    let mut sorted = points.to_vec();
    sorted.sort_by(|one, other| one.0.total_cmp(&other.0));
    let sizes: Vec<Spread> = sorted.chunk_by(|one, other| one.0 == other.0).map(spread).collect();
    let line = Line::fit(&sorted).ok_or(Error::TooFewSizes(sizes.len()))?;
    let halves = sizes.len().div_ceil(2);
    let bend = (sizes.len() > 2).then(|| {
        let (low, high) = (sizes[halves - 1].size, sizes[sizes.len() - halves].size);
        let lower: Vec<_> = sorted.iter().copied().filter(|p| p.0 <= low).collect();
        let upper: Vec<_> = sorted.iter().copied().filter(|p| p.0 >= high).collect();
        let (lower, upper) = (Line::fit(&lower)?.slope, Line::fit(&upper)?.slope);
        Some(upper / lower).filter(|ratio| ratio.is_finite())
    });
    let upper = sizes[sizes.len() - halves..].iter().map(|s| (s.size.ln(), s.mean.ln()));
    let logarithms: Vec<_> = upper.collect();
    let power =
        logarithms.iter().all(|(x, y)| x.is_finite() && y.is_finite()).then(|| Line::fit(&logarithms));
    let most = sizes.last().map_or(0.0, |s| s.size);
    let reach = |size: &f64| Reach {
        size: *size,
        figure: line.intercept + line.slope * size,
        error: line.error_at(*size),
        beyond: *size > most,
    };
    Ok(Slope {
        slope: line.slope,
        slope_error: line.spread.map(|s| s / line.squares.sqrt()),
        intercept: line.intercept,
        spread: line.spread,
        bend: bend.flatten(),
        power: power.flatten().map(|line| line.slope),
        at: at.iter().map(reach).collect(),
        sizes,
    })
}

fn spread(points: &[(f64, f64)]) -> Spread {
    let figures = || points.iter().map(|p| p.1);
    Spread {
        size: points.first().map_or(0.0, |p| p.0),
        plays: points.len(),
        min: figures().fold(f64::INFINITY, f64::min),
        mean: figures().sum::<f64>() / points.len() as f64,
        max: figures().fold(f64::NEG_INFINITY, f64::max),
    }
}

struct Line {
    slope: f64,
    intercept: f64,
    /// The mean of the sizes, and the sum of the squares of what they are off it.
    middle: f64,
    squares: f64,
    count: f64,
    spread: Option<f64>,
}

impl Line {
    /// None where there are not two sizes.
    fn fit(points: &[(f64, f64)]) -> Option<Line> {
        let count = points.len() as f64;
        let middle = points.iter().map(|p| p.0).sum::<f64>() / count;
        let mean = points.iter().map(|p| p.1).sum::<f64>() / count;
        let squares = points.iter().map(|p| (p.0 - middle).powi(2)).sum::<f64>();
        if points.is_empty() || squares <= 0.0 {
            return None;
        }
        let slope = points.iter().map(|p| (p.0 - middle) * (p.1 - mean)).sum::<f64>() / squares;
        let intercept = mean - slope * middle;
        let off = points.iter().map(|p| (p.1 - intercept - slope * p.0).powi(2)).sum::<f64>();
        let spread = (points.len() > 2).then(|| (off / (count - 2.0)).sqrt());
        Some(Line { slope, intercept, middle, squares, count, spread })
    }

    fn error_at(&self, size: f64) -> Option<f64> {
        let off = (size - self.middle).powi(2) / self.squares;
        self.spread.map(|s| s * (1.0 + 1.0 / self.count + off).sqrt())
    }
}
