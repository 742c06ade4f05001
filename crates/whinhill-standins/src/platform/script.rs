//! What happens to the assigners and round them in one seed: drawn once, the same for the same seed.

use std::str::FromStr;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use super::page::{PROXIES, PROXIES_MOST, ZONES};
use super::streams::{StreamTrouble, STREAM_TROUBLES};
use super::world::Condition;
use crate::link::Direction;

/// Kinds of trouble, to be drawn or asked for by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Trouble {
    /// SIGHUP and SIGTERM, in series.
    Signals,
    /// SIGKILL without a word before.
    Kills,
    /// SIGSTOP for a while.
    Pauses,
    /// Reads and writes fall short of memory or buffers, say too early that they would block, or are interrupted.
    Transfers,
    /// Accepts, sockets and connects fail.
    Connects,
    /// Waits and registers fail.
    Waits,
    /// The wall clock is stepped.
    Clock,
    /// Paths to relay and discovery break, fall silent one way or both, or are slow.
    Paths,
    /// Lists come late.
    Lists,
    /// Servers fall silent or are slow, some of them by the quarter, and return cold.
    Servers,
    /// Clients come by the hundred.
    Crowds,
    /// Servers answer probes and hang RPCs.
    Hangs,
    /// Servers answer RPCs and hang probes.
    Probes,
    /// Servers reset connections.
    Resets,
    /// Servers answer late, by a queue of work that others sent.
    Queues,
    /// A zone falls silent.
    Zones,
    /// A quarter of the servers is gone, and back cold at once.
    Returns,
    /// A list names many servers at once, with a burst of load.
    Releases,
    /// Collectors' reports come late or are lost.
    Collectors,
    /// Proxies of bytes on the ways of clients and to the relay cut streams into small pieces and pass the end of one
    /// side on alone.
    Pieces,
    /// Streams of proxies break, fall silent, come back, and lose answers.
    Streams,
}

/// The first kinds: scripts of these alone, asked for by name, stay what they were.
const FIRST_KINDS: usize = 11;
const FIRST_NODES_MOST: usize = 4;

/// Kinds that every seed may draw. The others come on top, in seeds from [`ON_TOP_FROM`] on: scripts of earlier seeds
/// stay what they were.
pub const DRAWN_KINDS: usize = 20;
const ON_TOP_FROM: u64 = 200;
const ON_TOP_CHANCE: f64 = 0.5;

/// All of them, with the names by which they are asked for.
pub const TROUBLES: [(&str, Trouble); 21] = [
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
];

/// A name that is none of those that exist.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("'{name}' is none of {known}")]
pub struct UnknownName {
    name: String,
    known: String,
}

/// Looks a name up in a table of all that exist.
pub(super) fn by_name<T: Copy>(name: &str, table: &[(&str, T)]) -> Result<T, UnknownName> {
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
        by_name(name, &TROUBLES)
    }
}

/// Which path of an assigner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    Relay,
    Discovery,
}

/// One thing that happens.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A series of signals, milliseconds apart: true is SIGTERM, false SIGHUP. The process starts again after
    /// `down`.
    Series {
        node: usize,
        terms: Vec<bool>,
        down: Duration,
    },
    Reload {
        node: usize,
    },
    Kill {
        node: usize,
        down: Duration,
    },
    Pause {
        node: usize,
        time: Duration,
    },
    /// A path's connections are reset, and new ones refused for a time.
    Cut {
        node: usize,
        path: Path,
        time: Duration,
    },
    Stall {
        node: usize,
        path: Path,
        direction: Direction,
        time: Duration,
    },
    Delay {
        node: usize,
        path: Path,
        by: Duration,
        time: Duration,
    },
    LateLists {
        node: usize,
        by: Duration,
        time: Duration,
    },
    /// A part of the servers is silent for a time, and starts anew then.
    Silence {
        share: f64,
        time: Duration,
    },
    Slow {
        times: u32,
        time: Duration,
    },
    Crowd {
        node: usize,
        clients: usize,
        time: Duration,
    },
    /// A part of the servers behaves otherwise for a time.
    Ill {
        condition: Condition,
        share: f64,
        time: Duration,
    },
    SilentZone {
        zone: usize,
        time: Duration,
    },
    /// A part of the servers has so much work before it.
    Backlog {
        share: f64,
        by: Duration,
    },
    /// A part of the servers is off the list, and back cold.
    Vanish {
        share: f64,
        time: Duration,
    },
    /// A part of the servers is replaced at once, with so many times the usual load.
    Release {
        share: f64,
        rate_times: f64,
        time: Duration,
    },
    /// Reports come so late, or not at all.
    TroubledReports {
        node: usize,
        by: Option<Duration>,
        time: Duration,
    },
    Pieces {
        node: usize,
        bytes: usize,
        time: Duration,
    },
    /// Something happens to proxies' streams.
    Streams {
        node: usize,
        trouble: StreamTrouble,
        time: Duration,
    },
}

/// All that a seed holds.
#[derive(Clone, Debug)]
pub struct Script {
    pub nodes: usize,
    pub proxies: usize,
    pub troubles: Vec<Trouble>,
    /// In the order of time.
    pub actions: Vec<(Duration, Action)>,
    seed: u64,
}

/// Nothing happens before: the first start and the first lines are of another concern.
const QUIET: Duration = Duration::from_secs(3);
/// And nothing begins so shortly before the end.
const TAIL: Duration = Duration::from_secs(5);
/// Mean time between two actions.
const EVERY: Duration = Duration::from_millis(2500);
const NODES_MOST: usize = 5;
/// One in so many seeds with troubled streams has many proxies.
const MANY_PROXIES_EACH: u64 = 3;
/// A zone's silence, a release's load and troubled reports last so much longer than other troubles.
const LONGER: Duration = Duration::from_secs(2);
/// Milliseconds for which a stream is silent, flaps, or loses answers.
const STREAM_TIME: std::ops::Range<u64> = 1000..20_000;

impl Script {
    /// Draws a seed's script. `only`: the kinds of trouble that may be drawn, all of which then are.
    pub fn draw(seed: u64, time: Duration, only: &[Trouble]) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let are_first = !only.is_empty() && only.iter().all(|kind| kind.is_first());
        let nodes = random.random_range(1..=if are_first { FIRST_NODES_MOST } else { NODES_MOST });
        let troubles: Vec<Trouble> = if only.is_empty() {
            let count = random.random_range(2..=6);
            let drawn = TROUBLES[..DRAWN_KINDS].choose_multiple(&mut random, count);
            let mut drawn: Vec<_> = drawn.map(|(_, trouble)| *trouble).collect();
            drawn.sort_unstable();
            if seed >= ON_TOP_FROM && random.random_bool(ON_TOP_CHANCE) {
                drawn.push(Trouble::Streams);
            }
            drawn
        } else {
            only.to_vec()
        };
        let has_many = troubles.contains(&Trouble::Streams) && seed.is_multiple_of(MANY_PROXIES_EACH);
        let proxies = if has_many { PROXIES_MOST } else { PROXIES };
        let mut script = Script { nodes, proxies, troubles, actions: Vec::new(), seed };
        let mut at = QUIET;
        while at + TAIL < time {
            if let Some(action) = script.draw_action(&mut random) {
                script.actions.push((at, action));
            }
            at += EVERY.mul_f64(random.random_range(0.2..1.8));
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
                    let ways = [Direction::To, Direction::Back, Direction::Both];
                    Action::Stall { node, path, direction: *ways.choose(random)?, time: time.mul_f64(0.8) }
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
                Action::SilentZone { zone: random.random_range(0..ZONES.len()), time: time + LONGER }
            }
            Trouble::Returns => Action::Vanish { share: 0.25, time },
            Trouble::Releases => {
                Action::Release { share: 0.4, rate_times: random.random_range(2.0..5.0), time: time + LONGER }
            }
            Trouble::Collectors => {
                let by =
                    random.random_bool(0.5).then(|| Duration::from_millis(random.random_range(500..3000)));
                Action::TroubledReports { node, by, time: time + LONGER }
            }
            Trouble::Pieces => Action::Pieces { node, bytes: random.random_range(2..18), time },
            Trouble::Streams => {
                let time = Duration::from_millis(random.random_range(STREAM_TIME));
                Action::Streams { node, trouble: *STREAM_TROUBLES.choose(random)?, time }
            }
            // These are the library's, for the whole life of a process.
            Trouble::Transfers | Trouble::Connects | Trouble::Waits | Trouble::Clock => return None,
        })
    }

    /// The schedule of failing calls for a process's `start`th start; `None`: none fail.
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
