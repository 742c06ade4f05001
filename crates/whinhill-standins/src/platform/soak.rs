//! One seed of the soak: assigners as processes, with all that surrounds them on the platform, through the troubles
//! of a script.

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, Write as _};
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use serde::Serialize;

use super::audit::{Broken, RequestAudit, Rule, TableAudit};
use super::collectors;
use super::custody;
use super::fleet::Fleet;
use super::lost::{Cause, Stage};
use super::node::{Environment, Node};
use super::page::*;
use super::plane::Outcomes;
use super::reporting::Reporting;
use super::sabotage::Sabotage;
use super::script::{Action, Script, Trouble};
use super::silence::SilenceReport;
use super::tally::{self, TallyReport};
use super::traffic::Traffic;
use super::world::{Shared, World};

/// How often everything is looked at.
const TICK: Duration = Duration::from_millis(5);
/// How often slices are dealt out anew.
const DEAL_EVERY: Duration = Duration::from_millis(50);
/// How often a process's memory and descriptors are looked at.
const MEASURE_EVERY: Duration = Duration::from_millis(500);
/// Servers at the start, and how often one of them is replaced.
const SERVERS: usize = 9;
const REPLACE_EVERY: Duration = Duration::from_millis(2000);
/// Broken rules that a report names; the rest are counted.
const BROKEN_MOST: usize = 20;

/// What a seed is played with.
#[derive(Clone, Debug)]
pub struct Options {
    pub seed: u64,
    pub time: Duration,
    /// The kinds of trouble; empty: drawn.
    pub only: Vec<Trouble>,
    pub sabotage: Option<Sabotage>,
    /// The `whinhill` program.
    pub program: PathBuf,
    /// The library that makes calls fail; without it none fail.
    pub library: Option<PathBuf>,
    /// Where configurations, logs and time lines go.
    pub folder: PathBuf,
}

/// What a seed has shown.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub seed: u64,
    pub nodes: usize,
    pub proxies: usize,
    pub troubles: Vec<Trouble>,
    pub actions: usize,
    pub starts: usize,
    /// Starts that were ready later than the page asks of nine in ten.
    pub slow_starts: usize,
    pub ready_ms_most: u64,
    pub memory_kb_most: u64,
    pub descriptors_most: usize,
    pub requests: RequestAudit,
    pub rpcs: Outcomes,
    pub reference_rpcs: Outcomes,
    /// Lost RPCs by cause and stage.
    pub lost: BTreeMap<Cause, BTreeMap<Stage, u64>>,
    pub shares: TallyReport,
    /// From a server's silence to the last RPC sent there.
    pub silence_to_last: SilenceReport,
    pub reference_silence_to_last: SilenceReport,
    /// The most lines that waited in an assigner's channel.
    pub channel_lines_most: u64,
    pub broken_rules: usize,
    pub broken_by_rule: BTreeMap<Rule, usize>,
    pub broken: Vec<Broken>,
}

/// Plays one seed. Fails where a process or an address is not to be had.
pub fn run(options: &Options) -> io::Result<Report> {
    Soak::start(options)?.play()
}

struct Soak<'a> {
    options: &'a Options,
    script: Script,
    world: Arc<Shared>,
    nodes: Vec<Node>,
    traffic: Traffic,
    tables: TableAudit,
    fleet: Fleet,
    reporting: Reporting,
    broken: Vec<Broken>,
}

impl<'a> Soak<'a> {
    fn start(options: &'a Options) -> io::Result<Self> {
        fs::create_dir_all(&options.folder)?;
        let script = Script::draw(options.seed, options.time, &options.only);
        let world =
            Arc::new(Shared::new(World::new(script.nodes, script.proxies, options.seed, options.sabotage)));
        let mut soak = Soak {
            options,
            traffic: Traffic::new(script.nodes, script.proxies, options.seed),
            tables: TableAudit::new(script.proxies),
            fleet: Fleet::new(world.clone(), options.seed),
            reporting: Reporting::default(),
            script,
            world,
            nodes: Vec::new(),
            broken: Vec::new(),
        };
        for number in 0..SERVERS {
            soak.fleet.add(number, true)?;
        }
        for number in 0..soak.script.nodes {
            let environment = Environment {
                world: soak.world.clone(),
                program: options.program.clone(),
                library: options.library.clone(),
                folder: options.folder.clone(),
                sabotage: options.sabotage,
                seed: options.seed,
            };
            soak.nodes.push(Node::start(number, environment, &soak.script)?);
        }
        Ok(soak)
    }

    fn play(mut self) -> io::Result<Report> {
        let (mut deal, mut measure, mut report) = (Duration::ZERO, Duration::ZERO, PERIOD);
        let mut replace = REPLACE_EVERY;
        let mut actions = std::mem::take(&mut self.script.actions).into_iter().peekable();
        let played = actions.len();
        loop {
            let now = self.world.lock().now();
            if now >= self.options.time {
                break;
            }
            while let Some((_, action)) = actions.next_if(|(at, _)| *at <= now) {
                self.act(now, &action)?;
            }
            for node in &mut self.nodes {
                node.look(now, &self.script, &mut self.broken)?;
            }
            self.fleet.look(now);
            if now >= replace {
                replace = now + REPLACE_EVERY;
                self.fleet.replace(now)?;
            }
            if now >= deal {
                deal = now + DEAL_EVERY;
                let serving: Vec<bool> = self.nodes.iter().map(Node::takes_slices).collect();
                custody::deal(&mut self.world.lock(), &serving);
            }
            {
                let mut world = self.world.lock();
                world.apply_due();
                self.traffic.play(&mut world);
                self.tables.look(&world);
            }
            if now >= report {
                report = now + PERIOD;
                self.report(now);
            }
            for (node, texts) in self.reporting.due(now) {
                self.nodes[node].report(texts);
            }
            if now >= measure {
                measure = now + MEASURE_EVERY;
                self.nodes.iter_mut().for_each(|node| node.measure(now, &mut self.broken));
            }
            thread::sleep(TICK);
        }
        self.end(played)
    }

    /// The collectors send what was met.
    fn report(&mut self, now: Duration) {
        let world = self.world.lock();
        for (node, sums) in self.traffic.sums.iter_mut().enumerate() {
            self.reporting.send(now, node, collectors::reports(&world, &std::mem::take(sums)));
        }
    }

    fn act(&mut self, now: Duration, action: &Action) -> io::Result<()> {
        self.world.lock().note(format!("{action:?}"));
        match action {
            Action::Series { node, .. }
            | Action::Reload { node }
            | Action::Kill { node, .. }
            | Action::Pause { node, .. }
            | Action::Cut { node, .. }
            | Action::Stall { node, .. }
            | Action::Delay { node, .. }
            | Action::LateLists { node, .. }
            | Action::Crowd { node, .. }
            | Action::Pieces { node, .. } => self.nodes[*node].act(now, action),
            Action::Streams { node, trouble, time } => {
                self.world.lock().trouble_streams(*node, *trouble, *time);
                Ok(())
            }
            Action::TroubledReports { node, by, time } => {
                self.reporting.trouble(*node, now + *time, *by);
                Ok(())
            }
            _ => self.fleet.act(now, action),
        }
    }

    fn end(mut self, actions: usize) -> io::Result<Report> {
        let mut requests = RequestAudit::default();
        for node in &mut self.nodes {
            requests.add(node.stop_clients());
        }
        let (judged, reference) = (&self.traffic.judged, &self.traffic.reference);
        let mut shares = tally::judge(&judged.tally, &reference.tally, self.options.time);
        let lost = judged.lost_by_stage();
        self.keep_lost()?;
        let mut broken = std::mem::take(&mut self.tables.broken);
        broken.append(&mut self.broken);
        broken.append(&mut requests.broken);
        broken.append(&mut shares.broken);
        broken.append(&mut self.traffic.cold.broken);
        broken.append(&mut self.traffic.writers.broken);
        broken.extend(self.backlogs());
        broken.sort_by_key(|broken| broken.at_ms);
        let starts = self.nodes.iter().map(|node| node.starts).sum();
        let ready: Vec<Duration> = self.nodes.iter().flat_map(|node| node.ready.iter().copied()).collect();
        self.keep_time_line(&broken)?;
        let lines = self.world.lock().nodes.iter().map(|node| node.channel.most as u64).max();
        let channel_lines_most = lines.unwrap_or(0);
        let broken_rules = broken.len();
        let mut broken_by_rule = BTreeMap::new();
        broken.iter().for_each(|broken| *broken_by_rule.entry(broken.rule).or_default() += 1);
        broken.truncate(BROKEN_MOST);
        Ok(Report {
            seed: self.options.seed,
            nodes: self.script.nodes,
            proxies: self.script.proxies,
            troubles: self.script.troubles.clone(),
            actions,
            starts,
            slow_starts: ready.iter().filter(|took| **took > READY_WITHIN).count(),
            ready_ms_most: ready.iter().max().map_or(0, |took| took.as_millis() as u64),
            memory_kb_most: self.nodes.iter().map(|node| node.memory_kb).max().unwrap_or(0),
            descriptors_most: self.nodes.iter().map(|node| node.descriptors).max().unwrap_or(0),
            requests,
            rpcs: self.traffic.judged.outcomes,
            reference_rpcs: self.traffic.reference.outcomes,
            lost,
            shares,
            silence_to_last: self.traffic.judged.silences.report(),
            reference_silence_to_last: self.traffic.reference.silences.report(),
            channel_lines_most,
            broken_rules,
            broken_by_rule,
            broken,
        })
    }

    /// Channels whose queue was too long.
    fn backlogs(&self) -> Vec<Broken> {
        let world = self.world.lock();
        let channels = world.nodes.iter().map(|node| node.channel.most).enumerate();
        let broken = channels.filter(|(_, most)| *most > BACKLOG).map(|(node, most)| Broken {
            rule: Rule::Backlog,
            at_ms: self.options.time.as_millis() as u64,
            what: format!("n{node}: {most:.0} lines waited, at most {BACKLOG:.0}"),
        });
        broken.collect()
    }

    /// Writes each lost RPC into a file beside the logs.
    fn keep_lost(&self) -> io::Result<()> {
        let world = self.world.lock();
        let lines = self.traffic.judged.lost.iter().map(|lost| lost.line(&world) + "\n");
        fs::write(self.options.folder.join("lost-rpcs"), lines.collect::<String>())
    }

    /// Writes what happened, and what was broken between, into a file beside the logs.
    fn keep_time_line(&self, broken: &[Broken]) -> io::Result<()> {
        let world = self.world.lock();
        let mut lines: Vec<(u64, String)> =
            world.happened.iter().map(|(at, what)| (at.as_millis() as u64, what.clone())).collect();
        lines.extend(broken.iter().map(|b| (b.at_ms, format!("BROKEN {:?}: {}", b.rule, b.what))));
        lines.sort_by_key(|(at, _)| *at);
        let mut file = fs::File::create(self.options.folder.join("time-line"))?;
        for (at, what) in lines {
            writeln!(file, "{:8.3} {what}", at as f64 / 1e3)?;
        }
        Ok(())
    }
}
