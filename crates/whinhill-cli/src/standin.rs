//! `whinhill standin`: runs one of the stand-ins by itself, to try an assigner or a proxy by hand.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use clap::Subcommand;
use whinhill_standins::day::Day;
use whinhill_standins::record::Recorder;
use whinhill_standins::server::{Server, ServerConfig};
use whinhill_standins::store::StoreStandIn;
use whinhill_transport::Workers;

use crate::{config, until_stopped, Failed};

#[derive(Subcommand)]
pub enum StandinCommand {
    /// A store that speaks RESP and keeps everything in memory.
    Store {
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        #[arg(long)]
        ready_file: Option<PathBuf>,
    },
    /// A server of the service that a day's script describes.
    Server {
        #[arg(long)]
        day: PathBuf,
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// It starts cold.
        #[arg(long)]
        cold: bool,
        #[arg(long)]
        ready_file: Option<PathBuf>,
    },
}

pub fn run(command: StandinCommand) -> Result<(), Failed> {
    let stop = until_stopped::listen()?;
    let failed = |error: std::io::Error| Failed::Running(error.to_string());
    let record = Recorder::default();
    match command {
        StandinCommand::Store { listen, ready_file } => {
            let store = StoreStandIn::start(listen, &record).map_err(failed)?;
            tracing::info!(addr = %store.addr(), "store listens");
            until_stopped::say_ready(ready_file.as_deref(), store.addr(), &stop)?;
            until_stopped::wait(&stop);
        }
        StandinCommand::Server { day, listen, cold, ready_file } => {
            let day: Day = config::read(&day, Day::check)?;
            let config = ServerConfig {
                listen,
                cores: day.servers.cores,
                speed: (day.servers.speed[0] + day.servers.speed[1]) / 2.0,
                cold,
                cold_from: day.rules.cold_from,
                warm_after: Duration::from_millis(day.rules.warm_after_ms),
                queue_most: day.servers.queue,
                work: day.load.mix.iter().map(|mix| mix.work_ms / 1e3).collect(),
                service: Arc::new(day.service.service()),
                seed: day.seed,
            };
            let server =
                Server::start(config, &Workers::new("rpc", 1024, whinhill_transport::CALL_STACK), &record)
                    .map_err(failed)?;
            let addr: SocketAddr = server.name().parse().map_err(|_| Failed::Running("no address".into()))?;
            tracing::info!(%addr, "server listens");
            until_stopped::say_ready(ready_file.as_deref(), addr, &stop)?;
            until_stopped::wait(&stop);
        }
    }
    Ok(())
}
