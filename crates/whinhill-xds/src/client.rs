//! A client's end of one aggregated stream: a state machine without I/O.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use prost::Message;

use crate::cache::{Kind, WRAPPER_URL};
use crate::holding::{holding_hash, telling};
use crate::proto::{self, read_span, Any, DeltaDiscoveryRequest, DiscoveryRequest, Node, Status};
use crate::{Request, Response, Variant};

/// Says that the client reads wrapped resources in the state of the world, and so their TTLs.
pub const FEATURE_WRAPPED: &str = "xds.config.resource-in-sotw";
/// gRPC's INVALID_ARGUMENT, the code of a rejection.
const INVALID: i32 = 3;
/// A rejection's reason is cut to this many characters.
const REASON_MOST: usize = 500;

/// One resource of an update. Without a body it only renews the TTL.
#[derive(Clone, Debug, PartialEq)]
pub struct Received {
    pub name: String,
    pub version: String,
    pub ttl: Option<Duration>,
    pub body: Option<Bytes>,
}

/// A reply, taken apart. It counts only once [`ClientStream::accept`] has been called for it.
#[derive(Clone, Debug, PartialEq)]
pub struct Update {
    pub kind: Kind,
    pub nonce: String,
    pub set_version: String,
    pub resources: Vec<Received>,
    pub removed: Vec<String>,
    /// Why it can't be read; such an update must be rejected.
    pub fault: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UpdateError {
    #[error("unknown resource type {0:?}")]
    UnknownType(String),
    #[error("a reply of the other variant")]
    WrongVariant,
}

#[derive(Debug, Default)]
struct Topic {
    wildcard: bool,
    names: BTreeSet<String>,
    versions: BTreeMap<String, String>,
    set_version: String,
    nonce: String,
    asked: bool,
    /// Updates taken since the number of what is held was last told.
    untold: u32,
}

/// One client. It outlives its streams: [`ClientStream::open`] begins a new one with what is held.
#[derive(Debug)]
pub struct ClientStream {
    variant: Variant,
    node: Node,
    topics: [Topic; 4],
    opened: bool,
    tells: bool,
}

/// Updates after which an ACK tells what is held.
const TELL_EVERY: u32 = 16;

impl ClientStream {
    pub fn new(variant: Variant, mut node: Node) -> Self {
        if variant == Variant::StateOfTheWorld && !node.client_features.iter().any(|f| f == FEATURE_WRAPPED) {
            node.client_features.push(FEATURE_WRAPPED.to_string());
        }
        ClientStream { variant, node, topics: Default::default(), opened: false, tells: false }
    }

    /// Has some ACKs tell the number of what is held (`holding.rs`), so that the other end can compare.
    pub fn tell_holdings(&mut self) {
        self.tells = true;
    }

    pub fn variant(&self) -> Variant {
        self.variant
    }

    /// Sets what is wanted of a type before the stream is opened, or changes it on an open one. Returns the
    /// request to send, if any.
    pub fn subscribe(&mut self, kind: Kind, wildcard: bool, names: BTreeSet<String>) -> Option<Request> {
        let topic = &mut self.topics[kind.place()];
        let more: Vec<String> = names.difference(&topic.names).cloned().collect();
        let less: Vec<String> = topic.names.difference(&names).cloned().collect();
        if topic.asked && more.is_empty() && less.is_empty() && wildcard == topic.wildcard {
            return None;
        }
        (topic.wildcard, topic.names) = (wildcard, names);
        for name in &less {
            topic.versions.remove(name);
        }
        if !self.opened {
            return None;
        }
        if !topic.asked {
            return Some(self.first(kind));
        }
        Some(match self.variant {
            Variant::Incremental => Request::Incremental(DeltaDiscoveryRequest {
                type_url: kind.type_url().to_string(),
                resource_names_subscribe: more,
                resource_names_unsubscribe: less,
                ..Default::default()
            }),
            Variant::StateOfTheWorld => self.whole(kind, None),
        })
    }

    /// Begins a new stream: the requests to send, each with the versions that are held.
    pub fn open(&mut self) -> Vec<Request> {
        self.opened = true;
        for topic in &mut self.topics {
            (topic.asked, topic.nonce) = (false, String::new());
        }
        let wanted = |topic: &Topic| topic.wildcard || !topic.names.is_empty();
        let kinds: Vec<Kind> = Kind::ALL.into_iter().filter(|k| wanted(&self.topics[k.place()])).collect();
        kinds.into_iter().map(|kind| self.first(kind)).collect()
    }

    fn first(&mut self, kind: Kind) -> Request {
        let topic = &mut self.topics[kind.place()];
        topic.asked = true;
        match self.variant {
            Variant::Incremental => {
                let mut names: Vec<String> = topic.names.iter().cloned().collect();
                names.extend(topic.wildcard.then(|| "*".to_string()));
                Request::Incremental(DeltaDiscoveryRequest {
                    node: Some(self.node.clone()),
                    type_url: kind.type_url().to_string(),
                    resource_names_subscribe: names,
                    initial_resource_versions: topic.versions.clone().into_iter().collect(),
                    ..Default::default()
                })
            }
            Variant::StateOfTheWorld => self.whole(kind, None),
        }
    }

    /// Takes a reply apart. What can't be read is named in the update's `fault`.
    pub fn hear(&mut self, response: &Response) -> Result<Update, UpdateError> {
        match (response, self.variant) {
            (Response::Incremental(reply), Variant::Incremental) => {
                let kind = kind_of(&reply.type_url)?;
                let mut update = Update {
                    kind,
                    nonce: reply.nonce.clone(),
                    set_version: reply.system_version_info.clone(),
                    resources: Vec::with_capacity(reply.resources.len()),
                    removed: reply.removed_resources.clone(),
                    fault: None,
                };
                reply.resources.iter().for_each(|resource| take(&mut update, resource));
                self.keep_wanted(&mut update);
                Ok(update)
            }
            (Response::StateOfTheWorld(reply), Variant::StateOfTheWorld) => {
                let kind = kind_of(&reply.type_url)?;
                let mut update = Update {
                    kind,
                    nonce: reply.nonce.clone(),
                    set_version: reply.version_info.clone(),
                    resources: Vec::with_capacity(reply.resources.len()),
                    removed: Vec::new(),
                    fault: None,
                };
                for any in &reply.resources {
                    match unwrap(kind, any) {
                        Ok(mut resource) => {
                            if resource.version.is_empty() {
                                resource.version.clone_from(&reply.version_info);
                            }
                            take(&mut update, &resource);
                        }
                        Err(fault) => update.fault = Some(fault),
                    }
                }
                let beats_only =
                    !update.resources.is_empty() && update.resources.iter().all(|r| r.body.is_none());
                if kind.whole() && !beats_only {
                    let named: BTreeSet<&str> = update.resources.iter().map(|r| r.name.as_str()).collect();
                    let held = self.topics[kind.place()].versions.keys();
                    update.removed = held.filter(|name| !named.contains(name.as_str())).cloned().collect();
                }
                self.keep_wanted(&mut update);
                Ok(update)
            }
            _ => Err(UpdateError::WrongVariant),
        }
    }

    /// A resource given up while it was on its way is none of ours: held, it would be named as known when a
    /// later stream asks for it again.
    fn keep_wanted(&self, update: &mut Update) {
        let topic = &self.topics[update.kind.place()];
        update.resources.retain(|resource| topic.wildcard || topic.names.contains(&resource.name));
    }

    /// The update was applied: the ACK to send.
    pub fn accept(&mut self, update: &Update) -> Request {
        let topic = &mut self.topics[update.kind.place()];
        for resource in update.resources.iter().filter(|r| r.body.is_some()) {
            topic.versions.insert(resource.name.clone(), resource.version.clone());
        }
        update.removed.iter().for_each(|name| drop(topic.versions.remove(name)));
        topic.set_version.clone_from(&update.set_version);
        topic.untold += 1;
        let tells = self.tells && update.kind == Kind::Endpoints && topic.untold >= TELL_EVERY;
        let mut answer = self.answer(update, None);
        if tells {
            let topic = &mut self.topics[update.kind.place()];
            topic.untold = 0;
            let held = topic.versions.iter().map(|(name, version)| (name.as_str(), version.as_str()));
            let node = Some(telling(&self.node.id, holding_hash(held)));
            match &mut answer {
                Request::Incremental(request) => request.node = node,
                Request::StateOfTheWorld(request) => request.node = node,
            }
        }
        answer
    }

    /// The update can't be used: the NACK to send. What was held stays.
    pub fn reject(&mut self, update: &Update, reason: &str) -> Request {
        let message = reason.chars().take(REASON_MOST).collect();
        self.answer(update, Some(Status { code: INVALID, message }))
    }

    /// The versions held of a type.
    pub fn versions(&self, kind: Kind) -> &BTreeMap<String, String> {
        &self.topics[kind.place()].versions
    }

    /// Forgets a resource whose TTL has ended, so that a new stream asks for it.
    pub fn forget(&mut self, kind: Kind, name: &str) {
        self.topics[kind.place()].versions.remove(name);
    }

    fn answer(&mut self, update: &Update, error_detail: Option<Status>) -> Request {
        self.topics[update.kind.place()].nonce.clone_from(&update.nonce);
        match self.variant {
            Variant::Incremental => Request::Incremental(DeltaDiscoveryRequest {
                type_url: update.kind.type_url().to_string(),
                response_nonce: update.nonce.clone(),
                error_detail,
                ..Default::default()
            }),
            Variant::StateOfTheWorld => self.whole(update.kind, error_detail),
        }
    }

    fn whole(&self, kind: Kind, error_detail: Option<Status>) -> Request {
        let topic = &self.topics[kind.place()];
        let mut resource_names: Vec<String> = topic.names.iter().cloned().collect();
        if topic.wildcard && !topic.names.is_empty() {
            resource_names.push("*".to_string());
        }
        Request::StateOfTheWorld(DiscoveryRequest {
            version_info: topic.set_version.clone(),
            node: topic.nonce.is_empty().then(|| self.node.clone()),
            resource_names,
            type_url: kind.type_url().to_string(),
            response_nonce: topic.nonce.clone(),
            error_detail,
        })
    }
}

fn kind_of(url: &str) -> Result<Kind, UpdateError> {
    Kind::of_type_url(url).ok_or_else(|| UpdateError::UnknownType(url.chars().take(120).collect()))
}

fn take(update: &mut Update, resource: &proto::Resource) {
    let ttl = match resource.ttl.as_ref().map(read_span) {
        Some(None) => {
            update.fault = Some(format!("{}: a TTL that is no span", resource.name));
            return;
        }
        Some(ttl) => ttl,
        None => None,
    };
    let body = match &resource.resource {
        Some(any) if any.type_url != update.kind.type_url() => {
            update.fault = Some(format!("{}: a resource of type {:?}", resource.name, any.type_url));
            return;
        }
        Some(any) => Some(Bytes::from(any.value.clone())),
        None => None,
    };
    let (name, version) = (resource.name.clone(), resource.version.clone());
    update.resources.push(Received { name, version, ttl, body });
}

/// Reads a resource of the state of the world, wrapped or plain; a plain one names itself.
fn unwrap(kind: Kind, any: &Any) -> Result<proto::Resource, String> {
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
