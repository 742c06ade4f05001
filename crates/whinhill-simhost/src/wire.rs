//! The wire's lines: taking them apart, and writing orders. The bench's words end here.

use std::fmt::{self, Write};
use std::str::{FromStr, Split};
use std::time::Duration;

use whinhill::interface::{
    Entry, Ep, Event, ListKind, Listed, LoadReport, MethodId, Order, Probe, Settings, SettingsError, SliceId,
};
use whinhill_names::{set_figure, Names};

/// What is wrong with a line, in plain words.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed(pub String);

impl From<String> for Malformed {
    fn from(text: String) -> Self {
        Malformed(text)
    }
}

impl From<SettingsError> for Malformed {
    fn from(error: SettingsError) -> Self {
        Malformed(error.to_string())
    }
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The parts of a line, taken one after the other.
pub struct Parts<'a>(Split<'a, char>);

impl<'a> Parts<'a> {
    pub fn of(line: &'a str) -> Self {
        Parts(line.split(' '))
    }

    pub fn word(&mut self, what: &str) -> Result<&'a str, Malformed> {
        self.0.next().filter(|w| !w.is_empty()).ok_or_else(|| Malformed(format!("{what} is missing")))
    }

    /// A value, or `None` for `-`.
    pub fn maybe<T: FromStr>(&mut self, what: &str) -> Result<Option<T>, Malformed> {
        match self.word(what)? {
            "-" => Ok(None),
            word => {
                word.parse().map(Some).map_err(|_| Malformed(format!("cannot read {what} from {word:?}")))
            }
        }
    }

    pub fn value<T: FromStr>(&mut self, what: &str) -> Result<T, Malformed> {
        self.maybe(what)?.ok_or_else(|| Malformed(format!("{what} is absent")))
    }

    pub fn flag(&mut self, what: &str) -> Result<bool, Malformed> {
        match self.word(what)? {
            "1" => Ok(true),
            "0" => Ok(false),
            word => Err(Malformed(format!("cannot read {what} from {word:?}"))),
        }
    }

    /// A time in milliseconds; an absent or negative one reads as zero.
    pub fn time(&mut self, what: &str) -> Result<Duration, Malformed> {
        let ms: f64 = self.maybe(what)?.unwrap_or(0.0);
        if !ms.is_finite() {
            return Err(Malformed(format!("{what} is not a time")));
        }
        Ok(Duration::from_micros((ms.max(0.0) * 1e3).round() as u64))
    }

    pub fn settings(self) -> Result<Settings, Malformed> {
        let pairs = self.0.filter(|p| !p.is_empty()).map(|pair| {
            let (path, value) =
                pair.split_once('=').ok_or_else(|| format!("setting {pair:?} is not path=value"))?;
            Ok((path.to_string(), value.to_string()))
        });
        Ok(Settings(pairs.collect::<Result<_, Malformed>>()?))
    }
}

/// The lines of one instance, read and written by the names that it meets.
pub struct Door(Names);

impl Door {
    pub fn new(settings: &Settings) -> Self {
        Door(Names::new(settings))
    }

    fn method(&self, name: &str) -> Result<MethodId, Malformed> {
        self.0.method(name).ok_or_else(|| Malformed(format!("unknown class {name:?}")))
    }

    fn slice(&self, parts: &mut Parts) -> Result<SliceId, Malformed> {
        let slice = parts.value("table")?;
        self.0.slice(slice).ok_or_else(|| Malformed(format!("there is no slice {slice}")))
    }

    /// Values stand in the order of `report.fields`; names that we do not know are skipped.
    fn load(&self, row: &str) -> Result<LoadReport, Malformed> {
        let mut load = LoadReport::default();
        if row == "-" {
            return Ok(load);
        }
        for (name, word) in self.0.report().zip(row.split(',')) {
            if word == "-" || word.is_empty() {
                continue;
            }
            let value = word.parse().map_err(|_| Malformed(format!("cannot read {name} from {word:?}")))?;
            set_figure(&mut load, name, value);
        }
        Ok(load)
    }

    /// One `m` line of a list.
    pub fn entry(&mut self, line: &str) -> Result<Entry, Malformed> {
        let mut parts = Parts::of(line);
        if parts.word("the verb")? != "m" {
            return Err(Malformed("an entry of the list was expected".into()));
        }
        let ep = self.0.ep(parts.word("task")?);
        let zone = self.0.zone(parts.word("campus")?);
        parts.word("machine")?;
        parts.word("unitGroup")?;
        let listed = match parts.word("status")? {
            "U" => Listed::Ready,
            "L" => Listed::Draining,
            "D" => Listed::Gone,
            word => return Err(Malformed(format!("unknown status {word:?}"))),
        };
        let size = parts.maybe("size")?.unwrap_or(1.0);
        let started = Some(parts.time("startTime")?).filter(|t| !t.is_zero());
        Ok(Entry { ep, zone, listed, size, started })
    }

    /// The event of one line, after verb and instance; `None` for one that the module has no use for.
    pub fn event(&mut self, verb: &str, mut parts: Parts) -> Result<Option<Event>, Malformed> {
        Ok(Some(match verb {
            "roundup" => {
                let wait = parts.time("waitTime")?;
                let tries = parts.value("total")?;
                let zone = self.0.zone(parts.word("campus")?);
                let ep = self.0.ep(parts.word("task")?);
                let span = parts.time("span")?;
                let lost = parts.value("lost")?;
                let load = self.load(parts.word("serverStats")?)?;
                Event::Met { ep, zone, tries, lost, wait, span, load }
            }
            "range_load" => {
                let slice = self.slice(&mut parts)?;
                let rpcs = parts.value("total")?;
                let lost = parts.value("lost")?;
                let method = self.method(parts.word("qos")?)?;
                Event::Demand { slice, method, rpcs, lost, span: parts.time("span")? }
            }
            "check_result" => {
                let ep = self.0.ep(parts.word("task")?);
                let result = match parts.word("code")? {
                    "S" => Probe::Ok,
                    "E" => Probe::Aborted,
                    "F" => Probe::PushedBack,
                    "T" | "C" | "R" | "X" | "N" => Probe::Unanswered,
                    word => return Err(Malformed(format!("unknown code {word:?}"))),
                };
                parts.time("waitTime")?;
                Event::Probed { ep, result, load: self.load(parts.word("serverStats")?)? }
            }
            "dialled_in" => {
                Event::Joined { proxy: parts.value("clientLb")?, zone: self.0.zone(parts.word("campus")?) }
            }
            "dropped_off" => Event::Left { proxy: parts.value("clientLb")? },
            "acked" => {
                let proxy = parts.value("clientLb")?;
                let way = parts.time("waitTime")?;
                Event::Acked { proxy, mark: parts.value("gen")?, way }
            }
            "custody" => {
                let slice = self.slice(&mut parts)?;
                match parts.flag("flag")? {
                    true => Event::Given { slice },
                    false => Event::Taken { slice },
                }
            }
            "on_record" => {
                let weight: f64 = parts.value("size")?;
                let ep = self.0.ep(parts.word("task")?);
                let slice = self.slice(&mut parts)?;
                if weight <= 0.0 {
                    return Ok(None);
                }
                Event::Stored { slice, ep }
            }
            "elapsed" => Event::Timer,
            "memo" | "offered_load" => return Ok(None),
            _ => return Err(Malformed(format!("unknown verb {verb:?}"))),
        }))
    }

    /// Writes one order as a line of the reply.
    pub fn write(&self, out: &mut String, who: &str, order: &Order) {
        let task = |ep: &Ep| self.0.server(ep.index).unwrap_or("-");
        let written = match order {
            Order::Grant { slice, ep } => writeln!(out, "set_line {who} 1 {slice} {}", task(ep)),
            Order::Revoke { slice, ep } => writeln!(out, "set_line {who} 0 {slice} {}", task(ep)),
            Order::Level { slice, share, methods, tries } => {
                writeln!(out, "set_level {who} {share:.3} {methods} {tries} {slice}")
            }
            Order::Mark { mark } => writeln!(out, "ask_receipt {who} {mark} 1"),
            Order::Watch => writeln!(out, "track {who} 1"),
            Order::Fetch => writeln!(out, "reload {who}"),
            Order::Probe { ep } => writeln!(out, "touch {who} {}", task(ep)),
            Order::Wake { after } => writeln!(out, "defer {who} {:.3} wake", after.as_secs_f64() * 1e3),
            Order::Log { text } => writeln!(out, "print {who} {text}"),
        };
        written.expect("writing to a string cannot fail");
    }
}

pub fn list_kind(word: &str) -> Result<ListKind, Malformed> {
    match word {
        "Partial" => Ok(ListKind::Changes),
        "Complete" => Ok(ListKind::Full),
        "Persisted" => Ok(ListKind::Stored),
        "Error" => Ok(ListKind::Failed),
        _ => Err(Malformed(format!("unknown scope {word:?}"))),
    }
}
