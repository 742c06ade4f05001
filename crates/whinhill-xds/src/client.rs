//! A client's end of one aggregated stream: a state machine without I/O.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use prost::Message;

use crate::cache::{Kind, WRAPPER_URL};
use crate::holdings::{holdings_hash, node_with_hash};
use crate::proto::{self, from_proto_duration, Any, DeltaDiscoveryRequest, DiscoveryRequest, Node, Status};
use crate::{Request, Response, Variant, MAX_URL_CHARS};

/// Node feature of a client that accepts wrapped resources in the state of the world, and so their TTLs.
pub const FEATURE_WRAPPED: &str = "xds.config.resource-in-sotw";
/// gRPC's INVALID_ARGUMENT, the status code of a NACK.
const INVALID_ARGUMENT: i32 = 3;
/// Maximum length of a NACK's reason, in characters; longer ones are cut.
const MAX_REASON_CHARS: usize = 500;

/// One resource of an update. Without a body it only renews the TTL.
#[derive(Clone, Debug, PartialEq)]
pub struct Received {
    pub name: String,
    pub version: String,
    pub ttl: Option<Duration>,
    pub body: Option<Bytes>,
}

/// A decoded reply. It takes effect only once [`ClientStream::accept`] has been called for it.
#[derive(Clone, Debug, PartialEq)]
pub struct Update {
    pub kind: Kind,
    pub nonce: String,
    /// The version of the reply as a whole.
    pub set_version: String,
    pub resources: Vec<Received>,
    /// Names of resources that no longer exist.
    pub removed: Vec<String>,
    /// Why the reply can't be decoded; such an update must be rejected.
    pub error: Option<String>,
}

/// Why a reply does not belong to the stream.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UpdateError {
    #[error("unknown resource type {0:?}")]
    UnknownType(String),
    #[error("a reply of the other variant")]
    WrongVariant,
}

/// Subscription and held versions of one resource type.
#[derive(Debug, Default)]
struct Subscription {
    wildcard: bool,
    names: BTreeSet<String>,
    versions: BTreeMap<String, String>,
    set_version: String,
    nonce: String,
    requested: bool,
    /// Updates of this type accepted since the hash was last sent.
    updates_since_hash: u32,
}

/// One client. It outlives its streams: [`ClientStream::open`] begins a new one with the versions that are held.
#[derive(Debug)]
pub struct ClientStream {
    variant: Variant,
    node: Node,
    subscriptions: [Subscription; 4],
    is_open: bool,
    sends_hash: bool,
}

/// Number of accepted updates of load assignments after which an ACK carries their hash.
const UPDATES_PER_HASH: u32 = 16;

impl ClientStream {
    /// A client that has no stream yet.
    pub fn new(variant: Variant, mut node: Node) -> Self {
        if variant == Variant::StateOfTheWorld && !node.client_features.iter().any(|f| f == FEATURE_WRAPPED) {
            node.client_features.push(FEATURE_WRAPPED.to_string());
        }
        ClientStream { variant, node, subscriptions: Default::default(), is_open: false, sends_hash: false }
    }

    /// Makes some ACKs of load assignments carry the hash of the held load assignments (`holdings.rs`), so that
    /// the control plane can compare it.
    pub fn send_holdings_hash(&mut self) {
        self.sends_hash = true;
    }

    /// The variant of its streams.
    pub fn variant(&self) -> Variant {
        self.variant
    }

    /// Sets the subscription to a type, before the stream is opened or on an open one. Returns the request to
    /// send, if any.
    pub fn subscribe(&mut self, kind: Kind, wildcard: bool, names: BTreeSet<String>) -> Option<Request> {
        let subscription = &mut self.subscriptions[kind.index()];
        let added: Vec<String> = names.difference(&subscription.names).cloned().collect();
        let removed: Vec<String> = subscription.names.difference(&names).cloned().collect();
        if subscription.requested
            && added.is_empty()
            && removed.is_empty()
            && wildcard == subscription.wildcard
        {
            return None;
        }
        (subscription.wildcard, subscription.names) = (wildcard, names);
        for name in &removed {
            subscription.versions.remove(name);
        }
        if !self.is_open {
            return None;
        }
        if !subscription.requested {
            return Some(self.first_request(kind));
        }
        Some(match self.variant {
            Variant::Incremental => Request::Incremental(DeltaDiscoveryRequest {
                type_url: kind.type_url().to_string(),
                resource_names_subscribe: added,
                resource_names_unsubscribe: removed,
                ..Default::default()
            }),
            Variant::StateOfTheWorld => self.full_request(kind, None),
        })
    }

    /// Begins a new stream. Returns the requests to send, which carry the held versions.
    pub fn open(&mut self) -> Vec<Request> {
        self.is_open = true;
        for subscription in &mut self.subscriptions {
            (subscription.requested, subscription.nonce) = (false, String::new());
        }
        let is_subscribed =
            |subscription: &Subscription| subscription.wildcard || !subscription.names.is_empty();
        let kinds: Vec<Kind> =
            Kind::ALL.into_iter().filter(|k| is_subscribed(&self.subscriptions[k.index()])).collect();
        kinds.into_iter().map(|kind| self.first_request(kind)).collect()
    }

    /// The first request of a type on a stream.
    fn first_request(&mut self, kind: Kind) -> Request {
        let subscription = &mut self.subscriptions[kind.index()];
        subscription.requested = true;
        match self.variant {
            Variant::Incremental => {
                let mut names: Vec<String> = subscription.names.iter().cloned().collect();
                names.extend(subscription.wildcard.then(|| "*".to_string()));
                Request::Incremental(DeltaDiscoveryRequest {
                    node: Some(self.node.clone()),
                    type_url: kind.type_url().to_string(),
                    resource_names_subscribe: names,
                    initial_resource_versions: subscription.versions.clone().into_iter().collect(),
                    ..Default::default()
                })
            }
            Variant::StateOfTheWorld => self.full_request(kind, None),
        }
    }

    /// Decodes a reply. What can't be decoded is named in the update's `error`.
    pub fn decode_reply(&mut self, response: &Response) -> Result<Update, UpdateError> {
        match (response, self.variant) {
            (Response::Incremental(reply), Variant::Incremental) => {
                let kind = kind_from_url(&reply.type_url)?;
                let mut update = Update {
                    kind,
                    nonce: reply.nonce.clone(),
                    set_version: reply.system_version_info.clone(),
                    resources: Vec::with_capacity(reply.resources.len()),
                    removed: reply.removed_resources.clone(),
                    error: None,
                };
                reply.resources.iter().for_each(|resource| add_resource(&mut update, resource));
                self.retain_subscribed(&mut update);
                Ok(update)
            }
            (Response::StateOfTheWorld(reply), Variant::StateOfTheWorld) => {
                let kind = kind_from_url(&reply.type_url)?;
                let mut update = Update {
                    kind,
                    nonce: reply.nonce.clone(),
                    set_version: reply.version_info.clone(),
                    resources: Vec::with_capacity(reply.resources.len()),
                    removed: Vec::new(),
                    error: None,
                };
                for any in &reply.resources {
                    match decode_resource(kind, any) {
                        Ok(mut resource) => {
                            if resource.version.is_empty() {
                                resource.version.clone_from(&reply.version_info);
                            }
                            add_resource(&mut update, &resource);
                        }
                        Err(fault) => update.error = Some(fault),
                    }
                }
                // A reply of heartbeats alone renews TTLs and does not list all resources: nothing counts as
                // removed.
                let only_heartbeats =
                    !update.resources.is_empty() && update.resources.iter().all(|r| r.body.is_none());
                if kind.lists_all_resources() && !only_heartbeats {
                    let listed: BTreeSet<&str> = update.resources.iter().map(|r| r.name.as_str()).collect();
                    let held = self.subscriptions[kind.index()].versions.keys();
                    update.removed = held.filter(|name| !listed.contains(name.as_str())).cloned().collect();
                }
                self.retain_subscribed(&mut update);
                Ok(update)
            }
            _ => Err(UpdateError::WrongVariant),
        }
    }

    /// Drops resources that were unsubscribed while they were in transit. If they were kept, a later stream that
    /// subscribes again would report them as already held.
    fn retain_subscribed(&self, update: &mut Update) {
        let subscription = &self.subscriptions[update.kind.index()];
        update
            .resources
            .retain(|resource| subscription.wildcard || subscription.names.contains(&resource.name));
    }

    /// Records that the update was applied. Returns the ACK to send.
    pub fn accept(&mut self, update: &Update) -> Request {
        let subscription = &mut self.subscriptions[update.kind.index()];
        for resource in update.resources.iter().filter(|r| r.body.is_some()) {
            subscription.versions.insert(resource.name.clone(), resource.version.clone());
        }
        update.removed.iter().for_each(|name| drop(subscription.versions.remove(name)));
        subscription.set_version.clone_from(&update.set_version);
        subscription.updates_since_hash += 1;
        let sends_hash = self.sends_hash
            && update.kind == Kind::Endpoints
            && subscription.updates_since_hash >= UPDATES_PER_HASH;
        let mut ack = self.ack_request(update, None);
        if sends_hash {
            let subscription = &mut self.subscriptions[update.kind.index()];
            subscription.updates_since_hash = 0;
            let held = subscription.versions.iter().map(|(name, version)| (name.as_str(), version.as_str()));
            let node = Some(node_with_hash(&self.node.id, holdings_hash(held)));
            match &mut ack {
                Request::Incremental(request) => request.node = node,
                Request::StateOfTheWorld(request) => request.node = node,
            }
        }
        ack
    }

    /// Rejects an update; the held resources stay. Returns the NACK to send.
    pub fn reject(&mut self, update: &Update, reason: &str) -> Request {
        let message = reason.chars().take(MAX_REASON_CHARS).collect();
        self.ack_request(update, Some(Status { code: INVALID_ARGUMENT, message }))
    }

    /// The held versions of a type, by name.
    pub fn versions(&self, kind: Kind) -> &BTreeMap<String, String> {
        &self.subscriptions[kind.index()].versions
    }

    /// Forgets a resource whose TTL has expired, so that a new stream requests it.
    pub fn forget(&mut self, kind: Kind, name: &str) {
        self.subscriptions[kind.index()].versions.remove(name);
    }

    /// The ACK of an update or, with an error, the NACK.
    fn ack_request(&mut self, update: &Update, error_detail: Option<Status>) -> Request {
        self.subscriptions[update.kind.index()].nonce.clone_from(&update.nonce);
        match self.variant {
            Variant::Incremental => Request::Incremental(DeltaDiscoveryRequest {
                type_url: update.kind.type_url().to_string(),
                response_nonce: update.nonce.clone(),
                error_detail,
                ..Default::default()
            }),
            Variant::StateOfTheWorld => self.full_request(update.kind, error_detail),
        }
    }

    /// A state-of-the-world request with the whole subscription.
    fn full_request(&self, kind: Kind, error_detail: Option<Status>) -> Request {
        let subscription = &self.subscriptions[kind.index()];
        let mut resource_names: Vec<String> = subscription.names.iter().cloned().collect();
        // An empty list already means the wildcard; beside names it must be written out.
        if subscription.wildcard && !subscription.names.is_empty() {
            resource_names.push("*".to_string());
        }
        Request::StateOfTheWorld(DiscoveryRequest {
            version_info: subscription.set_version.clone(),
            node: subscription.nonce.is_empty().then(|| self.node.clone()),
            resource_names,
            type_url: kind.type_url().to_string(),
            response_nonce: subscription.nonce.clone(),
            error_detail,
        })
    }
}

fn kind_from_url(url: &str) -> Result<Kind, UpdateError> {
    Kind::from_type_url(url)
        .ok_or_else(|| UpdateError::UnknownType(url.chars().take(MAX_URL_CHARS).collect()))
}

/// Adds a resource to an update, or the reason why it can't be decoded.
fn add_resource(update: &mut Update, resource: &proto::Resource) {
    let ttl = match resource.ttl.as_ref().map(from_proto_duration) {
        Some(None) => {
            update.error = Some(format!("{}: a TTL that is no span", resource.name));
            return;
        }
        Some(ttl) => ttl,
        None => None,
    };
    let body = match &resource.resource {
        Some(any) if any.type_url != update.kind.type_url() => {
            update.error = Some(format!("{}: a resource of type {:?}", resource.name, any.type_url));
            return;
        }
        Some(any) => Some(Bytes::from(any.value.clone())),
        None => None,
    };
    let (name, version) = (resource.name.clone(), resource.version.clone());
    update.resources.push(Received { name, version, ttl, body });
}

/// Decodes a resource of the state of the world, wrapped or plain. The name of a plain one is read from its
/// body.
fn decode_resource(kind: Kind, any: &Any) -> Result<proto::Resource, String> {
    if any.type_url == WRAPPER_URL {
        return proto::Resource::decode(any.value.as_slice()).map_err(|error| format!("a resource: {error}"));
    }
    let value = any.value.as_slice();
    let name = match kind {
        Kind::Cluster => proto::Cluster::decode(value).map(|r| r.name),
        Kind::Endpoints => proto::ClusterLoadAssignment::decode(value).map(|r| r.cluster_name),
        Kind::Listener => proto::Listener::decode(value).map(|r| r.name),
        Kind::Route => proto::RouteConfiguration::decode(value).map(|r| r.name),
    };
    let name = name.map_err(|error| format!("a resource of {}: {error}", kind.type_url()))?;
    Ok(proto::Resource { version: String::new(), resource: Some(any.clone()), name, ttl: None })
}
