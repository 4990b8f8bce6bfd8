//! Entry instances as `sardinectl` reaches them.

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

/// Why one instance gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceError {
    /// Its address.
    pub instance: SocketAddr,
    /// Whether the call may have reached it, and may still be carried out.
    pub sent: bool,
    /// Why.
    pub reason: String,
}

/// What came of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Called<T> {
    /// The answer of the first instance that gave one.
    pub answer: Option<T>,
    /// Instances that were asked before it and gave none.
    pub errors: Vec<InstanceError>,
}

/// What came of a call to all instances.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Gathered<T> {
    /// Answers.
    pub answers: Vec<T>,
    /// Instances that gave none.
    pub errors: Vec<InstanceError>,
}

/// The instances that may be asked, and the one to ask first.
#[derive(Debug)]
pub struct Fleet {
    instances: Vec<Instance>,
    first: usize,
}

#[derive(Debug)]
struct Instance {
    addr: SocketAddr,
    client: HttpClient,
}

impl Instance {
    fn failed(&self, err: &ClientError) -> InstanceError {
        InstanceError {
            instance: self.addr,
            sent: !surely_not_run(err),
            reason: causes(err),
        }
    }
}

impl Fleet {
    /// Creates clients for the instances; a call to one ends after `timeout`.
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

    /// Asks one instance after another until one answers, which is asked first from then on.
    pub async fn call<T, F, A>(&mut self, ask: F) -> Called<T>
    where
        F: Fn(HttpClient) -> A,
        A: Future<Output = Result<T, ClientError>>,
    {
        let mut errors = Vec::new();
        for _ in 0..self.instances.len() {
            let instance = &self.instances[self.first];
            match ask(instance.client.clone()).await {
                Ok(answer) => {
                    let answer = Some(answer);
                    return Called { answer, errors };
                }
                Err(err) => errors.push(instance.failed(&err)),
            }
            self.advance();
        }
        let answer = None;
        Called { answer, errors }
    }

    /// Asks all instances at the same time.
    pub async fn call_all<T, F, A>(&self, ask: F) -> Gathered<T>
    where
        F: Fn(HttpClient) -> A,
        A: Future<Output = Result<T, ClientError>>,
    {
        let calls = self.instances.iter().map(|it| ask(it.client.clone()));
        let replies = join_all(calls).await;
        let mut gathered = Gathered {
            answers: Vec::new(),
            errors: Vec::new(),
        };
        for (instance, reply) in self.instances.iter().zip(replies) {
            match reply {
                Ok(answer) => gathered.answers.push(answer),
                Err(err) => gathered.errors.push(instance.failed(&err)),
            }
        }
        gathered
    }

    /// Asks another instance first from now on.
    pub fn advance(&mut self) {
        self.first = (self.first + 1) % self.instances.len();
    }
}

/// Whether a call certainly did not run: it was not sent, or was refused before its method ran.
fn surely_not_run(err: &ClientError) -> bool {
    if let ClientError::Call(object) = err {
        return matches!(
            ErrorCode::from(object.code()),
            ErrorCode::ParseError
                | ErrorCode::InvalidRequest
                | ErrorCode::MethodNotFound
                | ErrorCode::InvalidParams
        );
    }
    chain(err).any(|cause| {
        let io = cause.downcast_ref::<io::Error>();
        io.is_some_and(|io| io.kind() == ErrorKind::ConnectionRefused)
    })
}

/// An error and its causes in one line.
fn causes(err: &ClientError) -> String {
    if let ClientError::Call(object) = err {
        return object.message().to_owned();
    }
    let mut texts: Vec<String> = chain(err).map(ToString::to_string).collect();
    texts.dedup();
    texts.join(": ")
}

fn chain(err: &ClientError) -> impl Iterator<Item = &(dyn Error + 'static)> {
    let first: &(dyn Error + 'static) = err;
    successors(Some(first), |&err| err.source())
}
