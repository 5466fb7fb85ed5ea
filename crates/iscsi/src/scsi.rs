//! SCSI commands and sense data, as far as the front answers or sends them.
use crate::{BLOCK, LONGEST};

/// Statuses.
pub mod status {
    #![allow(missing_docs)]
    pub const GOOD: u8 = 0x00;
    pub const CHECK_CONDITION: u8 = 0x02;
    pub const BUSY: u8 = 0x08;
    pub const TASK_SET_FULL: u8 = 0x28;
}

/// Sense key, additional code and its qualifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sense(pub u8, pub u8, pub u8);

impl Sense {
    /// The command is not known.
    pub const NO_SUCH_COMMAND: Sense = Sense(0x05, 0x20, 0x00);
    /// A field of the command makes no sense.
    pub const BAD_FIELD: Sense = Sense(0x05, 0x24, 0x00);
    /// Beyond the last block.
    pub const OUT_OF_RANGE: Sense = Sense(0x05, 0x21, 0x00);
    /// No such LUN.
    pub const NO_SUCH_LUN: Sense = Sense(0x05, 0x25, 0x00);
    /// A read found no answer in time: aborted command, which initiators repeat.
    pub const READ_FAILED: Sense = Sense(0x0b, 0x08, 0x01);
    /// A write may have run: medium error, which initiators do not repeat by themselves.
    pub const WRITE_FAILED: Sense = Sense(0x03, 0x0c, 0x00);

    /// Fixed-format sense data.
    pub fn bytes(self) -> [u8; 18] {
        let mut sense = [0; 18];
        (sense[0], sense[2], sense[7], sense[12], sense[13]) = (0x70, self.0, 10, self.1, self.2);
        sense
    }
}

/// A command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// TEST UNIT READY.
    Ready,
    /// REQUEST SENSE.
    Sense,
    /// INQUIRY, with the page of vital product data if one is asked for.
    Inquiry(Option<u8>),
    /// MODE SENSE (6).
    ModeSense,
    /// READ CAPACITY (10).
    Capacity10,
    /// READ CAPACITY (16).
    Capacity16,
    /// REPORT LUNS.
    Luns,
    /// READ (10) or (16).
    Read(u64, u32),
    /// WRITE (10) or (16).
    Write(u64, u32),
}

/// Reads a command and the most bytes that it allows as an answer.
pub fn command(cdb: &[u8; 16]) -> Result<(Command, usize), Sense> {
    let word = |at: usize| u32::from_be_bytes([cdb[at], cdb[at + 1], cdb[at + 2], cdb[at + 3]]);
    let short = |at: usize| usize::from(u16::from_be_bytes([cdb[at], cdb[at + 1]]));
    let long = |at: usize| u64::from(word(at)) << 32 | u64::from(word(at + 4));
    Ok(match cdb[0] {
        0x00 => (Command::Ready, 0),
        0x03 => (Command::Sense, usize::from(cdb[4])),
        0x12 if cdb[1] & 1 == 1 => (Command::Inquiry(Some(cdb[2])), short(3)),
        0x12 if cdb[2] == 0 => (Command::Inquiry(None), short(3)),
        0x12 => return Err(Sense::BAD_FIELD),
        0x1a => (Command::ModeSense, usize::from(cdb[4])),
        0x25 => (Command::Capacity10, 8),
        0x9e if cdb[1] & 0x1f == 0x10 => (Command::Capacity16, word(10) as usize),
        0xa0 => (Command::Luns, word(6) as usize),
        0x28 => (Command::Read(u64::from(word(2)), short(7) as u32), LONGEST),
        0x88 => (Command::Read(long(2), word(10)), LONGEST),
        0x2a => (Command::Write(u64::from(word(2)), short(7) as u32), LONGEST),
        0x8a => (Command::Write(long(2), word(10)), LONGEST),
        _ => return Err(Sense::NO_SUCH_COMMAND),
    })
}

/// A READ or WRITE command; the short form where it is enough.
pub fn transfer(write: bool, lba: u64, blocks: u32) -> [u8; 16] {
    let mut cdb = [0; 16];
    match (u32::try_from(lba), u16::try_from(blocks)) {
        (Ok(lba), Ok(blocks)) => {
            cdb[0] = if write { 0x2a } else { 0x28 };
            cdb[2..6].copy_from_slice(&lba.to_be_bytes());
            cdb[7..9].copy_from_slice(&blocks.to_be_bytes());
        }
        _ => {
            cdb[0] = if write { 0x8a } else { 0x88 };
            cdb[2..10].copy_from_slice(&lba.to_be_bytes());
            cdb[10..14].copy_from_slice(&blocks.to_be_bytes());
        }
    }
    cdb
}

/// A logical unit, as far as it can be asked about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Disk {
    /// Its number.
    pub lun: u8,
    /// Its size.
    pub blocks: u64,
    /// Its serial number: the volume.
    pub serial: String,
}

fn inquiry() -> Vec<u8> {
    // A direct-access device that follows SPC-3, with command queueing.
    let mut data = vec![0x00, 0x00, 0x05, 0x02, 31, 0, 0, 0x02];
    data.extend_from_slice(b"LICHENRDYARD VOLUME     0001");
    data
}

fn vital(page: u8, disk: &Disk) -> Result<Vec<u8>, Sense> {
    let body: Vec<u8> = match page {
        0x00 => vec![0x00, 0x80, 0x83, 0xb0],
        0x80 => disk.serial.clone().into_bytes(),
        0x83 => {
            // A T10 vendor identification that names the volume.
            let name = [b"LICHENRD".as_slice(), disk.serial.as_bytes()].concat();
            [&[0x02, 0x01, 0x00, name.len() as u8], name.as_slice()].concat()
        }
        0xb0 => {
            let mut limits = vec![0; 60];
            limits[4..8].copy_from_slice(&((LONGEST / BLOCK) as u32).to_be_bytes());
            limits
        }
        _ => return Err(Sense::BAD_FIELD),
    };
    Ok([&[0x00, page, 0x00, body.len() as u8], body.as_slice()].concat())
}

/// The answer to a command that needs no disk box; none for reads and writes.
pub fn local(command: Command, disk: Option<&Disk>, all: &[Disk]) -> Result<Option<Vec<u8>>, Sense> {
    let last = |d: &Disk| d.blocks.saturating_sub(1);
    Ok(Some(match (command, disk) {
        (Command::Luns, _) => {
            let mut data = ((all.len() * 8) as u32).to_be_bytes().to_vec();
            data.extend_from_slice(&[0; 4]);
            all.iter().for_each(|d| data.extend_from_slice(&[0, d.lun, 0, 0, 0, 0, 0, 0]));
            data
        }
        (Command::Sense, None) => Sense::NO_SUCH_LUN.bytes().to_vec(),
        (Command::Inquiry(None), None) => {
            let mut data = inquiry();
            data[0] = 0x7f;
            data
        }
        (_, None) => return Err(Sense::NO_SUCH_LUN),
        (Command::Ready, _) => vec![],
        (Command::Sense, _) => Sense(0, 0, 0).bytes().to_vec(),
        (Command::Inquiry(None), _) => inquiry(),
        (Command::Inquiry(Some(page)), Some(disk)) => vital(page, disk)?,
        (Command::ModeSense, _) => vec![3, 0, 0, 0],
        (Command::Capacity10, Some(disk)) => {
            let last = u32::try_from(last(disk)).unwrap_or(u32::MAX);
            [last.to_be_bytes(), (BLOCK as u32).to_be_bytes()].concat()
        }
        (Command::Capacity16, Some(disk)) => {
            let mut data = last(disk).to_be_bytes().to_vec();
            data.extend_from_slice(&(BLOCK as u32).to_be_bytes());
            data.resize(32, 0);
            data
        }
        (Command::Read(lba, blocks) | Command::Write(lba, blocks), Some(disk)) => {
            if lba.checked_add(u64::from(blocks)).is_none_or(|end| end > disk.blocks) {
                return Err(Sense::OUT_OF_RANGE);
            }
            if blocks as usize > LONGEST / BLOCK {
                return Err(Sense::BAD_FIELD);
            }
            return Ok(None);
        }
    }))
}
