//! The module's orders in the relay's words.

use std::fmt::Write;

use whinhill::interface::{MethodMask, Order, SliceId};
use whinhill_names::Names;

/// An order that the relay carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum RelayOrder {
    /// The slice's one line: a server's, or taken away.
    Line {
        slice: SliceId,
        server: String,
        on: bool,
    },
    Level {
        slice: SliceId,
        methods: MethodMask,
        share: f64,
        tries: u8,
    },
    Mark(u16),
}

impl RelayOrder {
    /// `None` for an order that is not the relay's.
    pub fn of(order: &Order, names: &Names) -> Option<Self> {
        let line = |slice: SliceId, index: usize, on| {
            names.server(index).map(|name| RelayOrder::Line { slice, server: name.to_string(), on })
        };
        match order {
            Order::Grant { slice, ep } => line(*slice, ep.index, true),
            Order::Revoke { slice, ep } => line(*slice, ep.index, false),
            Order::Level { slice, share, methods, tries } => {
                Some(RelayOrder::Level { slice: *slice, methods: *methods, share: *share, tries: *tries })
            }
            Order::Mark { mark } => Some(RelayOrder::Mark(*mark)),
            _ => None,
        }
    }

    pub fn slice(&self) -> Option<SliceId> {
        match self {
            RelayOrder::Line { slice, .. } | RelayOrder::Level { slice, .. } => Some(*slice),
            RelayOrder::Mark(_) => None,
        }
    }

    pub fn write(&self, out: &mut String, names: &Names) {
        let written = match self {
            RelayOrder::Line { slice, server, on } => write!(out, "put,{slice},{server},{}", u8::from(*on)),
            RelayOrder::Level { slice, methods, share, tries } => {
                write!(out, "gate,{slice},{},{share:.3},{tries}", classes(*methods, names))
            }
            RelayOrder::Mark(mark) => write!(out, "fence,{mark},1"),
        };
        written.expect("writing to a string cannot fail");
    }
}

fn classes(methods: MethodMask, names: &Names) -> String {
    let named = (0..names.methods().min(32)).filter(|m| methods & (1 << m) != 0);
    let words: Vec<&str> = named.filter_map(|m| names.method_name(m)).collect();
    if words.is_empty() {
        "*".to_string()
    } else {
        words.join("+")
    }
}

#[cfg(test)]
mod tests;
