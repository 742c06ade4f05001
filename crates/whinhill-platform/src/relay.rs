//! The relay, which keeps the proxies' streams and the store: orders out by calls, what happened in by news.

pub mod calls;
pub mod news;
pub mod orders;
