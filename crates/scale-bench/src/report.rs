//! What a measurement gave, as it is written down.
use crate::machine::Machine;
use crate::slope::{slope, Slope};
use crate::Error;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// One measurement at one size under one seed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Play {
    /// The size.
    pub size: u64,
    /// What besides the size was varied.
    pub variant: String,
    /// Which play of its size it is, from 0.
    pub play: u32,
    /// Its seed.
    pub seed: u64,
    /// Whether it came to its end, and to what it was to show.
    pub whole: bool,
    /// What is to be known of it; why, where it is not whole.
    pub notes: Vec<String>,
    /// All figures, by name; the unit is the name's last word.
    pub figures: BTreeMap<String, f64>,
}

impl Play {
    /// A play that has no figures yet.
    pub fn new(variant: impl Into<String>, (size, play, seed): (u64, u32, u64)) -> Play {
        let (variant, notes, figures) = (variant.into(), Vec::new(), BTreeMap::new());
        Play { size, variant, play, seed, whole: true, notes, figures }
    }

    /// Adds a figure.
    pub fn put(&mut self, name: &str, value: f64) {
        self.figures.insert(name.into(), value);
    }

    /// A figure.
    pub fn figure(&self, name: &str) -> Option<f64> {
        self.figures.get(name).copied()
    }

    /// Says that it did not come to its end.
    pub fn partial(&mut self, why: impl Into<String>) {
        let why = why.into();
        tracing::warn!(size = self.size, variant = %self.variant, play = self.play, why, "not whole");
        self.whole = false;
        self.notes.push(why);
    }

    /// Tells of it in the log of this tool.
    pub fn done(self) -> Play {
        tracing::info!(size = self.size, variant = %self.variant, play = self.play, whole = self.whole, "played");
        self
    }
}

/// The line through one figure of one variant.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Fitted {
    /// The variant.
    pub variant: String,
    /// The figure.
    pub figure: String,
    /// The line; none where it can't be drawn.
    pub line: Option<Slope>,
    /// Why not.
    pub error: Option<String>,
}

/// All that a measurement gave.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The sub-command.
    pub measurement: String,
    /// The whole command line, with the program's name alone.
    pub command: Vec<String>,
    /// The version that was measured.
    pub version: String,
    /// The first play's seed.
    pub seed: u64,
    /// The machine.
    pub machine: Machine,
    /// Every play.
    pub plays: Vec<Play>,
    /// The lines through the plays that are whole.
    pub fitted: Vec<Fitted>,
}

impl Report {
    /// Puts plays together with the lines through them.
    pub fn new(measurement: &str, version: &str, seed: u64, plays: Vec<Play>, at: &[u64]) -> Report {
        let mut command: Vec<String> = std::env::args().collect();
        if let Some(program) = command.first_mut() {
            let name = Path::new(program.as_str()).file_name().map(|n| n.to_string_lossy().into_owned());
            *program = name.unwrap_or_default();
        }
        let fitted = fit(&plays, at);
        let (measurement, version) = (measurement.into(), version.into());
        Report { measurement, command, version, seed, machine: Machine::look(), plays, fitted }
    }

    /// Writes it as JSON.
    pub fn write(&self, path: &Path) -> Result<(), Error> {
        let text = serde_json::to_string_pretty(self).map_err(|e| Error::part("report", e))?;
        std::fs::write(path, text + "\n").map_err(Error::io(path))
    }
}

fn fit(plays: &[Play], at: &[u64]) -> Vec<Fitted> {
    let at: Vec<f64> = at.iter().map(|size| *size as f64).collect();
    let names: BTreeSet<(&str, &str)> =
        plays.iter().flat_map(|p| p.figures.keys().map(|f| (p.variant.as_str(), f.as_str()))).collect();
    let line = |(variant, figure): (&str, &str)| {
        let of = plays.iter().filter(|p| p.whole && p.variant == variant);
        let points: Vec<_> = of.filter_map(|p| Some((p.size as f64, p.figure(figure)?))).collect();
        let (line, error) = match slope(&points, &at) {
            Ok(line) => (Some(line), None),
            Err(e) => (None, Some(e.to_string())),
        };
        Fitted { variant: variant.into(), figure: figure.into(), line, error }
    };
    names.into_iter().map(line).collect()
}
