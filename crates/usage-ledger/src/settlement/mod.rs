//! The settlement service.
//!
//! One task per member follows the log of that member (`collectors`, `collector`) and passes
//! batches to the one loop that writes the store and closes periods (`service`, `closer`). A thread
//! sends documents (`exporter`). The rules of settling are elsewhere:
//! [`closing_decision`](crate::closing_decision) and [`period_settler`](crate::period_settler).
//!
//! Collection resumes at the position in the store. After a crash of either side batches may be
//! delivered again, and the store ignores records that it has.

mod clock;
mod closer;
mod collector;
mod collectors;
mod exporter;
mod lock;
mod service;

pub use clock::unix_time_ms;
pub use service::{serve, SettlementSignal};
