//! The serving path: I/O around the core's flow decisions.
//!
//! One request in order: `caller` reads it, `request` checks it and chooses its way, `stages` has
//! its stages made by the owner of a cell (`cell`, over `peers`), `attempt` sends it to a server
//! over `upstream`, `stream` forwards events. `watcher` keeps `state` up to date from the
//! store. Names of a platform's interfaces come from a [`dialect::Dialect`].
//!
//! ```
//! use sardineshore_serve::settings::Settings;
//!
//! let settings = Settings { instance: "a-1".into(), ..Settings::default() };
//! assert!(settings.bounds.fail_closed);
//! ```

pub mod attempt;
pub mod caller;
pub mod cell;
pub mod dialect;
pub mod http1;
pub mod instance;
pub mod logging;
pub mod metrics;
pub mod monitoring;
pub mod peers;
pub mod reply;
pub mod request;
pub mod settings;
pub mod shutdown;
pub mod stages;
pub mod state;
pub mod store;
pub mod stream;
pub mod upstream;
pub mod watcher;
