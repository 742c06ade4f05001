//! News from the relay: which proxies are joined, what they answered, and the slices in our charge.
//!
//! News that break lose what happened meanwhile. A new reader is first told all that stands; that is set
//! against what we knew, and the difference becomes events.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use whinhill::interface::{Event, ProxyId, SliceId, ZoneId};
use whinhill_names::Names;

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
    /// A slice of ours has another line than we knew; it follows as if it had been given now.
    Differs {
        slice: SliceId,
    },
    /// All that stands was told. `again`: after a break, in which answers may have been lost.
    Settled {
        again: bool,
    },
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
    seen_slices: BTreeMap<SliceId, Option<String>>,
    /// Slices given since the news came up and before all was told, or lately: their lines follow.
    fresh: BTreeSet<SliceId>,
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
    }

    pub fn closed(&mut self) {
        self.phase = Phase::Closed;
    }

    /// Whether we are told what happens, so that orders may be given.
    pub fn live(&self) -> bool {
        matches!(self.phase, Phase::Telling | Phase::Live)
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
    pub fn passed(
        &mut self,
        now: Duration,
        in_doubt: impl Fn(SliceId) -> bool,
        told: &mut Vec<Told>,
    ) -> bool {
        if self.phase == Phase::Telling && now >= self.heard + TOLD_AFTER {
            self.settle(in_doubt, told);
        }
        self.phase == Phase::Closed || now < self.heard + SILENT
    }

    pub fn proxies(&self) -> usize {
        self.proxies.len()
    }

    pub fn slices(&self) -> usize {
        self.slices.len()
    }

    /// A call of ours set a line.
    pub fn confirmed(&mut self, slice: SliceId, line: Option<String>) {
        if let Some(known) = self.slices.get_mut(&slice) {
            *known = line;
        }
    }

    /// Takes bytes of news.
    pub fn take(
        &mut self,
        now: Duration,
        bytes: &[u8],
        names: &mut Names,
        in_doubt: impl Fn(SliceId) -> bool,
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
            if self.line(text, names, &in_doubt, told).is_none() {
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
        in_doubt: &impl Fn(SliceId) -> bool,
        told: &mut Vec<Told>,
    ) -> Option<()> {
        let mut words = text.split(' ');
        if words.next() != Some("*") {
            return None;
        }
        match words.next() {
            None => {
                if self.phase == Phase::Telling {
                    self.settle(in_doubt, told);
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
                self.stored(slice, (weight > 0.0).then_some(server), names, told);
            }
            Some(_) => return None,
        }
        Some(())
    }

    fn given(&mut self, slice: SliceId, told: &mut Vec<Told>) {
        self.seen_slices.insert(slice, None);
        if self.phase == Phase::Live || !self.slices.contains_key(&slice) {
            self.slices.insert(slice, None);
            self.fresh.insert(slice);
            told.push(Told::Event(Event::Given { slice }));
        }
    }

    fn stored(&mut self, slice: SliceId, server: Option<&str>, names: &mut Names, told: &mut Vec<Told>) {
        let Some(known) = self.slices.get_mut(&slice) else { return };
        if let Some(seen) = self.seen_slices.get_mut(&slice) {
            *seen = server.map(str::to_string);
        }
        // The line of a slice that stood before a break is compared once all was told.
        let Some(server) = server.filter(|_| self.fresh.contains(&slice)) else { return };
        if known.is_none() {
            *known = Some(server.to_string());
            told.push(Told::Event(Event::Stored { slice, ep: names.ep(server) }));
        }
    }

    fn settle(&mut self, in_doubt: impl Fn(SliceId) -> bool, told: &mut Vec<Told>) {
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
            let known = self.slices.get_mut(&slice);
            let differs = known.filter(|known| **known != seen && !in_doubt(slice));
            if let Some(known) = differs.filter(|_| !self.fresh.contains(&slice)) {
                *known = seen;
                told.push(Told::Differs { slice });
            }
        }
        self.seen_proxies.clear();
        self.fresh.clear();
        told.push(Told::Settled { again });
    }

    /// The line that the store is thought to hold for a slice of ours.
    pub fn line_of(&self, slice: SliceId) -> Option<&str> {
        self.slices.get(&slice).and_then(Option::as_deref)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use whinhill::interface::{Ep, Settings};

    const MS: Duration = Duration::from_millis(1);

    fn names() -> Names {
        let pairs = [("zones", "a"), ("familyInfo.shards", "99")];
        Names::new(&Settings(pairs.iter().map(|(k, v)| (k.to_string(), v.to_string())).collect()))
    }

    struct Reader(News, Names);

    impl Reader {
        fn new() -> Self {
            Reader(News::default(), names())
        }

        /// A connection that tells `text` and then goes on.
        fn opens(&mut self, text: &str, piece: usize) -> Vec<Told> {
            self.0.opened(MS);
            self.tell(&format!("OK\r\n{text}*\r\n"), piece)
        }

        fn tell(&mut self, text: &str, piece: usize) -> Vec<Told> {
            let mut told = Vec::new();
            for bytes in text.as_bytes().chunks(piece) {
                self.0.take(MS, bytes, &mut self.1, |slice| slice == 9, &mut told).unwrap();
            }
            told
        }

        fn ep(&self, name: &str) -> Ep {
            self.1.known(name).unwrap()
        }
    }

    const STANDS: &str =
        "* hello 17 a 21.5 1\r\n* hello 18 a 2 0\r\n* lease 88 1\r\n* line 88 s-1 1.0\r\n* lease 9 1\r\n";

    #[test]
    fn what_stands_becomes_events_however_it_is_cut() {
        for piece in [1, 7, 1000] {
            let mut reader = Reader::new();
            let told = reader.opens(STANDS, piece);
            let wanted = [
                Told::Event(Event::Joined { proxy: 17, zone: 0 }),
                Told::Event(Event::Joined { proxy: 18, zone: 0 }),
                Told::Event(Event::Given { slice: 88 }),
                Told::Event(Event::Stored { slice: 88, ep: reader.ep("s-1") }),
                Told::Event(Event::Given { slice: 9 }),
                Told::Settled { again: false },
            ];
            assert_eq!(told, wanted, "in pieces of {piece}");
        }
    }

    #[test]
    fn the_same_after_a_break_is_nothing_new() {
        let mut reader = Reader::new();
        reader.opens(STANDS, 1000);
        assert_eq!(reader.opens(STANDS, 3), [Told::Settled { again: true }]);
    }

    /// Departures that nobody told, slices taken and given, and a line set by somebody else.
    #[test]
    fn what_changed_in_a_break_becomes_events() {
        let mut reader = Reader::new();
        reader.opens(STANDS, 1000);
        let stands = "* hello 17 a 21.5 1\r\n* hello 19 a 1 1\r\n* lease 88 1\r\n* line 88 s-2 1.0\r\n* lease 5 1\r\n* line 5 s-2 1.0\r\n";
        let told = reader.opens(stands, 5);
        let wanted = [
            Told::Event(Event::Joined { proxy: 19, zone: 0 }),
            Told::Event(Event::Given { slice: 5 }),
            Told::Event(Event::Stored { slice: 5, ep: reader.ep("s-2") }),
            Told::Event(Event::Left { proxy: 18 }),
            Told::Event(Event::Taken { slice: 9 }),
            Told::Differs { slice: 88 },
            Told::Settled { again: true },
        ];
        assert_eq!(told, wanted);
        assert_eq!(reader.0.line_of(88), Some("s-2"));
    }

    /// A call whose outcome is open may have set the line: it is sent again and settles it.
    #[test]
    fn a_line_in_doubt_does_not_differ() {
        let mut reader = Reader::new();
        reader.opens(STANDS, 1000);
        let told = reader.opens(&format!("{STANDS}* line 9 s-3 1.0\r\n"), 1000);
        assert_eq!(told, [Told::Settled { again: true }]);
    }

    #[test]
    fn live_news_tell_of_answers_and_of_proxies_that_come_and_go() {
        let mut reader = Reader::new();
        reader.opens(STANDS, 1000);
        let told = reader.tell(
            "* ack 17 905 310.4\r\n* bye 17\r\n* ack 17 906 1\r\n* hello 17 a 1 0\r\n* lease 9 0\r\n",
            4,
        );
        let wanted = [
            Told::Acked { proxy: 17, mark: 905, way: Duration::from_micros(310_400) },
            Told::Event(Event::Left { proxy: 17 }),
            Told::Event(Event::Joined { proxy: 17, zone: 0 }),
            Told::Event(Event::Taken { slice: 9 }),
        ];
        assert_eq!(told, wanted);
    }

    #[test]
    fn silence_is_a_loss_and_a_pause_ends_what_stands() {
        let mut reader = Reader::new();
        reader.0.opened(MS);
        let told = reader.tell(&format!("OK\r\n{STANDS}"), 1000);
        assert_eq!(told.len(), 5);
        let mut told = Vec::new();
        assert!(reader.0.passed(MS + TOLD_AFTER, |_| false, &mut told));
        assert_eq!(told, [Told::Settled { again: false }]);
        assert!(reader.0.passed(SILENT, |_| false, &mut told));
        assert!(!reader.0.passed(MS + SILENT, |_| false, &mut told));
    }

    #[test]
    fn what_is_no_news_is_an_error() {
        for text in
            ["ERR invalid\r\n", "OK\r\n* hello x a 1 1\r\n", "OK\r\n* lease 99 1\r\n", "OK\r\n\x01\r\n"]
        {
            let mut reader = Reader::new();
            reader.0.opened(MS);
            let (news, names) = (&mut reader.0, &mut reader.1);
            assert!(news.take(MS, text.as_bytes(), names, |_| false, &mut Vec::new()).is_err(), "{text}");
        }
    }
}
