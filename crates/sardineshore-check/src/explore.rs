//! Breadth-first search over the states of a model, with the shortest counterexample.

use std::cell::Cell;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use pathfinding::directed::bfs::bfs;

/// A transition system with invariants.
pub trait Model {
    /// State of the system; equal states are visited once.
    type State: Clone + Eq + Hash;

    /// Returns the state from which the search starts.
    fn initial_state(&self) -> Self::State;
    /// Returns every possible next state, each with a description of the step that leads to it.
    fn next_states(&self, state: &Self::State) -> Vec<(String, Self::State)>;
    /// Returns the invariant that the state violates, if any.
    fn violated_invariant(&self, state: &Self::State) -> Option<&'static str>;
}

/// Result of a search.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Number of states visited.
    pub states: usize,
    /// Largest distance of a visited state from the initial state, in steps.
    pub depth: usize,
    /// Shortest counterexample, if an invariant is violated.
    pub violation: Option<Violation>,
}

/// A counterexample: the steps that lead to a violated invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Text of the invariant that doesn't hold.
    pub invariant: &'static str,
    /// Descriptions of the steps from the initial state.
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

/// A state with the step that first reached it; equality and hash use only the state.
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

/// Visits the states of a model until all are visited or one violates an invariant.
pub fn explore<M: Model>(model: &M) -> Report {
    let states = Cell::new(0);
    let depth = Cell::new(0);
    let initial_state = Visit {
        state: model.initial_state(),
        step: "".into(),
        depth: 0,
    };
    let successors = |visit: &Visit<M::State>| {
        states.set(states.get() + 1);
        depth.set(depth.get().max(visit.depth));
        let next = visit.depth + 1;
        let steps = model.next_states(&visit.state);
        steps.into_iter().map(move |(step, state)| Visit {
            state,
            step: step.into(),
            depth: next,
        })
    };
    let violates = |visit: &Visit<M::State>| model.violated_invariant(&visit.state).is_some();
    let path = bfs(&initial_state, successors, violates);
    Report {
        states: states.get(),
        depth: depth.get(),
        violation: path.and_then(|path| violation(model, &path)),
    }
}

fn violation<M: Model>(model: &M, path: &[Visit<M::State>]) -> Option<Violation> {
    let invariant = model.violated_invariant(&path.last()?.state)?;
    let steps = path[1..].iter().map(|visit| visit.step.clone());
    Some(Violation {
        invariant,
        steps: steps.collect(),
    })
}
