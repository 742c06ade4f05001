//! Malformed messages from a peer: at worst they are rejected.

use prost::Message;
use rand::{Rng, RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use std::time::Duration;
use whinhill_xds::mapping::{read_assignment, Effect, Method, Service};
use whinhill_xds::proto::{self, DeltaDiscoveryRequest, DiscoveryRequest, Node};
use whinhill_xds::{Cache, ClientStream, Entry, Kind, Request, Response, ServerStream, Variant};

fn service() -> Service {
    let method = |name: &str, writes| Method {
        name: name.into(),
        path: format!("/t/{name}"),
        writes,
        effect: Effect::Idempotent,
        soft_deadline: Duration::from_secs(1),
        deadline: Duration::from_secs(2),
    };
    Service {
        name: "t".into(),
        slices: 4,
        methods: vec![method("look", false), method("book", true)],
        write_lease: Duration::from_secs(2),
        max_owner_wait: Duration::from_millis(200),
        try_factor: 1.0,
    }
}

fn cache(service: &Service) -> Cache {
    let mut cache = Cache::default();
    for (kind, name, entry) in service.static_resources() {
        cache.set(kind, name, entry);
    }
    for slice in 0..4 {
        let name = service.cluster_name(slice, 0);
        cache.set(Kind::Cluster, name.clone(), service.cluster(slice, 0));
        cache.set(Kind::Endpoints, name, Entry { version: "1.1".into(), body: vec![].into(), ttl: None });
    }
    cache
}

/// Changes, truncates or repeats some bytes of a valid message.
fn corrupt(rng: &mut ChaCha8Rng, mut bytes: Vec<u8>) -> Vec<u8> {
    for _ in 0..rng.random_range(0..6) {
        if bytes.is_empty() {
            break;
        }
        let index = rng.random_range(0..bytes.len());
        match rng.random_range(0..3) {
            0 => bytes[index] = rng.random(),
            1 => bytes.truncate(index),
            _ => bytes.extend_from_within(index..),
        }
    }
    bytes.truncate(1 << 16);
    bytes
}

fn random_name(rng: &mut ChaCha8Rng) -> String {
    ["*", "", "t/0.4/look", "t/9.4/look", "t/reads", "7", "999", "\u{0}"][rng.random_range(0..8)].to_string()
}

fn random_names(rng: &mut ChaCha8Rng) -> Vec<String> {
    (0..rng.random_range(0..4)).map(|_| random_name(rng)).collect()
}

#[test]
fn server_accepts_or_rejects_any_client_message() {
    let service = service();
    let cache = cache(&service);
    let (mut accepted, mut rejected) = (0, 0);
    for seed in 0..3000 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let variant = [Variant::Incremental, Variant::StateOfTheWorld][rng.random_range(0..2)];
        let mut stream = ServerStream::new(variant, &[]);
        for _ in 0..20 {
            let type_url = match rng.random_range(0..8) {
                0 => random_name(&mut rng),
                k => Kind::ALL[k % 4].type_url().to_string(),
            };
            let error_detail =
                rng.random_bool(0.2).then(|| proto::Status { code: 3, message: random_name(&mut rng) });
            let nonce = if rng.random_bool(0.5) {
                rng.random_range(0..12u32).to_string()
            } else {
                random_name(&mut rng)
            };
            let bytes = match variant {
                Variant::Incremental => DeltaDiscoveryRequest {
                    type_url,
                    resource_names_subscribe: random_names(&mut rng),
                    resource_names_unsubscribe: random_names(&mut rng),
                    initial_resource_versions: random_names(&mut rng)
                        .into_iter()
                        .map(|name| (name, "1.1".into()))
                        .collect(),
                    response_nonce: nonce,
                    error_detail,
                    node: None,
                }
                .encode_to_vec(),
                Variant::StateOfTheWorld => DiscoveryRequest {
                    type_url,
                    resource_names: random_names(&mut rng),
                    response_nonce: nonce,
                    error_detail,
                    ..Default::default()
                }
                .encode_to_vec(),
            };
            let Ok(request) = Request::decode(variant, &corrupt(&mut rng, bytes)) else { continue };
            match stream.handle_request(&request, &cache) {
                Ok(_) => accepted += 1,
                Err(_) => {
                    rejected += 1;
                    break;
                }
            }
            if rng.random_bool(0.3) {
                stream.request_ack(rng.random());
            }
            // The replies come to an end, whatever was requested.
            assert!((0..40).any(|_| stream.next_reply(&cache).is_none()), "seed {seed}");
            stream.take_acked(&cache);
            stream.heartbeat(Kind::Route, "t/writes", &cache);
        }
    }
    assert!(accepted > 3000 && rejected > 1000, "{accepted} {rejected}");
}

#[test]
fn client_accepts_or_rejects_any_server_message() {
    let service = service();
    let cache = cache(&service);
    for seed in 0..3000 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let variant = [Variant::Incremental, Variant::StateOfTheWorld][rng.random_range(0..2)];
        let mut server = ServerStream::new(variant, &[whinhill_xds::client::FEATURE_WRAPPED.to_string()]);
        let mut client = ClientStream::new(variant, Node::default());
        client.subscribe(Kind::Cluster, true, BTreeSet::new());
        client.subscribe(Kind::Endpoints, true, BTreeSet::new());
        client.subscribe(Kind::Route, true, BTreeSet::new());
        for request in client.open() {
            server.handle_request(&request, &cache).unwrap();
        }
        while let Some(response) = server.next_reply(&cache) {
            let Ok(response) = Response::decode(variant, &corrupt(&mut rng, response.encode())) else {
                continue;
            };
            let Ok(update) = client.decode_reply(&response) else { continue };
            for resource in update.resources.iter() {
                let body = resource.body.as_deref().unwrap_or_default();
                let _ = read_assignment(&service, &resource.name, &resource.version, body);
            }
            client.accept(&update);
        }
        let mut random_bytes = vec![0; rng.random_range(0..200)];
        rng.fill_bytes(&mut random_bytes);
        assert!(read_assignment(&service, "t/0.4/look", "x", &random_bytes).is_err());
    }
}
