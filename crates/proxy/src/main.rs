//! foldhitch-proxy: an HTTP/1.1 proxy that carries out the decisions of the balancer on sockets and reports
//! events to it. It makes no load balancing decisions itself.

mod admin;
mod config;
mod discovery_task;
mod dispatcher;
mod downstream;
mod error;
mod log;
mod memory;
mod milliseconds;
mod process_group;
mod resource_limits;
mod retry;
mod shutdown;
mod startup;
mod transport;
mod upstream;

use error::ProxyError;
use log::log;
use std::process::ExitCode;
use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::LocalSet;

fn main() -> ExitCode {
    match run_on_runtime() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn run_on_runtime() -> Result<(), ProxyError> {
    let runtime = Builder::new_current_thread().enable_all().build().map_err(ProxyError::Runtime)?;
    LocalSet::new().block_on(&runtime, run())
}

async fn run() -> Result<(), ProxyError> {
    // The signal handlers are installed first: an earlier signal would end the process.
    let mut terminate = subscribe_to_signal("SIGTERM", SignalKind::terminate())?;
    let reload = subscribe_to_signal("SIGHUP", SignalKind::hangup())?;
    let (config, known_endpoints) = tokio::select! {
        loaded = startup::load_config() => loaded?,
        _ = terminate.recv() => return Ok(()),
    };
    let Some(proxy) = startup::start(config, known_endpoints, &mut terminate, reload).await? else {
        return Ok(());
    };
    let _ = terminate.recv().await;
    shutdown::stop(proxy).await
}

fn subscribe_to_signal(name: &'static str, kind: SignalKind) -> Result<Signal, ProxyError> {
    signal(kind).map_err(|source| ProxyError::Signal { signal: name, source })
}
