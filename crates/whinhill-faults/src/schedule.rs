//! Which system calls fail, with what, how often and when: read from text, decided without I/O.

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
    /// `epoll_ctl`.
    Register,
    /// `read`, `recv` and `readv` on a TCP socket.
    Read,
    /// `write`, `send` and `writev` on a TCP socket.
    Write,
    /// `write` on standard error.
    Log,
    /// `write` and `pwrite64` on a file.
    FileWrite,
    /// `fsync` and `fdatasync`.
    Sync,
    /// `rename`.
    Rename,
}

const CALLS: [(&str, Call); 11] = [
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

const ERRORS: [(&str, i32); 16] = [
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

/// What happens in place of a call, or to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call fails with this number and is not made.
    Error(i32),
    /// The call moves so many bytes at most.
    Short(usize),
}

/// The most bytes that a shortened call moves.
const SHORT_MOST: u64 = 7;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Error(i32),
    Short,
}

/// One line of a schedule.
#[derive(Clone, Debug, PartialEq)]
struct Rule {
    call: Call,
    kinds: Vec<Kind>,
    /// From 0 to 1.
    chance: f64,
    /// In seconds since the process started.
    from: f64,
    until: f64,
}

/// A step of the wall clock, in seconds, and when it is made.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Step {
    by: i64,
    at: f64,
}

/// Why a text is no schedule.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("'{0}' is none of seed=N, clock=SECONDS:AT, CALL=FAULT|FAULT@CHANCE:FROM-UNTIL")]
pub struct ScheduleError(String);

/// All that a process is to meet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Schedule {
    seed: u64,
    rules: Vec<Rule>,
    steps: Vec<Step>,
}

impl Schedule {
    /// Whether the `count`th call of the process, made `at` seconds after its start, meets a fault.
    pub fn fault(&self, call: Call, at: f64, count: u64) -> Option<Fault> {
        let mut draws = Draws::new(self.seed, count);
        let due = |rule: &&Rule| rule.call == call && rule.from <= at && at < rule.until;
        for rule in self.rules.iter().filter(due) {
            let met = draws.part() < rule.chance;
            let kind = rule.kinds.get(draws.below(rule.kinds.len() as u64) as usize);
            match kind.filter(|_| met) {
                Some(Kind::Error(number)) => return Some(Fault::Error(*number)),
                Some(Kind::Short) => return Some(Fault::Short(1 + draws.below(SHORT_MOST) as usize)),
                None => {}
            }
        }
        None
    }

    /// By how many seconds the wall clock is off, `at` seconds after the start.
    pub fn clock_is_off(&self, at: f64) -> i64 {
        self.steps.iter().filter(|step| step.at <= at).map(|step| step.by).sum()
    }
}

impl FromStr for Schedule {
    type Err = ScheduleError;

    fn from_str(text: &str) -> Result<Self, ScheduleError> {
        let mut schedule = Schedule::default();
        for part in text.split([' ', ',']).filter(|part| !part.is_empty()) {
            schedule.add(part).ok_or_else(|| ScheduleError(part.to_string()))?;
        }
        Ok(schedule)
    }
}

impl Schedule {
    fn add(&mut self, part: &str) -> Option<()> {
        let (name, value) = part.split_once('=')?;
        match name {
            "seed" => self.seed = value.parse().ok()?,
            "clock" => {
                let (by, at) = value.split_once(':')?;
                self.steps.push(Step { by: by.parse().ok()?, at: at.parse().ok()? });
            }
            _ => self.rules.push(rule(name, value)?),
        }
        Some(())
    }
}

/// `FAULT|FAULT@CHANCE:FROM-UNTIL`; without a chance always, without times from the start to the end.
fn rule(name: &str, value: &str) -> Option<Rule> {
    let call = CALLS.iter().find(|(known, _)| *known == name)?.1;
    let (value, times) = value.split_once(':').unwrap_or((value, "0-inf"));
    let (faults, chance) = value.split_once('@').unwrap_or((value, "1"));
    let (from, until) = times.split_once('-')?;
    let kinds = faults.split('|').map(kind).collect::<Option<Vec<Kind>>>()?;
    Some(Rule {
        call,
        kinds,
        chance: chance.parse().ok()?,
        from: from.parse().ok()?,
        until: until.parse().ok()?,
    })
}

fn kind(name: &str) -> Option<Kind> {
    let number = ERRORS.iter().find(|(known, _)| *known == name).map(|(_, number)| *number);
    match name {
        "short" => Some(Kind::Short),
        _ => number.map(Kind::Error),
    }
}

/// Numbers drawn for one call: the same for the same seed and count (SplitMix64, Steele and others, 2014).
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

    /// From 0 to 1, without 1.
    fn part(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn below(&mut self, most: u64) -> u64 {
        self.next() % most.max(1)
    }
}

#[cfg(test)]
mod tests;
