//! Connections to servers: one for each, opened by whoever needs it first.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Instant;

use whinhill_transport::{CallError, Client, Drivers, Limits, NeverRan};

use crate::shared::lock;

enum Place {
    Opening,
    Open(Client),
}

pub struct Pool {
    places: Mutex<HashMap<Arc<str>, Place>>,
    settled: Condvar,
    limits: Limits,
    drivers: Drivers,
    most: usize,
    dial: Dial,
}

/// Where to connect for a server, if not to its own address: a relay beside the proxy, for one.
#[derive(Clone, Default)]
pub struct Dial(pub Option<Arc<dyn Fn(SocketAddr) -> SocketAddr + Send + Sync>>);

impl std::fmt::Debug for Dial {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(if self.0.is_some() { "Dial(elsewhere)" } else { "Dial(direct)" })
    }
}

impl Pool {
    /// `most` bounds the servers connected to at a time.
    pub fn new(limits: Limits, drivers: Drivers, most: usize, dial: Dial) -> Self {
        Pool { places: Mutex::default(), settled: Condvar::new(), limits, drivers, most, dial }
    }

    /// A connection to a server, opened if there is none that lives. Others who want the same one wait for it.
    pub fn get(&self, server: &Arc<str>, until: Instant) -> Result<Client, CallError> {
        let none = CallError::NeverRan(NeverRan::NoConnection);
        let mut places = lock(&self.places);
        loop {
            match places.get(server) {
                Some(Place::Open(client)) if client.alive() => return Ok(client.clone()),
                Some(Place::Opening) => {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        return Err(none);
                    }
                    let waited = self.settled.wait_timeout(places, left);
                    places = waited.unwrap_or_else(PoisonError::into_inner).0;
                }
                _ => break,
            }
        }
        if places.len() >= self.most {
            places.retain(|_, place| {
                matches!(place, Place::Opening) || matches!(place, Place::Open(c) if c.alive())
            });
            if places.len() >= self.most {
                return Err(none);
            }
        }
        places.insert(server.clone(), Place::Opening);
        drop(places);
        let addr: Option<SocketAddr> = server.parse().ok();
        let addr = addr.map(|addr| self.dial.0.as_ref().map_or(addr, |dial| dial(addr)));
        let opened =
            addr.ok_or(none).and_then(|addr| Client::connect(addr, self.limits.clone(), &self.drivers));
        let mut places = lock(&self.places);
        match &opened {
            Ok(client) => drop(places.insert(server.clone(), Place::Open(client.clone()))),
            Err(_) => drop(places.remove(server)),
        }
        self.settled.notify_all();
        opened
    }

    /// Forgets a connection that was found ended.
    pub fn forget(&self, server: &Arc<str>) {
        let mut places = lock(&self.places);
        if matches!(places.get(server), Some(Place::Open(client)) if !client.alive()) {
            places.remove(server);
        }
    }
}
