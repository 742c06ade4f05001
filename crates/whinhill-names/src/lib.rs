//! Maps the names of servers, zones, methods and load report figures to the small indices that `whinhill` uses.
//!
//! The simulator host (`whinhill-simhost`), the assigner on the operators' platform (`whinhill-node`,
//! `whinhill-platform`) and the command line (`whinhill-cli`) share it.
//!
//! ```
//! use whinhill::interface::Settings;
//! use whinhill_names::Names;
//! let settings = Settings([("zones".into(), "a,b".into())].into());
//! let mut names = Names::new(&settings);
//! assert_eq!(names.known_zone_id("b"), Some(1));
//! let endpoint = names.endpoint("s-1");
//! assert_eq!((names.known_endpoint("s-1"), names.server_name(endpoint.index)), (Some(endpoint), Some("s-1")));
//! ```

use std::collections::HashMap;
use std::time::Duration;

use whinhill::interface::{EndpointId, LoadReport, MethodId, Settings, SliceId, ZoneId};

/// Limit on the number of distinct zones: server lists may carry any zone name, and past the limit every unknown
/// name maps to the last zone.
const MAX_ZONES: usize = 256;

/// Limit on the number of servers that are known at a time, several times as many as the largest fleet has.
pub const MAX_SERVERS: usize = 8192;

/// The mapping between names and indices; names of servers and zones are added when they first occur.
#[derive(Debug, Default)]
pub struct Names {
    /// Server names by index; an empty name marks a free index.
    server_names: Vec<String>,
    index_by_name: HashMap<String, usize>,
    /// Indices of removed servers, to be reused.
    free_indices: Vec<usize>,
    zones: Vec<String>,
    methods: Vec<String>,
    slice_count: usize,
    report_fields: Vec<String>,
}

impl Names {
    /// Reads the zones, the methods, the number of slices and the report fields from the settings.
    pub fn new(settings: &Settings) -> Self {
        let text = |path: &str| settings.0.get(path).map(String::as_str).unwrap_or("");
        let list = |path: &str| {
            text(path).split(',').filter(|item| !item.is_empty()).map(str::to_string).collect::<Vec<_>>()
        };
        let methods = (0..settings.get("classes.count").unwrap_or(0))
            .map(|k: usize| text(&format!("classes.{k}.name")).to_string())
            .collect();
        Names {
            server_names: Vec::new(),
            index_by_name: HashMap::new(),
            free_indices: Vec::new(),
            zones: list("zones"),
            methods,
            slice_count: settings.get("familyInfo.shards").unwrap_or(0),
            report_fields: list("report.fields"),
        }
    }

    /// The endpoint of a server; assigns an index to a name that has none.
    pub fn endpoint(&mut self, name: &str) -> EndpointId {
        let index = match self.index_by_name.get(name) {
            Some(&index) => index,
            None => {
                let index = self.free_indices.pop().unwrap_or(self.server_names.len());
                self.server_names.resize(self.server_names.len().max(index + 1), String::new());
                self.server_names[index] = name.to_string();
                self.index_by_name.insert(name.to_string(), index);
                index
            }
        };
        EndpointId { index, stable_id: fnv1a(name) }
    }

    /// Whether a server may be given an index, or has one. Servers past [`MAX_SERVERS`] are left out by callers that read
    /// names from outside.
    pub fn has_room_for(&self, name: &str) -> bool {
        self.index_by_name.len() < MAX_SERVERS || self.index_by_name.contains_key(name)
    }

    /// The endpoint of a server that has an index.
    pub fn known_endpoint(&self, name: &str) -> Option<EndpointId> {
        self.index_by_name.get(name).map(|&index| EndpointId { index, stable_id: fnv1a(name) })
    }

    /// The name of the server with this index.
    pub fn server_name(&self, index: usize) -> Option<&str> {
        self.server_names.get(index).map(String::as_str).filter(|name| !name.is_empty())
    }

    /// Removes a server's name and frees its index for the next new server.
    pub fn release_server(&mut self, index: usize) {
        let name = self.server_names.get_mut(index).map(std::mem::take).unwrap_or_default();
        if self.index_by_name.remove(&name).is_some() {
            self.free_indices.push(index);
        }
    }

    /// The indices of the servers that have a name.
    pub fn server_indices(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.server_names.len()).filter(|index| !self.server_names[*index].is_empty())
    }

    /// The index of a zone; adds a name that is not known, up to `MAX_ZONES`.
    pub fn zone_id(&mut self, name: &str) -> ZoneId {
        self.known_zone_id(name).unwrap_or_else(|| {
            if self.zones.len() < MAX_ZONES {
                self.zones.push(name.to_string());
            }
            self.zones.len() - 1
        })
    }

    /// The index of a zone that is known.
    pub fn known_zone_id(&self, name: &str) -> Option<ZoneId> {
        self.zones.iter().position(|zone| zone == name)
    }

    /// The number of zones that are known.
    pub fn zone_count(&self) -> usize {
        self.zones.len()
    }

    /// The index of a method of the settings.
    pub fn method_id(&self, name: &str) -> Option<MethodId> {
        self.methods.iter().position(|method| method == name)
    }

    /// The name of the method with this index.
    pub fn method_name(&self, method: MethodId) -> Option<&str> {
        self.methods.get(method).map(String::as_str)
    }

    /// The number of methods.
    pub fn method_count(&self) -> usize {
        self.methods.len()
    }

    /// The slice with this number, if it is within the number of slices.
    pub fn slice_id(&self, number: usize) -> Option<SliceId> {
        Some(number).filter(|slice| *slice < self.slice_count)
    }

    /// The number of slices.
    pub fn slice_count(&self) -> usize {
        self.slice_count
    }

    /// The names of a load report's figures, in the order of the setting `report.fields`.
    pub fn report_fields(&self) -> impl Iterator<Item = &str> {
        self.report_fields.iter().map(String::as_str)
    }
}

/// Sets one figure of a load report by its name; unknown names are ignored.
pub fn set_report_value(load: &mut LoadReport, name: &str, value: f64) {
    match name {
        "cpu_share" | "util" => load.cpu = Some(value),
        "busy_reqs" | "inflight" => load.in_flight = Some(value),
        "pending" | "queue" => load.queued = Some(value),
        "svc_ms" | "latency_ms" => load.service_time = Duration::try_from_secs_f64(value / 1e3).ok(),
        _ => {}
    }
}

/// 64-bit FNV-1a hash of a name, the same in every process.
fn fnv1a(name: &str) -> u64 {
    name.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn index_freed_twice_is_reused_only_once() {
        let mut names = Names::default();
        let (a, b) = (names.endpoint("a"), names.endpoint("b"));
        names.release_server(a.index);
        names.release_server(a.index);
        names.release_server(99);
        assert_eq!(
            (names.known_endpoint("a"), names.server_name(a.index), names.server_indices().count()),
            (None, None, 1)
        );
        let (c, d) = (names.endpoint("c"), names.endpoint("d"));
        assert_eq!((c.index, d.index, names.endpoint("b")), (a.index, 2, b));
        assert_ne!(c.stable_id, a.stable_id);
    }
}
