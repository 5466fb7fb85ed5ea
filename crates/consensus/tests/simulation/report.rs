//! Counts of what happened in a simulated schedule.

#[derive(Debug, Default)]
pub struct Report {
    pub commits: u64,
    pub reads: u64,
    pub elections: u64,
    pub restores: u64,
    pub lost_disks: u64,
    pub leased_steps: u64,
    pub steps: u64,
    pub stuck: u64,
}

impl Report {
    pub fn add(&mut self, other: &Report) {
        self.commits += other.commits;
        self.reads += other.reads;
        self.elections += other.elections;
        self.restores += other.restores;
        self.lost_disks += other.lost_disks;
        self.leased_steps += other.leased_steps;
        self.steps += other.steps;
        self.stuck += other.stuck;
    }
}
