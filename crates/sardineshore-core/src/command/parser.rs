//! Parses one line: the grammar first, then the checks of the operands.

use std::sync::Arc;

use pest::Parser;
use pest::iterators::Pair;

use super::error::LineError;
use super::grammar::{Grammar, Rule};
use super::{Statement, server, value};
use crate::{Change, CostGrouping, EngineAction, Objective, Pipeline, Query, Stage, StageKind};

/// Parses one line without its comment; a blank line holds no statement.
pub(super) fn parse_line(text: &str) -> Result<Option<Statement>, Vec<LineError>> {
    if text.trim().is_empty() {
        return Ok(None);
    }
    let parsed = Grammar::parse(Rule::statement, text);
    let mut pairs = parsed.map_err(|error| vec![LineError::from_grammar(&error, text)])?;
    let mut builder = StatementBuilder::default();
    let statement = pairs.next().and_then(|pair| builder.statement(pair));
    if builder.errors.is_empty() {
        Ok(statement)
    } else {
        Err(builder.errors)
    }
}

/// Builds a statement from a parsed line and collects the errors of all its operands. An invalid
/// operand is replaced by a default, so that the operands after it are checked too.
#[derive(Debug, Default)]
pub(super) struct StatementBuilder {
    errors: Vec<LineError>,
}

impl StatementBuilder {
    fn statement(&mut self, pair: Pair<'_, Rule>) -> Option<Statement> {
        let change = match pair.as_rule() {
            Rule::show | Rule::explain => {
                let query = self.query(pair)?;
                return Some(Statement::Query { query });
            }
            Rule::order => return self.order(pair),
            Rule::release => {
                let fingerprint = self.next_value(&mut Operands::of(pair), value::fingerprint);
                return Some(Statement::Release { fingerprint });
            }
            Rule::create => self.create(pair),
            Rule::mark => self.mark(pair),
            Rule::add => Change::AddServer {
                server: server::build_server(self, Operands::of(pair).next()?),
            },
            Rule::reconfigure => Change::ReconfigureServer {
                server: server::build_server(self, Operands::of(pair).next()?),
            },
            Rule::drain => Change::DrainServer {
                name: self.next_name(&mut Operands::of(pair)),
            },
            Rule::resume => Change::ResumeServer {
                name: self.next_name(&mut Operands::of(pair)),
            },
            Rule::remove => self.remove(Operands::of(pair).next()?),
            Rule::set => self.set(Operands::of(pair).next()?)?,
            _ => return None,
        };
        Some(Statement::Change { change })
    }

    fn query(&mut self, pair: Pair<'_, Rule>) -> Option<Query> {
        let explain = pair.as_rule() == Rule::explain;
        let mut operands = Operands::of(pair);
        if explain {
            let request = self.next_name(&mut operands);
            return Some(Query::Explain { request });
        }
        let shown = operands.next()?;
        Some(match shown.as_rule() {
            Rule::instances => Query::Instances,
            Rule::pipelines => Query::Pipelines,
            Rule::servers => Query::Servers {
                pool: self.next_optional_name(&mut Operands::of(shown)),
            },
            Rule::customers => Query::Customers,
            Rule::cost => Query::Cost {
                by: match Operands::of(shown).next()?.as_rule() {
                    Rule::by_stage => CostGrouping::Stage,
                    _ => CostGrouping::Customer,
                },
            },
            Rule::versions => Query::Versions,
            _ => Query::Quarantine,
        })
    }

    fn create(&mut self, pair: Pair<'_, Rule>) -> Change {
        let mut operands = Operands::of(pair);
        let mut pipeline = Pipeline {
            name: self.next_name(&mut operands),
            deadline: self.next_value(&mut operands, value::deadline),
            ..Pipeline::default()
        };
        for pair in operands {
            let column = column(&pair);
            let stage = self.stage(pair);
            let taken = pipeline.stages.iter().any(|known| known.name == stage.name);
            if taken && !stage.name.is_empty() {
                let message = format!("stage name {:?} is used twice; add `as NAME`", stage.name);
                self.errors.push(LineError::at(column, message));
            }
            pipeline.stages.push(stage);
        }
        Change::CreatePipeline { pipeline }
    }

    fn stage(&mut self, pair: Pair<'_, Rule>) -> Stage {
        let keyword = pair.clone().into_inner().next();
        let mut operands = Operands::of(pair);
        let pool = self.next_name(&mut operands);
        let name = self.next_optional_name(&mut operands);
        Stage {
            name: name.unwrap_or_else(|| keyword.as_ref().map_or("", Pair::as_str).into()),
            kind: keyword.map_or(StageKind::Service, |pair| kind(pair.as_rule())),
            pool,
            idempotent: operands.next().is_none(),
        }
    }

    fn mark(&mut self, pair: Pair<'_, Rule>) -> Change {
        let mut operands = Operands::of(pair);
        Change::MarkStage {
            stage: self.next_name(&mut operands),
            pipeline: self.next_name(&mut operands),
            idempotent: operands
                .next()
                .is_some_and(|pair| pair.as_rule() == Rule::idempotent),
        }
    }

    fn remove(&mut self, pair: Pair<'_, Rule>) -> Change {
        let pipeline = pair.as_rule() == Rule::remove_pipeline;
        let name = self.next_name(&mut Operands::of(pair));
        if pipeline {
            Change::RemovePipeline { name }
        } else {
            Change::RemoveServer { name }
        }
    }

    fn set(&mut self, pair: Pair<'_, Rule>) -> Option<Change> {
        let rule = pair.as_rule();
        let mut operands = Operands::of(pair);
        Some(match rule {
            Rule::set_deadline => Change::SetDeadline {
                name: self.next_name(&mut operands),
                deadline: self.next_value(&mut operands, value::deadline),
            },
            Rule::set_weight => Change::SetWeight {
                name: self.next_name(&mut operands),
                weight: self.next_value(&mut operands, value::weight),
            },
            _ => Change::SetObjective {
                objective: match operands.next()?.as_rule() {
                    Rule::attainment => Objective::Attainment,
                    _ => Objective::Cost,
                },
            },
        })
    }

    fn order(&mut self, pair: Pair<'_, Rule>) -> Option<Statement> {
        let mut operands = Operands::of(pair);
        let server = self.next_name(&mut operands);
        let order = operands.next()?;
        let rule = order.as_rule();
        let mut operands = Operands::of(order);
        let action = match rule {
            Rule::load_model => EngineAction::LoadModel {
                model: self.next_name(&mut operands),
                version: self.next_name(&mut operands),
            },
            Rule::load_adapter => EngineAction::LoadAdapter {
                adapter: self.next_name(&mut operands),
            },
            _ => EngineAction::SetRole {
                role: self.next_name(&mut operands),
            },
        };
        Some(Statement::Order { server, action })
    }

    /// Takes the next operand as a name.
    pub(super) fn next_name(&mut self, operands: &mut Operands<'_>) -> Arc<str> {
        self.next_value(operands, value::name)
    }

    /// Takes the next operand as a name, if the grammar found a name there.
    fn next_optional_name(&mut self, operands: &mut Operands<'_>) -> Option<Arc<str>> {
        operands
            .peek_is(Rule::name)
            .then(|| self.next_name(operands))
    }

    /// Takes the next operand and converts it by `check`, a function of [`value`].
    pub(super) fn next_value<T: Default>(
        &mut self,
        operands: &mut Operands<'_>,
        check: fn(&str) -> Result<T, String>,
    ) -> T {
        let Some(pair) = operands.next() else {
            return T::default();
        };
        check(pair.as_str()).unwrap_or_else(|message| {
            self.add_error(&pair, message);
            T::default()
        })
    }

    /// Adds an error at the column of an operand.
    pub(super) fn add_error(&mut self, pair: &Pair<'_, Rule>, message: String) {
        self.errors.push(LineError::at(column(pair), message));
    }
}

/// Operands of a statement: its parts without keywords and punctuation.
#[derive(Debug)]
pub(super) struct Operands<'a> {
    pairs: std::vec::IntoIter<Pair<'a, Rule>>,
}

impl<'a> Operands<'a> {
    /// Operands of the rule that `pair` matched.
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

impl<'a> Iterator for Operands<'a> {
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
