//! Probes by `grpc.health.v1`, with the server's own figures (ORCA) where it tells them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crossbeam_channel::Sender;
use prost::Message;
use tracing::debug;
use whinhill::interface::{LoadReport, Probe};
use whinhill_tables::ServerName;
use whinhill_transport::{CallError, Client, Code, Drivers, Limits, NeverRan, Workers};
use whinhill_xds::proto::{HealthCheckRequest, HealthCheckResponse, OrcaLoadReport};
use whinhill_xds::{unbase64, HEALTH_PATH, ORCA_TRAILER};

use crate::core::Input;
use crate::reports::read_load;

const WITHIN: Duration = Duration::from_millis(800);
/// Probes under way at a time.
const MOST: usize = 32;
const SERVING: i32 = 1;

#[derive(Clone)]
pub struct Prober {
    workers: Workers,
    drivers: Drivers,
    clients: Arc<Mutex<HashMap<ServerName, Client>>>,
    inputs: Sender<(Input, Option<Sender<()>>)>,
}

impl Prober {
    pub fn new(drivers: Drivers, inputs: Sender<(Input, Option<Sender<()>>)>) -> Self {
        Prober {
            workers: Workers::new("probe", MOST, whinhill_transport::CALL_STACK),
            drivers,
            clients: Arc::default(),
            inputs,
        }
    }

    /// Probes a server soon; where too many are under way it is left for the next period.
    pub fn probe(&self, server: ServerName) {
        let me = self.clone();
        let _ = self.workers.run(move || {
            let Some((result, load)) = me.ask(&server) else {
                return debug!(%server, "a server was not asked: the fault is this machine's");
            };
            debug!(%server, ?result, "a server was asked");
            let _ = me.inputs.try_send((Input::Probed { server, result, load }, None));
        });
    }

    /// `None` where the server was not asked: that tells nothing of it.
    fn ask(&self, server: &ServerName) -> Option<(Probe, LoadReport)> {
        Some(match self.check(server) {
            Err(CallError::NeverRan(NeverRan::NotTried)) => return None,
            Ok((HealthCheckResponse { status: SERVING }, load)) => (Probe::Ok, load),
            Ok((_, load)) => (Probe::PushedBack, load),
            Err(
                CallError::Status { code: Code::Unavailable | Code::ResourceExhausted, .. }
                | CallError::NeverRan(NeverRan::RefusedStream),
            ) => (Probe::PushedBack, LoadReport::default()),
            Err(CallError::Status { .. } | CallError::Malformed(_) | CallError::TooLarge { .. }) => {
                (Probe::Aborted, LoadReport::default())
            }
            Err(_) => (Probe::Unanswered, LoadReport::default()),
        })
    }

    fn check(&self, server: &ServerName) -> Result<(HealthCheckResponse, LoadReport), CallError> {
        if let Some(client) = self.held(server) {
            match check_by(&client) {
                // Ended in good order before, by the server's limits for instance: it was not asked.
                Err(CallError::NeverRan(NeverRan::NeverWritten | NeverRan::AboveGoAway)) => {}
                result => return result,
            }
        }
        check_by(&self.connect(server)?)
    }

    fn clients(&self) -> MutexGuard<'_, HashMap<ServerName, Client>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A connection to the server that stands, as far as is known.
    fn held(&self, server: &ServerName) -> Option<Client> {
        self.clients().get(server).filter(|client| client.alive()).cloned()
    }

    fn connect(&self, server: &ServerName) -> Result<Client, CallError> {
        let addr: SocketAddr =
            server.parse().map_err(|_| CallError::Malformed("a server's name is its address"))?;
        let limits = Limits { handshake: WITHIN, idle: Duration::from_secs(10), ..Limits::default() };
        let client = Client::connect(addr, limits, &self.drivers)?;
        let mut clients = self.clients();
        clients.retain(|_, client| client.alive());
        clients.insert(server.clone(), client.clone());
        Ok(client)
    }
}

/// Asks by a connection that stands.
fn check_by(client: &Client) -> Result<(HealthCheckResponse, LoadReport), CallError> {
    let request = HealthCheckRequest::default().encode_to_vec();
    let (answer, trailers) = client.unary(HEALTH_PATH, &[], request.into(), WITHIN)?;
    let answer = HealthCheckResponse::decode(answer).map_err(|_| CallError::Malformed("a health answer"))?;
    let told = trailers.get(ORCA_TRAILER).and_then(|value| value.to_str().ok()).and_then(unbase64);
    let told = told.and_then(|bytes| OrcaLoadReport::decode(&bytes[..]).ok()).unwrap_or_default();
    let mut load = LoadReport::default();
    if told.cpu_utilization > 0.0 {
        load.cpu = Some(told.cpu_utilization);
    }
    told.named_metrics.iter().for_each(|(name, value)| read_load(&mut load, name, *value));
    Ok((answer, load))
}

#[cfg(test)]
mod tests;
