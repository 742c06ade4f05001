//! `whinhill standin`: runs a single stand-in, to try an assigner or a proxy by hand.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use clap::Subcommand;
use whinhill_standins::day::Day;
use whinhill_standins::recorder::Recorder;
use whinhill_standins::server::{ServerConfig, ServerStandIn};
use whinhill_standins::store::StoreStandIn;
use whinhill_transport::Workers;

use crate::{config, lifecycle, CommandError};

/// The stand-ins that can be run.
#[derive(Subcommand)]
pub enum StandinCommand {
    /// An in-memory store that speaks RESP.
    Store {
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// File to which the listen address is written once the stand-in listens.
        #[arg(long)]
        ready_file: Option<PathBuf>,
    },
    /// A server of the service that a day's script describes.
    Server {
        #[arg(long)]
        day: PathBuf,
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Start cold.
        #[arg(long)]
        cold: bool,
        /// File to which the listen address is written once the stand-in listens.
        #[arg(long)]
        ready_file: Option<PathBuf>,
    },
}

/// Runs a stand-in until SIGTERM or SIGINT.
pub fn run(command: StandinCommand) -> Result<(), CommandError> {
    let stop = lifecycle::stop_on_signal()?;
    let record = Recorder::default();
    match command {
        StandinCommand::Store { listen, ready_file } => {
            let store = StoreStandIn::start(listen, &record).map_err(CommandError::runtime)?;
            tracing::info!(addr = %store.addr(), "store listening");
            lifecycle::write_ready_file(ready_file.as_deref(), store.addr(), &stop)?;
            lifecycle::wait_until_stopped(&stop);
        }
        StandinCommand::Server { day, listen, cold, ready_file } => {
            let day: Day = config::read_file(&day, Day::validate)?;
            let config = ServerConfig {
                listen,
                cores: day.servers.cores,
                speed: (day.servers.speed[0] + day.servers.speed[1]) / 2.0,
                cold,
                cold_capacity: day.rules.cold_from,
                warm_up: Duration::from_millis(day.rules.warm_after_ms),
                max_queue: day.servers.queue,
                mean_work: day.load.mix.iter().map(|mix| mix.work_ms / 1e3).collect(),
                service: Arc::new(day.service.to_service()),
                seed: day.seed,
            };
            let server = ServerStandIn::start(
                config,
                &Workers::new("rpc", 1024, whinhill_transport::CALL_STACK),
                &record,
            )
            .map_err(CommandError::runtime)?;
            let addr: SocketAddr = server
                .name()
                .parse()
                .map_err(|_| CommandError::Runtime("the server's name is not an address".into()))?;
            tracing::info!(%addr, "server listening");
            lifecycle::write_ready_file(ready_file.as_deref(), addr, &stop)?;
            lifecycle::wait_until_stopped(&stop);
        }
    }
    Ok(())
}
