//! Collects reports and outputs a bounded number of merged lines.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use whinhill::interface::{ProxyId, SliceId, ZoneId};

use crate::clock::{PlacedInterval, ProxyClock};
use crate::ledger::Ledger;
use crate::rate_filter::{PeerRates, RateFilter};
use crate::sample::downsample;
use crate::{Figures, Key, Line, Report};

/// Limits on the cost of an aggregator, and its waiting times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// The reporting interval of proxies, and the interval of output.
    pub period: Duration,
    /// The maximum number of lines output per second.
    pub lines_per_s: u32,
    /// The maximum number of lines of one report; longer reports are downsampled to it.
    pub max_report_lines: usize,
    /// The maximum number of keys held at a time.
    pub max_keys: usize,
    /// How long a period is kept open after its end for late reports, in periods.
    pub late_report_periods: u32,
    /// A line whose tries have a greater relative standard error is held back, up to
    /// [`Limits::max_age_periods`].
    pub max_relative_error: f64,
    /// The age in periods after which a line is no longer held back for its error, and takes precedence.
    pub max_age_periods: u32,
    /// How long a proxy without streams is still expected to have load, in periods: a disconnected proxy is not idle.
    pub disconnected_periods: u32,
    /// The minimum fraction of the expected load that must be reported for any output; with less too little is known.
    pub min_coverage: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            period: Duration::from_secs(1),
            lines_per_s: 2000,
            max_report_lines: 512,
            max_keys: 200_000,
            late_report_periods: 1,
            max_relative_error: 0.5,
            max_age_periods: 4,
            disconnected_periods: 10,
            min_coverage: 0.25,
        }
    }
}

/// A line for the module.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MergedLine {
    /// What the line counts.
    pub key: Key,
    /// The counts, extrapolated to all proxies that are expected to report.
    pub figures: Figures,
    /// The interval that the line covers. It is longer if too little was known of a shorter one.
    pub interval: Duration,
    /// The standard error of the number of tries.
    pub tries_std_error: f64,
}

/// The state of a proxy according to its reports. A proxy without reports is unknown; only one that reports no load is
/// idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReportingState {
    /// It reports load.
    Reporting,
    /// It reports that it has no load.
    Idle,
    /// It has a stream and does not report.
    Unresponsive,
    /// It has no stream.
    Disconnected,
}

/// A proxy that reports.
#[derive(Debug, Default)]
struct Source {
    zone: ZoneId,
    clock: ProxyClock,
    rate_filter: RateFilter,
    /// The number of its open report streams.
    streams: u32,
    /// When the first of its streams was opened.
    opened_at: Duration,
    /// When its last report arrived.
    last_report: Option<Duration>,
    /// Whether the last report had no lines.
    idle: bool,
    /// The lag of the last report.
    lag: Duration,
    /// When the last of its streams ended.
    closed_at: Duration,
    /// The keys that make up most of its load, with their rates in tries per second. If the proxy is missing, these are
    /// estimated from its own past, since no other proxy may report them.
    heavy_hitters: BTreeMap<Key, f64>,
    /// Digests of its last reports, to detect duplicates.
    recent_digests: VecDeque<u64>,
}

impl ReportingState {
    /// The name shown to operators.
    pub fn name(self) -> &'static str {
        match self {
            ReportingState::Reporting => "heard",
            ReportingState::Idle => "quiet",
            ReportingState::Unresponsive => "silent",
            ReportingState::Disconnected => "cut",
        }
    }
}

impl Source {
    /// Updates the heavy hitters from a report over `interval` of which the fraction `accepted` counts.
    fn update_heavy_hitters(&mut self, lines: &[Line], accepted: f64, interval: Duration) {
        let seconds = interval.as_secs_f64().max(1e-3);
        let threshold = self.rate_filter.rate().unwrap_or(0.0) * HEAVY_HITTER_SHARE;
        self.heavy_hitters.values_mut().for_each(|rate| *rate *= 1.0 - HEAVY_HITTER_WEIGHT);
        for Line { key, figures } in lines {
            let rate = figures.tries as f64 * accepted / seconds;
            if let Some(known) = self.heavy_hitters.get_mut(key) {
                *known += rate * HEAVY_HITTER_WEIGHT;
            } else if rate >= threshold && self.heavy_hitters.len() < MAX_HEAVY_HITTERS {
                self.heavy_hitters.insert(*key, rate);
            }
        }
        self.heavy_hitters.retain(|_, rate| *rate >= threshold / 2.0);
    }

    /// Whether the proxy is expected to have load from `begin` on. `grace` is how long this holds without a stream.
    fn is_expected(&self, begin: Duration, grace: Duration) -> bool {
        self.opened_at <= begin && (self.streams > 0 || begin <= self.closed_at + grace)
    }

    /// The proxy's state at `now`.
    fn state(&self, now: Duration, period: Duration) -> ReportingState {
        let since = self.last_report.unwrap_or(self.opened_at);
        match (self.streams, now.saturating_sub(since) > period * UNRESPONSIVE_AFTER_PERIODS) {
            (0, _) => ReportingState::Disconnected,
            (_, true) => ReportingState::Unresponsive,
            (_, false) if self.idle => ReportingState::Idle,
            (_, false) => ReportingState::Reporting,
        }
    }
}

/// Merged counts of a key.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    figures: Figures,
    /// The variance of the number of tries.
    variance: f64,
    /// Tries reported by proxies of which the key is a heavy hitter. They are not extrapolated to other proxies.
    heavy_tries: u64,
}

impl Sum {
    fn add(&mut self, other: &Sum) {
        self.figures.add(&other.figures);
        self.variance += other.variance;
        self.heavy_tries += other.heavy_tries;
    }
}

/// What is held of a key.
#[derive(Debug, Default)]
struct Window {
    /// The counts of each open period, which waits for late reports.
    open_periods: BTreeMap<u64, Sum>,
    /// The counts of closed periods that are not output yet.
    pending: Sum,
    /// The estimated tries in `pending_periods` of proxies that were expected to report and did not.
    missing_tries: f64,
    /// The number of periods that `pending` covers.
    pending_periods: u32,
    /// The rate that was output last, in tries per second.
    last_rate: f64,
    /// The first period that was not closed yet.
    closed_until: u64,
}

/// A key with at least this share of a proxy's load is a heavy hitter of the proxy.
const HEAVY_HITTER_SHARE: f64 = 0.02;
/// The maximum number of heavy hitters of a proxy.
const MAX_HEAVY_HITTERS: usize = 64;
/// The weight of a new rate in the smoothed rate of a heavy hitter.
const HEAVY_HITTER_WEIGHT: f64 = 0.3;
/// A proxy with a stream is unresponsive if it has not reported for more than this many periods.
const UNRESPONSIVE_AFTER_PERIODS: u32 = 3;
/// A proxy without a stream is forgotten this many periods after its last report.
const FORGET_AFTER_PERIODS: u32 = 120;
/// The number of a proxy's last reports whose duplicates are detected.
const MAX_DIGESTS: usize = 4;
/// The number of periods before the end of a report's interval that are merged; older parts are dropped as late.
const MAX_PERIODS_BACK: u64 = 8;
/// The maximum number of periods that one output line covers.
const MAX_LINE_PERIODS: u32 = 20;

/// A group of lines that count the same tries: those for the servers of a zone, and those for slices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Family {
    Servers(ZoneId),
    Slices,
}

impl Family {
    fn of(key: &Key) -> Family {
        match key {
            Key::Server { zone, .. } => Family::Servers(*zone),
            Key::Slice { .. } => Family::Slices,
        }
    }
}

/// How much of the load was reported over some periods, and how the rest is estimated.
struct Coverage {
    /// The fraction of the expected load that was reported.
    reported: f64,
    /// The number of missing tries for each reported try, apart from heavy hitters.
    missing_per_reported: BTreeMap<Family, f64>,
    /// The missing tries of heavy hitters.
    missing_heavy_tries: BTreeMap<Key, f64>,
}

/// Collects the reports of all proxies.
pub struct ReportAggregator {
    limits: Limits,
    sources: BTreeMap<ProxyId, Source>,
    windows: BTreeMap<Key, Window>,
    ledger: Ledger,
    rng: ChaCha8Rng,
    /// The first period that is still open.
    first_open_period: u64,
    /// The rates of all proxies with a stream; `None` before the first report.
    peer_rates: Option<PeerRates>,
    /// The number of tries in `windows`.
    held_tries: u64,
    /// The times of recent outputs and their numbers of lines, as far as they count against the budget.
    recent_outputs: VecDeque<(Duration, usize)>,
    stats: IntakeStats,
}

/// Statistics for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct IntakeStats {
    /// The number of lines ready for output at the last period's end.
    pub ready_lines: usize,
    /// The number of those that were output.
    pub output_lines: usize,
    /// The number of lines held back because of their error.
    pub held_back_lines: usize,
    /// The greatest relative standard error of the lines output last.
    pub max_relative_error: f64,
    /// The fraction of the expected load that was reported for the periods closed last.
    pub coverage: f64,
    /// The number of proxies by [`ReportingState`]: reporting, idle, unresponsive, disconnected.
    pub proxies_by_state: [usize; 4],
    /// The greatest lag of the proxies that report.
    pub max_lag: Duration,
    /// The median lag of the proxies that report.
    pub median_lag: Duration,
}

impl ReportAggregator {
    /// Creates an empty aggregator. `seed` is that of the random numbers for downsampling.
    pub fn new(limits: Limits, seed: u64) -> Self {
        ReportAggregator {
            limits,
            sources: BTreeMap::new(),
            windows: BTreeMap::new(),
            ledger: Ledger::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            first_open_period: 0,
            peer_rates: None,
            held_tries: 0,
            recent_outputs: VecDeque::new(),
            stats: IntakeStats::default(),
        }
    }

    fn period_of(&self, at: Duration) -> u64 {
        (at.as_nanos() / self.limits.period.as_nanos().max(1)) as u64
    }

    /// Notes that a proxy opened a report stream. It is then expected to report.
    pub fn stream_opened(&mut self, now: Duration, proxy: ProxyId, zone: ZoneId) {
        let source = self.sources.entry(proxy).or_default();
        if source.streams == 0 {
            source.opened_at = now;
        }
        source.clock.stream_reopened();
        (source.zone, source.streams) = (zone, source.streams + 1);
    }

    /// Notes that a report stream of a proxy ended.
    pub fn stream_closed(&mut self, now: Duration, proxy: ProxyId) {
        if let Some(source) = self.sources.get_mut(&proxy) {
            source.streams = source.streams.saturating_sub(1);
            source.closed_at = now;
            source.last_report = source.last_report.or(Some(now));
        }
    }

    /// Merges a report that arrived `now`.
    pub fn add_report(&mut self, now: Duration, report: Report) {
        let tries: u64 = report.lines.iter().map(|line| line.figures.tries).sum();
        self.ledger.reports += 1;
        self.ledger.offered += tries;
        self.ledger.strange += report.unresolved_lines;
        let (period, peer_rates) = (self.limits.period, self.peer_rates);
        let source = self
            .sources
            .entry(report.proxy)
            .or_insert_with(|| Source { opened_at: now, ..Source::default() });
        source.zone = report.zone;
        let passed = now.saturating_sub(source.last_report.unwrap_or_default());
        (source.last_report, source.idle) = (Some(now), report.lines.is_empty());
        if !report.lines.is_empty() {
            let digest = digest(&report);
            // A service with constant load has equal reports each second. Only a report that is repeated in less than
            // half the time that it covers must be a duplicate.
            let too_soon = report.interval.is_some_and(|interval| passed < interval / 2);
            if too_soon && source.recent_digests.contains(&digest) {
                self.ledger.repeated += tries;
                return;
            }
            source.recent_digests.push_back(digest);
            if source.recent_digests.len() > MAX_DIGESTS {
                source.recent_digests.pop_front();
            }
        }
        let placed = source.clock.place(now, report.interval, period / 2);
        source.lag = placed.lag;
        self.ledger.mended += u64::from(placed.corrected);
        // Lines of slices and lines of servers count the same tries, so the proxy's load is the greater of the sums.
        let tries_of = |wanted: fn(&Key) -> bool| {
            report.lines.iter().filter(|line| wanted(&line.key)).map(|line| line.figures.tries).sum::<u64>()
        };
        let load = tries_of(|key| matches!(key, Key::Slice { .. }))
            .max(tries_of(|key| matches!(key, Key::Server { .. })));
        let accepted = source.rate_filter.accept(load, placed.to.saturating_sub(placed.from), peer_rates);
        source.update_heavy_hitters(&report.lines, accepted, placed.to.saturating_sub(placed.from));
        let heavy_hitters: BTreeSet<Key> = source.heavy_hitters.keys().copied().collect();
        let downsampled = downsample(report.lines, self.limits.max_report_lines, &mut self.rng);
        self.ledger.estimated += downsampled.total_error;
        self.ledger.thinned += u64::from(downsampled.total_error != 0);
        for (line, variance) in downsampled.lines {
            let rejected = line.figures.portion(accepted, 1.0);
            let figures = line.figures.portion(0.0, accepted);
            self.ledger.doubted += rejected.tries;
            let heavy = heavy_hitters.contains(&line.key);
            self.merge(line.key, &figures, variance, heavy, &placed);
        }
    }

    /// Spreads a line over the periods of its interval. `heavy` tells whether its key is a heavy hitter of the proxy.
    fn merge(&mut self, key: Key, figures: &Figures, variance: f64, heavy: bool, placed: &PlacedInterval) {
        let (from, to) = (placed.from, placed.to);
        if !self.windows.contains_key(&key) && self.windows.len() >= self.limits.max_keys {
            self.ledger.foreign += figures.tries;
            return;
        }
        let (first, last) = (self.period_of(from), self.period_of(to.max(from)));
        let (from, to, new_from) = (from.as_secs_f64(), to.as_secs_f64(), placed.new_from.as_secs_f64());
        let (length, period) = ((to - from).max(1e-9), self.limits.period.as_secs_f64());
        let (first_open, oldest) = (self.first_open_period, last.saturating_sub(MAX_PERIODS_BACK).max(first));
        let window = self
            .windows
            .entry(key)
            .or_insert_with(|| Window { closed_until: first_open, ..Window::default() });
        let fraction_at = |at: u64| ((at as f64 * period - from) / length).clamp(0.0, 1.0);
        let new_fraction = ((new_from - from) / length).clamp(0.0, 1.0);
        let mut merged = 0;
        for at in oldest..=last {
            // The ends are exact, so that rounding loses no tries between periods.
            let end = if at == last { 1.0 } else { fraction_at(at + 1) };
            let begin = (if at == first { 0.0 } else { fraction_at(at) }).max(new_fraction);
            if begin >= end {
                continue;
            }
            let portion = figures.portion(begin, end);
            if at < first_open {
                continue;
            }
            merged += portion.tries;
            let heavy_tries = if heavy { portion.tries } else { 0 };
            let sum = Sum { figures: portion, variance: variance * (end - begin), heavy_tries };
            window.open_periods.entry(at).or_default().add(&sum);
        }
        self.held_tries += merged;
        self.ledger.late += figures.tries - merged;
        // Even a report that is too late as a whole has the servers' newest load values.
        window.pending.figures.load = figures.load_or(window.pending.figures.load);
    }

    /// Closes the periods that are complete at `now` and returns the lines to output, within the budget.
    pub fn output_due_lines(&mut self, now: Duration) -> Vec<MergedLine> {
        let complete_until = self.period_of(now).saturating_sub(u64::from(self.limits.late_report_periods));
        if complete_until <= self.first_open_period {
            return Vec::new();
        }
        let (begin, end) = (self.first_open_period, complete_until);
        let coverage = self.coverage(begin, end);
        self.close_periods(complete_until, &coverage);
        self.first_open_period = complete_until;
        self.peer_rates = PeerRates::of(
            self.sources.values().filter(|s| s.streams > 0).filter_map(|s| s.rate_filter.rate()),
        );
        self.forget_inactive(now);
        self.update_proxy_stats(now, coverage.reported);
        if coverage.reported < self.limits.min_coverage {
            return Vec::new();
        }
        self.output_lines(now)
    }

    /// Computes how much of the expected load was reported over the periods `from..to`, and the estimate of the rest:
    /// heavy hitters of missing proxies by their usual rates, and all other keys by the reports of other proxies.
    fn coverage(&self, from: u64, to: u64) -> Coverage {
        let at = |period: u64| self.limits.period.mul_f64(period as f64);
        let (begin, end) = (at(from), at(to));
        let seconds = end.saturating_sub(begin).as_secs_f64().max(1e-9);
        let median = self.peer_rates.map_or(0.0, |peers| peers.median);
        let grace = self.limits.period * self.limits.disconnected_periods;
        let mut coverage = Coverage {
            reported: 1.0,
            missing_per_reported: BTreeMap::new(),
            missing_heavy_tries: BTreeMap::new(),
        };
        // The reported and the missing rate of each family, without heavy hitters.
        let mut families: BTreeMap<Family, (f64, f64)> = BTreeMap::new();
        let (mut expected_load, mut reported_load) = (0.0, 0.0);
        for source in self.sources.values().filter(|source| source.is_expected(begin, grace)) {
            let rate = source.rate_filter.rate().unwrap_or(median);
            let reported_until = source.clock.reported_until().unwrap_or(Duration::ZERO);
            let reported_part = reported_until.saturating_sub(begin).as_secs_f64() / seconds;
            // A report that ends shortly before the periods do covers all of them, as far as rates are concerned.
            let reported_part = if reported_part > 0.5 { 1.0 } else { reported_part };
            expected_load += rate;
            reported_load += rate * reported_part;
            let mut heavy_rates = [0.0, 0.0];
            for (key, rate) in &source.heavy_hitters {
                if reported_part < 1.0 {
                    *coverage.missing_heavy_tries.entry(*key).or_default() +=
                        rate * seconds * (1.0 - reported_part);
                }
                heavy_rates[usize::from(matches!(key, Key::Slice { .. }))] += rate;
            }
            let families_of_source = [Family::Servers(source.zone), Family::Slices];
            for (family, heavy_rate) in families_of_source.into_iter().zip(heavy_rates) {
                let (reported, missing) = families.entry(family).or_default();
                *reported += (rate - heavy_rate).max(0.0) * reported_part;
                *missing += (rate - heavy_rate).max(0.0) * (1.0 - reported_part);
            }
        }
        if expected_load > 0.0 {
            coverage.reported = reported_load / expected_load;
        }
        for (family, (reported, missing)) in families {
            // Bounds the extrapolation by the ratio at the minimum coverage. With less coverage nothing is output.
            let max_ratio = 1.0 / self.limits.min_coverage - 1.0;
            coverage.missing_per_reported.insert(family, (missing / reported.max(1e-9)).min(max_ratio));
        }
        coverage
    }

    /// Moves the counts of all periods before `complete_until` to the pending ones and adds the estimate of missing
    /// tries.
    fn close_periods(&mut self, complete_until: u64, coverage: &Coverage) {
        let first_open = self.first_open_period;
        for key in coverage.missing_heavy_tries.keys() {
            if self.windows.len() < self.limits.max_keys {
                self.windows
                    .entry(*key)
                    .or_insert_with(|| Window { closed_until: first_open, ..Window::default() });
            }
        }
        for (key, window) in &mut self.windows {
            let later = window.open_periods.split_off(&complete_until);
            let missing_per_reported =
                coverage.missing_per_reported.get(&Family::of(key)).copied().unwrap_or(0.0);
            for sum in std::mem::replace(&mut window.open_periods, later).values() {
                window.pending.add(sum);
                window.missing_tries += (sum.figures.tries - sum.heavy_tries) as f64 * missing_per_reported;
            }
            window.missing_tries += coverage.missing_heavy_tries.get(key).copied().unwrap_or(0.0);
            // Idle periods count, too, up to a bound: rates are computed over them.
            window.pending_periods = (window.pending_periods as u64
                + complete_until.saturating_sub(window.closed_until))
            .min(MAX_LINE_PERIODS.into()) as u32;
            window.closed_until = complete_until;
        }
    }

    /// Chooses the lines to output: overdue ones first, oldest first, and then those whose rates have changed most.
    fn output_lines(&mut self, now: Duration) -> Vec<MergedLine> {
        let period = self.limits.period.as_secs_f64();
        // The budget holds for any second, or any period if that is longer.
        let budget_time = Duration::from_secs(1).max(self.limits.period);
        self.recent_outputs.retain(|(at, _)| now.saturating_sub(*at) < budget_time);
        let used: usize = self.recent_outputs.iter().map(|(_, count)| count).sum();
        let budget = (f64::from(self.limits.lines_per_s) * budget_time.as_secs_f64()) as usize;
        let budget = budget.saturating_sub(used);
        let mut ready = Vec::new();
        let mut held_back = 0;
        for (key, window) in &self.windows {
            let tries = window.pending.figures.tries as f64 + window.missing_tries;
            if tries < 1.0 {
                continue;
            }
            let overdue = window.pending_periods >= self.limits.max_age_periods;
            let error = window.pending.variance.sqrt();
            if !overdue && error > self.limits.max_relative_error * tries {
                held_back += 1;
                continue;
            }
            let rate = tries / (f64::from(window.pending_periods.max(1)) * period);
            // Sorted by age if overdue, then by the difference from the rate that the module knows.
            let change = (rate - window.last_rate).abs();
            let age = if overdue { window.pending_periods } else { 0 };
            ready.push((std::cmp::Reverse(age), std::cmp::Reverse((change * 1e3) as u64), *key));
        }
        self.stats.ready_lines = ready.len();
        self.stats.held_back_lines = held_back;
        if ready.len() > budget {
            ready.select_nth_unstable(budget);
            ready.truncate(budget);
        }
        ready.sort_unstable_by_key(|(_, _, key)| *key);
        self.stats.output_lines = ready.len();
        let output: Vec<MergedLine> =
            ready.into_iter().filter_map(|(_, _, key)| self.output_line(key)).collect();
        self.recent_outputs.push_back((now, output.len()));
        let relative_errors =
            output.iter().map(|line| line.tries_std_error / line.figures.tries.max(1) as f64);
        self.stats.max_relative_error = relative_errors.fold(0.0, f64::max);
        output
    }

    /// Takes the pending counts of a key as one line, extrapolated to missing proxies.
    fn output_line(&mut self, key: Key) -> Option<MergedLine> {
        let period = self.limits.period;
        let window = self.windows.get_mut(&key)?;
        let Sum { mut figures, variance, .. } = std::mem::take(&mut window.pending);
        let missing = std::mem::take(&mut window.missing_tries);
        let interval = period * std::mem::take(&mut window.pending_periods).max(1);
        self.ledger.given += figures.tries;
        self.held_tries -= figures.tries;
        let reported = figures.tries as f64;
        window.last_rate = (reported + missing) / interval.as_secs_f64();
        // Missing proxies are assumed to lose the same fraction of tries as the reporting ones. The standard error of
        // the estimated tries is taken as half their number.
        let scale = if reported > 0.0 { 1.0 + missing / reported } else { 1.0 };
        figures.tries = (reported + missing).round() as u64;
        figures.lost = (figures.lost as f64 * scale).round() as u64;
        let tries_std_error = (variance * scale * scale + missing * missing / 4.0).sqrt();
        Some(MergedLine { key, figures, interval, tries_std_error })
    }

    /// Drops proxies that were disconnected long ago, and keys without counts for the longest interval of a line.
    fn forget_inactive(&mut self, now: Duration) {
        let after = self.limits.period * FORGET_AFTER_PERIODS;
        self.sources.retain(|_, s| {
            s.streams > 0 || now.saturating_sub(s.last_report.unwrap_or(s.opened_at)) <= after
        });
        self.windows.retain(|_, w| {
            !w.open_periods.is_empty()
                || w.pending.figures.tries > 0
                || w.missing_tries > 0.0
                || w.pending_periods < MAX_LINE_PERIODS
        });
    }

    /// Updates the statistics of proxies. `reported` is the fraction of the expected load that was reported.
    fn update_proxy_stats(&mut self, now: Duration, reported: f64) {
        let mut proxies = [0; 4];
        let mut lags = Vec::with_capacity(self.sources.len());
        for source in self.sources.values() {
            let state = source.state(now, self.limits.period);
            proxies[state as usize] += 1;
            if matches!(state, ReportingState::Reporting | ReportingState::Idle) {
                lags.push(source.lag);
            }
        }
        lags.sort_unstable();
        self.stats.coverage = reported;
        self.stats.proxies_by_state = proxies;
        self.stats.max_lag = lags.last().copied().unwrap_or_default();
        self.stats.median_lag = lags.get(lags.len() / 2).copied().unwrap_or_default();
    }

    /// Drops all counts of a slice whose custody has ended: another assigner uses them.
    pub fn drop_slice(&mut self, slice: SliceId) {
        let (ledger, held_tries) = (&mut self.ledger, &mut self.held_tries);
        self.windows.retain(|key, window| {
            let keep = !matches!(key, Key::Slice { slice: of, .. } if *of == slice);
            if !keep {
                let dropped = window.held_tries();
                ledger.foreign += dropped;
                *held_tries -= dropped;
            }
            keep
        });
    }

    /// How often a proxy should report. Proxies with a great lag are asked for fewer reports, so that they catch up.
    pub fn reporting_interval(&self, proxy: ProxyId) -> Duration {
        let period = self.limits.period;
        let lag = self.sources.get(&proxy).map_or(Duration::ZERO, |source| source.lag);
        match lag.as_nanos() / period.as_nanos().max(1) {
            0 | 1 => period,
            2..=4 => period * 2,
            _ => period * 4,
        }
    }

    /// The state of a proxy at `now`; `None` if it is unknown.
    pub fn reporting_state(&self, now: Duration, proxy: ProxyId) -> Option<ReportingState> {
        Some(self.sources.get(&proxy)?.state(now, self.limits.period))
    }

    /// All proxies with their states, lags and accepted rates; sorted by state and lag, the worst first.
    pub fn proxies(&self, now: Duration) -> Vec<(ProxyId, ReportingState, Duration, Option<f64>)> {
        let one = |(id, source): (&ProxyId, &Source)| {
            (*id, source.state(now, self.limits.period), source.lag, source.rate_filter.rate())
        };
        let mut all: Vec<_> = self.sources.iter().map(one).collect();
        all.sort_by(|a, b| (b.1, b.2, a.0).cmp(&(a.1, a.2, b.0)));
        all
    }

    /// Whether too little of the expected load is reported for any output.
    pub fn is_coverage_too_low(&self) -> bool {
        self.first_open_period > 0 && self.stats.coverage < self.limits.min_coverage
    }

    /// The normal reporting interval.
    pub fn period(&self) -> Duration {
        self.limits.period
    }

    /// The account of all reported tries.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The number of tries held and not output yet.
    pub fn held_tries(&self) -> u64 {
        self.held_tries
    }

    /// The number of keys held.
    pub fn keys(&self) -> usize {
        self.windows.len()
    }

    /// Statistics for operators.
    pub fn stats(&self) -> &IntakeStats {
        &self.stats
    }

    /// Counts the tries held, key by key. Slow; for tests.
    pub fn count_held_tries(&self) -> u64 {
        self.windows.values().map(Window::held_tries).sum()
    }
}

impl Window {
    fn held_tries(&self) -> u64 {
        self.pending.figures.tries + self.open_periods.values().map(|sum| sum.figures.tries).sum::<u64>()
    }
}

/// A digest of a report's content. It does not depend on the stream that the report arrives on.
fn digest(report: &Report) -> u64 {
    let mut hasher = DefaultHasher::new();
    report.interval.hash(&mut hasher);
    for Line { key, figures } in &report.lines {
        (key, figures.tries, figures.lost, figures.ok, figures.wait_ms.to_bits()).hash(&mut hasher);
    }
    hasher.finish()
}

#[cfg(test)]
mod tests;
