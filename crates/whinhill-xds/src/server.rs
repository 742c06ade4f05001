//! The control plane's end of one aggregated stream: a state machine without I/O.
//!
//! Nothing is queued but names: what a reply holds is read from the cache when it is made, so a newer version
//! of a resource takes the place of an older one that was not sent yet, and a slow reader costs a set of names.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use prost::Message;

use crate::cache::{Cache, Form, Kind};
use crate::holding::{holding_hash, told};
use crate::proto::{self, DeltaDiscoveryRequest, DiscoveryRequest};
use crate::{Request, Variant};

/// Replies of one type that may be unanswered at a time.
const UNANSWERED: usize = 8;
/// Resources in one reply: a message stays well under the transport's limit.
const IN_ONE_REPLY: usize = 4096;
/// Bytes of resources after which a reply is full.
const REPLY_BYTES: usize = 1 << 20;
/// Names that a client may subscribe to beyond those that exist.
const UNKNOWN_NAMES: usize = 4096;

/// What a request told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Heard {
    /// Names were asked for or given up.
    Subscribed { kind: Kind },
    /// A reply was taken, with whatever came before it.
    Acked { kind: Kind, nonce: u64 },
    /// A reply was rejected: the client holds what it had. Its resources go out once more.
    Nacked { kind: Kind, nonce: u64, names: Vec<String>, reason: String },
    /// A reply was taken, but the client holds something else than was acknowledged: it is told everything anew.
    Differs { kind: Kind, theirs: u64, ours: u64 },
    /// The nonce is older than the last reply's, or none of ours.
    Stale { kind: Kind, nonce: String },
}

/// Why the stream must end.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    #[error("unknown resource type {0:?}")]
    UnknownType(String),
    #[error("a request of the other variant")]
    WrongVariant,
    #[error("{kind:?}: {names} names subscribed, {most} allowed")]
    TooManyNames { kind: Kind, names: usize, most: usize },
    #[error("{kind:?} {name} {version} was rejected twice: {reason}")]
    RejectedTwice { kind: Kind, name: String, version: String, reason: String },
}

/// A resource as it was last sent: its version, or `None` where the client was told that there is none.
type SentVersion = Option<Arc<str>>;

#[derive(Debug)]
struct Sent {
    nonce: u64,
    items: Vec<(Arc<str>, SentVersion)>,
}

#[derive(Debug, Default)]
struct Topic {
    started: bool,
    wildcard: bool,
    names: BTreeSet<Arc<str>>,
    /// What the client holds once it has taken all that was sent, and the reply that told it (0: the client).
    holds: BTreeMap<Arc<str>, (SentVersion, u64)>,
    dirty: BTreeSet<Arc<str>>,
    sent: VecDeque<Sent>,
    rejected: BTreeMap<Arc<str>, SentVersion>,
    /// The last reply's nonce.
    newest: u64,
    /// A reply is owed even if it names nothing: what a client of the whole state holds may all be gone.
    owed: bool,
}

impl Topic {
    fn wants(&self, name: &str) -> bool {
        self.wildcard || self.names.contains(name)
    }

    /// Whether the client must still hear of a name.
    fn due(&self, kind: Kind, name: &str, cache: &Cache) -> bool {
        let current = cache.get(kind, name).map(|entry| &entry.version);
        self.wants(name) && self.holds.get(name).map(|held| held.0.as_ref()) != Some(current) && {
            // A wildcard client need not be told of what it never had.
            current.is_some() || self.holds.contains_key(name) || self.names.contains(name)
        }
    }
}

#[derive(Debug)]
struct Mark {
    mark: u16,
    /// The replies that must be answered first, once all that was due has been sent.
    waits: Option<BTreeSet<(Kind, u64)>>,
}

/// One stream. Feed it requests and changes; write what [`ServerStream::next`] returns until it returns nothing.
#[derive(Debug)]
pub struct ServerStream {
    variant: Variant,
    wrapped: bool,
    nonces: u64,
    topics: [Topic; 4],
    marks: Vec<Mark>,
    /// The revision of the cache's names and of ours at which every slice was subscribed.
    complete: Option<u64>,
}

impl ServerStream {
    /// `features` are the client features of the first request's node.
    pub fn new(variant: Variant, features: &[String]) -> Self {
        let wrapped = features.iter().any(|f| f == crate::client::FEATURE_WRAPPED);
        ServerStream {
            variant,
            wrapped,
            nonces: 0,
            topics: Default::default(),
            marks: Vec::new(),
            complete: None,
        }
    }

    /// Takes one request.
    pub fn hear(&mut self, request: &Request, cache: &Cache) -> Result<Heard, StreamError> {
        let heard = match (request, self.variant) {
            (Request::Incremental(request), Variant::Incremental) => self.hear_incremental(request, cache)?,
            (Request::StateOfTheWorld(request), Variant::StateOfTheWorld) => {
                self.hear_whole(request, cache)?
            }
            _ => return Err(StreamError::WrongVariant),
        };
        match (&heard, request.node().and_then(told)) {
            (Heard::Acked { kind, .. }, Some(theirs)) => Ok(self.compare(*kind, theirs).unwrap_or(heard)),
            _ => Ok(heard),
        }
    }

    /// Compares what the client says that it holds with what it has acknowledged. While anything is on its way, or
    /// rejected, the two may differ rightly.
    fn compare(&mut self, kind: Kind, theirs: u64) -> Option<Heard> {
        let topic = &mut self.topics[kind.place()];
        // A name that was given up and asked for again is due here while the client may hold it from before.
        if !topic.sent.is_empty()
            || !topic.dirty.is_empty()
            || topic.holds.values().any(|(version, _)| version.as_deref() == Some(""))
        {
            return None;
        }
        let held = topic.holds.iter().filter_map(|(name, (version, _))| Some((&**name, version.as_deref()?)));
        let ours = holding_hash(held);
        if ours == theirs {
            return None;
        }
        // What it holds is unknown: everything that it may hold or wants is due, gone or not.
        let names: BTreeSet<Arc<str>> = topic.holds.keys().chain(&topic.names).cloned().collect();
        topic.holds = names.iter().map(|name| (name.clone(), (Some("".into()), 0))).collect();
        topic.dirty.extend(names);
        Some(Heard::Differs { kind, theirs, ours })
    }

    /// The cache has a new version of a name, or has it no longer.
    pub fn changed(&mut self, kind: Kind, name: &Arc<str>) {
        let topic = &mut self.topics[kind.place()];
        if topic.started && topic.wants(name) {
            topic.dirty.insert(name.clone());
        }
    }

    /// Asks to be told, by [`ServerStream::take_acked`], when the client has taken all that is due now.
    pub fn mark(&mut self, mark: u16) {
        self.marks.push(Mark { mark, waits: None });
    }

    /// Marks that have been answered since the last call, in order.
    pub fn take_acked(&mut self, cache: &Cache) -> Vec<u16> {
        if self.marks.is_empty() || !self.settled(cache) {
            return Vec::new();
        }
        let open: BTreeSet<(Kind, u64)> = Kind::ALL
            .into_iter()
            .flat_map(|kind| self.topics[kind.place()].sent.iter().map(move |sent| (kind, sent.nonce)))
            .collect();
        for mark in &mut self.marks {
            let waits = mark.waits.get_or_insert_with(|| open.clone());
            waits.retain(|wait| open.contains(wait));
        }
        let done = self.marks.iter().take_while(|m| m.waits.as_ref().is_some_and(BTreeSet::is_empty)).count();
        self.marks.drain(..done).map(|mark| mark.mark).collect()
    }

    /// Names of which the client is still to hear.
    pub fn due(&self) -> usize {
        self.topics.iter().map(|topic| topic.dirty.len()).sum()
    }

    /// Marks without an answer.
    pub fn marks_open(&self) -> usize {
        self.marks.len()
    }

    /// Whether the client has taken all that there is for it.
    pub fn holds_all(&mut self, cache: &Cache) -> bool {
        self.settled(cache) && self.topics.iter().all(|topic| topic.sent.is_empty())
    }

    /// Whether all that is due has been sent, and the client has asked for every slice: one that has not may
    /// still follow a table of an earlier stream.
    fn settled(&mut self, cache: &Cache) -> bool {
        if self.topics.iter().any(|topic| !topic.dirty.is_empty() || topic.owed) {
            return false;
        }
        if self.complete != Some(cache.names_revision()) {
            let topic = &self.topics[Kind::Endpoints.place()];
            let all = topic.started && cache.names(Kind::Endpoints).all(|name| topic.wants(name));
            self.complete = all.then(|| cache.names_revision());
        }
        self.complete.is_some()
    }

    fn hear_incremental(
        &mut self,
        request: &DeltaDiscoveryRequest,
        cache: &Cache,
    ) -> Result<Heard, StreamError> {
        let kind = kind_of(&request.type_url)?;
        let first = !self.topics[kind.place()].started;
        let mut heard = Heard::Subscribed { kind };
        if !request.response_nonce.is_empty() {
            let reason = request.error_detail.as_ref().map(|status| status.message.clone());
            heard = self.answered(kind, &request.response_nonce, reason, false)?;
        }
        self.complete = None;
        let topic = &mut self.topics[kind.place()];
        topic.started = true;
        if first {
            let named = |(name, version): (&String, &String)| {
                // What the client holds of us is mostly what we have: then both share one copy.
                let stored = cache.get(kind, name).filter(|stored| *stored.version == **version);
                let version = stored.map_or_else(|| version.as_str().into(), |s| s.version.clone());
                (cache.shared(kind, name), (Some(version), 0))
            };
            topic.holds = request.initial_resource_versions.iter().map(named).collect();
            // The legacy form: a first request without names asks for all there is.
            topic.wildcard = request.resource_names_subscribe.is_empty() && kind.whole();
        }
        for name in &request.resource_names_subscribe {
            if name == "*" {
                topic.wildcard = true;
            } else if !topic.names.insert(cache.shared(kind, name)) || !first {
                // Asked for again, or anew: it must be sent even if it was sent before.
                topic.holds.remove(name.as_str());
            }
        }
        for name in &request.resource_names_unsubscribe {
            if name == "*" {
                topic.wildcard = false;
            } else {
                topic.names.remove(name.as_str());
            }
        }
        if !request.resource_names_unsubscribe.is_empty() {
            let Topic { names, wildcard, holds, dirty, .. } = &mut *topic;
            holds.retain(|name, _| *wildcard || names.contains(name));
            dirty.retain(|name| *wildcard || names.contains(name));
        }
        if first || !request.resource_names_subscribe.is_empty() {
            self.refresh(kind, cache);
        }
        self.bounded(kind, cache)?;
        Ok(heard)
    }

    fn hear_whole(&mut self, request: &DiscoveryRequest, cache: &Cache) -> Result<Heard, StreamError> {
        let kind = kind_of(&request.type_url)?;
        let mut heard = Heard::Subscribed { kind };
        if !request.response_nonce.is_empty() {
            let reason = request.error_detail.as_ref().map(|status| status.message.clone());
            heard = self.answered(kind, &request.response_nonce, reason, true)?;
        }
        // The names count whatever nonce they come with: requests come in order, and a name given up and asked
        // for again between two replies must be sent again.
        self.complete = None;
        let topic = &mut self.topics[kind.place()];
        let first = !std::mem::replace(&mut topic.started, true);
        let named = request.resource_names.iter().filter(|name| *name != "*");
        let names: BTreeSet<Arc<str>> = named.map(|name| cache.shared(kind, name)).collect();
        let star = names.len() < request.resource_names.len();
        topic.wildcard = star || kind.whole() && names.is_empty() && (first || topic.wildcard);
        let fresh = names.iter().any(|name| !topic.names.contains(name));
        if !topic.wildcard {
            topic.holds.retain(|name, _| names.contains(name));
            topic.dirty.retain(|name| names.contains(name));
        }
        topic.names = names;
        topic.owed |= first && kind.whole();
        if first || fresh {
            self.refresh(kind, cache);
        }
        self.bounded(kind, cache)?;
        Ok(heard)
    }

    /// Finds every name of a type that the client must still hear of.
    fn refresh(&mut self, kind: Kind, cache: &Cache) {
        let topic = &mut self.topics[kind.place()];
        let there = cache.all(kind).map(|stored| stored.name().clone());
        let all: BTreeSet<Arc<str>> =
            there.chain(topic.holds.keys().cloned()).chain(topic.names.iter().cloned()).collect();
        let due: Vec<Arc<str>> = all.into_iter().filter(|name| topic.due(kind, name, cache)).collect();
        topic.dirty.extend(due);
    }

    fn bounded(&self, kind: Kind, cache: &Cache) -> Result<(), StreamError> {
        let topic = &self.topics[kind.place()];
        let (names, most) = (topic.names.len().max(topic.holds.len()), cache.len(kind) + UNKNOWN_NAMES);
        if names > most {
            return Err(StreamError::TooManyNames { kind, names, most });
        }
        Ok(())
    }

    /// Books the answer to a reply. In the state of the world an answer stands for all before it.
    fn answered(
        &mut self,
        kind: Kind,
        nonce: &str,
        rejected: Option<String>,
        with_earlier: bool,
    ) -> Result<Heard, StreamError> {
        let topic = &mut self.topics[kind.place()];
        let place = nonce.parse().ok().and_then(|n: u64| topic.sent.iter().position(|sent| sent.nonce == n));
        let Some(place) = place else { return Ok(Heard::Stale { kind, nonce: nonce.to_string() }) };
        let earlier: Vec<Sent> = if with_earlier { topic.sent.drain(..place).collect() } else { Vec::new() };
        let place = if with_earlier { 0 } else { place };
        let Some(sent) = topic.sent.remove(place) else {
            return Ok(Heard::Stale { kind, nonce: nonce.to_string() });
        };
        let Some(reason) = rejected else {
            let nonce = sent.nonce;
            for Sent { nonce, items } in earlier.into_iter().chain([sent]) {
                for (name, version) in items {
                    topic.rejected.retain(|n, v| *n != name || *v != version);
                    if !topic.names.contains(&name) && topic.holds.get(&name) == Some(&(None, nonce)) {
                        topic.holds.remove(&name);
                    }
                }
            }
            return Ok(Heard::Acked { kind, nonce });
        };
        // A mark that waited for it must wait for what is sent in its place: an answer that rejects is no ack.
        for mark in &mut self.marks {
            mark.waits = mark.waits.take().filter(|waits| !waits.contains(&(kind, sent.nonce)));
        }
        let mut names = Vec::new();
        for (name, version) in sent.items {
            if topic.rejected.get(&name) == Some(&version) {
                let version = version.as_deref().unwrap_or_default().to_string();
                return Err(StreamError::RejectedTwice { kind, name: name.to_string(), version, reason });
            }
            topic.rejected.insert(name.clone(), version.clone());
            // What was sent after it is judged by itself; only what still stands as this reply told goes out again.
            if topic.holds.get(&name).is_some_and(|held| held.1 == sent.nonce) {
                // Whatever the client held before it holds still: unknown to us, and to be told even if it is gone.
                topic.holds.insert(name.clone(), (Some("".into()), 0));
                topic.dirty.insert(name.clone());
            }
            names.push(name.to_string());
        }
        Ok(Heard::Nacked { kind, nonce: sent.nonce, names, reason })
    }

    /// The next reply to write, in make-before-break order; `None` when nothing is due or too much is unanswered.
    pub fn next(&mut self, cache: &Cache) -> Option<Reply> {
        // Clusters first but without the removed ones, which go last.
        let clusters = self.reply(Kind::Cluster, cache, false);
        clusters.or_else(|| Kind::ALL[1..].iter().find_map(|kind| self.reply(*kind, cache, true))).or_else(
            || {
                let rest = Kind::ALL[1..].iter().any(|kind| !self.topics[kind.place()].dirty.is_empty());
                if rest {
                    None
                } else {
                    self.reply(Kind::Cluster, cache, true)
                }
            },
        )
    }

    fn reply(&mut self, kind: Kind, cache: &Cache, with_removed: bool) -> Option<Reply> {
        let variant = self.variant;
        let topic = &mut self.topics[kind.place()];
        // Of routes one at a time: the lease of the client that reads them rests on it.
        let most = if kind == Kind::Route { 1 } else { UNANSWERED };
        let owed = topic.owed && topic.dirty.is_empty();
        if topic.dirty.is_empty() && !owed || topic.sent.len() >= most {
            return None;
        }
        if !owed && !with_removed && topic.dirty.iter().all(|name| cache.get(kind, name).is_none()) {
            return None;
        }
        let whole = variant == Variant::StateOfTheWorld && kind.whole();
        let mut items: Vec<(Arc<str>, SentVersion)> = Vec::new();
        let mut bytes = 0;
        let names: Vec<Arc<str>> = topic.dirty.iter().cloned().collect();
        for name in names {
            let entry = cache.get(kind, &name);
            if entry.is_none() && !with_removed {
                continue;
            }
            topic.dirty.remove(&name);
            if !topic.due(kind, &name, cache) {
                continue;
            }
            bytes += entry.map_or(0, |entry| entry.body.len()) + name.len();
            items.push((name, entry.map(|entry| entry.version.clone())));
            if !whole && (items.len() >= IN_ONE_REPLY || bytes >= REPLY_BYTES) {
                break;
            }
        }
        if items.is_empty() && !owed {
            return None;
        }
        topic.owed = false;
        if whole {
            // All that is wanted and there is goes along: what is left out counts as gone.
            items.retain(|(_, version)| version.is_none());
            let there = cache.all(kind).filter(|stored| topic.wants(stored.name()));
            items.extend(there.map(|stored| (stored.name().clone(), Some(stored.version.clone()))));
            topic.dirty.clear();
        }
        for (name, version) in &items {
            topic.holds.insert(name.clone(), (version.clone(), self.nonces + 1));
        }
        if variant == Variant::StateOfTheWorld && !kind.whole() {
            // The variant has no way to say that endpoints or routes are gone; their cluster or listener says it.
            items.retain(|(_, version)| version.is_some());
            if items.is_empty() {
                return None;
            }
        }
        let form = self.form();
        let told = items.iter().filter(|(_, version)| version.is_some());
        let frames = told.filter_map(|(name, _)| Some(cache.get(kind, name)?.frame(form))).collect();
        let removed: Vec<String> =
            items.iter().filter(|(_, v)| v.is_none()).map(|(name, _)| name.to_string()).collect();
        self.nonces += 1;
        let reply = build(variant, kind, self.nonces, cache.revision(), frames, removed);
        let topic = &mut self.topics[kind.place()];
        topic.newest = self.nonces;
        topic.sent.push_back(Sent { nonce: self.nonces, items });
        Some(reply)
    }

    /// Renews the TTL of a resource that the client holds. `None` while any reply of the type is unanswered, or
    /// anything is due that was not sent: so a renewal is sent by an end that has heard the answer to the last
    /// one, and confirms all that was said before. The client's lease rests on both (`docs/xds.md`, the lease).
    pub fn heartbeat(&mut self, kind: Kind, name: &str, cache: &Cache) -> Option<Reply> {
        let (variant, form) = (self.variant, self.form());
        if self.topics.iter().any(|topic| !topic.dirty.is_empty() || topic.owed) {
            return None;
        }
        let topic = &mut self.topics[kind.place()];
        let entry = cache.get(kind, name)?;
        let held = topic.holds.get(name).and_then(|held| held.0.as_ref()) == Some(&entry.version);
        if !held || !topic.sent.is_empty() {
            return None;
        }
        self.nonces += 1;
        topic.newest = self.nonces;
        topic.sent.push_back(Sent { nonce: self.nonces, items: Vec::new() });
        Some(build(variant, kind, self.nonces, cache.revision(), vec![entry.beat(form)], Vec::new()))
    }

    fn form(&self) -> Form {
        match (self.variant, self.wrapped) {
            (Variant::Incremental, _) => Form::Incremental,
            (Variant::StateOfTheWorld, true) => Form::Wrapped,
            (Variant::StateOfTheWorld, false) => Form::Plain,
        }
    }

    /// Replies that wait for an answer.
    pub fn unanswered(&self) -> usize {
        self.topics.iter().map(|topic| topic.sent.len()).sum()
    }
}

fn kind_of(url: &str) -> Result<Kind, StreamError> {
    Kind::of_type_url(url).ok_or_else(|| StreamError::UnknownType(url.chars().take(120).collect()))
}

/// A reply: its own fields, and its resources in the encoding that all streams share.
#[derive(Clone, Debug)]
pub struct Reply {
    head: Vec<u8>,
    frames: Vec<Bytes>,
}

impl Reply {
    /// Resources that it carries.
    pub fn resources(&self) -> usize {
        self.frames.len()
    }

    /// The message, in one piece. Fields of a message may stand in any order.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes =
            Vec::with_capacity(self.head.len() + self.frames.iter().map(Bytes::len).sum::<usize>());
        bytes.extend_from_slice(&self.head);
        self.frames.iter().for_each(|frame| bytes.extend_from_slice(frame));
        bytes
    }
}

fn build(
    variant: Variant,
    kind: Kind,
    nonce: u64,
    revision: u64,
    frames: Vec<Bytes>,
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
    Reply { head, frames }
}
