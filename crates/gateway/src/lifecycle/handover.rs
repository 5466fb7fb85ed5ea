//! The handover between two processes of one gateway: the running predecessor and its successor. Each watches the other's lock.
//! While both are alive they share the machine, the limits of volumes and the slow-start budgets of backends: each uses half of these,
//! and the descriptors that the other does not use. Operators' suspensions are handed over in files.
use crate::admin::suspension_files;
use crate::backend::pool::BackendPool;
use crate::context::{Context, OtherProcess};
use crate::lifecycle::process_lock::ProcessLock;
use crate::messages::{SchedulerMailbox, SchedulerMessage};
use async_io::Timer;
use std::rc::Rc;
use std::time::Duration;

/// How often the other process's lock is checked. Until the other process is detected, this process uses the full limits; the service
/// tolerates that for 150 ms.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Takes the process lock and looks for another process; `None` without a folder. [`run`] retries a lock that can't be
/// taken now.
pub fn begin(context: &Context) -> Option<ProcessLock> {
    let mut lock = ProcessLock::new(context)?;
    if let Err(error) = lock.take() {
        crate::log::line(format_args!("handover error={error}"));
    }
    context.lifecycle.other_process.set(lock.other_process());
    Some(lock)
}

/// Watches for the other process until this one ends, and adjusts the shares of the limits and the suspensions accordingly.
pub async fn run(
    context: Rc<Context>,
    scheduler: SchedulerMailbox,
    pool: Rc<BackendPool>,
    mut lock: ProcessLock,
) {
    loop {
        let descriptors = context.used_descriptors();
        // On a blocking thread, since the disk may be slow.
        let check = blocking::unblock(move || {
            // An error was logged by `begin`, and the next check tries again.
            drop(lock.take());
            lock.publish_descriptors(descriptors);
            let found = lock.other_process();
            let persisted =
                (found != OtherProcess::None).then(|| suspension_files::read(lock.prefix())).flatten();
            (lock, found, persisted)
        });
        let (checked_lock, found, persisted) = check.await;
        lock = checked_lock;
        let before = context.lifecycle.other_process.replace(found);
        if std::mem::discriminant(&before) != std::mem::discriminant(&found) {
            crate::log::line(format_args!("handover other={found:?}"));
            // The mailbox is closed only at the end of the process.
            drop(scheduler.send(SchedulerMessage::ShareChanged).await);
        }
        // Operators' calls may reach either process, and suspensions count for both.
        if pool.take_over_suspensions(persisted) {
            pool.apply_suspensions().await;
        }
        Timer::after(CHECK_INTERVAL).await;
    }
}
