//! How a service's slices, owners and levels stand in standard resources, and back.
//!
//! Each slice is one cluster and one load assignment *for each method*, so that a level, and above all the stop
//! of an owner's writes, concerns one method alone: the assignment's drop share is one less the level. Writes hang
//! on one route configuration that alone carries a TTL, the write lease. `docs/xds.md` has the alternatives.

use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use whinhill::interface::{MethodId, SliceId};
use whinhill_tables::{SliceTable, Version};
use xxhash_rust::xxh3::xxh3_64;

use crate::cache::{Entry, Kind};
use crate::proto::{self, flag, metadata, number, span, text};

/// The metadata key under which private fields stand; a client that ignores them stays safe.
pub const FILTER: &str = "whinhill";
/// The header by which a route finds its cluster.
pub const CLUSTER_HEADER: &str = "whinhill-cluster";
const LEVEL: &str = "level";
const MILLION: u32 = 1_000_000;

/// What may be done with an RPC of a method again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Idempotent,
    /// A repeat within a window is dropped by the servers.
    Tokened,
    NonIdempotent,
}

impl Effect {
    pub fn name(self) -> &'static str {
        match self {
            Effect::Idempotent => "idempotent",
            Effect::Tokened => "tokened",
            Effect::NonIdempotent => "non-idempotent",
        }
    }

    pub fn of_name(name: &str) -> Option<Self> {
        [Effect::Idempotent, Effect::Tokened, Effect::NonIdempotent].into_iter().find(|e| e.name() == name)
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Method {
    pub name: String,
    /// The RPC's path, `/package.Service/Method`.
    pub path: String,
    pub writes: bool,
    pub effect: Effect,
    pub soft_deadline: Duration,
    pub deadline: Duration,
}

/// What every assigner and proxy of a service holds alike.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    pub name: String,
    pub slices: usize,
    pub methods: Vec<Method>,
    /// How long a proxy still sends writes after it last heard from the assigner in charge.
    pub write_lease: Duration,
    /// How long an RPC may wait for a slice's owner.
    pub hold: Duration,
    /// A try that may be followed by another waits so many soft deadlines for its answer.
    pub try_factor: f64,
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MappingError {
    #[error("{name}: {what}")]
    Resource { name: String, what: String },
}

impl Service {
    /// The name holds the number of slices: where that number changes, the same slice number stands for other keys,
    /// and whoever still reckons by the former must find none of its names among the new.
    pub fn cluster_name(&self, slice: SliceId, method: MethodId) -> String {
        format!("{}/{slice}.{}/{}", self.name, self.slices, self.methods[method].name)
    }

    /// The slice and method of a cluster's name.
    pub fn of_cluster_name(&self, name: &str) -> Option<(SliceId, MethodId)> {
        let (slice, method) = name.strip_prefix(&self.name)?.strip_prefix('/')?.split_once('/')?;
        let method = self.methods.iter().position(|m| m.name == method)?;
        let (slice, of) = slice.split_once('.')?;
        let slice = slice.parse().ok().filter(|slice| *slice < self.slices)?;
        (of.parse() == Ok(self.slices)).then_some((slice, method))
    }

    /// The published rule: the slice of a key is its XXH3 hash modulo the number of slices.
    ///
    /// ```
    /// use whinhill_xds::mapping::slice_of;
    /// assert_eq!(slice_of(b"car-17", 900), slice_of(b"car-17", 900));
    /// assert!(slice_of(b"car-17", 900) < 900);
    /// ```
    pub fn slice_of(&self, key: &[u8]) -> SliceId {
        slice_of(key, self.slices)
    }

    pub fn listener_name(&self, writes: bool) -> String {
        format!("{}/{}", self.name, if writes { "writes" } else { "reads" })
    }

    /// The listeners and routes: alike for every assigner but for the writes' TTL, which each keeps by itself.
    pub fn static_resources(&self) -> Vec<(Kind, String, Entry)> {
        [false, true]
            .into_iter()
            .flat_map(|writes| {
                let name = self.listener_name(writes);
                let listener = encoded(&self.listener(&name), None);
                let route = encoded(&self.routes(&name, writes), writes.then_some(self.write_lease));
                [(Kind::Listener, name.clone(), listener), (Kind::Route, name, route)]
            })
            .collect()
    }

    fn listener(&self, name: &str) -> proto::Listener {
        let rds = proto::Rds { config_source: Some(ads()), route_config_name: name.to_string() };
        let manager = proto::HttpConnectionManager { stat_prefix: name.to_string(), rds: Some(rds) };
        let url = "type.googleapis.com/envoy.extensions.filters.network.http_connection_manager.v3.HttpConnectionManager";
        let any = proto::Any { type_url: url.to_string(), value: manager.encode_to_vec() };
        proto::Listener {
            name: name.to_string(),
            api_listener: Some(proto::ApiListener { api_listener: Some(any) }),
        }
    }

    fn routes(&self, name: &str, writes: bool) -> proto::RouteConfiguration {
        let of = |method: &Method| proto::Route {
            name: method.name.clone(),
            r#match: Some(proto::RouteMatch {
                path_specifier: Some(proto::PathSpecifier::Path(method.path.clone())),
            }),
            route: Some(proto::RouteAction {
                cluster_header: CLUSTER_HEADER.to_string(),
                timeout: Some(span(method.deadline)),
                retry_policy: None,
            }),
            metadata: Some(metadata(
                FILTER,
                [
                    ("slices", number(self.slices as f64)),
                    ("rule", text("xxh3-64 modulo slices")),
                    ("effect", text(method.effect.name())),
                    ("writes", flag(method.writes)),
                    ("soft_deadline_ms", number(method.soft_deadline.as_secs_f64() * 1e3)),
                    ("hold_ms", number(self.hold.as_secs_f64() * 1e3)),
                ],
            )),
        };
        let routes = self.methods.iter().filter(|method| method.writes == writes).map(of).collect();
        let host = proto::VirtualHost { name: name.to_string(), domains: vec!["*".to_string()], routes };
        proto::RouteConfiguration { name: name.to_string(), virtual_hosts: vec![host] }
    }

    /// The cluster of a slice and method. It changes only with custody.
    pub fn cluster(&self, slice: SliceId, method: MethodId) -> Entry {
        let name = self.cluster_name(slice, method);
        let eds = proto::EdsClusterConfig { eds_config: Some(ads()), service_name: name.clone() };
        encoded(&proto::Cluster { name, r#type: 3, eds_cluster_config: Some(eds), metadata: None }, None)
    }

    /// The load assignment of a slice and method.
    pub fn endpoints(&self, slice: SliceId, method: MethodId, table: &SliceTable) -> Entry {
        let lb_endpoints: Vec<proto::LbEndpoint> = table
            .owner
            .iter()
            .map(|owner| proto::LbEndpoint {
                endpoint: Some(proto::Endpoint { address: Some(address(owner)) }),
                health_status: proto::HealthStatus::Healthy as i32,
                metadata: (table.tries > 0)
                    .then(|| metadata(FILTER, [("tries", number(table.tries.into()))])),
                load_balancing_weight: Some(proto::UInt32Value { value: 1 }),
            })
            .collect();
        let endpoints = match lb_endpoints.is_empty() {
            true => Vec::new(),
            false => {
                vec![proto::LocalityLbEndpoints { locality: None, lb_endpoints, load_balancing_weight: None }]
            }
        };
        let share = table.shares.get(method).copied().unwrap_or(1.0).clamp(0.0, 1.0);
        let dropped = MILLION - (share * f64::from(MILLION)).round() as u32;
        let drop = proto::DropOverload {
            category: LEVEL.to_string(),
            drop_percentage: Some(proto::FractionalPercent {
                numerator: dropped,
                denominator: proto::Denominator::Million as i32,
            }),
        };
        let policy = (dropped > 0).then(|| proto::AssignmentPolicy { drop_overloads: vec![drop] });
        let assignment = proto::ClusterLoadAssignment {
            cluster_name: self.cluster_name(slice, method),
            endpoints,
            policy,
        };
        Entry {
            version: table.version.to_string().into(),
            body: assignment.encode_to_vec().into(),
            ttl: None,
        }
    }
}

/// See [`Service::slice_of`].
pub fn slice_of(key: &[u8], slices: usize) -> SliceId {
    (xxh3_64(key) % slices.max(1) as u64) as SliceId
}

fn ads() -> proto::ConfigSource {
    proto::ConfigSource { ads: Some(proto::AggregatedConfigSource {}), resource_api_version: 2 }
}

/// A resource whose version is the hash of what it says.
fn encoded(message: &impl Message, ttl: Option<Duration>) -> Entry {
    let body: Bytes = message.encode_to_vec().into();
    Entry { version: format!("{:016x}", xxh3_64(&body)).into(), body, ttl }
}

pub fn address(server: &str) -> proto::Address {
    let (host, port) = server.rsplit_once(':').unwrap_or((server, "0"));
    let port_value = port.parse().unwrap_or(0);
    let address = host.trim_matches(['[', ']']).to_string();
    proto::Address { socket_address: Some(proto::SocketAddress { address, port_value }) }
}

/// A server's name from its address; `None` if it has none that can be dialled.
pub fn server_name(address: &proto::Address) -> Option<String> {
    let socket = address.socket_address.as_ref()?;
    let ip: std::net::IpAddr = socket.address.parse().ok()?;
    let port = u16::try_from(socket.port_value).ok().filter(|port| *port > 0)?;
    Some(std::net::SocketAddr::new(ip, port).to_string())
}

/// One slice and method as a proxy reads it.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    pub slice: SliceId,
    pub method: MethodId,
    pub version: Version,
    /// Servers and weights; empty while nobody serves the slice.
    pub lines: Vec<(String, u32)>,
    pub share: f64,
    pub tries: u8,
}

/// Reads a load assignment; whatever a plain client could not act on is named.
pub fn read_assignment(
    service: &Service,
    name: &str,
    version: &str,
    body: &[u8],
) -> Result<Assignment, MappingError> {
    let fault = |what: String| MappingError::Resource { name: name.to_string(), what };
    let (slice, method) = service
        .of_cluster_name(name)
        .ok_or_else(|| fault("names no slice and method of this service".into()))?;
    let version = version.parse::<Version>().map_err(|error| fault(error.to_string()))?;
    let read = proto::ClusterLoadAssignment::decode(body).map_err(|error| fault(error.to_string()))?;
    if read.cluster_name != name {
        return Err(fault(format!("holds the assignment of {}", read.cluster_name)));
    }
    let mut lines = Vec::new();
    let mut tries = 0;
    for line in read.endpoints.iter().flat_map(|locality| &locality.lb_endpoints) {
        let server = line.endpoint.as_ref().and_then(|e| e.address.as_ref()).and_then(server_name);
        let server = server.ok_or_else(|| fault("a line without an address that can be dialled".into()))?;
        let told = line.metadata.as_ref().and_then(|m| m.number(FILTER, "tries"));
        tries = told.map_or(tries, |told| told.clamp(0.0, 3.0) as u8);
        let healthy = [proto::HealthStatus::Healthy, proto::HealthStatus::Unknown].map(|s| s as i32);
        let weight = line.load_balancing_weight.map_or(1, |weight| weight.value);
        if healthy.contains(&line.health_status) && weight > 0 {
            if lines.iter().any(|(known, _)| *known == server) {
                return Err(fault(format!("server {server} stands twice")));
            }
            lines.push((server, weight));
        }
    }
    let mut share = 1.0;
    for drop in read.policy.iter().flat_map(|policy| &policy.drop_overloads) {
        let Some(percent) = drop.drop_percentage else { continue };
        let whole = match proto::Denominator::try_from(percent.denominator) {
            Ok(proto::Denominator::Hundred) => 100.0,
            Ok(proto::Denominator::TenThousand) => 10_000.0,
            Ok(proto::Denominator::Million) => f64::from(MILLION),
            Err(_) => return Err(fault(format!("a drop share over denominator {}", percent.denominator))),
        };
        share *= 1.0 - (f64::from(percent.numerator) / whole).min(1.0);
    }
    Ok(Assignment { slice, method, version, lines, share, tries })
}
