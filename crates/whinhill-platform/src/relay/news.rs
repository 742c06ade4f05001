//! News from the relay: which proxies are joined, what they answered, and the slices in our charge.
//!
//! News that break lose what happened meanwhile. A new reader is first told all that stands; that is set
//! against what we knew, and the difference becomes events. Where the relay moves, the new connection is told what
//! stands while the former goes on, and then takes its place.

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
#[derive(Clone, Debug, PartialEq)]
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

/// Which of two connections: the one whose news count, or one at a new address that is still told what stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Place {
    Current,
    Next,
}

#[derive(Debug, PartialEq)]
enum Phase {
    Opening,
    Telling,
    Live,
}

/// A connection's news, and what it has told to stand.
#[derive(Debug)]
struct Stream {
    phase: Phase,
    lines: Lines,
    heard: Duration,
    proxies: BTreeMap<ProxyId, ZoneId>,
    slices: BTreeMap<SliceId, Vec<String>>,
    /// Lines that calls of ours have replaced since it came up: what stands may have been told before.
    replaced: BTreeMap<SliceId, BTreeSet<Option<String>>>,
}

/// A line of news.
enum Item<'a> {
    SignOfLife,
    Hello(ProxyId, ZoneId),
    Bye(ProxyId),
    Ack(ProxyId, u16, Duration),
    Lease(SliceId, bool),
    Line(SliceId, &'a str),
    /// A line that is none: its weight is 0.
    NoLine,
}

impl<'a> Item<'a> {
    fn read(text: &'a str, names: &mut Names) -> Option<Self> {
        let mut words = text.split(' ');
        if words.next() != Some("*") {
            return None;
        }
        let Some(kind) = words.next() else { return Some(Item::SignOfLife) };
        let mut word = || words.next();
        Some(match kind {
            "hello" => Item::Hello(word()?.parse().ok()?, names.zone(word()?)),
            "bye" => Item::Bye(word()?.parse().ok()?),
            "ack" => {
                let (proxy, mark) = (word()?.parse().ok()?, word()?.parse().ok()?);
                let ms: f64 = word()?.parse().ok()?;
                Item::Ack(proxy, mark, Duration::try_from_secs_f64(ms.max(0.0) / 1e3).ok()?)
            }
            "lease" => {
                let slice = names.slice(word()?.parse().ok()?)?;
                match word()? {
                    "1" => Item::Lease(slice, true),
                    "0" => Item::Lease(slice, false),
                    _ => return None,
                }
            }
            "line" => {
                let (slice, server) = (names.slice(word()?.parse().ok()?)?, word()?);
                let weight: f64 = word()?.parse().ok()?;
                if weight > 0.0 {
                    Item::Line(slice, server)
                } else {
                    Item::NoLine
                }
            }
            _ => return None,
        })
    }
}

impl Stream {
    fn new(now: Duration) -> Self {
        Stream {
            phase: Phase::Opening,
            lines: Lines::new(LINE_MOST),
            heard: now,
            proxies: BTreeMap::new(),
            slices: BTreeMap::new(),
            replaced: BTreeMap::new(),
        }
    }

    /// Notes what stands, and what changes while that is told.
    fn note(&mut self, item: &Item) {
        match item {
            Item::Hello(proxy, zone) => drop(self.proxies.insert(*proxy, *zone)),
            Item::Bye(proxy) => drop(self.proxies.remove(proxy)),
            Item::Lease(slice, true) => drop(self.slices.insert(*slice, Vec::new())),
            Item::Lease(slice, false) => drop(self.slices.remove(slice)),
            Item::Line(slice, server) => {
                self.slices.entry(*slice).and_modify(|lines| lines.push(server.to_string()));
            }
            Item::Ack(..) | Item::NoLine | Item::SignOfLife => {}
        }
    }
}

#[derive(Debug, Default)]
pub struct News {
    current: Option<Stream>,
    next: Option<Stream>,
    /// Whether anything that stands was ever told: from then on what is told again is set against it.
    told_once: bool,
    proxies: BTreeMap<ProxyId, ZoneId>,
    /// The slices in our charge, each with the line that the store holds.
    slices: BTreeMap<SliceId, Option<String>>,
    /// Slices that were given and whose lines we have not ordered since: all lines that are told are another's.
    untouched: BTreeSet<SliceId>,
}

impl News {
    fn at(&mut self, place: Place) -> &mut Option<Stream> {
        match place {
            Place::Current => &mut self.current,
            Place::Next => &mut self.next,
        }
    }

    /// A connection came up: [`REQUEST`] is to be written.
    pub fn opened(&mut self, place: Place, now: Duration) {
        *self.at(place) = Some(Stream::new(now));
    }

    pub fn closed(&mut self, place: Place) {
        let ended = self.at(place).take();
        // What was told in part must be set against what the next connection tells.
        self.told_once |= place == Place::Current && ended.is_some_and(|s| s.phase == Phase::Telling);
    }

    pub fn is_open(&self, place: Place) -> bool {
        match place {
            Place::Current => self.current.is_some(),
            Place::Next => self.next.is_some(),
        }
    }

    /// Whether we know what is ours, so that orders may be given. After a break that is so once all was told.
    pub fn live(&self) -> bool {
        self.current.as_ref().is_some_and(|stream| match stream.phase {
            Phase::Opening => false,
            Phase::Telling => !self.told_once,
            Phase::Live => true,
        })
    }

    /// When to call [`News::passed`] if nothing comes until then.
    pub fn due_at(&self, place: Place) -> Option<Duration> {
        let stream = match place {
            Place::Current => self.current.as_ref()?,
            Place::Next => self.next.as_ref()?,
        };
        Some(stream.heard + if stream.phase == Phase::Telling { TOLD_AFTER } else { SILENT })
    }

    /// Time passed without a word; false: the news are lost.
    pub fn passed(
        &mut self,
        place: Place,
        now: Duration,
        names: &mut Names,
        owed: impl Fn(SliceId) -> Owed,
        told: &mut Vec<Told>,
    ) -> bool {
        let Some(stream) = self.at(place).take() else { return true };
        let alive = now < stream.heard + SILENT;
        if stream.phase == Phase::Telling && now >= stream.heard + TOLD_AFTER {
            self.settle(place, stream, names, owed, told);
        } else {
            *self.at(place) = Some(stream);
        }
        alive
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
        for stream in self.current.iter_mut().chain(&mut self.next).filter(|s| s.phase != Phase::Live) {
            stream.replaced.entry(set.slice).or_default().insert(replaced.clone());
        }
    }

    /// Takes bytes of news.
    pub fn take(
        &mut self,
        place: Place,
        now: Duration,
        bytes: &[u8],
        names: &mut Names,
        owed: impl Fn(SliceId) -> Owed,
        told: &mut Vec<Told>,
    ) -> Result<(), NewsError> {
        let (mut place, Some(mut stream)) = (place, self.at(place).take()) else { return Ok(()) };
        stream.heard = now;
        let mut lines = std::mem::replace(&mut stream.lines, Lines::new(LINE_MOST));
        lines.push(bytes);
        loop {
            let item = match lines.next_line().map_err(NewsError::from) {
                Ok(None) => break,
                Ok(Some(line)) => read(line, &stream.phase, names),
                Err(error) => Err(error),
            };
            let item = match item {
                Ok(Some(item)) => item,
                Ok(None) => {
                    stream.phase = Phase::Telling;
                    continue;
                }
                Err(error) => {
                    *self.at(place) = Some(stream);
                    return Err(error);
                }
            };
            match item {
                Item::SignOfLife if stream.phase == Phase::Telling => {
                    self.settle(place, stream, names, &owed, told);
                    place = Place::Current;
                    let Some(settled) = self.current.take() else { return Ok(()) };
                    stream = settled;
                }
                // An answer counts whichever connection tells it; twice is as good as once.
                Item::Ack(proxy, mark, way) if self.proxies.contains_key(&proxy) => {
                    told.push(Told::Acked { proxy, mark, way });
                }
                item if stream.phase == Phase::Live || !self.told_once => self.happened(item, names, told),
                item => stream.note(&item),
            }
        }
        stream.lines = lines;
        *self.at(place) = Some(stream);
        Ok(())
    }

    fn happened(&mut self, item: Item, names: &mut Names, told: &mut Vec<Told>) {
        match item {
            Item::Hello(proxy, zone) => {
                self.proxies.insert(proxy, zone);
                told.push(Told::Event(Event::Joined { proxy, zone }));
            }
            Item::Bye(proxy) => {
                if self.proxies.remove(&proxy).is_some() {
                    told.push(Told::Event(Event::Left { proxy }));
                }
            }
            Item::Lease(slice, true) => {
                self.slices.insert(slice, None);
                self.untouched.insert(slice);
                told.push(Told::Event(Event::Given { slice }));
            }
            Item::Lease(slice, false) => {
                self.untouched.remove(&slice);
                if self.slices.remove(&slice).is_some() {
                    told.push(Told::Event(Event::Taken { slice }));
                }
            }
            Item::Line(slice, server) if self.untouched.contains(&slice) => {
                match self.slices.get_mut(&slice) {
                    Some(known @ None) => {
                        *known = Some(server.to_string());
                        told.push(Told::Event(Event::Stored { slice, ep: names.ep(server) }));
                    }
                    Some(Some(known)) if known != server => {
                        told.push(Told::Extra { slice, server: server.to_string() });
                    }
                    _ => {}
                }
            }
            Item::Ack(..) | Item::Line(..) | Item::NoLine | Item::SignOfLife => {}
        }
    }

    /// All that stands was told: what differs from what we knew becomes events, and the connection counts.
    fn settle(
        &mut self,
        place: Place,
        mut stream: Stream,
        names: &mut Names,
        owed: impl Fn(SliceId) -> Owed,
        told: &mut Vec<Told>,
    ) {
        // Where the former connection has told everything until now, nobody else had a slice of ours.
        let unbroken = place == Place::Next && self.live();
        let again = std::mem::replace(&mut self.told_once, true);
        let (proxies, slices) = (std::mem::take(&mut stream.proxies), std::mem::take(&mut stream.slices));
        let replaced = std::mem::take(&mut stream.replaced);
        stream.phase = Phase::Live;
        (self.current, self.next) = (Some(stream), None);
        if again {
            self.set_against(proxies, told);
            let left: Vec<SliceId> =
                self.slices.keys().copied().filter(|s| !slices.contains_key(s)).collect();
            left.into_iter().for_each(|slice| self.happened(Item::Lease(slice, false), names, told));
            for (slice, seen) in slices {
                let Some(known) = self.slices.get_mut(&slice) else {
                    self.happened(Item::Lease(slice, true), names, told);
                    seen.iter().for_each(|line| self.happened(Item::Line(slice, line), names, told));
                    continue;
                };
                let is = |line: &Option<String>| line.as_slice() == seen;
                let older = replaced.get(&slice).is_some_and(|lines| lines.iter().any(is));
                let (differs, owed) = (!is(known) && !older, owed(slice));
                let kept = owed == Owed::Nothing || unbroken;
                if owed == Owed::Call || !differs && kept {
                    continue;
                }
                told.push(Told::Anew { slice, differs });
                if differs {
                    // Of several lines the one that we knew stays, or else the first.
                    let stays = seen.iter().find(|line| known.as_ref() == Some(*line));
                    let stays = stays.or(seen.first()).cloned();
                    let extra = seen.into_iter().filter(|line| Some(line) != stays.as_ref());
                    told.extend(extra.map(|server| Told::Extra { slice, server }));
                    *known = stays;
                }
            }
        }
        told.push(Told::Settled { again });
    }

    /// Proxies that joined or left unheard. One that stood and stands has kept its stream, or is asked anew.
    fn set_against(&mut self, seen: BTreeMap<ProxyId, ZoneId>, told: &mut Vec<Told>) {
        for (proxy, zone) in seen.iter().filter(|(proxy, _)| !self.proxies.contains_key(proxy)) {
            told.push(Told::Event(Event::Joined { proxy: *proxy, zone: *zone }));
        }
        for proxy in self.proxies.keys().filter(|proxy| !seen.contains_key(proxy)) {
            told.push(Told::Event(Event::Left { proxy: *proxy }));
        }
        self.proxies = seen;
    }

    /// The line that the store is thought to hold for a slice of ours.
    pub fn line_of(&self, slice: SliceId) -> Option<&str> {
        self.slices.get(&slice).and_then(Option::as_deref)
    }
}

/// A line of news; `None` for the answer to the request.
fn read<'a>(line: &'a [u8], phase: &Phase, names: &mut Names) -> Result<Option<Item<'a>>, NewsError> {
    let begin = || String::from_utf8_lossy(line).chars().take(100).collect();
    let text = std::str::from_utf8(line).unwrap_or_default();
    match phase {
        Phase::Opening if text == "OK" => Ok(None),
        Phase::Opening => Err(NewsError::Refused(begin())),
        _ => Item::read(text, names).map(Some).ok_or_else(|| NewsError::Unreadable(begin())),
    }
}

#[cfg(test)]
mod tests;
