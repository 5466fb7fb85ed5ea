//! Stand-in backends: they run commands and check that none runs too late.
use super::*;

impl Simulation {
    /// What a backend has stored in a range; 0 for what was never written.
    pub fn stored_values(&self, range: &PlacedRange) -> Vec<u64> {
        let stored = &self.backends[&range.backend];
        let blocks = range.blocks.first..range.blocks.end;
        blocks.map(|block| stored.get(&block).copied().unwrap_or(0)).collect()
    }

    pub fn write_at_backend(
        &mut self,
        sender: Sender,
        request: u64,
        part: PlacedRange,
        value: u64,
        is_delayed: bool,
    ) {
        let is_running = !self.failed_backends.contains(&part.backend);
        if is_running {
            for block in part.blocks.first..part.blocks.end {
                self.write_block(&part, block, value, is_delayed);
            }
        }
        let due = self.now + self.backend_delay();
        let values = is_running.then(Vec::new);
        self.send_at(due, Message::PartEnded { to: sender, request, part, values });
    }

    fn write_block(&mut self, part: &PlacedRange, block: u64, value: u64, is_delayed: bool) {
        self.backends.get_mut(&part.backend).unwrap().insert(block, value);
        let ran = self.history.run_write(block, value, &part.backend.0);
        self.violations.extend(ran.err());
        let is_late = self.released_epochs.get(&block).is_some_and(|released| part.epoch < *released);
        if is_late && !is_delayed {
            let now = self.now;
            self.violations.push(format!("{value} ran at the old place of block {block} at {now}"));
        }
        if is_late {
            self.count("late strays");
        }
    }

    pub fn copy_at_backend(&mut self, sender: Sender, order: CopyOrder, values: Vec<u64>) {
        let due = self.now + self.backend_delay();
        let blocks = order.blocks.first..order.blocks.end;
        let place = PlacedRange { blocks: order.blocks, backend: order.backend.clone(), epoch: Index(0) };
        let stored = self.stored_values(&place);
        let (mut result, mut read) = (CopyResult::Done, Vec::new());
        match order.work {
            _ if self.failed_backends.contains(&order.backend) => result = CopyResult::Unknown,
            CopyWork::Read => read = stored,
            CopyWork::Compare if stored != values => result = CopyResult::Differs,
            CopyWork::Compare => {}
            CopyWork::Write => {
                let backend = self.backends.get_mut(&order.backend).unwrap();
                backend.extend(blocks.clone().zip(values));
                let is_newer = |block: u64| {
                    self.released_epochs.get(&block).is_some_and(|epoch| *epoch > order.migration)
                };
                if blocks.clone().any(is_newer) {
                    self.violations.push(format!("a late copy overwrote {:?}", order.blocks));
                }
            }
        }
        if self.rng.random_bool(self.loss) && result == CopyResult::Done {
            result = CopyResult::Unknown;
        }
        self.send_at(due, Message::CopyEnded { to: sender, order, result, values: read });
    }
}
