//! What a control plane serves: the resources of one moment, each encoded once for all streams.

use std::collections::BTreeMap;
use std::ops::Deref;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use prost::encoding::{encode_key, encode_varint, WireType};
use prost::Message;

use crate::proto;

/// The types of resource, in the order in which a change must be made so that nothing points into the void:
/// clusters, their endpoints, listeners, their routes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    Cluster,
    Endpoints,
    Listener,
    Route,
}

impl Kind {
    pub const ALL: [Kind; 4] = [Kind::Cluster, Kind::Endpoints, Kind::Listener, Kind::Route];

    pub fn type_url(self) -> &'static str {
        match self {
            Kind::Cluster => "type.googleapis.com/envoy.config.cluster.v3.Cluster",
            Kind::Endpoints => "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
            Kind::Listener => "type.googleapis.com/envoy.config.listener.v3.Listener",
            Kind::Route => "type.googleapis.com/envoy.config.route.v3.RouteConfiguration",
        }
    }

    pub fn of_type_url(url: &str) -> Option<Self> {
        Kind::ALL.into_iter().find(|kind| kind.type_url() == url)
    }

    /// Whether a state-of-the-world response names all there is, so that what it leaves out is gone.
    pub fn whole(self) -> bool {
        matches!(self, Kind::Cluster | Kind::Listener)
    }

    pub(crate) fn place(self) -> usize {
        self as usize
    }
}

/// The type of the wrapper in which a state-of-the-world response carries a TTL.
pub const WRAPPER_URL: &str = "type.googleapis.com/envoy.service.discovery.v3.Resource";

/// One resource: its version and its encoded message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub version: Arc<str>,
    pub body: Bytes,
    /// The client drops it unless it is renewed in this time.
    pub ttl: Option<Duration>,
}

/// An entry as it is kept: with its name, and its encoding in a reply, made once and shared by every stream.
#[derive(Debug)]
pub struct Stored {
    kind: Kind,
    name: Arc<str>,
    entry: Entry,
    frames: [OnceLock<Bytes>; 3],
}

/// The ways in which a reply carries a resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Form {
    Incremental,
    /// State of the world, as it is.
    Plain,
    /// State of the world, in the wrapper that can carry a TTL.
    Wrapped,
}

impl Deref for Stored {
    type Target = Entry;

    fn deref(&self) -> &Entry {
        &self.entry
    }
}

impl Stored {
    pub fn name(&self) -> &Arc<str> {
        &self.name
    }

    /// The resource as one field of a reply.
    pub(crate) fn frame(&self, form: Form) -> Bytes {
        self.frames[form as usize].get_or_init(|| self.encode(form, true)).clone()
    }

    /// The same without its body: it renews the TTL alone.
    pub(crate) fn beat(&self, form: Form) -> Bytes {
        self.encode(form, false)
    }

    fn encode(&self, form: Form, with_body: bool) -> Bytes {
        let any = || proto::Any { type_url: self.kind.type_url().to_string(), value: self.body.to_vec() };
        let resource = || proto::Resource {
            version: self.version.to_string(),
            resource: with_body.then(any),
            name: self.name.to_string(),
            ttl: self.ttl.map(proto::span),
        };
        match form {
            Form::Incremental => field(&resource()),
            Form::Plain => field(&any()),
            Form::Wrapped => {
                field(&proto::Any { type_url: WRAPPER_URL.to_string(), value: resource().encode_to_vec() })
            }
        }
    }
}

/// Field 2 of a reply in either variant: one resource.
fn field(message: &impl Message) -> Bytes {
    let mut bytes = Vec::with_capacity(message.encoded_len() + 6);
    encode_key(2, WireType::LengthDelimited, &mut bytes);
    encode_varint(message.encoded_len() as u64, &mut bytes);
    // A vector grows as far as it must.
    bytes.extend(message.encode_to_vec());
    bytes.into()
}

/// All resources by type and name.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    kinds: [BTreeMap<Arc<str>, Arc<Stored>>; 4],
    revision: u64,
    /// Counts changes of which names there are.
    names: u64,
}

impl Cache {
    pub fn set(&mut self, kind: Kind, name: impl AsRef<str>, entry: Entry) {
        self.revision += 1;
        let name = name.as_ref();
        let kinds = &mut self.kinds[kind.place()];
        let name = kinds.get(name).map_or_else(|| name.into(), |stored| stored.name.clone());
        let stored = Stored { kind, name: Arc::clone(&name), entry, frames: Default::default() };
        if kinds.insert(name, Arc::new(stored)).is_none() {
            self.names += 1;
        }
    }

    pub fn remove(&mut self, kind: Kind, name: &str) {
        if self.kinds[kind.place()].remove(name).is_some() {
            self.revision += 1;
            self.names += 1;
        }
    }

    pub fn get(&self, kind: Kind, name: &str) -> Option<&Arc<Stored>> {
        self.kinds[kind.place()].get(name)
    }

    pub fn names(&self, kind: Kind) -> impl Iterator<Item = &str> {
        self.kinds[kind.place()].keys().map(|name| &**name)
    }

    /// All entries of a type, by name.
    pub fn all(&self, kind: Kind) -> impl Iterator<Item = &Arc<Stored>> {
        self.kinds[kind.place()].values()
    }

    /// A name in the one copy that everyone shares.
    pub(crate) fn shared(&self, kind: Kind, name: &str) -> Arc<str> {
        self.get(kind, name).map_or_else(|| name.into(), |stored| stored.name.clone())
    }

    pub fn len(&self, kind: Kind) -> usize {
        self.kinds[kind.place()].len()
    }

    pub fn is_empty(&self) -> bool {
        self.kinds.iter().all(BTreeMap::is_empty)
    }

    /// Grows with every change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Grows whenever a name comes or goes.
    pub(crate) fn names_revision(&self) -> u64 {
        self.names
    }
}
