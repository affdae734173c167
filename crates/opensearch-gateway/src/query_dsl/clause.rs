//! Query clauses. This module defines the compound clauses, which contain other clauses.

use super::deserialize::{field_object, object, FieldEntry};
use super::leaf_clause::{
    ExistsQuery, IdsQuery, MatchAllQuery, MatchQuery, MultiMatchQuery, PrefixQuery, RangeQuery,
    Scalar, TermQuery,
};
use serde::de::value::{MapAccessDeserializer, SeqAccessDeserializer};
use serde::de::{Deserializer, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Serialize};
use std::fmt;

/// A query clause: an object whose only key is the kind of the clause.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QueryClause {
    /// `match_all`: matches every document.
    #[serde(deserialize_with = "object")]
    MatchAll(MatchAllQuery),
    /// `match`: full-text match on one field.
    Match(FieldEntry<MatchQuery>),
    /// `multi_match`: full-text match on several fields.
    #[serde(deserialize_with = "object")]
    MultiMatch(MultiMatchQuery),
    /// `term`: exact match of one value.
    Term(FieldEntry<TermQuery>),
    /// `terms`: exact match of any of several values.
    Terms(FieldEntry<Vec<Scalar>>),
    /// `range`: matches values within bounds.
    #[serde(deserialize_with = "field_object")]
    Range(FieldEntry<RangeQuery>),
    /// `exists`: matches documents that have a field.
    #[serde(deserialize_with = "object")]
    Exists(ExistsQuery),
    /// `ids`: matches documents by id.
    #[serde(deserialize_with = "object")]
    Ids(IdsQuery),
    /// `prefix`: matches values that start with a prefix.
    Prefix(FieldEntry<PrefixQuery>),
    /// `bool`: boolean combination of clauses.
    #[serde(deserialize_with = "object")]
    Bool(Box<BoolQuery>),
    /// `constant_score`: assigns the same score to all matches of a filter.
    #[serde(deserialize_with = "object")]
    ConstantScore(ConstantScoreQuery),
    /// `function_score`: multiplies the score of a query.
    #[serde(deserialize_with = "object")]
    FunctionScore(FunctionScoreQuery),
}

/// The clauses under one key of a [`BoolQuery`]: a single clause or an array of them.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
#[serde(transparent)]
pub struct ClauseList(pub Vec<QueryClause>);

impl ClauseList {
    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

struct ClauseListVisitor;

impl<'de> Visitor<'de> for ClauseListVisitor {
    type Value = ClauseList;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("a clause or an array of clauses")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, seq: A) -> Result<ClauseList, A::Error> {
        Vec::deserialize(SeqAccessDeserializer::new(seq)).map(ClauseList)
    }

    fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<ClauseList, A::Error> {
        QueryClause::deserialize(MapAccessDeserializer::new(map))
            .map(|clause| ClauseList(vec![clause]))
    }
}

impl<'de> Deserialize<'de> for ClauseList {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ClauseListVisitor)
    }
}

/// Parameters of a `bool` clause, which combines clauses.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BoolQuery {
    /// Clauses that must match and contribute to the score.
    #[serde(skip_serializing_if = "ClauseList::is_empty")]
    pub must: ClauseList,
    /// Clauses that must match and do not contribute to the score.
    #[serde(skip_serializing_if = "ClauseList::is_empty")]
    pub filter: ClauseList,
    /// Optional clauses, which contribute to the score if they match.
    #[serde(skip_serializing_if = "ClauseList::is_empty")]
    pub should: ClauseList,
    /// Clauses that must not match.
    #[serde(skip_serializing_if = "ClauseList::is_empty")]
    pub must_not: ClauseList,
    /// Minimum number of `should` clauses that must match.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub minimum_should_match: Option<u32>,
    /// Factor by which the score of the clause is multiplied.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub boost: Option<f64>,
}

impl BoolQuery {
    /// Returns the direct subclauses of all four kinds.
    pub(super) fn clauses(&self) -> impl Iterator<Item = &QueryClause> {
        [&self.must, &self.filter, &self.should, &self.must_not]
            .into_iter()
            .flat_map(|clauses| &clauses.0)
    }
}

/// Parameters of a `constant_score` clause, which assigns the same score to all matches.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConstantScoreQuery {
    /// Clause that determines the matches.
    pub filter: Box<QueryClause>,
    /// Score of every match.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub boost: Option<f64>,
}

/// Parameters of a `function_score` clause. The only supported score function is a constant weight.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FunctionScoreQuery {
    /// Query whose score is multiplied.
    pub query: Box<QueryClause>,
    /// Factor by which the score of the query is multiplied.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight: Option<f64>,
    /// Factor by which the score of the clause is multiplied.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub boost: Option<f64>,
}
