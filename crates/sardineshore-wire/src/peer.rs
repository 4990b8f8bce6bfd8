//! JSON-RPC between entry instances.
