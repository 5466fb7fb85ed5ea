//! Two processes of one front, the one that serves and the one that follows it. Each holds a lock on a file of its own
//! under `TMPDIR` and looks for the other's: a file whose lock can be had is one of a process that has ended. While both
//! live they share the machine, the limits of volumes and what cold boxes bear: each counts on a half of these, and on
//! the descriptors that the other does not hold. What operators have banned goes over in a file too.
use crate::bans;
use crate::boxes::Boxes;
use crate::context::{Context, Other};
use crate::files::{beside, path};
use crate::mail::{Mail, Module};
use async_io::Timer;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{Seek, Write};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

/// How often it looks for the other. Until it has seen it, it sends what limits allow a whole front; the rule's slack
/// is what they allow in 150 ms.
const LOOK: Duration = Duration::from_millis(50);

/// This process's own file.
pub struct Claim {
    file: File,
    path: PathBuf,
    front: PathBuf,
    told: usize,
}

impl Claim {
    /// Makes the file, named after the time so that later ones come later in order, and locks it.
    pub fn make(context: &Context) -> Option<Claim> {
        let front = path(context)?;
        let path = front.with_extension(format!("{:020}.live", context.clock.now().0));
        // Locked before it has its name: one that looks meanwhile would take it for what a dead process left.
        let half = path.with_extension("made");
        let made = OpenOptions::new().create_new(true).write(true).open(&half);
        let locked = made.and_then(|file| file.try_lock().map(|()| file).map_err(Into::into));
        match locked.and_then(|file| std::fs::rename(&half, &path).map(|()| file)) {
            Ok(file) => Some(Claim { file, path, front, told: 0 }),
            Err(e) => {
                crate::log::line(format_args!("handover error={}: {e}", path.display()));
                None
            }
        }
    }

    /// The other process, where one lives.
    pub fn look(&self) -> Other {
        let mut found = Other::None;
        for path in beside(&self.front) {
            if path.extension().is_none_or(|e| e != "live") || path == self.path {
                continue;
            }
            match File::open(&path).map(|file| file.try_lock()) {
                // Guards against what a killed process has left.
                Ok(Ok(())) => drop(std::fs::remove_file(&path)),
                Ok(Err(TryLockError::WouldBlock)) => {
                    let held = std::fs::read_to_string(&path).ok().and_then(|t| t.trim().parse().ok());
                    let held = held.unwrap_or(0);
                    found = if path > self.path { Other::After(held) } else { Other::Before(held) };
                }
                _ => {}
            }
        }
        found
    }

    /// Tells the other how many descriptors this process holds.
    fn tell(&mut self, held: usize) {
        if std::mem::replace(&mut self.told, held) == held {
            return;
        }
        let _ = self.file.rewind().and_then(|()| self.file.write_all(format!("{held:8}\n").as_bytes()));
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

/// Looks for the other process until this one ends, and puts in force what follows from it.
pub async fn run(context: Rc<Context>, module: Module, boxes: Rc<Boxes>, mut claim: Claim) {
    loop {
        let held = context.held();
        // Guards everything else: a disk may take its time, and the one thread must not wait for it.
        let looked = blocking::unblock(move || {
            claim.tell(held);
            let found = claim.look();
            let bans = (found != Other::None).then(|| bans::read(&claim.front)).flatten();
            (claim, found, bans)
        });
        let (back, found, bans) = looked.await;
        claim = back;
        let before = context.life.other.replace(found);
        if std::mem::discriminant(&before) != std::mem::discriminant(&found) {
            crate::log::line(format_args!("handover other={found:?}"));
            let _ = module.send(Mail::Share).await;
        }
        // The calls of operators may reach either; a ban must hold for both.
        if boxes.take_over(bans) {
            boxes.apply().await;
        }
        Timer::after(LOOK).await;
    }
}
