//! Which blocks a piece stands for, where a file maps them. A piece that it does not map is not under placement.
use crate::plan::{blocks, volume, Fault};
use cluster_types::{BlockRange, Volume};
use serde::Deserialize;
use std::collections::BTreeMap;
use toml::Value;

/// So many pieces a file may map.
const PIECES: usize = 1_000_000;

/// The map.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pieces {
    map: BTreeMap<Volume, BTreeMap<String, BlockRange>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(default)]
    piece: Vec<Raw>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    volume: Value,
    name: String,
    blocks: Value,
}

impl Pieces {
    /// Reads `[[piece]]` sections with `volume`, `name` and `blocks`. No two pieces of a volume may overlap.
    pub fn read(file: &str) -> Result<Pieces, Fault> {
        let file: File = toml::from_str(file).map_err(|e| Fault::new("piece", e.message()))?;
        if file.piece.len() > PIECES {
            return Err(Fault::new("piece", format!("maps more than {PIECES} pieces")));
        }
        let mut pieces = Pieces::default();
        let mut ends: BTreeMap<Volume, BTreeMap<u64, u64>> = BTreeMap::new();
        for (i, raw) in file.piece.into_iter().enumerate() {
            let of = volume(&format!("piece[{i}].volume"), &raw.volume)?;
            let at = blocks(&format!("piece[{i}].blocks"), &raw.blocks)?;
            let taken = ends.entry(of.clone()).or_default();
            if taken.range(..at.end).next_back().is_some_and(|(_, end)| *end > at.first) {
                let reason = format!("{at} of {of} overlaps with another piece");
                return Err(Fault::new(format!("piece[{i}].blocks"), reason));
            }
            taken.insert(at.first, at.end);
            if pieces.map.entry(of).or_default().insert(raw.name.clone(), at).is_some() {
                return Err(Fault::new(format!("piece[{i}].name"), format!("{} is named twice", raw.name)));
            }
        }
        Ok(pieces)
    }

    /// The blocks of a piece.
    pub fn find(&self, volume: &Volume, piece: &str) -> Option<BlockRange> {
        self.map.get(volume)?.get(piece).copied()
    }

    /// The pieces within a range, for who copies it piece by piece.
    pub fn within<'a>(
        &'a self,
        volume: &Volume,
        range: BlockRange,
    ) -> impl Iterator<Item = (&'a str, BlockRange)> + 'a {
        let all = self.map.get(volume).into_iter().flatten();
        all.filter(move |(_, b)| range.overlaps(b)).map(|(name, b)| (name.as_str(), *b))
    }
}
