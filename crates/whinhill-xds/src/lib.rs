//! xDS v3 by the public specification, both ends, without I/O.
//!
//! [`ServerStream`] is the control plane's end of one aggregated stream, [`ClientStream`] a client's; each takes
//! what came and a cache or nothing else, and returns what is to be written. [`mapping`] says how slices, owners
//! and levels stand in standard resources; `docs/xds.md` weighs the alternatives.

pub mod cache;
pub mod client;
pub mod holding;
pub mod mapping;
pub mod proto;
mod server;

pub use cache::{Cache, Entry, Kind, Stored};
pub use client::{ClientStream, Received, Update, UpdateError};
pub use holding::holding_hash;
pub use server::{Heard, Reply, ServerStream, StreamError};

/// Which of the two variants of the protocol a stream speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// `StreamAggregatedResources`.
    StateOfTheWorld,
    /// `DeltaAggregatedResources`.
    Incremental,
}

impl Variant {
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

    pub fn of_path(path: &str) -> Option<Self> {
        [Variant::StateOfTheWorld, Variant::Incremental].into_iter().find(|variant| variant.path() == path)
    }
}

/// The path of the load reporting service's one method.
pub const LRS_PATH: &str = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats";
/// The path of the health service's unary method.
pub const HEALTH_PATH: &str = "/grpc.health.v1.Health/Check";
/// The trailer in which a server tells its load (ORCA).
pub const ORCA_TRAILER: &str = "endpoint-load-metrics-bin";

/// A message of the protocol, of either variant.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    StateOfTheWorld(proto::DiscoveryRequest),
    Incremental(proto::DeltaDiscoveryRequest),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    StateOfTheWorld(proto::DiscoveryResponse),
    Incremental(proto::DeltaDiscoveryResponse),
}

impl Request {
    pub fn decode(variant: Variant, bytes: &[u8]) -> Result<Self, prost::DecodeError> {
        use prost::Message;
        Ok(match variant {
            Variant::StateOfTheWorld => Request::StateOfTheWorld(proto::DiscoveryRequest::decode(bytes)?),
            Variant::Incremental => Request::Incremental(proto::DeltaDiscoveryRequest::decode(bytes)?),
        })
    }

    pub fn encode(&self) -> Vec<u8> {
        use prost::Message;
        match self {
            Request::StateOfTheWorld(message) => message.encode_to_vec(),
            Request::Incremental(message) => message.encode_to_vec(),
        }
    }

    pub fn node(&self) -> Option<&proto::Node> {
        match self {
            Request::StateOfTheWorld(message) => message.node.as_ref(),
            Request::Incremental(message) => message.node.as_ref(),
        }
    }
}

impl Response {
    pub fn decode(variant: Variant, bytes: &[u8]) -> Result<Self, prost::DecodeError> {
        use prost::Message;
        Ok(match variant {
            Variant::StateOfTheWorld => Response::StateOfTheWorld(proto::DiscoveryResponse::decode(bytes)?),
            Variant::Incremental => Response::Incremental(proto::DeltaDiscoveryResponse::decode(bytes)?),
        })
    }

    pub fn encode(&self) -> Vec<u8> {
        use prost::Message;
        match self {
            Response::StateOfTheWorld(message) => message.encode_to_vec(),
            Response::Incremental(message) => message.encode_to_vec(),
        }
    }
}

/// Reads the value of a binary header: base64, padded or not.
pub fn unbase64(text: &str) -> Option<Vec<u8>> {
    use base64::engine::general_purpose::STANDARD_NO_PAD;
    use base64::Engine;
    STANDARD_NO_PAD.decode(text.trim_end_matches('=')).ok()
}

/// Writes the value of a binary header.
pub fn base64(bytes: &[u8]) -> String {
    use base64::engine::general_purpose::STANDARD_NO_PAD;
    use base64::Engine;
    STANDARD_NO_PAD.encode(bytes)
}
