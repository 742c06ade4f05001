//! Represents a service's slices, owners and levels as standard xDS resources, and reads them back.
//!
//! There is one cluster and one load assignment for each slice *and method*, so that a level, and above all
//! stopping the writes of an owner, applies to one method only: the drop fraction of the assignment is 1 minus
//! the level. All writes depend on a single route configuration, the only resource with a TTL, which is the
//! write lease. `docs/xds.md` discusses the alternatives.

use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use whinhill::interface::{MethodId, SliceId};
use whinhill_tables::{SliceTable, Version};
use xxhash_rust::xxh3::xxh3_64;

use crate::cache::{Entry, Kind};
use crate::proto::{self, bool_value, metadata, number_value, string_value, to_proto_duration};

/// The metadata key of this project's fields; a client that ignores them remains correct.
pub const METADATA_KEY: &str = "whinhill";
/// The header that selects the cluster of a route.
pub const CLUSTER_HEADER: &str = "whinhill-cluster";
/// The category of the drop fraction that represents a level.
const LEVEL_CATEGORY: &str = "level";
const MILLION: u32 = 1_000_000;
/// The discovery type of a cluster whose endpoints come from EDS.
const EDS: i32 = 3;

/// Whether an RPC of a method may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Idempotent,
    /// Repeats within a window are dropped by the servers.
    Tokened,
    NonIdempotent,
}

impl Effect {
    /// The name in the metadata.
    pub fn name(self) -> &'static str {
        match self {
            Effect::Idempotent => "idempotent",
            Effect::Tokened => "tokened",
            Effect::NonIdempotent => "non-idempotent",
        }
    }

    /// The value with this name.
    pub fn from_name(name: &str) -> Option<Self> {
        [Effect::Idempotent, Effect::Tokened, Effect::NonIdempotent].into_iter().find(|e| e.name() == name)
    }
}

/// The configuration of one method.
#[derive(Clone, Debug, PartialEq)]
pub struct Method {
    pub name: String,
    /// The RPC's path, `/package.Service/Method`.
    pub path: String,
    /// Whether its RPCs are writes, which are sent only within a write lease.
    pub writes: bool,
    pub effect: Effect,
    /// Upper limit of an RPC's soft deadline; applies where the client sets none.
    pub soft_deadline: Duration,
    /// Upper limit of an RPC's deadline; applies where the client sets none.
    pub deadline: Duration,
}

/// The configuration of a service, the same at every assigner and proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    pub name: String,
    pub slices: usize,
    pub methods: Vec<Method>,
    /// How long a proxy may still send writes after it last heard from the assigner that has custody.
    pub write_lease: Duration,
    /// How long an RPC may wait for a slice to get an owner.
    pub max_owner_wait: Duration,
    /// A try that may be followed by another waits for its answer for this many soft deadlines.
    pub try_factor: f64,
}

/// Why a resource could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MappingError {
    #[error("{name}: {what}")]
    Resource { name: String, what: String },
}

impl Service {
    /// The cluster name of a slice and method. It contains the number of slices: if that changes, the same slice
    /// number covers other keys, and a client that still uses the former number must find none of its names
    /// among the new ones.
    pub fn cluster_name(&self, slice: SliceId, method: MethodId) -> String {
        format!("{}/{slice}.{}/{}", self.name, self.slices, self.methods[method].name)
    }

    /// Parses a cluster name into slice and method; `None` if it is not the name of one of this service's, for
    /// example because it has another number of slices.
    pub fn parse_cluster_name(&self, name: &str) -> Option<(SliceId, MethodId)> {
        let (slice, method) = name.strip_prefix(&self.name)?.strip_prefix('/')?.split_once('/')?;
        let method = self.methods.iter().position(|m| m.name == method)?;
        let (slice, slices) = slice.split_once('.')?;
        let slice = slice.parse().ok().filter(|slice| *slice < self.slices)?;
        (slices.parse() == Ok(self.slices)).then_some((slice, method))
    }

    /// The slice of a key: its XXH3 hash modulo the number of slices. Clients rely on this rule.
    ///
    /// ```
    /// use whinhill_xds::mapping::slice_of;
    /// assert_eq!(slice_of(b"car-17", 900), slice_of(b"car-17", 900));
    /// assert!(slice_of(b"car-17", 900) < 900);
    /// ```
    pub fn slice_of(&self, key: &[u8]) -> SliceId {
        slice_of(key, self.slices)
    }

    /// The name of the listener and of the route configuration of reads or writes.
    pub fn listener_name(&self, writes: bool) -> String {
        format!("{}/{}", self.name, if writes { "writes" } else { "reads" })
    }

    /// The listeners and routes. They are the same at every assigner, except that each assigner renews the TTL
    /// of the writes' route itself.
    pub fn static_resources(&self) -> Vec<(Kind, String, Entry)> {
        [false, true]
            .into_iter()
            .flat_map(|writes| {
                let name = self.listener_name(writes);
                let listener = hashed_entry(&self.listener(&name), None);
                let route = hashed_entry(&self.routes(&name, writes), writes.then_some(self.write_lease));
                [(Kind::Listener, name.clone(), listener), (Kind::Route, name, route)]
            })
            .collect()
    }

    fn listener(&self, name: &str) -> proto::Listener {
        let rds = proto::Rds { config_source: Some(ads_source()), route_config_name: name.to_string() };
        let manager = proto::HttpConnectionManager { stat_prefix: name.to_string(), rds: Some(rds) };
        let url = "type.googleapis.com/envoy.extensions.filters.network.http_connection_manager.v3.HttpConnectionManager";
        let any = proto::Any { type_url: url.to_string(), value: manager.encode_to_vec() };
        proto::Listener {
            name: name.to_string(),
            api_listener: Some(proto::ApiListener { api_listener: Some(any) }),
        }
    }

    fn routes(&self, name: &str, writes: bool) -> proto::RouteConfiguration {
        let route = |method: &Method| proto::Route {
            name: method.name.clone(),
            r#match: Some(proto::RouteMatch {
                path_specifier: Some(proto::PathSpecifier::Path(method.path.clone())),
            }),
            route: Some(proto::RouteAction {
                cluster_header: CLUSTER_HEADER.to_string(),
                timeout: Some(to_proto_duration(method.deadline)),
                retry_policy: None,
            }),
            metadata: Some(metadata(
                METADATA_KEY,
                [
                    ("slices", number_value(self.slices as f64)),
                    ("rule", string_value("xxh3-64 modulo slices")),
                    ("effect", string_value(method.effect.name())),
                    ("writes", bool_value(method.writes)),
                    ("soft_deadline_ms", number_value(method.soft_deadline.as_secs_f64() * 1e3)),
                    ("hold_ms", number_value(self.max_owner_wait.as_secs_f64() * 1e3)),
                ],
            )),
        };
        let routes = self.methods.iter().filter(|method| method.writes == writes).map(route).collect();
        let host = proto::VirtualHost { name: name.to_string(), domains: vec!["*".to_string()], routes };
        proto::RouteConfiguration { name: name.to_string(), virtual_hosts: vec![host] }
    }

    /// The cluster of a slice and method. It changes only with custody.
    pub fn cluster(&self, slice: SliceId, method: MethodId) -> Entry {
        let name = self.cluster_name(slice, method);
        let eds = proto::EdsClusterConfig { eds_config: Some(ads_source()), service_name: name.clone() };
        hashed_entry(
            &proto::Cluster { name, r#type: EDS, eds_cluster_config: Some(eds), metadata: None },
            None,
        )
    }

    /// The load assignment of a slice and method.
    pub fn endpoints(&self, slice: SliceId, method: MethodId, table: &SliceTable) -> Entry {
        let lb_endpoints: Vec<proto::LbEndpoint> = table
            .owner
            .iter()
            .map(|owner| proto::LbEndpoint {
                endpoint: Some(proto::Endpoint { address: Some(server_address(owner)) }),
                health_status: proto::HealthStatus::Healthy as i32,
                metadata: (table.tries > 0)
                    .then(|| metadata(METADATA_KEY, [("tries", number_value(table.tries.into()))])),
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
            category: LEVEL_CATEGORY.to_string(),
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

/// The configuration source of resources on the aggregated stream; version 2 is the xDS API v3.
fn ads_source() -> proto::ConfigSource {
    proto::ConfigSource { ads: Some(proto::AggregatedConfigSource {}), resource_api_version: 2 }
}

/// An entry whose version is the hash of its encoded message.
fn hashed_entry(message: &impl Message, ttl: Option<Duration>) -> Entry {
    let body: Bytes = message.encode_to_vec().into();
    Entry { version: format!("{:016x}", xxh3_64(&body)).into(), body, ttl }
}

/// A server's name, `host:port`, as an address.
pub fn server_address(server: &str) -> proto::Address {
    let (host, port) = server.rsplit_once(':').unwrap_or((server, "0"));
    let port_value = port.parse().unwrap_or(0);
    let address = host.trim_matches(['[', ']']).to_string();
    proto::Address { socket_address: Some(proto::SocketAddress { address, port_value }) }
}

/// The name of a server, from its address; `None` if the address can't be dialled.
pub fn server_name(address: &proto::Address) -> Option<String> {
    let socket = address.socket_address.as_ref()?;
    let ip: std::net::IpAddr = socket.address.parse().ok()?;
    let port = u16::try_from(socket.port_value).ok().filter(|port| *port > 0)?;
    Some(std::net::SocketAddr::new(ip, port).to_string())
}

/// The load assignment of one slice and method, as a proxy reads it.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    pub slice: SliceId,
    pub method: MethodId,
    pub version: Version,
    /// Servers and their weights; empty while no server serves the slice.
    pub lines: Vec<(String, u32)>,
    /// The level: the fraction of RPCs to admit, from 0 to 1.
    pub share: f64,
    /// The retry setting: 0 no retry; 1 one, only with proof that the try never ran; 2 one and 3 two after any
    /// failure.
    pub tries: u8,
}

/// Decodes a load assignment. Fails with the reason for anything that a plain xDS client could not use.
pub fn read_assignment(
    service: &Service,
    name: &str,
    version: &str,
    body: &[u8],
) -> Result<Assignment, MappingError> {
    let error_for = |what: String| MappingError::Resource { name: name.to_string(), what };
    let (slice, method) = service
        .parse_cluster_name(name)
        .ok_or_else(|| error_for("names no slice and method of this service".into()))?;
    let version = version.parse::<Version>().map_err(|error| error_for(error.to_string()))?;
    let read = proto::ClusterLoadAssignment::decode(body).map_err(|error| error_for(error.to_string()))?;
    if read.cluster_name != name {
        return Err(error_for(format!("holds the assignment of {}", read.cluster_name)));
    }
    let mut lines = Vec::new();
    let mut tries = 0;
    for line in read.endpoints.iter().flat_map(|locality| &locality.lb_endpoints) {
        let server = line.endpoint.as_ref().and_then(|e| e.address.as_ref()).and_then(server_name);
        let server =
            server.ok_or_else(|| error_for("a line without an address that can be dialled".into()))?;
        let tries_value = line.metadata.as_ref().and_then(|m| m.number(METADATA_KEY, "tries"));
        tries = tries_value.map_or(tries, |value| value.clamp(0.0, 3.0) as u8);
        let healthy = [proto::HealthStatus::Healthy, proto::HealthStatus::Unknown].map(|s| s as i32);
        let weight = line.load_balancing_weight.map_or(1, |weight| weight.value);
        if healthy.contains(&line.health_status) && weight > 0 {
            if lines.iter().any(|(known, _)| *known == server) {
                return Err(error_for(format!("server {server} stands twice")));
            }
            lines.push((server, weight));
        }
    }
    let mut share = 1.0;
    for drop in read.policy.iter().flat_map(|policy| &policy.drop_overloads) {
        let Some(percent) = drop.drop_percentage else { continue };
        let denominator = match proto::Denominator::try_from(percent.denominator) {
            Ok(proto::Denominator::Hundred) => 100.0,
            Ok(proto::Denominator::TenThousand) => 10_000.0,
            Ok(proto::Denominator::Million) => f64::from(MILLION),
            Err(_) => {
                return Err(error_for(format!("a drop share over denominator {}", percent.denominator)))
            }
        };
        share *= 1.0 - (f64::from(percent.numerator) / denominator).min(1.0);
    }
    Ok(Assignment { slice, method, version, lines, share, tries })
}
