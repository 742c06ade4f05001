//! One seed of the soak: assigners run as processes among the stand-ins of the platform, through
//! the troubles of a script.

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, Write as _};
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use serde::Serialize;

use super::audit::{RequestAudit, Rule, TableAudit, Violation};
use super::collectors;
use super::custody;
use super::data_plane::Outcomes;
use super::detection_times::DetectionReport;
use super::drain_series::DrainSeriesSet;
use super::fleet::Fleet;
use super::lost_rpcs::{Cause, Stage};
use super::node::{Environment, Node};
use super::parameters::*;
use super::report_delivery::ReportDelivery;
use super::rpc_shares::{self, SharesReport};
use super::sabotage::Sabotage;
use super::script::{Action, Script, Trouble};
use super::site::{SiteSetting, SiteSettings};
use super::state::{PlatformState, SharedState};
use super::successors::SuccessorAudit;
use super::traffic::Traffic;

/// Interval of the main loop.
const TICK_INTERVAL: Duration = Duration::from_millis(5);
/// How often slices are distributed anew.
const CUSTODY_INTERVAL: Duration = Duration::from_millis(50);
/// How often the memory and descriptors of processes are measured.
const MEASURE_INTERVAL: Duration = Duration::from_millis(500);
/// The number of servers at the start, and how often one of them is replaced.
const SERVER_COUNT: usize = 9;
const REPLACE_INTERVAL: Duration = Duration::from_millis(2000);
/// The most violations that a report lists; the others are only counted.
const MAX_REPORTED_VIOLATIONS: usize = 20;

/// Options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    pub seed: u64,
    pub duration: Duration,
    /// The kinds of trouble; if empty, the seed draws them.
    pub troubles: Vec<Trouble>,
    pub sabotage: Option<Sabotage>,
    /// Settings in place of those that the seed has.
    pub site_settings: Vec<SiteSetting>,
    /// The `whinhill` program.
    pub program: PathBuf,
    /// The library that makes system calls fail; without it none fail.
    pub library: Option<PathBuf>,
    /// Folder for configurations, logs and timelines.
    pub folder: PathBuf,
}

/// The result of a seed.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub seed: u64,
    pub nodes: usize,
    pub proxies: usize,
    pub site: SiteSettings,
    pub troubles: Vec<Trouble>,
    pub actions: usize,
    pub starts: usize,
    /// Starts that took longer than the limit that nine in ten must meet.
    pub slow_starts: usize,
    pub ready_ms_most: u64,
    pub memory_kb_most: u64,
    pub descriptors_most: usize,
    pub requests: RequestAudit,
    pub rpcs: Outcomes,
    pub reference_rpcs: Outcomes,
    /// Lost RPCs by cause and stage.
    pub lost: BTreeMap<Cause, BTreeMap<Stage, u64>>,
    pub shares: SharesReport,
    /// Time from when a server became unresponsive to the last RPC that was sent to it.
    pub silence_to_last: DetectionReport,
    pub reference_silence_to_last: DetectionReport,
    /// The most lines that were queued in an assigner's channel.
    pub channel_lines_most: u64,
    /// The number of violations, of all rules.
    pub broken_rules: usize,
    /// The number of violations of each rule.
    pub broken_by_rule: BTreeMap<Rule, usize>,
    /// The first [`MAX_REPORTED_VIOLATIONS`] violations, by time.
    pub broken: Vec<Violation>,
}

/// Runs one seed. Fails if a process or an address cannot be created.
pub fn run(options: &Options) -> io::Result<Report> {
    Soak::start(options)?.run_loop()
}

struct Soak<'a> {
    options: &'a Options,
    script: Script,
    platform: Arc<SharedState>,
    nodes: Vec<Node>,
    traffic: Traffic,
    table_audit: TableAudit,
    successor_audit: SuccessorAudit,
    fleet: Fleet,
    drain_series: DrainSeriesSet,
    report_delivery: ReportDelivery,
    violations: Vec<Violation>,
}

impl<'a> Soak<'a> {
    fn start(options: &'a Options) -> io::Result<Self> {
        fs::create_dir_all(&options.folder)?;
        let script = Script::draw(options.seed, options.duration, &options.troubles);
        let site = SiteSettings::of_seed(options.seed, &options.site_settings);
        let platform = Arc::new(SharedState::new(PlatformState::new(
            script.nodes,
            script.proxies,
            options.seed,
            options.sabotage,
            site,
        )));
        let mut soak = Soak {
            options,
            traffic: Traffic::new(script.nodes, script.proxies, options.seed, site.timing.timing()),
            table_audit: TableAudit::new(script.proxies),
            successor_audit: SuccessorAudit::default(),
            fleet: Fleet::new(platform.clone(), options.seed),
            drain_series: DrainSeriesSet::default(),
            report_delivery: ReportDelivery::default(),
            script,
            platform,
            nodes: Vec::new(),
            violations: Vec::new(),
        };
        for number in 0..SERVER_COUNT {
            soak.fleet.add(number, true)?;
        }
        for number in 0..soak.script.nodes {
            let environment = Environment {
                platform: soak.platform.clone(),
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

    /// Runs the main loop until the end of the run.
    fn run_loop(mut self) -> io::Result<Report> {
        let (mut next_custody, mut next_measure, mut next_report) =
            (Duration::ZERO, Duration::ZERO, REPORT_PERIOD);
        let mut next_replace = REPLACE_INTERVAL;
        let mut actions = std::mem::take(&mut self.script.actions).into_iter().peekable();
        let action_count = actions.len();
        loop {
            let now = self.platform.lock().now();
            if now >= self.options.duration {
                break;
            }
            while let Some((_, action)) = actions.next_if(|(at, _)| *at <= now) {
                self.apply_action(now, &action)?;
            }
            for node in &mut self.nodes {
                node.poll(now, &self.script, &mut self.violations)?;
            }
            self.fleet.apply_due(now);
            self.drain_series.advance(&self.platform, &mut self.fleet, now)?;
            if now >= next_replace {
                next_replace = now + REPLACE_INTERVAL;
                self.fleet.replace(now)?;
            }
            if now >= next_custody {
                next_custody = now + CUSTODY_INTERVAL;
                let serving: Vec<bool> = self.nodes.iter().map(Node::can_hold_slices).collect();
                custody::assign_slices(&mut self.platform.lock(), &serving);
            }
            {
                let mut platform = self.platform.lock();
                platform.apply_due();
                self.traffic.advance(&mut platform);
                self.table_audit.check(&platform);
                self.successor_audit.check(&platform);
            }
            if now >= next_report {
                next_report = now + REPORT_PERIOD;
                self.report(now);
            }
            for (node, texts) in self.report_delivery.due(now) {
                self.nodes[node].report(texts);
            }
            if now >= next_measure {
                next_measure = now + MEASURE_INTERVAL;
                self.nodes.iter_mut().for_each(|node| node.measure(now, &mut self.violations));
            }
            thread::sleep(TICK_INTERVAL);
        }
        self.finish(action_count)
    }

    /// Sends the reports of the collectors.
    fn report(&mut self, now: Duration) {
        let platform = self.platform.lock();
        for (node, sums) in self.traffic.report_sums.iter_mut().enumerate() {
            self.report_delivery.send(
                now,
                node,
                collectors::format_reports(&platform, &std::mem::take(sums)),
            );
        }
    }

    /// Applies an action of the script.
    fn apply_action(&mut self, now: Duration, action: &Action) -> io::Result<()> {
        self.platform.lock().note(format!("{action:?}"));
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
            | Action::Pieces { node, .. } => self.nodes[*node].apply(now, action),
            Action::Streams { node, trouble, time } => {
                self.platform.lock().apply_stream_trouble(*node, *trouble, *time);
                Ok(())
            }
            Action::Drains(plan) => {
                self.drain_series.start(&self.platform, now, *plan);
                Ok(())
            }
            Action::TroubledReports { node, by, time } => {
                self.report_delivery.add_fault(*node, now + *time, *by);
                Ok(())
            }
            _ => self.fleet.apply(now, action),
        }
    }

    /// Stops the clients, collects all violations and writes the files of the run.
    fn finish(mut self, actions: usize) -> io::Result<Report> {
        let mut requests = RequestAudit::default();
        for node in &mut self.nodes {
            requests.add(node.stop_clients());
        }
        let (tested, reference) = (&self.traffic.tested, &self.traffic.reference);
        let mut shares = rpc_shares::compare(&tested.counts, &reference.counts, self.options.duration);
        let lost = tested.lost_by_stage();
        self.write_lost_rpcs()?;
        let mut violations = std::mem::take(&mut self.table_audit.violations);
        violations.append(&mut self.successor_audit.violations);
        violations.append(&mut self.violations);
        violations.append(&mut requests.violations);
        violations.append(&mut shares.violations);
        violations.append(&mut self.traffic.cold_budget.violations);
        violations.append(&mut self.traffic.writers.violations);
        violations.extend(self.backlogs());
        violations.extend(self.forbidden_probes());
        violations.sort_by_key(|violation| violation.at_ms);
        let starts = self.nodes.iter().map(|node| node.starts).sum();
        let ready: Vec<Duration> = self.nodes.iter().flat_map(|node| node.ready.iter().copied()).collect();
        self.write_timeline(&violations)?;
        let lines = self.platform.lock().nodes.iter().map(|node| node.channel.max_queued as u64).max();
        let channel_lines_most = lines.unwrap_or(0);
        let broken_rules = violations.len();
        let mut broken_by_rule = BTreeMap::new();
        violations.iter().for_each(|violation| *broken_by_rule.entry(violation.rule).or_default() += 1);
        violations.truncate(MAX_REPORTED_VIOLATIONS);
        Ok(Report {
            seed: self.options.seed,
            nodes: self.script.nodes,
            proxies: self.script.proxies,
            site: self.platform.lock().site,
            troubles: self.script.troubles.clone(),
            actions,
            starts,
            slow_starts: ready.iter().filter(|took| **took > MAX_READY_TIME).count(),
            ready_ms_most: ready.iter().max().map_or(0, |took| took.as_millis() as u64),
            memory_kb_most: self.nodes.iter().map(|node| node.memory_kb).max().unwrap_or(0),
            descriptors_most: self.nodes.iter().map(|node| node.descriptors).max().unwrap_or(0),
            requests,
            rpcs: self.traffic.tested.outcomes,
            reference_rpcs: self.traffic.reference.outcomes,
            lost,
            shares,
            silence_to_last: self.traffic.tested.detection_times.report(),
            reference_silence_to_last: self.traffic.reference.detection_times.report(),
            channel_lines_most,
            broken_rules,
            broken_by_rule,
            broken: violations,
        })
    }

    /// Violations by channels whose queue was too long.
    fn backlogs(&self) -> Vec<Violation> {
        let platform = self.platform.lock();
        let channels = platform.nodes.iter().map(|node| node.channel.max_queued).enumerate();
        let violations =
            channels.filter(|(_, queued)| *queued > MAX_CHANNEL_BACKLOG).map(|(node, queued)| Violation {
                rule: Rule::Backlog,
                at_ms: self.options.duration.as_millis() as u64,
                what: format!("n{node}: {queued:.0} lines queued, at most {MAX_CHANNEL_BACKLOG:.0}"),
            });
        violations.collect()
    }

    /// A violation if servers were probed although the settings forbid it.
    fn forbidden_probes(&self) -> Option<Violation> {
        let probes = self.platform.lock().forbidden_probes;
        let at_ms = self.options.duration.as_millis() as u64;
        let what = format!("{probes} probes, none allowed");
        (probes > 0).then_some(Violation { rule: Rule::ForbiddenProbe, at_ms, what })
    }

    /// Writes each lost RPC into a file beside the logs.
    fn write_lost_rpcs(&self) -> io::Result<()> {
        let platform = self.platform.lock();
        let lines = self.traffic.tested.lost.iter().map(|lost| lost.format_line(&platform) + "\n");
        fs::write(self.options.folder.join("lost-rpcs"), lines.collect::<String>())
    }

    /// Writes the timeline with the violations into a file beside the logs.
    fn write_timeline(&self, violations: &[Violation]) -> io::Result<()> {
        let platform = self.platform.lock();
        let mut lines: Vec<(u64, String)> =
            platform.timeline.iter().map(|(at, what)| (at.as_millis() as u64, what.clone())).collect();
        lines.extend(violations.iter().map(|v| (v.at_ms, format!("BROKEN {:?}: {}", v.rule, v.what))));
        lines.sort_by_key(|(at, _)| *at);
        let mut file = fs::File::create(self.options.folder.join("time-line"))?;
        for (at, what) in lines {
            writeln!(file, "{:8.3} {what}", at as f64 / 1e3)?;
        }
        Ok(())
    }
}
