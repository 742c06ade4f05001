//! News from the relay: which proxies are joined, what they answered, and the slices in our charge.
//!
//! News that break lose what happened meanwhile. A new reader is first told all that stands; that is set
//! against what we knew, and the difference becomes events.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use whinhill::interface::{Event, ProxyId, SliceId, ZoneId};
use whinhill_names::Names;

use super::calls::SetLine;
use crate::lines::{Lines, TooLong};

pub const REQUEST: &[u8] = b"WATCH\r\n";

/// Bytes that a line of news may have: its longest holds a name of 64 bytes and three figures.
const LINE_MOST: usize = 1024;
/// What stands has been told once nothing came for this long, if no sign of life ends it sooner.
const TOLD_AFTER: Duration = Duration::from_millis(250);
/// A sign of life comes each second; a late one is no loss yet.
const SILENT: Duration = Duration::from_millis(1800);

#[derive(Debug, thiserror::Error)]
pub enum NewsError {
    #[error("{0}")]
    Line(#[from] TooLong),
    #[error("a line that is no news: {0:?}")]
    Unreadable(String),
    #[error("turned away: {0}")]
    Refused(String),
}

/// What came of the news.
#[derive(Debug, PartialEq)]
pub enum Told {
    Event(Event),
    Acked {
        proxy: ProxyId,
        mark: u16,
        way: Duration,
    },
    /// A slice of ours may have been in other hands during a break: it follows as if it had been given now.
    /// `differs`: the store holds another line than we knew.
    Anew {
        slice: SliceId,
        differs: bool,
    },
    /// The store holds one more line for a slice than its owner's: where slices are not exclusive, an assigner
    /// that died between a grant and the end of the former line leaves both.
    Extra {
        slice: SliceId,
        server: String,
    },
    /// All that stands was told. `again`: after a break, in which answers may have been lost.
    Settled {
        again: bool,
    },
}

/// What we owed to a slice when the news came back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Owed {
    Nothing,
    /// A call that sets its line is under way, and will settle it.
    Call,
    /// A handover, or orders for its line that have not left. Who had the slice meanwhile has undone what
    /// they rest on: its levels were reset, and proxies may write again to the owner that had stopped.
    Handover,
}

#[derive(Debug, Default, PartialEq)]
enum Phase {
    #[default]
    Closed,
    Opening,
    Telling,
    Live,
}

#[derive(Debug)]
pub struct News {
    phase: Phase,
    lines: Lines,
    heard: Duration,
    /// Whether what stands was ever told whole.
    told_once: bool,
    proxies: BTreeMap<ProxyId, ZoneId>,
    /// The slices in our charge, each with the line that the store holds.
    slices: BTreeMap<SliceId, Option<String>>,
    seen_proxies: BTreeSet<ProxyId>,
    seen_slices: BTreeMap<SliceId, Vec<String>>,
    /// Slices given since the news came up and before all was told, or lately: their lines follow.
    fresh: BTreeSet<SliceId>,
    /// Lines that calls of ours have replaced since the news came up: what stands may have been told before.
    replaced: BTreeMap<SliceId, BTreeSet<Option<String>>>,
    /// Slices that were given and whose lines we have not ordered since: all lines that are told are another's.
    untouched: BTreeSet<SliceId>,
}

impl Default for News {
    fn default() -> Self {
        News {
            phase: Phase::default(),
            lines: Lines::new(LINE_MOST),
            heard: Duration::ZERO,
            told_once: false,
            proxies: BTreeMap::new(),
            slices: BTreeMap::new(),
            seen_proxies: BTreeSet::new(),
            seen_slices: BTreeMap::new(),
            fresh: BTreeSet::new(),
            replaced: BTreeMap::new(),
            untouched: BTreeSet::new(),
        }
    }
}

impl News {
    /// A connection came up: [`REQUEST`] is to be written.
    pub fn opened(&mut self, now: Duration) {
        (self.phase, self.heard, self.lines) = (Phase::Opening, now, Lines::new(LINE_MOST));
        self.seen_proxies.clear();
        self.seen_slices.clear();
        self.fresh.clear();
        self.untouched.clear();
        self.replaced.clear();
    }

    pub fn closed(&mut self) {
        self.phase = Phase::Closed;
    }

    /// Whether we know what is ours, so that orders may be given. After a break that is so once all was told.
    pub fn live(&self) -> bool {
        self.phase == Phase::Live || self.phase == Phase::Telling && !self.told_once
    }

    /// When to call [`News::passed`] if nothing comes until then.
    pub fn due_at(&self) -> Option<Duration> {
        match self.phase {
            Phase::Closed => None,
            Phase::Telling => Some(self.heard + TOLD_AFTER),
            Phase::Opening | Phase::Live => Some(self.heard + SILENT),
        }
    }

    /// Time passed without a word; false: the news are lost.
    pub fn passed(&mut self, now: Duration, owed: impl Fn(SliceId) -> Owed, told: &mut Vec<Told>) -> bool {
        if self.phase == Phase::Telling && now >= self.heard + TOLD_AFTER {
            self.settle(owed, told);
        }
        self.phase == Phase::Closed || now < self.heard + SILENT
    }

    pub fn proxies(&self) -> usize {
        self.proxies.len()
    }

    pub fn slices(&self) -> usize {
        self.slices.len()
    }

    /// A line of the slice is ordered: from now on the store may hold what we set.
    pub fn line_ordered(&mut self, slice: SliceId) {
        self.untouched.remove(&slice);
    }

    /// A call of ours set or ended a line. While what stands is being told, that may still be told without it.
    pub fn confirmed(&mut self, set: SetLine) {
        let Some(known) = self.slices.get_mut(&set.slice) else { return };
        let line = match (set.on, &*known) {
            (true, _) => Some(set.server),
            (false, Some(other)) if *other != set.server => return,
            (false, _) => None,
        };
        let replaced = std::mem::replace(known, line);
        if matches!(self.phase, Phase::Opening | Phase::Telling) {
            self.replaced.entry(set.slice).or_default().insert(replaced);
        }
    }

    /// Takes bytes of news.
    pub fn take(
        &mut self,
        now: Duration,
        bytes: &[u8],
        names: &mut Names,
        owed: impl Fn(SliceId) -> Owed,
        told: &mut Vec<Told>,
    ) -> Result<(), NewsError> {
        self.heard = now;
        let mut lines = std::mem::replace(&mut self.lines, Lines::new(LINE_MOST));
        lines.push(bytes);
        while let Some(line) = lines.next_line()? {
            let text = std::str::from_utf8(line).unwrap_or_default();
            if self.phase == Phase::Opening {
                if text != "OK" {
                    return Err(NewsError::Refused(text.chars().take(100).collect()));
                }
                self.phase = Phase::Telling;
                continue;
            }
            if self.line(text, names, &owed, told).is_none() {
                let line = String::from_utf8_lossy(line);
                return Err(NewsError::Unreadable(line.chars().take(100).collect()));
            }
        }
        self.lines = lines;
        Ok(())
    }

    fn line(
        &mut self,
        text: &str,
        names: &mut Names,
        owed: &impl Fn(SliceId) -> Owed,
        told: &mut Vec<Told>,
    ) -> Option<()> {
        let mut words = text.split(' ');
        if words.next() != Some("*") {
            return None;
        }
        match words.next() {
            None => {
                if self.phase == Phase::Telling {
                    self.settle(owed, told);
                }
            }
            Some("hello") => {
                let proxy: ProxyId = words.next()?.parse().ok()?;
                let zone = names.zone(words.next()?);
                let stood = self.proxies.insert(proxy, zone).is_some();
                // One that stood before a break has kept its stream, or will be asked to answer anew.
                if self.phase == Phase::Live || !stood {
                    told.push(Told::Event(Event::Joined { proxy, zone }));
                }
                self.seen_proxies.insert(proxy);
            }
            Some("bye") => {
                let proxy: ProxyId = words.next()?.parse().ok()?;
                if self.proxies.remove(&proxy).is_some() {
                    told.push(Told::Event(Event::Left { proxy }));
                }
                self.seen_proxies.remove(&proxy);
            }
            Some("ack") => {
                let proxy = words.next()?.parse().ok()?;
                let mark = words.next()?.parse().ok()?;
                let ms: f64 = words.next()?.parse().ok()?;
                let way = Duration::try_from_secs_f64(ms.max(0.0) / 1e3).ok()?;
                if self.proxies.contains_key(&proxy) {
                    told.push(Told::Acked { proxy, mark, way });
                }
            }
            Some("lease") => {
                let slice = names.slice(words.next()?.parse().ok()?)?;
                match words.next()? {
                    "1" => self.given(slice, told),
                    "0" => {
                        self.seen_slices.remove(&slice);
                        self.fresh.remove(&slice);
                        if self.slices.remove(&slice).is_some() {
                            told.push(Told::Event(Event::Taken { slice }));
                        }
                    }
                    _ => return None,
                }
            }
            Some("line") => {
                let slice = names.slice(words.next()?.parse().ok()?)?;
                let server = words.next()?;
                let weight: f64 = words.next()?.parse().ok()?;
                if weight > 0.0 {
                    self.stored(slice, server, names, told);
                }
            }
            Some(_) => return None,
        }
        Some(())
    }

    fn given(&mut self, slice: SliceId, told: &mut Vec<Told>) {
        self.seen_slices.insert(slice, Vec::new());
        if self.phase == Phase::Live || !self.slices.contains_key(&slice) {
            self.slices.insert(slice, None);
            self.fresh.insert(slice);
            self.untouched.insert(slice);
            told.push(Told::Event(Event::Given { slice }));
        }
    }

    fn stored(&mut self, slice: SliceId, server: &str, names: &mut Names, told: &mut Vec<Told>) {
        let Some(known) = self.slices.get_mut(&slice) else { return };
        if let Some(seen) = self.seen_slices.get_mut(&slice) {
            seen.push(server.to_string());
        }
        // The line of a slice that stood before a break is compared once all was told.
        if !self.untouched.contains(&slice) {
            return;
        }
        match known {
            None => {
                *known = Some(server.to_string());
                told.push(Told::Event(Event::Stored { slice, ep: names.ep(server) }));
            }
            Some(known) if known != server => {
                told.push(Told::Extra { slice, server: server.to_string() });
            }
            Some(_) => {}
        }
    }

    fn settle(&mut self, owed: impl Fn(SliceId) -> Owed, told: &mut Vec<Told>) {
        self.phase = Phase::Live;
        let again = std::mem::replace(&mut self.told_once, true);
        let left: Vec<ProxyId> =
            self.proxies.keys().copied().filter(|p| !self.seen_proxies.contains(p)).collect();
        for proxy in left {
            self.proxies.remove(&proxy);
            told.push(Told::Event(Event::Left { proxy }));
        }
        let taken: Vec<SliceId> =
            self.slices.keys().copied().filter(|s| !self.seen_slices.contains_key(s)).collect();
        for slice in taken {
            self.slices.remove(&slice);
            told.push(Told::Event(Event::Taken { slice }));
        }
        for (slice, seen) in std::mem::take(&mut self.seen_slices) {
            let Some(known) = self.slices.get_mut(&slice) else { continue };
            let is = |line: &Option<String>| line.as_slice() == seen;
            let older = self.replaced.get(&slice).is_some_and(|lines| lines.iter().any(is));
            let (differs, owed) = (!is(known) && !older, owed(slice));
            if self.fresh.contains(&slice) || owed == Owed::Call || !differs && owed == Owed::Nothing {
                continue;
            }
            told.push(Told::Anew { slice, differs });
            if differs {
                // Of several lines the one that we knew stays, or else the first.
                let stays = seen.iter().find(|line| known.as_ref() == Some(*line)).or(seen.first()).cloned();
                let extra = seen.into_iter().filter(|line| Some(line) != stays.as_ref());
                told.extend(extra.map(|server| Told::Extra { slice, server }));
                *known = stays;
            }
        }
        self.seen_proxies.clear();
        self.fresh.clear();
        self.replaced.clear();
        told.push(Told::Settled { again });
    }

    /// The line that the store is thought to hold for a slice of ours.
    pub fn line_of(&self, slice: SliceId) -> Option<&str> {
        self.slices.get(&slice).and_then(Option::as_deref)
    }
}

#[cfg(test)]
mod tests;
