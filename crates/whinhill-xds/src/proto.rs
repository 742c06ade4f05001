//! The messages of xDS v3, LRS v3, ORCA and gRPC health that whinhill uses, with the field numbers of the
//! specifications. Fields that whinhill neither sets nor reads are left out: protobuf decoders skip them.
//! `tests/field_numbers.rs` checks them against `envoy-types`, except ORCA's report and gRPC health.

use std::collections::HashMap;

use prost::{Enumeration, Message, Oneof};
pub use prost_types::{value, Any, Duration, ListValue, Struct, Value};

/// `google.rpc.Status`.
#[derive(Clone, PartialEq, Message)]
pub struct Status {
    #[prost(int32, tag = "1")]
    pub code: i32,
    #[prost(string, tag = "2")]
    pub message: String,
}

/// `google.protobuf.UInt32Value`.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct UInt32Value {
    #[prost(uint32, tag = "1")]
    pub value: u32,
}

/// `envoy.config.core.v3.Locality`.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Message)]
pub struct Locality {
    #[prost(string, tag = "1")]
    pub region: String,
    #[prost(string, tag = "2")]
    pub zone: String,
    #[prost(string, tag = "3")]
    pub sub_zone: String,
}

/// `envoy.config.core.v3.Node`.
#[derive(Clone, PartialEq, Message)]
pub struct Node {
    #[prost(string, tag = "1")]
    pub id: String,
    #[prost(string, tag = "2")]
    pub cluster: String,
    #[prost(message, optional, tag = "3")]
    pub metadata: Option<Struct>,
    #[prost(message, optional, tag = "4")]
    pub locality: Option<Locality>,
    #[prost(string, tag = "6")]
    pub user_agent_name: String,
    #[prost(string, repeated, tag = "10")]
    pub client_features: Vec<String>,
}

/// `envoy.config.core.v3.Metadata`.
#[derive(Clone, PartialEq, Message)]
pub struct Metadata {
    #[prost(map = "string, message", tag = "1")]
    pub filter_metadata: HashMap<String, Struct>,
}

/// `envoy.config.core.v3.SocketAddress`.
#[derive(Clone, PartialEq, Message)]
pub struct SocketAddress {
    #[prost(string, tag = "2")]
    pub address: String,
    #[prost(uint32, tag = "3")]
    pub port_value: u32,
}

/// `envoy.config.core.v3.Address`.
#[derive(Clone, PartialEq, Message)]
pub struct Address {
    #[prost(message, optional, tag = "1")]
    pub socket_address: Option<SocketAddress>,
}

// Discovery messages.

/// `envoy.service.discovery.v3.DiscoveryRequest`.
#[derive(Clone, PartialEq, Message)]
pub struct DiscoveryRequest {
    #[prost(string, tag = "1")]
    pub version_info: String,
    #[prost(message, optional, tag = "2")]
    pub node: Option<Node>,
    #[prost(string, repeated, tag = "3")]
    pub resource_names: Vec<String>,
    #[prost(string, tag = "4")]
    pub type_url: String,
    #[prost(string, tag = "5")]
    pub response_nonce: String,
    #[prost(message, optional, tag = "6")]
    pub error_detail: Option<Status>,
}

/// `envoy.config.core.v3.ControlPlane`.
#[derive(Clone, PartialEq, Message)]
pub struct ControlPlane {
    #[prost(string, tag = "1")]
    pub identifier: String,
}

/// `envoy.service.discovery.v3.DiscoveryResponse`.
#[derive(Clone, PartialEq, Message)]
pub struct DiscoveryResponse {
    #[prost(string, tag = "1")]
    pub version_info: String,
    #[prost(message, repeated, tag = "2")]
    pub resources: Vec<Any>,
    #[prost(string, tag = "4")]
    pub type_url: String,
    #[prost(string, tag = "5")]
    pub nonce: String,
    #[prost(message, optional, tag = "6")]
    pub control_plane: Option<ControlPlane>,
}

/// `envoy.service.discovery.v3.DeltaDiscoveryRequest`.
#[derive(Clone, PartialEq, Message)]
pub struct DeltaDiscoveryRequest {
    #[prost(message, optional, tag = "1")]
    pub node: Option<Node>,
    #[prost(string, tag = "2")]
    pub type_url: String,
    #[prost(string, repeated, tag = "3")]
    pub resource_names_subscribe: Vec<String>,
    #[prost(string, repeated, tag = "4")]
    pub resource_names_unsubscribe: Vec<String>,
    #[prost(map = "string, string", tag = "5")]
    pub initial_resource_versions: HashMap<String, String>,
    #[prost(string, tag = "6")]
    pub response_nonce: String,
    #[prost(message, optional, tag = "7")]
    pub error_detail: Option<Status>,
}

/// `envoy.service.discovery.v3.DeltaDiscoveryResponse`.
#[derive(Clone, PartialEq, Message)]
pub struct DeltaDiscoveryResponse {
    #[prost(string, tag = "1")]
    pub system_version_info: String,
    #[prost(message, repeated, tag = "2")]
    pub resources: Vec<Resource>,
    #[prost(string, tag = "4")]
    pub type_url: String,
    #[prost(string, tag = "5")]
    pub nonce: String,
    #[prost(string, repeated, tag = "6")]
    pub removed_resources: Vec<String>,
    #[prost(message, optional, tag = "7")]
    pub control_plane: Option<ControlPlane>,
}

/// `envoy.service.discovery.v3.Resource`.
#[derive(Clone, PartialEq, Message)]
pub struct Resource {
    #[prost(string, tag = "1")]
    pub version: String,
    /// Absent in a heartbeat, which only renews the TTL.
    #[prost(message, optional, tag = "2")]
    pub resource: Option<Any>,
    #[prost(string, tag = "3")]
    pub name: String,
    #[prost(message, optional, tag = "6")]
    pub ttl: Option<Duration>,
}

// Endpoints.

/// `envoy.config.endpoint.v3.ClusterLoadAssignment`.
#[derive(Clone, PartialEq, Message)]
pub struct ClusterLoadAssignment {
    #[prost(string, tag = "1")]
    pub cluster_name: String,
    #[prost(message, repeated, tag = "2")]
    pub endpoints: Vec<LocalityLbEndpoints>,
    #[prost(message, optional, tag = "4")]
    pub policy: Option<AssignmentPolicy>,
}

/// `envoy.config.endpoint.v3.ClusterLoadAssignment.Policy`.
#[derive(Clone, PartialEq, Message)]
pub struct AssignmentPolicy {
    #[prost(message, repeated, tag = "2")]
    pub drop_overloads: Vec<DropOverload>,
}

/// `envoy.config.endpoint.v3.ClusterLoadAssignment.Policy.DropOverload`.
#[derive(Clone, PartialEq, Message)]
pub struct DropOverload {
    #[prost(string, tag = "1")]
    pub category: String,
    #[prost(message, optional, tag = "2")]
    pub drop_percentage: Option<FractionalPercent>,
}

/// `envoy.type.v3.FractionalPercent`.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct FractionalPercent {
    #[prost(uint32, tag = "1")]
    pub numerator: u32,
    #[prost(enumeration = "Denominator", tag = "2")]
    pub denominator: i32,
}

/// `envoy.type.v3.FractionalPercent.DenominatorType`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum Denominator {
    Hundred = 0,
    TenThousand = 1,
    Million = 2,
}

/// `envoy.config.endpoint.v3.LocalityLbEndpoints`.
#[derive(Clone, PartialEq, Message)]
pub struct LocalityLbEndpoints {
    #[prost(message, optional, tag = "1")]
    pub locality: Option<Locality>,
    #[prost(message, repeated, tag = "2")]
    pub lb_endpoints: Vec<LbEndpoint>,
    #[prost(message, optional, tag = "3")]
    pub load_balancing_weight: Option<UInt32Value>,
}

/// `envoy.config.endpoint.v3.LbEndpoint`.
#[derive(Clone, PartialEq, Message)]
pub struct LbEndpoint {
    #[prost(message, optional, tag = "1")]
    pub endpoint: Option<Endpoint>,
    #[prost(enumeration = "HealthStatus", tag = "2")]
    pub health_status: i32,
    #[prost(message, optional, tag = "3")]
    pub metadata: Option<Metadata>,
    #[prost(message, optional, tag = "4")]
    pub load_balancing_weight: Option<UInt32Value>,
}

/// `envoy.config.endpoint.v3.Endpoint`.
#[derive(Clone, PartialEq, Message)]
pub struct Endpoint {
    #[prost(message, optional, tag = "1")]
    pub address: Option<Address>,
}

/// `envoy.config.core.v3.HealthStatus`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum HealthStatus {
    Unknown = 0,
    Healthy = 1,
    Unhealthy = 2,
    Draining = 3,
    Timeout = 4,
    Degraded = 5,
}

// Clusters, listeners, routes.

/// `envoy.config.core.v3.ConfigSource`.
#[derive(Clone, PartialEq, Message)]
pub struct ConfigSource {
    #[prost(message, optional, tag = "3")]
    pub ads: Option<AggregatedConfigSource>,
    /// 2 is the xDS API v3.
    #[prost(int32, tag = "6")]
    pub resource_api_version: i32,
}

/// `envoy.config.core.v3.AggregatedConfigSource`.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct AggregatedConfigSource {}

/// `envoy.config.cluster.v3.Cluster`.
#[derive(Clone, PartialEq, Message)]
pub struct Cluster {
    #[prost(string, tag = "1")]
    pub name: String,
    /// 3 is EDS.
    #[prost(int32, tag = "2")]
    pub r#type: i32,
    #[prost(message, optional, tag = "3")]
    pub eds_cluster_config: Option<EdsClusterConfig>,
    #[prost(message, optional, tag = "25")]
    pub metadata: Option<Metadata>,
}

/// `envoy.config.cluster.v3.Cluster.EdsClusterConfig`.
#[derive(Clone, PartialEq, Message)]
pub struct EdsClusterConfig {
    #[prost(message, optional, tag = "1")]
    pub eds_config: Option<ConfigSource>,
    #[prost(string, tag = "2")]
    pub service_name: String,
}

/// `envoy.config.listener.v3.Listener`.
#[derive(Clone, PartialEq, Message)]
pub struct Listener {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(message, optional, tag = "19")]
    pub api_listener: Option<ApiListener>,
}

/// `envoy.config.listener.v3.ApiListener`.
#[derive(Clone, PartialEq, Message)]
pub struct ApiListener {
    #[prost(message, optional, tag = "1")]
    pub api_listener: Option<Any>,
}

/// `envoy.extensions.filters.network.http_connection_manager.v3.HttpConnectionManager`.
#[derive(Clone, PartialEq, Message)]
pub struct HttpConnectionManager {
    #[prost(string, tag = "2")]
    pub stat_prefix: String,
    #[prost(message, optional, tag = "3")]
    pub rds: Option<Rds>,
}

/// `envoy.extensions.filters.network.http_connection_manager.v3.Rds`.
#[derive(Clone, PartialEq, Message)]
pub struct Rds {
    #[prost(message, optional, tag = "1")]
    pub config_source: Option<ConfigSource>,
    #[prost(string, tag = "2")]
    pub route_config_name: String,
}

/// `envoy.config.route.v3.RouteConfiguration`.
#[derive(Clone, PartialEq, Message)]
pub struct RouteConfiguration {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(message, repeated, tag = "2")]
    pub virtual_hosts: Vec<VirtualHost>,
}

/// `envoy.config.route.v3.VirtualHost`.
#[derive(Clone, PartialEq, Message)]
pub struct VirtualHost {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, repeated, tag = "2")]
    pub domains: Vec<String>,
    #[prost(message, repeated, tag = "3")]
    pub routes: Vec<Route>,
}

/// `envoy.config.route.v3.Route`.
#[derive(Clone, PartialEq, Message)]
pub struct Route {
    #[prost(message, optional, tag = "1")]
    pub r#match: Option<RouteMatch>,
    #[prost(message, optional, tag = "2")]
    pub route: Option<RouteAction>,
    #[prost(message, optional, tag = "4")]
    pub metadata: Option<Metadata>,
    #[prost(string, tag = "14")]
    pub name: String,
}

/// `envoy.config.route.v3.RouteMatch`.
#[derive(Clone, PartialEq, Message)]
pub struct RouteMatch {
    #[prost(oneof = "PathSpecifier", tags = "1, 2")]
    pub path_specifier: Option<PathSpecifier>,
}

/// `envoy.config.route.v3.RouteMatch.path_specifier`.
#[derive(Clone, PartialEq, Oneof)]
pub enum PathSpecifier {
    #[prost(string, tag = "1")]
    Prefix(String),
    #[prost(string, tag = "2")]
    Path(String),
}

/// `envoy.config.route.v3.RouteAction`.
#[derive(Clone, PartialEq, Message)]
pub struct RouteAction {
    #[prost(string, tag = "2")]
    pub cluster_header: String,
    #[prost(message, optional, tag = "8")]
    pub timeout: Option<Duration>,
    #[prost(message, optional, tag = "9")]
    pub retry_policy: Option<RetryPolicy>,
}

/// `envoy.config.route.v3.RetryPolicy`.
#[derive(Clone, PartialEq, Message)]
pub struct RetryPolicy {
    #[prost(string, tag = "1")]
    pub retry_on: String,
    #[prost(message, optional, tag = "2")]
    pub num_retries: Option<UInt32Value>,
}

// Load reports.

/// `envoy.service.load_stats.v3.LoadStatsRequest`.
#[derive(Clone, PartialEq, Message)]
pub struct LoadStatsRequest {
    #[prost(message, optional, tag = "1")]
    pub node: Option<Node>,
    #[prost(message, repeated, tag = "2")]
    pub cluster_stats: Vec<ClusterStats>,
}

/// `envoy.service.load_stats.v3.LoadStatsResponse`.
#[derive(Clone, PartialEq, Message)]
pub struct LoadStatsResponse {
    #[prost(string, repeated, tag = "1")]
    pub clusters: Vec<String>,
    #[prost(message, optional, tag = "2")]
    pub load_reporting_interval: Option<Duration>,
    #[prost(bool, tag = "3")]
    pub report_endpoint_granularity: bool,
    #[prost(bool, tag = "4")]
    pub send_all_clusters: bool,
}

/// `envoy.config.endpoint.v3.ClusterStats`.
#[derive(Clone, PartialEq, Message)]
pub struct ClusterStats {
    #[prost(string, tag = "1")]
    pub cluster_name: String,
    #[prost(message, repeated, tag = "2")]
    pub upstream_locality_stats: Vec<UpstreamLocalityStats>,
    #[prost(uint64, tag = "3")]
    pub total_dropped_requests: u64,
    #[prost(message, optional, tag = "4")]
    pub load_report_interval: Option<Duration>,
    #[prost(message, repeated, tag = "5")]
    pub dropped_requests: Vec<DroppedRequests>,
}

/// `envoy.config.endpoint.v3.ClusterStats.DroppedRequests`.
#[derive(Clone, PartialEq, Message)]
pub struct DroppedRequests {
    #[prost(string, tag = "1")]
    pub category: String,
    #[prost(uint64, tag = "2")]
    pub dropped_count: u64,
}

/// `envoy.config.endpoint.v3.UpstreamLocalityStats`.
#[derive(Clone, PartialEq, Message)]
pub struct UpstreamLocalityStats {
    #[prost(message, optional, tag = "1")]
    pub locality: Option<Locality>,
    #[prost(uint64, tag = "2")]
    pub total_successful_requests: u64,
    #[prost(uint64, tag = "3")]
    pub total_requests_in_progress: u64,
    #[prost(uint64, tag = "4")]
    pub total_error_requests: u64,
    #[prost(message, repeated, tag = "7")]
    pub upstream_endpoint_stats: Vec<UpstreamEndpointStats>,
    #[prost(uint64, tag = "8")]
    pub total_issued_requests: u64,
}

/// `envoy.config.endpoint.v3.UpstreamEndpointStats`.
#[derive(Clone, PartialEq, Message)]
pub struct UpstreamEndpointStats {
    #[prost(message, optional, tag = "1")]
    pub address: Option<Address>,
    #[prost(uint64, tag = "2")]
    pub total_successful_requests: u64,
    #[prost(uint64, tag = "3")]
    pub total_requests_in_progress: u64,
    #[prost(uint64, tag = "4")]
    pub total_error_requests: u64,
    #[prost(message, repeated, tag = "5")]
    pub load_metric_stats: Vec<EndpointLoadMetricStats>,
    #[prost(uint64, tag = "7")]
    pub total_issued_requests: u64,
}

/// `envoy.config.endpoint.v3.EndpointLoadMetricStats`.
#[derive(Clone, PartialEq, Message)]
pub struct EndpointLoadMetricStats {
    #[prost(string, tag = "1")]
    pub metric_name: String,
    #[prost(uint64, tag = "2")]
    pub num_requests_finished_with_metric: u64,
    #[prost(double, tag = "3")]
    pub total_metric_value: f64,
}

// ORCA and health.

/// `xds.data.orca.v3.OrcaLoadReport`.
#[derive(Clone, PartialEq, Message)]
pub struct OrcaLoadReport {
    #[prost(double, tag = "1")]
    pub cpu_utilization: f64,
    #[prost(map = "string, double", tag = "8")]
    pub named_metrics: HashMap<String, f64>,
}

/// `grpc.health.v1.HealthCheckRequest`.
#[derive(Clone, PartialEq, Message)]
pub struct HealthCheckRequest {
    #[prost(string, tag = "1")]
    pub service: String,
}

/// `grpc.health.v1.HealthCheckResponse`.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct HealthCheckResponse {
    /// 1 is SERVING, 2 is NOT_SERVING.
    #[prost(int32, tag = "1")]
    pub status: i32,
}

/// Converts a duration to its protobuf form. The durations used here are far below the range of that form.
pub fn to_proto_duration(duration: std::time::Duration) -> Duration {
    Duration { seconds: duration.as_secs() as i64, nanos: duration.subsec_nanos() as i32 }
}

/// Converts a received duration; `None` if it is negative or out of range.
pub fn from_proto_duration(duration: &Duration) -> Option<std::time::Duration> {
    let (seconds, nanos) = (u64::try_from(duration.seconds).ok()?, u32::try_from(duration.nanos).ok()?);
    (nanos < 1_000_000_000).then(|| std::time::Duration::new(seconds, nanos))
}

/// A string as a metadata value.
pub fn string_value(value: &str) -> Value {
    Value { kind: Some(value::Kind::StringValue(value.to_string())) }
}

/// A number as a metadata value.
pub fn number_value(value: f64) -> Value {
    Value { kind: Some(value::Kind::NumberValue(value)) }
}

/// A boolean as a metadata value.
pub fn bool_value(value: bool) -> Value {
    Value { kind: Some(value::Kind::BoolValue(value)) }
}

/// Metadata with the fields of one filter.
pub fn metadata(filter: &str, fields: impl IntoIterator<Item = (&'static str, Value)>) -> Metadata {
    let fields = fields.into_iter().map(|(name, value)| (name.to_string(), value)).collect();
    Metadata { filter_metadata: HashMap::from([(filter.to_string(), Struct { fields })]) }
}

impl Metadata {
    /// A field of a filter's metadata.
    pub fn field(&self, filter: &str, name: &str) -> Option<&value::Kind> {
        self.filter_metadata.get(filter)?.fields.get(name)?.kind.as_ref()
    }

    /// A number in a filter's metadata.
    pub fn number(&self, filter: &str, name: &str) -> Option<f64> {
        match self.field(filter, name)? {
            value::Kind::NumberValue(value) => Some(*value),
            _ => None,
        }
    }

    /// A boolean in a filter's metadata.
    pub fn flag(&self, filter: &str, name: &str) -> Option<bool> {
        match self.field(filter, name)? {
            value::Kind::BoolValue(value) => Some(*value),
            _ => None,
        }
    }
}
