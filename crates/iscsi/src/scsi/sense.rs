//! Sense data (SPC-3).

/// The sense key and codes of a failed command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sense {
    /// The sense key.
    pub key: u8,
    /// The additional sense code.
    pub code: u8,
    /// The additional sense code qualifier.
    pub qualifier: u8,
}

impl Sense {
    /// The operation code is not supported.
    pub const INVALID_COMMAND: Sense = Sense::new(0x05, 0x20, 0x00);
    /// A field of the command is invalid.
    pub const INVALID_FIELD: Sense = Sense::new(0x05, 0x24, 0x00);
    /// The command accesses blocks beyond the last one.
    pub const OUT_OF_RANGE: Sense = Sense::new(0x05, 0x21, 0x00);
    /// There is no such LUN.
    pub const LUN_NOT_SUPPORTED: Sense = Sense::new(0x05, 0x25, 0x00);
    /// A read got no response in time: aborted command, which initiators retry.
    pub const READ_FAILED: Sense = Sense::new(0x0b, 0x08, 0x01);
    /// A write failed and may have been executed: medium error, which initiators don't retry automatically.
    pub const WRITE_FAILED: Sense = Sense::new(0x03, 0x0c, 0x00);

    /// No error.
    pub(super) const NONE: Sense = Sense::new(0, 0, 0);

    const fn new(key: u8, code: u8, qualifier: u8) -> Sense {
        Sense { key, code, qualifier }
    }

    /// Fixed-format sense data of a current error.
    pub fn to_bytes(self) -> [u8; 18] {
        let mut data = [0; 18];
        data[0] = 0x70;
        data[2] = self.key;
        data[7] = 10; // Bytes that follow this one.
        data[12] = self.code;
        data[13] = self.qualifier;
        data
    }
}
