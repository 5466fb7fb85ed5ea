//! Clients that read and write, and never retry.
use super::*;

/// A client's request.
pub struct ClientRequest {
    pub blocks: BlockRange,
    /// The value to write; None for a read.
    pub value: Option<u64>,
    started: u64,
    ticket: Option<u64>,
    sent: u64,
    /// The number of parts that have not ended.
    pending_parts: u64,
    /// Whether the member stalled immediately before it sent the command.
    is_delayed: bool,
    is_caught_up: bool,
    is_unknown: bool,
    read: BTreeMap<u64, u64>,
}

/// The maximum time until a command is sent, in microseconds.
const MAX_WAIT: u64 = 600_000;
/// The maximum time from then until it ends, in microseconds.
const MAX_RUN: u64 = 40_000;

impl Simulation {
    /// Starts new clients of a member, and sends or times out the commands of waiting ones.
    pub fn serve_clients(&mut self, number: usize) {
        if self.rng.random_bool(self.load) {
            self.new_client(number);
        }
        for id in self.members[number].clients.keys().copied().collect::<Vec<_>>() {
            let request = &self.members[number].clients[&id];
            match request.ticket {
                None => self.try_send(number, id),
                Some(ticket) if !request.is_delayed && self.now > request.sent + MAX_RUN => {
                    self.members[number].clients.remove(&id);
                    let now = self.local_time(number);
                    self.members[number].agent.finish(ticket, now, CommandResult::Unknown);
                    self.count("client timeouts");
                }
                Some(_) => {}
            }
            if !self.is_active(number) {
                return;
            }
        }
    }

    fn new_client(&mut self, number: usize) {
        let first = self.rng.random_range(0..30);
        let blocks = BlockRange { first, end: first + self.rng.random_range(1..3) };
        self.last_id += 1;
        let value = self.rng.random_bool(0.5).then_some(self.last_id);
        if let Some(value) = value {
            (blocks.first..blocks.end).for_each(|block| self.history.begin_write(block, value, self.now));
        }
        let request = ClientRequest {
            blocks,
            value,
            started: self.now,
            ticket: None,
            sent: 0,
            pending_parts: 0,
            is_delayed: false,
            is_caught_up: true,
            is_unknown: false,
            read: BTreeMap::new(),
        };
        self.members[number].clients.insert(self.last_id, request);
    }

    fn try_send(&mut self, number: usize, id: u64) {
        let now = self.local_time(number);
        let request = &self.members[number].clients[&id];
        let (blocks, value, started) = (request.blocks, request.value, request.started);
        match self.members[number].agent.permit(now, &volume(), blocks, value.is_some()) {
            Permission::Denied(reason) => {
                self.members[number].clients.remove(&id);
                self.count(match reason {
                    DenialReason::LeaseExpired => "denied: lease expired",
                    DenialReason::NotCaughtUp => "denied: not caught up",
                    DenialReason::Overloaded => "denied: overloaded",
                });
            }
            Permission::Wait => {
                self.longest_wait = self.longest_wait.max(self.now - started);
                if value.is_none() {
                    self.count("waiting reads");
                }
                if self.now > started + MAX_WAIT {
                    self.members[number].clients.remove(&id);
                    self.count("wait timeouts");
                }
            }
            Permission::Granted { parts, ticket, is_caught_up } => {
                self.send(number, id, parts, ticket, is_caught_up);
            }
        }
    }

    fn send(&mut self, number: usize, id: u64, parts: Vec<PlacedRange>, ticket: u64, is_caught_up: bool) {
        let (due, is_delayed) = self.send_time(number);
        let member = &mut self.members[number];
        let sender = Sender { number, incarnation: member.incarnation };
        let request = member.clients.get_mut(&id).unwrap();
        request.ticket = Some(ticket);
        request.sent = self.now;
        request.pending_parts = parts.len() as u64;
        request.is_delayed = is_delayed;
        request.is_caught_up = is_caught_up;
        let value = request.value;
        for part in parts {
            let due = due + self.rng.random_range(0..3_000);
            let message = match value {
                Some(value) => Message::Write { sender, request: id, part, value, is_delayed },
                None => Message::Read { sender, request: id, part },
            };
            self.send_at(due, message);
        }
    }

    /// Records the result of a part of a request: the values of its blocks, or None if the result is unknown.
    pub fn finish_part(&mut self, number: usize, id: u64, part: &PlacedRange, values: Option<Vec<u64>>) {
        let now = self.local_time(number);
        let Some(request) = self.members[number].clients.get_mut(&id) else { return };
        request.pending_parts -= 1;
        request.is_unknown |= values.is_none();
        request.read.extend((part.blocks.first..part.blocks.end).zip(values.unwrap_or_default()));
        if request.pending_parts > 0 {
            return;
        }
        let request = self.members[number].clients.remove(&id).unwrap();
        let result = if request.is_unknown { CommandResult::Unknown } else { CommandResult::Completed };
        let reply = self.members[number].agent.finish(request.ticket.unwrap(), now, result);
        match request.value {
            Some(_) if reply == Reply::MayHaveRun => self.count("may have run"),
            Some(value) => {
                for block in request.blocks.first..request.blocks.end {
                    self.history.answer_write(block, value, self.now);
                }
                self.count("writes");
            }
            None if request.is_unknown => {}
            None if !request.is_caught_up => self.count("possibly outdated reads"),
            None => {
                for (block, value) in request.read {
                    let found = self.history.check_read(block, value, request.started.max(request.sent));
                    self.violations.extend(found.err());
                }
                self.count("reads");
            }
        }
    }
}
