//! The handover between two processes of one gateway: the running predecessor and its successor. Each watches the other's lock.
//! While both are alive they share the machine, the limits of volumes and the slow-start budgets of backends: each uses half of these,
//! and the descriptors that the other does not use. Operators' suspensions are handed over in files.
use crate::admin::suspension_files;
use crate::backend::pool::BackendPool;
use crate::context::{Context, OtherProcess};
use crate::lifecycle::process_lock::ProcessLock;
use crate::lifecycle::write_claims::WriteClaims;
use crate::messages::{SchedulerMailbox, SchedulerMessage};
use async_io::Timer;
use std::rc::Rc;
use std::time::Duration;

/// How often the other process's lock is checked. Until the other process is detected, this process uses the full limits; the service
/// tolerates that for 150 ms.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// How long writes are claimed after the other process was last seen, in microseconds: as long as one process knows its own writes.
const CLAIM_RETENTION_US: i64 = 10_000_000;

/// Takes the process lock and looks for another process; `None` without a folder. [`run`] retries a lock that can't be
/// taken now.
pub fn begin(context: &Context) -> Option<ProcessLock> {
    let mut lock = ProcessLock::new(context)?;
    if let Err(error) = lock.take() {
        crate::log::line(format_args!("handover error={error}"));
    }
    context.lifecycle.other_process.set(lock.other_process());
    let claims = WriteClaims::new(lock.prefix());
    if context.lifecycle.other_process.get() == OtherProcess::None {
        claims.clear();
    } else {
        context.lifecycle.write_claims.replace(Some(claims));
    }
    Some(lock)
}

/// Begins to claim writes, and claims those that this process has taken before: the other one waits for that.
async fn publish_claims(context: &Context, scheduler: &SchedulerMailbox, claims: WriteClaims) {
    context.lifecycle.write_claims.replace(Some(claims.clone()));
    let (to, ids) = async_channel::bounded(1);
    // The mailbox is closed only at the end of the process.
    drop(scheduler.send(SchedulerMessage::GetUnrepeatable(to)).await);
    let Ok(ids) = ids.recv().await else { return };
    if let Err(error) = blocking::unblock(move || claims.publish(&ids)).await {
        crate::log::line(format_args!("claim error={error}"));
    }
}

/// Ends the claims once no other process has been there for a while.
async fn end_claims(context: &Context, claims: WriteClaims) {
    context.lifecycle.write_claims.replace(None);
    blocking::unblock(move || claims.clear()).await;
}

/// Watches for the other process until this one ends, and adjusts the shares of the limits and the suspensions accordingly.
pub async fn run(
    context: Rc<Context>,
    scheduler: SchedulerMailbox,
    pool: Rc<BackendPool>,
    mut lock: ProcessLock,
) {
    let claims = WriteClaims::new(lock.prefix());
    let (mut other_seen_at, mut has_published) = (context.clock.now(), false);
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
        let now = context.clock.now();
        if found != OtherProcess::None {
            other_seen_at = now;
        }
        let is_claiming = context.lifecycle.write_claims.borrow().is_some();
        if matches!(found, OtherProcess::Successor(_)) && !has_published {
            publish_claims(&context, &scheduler, claims.clone()).await;
            has_published = true;
        } else if is_claiming && now.0 - other_seen_at.0 >= CLAIM_RETENTION_US {
            end_claims(&context, claims.clone()).await;
            has_published = false;
        }
        // Operators' calls may reach either process, and suspensions count for both.
        if pool.take_over_suspensions(persisted) {
            pool.apply_suspensions().await;
        }
        Timer::after(CHECK_INTERVAL).await;
    }
}
