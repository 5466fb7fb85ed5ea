//! Fronts that die, start again, or stall.
use super::*;

impl Sim {
    pub fn kill(&mut self, i: usize) {
        let life = self.nodes[i].life;
        self.nodes[i].up = false;
        self.nodes[i].stalled = 0;
        self.nodes[i].ops.clear();
        self.mail.retain(|_, m| !m.unsent_of(i, life));
        self.count("kills");
    }

    pub fn restart(&mut self, i: usize, kept: bool) {
        let now = self.local(i);
        let node = &mut self.nodes[i];
        node.life += 1;
        if !kept {
            node.moves = Moves::new();
        }
        let known = Arc::new(node.moves.clone());
        node.front = Front::new(node.me.clone(), node.life, rules(), Controlled::All, known, now);
        node.held.clear();
        node.orders.clear();
        (node.up, node.stalled) = (true, 0);
        let (me, life) = (node.me.clone(), node.life);
        self.append(me, Command::Present { life });
    }

    pub fn stall(&mut self, i: usize, span: u64) {
        self.nodes[i].stalled = self.nodes[i].stalled.max(self.now + span);
    }
}
