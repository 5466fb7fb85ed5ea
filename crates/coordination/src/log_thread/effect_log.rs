//! Log lines about planned maintenance, for operators.
use crate::log_thread::thread::LogThread;
use cluster_types::BackendId;
use maintenance::Effect;
use std::collections::BTreeSet;

impl LogThread {
    pub(crate) fn log_effect(&self, effect: &Effect) {
        if let Some(line) = effect_line(effect) {
            (self.log)(&line);
        }
    }
}

fn backend_names(backends: &BTreeSet<BackendId>) -> String {
    backends.iter().map(|backend| &*backend.0).collect::<Vec<_>>().join(",")
}

/// Formats the log line of an effect; `None` for effects that only concern the caller.
fn effect_line(effect: &Effect) -> Option<String> {
    let line = match effect {
        Effect::Drain { grant, backends } => {
            format!("maintenance drain grant={} backends={}", grant.0, backend_names(backends))
        }
        Effect::Drained { grant, name, backends } => {
            format!("maintenance open grant={} request={name} backends={}", grant.0, backend_names(backends))
        }
        Effect::Recovering { backend, step, stage } => {
            format!("maintenance return backend={backend} step={} stage={stage:?}", step.0)
        }
        Effect::InService { backend } => format!("maintenance returned backend={backend}"),
        Effect::DeadlineMissed { name, backends } => {
            format!("maintenance missed request={name} backends={}", backend_names(backends))
        }
        Effect::Overdue { grant, name, backends } => {
            format!(
                "maintenance overdue grant={} request={name} backends={}",
                grant.0,
                backend_names(backends)
            )
        }
        Effect::Unlisted { name, backend } => {
            format!("maintenance unlisted request={name} backend={backend}")
        }
        Effect::RequestEnded(status) => format!("maintenance ended request={}", status.name),
        Effect::Status(_) | Effect::Rejected { .. } => return None,
    };
    Some(line)
}
