//! The platform's protocol, without I/O and without a clock: bytes, events and a time go in; bytes, events and
//! things to do come out. The platform's words end here.
//!
//! ```
//! use whinhill_platform::lines::Lines;
//! let mut lines = Lines::new(64);
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
pub mod roster;
