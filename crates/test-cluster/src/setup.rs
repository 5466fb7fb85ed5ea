//! What a rig is made of, and where everything in it listens.
use crate::boxes::Speaks;
use crate::ports::Site;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The file that fronts get where the caller gives no other: RESP2 clients, operators, discovery.
pub const BASE: &str = include_str!("base.toml");

/// What a rig is made of. Fronts and boxes stand in the halls in turn.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The program.
    pub program: PathBuf,
    /// How many fronts: at most 40.
    pub fronts: usize,
    /// How many boxes: at most 40.
    pub boxes: usize,
    /// The halls.
    pub halls: Vec<String>,
    /// How many shards: box `n` holds shard `n / (boxes / cells)`, so that boxes of one shard stand in different halls.
    pub cells: usize,
    /// Whether boxes of one shard share what they hold.
    pub share: bool,
    /// How boxes are spoken to; RESP2 where none is named for a box.
    pub speaks: BTreeMap<usize, Speaks>,
    /// For boxes that speak iSCSI: LUN, volume and blocks of each unit.
    pub units: Vec<(u8, String, u64)>,
    /// Each front's file, with placeholders (see [`Setup::values`]).
    pub text: String,
    /// Values for further placeholders.
    pub more: BTreeMap<String, String>,
    /// What everything that is drawn comes from.
    pub seed: u64,
}

impl Setup {
    /// Five fronts and eight boxes in two halls; each shard is held in both.
    pub fn usual(program: &Path, seed: u64) -> Setup {
        Setup {
            program: program.into(),
            fronts: 5,
            boxes: 8,
            halls: vec!["hall-a".into(), "hall-b".into()],
            cells: 4,
            share: true,
            speaks: BTreeMap::new(),
            units: vec![],
            text: BASE.into(),
            more: BTreeMap::new(),
            seed,
        }
    }

    /// The same with sections added to each front's file.
    pub fn with(mut self, sections: &str) -> Setup {
        self.text = format!("{}\n{sections}", self.text);
        self
    }

    /// A front's name.
    pub fn front(n: usize) -> String {
        format!("front-{n}")
    }

    /// A box's name.
    pub fn place(n: usize) -> String {
        format!("box-{n}")
    }

    /// The shard that a box holds.
    pub fn cell(&self, n: usize) -> usize {
        n / (self.boxes / self.cells.max(1)).max(1)
    }

    /// The hall of a front or box.
    pub fn hall(&self, n: usize) -> String {
        self.halls.get(n % self.halls.len().max(1)).cloned().unwrap_or_default()
    }

    /// Names of all fronts.
    pub fn all_fronts(&self) -> Vec<String> {
        (0..self.fronts).map(Setup::front).collect()
    }

    /// Names of all boxes.
    pub fn all_boxes(&self) -> Vec<String> {
        (0..self.boxes).map(Setup::place).collect()
    }

    /// What stands for the placeholders in front `n`'s file: `NAME`, `LISTEN`, `ADMIN`, `AGENT`, `HEALTH`, `ISCSI`, `DISCOVERY`,
    /// `STATE` (its folder), `UDP` and `TCP` (its own addresses for other fronts), `UDP.front-N` and `TCP.front-N` (where it reaches the
    /// others, and its own; one port for both), `HALL`, `HALLS`, `FRONTS` (their number), `SEED`, and the caller's.
    pub fn values(&self, site: &Site, n: usize, folder: &Path) -> BTreeMap<String, String> {
        let mut values = self.more.clone();
        let mut put = |key: &str, value: String| drop(values.insert(key.into(), value));
        let halls: Vec<String> = self.halls.iter().map(|h| format!("{h:?}")).collect();
        put("NAME", Setup::front(n));
        put("SEED", format!("{:x}", self.seed.wrapping_add(n as u64)));
        put("FRONTS", self.fronts.to_string());
        put("HALL", self.hall(n));
        put("HALLS", halls.join(", "));
        put("STATE", folder.join(format!("{}-state", Setup::front(n))).display().to_string());
        put("DISCOVERY", view(site, n, 8500).to_string());
        let own = [
            ("LISTEN", 6379),
            ("AGENT", 6380),
            ("HEALTH", 6381),
            ("ADMIN", 6382),
            ("ISCSI", 3260),
            ("UDP", UDP),
            ("TCP", TCP),
        ];
        own.iter().for_each(|(key, port)| put(key, own_address(site, n, *port).to_string()));
        for key in ["UDP", "TCP"] {
            put(&format!("{key}.{}", Setup::front(n)), own_address(site, n, UDP).to_string());
        }
        for other in (0..self.fronts).filter(|o| *o != n) {
            put(&format!("UDP.{}", Setup::front(other)), view(site, n, UDP + 1 + other as u16).to_string());
            put(&format!("TCP.{}", Setup::front(other)), view(site, n, TCP + 1 + other as u16).to_string());
        }
        values
    }
}

/// Where fronts listen for each other; the ports after these are where they reach each other.
pub(crate) const UDP: u16 = 7000;
/// The same: a front that has one address for both is reached by both there.
pub(crate) const TCP: u16 = UDP;
/// The first port at which a front reaches boxes.
pub(crate) const BOXES: u16 = 6400;

/// An address of a front's own.
pub(crate) fn own_address(site: &Site, n: usize, port: u16) -> SocketAddr {
    site.at(1 + n as u8, port)
}

/// Where a front reaches others: the near end of a link.
pub(crate) fn view(site: &Site, n: usize, port: u16) -> SocketAddr {
    site.at(50 + n as u8, port)
}

/// A box's door for a front.
pub(crate) fn door(site: &Site, place: usize, front: usize) -> SocketAddr {
    site.at(100 + place as u8, BOXES + front as u16)
}

/// Discovery's door for a front.
pub(crate) fn discovery_door(site: &Site, front: usize) -> SocketAddr {
    site.at(200, 8500 + front as u16)
}
