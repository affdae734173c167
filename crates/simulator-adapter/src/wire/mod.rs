//! The simulator's wire: batches of records in, replies of records out.
//!
//! All numbers are little-endian. A batch is a header, records of 56 bytes and a tail; a reply is a
//! header, records of 32 bytes and a tail. What does not fit into a record is in the tail, and the
//! record has its offset and length there. The simulator defines the layout and the codes: neither
//! may change here.
//!
//! [`batch`] reads frames, [`record`] decodes their records into [`Input`]s, and [`reply`] encodes
//! actions.

mod batch;
mod endpoint_list;
mod error;
mod fields;
mod record;
mod reply;

pub use batch::Batch;
pub use endpoint_list::EndpointLists;
pub use error::BatchError;
pub use record::{decode_inputs, Input, InstanceId, InstanceInput};
pub use reply::Reply;
