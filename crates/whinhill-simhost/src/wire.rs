//! The simulator's line protocol: parses events and writes orders.
//!
//! A line is a list of fields separated by single spaces. This module maps the protocol's names to those of
//! `whinhill::interface`; no other module knows them.

use std::fmt::{self, Write};
use std::str::{FromStr, Split};
use std::time::Duration;

use whinhill::interface::{
    EndpointId, Event, ListKind, ListedStatus, LoadReport, MethodId, Order, ProbeOutcome, ServerEntry,
    Settings, SettingsError, SliceId,
};
use whinhill_names::{set_report_value, Names};

/// Says what is wrong with a line.
#[derive(Debug, PartialEq, Eq)]
pub struct ParseError(pub String);

impl From<String> for ParseError {
    fn from(text: String) -> Self {
        ParseError(text)
    }
}

impl From<SettingsError> for ParseError {
    fn from(error: SettingsError) -> Self {
        ParseError(error.to_string())
    }
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The fields of a line, read one after the other.
pub struct Fields<'a>(Split<'a, char>);

impl<'a> Fields<'a> {
    /// Splits a line into its fields.
    pub fn new(line: &'a str) -> Self {
        Fields(line.split(' '))
    }

    /// The next field as text; an empty or missing field is an error.
    pub fn text(&mut self, name: &str) -> Result<&'a str, ParseError> {
        self.0
            .next()
            .filter(|field| !field.is_empty())
            .ok_or_else(|| ParseError(format!("{name} is missing")))
    }

    /// The next field as a value, or `None` for `-`.
    pub fn optional<T: FromStr>(&mut self, name: &str) -> Result<Option<T>, ParseError> {
        match self.text(name)? {
            "-" => Ok(None),
            word => {
                word.parse().map(Some).map_err(|_| ParseError(format!("cannot read {name} from {word:?}")))
            }
        }
    }

    /// The next field as a value; `-` is an error.
    pub fn required<T: FromStr>(&mut self, name: &str) -> Result<T, ParseError> {
        self.optional(name)?.ok_or_else(|| ParseError(format!("{name} is absent")))
    }

    /// The next field as a boolean, written `1` or `0`.
    pub fn flag(&mut self, name: &str) -> Result<bool, ParseError> {
        match self.text(name)? {
            "1" => Ok(true),
            "0" => Ok(false),
            word => Err(ParseError(format!("cannot read {name} from {word:?}"))),
        }
    }

    /// The next field as a time in milliseconds; `-` and negative values read as zero.
    pub fn time(&mut self, name: &str) -> Result<Duration, ParseError> {
        let ms: f64 = self.optional(name)?.unwrap_or(0.0);
        if !ms.is_finite() {
            return Err(ParseError(format!("{name} is not a time")));
        }
        Ok(Duration::from_micros((ms.max(0.0) * 1e3).round() as u64))
    }

    /// The remaining fields as settings, each written `path=value`.
    pub fn settings(self) -> Result<Settings, ParseError> {
        let pairs = self.0.filter(|pair| !pair.is_empty()).map(|pair| {
            let (path, value) =
                pair.split_once('=').ok_or_else(|| format!("setting {pair:?} is not path=value"))?;
            Ok((path.to_string(), value.to_string()))
        });
        Ok(Settings(pairs.collect::<Result<_, ParseError>>()?))
    }
}

/// Parses and writes the lines of one instance, and maps server, zone and method names to indices.
pub struct WireCodec(Names);

impl WireCodec {
    /// A codec that knows the zones, methods, slices and report fields of `settings`.
    pub fn new(settings: &Settings) -> Self {
        WireCodec(Names::new(settings))
    }

    fn method(&self, name: &str) -> Result<MethodId, ParseError> {
        self.0.method_id(name).ok_or_else(|| ParseError(format!("unknown class {name:?}")))
    }

    fn slice(&self, fields: &mut Fields) -> Result<SliceId, ParseError> {
        let slice = fields.required("table")?;
        self.0.slice_id(slice).ok_or_else(|| ParseError(format!("there is no slice {slice}")))
    }

    /// Parses a load report. Values are in the order of the setting `report.fields`; unknown names are skipped.
    fn parse_load(&self, values: &str) -> Result<LoadReport, ParseError> {
        let mut load = LoadReport::default();
        if values == "-" {
            return Ok(load);
        }
        for (name, word) in self.0.report_fields().zip(values.split(',')) {
            if word == "-" || word.is_empty() {
                continue;
            }
            let value = word.parse().map_err(|_| ParseError(format!("cannot read {name} from {word:?}")))?;
            set_report_value(&mut load, name, value);
        }
        Ok(load)
    }

    /// Parses one `m` line: an entry of a server list.
    pub fn parse_entry(&mut self, line: &str) -> Result<ServerEntry, ParseError> {
        let mut fields = Fields::new(line);
        if fields.text("the verb")? != "m" {
            return Err(ParseError("a list entry was expected".into()));
        }
        let endpoint = self.0.endpoint(fields.text("task")?);
        let zone = self.0.zone_id(fields.text("campus")?);
        fields.text("machine")?;
        fields.text("unitGroup")?;
        let status = match fields.text("status")? {
            "U" => ListedStatus::Ready,
            "L" => ListedStatus::Draining,
            "D" => ListedStatus::Gone,
            word => return Err(ParseError(format!("unknown status {word:?}"))),
        };
        let size = fields.optional("size")?.unwrap_or(1.0);
        let started = Some(fields.time("startTime")?).filter(|time| !time.is_zero());
        Ok(ServerEntry { endpoint, zone, status, size, started })
    }

    /// Parses the fields that follow the verb and the instance; `None` for an event that the assigner does not use.
    pub fn parse_event(&mut self, verb: &str, mut fields: Fields) -> Result<Option<Event>, ParseError> {
        Ok(Some(match verb {
            "roundup" => {
                let mean_wait = fields.time("waitTime")?;
                let tries = fields.required("total")?;
                let zone = self.0.zone_id(fields.text("campus")?);
                let endpoint = self.0.endpoint(fields.text("task")?);
                let interval = fields.time("span")?;
                let lost = fields.required("lost")?;
                let load = self.parse_load(fields.text("serverStats")?)?;
                Event::TryReport { endpoint, zone, tries, lost, mean_wait, interval, load }
            }
            "range_load" => {
                let slice = self.slice(&mut fields)?;
                let rpcs = fields.required("total")?;
                let lost = fields.required("lost")?;
                let method = self.method(fields.text("qos")?)?;
                Event::Demand { slice, method, rpcs, lost, interval: fields.time("span")? }
            }
            "check_result" => {
                let endpoint = self.0.endpoint(fields.text("task")?);
                let result = match fields.text("code")? {
                    "S" => ProbeOutcome::Ok,
                    "E" => ProbeOutcome::Aborted,
                    "F" => ProbeOutcome::PushedBack,
                    "T" | "C" | "R" | "X" | "N" => ProbeOutcome::Unanswered,
                    word => return Err(ParseError(format!("unknown code {word:?}"))),
                };
                fields.time("waitTime")?;
                Event::Probed { endpoint, result, load: self.parse_load(fields.text("serverStats")?)? }
            }
            "dialled_in" => Event::ProxyJoined {
                proxy: fields.required("clientLb")?,
                zone: self.0.zone_id(fields.text("campus")?),
            },
            "dropped_off" => Event::ProxyLeft { proxy: fields.required("clientLb")? },
            "acked" => {
                let proxy = fields.required("clientLb")?;
                let transit = fields.time("waitTime")?;
                Event::Acked { proxy, ack_seq: fields.required("gen")?, transit }
            }
            "custody" => {
                let slice = self.slice(&mut fields)?;
                match fields.flag("flag")? {
                    true => Event::SliceAcquired { slice },
                    false => Event::SliceReleased { slice },
                }
            }
            "on_record" => {
                let weight: f64 = fields.required("size")?;
                let endpoint = self.0.endpoint(fields.text("task")?);
                let slice = self.slice(&mut fields)?;
                if weight <= 0.0 {
                    return Ok(None);
                }
                Event::StoredOwner { slice, endpoint }
            }
            "elapsed" => Event::Timer,
            "memo" | "offered_load" => return Ok(None),
            _ => return Err(ParseError(format!("unknown verb {verb:?}"))),
        }))
    }

    /// Appends one order to the reply as a line.
    pub fn write_order(&self, out: &mut String, instance: &str, order: &Order) {
        let name_of = |endpoint: &EndpointId| self.0.server_name(endpoint.index).unwrap_or("-");
        let result = match order {
            Order::Grant { slice, endpoint } => {
                writeln!(out, "set_line {instance} 1 {slice} {}", name_of(endpoint))
            }
            Order::Revoke { slice, endpoint } => {
                writeln!(out, "set_line {instance} 0 {slice} {}", name_of(endpoint))
            }
            Order::Level { slice, level, methods, tries } => {
                writeln!(out, "set_level {instance} {level:.3} {methods} {tries} {slice}")
            }
            Order::RequestAck { ack_seq } => writeln!(out, "ask_receipt {instance} {ack_seq} 1"),
            Order::WatchList => writeln!(out, "track {instance} 1"),
            Order::FetchList => writeln!(out, "reload {instance}"),
            Order::Probe { endpoint } => writeln!(out, "touch {instance} {}", name_of(endpoint)),
            Order::Wake { after } => writeln!(out, "defer {instance} {:.3} wake", after.as_secs_f64() * 1e3),
            Order::Log { text } => writeln!(out, "print {instance} {text}"),
        };
        result.expect("writing to a string cannot fail");
    }
}

/// Parses the scope of a server list.
pub fn parse_list_kind(word: &str) -> Result<ListKind, ParseError> {
    match word {
        "Partial" => Ok(ListKind::Changes),
        "Complete" => Ok(ListKind::Full),
        "Persisted" => Ok(ListKind::Stored),
        "Error" => Ok(ListKind::Failed),
        _ => Err(ParseError(format!("unknown scope {word:?}"))),
    }
}
