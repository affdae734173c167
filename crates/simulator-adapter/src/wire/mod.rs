//! The wire format of the simulator: batches of events in, replies with actions out.
//!
//! All numbers are little-endian. A batch is a header, records of 56 bytes and a tail. A reply is a
//! header, records of 32 bytes and a tail. Data of variable length is in the tail, and a record
//! refers to it by offset and length. The simulator defines the layout and the codes, so they must
//! not change here.
//!
//! [`batch`] reads batches, and [`input`] decodes their records into inputs of policy instances:
//! [`event`] decodes the events of the policy, and [`endpoint_list`] the lists that these refer to.
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
