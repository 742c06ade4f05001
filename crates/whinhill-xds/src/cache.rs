//! The resources that a control plane serves at one moment, each encoded once for all streams.

use std::collections::BTreeMap;
use std::ops::Deref;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use prost::encoding::{encode_key, encode_varint, WireType};
use prost::Message;

use crate::proto;

/// The resource types, in the order in which a change must be made so that no reference dangles: clusters, their
/// endpoints, listeners, their routes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    Cluster,
    Endpoints,
    Listener,
    Route,
}

impl Kind {
    /// All types, in the order of changes.
    pub const ALL: [Kind; 4] = [Kind::Cluster, Kind::Endpoints, Kind::Listener, Kind::Route];

    /// The type URL in messages.
    pub fn type_url(self) -> &'static str {
        match self {
            Kind::Cluster => "type.googleapis.com/envoy.config.cluster.v3.Cluster",
            Kind::Endpoints => "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
            Kind::Listener => "type.googleapis.com/envoy.config.listener.v3.Listener",
            Kind::Route => "type.googleapis.com/envoy.config.route.v3.RouteConfiguration",
        }
    }

    /// The type with this type URL.
    pub fn from_type_url(url: &str) -> Option<Self> {
        Kind::ALL.into_iter().find(|kind| kind.type_url() == url)
    }

    /// Whether a state-of-the-world response lists all resources of the type, so that those it omits are
    /// removed.
    pub fn lists_all_resources(self) -> bool {
        matches!(self, Kind::Cluster | Kind::Listener)
    }

    /// Index in arrays of one element per type.
    pub(crate) fn index(self) -> usize {
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
    /// Time after which the client drops the resource unless it is renewed.
    pub ttl: Option<Duration>,
}

/// An entry in the cache, with its name and its encodings as a field of a reply, each made once and shared by
/// all streams.
#[derive(Debug)]
pub struct CachedResource {
    kind: Kind,
    name: Arc<str>,
    entry: Entry,
    encoded_fields: [OnceLock<Bytes>; 3],
}

/// The forms in which a reply carries a resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Form {
    Incremental,
    /// State of the world, without a wrapper.
    Plain,
    /// State of the world, in the wrapper that can carry a TTL.
    Wrapped,
}

impl Deref for CachedResource {
    type Target = Entry;

    fn deref(&self) -> &Entry {
        &self.entry
    }
}

impl CachedResource {
    /// The resource's name.
    pub fn name(&self) -> &Arc<str> {
        &self.name
    }

    /// The resource as one field of a reply.
    pub(crate) fn encoded_field(&self, form: Form) -> Bytes {
        self.encoded_fields[form as usize].get_or_init(|| self.encode(form, true)).clone()
    }

    /// The resource without its body, which only renews the TTL.
    pub(crate) fn heartbeat_field(&self, form: Form) -> Bytes {
        self.encode(form, false)
    }

    fn encode(&self, form: Form, with_body: bool) -> Bytes {
        let any = || proto::Any { type_url: self.kind.type_url().to_string(), value: self.body.to_vec() };
        let resource = || proto::Resource {
            version: self.version.to_string(),
            resource: with_body.then(any),
            name: self.name.to_string(),
            ttl: self.ttl.map(proto::to_proto_duration),
        };
        match form {
            Form::Incremental => encode_field(&resource()),
            Form::Plain => encode_field(&any()),
            Form::Wrapped => encode_field(&proto::Any {
                type_url: WRAPPER_URL.to_string(),
                value: resource().encode_to_vec(),
            }),
        }
    }
}

/// Encodes one resource as field 2 of a reply, which it is in both variants.
fn encode_field(message: &impl Message) -> Bytes {
    // One byte for the key and up to five for the length.
    let mut bytes = Vec::with_capacity(message.encoded_len() + 6);
    encode_key(2, WireType::LengthDelimited, &mut bytes);
    encode_varint(message.encoded_len() as u64, &mut bytes);
    // A vector grows as needed, so encoding can't fail for lack of space.
    bytes.extend(message.encode_to_vec());
    bytes.into()
}

/// All resources, by type and name.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    by_kind: [BTreeMap<Arc<str>, Arc<CachedResource>>; 4],
    revision: u64,
    /// Counts additions and removals of names.
    names_revision: u64,
}

impl Cache {
    /// Adds or replaces a resource.
    pub fn set(&mut self, kind: Kind, name: impl AsRef<str>, entry: Entry) {
        self.revision += 1;
        let name = name.as_ref();
        let resources = &mut self.by_kind[kind.index()];
        let name = resources.get(name).map_or_else(|| name.into(), |cached| cached.name.clone());
        let cached =
            CachedResource { kind, name: Arc::clone(&name), entry, encoded_fields: Default::default() };
        if resources.insert(name, Arc::new(cached)).is_none() {
            self.names_revision += 1;
        }
    }

    /// Removes a resource, if it is there.
    pub fn remove(&mut self, kind: Kind, name: &str) {
        if self.by_kind[kind.index()].remove(name).is_some() {
            self.revision += 1;
            self.names_revision += 1;
        }
    }

    /// The resource with this name.
    pub fn get(&self, kind: Kind, name: &str) -> Option<&Arc<CachedResource>> {
        self.by_kind[kind.index()].get(name)
    }

    /// All names of a type, in order.
    pub fn names(&self, kind: Kind) -> impl Iterator<Item = &str> {
        self.by_kind[kind.index()].keys().map(|name| &**name)
    }

    /// All entries of a type, by name.
    pub fn all(&self, kind: Kind) -> impl Iterator<Item = &Arc<CachedResource>> {
        self.by_kind[kind.index()].values()
    }

    /// The shared copy of a name, or a new copy if there is no such resource.
    pub(crate) fn shared_name(&self, kind: Kind, name: &str) -> Arc<str> {
        self.get(kind, name).map_or_else(|| name.into(), |cached| cached.name.clone())
    }

    /// Number of resources of a type.
    pub fn len(&self, kind: Kind) -> usize {
        self.by_kind[kind.index()].len()
    }

    /// Whether there are no resources at all.
    pub fn is_empty(&self) -> bool {
        self.by_kind.iter().all(BTreeMap::is_empty)
    }

    /// Increases with every change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Increases whenever a name is added or removed.
    pub(crate) fn names_revision(&self) -> u64 {
        self.names_revision
    }
}
