//! The initiator's end of a session that carries one command at a time.
use crate::pdu::{op, pdu, Head, Malformed, FINAL, NO_TAG};
use crate::{text, LONGEST};

/// What a PDU of the target told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// Nothing that matters yet.
    Nothing,
    /// The session has begun.
    LoggedIn,
    /// The command has ended.
    Done {
        /// Its tag.
        tag: u32,
        /// The SCSI status.
        status: u8,
        /// The status qualifier.
        qualifier: u16,
        /// The data of a read.
        data: Vec<u8>,
        /// Sense data.
        sense: Vec<u8>,
    },
    /// The answer to a task-management request.
    Managed(u8),
    /// The target rejected a PDU.
    Rejected(u8),
    /// The target's answer to text or a ping.
    Text(Vec<u8>),
    /// The target has ended the session.
    LoggedOut,
}

/// The session.
#[derive(Default)]
pub struct Initiator {
    tag: u32,
    command_number: u32,
    status_number: u32,
    segment: usize,
    first_burst: usize,
    offered: Option<usize>,
    immediate: bool,
    full: bool,
    lun: u8,
    write: Vec<u8>,
    read: Vec<u8>,
    expected: usize,
}

impl Initiator {
    /// A session that offers so many bytes as its first burst: what is longer is sent when asked for.
    pub fn with_first_burst(bytes: usize) -> Initiator {
        Initiator { offered: Some(bytes), ..Initiator::default() }
    }

    /// Begins a session: with a target, or to ask which there are.
    pub fn login(&mut self, name: &str, target: Option<&str>, isid: [u8; 6], out: &mut Vec<u8>) {
        let (tag, offered) = (self.tag, self.offered);
        let first_burst = offered.unwrap_or(LONGEST);
        *self = Initiator { tag, offered, first_burst, command_number: 1, segment: 8192, ..Self::default() };
        let mut head = Head::new(op::LOGIN | 0x40, FINAL | 0x07, 0);
        head.0[8..14].copy_from_slice(&isid);
        head.put(24, self.command_number);
        let mut data = Vec::new();
        text::put(&mut data, "InitiatorName", name);
        match target {
            Some(target) => text::put(&mut data, "TargetName", target),
            None => text::put(&mut data, "SessionType", "Discovery"),
        }
        let (longest, first) = (LONGEST.to_string(), first_burst.to_string());
        let keys = [
            ("HeaderDigest", "None"),
            ("DataDigest", "None"),
            ("MaxRecvDataSegmentLength", longest.as_str()),
            ("MaxBurstLength", &longest),
            ("FirstBurstLength", &first),
            ("ImmediateData", "Yes"),
            ("InitialR2T", "Yes"),
            ("ErrorRecoveryLevel", "0"),
        ];
        keys.iter().for_each(|(k, v)| text::put(&mut data, k, v));
        head.write(&data, out);
    }

    /// Puts out a PDU that needs no more than a head; returns its tag.
    pub fn plain(&mut self, opcode: u8, flags: u8, other: u32, data: &[u8], out: &mut Vec<u8>) -> u32 {
        self.tag += 1;
        let mut head = Head::new(opcode, FINAL | flags, self.tag);
        head.put(20, other);
        self.number(&mut head);
        head.write(data, out);
        self.tag
    }

    fn number(&mut self, head: &mut Head) {
        head.put(24, self.command_number);
        head.put(28, self.status_number);
        self.command_number = self.command_number.wrapping_add(1);
    }

    /// The tag that the next command will have; a reissue sets that of the first.
    pub fn set_next_tag(&mut self, tag: u32) {
        self.tag = tag.wrapping_sub(1);
    }

    /// Puts out a command; returns its tag.
    pub fn command(
        &mut self,
        lun: u8,
        cdb: &[u8; 16],
        write: Option<&[u8]>,
        expected: usize,
        out: &mut Vec<u8>,
    ) -> u32 {
        self.tag = self.tag.wrapping_add(1);
        let flags = if write.is_some() { 0x20 } else { 0x40 };
        let mut head = Head::new(op::COMMAND, FINAL | flags, self.tag);
        head.0[9] = lun;
        self.number(&mut head);
        head.0[32..48].copy_from_slice(cdb);
        (self.lun, self.read, self.write) = (lun, Vec::new(), write.unwrap_or_default().to_vec());
        self.expected = write.map_or(expected, <[u8]>::len);
        head.put(20, self.expected as u32);
        let now = if self.immediate { self.write.len().min(self.first_burst).min(self.segment) } else { 0 };
        head.write(&self.write[..now], out);
        self.tag
    }

    /// Takes the first PDU off the bytes and returns how many it used: none while it is not whole.
    pub fn read(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<(usize, Told), Malformed> {
        let Some((head, data, used)) = pdu(bytes)? else { return Ok((0, Told::Nothing)) };
        // Guards the count of statuses: data carries one only where it says so, a ping of the target's never.
        let numbered = match head.opcode() {
            op::DATA_IN => head.flags() & 1 == 1,
            op::NOP_IN => head.tag() != NO_TAG,
            opcode => opcode != op::R2T,
        };
        if numbered {
            self.status_number = head.word(24).wrapping_add(1);
        }
        let told = match head.opcode() {
            op::LOGIN_DONE => self.logged_in(&head, data)?,
            _ if !self.full => return Err(Malformed("before the login")),
            op::NOP_IN if head.tag() == NO_TAG => {
                if head.word(20) != NO_TAG {
                    let mut answer = Head::new(op::NOP_OUT | 0x40, FINAL, NO_TAG);
                    answer.put(20, head.word(20));
                    answer.put(24, self.command_number);
                    answer.put(28, self.status_number);
                    answer.write(data, out);
                }
                Told::Nothing
            }
            op::NOP_IN | op::TEXT_DONE => Told::Text(data.to_vec()),
            op::LOGOUT_DONE => Told::LoggedOut,
            op::TASK_DONE => Told::Managed(head.0[2]),
            op::REJECT => Told::Rejected(head.0[2]),
            op::DATA_IN if head.tag() == self.tag => {
                if head.word(40) as usize != self.read.len() || self.read.len() + data.len() > self.expected {
                    return Err(Malformed("data out of place"));
                }
                self.read.extend_from_slice(data);
                match head.flags() & 1 {
                    1 => self.done(&head, &[]),
                    _ => Told::Nothing,
                }
            }
            op::R2T if head.tag() == self.tag => {
                self.data_out(&head, out)?;
                Told::Nothing
            }
            op::RESPONSE if head.tag() == self.tag => self.done(&head, data),
            _ => return Err(Malformed("not an answer to what was asked")),
        };
        Ok((used, told))
    }

    fn done(&mut self, head: &Head, data: &[u8]) -> Told {
        let sense = data.get(2..).unwrap_or_default().to_vec();
        let qualifier = u16::from_be_bytes([head.0[8], head.0[9]]);
        let read = std::mem::take(&mut self.read);
        // A response other than 0 tells that the target failed, whatever stands for a status.
        let status = if head.opcode() == op::RESPONSE && head.0[2] != 0 { 0x02 } else { head.0[3] };
        Told::Done { tag: self.tag, status, qualifier, data: read, sense }
    }

    fn logged_in(&mut self, head: &Head, data: &[u8]) -> Result<Told, Malformed> {
        if head.0[36] != 0 {
            return Err(Malformed("login refused"));
        }
        if head.flags() & 0x83 != 0x83 {
            return Err(Malformed("the target wants to go on negotiating"));
        }
        for (key, value) in text::pairs(data) {
            let figure = value.parse::<usize>().unwrap_or(0);
            match key.as_str() {
                "MaxRecvDataSegmentLength" => self.segment = figure.clamp(512, LONGEST),
                "FirstBurstLength" => self.first_burst = figure.clamp(512, LONGEST),
                "ImmediateData" => self.immediate = value == "Yes",
                _ => {}
            }
        }
        self.full = true;
        Ok(Told::LoggedIn)
    }

    fn data_out(&mut self, ask: &Head, out: &mut Vec<u8>) -> Result<(), Malformed> {
        let (from, length) = (ask.word(40) as usize, ask.word(44) as usize);
        let end = from.checked_add(length).filter(|e| *e <= self.write.len() && length > 0);
        let end = end.ok_or(Malformed("it asks for data that there is not"))?;
        for (number, part) in self.write[from..end].chunks(self.segment).enumerate() {
            let at = from + number * self.segment;
            let mut head = Head::new(op::DATA_OUT, if at + part.len() == end { FINAL } else { 0 }, self.tag);
            head.0[9] = self.lun;
            head.put(20, ask.word(20));
            head.put(28, self.status_number);
            head.put(36, number as u32);
            head.put(40, at as u32);
            head.write(part, out);
        }
        Ok(())
    }
}
