//! The report of a measurement.
use crate::line_fit::{fit_line, LineFit};
use crate::machine::Machine;
use crate::Error;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// One measurement at one size under one seed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Run {
    /// Its size.
    pub size: u64,
    /// The parameter varied besides the size.
    pub variant: String,
    /// The index among the runs of its size, from 0.
    #[serde(rename = "play")]
    pub index: u32,
    /// Its seed.
    pub seed: u64,
    /// Whether it ran to its end and produced all its figures.
    #[serde(rename = "whole")]
    pub is_complete: bool,
    /// Remarks, with the reason if the run is incomplete.
    pub notes: Vec<String>,
    /// All figures, by name; the unit is the name's last word.
    pub figures: BTreeMap<String, f64>,
}

impl Run {
    /// A run that has no figures yet.
    pub fn new(variant: impl Into<String>, (size, index, seed): (u64, u32, u64)) -> Run {
        let (variant, notes, figures) = (variant.into(), Vec::new(), BTreeMap::new());
        Run { size, variant, index, seed, is_complete: true, notes, figures }
    }

    /// Adds a figure.
    pub fn record(&mut self, name: &str, value: f64) {
        self.figures.insert(name.into(), value);
    }

    /// A figure.
    pub fn figure(&self, name: &str) -> Option<f64> {
        self.figures.get(name).copied()
    }

    /// Marks it as incomplete.
    pub fn mark_incomplete(&mut self, reason: impl Into<String>) {
        let reason = reason.into();
        tracing::warn!(
            size = self.size,
            variant = %self.variant,
            play = self.index,
            why = reason,
            "run is incomplete"
        );
        self.is_complete = false;
        self.notes.push(reason);
    }

    /// Logs the end of the run.
    pub fn log_finished(self) -> Run {
        tracing::info!(
            size = self.size,
            variant = %self.variant,
            play = self.index,
            whole = self.is_complete,
            "run finished"
        );
        self
    }
}

/// The line through one figure of one variant.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FigureFit {
    /// The variant.
    pub variant: String,
    /// The figure.
    pub figure: String,
    /// The line; none where no line can be fitted.
    pub line: Option<LineFit>,
    /// The reason why no line was fitted.
    pub error: Option<String>,
}

/// The results of a measurement.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The subcommand.
    pub measurement: String,
    /// The whole command line, with the program's path reduced to its name.
    pub command: Vec<String>,
    /// The version that was measured.
    pub version: String,
    /// The first run's seed.
    pub seed: u64,
    /// The machine.
    pub machine: Machine,
    /// Every run.
    #[serde(rename = "plays")]
    pub runs: Vec<Run>,
    /// The lines through the complete runs.
    #[serde(rename = "fitted")]
    pub fits: Vec<FigureFit>,
}

impl Report {
    /// Builds the report and fits the lines.
    pub fn new(
        measurement: &str,
        version: &str,
        seed: u64,
        runs: Vec<Run>,
        predicted_sizes: &[u64],
    ) -> Report {
        let mut command: Vec<String> = std::env::args().collect();
        if let Some(program) = command.first_mut() {
            let name = Path::new(program.as_str()).file_name().map(|n| n.to_string_lossy().into_owned());
            *program = name.unwrap_or_default();
        }
        let fits = fit_figures(&runs, predicted_sizes);
        let (measurement, version) = (measurement.into(), version.into());
        Report { measurement, command, version, seed, machine: Machine::detect(), runs, fits }
    }

    /// Writes it as JSON.
    pub fn write(&self, path: &Path) -> Result<(), Error> {
        let text = serde_json::to_string_pretty(self).map_err(|e| Error::component("report", e))?;
        std::fs::write(path, text + "\n").map_err(Error::io(path))
    }
}

fn fit_figures(runs: &[Run], predicted_sizes: &[u64]) -> Vec<FigureFit> {
    let predicted_sizes: Vec<f64> = predicted_sizes.iter().map(|size| *size as f64).collect();
    let names: BTreeSet<(&str, &str)> =
        runs.iter().flat_map(|run| run.figures.keys().map(|f| (run.variant.as_str(), f.as_str()))).collect();
    let line = |(variant, figure): (&str, &str)| {
        let complete = runs.iter().filter(|run| run.is_complete && run.variant == variant);
        let points: Vec<_> =
            complete.filter_map(|run| Some((run.size as f64, run.figure(figure)?))).collect();
        let (line, error) = match fit_line(&points, &predicted_sizes) {
            Ok(line) => (Some(line), None),
            Err(e) => (None, Some(e.to_string())),
        };
        FigureFit { variant: variant.into(), figure: figure.into(), line, error }
    };
    names.into_iter().map(line).collect()
}
