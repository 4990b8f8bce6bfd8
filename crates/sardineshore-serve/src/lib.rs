//! The serving path of an instance: the I/O around the decisions of [`sardineshore_core::flow`].
//!
//! A request passes through these modules: [`caller`] reads it from its connection, [`request`]
//! checks it, [`stages`] runs its stages at the owner of a cell ([`cell`], over [`peers`]),
//! [`attempt`] sends it to a server over [`upstream`], and [`stream`] filters the events of a
//! streamed response.
//!
//! [`watcher`] keeps the [`state`] up to date from the [`store`]. [`instance`] starts everything and
//! [`shutdown`] ends it. A [`dialect::Dialect`] holds the names of the platform's interfaces.
//!
//! ```
//! use sardineshore_serve::settings::Settings;
//!
//! let settings = Settings { instance: "a-1".into(), ..Settings::default() };
//! assert!(settings.bounds.fail_closed);
//! ```

pub mod activity;
pub mod attempt;
pub mod budget;
pub mod caller;
pub mod cell;
pub mod cold;
pub mod containment;
pub mod crashes;
pub mod dialect;
pub mod http1;
pub mod instance;
pub mod limits;
pub mod logging;
pub mod metrics;
pub mod monitoring;
pub mod notices;
pub mod peers;
pub mod relay;
pub mod reply;
pub mod request;
pub mod settings;
pub mod shutdown;
pub mod speeds;
pub mod stages;
pub mod state;
pub mod store;
pub mod stream;
pub mod stream_versions;
pub mod upstream;
pub mod watcher;
pub mod zones;
