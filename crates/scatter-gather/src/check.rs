//! What is wrong with a `[[gather]]` table, said with its key before anything runs.
use crate::policy::{Otherwise, Part, Policy, Suffices};
use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

/// The most parts of one gather.
pub const MOST_PARTS: usize = 64;

/// The most gathers of a configuration.
pub const MOST_GATHERS: usize = 1024;

const MOST_NAME: usize = 64;

/// What is wrong, and with which key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The key, as a path.
    pub key: String,
    /// What is wrong with it.
    pub reason: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.reason)
    }
}

impl std::error::Error for Fault {}

/// A class of the configuration, as far as a gather has to know it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Whether it writes; none where the file does not tell.
    pub write: Option<bool>,
    /// The time for which a client waits in all.
    pub deadline: Duration,
}

fn fault<T>(key: impl Into<String>, reason: impl Into<String>) -> Result<T, Fault> {
    Err(Fault { key: key.into(), reason: reason.into() })
}

fn piece(key: impl Into<String>, text: &str) -> Result<(), Fault> {
    match text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit()) {
        true => Ok(()),
        false => fault(key, "must be 16 hex digits"),
    }
}

fn name(key: impl Into<String>, text: &str) -> Result<(), Fault> {
    match text.is_empty() || text.len() > MOST_NAME || text.chars().any(char::is_control) {
        true => fault(key, format!("must have 1 to {MOST_NAME} characters that can be read")),
        false => Ok(()),
    }
}

/// Checks all gathers of a configuration, each alone and against the others.
pub fn check_all(gathers: &[Policy], wire_says_in_part: bool, classes: &[Class]) -> Result<(), Fault> {
    if gathers.len() > MOST_GATHERS {
        return fault("gather", format!("there are more than {MOST_GATHERS}"));
    }
    let mut names = BTreeSet::new();
    let mut pieces = BTreeSet::new();
    for (i, gather) in gathers.iter().enumerate() {
        let at = |f: Fault| Fault { key: format!("gather[{i}].{}", f.key), reason: f.reason };
        gather.check(wire_says_in_part, classes).map_err(at)?;
        if !names.insert(&gather.name) {
            return fault(format!("gather[{i}].name"), format!("{:?} is there twice", gather.name));
        }
        if !pieces.insert((&gather.volume, gather.piece.to_ascii_lowercase())) {
            return fault(format!("gather[{i}].piece"), "is another gather's piece of the same volume");
        }
    }
    // Guards against a gather that asks for itself, straight or through others, without end.
    for (i, gather) in gathers.iter().enumerate() {
        for (k, part) in gather.parts.iter().enumerate() {
            let Some(piece) = &part.piece else { continue };
            if pieces.contains(&(gather.volume_of(part), piece.to_ascii_lowercase())) {
                return fault(format!("gather[{i}].part[{k}].piece"), "is gathered itself; parts are not");
            }
        }
    }
    Ok(())
}

impl Policy {
    /// Checks one gather. `wire_says_in_part` is false where a wire that may ask for it (iSCSI) has no words for it.
    pub fn check(&self, wire_says_in_part: bool, classes: &[Class]) -> Result<(), Fault> {
        name("name", &self.name)?;
        piece("volume", &self.volume.0)?;
        piece("piece", &self.piece)?;
        self.check_class(classes)?;
        if self.parts.is_empty() {
            return fault("part", "the tier is empty: one part at least is needed");
        }
        if self.parts.len() > MOST_PARTS {
            return fault("part", format!("there are more than {MOST_PARTS}"));
        }
        for (i, part) in self.parts.iter().enumerate() {
            let at = |f: Fault| Fault { key: format!("part[{i}].{}", f.key), reason: f.reason };
            check_part(part).map_err(at)?;
            if self.parts[..i].iter().any(|p| p.name == part.name) {
                return fault(format!("part[{i}].name"), format!("{:?} is there twice", part.name));
            }
            if self.parts[..i].iter().any(|p| self.same(p, part)) {
                return fault(format!("part[{i}]"), "asks for the same as a part before it");
            }
        }
        self.check_suffices()?;
        if !(0.0..=1.0).contains(&self.remote_share) {
            return fault("remote_share", "must be from 0 to 1");
        }
        if !wire_says_in_part && self.suffices != Suffices::All {
            return fault("suffices", "must be \"all\": the wire has no words for a part-answer");
        }
        if !wire_says_in_part && self.otherwise == Otherwise::InPart {
            return fault("otherwise", "must be \"fail\": the wire has no words for a part-answer");
        }
        self.check_bytes()
    }

    fn same(&self, a: &Part, b: &Part) -> bool {
        let what = |p: &Part| (p.piece.as_ref().map(|x| x.to_ascii_lowercase()), p.blocks, p.shard);
        self.volume_of(a) == self.volume_of(b) && what(a) == what(b) && a.at == b.at
    }

    /// Guards bookings: a class counts as reading only where the file says so.
    fn check_class(&self, classes: &[Class]) -> Result<(), Fault> {
        let Some(class) = classes.iter().find(|c| *c.name == *self.class) else {
            return fault("class", format!("unknown class {:?}", self.class));
        };
        match class.write {
            Some(false) if self.way_back() < class.deadline => Ok(()),
            Some(false) => fault("way_back_ms", "must be below the class's deadline"),
            Some(true) => fault("class", format!("class {:?} writes; bookings never gather", self.class)),
            None => fault("class", format!("the file must say that class {:?} only reads", self.class)),
        }
    }

    fn check_suffices(&self) -> Result<(), Fault> {
        let Suffices::Needs(needs) = &self.suffices else { return Ok(()) };
        if needs.at_least.is_none() && needs.named.is_empty() && needs.each_hall.is_none() {
            return fault("suffices", "is empty: at_least, named or each_hall is needed, or \"all\"");
        }
        match needs.at_least {
            Some(0) => return fault("suffices.at_least", "must be above 0"),
            Some(n) if n > self.parts.len() => {
                return fault("suffices.at_least", format!("is {n} of {} parts", self.parts.len()))
            }
            _ => {}
        }
        for (i, named) in needs.named.iter().enumerate() {
            if !self.parts.iter().any(|p| p.name == *named) {
                return fault(format!("suffices.named[{i}]"), format!("{named:?} is not a part"));
            }
            if needs.named[..i].contains(named) {
                return fault(format!("suffices.named[{i}]"), format!("{named:?} is there twice"));
            }
        }
        match needs.each_hall {
            Some(share) if !(share > 0.0 && share <= 1.0) => {
                fault("suffices.each_hall", "must be above 0 and at most 1")
            }
            _ => Ok(()),
        }
    }

    fn check_bytes(&self) -> Result<(), Fault> {
        for i in 0..self.parts.len() {
            if self.bytes(i) == 0 {
                return fault(format!("part[{i}].bytes"), "must be above 0");
            }
        }
        if (0..self.parts.len()).all(|i| self.bytes(i) > self.most_bytes) {
            return fault("most_bytes", "no part fits in it");
        }
        let least = self.leanest().into_iter().map(|i| self.bytes(i)).fold(0, u64::saturating_add);
        if least > self.most_bytes {
            return fault("most_bytes", format!("what suffices has up to {least} bytes"));
        }
        Ok(())
    }
}

fn check_part(part: &Part) -> Result<(), Fault> {
    name("name", &part.name)?;
    name("hall", &part.hall.0)?;
    if let Some(volume) = &part.volume {
        piece("volume", &volume.0)?;
    }
    match (&part.piece, &part.blocks) {
        (Some(text), None) => piece("piece", text)?,
        (None, Some(blocks)) if blocks.is_empty() => return fault("blocks", "has no blocks"),
        (None, Some(_)) => {}
        _ => return fault("piece", "one of piece and blocks is needed, not both"),
    }
    match (part.shard, &part.at) {
        (Some(_), None) => Ok(()),
        (None, Some(id)) => name("box", &id.0),
        _ => fault("shard", "one of shard and box is needed, not both"),
    }
}
