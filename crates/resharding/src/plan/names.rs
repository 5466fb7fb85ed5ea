//! Resolves the backend names of a plan.
use super::cluster_view::ClusterView;
use super::error::{PlanError, PlanProblem};
use super::Plan;
use cluster_types::BackendId;
use std::collections::BTreeMap;

/// The backends that a plan names.
#[derive(Clone, Debug, Default)]
pub(super) struct NamedBackends {
    /// The backend of each target.
    pub(super) targets: Vec<BackendId>,
    /// The backends to be emptied, each with its key in the plan.
    pub(super) emptied: BTreeMap<BackendId, String>,
}

impl NamedBackends {
    pub(super) fn is_emptied(&self, backend: &BackendId) -> bool {
        self.emptied.contains_key(backend)
    }
}

/// Resolves names to backends. Accepts only one name for each backend.
struct Resolver<'a> {
    view: &'a ClusterView,
    names: BTreeMap<BackendId, String>,
}

impl Resolver<'_> {
    fn resolve(&mut self, name: &str, key: &str) -> Result<BackendId, PlanError> {
        let found = self.view.backends_named(name);
        let [backend] = found.as_slice() else {
            let problem = match found.len() {
                0 => PlanProblem::UnknownBackend(name.into()),
                count => PlanProblem::AmbiguousBackend { name: name.into(), count },
            };
            return Err(PlanError::new(key, problem));
        };
        let earlier = self.names.entry(backend.clone()).or_insert_with(|| name.to_string());
        if earlier != name {
            let problem = PlanProblem::BackendAlias { name: name.into(), earlier: earlier.clone() };
            return Err(PlanError::new(key, problem));
        }
        Ok(backend.clone())
    }
}

/// Resolves the backends that a plan names. Rejects unknown and ambiguous names, a backend under two names, and one
/// that is to be emptied twice, or both emptied and filled.
pub(super) fn resolve_backends(plan: &Plan, view: &ClusterView) -> Result<NamedBackends, PlanError> {
    let mut resolver = Resolver { view, names: BTreeMap::new() };
    let mut named = NamedBackends::default();
    for (number, target) in plan.targets.iter().enumerate() {
        named.targets.push(resolver.resolve(&target.backend, &format!("place[{number}].on"))?);
    }
    for (number, name) in plan.emptied.iter().enumerate() {
        let key = format!("empty[{number}].box");
        let backend = resolver.resolve(name, &key)?;
        if named.emptied.insert(backend, key.clone()).is_some() {
            return Err(PlanError::new(key, PlanProblem::NamedTwice(name.clone())));
        }
    }
    for (number, backend) in named.targets.iter().enumerate() {
        if named.is_emptied(backend) {
            let problem = PlanProblem::EmptiedAndFilled(backend.clone());
            return Err(PlanError::new(format!("place[{number}].on"), problem));
        }
    }
    Ok(named)
}
