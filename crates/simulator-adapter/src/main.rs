//! foldhitch-simulator-adapter: runs balancer instances for the simulator, which sends frames on standard
//! input and reads replies from standard output.

mod error;
mod host;
mod wire;

use error::AdapterError;
use host::Host;
use std::io::{self, BufReader, Write};
use std::process::ExitCode;

/// Capacity of the input buffer in bytes.
const INPUT_BUFFER_BYTES: usize = 1 << 16;

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("foldhitch-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Answers each input frame with one reply until the end of the input.
fn serve() -> Result<(), AdapterError> {
    let mut input = BufReader::with_capacity(INPUT_BUFFER_BYTES, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut decoder = wire::Decoder::default();
    let mut host = Host::default();
    while let Some(frame) = wire::read_frame(&mut input)? {
        let mut reply = wire::Reply::default();
        decoder.decode(&frame, |record| host.execute(frame.now_ms, record, &mut reply))?;
        output.write_all(&reply.into_bytes()).map_err(AdapterError::Output)?;
        output.flush().map_err(AdapterError::Output)?;
    }
    Ok(())
}
