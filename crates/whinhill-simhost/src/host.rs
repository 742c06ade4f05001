//! Reads batches of events, passes each instance its events, and writes the orders as the reply.
//!
//! A batch starts with a `sync` line that carries the clock and a serial number, and ends with `commit`. The reply
//! ends with `finished` and the same serial number.

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::time::Duration;

use whinhill::interface::{Event, ListKind, Order};
use whinhill::Assigner;

use crate::wire::{parse_list_kind, Fields, ParseError, WireCodec};

/// Error that stops the host before its input ends.
#[derive(Debug)]
pub enum HostError {
    /// An input line could not be parsed; `content` is the start of that line.
    Line { number: u64, content: String, error: ParseError },
    /// Reading the input or writing the output failed.
    Io(io::Error),
}

impl From<io::Error> for HostError {
    fn from(error: io::Error) -> Self {
        HostError::Io(error)
    }
}

impl std::fmt::Display for HostError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            HostError::Line { number, content, error } => write!(f, "line {number}: {error}: {content}"),
            HostError::Io(error) => write!(f, "{error}"),
        }
    }
}

/// An assigner and the events of the current batch for it.
struct Instance {
    codec: WireCodec,
    assigner: Assigner,
    pending: Vec<Event>,
}

impl Instance {
    /// Passes events to the assigner and writes its orders. They take effect with the reply: whatever the simulator
    /// reports later has happened after them.
    fn handle(&mut self, now: Duration, events: &[Event], name: &str, reply: &mut String) {
        for order in self.assigner.handle(now, events) {
            self.codec.write_order(reply, name, &order);
            if let Order::RequestAck { ack_seq } = order {
                self.assigner.note_orders_stored(ack_seq);
            }
        }
    }
}

/// Reads input lines without their line ends and counts them.
struct LineReader<R> {
    input: R,
    number: u64,
    line: String,
}

impl<R: BufRead> LineReader<R> {
    /// Reads the next line into `line`; false at the end of the input.
    fn advance(&mut self) -> io::Result<bool> {
        self.line.clear();
        self.number += 1;
        let read = self.input.read_line(&mut self.line)?;
        let end = self.line.trim_end_matches(['\n', '\r']).len();
        self.line.truncate(end);
        Ok(read > 0)
    }

    /// An error for the current line, with at most 200 characters of its content.
    fn error_here(&self, error: ParseError) -> HostError {
        HostError::Line { number: self.number, content: self.line.chars().take(200).collect(), error }
    }
}

/// Handles batches until the input ends.
pub fn run(input: impl BufRead, mut output: impl Write) -> Result<(), HostError> {
    let mut lines = LineReader { input, number: 0, line: String::new() };
    let mut instances: BTreeMap<String, Instance> = BTreeMap::new();
    let mut reply = String::new();
    while lines.advance()? {
        if lines.line.is_empty() {
            continue;
        }
        let (now, serial) = parse_sync(&lines.line).map_err(|error| lines.error_here(error))?;
        loop {
            if !lines.advance()? {
                return Err(lines.error_here(ParseError("the input ends within a batch".into())));
            }
            if lines.line == "commit" {
                break;
            }
            handle_event_line(&mut lines, &mut instances)?;
        }
        reply.clear();
        for (name, instance) in &mut instances {
            let events = std::mem::take(&mut instance.pending);
            if !events.is_empty() {
                instance.handle(now, &events, name, &mut reply);
            }
        }
        reply.push_str(&format!("finished {serial}\n"));
        output.write_all(reply.as_bytes())?;
        output.flush()?;
    }
    Ok(())
}

/// Parses the first line of a batch into the clock and the serial number.
fn parse_sync(line: &str) -> Result<(Duration, u64), ParseError> {
    let mut fields = Fields::new(line);
    if fields.text("the verb")? != "sync" {
        return Err(ParseError("a batch must start with sync".into()));
    }
    Ok((fields.time("clock")?, fields.required("serial")?))
}

/// Handles the current line, with the list entries that follow it: starts or removes an instance, or queues an event.
fn handle_event_line<R: BufRead>(
    lines: &mut LineReader<R>,
    instances: &mut BTreeMap<String, Instance>,
) -> Result<(), HostError> {
    let line = lines.line.clone();
    let mut fields = Fields::new(&line);
    let verb = fields.text("the verb").map_err(|error| lines.error_here(error))?;
    let name = fields.text("who").map_err(|error| lines.error_here(error))?;
    if verb == "power_on" {
        let instance = parse_power_on(fields).map_err(|error| lines.error_here(error))?;
        instances.insert(name.to_string(), instance);
        return Ok(());
    }
    if verb == "killed" {
        instances.remove(name);
        return Ok(());
    }
    let Some(instance) = instances.get_mut(name) else {
        return Err(lines.error_here(ParseError(format!("{name} is not running"))));
    };
    let event = if verb == "members" {
        let (kind, count) = parse_members(fields).map_err(|error| lines.error_here(error))?;
        let mut entries = Vec::new();
        for _ in 0..count {
            if !lines.advance()? {
                return Err(lines.error_here(ParseError("the input ends within a list".into())));
            }
            entries.push(instance.codec.parse_entry(&lines.line).map_err(|error| lines.error_here(error))?);
        }
        Some(Event::List { kind, entries })
    } else {
        instance.codec.parse_event(verb, fields).map_err(|error| lines.error_here(error))?
    };
    instance.pending.extend(event);
    Ok(())
}

/// Parses the seed and the settings of a new instance.
fn parse_power_on(mut fields: Fields) -> Result<Instance, ParseError> {
    let seed = fields.required("nonce64")?;
    let settings = fields.settings()?;
    let codec = WireCodec::new(&settings);
    Ok(Instance { codec, assigner: Assigner::new(&settings, seed)?, pending: Vec::new() })
}

/// Parses the header of a server list into its kind and the number of entries.
fn parse_members(mut fields: Fields) -> Result<(ListKind, usize), ParseError> {
    let kind = parse_list_kind(fields.text("scope")?)?;
    fields.text("gen")?;
    Ok((kind, fields.optional("records")?.unwrap_or(0)))
}

#[cfg(test)]
mod tests {
    use super::*;

    const POWER_ON: &str = "power_on assigner-1 5 discovery=subscribe caps.mayProbe=0 classes.count=1 \
        classes.0.name=look classes.0.objective=1000.0 classes.0.points=1.0 familyInfo.mutating=true \
        familyInfo.retryDefault=0 familyInfo.period=1000.0 familyInfo.writeLease=4000.0 new.thing=x \
        familyInfo.inFlightMax=1200.0 rules.stopSendingWithin=2000.0 familyInfo.transitMax=800.0 \
        rules.warmAfter=10000.0 rules.coldFrom=0.2 rules.fallMultiple=3 familyInfo.overhead=8 \
        familyInfo.linesPerS=4000 familyInfo.backlog=6000 familyInfo.messagesMost=0 \
        familyInfo.reloadSpan=10000.0 familyInfo.shards=2 zones=a report.fields=queue,unheard_of";

    fn run_host(input: &str) -> (String, Result<(), HostError>) {
        let mut output = Vec::new();
        let result = run(input.as_bytes(), &mut output);
        (String::from_utf8(output).unwrap(), result)
    }

    /// A batch that starts an instance with a list of two servers, followed by `lines` from input line 6 on.
    fn batch(lines: &str) -> String {
        format!("sync 1000.5 1\n{POWER_ON}\nmembers assigner-1 Persisted 1 2\nm 10.0.0.1:7 a k 0 U 1 -\nm 10.0.0.2:7 a k 0 U 1 -\n{lines}commit\n")
    }

    #[test]
    fn every_event_is_parsed_and_orders_are_written() {
        let events = "custody assigner-1 1 1\non_record assigner-1 1 10.0.0.1:7 1\ndialled_in assigner-1 4 a 1 6.5\n\
            roundup assigner-1 48.25 14 a 10.0.0.1:7 1000.0 1 3,-\nroundup assigner-1 0 1 a 10.0.0.1:7 1000.0 1 -\n\
            range_load assigner-1 1 23 2 look 1000.0\nacked assigner-1 4 412.5 12\nelapsed assigner-1 wake\n\
            memo assigner-1 2 68\noffered_load assigner-1 look 0 9 2000.0 4\ndropped_off assigner-1 4\n\
            check_result assigner-1 10.0.0.1:7 T 4.0 -\nmembers assigner-1 Partial 2 1\nm 10.0.0.1:7 a k 0 L 1 6.0\n";
        let (output, result) = run_host(&batch(events));
        result.unwrap();
        assert!(output.contains("track assigner-1 1\n") && output.ends_with("finished 1\n"), "{output}");
        assert!(output.contains("set_level assigner-1 0.000 1 0 1\n"), "{output}");
    }

    #[test]
    fn instance_killed_and_restarted_in_one_batch_drops_earlier_events() {
        let (output, result) = run_host(&batch(&format!("killed assigner-1\n{POWER_ON}\n")));
        result.unwrap();
        assert_eq!(output, "finished 1\n");
    }

    #[test]
    fn empty_batch_gets_reply_without_orders() {
        let (output, result) = run_host("sync 8412.25 1\ncommit\n\nsync 8413.25 2\ncommit\n");
        result.unwrap();
        assert_eq!(output, "finished 1\nfinished 2\n");
    }

    #[test]
    fn error_for_malformed_line_names_its_number_and_content() {
        for (line, reason) in [
            ("nonsense assigner-1", "unknown verb"),
            ("custody assigner-1 9 1", "there is no slice 9"),
            ("range_load assigner-1 1 2 0 other 1000.0", "unknown class"),
            ("acked assigner-1 4 x 12", "cannot read waitTime"),
            ("elapsed assigner-9 wake", "assigner-9 is not running"),
        ] {
            let message = run_host(&batch(&format!("{line}\n"))).1.unwrap_err().to_string();
            assert!(message.starts_with("line 6: ") && message.contains(reason), "{message}");
            assert!(message.ends_with(line), "{message}");
        }
    }

    #[test]
    fn error_for_unreadable_setting_names_its_path() {
        let input = batch("").replace("linesPerS=4000", "linesPerS=many");
        let message = run_host(&input).1.unwrap_err().to_string();
        assert!(message.contains("setting familyInfo.linesPerS: cannot read \"many\""), "{message}");
    }
}
