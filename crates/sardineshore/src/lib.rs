//! Facade.
