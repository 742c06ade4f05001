//! Reports in, a bounded number of lines out.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use whinhill::interface::{ProxyId, SliceId, ZoneId};

use crate::clock::{Clock, Placed};
use crate::ledger::Ledger;
use crate::sample::thin;
use crate::trust::{Trust, Usual};
use crate::{Figures, Key, Line, Told};

/// What an intake may cost, and how long it waits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Proxies report this often, and lines are given this often.
    pub period: Duration,
    pub lines_per_s: u32,
    /// Lines of one report that are taken as they are; longer ones are thinned to as many.
    pub report_lines_most: usize,
    /// Keys that are held at a time.
    pub keys_most: usize,
    /// How long after its end a stretch waits for those who are late, in periods.
    pub wait: u32,
    /// A line whose tries are known no better than to this share waits for more, up to [`Limits::age_most`].
    pub error_most: f64,
    /// A line is given by then whatever it holds, in periods.
    pub age_most: u32,
    /// A proxy whose streams are gone is expected to carry on for so long, in periods: cut off is not idle.
    pub vouch: u32,
    /// With less of the expected load heard than this share nothing is given: too little is known.
    pub heard_least: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            period: Duration::from_secs(1),
            lines_per_s: 2000,
            report_lines_most: 512,
            keys_most: 200_000,
            wait: 1,
            error_most: 0.5,
            age_most: 4,
            vouch: 10,
            heard_least: 0.25,
        }
    }
}

/// A line for the module.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Given {
    pub key: Key,
    /// Counts stand for all proxies that are expected to report, heard or not.
    pub figures: Figures,
    /// The stretch that it covers: longer where little was known of a shorter one.
    pub span: Duration,
    /// The standard error of its tries.
    pub error: f64,
}

/// How a proxy stands, by its reports. Unheard is unknown: only one that says so is quiet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Hearing {
    /// It reports, and RPCs came.
    Heard,
    /// It reports that nothing came.
    Quiet,
    /// Its stream stands and it says nothing.
    Silent,
    /// Its stream is gone.
    Cut,
}

#[derive(Debug, Default)]
struct Source {
    zone: ZoneId,
    clock: Clock,
    trust: Trust,
    /// Its report streams that stand.
    streams: u32,
    opened: Duration,
    /// When it last said anything, and whether that was that nothing came.
    said: Option<Duration>,
    quiet: bool,
    late: Duration,
    /// When the last of its streams ended.
    closed: Duration,
    /// What it usually tells most of, in tries a second: known apart, since nobody else may tell of it.
    heavy: BTreeMap<Key, f64>,
    /// Digests of its last reports, to know one that comes again.
    before: VecDeque<u64>,
}

impl Hearing {
    pub fn name(self) -> &'static str {
        match self {
            Hearing::Heard => "heard",
            Hearing::Quiet => "quiet",
            Hearing::Silent => "silent",
            Hearing::Cut => "cut",
        }
    }
}

impl Source {
    /// Takes up what a report says most of.
    fn note_heavy(&mut self, lines: &[Line], believed: f64, stretch: Duration) {
        let seconds = stretch.as_secs_f64().max(1e-3);
        let least = self.trust.rate().unwrap_or(0.0) * HEAVY;
        self.heavy.values_mut().for_each(|rate| *rate *= 1.0 - HEAVY_NEW);
        for Line { key, figures } in lines {
            let rate = figures.tries as f64 * believed / seconds;
            if let Some(known) = self.heavy.get_mut(key) {
                *known += rate * HEAVY_NEW;
            } else if rate >= least && self.heavy.len() < HEAVY_MOST {
                self.heavy.insert(*key, rate);
            }
        }
        self.heavy.retain(|_, rate| *rate >= least / 2.0);
    }

    /// Whether it counts among those that should be heard from `begin` on.
    fn expected(&self, begin: Duration, vouch: Duration) -> bool {
        self.opened <= begin && (self.streams > 0 || begin <= self.closed + vouch)
    }

    fn hearing(&self, now: Duration, period: Duration) -> Hearing {
        let since = self.said.unwrap_or(self.opened);
        match (self.streams, now.saturating_sub(since) > period * SILENT_AFTER) {
            (0, _) => Hearing::Cut,
            (_, true) => Hearing::Silent,
            (_, false) if self.quiet => Hearing::Quiet,
            (_, false) => Hearing::Heard,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    figures: Figures,
    variance: f64,
    /// Tries told by proxies that tell most of this key: they stand for nobody else.
    apart: u64,
}

impl Sum {
    fn add(&mut self, other: &Sum) {
        self.figures.add(&other.figures);
        self.variance += other.variance;
        self.apart += other.apart;
    }
}

#[derive(Debug, Default)]
struct Window {
    /// By period: what fell into it, while it waits for those who are late.
    open: BTreeMap<u64, Sum>,
    /// What is complete and was not given, and how many periods it covers.
    waiting: Sum,
    /// Tries of those who should have been heard in these periods and were not, by what they usually tell.
    unheard: f64,
    periods: u32,
    /// The rate that was given last, in tries a second.
    told: f64,
    /// The last period that was given or folded.
    since: u64,
}

/// A key that makes up this share of what a proxy tells is known apart, up to so many.
const HEAVY: f64 = 0.02;
const HEAVY_MOST: usize = 64;
const HEAVY_NEW: f64 = 0.3;
const SILENT_AFTER: u32 = 3;
/// A proxy whose stream is gone for this long is forgotten, in periods.
const FORGET_AFTER: u32 = 120;
/// Reports of a proxy whose repetition is known.
const DIGESTS: usize = 4;
/// Periods that lines may lie back; what happened before is merged nowhere.
const BACK: u64 = 8;
/// The longest stretch that one line covers, in periods.
const PERIODS_MOST: u32 = 20;

/// Lines that stand for the same tries: those at a zone's servers, and those of slices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Family {
    Met(ZoneId),
    Came,
}

impl Family {
    fn of(key: &Key) -> Family {
        match key {
            Key::Met { zone, .. } => Family::Met(*zone),
            Key::Came { .. } => Family::Came,
        }
    }
}

/// Who was heard over some periods, and what makes up for the others.
struct Coverage {
    /// The part of the expected load that was heard.
    heard: f64,
    /// Tries that each try heard stands for beside itself.
    more: BTreeMap<Family, f64>,
    /// Tries by key that the unheard usually tell.
    apart: BTreeMap<Key, f64>,
}

pub struct Intake {
    limits: Limits,
    sources: BTreeMap<ProxyId, Source>,
    windows: BTreeMap<Key, Window>,
    ledger: Ledger,
    rng: ChaCha8Rng,
    /// The first period that is still open.
    open: u64,
    usual: Option<Usual>,
    /// Tries in windows.
    waiting: u64,
    /// What was given within the last second or period.
    given: VecDeque<(Duration, usize)>,
    shown: Shown,
}

/// What staff can look at.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Shown {
    /// Keys with something to give, and how many of them were given, at the last turn.
    pub ready: usize,
    pub given: usize,
    /// Lines that waited since they are known too badly.
    pub unsure: usize,
    /// The greatest standard error of a line given at the last turn, as a share of its tries.
    pub error_most: f64,
    /// The part of the expected load that was heard for the last period given.
    pub heard: f64,
    /// Proxies by [`Hearing`]: heard, quiet, silent, cut.
    pub proxies: [usize; 4],
    /// The longest and the middle lag of proxies that are heard.
    pub lag_most: Duration,
    pub lag_middle: Duration,
}

impl Intake {
    pub fn new(limits: Limits, seed: u64) -> Self {
        Intake {
            limits,
            sources: BTreeMap::new(),
            windows: BTreeMap::new(),
            ledger: Ledger::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            open: 0,
            usual: None,
            waiting: 0,
            given: VecDeque::new(),
            shown: Shown::default(),
        }
    }

    fn period_of(&self, at: Duration) -> u64 {
        (at.as_nanos() / self.limits.period.as_nanos().max(1)) as u64
    }

    /// A proxy opened a report stream: it is expected to report.
    pub fn opened(&mut self, now: Duration, proxy: ProxyId, zone: ZoneId) {
        let source = self.sources.entry(proxy).or_default();
        if source.streams == 0 {
            source.opened = now;
        }
        source.clock.reopened();
        (source.zone, source.streams) = (zone, source.streams + 1);
    }

    /// And one that ended.
    pub fn closed(&mut self, now: Duration, proxy: ProxyId) {
        if let Some(source) = self.sources.get_mut(&proxy) {
            source.streams = source.streams.saturating_sub(1);
            source.closed = now;
            source.said = source.said.or(Some(now));
        }
    }

    /// Takes a report that arrived `now`.
    pub fn take(&mut self, now: Duration, told: Told) {
        let tries: u64 = told.lines.iter().map(|line| line.figures.tries).sum();
        self.ledger.reports += 1;
        self.ledger.offered += tries;
        self.ledger.strange += told.strange;
        let (period, usual) = (self.limits.period, self.usual);
        let source =
            self.sources.entry(told.proxy).or_insert_with(|| Source { opened: now, ..Source::default() });
        source.zone = told.zone;
        let passed = now.saturating_sub(source.said.unwrap_or_default());
        (source.said, source.quiet) = (Some(now), told.lines.is_empty());
        if !told.lines.is_empty() {
            let digest = digest(&told);
            // A quiet service says the same each second. Only what comes again in less than half the time that it
            // covers can't be news.
            let too_soon = told.stretch.is_some_and(|stretch| passed < stretch / 2);
            if too_soon && source.before.contains(&digest) {
                self.ledger.repeated += tries;
                return;
            }
            source.before.push_back(digest);
            if source.before.len() > DIGESTS {
                source.before.pop_front();
            }
        }
        let placed = source.clock.place(now, told.stretch, period / 2);
        source.late = placed.late;
        self.ledger.mended += u64::from(placed.mended);
        // Counts of a slice are those of a server over again: the greater of the two sums is what it carries.
        let of = |wanted: fn(&Key) -> bool| {
            told.lines.iter().filter(|line| wanted(&line.key)).map(|line| line.figures.tries).sum::<u64>()
        };
        let carried = of(|key| matches!(key, Key::Came { .. })).max(of(|key| matches!(key, Key::Met { .. })));
        let believed = source.trust.believe(carried, placed.to.saturating_sub(placed.from), usual);
        source.note_heavy(&told.lines, believed, placed.to.saturating_sub(placed.from));
        let heavy: BTreeSet<Key> = source.heavy.keys().copied().collect();
        let thinned = thin(told.lines, self.limits.report_lines_most, &mut self.rng);
        self.ledger.estimated += thinned.estimated;
        self.ledger.thinned += u64::from(thinned.estimated != 0);
        for (line, variance) in thinned.lines {
            let doubted = line.figures.part(believed, 1.0);
            let figures = line.figures.part(0.0, believed);
            self.ledger.doubted += doubted.tries;
            let apart = heavy.contains(&line.key);
            self.merge(line.key, &figures, variance, apart, &placed);
        }
    }

    /// Lays a line out over the periods in which it happened.
    fn merge(&mut self, key: Key, figures: &Figures, variance: f64, apart: bool, placed: &Placed) {
        let (from, to) = (placed.from, placed.to);
        if !self.windows.contains_key(&key) && self.windows.len() >= self.limits.keys_most {
            self.ledger.foreign += figures.tries;
            return;
        }
        let (first, last) = (self.period_of(from), self.period_of(to.max(from)));
        let (from, to, fresh) = (from.as_secs_f64(), to.as_secs_f64(), placed.fresh.as_secs_f64());
        let (length, period) = ((to - from).max(1e-9), self.limits.period.as_secs_f64());
        let (open, oldest) = (self.open, last.saturating_sub(BACK).max(first));
        let window = self.windows.entry(key).or_insert_with(|| Window { since: open, ..Window::default() });
        let share = |at: u64| ((at as f64 * period - from) / length).clamp(0.0, 1.0);
        let news = ((fresh - from) / length).clamp(0.0, 1.0);
        let mut merged = 0;
        for at in oldest..=last {
            // The last part takes the rounding, so that nothing falls between two periods.
            let end = if at == last { 1.0 } else { share(at + 1) };
            let begin = (if at == first { 0.0 } else { share(at) }).max(news);
            if begin >= end {
                continue;
            }
            let part = figures.part(begin, end);
            if at < open {
                continue;
            }
            merged += part.tries;
            let apart = if apart { part.tries } else { 0 };
            let sum = Sum { figures: part, variance: variance * (end - begin), apart };
            window.open.entry(at).or_default().add(&sum);
        }
        self.waiting += merged;
        self.ledger.late += figures.tries - merged;
        // A proxy may be late as a whole; what its servers tell of themselves is news all the same.
        window.waiting.figures.load = figures.load_over(window.waiting.figures.load);
    }

    /// What the module is given now: at the end of each period, within the budget.
    pub fn give(&mut self, now: Duration) -> Vec<Given> {
        let ripe = self.period_of(now).saturating_sub(u64::from(self.limits.wait));
        if ripe <= self.open {
            return Vec::new();
        }
        let (begin, end) = (self.open, ripe);
        let coverage = self.coverage(begin, end);
        self.fold(ripe, &coverage);
        self.open = ripe;
        self.usual =
            Usual::of(self.sources.values().filter(|s| s.streams > 0).filter_map(|s| s.trust.rate()));
        self.forget(now);
        self.look(now, coverage.heard);
        if coverage.heard < self.limits.heard_least {
            return Vec::new();
        }
        self.choose(now)
    }

    /// How much of the expected load was heard over these periods, and what makes up for the rest: what the unheard
    /// usually tell most of by key, and all else by those who were heard.
    fn coverage(&self, from: u64, to: u64) -> Coverage {
        let at = |period: u64| self.limits.period.mul_f64(period as f64);
        let (begin, end) = (at(from), at(to));
        let seconds = end.saturating_sub(begin).as_secs_f64().max(1e-9);
        let middle = self.usual.map_or(0.0, |usual| usual.rate);
        let vouch = self.limits.period * self.limits.vouch;
        let mut coverage = Coverage { heard: 1.0, more: BTreeMap::new(), apart: BTreeMap::new() };
        // Of each family, beside what is known apart: heard and unheard.
        let mut families: BTreeMap<Family, (f64, f64)> = BTreeMap::new();
        let (mut expected, mut heard) = (0.0, 0.0);
        for source in self.sources.values().filter(|source| source.expected(begin, vouch)) {
            let rate = source.trust.rate().unwrap_or(middle);
            let until = source.clock.heard_until().unwrap_or(Duration::ZERO);
            let part = until.saturating_sub(begin).as_secs_f64() / seconds;
            // A report that ends a moment before the period does has told of all of it, as far as rates go.
            let part = if part > 0.5 { 1.0 } else { part };
            expected += rate;
            heard += rate * part;
            let mut apart = [0.0, 0.0];
            for (key, rate) in &source.heavy {
                if part < 1.0 {
                    *coverage.apart.entry(*key).or_default() += rate * seconds * (1.0 - part);
                }
                apart[usize::from(matches!(key, Key::Came { .. }))] += rate;
            }
            for (family, apart) in [Family::Met(source.zone), Family::Came].into_iter().zip(apart) {
                let (heard, unheard) = families.entry(family).or_default();
                *heard += (rate - apart).max(0.0) * part;
                *unheard += (rate - apart).max(0.0) * (1.0 - part);
            }
        }
        if expected > 0.0 {
            coverage.heard = heard / expected;
        }
        for (family, (heard, unheard)) in families {
            // Few stand for many up to a bound; past it nothing is given at all.
            let most = 1.0 / self.limits.heard_least - 1.0;
            coverage.more.insert(family, (unheard / heard.max(1e-9)).min(most));
        }
        coverage
    }

    /// Adds what is complete to what waits to be given.
    fn fold(&mut self, ripe: u64, coverage: &Coverage) {
        let open = self.open;
        for key in coverage.apart.keys() {
            if self.windows.len() < self.limits.keys_most {
                self.windows.entry(*key).or_insert_with(|| Window { since: open, ..Window::default() });
            }
        }
        for (key, window) in &mut self.windows {
            let later = window.open.split_off(&ripe);
            let more = coverage.more.get(&Family::of(key)).copied().unwrap_or(0.0);
            for sum in std::mem::replace(&mut window.open, later).values() {
                window.waiting.add(sum);
                window.unheard += (sum.figures.tries - sum.apart) as f64 * more;
            }
            window.unheard += coverage.apart.get(key).copied().unwrap_or(0.0);
            // Idle periods count too, up to a bound: they are part of what a rate is reckoned over.
            window.periods =
                (window.periods as u64 + ripe.saturating_sub(window.since)).min(PERIODS_MOST.into()) as u32;
            window.since = ripe;
        }
    }

    /// The lines to give: those that waited long enough first, then those that change the picture most.
    fn choose(&mut self, now: Duration) -> Vec<Given> {
        let period = self.limits.period.as_secs_f64();
        // Never more than the budget within any second, or any period where that is longer.
        let within = Duration::from_secs(1).max(self.limits.period);
        self.given.retain(|(at, _)| now.saturating_sub(*at) < within);
        let spent: usize = self.given.iter().map(|(_, count)| count).sum();
        let most = (f64::from(self.limits.lines_per_s) * within.as_secs_f64()) as usize;
        let most = most.saturating_sub(spent);
        let mut ready = Vec::new();
        let mut unsure = 0;
        for (key, window) in &self.windows {
            let tries = window.waiting.figures.tries as f64 + window.unheard;
            if tries < 1.0 {
                continue;
            }
            let (overdue, error) = (window.periods >= self.limits.age_most, window.waiting.variance.sqrt());
            if !overdue && error > self.limits.error_most * tries {
                unsure += 1;
                continue;
            }
            let rate = tries / (f64::from(window.periods.max(1)) * period);
            // Overdue by age, then by how far the module's picture is from what is known.
            let change = (rate - window.told).abs();
            let age = if overdue { window.periods } else { 0 };
            ready.push((std::cmp::Reverse(age), std::cmp::Reverse((change * 1e3) as u64), *key));
        }
        self.shown.ready = ready.len();
        self.shown.unsure = unsure;
        if ready.len() > most {
            ready.select_nth_unstable(most);
            ready.truncate(most);
        }
        ready.sort_unstable_by_key(|(_, _, key)| *key);
        self.shown.given = ready.len();
        let given: Vec<Given> = ready.into_iter().filter_map(|(_, _, key)| self.hand_over(key)).collect();
        self.given.push_back((now, given.len()));
        let shares = given.iter().map(|given| given.error / given.figures.tries.max(1) as f64);
        self.shown.error_most = shares.fold(0.0, f64::max);
        given
    }

    fn hand_over(&mut self, key: Key) -> Option<Given> {
        let period = self.limits.period;
        let window = self.windows.get_mut(&key)?;
        let Sum { mut figures, variance, .. } = std::mem::take(&mut window.waiting);
        let unheard = std::mem::take(&mut window.unheard);
        let span = period * std::mem::take(&mut window.periods).max(1);
        self.ledger.given += figures.tries;
        self.waiting -= figures.tries;
        let known = figures.tries as f64;
        window.told = (known + unheard) / span.as_secs_f64();
        // The unheard are taken to lose as the heard do. What they tell instead of us is as uncertain as it is much.
        let times = if known > 0.0 { 1.0 + unheard / known } else { 1.0 };
        figures.tries = (known + unheard).round() as u64;
        figures.lost = (figures.lost as f64 * times).round() as u64;
        let error = (variance * times * times + unheard * unheard / 4.0).sqrt();
        Some(Given { key, figures, span, error })
    }

    /// Lets go of proxies and keys that nothing is heard of any more.
    fn forget(&mut self, now: Duration) {
        let after = self.limits.period * FORGET_AFTER;
        self.sources.retain(|_, s| s.streams > 0 || now.saturating_sub(s.said.unwrap_or(s.opened)) <= after);
        self.windows.retain(|_, w| {
            !w.open.is_empty() || w.waiting.figures.tries > 0 || w.unheard > 0.0 || w.periods < PERIODS_MOST
        });
    }

    fn look(&mut self, now: Duration, heard: f64) {
        let mut proxies = [0; 4];
        let mut lags = Vec::with_capacity(self.sources.len());
        for source in self.sources.values() {
            let hearing = source.hearing(now, self.limits.period);
            proxies[hearing as usize] += 1;
            if matches!(hearing, Hearing::Heard | Hearing::Quiet) {
                lags.push(source.late);
            }
        }
        lags.sort_unstable();
        self.shown.heard = heard;
        self.shown.proxies = proxies;
        self.shown.lag_most = lags.last().copied().unwrap_or_default();
        self.shown.lag_middle = lags.get(lags.len() / 2).copied().unwrap_or_default();
    }

    /// A slice is no longer ours: what was told of it is another's to use.
    pub fn drop_slice(&mut self, slice: SliceId) {
        let (ledger, waiting) = (&mut self.ledger, &mut self.waiting);
        self.windows.retain(|key, window| {
            let ours = !matches!(key, Key::Came { slice: of, .. } if *of == slice);
            if !ours {
                let held = window.held();
                ledger.foreign += held;
                *waiting -= held;
            }
            ours
        });
    }

    /// How often a proxy should report: those whose reports come late are asked for fewer, so that they catch up.
    pub fn interval(&self, proxy: ProxyId) -> Duration {
        let period = self.limits.period;
        let late = self.sources.get(&proxy).map_or(Duration::ZERO, |source| source.late);
        match late.as_nanos() / period.as_nanos().max(1) {
            0 | 1 => period,
            2..=4 => period * 2,
            _ => period * 4,
        }
    }

    pub fn hearing(&self, now: Duration, proxy: ProxyId) -> Option<Hearing> {
        Some(self.sources.get(&proxy)?.hearing(now, self.limits.period))
    }

    /// Proxies by how they stand, with the lag of each, the worst first.
    pub fn proxies(&self, now: Duration) -> Vec<(ProxyId, Hearing, Duration, Option<f64>)> {
        let one = |(id, source): (&ProxyId, &Source)| {
            (*id, source.hearing(now, self.limits.period), source.late, source.trust.rate())
        };
        let mut all: Vec<_> = self.sources.iter().map(one).collect();
        all.sort_by(|a, b| (b.1, b.2, a.0).cmp(&(a.1, a.2, b.0)));
        all
    }

    /// Too little of the expected load is heard for anything to be given.
    pub fn blind(&self) -> bool {
        self.open > 0 && self.shown.heard < self.limits.heard_least
    }

    /// The ordinary time between reports.
    pub fn period(&self) -> Duration {
        self.limits.period
    }

    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Tries that are held.
    pub fn waiting(&self) -> u64 {
        self.waiting
    }

    pub fn keys(&self) -> usize {
        self.windows.len()
    }

    pub fn shown(&self) -> &Shown {
        &self.shown
    }

    /// Adds up what is held, window by window: slow, for tests.
    pub fn recount(&self) -> u64 {
        self.windows.values().map(Window::held).sum()
    }
}

impl Window {
    fn held(&self) -> u64 {
        self.waiting.figures.tries + self.open.values().map(|sum| sum.figures.tries).sum::<u64>()
    }
}

/// The same report has the same digest, from whichever stream it comes.
fn digest(told: &Told) -> u64 {
    let mut hasher = DefaultHasher::new();
    told.stretch.hash(&mut hasher);
    for Line { key, figures } in &told.lines {
        (key, figures.tries, figures.lost, figures.oks, figures.wait_ms.to_bits()).hash(&mut hasher);
    }
    hasher.finish()
}

#[cfg(test)]
mod tests;
