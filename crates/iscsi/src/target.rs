//! The target's end of a session: login, the order of commands, and data both ways. Reads and writes come out
//! as events and get their outcome later; everything else is answered here.
use crate::pdu::{op, pdu, Head, Malformed, FINAL, HEAD, NO_TAG};
use crate::scsi::{self, status, Disk, Sense};
use crate::{text, BLOCK, LONGEST};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// Commands that may be unanswered on one connection.
pub const TASKS: usize = 16;
/// The most bytes of login or text that are gathered.
const GATHERED: usize = 16 * 1024;

/// What a session shows.
#[derive(Clone, Debug)]
pub struct Shown {
    /// The target's name.
    pub name: String,
    /// Where it listens, for SendTargets.
    pub address: String,
    /// Its logical units.
    pub disks: Vec<Disk>,
}

/// What the program has to act on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A normal session has begun.
    LoggedIn {
        /// The initiator's name.
        initiator: String,
        /// The initiator's part of the session's name.
        isid: [u8; 6],
    },
    /// Blocks are to be read.
    Read {
        /// The task's tag.
        tag: u32,
        /// The LUN.
        lun: u8,
        /// The first block.
        lba: u64,
        /// How many.
        blocks: u32,
    },
    /// Blocks are to be written, and all of them have come.
    Write {
        /// The task's tag.
        tag: u32,
        /// The LUN.
        lun: u8,
        /// The first block.
        lba: u64,
        /// The blocks.
        data: Vec<u8>,
    },
    /// A read is not wanted any more and gets no answer.
    Aborted(u32),
    /// The initiator has every status before this one.
    Acknowledged(u32),
    /// The connection is to be closed once all is written.
    Close,
}

/// How a read or a write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome<'a> {
    /// It was done; with the data of a read.
    Good(&'a [u8]),
    /// It did not run: to come again after so many milliseconds.
    Busy(Option<u64>),
    /// It failed.
    Failed(Sense),
}

struct Task {
    lun: u8,
    lba: u64,
    expected: usize,
    write: bool,
    data: Vec<u8>,
    wanted: usize,
    transfer: u32,
    transfer_end: usize,
    data_number: u32,
    transfers: u32,
    /// A task-management request that is answered after this task.
    abort: Option<u32>,
}

impl Task {
    fn gathering(&self) -> bool {
        self.write && self.data.len() < self.wanted
    }
}

enum Stage {
    Login,
    Full,
    Closing,
}

/// The session.
pub struct Target {
    shown: Rc<Shown>,
    stage: Stage,
    normal: bool,
    initiator: String,
    isid: [u8; 6],
    session: u16,
    gathered: Vec<u8>,
    command_number: u32,
    status_number: u32,
    segment: usize,
    first_burst: usize,
    burst: usize,
    tasks: BTreeMap<u32, Task>,
    next_transfer: u32,
    /// Whether the initiator has named the target.
    named: bool,
    /// Transfers of writes that were aborted: their data may still come.
    dropped: VecDeque<u32>,
}

impl Target {
    /// A session before its login; `session` is the handle that it will have, not 0.
    pub fn new(shown: Rc<Shown>, session: u16) -> Target {
        Target {
            shown,
            stage: Stage::Login,
            normal: true,
            initiator: String::new(),
            isid: [0; 6],
            session: session.max(1),
            gathered: Vec::new(),
            command_number: 0,
            status_number: 1,
            segment: 8192,
            first_burst: LONGEST,
            burst: LONGEST,
            tasks: BTreeMap::new(),
            next_transfer: 1,
            named: false,
            dropped: VecDeque::new(),
        }
    }

    /// The number that the next status will have.
    pub fn next_status(&self) -> u32 {
        self.status_number
    }

    /// Whether commands are unanswered.
    pub fn busy(&self) -> bool {
        !self.tasks.is_empty()
    }

    /// The task's first block and length, while it is unanswered.
    fn send(&mut self, mut head: Head, data: &[u8], status: bool, out: &mut Vec<u8>) {
        head.put(24, self.status_number);
        if status {
            self.status_number = self.status_number.wrapping_add(1);
        }
        let room = TASKS.saturating_sub(self.tasks.len()) as u32;
        head.put(28, self.command_number);
        head.put(32, self.command_number.wrapping_add(room).wrapping_sub(1));
        head.write(data, out);
    }

    fn reject(&mut self, reason: u8, bad: &Head, out: &mut Vec<u8>) {
        let mut head = Head::new(op::REJECT, FINAL, NO_TAG);
        head.0[2] = reason;
        self.send(head, &bad.0, true, out);
    }

    /// Takes the first PDU off the bytes and returns how many it used: none while it is not whole. After an
    /// error the connection is to be closed, with what was put out still written.
    pub fn read(
        &mut self,
        bytes: &[u8],
        out: &mut Vec<u8>,
        events: &mut Vec<Event>,
    ) -> Result<usize, Malformed> {
        let whole = match pdu(bytes) {
            Ok(whole) => whole,
            Err(e) => {
                let mut bad = Head([0; HEAD]);
                bad.0.copy_from_slice(&bytes[..HEAD]);
                if matches!(self.stage, Stage::Full) {
                    self.reject(0x09, &bad, out);
                }
                return Err(e);
            }
        };
        let Some((head, data, used)) = whole else { return Ok(0) };
        match self.stage {
            Stage::Closing => {}
            Stage::Login if head.opcode() == op::LOGIN => self.login(&head, data, out, events)?,
            Stage::Login => return Err(Malformed("before the login")),
            Stage::Full => self.full(&head, data, out, events)?,
        }
        Ok(used)
    }

    fn login(
        &mut self,
        head: &Head,
        data: &[u8],
        out: &mut Vec<u8>,
        events: &mut Vec<Event>,
    ) -> Result<(), Malformed> {
        let mut answer = Head::new(op::LOGIN_DONE, 0, head.tag());
        answer.0[8..14].copy_from_slice(&head.0[8..14]);
        let refuse = |this: &mut Target, status: [u8; 2], mut answer: Head, out: &mut Vec<u8>| {
            answer.0[36..38].copy_from_slice(&status);
            this.send(answer, &[], true, out);
            Err(Malformed("login refused"))
        };
        if self.gathered.len() + data.len() > GATHERED {
            return refuse(self, [2, 0], answer, out);
        }
        self.gathered.extend_from_slice(data);
        self.command_number = head.word(24);
        if head.flags() & 0x40 != 0 {
            // More of the same text follows.
            answer.0[1] = head.flags() & 0x0c;
            self.send(answer, &[], true, out);
            return Ok(());
        }
        if head.0[3] != 0 {
            return refuse(self, [2, 5], answer, out);
        }
        if head.word(12) & 0xffff != 0 {
            // One connection a session: there is none that another could join.
            return refuse(self, [2, 10], answer, out);
        }
        self.isid.copy_from_slice(&head.0[8..14]);
        let pairs = text::pairs(&std::mem::take(&mut self.gathered));
        let mut reply = Vec::new();
        let mut target = None;
        for (key, value) in &pairs {
            let least = |ours: usize| value.parse::<usize>().map_or(ours, |v| v.min(ours));
            match key.as_str() {
                "InitiatorName" => self.initiator = value.chars().take(223).collect(),
                "TargetName" => target = Some(value.as_str()),
                "SessionType" => self.normal = value != "Discovery",
                "InitiatorAlias" => {}
                "AuthMethod" if value.split(',').any(|v| v == "None") => text::put(&mut reply, key, "None"),
                "AuthMethod" => return refuse(self, [2, 1], answer, out),
                "HeaderDigest" | "DataDigest" => text::put(&mut reply, key, "None"),
                "MaxRecvDataSegmentLength" => {
                    self.segment = value.parse().unwrap_or(8192).clamp(512, LONGEST);
                    text::put(&mut reply, key, &LONGEST.to_string());
                }
                "MaxBurstLength" => {
                    self.burst = least(LONGEST).max(512);
                    text::put(&mut reply, key, &self.burst.to_string());
                }
                "FirstBurstLength" => {
                    self.first_burst = least(LONGEST).max(512);
                    text::put(&mut reply, key, &self.first_burst.to_string());
                }
                "InitialR2T" => text::put(&mut reply, key, "Yes"),
                "ImmediateData" => text::put(&mut reply, key, if value == "No" { "No" } else { "Yes" }),
                "DataPDUInOrder" | "DataSequenceInOrder" => text::put(&mut reply, key, "Yes"),
                "MaxConnections" | "MaxOutstandingR2T" => text::put(&mut reply, key, "1"),
                "ErrorRecoveryLevel" | "DefaultTime2Retain" => text::put(&mut reply, key, "0"),
                "DefaultTime2Wait" => {
                    let wait = value.parse::<u32>().unwrap_or(2).min(3600);
                    text::put(&mut reply, key, &wait.to_string());
                }
                "IFMarker" | "OFMarker" => text::put(&mut reply, key, "No"),
                _ => text::put(&mut reply, key, "NotUnderstood"),
            }
        }
        if self.initiator.is_empty() {
            return refuse(self, [2, 7], answer, out);
        }
        if target.is_some_and(|t| t != self.shown.name) {
            return refuse(self, [2, 3], answer, out);
        }
        self.named |= target.is_some();
        if self.normal && !self.named {
            return refuse(self, [2, 7], answer, out);
        }
        let (stage, next) = (head.flags() >> 2 & 3, head.flags() & 3);
        let transit = head.flags() & FINAL != 0;
        if stage > 1 || (transit && next <= stage) || (transit && next == 2) {
            return refuse(self, [2, 0], answer, out);
        }
        answer.0[1] = if transit { head.flags() & 0x8f } else { head.flags() & 0x0c };
        if target.is_some() {
            text::put(&mut reply, "TargetPortalGroupTag", "1");
        }
        if transit && next == 3 {
            self.stage = Stage::Full;
            answer.0[14..16].copy_from_slice(&self.session.to_be_bytes());
            if self.normal {
                events.push(Event::LoggedIn { initiator: self.initiator.clone(), isid: self.isid });
            }
        }
        self.send(answer, &reply, true, out);
        Ok(())
    }

    fn full(
        &mut self,
        head: &Head,
        data: &[u8],
        out: &mut Vec<u8>,
        events: &mut Vec<Event>,
    ) -> Result<(), Malformed> {
        let numbered = !matches!(head.opcode(), op::DATA_OUT) && !head.immediate();
        if numbered {
            let ahead = head.word(24).wrapping_sub(self.command_number);
            if ahead != 0 {
                // Behind or beyond the window: ignored, as the RFC asks. A gap within cannot close, for there is
                // one connection, and what it carries comes in order.
                if (1..TASKS as u32).contains(&ahead) {
                    self.reject(0x04, head, out);
                    return Err(Malformed("a gap in the order of commands"));
                }
                return Ok(());
            }
        }
        events.push(Event::Acknowledged(head.word(28)));
        if !self.normal && matches!(head.opcode(), op::COMMAND | op::TASK | op::DATA_OUT) {
            self.reject(0x04, head, out);
            return Ok(());
        }
        if numbered {
            self.command_number = self.command_number.wrapping_add(1);
        }
        match head.opcode() {
            op::NOP_OUT if head.tag() != NO_TAG => {
                let mut answer = Head::new(op::NOP_IN, FINAL, head.tag());
                answer.put(20, NO_TAG);
                let most = data.len().min(self.segment);
                self.send(answer, &data[..most], true, out);
            }
            op::NOP_OUT => {}
            op::COMMAND => self.command(head, data, out, events),
            op::DATA_OUT => return self.data(head, data, out, events),
            op::TASK => self.manage(head, out, events),
            op::TEXT => {
                let mut reply = Vec::new();
                for (key, value) in text::pairs(data) {
                    match key.as_str() {
                        "SendTargets" if ["All", "", &self.shown.name].contains(&value.as_str()) => {
                            text::put(&mut reply, "TargetName", &self.shown.name);
                            text::put(&mut reply, "TargetAddress", &format!("{},1", self.shown.address));
                        }
                        "SendTargets" => {}
                        _ => text::put(&mut reply, &key, "NotUnderstood"),
                    }
                }
                let mut answer = Head::new(op::TEXT_DONE, FINAL, head.tag());
                answer.put(20, NO_TAG);
                self.send(answer, &reply, true, out);
            }
            op::LOGOUT => {
                self.stage = Stage::Closing;
                self.send(Head::new(op::LOGOUT_DONE, FINAL, head.tag()), &[], true, out);
                events.push(Event::Close);
            }
            op::LOGIN => {
                self.reject(0x04, head, out);
                return Err(Malformed("a login in a session"));
            }
            _ => self.reject(0x05, head, out),
        }
        Ok(())
    }

    fn command(&mut self, head: &Head, data: &[u8], out: &mut Vec<u8>, events: &mut Vec<Event>) {
        let tag = head.tag();
        if tag == NO_TAG || self.tasks.contains_key(&tag) {
            // A tag that is in use: a task in progress.
            return self.reject(0x07, head, out);
        }
        let mut cdb = [0; 16];
        cdb.copy_from_slice(&head.0[32..48]);
        let expected = head.word(20) as usize;
        let shown = self.shown.clone();
        let disk = head.lun().and_then(|l| shown.disks.iter().find(|d| d.lun == l));
        let (command, most) = match scsi::command(&cdb) {
            Ok(command) => command,
            Err(sense) => return self.respond(tag, Outcome::Failed(sense), expected, false, out),
        };
        match scsi::local(command, disk, &shown.disks) {
            Err(sense) => return self.respond(tag, Outcome::Failed(sense), expected, false, out),
            Ok(Some(answer)) => {
                let answer = &answer[..answer.len().min(most)];
                return self.respond(tag, Outcome::Good(answer), expected, true, out);
            }
            Ok(None) => {}
        }
        let (write, lba, blocks) = match command {
            scsi::Command::Read(lba, blocks) => (false, lba, blocks),
            scsi::Command::Write(lba, blocks) => (true, lba, blocks),
            _ => return,
        };
        let wanted = blocks as usize * BLOCK;
        let flag = head.flags() & if write { 0x20 } else { 0x40 } != 0;
        if wanted == 0 {
            return self.respond(tag, Outcome::Good(&[]), expected, !write, out);
        }
        if !flag || (write && (expected < wanted || data.len() > wanted.min(self.first_burst))) {
            return self.respond(tag, Outcome::Failed(Sense::BAD_FIELD), expected, false, out);
        }
        if self.tasks.len() >= TASKS {
            return self.respond(tag, Outcome::Busy(Some(100)), expected, false, out);
        }
        let lun = disk.map_or(0, |d| d.lun);
        let mut task = Task {
            lun,
            lba,
            expected,
            write,
            data: Vec::new(),
            wanted,
            transfer: NO_TAG,
            transfer_end: 0,
            data_number: 0,
            transfers: 0,
            abort: None,
        };
        if !write {
            self.tasks.insert(tag, task);
            events.push(Event::Read { tag, lun, lba, blocks });
            return;
        }
        task.data.extend_from_slice(data);
        self.tasks.insert(tag, task);
        self.go_on(tag, out, events);
    }

    /// Asks for the next part of a write's data, or lets it run once all has come.
    fn go_on(&mut self, tag: u32, out: &mut Vec<u8>, events: &mut Vec<Event>) {
        let (burst, transfer) = (self.burst, self.next_transfer);
        let Some(task) = self.tasks.get_mut(&tag) else { return };
        if !task.gathering() {
            let data = std::mem::take(&mut task.data);
            task.wanted = 0;
            events.push(Event::Write { tag, lun: task.lun, lba: task.lba, data });
            return;
        }
        let from = task.data.len();
        task.transfer_end = task.wanted.min(from + burst);
        (task.transfer, task.data_number) = (transfer, 0);
        let mut ask = Head::new(op::R2T, FINAL, tag);
        ask.0[9] = task.lun;
        ask.put(20, transfer);
        ask.put(36, task.transfers);
        ask.put(40, from as u32);
        ask.put(44, (task.transfer_end - from) as u32);
        task.transfers += 1;
        self.next_transfer = if transfer >= NO_TAG - 1 { 1 } else { transfer + 1 };
        self.send(ask, &[], false, out);
    }

    fn data(
        &mut self,
        head: &Head,
        data: &[u8],
        out: &mut Vec<u8>,
        events: &mut Vec<Event>,
    ) -> Result<(), Malformed> {
        let tag = head.tag();
        let last = head.flags() & FINAL != 0;
        let fits = self.tasks.get_mut(&tag).filter(|t| t.gathering()).is_some_and(|task| {
            let end = task.data.len() + data.len();
            let fits = head.word(20) == task.transfer
                && head.word(36) == task.data_number
                && head.word(40) as usize == task.data.len()
                && end <= task.transfer_end
                && last == (end == task.transfer_end);
            if fits {
                task.data.extend_from_slice(data);
                task.data_number += 1;
            }
            fits
        });
        if !fits && self.dropped.contains(&head.word(20)) {
            return Ok(());
        }
        if !fits {
            // Guards against blocks put together wrongly: nothing of the write runs, and the session ends.
            self.reject(0x04, head, out);
            return Err(Malformed("data that was not asked for"));
        }
        events.push(Event::Acknowledged(head.word(28)));
        if last {
            self.go_on(tag, out, events);
        }
        Ok(())
    }

    fn manage(&mut self, head: &Head, out: &mut Vec<u8>, events: &mut Vec<Event>) {
        let function = head.flags() & 0x7f;
        let other = head.word(20);
        let response = match (function, self.tasks.get_mut(&other)) {
            (1, None) => 1,
            (1, Some(task)) if task.write && !task.gathering() => {
                // It may be running: its answer tells what became of it, and the abort came too late.
                task.abort = Some(head.tag());
                return;
            }
            (1, Some(task)) => {
                let (write, transfer) = (task.write, task.transfer);
                self.tasks.remove(&other);
                if write {
                    // Guards the session: data that was on its way is passed over, and no fault.
                    self.dropped.truncate(TASKS);
                    self.dropped.push_front(transfer);
                }
                if !write {
                    events.push(Event::Aborted(other));
                }
                0
            }
            _ => 5,
        };
        self.managed(head.tag(), response, out);
    }

    fn managed(&mut self, tag: u32, response: u8, out: &mut Vec<u8>) {
        let mut answer = Head::new(op::TASK_DONE, FINAL, tag);
        answer.0[2] = response;
        self.send(answer, &[], true, out);
    }

    /// Answers a read or a write; returns its status's number, none where nobody waits for it.
    pub fn answer(&mut self, tag: u32, outcome: Outcome<'_>, out: &mut Vec<u8>) -> Option<u32> {
        let task = self.tasks.remove(&tag)?;
        let before = self.status_number;
        self.respond(tag, outcome, task.expected, !task.write, out);
        if let Some(abort) = task.abort {
            self.managed(abort, 1, out);
        }
        Some(before)
    }

    fn respond(&mut self, tag: u32, outcome: Outcome<'_>, expected: usize, read: bool, out: &mut Vec<u8>) {
        let mut head = Head::new(op::RESPONSE, FINAL, tag);
        let mut sense = Vec::new();
        let mut sent = 0;
        match outcome {
            Outcome::Good(data) if read => {
                let data = &data[..data.len().min(expected)];
                for (number, part) in data.chunks(self.segment).enumerate() {
                    let last = sent + part.len() == data.len();
                    let mut piece = Head::new(op::DATA_IN, if last { FINAL } else { 0 }, tag);
                    piece.put(20, NO_TAG);
                    piece.put(36, number as u32);
                    piece.put(40, sent as u32);
                    sent += part.len();
                    // A Data-In without status carries no status number.
                    let status = std::mem::replace(&mut self.status_number, 0);
                    self.send(piece, part, false, out);
                    self.status_number = status;
                    head.put(36, number as u32 + 1);
                }
                if sent < expected {
                    head.0[1] |= 0x02;
                    head.put(44, (expected - sent) as u32);
                }
            }
            Outcome::Good(_) => {}
            Outcome::Busy(wait) => {
                head.0[3] = status::BUSY;
                // The status qualifier (RFC 7144, SAM-5): in steps of 100 ms; 0 says nothing.
                let steps = wait.map_or(0, |ms| ms.div_ceil(100).clamp(1, 0x3fef)) as u16;
                head.0[8..10].copy_from_slice(&steps.to_be_bytes());
            }
            Outcome::Failed(code) => {
                head.0[3] = status::CHECK_CONDITION;
                let bytes = code.bytes();
                sense = [&[0, bytes.len() as u8], bytes.as_slice()].concat();
            }
        }
        self.send(head, &sense, true, out);
    }
}
