//! Checks our messages against `envoy-types`: each library decodes what the other encodes. ORCA's report and the
//! messages of gRPC health are not checked here; their fields have the numbers of the specifications.

use std::collections::HashMap;

use envoy_types::pb::envoy::config::{cluster, core, endpoint, listener, route};
use envoy_types::pb::envoy::service::{discovery, load_stats};
use prost::Message;
use whinhill_xds::proto::{self, string_value};

/// Encodes with our type, decodes with theirs, encodes with theirs and decodes with ours.
fn round_trip<Ours: Message + Default + PartialEq + std::fmt::Debug, Theirs: Message + Default>(
    ours: Ours,
) -> Theirs {
    let theirs = Theirs::decode(ours.encode_to_vec().as_slice()).unwrap();
    let back = Ours::decode(theirs.encode_to_vec().as_slice()).unwrap();
    assert_eq!(ours, back);
    theirs
}

fn node() -> proto::Node {
    proto::Node {
        id: "p".into(),
        cluster: "c".into(),
        metadata: Some(proto::Struct { fields: [("k".to_string(), string_value("v"))].into() }),
        locality: Some(proto::Locality { region: "r".into(), zone: "z".into(), sub_zone: "s".into() }),
        user_agent_name: "whinhill".into(),
        client_features: vec!["f".into()],
    }
}

fn any() -> proto::Any {
    proto::Any { type_url: "t".into(), value: vec![1, 2] }
}

fn status() -> proto::Status {
    proto::Status { code: 3, message: "bad".into() }
}

fn address() -> proto::Address {
    let socket_address = Some(proto::SocketAddress { address: "127.0.0.1".into(), port_value: 7 });
    proto::Address { socket_address }
}

fn locality() -> Option<proto::Locality> {
    node().locality
}

fn whinhill_metadata() -> Option<proto::Metadata> {
    Some(proto::metadata(
        "whinhill",
        [("tries", proto::number_value(2.0)), ("writes", proto::bool_value(true))],
    ))
}

#[test]
fn discovery_messages_match_envoy_types() {
    let theirs: discovery::v3::DiscoveryRequest = round_trip(proto::DiscoveryRequest {
        version_info: "1".into(),
        node: Some(node()),
        resource_names: vec!["a".into()],
        type_url: "t".into(),
        response_nonce: "n".into(),
        error_detail: Some(status()),
    });
    assert_eq!(theirs.response_nonce, "n");
    assert_eq!(theirs.error_detail.unwrap().message, "bad");
    assert_eq!(theirs.node.unwrap().locality.unwrap().sub_zone, "s");
    let theirs: discovery::v3::DiscoveryResponse = round_trip(proto::DiscoveryResponse {
        version_info: "1".into(),
        resources: vec![any()],
        type_url: "t".into(),
        nonce: "n".into(),
        control_plane: Some(proto::ControlPlane { identifier: "w".into() }),
    });
    assert_eq!(theirs.control_plane.unwrap().identifier, "w");
    let theirs: discovery::v3::DeltaDiscoveryRequest = round_trip(proto::DeltaDiscoveryRequest {
        node: Some(node()),
        type_url: "t".into(),
        resource_names_subscribe: vec!["a".into()],
        resource_names_unsubscribe: vec!["b".into()],
        initial_resource_versions: HashMap::from([("a".to_string(), "7.1".to_string())]),
        response_nonce: "n".into(),
        error_detail: Some(status()),
    });
    assert_eq!(theirs.resource_names_unsubscribe, ["b"]);
    assert_eq!(theirs.initial_resource_versions["a"], "7.1");
    let resource = proto::Resource {
        version: "7.1".into(),
        resource: Some(any()),
        name: "a".into(),
        ttl: Some(proto::Duration { seconds: 4, nanos: 5 }),
    };
    let theirs: discovery::v3::DeltaDiscoveryResponse = round_trip(proto::DeltaDiscoveryResponse {
        system_version_info: "9".into(),
        resources: vec![resource],
        type_url: "t".into(),
        nonce: "n".into(),
        removed_resources: vec!["c".into()],
        control_plane: Some(proto::ControlPlane { identifier: "w".into() }),
    });
    assert_eq!(theirs.resources[0].ttl.as_ref().unwrap().seconds, 4);
    assert_eq!((theirs.resources[0].version.as_str(), theirs.resources[0].name.as_str()), ("7.1", "a"));
    assert_eq!(theirs.removed_resources, ["c"]);
}

#[test]
fn resources_match_envoy_types() {
    let drop_overload = proto::DropOverload {
        category: "level".into(),
        drop_percentage: Some(proto::FractionalPercent { numerator: 5, denominator: 2 }),
    };
    let lb_endpoint = proto::LbEndpoint {
        endpoint: Some(proto::Endpoint { address: Some(address()) }),
        health_status: proto::HealthStatus::Draining as i32,
        metadata: whinhill_metadata(),
        load_balancing_weight: Some(proto::UInt32Value { value: 3 }),
    };
    let theirs: endpoint::v3::ClusterLoadAssignment = round_trip(proto::ClusterLoadAssignment {
        cluster_name: "svc/1/look".into(),
        endpoints: vec![proto::LocalityLbEndpoints {
            locality: locality(),
            lb_endpoints: vec![lb_endpoint],
            load_balancing_weight: Some(proto::UInt32Value { value: 2 }),
        }],
        policy: Some(proto::AssignmentPolicy { drop_overloads: vec![drop_overload] }),
    });
    assert_eq!(theirs.policy.unwrap().drop_overloads[0].drop_percentage.as_ref().unwrap().numerator, 5);
    assert_eq!(theirs.endpoints[0].lb_endpoints[0].health_status, core::v3::HealthStatus::Draining as i32);
    let ads = proto::ConfigSource { ads: Some(proto::AggregatedConfigSource {}), resource_api_version: 2 };
    let theirs: cluster::v3::Cluster = round_trip(proto::Cluster {
        name: "n".into(),
        r#type: 3,
        eds_cluster_config: Some(proto::EdsClusterConfig {
            eds_config: Some(ads.clone()),
            service_name: "s".into(),
        }),
        metadata: whinhill_metadata(),
    });
    assert_eq!(theirs.eds_cluster_config.unwrap().service_name, "s");
    assert_eq!(theirs.cluster_discovery_type, Some(cluster::v3::cluster::ClusterDiscoveryType::Type(3)));
    let theirs: listener::v3::Listener = round_trip(proto::Listener {
        name: "l".into(),
        api_listener: Some(proto::ApiListener { api_listener: Some(any()) }),
    });
    assert_eq!(theirs.api_listener.unwrap().api_listener.unwrap().value, [1, 2]);
    type Manager = envoy_types::pb::envoy::extensions::filters::network::http_connection_manager::v3::HttpConnectionManager;
    let rds = proto::Rds { config_source: Some(ads), route_config_name: "r".into() };
    let theirs: Manager =
        round_trip(proto::HttpConnectionManager { stat_prefix: "p".into(), rds: Some(rds) });
    assert_eq!(theirs.stat_prefix, "p");
    assert!(theirs.route_specifier.is_some());
    let action = proto::RouteAction {
        cluster_header: "h".into(),
        timeout: Some(proto::Duration { seconds: 1, nanos: 0 }),
        retry_policy: Some(proto::RetryPolicy {
            retry_on: "refused-stream".into(),
            num_retries: Some(proto::UInt32Value { value: 1 }),
        }),
    };
    let look_route = proto::Route {
        r#match: Some(proto::RouteMatch { path_specifier: Some(proto::PathSpecifier::Path("/a/b".into())) }),
        route: Some(action),
        metadata: whinhill_metadata(),
        name: "look".into(),
    };
    let host = proto::VirtualHost { name: "v".into(), domains: vec!["*".into()], routes: vec![look_route] };
    let theirs: route::v3::RouteConfiguration =
        round_trip(proto::RouteConfiguration { name: "r".into(), virtual_hosts: vec![host] });
    let route = &theirs.virtual_hosts[0].routes[0];
    assert_eq!(route.name, "look");
    let Some(route::v3::route::Action::Route(action)) = &route.action else { panic!("no route action") };
    assert_eq!(action.retry_policy.as_ref().unwrap().retry_on, "refused-stream");
    assert!(
        matches!(&action.cluster_specifier, Some(route::v3::route_action::ClusterSpecifier::ClusterHeader(h)) if h == "h")
    );
}

#[test]
fn load_reports_match_envoy_types() {
    let metric = proto::EndpointLoadMetricStats {
        metric_name: "wait_ms".into(),
        num_requests_finished_with_metric: 3,
        total_metric_value: 4.5,
    };
    let endpoint_stats = proto::UpstreamEndpointStats {
        address: Some(address()),
        total_successful_requests: 1,
        total_requests_in_progress: 2,
        total_error_requests: 3,
        load_metric_stats: vec![metric],
        total_issued_requests: 4,
    };
    let stats = proto::ClusterStats {
        cluster_name: "svc/1/look".into(),
        upstream_locality_stats: vec![proto::UpstreamLocalityStats {
            locality: locality(),
            total_successful_requests: 1,
            total_requests_in_progress: 2,
            total_error_requests: 3,
            upstream_endpoint_stats: vec![endpoint_stats],
            total_issued_requests: 4,
        }],
        total_dropped_requests: 5,
        load_report_interval: Some(proto::Duration { seconds: 1, nanos: 0 }),
        dropped_requests: vec![proto::DroppedRequests { category: "level".into(), dropped_count: 5 }],
    };
    let theirs: load_stats::v3::LoadStatsRequest =
        round_trip(proto::LoadStatsRequest { node: Some(node()), cluster_stats: vec![stats] });
    let server = &theirs.cluster_stats[0].upstream_locality_stats[0].upstream_endpoint_stats[0];
    assert_eq!((server.total_issued_requests, server.total_error_requests), (4, 3));
    assert_eq!(server.load_metric_stats[0].total_metric_value, 4.5);
    assert_eq!(theirs.cluster_stats[0].dropped_requests[0].dropped_count, 5);
    let theirs: load_stats::v3::LoadStatsResponse = round_trip(proto::LoadStatsResponse {
        clusters: vec!["a".into()],
        load_reporting_interval: Some(proto::Duration { seconds: 1, nanos: 0 }),
        report_endpoint_granularity: true,
        send_all_clusters: true,
    });
    assert!(theirs.report_endpoint_granularity && theirs.send_all_clusters);
}
