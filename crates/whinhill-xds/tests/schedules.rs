//! Runs both ends of a stream against each other in a random order of steps: changes, requested
//! acknowledgements, late ACKs and NACKs, and streams that break at any point. A failure prints the seed and the
//! length of the shortest failing prefix of the steps.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use whinhill_xds::proto::Node;
use whinhill_xds::{
    Cache, ClientStream, Entry, Kind, Reply, Request, RequestOutcome, Response, ServerStream, Update, Variant,
};

type HeldVersions = BTreeMap<(Kind, String), String>;

struct Simulation {
    variant: Variant,
    rng: ChaCha8Rng,
    cache: Cache,
    last_version: u64,
    server: Option<ServerStream>,
    client: ClientStream,
    requests: VecDeque<Request>,
    responses: VecDeque<Response>,
    held: HeldVersions,
    /// The versions in the cache when each acknowledgement was requested, by sequence number.
    versions_at_request: BTreeMap<u16, BTreeMap<String, u64>>,
    last_ack_seq: u16,
    rejected: BTreeSet<(Kind, String, String)>,
    heartbeats: u64,
    rejections: u64,
    acked: u64,
    /// Whether the client was made to forget a resource that it had acknowledged.
    forgot_resource: bool,
    differences_found: u64,
}

fn entry(version: u64) -> Entry {
    Entry { version: version.to_string().into(), body: vec![version as u8; 3].into(), ttl: None }
}

impl Simulation {
    fn new(variant: Variant, seed: u64) -> Self {
        let node = Node { id: "p1".into(), ..Default::default() };
        let mut client = ClientStream::new(variant, node);
        client.send_holdings_hash();
        client.subscribe(Kind::Cluster, true, BTreeSet::new());
        client.subscribe(Kind::Route, false, ["gate".to_string()].into());
        let mut sim = Simulation {
            variant,
            rng: ChaCha8Rng::seed_from_u64(seed),
            cache: Cache::default(),
            last_version: 0,
            server: None,
            client,
            requests: VecDeque::new(),
            responses: VecDeque::new(),
            held: HeldVersions::new(),
            versions_at_request: BTreeMap::new(),
            last_ack_seq: 0,
            rejected: BTreeSet::new(),
            heartbeats: 0,
            rejections: 0,
            acked: 0,
            forgot_resource: false,
            differences_found: 0,
        };
        sim.cache.set(Kind::Route, "gate", entry(1));
        (0..6).for_each(|name| sim.change(name));
        sim
    }

    fn notify_server(&mut self, kind: Kind, name: &str) {
        if let Some(server) = &mut self.server {
            server.resource_changed(kind, &name.into());
        }
    }

    fn change(&mut self, name: usize) {
        let name = name.to_string();
        self.last_version += 1;
        if self.cache.get(Kind::Cluster, &name).is_none() {
            self.cache.set(Kind::Cluster, &name, entry(self.last_version));
            self.notify_server(Kind::Cluster, &name);
        }
        self.cache.set(Kind::Endpoints, &name, entry(self.last_version));
        self.notify_server(Kind::Endpoints, &name);
    }

    fn remove(&mut self, name: usize) {
        let name = name.to_string();
        for kind in [Kind::Cluster, Kind::Endpoints] {
            self.cache.remove(kind, &name);
            self.notify_server(kind, &name);
        }
    }

    fn reconnect(&mut self) {
        let features = [whinhill_xds::client::FEATURE_WRAPPED.to_string()];
        self.server = Some(ServerStream::new(self.variant, &features));
        (self.requests, self.responses) = (self.client.open().into(), VecDeque::new());
        self.versions_at_request.clear();
        self.rejected.clear();
    }

    fn step(&mut self) {
        match self.rng.random_range(0..100) {
            0..20 => {
                let name = self.rng.random_range(0..9);
                self.change(name);
            }
            20..25 => {
                let name = self.rng.random_range(0..9);
                self.remove(name);
            }
            25..35 => self.request_ack(),
            35..55 => self.send_replies(),
            55..75 => self.deliver_request(),
            75..95 => self.deliver_response(true),
            95..98 => self.send_heartbeat(),
            _ => self.reconnect(),
        }
    }

    fn request_ack(&mut self) {
        let Some(server) = &mut self.server else { return };
        self.last_ack_seq += 1;
        server.request_ack(self.last_ack_seq);
        let version = |name: &str| self.cache.get(Kind::Endpoints, name).unwrap().version.parse().unwrap();
        let state = self.cache.names(Kind::Endpoints).map(|name| (name.to_string(), version(name)));
        self.versions_at_request.insert(self.last_ack_seq, state.collect());
        self.check_acks();
    }

    fn send_replies(&mut self) {
        let Some(server) = &mut self.server else { return };
        let decoded = |reply: Reply| Response::decode(self.variant, &reply.encode()).unwrap();
        self.responses.extend(server.next_reply(&self.cache).map(decoded));
        self.check_acks();
    }

    fn send_heartbeat(&mut self) {
        let Some(server) = &mut self.server else { return };
        let heartbeat = server.heartbeat(Kind::Route, "gate", &self.cache);
        self.heartbeats += u64::from(heartbeat.is_some());
        let decoded = |reply: Reply| Response::decode(self.variant, &reply.encode()).unwrap();
        self.responses.extend(heartbeat.map(decoded));
    }

    fn deliver_request(&mut self) {
        let (Some(server), Some(request)) = (&mut self.server, self.requests.pop_front()) else { return };
        match server.handle_request(&request, &self.cache).unwrap() {
            RequestOutcome::Nacked { .. } => self.rejections += 1,
            RequestOutcome::HashMismatch { client_hash, server_hash, .. } => {
                assert!(
                    self.forgot_resource,
                    "the client holds {client_hash:x}, {server_hash:x} was acknowledged"
                );
                self.differences_found += 1;
            }
            // In the state of the world a request that only changes the names repeats an older nonce.
            RequestOutcome::Stale { nonce, .. } if self.variant == Variant::Incremental => {
                panic!("nonce {nonce} is stale")
            }
            _ => {}
        }
        self.check_acks();
    }

    /// Once a requested acknowledgement is complete, the client holds nothing older than what the cache held at
    /// the request.
    fn check_acks(&mut self) {
        let Some(server) = &mut self.server else { return };
        for ack_seq in server.take_acked(&self.cache) {
            self.acked += 1;
            for (name, version) in &self.versions_at_request[&ack_seq] {
                let held = self.held.get(&(Kind::Endpoints, name.clone()));
                let is_current = held.is_none_or(|held| held.parse::<u64>().unwrap() >= *version);
                assert!(
                    is_current,
                    "{ack_seq} acknowledged, but {name} is held at {held:?} instead of {version}"
                );
            }
        }
    }

    fn deliver_response(&mut self, may_reject: bool) {
        let Some(response) = self.responses.pop_front() else { return };
        let bytes = response.encode();
        let response = Response::decode(self.variant, &bytes).unwrap();
        let update = self.client.decode_reply(&response).unwrap();
        assert_eq!(update.error, None);
        // The same version is rejected at most once: a second time would end the stream, which another test
        // checks.
        let versions = |u: &Update| -> Vec<(Kind, String, String)> {
            let resources = u.resources.iter().map(|r| (u.kind, r.name.clone(), r.version.clone()));
            resources.chain(u.removed.iter().map(|name| (u.kind, name.clone(), String::new()))).collect()
        };
        let heartbeat = update.removed.is_empty() && update.resources.iter().all(|r| r.body.is_none());
        let none_rejected_before = versions(&update).iter().all(|one| !self.rejected.contains(one));
        if may_reject && none_rejected_before && !heartbeat && self.rng.random_bool(0.1) {
            self.rejected.extend(versions(&update));
            let nack = self.client.reject(&update, "drawn by the schedule");
            self.requests.push_back(nack);
            return;
        }
        for resource in update.resources.iter().filter(|r| r.body.is_some()) {
            self.held.insert((update.kind, resource.name.clone()), resource.version.clone());
        }
        for name in &update.removed {
            self.held.remove(&(update.kind, name.clone()));
        }
        let ack = self.client.accept(&update);
        self.requests.push_back(ack);
        if update.kind == Kind::Cluster {
            let clusters: BTreeSet<String> = self
                .held
                .keys()
                .filter(|(kind, _)| *kind == Kind::Cluster)
                .map(|(_, name)| name.clone())
                .collect();
            // The endpoints of a removed cluster are dropped with it.
            self.held.retain(|(kind, name), _| *kind != Kind::Endpoints || clusters.contains(name));
            let subscribe = self.client.subscribe(Kind::Endpoints, false, clusters);
            self.requests.extend(subscribe);
        }
    }

    fn settle(&mut self) {
        if self.server.is_none() {
            self.reconnect();
        }
        for _ in 0..200 {
            self.send_replies();
            self.deliver_request();
            self.deliver_response(false);
        }
        let mut expected = HeldVersions::new();
        for kind in Kind::ALL {
            for name in self.cache.names(kind) {
                expected.insert(
                    (kind, name.to_string()),
                    self.cache.get(kind, name).unwrap().version.to_string(),
                );
            }
        }
        assert_eq!(self.held, expected);
        assert_eq!(self.server.as_ref().unwrap().unacked_replies(), 0);
        assert_eq!(self.server.as_ref().unwrap().pending_ack_count(), 0);
    }
}

fn run(variant: Variant, seed: u64, steps: usize) -> Simulation {
    let mut sim = Simulation::new(variant, seed);
    (0..steps).for_each(|_| sim.step());
    sim.settle();
    sim
}

fn run_schedules(variant: Variant) {
    let (mut rejections, mut heartbeats, mut acked) = (0, 0, 0);
    for seed in 0..1500 {
        let outcome = std::panic::catch_unwind(|| run(variant, seed, 150));
        match outcome {
            Ok(sim) => {
                rejections += sim.rejections;
                heartbeats += sim.heartbeats;
                acked += sim.acked;
            }
            Err(_) => {
                let fails = |steps: &usize| std::panic::catch_unwind(|| run(variant, seed, *steps)).is_err();
                panic!("{variant:?}: seed {seed} fails after {:?} steps", (0..=150).find(fails));
            }
        }
    }
    assert!(
        rejections > 50 && heartbeats > 50 && acked > 500,
        "too few events: {rejections} {heartbeats} {acked}"
    );
}

#[test]
fn incremental_client_ends_with_the_resources_of_the_cache() {
    run_schedules(Variant::Incremental);
}

#[test]
fn state_of_the_world_client_ends_with_the_resources_of_the_cache() {
    run_schedules(Variant::StateOfTheWorld);
}

#[test]
fn version_rejected_twice_ends_the_stream() {
    let mut sim = Simulation::new(Variant::Incremental, 1);
    sim.reconnect();
    sim.deliver_request();
    sim.send_replies();
    for round in 0..2 {
        let response = sim.responses.pop_front().unwrap();
        let update = sim.client.decode_reply(&response).unwrap();
        let nack = sim.client.reject(&update, "no");
        let outcome = sim.server.as_mut().unwrap().handle_request(&nack, &sim.cache);
        assert_eq!(outcome.is_err(), round == 1, "{outcome:?}");
        sim.send_replies();
    }
}

#[test]
fn late_ack_of_an_earlier_reply_is_accepted_and_later_replies_stay_unacked() {
    let mut sim = Simulation::new(Variant::StateOfTheWorld, 1);
    sim.reconnect();
    (0..2).for_each(|_| sim.deliver_request());
    sim.send_replies();
    let first_response = sim.responses.pop_front().unwrap();
    sim.change(7);
    sim.send_replies();
    let update = sim.client.decode_reply(&first_response).unwrap();
    let late_ack = sim.client.accept(&update);
    let server = sim.server.as_mut().unwrap();
    assert!(matches!(
        server.handle_request(&late_ack, &sim.cache),
        Ok(RequestOutcome::Acked { kind: Kind::Cluster, .. })
    ));
    assert!(server.unacked_replies() > 0);
    assert!(matches!(server.handle_request(&late_ack, &sim.cache), Ok(RequestOutcome::Stale { .. })));
}

#[test]
fn reconnect_with_initial_versions_gets_only_changed_resources() {
    let mut sim = Simulation::new(Variant::Incremental, 3);
    sim.settle();
    sim.change(2);
    sim.remove(4);
    sim.reconnect();
    let (mut sent, mut removed) = (Vec::new(), Vec::new());
    for _ in 0..50 {
        sim.send_replies();
        if let Some(Response::Incremental(reply)) = sim.responses.front() {
            sent.extend(reply.resources.iter().map(|r| r.name.clone()));
            removed.extend(reply.removed_resources.clone());
        }
        sim.deliver_request();
        sim.deliver_response(false);
    }
    assert_eq!(sent, ["2"]);
    assert!(removed.iter().all(|name| name == "4") && removed.len() == 2, "{removed:?}");
}

/// A client that loses a table after acknowledging it is detected by the hash that it sends, and is sent the
/// table again.
#[test]
fn client_whose_hash_differs_is_sent_everything_again() {
    for variant in [Variant::Incremental, Variant::StateOfTheWorld] {
        for seed in 0..40 {
            let mut sim = Simulation::new(variant, seed);
            (0..100).for_each(|_| sim.step());
            sim.settle();
            let name = sim.client.versions(Kind::Endpoints).keys().next().cloned().unwrap();
            sim.forgot_resource = true;
            sim.client.forget(Kind::Endpoints, &name);
            sim.held.remove(&(Kind::Endpoints, name.clone()));
            // Only other resources change, so the protocol alone would never send this one again.
            for _ in 0..40 {
                let other = (0..9).find(|other| other.to_string() != name).unwrap();
                sim.change(other);
                for _ in 0..6 {
                    sim.send_replies();
                    sim.deliver_request();
                    sim.deliver_response(false);
                }
            }
            assert!(sim.differences_found > 0, "{variant:?}: seed {seed}");
            sim.settle();
        }
    }
}
