//! The assigner without threads: what happened in, what is to be done out. No I/O, no clock.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;

use whinhill::interface::{
    Entry, Ep, Event, Health, ListKind, Listed, LoadReport, Order, Probe, ProxyId, SettingsError, SliceId,
};
use whinhill_reports::{Hearing, Intake, Ledger, Shown};
use whinhill_store::Told;
use whinhill_tables::rollback::{Fleet, Rollback, Standing};
use whinhill_tables::{History, Keeper, PendingGrant, ServerName, TableSet};
use whinhill_xds::mapping::Service;
use whinhill_xds::proto;

use crate::ask::{Answer, Ask, ReportsAnswer, ReportsLine};
use crate::chronicle::{Batch, Chronicle, Numbered};
use crate::config::AssignerConfig;
use crate::names::Names;
use crate::reports::{event, read_report};
use crate::roster::{RosterEntry, RosterState};

/// One thing that happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// The whole list of servers, the kind it is, and the wall clock when it was read.
    Roster {
        kind: ListKind,
        entries: Vec<RosterEntry>,
        unix_ms: u64,
    },
    /// The list that was told last still stands: its source was read, or answers, and has nothing new.
    RosterIsCurrent,
    Joined {
        proxy: String,
        zone: String,
        stream: u64,
    },
    Left {
        proxy: String,
        stream: u64,
    },
    Acked {
        proxy: String,
        stream: u64,
        mark: u16,
    },
    Report {
        proxy: String,
        zone: String,
        report: proto::LoadStatsRequest,
    },
    /// A stream of reports opened, and ended: who has one is expected to report.
    Reporting {
        proxy: String,
        zone: String,
    },
    NoLongerReporting {
        proxy: String,
    },
    Probed {
        server: ServerName,
        result: Probe,
        load: LoadReport,
    },
    Custody {
        told: Vec<Told>,
    },
    /// The store holds a grant.
    Granted {
        grant: PendingGrant,
    },
    /// The file holds every page up to that number.
    Kept {
        seq: u64,
    },
    /// An operator asks; the answer carries the same number.
    Asked {
        id: u64,
        ask: Ask,
    },
}

/// What is to be done, in this order: tables into the cache, removals told at once, changes and the mark to the
/// channel, grants to the store.
#[derive(Debug, Default)]
pub struct Effects {
    /// Slices whose table is another now.
    pub changed: BTreeSet<SliceId>,
    /// Slices that are ours now, and ours no longer.
    pub given: BTreeSet<SliceId>,
    pub taken: BTreeSet<SliceId>,
    /// Stops of writes and lines taken away are among the changes.
    pub safety: bool,
    pub mark: Option<u16>,
    /// Lines that the changes cost in each proxy's message.
    pub lines: u32,
    pub grants: Vec<PendingGrant>,
    pub probes: Vec<ServerName>,
    pub left: Vec<ProxyId>,
    /// Proxies that are to report this often from now on.
    pub paces: Vec<(ProxyId, Duration)>,
    pub ask_roster: bool,
    /// What our own file must take.
    pub page: Option<Numbered>,
    /// Answers to operators, each to be given once the page of that number is kept.
    pub answers: Vec<(u64, u64, Answer)>,
    pub log: Vec<String>,
}

pub struct Core {
    module: whinhill::Assigner,
    names: Names,
    keeper: Keeper,
    intake: Intake,
    service: Arc<Service>,
    /// The stream of each proxy that has joined.
    joined: BTreeMap<ProxyId, u64>,
    wake: Duration,
    /// When each mark that may still be answered was ordered.
    marks: BTreeMap<u16, Duration>,
    /// Who has yet to answer the newest mark that is followed to its end.
    followed: Option<(u16, Duration, BTreeSet<ProxyId>)>,
    answers: Histogram<u64>,
    rounds: Histogram<u64>,
    skips_the_wait: bool,
    started: bool,
    /// What came before the first list: the module is told of it with that list.
    early: Vec<Event>,
    moves: u64,
    /// How often proxies that are not to report at the ordinary pace were told to.
    paces: BTreeMap<ProxyId, Duration>,
    /// Too little is heard for anything to be decided on.
    blind: bool,
    chronicle: Chronicle,
    withheld_most: Duration,
    unix_ms: u64,
    asked: Vec<(u64, Ask)>,
}

/// What the module knows of servers, for rollbacks.
struct Eyes<'a> {
    module: &'a whinhill::Assigner,
    names: &'a Names,
}

impl Fleet for Eyes<'_> {
    fn standing(&self, server: &str) -> Standing {
        match self.names.known(server).map(|index| self.module.health(index)) {
            None => Standing::Unknown,
            Some(Health::Ready) => Standing::Ready,
            Some(Health::Cold) => Standing::Cold,
            Some(Health::Sick) => Standing::Sick,
            Some(Health::Draining) => Standing::Draining,
            Some(Health::Gone) => Standing::Gone,
        }
    }

    fn moving(&self, slice: SliceId) -> bool {
        self.module.moving(slice)
    }
}

impl Core {
    pub fn new(config: &AssignerConfig, seed: u64) -> Result<Self, SettingsError> {
        let service = Arc::new(config.service.service());
        let writes = service.methods.iter().map(|method| method.writes).collect();
        Ok(Core {
            module: whinhill::Assigner::new(&config.settings(), seed)?,
            names: Names::new(&config.zones),
            keeper: Keeper::new(service.slices, writes, config.service.tries),
            intake: Intake::new(
                whinhill_reports::Limits {
                    period: Duration::from_millis(config.report_period_ms),
                    lines_per_s: config.report_lines_per_s,
                    ..whinhill_reports::Limits::default()
                },
                seed,
            ),
            paces: BTreeMap::new(),
            blind: false,
            service,
            joined: BTreeMap::new(),
            wake: Duration::ZERO,
            marks: BTreeMap::new(),
            followed: None,
            answers: ways(),
            rounds: ways(),
            skips_the_wait: config.sabotage.skips_the_wait,
            started: false,
            early: Vec::new(),
            moves: 0,
            chronicle: Chronicle::new(
                History::new(config.history.limits(), 0, TableSet::new()),
                Vec::new(),
                withheld_most(config),
                Duration::ZERO,
                0,
            ),
            withheld_most: withheld_most(config),
            unix_ms: 0,
            asked: Vec::new(),
        })
    }

    /// Takes up the history and the rollbacks that the file held.
    pub fn restore(&mut self, history: History, rollbacks: Vec<Rollback>, now: Duration, unix_ms: u64) {
        self.chronicle = Chronicle::new(history, rollbacks, self.withheld_most, now, unix_ms);
    }

    /// The time by the wall, for those who read the history.
    pub fn set_wall(&mut self, unix_ms: u64) {
        self.unix_ms = unix_ms;
    }

    pub fn chronicle(&self) -> &Chronicle {
        &self.chronicle
    }

    pub fn service(&self) -> &Arc<Service> {
        &self.service
    }

    pub fn keeper(&self) -> &Keeper {
        &self.keeper
    }

    pub fn joined(&self) -> &BTreeMap<ProxyId, u64> {
        &self.joined
    }

    /// Grants ordered since the start.
    pub fn moves(&self) -> u64 {
        self.moves
    }

    /// Figures of reports that could not be made out.
    pub fn strange(&self) -> u64 {
        self.intake.ledger().strange
    }

    /// When to call [`Core::handle`] next even if nothing happens.
    pub fn wake(&self) -> Duration {
        self.chronicle.next_overdue().map_or(self.wake, |overdue| overdue.min(self.wake))
    }

    /// The id of a proxy by its name.
    pub fn proxy(&mut self, name: &str) -> ProxyId {
        self.names.proxy(name)
    }

    pub fn proxy_name(&self, id: ProxyId) -> &str {
        self.names.proxy_name(id)
    }

    /// Takes all that happened by `now` and says what is to be done.
    pub fn handle(&mut self, now: Duration, inputs: Vec<Input>) -> Effects {
        let mut effects = Effects::default();
        let mut granted = BTreeSet::new();
        let mut events = std::mem::take(&mut self.early);
        for input in inputs {
            self.take(now, input, &mut events, &mut effects, &mut granted);
        }
        let overdue = self.chronicle.overdue(now);
        let told = overdue.len();
        effects.lines += told as u32;
        effects.changed.extend(overdue);
        self.decide(now, events, &mut effects);
        self.remember(now, granted, &mut effects);
        if told > 0 {
            effects.log.push(format!("{told} owners are told before the history has them"));
        }
        effects
    }

    /// Puts what changed into the history, holds back what must be kept first, and answers operators.
    fn remember(&mut self, now: Duration, granted: BTreeSet<SliceId>, effects: &mut Effects) {
        let mut touched: BTreeSet<SliceId> = granted.clone();
        for of in [&effects.changed, &effects.given, &effects.taken] {
            touched.extend(of);
        }
        // Before anyone is asked to keep it: who wished for a grant shows only until the next look.
        let published = self.keeper.published();
        let (unix_ms, cause) = (self.unix_ms, effects.log.first().cloned());
        self.chronicle.record(Batch { now, unix_ms, published, touched, granted, cause });
        let eyes = Eyes { module: &self.module, names: &self.names };
        for (id, ask) in std::mem::take(&mut self.asked) {
            // Only what an order changed must be kept before it is answered: a full disk hides no history.
            let orders = matches!(ask, Ask::Rollback { dry_run: false, .. } | Ask::PinGood { .. });
            let answer = match ask {
                Ask::Reports => self.reports(now),
                ask => crate::answers::answer(&mut self.chronicle, published, &eyes, now, ask),
            };
            let after = if orders { self.chronicle.seq() } else { 0 };
            effects.answers.push((id, after, answer));
        }
        let chronicle = &self.chronicle;
        effects.changed.retain(|slice| !chronicle.holds_back(*slice));
        effects.page = self.chronicle.take_page();
    }

    fn decide(&mut self, now: Duration, mut events: Vec<Event>, effects: &mut Effects) {
        let names = &self.names;
        let ep = |index: usize| {
            let stable = names.server(index).map_or(0, |name| xxhash_rust::xxh3::xxh3_64(name.as_bytes()));
            Ep { index, stable }
        };
        if self.started {
            let given = self.intake.give(now);
            events.extend(given.iter().map(|given| event(given, ep)));
            let blind = self.intake.blind();
            if blind != std::mem::replace(&mut self.blind, blind) {
                effects.log.push(reports_mode(blind, self.intake.shown()));
            }
        }
        if now >= self.wake {
            events.push(Event::Timer);
        }
        if !self.started {
            events.retain(|event| *event != Event::Timer);
            self.early = events;
            return;
        }
        let eyes = Eyes { module: &self.module, names };
        let (wishes, ended) = self.chronicle.look(now, self.keeper.published(), &eyes);
        effects.log.extend(ended);
        for (slice, server) in wishes {
            events.push(Event::Wished { slice, to: self.names.ep(&server) });
        }
        if events.is_empty() {
            return;
        }
        let orders = self.module.handle(now, &events);
        self.carry_out(now, &orders, effects);
    }

    fn take(
        &mut self,
        now: Duration,
        input: Input,
        events: &mut Vec<Event>,
        effects: &mut Effects,
        granted: &mut BTreeSet<SliceId>,
    ) {
        match input {
            Input::Roster { kind, entries, unix_ms } => {
                self.started = true;
                let entry = |entry: RosterEntry| self.entry(now, entry, unix_ms);
                let entries = entries.into_iter().map(entry).collect();
                if matches!(kind, ListKind::Full | ListKind::Changes) {
                    self.names.list_is_current(now);
                }
                events.push(Event::List { kind, entries });
            }
            Input::RosterIsCurrent => self.names.list_is_current(now),
            Input::Joined { proxy, zone, stream } => {
                let (id, zone) = (self.names.proxy(&proxy), self.names.zone(&zone));
                if self.joined.insert(id, stream).is_some() {
                    events.push(Event::Left { proxy: id });
                    effects.left.push(id);
                }
                events.push(Event::Joined { proxy: id, zone });
            }
            // The end of a stream that another one has replaced says nothing.
            Input::Left { proxy, stream } => {
                let id = self.names.proxy(&proxy);
                if self.joined.get(&id) == Some(&stream) {
                    self.joined.remove(&id);
                    self.follow(id, None);
                    effects.left.push(id);
                    events.push(Event::Left { proxy: id });
                }
            }
            Input::Acked { proxy, stream, mark } => {
                let id = self.names.proxy(&proxy);
                if let (Some(ordered), true) = (self.marks.get(&mark), self.joined.get(&id) == Some(&stream))
                {
                    let way = now.saturating_sub(*ordered);
                    events.push(Event::Acked { proxy: id, mark, way });
                    self.answers.saturating_record(way.as_micros() as u64);
                    self.follow(id, Some((mark, now)));
                }
            }
            Input::Report { proxy, zone, report } => {
                let (id, zone) = (self.names.proxy(&proxy), self.names.zone(&zone));
                let told = read_report(id, zone, &report, &self.service, &self.names);
                self.intake.take(now, told);
                let pace = self.intake.interval(id);
                // What it was told last stands over its streams: the hub tells it again on each new one.
                let before = self.paces.insert(id, pace).unwrap_or(self.intake.period());
                if before != pace {
                    effects.paces.push((id, pace));
                }
            }
            Input::Reporting { proxy, zone } => {
                let (id, zone) = (self.names.proxy(&proxy), self.names.zone(&zone));
                self.intake.opened(now, id, zone);
            }
            Input::NoLongerReporting { proxy } => {
                let id = self.names.proxy(&proxy);
                self.intake.closed(now, id);
            }
            Input::Probed { server, result, load } => {
                events.push(Event::Probed { ep: self.names.ep(&server), result, load });
            }
            Input::Custody { told } => {
                for one in told {
                    self.custody(one, events, effects);
                }
            }
            Input::Granted { grant } => {
                let changed = self.keeper.granted(&grant);
                effects.log.extend(changed.faults.iter().map(|fault| format!("not published: {fault}")));
                granted.extend(changed.slices);
            }
            Input::Kept { seq } => {
                let told = self.chronicle.kept(seq);
                effects.lines += told.len() as u32;
                effects.changed.extend(told);
            }
            Input::Asked { id, ask } => self.asked.push((id, ask)),
        }
    }

    /// Where the tries that were told went, how many wait, and what staff can look at.
    pub fn load(&self) -> (&Ledger, u64, &Shown) {
        (self.intake.ledger(), self.intake.waiting(), self.intake.shown())
    }

    /// What is known of load, and by whom.
    fn reports(&self, now: Duration) -> Answer {
        let (ledger, shown) = (*self.intake.ledger(), *self.intake.shown());
        let line = |(id, hearing, late, rate): (ProxyId, Hearing, Duration, Option<f64>)| ReportsLine {
            proxy: self.names.proxy_name(id).to_string(),
            hearing: hearing.name().to_string(),
            late_ms: late.as_millis() as u64,
            tries_per_s: rate.unwrap_or(0.0),
        };
        Answer::Reports(Box::new(ReportsAnswer {
            reports: ledger.reports,
            offered: ledger.offered,
            given: ledger.given,
            waiting: self.intake.waiting(),
            late: ledger.late,
            repeated: ledger.repeated,
            doubted: ledger.doubted,
            foreign: ledger.foreign,
            strange: ledger.strange,
            mended: ledger.mended,
            thinned: ledger.thinned,
            conserved: ledger.conserved(self.intake.waiting()),
            lines_ready: shown.ready,
            lines_given: shown.given,
            lines_unsure: shown.unsure,
            error_most: shown.error_most,
            heard: shown.heard,
            blind: self.blind,
            lag_ms_middle: shown.lag_middle.as_millis() as u64,
            lag_ms_most: shown.lag_most.as_millis() as u64,
            proxies: self.intake.proxies(now).into_iter().map(line).collect(),
        }))
    }

    /// A proxy answered a mark, or left: for the measure of how long a mark takes until the last has answered.
    fn follow(&mut self, proxy: ProxyId, answered: Option<(u16, Duration)>) {
        let Some((mark, ordered, awaited)) = &mut self.followed else { return };
        // Marks wrap; one that is not behind the followed one stands for it.
        if answered.is_some_and(|(other, _)| other.wrapping_sub(*mark) > u16::MAX / 2) {
            return;
        }
        awaited.remove(&proxy);
        if awaited.is_empty() {
            if let Some((_, now)) = answered {
                self.rounds.saturating_record(now.saturating_sub(*ordered).as_micros() as u64);
            }
            self.followed = None;
        }
    }

    /// From an order to its answer by one proxy, and by the last of all, in microseconds.
    pub fn ways(&self) -> (&Histogram<u64>, &Histogram<u64>) {
        (&self.answers, &self.rounds)
    }

    fn entry(&mut self, now: Duration, entry: RosterEntry, unix_ms: u64) -> Entry {
        let server: ServerName = entry.addr.to_string().into();
        self.keeper.know(server.clone());
        Entry {
            ep: self.names.ep(&server),
            zone: self.names.zone(&entry.zone),
            listed: match entry.state {
                RosterState::Ready => Listed::Ready,
                RosterState::Draining => Listed::Draining,
            },
            size: entry.size,
            started: self.names.started(&server, entry.started_unix_ms, unix_ms, now),
        }
    }

    fn custody(&mut self, told: Told, events: &mut Vec<Event>, effects: &mut Effects) {
        match told {
            Told::Given { slice, epoch, owner } => {
                let owner: Option<ServerName> = owner.map(Into::into);
                self.keeper.give(slice, epoch, owner.clone());
                events.push(Event::Given { slice });
                if let Some(owner) = owner {
                    events.push(Event::Stored { slice, ep: self.names.ep(&owner) });
                }
                effects.taken.remove(&slice);
                effects.given.insert(slice);
            }
            Told::Taken { slice } => {
                self.keeper.take(slice);
                self.intake.drop_slice(slice);
                events.push(Event::Taken { slice });
                effects.given.remove(&slice);
                effects.changed.remove(&slice);
                effects.taken.insert(slice);
            }
        }
    }

    /// Ends at once, in tables, who drains and has been replaced. The module's grant takes its line away as it is
    /// told, but waits for the store and our file here: reads went on past the grace while a disk stalled.
    fn end_leaving_owners(&mut self, orders: &[Order], effects: &mut Effects) {
        let (names, module, published) = (&mut self.names, &self.module, self.keeper.published());
        let ends = orders.iter().filter_map(|order| {
            let Order::Grant { slice, .. } = order else { return None };
            let ep = names.ep(published.get(slice)?.owner.as_ref()?);
            let leaves = matches!(module.health(ep.index), Health::Draining | Health::Gone);
            leaves.then_some(Order::Revoke { slice: *slice, ep })
        });
        let ends: Vec<Order> = ends.collect();
        if ends.is_empty() {
            return;
        }
        let ended = self.keeper.apply(&ends, |_| None);
        effects.log.extend(ended.faults.iter().map(|fault| format!("not published: {fault}")));
        effects.lines += ended.slices.len() as u32;
        effects.safety |= ended.safety;
        effects.changed.extend(ended.slices);
    }

    fn carry_out(&mut self, now: Duration, orders: &[Order], effects: &mut Effects) {
        self.end_leaving_owners(orders, effects);
        let names = &self.names;
        let changed = self.keeper.apply(orders, |index| names.server(index));
        effects.log.extend(changed.faults.iter().map(|fault| format!("not published: {fault}")));
        effects.changed.extend(changed.slices);
        effects.safety |= changed.safety;
        self.moves += changed.grants.len() as u64;
        effects.grants.extend(changed.grants);
        for order in orders {
            match order {
                Order::Mark { mark } => {
                    self.marks.insert(*mark, now);
                    if self.followed.is_none() {
                        self.followed = Some((*mark, now, self.joined.keys().copied().collect()));
                    }
                    effects.mark = Some(*mark);
                    // Marks far behind are answered by nobody any more.
                    let old = mark.wrapping_sub(30_000);
                    self.marks.remove(&old);
                }
                Order::Watch | Order::Fetch => effects.ask_roster = true,
                Order::Probe { ep } => effects.probes.extend(names.server(ep.index)),
                Order::Wake { after } => self.wake = now + *after,
                Order::Log { text } => effects.log.push(name_servers(text, names)),
                Order::Grant { .. } | Order::Revoke { .. } | Order::Level { .. } => {}
            }
            // A grant's line is paid when it leaves, once the store holds it.
            let costs = order.costs_a_line() && !matches!(order, Order::Grant { .. });
            effects.lines += u32::from(costs);
        }
        if let (Some(mark), true) = (effects.mark, self.skips_the_wait) {
            let acks: Vec<Event> = self
                .joined
                .keys()
                .map(|proxy| Event::Acked { proxy: *proxy, mark, way: Duration::ZERO })
                .collect();
            let more = self.module.handle(now, &acks);
            self.skips_the_wait = false;
            self.carry_out(now, &more, effects);
            self.skips_the_wait = true;
        }
    }
}

/// Up to a minute in microseconds, to two digits.
fn ways() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 2).unwrap_or_else(|_| unreachable!("the bounds are constants"))
}

/// The line for a change of what is known of load.
fn reports_mode(blind: bool, shown: &Shown) -> String {
    let [heard, quiet, silent, cut] = shown.proxies;
    let state = if blind { "too little is heard: nothing is decided on it" } else { "enough is heard again" };
    format!(
        "load reports: {state}; {:.0}% of the expected load, {heard} proxies heard, {quiet} quiet, {silent} silent, {cut} cut",
        shown.heard * 100.0
    )
}

/// The module names servers by number, in the order in which it met them; staff know them by address.
fn name_servers(text: &str, names: &Names) -> String {
    let Some(rest) = text.strip_prefix("server ") else { return text.to_string() };
    let (number, rest) = rest.split_once(' ').unwrap_or((rest, ""));
    match number.parse().ok().and_then(|index| names.server(index)) {
        Some(name) => format!("server {name} {rest}"),
        None => text.to_string(),
    }
}

/// How long an owner waits for the file that is to keep it: a small part of the time that a proxy may be without one.
fn withheld_most(config: &AssignerConfig) -> Duration {
    const PART: u64 = 10;
    Duration::from_millis(config.rules.empty_ms / PART)
}

#[cfg(test)]
mod tests;
