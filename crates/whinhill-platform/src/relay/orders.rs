//! Translates the assigner's orders to the relay's protocol.

use std::fmt::Write;

use whinhill::interface::{MethodMask, Order, SliceId};
use whinhill_names::Names;

/// An order that the relay carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum RelayOrder {
    /// Sets or removes a line of a slice.
    Line {
        /// The slice that the line belongs to.
        slice: SliceId,
        /// The server that the line names.
        server: String,
        /// Whether the line is set; otherwise it is removed.
        on: bool,
    },
    /// Sets the admission level of a slice.
    Level {
        /// The slice.
        slice: SliceId,
        /// The methods that the level applies to; 0 for all.
        methods: MethodMask,
        /// The fraction of RPCs to admit.
        share: f64,
        /// The retry policy of proxies: 0 no further try; 1 one, after proof that the first never ran; 2 one and 3 two
        /// after any failure.
        tries: u8,
    },
    /// Requests that every proxy acknowledge the orders so far under this ack sequence number.
    Mark(u16),
}

impl RelayOrder {
    /// Translates an order; `None` if the relay has no part in it or the server has no name.
    pub fn from_order(order: &Order, names: &Names) -> Option<Self> {
        let line = |slice: SliceId, index: usize, on| {
            names.server_name(index).map(|name| RelayOrder::Line { slice, server: name.to_string(), on })
        };
        match order {
            Order::Grant { slice, endpoint } => line(*slice, endpoint.index, true),
            Order::Revoke { slice, endpoint } => line(*slice, endpoint.index, false),
            Order::Level { slice, level, methods, tries } => {
                Some(RelayOrder::Level { slice: *slice, methods: *methods, share: *level, tries: *tries })
            }
            Order::RequestAck { ack_seq } => Some(RelayOrder::Mark(*ack_seq)),
            _ => None,
        }
    }

    /// The slice that the order is for, if it is for one.
    pub fn slice(&self) -> Option<SliceId> {
        match self {
            RelayOrder::Line { slice, .. } | RelayOrder::Level { slice, .. } => Some(*slice),
            RelayOrder::Mark(_) => None,
        }
    }

    /// Whether the order requests an ack.
    pub fn is_mark(&self) -> bool {
        matches!(self, RelayOrder::Mark(_))
    }

    /// Whether an earlier order need not be carried out before this one. The removal of another server's line must be:
    /// where slices are not exclusive and may have several lines, nothing else removes that line.
    pub fn supersedes(&self, earlier: &RelayOrder) -> bool {
        match (self, earlier) {
            (
                RelayOrder::Line { slice, server, on: true },
                RelayOrder::Line { slice: earlier_slice, server: earlier_server, on },
            ) => slice == earlier_slice && (*on || server == earlier_server),
            (
                RelayOrder::Level { slice, methods, .. },
                RelayOrder::Level { slice: earlier_slice, methods: earlier_methods, .. },
            ) => slice == earlier_slice && methods == earlier_methods,
            _ => false,
        }
    }

    /// Appends the order to the text of a call.
    pub fn write(&self, out: &mut String, names: &Names) {
        let written = match self {
            RelayOrder::Line { slice, server, on } => write!(out, "put,{slice},{server},{}", u8::from(*on)),
            RelayOrder::Level { slice, methods, share, tries } => {
                write!(out, "gate,{slice},{},{share:.3},{tries}", method_names(*methods, names))
            }
            RelayOrder::Mark(ack_seq) => write!(out, "fence,{ack_seq},1"),
        };
        written.expect("writing to a string cannot fail");
    }
}

/// The names of the methods in a mask, joined with `+`; `*`, which stands for all methods, if there is none. A mask has
/// 32 bits.
fn method_names(methods: MethodMask, names: &Names) -> String {
    let in_mask = (0..names.method_count().min(32)).filter(|m| methods & (1 << m) != 0);
    let words: Vec<&str> = in_mask.filter_map(|m| names.method_name(m)).collect();
    if words.is_empty() {
        "*".to_string()
    } else {
        words.join("+")
    }
}

#[cfg(test)]
mod tests;
