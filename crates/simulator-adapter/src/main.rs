//! Runs the aggregator's policy for the simulator.
//!
//! The simulator drives any number of policy instances at once. It sends batches of events on
//! standard input; for each batch the adapter writes one reply with the instances' actions to
//! standard output. [`wire`] translates between bytes and the policy's types, [`instances`] passes
//! the events to the instances. Every decision is in `aggregator-policy`.

mod error;
mod instances;
mod wire;

use error::AdapterError;
use instances::PolicyInstances;
use std::io::{self, BufReader, BufWriter, Read, Write};
use std::process::ExitCode;
use wire::Batch;

fn main() -> ExitCode {
    // The reply reports a policy's panic. Standard error has one line at most, at the end.
    std::panic::set_hook(Box::new(|_| {}));
    let mut input = BufReader::new(io::stdin().lock());
    let mut output = BufWriter::new(io::stdout().lock());
    match answer_batches(&mut input, &mut output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Writes one reply for each batch, until the end of the input.
fn answer_batches(input: &mut impl Read, output: &mut impl Write) -> Result<(), AdapterError> {
    let mut instances = PolicyInstances::default();
    while let Some(batch) = Batch::read(input)? {
        let reply = instances.handle_batch(&batch)?;
        output
            .write_all(&reply.to_bytes(batch.number))
            .and_then(|()| output.flush())
            .map_err(AdapterError::Write)?;
    }
    Ok(())
}
