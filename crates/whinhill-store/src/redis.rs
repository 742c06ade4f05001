//! The store over RESP. Compare-and-swap is WATCH, MGET, MULTI, SET, EXEC; liveness keys are keys with an expiry.

use std::net::SocketAddr;
use std::time::Duration;

use whinhill::interface::SliceId;

use crate::record::{Identity, Record};
use crate::resp::{command, Connection, ExchangeError, Frame};
use crate::store::{Outcome, Store, StoreError, Swap};

/// Settings of [`RespStore`].
#[derive(Clone, Debug)]
pub struct RespConfig {
    /// The store's address.
    pub addr: SocketAddr,
    /// Prepended to every key, so that several services can share a store.
    pub prefix: String,
    /// The timeout of each exchange with the store.
    pub timeout: Duration,
}

/// A store on a RESP server, over one connection that is opened when it is needed.
pub struct RespStore {
    config: RespConfig,
    connection: Option<Connection>,
}

/// The content of a string frame; `None` for other frames and for invalid UTF-8.
fn string_value(frame: &Frame) -> Option<&str> {
    match frame {
        Frame::BulkString(bytes) | Frame::SimpleString(bytes) => std::str::from_utf8(bytes).ok(),
        _ => None,
    }
}

/// The fault that an error reply, or a reply of the wrong type, amounts to.
fn unexpected_reply(frame: &Frame) -> StoreError {
    match frame {
        Frame::Error(text) => StoreError::Refused(text.to_string()),
        other => StoreError::UnexpectedReply(format!("{other:?}").chars().take(120).collect()),
    }
}

impl RespStore {
    /// Creates a store client. It connects at the first operation.
    pub fn new(config: RespConfig) -> Self {
        RespStore { config, connection: None }
    }

    fn liveness_key(&self, name: &str) -> String {
        format!("{}/alive/{name}", self.config.prefix)
    }

    fn slice_key(&self, slice: SliceId) -> String {
        format!("{}/slice/{slice}", self.config.prefix)
    }

    /// Performs one exchange, on a new connection if the last exchange failed.
    fn exchange(&mut self, commands: &[Frame]) -> Result<Vec<Frame>, ExchangeError> {
        let timeout = self.config.timeout;
        if self.connection.is_none() {
            let opened = Connection::open(self.config.addr, timeout);
            self.connection = Some(opened.map_err(|fault| ExchangeError { fault, may_have_arrived: false })?);
        }
        let Some(connection) = &mut self.connection else {
            return Err(ExchangeError {
                fault: StoreError::Unreachable("no connection".into()),
                may_have_arrived: false,
            });
        };
        let result = connection.exchange(commands, timeout);
        if result.is_err() {
            self.connection = None;
        }
        result
    }

    /// Performs an exchange of commands that change nothing, so a failed one has had no effect.
    fn query(&mut self, commands: &[Frame]) -> Result<Vec<Frame>, StoreError> {
        self.exchange(commands).map_err(|error| error.fault)
    }

    /// Watches keys and reads their values.
    fn watch_and_get(&mut self, keys: &[String]) -> Result<Vec<Option<String>>, StoreError> {
        let arguments = |verb: &'static str| -> Vec<&str> {
            std::iter::once(verb).chain(keys.iter().map(String::as_str)).collect()
        };
        let replies = self.query(&[command(&arguments("WATCH")), command(&arguments("MGET"))])?;
        let Frame::Array(values) = &replies[1] else { return Err(unexpected_reply(&replies[1])) };
        if values.len() != keys.len() {
            return Err(StoreError::UnexpectedReply(format!(
                "{} values for {} keys",
                values.len(),
                keys.len()
            )));
        }
        Ok(values.iter().map(|value| string_value(value).map(str::to_string)).collect())
    }

    /// Runs commands in a transaction if no watched key has changed. Returns true if they ran.
    fn run_transaction(&mut self, commands: Vec<Frame>) -> Outcome<bool> {
        let mut all = vec![command(&["MULTI"])];
        all.extend(commands);
        all.push(command(&["EXEC"]));
        match self.exchange(&all) {
            Err(ExchangeError { fault, may_have_arrived: false }) => Outcome::NotDone(fault),
            // EXEC may have run; only its reply would tell.
            Err(ExchangeError { fault, may_have_arrived: true }) => Outcome::Unknown(fault),
            Ok(replies) => match replies.last() {
                Some(Frame::Null) => Outcome::Done(false),
                Some(Frame::Array(_)) => Outcome::Done(true),
                Some(other) => Outcome::NotDone(unexpected_reply(other)),
                None => Outcome::Unknown(StoreError::UnexpectedReply("no reply to EXEC".into())),
            },
        }
    }

    fn unwatch(&mut self) {
        // If this fails, the connection is dropped, which also ends the watch.
        let _ = self.exchange(&[command(&["UNWATCH"])]);
    }
}

/// The argument of PX, which must be at least 1 ms.
fn px_millis(ttl: Duration) -> String {
    ttl.as_millis().max(1).to_string()
}

impl Store for RespStore {
    fn register(&mut self, identity: &Identity, ttl: Duration) -> Outcome<()> {
        let (key, incarnation) = (self.liveness_key(&identity.name), format!("{:x}", identity.incarnation));
        match self.exchange(&[command(&["SET", &key, &incarnation, "NX", "PX", &px_millis(ttl)])]) {
            Err(ExchangeError { fault, may_have_arrived: false }) => Outcome::NotDone(fault),
            Err(ExchangeError { fault, may_have_arrived: true }) => Outcome::Unknown(fault),
            Ok(replies) => match &replies[0] {
                Frame::SimpleString(_) => Outcome::Done(()),
                Frame::Null => match self.query(&[command(&["GET", &key])]) {
                    // An earlier SET of this incarnation took effect although its reply was lost.
                    Ok(current) if string_value(&current[0]) == Some(&incarnation) => {
                        self.renew(identity, ttl)
                    }
                    Ok(current) => Outcome::NotDone(StoreError::AlreadyRegistered(
                        string_value(&current[0]).unwrap_or("?").into(),
                    )),
                    Err(fault) => Outcome::NotDone(fault),
                },
                other => Outcome::NotDone(unexpected_reply(other)),
            },
        }
    }

    fn renew(&mut self, identity: &Identity, ttl: Duration) -> Outcome<()> {
        let (key, incarnation) = (self.liveness_key(&identity.name), format!("{:x}", identity.incarnation));
        match self.watch_and_get(std::slice::from_ref(&key)) {
            Err(fault) => Outcome::NotDone(fault),
            Ok(current) if current[0].as_deref() != Some(incarnation.as_str()) => {
                self.unwatch();
                Outcome::NotDone(StoreError::LeaseLost)
            }
            Ok(_) => {
                match self.run_transaction(vec![command(&["SET", &key, &incarnation, "PX", &px_millis(ttl)])])
                {
                    Outcome::Done(true) => Outcome::Done(()),
                    Outcome::Done(false) => Outcome::NotDone(StoreError::LeaseLost),
                    Outcome::NotDone(fault) => Outcome::NotDone(fault),
                    Outcome::Unknown(fault) => Outcome::Unknown(fault),
                }
            }
        }
    }

    fn deregister(&mut self, identity: &Identity) -> Outcome<()> {
        let (key, incarnation) = (self.liveness_key(&identity.name), format!("{:x}", identity.incarnation));
        match self.watch_and_get(std::slice::from_ref(&key)) {
            Err(fault) => Outcome::NotDone(fault),
            Ok(current) if current[0].as_deref() != Some(incarnation.as_str()) => {
                self.unwatch();
                Outcome::Done(())
            }
            Ok(_) => match self.run_transaction(vec![command(&["DEL", &key])]) {
                Outcome::Done(_) => Outcome::Done(()),
                Outcome::NotDone(fault) => Outcome::NotDone(fault),
                Outcome::Unknown(fault) => Outcome::Unknown(fault),
            },
        }
    }

    fn read(&mut self, names: &[String], slices: usize) -> Outcome<(Vec<Identity>, Vec<Option<Record>>)> {
        let liveness_keys: Vec<String> = names.iter().map(|name| self.liveness_key(name)).collect();
        let record_keys: Vec<String> = (0..slices).map(|slice| self.slice_key(slice)).collect();
        let get = |keys: &[String]| {
            let arguments: Vec<&str> =
                std::iter::once("MGET").chain(keys.iter().map(String::as_str)).collect();
            command(&arguments)
        };
        // Liveness is read before the records: a holder found live may have released a slice by the time the records
        // are read, never the reverse.
        let replies = match self.query(&[get(&liveness_keys), get(&record_keys)]) {
            Ok(replies) => replies,
            Err(fault) => return Outcome::NotDone(fault),
        };
        let (Frame::Array(liveness), Frame::Array(values)) = (&replies[0], &replies[1]) else {
            return Outcome::NotDone(unexpected_reply(&replies[0]));
        };
        if liveness.len() != names.len() || values.len() != slices {
            return Outcome::NotDone(StoreError::UnexpectedReply(
                "the numbers of values and keys differ".into(),
            ));
        }
        let mut alive = Vec::new();
        for (name, incarnation) in names.iter().zip(liveness) {
            let Some(incarnation) = string_value(incarnation) else { continue };
            match u64::from_str_radix(incarnation, 16) {
                Ok(incarnation) => alive.push(Identity { name: name.clone(), incarnation }),
                Err(_) => {
                    return Outcome::NotDone(StoreError::UnexpectedReply(format!(
                        "{incarnation:?} is not an incarnation number of {name}"
                    )))
                }
            }
        }
        let mut records = Vec::with_capacity(slices);
        for value in values {
            match string_value(value).map(str::parse::<Record>).transpose() {
                Ok(record) => records.push(record),
                Err(error) => return Outcome::NotDone(StoreError::UnexpectedReply(error.to_string())),
            }
        }
        Outcome::Done((alive, records))
    }

    fn compare_and_swap(&mut self, swaps: &[Swap]) -> Outcome<bool> {
        let keys: Vec<String> = swaps.iter().map(|swap| self.slice_key(swap.slice)).collect();
        let current = match self.watch_and_get(&keys) {
            Ok(current) => current,
            Err(fault) => return Outcome::NotDone(fault),
        };
        let unchanged = |(swap, current): (&Swap, &Option<String>)| {
            swap.expected.as_ref().map(Record::to_string) == *current
        };
        if !swaps.iter().zip(&current).all(unchanged) {
            self.unwatch();
            return Outcome::Done(false);
        }
        let sets = swaps.iter().zip(&keys).map(|(swap, key)| command(&["SET", key, &swap.new.to_string()]));
        self.run_transaction(sets.collect())
    }
}
