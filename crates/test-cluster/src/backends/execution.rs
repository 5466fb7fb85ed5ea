//! Processing of a command, whatever its protocol: reject it, queue it, execute it, and answer it or leave it
//! unanswered.
use super::store::{Key, NEVER_WRITTEN};
use super::{Answer, CommandRecord, Inner, State};
use crate::runtime::{lock, sleep};
use rand::Rng;
use std::io;
use std::sync::Arc;
use std::time::Duration;

/// Interval at which a queued command checks for a free slot.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A command, as it was received.
pub(super) struct Command {
    pub first_byte_at: Duration,
    pub gateway: String,
    pub id: String,
    pub volume: String,
    /// The first piece or block.
    pub number: u64,
    pub shard: i64,
    pub units: u32,
    pub wait_ms: u64,
    /// The values to be written, one for each piece or block, or the number of pieces or blocks to be read.
    pub body: Result<Vec<Arc<[u8]>>, u64>,
}

enum InjectedFault {
    Normal,
    Busy,
    Failed(bool),
    Silent(bool),
}

impl State {
    fn draw_fault(&mut self) -> InjectedFault {
        let behavior = &self.behavior;
        let mut happens = |share: f64| share > 0.0 && self.rng.random_bool(share.min(1.0));
        if happens(behavior.busy_share) {
            InjectedFault::Busy
        } else if happens(behavior.silent_share) {
            InjectedFault::Silent(happens(behavior.executed_silent_share))
        } else if happens(behavior.fail_share) {
            InjectedFault::Failed(happens(behavior.executed_fail_share))
        } else {
            InjectedFault::Normal
        }
    }

    fn slot_count(&self, now: Duration) -> usize {
        let cold = self.started.is_some_and(|s| now.saturating_sub(s) < self.behavior.warm_up);
        if cold { self.behavior.max_running_cold } else { self.behavior.max_running }.max(1)
    }

    /// Units that the backend has served for the volume through other gateways since it last reported them to
    /// this one.
    pub(super) fn take_cost_of_other_gateways(&mut self, volume: &str, gateway: &str) -> u64 {
        let total = self.served.get(volume).copied().unwrap_or(0);
        let (own, reported) = self.per_gateway.entry((volume.into(), gateway.into())).or_default();
        let others = total - *own;
        std::mem::replace(reported, others).abs_diff(others)
    }
}

/// An execution slot. Dropping it frees the slot, so a backend that stops releases the slots of its commands.
struct Slot<'a>(&'a Inner);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        let mut state = lock(&self.0.state);
        state.running = state.running.saturating_sub(1);
    }
}

impl Inner {
    /// Logs the command and processes it as the backend's behavior says. None if it is never answered.
    pub(super) async fn execute(&self, command: Command) -> Option<Result<Vec<Arc<[u8]>>, Answer>> {
        let (index, fault) = {
            let mut state = lock(&self.state);
            let fault = state.draw_fault();
            state.log.push(CommandRecord {
                sequence: self.clock.next_sequence(),
                first_byte_at: command.first_byte_at,
                last_byte_at: self.clock.now(),
                backend: self.config.name.clone(),
                gateway: command.gateway.clone(),
                id: command.id.clone(),
                key: (command.volume.clone(), command.number),
                is_write: command.body.is_ok(),
                shard: command.shard,
                units: command.units,
                wait_ms: command.wait_ms,
                executed: None,
                answer: Answer::None,
            });
            (state.log.len() - 1, fault)
        };
        let finish = |answer: Answer| {
            lock(&self.state).log[index].answer = answer.clone();
            Some(Err(answer))
        };
        if command.shard != -1 && command.shard != self.config.shard || matches!(fault, InjectedFault::Busy) {
            return finish(Answer::Busy);
        }
        match fault {
            InjectedFault::Silent(false) => return None,
            InjectedFault::Failed(false) => return finish(Answer::Failed),
            _ => {}
        }
        let Some(slot) = self.acquire_slot(command.wait_ms).await else { return finish(Answer::Busy) };
        let values = self.apply(index, &command);
        let service = lock(&self.state).behavior.service_time;
        sleep(service).await;
        drop(slot);
        match fault {
            InjectedFault::Silent(_) => None,
            InjectedFault::Failed(_) => finish(Answer::Failed),
            _ => {
                lock(&self.state).log[index].answer = Answer::Value(values.concat().into());
                Some(Ok(values))
            }
        }
    }

    /// Waits for a free slot; none if too many commands wait, or if the wait ends before a slot is free.
    async fn acquire_slot(&self, wait_ms: u64) -> Option<Slot<'_>> {
        let deadline = self.clock.now() + Duration::from_millis(wait_ms);
        let mut is_waiting = false;
        loop {
            {
                let now = self.clock.now();
                let mut state = lock(&self.state);
                let has_free_slot = state.running < state.slot_count(now);
                if is_waiting && (has_free_slot || now >= deadline) {
                    state.waiting = state.waiting.saturating_sub(1);
                }
                if has_free_slot {
                    state.running += 1;
                    return Some(Slot(self));
                }
                if now >= deadline || (!is_waiting && state.waiting >= state.behavior.max_queued) {
                    return None;
                }
                if !std::mem::replace(&mut is_waiting, true) {
                    state.waiting += 1;
                }
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    fn apply(&self, index: usize, command: &Command) -> Vec<Arc<[u8]>> {
        let key = |n: u64| -> Key { (command.volume.clone(), command.number + n) };
        let mut store = lock(&self.config.store);
        let values: Vec<Arc<[u8]>> = match &command.body {
            Ok(parts) => {
                parts.iter().zip(0..).for_each(|(value, n)| store.write(key(n), value.clone()));
                vec![]
            }
            Err(count) => {
                let read = |n| store.read(&key(n)).unwrap_or_else(|| NEVER_WRITTEN.into());
                (0..*count).map(read).collect()
            }
        };
        // Taken while the store is locked, so that the sequence of commands is that of their effects on the
        // data.
        let executed = (self.clock.now(), self.clock.next_sequence());
        drop(store);
        let mut state = lock(&self.state);
        state.log[index].executed = Some(executed);
        *state.served.entry(command.volume.clone()).or_default() += u64::from(command.units);
        state.per_gateway.entry((command.volume.clone(), command.gateway.clone())).or_default().0 +=
            u64::from(command.units);
        values
    }

    /// Logs input that is not a valid command.
    pub(super) fn record_malformed(&self, gateway: &str, first_byte_at: Duration, description: &str) {
        lock(&self.state).log.push(CommandRecord {
            sequence: self.clock.next_sequence(),
            first_byte_at,
            last_byte_at: self.clock.now(),
            backend: self.config.name.clone(),
            gateway: gateway.into(),
            id: description.into(),
            key: Key::default(),
            is_write: false,
            shard: -1,
            units: 0,
            wait_ms: 0,
            executed: None,
            answer: Answer::Syntax,
        });
    }

    /// Writes at the rate that the backend's behavior allows.
    pub(super) async fn write(
        &self,
        mut stream: &async_io::Async<std::net::TcpStream>,
        bytes: &[u8],
    ) -> io::Result<()> {
        use futures_lite::AsyncWriteExt;
        let Some(rate) = lock(&self.state).behavior.max_bytes_s else { return stream.write_all(bytes).await };
        for chunk in bytes.chunks((rate as usize / 50).max(1)) {
            stream.write_all(chunk).await?;
            sleep(Duration::from_secs_f64(chunk.len() as f64 / f64::from(rate.max(1)))).await;
        }
        Ok(())
    }
}
