//! Writes statements as text of the command language, which parses to the same statements.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use super::Statement;
use crate::{
    BackendServer, Change, CostGrouping, EngineAction, Objective, Pipeline, Query, Stage, StageKind,
};

impl Display for Statement {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Query { query } => query.fmt(f),
            Self::Change { change } => change.fmt(f),
            Self::Order { server, action } => write!(f, "order {server} to {action}"),
            Self::Release { fingerprint } => write!(f, "release {fingerprint}"),
        }
    }
}

impl Display for Query {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Instances => f.write_str("show instances"),
            Self::Pipelines => f.write_str("show pipelines"),
            Self::Servers { pool: None } => f.write_str("show servers"),
            Self::Servers { pool: Some(pool) } => write!(f, "show servers in {pool}"),
            Self::Customers => f.write_str("show customers"),
            Self::Cost {
                by: CostGrouping::Stage,
            } => f.write_str("show cost by stage"),
            Self::Cost {
                by: CostGrouping::Customer,
            } => f.write_str("show cost by customer"),
            Self::Versions => f.write_str("show versions"),
            Self::Explain { request } => write!(f, "explain request {request}"),
            Self::Quarantine => f.write_str("show quarantine"),
        }
    }
}

impl Display for Change {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::CreatePipeline { pipeline } => write_create(pipeline, f),
            Self::RemovePipeline { name } => write!(f, "remove pipeline {name}"),
            Self::SetDeadline { name, deadline } => {
                write!(
                    f,
                    "set deadline of {name} to {}",
                    format_duration(*deadline)
                )
            }
            Self::MarkStage {
                pipeline,
                stage,
                idempotent,
            } => {
                let not = if *idempotent { "" } else { "not " };
                write!(f, "mark stage {stage} of {pipeline} {not}idempotent")
            }
            Self::AddServer { server } => write_declaration("add", server, f),
            Self::ReconfigureServer { server } => write_declaration("reconfigure", server, f),
            Self::DrainServer { name } => write!(f, "drain server {name}"),
            Self::ResumeServer { name } => write!(f, "resume server {name}"),
            Self::RemoveServer { name } => write!(f, "remove server {name}"),
            Self::SetWeight { name, weight } => write!(f, "set weight of {name} to {weight}"),
            Self::SetObjective { objective } => write!(f, "set objective {objective}"),
        }
    }
}

impl Display for Objective {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Attainment => "attainment",
            Self::Cost => "cost",
        })
    }
}

impl Display for EngineAction {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::LoadModel { model, version } => write!(f, "load model {model} version {version}"),
            Self::LoadAdapter { adapter } => write!(f, "load adapter {adapter}"),
            Self::SetRole { role } => write!(f, "become {role}"),
        }
    }
}

impl Display for StageKind {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Encode => "encode",
            Self::Retrieve => "retrieve",
            Self::Rerank => "rerank",
            Self::Generate => "generate",
            Self::Service => "service",
        })
    }
}

impl Display for Stage {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.kind, self.pool)?;
        if *self.name != self.kind.to_string() {
            write!(f, " as {}", self.name)?;
        }
        if !self.idempotent {
            f.write_str(" not idempotent")?;
        }
        Ok(())
    }
}

fn write_create(pipeline: &Pipeline, f: &mut Formatter<'_>) -> fmt::Result {
    let deadline = format_duration(pipeline.deadline);
    write!(
        f,
        "create pipeline {} deadline {deadline} stages ",
        pipeline.name
    )?;
    for (number, stage) in pipeline.stages.iter().enumerate() {
        let comma = if number == 0 { "" } else { ", " };
        write!(f, "{comma}{stage}")?;
    }
    Ok(())
}

/// Writes the declaration of a server. The server's state is not part of it, as `drain` and
/// `resume` set it.
fn write_declaration(verb: &str, server: &BackendServer, f: &mut Formatter<'_>) -> fmt::Result {
    let BackendServer {
        name,
        addr,
        domain,
        pool,
        capacity,
        cost,
        ..
    } = server;
    write!(f, "{verb} server {name} at {addr} in {domain} for {pool}")?;
    write!(f, " capacity {capacity} cost {cost}")?;
    if server.answers_status {
        f.write_str(" answers status")?;
    }
    if server.fencing {
        f.write_str(" fencing")?;
    }
    Ok(())
}

/// Formats a duration without spaces, such as `1m30s`, as the grammar takes it as one word.
fn format_duration(duration: Duration) -> String {
    let spaced = humantime::format_duration(duration).to_string();
    spaced.replace(' ', "")
}
