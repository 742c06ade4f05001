//! What a control plane serves: the resources of one moment, each encoded once for all streams.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

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
    pub version: String,
    pub body: Bytes,
    /// The client drops it unless it is renewed in this time.
    pub ttl: Option<Duration>,
}

/// All resources by type and name.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    kinds: [BTreeMap<String, Arc<Entry>>; 4],
    revision: u64,
    /// Counts changes of which names there are.
    names: u64,
}

impl Cache {
    pub fn set(&mut self, kind: Kind, name: impl Into<String>, entry: Entry) {
        self.revision += 1;
        if self.kinds[kind.place()].insert(name.into(), Arc::new(entry)).is_none() {
            self.names += 1;
        }
    }

    pub fn remove(&mut self, kind: Kind, name: &str) {
        if self.kinds[kind.place()].remove(name).is_some() {
            self.revision += 1;
            self.names += 1;
        }
    }

    pub fn get(&self, kind: Kind, name: &str) -> Option<&Arc<Entry>> {
        self.kinds[kind.place()].get(name)
    }

    pub fn names(&self, kind: Kind) -> impl Iterator<Item = &str> {
        self.kinds[kind.place()].keys().map(String::as_str)
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
