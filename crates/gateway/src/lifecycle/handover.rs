//! Two processes of one front, the one that serves and the one that follows it. Each looks for the other's lock. While both
//! live they share the machine, the limits of volumes and what servers in slow start bear: each counts on a half of these,
//! and on the descriptors that the other does not hold. What operators have taken out goes over in a file too.
use crate::admin::suspension_files;
use crate::backend::pool::BackendPool;
use crate::context::{Context, OtherProcess};
use crate::lifecycle::process_lock::ProcessLock;
use crate::messages::{SchedulerMailbox, SchedulerMessage};
use async_io::Timer;
use std::rc::Rc;
use std::time::Duration;

/// How often it looks for the other. Until it has seen it, it sends what limits allow a whole front; the rule's slack
/// is what they allow in 150 ms.
const LOOK: Duration = Duration::from_millis(50);

/// Takes this process's lock, and looks for another process that lives. Without a folder, or in one that takes no file for
/// now, the lock is tried again at each look.
pub fn begin(context: &Context) -> Option<ProcessLock> {
    let mut lock = ProcessLock::new(context)?;
    if let Err(error) = lock.take() {
        crate::log::line(format_args!("handover error={error}"));
    }
    context.lifecycle.other.set(lock.look());
    Some(lock)
}

/// Looks for the other process until this one ends, and puts in force what follows from it.
pub async fn run(
    context: Rc<Context>,
    scheduler: SchedulerMailbox,
    pool: Rc<BackendPool>,
    mut lock: ProcessLock,
) {
    loop {
        let descriptors = context.held();
        // A disk may take its time, and the one thread must not wait for it.
        let looked = blocking::unblock(move || {
            // An error was logged at the first try; what counts is that it is taken in the end.
            let _ = lock.take();
            lock.tell(descriptors);
            let found = lock.look();
            let suspensions =
                (found != OtherProcess::None).then(|| suspension_files::read(lock.front())).flatten();
            (lock, found, suspensions)
        });
        let (back, found, suspensions) = looked.await;
        lock = back;
        let before = context.lifecycle.other.replace(found);
        if std::mem::discriminant(&before) != std::mem::discriminant(&found) {
            crate::log::line(format_args!("handover other={found:?}"));
            let _ = scheduler.send(SchedulerMessage::Share).await;
        }
        // The calls of operators may reach either; what they take out must be out for both.
        if pool.take_over(suspensions) {
            pool.apply().await;
        }
        Timer::after(LOOK).await;
    }
}
