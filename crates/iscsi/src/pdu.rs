//! Protocol data units: a head of 48 bytes, then data padded to four bytes. Digests are never agreed to.
use crate::LONGEST;

/// Why bytes can't be understood; its text names the fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

/// Bytes of a head.
pub const HEAD: usize = 48;
/// A tag that stands for none.
pub const NO_TAG: u32 = 0xffff_ffff;
/// The bit that marks the last PDU of a sequence.
pub const FINAL: u8 = 0x80;

/// Opcodes.
pub mod op {
    #![allow(missing_docs)]
    pub const NOP_OUT: u8 = 0x00;
    pub const COMMAND: u8 = 0x01;
    pub const TASK: u8 = 0x02;
    pub const LOGIN: u8 = 0x03;
    pub const TEXT: u8 = 0x04;
    pub const DATA_OUT: u8 = 0x05;
    pub const LOGOUT: u8 = 0x06;
    pub const NOP_IN: u8 = 0x20;
    pub const RESPONSE: u8 = 0x21;
    pub const TASK_DONE: u8 = 0x22;
    pub const LOGIN_DONE: u8 = 0x23;
    pub const TEXT_DONE: u8 = 0x24;
    pub const DATA_IN: u8 = 0x25;
    pub const LOGOUT_DONE: u8 = 0x26;
    pub const R2T: u8 = 0x31;
    pub const REJECT: u8 = 0x3f;
}

/// A head, as it stands on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head(pub [u8; HEAD]);

impl Head {
    /// A head of that opcode with those flags, and the task's tag.
    pub fn new(opcode: u8, flags: u8, tag: u32) -> Head {
        let mut head = Head([0; HEAD]);
        (head.0[0], head.0[1]) = (opcode, flags);
        head.put(16, tag);
        head
    }

    /// The opcode.
    pub fn opcode(&self) -> u8 {
        self.0[0] & 0x3f
    }

    /// Whether it is to be taken outside the order of commands.
    pub fn immediate(&self) -> bool {
        self.0[0] & 0x40 != 0
    }

    /// The flags.
    pub fn flags(&self) -> u8 {
        self.0[1]
    }

    /// The initiator's task tag.
    pub fn tag(&self) -> u32 {
        self.word(16)
    }

    /// The number that starts at that byte.
    pub fn word(&self, at: usize) -> u32 {
        u32::from_be_bytes([self.0[at], self.0[at + 1], self.0[at + 2], self.0[at + 3]])
    }

    /// Sets the number that starts at that byte.
    pub fn put(&mut self, at: usize, value: u32) {
        self.0[at..at + 4].copy_from_slice(&value.to_be_bytes());
    }

    /// The LUN, where it is one of the first 256 in flat or peripheral addressing.
    pub fn lun(&self) -> Option<u8> {
        match self.0[8..16] {
            [0 | 0x40, lun, 0, 0, 0, 0, 0, 0] => Some(lun),
            _ => None,
        }
    }

    /// Appends the PDU with its data.
    pub fn write(mut self, data: &[u8], out: &mut Vec<u8>) {
        let length = (data.len() as u32).to_be_bytes();
        self.0[5..8].copy_from_slice(&length[1..]);
        out.extend_from_slice(&self.0);
        out.extend_from_slice(data);
        out.resize(out.len() + data.len().next_multiple_of(4) - data.len(), 0);
    }
}

/// A head, its data and the length of both; none while it is not whole.
pub type Whole<'a> = Option<(Head, &'a [u8], usize)>;

/// The first PDU: its head, its data, and its length in bytes; none while it is not whole.
pub fn pdu(bytes: &[u8]) -> Result<Whole<'_>, Malformed> {
    let Some(head) = bytes.get(..HEAD) else { return Ok(None) };
    let mut copy = [0; HEAD];
    copy.copy_from_slice(head);
    let extra = usize::from(head[4]) * 4;
    let length = u32::from_be_bytes([0, head[5], head[6], head[7]]) as usize;
    if length > LONGEST {
        return Err(Malformed("a data segment is longer than 64 KiB"));
    }
    let start = HEAD + extra;
    let end = start + length.next_multiple_of(4);
    match bytes.get(start..end) {
        Some(data) => Ok(Some((Head(copy), &data[..length], end))),
        None => Ok(None),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_pdu_comes_back_whole_and_no_part_of_it_does() {
        let mut out = vec![];
        Head::new(op::NOP_OUT, FINAL, 7).write(b"hello", &mut out);
        assert_eq!(out.len(), HEAD + 8);
        for part in 0..out.len() {
            assert_eq!(pdu(&out[..part]), Ok(None));
        }
        let (head, data, used) = pdu(&out).unwrap().unwrap();
        assert_eq!((head.opcode(), head.tag(), data, used), (op::NOP_OUT, 7, &b"hello"[..], out.len()));
        out[5] = 2;
        assert!(pdu(&out).is_err(), "guards against a length that would have us hold megabytes");
    }
}
