//! Late and repeated commands are ignored.
#![allow(clippy::unwrap_used)]
use cluster_types::{BlockRange, Index, MemberId, Volume};
use resharding::*;

struct Log {
    state: ReshardingState,
    last_index: u64,
}

impl Log {
    fn append(&mut self, issuer: &str, command: Command) -> Index {
        self.last_index += 1;
        self.state.apply(Index(self.last_index), 0, &MemberId::from(issuer), &command);
        Index(self.last_index)
    }

    fn assert_ignored(&mut self, issuer: &str, command: Command) {
        let before = self.state.clone();
        self.append(issuer, command.clone());
        let after = &self.state;
        assert_eq!(before.migrations, after.migrations, "{command:?}");
        assert_eq!(before.placement, after.placement, "{command:?}");
        assert_eq!(before.present, after.present, "{command:?}");
        assert_eq!(before.ignored, after.ignored - 1, "{command:?}");
    }
}

#[test]
fn ignores_late_and_repeated_commands() {
    let all = BlockRange { first: 0, end: 8 };
    let mut log = Log { state: ReshardingState::new(), last_index: 0 };
    log.append("a", Command::Join { incarnation: 1 });
    log.append("b", Command::Join { incarnation: 1 });
    log.append("a", Command::Adopt { volume: Volume::from("v"), ranges: vec![(all, "x".into())] });
    log.assert_ignored("a", Command::Adopt { volume: Volume::from("v"), ranges: vec![(all, "y".into())] });
    let (volume, from, to) = (Volume::from("v"), "x".into(), "y".into());
    let steps = vec![Step { id: 1, volume, blocks: all, from, to, after: vec![], reason: String::new() }];
    log.append("a", Command::ReplacePlan { plan: "p".into(), steps, bounds: Bounds::default() });
    let migration = log.append("a", Command::Begin { step: 1 });
    log.assert_ignored("a", Command::Begin { step: 1 });
    // Commands of incarnation 1 come from a process that was replaced; its successor does not know that they were sent.
    log.append("b", Command::Join { incarnation: 2 });
    let never = Index(0);
    let acknowledge =
        |incarnation, last_revocation| Command::Acknowledge { migration, incarnation, last_revocation };
    log.assert_ignored("b", acknowledge(1, never));
    log.assert_ignored("b", Command::Join { incarnation: 1 });
    log.assert_ignored("b", Command::Leave { incarnation: 1 });
    log.append("a", acknowledge(1, never));
    log.append("b", acknowledge(2, never));
    let assignment = log.append("a", Command::AssignMigrator { migration, migrator: "a".into() });
    log.assert_ignored("a", Command::AssignMigrator { migration, migrator: "b".into() });
    let chunks = vec![(all, Index(99))];
    let copied = |assignment| Command::ReportCopied { migration, assignment, chunks: chunks.clone() };
    log.assert_ignored("b", copied(assignment));
    log.assert_ignored("a", copied(Index(1)));
    let revocation = log.append("a", Command::Revoke { member: "a".into(), incarnation: 1 });
    // Repeated by the network: sent before the revocation.
    log.assert_ignored("a", acknowledge(1, never));
    log.assert_ignored("a", copied(assignment));
    log.assert_ignored(
        "a",
        Command::ReportWrites { migration, incarnation: 1, report: 1, blocks: vec![all] },
    );
    let second = log.append("a", Command::AssignMigrator { migration, migrator: "b".into() });
    log.append("b", copied(second));
    log.assert_ignored("x", Command::Freeze { migration });
    assert!(log.state.status()[0].waiting_for[0].contains("a copied and was lost"));
    log.append("a", acknowledge(1, revocation));
    assert_eq!(log.state.migrations[&migration].uncopied.len(), 8, "a late copy may have overwritten it");
    log.assert_ignored("a", Command::ConfirmSwitch { migration, incarnation: 1 });
    log.assert_ignored("a", Command::Release { migration });
    let freeze = Index(3);
    log.assert_ignored(
        "a",
        Command::ReportQuiet { migration, freeze, incarnation: 1, report: 9, blocks: vec![] },
    );
    assert!(log.state.apply(Index(3), 0, &"a".into(), &Command::Cancel { migration }).is_empty());
}
