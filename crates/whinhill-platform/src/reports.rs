//! Parses the collectors' reports. Every figure is checked here, so that no absurd one reaches the decisions.

use std::time::Duration;

use serde_json::{Map, Value};
use whinhill::interface::{Event, LoadReport};
use whinhill_names::{set_report_value, Names};

/// Longest reporting interval or wait that a report may contain, in milliseconds. The longest deadlines are seconds,
/// and figures that a collector cannot send at once are accumulated over some seconds more.
const MAX_DURATION_MS: f64 = 600_000.0;
/// Largest count that a report may contain. A fleet makes hundreds of tries a second.
const MAX_COUNT: f64 = 1e6;
/// Largest figure of a load report: milliseconds, RPCs or a fraction of the processor.
const MAX_LOAD_FIGURE: f64 = 1e6;

/// Why a report was dropped. The value is the name of the invalid field.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReportError {
    /// The field is missing or has the wrong type.
    #[error("{0} is missing or has the wrong type")]
    Missing(&'static str),
    /// The field's value is out of range.
    #[error("{0} is out of range")]
    OutOfRange(&'static str),
    /// The field names a zone, server, slice, method or message type that is unknown.
    #[error("{0} has an unknown value")]
    Unknown(&'static str),
}

type Message = Map<String, Value>;

/// Parses a report of the tries that the proxies of a zone made at a server.
pub fn parse_try_report(message: &Message, names: &Names) -> Result<Event, ReportError> {
    let zone = names.known_zone_id(text_field(message, "site")?).ok_or(ReportError::Unknown("site"))?;
    let endpoint =
        names.known_endpoint(text_field(message, "target")?).ok_or(ReportError::Unknown("target"))?;
    let (tries, lost) = (count_field(message, "count")?, count_field(message, "fail")?);
    if lost > tries {
        return Err(ReportError::OutOfRange("fail"));
    }
    let (mean_wait, interval) = (duration_field(message, "mean")?, interval_field(message)?);
    let load = match message.get("util") {
        None | Some(Value::Null) => LoadReport::default(),
        Some(Value::Object(figures)) => parse_load_figures(figures)?,
        Some(_) => return Err(ReportError::Missing("util")),
    };
    Ok(Event::TryReport { endpoint, zone, tries, lost, mean_wait, interval, load })
}

/// Parses a report of the RPCs that arrived for a slice. Lost RPCs may have arrived in an earlier interval, so there
/// may be more of them than arrived.
pub fn parse_demand(message: &Message, names: &Names) -> Result<Event, ReportError> {
    let number = count_field(message, "range")?;
    let slice =
        usize::try_from(number).ok().and_then(|n| names.slice_id(n)).ok_or(ReportError::Unknown("range"))?;
    let method = names.method_id(text_field(message, "lane")?).ok_or(ReportError::Unknown("lane"))?;
    let (rpcs, lost) = (count_field(message, "count")?, count_field(message, "fail")?);
    Ok(Event::Demand { slice, method, rpcs, lost, interval: interval_field(message)? })
}

fn parse_load_figures(figures: &Message) -> Result<LoadReport, ReportError> {
    let mut load = LoadReport::default();
    for (name, value) in figures {
        let value = value.as_f64().ok_or(ReportError::Missing("util"))?;
        if !(0.0..=MAX_LOAD_FIGURE).contains(&value) {
            return Err(ReportError::OutOfRange("util"));
        }
        set_report_value(&mut load, name, value);
    }
    Ok(load)
}

/// Parses a load report as a server writes it: `inflight=7,queue=2,util=0.61`. Invalid pairs are skipped.
pub fn parse_load_report(body: &[u8]) -> LoadReport {
    let mut load = LoadReport::default();
    let Ok(body) = std::str::from_utf8(body) else { return load };
    for (name, word) in body.trim().split(',').filter_map(|pair| pair.split_once('=')) {
        let value = word.trim().parse::<f64>().ok().filter(|v| (0.0..=MAX_LOAD_FIGURE).contains(v));
        if let Some(value) = value {
            set_report_value(&mut load, name.trim(), value);
        }
    }
    load
}

/// The text of a field.
pub fn text_field<'a>(message: &'a Message, field: &'static str) -> Result<&'a str, ReportError> {
    message.get(field).and_then(Value::as_str).ok_or(ReportError::Missing(field))
}

fn number_field(message: &Message, field: &'static str, max: f64) -> Result<f64, ReportError> {
    let value = message.get(field).and_then(Value::as_f64).ok_or(ReportError::Missing(field))?;
    if (0.0..=max).contains(&value) {
        Ok(value)
    } else {
        Err(ReportError::OutOfRange(field))
    }
}

fn count_field(message: &Message, field: &'static str) -> Result<u64, ReportError> {
    let value = number_field(message, field, MAX_COUNT)?;
    if value.fract() == 0.0 {
        Ok(value as u64)
    } else {
        Err(ReportError::OutOfRange(field))
    }
}

/// A field in milliseconds, rounded to microseconds.
fn duration_field(message: &Message, field: &'static str) -> Result<Duration, ReportError> {
    number_field(message, field, MAX_DURATION_MS).map(|ms| Duration::from_micros((ms * 1e3).round() as u64))
}

/// The reporting interval, which is never zero.
fn interval_field(message: &Message) -> Result<Duration, ReportError> {
    duration_field(message, "over").and_then(|interval| {
        if interval.is_zero() {
            Err(ReportError::OutOfRange("over"))
        } else {
            Ok(interval)
        }
    })
}

#[cfg(test)]
mod tests;
