//! The running assigner.
//!
//! The sources of inputs (server list, load reports, probes, streams, custody) put them into one bounded queue. The
//! decision thread drains it into a batch, lets [`Core`] decide, and carries out the effects: tables go to the cache,
//! changes to the rate-limited [`Channel`], grants to the store, probes to their threads. [`Core`], the channel and
//! the report aggregator have no I/O and no clock; the threads and sockets around them contain no rules.

mod acked_versions;
mod assigner;
mod atomic_file;
mod channel;
mod config;
mod core;
mod custody_thread;
mod full_set_pacer;
mod history_file;
mod history_recorder;
mod history_writer;
mod hub;
mod last_list;
mod name_index;
mod operator_api;
mod operator_client;
mod operator_handler;
mod probes;
mod reports;
mod retry;
mod roster;
mod status;
mod status_file;
mod wall_clock;

pub use crate::core::{Core, Effects, Input};
pub use assigner::{Assigner, StartError};
pub use channel::{Channel, ProxyMessage};
pub use config::{
    AssignerConfig, ChannelConfig, ConfigError, CustodySettings, HistoryConfig, MethodConfig, MethodEffect,
    RosterConfig, RulesConfig, Sabotage, ServiceConfig, StoreConfig,
};
pub use history_file::{HistoryFile, PersistedUpdate};
pub use history_recorder::{HistoryRecorder, NumberedUpdate, RecordedBatch, RollbackError};
pub use name_index::NameIndex;
pub use operator_api::{
    LoadReportStatus, OperatorRequest, OperatorResponse, ProxyLoadStatus, ProxyStatus, RollbackStatus,
    SliceDiff, SlicePlan, VersionSelector, VersionSummary, OPERATOR_METHOD_PATH,
};
pub use operator_client::{send_request, RequestError};
pub use reports::{read_report, to_event};
pub use retry::Retry;
pub use roster::{read_roster, RosterEntry, RosterFile, RosterState};
pub use status::{process_cpu_and_memory, Status};
pub use status_file::StatusFile;
