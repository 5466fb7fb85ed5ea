//! SCSI commands (SPC-3, SBC-3) and sense data, limited to those that this target answers or this initiator sends.
mod sense;
pub mod status;

pub use sense::Sense;

use crate::{BLOCK_BYTES, MAX_DATA_BYTES};

/// Page codes of vital product data.
const SUPPORTED_PAGES: u8 = 0x00;
const UNIT_SERIAL_NUMBER: u8 = 0x80;
const DEVICE_IDENTIFICATION: u8 = 0x83;
const BLOCK_LIMITS: u8 = 0xb0;
/// The service action READ CAPACITY (16) of SERVICE ACTION IN (16).
const READ_CAPACITY_16: u8 = 0x10;
/// The peripheral qualifier and type of a LUN without a device.
const NO_DEVICE: u8 = 0x7f;

/// Operation codes.
mod operation {
    pub const TEST_UNIT_READY: u8 = 0x00;
    pub const REQUEST_SENSE: u8 = 0x03;
    pub const INQUIRY: u8 = 0x12;
    pub const MODE_SENSE_6: u8 = 0x1a;
    pub const READ_CAPACITY_10: u8 = 0x25;
    pub const READ_10: u8 = 0x28;
    pub const WRITE_10: u8 = 0x2a;
    pub const READ_16: u8 = 0x88;
    pub const WRITE_16: u8 = 0x8a;
    pub const SERVICE_ACTION_IN_16: u8 = 0x9e;
    pub const REPORT_LUNS: u8 = 0xa0;
}

/// A command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// TEST UNIT READY.
    TestUnitReady,
    /// REQUEST SENSE.
    RequestSense,
    /// INQUIRY, with the requested page of vital product data, if any.
    Inquiry(Option<u8>),
    /// MODE SENSE (6).
    ModeSense,
    /// READ CAPACITY (10).
    ReadCapacity10,
    /// READ CAPACITY (16).
    ReadCapacity16,
    /// REPORT LUNS.
    ReportLuns,
    /// READ (10) or (16).
    Read {
        /// The first block.
        lba: u64,
        /// The number of blocks.
        blocks: u32,
    },
    /// WRITE (10) or (16).
    Write {
        /// The first block.
        lba: u64,
        /// The number of blocks.
        blocks: u32,
    },
}

/// Parses a command descriptor block; returns the command and its allocation length, the maximum size of the answer in bytes.
///
/// # Errors
/// The sense to report if the command or one of its fields is not supported.
pub fn parse_command(cdb: &[u8; 16]) -> Result<(Command, usize), Sense> {
    let u16_at = |at: usize| u16::from_be_bytes([cdb[at], cdb[at + 1]]);
    let u32_at = |at: usize| u32::from_be_bytes([cdb[at], cdb[at + 1], cdb[at + 2], cdb[at + 3]]);
    let u64_at = |at: usize| u64::from(u32_at(at)) << 32 | u64::from(u32_at(at + 4));
    let (lba_10, blocks_10) = (u64::from(u32_at(2)), u32::from(u16_at(7)));
    let (lba_16, blocks_16) = (u64_at(2), u32_at(10));
    let (inquiry_has_page, service_action) = (cdb[1] & 1 == 1, cdb[1] & 0x1f);
    Ok(match cdb[0] {
        operation::TEST_UNIT_READY => (Command::TestUnitReady, 0),
        operation::REQUEST_SENSE => (Command::RequestSense, usize::from(cdb[4])),
        operation::INQUIRY if inquiry_has_page => (Command::Inquiry(Some(cdb[2])), u16_at(3).into()),
        operation::INQUIRY if cdb[2] == 0 => (Command::Inquiry(None), u16_at(3).into()),
        operation::INQUIRY => return Err(Sense::INVALID_FIELD),
        operation::MODE_SENSE_6 => (Command::ModeSense, usize::from(cdb[4])),
        operation::READ_CAPACITY_10 => (Command::ReadCapacity10, 8),
        operation::SERVICE_ACTION_IN_16 if service_action == READ_CAPACITY_16 => {
            (Command::ReadCapacity16, u32_at(10) as usize)
        }
        operation::REPORT_LUNS => (Command::ReportLuns, u32_at(6) as usize),
        operation::READ_10 => (Command::Read { lba: lba_10, blocks: blocks_10 }, MAX_DATA_BYTES),
        operation::READ_16 => (Command::Read { lba: lba_16, blocks: blocks_16 }, MAX_DATA_BYTES),
        operation::WRITE_10 => (Command::Write { lba: lba_10, blocks: blocks_10 }, MAX_DATA_BYTES),
        operation::WRITE_16 => (Command::Write { lba: lba_16, blocks: blocks_16 }, MAX_DATA_BYTES),
        _ => return Err(Sense::INVALID_COMMAND),
    })
}

/// The command descriptor block of a READ or WRITE; the 10-byte form if the range fits into it.
pub fn transfer_cdb(is_write: bool, lba: u64, blocks: u32) -> [u8; 16] {
    let mut cdb = [0; 16];
    match (u32::try_from(lba), u16::try_from(blocks)) {
        (Ok(lba), Ok(blocks)) => {
            cdb[0] = if is_write { operation::WRITE_10 } else { operation::READ_10 };
            cdb[2..6].copy_from_slice(&lba.to_be_bytes());
            cdb[7..9].copy_from_slice(&blocks.to_be_bytes());
        }
        _ => {
            cdb[0] = if is_write { operation::WRITE_16 } else { operation::READ_16 };
            cdb[2..10].copy_from_slice(&lba.to_be_bytes());
            cdb[10..14].copy_from_slice(&blocks.to_be_bytes());
        }
    }
    cdb
}

/// A logical unit as initiators see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Disk {
    /// Its number.
    pub lun: u8,
    /// Its size, in blocks.
    pub blocks: u64,
    /// Its serial number, which names the volume.
    pub serial: String,
}

fn standard_inquiry() -> Vec<u8> {
    // A direct-access device that follows SPC-3, with command queueing.
    let mut data = vec![0x00, 0x00, 0x05, 0x02, 31, 0, 0, 0x02];
    data.extend_from_slice(b"LICHENRDYARD VOLUME     0001");
    data
}

fn vital_product_data(page: u8, disk: &Disk) -> Result<Vec<u8>, Sense> {
    let body: Vec<u8> = match page {
        SUPPORTED_PAGES => vec![SUPPORTED_PAGES, UNIT_SERIAL_NUMBER, DEVICE_IDENTIFICATION, BLOCK_LIMITS],
        UNIT_SERIAL_NUMBER => disk.serial.clone().into_bytes(),
        DEVICE_IDENTIFICATION => {
            // A T10 vendor identification that names the volume.
            let name = [b"LICHENRD".as_slice(), disk.serial.as_bytes()].concat();
            [&[0x02, 0x01, 0x00, name.len() as u8], name.as_slice()].concat()
        }
        BLOCK_LIMITS => {
            let mut limits = vec![0; 60];
            limits[4..8].copy_from_slice(&((MAX_DATA_BYTES / BLOCK_BYTES) as u32).to_be_bytes());
            limits
        }
        _ => return Err(Sense::INVALID_FIELD),
    };
    Ok([&[0x00, page, 0x00, body.len() as u8], body.as_slice()].concat())
}

/// The answer to a command that needs no backend; `None` for reads and writes, for which only the range is checked.
///
/// # Errors
/// The sense to report: no such LUN, a block beyond the end, or a field that is not supported.
pub fn answer_locally(command: Command, disk: Option<&Disk>, all: &[Disk]) -> Result<Option<Vec<u8>>, Sense> {
    let last_lba = |disk: &Disk| disk.blocks.saturating_sub(1);
    Ok(Some(match (command, disk) {
        (Command::ReportLuns, _) => {
            let mut data = ((all.len() * 8) as u32).to_be_bytes().to_vec();
            data.extend_from_slice(&[0; 4]);
            all.iter().for_each(|disk| data.extend_from_slice(&[0, disk.lun, 0, 0, 0, 0, 0, 0]));
            data
        }
        (Command::RequestSense, None) => Sense::LUN_NOT_SUPPORTED.to_bytes().to_vec(),
        (Command::Inquiry(None), None) => {
            let mut data = standard_inquiry();
            data[0] = NO_DEVICE;
            data
        }
        (_, None) => return Err(Sense::LUN_NOT_SUPPORTED),
        (Command::TestUnitReady, _) => vec![],
        (Command::RequestSense, _) => Sense::NONE.to_bytes().to_vec(),
        (Command::Inquiry(None), _) => standard_inquiry(),
        (Command::Inquiry(Some(page)), Some(disk)) => vital_product_data(page, disk)?,
        (Command::ModeSense, _) => vec![3, 0, 0, 0],
        (Command::ReadCapacity10, Some(disk)) => {
            let last_lba = u32::try_from(last_lba(disk)).unwrap_or(u32::MAX);
            [last_lba.to_be_bytes(), (BLOCK_BYTES as u32).to_be_bytes()].concat()
        }
        (Command::ReadCapacity16, Some(disk)) => {
            let mut data = last_lba(disk).to_be_bytes().to_vec();
            data.extend_from_slice(&(BLOCK_BYTES as u32).to_be_bytes());
            data.resize(32, 0);
            data
        }
        (Command::Read { lba, blocks } | Command::Write { lba, blocks }, Some(disk)) => {
            if lba.checked_add(u64::from(blocks)).is_none_or(|end| end > disk.blocks) {
                return Err(Sense::OUT_OF_RANGE);
            }
            if blocks as usize > MAX_DATA_BYTES / BLOCK_BYTES {
                return Err(Sense::INVALID_FIELD);
            }
            return Ok(None);
        }
    }))
}
