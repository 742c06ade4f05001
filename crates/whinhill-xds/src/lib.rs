//! Both ends of xDS v3 by the public specification, without I/O.
//!
//! [`ServerStream`] is the control plane's end of one aggregated stream, [`ClientStream`] a client's. Each takes
//! received messages (the server's end also a [`Cache`]) and returns messages to send. [`mapping`] represents
//! slices, owners and levels as standard resources; `docs/xds.md` discusses the alternatives.

pub mod cache;
pub mod client;
pub mod holdings;
pub mod mapping;
pub mod proto;
mod server;

pub use cache::{Cache, CachedResource, Entry, Kind};
pub use client::{ClientStream, Received, Update, UpdateError};
pub use holdings::holdings_hash;
pub use server::{Reply, RequestOutcome, ServerStream, StreamError};

/// The variant of the protocol that a stream uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// `StreamAggregatedResources`.
    StateOfTheWorld,
    /// `DeltaAggregatedResources`.
    Incremental,
}

impl Variant {
    /// The path of the variant's RPC method.
    pub fn path(self) -> &'static str {
        match self {
            Variant::StateOfTheWorld => {
                "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources"
            }
            Variant::Incremental => {
                "/envoy.service.discovery.v3.AggregatedDiscoveryService/DeltaAggregatedResources"
            }
        }
    }

    /// The variant whose RPC method has this path.
    pub fn from_path(path: &str) -> Option<Self> {
        [Variant::StateOfTheWorld, Variant::Incremental].into_iter().find(|variant| variant.path() == path)
    }
}

/// The path of the load reporting service's one method.
pub const LRS_PATH: &str = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats";
/// The path of the health service's unary method.
pub const HEALTH_PATH: &str = "/grpc.health.v1.Health/Check";
/// The trailer in which a server reports its load (ORCA).
pub const ORCA_TRAILER: &str = "endpoint-load-metrics-bin";

/// Maximum length of a peer's type URL in an error, in characters; longer ones are cut.
pub(crate) const MAX_URL_CHARS: usize = 120;

/// A message from a client, of either variant.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    StateOfTheWorld(proto::DiscoveryRequest),
    Incremental(proto::DeltaDiscoveryRequest),
}

/// A message from a control plane, of either variant.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    StateOfTheWorld(proto::DiscoveryResponse),
    Incremental(proto::DeltaDiscoveryResponse),
}

impl Request {
    /// Decodes a message of `variant`.
    pub fn decode(variant: Variant, bytes: &[u8]) -> Result<Self, prost::DecodeError> {
        use prost::Message;
        Ok(match variant {
            Variant::StateOfTheWorld => Request::StateOfTheWorld(proto::DiscoveryRequest::decode(bytes)?),
            Variant::Incremental => Request::Incremental(proto::DeltaDiscoveryRequest::decode(bytes)?),
        })
    }

    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        use prost::Message;
        match self {
            Request::StateOfTheWorld(message) => message.encode_to_vec(),
            Request::Incremental(message) => message.encode_to_vec(),
        }
    }

    /// The node that the client sent, if the message holds one.
    pub fn node(&self) -> Option<&proto::Node> {
        match self {
            Request::StateOfTheWorld(message) => message.node.as_ref(),
            Request::Incremental(message) => message.node.as_ref(),
        }
    }
}

impl Response {
    /// Decodes a message of `variant`.
    pub fn decode(variant: Variant, bytes: &[u8]) -> Result<Self, prost::DecodeError> {
        use prost::Message;
        Ok(match variant {
            Variant::StateOfTheWorld => Response::StateOfTheWorld(proto::DiscoveryResponse::decode(bytes)?),
            Variant::Incremental => Response::Incremental(proto::DeltaDiscoveryResponse::decode(bytes)?),
        })
    }

    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        use prost::Message;
        match self {
            Response::StateOfTheWorld(message) => message.encode_to_vec(),
            Response::Incremental(message) => message.encode_to_vec(),
        }
    }
}

/// Decodes the value of a binary header: base64, padded or not.
pub fn decode_base64(text: &str) -> Option<Vec<u8>> {
    use base64::engine::general_purpose::STANDARD_NO_PAD;
    use base64::Engine;
    STANDARD_NO_PAD.decode(text.trim_end_matches('=')).ok()
}

/// Encodes the value of a binary header: base64 without padding.
pub fn encode_base64(bytes: &[u8]) -> String {
    use base64::engine::general_purpose::STANDARD_NO_PAD;
    use base64::Engine;
    STANDARD_NO_PAD.encode(bytes)
}
