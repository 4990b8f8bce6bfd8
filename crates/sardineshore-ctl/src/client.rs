//! JSON-RPC clients of the entry instances, with failover: a call that one instance does not
//! answer goes to the next.

use std::error::Error;
use std::future::Future;
use std::io::{self, ErrorKind};
use std::iter::successors;
use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use jsonrpsee::core::ClientError;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use jsonrpsee::types::ErrorCode;
use serde::{Deserialize, Serialize};

/// Why a call to one instance failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceError {
    /// Address of the instance.
    pub instance: SocketAddr,
    /// Whether the call may have reached the instance, and may still run there.
    pub sent: bool,
    /// Text of the error and its causes.
    pub reason: String,
}

/// Result of [`OperatorClients::call`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallResult<T> {
    /// Answer of the first instance that gave one.
    pub answer: Option<T>,
    /// Errors of the instances that were called before it.
    pub errors: Vec<InstanceError>,
}

/// Result of [`OperatorClients::call_all`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallAllResult<T> {
    /// Answers of the instances that gave one.
    pub answers: Vec<T>,
    /// Errors of the other instances.
    pub errors: Vec<InstanceError>,
}

/// Clients of all instances that may be called, and which one to call first.
#[derive(Debug)]
pub struct OperatorClients {
    instances: Vec<Instance>,
    first: usize,
}

#[derive(Debug)]
struct Instance {
    addr: SocketAddr,
    client: HttpClient,
}

impl Instance {
    fn error(&self, err: &ClientError) -> InstanceError {
        InstanceError {
            instance: self.addr,
            sent: !is_certainly_not_run(err),
            reason: describe(err),
        }
    }
}

impl OperatorClients {
    /// Creates clients of the instances at `addrs`, which must not be empty; a call to one
    /// instance ends after `timeout`.
    pub fn new(addrs: &[SocketAddr], timeout: Duration) -> Result<Self, ClientError> {
        let builder = HttpClientBuilder::default().request_timeout(timeout);
        let mut instances = Vec::new();
        for &addr in addrs {
            let client = builder.clone().build(format!("http://{addr}"))?;
            instances.push(Instance { addr, client });
        }
        Ok(Self {
            instances,
            first: 0,
        })
    }

    /// Calls one instance after another until one answers; later calls begin with that one.
    pub async fn call<T, F, A>(&mut self, call: F) -> CallResult<T>
    where
        F: Fn(HttpClient) -> A,
        A: Future<Output = Result<T, ClientError>>,
    {
        let mut errors = Vec::new();
        for _ in 0..self.instances.len() {
            let instance = &self.instances[self.first];
            match call(instance.client.clone()).await {
                Ok(answer) => {
                    let answer = Some(answer);
                    return CallResult { answer, errors };
                }
                Err(err) => errors.push(instance.error(&err)),
            }
            self.advance();
        }
        let answer = None;
        CallResult { answer, errors }
    }

    /// Calls all instances concurrently.
    pub async fn call_all<T, F, A>(&self, call: F) -> CallAllResult<T>
    where
        F: Fn(HttpClient) -> A,
        A: Future<Output = Result<T, ClientError>>,
    {
        let calls = self.instances.iter().map(|it| call(it.client.clone()));
        let replies = join_all(calls).await;
        let mut result = CallAllResult {
            answers: Vec::new(),
            errors: Vec::new(),
        };
        for (instance, reply) in self.instances.iter().zip(replies) {
            match reply {
                Ok(answer) => result.answers.push(answer),
                Err(err) => result.errors.push(instance.error(&err)),
            }
        }
        result
    }

    /// Makes later calls begin with the next instance.
    pub fn advance(&mut self) {
        self.first = (self.first + 1) % self.instances.len();
    }
}

/// Whether a call certainly did not run: it was not sent, or was rejected before its method ran.
fn is_certainly_not_run(err: &ClientError) -> bool {
    if let ClientError::Call(object) = err {
        return matches!(
            ErrorCode::from(object.code()),
            ErrorCode::ParseError
                | ErrorCode::InvalidRequest
                | ErrorCode::MethodNotFound
                | ErrorCode::InvalidParams
        );
    }
    error_chain(err).any(|cause| {
        let io = cause.downcast_ref::<io::Error>();
        io.is_some_and(|io| io.kind() == ErrorKind::ConnectionRefused)
    })
}

/// Text of an error and its causes, in one line.
fn describe(err: &ClientError) -> String {
    if let ClientError::Call(object) = err {
        return object.message().to_owned();
    }
    let mut texts: Vec<String> = error_chain(err).map(ToString::to_string).collect();
    texts.dedup();
    texts.join(": ")
}

fn error_chain(err: &ClientError) -> impl Iterator<Item = &(dyn Error + 'static)> {
    let first: &(dyn Error + 'static) = err;
    successors(Some(first), |&err| err.source())
}
