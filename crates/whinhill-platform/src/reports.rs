//! Collectors' reports: each is checked here, so that no absurd figure reaches the decisions.

use std::time::Duration;

use serde_json::{Map, Value};
use whinhill::interface::{Event, LoadReport};
use whinhill_names::{set_figure, Names};

/// Longest stretch or wait that a report may tell of, in milliseconds. The longest deadlines are seconds, and
/// what the feed cannot carry is added up for seconds more.
const SPAN_MOST_MS: f64 = 600_000.0;
/// Most tries that a report may count. A fleet does hundreds a second.
const COUNT_MOST: f64 = 1e6;
/// Most that a figure of a load report may be: milliseconds or RPCs.
const FIGURE_MOST: f64 = 1e6;

/// Why a report was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Spoilt {
    #[error("{0} is missing or of another type")]
    Missing(&'static str),
    #[error("{0} is out of range")]
    Range(&'static str),
    #[error("{0} names nothing that exists")]
    Unknown(&'static str),
}

type Message = Map<String, Value>;

/// What the proxies of a zone met at a server.
pub fn met(message: &Message, names: &Names) -> Result<Event, Spoilt> {
    let zone = names.known_zone(text(message, "site")?).ok_or(Spoilt::Unknown("site"))?;
    let ep = names.known(text(message, "target")?).ok_or(Spoilt::Unknown("target"))?;
    let (tries, lost) = (count(message, "count")?, count(message, "fail")?);
    if lost > tries {
        return Err(Spoilt::Range("fail"));
    }
    let (wait, span) = (time(message, "mean")?, span(message)?);
    let load = match message.get("util") {
        None | Some(Value::Null) => LoadReport::default(),
        Some(Value::Object(figures)) => load(figures)?,
        Some(_) => return Err(Spoilt::Missing("util")),
    };
    Ok(Event::Met { ep, zone, tries, lost, wait, span, load })
}

/// The RPCs that came for a slice. Those lost may have come in an earlier stretch, so they may be more.
pub fn demand(message: &Message, names: &Names) -> Result<Event, Spoilt> {
    let number = count(message, "range")?;
    let slice = usize::try_from(number).ok().and_then(|n| names.slice(n)).ok_or(Spoilt::Unknown("range"))?;
    let method = names.method(text(message, "lane")?).ok_or(Spoilt::Unknown("lane"))?;
    let (rpcs, lost) = (count(message, "count")?, count(message, "fail")?);
    Ok(Event::Demand { slice, method, rpcs, lost, span: span(message)? })
}

fn load(figures: &Message) -> Result<LoadReport, Spoilt> {
    let mut load = LoadReport::default();
    for (name, value) in figures {
        let value = value.as_f64().ok_or(Spoilt::Missing("util"))?;
        if !(0.0..=FIGURE_MOST).contains(&value) {
            return Err(Spoilt::Range("util"));
        }
        set_figure(&mut load, name, value);
    }
    Ok(load)
}

/// A load report as a server writes it: `inflight=7,queue=2,util=0.61`. Pairs that cannot be read are skipped.
pub fn load_line(body: &[u8]) -> LoadReport {
    let mut load = LoadReport::default();
    let Ok(body) = std::str::from_utf8(body) else { return load };
    for (name, word) in body.trim().split(',').filter_map(|pair| pair.split_once('=')) {
        let value = word.trim().parse::<f64>().ok().filter(|v| (0.0..=FIGURE_MOST).contains(v));
        if let Some(value) = value {
            set_figure(&mut load, name.trim(), value);
        }
    }
    load
}

pub fn text<'a>(message: &'a Message, field: &'static str) -> Result<&'a str, Spoilt> {
    message.get(field).and_then(Value::as_str).ok_or(Spoilt::Missing(field))
}

fn number(message: &Message, field: &'static str, most: f64) -> Result<f64, Spoilt> {
    let value = message.get(field).and_then(Value::as_f64).ok_or(Spoilt::Missing(field))?;
    if (0.0..=most).contains(&value) {
        Ok(value)
    } else {
        Err(Spoilt::Range(field))
    }
}

fn count(message: &Message, field: &'static str) -> Result<u64, Spoilt> {
    let value = number(message, field, COUNT_MOST)?;
    if value.fract() == 0.0 {
        Ok(value as u64)
    } else {
        Err(Spoilt::Range(field))
    }
}

fn time(message: &Message, field: &'static str) -> Result<Duration, Spoilt> {
    number(message, field, SPAN_MOST_MS).map(|ms| Duration::from_micros((ms * 1e3).round() as u64))
}

fn span(message: &Message) -> Result<Duration, Spoilt> {
    time(message, "over").and_then(|span| if span.is_zero() { Err(Spoilt::Range("over")) } else { Ok(span) })
}

#[cfg(test)]
mod tests;
