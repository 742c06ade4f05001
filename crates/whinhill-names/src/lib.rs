//! Names at the door: servers, zones, methods and the figures of a load report, mapped to the small indices
//! by which the module knows them. Both the bench's adapter and the platform's front stand behind it.
//!
//! ```
//! use whinhill::interface::Settings;
//! use whinhill_names::Names;
//! let settings = Settings([("zones".into(), "a,b".into())].into());
//! let mut names = Names::new(&settings);
//! assert_eq!(names.known_zone("b"), Some(1));
//! let ep = names.ep("s-1");
//! assert_eq!((names.known("s-1"), names.server(ep.index)), (Some(ep), Some("s-1")));
//! ```

use std::collections::HashMap;
use std::time::Duration;

use whinhill::interface::{Ep, LoadReport, MethodId, Settings, SliceId, ZoneId};

/// Zones that are told apart: lists may name what they like, and past the bound all strange ones are one.
const ZONES_MOST: usize = 256;

#[derive(Debug, Default)]
pub struct Names {
    servers: Vec<String>,
    eps: HashMap<String, usize>,
    /// Indices that were let go.
    free: Vec<usize>,
    zones: Vec<String>,
    methods: Vec<String>,
    slices: usize,
    report: Vec<String>,
}

impl Names {
    pub fn new(settings: &Settings) -> Self {
        let text = |path: &str| settings.0.get(path).map(String::as_str).unwrap_or("");
        let list = |path: &str| {
            text(path).split(',').filter(|w| !w.is_empty()).map(str::to_string).collect::<Vec<_>>()
        };
        let methods = (0..settings.get("classes.count").unwrap_or(0))
            .map(|k: usize| text(&format!("classes.{k}.name")).to_string())
            .collect();
        Names {
            servers: Vec::new(),
            eps: HashMap::new(),
            free: Vec::new(),
            zones: list("zones"),
            methods,
            slices: settings.get("familyInfo.shards").unwrap_or(0),
            report: list("report.fields"),
        }
    }

    /// The endpoint of a server, met now if not before.
    pub fn ep(&mut self, name: &str) -> Ep {
        let index = match self.eps.get(name) {
            Some(&index) => index,
            None => {
                let index = self.free.pop().unwrap_or(self.servers.len());
                self.servers.resize(self.servers.len().max(index + 1), String::new());
                self.servers[index] = name.to_string();
                self.eps.insert(name.to_string(), index);
                index
            }
        };
        Ep { index, stable: fnv1a(name) }
    }

    /// The endpoint of a server that was met before.
    pub fn known(&self, name: &str) -> Option<Ep> {
        self.eps.get(name).map(|&index| Ep { index, stable: fnv1a(name) })
    }

    pub fn server(&self, index: usize) -> Option<&str> {
        self.servers.get(index).map(String::as_str).filter(|name| !name.is_empty())
    }

    /// Lets a server's name and index go; the index is given to the next one met.
    pub fn let_go(&mut self, index: usize) {
        let name = self.servers.get_mut(index).map(std::mem::take).unwrap_or_default();
        if self.eps.remove(&name).is_some() {
            self.free.push(index);
        }
    }

    /// The servers that have a name now.
    pub fn servers(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.servers.len()).filter(|index| !self.servers[*index].is_empty())
    }

    /// A zone, met now if not before.
    pub fn zone(&mut self, name: &str) -> ZoneId {
        self.known_zone(name).unwrap_or_else(|| {
            if self.zones.len() < ZONES_MOST {
                self.zones.push(name.to_string());
            }
            self.zones.len() - 1
        })
    }

    pub fn known_zone(&self, name: &str) -> Option<ZoneId> {
        self.zones.iter().position(|z| z == name)
    }

    pub fn method(&self, name: &str) -> Option<MethodId> {
        self.methods.iter().position(|m| m == name)
    }

    pub fn method_name(&self, method: MethodId) -> Option<&str> {
        self.methods.get(method).map(String::as_str)
    }

    pub fn methods(&self) -> usize {
        self.methods.len()
    }

    /// The slice of this number, if there is one.
    pub fn slice(&self, number: usize) -> Option<SliceId> {
        Some(number).filter(|s| *s < self.slices)
    }

    pub fn slices(&self) -> usize {
        self.slices
    }

    /// The names of a load report's figures, in the order of the settings.
    pub fn report(&self) -> impl Iterator<Item = &str> {
        self.report.iter().map(String::as_str)
    }
}

/// Sets one figure of a load report by its name; names that we have no use for are skipped.
pub fn set_figure(load: &mut LoadReport, name: &str, value: f64) {
    match name {
        "cpu_share" | "util" => load.cpu = Some(value),
        "busy_reqs" | "inflight" => load.in_hand = Some(value),
        "pending" | "queue" => load.waiting = Some(value),
        "svc_ms" | "latency_ms" => load.service = Duration::try_from_secs_f64(value / 1e3).ok(),
        _ => {}
    }
}

/// FNV-1a, 64 bits: a hash of a name that is the same in every process.
fn fnv1a(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_index_let_go_is_given_once_to_the_next() {
        let mut names = Names::default();
        let (a, b) = (names.ep("a"), names.ep("b"));
        names.let_go(a.index);
        names.let_go(a.index);
        names.let_go(99);
        assert_eq!((names.known("a"), names.server(a.index), names.servers().count()), (None, None, 1));
        let (c, d) = (names.ep("c"), names.ep("d"));
        assert_eq!((c.index, d.index, names.ep("b")), (a.index, 2, b));
        assert_ne!(c.stable, a.stable);
    }
}
