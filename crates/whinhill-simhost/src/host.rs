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

    fn play(input: &str) -> (String, Result<(), Failure>) {
        let mut output = Vec::new();
        let result = run(input.as_bytes(), &mut output);
        (String::from_utf8(output).unwrap(), result)
    }

    fn batch(lines: &str) -> String {
        format!("sync 1000.5 1\n{POWER_ON}\nmembers assigner-1 Persisted 1 2\nm 10.0.0.1:7 a k 0 U 1 -\nm 10.0.0.2:7 a k 0 U 1 -\n{lines}commit\n")
    }

    #[test]
    fn every_event_is_read_and_orders_are_written() {
        let events = "custody assigner-1 1 1\non_record assigner-1 1 10.0.0.1:7 1\ndialled_in assigner-1 4 a 1 6.5\n\
            roundup assigner-1 48.25 14 a 10.0.0.1:7 1000.0 1 3,-\nroundup assigner-1 0 1 a 10.0.0.1:7 1000.0 1 -\n\
            range_load assigner-1 1 23 2 look 1000.0\nacked assigner-1 4 412.5 12\nelapsed assigner-1 wake\n\
            memo assigner-1 2 68\noffered_load assigner-1 look 0 9 2000.0 4\ndropped_off assigner-1 4\n\
            check_result assigner-1 10.0.0.1:7 T 4.0 -\nmembers assigner-1 Partial 2 1\nm 10.0.0.1:7 a k 0 L 1 6.0\n";
        let (output, result) = play(&batch(events));
        result.unwrap();
        assert!(output.contains("track assigner-1 1\n") && output.ends_with("finished 1\n"), "{output}");
        assert!(output.contains("set_level assigner-1 0.000 1 0 1\n"), "{output}");
    }

    #[test]
    fn an_instance_killed_and_started_in_one_batch_starts_afresh() {
        let (output, result) = play(&batch(&format!("killed assigner-1\n{POWER_ON}\n")));
        result.unwrap();
        assert_eq!(output, "finished 1\n");
    }

    #[test]
    fn an_empty_batch_gets_an_empty_reply() {
        let (output, result) = play("sync 8412.25 1\ncommit\n\nsync 8413.25 2\ncommit\n");
        result.unwrap();
        assert_eq!(output, "finished 1\nfinished 2\n");
    }

    #[test]
    fn a_malformed_line_is_named_with_its_number() {
        for (line, what) in [
            ("nonsense assigner-1", "unknown verb"),
            ("custody assigner-1 9 1", "there is no slice 9"),
            ("range_load assigner-1 1 2 0 other 1000.0", "unknown class"),
            ("acked assigner-1 4 x 12", "cannot read waitTime"),
            ("elapsed assigner-9 wake", "assigner-9 is not running"),
        ] {
            let message = play(&batch(&format!("{line}\n"))).1.unwrap_err().to_string();
            assert!(message.starts_with("line 6: ") && message.contains(what), "{message}");
            assert!(message.ends_with(line), "{message}");
        }
    }

    #[test]
    fn an_unreadable_setting_is_named_with_its_path() {
        let input = batch("").replace("linesPerS=4000", "linesPerS=many");
        let message = play(&input).1.unwrap_err().to_string();
        assert!(message.contains("setting familyInfo.linesPerS: cannot read \"many\""), "{message}");
    }
}
