//! Query clauses, and the compound ones among them, which hold other clauses.

use super::deserialize::{field_object, object, FieldEntry};
use super::leaf_clause::{
    ExistsQuery, IdsQuery, MatchAllQuery, MatchQuery, MultiMatchQuery, PrefixQuery, RangeQuery,
    Scalar, TermQuery,
};
use serde::de::value::{MapAccessDeserializer, SeqAccessDeserializer};
use serde::de::{Deserializer, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Serialize};
use std::fmt;

/// One query clause: an object whose only key is the kind of the clause.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QueryClause {
    /// `match_all`
    #[serde(deserialize_with = "object")]
    MatchAll(MatchAllQuery),
    /// `match`
    Match(FieldEntry<MatchQuery>),
    /// `multi_match`
    #[serde(deserialize_with = "object")]
    MultiMatch(MultiMatchQuery),
    /// `term`
    Term(FieldEntry<TermQuery>),
    /// `terms`: matches any of several values.
    Terms(FieldEntry<Vec<Scalar>>),
    /// `range`
    #[serde(deserialize_with = "field_object")]
    Range(FieldEntry<RangeQuery>),
    /// `exists`
    #[serde(deserialize_with = "object")]
    Exists(ExistsQuery),
    /// `ids`
    #[serde(deserialize_with = "object")]
    Ids(IdsQuery),
    /// `prefix`
    Prefix(FieldEntry<PrefixQuery>),
    /// `bool`
    #[serde(deserialize_with = "object")]
    Bool(Box<BoolQuery>),
    /// `constant_score`
    #[serde(deserialize_with = "object")]
    ConstantScore(ConstantScoreQuery),
    /// `function_score`
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

/// A boolean combination of clauses.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BoolQuery {
    /// Clauses that have to match and are scored.
    #[serde(skip_serializing_if = "ClauseList::is_empty")]
    pub must: ClauseList,
    /// Clauses that have to match and are not scored.
    #[serde(skip_serializing_if = "ClauseList::is_empty")]
    pub filter: ClauseList,
    /// Clauses that may match and are scored.
    #[serde(skip_serializing_if = "ClauseList::is_empty")]
    pub should: ClauseList,
    /// Clauses that must not match.
    #[serde(skip_serializing_if = "ClauseList::is_empty")]
    pub must_not: ClauseList,
    /// How many of the `should` clauses have to match.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub minimum_should_match: Option<u32>,
    /// Factor on the clause's score.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub boost: Option<f64>,
}

impl BoolQuery {
    /// All clauses that it combines.
    pub(super) fn clauses(&self) -> impl Iterator<Item = &QueryClause> {
        [&self.must, &self.filter, &self.should, &self.must_not]
            .into_iter()
            .flat_map(|clauses| &clauses.0)
    }
}

/// A filter whose matches all have the same score.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConstantScoreQuery {
    /// The filter.
    pub filter: Box<QueryClause>,
    /// The score.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub boost: Option<f64>,
}

/// A query whose score is multiplied. No other score function is supported.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FunctionScoreQuery {
    /// The scored query.
    pub query: Box<QueryClause>,
    /// Factor on the query's score.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight: Option<f64>,
    /// Factor on the clause's score.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub boost: Option<f64>,
}
