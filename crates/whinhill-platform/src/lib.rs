//! The platform's protocols as codecs and state machines, without I/O and without a clock: their input is bytes, events
//! and the current time, their output is bytes, events and actions. Field names and words of the protocols are used in
//! this crate only, except `throttled`, which whinhill-node compares with the reason of a rejected call.
//!
//! ```
//! use whinhill_platform::lines::LineBuffer;
//! let mut lines = LineBuffer::new(64);
//! lines.push(b"* hello 1");
//! assert_eq!(lines.next_line(), Ok(None));
//! lines.push(b"7 a 21.5 1\r\n");
//! assert_eq!(lines.next_line(), Ok(Some(&b"* hello 17 a 21.5 1"[..])));
//! ```

pub mod config;
pub mod discovery;
pub mod http;
pub mod lines;
pub mod peer;
pub mod probe;
pub mod relay;
pub mod reports;
pub mod retry_delay;
pub mod roster;
pub mod supported_settings;
