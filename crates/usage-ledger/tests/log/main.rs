//! The usage log under everything that a disk does: torn tails, flipped bytes, no space, no answer.

mod harness;
mod reading;
mod writing;
