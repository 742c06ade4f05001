//! Time limits and bounds of the sockets. None of them affects ownership, health or pacing decisions.

use std::time::Duration;

/// Time within which a client must join or send a request; then it is refused. The platform permits that after 1 s
/// and requires it after 3 s at the latest.
pub const JOIN_TIMEOUT: Duration = Duration::from_millis(1100);
/// Time limit of a connect. A connection is established within two round trips of a few milliseconds; an unreachable
/// machine never answers.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit of a relay call. The relay answers within 50 ms or never; the rest allows for a shared core.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(200);
/// Longest time for which a call with an unknown outcome waits until the module's channel has room for its orders a
/// second time; then it is sent again all the same. What the platform's rules require within a time limit is delayed
/// by up to as much where the relay breaks a call, and by more where it is silent.
pub const MAX_UNKNOWN_OUTCOME_WAIT: Duration = Duration::from_millis(500);
/// How often it is checked whether a call with an unknown outcome may be sent again: as often as the module checks
/// its channel.
pub const UNKNOWN_OUTCOME_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// A call connection that has been idle for longer is replaced before the next call: the relay closes it at 10 s or
/// less.
pub const MAX_CALL_CONNECTION_IDLE: Duration = Duration::from_secs(3);
/// First delay before the relay watch is reopened; it doubles with each failure. With shorter delays a relay that is
/// down is overloaded with connects; with longer ones acknowledgements and departures of proxies are missed.
pub const MIN_RELAY_WATCH_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Longest delay from one attempt to open the relay watch to the next, before it is varied.
pub const MAX_RELAY_WATCH_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time limit of a request to discovery, which answers requests one after another, each within its own limit of a
/// second. The module asks for another call beside one that is not answered within [`list_answer_timeout`].
///
/// [`list_answer_timeout`]: whinhill::Assigner::list_answer_timeout
pub const DISCOVERY_TIMEOUT: Duration = Duration::from_millis(2500);
/// A discovery watch that has been silent for this long has failed. It sends a sign of life every 2 s, and silence
/// must be detected well within the 6 s that the platform's rules allow.
pub const DISCOVERY_WATCH_SILENCE_TIMEOUT: Duration = Duration::from_millis(3000);
/// Time limit of a probe: a server that takes longer to answer is not serving.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Reports arrive in pieces within milliseconds of each other; they are gathered for this long into one batch.
pub const BATCH_GATHER_DELAY: Duration = Duration::from_millis(5);
/// A batch of this many events is handed over without gathering more.
pub const MAX_BATCH_EVENTS: usize = 8192;
/// Messages of clients that are handled in a turn, divided among the connections with more to read.
pub const MESSAGES_PER_TURN: usize = 1024;
/// Bounds of the number of messages of one client that are handled in a turn.
pub const MESSAGES_PER_CONNECTION: std::ops::RangeInclusive<usize> = 2..=64;
/// Largest number of bytes that one connection is read in a turn; then the other connections are read.
pub const MAX_BYTES_PER_TURN: usize = 64 * 1024;
/// Bytes that are read at a time from the relay, discovery and servers, whose lines cost more than a client's.
pub const SOURCE_READ_BYTES: usize = 4 * 1024;
/// Largest number of bytes that such a connection is read in a turn.
pub const SOURCE_BYTES_PER_TURN: usize = 8 * 1024;
/// Orders in the queue from which on no more removals of second lines are queued: the relay has named ever new ones.
pub const MAX_QUEUED_ORDERS: usize = 1024;
/// Output that may wait for a client to read before no more of its requests are read.
pub const MAX_OUTPUT_BEFORE_PAUSE: usize = 16 * 1024;
/// Fraction of the memory limit that events for the next batch may take. Once they do, collectors and the relay watch
/// are read no further until the batch is handed over.
pub const PENDING_EVENTS_FRACTION: f64 = 1.0 / 64.0;
/// Smallest limit of a collector's message in bytes, however little memory there is: a report has a few hundred.
pub const MIN_MESSAGE_BYTES: usize = 16 * 1024;
/// Fraction of the memory limit that partial messages of all collectors may take together.
pub const PARTIAL_MESSAGES_FRACTION: f64 = 0.25;
/// The limit of concurrent probes is the number of allowed sockets divided by this, within the two bounds below. An
/// unresponsive server occupies a probe until its deadline.
pub const SOCKETS_PER_PROBE: usize = 5;
/// Smallest limit of concurrent probes.
pub const MIN_PROBE_LIMIT: usize = 16;
/// Largest limit of concurrent probes.
pub const MAX_PROBE_LIMIT: usize = 256;
/// Largest number of connections of one zone's collector. The newest is the live one; the ends of others may not have
/// been noticed.
pub const MAX_COLLECTORS_PER_ZONE: usize = 3;
/// Descriptors of the process itself: standard streams, poll, signals, listener, configuration file.
pub const RESERVED_FOR_PROCESS: usize = 12;
/// Descriptors for connections to relay and discovery, each with a second one that replaces it.
pub const RESERVED_FOR_OUTGOING: usize = 8;
/// Descriptors that clients may not use; those of probes are added.
pub const RESERVED_DESCRIPTORS: usize = RESERVED_FOR_PROCESS + RESERVED_FOR_OUTGOING;
/// Smallest number of connection slots for clients, however few sockets are allowed.
pub const MIN_CLIENT_SLOTS: usize = 8;
/// Largest number of failures of `accept` in one turn. Most failures pass at once, and a client that waits longer
/// soon misses its time limit.
pub const MAX_ACCEPT_FAILURES: u32 = 16;
/// Delay before accepting continues: after failures, while all slots are taken, and where a client may still be
/// waiting.
pub const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Calls of `accept` in a row that must find the listen queue empty before it counts as empty, after the poll has
/// reported it readable or in a retry. A call may return `WouldBlock` although a client is waiting.
pub const ACCEPT_ATTEMPTS: u32 = 16;
/// The same for the periodic check of all sockets.
pub const PERIODIC_ACCEPT_ATTEMPTS: u32 = 4;
/// Where the poll reported a client and none was found, the queue is checked this many times, each time after
/// [`ACCEPT_RETRY_DELAY`]: for 0.2 s, after which the periodic checks of all sockets go on.
pub const ACCEPT_RETRIES: u32 = 40;
/// An unjoined client that has been idle for less is not closed to free its slot: it may be about to send a request,
/// which closing would lose.
pub const MIN_EVICTION_IDLE: Duration = Duration::from_millis(100);
/// Largest number of unjoined clients that are marked at a time to be closed after their next answers.
pub const MAX_CLOSING_FOR_SLOTS: usize = 16;
/// The poll reports each arrival once; at this interval every socket is checked all the same. A shorter one costs
/// system calls; a longer one delays data that is missed when a call wrongly returns `WouldBlock`.
pub const SOCKET_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Delay before a socket is checked again after a transfer failed for want of memory or buffers, or may have
/// wrongly returned `WouldBlock`.
pub const RECHECK_DELAY: Duration = Duration::from_millis(5);
/// Rechecks after a call that may have wrongly returned `WouldBlock`.
pub const RECHECKS: u32 = 8;
/// Attempts to read in each recheck.
pub const ATTEMPTS_PER_RECHECK: u32 = 4;
/// After a read that wrongly returned `WouldBlock`, every read is followed by rechecks for this long.
pub const READ_RECHECK_DURATION: Duration = Duration::from_secs(1);
/// How many times a timeout is postponed, each time by [`RECHECK_DELAY`], while reads fail for want of resources: for
/// 0.5 s, which the platform's rules allow beyond each limit.
pub const MAX_TIMEOUT_POSTPONEMENTS: u32 = 100;
/// Delay before a connection that the poll refused is registered again.
pub const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Delay before a connect is retried. A connect that fails before anything was sent says nothing about the other
/// side.
pub const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// A client is closed this long after its last answer at the latest. An answer takes a round trip, and a client
/// that keeps sending must be closed within 6 s.
pub const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Bytes of a client that are read and discarded after its last answer: a few of the largest messages.
pub const MAX_DISCARDED_BYTES: usize = 4 << 20;
/// How long a resource that is missing at the start (an address, a descriptor, memory) is waited for. The platform
/// counts more than 30 s as a failed start, and 10 s as slow.
pub const STARTUP_RETRY_DURATION: Duration = Duration::from_secs(5);
/// Delay between attempts to obtain it.
pub const STARTUP_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Delay between attempts to read the configuration after SIGHUP. The former addresses close after 1.5 s.
pub const CONFIG_RETRY_DELAY: Duration = Duration::from_millis(50);
/// How long those attempts go on. A disk or a file table that is full for longer needs an operator.
pub const CONFIG_RETRY_DURATION: Duration = Duration::from_secs(10);
/// Consecutive failures after which the poll counts as broken. Interruptions by signals are not counted.
pub const MAX_CONSECUTIVE_POLL_FAILURES: u32 = 100;
/// Interval between status lines in the log.
pub const STATUS_INTERVAL: Duration = Duration::from_secs(10);
/// A server that has been unlisted for this long is forgotten: no probe, report or order for it is in flight by
/// then.
pub const FORGET_SERVER_DELAY: Duration = Duration::from_secs(20);
/// Interval between log lines of the module's view of servers, where they are enabled: as often as their health is
/// evaluated.
pub const BELIEFS_INTERVAL: Duration = Duration::from_secs(1);
/// A client that was warned of its silence may still send a request within this time.
pub const WARNED_CLIENT_TIMEOUT: Duration = Duration::from_millis(500);
/// Queued calls may still be sent for this long after SIGTERM.
pub const SHUTDOWN_CALLS_DURATION: Duration = Duration::from_millis(250);
/// For this long after SIGTERM clients are served as before, and no connection is closed because of the signal. The
/// platform kills no sooner than 0.7 s after SIGTERM, and some clients never check whether their connections are
/// still open.
pub const SHUTDOWN_SERVE_DURATION: Duration = Duration::from_millis(750);
/// From [`SHUTDOWN_SERVE_DURATION`] on, clients are served while any of them sends requests. From this time after
/// SIGTERM each connection ends with its next answer, so that a client that keeps sending has to connect again.
pub const SHUTDOWN_LAST_ANSWERS_DELAY: Duration = Duration::from_millis(9500);
/// From this time after SIGTERM no new clients are accepted.
pub const SHUTDOWN_STOP_ACCEPTING_DELAY: Duration = Duration::from_millis(9750);
/// The process exits 10 s after SIGTERM.
pub const SHUTDOWN_EXIT_DELAY: Duration = Duration::from_secs(10);
/// A client that has connected or sent a request within this time may be about to send one, and is waited for.
pub const REQUEST_GRACE_PERIOD: Duration = Duration::from_millis(150);
/// During shutdown, clients are refused for silence no sooner than this after SIGTERM. That is 2.5 s after they
/// connected at the latest, and the platform requires it within 3 s.
pub const SHUTDOWN_SILENCE_DELAY: Duration = SHUTDOWN_SERVE_DURATION.saturating_add(REQUEST_GRACE_PERIOD);
/// How often it is checked during shutdown whether any client must still be waited for.
pub const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Clients accepted from the listen queue as it closes, at most: as many as it may hold.
pub const MAX_FINAL_ACCEPTS: usize = 1024;
