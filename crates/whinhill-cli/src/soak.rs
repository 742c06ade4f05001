//! `whinhill table soak`: the tables' life in quick motion. An assigner's keeper, chronicle and file; proxies that
//! lose, repeat and reorder deltas and reconnect; rollbacks; crashes between any two steps. Whatever happens, each
//! proxy ends with what a full rebuild holds, and no proxy is told a former owner behind a later one.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::path::Path;
use std::time::Duration;

use clap::Args;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use whinhill::interface::{Ep, Order};
use whinhill_assigner::{Batch, Chronicle, HistoryFile, Kept};
use whinhill_history::BookError;
use whinhill_tables::rollback::{Fleet, Rollback, Standing};
use whinhill_tables::{
    Delta, Held, History, Keeper, Limits, PendingGrant, ServerName, SetId, TableSet, Version,
};

use crate::Failed;

#[derive(Args)]
pub struct SoakArgs {
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long, default_value_t = 10_000)]
    steps: u64,
    #[arg(long, default_value_t = 8)]
    proxies: usize,
    #[arg(long, default_value_t = 40)]
    slices: usize,
    /// Grants are given without waiting for the proxies: what the soak looks for must then be found.
    #[arg(long)]
    sabotage: bool,
    /// Only the object.
    #[arg(long)]
    json: bool,
}

#[derive(Clone, Debug, Default, Serialize)]
struct Figures {
    seed: u64,
    steps: u64,
    versions: u64,
    rollbacks: u64,
    /// Rollbacks that neither came about nor were given up in their time.
    rollbacks_open: u64,
    crashes: u64,
    deltas: u64,
    full_sets: u64,
    refused_deltas: u64,
    /// Attempts to keep a page, or to open the file, that the disk refused.
    refused_by_disk: u64,
    /// Owners told before the file had them, since it refused for long.
    told_unkept: u64,
    /// Restarts that did not find what the file was said to hold.
    lost_versions: u64,
    mismatches: u64,
    owner_order_breaks: u64,
    /// Bytes of what was sent as deltas, and of full sets in their place.
    delta_bytes: u64,
    full_bytes: u64,
}

const SERVERS: usize = 7;
const LIMITS: Limits = Limits { entries: 400, bytes: 1 << 20, age: Duration::from_secs(100_000) };
/// Steps from an owner's stop until the next one may be granted: answers and leases, in quick motion.
const SETTLE: u64 = 5;
/// Steps, of a second each, for which an owner waits for the file.
const WITHHELD_MOST: Duration = Duration::from_secs(3);
/// Attempts in a row that a disk may refuse.
const REFUSALS_MOST: usize = 1000;
/// Steps after which a rollback gives up what has found no room.
const WITHIN: u64 = 200;

fn server(number: usize) -> ServerName {
    format!("10.0.0.{number}:7000").into()
}

/// What a proxy holds, and what is on its way to it.
#[derive(Default)]
struct Proxy {
    held: Held,
    on_the_way: VecDeque<Delta>,
    wants_all: bool,
}

struct Soak<'a> {
    rng: ChaCha8Rng,
    path: &'a Path,
    /// `None` while the assigner is dead: the file is opened once the dead one's hold on it is gone.
    file: Option<HistoryFile>,
    keeper: Keeper,
    chronicle: Chronicle,
    proxies: Vec<Proxy>,
    /// The shared store: epoch and owner of each slice, and how many owners it has had.
    store: Vec<(u64, ServerName, u64)>,
    /// By slice: the versions with which the owners of each turn began, and the last turn that a proxy followed.
    turns: Vec<BTreeMap<Version, u64>>,
    followed: Vec<u64>,
    /// Handovers under way: from which step they may be granted, and where they are wished.
    handovers: BTreeMap<usize, (u64, Option<ServerName>)>,
    granted: Vec<PendingGrant>,
    /// The version of which proxies may be told.
    told: Held,
    step: u64,
    figures: Figures,
    sick: usize,
    sabotage: bool,
}

struct Eyes<'a> {
    handovers: &'a BTreeMap<usize, (u64, Option<ServerName>)>,
    sick: usize,
}

impl Fleet for Eyes<'_> {
    fn standing(&self, name: &str) -> Standing {
        if *name == *server(self.sick) {
            return Standing::Sick;
        }
        Standing::Ready
    }

    fn moving(&self, slice: usize) -> bool {
        self.handovers.contains_key(&slice)
    }
}

impl<'a> Soak<'a> {
    fn new(args: &SoakArgs, path: &'a Path) -> Result<Self, Box<dyn std::error::Error>> {
        let mut figures = Figures { seed: args.seed, ..Figures::default() };
        let (file, history, rollbacks) = open(path, &mut figures)?;
        let owner = |slice: usize| (1, server(slice % SERVERS), 1);
        let mut soak = Soak {
            rng: ChaCha8Rng::seed_from_u64(args.seed),
            path,
            file: Some(file),
            keeper: keeper(args.slices),
            chronicle: Chronicle::new(history, rollbacks, WITHHELD_MOST, Duration::ZERO, 0),
            proxies: (0..args.proxies).map(|_| Proxy { wants_all: true, ..Proxy::default() }).collect(),
            store: (0..args.slices).map(owner).collect(),
            turns: vec![BTreeMap::new(); args.slices],
            followed: vec![0; args.slices],
            handovers: BTreeMap::new(),
            granted: Vec::new(),
            told: Held::default(),
            step: 0,
            figures,
            sick: SERVERS,
            sabotage: args.sabotage,
        };
        soak.take_custody()?;
        Ok(soak)
    }

    /// Custody of all slices comes, each with the owner that the store holds and a higher epoch.
    fn take_custody(&mut self) -> Result<(), Box<dyn std::error::Error>> {
        for (slice, (epoch, owner, _)) in self.store.iter_mut().enumerate() {
            *epoch += 1;
            self.keeper.give(slice, *epoch, Some(owner.clone()));
        }
        (0..self.store.len()).for_each(|slice| self.turn(slice));
        let all: BTreeSet<usize> = (0..self.store.len()).collect();
        self.record(all, BTreeSet::new(), Some("custody of all slices"))
    }

    fn record(
        &mut self,
        touched: BTreeSet<usize>,
        granted: BTreeSet<usize>,
        cause: Option<&str>,
    ) -> Result<(), Box<dyn std::error::Error>> {
        let (now, unix_ms) = (Duration::from_secs(self.step), self.step * 1000);
        let published = self.keeper.published();
        let cause = cause.map(str::to_string);
        self.chronicle.record(Batch { now, unix_ms, published, touched, granted, cause });
        // Sometimes the disk is slow: pages gather, and what waits for them is not told.
        if self.rng.random_bool(0.8) {
            self.keep()?;
        }
        Ok(())
    }

    fn keep(&mut self) -> Result<(), Box<dyn std::error::Error>> {
        let Some(file) = &mut self.file else { return Ok(()) };
        self.chronicle.take_page().into_iter().for_each(|page| file.put(page));
        match file.keep() {
            Ok(None) => {}
            Ok(Some(Kept { seq, version })) => {
                self.chronicle.kept(seq);
                self.figures.versions = version;
            }
            Err(error) if error.may_pass() => self.figures.refused_by_disk += 1,
            Err(error) => return Err(error.into()),
        }
        self.tell();
        Ok(())
    }

    /// Keeps what waits, however often the disk refuses it.
    fn keep_all(&mut self) -> Result<(), Box<dyn std::error::Error>> {
        for _ in 0..REFUSALS_MOST {
            self.keep()?;
            if self.file.as_ref().is_none_or(|file| !file.has_waiting()) {
                return Ok(());
            }
        }
        Err("the disk refuses a page again and again".into())
    }

    /// Proxies are told the newest version, once nothing of it is held back: one delta for all at the same version.
    fn tell(&mut self) {
        if self.chronicle.held_back() > 0 {
            return;
        }
        let next = self.chronicle.history().current().clone();
        if next.id() == self.told.id() {
            return;
        }
        let mut shared: BTreeMap<SetId, Option<Delta>> = BTreeMap::new();
        for proxy in &mut self.proxies {
            let base = proxy.on_the_way.back().map_or(proxy.held.id(), |delta| delta.to);
            let history = self.chronicle.history();
            let delta = shared.entry(base).or_insert_with(|| history.delta(base, next.id().number));
            match delta {
                Some(delta) => {
                    self.figures.deltas += 1;
                    self.figures.delta_bytes += bytes(delta);
                    self.figures.full_bytes += size(next.set());
                    proxy.on_the_way.push_back(delta.clone());
                }
                // Its version has been let go, or is of a life that nobody remembers.
                None => proxy.wants_all = true,
            }
        }
        self.told = next;
    }

    fn deliver(&mut self, number: usize) {
        let (lost, twice, odd) =
            (self.rng.random_bool(0.02), self.rng.random_bool(0.02), self.rng.random_bool(0.02));
        let proxy = &mut self.proxies[number];
        if proxy.wants_all {
            self.figures.full_sets += 1;
            proxy.wants_all = false;
            proxy.on_the_way.clear();
            proxy.held = self.told.clone();
            return self.follow(number);
        }
        if odd && proxy.on_the_way.len() > 1 {
            proxy.on_the_way.swap(0, 1);
        }
        let Some(delta) = proxy.on_the_way.pop_front() else { return };
        if lost {
            return;
        }
        let before = proxy.held.clone();
        match proxy.held.apply(&delta) {
            Ok(()) if twice && proxy.held.apply(&delta).is_err() => self.figures.mismatches += 1,
            Ok(()) => {}
            Err(_) => {
                self.figures.refused_deltas += 1;
                // Refused, it must have changed nothing; what helps is the full set alone.
                self.figures.mismatches += u64::from(proxy.held != before);
                proxy.wants_all = true;
            }
        }
        self.follow(number);
    }

    /// A proxy follows what it holds: an owner before one that any proxy has followed is a break.
    fn follow(&mut self, number: usize) {
        for (&slice, table) in self.proxies[number].held.set() {
            let turn = self.turns[slice].range(..=table.version).next_back().map_or(0, |(_, turn)| *turn);
            if table.owner.is_some() && turn < self.followed[slice] {
                self.figures.owner_order_breaks += 1;
            }
            self.followed[slice] = self.followed[slice].max(if table.owner.is_some() { turn } else { 0 });
        }
    }

    /// From this version on a slice's table names the store's present owner.
    fn turn(&mut self, slice: usize) {
        let version = self.keeper.published()[&slice].version;
        self.turns[slice].insert(version, self.store[slice].2);
    }

    fn stop(&mut self, slice: usize, to: Option<ServerName>) -> Result<(), Box<dyn std::error::Error>> {
        if self.handovers.contains_key(&slice) {
            return Ok(());
        }
        let ep = Ep::default();
        self.keeper.apply(&[Order::Revoke { slice, ep }], |_| None);
        self.handovers.insert(slice, (self.step + SETTLE, to));
        self.record([slice].into(), BTreeSet::new(), None)
    }

    fn grant(&mut self) -> Result<(), Box<dyn std::error::Error>> {
        let ready: Vec<usize> =
            self.handovers.iter().filter(|(_, (at, _))| *at <= self.step).map(|(slice, _)| *slice).collect();
        for slice in ready {
            // No proxy may still follow the former owner, or come to: as in the module, every answer first.
            let owned = |set: &TableSet| set.get(&slice).is_some_and(|table| table.owner.is_some());
            let awaited = |proxy: &Proxy| {
                owned(proxy.held.set()) || proxy.on_the_way.iter().any(|delta| owned(&delta.changed))
            };
            if !self.sabotage && self.proxies.iter().any(awaited) {
                continue;
            }
            let Some((_, to)) = self.handovers.remove(&slice) else { continue };
            let to = to.unwrap_or_else(|| server(self.rng.random_range(0..SERVERS)));
            let index = (0..SERVERS).find(|number| server(*number) == to).unwrap_or(0);
            let order = Order::Grant { slice, ep: Ep { index, stable: 0 } };
            self.granted.extend(self.keeper.apply(&[order], |index| Some(server(index))).grants);
        }
        // The store answers now or later; what a crash loses it may hold all the same.
        if self.rng.random_bool(0.7) {
            for grant in std::mem::take(&mut self.granted) {
                let (_, owner, turn) = &mut self.store[grant.slice];
                (*owner, *turn) = (grant.owner.clone(), *turn + 1);
                let slices = self.keeper.granted(&grant).slices;
                slices.iter().for_each(|slice| self.turn(*slice));
                self.record(slices.clone(), slices, None)?;
            }
        }
        Ok(())
    }

    fn roll_back(&mut self) -> Result<(), Box<dyn std::error::Error>> {
        let numbers: Vec<u64> = self.chronicle.history().entries().map(|entry| entry.id.number).collect();
        let Some(&to) = numbers.choose(&mut self.rng) else { return Ok(()) };
        let some: BTreeSet<usize> = (0..self.store.len()).filter(|_| self.rng.random_bool(0.3)).collect();
        let eyes = Eyes { handovers: &self.handovers, sick: self.sick };
        let run = self.chronicle.dry_run(to, self.keeper.published(), Some(&some), &eyes)?;
        let (now, within) = (Duration::from_secs(self.step), Duration::from_secs(WITHIN));
        if self.chronicle.roll_back(to, "soak", &run, now, within).is_ok() {
            self.figures.rollbacks += 1;
        }
        if self.rng.random_bool(0.2) {
            self.chronicle.pin_good(to);
        }
        self.keep()
    }

    /// The assigner dies: what is not in the file or the store is gone. Grants that were under way the store may hold.
    fn crash(&mut self) -> Result<(), Box<dyn std::error::Error>> {
        self.figures.crashes += 1;
        for grant in std::mem::take(&mut self.granted) {
            if self.rng.random_bool(0.5) {
                let (_, owner, turn) = &mut self.store[grant.slice];
                (*owner, *turn) = (grant.owner, *turn + 1);
            }
        }
        self.handovers.clear();
        self.keeper = keeper(self.store.len());
        self.file = None;
        let (file, history, rollbacks) = open(self.path, &mut self.figures)?;
        self.figures.lost_versions += u64::from(history.current().id().number < self.figures.versions);
        let (now, unix_ms) = (Duration::from_secs(self.step), self.step * 1000);
        (self.file, self.chronicle) =
            (Some(file), Chronicle::new(history, rollbacks, WITHHELD_MOST, now, unix_ms));
        for proxy in &mut self.proxies {
            proxy.on_the_way.clear();
            // Its stream broke: it names what it holds, and is told a delta from there or the full set.
            proxy.wants_all |= self.chronicle.history().rebuild(proxy.held.id().number).is_none();
        }
        self.take_custody()
    }

    fn one(&mut self) -> Result<(), Box<dyn std::error::Error>> {
        self.step += 1;
        self.figures.steps += 1;
        match self.rng.random_range(0..1000) {
            0..=3 => self.crash()?,
            4..=11 => self.roll_back()?,
            12..=29 => {
                let number = self.rng.random_range(0..self.proxies.len());
                self.proxies[number].on_the_way.clear();
                self.proxies[number].wants_all = true;
            }
            30..=39 => self.sick = self.rng.random_range(0..=SERVERS),
            40..=199 => {
                let slice = self.rng.random_range(0..self.store.len());
                self.stop(slice, None)?;
            }
            200..=399 => {
                let slice = self.rng.random_range(0..self.store.len());
                let (share, methods) = (f64::from(self.rng.random_range(1..=20u32)) / 20.0, 1);
                let order = Order::Level { slice, share, methods, tries: 0 };
                let slices = self.keeper.apply(&[order], |_| None).slices;
                self.record(slices, BTreeSet::new(), None)?;
            }
            _ => {}
        }
        self.quiet()
    }

    /// What goes on in every step.
    fn quiet(&mut self) -> Result<(), Box<dyn std::error::Error>> {
        self.figures.told_unkept += self.chronicle.overdue(Duration::from_secs(self.step)).len() as u64;
        self.grant()?;
        let eyes = Eyes { handovers: &self.handovers, sick: self.sick };
        let now = Duration::from_secs(self.step);
        let (wishes, _) = self.chronicle.look(now, self.keeper.published(), &eyes);
        for (slice, to) in wishes {
            // Some find no room.
            if self.rng.random_bool(0.7) {
                self.stop(slice, Some(to))?;
            }
        }
        if self.rng.random_bool(0.5) {
            self.keep()?;
        }
        for number in 0..self.proxies.len() {
            if self.rng.random_bool(0.6) {
                self.deliver(number);
            }
        }
        Ok(())
    }

    /// A delta that was lost shows at the next one, and none comes where a handover waits for this very proxy. A
    /// stream loses nothing without its break, after which the proxy names what it holds and is told the rest.
    fn compare_holdings(&mut self) {
        let told = self.told.id();
        for proxy in &mut self.proxies {
            proxy.wants_all |= proxy.on_the_way.is_empty() && proxy.held.id() != told;
        }
    }

    /// All that is on its way arrives, and every rollback ends; then each proxy is held against a full rebuild.
    fn settle(&mut self) -> Result<(), Box<dyn std::error::Error>> {
        self.sick = SERVERS;
        for _ in 0..WITHIN + 10 * SETTLE {
            self.step += 1;
            self.quiet()?;
            self.compare_holdings();
        }
        self.figures.rollbacks_open =
            self.chronicle.rollbacks().iter().filter(|rollback| !rollback.finished()).count() as u64;
        self.keep_all()?;
        for number in 0..self.proxies.len() {
            while !self.proxies[number].on_the_way.is_empty() || self.proxies[number].wants_all {
                self.deliver(number);
            }
        }
        let number = self.told.id().number;
        let rebuilt = self.chronicle.history().rebuild(number);
        let lags = |proxy: &Proxy| Some(&proxy.held) != rebuilt.as_ref();
        // A delta that was lost shows at the next one; the last one may have no next.
        for number in 0..self.proxies.len() {
            if lags(&self.proxies[number]) {
                self.proxies[number].wants_all = true;
                self.deliver(number);
            }
        }
        self.figures.mismatches += self.proxies.iter().filter(|proxy| lags(proxy)).count() as u64;
        Ok(())
    }

    fn failed(&self) -> bool {
        let figures = &self.figures;
        let broken =
            [figures.mismatches, figures.owner_order_breaks, figures.rollbacks_open, figures.lost_versions];
        broken.iter().any(|count| *count > 0)
    }
}

/// Opens the file, however often the disk refuses.
fn open(path: &Path, figures: &mut Figures) -> Result<(HistoryFile, History, Vec<Rollback>), BookError> {
    for _ in 0..REFUSALS_MOST {
        match HistoryFile::open(path, LIMITS) {
            Err(error) if error.may_pass() => figures.refused_by_disk += 1,
            opened => return opened,
        }
    }
    HistoryFile::open(path, LIMITS)
}

fn keeper(slices: usize) -> Keeper {
    let mut keeper = Keeper::new(slices, vec![false, true], 0);
    (0..SERVERS).for_each(|number| keeper.know(server(number)));
    keeper
}

fn size(set: &TableSet) -> u64 {
    set.values()
        .map(|t| 48 + t.owner.as_ref().map_or(0, |o| o.len() as u64) + 8 * t.shares.len() as u64)
        .sum()
}

fn bytes(delta: &Delta) -> u64 {
    32 + size(&delta.changed) + 8 * delta.removed.len() as u64
}

fn play(args: &SoakArgs, steps: u64) -> Result<(Figures, bool), Box<dyn std::error::Error>> {
    let folder = tempfile::tempdir()?;
    let path = folder.path().join("history.redb");
    let mut soak = Soak::new(args, &path)?;
    for _ in 0..steps {
        soak.one()?;
        if soak.failed() {
            break;
        }
    }
    soak.settle()?;
    let failed = soak.failed();
    Ok((soak.figures, failed))
}

pub fn run(args: &SoakArgs) -> Result<(), Failed> {
    if args.proxies == 0 || args.slices == 0 || args.steps == 0 {
        return Err(Failed::Usage("steps, proxies and slices over 0 are expected".into()));
    }
    let failed = |error: Box<dyn std::error::Error>| Failed::Running(error.to_string());
    let (figures, broken) = play(args, args.steps).map_err(failed)?;
    if !args.json {
        println!("{} steps, {} versions, {} crashes", figures.steps, figures.versions, figures.crashes);
    }
    println!("{}", serde_json::to_string(&figures).map_err(|error| Failed::Running(error.to_string()))?);
    if broken {
        // Play stops at the first break, so its steps are the shortest prefix that shows it.
        return Err(Failed::Running(format!(
            "seed {} fails; shortest failing prefix: {} steps",
            args.seed, figures.steps
        )));
    }
    Ok(())
}
