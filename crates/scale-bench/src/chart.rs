//! Charts of figures over sizes.
use crate::{Error, Report};
use plotters::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// Width and height of a panel in pixels.
const PANEL_SIZE_PX: (u32, u32) = (560, 320);
/// Panels in a row.
const PANELS_PER_ROW: usize = 2;
/// Colours of variants, in their order.
const SERIES_COLOURS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 95, 14),
    RGBColor(44, 140, 44),
    RGBColor(148, 60, 160),
    RGBColor(120, 86, 75),
    RGBColor(90, 90, 90),
];

type Points = Vec<(f64, f64)>;

/// Draws a panel for each of these figures: all runs as points, a line through the means of each size.
pub fn draw(report: &Report, figures: &[&str], path: &Path) -> Result<(), Error> {
    let figures: Vec<&str> = figures
        .iter()
        .copied()
        .filter(|f| report.runs.iter().any(|run| run.figures.contains_key(*f)))
        .collect();
    let rows = figures.len().div_ceil(PANELS_PER_ROW).max(1);
    let size = (PANEL_SIZE_PX.0 * PANELS_PER_ROW as u32, PANEL_SIZE_PX.1 * rows as u32 + 40);
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, size).into_drawing_area();
        area.fill(&WHITE).map_err(chart_error)?;
        let title = format!("{} ({}), seed {}", report.measurement, report.version, report.seed);
        let area = area.titled(&title, ("sans-serif", 20)).map_err(chart_error)?;
        for (figure, panel) in figures.iter().zip(area.split_evenly((rows, PANELS_PER_ROW))) {
            draw_panel(report, figure, &panel)?;
        }
        area.present().map_err(chart_error)?;
    }
    std::fs::write(path, text).map_err(Error::io(path))
}

fn chart_error(e: impl std::fmt::Display) -> Error {
    Error::component("chart", e)
}

fn draw_panel(
    report: &Report,
    figure: &str,
    panel: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
) -> Result<(), Error> {
    let mut series: BTreeMap<&str, Points> = BTreeMap::new();
    for run in &report.runs {
        if let Some(value) = run.figure(figure) {
            series.entry(run.variant.as_str()).or_default().push((run.size as f64, value));
        }
    }
    let axis_max = |coordinate: fn(&(f64, f64)) -> f64| {
        let values = series.values().flatten().map(coordinate);
        values.fold(0.0_f64, f64::max).max(1e-9) * 1.05
    };
    let mut chart = ChartBuilder::on(panel)
        .caption(figure, ("sans-serif", 15))
        .margin(10)
        .x_label_area_size(28)
        .y_label_area_size(72)
        .build_cartesian_2d(0.0..axis_max(|p| p.0), 0.0..axis_max(|p| p.1))
        .map_err(chart_error)?;
    chart.configure_mesh().x_desc("size").max_light_lines(1).draw().map_err(chart_error)?;
    for (n, (variant, points)) in series.iter().enumerate() {
        let colour = SERIES_COLOURS[n % SERIES_COLOURS.len()];
        let line = chart.draw_series(LineSeries::new(size_means(points), &colour)).map_err(chart_error)?;
        if !variant.is_empty() {
            line.label(*variant).legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour));
        }
        let dots = points.iter().map(|p| Circle::new(*p, 3, colour.filled()));
        chart.draw_series(dots).map_err(chart_error)?;
    }
    if series.keys().any(|variant| !variant.is_empty()) {
        let labels = chart.configure_series_labels().position(SeriesLabelPosition::UpperLeft).draw();
        labels.map_err(chart_error)?;
    }
    Ok(())
}

/// Returns the mean at each size.
fn size_means(points: &Points) -> Points {
    let sizes: BTreeSet<u64> = points.iter().map(|p| p.0 as u64).collect();
    let mean = |size: u64| {
        let values: Vec<f64> = points.iter().filter(|p| p.0 as u64 == size).map(|p| p.1).collect();
        (size as f64, values.iter().sum::<f64>() / values.len().max(1) as f64)
    };
    sizes.into_iter().map(mean).collect()
}
