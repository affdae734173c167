//! The settlement service.
//!
//! A task for each member follows its log and hands batches to the one loop that writes the store
//! and closes periods; a thread sends documents. Collecting goes on where the store is, so a crash
//! of either side costs nothing but a second delivery.

mod clock;
mod closer;
mod collector;
mod collectors;
mod exporter;
mod lock;
mod service;

pub use clock::unix_time_ms;
pub use service::{serve, SettlementSignal};
