//! Protocol of the relay, which holds the proxies' streams and the store: calls carry orders to it, and the watch
//! stream reports what happened.

pub mod acks;
pub mod calls;
pub mod line_orders;
pub mod orders;
pub mod watch;
