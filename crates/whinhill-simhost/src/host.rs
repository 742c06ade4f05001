//! Reads batches, hands each instance its events, and writes the reply.

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::time::Duration;

use whinhill::interface::Event;
use whinhill::Assigner;

use crate::wire::{list_kind, Door, Malformed, Parts};

/// Why the host stopped before its input ended.
#[derive(Debug)]
pub enum Failure {
    Line { number: u64, content: String, what: Malformed },
    Io(io::Error),
}

impl From<io::Error> for Failure {
    fn from(error: io::Error) -> Self {
        Failure::Io(error)
    }
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Failure::Line { number, content, what } => write!(f, "line {number}: {what}: {content}"),
            Failure::Io(error) => write!(f, "{error}"),
        }
    }
}

struct Instance {
    door: Door,
    assigner: Assigner,
    pending: Vec<Event>,
}

/// The lines of the input, counted, without their ends.
struct Lines<R> {
    input: R,
    number: u64,
    line: String,
}

impl<R: BufRead> Lines<R> {
    /// False at the end of the input.
    fn advance(&mut self) -> io::Result<bool> {
        self.line.clear();
        self.number += 1;
        let read = self.input.read_line(&mut self.line)?;
        let end = self.line.trim_end_matches(['\n', '\r']).len();
        self.line.truncate(end);
        Ok(read > 0)
    }

    fn fail(&self, what: Malformed) -> Failure {
        Failure::Line { number: self.number, content: self.line.chars().take(200).collect(), what }
    }
}

/// Runs until the input ends.
pub fn run(input: impl BufRead, mut output: impl Write) -> Result<(), Failure> {
    let mut lines = Lines { input, number: 0, line: String::new() };
    let mut instances: BTreeMap<String, Instance> = BTreeMap::new();
    let mut reply = String::new();
    while lines.advance()? {
        if lines.line.is_empty() {
            continue;
        }
        let (now, serial) = sync(&lines.line).map_err(|what| lines.fail(what))?;
        loop {
            if !lines.advance()? {
                return Err(lines.fail(Malformed("the input ends within a batch".into())));
            }
            if lines.line == "commit" {
                break;
            }
            take(&mut lines, &mut instances)?;
        }
        reply.clear();
        for (who, instance) in &mut instances {
            let events = std::mem::take(&mut instance.pending);
            if !events.is_empty() {
                for order in instance.assigner.handle(now, &events) {
                    instance.door.write(&mut reply, who, &order);
                }
            }
        }
        reply.push_str(&format!("finished {serial}\n"));
        output.write_all(reply.as_bytes())?;
        output.flush()?;
    }
    Ok(())
}

fn sync(line: &str) -> Result<(Duration, u64), Malformed> {
    let mut parts = Parts::of(line);
    if parts.word("the verb")? != "sync" {
        return Err(Malformed("a batch must start with sync".into()));
    }
    Ok((parts.time("clock")?, parts.value("serial")?))
}

/// Takes one event, with the entries that follow it, to its instance.
fn take<R: BufRead>(lines: &mut Lines<R>, instances: &mut BTreeMap<String, Instance>) -> Result<(), Failure> {
    let line = lines.line.clone();
    let mut parts = Parts::of(&line);
    let verb = parts.word("the verb").map_err(|what| lines.fail(what))?;
    let who = parts.word("who").map_err(|what| lines.fail(what))?;
    if verb == "power_on" {
        let instance = power_on(parts).map_err(|what| lines.fail(what))?;
        instances.insert(who.to_string(), instance);
        return Ok(());
    }
    if verb == "killed" {
        instances.remove(who);
        return Ok(());
    }
    let Some(instance) = instances.get_mut(who) else {
        return Err(lines.fail(Malformed(format!("{who} is not running"))));
    };
    let event = if verb == "members" {
        let (kind, count) = members(parts).map_err(|what| lines.fail(what))?;
        let mut entries = Vec::new();
        for _ in 0..count {
            if !lines.advance()? {
                return Err(lines.fail(Malformed("the input ends within a list".into())));
            }
            entries.push(instance.door.entry(&lines.line).map_err(|what| lines.fail(what))?);
        }
        Some(Event::List { kind, entries })
    } else {
        instance.door.event(verb, parts).map_err(|what| lines.fail(what))?
    };
    instance.pending.extend(event);
    Ok(())
}

fn power_on(mut parts: Parts) -> Result<Instance, Malformed> {
    let seed = parts.value("nonce64")?;
    let settings = parts.settings()?;
    let door = Door::new(&settings);
    Ok(Instance { door, assigner: Assigner::new(&settings, seed)?, pending: Vec::new() })
}

fn members(mut parts: Parts) -> Result<(whinhill::interface::ListKind, usize), Malformed> {
    let kind = list_kind(parts.word("scope")?)?;
    parts.word("gen")?;
    Ok((kind, parts.maybe("records")?.unwrap_or(0)))
}
