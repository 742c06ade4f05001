//! The running assigner.
//!
//! Feeds (roster, load reports, probes, streams, custody) put what happened into one bounded channel. The
//! decision thread drains it into a batch, has [`Core`] decide, and hands on what is to be done: tables into the
//! cache, changes to the paced [`Channel`], grants to the store, probes to their threads. [`Core`], the channel and
//! the intake of reports have no I/O and no clock; threads and sockets stand around them and hold no rule.

mod answers;
mod ask;
mod assigner;
mod book;
mod channel;
mod chronicle;
mod config;
mod core;
mod history_file;
mod holdings;
mod hub;
mod joins;
mod last_list;
mod names;
mod operator;
mod probes;
mod reports;
mod retry;
mod roster;
mod status;
mod status_file;
mod stewards;
mod wall;
mod whole_file;

pub use crate::core::{Core, Effects, Input};
pub use ask::{
    Answer, Ask, PlanLine, ProxyLine, ReportsAnswer, ReportsLine, RollbackLine, SliceLine, Target,
    VersionLine, ASK_PATH,
};
pub use assigner::{Assigner, StartError};
pub use channel::{Channel, Parcel};
pub use chronicle::{Batch, Chronicle, Numbered, RollbackError};
pub use config::{
    AssignerConfig, ChannelConfig, CustodySettings, Fault, HistoryConfig, MethodConfig, MethodEffect,
    RosterConfig, RulesConfig, Sabotage, ServiceConfig, StoreConfig,
};
pub use history_file::{HistoryFile, Kept};
pub use names::Names;
pub use operator::{ask, AskError};
pub use reports::{event, read_report};
pub use retry::Retry;
pub use roster::{read_roster, RosterEntry, RosterFile, RosterState};
pub use status::{process_figures_of, Status};
pub use status_file::StatusFile;
