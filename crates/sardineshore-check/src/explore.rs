//! Breadth-first search over the states of a model.

use std::cell::Cell;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use pathfinding::directed::bfs::bfs;

/// Something with states, steps between them and invariants.
pub trait Model {
    /// A state; equal states are visited once.
    type State: Clone + Eq + Hash;

    /// The initial state.
    fn start(&self) -> Self::State;
    /// Everything that may happen next, each with its description.
    fn steps(&self, state: &Self::State) -> Vec<(String, Self::State)>;
    /// The invariant that the state violates, if any.
    fn violated(&self, state: &Self::State) -> Option<&'static str>;
}

/// Result of a search.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// States visited.
    pub states: usize,
    /// Steps of the longest of all shortest paths.
    pub depth: usize,
    /// The shortest violation, if there is any.
    pub violation: Option<Violation>,
}

/// A counter-example.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Invariant that does not hold.
    pub invariant: &'static str,
    /// Steps from the initial state.
    pub steps: Vec<Arc<str>>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, step) in self.steps.iter().enumerate() {
            writeln!(f, "{:>3}  {step}", number + 1)?;
        }
        writeln!(f, "     violated: {}", self.invariant)
    }
}

/// A state with the way it was first reached; equal if the states are equal.
#[derive(Clone)]
struct Visit<S> {
    state: S,
    step: Arc<str>,
    depth: usize,
}

impl<S: PartialEq> PartialEq for Visit<S> {
    fn eq(&self, other: &Self) -> bool {
        self.state == other.state
    }
}

impl<S: Eq> Eq for Visit<S> {}

impl<S: Hash> Hash for Visit<S> {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.state.hash(hasher);
    }
}

/// Visits all states of a model, until one violates an invariant.
pub fn explore<M: Model>(model: &M) -> Report {
    let states = Cell::new(0);
    let depth = Cell::new(0);
    let start = Visit {
        state: model.start(),
        step: "".into(),
        depth: 0,
    };
    let successors = |visit: &Visit<M::State>| {
        states.set(states.get() + 1);
        depth.set(depth.get().max(visit.depth));
        let next = visit.depth + 1;
        let steps = model.steps(&visit.state);
        steps.into_iter().map(move |(step, state)| Visit {
            state,
            step: step.into(),
            depth: next,
        })
    };
    let violates = |visit: &Visit<M::State>| model.violated(&visit.state).is_some();
    let path = bfs(&start, successors, violates);
    Report {
        states: states.get(),
        depth: depth.get(),
        violation: path.and_then(|path| violation(model, &path)),
    }
}

fn violation<M: Model>(model: &M, path: &[Visit<M::State>]) -> Option<Violation> {
    let invariant = model.violated(&path.last()?.state)?;
    let steps = path[1..].iter().map(|visit| visit.step.clone());
    Some(Violation {
        invariant,
        steps: steps.collect(),
    })
}
