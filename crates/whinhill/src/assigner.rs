//! Every decision of the control plane. [`Assigner::handle`] is the one entry point: it takes all that
//! happened at one time and returns what is to be done, in order; one call's orders become one message
//! for each proxy. The types stand in `interface.rs`, the reasons and the sources in `docs/design.md`.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::interface::*;
use crate::settings::{Admission, Config};
use crate::state::{middle, Channel, Following, Handover, Move, Plan, Proxy, Server, Slice, Sum, View};

// Tuned values: unit, reason, and what goes wrong with another.
/// Share of capacity above which a server is hot (design page). Higher: waiting starts before we act.
const THRESHOLD: f64 = 0.8;
/// Leveling starts this far above or below the average (design page). Lower: moves that don't pay.
const SKEW: f64 = 0.5;
/// Rounds in a row that skew must last (design page). Fewer: moves after noise; more: hot slices stay.
const SKEW_ROUNDS: u32 = 3;
/// Leveling's targets, times the average load (design page).
const TARGETS: [f64; 3] = [1.1, 1.3, 1.5];
/// Hashed candidates beside the owner (design page). More: better fits, but caches go cold farther afield.
const CANDIDATES: usize = 2;
/// How long a moved slice stays (design page). Shorter: slices swing; longer: errors stay.
const STAY: Duration = Duration::from_secs(20);
/// The first wait after a failed call for the list; it doubles. Shorter: the list's service stays jammed.
const ASK_AGAIN: Duration = Duration::from_millis(500);
/// Part of an average slice that an idle one counts for on a cold server. Less: idle slices crowd there.
const CROWD: f64 = 0.6;
/// Longest ways of a message kept for taking a drained line away. Fewer: a filled channel breaks the grace.
const DRAIN_WAYS: f64 = 1.75;
/// Part of its room that a cold server offers (design page). More: it is pushed over.
const NEW_OFFERS: f64 = 0.5;
/// Times the free time of an answer from which answers wait. Lower: moves after noise.
const WAITING: f64 = 3.0;
/// Times the middle of its peers' times of service from which a server is slow, whatever its own usual one.
/// Lower: slow kinds of machine lose slices for nothing; higher: a server that ages is found late.
const SLOWER: f64 = 1.5;
/// How often handovers, drains and calls under way are looked at. Longer: slices stay without an owner.
const TICK: Duration = Duration::from_millis(50);
/// Parts of a period by which reports start its work early, and after which it starts alone. Else: acts late.
const PERIOD: (f64, f64) = (0.35, 1.25);
/// Demand, against a server's average, that counts at the fleet's usual cost. Less: costs follow noise.
const PAD: f64 = 0.3;
/// Load that the average server is taken to have where servers don't report how busy they are.
const USUAL: f64 = 0.5;
/// Least part of tries served that a cold server's load is reckoned with where no capacity is learned.
/// Lower: cold servers idle where answers are lost; higher: they are pushed over after a return.
const PRESSED: f64 = 0.2;
/// Share of tries lost, and times the others' share, that make a server sick. Lower: healthy ones go.
const SICK: (f64, f64) = (0.3, 3.0);
/// Tries (or RPCs expected) below which nothing is said about a server.
const ENOUGH: f64 = 6.0;
/// Slices that a server never seen to serve may hold. More: a false list takes them; fewer: releases wait.
const UNPROVEN: f64 = 4.0;
/// How long a sick server is left alone. Shorter: slices go back to a server still sick.
const SICK_FOR: Duration = Duration::from_secs(8);
/// Most of the ready servers that may be held sick at a time. Higher: the rest fall over.
const SICK_MOST: f64 = 0.5;
/// A cold server's budget: part of what topples it, most of its capacity, and a power of our share of slices
/// (others give it some unseen). More: it topples; less: it idles while warm ones are full.
const COLD: (f64, f64, f64) = (0.35, 1.3, 1.5);
/// Parts of the backlog under which plans go out; and under which departures from sick or cold owners (levels
/// to the start too), grants and drains start, and stop. Higher: no room for safety; lower: moves trickle.
const PLAN_ROOM: f64 = 0.25;
const LEAVE_ROOM: (f64, f64) = (0.3, 0.6);
const GRANT_ROOM: (f64, f64) = (0.3, 0.5);
const DRAIN_ROOM: (f64, f64) = (0.8, 0.9);
/// Heads that fit between where drains start and stop, at least. Fewer: the channel carries little but heads.
const HEADS: f64 = 4.0;
/// The channel may run this many times slower than stated, and as often again while an answer is overdue.
/// Lower: the queue's rule is at risk; higher: where answers are lost it stays shut for long.
const SLOW_CHANNEL: f64 = 4.0;
/// Mean wait, as a part of the soft deadline, at which a server counts as overloaded.
const LATE: f64 = 0.4;
/// What an overloaded server is let, times what it did; and how that grows in a period without lateness.
const LIMIT_STEP: (f64, f64) = (0.9, 1.06);

pub struct Assigner {
    cfg: Config,
    rng: ChaCha8Rng,
    now: Duration,
    servers: Vec<Server>,
    proxies: BTreeMap<ProxyId, Proxy>,
    slices: Vec<Slice>,
    orders: Vec<Vec<usize>>,
    /// RPCs that came for our slices, by method.
    came: Vec<Sum>,
    /// The usual stretch of a report, in which measures halve.
    half: Duration,
    /// Time of service in seconds from which a server counts as slow against its peers.
    slow: f64,
    next_period: Duration,
    list: Following,
    plan: Plan,
    channel: Channel,
    out: Vec<Order>,
}

impl Assigner {
    pub fn new(settings: &Settings, seed: u64) -> Result<Self, SettingsError> {
        let cfg = Config::read(settings)?;
        Ok(Assigner {
            slices: vec![Slice::default(); settings.get("familyInfo.shards")?],
            orders: vec![Vec::new(); settings.get("familyInfo.shards")?],
            came: vec![Sum::default(); cfg.methods.len()],
            half: cfg.period,
            cfg,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::ZERO,
            servers: Vec::new(),
            proxies: BTreeMap::new(),
            slow: f64::MAX,
            next_period: Duration::ZERO,
            list: Following::default(),
            plan: Plan::default(),
            channel: Channel::default(),
            out: Vec::new(),
        })
    }

    /// Takes all that happened at `now` and returns the orders, safety first.
    pub fn handle(&mut self, now: Duration, events: &[Event]) -> Vec<Order> {
        self.now = now;
        // Where more is told than the feed carries, reports come late, each for a longer stretch.
        let spans: Vec<Duration> = events.iter().filter_map(Event::span).collect();
        let told = !spans.is_empty() && now + self.cfg.period.mul_f64(PERIOD.0) >= self.next_period;
        let usual = (spans.len() > self.ready().count()).then(|| middle(spans)).flatten();
        self.half = usual.map_or(self.half, |usual| usual.max(self.cfg.period));
        events.iter().for_each(|event| self.take(event));
        if self.orders.first().is_some_and(|order| order.len() < self.servers.len()) {
            self.rank();
        }
        // Asks for changes of the list after a failure, and when nothing has come for long.
        if self.list.ask_at.is_some_and(|at| now >= at) {
            self.out.extend(self.cfg.watch.then_some(Order::Watch));
            self.list.ask_at = Some(now + self.cfg.must_ask / 2);
        }
        let period = told || now >= self.next_period;
        if period {
            self.next_period = now + self.cfg.period.mul_f64(PERIOD.1);
            self.judge();
            self.make_plan();
            let probed = self.servers.iter().filter(|s| self.cfg.probes && s.listed == Listed::Ready);
            self.out.extend(probed.map(|s| Order::Probe { ep: s.ep }));
        }
        if now >= self.channel.wake && self.has_room(0.5) {
            self.tell_joined();
        }
        self.evacuate();
        self.advance();
        self.run_batches();
        let draws = period || self.out.iter().any(|order| matches!(order, Order::Grant { .. }));
        if draws && self.cfg.admission == Admission::Share {
            self.draw_lines();
        }
        self.order_levels(period);
        self.close()
    }

    fn take(&mut self, event: &Event) {
        let (now, half) = (self.now, self.half);
        match event {
            Event::List { kind, entries } => self.take_list(*kind, entries),
            Event::Met { ep, tries, lost, wait, load, span, .. } => {
                self.server(*ep).meet(now, half, (*tries, *lost), *wait, *span);
                self.take_load(*ep, load);
            }
            Event::Demand { slice, method, rpcs, span, .. } => {
                let work = self.work(*method) * *rpcs as f64;
                self.came[*method].add(now, half, *rpcs as f64, *span);
                self.slices[*slice].demand.add(now, half, work, *span);
            }
            Event::Probed { ep, result, load } => {
                let server = self.server(*ep);
                if *result != Probe::PushedBack {
                    server.unanswered = if *result == Probe::Unanswered { server.unanswered + 1 } else { 0 };
                    server.proven |= *result == Probe::Ok;
                }
                self.take_load(*ep, load);
            }
            Event::Joined { proxy, zone } => self.join(*proxy, *zone),
            Event::Left { proxy } => {
                let zone = self.proxies.get(proxy).map_or(usize::MAX, |p| p.zone);
                self.proxies.insert(*proxy, Proxy { zone, joined: false, since: self.now });
                for handover in self.slices.iter_mut().filter_map(|s| s.handover.as_mut()) {
                    if handover.awaits.get(proxy).is_some_and(Option::is_some) {
                        handover.awaits.remove(proxy);
                        handover.quiet = handover.quiet.max(self.now + self.cfg.lease);
                    }
                }
            }
            Event::Acked { proxy, mark, way } => self.acked(*proxy, *mark, *way),
            Event::Given { slice } => {
                let joined = self.proxies.iter().filter(|(_, p)| p.joined && self.cfg.guarded);
                let awaits = joined.map(|(id, _)| (*id, Some(u64::MAX))).collect();
                // Its line may still be told.
                let line = self.now + self.cfg.way_most;
                let quiet = if self.cfg.guarded { self.unheard_until(self.now) } else { line };
                self.slices[*slice] = Slice {
                    ours: true,
                    given: self.now,
                    handover: Some(Handover { awaits, ordered: self.now, quiet, cut: true, to: None }),
                    stays: self.now + self.cfg.lease + self.cfg.settle,
                    told: vec![1.0; self.cfg.methods.len()],
                    ..Slice::default()
                };
            }
            Event::Taken { slice } => self.slices[*slice] = Slice::default(),
            Event::Stored { slice, ep } => {
                // What we heard of an owner before its slice was ours says little: it is judged afresh.
                let first = self.now + self.cfg.way_most + self.half;
                let server = self.server(*ep);
                (server.proven, server.sick, server.last_ok) = (true, None, server.last_ok.max(first));
                let owner = Some(server.ep.index);
                (self.slices[*slice].owner, self.slices[*slice].handover) = (owner, None);
            }
            Event::Wished { slice, to } => {
                let to = self.server(*to).ep.index;
                self.plan.wishes.insert(*slice, to);
            }
            Event::Timer => {}
        }
    }

    // 1. List and health.

    fn server(&mut self, ep: Ep) -> &mut Server {
        self.servers.resize_with(self.servers.len().max(ep.index + 1), Server::default);
        let server = &mut self.servers[ep.index];
        if server.ep.stable != ep.stable {
            // An index that was let go is another server's now: nothing of the former may be believed of it.
            *server = Server { ep, ..Server::default() };
            self.orders.iter_mut().for_each(Vec::clear);
        }
        server
    }

    /// Sorts the servers in each slice's hash order, alike at every assigner.
    fn rank(&mut self) {
        for (id, order) in self.orders.iter_mut().enumerate() {
            *order = (0..self.servers.len()).collect();
            order.sort_by_cached_key(|i| Reverse(self.servers[*i].ep.weight(id)));
        }
    }

    /// Listed ready and seen to serve: a list may name servers that don't exist.
    fn ready(&self) -> impl Iterator<Item = &Server> {
        self.servers.iter().filter(|s| s.listed == Listed::Ready && s.proven)
    }

    fn take_list(&mut self, kind: ListKind, entries: &[Entry]) {
        let (now, advice, mut restarted) = (self.now, self.cfg.gone_is_advice, false);
        if kind == ListKind::Failed {
            let back_off = ASK_AGAIN * 2u32.pow(self.list.failures.min(3));
            let back_off = back_off.mul_f64(self.rng.random_range(0.7..1.3)).min(self.cfg.must_ask / 2);
            (self.list.failures, self.list.ask_at) = (self.list.failures + 1, Some(now + back_off));
            return;
        }
        let stored = kind == ListKind::Stored;
        self.out.extend((stored && self.cfg.watch).then_some(Order::Watch));
        let ask_at = now + if stored { self.cfg.must_ask / 2 } else { self.cfg.must_ask * 2 };
        (self.list.failures, self.list.ask_at) = (0, Some(ask_at));
        let named: BTreeSet<usize> = entries.iter().map(|e| e.ep.index).collect();
        let absent = |s: &&Server| kind != ListKind::Changes && !named.contains(&s.ep.index);
        let gone: Vec<Entry> = self.servers.iter().filter(absent).map(Server::gone).collect();
        for entry in entries.iter().chain(&gone) {
            let server = self.server(entry.ep);
            if entry.listed == Listed::Ready && entry.started > server.started {
                let proven = server.proven;
                *server = Server { ep: entry.ep, started: entry.started, proven, ..Server::default() };
                restarted = true;
            }
            // A list may lie: where gone is advice, a server that serves stays until its answers end too.
            server.dropped = advice && entry.listed == Listed::Gone && server.listed == Listed::Ready;
            if entry.listed == Listed::Ready && server.listed == Listed::Gone {
                server.last_ok = now;
            } else if entry.listed != Listed::Ready && server.listed == Listed::Ready {
                server.told = now;
            }
            server.listed = if server.dropped { Listed::Ready } else { entry.listed };
            (server.zone, server.size) = (entry.zone, entry.size.max(1e-3));
        }
        // What a cold server owns must be cut to its budget at once.
        self.next_period = if restarted { now } else { self.next_period };
    }

    fn take_load(&mut self, ep: Ep, load: &LoadReport) {
        let (now, server) = (self.now, self.server(ep));
        let cpu = load.cpu.map(|cpu| (0.5 * cpu + 0.5 * server.cpu.map_or(cpu, |old| old.0), now));
        server.cpu = cpu.or(server.cpu);
        server.service = load.service.map(|service| service.as_secs_f64()).or(server.service);
    }

    /// Whether a zone's proxies have all left lately, or are just back: then the path is broken, and slices
    /// stay for as long as their move would take. Harm: if the servers died too, they leave so much later.
    fn cut_off(&self, zone: ZoneId) -> bool {
        let (gone, back) = (self.cfg.move_time, self.half * 2);
        let mut there = self.proxies.values().filter(|p| p.zone == zone).peekable();
        there.peek().is_some() && there.all(|p| self.now < p.since + if p.joined { back } else { gone })
    }

    /// Judges each server by several symptoms against its peers, and lets recovered ones back by steps.
    fn judge(&mut self) {
        let (now, half) = (self.now, self.half);
        let sum = |f: fn(&Server) -> &Sum| -> f64 { self.servers.iter().map(|s| f(s).read(now, half)).sum() };
        let (all_tries, all_lost) = (sum(|s| &s.tries), sum(|s| &s.lost));
        let heard = self.servers.iter().filter(|s| now < s.last_ok + self.half * 2).count();
        let ready = self.ready().count();
        // In a release many are slow that will not stay so, and moves only add to it.
        let calm = !self.servers.iter().any(|s| s.listed == Listed::Draining || self.ramp(s) < 1.0);
        let usual = middle(self.ready().filter(|_| calm).filter_map(|s| s.service).collect());
        self.slow = usual.map_or(f64::MAX, |usual| SLOWER * usual);
        let mut sick = self.ready().filter(|s| s.sick.is_some()).count();
        let expected = self.demand_by(&self.demand(), |s| s.owner.filter(|_| s.handover.is_none()));
        for (i, expected) in expected.into_iter().enumerate() {
            let cut_off = self.cut_off(self.servers[i].zone);
            let server = &mut self.servers[i];
            let wait = server.wait(now, half);
            server.base = wait.map(|w| server.base.map_or(w, |base| (base * 1.01).min(w))).or(server.base);
            let wait = wait.unwrap_or(0.0);
            let (late, slow) =
                (wait > LATE * self.cfg.mean_soft, wait > WAITING * server.base.unwrap_or(wait));
            let (tries, lost) = (server.tries.read(now, half), server.lost.read(now, half));
            let others = (all_lost - lost) / (all_tries - tries).max(1.0);
            let share = lost / tries.max(1.0);
            let silence = now.saturating_sub(server.last_ok);
            // Where ok answers wait, lost tries tell of too much load, which moves and levels answer.
            let loaded = (late || slow) && silence < self.half * 2;
            let aborts = tries >= ENOUGH && share > SICK.0.max(SICK.1 * others) && !loaded;
            let quiet = silence > self.half * 2 && heard * 2 > ready;
            let silent = quiet && expected * silence.as_secs_f64() > 2.0 * ENOUGH;
            let dead = server.unanswered >= 2 && silence > self.half;
            // Late or lost answers: it can do a little less than it did, and more while that binds in time.
            server.late = late || share > SICK.0 / 2.0 && slow;
            if server.late && tries >= ENOUGH && usable(server) && now >= server.limited + half * 3 {
                let served = server.oks.rate(now, half);
                let text = format!("server {i} limited to {served:.1}: wait {wait:.2} s, lost {share:.2}");
                self.out.extend(server.limit.is_none().then_some(Order::Log { text }));
                (server.limit, server.limited) = (Some(served * LIMIT_STEP.0), now);
            } else if !server.late && server.line > 0.0 {
                server.limit = server.limit.map(|limit| limit * LIMIT_STEP.1);
            }
            if server.dropped && (quiet || dead || aborts) && !cut_off {
                (server.listed, server.dropped, server.told) = (Listed::Gone, false, now);
            }
            let bad = !cut_off && (aborts || silent || dead);
            if usable(server) && bad && (sick + 1) as f64 <= SICK_MOST * ready as f64 {
                sick += 1;
                server.sick = Some(now + SICK_FOR);
                let losses = format!("lost {share:.2} of {tries:.0}, others {others:.2}");
                let text = format!("server {i} sick: {losses}, no ok for {silence:.1?}");
                self.out.push(Order::Log { text });
            } else if server.sick.is_some_and(|until| now >= until && server.unanswered == 0) {
                (server.sick, server.proven, server.last_ok) = (None, false, now);
                (server.tries, server.lost) = (Sum::default(), Sum::default());
                self.out.push(Order::Log { text: format!("server {i} back, to prove itself") });
            }
        }
    }

    // 2. Estimates. Measures halve in a report's usual stretch: longer finds trouble late, shorter is noise.

    /// Work of a method's RPC against the average: soft deadlines are the one hint at it.
    fn work(&self, method: MethodId) -> f64 {
        self.cfg.methods[method].soft.as_secs_f64() / self.cfg.mean_soft.max(1e-6)
    }

    /// Work that comes in a second, in average RPCs; for a slice not heard of yet, the others' mean.
    fn demand(&self) -> Vec<f64> {
        let heard = |s: &Slice| s.ours && self.now > s.given + self.half * 2;
        let rate = |s: &Slice| heard(s).then(|| s.demand.rate(self.now, self.half));
        let rates: Vec<Option<f64>> = self.slices.iter().map(rate).collect();
        let mean = rates.iter().flatten().sum::<f64>() / rates.iter().flatten().count().max(1) as f64;
        let or_mean = |(rate, s): (Option<f64>, &Slice)| rate.unwrap_or(if s.ours { mean } else { 0.0 });
        rates.into_iter().zip(&self.slices).map(or_mean).collect()
    }

    fn demand_by(&self, demand: &[f64], place: impl Fn(&Slice) -> Option<usize>) -> Vec<f64> {
        let mut sums = vec![0.0; self.servers.len()];
        let placed = self.slices.iter().zip(demand).filter_map(|(s, demand)| Some((place(s)?, demand)));
        placed.for_each(|(place, demand)| sums[place] += demand);
        sums
    }

    /// Our share of all slices.
    fn our_share(&self) -> f64 {
        self.slices.iter().filter(|s| s.ours).count() as f64 / self.slices.len().max(1) as f64
    }

    /// Present capacity as a part of the full one, at the slowest ramp that the rules allow.
    fn ramp(&self, server: &Server) -> f64 {
        let Some(started) = server.started else { return 1.0 };
        let age = self.now.saturating_sub(started).as_secs_f64() / self.cfg.warm_after.as_secs_f64();
        (self.cfg.cold_from + (1.0 - self.cfg.cold_from) * age).min(1.0)
    }

    fn cold(&self, server: usize) -> bool {
        self.ramp(&self.servers[server]) < 1.0
    }

    /// Whether answers wait at a server: without that it isn't hot, however its load compares.
    fn waits(&self, server: &Server) -> bool {
        let free = server.service.map(|service| service.min(self.slow)).or(server.base);
        server.wait(self.now, self.half).zip(free).is_some_and(|(wait, free)| wait > WAITING * free)
    }

    /// Splits each server's load over the slices it serves. Where servers don't report how busy they are, it
    /// is demand over the capacity learned; until any is learned, demand by size, at `USUAL` on average.
    fn view(&self) -> View {
        let (now, share, fresh) = (self.now, self.our_share(), self.cfg.period * 3);
        // Loads count a slice where it is going, since reports lag; costs count it where it is served.
        let place = |s: &Slice| s.handover.as_ref().and_then(|h| h.to).or(s.owner);
        let demand = self.demand();
        let owned = self.demand_by(&demand, place);
        let ready: Vec<&Server> = self.servers.iter().filter(|s| s.listed == Listed::Ready).collect();
        let count = ready.len().max(1) as f64;
        // A stale report is unknown, not idle. Of a server's load, our share of slices is taken to be ours.
        let told = |s: &Server| s.cpu.filter(|(_, at)| now < *at + fresh).map(|(cpu, _)| cpu);
        let busy = ready.iter().any(|s| told(s).is_some());
        let served = self.demand_by(&demand, |s| s.owner.filter(|_| s.handover.is_none()));
        let known = ready.iter().filter_map(|s| {
            let own = served[s.ep.index] * (1.0 - s.shut_out) / s.size;
            told(s).or((!busy).then_some(USUAL)).map(|load| (load * share, own))
        });
        let (loads, owns) = known.fold((0.0, 0.0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        let usual = if owns > 0.0 { loads / owns } else { 0.0 };
        // Lost tries show more load than that; a cold server must not learn it by falling (after a return
        // nothing else is known). Harm: where answers are lost for another reason, cold servers fill later.
        let sum = |f: fn(&Server) -> &Sum| ready.iter().map(|s| f(s).read(now, self.half)).sum::<f64>();
        let served_part = 1.0 - sum(|s| &s.lost) / sum(|s| &s.tries).max(1.0);
        let pressed = usual / served_part.clamp(PRESSED, 1.0);
        let pad = PAD * owned.iter().sum::<f64>() / count;
        let idle = CROWD * owned.iter().sum::<f64>() / (share * self.slices.len() as f64).max(1.0);
        let mut view = View { demand, limits: self.limits(), idle, ..View::default() };
        let held = self.demand_by(&vec![1.0; self.slices.len()], place);
        for ((server, owned), held) in self.servers.iter().zip(&owned).zip(held) {
            let ramp = self.ramp(server);
            let let_in = owned * (1.0 - server.shut_out);
            let unit = match (told(server), view.limits[server.ep.index]) {
                (Some(cpu), _) if ramp >= 1.0 => (cpu * share + usual * pad) / (let_in + pad).max(1e-9),
                (None, limit) if !busy && limit.is_finite() => 1.0 / limit.max(1e-9),
                _ => (if ramp < 1.0 && !busy { pressed } else { usual }) / server.size.max(1e-3),
            };
            let own = owned * unit / ramp;
            let untried = !server.proven && (self.cfg.probes || held >= UNPROVEN);
            let crowd = own.max(view.idle * held * unit / ramp);
            let load = own + told(server).unwrap_or(USUAL) * (1.0 - share) / ramp;
            let load = if self.waits(server) { load } else { load.min(THRESHOLD) };
            let (part, most) =
                if ramp < 1.0 { (NEW_OFFERS, self.cold_budget() - crowd) } else { (1.0, f64::MAX) };
            let room = ((THRESHOLD / ramp - load) * part * share).clamp(0.0, most.max(0.0));
            view.own.push(own);
            view.loads.push(load);
            view.units.push(unit / ramp);
            view.rooms.push(if usable(server) && !untried { room } else { 0.0 });
        }
        view.average = ready.iter().map(|s| view.loads[s.ep.index]).sum::<f64>() / count;
        view
    }

    /// Load that a slice brings a server. To a cold one even an idle slice counts: it may come into demand.
    fn add(&self, view: &View, id: SliceId, to: usize) -> f64 {
        let least = if self.cold(to) { view.idle } else { 0.0 };
        view.demand[id].max(least) * view.units[to]
    }

    // 3. Plan.

    /// The ready servers beside the owner, in the slice's hash order, alike at every assigner.
    fn others(&self, id: SliceId) -> impl Iterator<Item = usize> + '_ {
        let fit =
            move |i: &usize| Some(*i) != self.slices[id].owner && self.servers[*i].listed == Listed::Ready;
        self.orders[id].iter().copied().filter(fit)
    }

    fn movable(&self, slice: &Slice) -> bool {
        slice.handover.is_none() && slice.owner.is_some() && self.now >= slice.stays
    }

    /// The greedy pass: moves that bring every server of ours under `limit`, with little demand moved.
    /// With `partly`, it keeps what it found even if some servers stay above.
    fn pass(&self, view: &View, limit: f64, partly: bool) -> Option<Vec<Move>> {
        let (mut loads, mut rooms) = (view.loads.clone(), view.rooms.clone());
        let (mut moves, mut stuck) = (Vec::<Move>::new(), vec![false; loads.len()]);
        loop {
            let fit = |i: &usize| !stuck[*i] && loads[*i] > limit && self.servers[*i].listed == Listed::Ready;
            let over = self.slices.iter().filter_map(|s| s.owner).filter(fit);
            let over = over.min_by(|a, b| loads[*b].total_cmp(&loads[*a]).then(b.cmp(a)));
            let Some(from) = over else { return Some(moves) };
            let mut best: Option<((u8, f64), Move)> = None;
            for (id, slice) in self.slices.iter().enumerate() {
                let moved = moves.iter().any(|(s, _)| *s == id);
                if !self.movable(slice) || slice.owner != Some(from) || moved || view.demand[id] <= 0.0 {
                    continue;
                }
                // The least demand that does it; where none does, the most.
                let off = view.demand[id] * view.units[from];
                let cost = if off >= loads[from] - limit { (0, off) } else { (1, -off) };
                for to in self.others(id).take(CANDIDATES) {
                    let add = self.add(view, id, to);
                    let fits = usable(&self.servers[to]) && add <= rooms[to] && loads[to] + add <= limit;
                    if fits && best.is_none_or(|(least, _)| cost < least) {
                        best = Some((cost, (id, to)));
                    }
                }
            }
            match best {
                Some((_, (id, to))) => {
                    loads[from] -= view.demand[id] * view.units[from];
                    loads[to] += view.demand[id] * view.units[to];
                    rooms[to] -= self.add(view, id, to);
                    moves.push((id, to));
                }
                None if partly => stuck[from] = true,
                None => return None,
            }
        }
    }

    /// SWAT's three stages in order; the first that finds moves fills the batches.
    fn make_plan(&mut self) {
        // A proxy that left lately would stall a batch to its lease's end.
        let absent = self.proxies.values().any(|p| !p.joined && self.now < p.since + self.cfg.lease);
        if absent || !self.plan.batch.is_empty() || !self.plan.batches.is_empty() {
            return;
        }
        let view = self.view();
        let wished = self.fitting_wishes(&view);
        if !wished.is_empty() {
            self.out.push(Order::Log { text: format!("wishes: {} moves", wished.len()) });
            // An operator's word goes before the time that a moved slice stays.
            wished.iter().for_each(|(id, _)| self.slices[*id].stays = self.now);
            self.plan.batches = self.sequence(wished, &view);
            return;
        }
        let fit = || view.loads.iter().zip(&self.servers).filter(|(_, s)| usable(s) && s.proven);
        let hot = fit().any(|(load, _)| *load > THRESHOLD);
        let off = |load: f64| (load - view.average).abs() > SKEW * view.average;
        let skewed = fit().any(|(load, _)| off(*load)) && fit().any(|(_, s)| self.waits(s));
        self.plan.skewed = if skewed { self.plan.skewed + 1 } else { 0 };
        let find = |limit: f64, partly| self.pass(&view, limit, partly).filter(|moves| !moves.is_empty());
        let level = || TARGETS.iter().find_map(|t| find((t * view.average).min(THRESHOLD), false));
        let cool = |partly| if hot { find(THRESHOLD, partly) } else { None };
        let leveling = (self.plan.skewed >= SKEW_ROUNDS).then(level).flatten();
        let found = leveling.map(|moves| ("leveling", moves));
        let found = found.or_else(|| cool(false).map(|moves| ("elimination", moves)));
        let found = found.or_else(|| cool(true).map(|moves| ("mitigation", moves)));
        let Some((stage, moves)) = found else { return };
        let text = format!("{stage}: {} moves, average {:.2}", moves.len(), view.average);
        self.out.push(Order::Log { text });
        (self.plan.skewed, self.plan.batches) = (0, self.sequence(moves, &view));
    }

    /// Wishes that fit now. What doesn't is let go: whoever wished may wish again.
    fn fitting_wishes(&mut self, view: &View) -> Vec<Move> {
        let (mut rooms, wishes) = (view.rooms.clone(), std::mem::take(&mut self.plan.wishes));
        let fits = |(id, to): &Move| {
            let (slice, server, add) = (&self.slices[*id], &self.servers[*to], self.add(view, *id, *to));
            let free = slice.handover.is_none() && slice.owner.is_some_and(|owner| owner != *to);
            let fits = free && usable(server) && server.proven && add <= rooms[*to];
            rooms[*to] -= if fits { add } else { 0.0 };
            fits
        };
        wishes.into_iter().filter(fits).collect()
    }

    /// Sinks first; a cycle breaks at the server least loaded after its incoming moves.
    fn sequence(&self, mut moves: Vec<Move>, view: &View) -> VecDeque<Vec<Move>> {
        let mut batches = VecDeque::new();
        while !moves.is_empty() {
            let leaves = |i: usize| moves.iter().any(|(s, _)| self.slices[*s].owner == Some(i));
            let mut sinks: Vec<usize> = moves.iter().map(|m| m.1).filter(|to| !leaves(*to)).collect();
            if sinks.is_empty() {
                let after = |i: usize| -> f64 {
                    let incoming = moves.iter().filter(|m| m.1 == i);
                    view.loads[i] + incoming.map(|m| view.demand[m.0] * view.units[i]).sum::<f64>()
                };
                sinks.extend(moves.iter().map(|m| m.1).min_by(|a, b| after(*a).total_cmp(&after(*b))));
            }
            let (now, later) = moves.into_iter().partition(|m| sinks.contains(&m.1));
            batches.push_back(now);
            moves = later;
        }
        batches
    }

    /// Starts a batch once the one before is done.
    fn run_batches(&mut self) {
        self.plan.batch.retain(|id| self.slices[*id].handover.is_some());
        if !self.plan.batch.is_empty() || !self.has_room(PLAN_ROOM) {
            return;
        }
        let Some(moves) = self.plan.batches.pop_front() else { return };
        for (slice, to) in moves {
            if self.movable(&self.slices[slice]) && usable(&self.servers[to]) {
                self.stop(slice, Some(to), false);
                self.plan.batch.push(slice);
            }
        }
    }

    /// Slices whose owner is gone, draining or sick leave at once, and, where there is room for them, those
    /// that bring a cold one over its budget: they may come into demand sooner than levels tell.
    fn evacuate(&mut self) {
        // After a drain is told, reads may stay as long as their end still arrives within the grace, behind
        // what waits in the channel. Where that would fill the channel, or time is short, they end at once.
        let (guarded, out) = (self.cfg.guarded, |o: usize| self.servers[o].listed != Listed::Ready);
        let drains = self.slices.iter().filter(|s| s.owner.is_some_and(out));
        let uncut = drains.filter(|s| s.handover.as_ref().is_none_or(|h| !h.cut)).count();
        let lines = self.channel.lines + self.lines(if guarded { 2 * uncut } else { uncut });
        let behind = Duration::from_secs_f64(lines / self.cfg.lines_per_s);
        let lead = self.cfg.grace.saturating_sub(self.cfg.way_most.mul_f64(DRAIN_WAYS) + behind);
        let short = lines > PLAN_ROOM * self.cfg.backlog || lead < self.cfg.way_most / 2;
        let heads = HEADS * self.cfg.head * self.joined() as f64 / self.cfg.backlog;
        let from = DRAIN_ROOM.0.min(DRAIN_ROOM.1 - heads).max(LEAVE_ROOM.1);
        let (mut view, drain, leave) = (None, self.has_room(from), self.has_room(LEAVE_ROOM.0));
        for id in 0..self.slices.len() {
            let Some(owner) = self.slices[id].owner else { continue };
            let server = &self.servers[owner];
            let (well, listed) = (usable(server), server.listed);
            let late = self.now >= server.told + lead;
            let cut = listed != Listed::Draining || server.sick.is_some() || short;
            let cut = if guarded { cut } else { listed != Listed::Ready && late };
            match &self.slices[id].handover {
                Some(moving) if well || moving.cut => {}
                Some(_) if cut || late => self.cut(id),
                None if drain && listed != Listed::Ready && self.has_room(DRAIN_ROOM.1)
                    || leave && (!well || self.cold(owner)) && self.has_room(LEAVE_ROOM.1) =>
                {
                    let v: &mut View = view.get_or_insert_with(|| self.view());
                    let to = self.destination(id, v);
                    let add = to.map_or(0.0, |to| self.add(v, id, to));
                    let over = v.own[owner] > self.cold_budget() && to.is_some_and(|to| v.rooms[to] >= add);
                    if !well || over {
                        v.own[owner] -= v.demand[id] * v.units[owner];
                        if let Some(to) = to {
                            (v.loads[to], v.rooms[to]) = (v.loads[to] + add, v.rooms[to] - add);
                        }
                        self.stop(id, to, cut);
                    }
                }
                _ => {}
            }
        }
    }

    /// Where a slice that must leave goes: the less loaded of its first usable candidates, walking on in
    /// its hash order past those without room; failing that the least loaded one that is not cold and full.
    fn destination(&self, id: SliceId, view: &View) -> Option<usize> {
        let add = |i: &usize| self.add(view, id, *i);
        let fits = |i: &usize| usable(&self.servers[*i]) && view.rooms[*i] >= add(i);
        let least = |a: &usize, b: &usize| (view.loads[*a] + add(a)).total_cmp(&(view.loads[*b] + add(b)));
        let first = self.others(id).filter(fits).take(CANDIDATES).min_by(least);
        let full = |i: &usize| (self.cold(*i) || !self.servers[*i].proven) && !fits(i);
        let unfit = |i: &usize| (!usable(&self.servers[*i]), full(i));
        first.or_else(|| self.others(id).min_by(|a, b| unfit(a).cmp(&unfit(b)).then(least(a, b))))
    }

    // 4. Handover: stop, every proxy's answer or lease end, settle, grant.

    /// Stops a slice's writes at its owner, or with `cut` all, and awaits every proxy; or grants at once.
    fn stop(&mut self, id: SliceId, to: Option<usize>, cut: bool) {
        if !self.cfg.guarded && !cut {
            return to.into_iter().for_each(|to| self.grant(id, to));
        }
        let (mark, lease) = (self.channel.marks + 1, self.cfg.lease);
        (self.channel.mark_wanted, self.channel.due) = (true, self.channel.due + 1);
        let absent = self.proxies.values().filter(|p| !p.joined).map(|p| p.since + lease).max();
        let joined = self.proxies.iter().filter(|(_, p)| p.joined && self.cfg.guarded);
        let awaits = joined.map(|(id, _)| (*id, Some(mark)));
        let quiet = absent.unwrap_or_default().max(self.unheard_until(self.slices[id].given));
        let handover = Handover { awaits: awaits.collect(), ordered: self.now, quiet, cut: false, to };
        self.slices[id].handover = Some(handover);
        // Where levels are not followed, only the line's end stops writes.
        if cut || self.cfg.admission == Admission::Off {
            self.cut(id);
        }
    }

    /// Until when a proxy that never joined here may write by what a slice's former assigner told it. Once
    /// all that there are have joined, their answers tell, given after they have read the store. Guards
    /// against a lease without an owner at each planned restart. Harm: none known while the count is true.
    fn unheard_until(&self, given: Duration) -> Duration {
        if self.joined() >= self.cfg.proxies {
            Duration::ZERO
        } else {
            given + self.cfg.lease
        }
    }

    fn cut(&mut self, id: SliceId) {
        let Slice { handover: Some(handover), owner: Some(owner), .. } = &mut self.slices[id] else { return };
        handover.cut = true;
        self.out.push(Order::Revoke { slice: id, ep: self.servers[*owner].ep });
    }

    /// A proxy that joins holds what it held; it must hear of every handover under way before the grant.
    fn join(&mut self, proxy: ProxyId, zone: ZoneId) {
        self.proxies.insert(proxy, Proxy { zone, joined: true, since: self.now });
        self.channel.tuned = None;
        let owned = self.slices.iter_mut().filter(|s| s.owner.is_some() && self.cfg.guarded);
        for handover in owned.filter_map(|s| s.handover.as_mut()) {
            if !handover.cut || handover.awaits.get(&proxy) != Some(&None) {
                handover.awaits.insert(proxy, Some(u64::MAX));
            }
        }
    }

    /// Tells proxies that joined of the handovers under way, those of one tick together.
    fn tell_joined(&mut self) {
        for handover in self.slices.iter_mut().filter_map(|s| s.handover.as_mut()) {
            for untold in handover.awaits.values_mut().filter(|mark| **mark == Some(u64::MAX)) {
                *untold = Some(self.channel.marks + 1);
                (handover.ordered, self.channel.mark_wanted) = (self.now, true);
            }
        }
    }

    fn acked(&mut self, proxy: ProxyId, mark: u16, way: Duration) {
        let mark = self.channel.marks.saturating_sub((self.channel.marks as u16).wrapping_sub(mark).into());
        self.channel.tuned = self.channel.tuned.filter(|tuned| *tuned > mark);
        // Messages leave in order: what was sent before the answered one has left.
        self.channel.sent.retain(|(sent, ..)| *sent >= mark);
        self.channel.lines = self.channel.lines.min(self.channel.unanswered());
        self.channel.answered = self.channel.answered.max(mark);
        for handover in self.slices.iter_mut().filter_map(|s| s.handover.as_mut()) {
            let awaited = handover.awaits.get_mut(&proxy).filter(|m| m.is_some_and(|m| m <= mark));
            if let Some(awaited) = awaited {
                *awaited = None;
                handover.quiet = handover.quiet.max(self.now.min(handover.ordered + way));
            }
        }
    }

    /// Grants what has settled: nobody writes to the old owner, and what it had in hand has ended.
    fn advance(&mut self) {
        let (mut view, open) = (None, self.has_room(GRANT_ROOM.0));
        for id in 0..self.slices.len() {
            let slice = &self.slices[id];
            let Some(handover) = slice.handover.as_ref().filter(|_| open) else { continue };
            let waits = handover.awaits.values().any(Option::is_some);
            // One given without an owner waits for answers, or a lease: then nobody writes by old word.
            let given = slice.owner.is_none() && self.cfg.guarded;
            let most = if given { slice.given + self.cfg.lease } else { Duration::MAX };
            let quiet = if waits { most } else { handover.quiet.min(most) };
            if self.now < quiet.saturating_add(self.cfg.settle) || !self.has_room(GRANT_ROOM.1) {
                continue;
            }
            let wanted = handover.to.filter(|to| usable(&self.servers[*to]));
            let stays = slice.owner.filter(|o| usable(&self.servers[*o]) && !handover.cut);
            let last = slice.owner.filter(|o| self.servers[*o].listed == Listed::Ready);
            let elsewhere = || self.destination(id, view.get_or_insert_with(|| self.view()));
            let Some(to) = wanted.or(stays).or_else(elsewhere).or(last) else { continue };
            view.iter_mut().for_each(|v: &mut View| v.loads[to] += v.demand[id] * v.units[to]);
            self.grant(id, to);
        }
    }

    fn grant(&mut self, id: SliceId, to: usize) {
        let slice = &mut self.slices[id];
        let cut = slice.handover.take().is_some_and(|h| h.cut);
        let former = slice.owner.filter(|o| *o != to && !cut);
        let new = cut || slice.owner != Some(to);
        (slice.owner, slice.stays) = (Some(to), self.now + STAY);
        // The first answers show only after the grant's way and a report.
        self.servers[to].last_ok = self.now + self.cfg.way_most + self.half;
        self.channel.due += self.cfg.methods.len();
        self.out.extend(new.then_some(Order::Grant { slice: id, ep: self.servers[to].ep }));
        // Where slices are not exclusive that is one more line beside the former owner's.
        let ends = former.filter(|_| !self.cfg.exclusive);
        self.out.extend(ends.map(|o| Order::Revoke { slice: id, ep: self.servers[o].ep }));
    }

    // 5. Levels and tries.

    /// The work a second that each server can do: as learned there, else as learned at the others.
    fn limits(&self) -> Vec<f64> {
        let ready = || self.servers.iter().filter(|s| usable(s));
        let learned: Vec<f64> = ready().filter_map(|s| s.limit.map(|limit| limit / s.size)).collect();
        let median = (learned.len() * 4 > ready().count()).then(|| middle(learned)).flatten();
        let shown = ready().filter(|s| !s.late).map(|s| s.oks.rate(self.now, self.half) / s.size);
        let usual = median.map_or(f64::INFINITY, |median| shown.fold(median, f64::max));
        self.servers.iter().map(|s| s.limit.unwrap_or(usual * s.size)).collect()
    }

    /// Draws each server's line of criticality by its limit, and by its budget while it is cold.
    fn draw_lines(&mut self) {
        let view = self.view();
        let offered = self.demand_by(&view.demand, |s| s.owner);
        let work = |m: &usize| self.came[*m].read(self.now, self.half) * self.work(*m);
        let works: Vec<f64> = self.cfg.ranks.iter().map(work).collect();
        let all = works.iter().sum::<f64>().max(1e-9);
        for (i, offered) in offered.into_iter().enumerate() {
            let budget = self.cold(i).then(|| self.cold_budget() / view.units[i].max(1e-9));
            let limit = budget.map_or(view.limits[i], |budget| budget.min(view.limits[i]));
            let mut over = (1.0 - limit / offered.max(1e-9)).clamp(0.0, 0.9);
            self.servers[i].shut_out = over;
            let mut line = 0.0;
            for part in works.iter().map(|work| (work / all).max(1e-9)) {
                line += (over / part).clamp(0.0, 1.0);
                over -= part;
            }
            self.servers[i].line = line.min(works.len() as f64 - 0.5);
        }
    }

    /// Load that our slices may bring a cold server.
    fn cold_budget(&self) -> f64 {
        (self.cfg.fall_multiple * COLD.0).min(COLD.1) * self.our_share().powf(COLD.2)
    }

    /// Orders the shares that differ from what proxies were told: none of the writes during a handover. What
    /// only tunes waits for a period and an ack of the last: the slowest of channels must not fill.
    fn order_levels(&mut self, period: bool) {
        let open = period && self.channel.tuned.is_none();
        for id in 0..self.slices.len() {
            let slice = &self.slices[id];
            let moving = slice.handover.as_ref().filter(|_| self.cfg.guarded);
            let (stopped, cut) = moving.map_or((false, false), |h| (true, h.cut));
            let Some(owner) = slice.owner else { continue };
            let line = self.servers[owner].line;
            let cold = period && self.cold(owner) && self.has_room(0.5);
            let tune = slice.stays == self.now + STAY || cold || open && self.has_room(LEAVE_ROOM.0);
            let mut wanted = slice.told.clone();
            for (rank, method) in self.cfg.ranks.iter().enumerate() {
                let told = &mut wanted[*method];
                if stopped && !cut && self.cfg.methods[*method].writes {
                    *told = 0.0;
                } else if tune && !cut || *told == 0.0 {
                    *told = ((1.0 - (line - rank as f64)).clamp(0.0, 1.0) * 20.0).round() / 20.0;
                }
            }
            for (method, share) in wanted.iter().enumerate().filter(|(m, share)| slice.told[*m] != **share) {
                let all = self.cfg.admission == Admission::Rate && *share > 0.0;
                let share = if all { ALL_LET_IN } else { *share };
                let (methods, tries) = (1 << method, self.cfg.tries);
                self.out.push(Order::Level { slice: id, share, methods, tries });
                if open {
                    (self.channel.mark_wanted, self.channel.tuned) = (true, Some(self.channel.marks + 1));
                }
            }
            self.slices[id].told = wanted;
        }
    }

    // 6. Channel.

    /// Whether the channel holds less than a part of what may wait in it.
    fn has_room(&self, part: f64) -> bool {
        let lines = self.channel.lines + self.lines(self.channel.due);
        let (sent, most) = (self.channel.messages.len() as f64, self.cfg.messages_most as f64);
        lines < part * self.cfg.backlog && (most == 0.0 || sent < part * most - 1.0)
    }

    /// Lines that the channel carries for a message to every proxy with what is written so far, and more.
    fn lines(&self, more: usize) -> f64 {
        let orders = self.out.iter().filter(|order| order.costs_a_line()).count() + more;
        (orders as f64 + self.cfg.head) * self.joined() as f64
    }

    fn joined(&self) -> usize {
        self.proxies.values().filter(|p| p.joined).count()
    }

    /// Counts what goes out, and asks to be woken at the next time that matters.
    fn close(&mut self) -> Vec<Order> {
        let now = self.now;
        // The answer tells early that a channel thought to be filled has emptied.
        let filled = self.out.iter().any(Order::costs_a_line) && !self.has_room(PLAN_ROOM);
        if std::mem::take(&mut self.channel.mark_wanted) || filled {
            self.channel.marks += 1;
            self.out.push(Order::Mark { mark: (self.channel.marks & 0xffff) as u16 });
        }
        // An overdue answer tells that more waits than was reckoned: all that is not answered, at most.
        let overdue = self.channel.answer_due().is_some_and(|sent| now > sent + self.cfg.way_most);
        if !std::mem::replace(&mut self.channel.overdue, overdue) && overdue {
            self.channel.lines = self.channel.lines.max(self.channel.unanswered());
        }
        let slow = SLOW_CHANNEL * if overdue { SLOW_CHANNEL } else { 1.0 };
        let sent = now.saturating_sub(self.channel.at).as_secs_f64() * self.cfg.lines_per_s / slow;
        (self.channel.lines, self.channel.at) = ((self.channel.lines - sent).max(0.0), now);
        self.channel.forget_left();
        self.channel.messages.retain(|at| now <= *at + self.cfg.messages_span);
        if self.out.iter().any(Order::costs_a_line) {
            let lines = self.lines(0);
            self.channel.lines += lines;
            self.channel.sent.push_back((self.channel.marks, lines, now));
            self.channel.messages.push(now);
        }
        self.channel.due = 0;
        if now >= self.channel.wake {
            self.channel.wake = now + TICK;
            self.out.push(Order::Wake { after: TICK });
        }
        std::mem::take(&mut self.out)
    }
}

fn usable(server: &Server) -> bool {
    server.listed == Listed::Ready && server.sick.is_none()
}

mod resent;
mod shown;
#[cfg(test)]
mod tests;
