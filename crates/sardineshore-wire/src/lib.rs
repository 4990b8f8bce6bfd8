//! Typed messages between sardineshore and everything around it, with their clients.
//!
//! * [`headers`], [`caller`] and [`backend`]: the HTTP forms of callers and backend servers;
//! * [`platform`]: the platform's table, object store, instance list, behind traits;
//! * [`peer`] and [`operator`]: JSON-RPC between instances, and with `sardinectl`;
//! * [`http`]: a pooled HTTP/1.1 client that never reuses a connection in doubt;
//! * [`audit_log`]: the execution log that the stand-ins write and audits read;
//! * [`settings`] and [`logging`]: what all programs share.

pub mod audit_log;
pub mod backend;
pub mod caller;
pub mod headers;
pub mod http;
pub mod logging;
pub mod operator;
pub mod peer;
pub mod platform;
pub mod settings;
