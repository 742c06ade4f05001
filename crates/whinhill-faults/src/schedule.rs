//! Which system calls fail, with which error, how often and when: parsed from text, evaluated without I/O.

use std::str::FromStr;

/// A group of system calls that fail together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// `accept4`.
    Accept,
    /// `socket`.
    Socket,
    /// `connect`.
    Connect,
    /// `epoll_wait`.
    Wait,
    /// `epoll_ctl`, except for removals.
    Register,
    /// `read`, `recv` and `readv` on a TCP socket.
    Read,
    /// `write`, `send` and `writev` on a TCP socket.
    Write,
    /// `write`, `pwrite64`, `send` and `writev` on standard error.
    Log,
    /// `write`, `pwrite64` and `writev` on a file.
    FileWrite,
    /// `fsync` and `fdatasync`.
    Sync,
    /// `rename`.
    Rename,
}

/// The names of calls in schedules.
const CALL_NAMES: [(&str, Call); 11] = [
    ("accept", Call::Accept),
    ("socket", Call::Socket),
    ("connect", Call::Connect),
    ("wait", Call::Wait),
    ("register", Call::Register),
    ("read", Call::Read),
    ("write", Call::Write),
    ("log", Call::Log),
    ("file-write", Call::FileWrite),
    ("sync", Call::Sync),
    ("rename", Call::Rename),
];

/// The names of errors in schedules.
const ERROR_NAMES: [(&str, i32); 16] = [
    ("EADDRNOTAVAIL", libc::EADDRNOTAVAIL),
    ("EAGAIN", libc::EAGAIN),
    ("ECONNABORTED", libc::ECONNABORTED),
    ("ECONNREFUSED", libc::ECONNREFUSED),
    ("ECONNRESET", libc::ECONNRESET),
    ("EHOSTUNREACH", libc::EHOSTUNREACH),
    ("EINTR", libc::EINTR),
    ("EIO", libc::EIO),
    ("EMFILE", libc::EMFILE),
    ("ENETUNREACH", libc::ENETUNREACH),
    ("ENFILE", libc::ENFILE),
    ("ENOBUFS", libc::ENOBUFS),
    ("ENOMEM", libc::ENOMEM),
    ("ENOSPC", libc::ENOSPC),
    ("EPIPE", libc::EPIPE),
    ("ETIMEDOUT", libc::ETIMEDOUT),
];

/// What happens to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call fails with this error number; the real call is not made.
    Error(i32),
    /// The call transfers at most this number of bytes.
    Short(usize),
}

/// The most bytes that a shortened call transfers.
const MAX_SHORT_BYTES: u64 = 7;

/// A fault as a rule names it; the length of a shortened transfer is drawn for each call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FaultKind {
    Error(i32),
    Short,
}

/// One rule of a schedule.
#[derive(Clone, Debug, PartialEq)]
struct Rule {
    call: Call,
    /// The faults, of which each failing call gets one at random.
    kinds: Vec<FaultKind>,
    /// The probability that a call fails, from 0 to 1.
    chance: f64,
    /// Start of the rule, in seconds since the process started.
    from: f64,
    /// End of the rule, exclusive, in the same unit.
    until: f64,
}

/// A step of the wall clock by `by` seconds, `at` seconds after the start.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ClockStep {
    by: i64,
    at: f64,
}

/// A part of the text is not valid in a schedule.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("'{0}' is none of seed=N, clock=SECONDS:AT, CALL=FAULT|FAULT@CHANCE:FROM-UNTIL")]
pub struct ScheduleError(String);

/// All faults of a process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Schedule {
    seed: u64,
    rules: Vec<Rule>,
    clock_steps: Vec<ClockStep>,
}

impl Schedule {
    /// The fault, if any, for the `count`th call of the process, made `at` seconds after its start.
    pub fn fault(&self, call: Call, at: f64, count: u64) -> Option<Fault> {
        let mut draws = Draws::new(self.seed, count);
        let applies = |rule: &&Rule| rule.call == call && rule.from <= at && at < rule.until;
        for rule in self.rules.iter().filter(applies) {
            let chance_met = draws.unit() < rule.chance;
            let kind = rule.kinds.get(draws.below(rule.kinds.len() as u64) as usize);
            match kind.filter(|_| chance_met) {
                Some(FaultKind::Error(number)) => return Some(Fault::Error(*number)),
                Some(FaultKind::Short) => {
                    return Some(Fault::Short(1 + draws.below(MAX_SHORT_BYTES) as usize))
                }
                None => {}
            }
        }
        None
    }

    /// The offset of the wall clock in seconds, `at` seconds after the start.
    pub fn clock_offset(&self, at: f64) -> i64 {
        self.clock_steps.iter().filter(|step| step.at <= at).map(|step| step.by).sum()
    }
}

impl FromStr for Schedule {
    type Err = ScheduleError;

    fn from_str(text: &str) -> Result<Self, ScheduleError> {
        let mut schedule = Schedule::default();
        for part in text.split([' ', ',']).filter(|part| !part.is_empty()) {
            schedule.add_part(part).ok_or_else(|| ScheduleError(part.to_string()))?;
        }
        Ok(schedule)
    }
}

impl Schedule {
    /// Parses one part of the text and adds it.
    fn add_part(&mut self, part: &str) -> Option<()> {
        let (name, value) = part.split_once('=')?;
        match name {
            "seed" => self.seed = value.parse().ok()?,
            "clock" => {
                let (by, at) = value.split_once(':')?;
                self.clock_steps.push(ClockStep { by: by.parse().ok()?, at: at.parse().ok()? });
            }
            _ => self.rules.push(parse_rule(name, value)?),
        }
        Some(())
    }
}

/// Parses `FAULT|FAULT@CHANCE:FROM-UNTIL`; the default chance is 1, the default times are from the start without end.
fn parse_rule(name: &str, value: &str) -> Option<Rule> {
    let call = CALL_NAMES.iter().find(|(known, _)| *known == name)?.1;
    let (value, times) = value.split_once(':').unwrap_or((value, "0-inf"));
    let (faults, chance) = value.split_once('@').unwrap_or((value, "1"));
    let (from, until) = times.split_once('-')?;
    let kinds = faults.split('|').map(parse_fault).collect::<Option<Vec<FaultKind>>>()?;
    Some(Rule {
        call,
        kinds,
        chance: chance.parse().ok()?,
        from: from.parse().ok()?,
        until: until.parse().ok()?,
    })
}

/// Parses the name of a fault.
fn parse_fault(name: &str) -> Option<FaultKind> {
    let number = ERROR_NAMES.iter().find(|(known, _)| *known == name).map(|(_, number)| *number);
    match name {
        "short" => Some(FaultKind::Short),
        _ => number.map(FaultKind::Error),
    }
}

/// The random numbers of one call, determined by seed and count (SplitMix64, Steele and others, 2014).
struct Draws(u64);

impl Draws {
    fn new(seed: u64, count: u64) -> Self {
        Draws(seed.wrapping_mul(0xD1B5_4A32_D192_ED03) ^ count.wrapping_mul(0x9E37_79B9_7F4A_7C15))
    }

    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }

    /// Uniform from 0 to 1, excluding 1.
    fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Below `limit`; 0 if that is 0.
    fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit.max(1)
    }
}

#[cfg(test)]
mod tests;
