//! The control plane's end of one aggregated stream: a state machine without I/O.
//!
//! Only names are queued. The contents of a reply are read from the cache when the reply is built, so a newer
//! version of a resource replaces an older one that was not sent yet, and a slow reader costs no more than a set
//! of names.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use prost::Message;

use crate::cache::{Cache, Form, Kind};
use crate::holdings::{hash_from_node, holdings_hash};
use crate::proto::{self, DeltaDiscoveryRequest, DiscoveryRequest};
use crate::{Request, Variant, MAX_URL_CHARS};

/// Maximum number of unacknowledged replies of one type.
const MAX_UNACKED_REPLIES: usize = 8;
/// Maximum number of resources in one reply, which keeps a message well under the transport's limit.
const MAX_RESOURCES_PER_REPLY: usize = 4096;
/// A reply gets no further resources once it holds this many bytes of them.
const REPLY_BYTES_THRESHOLD: usize = 1 << 20;
/// How many names a client may subscribe to in addition to the number of existing ones.
const MAX_UNKNOWN_NAMES: usize = 4096;

/// The effect of a client's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Names were subscribed or unsubscribed.
    Subscribed { kind: Kind },
    /// A reply was acknowledged; in the state of the world, earlier ones with it.
    Acked { kind: Kind, nonce: u64 },
    /// A reply was rejected: the client keeps what it had. The reply's resources are sent again.
    Nacked { kind: Kind, nonce: u64, names: Vec<String>, reason: String },
    /// A reply was acknowledged, but the client's hash shows that it holds other versions than it acknowledged:
    /// all its resources are sent again.
    HashMismatch { kind: Kind, client_hash: u64, server_hash: u64 },
    /// The nonce is not that of an unacknowledged reply.
    Stale { kind: Kind, nonce: String },
}

/// Why the stream must end.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    #[error("unknown resource type {0:?}")]
    UnknownType(String),
    #[error("a request of the other variant")]
    WrongVariant,
    #[error("{kind:?}: {names} names subscribed, {max} allowed")]
    TooManyNames { kind: Kind, names: usize, max: usize },
    #[error("{kind:?} {name} {version} was rejected twice: {reason}")]
    RejectedTwice { kind: Kind, name: String, version: String, reason: String },
}

/// The version of a resource that was last sent, or `None` where the client was told that it does not exist.
/// An empty version stands for an unknown one: it equals no version in the cache, so the resource is sent again.
type SentVersion = Option<Arc<str>>;

/// A reply that is not acknowledged yet.
#[derive(Debug)]
struct UnackedReply {
    nonce: u64,
    items: Vec<(Arc<str>, SentVersion)>,
}

/// Subscription and state of one resource type.
#[derive(Debug, Default)]
struct Subscription {
    requested: bool,
    wildcard: bool,
    names: BTreeSet<Arc<str>>,
    /// The versions that the client holds once it has accepted all that was sent, each with the nonce of the
    /// reply that sent it (0: reported by the client, or unknown).
    client_versions: BTreeMap<Arc<str>, (SentVersion, u64)>,
    /// Names whose state is still to be sent.
    pending: BTreeSet<Arc<str>>,
    unacked: VecDeque<UnackedReply>,
    /// Versions that the client has rejected once.
    rejected: BTreeMap<Arc<str>, SentVersion>,
    /// Nonce of the last reply. Debug output only.
    last_nonce: u64,
    /// A reply is due even if it lists nothing: all resources that a state-of-the-world client holds from an
    /// earlier stream may be gone.
    reply_due: bool,
}

impl Subscription {
    /// Whether the client is subscribed to a name.
    fn is_subscribed_to(&self, name: &str) -> bool {
        self.wildcard || self.names.contains(name)
    }

    /// Whether the client must still be sent the current state of a name.
    fn needs_update(&self, kind: Kind, name: &str, cache: &Cache) -> bool {
        let current = cache.get(kind, name).map(|entry| &entry.version);
        self.is_subscribed_to(name)
            && self.client_versions.get(name).map(|held| held.0.as_ref()) != Some(current)
            && {
                // A wildcard client need not be told that a name it never had does not exist.
                current.is_some() || self.client_versions.contains_key(name) || self.names.contains(name)
            }
    }
}

/// A requested acknowledgement that is not complete yet.
#[derive(Debug)]
struct PendingAck {
    ack_seq: u16,
    /// The replies that must be acknowledged first; set once everything that was pending has been sent.
    awaited: Option<BTreeSet<(Kind, u64)>>,
}

/// One stream. Pass requests and cache changes to it, and write the replies that [`ServerStream::next_reply`] returns
/// until it returns `None`.
#[derive(Debug)]
pub struct ServerStream {
    variant: Variant,
    /// The client accepts wrapped resources in the state of the world ([`crate::client::FEATURE_WRAPPED`]).
    accepts_wrapped: bool,
    last_nonce_sent: u64,
    subscriptions: [Subscription; 4],
    pending_acks: Vec<PendingAck>,
    /// The cache's names revision at which the client was subscribed to every slice; `None` if the subscription
    /// has changed since.
    complete_at: Option<u64>,
}

impl ServerStream {
    /// `features` are the client features of the first request's node.
    pub fn new(variant: Variant, features: &[String]) -> Self {
        let accepts_wrapped = features.iter().any(|f| f == crate::client::FEATURE_WRAPPED);
        ServerStream {
            variant,
            accepts_wrapped,
            last_nonce_sent: 0,
            subscriptions: Default::default(),
            pending_acks: Vec::new(),
            complete_at: None,
        }
    }

    /// Handles one request.
    pub fn handle_request(
        &mut self,
        request: &Request,
        cache: &Cache,
    ) -> Result<RequestOutcome, StreamError> {
        let outcome = match (request, self.variant) {
            (Request::Incremental(request), Variant::Incremental) => {
                self.handle_incremental(request, cache)?
            }
            (Request::StateOfTheWorld(request), Variant::StateOfTheWorld) => {
                self.handle_state_of_the_world(request, cache)?
            }
            _ => return Err(StreamError::WrongVariant),
        };
        match (&outcome, request.node().and_then(hash_from_node)) {
            (RequestOutcome::Acked { kind, .. }, Some(client_hash)) => {
                Ok(self.compare_hash(*kind, client_hash).unwrap_or(outcome))
            }
            _ => Ok(outcome),
        }
    }

    /// Compares the client's hash with the hash of what it has acknowledged. While anything is in flight or was
    /// rejected, the two may legitimately differ.
    fn compare_hash(&mut self, kind: Kind, client_hash: u64) -> Option<RequestOutcome> {
        let subscription = &mut self.subscriptions[kind.index()];
        // A name that was unsubscribed and subscribed again is pending here, while the client may still hold it
        // from before.
        if !subscription.unacked.is_empty()
            || !subscription.pending.is_empty()
            || subscription.client_versions.values().any(|(version, _)| version.as_deref() == Some(""))
        {
            return None;
        }
        let held = subscription
            .client_versions
            .iter()
            .filter_map(|(name, (version, _))| Some((&**name, version.as_deref()?)));
        let server_hash = holdings_hash(held);
        if server_hash == client_hash {
            return None;
        }
        // What the client holds is unknown: send everything that it may hold or is subscribed to, whether it
        // still exists or not.
        let names: BTreeSet<Arc<str>> =
            subscription.client_versions.keys().chain(&subscription.names).cloned().collect();
        subscription.client_versions =
            names.iter().map(|name| (name.clone(), (Some("".into()), 0))).collect();
        subscription.pending.extend(names);
        Some(RequestOutcome::HashMismatch { kind, client_hash, server_hash })
    }

    /// Reports that the cache has a new version of a name, or that the name was removed.
    pub fn resource_changed(&mut self, kind: Kind, name: &Arc<str>) {
        let subscription = &mut self.subscriptions[kind.index()];
        if subscription.requested && subscription.is_subscribed_to(name) {
            subscription.pending.insert(name.clone());
        }
    }

    /// Requests an acknowledgement: [`ServerStream::take_acked`] returns `ack_seq` once the client has
    /// acknowledged everything that is pending now.
    pub fn request_ack(&mut self, ack_seq: u16) {
        self.pending_acks.push(PendingAck { ack_seq, awaited: None });
    }

    /// The sequence numbers of requested acknowledgements that have been completed since the last call, in
    /// order.
    pub fn take_acked(&mut self, cache: &Cache) -> Vec<u16> {
        if self.pending_acks.is_empty() || !self.everything_sent(cache) {
            return Vec::new();
        }
        let unacked: BTreeSet<(Kind, u64)> = Kind::ALL
            .into_iter()
            .flat_map(|kind| {
                self.subscriptions[kind.index()].unacked.iter().map(move |sent| (kind, sent.nonce))
            })
            .collect();
        for ack in &mut self.pending_acks {
            let awaited = ack.awaited.get_or_insert_with(|| unacked.clone());
            awaited.retain(|awaited_reply| unacked.contains(awaited_reply));
        }
        let done = self
            .pending_acks
            .iter()
            .take_while(|ack| ack.awaited.as_ref().is_some_and(BTreeSet::is_empty))
            .count();
        self.pending_acks.drain(..done).map(|ack| ack.ack_seq).collect()
    }

    /// Number of names whose state is still to be sent.
    pub fn pending_names(&self) -> usize {
        self.subscriptions.iter().map(|subscription| subscription.pending.len()).sum()
    }

    /// Number of requested acknowledgements that are not complete yet.
    pub fn pending_ack_count(&self) -> usize {
        self.pending_acks.len()
    }

    /// Whether the client has acknowledged everything that it is subscribed to.
    pub fn is_up_to_date(&mut self, cache: &Cache) -> bool {
        self.everything_sent(cache)
            && self.subscriptions.iter().all(|subscription| subscription.unacked.is_empty())
    }

    /// Whether everything pending has been sent, and the client is subscribed to every slice: one that is not
    /// may still use a table from an earlier stream.
    fn everything_sent(&mut self, cache: &Cache) -> bool {
        if self
            .subscriptions
            .iter()
            .any(|subscription| !subscription.pending.is_empty() || subscription.reply_due)
        {
            return false;
        }
        if self.complete_at != Some(cache.names_revision()) {
            let subscription = &self.subscriptions[Kind::Endpoints.index()];
            let all = subscription.requested
                && cache.names(Kind::Endpoints).all(|name| subscription.is_subscribed_to(name));
            self.complete_at = all.then(|| cache.names_revision());
        }
        self.complete_at.is_some()
    }

    fn handle_incremental(
        &mut self,
        request: &DeltaDiscoveryRequest,
        cache: &Cache,
    ) -> Result<RequestOutcome, StreamError> {
        let kind = kind_from_url(&request.type_url)?;
        let first = !self.subscriptions[kind.index()].requested;
        let mut outcome = RequestOutcome::Subscribed { kind };
        if !request.response_nonce.is_empty() {
            let reason = request.error_detail.as_ref().map(|status| status.message.clone());
            outcome = self.handle_answer(kind, &request.response_nonce, reason, false)?;
        }
        self.complete_at = None;
        let subscription = &mut self.subscriptions[kind.index()];
        subscription.requested = true;
        if first {
            let named = |(name, version): (&String, &String)| {
                // The client's version is mostly the cached one: then both share one copy.
                let stored = cache.get(kind, name).filter(|stored| *stored.version == **version);
                let version = stored.map_or_else(|| version.as_str().into(), |s| s.version.clone());
                (cache.shared_name(kind, name), (Some(version), 0))
            };
            subscription.client_versions = request.initial_resource_versions.iter().map(named).collect();
            // The legacy form: a first request without names subscribes to everything.
            subscription.wildcard = request.resource_names_subscribe.is_empty() && kind.lists_all_resources();
        }
        for name in &request.resource_names_subscribe {
            if name == "*" {
                subscription.wildcard = true;
            } else if !subscription.names.insert(cache.shared_name(kind, name)) || !first {
                // Subscribed again, or newly: it must be sent even if it was sent before.
                subscription.client_versions.remove(name.as_str());
            }
        }
        for name in &request.resource_names_unsubscribe {
            if name == "*" {
                subscription.wildcard = false;
            } else {
                subscription.names.remove(name.as_str());
            }
        }
        if !request.resource_names_unsubscribe.is_empty() {
            let Subscription { names, wildcard, client_versions, pending, .. } = &mut *subscription;
            client_versions.retain(|name, _| *wildcard || names.contains(name));
            pending.retain(|name| *wildcard || names.contains(name));
        }
        if first || !request.resource_names_subscribe.is_empty() {
            self.collect_pending(kind, cache);
        }
        self.check_name_count(kind, cache)?;
        Ok(outcome)
    }

    fn handle_state_of_the_world(
        &mut self,
        request: &DiscoveryRequest,
        cache: &Cache,
    ) -> Result<RequestOutcome, StreamError> {
        let kind = kind_from_url(&request.type_url)?;
        let mut outcome = RequestOutcome::Subscribed { kind };
        if !request.response_nonce.is_empty() {
            let reason = request.error_detail.as_ref().map(|status| status.message.clone());
            outcome = self.handle_answer(kind, &request.response_nonce, reason, true)?;
        }
        // The names apply whatever nonce the request has: requests arrive in order, and a name unsubscribed and
        // subscribed again between two replies must be sent again.
        self.complete_at = None;
        let subscription = &mut self.subscriptions[kind.index()];
        let first = !std::mem::replace(&mut subscription.requested, true);
        let named = request.resource_names.iter().filter(|name| *name != "*");
        let names: BTreeSet<Arc<str>> = named.map(|name| cache.shared_name(kind, name)).collect();
        let has_wildcard = names.len() < request.resource_names.len();
        subscription.wildcard = has_wildcard
            || kind.lists_all_resources() && names.is_empty() && (first || subscription.wildcard);
        let has_new_names = names.iter().any(|name| !subscription.names.contains(name));
        if !subscription.wildcard {
            subscription.client_versions.retain(|name, _| names.contains(name));
            subscription.pending.retain(|name| names.contains(name));
        }
        subscription.names = names;
        subscription.reply_due |= first && kind.lists_all_resources();
        if first || has_new_names {
            self.collect_pending(kind, cache);
        }
        self.check_name_count(kind, cache)?;
        Ok(outcome)
    }

    /// Adds every name of a type whose state the client must still be sent to the pending names.
    fn collect_pending(&mut self, kind: Kind, cache: &Cache) {
        let subscription = &mut self.subscriptions[kind.index()];
        let existing = cache.all(kind).map(|stored| stored.name().clone());
        let all: BTreeSet<Arc<str>> = existing
            .chain(subscription.client_versions.keys().cloned())
            .chain(subscription.names.iter().cloned())
            .collect();
        let needed: Vec<Arc<str>> =
            all.into_iter().filter(|name| subscription.needs_update(kind, name, cache)).collect();
        subscription.pending.extend(needed);
    }

    /// Fails if the client is subscribed to, or holds, too many names.
    fn check_name_count(&self, kind: Kind, cache: &Cache) -> Result<(), StreamError> {
        let subscription = &self.subscriptions[kind.index()];
        let (names, max) = (
            subscription.names.len().max(subscription.client_versions.len()),
            cache.len(kind) + MAX_UNKNOWN_NAMES,
        );
        if names > max {
            return Err(StreamError::TooManyNames { kind, names, max });
        }
        Ok(())
    }

    /// Handles the ACK of a reply, or its NACK with a reason. In the state of the world it covers all earlier
    /// replies too.
    fn handle_answer(
        &mut self,
        kind: Kind,
        nonce: &str,
        rejected: Option<String>,
        with_earlier: bool,
    ) -> Result<RequestOutcome, StreamError> {
        let subscription = &mut self.subscriptions[kind.index()];
        let index = nonce
            .parse()
            .ok()
            .and_then(|n: u64| subscription.unacked.iter().position(|sent| sent.nonce == n));
        let Some(index) = index else { return Ok(RequestOutcome::Stale { kind, nonce: nonce.to_string() }) };
        let earlier: Vec<UnackedReply> =
            if with_earlier { subscription.unacked.drain(..index).collect() } else { Vec::new() };
        let index = if with_earlier { 0 } else { index };
        let Some(sent) = subscription.unacked.remove(index) else {
            return Ok(RequestOutcome::Stale { kind, nonce: nonce.to_string() });
        };
        let Some(reason) = rejected else {
            let nonce = sent.nonce;
            for UnackedReply { nonce, items } in earlier.into_iter().chain([sent]) {
                for (name, version) in items {
                    subscription.rejected.retain(|n, v| *n != name || *v != version);
                    if !subscription.names.contains(&name)
                        && subscription.client_versions.get(&name) == Some(&(None, nonce))
                    {
                        subscription.client_versions.remove(&name);
                    }
                }
            }
            return Ok(RequestOutcome::Acked { kind, nonce });
        };
        // A requested acknowledgement that awaited this reply must await the resources that are sent again: a
        // NACK is not an acknowledgement.
        for ack in &mut self.pending_acks {
            ack.awaited = ack.awaited.take().filter(|awaited| !awaited.contains(&(kind, sent.nonce)));
        }
        let mut names = Vec::new();
        for (name, version) in sent.items {
            if subscription.rejected.get(&name) == Some(&version) {
                let version = version.as_deref().unwrap_or_default().to_string();
                return Err(StreamError::RejectedTwice { kind, name: name.to_string(), version, reason });
            }
            subscription.rejected.insert(name.clone(), version.clone());
            // Later replies are handled by their own answers: only resources whose latest version came from this
            // reply are sent again.
            if subscription.client_versions.get(&name).is_some_and(|held| held.1 == sent.nonce) {
                // The client keeps what it held before, which is unknown here; it must be sent the current state
                // even if the resource is gone.
                subscription.client_versions.insert(name.clone(), (Some("".into()), 0));
                subscription.pending.insert(name.clone());
            }
            names.push(name.to_string());
        }
        Ok(RequestOutcome::Nacked { kind, nonce: sent.nonce, names, reason })
    }

    /// The next reply to write, in make-before-break order; `None` when nothing is pending or too many replies
    /// are unacknowledged.
    pub fn next_reply(&mut self, cache: &Cache) -> Option<Reply> {
        // Clusters first, except removed ones, which come last.
        let clusters = self.reply_of_kind(Kind::Cluster, cache, false);
        clusters
            .or_else(|| Kind::ALL[1..].iter().find_map(|kind| self.reply_of_kind(*kind, cache, true)))
            .or_else(|| {
                let others_pending =
                    Kind::ALL[1..].iter().any(|kind| !self.subscriptions[kind.index()].pending.is_empty());
                if others_pending {
                    None
                } else {
                    self.reply_of_kind(Kind::Cluster, cache, true)
                }
            })
    }

    /// The next reply of one type.
    fn reply_of_kind(&mut self, kind: Kind, cache: &Cache, with_removed: bool) -> Option<Reply> {
        let variant = self.variant;
        let subscription = &mut self.subscriptions[kind.index()];
        // Only one unacknowledged reply of routes, since the client's lease depends on them.
        let max_unacked = if kind == Kind::Route { 1 } else { MAX_UNACKED_REPLIES };
        let reply_due = subscription.reply_due && subscription.pending.is_empty();
        if subscription.pending.is_empty() && !reply_due || subscription.unacked.len() >= max_unacked {
            return None;
        }
        if !reply_due
            && !with_removed
            && subscription.pending.iter().all(|name| cache.get(kind, name).is_none())
        {
            return None;
        }
        let full_state = variant == Variant::StateOfTheWorld && kind.lists_all_resources();
        let mut items: Vec<(Arc<str>, SentVersion)> = Vec::new();
        let mut bytes = 0;
        let names: Vec<Arc<str>> = subscription.pending.iter().cloned().collect();
        for name in names {
            let entry = cache.get(kind, &name);
            if entry.is_none() && !with_removed {
                continue;
            }
            subscription.pending.remove(&name);
            if !subscription.needs_update(kind, &name, cache) {
                continue;
            }
            bytes += entry.map_or(0, |entry| entry.body.len()) + name.len();
            items.push((name, entry.map(|entry| entry.version.clone())));
            if !full_state && (items.len() >= MAX_RESOURCES_PER_REPLY || bytes >= REPLY_BYTES_THRESHOLD) {
                break;
            }
        }
        if items.is_empty() && !reply_due {
            return None;
        }
        subscription.reply_due = false;
        if full_state {
            // The reply lists all existing subscribed resources: those that it omits count as removed.
            items.retain(|(_, version)| version.is_none());
            let existing = cache.all(kind).filter(|stored| subscription.is_subscribed_to(stored.name()));
            items.extend(existing.map(|stored| (stored.name().clone(), Some(stored.version.clone()))));
            subscription.pending.clear();
        }
        for (name, version) in &items {
            subscription.client_versions.insert(name.clone(), (version.clone(), self.last_nonce_sent + 1));
        }
        if variant == Variant::StateOfTheWorld && !kind.lists_all_resources() {
            // This variant can't express that endpoints or routes are gone; the removal of their cluster or
            // listener implies it.
            items.retain(|(_, version)| version.is_some());
            if items.is_empty() {
                return None;
            }
        }
        let form = self.form();
        let present = items.iter().filter(|(_, version)| version.is_some());
        let resource_fields =
            present.filter_map(|(name, _)| Some(cache.get(kind, name)?.encoded_field(form))).collect();
        let removed: Vec<String> =
            items.iter().filter(|(_, v)| v.is_none()).map(|(name, _)| name.to_string()).collect();
        self.last_nonce_sent += 1;
        let reply =
            build_reply(variant, kind, self.last_nonce_sent, cache.revision(), resource_fields, removed);
        let subscription = &mut self.subscriptions[kind.index()];
        subscription.last_nonce = self.last_nonce_sent;
        subscription.unacked.push_back(UnackedReply { nonce: self.last_nonce_sent, items });
        Some(reply)
    }

    /// Renews the TTL of a resource that the client holds. `None` while any reply of the type is unacknowledged
    /// or anything is pending. So a renewal is sent only after the answer to the last one has arrived, and it
    /// confirms everything that was sent before. The client's lease depends on both (`docs/xds.md`, the lease).
    pub fn heartbeat(&mut self, kind: Kind, name: &str, cache: &Cache) -> Option<Reply> {
        let (variant, form) = (self.variant, self.form());
        if self
            .subscriptions
            .iter()
            .any(|subscription| !subscription.pending.is_empty() || subscription.reply_due)
        {
            return None;
        }
        let subscription = &mut self.subscriptions[kind.index()];
        let entry = cache.get(kind, name)?;
        let held =
            subscription.client_versions.get(name).and_then(|held| held.0.as_ref()) == Some(&entry.version);
        if !held || !subscription.unacked.is_empty() {
            return None;
        }
        self.last_nonce_sent += 1;
        subscription.last_nonce = self.last_nonce_sent;
        subscription.unacked.push_back(UnackedReply { nonce: self.last_nonce_sent, items: Vec::new() });
        Some(build_reply(
            variant,
            kind,
            self.last_nonce_sent,
            cache.revision(),
            vec![entry.heartbeat_field(form)],
            Vec::new(),
        ))
    }

    /// The form in which this stream carries resources.
    fn form(&self) -> Form {
        match (self.variant, self.accepts_wrapped) {
            (Variant::Incremental, _) => Form::Incremental,
            (Variant::StateOfTheWorld, true) => Form::Wrapped,
            (Variant::StateOfTheWorld, false) => Form::Plain,
        }
    }

    /// Number of replies that are not acknowledged yet.
    pub fn unacked_replies(&self) -> usize {
        self.subscriptions.iter().map(|subscription| subscription.unacked.len()).sum()
    }
}

fn kind_from_url(url: &str) -> Result<Kind, StreamError> {
    Kind::from_type_url(url)
        .ok_or_else(|| StreamError::UnknownType(url.chars().take(MAX_URL_CHARS).collect()))
}

/// A reply: its own fields, and its resources in the encoding that all streams share.
#[derive(Clone, Debug)]
pub struct Reply {
    head: Vec<u8>,
    resource_fields: Vec<Bytes>,
}

impl Reply {
    /// Number of resources that it carries.
    pub fn resources(&self) -> usize {
        self.resource_fields.len()
    }

    /// The encoded message. The fields of a message may be in any order.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes =
            Vec::with_capacity(self.head.len() + self.resource_fields.iter().map(Bytes::len).sum::<usize>());
        bytes.extend_from_slice(&self.head);
        self.resource_fields.iter().for_each(|field| bytes.extend_from_slice(field));
        bytes
    }
}

/// Encodes the fields of a reply other than its resources.
fn build_reply(
    variant: Variant,
    kind: Kind,
    nonce: u64,
    revision: u64,
    resource_fields: Vec<Bytes>,
    removed: Vec<String>,
) -> Reply {
    let (type_url, nonce, version) = (kind.type_url().to_string(), nonce.to_string(), revision.to_string());
    let head = match variant {
        Variant::Incremental => proto::DeltaDiscoveryResponse {
            system_version_info: version,
            resources: Vec::new(),
            type_url,
            nonce,
            removed_resources: removed,
            control_plane: None,
        }
        .encode_to_vec(),
        Variant::StateOfTheWorld => proto::DiscoveryResponse {
            version_info: version,
            resources: Vec::new(),
            type_url,
            nonce,
            control_plane: None,
        }
        .encode_to_vec(),
    };
    Reply { head, resource_fields }
}
