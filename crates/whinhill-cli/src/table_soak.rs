//! `whinhill table soak`: simulates the publishing of tables in accelerated time. It runs an assigner's table
//! publisher, history recorder and history file; proxies that lose, repeat and reorder deltas and reconnect;
//! rollbacks; and crashes between any two steps. It checks that each proxy ends with the same tables as a full rebuild,
//! and that no proxy receives a former owner after any proxy has received a later one.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::path::Path;
use std::time::Duration;

use clap::Args;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use whinhill::interface::{EndpointId, Order};
use whinhill_assigner::{HistoryFile, HistoryRecorder, PersistedUpdate, RecordedBatch};
use whinhill_history::HistoryDbError;
use whinhill_tables::rollback::{Rollback, ServerStatus, ServerView};
use whinhill_tables::{
    Delta, History, Limits, NumberedSet, PendingGrant, ServerName, SetId, TablePublisher, TableSet, Version,
};

use crate::CommandError;

/// Arguments of `whinhill table soak`.
#[derive(Args)]
pub struct SoakArgs {
    /// Seed of the random events.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of random steps.
    #[arg(long, default_value_t = 10_000)]
    steps: u64,
    /// Number of proxies.
    #[arg(long, default_value_t = 8)]
    proxies: usize,
    /// Number of slices.
    #[arg(long, default_value_t = 40)]
    slices: usize,
    /// Grant slices without waiting for the proxies; the soak must then find a violation.
    #[arg(long)]
    sabotage: bool,
    /// Print only the JSON object.
    #[arg(long)]
    json: bool,
}

/// Counts of a run, as they are printed.
#[derive(Clone, Debug, Default, Serialize)]
struct Figures {
    seed: u64,
    steps: u64,
    versions: u64,
    rollbacks: u64,
    /// Rollbacks that neither completed nor were abandoned within their time limit.
    rollbacks_open: u64,
    crashes: u64,
    deltas: u64,
    full_sets: u64,
    refused_deltas: u64,
    /// Attempts to write an update or to open the file that failed with a transient disk error.
    refused_by_disk: u64,
    /// Owners published before the file had them, because writing kept failing beyond the withholding limit.
    told_unkept: u64,
    /// Restarts after which the file lacked a version that had been reported as written.
    lost_versions: u64,
    /// Proxies that differ from the full rebuild, and deltas that were wrongly applied or changed a set in part.
    mismatches: u64,
    /// Times that a proxy had an owner older than one that some proxy had before.
    owner_order_breaks: u64,
    /// Estimated bytes of the deltas sent, and of full sets in their place.
    delta_bytes: u64,
    full_bytes: u64,
}

/// Number of servers that own slices.
const SERVER_COUNT: usize = 7;
/// Limits of the history.
const HISTORY_LIMITS: Limits = Limits { entries: 400, bytes: 1 << 20, age: Duration::from_secs(100_000) };
/// Steps from the revocation of an owner until the next may be granted; stands for proxies' answers and write leases.
const HANDOVER_STEPS: u64 = 5;
/// Maximum time, in steps of one second, for which an owner is withheld until the file has it.
const MAX_OWNER_WITHHOLDING: Duration = Duration::from_secs(3);
/// Maximum consecutive attempts that may fail with a transient disk error.
const MAX_DISK_REFUSALS: usize = 1000;
/// Steps after which a rollback abandons moves that found no owner with spare capacity.
const ROLLBACK_STEPS: u64 = 200;

fn server_name(number: usize) -> ServerName {
    format!("10.0.0.{number}:7000").into()
}

/// The tables that a proxy holds and the deltas in transit to it.
#[derive(Default)]
struct Proxy {
    held: NumberedSet,
    in_transit: VecDeque<Delta>,
    /// Whether the next delivery is the full set, which replaces the deltas in transit.
    needs_full_set: bool,
}

/// What the shared store holds of a slice.
struct StoredSlice {
    epoch: u64,
    owner: ServerName,
    /// Number of owners that the slice has had.
    term: u64,
}

/// A handover in progress.
struct Handover {
    /// First step in which it may be granted.
    grant_from: u64,
    /// The requested owner; random if there is none.
    to: Option<ServerName>,
}

/// State of a run.
struct Soak<'a> {
    rng: ChaCha8Rng,
    path: &'a Path,
    /// `None` between a crash and the restart: the old handle must be closed before the file is opened again.
    file: Option<HistoryFile>,
    publisher: TablePublisher,
    history_recorder: HistoryRecorder,
    proxies: Vec<Proxy>,
    /// The shared store, by slice.
    store: Vec<StoredSlice>,
    /// By slice: the first version of each owner term, and the newest term that any proxy has held.
    owner_terms: Vec<BTreeMap<Version, u64>>,
    newest_held_term: Vec<u64>,
    /// Handovers in progress, by slice.
    handovers: BTreeMap<usize, Handover>,
    pending_grants: Vec<PendingGrant>,
    /// The newest version published to proxies.
    published: NumberedSet,
    step: u64,
    figures: Figures,
    unhealthy_server: usize,
    sabotage: bool,
}

/// The view of servers and handovers that rollbacks use.
struct ClusterView<'a> {
    handovers: &'a BTreeMap<usize, Handover>,
    unhealthy_server: usize,
}

impl ServerView for ClusterView<'_> {
    fn server_status(&self, name: &str) -> ServerStatus {
        if *name == *server_name(self.unhealthy_server) {
            return ServerStatus::Sick;
        }
        ServerStatus::Ready
    }

    fn has_handover(&self, slice: usize) -> bool {
        self.handovers.contains_key(&slice)
    }
}

impl<'a> Soak<'a> {
    fn new(args: &SoakArgs, path: &'a Path) -> Result<Self, Box<dyn std::error::Error>> {
        let mut figures = Figures { seed: args.seed, ..Figures::default() };
        let (file, history, rollbacks) = open_history(path, &mut figures)?;
        let stored =
            |slice: usize| StoredSlice { epoch: 1, owner: server_name(slice % SERVER_COUNT), term: 1 };
        let mut soak = Soak {
            rng: ChaCha8Rng::seed_from_u64(args.seed),
            path,
            file: Some(file),
            publisher: new_publisher(args.slices),
            history_recorder: HistoryRecorder::new(
                history,
                rollbacks,
                MAX_OWNER_WITHHOLDING,
                Duration::ZERO,
                0,
            ),
            proxies: (0..args.proxies).map(|_| Proxy { needs_full_set: true, ..Proxy::default() }).collect(),
            store: (0..args.slices).map(stored).collect(),
            owner_terms: vec![BTreeMap::new(); args.slices],
            newest_held_term: vec![0; args.slices],
            handovers: BTreeMap::new(),
            pending_grants: Vec::new(),
            published: NumberedSet::default(),
            step: 0,
            figures,
            unhealthy_server: SERVER_COUNT,
            sabotage: args.sabotage,
        };
        soak.acquire_all()?;
        Ok(soak)
    }

    /// Acquires custody of all slices, each with the owner that the store holds and the next epoch.
    fn acquire_all(&mut self) -> Result<(), Box<dyn std::error::Error>> {
        for (slice, stored) in self.store.iter_mut().enumerate() {
            stored.epoch += 1;
            self.publisher.acquire_slice(slice, stored.epoch, Some(stored.owner.clone()));
        }
        (0..self.store.len()).for_each(|slice| self.begin_owner_term(slice));
        let all: BTreeSet<usize> = (0..self.store.len()).collect();
        self.record(all, BTreeSet::new(), Some("custody of all slices"))
    }

    /// Records a batch of changes and usually persists it.
    fn record(
        &mut self,
        changed_slices: BTreeSet<usize>,
        granted: BTreeSet<usize>,
        cause: Option<&str>,
    ) -> Result<(), Box<dyn std::error::Error>> {
        let (now, unix_ms) = (Duration::from_secs(self.step), self.step * 1000);
        let published = self.publisher.published();
        let cause = cause.map(str::to_string);
        self.history_recorder.record(RecordedBatch {
            now,
            unix_ms,
            published,
            changed_slices,
            granted,
            cause,
        });
        // A skipped write stands for a slow disk: updates accumulate and withheld versions are not published.
        if self.rng.random_bool(0.8) {
            self.persist()?;
        }
        Ok(())
    }

    /// Writes pending updates to the file, then publishes what is no longer withheld.
    fn persist(&mut self) -> Result<(), Box<dyn std::error::Error>> {
        let Some(file) = &mut self.file else { return Ok(()) };
        self.history_recorder.take_update().into_iter().for_each(|page| file.put(page));
        match file.persist_pending() {
            Ok(None) => {}
            Ok(Some(PersistedUpdate { seq, version })) => {
                self.history_recorder.on_persisted(seq);
                self.figures.versions = version;
            }
            Err(error) if error.is_transient() => self.figures.refused_by_disk += 1,
            Err(error) => return Err(error.into()),
        }
        self.publish();
        Ok(())
    }

    /// Writes all pending updates, with retries on transient disk errors.
    fn persist_all(&mut self) -> Result<(), Box<dyn std::error::Error>> {
        for _ in 0..MAX_DISK_REFUSALS {
            self.persist()?;
            if self.file.as_ref().is_none_or(|file| !file.has_pending()) {
                return Ok(());
            }
        }
        Err("writing an update keeps failing".into())
    }

    /// Publishes the newest version once none of it is withheld; proxies at the same version share one delta.
    fn publish(&mut self) {
        if self.history_recorder.withheld_count() > 0 {
            return;
        }
        let current = self.history_recorder.history().current().clone();
        if current.id() == self.published.id() {
            return;
        }
        let mut deltas: BTreeMap<SetId, Option<Delta>> = BTreeMap::new();
        for proxy in &mut self.proxies {
            let base = proxy.in_transit.back().map_or(proxy.held.id(), |delta| delta.to);
            let history = self.history_recorder.history();
            let delta = deltas.entry(base).or_insert_with(|| history.delta(base, current.id().number));
            match delta {
                Some(delta) => {
                    self.figures.deltas += 1;
                    self.figures.delta_bytes += estimated_delta_bytes(delta);
                    self.figures.full_bytes += estimated_set_bytes(current.set());
                    proxy.in_transit.push_back(delta.clone());
                }
                // The history no longer has its version, or has never had it, as after a crash that lost it.
                None => proxy.needs_full_set = true,
            }
        }
        self.published = current;
    }

    /// Delivers the full set or the next delta to a proxy; a delta may be lost, duplicated or reordered.
    fn deliver(&mut self, number: usize) {
        let (lost, duplicated, reordered) =
            (self.rng.random_bool(0.02), self.rng.random_bool(0.02), self.rng.random_bool(0.02));
        let proxy = &mut self.proxies[number];
        if proxy.needs_full_set {
            self.figures.full_sets += 1;
            proxy.needs_full_set = false;
            proxy.in_transit.clear();
            proxy.held = self.published.clone();
            return self.check_owner_order(number);
        }
        if reordered && proxy.in_transit.len() > 1 {
            proxy.in_transit.swap(0, 1);
        }
        let Some(delta) = proxy.in_transit.pop_front() else { return };
        if lost {
            return;
        }
        let before = proxy.held.clone();
        match proxy.held.apply(&delta) {
            Ok(()) if duplicated && proxy.held.apply(&delta).is_err() => self.figures.mismatches += 1,
            Ok(()) => {}
            Err(_) => {
                self.figures.refused_deltas += 1;
                // A refused delta must not have changed the set; only the full set repairs it.
                self.figures.mismatches += u64::from(proxy.held != before);
                proxy.needs_full_set = true;
            }
        }
        self.check_owner_order(number);
    }

    /// Checks the owners that a proxy holds: one older than an owner that any proxy has held is a violation.
    fn check_owner_order(&mut self, number: usize) {
        for (&slice, table) in self.proxies[number].held.set() {
            let term =
                self.owner_terms[slice].range(..=table.version).next_back().map_or(0, |(_, term)| *term);
            if table.owner.is_some() && term < self.newest_held_term[slice] {
                self.figures.owner_order_breaks += 1;
            }
            self.newest_held_term[slice] =
                self.newest_held_term[slice].max(if table.owner.is_some() { term } else { 0 });
        }
    }

    /// Notes that a slice's present version is the first of the store's present owner.
    fn begin_owner_term(&mut self, slice: usize) {
        let version = self.publisher.published()[&slice].version;
        self.owner_terms[slice].insert(version, self.store[slice].term);
    }

    /// Revokes the owner of a slice and begins a handover, unless one is in progress.
    fn revoke(&mut self, slice: usize, to: Option<ServerName>) -> Result<(), Box<dyn std::error::Error>> {
        if self.handovers.contains_key(&slice) {
            return Ok(());
        }
        let endpoint = EndpointId::default();
        self.publisher.apply(&[Order::Revoke { slice, endpoint }], |_| None);
        self.handovers.insert(slice, Handover { grant_from: self.step + HANDOVER_STEPS, to });
        self.record([slice].into(), BTreeSet::new(), None)
    }

    /// Grants the handovers that are due, and stores some of the pending grants.
    fn grant_ready(&mut self) -> Result<(), Box<dyn std::error::Error>> {
        let ready: Vec<usize> = self
            .handovers
            .iter()
            .filter(|(_, handover)| handover.grant_from <= self.step)
            .map(|(slice, _)| *slice)
            .collect();
        for slice in ready {
            // No proxy may hold the former owner or have it in transit. The decision module ensures this by
            // waiting for the acknowledgements of all proxies.
            let has_owner = |set: &TableSet| set.get(&slice).is_some_and(|table| table.owner.is_some());
            let must_wait_for = |proxy: &Proxy| {
                has_owner(proxy.held.set()) || proxy.in_transit.iter().any(|delta| has_owner(&delta.changed))
            };
            if !self.sabotage && self.proxies.iter().any(must_wait_for) {
                continue;
            }
            let Some(Handover { to, .. }) = self.handovers.remove(&slice) else { continue };
            let to = to.unwrap_or_else(|| server_name(self.rng.random_range(0..SERVER_COUNT)));
            let index = (0..SERVER_COUNT).find(|number| server_name(*number) == to).unwrap_or(0);
            let order = Order::Grant { slice, endpoint: EndpointId { index, stable_id: 0 } };
            self.pending_grants
                .extend(self.publisher.apply(&[order], |index| Some(server_name(index))).grants);
        }
        // The store answers now or in a later step. If a crash loses the answer, the store may have the grant anyway.
        if self.rng.random_bool(0.7) {
            for grant in std::mem::take(&mut self.pending_grants) {
                let stored = &mut self.store[grant.slice];
                (stored.owner, stored.term) = (grant.owner.clone(), stored.term + 1);
                let slices = self.publisher.grant_stored(&grant).slices;
                slices.iter().for_each(|slice| self.begin_owner_term(*slice));
                self.record(slices.clone(), slices, None)?;
            }
        }
        Ok(())
    }

    /// Starts a rollback of random slices to a random version.
    fn start_rollback(&mut self) -> Result<(), Box<dyn std::error::Error>> {
        let numbers: Vec<u64> =
            self.history_recorder.history().entries().map(|entry| entry.id.number).collect();
        let Some(&to) = numbers.choose(&mut self.rng) else { return Ok(()) };
        let slices: BTreeSet<usize> = (0..self.store.len()).filter(|_| self.rng.random_bool(0.3)).collect();
        let view = ClusterView { handovers: &self.handovers, unhealthy_server: self.unhealthy_server };
        let plan = self.history_recorder.dry_run(to, self.publisher.published(), Some(&slices), &view)?;
        let (now, within) = (Duration::from_secs(self.step), Duration::from_secs(ROLLBACK_STEPS));
        if self.history_recorder.start_rollback(to, "soak", &plan, now, within).is_ok() {
            self.figures.rollbacks += 1;
        }
        if self.rng.random_bool(0.2) {
            self.history_recorder.mark_good(to);
        }
        self.persist()
    }

    /// Crashes and restarts the assigner: all state outside the file and the store is lost. The store may have pending
    /// grants.
    fn crash(&mut self) -> Result<(), Box<dyn std::error::Error>> {
        self.figures.crashes += 1;
        for grant in std::mem::take(&mut self.pending_grants) {
            if self.rng.random_bool(0.5) {
                let stored = &mut self.store[grant.slice];
                (stored.owner, stored.term) = (grant.owner, stored.term + 1);
            }
        }
        self.handovers.clear();
        self.publisher = new_publisher(self.store.len());
        self.file = None;
        let (file, history, rollbacks) = open_history(self.path, &mut self.figures)?;
        self.figures.lost_versions += u64::from(history.current().id().number < self.figures.versions);
        let (now, unix_ms) = (Duration::from_secs(self.step), self.step * 1000);
        (self.file, self.history_recorder) =
            (Some(file), HistoryRecorder::new(history, rollbacks, MAX_OWNER_WITHHOLDING, now, unix_ms));
        for proxy in &mut self.proxies {
            proxy.in_transit.clear();
            // Its stream broke: it states the version that it holds and gets deltas from there, or the full set.
            proxy.needs_full_set |= self.history_recorder.history().rebuild(proxy.held.id().number).is_none();
        }
        self.acquire_all()
    }

    /// Runs one step: one random event or none, then the regular activity.
    fn run_step(&mut self) -> Result<(), Box<dyn std::error::Error>> {
        self.step += 1;
        self.figures.steps += 1;
        match self.rng.random_range(0..1000) {
            0..=3 => self.crash()?,
            4..=11 => self.start_rollback()?,
            12..=29 => {
                let number = self.rng.random_range(0..self.proxies.len());
                self.proxies[number].in_transit.clear();
                self.proxies[number].needs_full_set = true;
            }
            30..=39 => self.unhealthy_server = self.rng.random_range(0..=SERVER_COUNT),
            40..=199 => {
                let slice = self.rng.random_range(0..self.store.len());
                self.revoke(slice, None)?;
            }
            200..=399 => {
                let slice = self.rng.random_range(0..self.store.len());
                let (share, methods) = (f64::from(self.rng.random_range(1..=20u32)) / 20.0, 1);
                let order = Order::Level { slice, level: share, methods, tries: 0 };
                let slices = self.publisher.apply(&[order], |_| None).slices;
                self.record(slices, BTreeSet::new(), None)?;
            }
            _ => {}
        }
        self.advance()
    }

    /// Regular activity of every step: grants, rollbacks, writes and deliveries.
    fn advance(&mut self) -> Result<(), Box<dyn std::error::Error>> {
        self.figures.told_unkept +=
            self.history_recorder.release_overdue(Duration::from_secs(self.step)).len() as u64;
        self.grant_ready()?;
        let view = ClusterView { handovers: &self.handovers, unhealthy_server: self.unhealthy_server };
        let now = Duration::from_secs(self.step);
        let (requested_moves, _) =
            self.history_recorder.evaluate_rollbacks(now, self.publisher.published(), &view);
        for (slice, to) in requested_moves {
            // A move that is not made stands for a server without spare capacity.
            if self.rng.random_bool(0.7) {
                self.revoke(slice, Some(to))?;
            }
        }
        if self.rng.random_bool(0.5) {
            self.persist()?;
        }
        for number in 0..self.proxies.len() {
            if self.rng.random_bool(0.6) {
                self.deliver(number);
            }
        }
        Ok(())
    }

    /// Makes proxies fetch the full set if they lack the published version and have no delta in transit. Otherwise a
    /// lost delta is detected only by the next one, which never comes if a handover waits for this proxy. A real
    /// stream loses messages only if it breaks, after which the proxy states what it holds and gets the rest.
    fn detect_lagging_proxies(&mut self) {
        let published_id = self.published.id();
        for proxy in &mut self.proxies {
            proxy.needs_full_set |= proxy.in_transit.is_empty() && proxy.held.id() != published_id;
        }
    }

    /// Runs without random events until rollbacks have ended and all messages have arrived, then compares each proxy
    /// with a full rebuild.
    fn settle(&mut self) -> Result<(), Box<dyn std::error::Error>> {
        self.unhealthy_server = SERVER_COUNT;
        for _ in 0..ROLLBACK_STEPS + 10 * HANDOVER_STEPS {
            self.step += 1;
            self.advance()?;
            self.detect_lagging_proxies();
        }
        self.figures.rollbacks_open =
            self.history_recorder.rollbacks().iter().filter(|rollback| !rollback.finished()).count() as u64;
        self.persist_all()?;
        for number in 0..self.proxies.len() {
            while !self.proxies[number].in_transit.is_empty() || self.proxies[number].needs_full_set {
                self.deliver(number);
            }
        }
        let number = self.published.id().number;
        let rebuilt = self.history_recorder.history().rebuild(number);
        let is_stale = |proxy: &Proxy| Some(&proxy.held) != rebuilt.as_ref();
        // A lost delta is detected by the next one, but the last may have been lost.
        for number in 0..self.proxies.len() {
            if is_stale(&self.proxies[number]) {
                self.proxies[number].needs_full_set = true;
                self.deliver(number);
            }
        }
        self.figures.mismatches += self.proxies.iter().filter(|proxy| is_stale(proxy)).count() as u64;
        Ok(())
    }

    /// Whether any check has failed so far.
    fn has_violation(&self) -> bool {
        let figures = &self.figures;
        let violations =
            [figures.mismatches, figures.owner_order_breaks, figures.rollbacks_open, figures.lost_versions];
        violations.iter().any(|count| *count > 0)
    }
}

/// Opens the history file, with retries on transient disk errors.
fn open_history(
    path: &Path,
    figures: &mut Figures,
) -> Result<(HistoryFile, History, Vec<Rollback>), HistoryDbError> {
    for _ in 0..MAX_DISK_REFUSALS {
        match HistoryFile::open(path, HISTORY_LIMITS) {
            Err(error) if error.is_transient() => figures.refused_by_disk += 1,
            opened => return opened,
        }
    }
    HistoryFile::open(path, HISTORY_LIMITS)
}

/// A table publisher that knows all servers.
fn new_publisher(slices: usize) -> TablePublisher {
    let mut publisher = TablePublisher::new(slices, vec![false, true], 0);
    (0..SERVER_COUNT).for_each(|number| publisher.add_known_server(server_name(number)));
    publisher
}

fn estimated_set_bytes(set: &TableSet) -> u64 {
    set.values()
        .map(|table| {
            48 + table.owner.as_ref().map_or(0, |owner| owner.len() as u64) + 8 * table.shares.len() as u64
        })
        .sum()
}

fn estimated_delta_bytes(delta: &Delta) -> u64 {
    32 + estimated_set_bytes(&delta.changed) + 8 * delta.removed.len() as u64
}

/// Runs up to `steps` steps and the final comparison; returns the counts and whether a check failed.
fn run_steps(args: &SoakArgs, steps: u64) -> Result<(Figures, bool), Box<dyn std::error::Error>> {
    let folder = tempfile::tempdir()?;
    let path = folder.path().join("history.redb");
    let mut soak = Soak::new(args, &path)?;
    for _ in 0..steps {
        soak.run_step()?;
        if soak.has_violation() {
            break;
        }
    }
    soak.settle()?;
    let has_violation = soak.has_violation();
    Ok((soak.figures, has_violation))
}

/// Runs the soak and prints its counts; fails if a check failed.
pub fn run(args: &SoakArgs) -> Result<(), CommandError> {
    if args.proxies == 0 || args.slices == 0 || args.steps == 0 {
        return Err(CommandError::Usage("steps, proxies and slices must be greater than 0".into()));
    }
    let (figures, has_violation) = run_steps(args, args.steps).map_err(CommandError::runtime)?;
    if !args.json {
        println!("{} steps, {} versions, {} crashes", figures.steps, figures.versions, figures.crashes);
    }
    println!("{}", serde_json::to_string(&figures).map_err(CommandError::runtime)?);
    if has_violation {
        // The run stops at the first violation, so its steps are the shortest failing prefix.
        return Err(CommandError::Runtime(format!(
            "seed {} fails; shortest failing prefix: {} steps",
            args.seed, figures.steps
        )));
    }
    Ok(())
}
