//! A small iSCSI initiator: one session with one connection, immediate data, one command at a time.
#![allow(dead_code)]
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub const GOOD: u8 = 0;
pub const CHECK_CONDITION: u8 = 2;
pub const BUSY: u8 = 8;

pub struct Initiator {
    stream: TcpStream,
    command_number: u32,
    expected_status: u32,
}

fn put(header: &mut [u8; 48], at: usize, word: u32) {
    header[at..at + 4].copy_from_slice(&word.to_be_bytes());
}

fn word(header: &[u8], at: usize) -> u32 {
    u32::from_be_bytes(header[at..at + 4].try_into().unwrap())
}

impl Initiator {
    /// Connects and logs in.
    pub fn login(at: SocketAddr, name: &str, target: &str) -> Option<Initiator> {
        let stream = TcpStream::connect_timeout(&at, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
        let mut session = Initiator { stream, command_number: 1, expected_status: 0 };
        let mut header = [0; 48];
        header[0] = 0x43;
        header[1] = 0x87;
        header[8..14].copy_from_slice(&[0x80, 0, 0, 0, 1, 0]);
        put(&mut header, 24, session.command_number);
        let pairs = [
            ("InitiatorName", name),
            ("TargetName", target),
            ("SessionType", "Normal"),
            ("HeaderDigest", "None"),
            ("DataDigest", "None"),
            ("MaxRecvDataSegmentLength", "65536"),
            ("InitialR2T", "Yes"),
            ("ImmediateData", "Yes"),
            ("ErrorRecoveryLevel", "0"),
        ];
        let text: Vec<u8> = pairs.iter().flat_map(|(k, v)| format!("{k}={v}\0").into_bytes()).collect();
        session.send(header, &text)?;
        let (response, _) = session.receive()?;
        (response[0] & 0x3f == 0x23 && response[36] == 0 && response[1] & 0x83 == 0x83).then_some(session)
    }

    fn send(&mut self, mut header: [u8; 48], data: &[u8]) -> Option<()> {
        header[5..8].copy_from_slice(&(data.len() as u32).to_be_bytes()[1..]);
        let mut bytes = header.to_vec();
        bytes.extend_from_slice(data);
        bytes.resize(bytes.len().div_ceil(4) * 4, 0);
        self.stream.write_all(&bytes).ok()
    }

    fn receive(&mut self) -> Option<(Vec<u8>, Vec<u8>)> {
        let mut header = vec![0; 48];
        self.stream.read_exact(&mut header).ok()?;
        let length = (word(&header, 4) & 0xff_ffff) as usize;
        let mut data = vec![0; length.div_ceil(4) * 4];
        self.stream.read_exact(&mut data).ok()?;
        data.truncate(length);
        let opcode = header[0] & 0x3f;
        if opcode != 0x25 && opcode != 0x31 {
            self.expected_status = word(&header, 24).wrapping_add(1);
        }
        Some((header, data))
    }

    /// Sends WRITE(10) with immediate data and waits for its status; `None` if the connection ends first.
    pub fn write(&mut self, tag: u32, lun: u8, block: u32, data: &[u8]) -> Option<u8> {
        let mut header = [0; 48];
        header[0] = 0x01;
        header[1] = 0xa0;
        header[9] = lun;
        put(&mut header, 16, tag);
        put(&mut header, 20, data.len() as u32);
        put(&mut header, 24, self.command_number);
        put(&mut header, 28, self.expected_status);
        header[32] = 0x2a;
        put(&mut header, 34, block);
        header[39..41].copy_from_slice(&((data.len() / 512) as u16).to_be_bytes());
        self.command_number = self.command_number.wrapping_add(1);
        self.send(header, data)?;
        loop {
            let (response, _) = self.receive()?;
            if response[0] & 0x3f == 0x21 && word(&response, 16) == tag {
                return Some(response[3]);
            }
        }
    }
}
