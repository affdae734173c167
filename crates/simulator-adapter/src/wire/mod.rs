//! The simulator's wire: batches of records in, replies of records out.
//!
//! All numbers are little-endian. A batch is a header, records of 56 bytes and a tail; a reply is a
//! header, records of 32 bytes and a tail. What does not fit into a record is in the tail, and the
//! record has its offset and length there. The simulator defines the layout and the codes: neither
//! may change here.
//!
//! [`batch`] reads batches, [`input`] decodes their records into the inputs of policy instances,
//! with [`event`] for the policy's events and [`endpoint_list`] for the lists that these refer to.
//! [`reply`] encodes the actions.

mod batch;
mod endpoint_list;
mod error;
mod event;
mod fields;
mod input;
mod reply;

pub use batch::Batch;
pub use endpoint_list::EndpointLists;
pub use error::BatchError;
pub use input::{decode_inputs, AddressedInput, InstanceId, InstanceInput};
pub use reply::BatchReply;
