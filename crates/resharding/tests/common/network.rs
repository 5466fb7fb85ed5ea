//! Messages in flight: proposals, lease requests and grants, and backend commands with their results.
use super::*;

/// The process that sent a message.
#[derive(Clone, Copy)]
pub struct Sender {
    pub number: usize,
    pub incarnation: u64,
}

pub enum Message {
    Propose { from: usize, command: Command },
    RequestLease { sender: Sender, requested_at: Time, applied: Index },
    GrantLease { to: Sender, requested_at: Time, committed: Index },
    Write { sender: Sender, request: u64, part: PlacedRange, value: u64, is_delayed: bool },
    Read { sender: Sender, request: u64, part: PlacedRange },
    PartEnded { to: Sender, request: u64, part: PlacedRange, values: Option<Vec<u64>> },
    Copy { sender: Sender, task: CopyTask, values: Vec<u64>, is_delayed: bool },
    CopyEnded { to: Sender, task: CopyTask, result: CopyResult, values: Vec<u64> },
}

impl Message {
    /// Whether this is a command that a stalled process has not sent yet.
    pub fn is_unsent_by(&self, number: usize, incarnation: u64) -> bool {
        match self {
            Message::Write { sender, is_delayed, .. } | Message::Copy { sender, is_delayed, .. } => {
                *is_delayed && sender.number == number && sender.incarnation == incarnation
            }
            _ => false,
        }
    }
}

impl Simulation {
    pub fn send_at(&mut self, due: u64, message: Message) {
        self.last_id += 1;
        self.messages.insert((due, self.last_id), message);
    }

    /// Sends a message that may be lost or delayed; a proposal may also be duplicated.
    pub fn send_unreliably(&mut self, message: Message) {
        if self.rng.random_bool(self.loss) {
            return;
        }
        let max_delay = if self.rng.random_bool(self.loss / 2.0) { 400_000 } else { 8_000 };
        let due = self.now + self.rng.random_range(0..max_delay);
        if let (Message::Propose { from, command }, true) = (&message, self.rng.random_bool(self.loss)) {
            let repeated = Message::Propose { from: *from, command: command.clone() };
            let due = due + self.rng.random_range(0..300_000);
            self.send_at(due, repeated);
        }
        self.send_at(due, message);
    }

    /// The time that a command takes to reach a backend, or its result to return.
    pub fn backend_delay(&mut self) -> u64 {
        self.rng.random_range(0..18_000)
    }

    /// Returns when a command that is sent now arrives, and whether the member stalls immediately before sending, after
    /// it has checked its lease.
    pub fn send_time(&mut self, number: usize) -> (u64, bool) {
        let is_delayed = self.rng.random_bool(self.stall_probability);
        if is_delayed {
            let span = self.rng.random_range(50_000..900_000);
            self.stall(number, span);
            self.count("delayed commands");
        }
        let delay = self.backend_delay();
        (self.now.max(self.members[number].stalled_until) + delay, is_delayed)
    }

    pub fn send_copy(&mut self, number: usize, task: CopyTask) {
        let now = self.local_time(number);
        let member = &mut self.members[number];
        if !member.agent.may_send_copy(&task, now) {
            member.agent.finish_copy(&task, now, CopyResult::Refused);
            return;
        }
        let sender = Sender { number, incarnation: member.incarnation };
        let values = member.copied_values.get(&(task.assignment, task.token)).cloned().unwrap_or_default();
        let (mut due, mut is_delayed) = self.send_time(number);
        if self.delays_next_copy && task.operation == CopyOperation::Write {
            (self.delays_next_copy, is_delayed) = (false, true);
            self.stall(number, 900_000);
            due = self.members[number].stalled_until + self.backend_delay();
        }
        self.send_at(due, Message::Copy { sender, task, values, is_delayed });
    }

    pub fn deliver(&mut self, message: Message) {
        match message {
            Message::Propose { from, command } => {
                let has_leader = self.leader.is_some_and(|leader| self.is_connected(leader));
                if has_leader && !self.members[from].is_cut_off {
                    self.append(self.members[from].name.clone(), command);
                }
            }
            Message::RequestLease { sender, requested_at, applied } => {
                self.request_lease(sender, requested_at, applied)
            }
            Message::GrantLease { to, requested_at, committed } => {
                if self.is_same_process(to) {
                    self.members[to.number].agent.renew_lease(requested_at, committed);
                }
            }
            Message::Write { sender, request, part, value, is_delayed } => {
                self.write_at_backend(sender, request, part, value, is_delayed);
            }
            Message::Read { sender, request, part } => {
                let values =
                    (!self.failed_backends.contains(&part.backend)).then(|| self.stored_values(&part));
                let due = self.now + self.backend_delay();
                self.send_at(due, Message::PartEnded { to: sender, request, part, values });
            }
            Message::Copy { sender, task, values, .. } => self.copy_at_backend(sender, task, values),
            Message::CopyEnded { to, .. } | Message::PartEnded { to, .. }
                if self.members[to.number].is_running && self.members[to.number].stalled_until > self.now =>
            {
                let due = self.members[to.number].stalled_until + self.backend_delay();
                self.send_at(due, message);
            }
            Message::CopyEnded { to, task, result, values } => {
                let now = self.local_time(to.number);
                if self.is_same_process(to) {
                    let member = &mut self.members[to.number];
                    if task.operation == CopyOperation::Read {
                        member.copied_values.insert((task.assignment, task.token), values);
                    }
                    member.agent.finish_copy(&task, now, result);
                }
            }
            Message::PartEnded { to, request, part, values } => {
                if self.is_same_process(to) {
                    self.finish_part(to.number, request, &part, values);
                }
            }
        }
    }

    fn is_same_process(&self, process: Sender) -> bool {
        let member = &self.members[process.number];
        member.is_running && member.incarnation == process.incarnation
    }

    fn request_lease(&mut self, sender: Sender, requested_at: Time, applied: Index) {
        let is_reachable = |leader: &usize| self.is_connected(*leader) && self.is_connected(sender.number);
        let Some(leader) = self.leader.filter(is_reachable) else { return };
        let (now, name) = (self.local_time(leader), self.members[sender.number].name.clone());
        let state = &self.members[leader].state;
        let lease = self.leader_state.grant_lease(now, &name, sender.incarnation, applied, state);
        if let Some(Lease { committed, .. }) = lease {
            self.send_unreliably(Message::GrantLease { to: sender, requested_at, committed });
        }
    }
}
