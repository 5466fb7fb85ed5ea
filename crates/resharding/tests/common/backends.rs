//! Simulated backends: execute commands and check that none runs after its range was released.
use super::*;

impl Simulation {
    /// The values that a backend stores in a range; 0 for blocks that were never written.
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
            self.count("writes after release");
        }
    }

    pub fn copy_at_backend(&mut self, sender: Sender, task: CopyTask, values: Vec<u64>) {
        let due = self.now + self.backend_delay();
        let blocks = task.blocks.first..task.blocks.end;
        let place = PlacedRange { blocks: task.blocks, backend: task.backend.clone(), epoch: Index(0) };
        let stored = self.stored_values(&place);
        let (mut result, mut read) = (CopyResult::Done, Vec::new());
        match task.operation {
            _ if self.failed_backends.contains(&task.backend) => result = CopyResult::Unknown,
            CopyOperation::Read => read = stored,
            CopyOperation::Compare if stored != values => result = CopyResult::Differs,
            CopyOperation::Compare => {}
            CopyOperation::Write => {
                let backend = self.backends.get_mut(&task.backend).unwrap();
                backend.extend(blocks.clone().zip(values));
                let is_newer = |block: u64| {
                    self.released_epochs.get(&block).is_some_and(|epoch| *epoch > task.migration)
                };
                if blocks.clone().any(is_newer) {
                    self.violations.push(format!("a late copy overwrote {:?}", task.blocks));
                }
            }
        }
        if self.rng.random_bool(self.loss) && result == CopyResult::Done {
            result = CopyResult::Unknown;
        }
        self.send_at(due, Message::CopyEnded { to: sender, task, result, values: read });
    }
}
