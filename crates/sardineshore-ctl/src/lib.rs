//! `sardinectl`, the operators' program: reads statements, asks an entry instance, shows answers.
//!
//! * [`settings`]: flags, environment variables and the statements themselves;
//! * [`step`]: statements grouped into calls;
//! * [`fleet`]: calls that move on to another instance when one does not answer;
//! * [`session`]: carries out the steps and reports each; [`submit`]: one command's fate;
//! * [`report`] and [`render`]: what became of a step, as tables or JSON, and the exit code.

pub mod fleet;
pub mod render;
pub mod report;
pub mod session;
pub mod settings;
pub mod step;
pub mod submit;
