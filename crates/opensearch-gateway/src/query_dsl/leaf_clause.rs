//! Leaf query clauses, which match on fields and contain no other clauses.
//!
//! The name of [`Scalar`] appears in error responses to clients and must not change.

use super::deserialize::from_value;
use serde::de::Deserializer;
use serde::{Deserialize, Serialize};
use serde_json::{Number, Value};

/// A scalar value to compare with a field.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Scalar {
    /// `true` or `false`.
    Bool(bool),
    /// Any JSON number.
    Number(Number),
    /// A string.
    String(String),
}

/// Defines the parameters of a clause that the DSL accepts in two forms: a bare value, or an object
/// that contains the value under the name of the first field, and optional further fields.
macro_rules! value_or_object {
    (
        $(#[$type_doc:meta])*
        $name:ident {
            $(#[$value_doc:meta])*
            $value:ident: $value_type:ty,
            $($(#[$option_doc:meta])* $option:ident: $option_type:ty,)*
        }
    ) => {
        $(#[$type_doc])*
        #[derive(Clone, Debug, PartialEq, Serialize)]
        pub struct $name {
            $(#[$value_doc])*
            pub $value: $value_type,
            $(
                $(#[$option_doc])*
                #[serde(skip_serializing_if = "Option::is_none")]
                pub $option: Option<$option_type>,
            )*
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                #[derive(Deserialize)]
                #[serde(deny_unknown_fields)]
                struct ObjectForm {
                    $value: $value_type,
                    $(#[serde(default)] $option: Option<$option_type>,)*
                }
                // The form is selected by the JSON type. Trying both forms would hide the error
                // in an invalid object from the client.
                let value = Value::deserialize(deserializer)?;
                if value.is_object() {
                    let ObjectForm { $value, $($option),* } = from_value(value)?;
                    Ok($name { $value, $($option),* })
                } else {
                    let $value = from_value(value)?;
                    Ok($name { $value, $($option: None),* })
                }
            }
        }
    };
}

value_or_object! {
    /// Parameters of a `match` clause, a full-text match on one field.
    MatchQuery {
        /// Text or value to match.
        query: Scalar,
        /// Whether one or all terms of the text must match.
        operator: MatchOperator,
        /// Factor by which the score of the clause is multiplied.
        boost: f64,
    }
}

value_or_object! {
    /// Parameters of a `term` clause, an exact match on one field.
    TermQuery {
        /// Value that the field must have.
        value: Scalar,
        /// Factor by which the score of the clause is multiplied.
        boost: f64,
    }
}

value_or_object! {
    /// Parameters of a `prefix` clause, a prefix match on one field.
    PrefixQuery {
        /// Prefix that the field's value must have.
        value: String,
        /// Factor by which the score of the clause is multiplied.
        boost: f64,
    }
}

/// Operator that combines the terms of a [`MatchQuery`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MatchOperator {
    /// At least one term must match.
    #[serde(alias = "OR")]
    Or,
    /// All terms must match.
    #[serde(alias = "AND")]
    And,
}

/// Parameters of a `match_all` clause, which matches every document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MatchAllQuery {
    /// Factor by which the score of the clause is multiplied.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub boost: Option<f64>,
}

/// Parameters of a `multi_match` clause, a full-text match on several fields.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MultiMatchQuery {
    /// Text or value to match.
    pub query: Scalar,
    /// Names of the fields to search.
    pub fields: Vec<String>,
}

/// Bounds of a `range` clause. A missing bound is unlimited.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RangeQuery {
    /// Exclusive lower bound.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gt: Option<Scalar>,
    /// Inclusive lower bound.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gte: Option<Scalar>,
    /// Exclusive upper bound.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lt: Option<Scalar>,
    /// Inclusive upper bound.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lte: Option<Scalar>,
    /// Factor by which the score of the clause is multiplied.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub boost: Option<f64>,
}

/// Parameters of an `exists` clause, which matches documents that have a field.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExistsQuery {
    /// Name of the field.
    pub field: String,
}

/// Parameters of an `ids` clause, which matches documents by id.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IdsQuery {
    /// Document ids to match.
    pub values: Vec<String>,
}
