//! Reads one line: the grammar first, then the values.

use std::sync::Arc;

use pest::Parser;
use pest::iterators::Pair;

use super::fault::Fault;
use super::grammar::{Grammar, Rule};
use super::{Statement, server, value};
use crate::{Change, CostBy, EngineAction, Objective, Pipeline, Query, Stage, StageKind};

/// Reads one line without its comment; a blank line holds no statement.
pub(super) fn line(text: &str) -> Result<Option<Statement>, Vec<Fault>> {
    if text.trim().is_empty() {
        return Ok(None);
    }
    let parsed = Grammar::parse(Rule::statement, text);
    let mut pairs = parsed.map_err(|error| vec![Fault::of_grammar(&error, text)])?;
    let mut reader = Reader::default();
    let statement = pairs.next().and_then(|pair| reader.statement(pair));
    if reader.faults.is_empty() {
        Ok(statement)
    } else {
        Err(reader.faults)
    }
}

/// Reads values and collects their faults; a default stands in for a faulty value.
#[derive(Debug, Default)]
pub(super) struct Reader {
    faults: Vec<Fault>,
}

impl Reader {
    fn statement(&mut self, pair: Pair<'_, Rule>) -> Option<Statement> {
        let change = match pair.as_rule() {
            Rule::show | Rule::explain => {
                let query = self.query(pair)?;
                return Some(Statement::Query { query });
            }
            Rule::order => return self.order(pair),
            Rule::release => {
                let fingerprint = self.next(&mut Values::of(pair), value::fingerprint);
                return Some(Statement::Release { fingerprint });
            }
            Rule::create => self.create(pair),
            Rule::mark => self.mark(pair),
            Rule::add => Change::AddServer {
                server: server::read(self, Values::of(pair).next()?),
            },
            Rule::reconfigure => Change::ReconfigureServer {
                server: server::read(self, Values::of(pair).next()?),
            },
            Rule::drain => Change::DrainServer {
                name: self.name(&mut Values::of(pair)),
            },
            Rule::resume => Change::ResumeServer {
                name: self.name(&mut Values::of(pair)),
            },
            Rule::remove => self.remove(Values::of(pair).next()?),
            Rule::set => self.set(Values::of(pair).next()?)?,
            _ => return None,
        };
        Some(Statement::Change { change })
    }

    fn query(&mut self, pair: Pair<'_, Rule>) -> Option<Query> {
        let explain = pair.as_rule() == Rule::explain;
        let mut values = Values::of(pair);
        if explain {
            let request = self.name(&mut values);
            return Some(Query::Explain { request });
        }
        let shown = values.next()?;
        Some(match shown.as_rule() {
            Rule::instances => Query::Instances,
            Rule::pipelines => Query::Pipelines,
            Rule::servers => Query::Servers {
                pool: self.optional_name(&mut Values::of(shown)),
            },
            Rule::customers => Query::Customers,
            Rule::cost => Query::Cost {
                by: match Values::of(shown).next()?.as_rule() {
                    Rule::by_stage => CostBy::Stage,
                    _ => CostBy::Customer,
                },
            },
            Rule::versions => Query::Versions,
            _ => Query::Quarantine,
        })
    }

    fn create(&mut self, pair: Pair<'_, Rule>) -> Change {
        let mut values = Values::of(pair);
        let mut pipeline = Pipeline {
            name: self.name(&mut values),
            deadline: self.next(&mut values, value::deadline),
            ..Pipeline::default()
        };
        for pair in values {
            let column = column(&pair);
            let stage = self.stage(pair);
            let taken = pipeline.stages.iter().any(|known| known.name == stage.name);
            if taken && !stage.name.is_empty() {
                let message = format!("a stage {:?} stands before; use `as NAME`", stage.name);
                self.faults.push(Fault::at(column, message));
            }
            pipeline.stages.push(stage);
        }
        Change::CreatePipeline { pipeline }
    }

    fn stage(&mut self, pair: Pair<'_, Rule>) -> Stage {
        let keyword = pair.clone().into_inner().next();
        let mut values = Values::of(pair);
        let pool = self.name(&mut values);
        let name = self.optional_name(&mut values);
        Stage {
            name: name.unwrap_or_else(|| keyword.as_ref().map_or("", Pair::as_str).into()),
            kind: keyword.map_or(StageKind::Service, |pair| kind(pair.as_rule())),
            pool,
            idempotent: values.next().is_none(),
        }
    }

    fn mark(&mut self, pair: Pair<'_, Rule>) -> Change {
        let mut values = Values::of(pair);
        Change::MarkStage {
            stage: self.name(&mut values),
            pipeline: self.name(&mut values),
            idempotent: values
                .next()
                .is_some_and(|pair| pair.as_rule() == Rule::idempotent),
        }
    }

    fn remove(&mut self, pair: Pair<'_, Rule>) -> Change {
        let pipeline = pair.as_rule() == Rule::remove_pipeline;
        let name = self.name(&mut Values::of(pair));
        if pipeline {
            Change::RemovePipeline { name }
        } else {
            Change::RemoveServer { name }
        }
    }

    fn set(&mut self, pair: Pair<'_, Rule>) -> Option<Change> {
        let rule = pair.as_rule();
        let mut values = Values::of(pair);
        Some(match rule {
            Rule::set_deadline => Change::SetDeadline {
                name: self.name(&mut values),
                deadline: self.next(&mut values, value::deadline),
            },
            Rule::set_weight => Change::SetWeight {
                name: self.name(&mut values),
                weight: self.next(&mut values, value::weight),
            },
            _ => Change::SetObjective {
                objective: match values.next()?.as_rule() {
                    Rule::attainment => Objective::Attainment,
                    _ => Objective::Cost,
                },
            },
        })
    }

    fn order(&mut self, pair: Pair<'_, Rule>) -> Option<Statement> {
        let mut values = Values::of(pair);
        let server = self.name(&mut values);
        let told = values.next()?;
        let rule = told.as_rule();
        let mut values = Values::of(told);
        let action = match rule {
            Rule::load_model => EngineAction::LoadModel {
                model: self.name(&mut values),
                version: self.name(&mut values),
            },
            Rule::load_adapter => EngineAction::LoadAdapter {
                adapter: self.name(&mut values),
            },
            _ => EngineAction::SetRole {
                role: self.name(&mut values),
            },
        };
        Some(Statement::Order { server, action })
    }

    /// Reads the next value as a name.
    pub(super) fn name(&mut self, values: &mut Values<'_>) -> Arc<str> {
        self.next(values, value::name)
    }

    /// Reads the next value as a name, if it is one.
    fn optional_name(&mut self, values: &mut Values<'_>) -> Option<Arc<str>> {
        values.peek_is(Rule::name).then(|| self.name(values))
    }

    /// Reads the next value by a check.
    pub(super) fn next<T: Default>(
        &mut self,
        values: &mut Values<'_>,
        check: fn(&str) -> Result<T, String>,
    ) -> T {
        let Some(pair) = values.next() else {
            return T::default();
        };
        check(pair.as_str()).unwrap_or_else(|message| {
            self.fault(&pair, message);
            T::default()
        })
    }

    /// Notes a fault at the place of a value.
    pub(super) fn fault(&mut self, pair: &Pair<'_, Rule>, message: String) {
        self.faults.push(Fault::at(column(pair), message));
    }
}

/// Parts of a statement without its keywords and punctuation.
#[derive(Debug)]
pub(super) struct Values<'a> {
    pairs: std::vec::IntoIter<Pair<'a, Rule>>,
}

impl<'a> Values<'a> {
    /// Parts of `pair`.
    pub(super) fn of(pair: Pair<'a, Rule>) -> Self {
        let pairs = pair
            .into_inner()
            .filter(|inner| !is_keyword(inner.as_rule()));
        Self {
            pairs: pairs.collect::<Vec<_>>().into_iter(),
        }
    }

    fn peek_is(&self, rule: Rule) -> bool {
        let next = self.pairs.as_slice().first();
        next.is_some_and(|pair| pair.as_rule() == rule)
    }
}

impl<'a> Iterator for Values<'a> {
    type Item = Pair<'a, Rule>;

    fn next(&mut self) -> Option<Self::Item> {
        self.pairs.next()
    }
}

fn is_keyword(rule: Rule) -> bool {
    matches!(rule, Rule::comma | Rule::colon) || format!("{rule:?}").starts_with("kw_")
}

fn column(pair: &Pair<'_, Rule>) -> usize {
    pair.as_span().start_pos().line_col().1
}

fn kind(rule: Rule) -> StageKind {
    match rule {
        Rule::kw_encode => StageKind::Encode,
        Rule::kw_retrieve => StageKind::Retrieve,
        Rule::kw_rerank => StageKind::Rerank,
        Rule::kw_generate => StageKind::Generate,
        _ => StageKind::Service,
    }
}
