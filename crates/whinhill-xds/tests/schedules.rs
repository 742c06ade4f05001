//! Both ends of a stream against each other, in an order drawn from a seed: changes, marks, answers late and
//! rejected, streams that break anywhere. A failure prints the seed and the shortest prefix of steps that fails.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use whinhill_xds::proto::Node;
use whinhill_xds::{
    Cache, ClientStream, Entry, Heard, Kind, Reply, Request, Response, ServerStream, Update, Variant,
};

type Held = BTreeMap<(Kind, String), String>;

struct World {
    variant: Variant,
    rng: ChaCha8Rng,
    cache: Cache,
    numbers: u64,
    server: Option<ServerStream>,
    client: ClientStream,
    up: VecDeque<Request>,
    down: VecDeque<Response>,
    held: Held,
    /// What the cache held when a mark was set.
    marks: BTreeMap<u16, BTreeMap<String, u64>>,
    marked: u16,
    rejected: BTreeSet<(Kind, String, String)>,
    beats: u64,
    rejections: u64,
    acked: u64,
    /// The client has forgotten something that it acknowledged; how often that was found.
    lost_some: bool,
    differing: u64,
}

fn entry(number: u64) -> Entry {
    Entry { version: number.to_string().into(), body: vec![number as u8; 3].into(), ttl: None }
}

impl World {
    fn new(variant: Variant, seed: u64) -> Self {
        let node = Node { id: "p1".into(), ..Default::default() };
        let mut client = ClientStream::new(variant, node);
        client.tell_holdings();
        client.subscribe(Kind::Cluster, true, BTreeSet::new());
        client.subscribe(Kind::Route, false, ["gate".to_string()].into());
        let mut world = World {
            variant,
            rng: ChaCha8Rng::seed_from_u64(seed),
            cache: Cache::default(),
            numbers: 0,
            server: None,
            client,
            up: VecDeque::new(),
            down: VecDeque::new(),
            held: Held::new(),
            marks: BTreeMap::new(),
            marked: 0,
            rejected: BTreeSet::new(),
            beats: 0,
            rejections: 0,
            acked: 0,
            lost_some: false,
            differing: 0,
        };
        world.cache.set(Kind::Route, "gate", entry(1));
        (0..6).for_each(|name| world.change(name));
        world
    }

    fn told(&mut self, kind: Kind, name: &str) {
        if let Some(server) = &mut self.server {
            server.changed(kind, &name.into());
        }
    }

    fn change(&mut self, name: usize) {
        let name = name.to_string();
        self.numbers += 1;
        if self.cache.get(Kind::Cluster, &name).is_none() {
            self.cache.set(Kind::Cluster, &name, entry(self.numbers));
            self.told(Kind::Cluster, &name);
        }
        self.cache.set(Kind::Endpoints, &name, entry(self.numbers));
        self.told(Kind::Endpoints, &name);
    }

    fn remove(&mut self, name: usize) {
        let name = name.to_string();
        for kind in [Kind::Cluster, Kind::Endpoints] {
            self.cache.remove(kind, &name);
            self.told(kind, &name);
        }
    }

    fn reconnect(&mut self) {
        let features = [whinhill_xds::client::FEATURE_WRAPPED.to_string()];
        self.server = Some(ServerStream::new(self.variant, &features));
        (self.up, self.down) = (self.client.open().into(), VecDeque::new());
        self.marks.clear();
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
            25..35 => self.mark(),
            35..55 => self.write(),
            55..75 => self.deliver_up(),
            75..95 => self.deliver_down(true),
            95..98 => self.beat(),
            _ => self.reconnect(),
        }
    }

    fn mark(&mut self) {
        let Some(server) = &mut self.server else { return };
        self.marked += 1;
        server.mark(self.marked);
        let number = |name: &str| self.cache.get(Kind::Endpoints, name).unwrap().version.parse().unwrap();
        let state = self.cache.names(Kind::Endpoints).map(|name| (name.to_string(), number(name)));
        self.marks.insert(self.marked, state.collect());
        self.check_marks();
    }

    fn write(&mut self) {
        let Some(server) = &mut self.server else { return };
        let decoded = |reply: Reply| Response::decode(self.variant, &reply.encode()).unwrap();
        self.down.extend(server.next(&self.cache).map(decoded));
        self.check_marks();
    }

    fn beat(&mut self) {
        let Some(server) = &mut self.server else { return };
        let beat = server.heartbeat(Kind::Route, "gate", &self.cache);
        self.beats += u64::from(beat.is_some());
        let decoded = |reply: Reply| Response::decode(self.variant, &reply.encode()).unwrap();
        self.down.extend(beat.map(decoded));
    }

    fn deliver_up(&mut self) {
        let (Some(server), Some(request)) = (&mut self.server, self.up.pop_front()) else { return };
        match server.hear(&request, &self.cache).unwrap() {
            Heard::Nacked { .. } => self.rejections += 1,
            Heard::Differs { theirs, ours, .. } => {
                assert!(self.lost_some, "the client holds {theirs:x}, {ours:x} was acknowledged");
                self.differing += 1;
            }
            // In the state of the world a request that only asks for other names repeats an older nonce.
            Heard::Stale { nonce, .. } if self.variant == Variant::Incremental => {
                panic!("nonce {nonce} is stale")
            }
            _ => {}
        }
        self.check_marks();
    }

    /// Once a mark is answered, the client holds nothing older than what there was when it was set.
    fn check_marks(&mut self) {
        let Some(server) = &mut self.server else { return };
        for mark in server.take_acked(&self.cache) {
            self.acked += 1;
            for (name, number) in &self.marks[&mark] {
                let held = self.held.get(&(Kind::Endpoints, name.clone()));
                let newer = held.is_none_or(|held| held.parse::<u64>().unwrap() >= *number);
                assert!(newer, "mark {mark} answered, {name} held at {held:?}, {number} was set");
            }
        }
    }

    fn deliver_down(&mut self, may_reject: bool) {
        let Some(response) = self.down.pop_front() else { return };
        let bytes = response.encode();
        let response = Response::decode(self.variant, &bytes).unwrap();
        let update = self.client.hear(&response).unwrap();
        assert_eq!(update.fault, None);
        // The same version is rejected once at most: twice ends the stream, which another test shows.
        let told = |u: &Update| -> Vec<(Kind, String, String)> {
            let resources = u.resources.iter().map(|r| (u.kind, r.name.clone(), r.version.clone()));
            resources.chain(u.removed.iter().map(|name| (u.kind, name.clone(), String::new()))).collect()
        };
        let beat = update.removed.is_empty() && update.resources.iter().all(|r| r.body.is_none());
        let all_new = told(&update).iter().all(|one| !self.rejected.contains(one));
        if may_reject && all_new && !beat && self.rng.random_bool(0.1) {
            self.rejected.extend(told(&update));
            let nack = self.client.reject(&update, "drawn by the schedule");
            self.up.push_back(nack);
            return;
        }
        for resource in update.resources.iter().filter(|r| r.body.is_some()) {
            self.held.insert((update.kind, resource.name.clone()), resource.version.clone());
        }
        for name in &update.removed {
            self.held.remove(&(update.kind, name.clone()));
        }
        let ack = self.client.accept(&update);
        self.up.push_back(ack);
        if update.kind == Kind::Cluster {
            let clusters: BTreeSet<String> = self
                .held
                .keys()
                .filter(|(kind, _)| *kind == Kind::Cluster)
                .map(|(_, name)| name.clone())
                .collect();
            // Endpoints of a cluster that is gone are dropped with it.
            self.held.retain(|(kind, name), _| *kind != Kind::Endpoints || clusters.contains(name));
            let subscribe = self.client.subscribe(Kind::Endpoints, false, clusters);
            self.up.extend(subscribe);
        }
    }

    fn settle(&mut self) {
        if self.server.is_none() {
            self.reconnect();
        }
        for _ in 0..200 {
            self.write();
            self.deliver_up();
            self.deliver_down(false);
        }
        let mut there = Held::new();
        for kind in Kind::ALL {
            for name in self.cache.names(kind) {
                there.insert(
                    (kind, name.to_string()),
                    self.cache.get(kind, name).unwrap().version.to_string(),
                );
            }
        }
        assert_eq!(self.held, there);
        assert_eq!(self.server.as_ref().unwrap().unanswered(), 0);
        assert_eq!(self.server.as_ref().unwrap().marks_open(), 0);
    }
}

fn play(variant: Variant, seed: u64, steps: usize) -> World {
    let mut world = World::new(variant, seed);
    (0..steps).for_each(|_| world.step());
    world.settle();
    world
}

fn schedules(variant: Variant) {
    let (mut rejections, mut beats, mut acked) = (0, 0, 0);
    for seed in 0..1500 {
        let whole = std::panic::catch_unwind(|| play(variant, seed, 150));
        match whole {
            Ok(world) => {
                rejections += world.rejections;
                beats += world.beats;
                acked += world.acked;
            }
            Err(_) => {
                let fails = |steps: &usize| std::panic::catch_unwind(|| play(variant, seed, *steps)).is_err();
                panic!("{variant:?}: seed {seed} fails after {:?} steps", (0..=150).find(fails));
            }
        }
    }
    assert!(rejections > 50 && beats > 50 && acked > 500, "too tame: {rejections} {beats} {acked}");
}

#[test]
fn an_incremental_client_ends_with_what_the_cache_holds() {
    schedules(Variant::Incremental);
}

#[test]
fn a_state_of_the_world_client_ends_with_what_the_cache_holds() {
    schedules(Variant::StateOfTheWorld);
}

#[test]
fn a_version_rejected_twice_ends_the_stream() {
    let mut world = World::new(Variant::Incremental, 1);
    world.reconnect();
    world.deliver_up();
    world.write();
    for round in 0..2 {
        let response = world.down.pop_front().unwrap();
        let update = world.client.hear(&response).unwrap();
        let nack = world.client.reject(&update, "no");
        let heard = world.server.as_mut().unwrap().hear(&nack, &world.cache);
        assert_eq!(heard.is_err(), round == 1, "{heard:?}");
        world.write();
    }
}

#[test]
fn an_answer_to_the_version_before_last_counts_but_moves_nothing() {
    let mut world = World::new(Variant::StateOfTheWorld, 1);
    world.reconnect();
    (0..2).for_each(|_| world.deliver_up());
    world.write();
    let first = world.down.pop_front().unwrap();
    world.change(7);
    world.write();
    let update = world.client.hear(&first).unwrap();
    let late = world.client.accept(&update);
    let server = world.server.as_mut().unwrap();
    assert!(matches!(server.hear(&late, &world.cache), Ok(Heard::Acked { kind: Kind::Cluster, .. })));
    assert!(server.unanswered() > 0);
    assert!(matches!(server.hear(&late, &world.cache), Ok(Heard::Stale { .. })));
}

#[test]
fn a_reconnect_with_initial_versions_gets_only_what_has_changed() {
    let mut world = World::new(Variant::Incremental, 3);
    world.settle();
    world.change(2);
    world.remove(4);
    world.reconnect();
    let (mut sent, mut removed) = (Vec::new(), Vec::new());
    for _ in 0..50 {
        world.write();
        if let Some(Response::Incremental(reply)) = world.down.front() {
            sent.extend(reply.resources.iter().map(|r| r.name.clone()));
            removed.extend(reply.removed_resources.clone());
        }
        world.deliver_up();
        world.deliver_down(false);
    }
    assert_eq!(sent, ["2"]);
    assert!(removed.iter().all(|name| name == "4") && removed.len() == 2, "{removed:?}");
}

/// A client that loses a table after it acknowledged it is found by the number that it tells, and told it again.
#[test]
fn a_client_that_holds_something_else_is_told_everything_again() {
    for variant in [Variant::Incremental, Variant::StateOfTheWorld] {
        for seed in 0..40 {
            let mut world = World::new(variant, seed);
            (0..100).for_each(|_| world.step());
            world.settle();
            let name = world.client.versions(Kind::Endpoints).keys().next().cloned().unwrap();
            world.lost_some = true;
            world.client.forget(Kind::Endpoints, &name);
            world.held.remove(&(Kind::Endpoints, name.clone()));
            // Only others change: the protocol alone would never tell of this one again.
            for _ in 0..40 {
                let other = (0..9).find(|other| other.to_string() != name).unwrap();
                world.change(other);
                for _ in 0..6 {
                    world.write();
                    world.deliver_up();
                    world.deliver_down(false);
                }
            }
            assert!(world.differing > 0, "{variant:?}: seed {seed}");
            world.settle();
        }
    }
}
