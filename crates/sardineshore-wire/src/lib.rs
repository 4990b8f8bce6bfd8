//! Typed messages that sardineshore's programs exchange with other processes, and the clients
//! that send them.
//!
//! * [`headers`], [`caller`] and [`backend`]: the HTTP APIs for callers and of backend servers;
//! * [`platform`]: the platform's table, object store and instance list, behind traits;
//! * [`peer`] and [`operator`]: JSON-RPC between entry instances, and with `sardinectl`;
//! * [`http`]: an HTTP/1.1 client with a connection pool;
//! * [`audit_log`]: lines of the execution logs and call logs that audits compare;
//! * [`settings`] and [`logging`]: parsing of settings and the logger, shared by all programs.

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
