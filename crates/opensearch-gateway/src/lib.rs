//! An OpenSearch-style front on the mixer's core.
//!
//! [`dsl`], [`merge`], [`index`], [`tenant`] and [`shape`] are pure: a request's bytes become a
//! typed search, the shards' answers become one, and both get the shapes that clients know.
//! [`front`] is the listener, with [`tls`] and [`packed`] bodies; what it takes goes through the
//! same reducer and decisions as every native query.

pub mod dsl;
pub mod front;
pub mod index;
pub mod merge;
pub mod packed;
pub mod shape;
pub mod tenant;
pub mod tls;
