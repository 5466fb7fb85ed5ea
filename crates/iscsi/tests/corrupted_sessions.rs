//! Corrupted input: a session neither panics nor reports a write beyond the end of the disk.
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
fn corrupted_sessions_neither_panic_nor_write_beyond_the_disk() {
    let disks = vec![Disk { lun: 0, blocks: 64, serial: "s".into() }];
    let description = Rc::new(TargetDescription { name: "iqn.t".into(), address: "a".into(), disks });
    let mut valid_bytes = vec![];
    let mut initiator = Initiator::default();
    initiator.login("iqn.i", Some("iqn.t"), [0x80, 0, 0, 0, 0, 1], &mut valid_bytes);
    let mut login_target = Target::new(description.clone(), 1);
    let (mut out, mut events) = (vec![], vec![]);
    login_target.read(&valid_bytes, &mut out, &mut events).unwrap();
    initiator.read(&out, &mut vec![]).unwrap();
    for (is_write, lba) in [(true, 0), (false, 3), (true, 63)] {
        let data = vec![7; 512];
        let cdb = iscsi::scsi::transfer_cdb(is_write, lba, 1);
        initiator.command(0, &cdb, is_write.then_some(data.as_slice()), 512, &mut valid_bytes);
    }
    let (mut state, mut write_count) = (0x9e37_79b9_7f4a_7c15, 0);
    for round in 0..20_000 {
        let mut bytes = valid_bytes.clone();
        for _ in 0..round % 5 {
            let position = next_random(&mut state) as usize % bytes.len();
            bytes[position] = next_random(&mut state) as u8;
        }
        let mut target = Target::new(description.clone(), 1);
        let (mut out, mut events, mut offset) = (vec![], vec![], 0);
        while let Ok(consumed @ 1..) = target.read(&bytes[offset..], &mut out, &mut events) {
            offset += consumed;
        }
        for event in events {
            if let Event::Write { data, lba, .. } = event {
                write_count += 1;
                assert!(data.len() % 512 == 0 && lba * 512 + data.len() as u64 <= 64 * 512);
            }
        }
    }
    assert!(write_count > 8_000, "{write_count}: intact sessions succeed");
}
