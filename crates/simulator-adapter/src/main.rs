//! Runs the aggregator's policy for the simulator.
//!
//! The simulator drives any number of policy instances at once. It sends batches of events to
//! standard input. For each batch, the adapter writes one reply with the actions of the instances
//! to standard output. [`wire`] translates between bytes and the policy's types, and [`instances`]
//! passes the events to the instances. All decisions are made in `aggregator-policy`.

mod error;
mod instances;
mod wire;

use error::AdapterError;
use instances::PolicyInstances;
use std::io::{self, BufReader, BufWriter, Read, Write};
use std::process::ExitCode;
use wire::Batch;

fn main() -> ExitCode {
    // A panic of a policy is reported in the reply. Standard error gets at most one line, which
    // states why the adapter stopped.
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

/// Writes one reply per batch until the input ends.
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
