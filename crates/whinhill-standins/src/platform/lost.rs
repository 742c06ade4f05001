//! Lost RPCs: let in, and answered over [`LOST_AFTER`](super::page::LOST_AFTER) behind their deadline or never. Each
//! has a cause, and the stage that the holders' reaction to its server had come to.
//!
//! Stages are read from the orders at the relay and from the proxies' tables, never from an assigner's log.

use std::time::Duration;

use serde::Serialize;

use super::page::CLASSES;
use super::plane::Rpc;
use super::world::World;

/// What an RPC was lost by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The server took it and answered nothing.
    Silent,
    /// The server answers probes alone.
    Hang,
    /// The server reset the connection.
    Reset,
    /// The server is slow.
    Slow,
    /// The server is well, warm and full.
    Queue,
    /// The server is cold and full.
    Cold,
}

/// What the holders had done about the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// No order has ended or gated a line at the server since it fell ill.
    BeforeNotice,
    /// One has, but none for this slice.
    NoticeToOrder,
    /// One for this slice is on its way to this proxy.
    OrderToApplied,
    /// The proxy has applied it and sends there nevertheless.
    AfterApplied,
    /// The server is well, warm and full.
    ByQueue,
    /// The server is cold and full.
    ByColdServer,
}

impl Stage {
    /// The stage at which an RPC that is sent now is lost.
    pub fn of(world: &World, rpc: &Rpc, server: usize, cause: Cause) -> Self {
        match cause {
            Cause::Queue => return Stage::ByQueue,
            Cause::Cold => return Stage::ByColdServer,
            Cause::Silent | Cause::Hang | Cause::Reset | Cause::Slow => {}
        }
        let state = &world.servers[server];
        if state.noticed.is_none() {
            return Stage::BeforeNotice;
        }
        let ill_since = state.unwell_since.unwrap_or(Duration::ZERO);
        let ended = world.slices[rpc.slice].ended.filter(|(at, when)| *at == server && *when >= ill_since);
        match ended {
            None => Stage::NoticeToOrder,
            Some((_, when)) if world.tables[rpc.proxy][rpc.slice].as_of < when => Stage::OrderToApplied,
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
    /// `None` in the reference.
    pub stage: Option<Stage>,
}

impl LostRpc {
    /// Its line in the list of lost RPCs.
    pub fn line(&self, world: &World) -> String {
        let LostRpc { at, rpc, server, cause, stage } = self;
        let (class, server) = (CLASSES[rpc.class].name, &world.servers[*server].name);
        let at = at.as_secs_f64();
        let Rpc { slice, proxy, .. } = rpc;
        let stage = stage.map_or("-".to_string(), |stage| format!("{stage:?}"));
        format!("{at:8.3} slice {slice} proxy {proxy} {class} {server} {cause:?} {stage}")
    }
}
