//! Maps named pieces of volumes to blocks. A piece that the file does not map is not under placement.
use super::error::{PlanError, PlanProblem};
use super::file::{parse_blocks, parse_volume};
use cluster_types::{BlockRange, Volume};
use serde::Deserialize;
use std::collections::BTreeMap;
use toml::Value;

/// The maximum number of pieces that a file may map.
const MAX_PIECES: usize = 1_000_000;

/// The pieces of all volumes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PieceMap {
    pieces: BTreeMap<Volume, BTreeMap<String, BlockRange>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PieceFile {
    #[serde(default)]
    piece: Vec<PieceSection>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PieceSection {
    volume: Value,
    name: String,
    blocks: Value,
}

impl PieceMap {
    /// Reads `[[piece]]` sections with `volume`, `name` and `blocks`.
    ///
    /// # Errors
    ///
    /// Returns the first key that is missing, unknown or malformed, or whose piece overlaps another one or repeats its
    /// name.
    pub fn read(text: &str) -> Result<PieceMap, PlanError> {
        let syntax_error = |error: toml::de::Error| PlanProblem::Syntax(error.message().to_string());
        let file: PieceFile =
            toml::from_str(text).map_err(|error| PlanError::new("piece", syntax_error(error)))?;
        if file.piece.len() > MAX_PIECES {
            return Err(PlanError::new("piece", PlanProblem::TooManyPieces(MAX_PIECES)));
        }
        let mut map = PieceMap::default();
        let mut mapped: BTreeMap<Volume, BTreeMap<u64, u64>> = BTreeMap::new();
        for (number, section) in file.piece.into_iter().enumerate() {
            let volume = parse_volume(&format!("piece[{number}].volume"), &section.volume)?;
            let blocks = parse_blocks(&format!("piece[{number}].blocks"), &section.blocks)?;
            let ends = mapped.entry(volume.clone()).or_default();
            if ends.range(..blocks.end).next_back().is_some_and(|(_, end)| *end > blocks.first) {
                let problem = PlanProblem::OverlappingPiece { blocks, volume };
                return Err(PlanError::new(format!("piece[{number}].blocks"), problem));
            }
            ends.insert(blocks.first, blocks.end);
            let pieces = map.pieces.entry(volume).or_default();
            if pieces.insert(section.name.clone(), blocks).is_some() {
                let problem = PlanProblem::NamedTwice(section.name);
                return Err(PlanError::new(format!("piece[{number}].name"), problem));
            }
        }
        Ok(map)
    }

    /// The blocks of a piece.
    pub fn find(&self, volume: &Volume, piece: &str) -> Option<BlockRange> {
        self.pieces.get(volume)?.get(piece).copied()
    }

    /// The pieces that overlap a range.
    pub fn within<'a>(
        &'a self,
        volume: &Volume,
        range: BlockRange,
    ) -> impl Iterator<Item = (&'a str, BlockRange)> + 'a {
        let pieces = self.pieces.get(volume).into_iter().flatten();
        let overlapping = pieces.filter(move |(_, blocks)| range.overlaps(blocks));
        overlapping.map(|(name, blocks)| (name.as_str(), *blocks))
    }
}
