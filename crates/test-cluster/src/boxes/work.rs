//! What a box does with a command, however it came: turn it away, let it wait, run it, answer or stay silent.
use super::store::{Key, NEVER_WRITTEN};
use super::{Answer, Entry, Inner, State};
use crate::engine::{lock, pause};
use rand::Rng;
use std::io;
use std::sync::Arc;
use std::time::Duration;

/// How often a command that waits looks for a free slot.
const LOOK: Duration = Duration::from_millis(2);

/// A command, as it came.
pub(super) struct Order {
    pub first: Duration,
    pub front: String,
    pub id: String,
    pub volume: String,
    /// The pieces or blocks, from the first on.
    pub number: u64,
    pub shard: i64,
    pub units: u32,
    pub wait_ms: u64,
    /// What is to be written, a value for each number; none for a read of so many.
    pub body: Result<Vec<Arc<[u8]>>, u64>,
}

enum Fate {
    Well,
    Busy,
    Failed(bool),
    Silent(bool),
}

impl State {
    fn fate(&mut self) -> Fate {
        let m = &self.manner;
        let mut hit = |share: f64| share > 0.0 && self.rng.random_bool(share.min(1.0));
        if hit(m.busy) {
            Fate::Busy
        } else if hit(m.silent) {
            Fate::Silent(hit(m.silent_runs))
        } else if hit(m.fail) {
            Fate::Failed(hit(m.fail_runs))
        } else {
            Fate::Well
        }
    }

    fn slots(&self, now: Duration) -> usize {
        let cold = self.started.is_some_and(|s| now.saturating_sub(s) < self.manner.warm_up);
        if cold { self.manner.cold_slots } else { self.manner.slots }.max(1)
    }

    /// Units that the box has served for the volume through other fronts since it last told this one.
    pub(super) fn elsewhere(&mut self, volume: &str, front: &str) -> u64 {
        let total = self.served.get(volume).copied().unwrap_or(0);
        let (own, told) = self.own.entry((volume.into(), front.into())).or_default();
        let others = total - *own;
        std::mem::replace(told, others).abs_diff(others)
    }
}

/// A slot of the box, free again when dropped: the box's end drops what runs.
struct Slot<'a>(&'a Inner);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        let mut state = lock(&self.0.state);
        state.running = state.running.saturating_sub(1);
    }
}

impl Inner {
    /// Logs the command, and does with it what the box's manner says. None where it is never answered.
    pub(super) async fn work(&self, order: Order) -> Option<Result<Vec<Arc<[u8]>>, Answer>> {
        let (at, fate) = {
            let mut state = lock(&self.state);
            let fate = state.fate();
            state.log.push(Entry {
                order: self.clock.order(),
                first: order.first,
                whole: self.clock.now(),
                place: self.make.name.clone(),
                front: order.front.clone(),
                id: order.id.clone(),
                key: (order.volume.clone(), order.number),
                write: order.body.is_ok(),
                shard: order.shard,
                units: order.units,
                wait_ms: order.wait_ms,
                ran: None,
                answer: Answer::None,
            });
            (state.log.len() - 1, fate)
        };
        let end = |answer: Answer| {
            lock(&self.state).log[at].answer = answer.clone();
            Some(Err(answer))
        };
        if order.shard != -1 && order.shard != self.make.cell || matches!(fate, Fate::Busy) {
            return end(Answer::Busy);
        }
        match fate {
            Fate::Silent(false) => return None,
            Fate::Failed(false) => return end(Answer::Failed),
            _ => {}
        }
        let Some(slot) = self.slot(order.wait_ms).await else { return end(Answer::Busy) };
        let values = self.run(at, &order);
        let service = lock(&self.state).manner.service;
        pause(service).await;
        drop(slot);
        match fate {
            Fate::Silent(_) => None,
            Fate::Failed(_) => end(Answer::Failed),
            _ => {
                lock(&self.state).log[at].answer = Answer::Value(values.concat().into());
                Some(Ok(values))
            }
        }
    }

    /// A free slot; none where too many wait, or the command is over before there is one.
    async fn slot(&self, wait_ms: u64) -> Option<Slot<'_>> {
        let until = self.clock.now() + Duration::from_millis(wait_ms);
        let mut waits = false;
        loop {
            {
                let now = self.clock.now();
                let mut state = lock(&self.state);
                let free = state.running < state.slots(now);
                if waits && (free || now >= until) {
                    state.waiting = state.waiting.saturating_sub(1);
                }
                if free {
                    state.running += 1;
                    return Some(Slot(self));
                }
                if now >= until || (!waits && state.waiting >= state.manner.queue) {
                    return None;
                }
                if !std::mem::replace(&mut waits, true) {
                    state.waiting += 1;
                }
            }
            pause(LOOK).await;
        }
    }

    fn run(&self, at: usize, order: &Order) -> Vec<Arc<[u8]>> {
        let key = |n: u64| -> Key { (order.volume.clone(), order.number + n) };
        let mut shelf = lock(&self.make.shelf);
        let values: Vec<Arc<[u8]>> = match &order.body {
            Ok(parts) => {
                parts.iter().zip(0..).for_each(|(part, n)| shelf.write(key(n), part.clone()));
                vec![]
            }
            Err(count) => {
                let read = |n| shelf.read(&key(n)).unwrap_or_else(|| NEVER_WRITTEN.into());
                (0..*count).map(read).collect()
            }
        };
        // Under the shelf's lock: the order of what ran is the order of the data.
        let ran = (self.clock.now(), self.clock.order());
        drop(shelf);
        let mut state = lock(&self.state);
        state.log[at].ran = Some(ran);
        *state.served.entry(order.volume.clone()).or_default() += u64::from(order.units);
        state.own.entry((order.volume.clone(), order.front.clone())).or_default().0 += u64::from(order.units);
        values
    }

    /// Marks what made no sense.
    pub(super) fn senseless(&self, front: &str, first: Duration, what: &str) {
        lock(&self.state).log.push(Entry {
            order: self.clock.order(),
            first,
            whole: self.clock.now(),
            place: self.make.name.clone(),
            front: front.into(),
            id: what.into(),
            key: Key::default(),
            write: false,
            shard: -1,
            units: 0,
            wait_ms: 0,
            ran: None,
            answer: Answer::Syntax,
        });
    }

    /// Writes, no faster than the box's manner says.
    pub(super) async fn write(
        &self,
        mut stream: &async_io::Async<std::net::TcpStream>,
        bytes: &[u8],
    ) -> io::Result<()> {
        use futures_lite::AsyncWriteExt;
        let Some(rate) = lock(&self.state).manner.rate else { return stream.write_all(bytes).await };
        for part in bytes.chunks((rate as usize / 50).max(1)) {
            stream.write_all(part).await?;
            pause(Duration::from_secs_f64(part.len() as f64 / f64::from(rate.max(1)))).await;
        }
        Ok(())
    }
}
