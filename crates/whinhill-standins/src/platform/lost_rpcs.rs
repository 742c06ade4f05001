//! Lost RPCs: admitted, and answered more than
//! [`LOST_THRESHOLD`](super::parameters::LOST_THRESHOLD) after their deadline or never. Each has a
//! cause and the stage that the reaction of the slice's holder had reached.
//!
//! Stages are derived from the orders at the relay and from the proxies' tables, never from an
//! assigner's log.

use std::time::Duration;

use serde::Serialize;

use super::data_plane::Rpc;
use super::parameters::CLASSES;
use super::state::PlatformState;

/// Why an RPC was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The server accepted the RPC and never answered.
    Silent,
    /// The server answers probes only.
    Hang,
    /// The server reset the connection.
    Reset,
    /// The server is slow.
    Slow,
    /// The server is healthy and warm, and its queue is too long.
    Queue,
    /// The server is cold, and its queue is too long.
    Cold,
}

/// How far the reaction of the holders to the server had come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// No order has ended a line at the server or set its level below 1 since it became unhealthy.
    BeforeNotice,
    /// An order has ended a line at the server or set its level below 1, but none for this slice.
    NoticeToOrder,
    /// An order for this slice has not reached this proxy yet.
    OrderToApplied,
    /// The proxy has applied the order and still sends to the server.
    AfterApplied,
    /// The server is healthy and warm, and its queue is too long.
    ByQueue,
    /// The server is cold, and its queue is too long.
    ByColdServer,
}

impl Stage {
    /// The stage of an RPC that is being sent now and will be lost.
    pub fn classify(platform: &PlatformState, rpc: &Rpc, server: usize, cause: Cause) -> Self {
        match cause {
            Cause::Queue => return Stage::ByQueue,
            Cause::Cold => return Stage::ByColdServer,
            Cause::Silent | Cause::Hang | Cause::Reset | Cause::Slow => {}
        }
        let state = &platform.servers[server];
        if state.noticed_at.is_none() {
            return Stage::BeforeNotice;
        }
        let unhealthy_since = state.unhealthy_since.unwrap_or(Duration::ZERO);
        let last_end = platform.slices[rpc.slice]
            .last_end
            .filter(|(at, when)| *at == server && *when >= unhealthy_since);
        match last_end {
            None => Stage::NoticeToOrder,
            Some((_, when)) if platform.tables[rpc.proxy][rpc.slice].as_of < when => Stage::OrderToApplied,
            Some(_) => Stage::AfterApplied,
        }
    }
}

/// One lost RPC.
#[derive(Clone, Copy, Debug)]
pub struct LostRpc {
    pub at: Duration,
    pub rpc: Rpc,
    pub server: usize,
    pub cause: Cause,
    /// `None` in the reference plane.
    pub stage: Option<Stage>,
}

impl LostRpc {
    /// Formats the RPC as a line of the list of lost RPCs.
    pub fn format_line(&self, platform: &PlatformState) -> String {
        let LostRpc { at, rpc, server, cause, stage } = self;
        let (class, server) = (CLASSES[rpc.class].name, &platform.servers[*server].name);
        let at = at.as_secs_f64();
        let Rpc { slice, proxy, .. } = rpc;
        let stage = stage.map_or("-".to_string(), |stage| format!("{stage:?}"));
        format!("{at:8.3} slice {slice} proxy {proxy} {class} {server} {cause:?} {stage}")
    }
}
