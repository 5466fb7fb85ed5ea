//! Damaged bytes: a session ends or goes on, and neither panics nor takes anything but a sound write for one.
#![allow(clippy::unwrap_used)]
use iscsi::initiator::Initiator;
use iscsi::scsi::Disk;
use iscsi::target::{Event, Target, TargetDescription};
use std::rc::Rc;

fn next_random(state: &mut u64) -> u64 {
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    *state
}

#[test]
fn damaged_sessions_neither_panic_nor_write_beyond_the_disk() {
    let disks = vec![Disk { lun: 0, blocks: 64, serial: "s".into() }];
    let description = Rc::new(TargetDescription { name: "iqn.t".into(), address: "a".into(), disks });
    let mut good = vec![];
    let mut initiator = Initiator::default();
    initiator.login("iqn.i", Some("iqn.t"), [0x80, 0, 0, 0, 0, 1], &mut good);
    let mut scratch = Target::new(description.clone(), 1);
    let (mut out, mut events) = (vec![], vec![]);
    scratch.read(&good, &mut out, &mut events).unwrap();
    initiator.read(&out, &mut vec![]).unwrap();
    for (write, lba) in [(true, 0), (false, 3), (true, 63)] {
        let data = vec![7; 512];
        let cdb = iscsi::scsi::transfer_cdb(write, lba, 1);
        initiator.command(0, &cdb, write.then_some(data.as_slice()), 512, &mut good);
    }
    let (mut state, mut writes) = (0x9e37_79b9_7f4a_7c15, 0);
    for round in 0..20_000 {
        let mut bytes = good.clone();
        for _ in 0..round % 5 {
            let at = next_random(&mut state) as usize % bytes.len();
            bytes[at] = next_random(&mut state) as u8;
        }
        let mut target = Target::new(description.clone(), 1);
        let (mut out, mut events, mut at) = (vec![], vec![], 0);
        while let Ok(used @ 1..) = target.read(&bytes[at..], &mut out, &mut events) {
            at += used;
        }
        for event in events {
            if let Event::Write { data, lba, .. } = event {
                writes += 1;
                assert!(data.len() % 512 == 0 && lba * 512 + data.len() as u64 <= 64 * 512);
            }
        }
    }
    assert!(writes > 8_000, "{writes}: sound sessions succeed");
}
