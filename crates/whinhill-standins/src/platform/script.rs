//! The script of one seed: the actions on assigners and their surroundings. The same seed gives the
//! same script.

use std::str::FromStr;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use super::parameters::{MANY_PROXIES, PROXIES, SLICES, ZONES};
use super::state::Condition;
use super::streams::{StreamTrouble, STREAM_TROUBLES};
use crate::link::Direction;

/// Kinds of trouble, which a seed draws or the command line names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Trouble {
    /// Series of SIGHUP and SIGTERM.
    Signals,
    /// SIGKILL without a SIGTERM.
    Kills,
    /// SIGSTOP for some time.
    Pauses,
    /// Reads and writes fail for lack of memory or buffers, transfer less than asked, return EAGAIN
    /// too early, or are interrupted.
    Transfers,
    /// Accepts, sockets and connects fail.
    Connects,
    /// Waits and registrations for I/O events fail.
    Waits,
    /// The wall clock is stepped.
    Clock,
    /// Paths to relay and discovery break, stall in one or both directions, or are slow.
    Paths,
    /// Server lists come late.
    Lists,
    /// Servers are slow, or a quarter of them is silent and then restarts cold.
    Servers,
    /// Hundreds of clients connect.
    Crowds,
    /// Servers answer probes and hang RPCs.
    Hangs,
    /// Servers answer RPCs and hang probes.
    Probes,
    /// Servers reset connections.
    Resets,
    /// Servers answer late because of a queue of work from other senders.
    Queues,
    /// All servers of a zone are silent.
    Zones,
    /// A quarter of the servers vanishes and returns cold all at once.
    Returns,
    /// Many servers are replaced at once, with a burst of load.
    Releases,
    /// Reports of the collectors come late or are lost.
    Collectors,
    /// Byte proxies on the paths of clients and to the relay cut streams into small pieces and
    /// forward the end of one side alone.
    Pieces,
    /// Streams of proxies break, are silent, return, or lose acknowledgements.
    Streams,
    /// Each server that gets a slice drains soon after, several times in a row.
    Drains,
}

/// The number of kinds in [`TROUBLES`] that existed first. Scripts with only these kinds, asked for
/// by name, must stay as they were, so they keep the former limit of nodes.
const FIRST_KINDS: usize = 11;
const MAX_NODES_OF_FIRST_KINDS: usize = 4;

/// The number of kinds in [`TROUBLES`] that every seed may draw. The others are added only to seeds
/// from [`EXTRA_KIND_FIRST_SEED`] on, so that the scripts of earlier seeds stay as they were.
pub const DRAWN_KINDS: usize = 20;
const EXTRA_KIND_FIRST_SEED: u64 = 200;
const EXTRA_KIND_CHANCE: f64 = 0.5;

/// All kinds with their names on the command line.
pub const TROUBLES: [(&str, Trouble); 22] = [
    ("signals", Trouble::Signals),
    ("kills", Trouble::Kills),
    ("pauses", Trouble::Pauses),
    ("transfers", Trouble::Transfers),
    ("connects", Trouble::Connects),
    ("waits", Trouble::Waits),
    ("clock", Trouble::Clock),
    ("paths", Trouble::Paths),
    ("lists", Trouble::Lists),
    ("servers", Trouble::Servers),
    ("crowds", Trouble::Crowds),
    ("hangs", Trouble::Hangs),
    ("probes", Trouble::Probes),
    ("resets", Trouble::Resets),
    ("queues", Trouble::Queues),
    ("zones", Trouble::Zones),
    ("returns", Trouble::Returns),
    ("releases", Trouble::Releases),
    ("collectors", Trouble::Collectors),
    ("pieces", Trouble::Pieces),
    ("streams", Trouble::Streams),
    ("drains", Trouble::Drains),
];

/// A name that is not in a table of known names.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("'{name}' is none of {known}")]
pub struct UnknownName {
    name: String,
    known: String,
}

/// Looks up a name in a table of known names.
pub(super) fn parse_name<T: Copy>(name: &str, table: &[(&str, T)]) -> Result<T, UnknownName> {
    let found = table.iter().find(|(known, _)| *known == name).map(|(_, value)| *value);
    found.ok_or_else(|| {
        let known: Vec<&str> = table.iter().map(|(known, _)| *known).collect();
        UnknownName { name: name.to_string(), known: known.join(", ") }
    })
}

impl Trouble {
    fn is_first(self) -> bool {
        TROUBLES[..FIRST_KINDS].iter().any(|(_, kind)| *kind == self)
    }
}

impl FromStr for Trouble {
    type Err = UnknownName;

    fn from_str(name: &str) -> Result<Self, UnknownName> {
        parse_name(name, &TROUBLES)
    }
}

/// A path of an assigner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    Relay,
    Discovery,
}

/// One action of a script.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A series of signals, milliseconds apart: true is SIGTERM, false SIGHUP. The process starts
    /// again after `down`.
    Series { node: usize, terms: Vec<bool>, down: Duration },
    /// SIGHUP with new addresses of relay and discovery.
    Reload { node: usize },
    /// SIGKILL. The process starts again after `down`.
    Kill { node: usize, down: Duration },
    /// SIGSTOP, and SIGCONT after `time`.
    Pause { node: usize, time: Duration },
    /// The connections of a path are reset, and new ones are refused for a time.
    Cut { node: usize, path: Path, time: Duration },
    /// A path forwards nothing in one or both directions for a time.
    Stall { node: usize, path: Path, direction: Direction, time: Duration },
    /// A path delays what it forwards for a time.
    Delay { node: usize, path: Path, by: Duration, time: Duration },
    /// Server lists reach an assigner late by `by` for a time.
    LateLists { node: usize, by: Duration, time: Duration },
    /// A fraction of the servers is silent for a time and then restarts.
    Silence { share: f64, time: Duration },
    /// A server is slower by a factor for a time.
    Slow { times: u32, time: Duration },
    /// Additional clients connect to an assigner for a time.
    Crowd { node: usize, clients: usize, time: Duration },
    /// A fraction of the servers changes its condition for a time.
    Ill { condition: Condition, share: f64, time: Duration },
    /// All ready servers of a zone are silent for a time.
    SilentZone { zone: usize, time: Duration },
    /// A fraction of the servers gets extra work of this duration on each worker.
    Backlog { share: f64, by: Duration },
    /// A fraction of the servers is removed from the list and returns cold.
    Vanish { share: f64, time: Duration },
    /// A fraction of the servers is replaced at once, with a multiple of the usual load.
    Release { share: f64, rate_times: f64, time: Duration },
    /// Reports come late by this much, or not at all.
    TroubledReports { node: usize, by: Option<Duration>, time: Duration },
    /// Byte proxies cut streams into pieces for a time: `bytes` on the paths of clients, longer ones to the
    /// relay.
    Pieces { node: usize, bytes: usize, time: Duration },
    /// Something happens to the streams of proxies.
    Streams { node: usize, trouble: StreamTrouble, time: Duration },
    /// Each server that gets a slice drains soon after.
    Drains(DrainPlan),
}

/// A series of drains that follows one slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainPlan {
    pub slice: usize,
    pub drains: usize,
    /// From the grant to the drain of the server that it names.
    pub time_to_drain: Duration,
    /// How long a proxy is away that loses its stream at each grant.
    pub time_away: Duration,
}

/// The script of a seed.
#[derive(Clone, Debug)]
pub struct Script {
    pub nodes: usize,
    pub proxies: usize,
    pub troubles: Vec<Trouble>,
    /// In order of time.
    pub actions: Vec<(Duration, Action)>,
    seed: u64,
}

/// No action comes earlier, so that the first start and the first lines are not disturbed.
const QUIET_START: Duration = Duration::from_secs(3);
/// No action comes this close to the end of the run.
const QUIET_END: Duration = Duration::from_secs(5);
/// Mean time between two actions.
const MEAN_ACTION_INTERVAL: Duration = Duration::from_millis(2500);
const MAX_NODES: usize = 5;
/// Of the seeds with troubled streams, those that are a multiple of this have many proxies.
const MANY_PROXIES_SEED_DIVISOR: u64 = 3;
/// A silent zone, the load of a release and troubled reports last this much longer than other
/// troubles.
const EXTRA_DURATION: Duration = Duration::from_secs(2);
/// The range of milliseconds for which a stream is silent, flaps, or loses acknowledgements.
const STREAM_TROUBLE_MS: std::ops::Range<u64> = 1000..20_000;
/// The length of a series of drains, and its times in milliseconds.
const DRAINS_IN_SERIES: std::ops::Range<usize> = 3..7;
const TIME_TO_DRAIN_MS: std::ops::Range<u64> = 100..1500;
const TIME_AWAY_MS: std::ops::Range<u64> = 600..3000;

impl Script {
    /// Draws the script of a seed. If `only` is not empty, the script has exactly these kinds of
    /// trouble.
    pub fn draw(seed: u64, time: Duration, only: &[Trouble]) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let are_first = !only.is_empty() && only.iter().all(|kind| kind.is_first());
        let nodes = random.random_range(1..=if are_first { MAX_NODES_OF_FIRST_KINDS } else { MAX_NODES });
        let troubles: Vec<Trouble> = if only.is_empty() {
            let count = random.random_range(2..=6);
            let drawn = TROUBLES[..DRAWN_KINDS].choose_multiple(&mut random, count);
            let mut drawn: Vec<_> = drawn.map(|(_, trouble)| *trouble).collect();
            drawn.sort_unstable();
            if seed >= EXTRA_KIND_FIRST_SEED && random.random_bool(EXTRA_KIND_CHANCE) {
                drawn.push(Trouble::Streams);
            }
            drawn
        } else {
            only.to_vec()
        };
        let has_many = troubles.contains(&Trouble::Streams) && seed.is_multiple_of(MANY_PROXIES_SEED_DIVISOR);
        let proxies = if has_many { MANY_PROXIES } else { PROXIES };
        let mut script = Script { nodes, proxies, troubles, actions: Vec::new(), seed };
        let mut at = QUIET_START;
        while at + QUIET_END < time {
            if let Some(action) = script.draw_action(&mut random) {
                script.actions.push((at, action));
            }
            at += MEAN_ACTION_INTERVAL.mul_f64(random.random_range(0.2..1.8));
        }
        script
    }

    fn draw_action(&self, random: &mut ChaCha8Rng) -> Option<Action> {
        let node = random.random_range(0..self.nodes);
        let time = Duration::from_millis(random.random_range(200..4000));
        let path = if random.random() { Path::Relay } else { Path::Discovery };
        let down = Duration::from_millis(random.random_range(100..2500));
        Some(match self.troubles.choose(random)? {
            Trouble::Signals if random.random_bool(0.4) => Action::Reload { node },
            Trouble::Signals => {
                let mut terms: Vec<bool> = (0..random.random_range(1..5)).map(|_| random.random()).collect();
                terms.push(true);
                Action::Series { node, terms, down }
            }
            Trouble::Kills => Action::Kill { node, down },
            Trouble::Pauses => Action::Pause { node, time: time.mul_f64(0.5) },
            Trouble::Paths => match random.random_range(0..3) {
                0 => Action::Cut { node, path, time: time.mul_f64(0.5) },
                1 => {
                    let directions = [Direction::To, Direction::Back, Direction::Both];
                    Action::Stall {
                        node,
                        path,
                        direction: *directions.choose(random)?,
                        time: time.mul_f64(0.8),
                    }
                }
                _ => {
                    Action::Delay { node, path, by: Duration::from_millis(random.random_range(5..60)), time }
                }
            },
            Trouble::Lists => {
                Action::LateLists { node, by: Duration::from_millis(random.random_range(200..2500)), time }
            }
            Trouble::Servers if random.random() => Action::Silence { share: 0.25, time },
            Trouble::Servers => Action::Slow { times: random.random_range(4..20), time },
            Trouble::Crowds => Action::Crowd { node, clients: random.random_range(100..400), time },
            Trouble::Hangs => Action::Ill { condition: Condition::Hang, share: 0.2, time },
            Trouble::Probes => Action::Ill { condition: Condition::Mute, share: 0.2, time },
            Trouble::Resets => Action::Ill { condition: Condition::Reset, share: 0.2, time },
            Trouble::Queues => Action::Backlog { share: 0.2, by: time },
            Trouble::Zones => {
                Action::SilentZone { zone: random.random_range(0..ZONES.len()), time: time + EXTRA_DURATION }
            }
            Trouble::Returns => Action::Vanish { share: 0.25, time },
            Trouble::Releases => Action::Release {
                share: 0.4,
                rate_times: random.random_range(2.0..5.0),
                time: time + EXTRA_DURATION,
            },
            Trouble::Collectors => {
                let by =
                    random.random_bool(0.5).then(|| Duration::from_millis(random.random_range(500..3000)));
                Action::TroubledReports { node, by, time: time + EXTRA_DURATION }
            }
            Trouble::Pieces => Action::Pieces { node, bytes: random.random_range(2..18), time },
            Trouble::Streams => {
                let time = Duration::from_millis(random.random_range(STREAM_TROUBLE_MS));
                Action::Streams { node, trouble: *STREAM_TROUBLES.choose(random)?, time }
            }
            Trouble::Drains => Action::Drains(DrainPlan {
                slice: random.random_range(0..SLICES),
                drains: random.random_range(DRAINS_IN_SERIES),
                time_to_drain: Duration::from_millis(random.random_range(TIME_TO_DRAIN_MS)),
                time_away: Duration::from_millis(random.random_range(TIME_AWAY_MS)),
            }),
            // The fault library causes these for the whole life of a process.
            Trouble::Transfers | Trouble::Connects | Trouble::Waits | Trouble::Clock => return None,
        })
    }

    /// The schedule of failing calls for the start number `start` of a process; `None` if no calls
    /// fail.
    pub fn failing_calls(&self, node: usize, start: usize) -> Option<String> {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed ^ (node as u64) << 40 ^ (start as u64) << 48);
        let mut parts = Vec::new();
        for trouble in &self.troubles {
            let chance = [0.01, 0.05, 0.2][random.random_range(0..3)];
            match trouble {
                Trouble::Transfers => parts.push(match random.random_range(0..4) {
                    0 => format!("read=ENOBUFS|ENOMEM@{chance} write=ENOBUFS|ENOMEM@{chance}"),
                    1 => "read=EAGAIN@0.5 write=EAGAIN@0.5".to_string(),
                    2 => "read=short|EINTR@0.6 write=short|EINTR@0.6".to_string(),
                    _ => format!("read=EAGAIN|short|ENOMEM@{chance} write=EAGAIN|short|ENOBUFS@{chance}"),
                }),
                Trouble::Connects => parts.push(match random.random_range(0..3) {
                    0 => "accept=EAGAIN@0.9".to_string(),
                    1 => format!(
                        "accept=ENFILE|ENOBUFS|ECONNABORTED|EMFILE@0.5 socket=ENFILE|ENOBUFS@{chance}"
                    ),
                    _ => {
                        format!("connect=EADDRNOTAVAIL|ENETUNREACH|ENOBUFS@{chance} accept=ECONNABORTED@0.3")
                    }
                }),
                Trouble::Waits => parts.push("wait=EINTR@0.5 register=ENOMEM@0.1".to_string()),
                Trouble::Clock => {
                    let by = *[-3600, 3600, -7, 7].choose(&mut random).unwrap_or(&7);
                    parts.push(format!("clock={by:+}:{}", random.random_range(0..20)));
                }
                _ => {}
            }
        }
        (!parts.is_empty()).then(|| format!("seed={} {}", random.random_range(1..1000), parts.join(" ")))
    }
}
