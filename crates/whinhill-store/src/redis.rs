//! The store over RESP. Compare-and-set is WATCH, GET, MULTI, SET, EXEC; signs of life are keys that expire.

use std::net::SocketAddr;
use std::time::Duration;

use whinhill::interface::SliceId;

use crate::record::{Identity, Record};
use crate::resp::{command, Connection, Failed, Frame};
use crate::store::{Outcome, Store, StoreFault, Swap};

#[derive(Clone, Debug)]
pub struct RespConfig {
    pub addr: SocketAddr,
    /// Goes before every key, so that several services can share a store.
    pub prefix: String,
    /// Each exchange with the store ends in this time.
    pub within: Duration,
}

pub struct RespStore {
    config: RespConfig,
    connection: Option<Connection>,
}

fn text(frame: &Frame) -> Option<&str> {
    match frame {
        Frame::BulkString(bytes) | Frame::SimpleString(bytes) => std::str::from_utf8(bytes).ok(),
        _ => None,
    }
}

fn out_of_step(frame: &Frame) -> StoreFault {
    match frame {
        Frame::Error(text) => StoreFault::Refused(text.to_string()),
        other => StoreFault::OutOfStep(format!("{other:?}").chars().take(120).collect()),
    }
}

impl RespStore {
    pub fn new(config: RespConfig) -> Self {
        RespStore { config, connection: None }
    }

    fn life_key(&self, name: &str) -> String {
        format!("{}/alive/{name}", self.config.prefix)
    }

    fn slice_key(&self, slice: SliceId) -> String {
        format!("{}/slice/{slice}", self.config.prefix)
    }

    /// One exchange, on a new connection if the last one failed.
    fn exchange(&mut self, commands: &[Frame]) -> Result<Vec<Frame>, Failed> {
        let within = self.config.within;
        if self.connection.is_none() {
            let opened = Connection::open(self.config.addr, within);
            self.connection = Some(opened.map_err(|fault| Failed { fault, sent: false })?);
        }
        let Some(connection) = &mut self.connection else {
            return Err(Failed { fault: StoreFault::Unreachable("no connection".into()), sent: false });
        };
        let result = connection.exchange(commands, within);
        if result.is_err() {
            self.connection = None;
        }
        result
    }

    /// A question that changes nothing: what fails was not done.
    fn ask(&mut self, commands: &[Frame]) -> Result<Vec<Frame>, StoreFault> {
        self.exchange(commands).map_err(|failed| failed.fault)
    }

    /// Watches keys and reads them.
    fn watched(&mut self, keys: &[String]) -> Result<Vec<Option<String>>, StoreFault> {
        let words = |verb: &'static str| -> Vec<&str> {
            std::iter::once(verb).chain(keys.iter().map(String::as_str)).collect()
        };
        let answers = self.ask(&[command(&words("WATCH")), command(&words("MGET"))])?;
        let Frame::Array(values) = &answers[1] else { return Err(out_of_step(&answers[1])) };
        if values.len() != keys.len() {
            return Err(StoreFault::OutOfStep(format!("{} values for {} keys", values.len(), keys.len())));
        }
        Ok(values.iter().map(|value| text(value).map(str::to_string)).collect())
    }

    /// Runs commands if no watched key has changed. True if they ran.
    fn transact(&mut self, commands: Vec<Frame>) -> Outcome<bool> {
        let mut all = vec![command(&["MULTI"])];
        all.extend(commands);
        all.push(command(&["EXEC"]));
        match self.exchange(&all) {
            Err(Failed { fault, sent: false }) => Outcome::NotDone(fault),
            // EXEC may have run: the answer alone could tell.
            Err(Failed { fault, sent: true }) => Outcome::Unknown(fault),
            Ok(answers) => match answers.last() {
                Some(Frame::Null) => Outcome::Done(false),
                Some(Frame::Array(_)) => Outcome::Done(true),
                Some(other) => Outcome::NotDone(out_of_step(other)),
                None => Outcome::Unknown(StoreFault::OutOfStep("no answer to EXEC".into())),
            },
        }
    }

    fn unwatch(&mut self) {
        // If it fails the connection is dropped, which unwatches too.
        let _ = self.exchange(&[command(&["UNWATCH"])]);
    }
}

fn millis(span: Duration) -> String {
    span.as_millis().max(1).to_string()
}

impl Store for RespStore {
    fn appear(&mut self, me: &Identity, ttl: Duration) -> Outcome<()> {
        let (key, life) = (self.life_key(&me.name), format!("{:x}", me.life));
        match self.exchange(&[command(&["SET", &key, &life, "NX", "PX", &millis(ttl)])]) {
            Err(Failed { fault, sent: false }) => Outcome::NotDone(fault),
            Err(Failed { fault, sent: true }) => Outcome::Unknown(fault),
            Ok(answers) => match &answers[0] {
                Frame::SimpleString(_) => Outcome::Done(()),
                Frame::Null => match self.ask(&[command(&["GET", &key])]) {
                    // An answer that was lost has done it after all.
                    Ok(held) if text(&held[0]) == Some(&life) => self.renew(me, ttl),
                    Ok(held) => {
                        Outcome::NotDone(StoreFault::StillAlive(text(&held[0]).unwrap_or("?").into()))
                    }
                    Err(fault) => Outcome::NotDone(fault),
                },
                other => Outcome::NotDone(out_of_step(other)),
            },
        }
    }

    fn renew(&mut self, me: &Identity, ttl: Duration) -> Outcome<()> {
        let (key, life) = (self.life_key(&me.name), format!("{:x}", me.life));
        match self.watched(std::slice::from_ref(&key)) {
            Err(fault) => Outcome::NotDone(fault),
            Ok(held) if held[0].as_deref() != Some(life.as_str()) => {
                self.unwatch();
                Outcome::NotDone(StoreFault::LifeLost)
            }
            Ok(_) => match self.transact(vec![command(&["SET", &key, &life, "PX", &millis(ttl)])]) {
                Outcome::Done(true) => Outcome::Done(()),
                Outcome::Done(false) => Outcome::NotDone(StoreFault::LifeLost),
                Outcome::NotDone(fault) => Outcome::NotDone(fault),
                Outcome::Unknown(fault) => Outcome::Unknown(fault),
            },
        }
    }

    fn vanish(&mut self, me: &Identity) -> Outcome<()> {
        let (key, life) = (self.life_key(&me.name), format!("{:x}", me.life));
        match self.watched(std::slice::from_ref(&key)) {
            Err(fault) => Outcome::NotDone(fault),
            Ok(held) if held[0].as_deref() != Some(life.as_str()) => {
                self.unwatch();
                Outcome::Done(())
            }
            Ok(_) => match self.transact(vec![command(&["DEL", &key])]) {
                Outcome::Done(_) => Outcome::Done(()),
                Outcome::NotDone(fault) => Outcome::NotDone(fault),
                Outcome::Unknown(fault) => Outcome::Unknown(fault),
            },
        }
    }

    fn read(&mut self, names: &[String], slices: usize) -> Outcome<(Vec<Identity>, Vec<Option<Record>>)> {
        let lives: Vec<String> = names.iter().map(|name| self.life_key(name)).collect();
        let records: Vec<String> = (0..slices).map(|slice| self.slice_key(slice)).collect();
        let get = |keys: &[String]| {
            let words: Vec<&str> = std::iter::once("MGET").chain(keys.iter().map(String::as_str)).collect();
            command(&words)
        };
        // Lives are read first: a holder that is alive then may have given the slice up since, never the reverse.
        let answers = match self.ask(&[get(&lives), get(&records)]) {
            Ok(answers) => answers,
            Err(fault) => return Outcome::NotDone(fault),
        };
        let (Frame::Array(lives), Frame::Array(held)) = (&answers[0], &answers[1]) else {
            return Outcome::NotDone(out_of_step(&answers[0]));
        };
        if lives.len() != names.len() || held.len() != slices {
            return Outcome::NotDone(StoreFault::OutOfStep("another number of values than of keys".into()));
        }
        let mut alive = Vec::new();
        for (name, life) in names.iter().zip(lives) {
            let Some(life) = text(life) else { continue };
            match u64::from_str_radix(life, 16) {
                Ok(life) => alive.push(Identity { name: name.clone(), life }),
                Err(_) => {
                    return Outcome::NotDone(StoreFault::OutOfStep(format!("{life:?} is no life of {name}")))
                }
            }
        }
        let mut found = Vec::with_capacity(slices);
        for value in held {
            match text(value).map(str::parse::<Record>).transpose() {
                Ok(record) => found.push(record),
                Err(error) => return Outcome::NotDone(StoreFault::OutOfStep(error.to_string())),
            }
        }
        Outcome::Done((alive, found))
    }

    fn swap(&mut self, swaps: &[Swap]) -> Outcome<bool> {
        let keys: Vec<String> = swaps.iter().map(|swap| self.slice_key(swap.slice)).collect();
        let held = match self.watched(&keys) {
            Ok(held) => held,
            Err(fault) => return Outcome::NotDone(fault),
        };
        let same =
            |(swap, held): (&Swap, &Option<String>)| swap.expected.as_ref().map(Record::to_string) == *held;
        if !swaps.iter().zip(&held).all(same) {
            self.unwatch();
            return Outcome::Done(false);
        }
        let sets = swaps.iter().zip(&keys).map(|(swap, key)| command(&["SET", key, &swap.new.to_string()]));
        self.transact(sets.collect())
    }
}
