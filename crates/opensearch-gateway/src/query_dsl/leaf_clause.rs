//! Leaf query clauses: those that look at fields and hold no other clause.
//!
//! The name of [`Scalar`] appears in error texts that clients see.

use super::deserialize::from_value;
use serde::de::Deserializer;
use serde::{Deserialize, Serialize};
use serde_json::{Number, Value};

/// A plain value to compare with.
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

/// Defines a clause that the DSL accepts in two forms: the bare value, or an object that holds the
/// value under the name of the first field, along with options.
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
                // Chosen by the JSON type, not by trying both: an error in the object form has to
                // reach the client as it is.
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
    /// Full-text match on one field.
    MatchQuery {
        /// The text or value to match.
        query: Scalar,
        /// How the terms of the text are combined.
        operator: MatchOperator,
        /// Factor on the clause's score.
        boost: f64,
    }
}

value_or_object! {
    /// Exact match on one field.
    TermQuery {
        /// The value that the field has to have.
        value: Scalar,
        /// Factor on the clause's score.
        boost: f64,
    }
}

value_or_object! {
    /// Prefix match on one field.
    PrefixQuery {
        /// The prefix.
        value: String,
        /// Factor on the clause's score.
        boost: f64,
    }
}

/// How the terms of a [`MatchQuery`] are combined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MatchOperator {
    /// One matching term suffices.
    #[serde(alias = "OR")]
    Or,
    /// All terms have to match.
    #[serde(alias = "AND")]
    And,
}

/// Matches every document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MatchAllQuery {
    /// Factor on the clause's score.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub boost: Option<f64>,
}

/// Full-text match on several fields.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MultiMatchQuery {
    /// The text or value to match.
    pub query: Scalar,
    /// The fields to search.
    pub fields: Vec<String>,
}

/// Bounds on a field's value.
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
    /// Factor on the clause's score.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub boost: Option<f64>,
}

/// Matches documents that have a field.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExistsQuery {
    /// The field's name.
    pub field: String,
}

/// Matches documents by their ids.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IdsQuery {
    /// The ids.
    pub values: Vec<String>,
}
