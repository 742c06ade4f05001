//! Time limits and bounds of the sockets. None decides owners, health or pace.

use std::time::Duration;

/// Whoever has not joined by then is closed; the platform allows that from 1 s on, and asks for it within 3 s.
pub const JOIN_WITHIN: Duration = Duration::from_millis(1100);
/// A connection comes up within two round trips of a few milliseconds; a machine that is cut off never answers.
pub const CONNECT_WITHIN: Duration = Duration::from_millis(500);
/// The relay answers within 50 ms or never; the rest is for a core that is shared.
pub const CALL_WITHIN: Duration = Duration::from_millis(200);
/// So long a call in doubt waits for room to be sent again, at most: by so much the rules' time limits wait where
/// the relay breaks a call, and by more where it is silent.
pub const DOUBT_WAITS: Duration = Duration::from_millis(500);
/// And so often it is looked at: as often as the module looks at its channel.
pub const DOUBT_LOOKS: Duration = Duration::from_millis(50);
/// A calls' connection idle for longer is replaced before the next call: the relay closes it at 10 s or less.
pub const CALL_IDLE: Duration = Duration::from_secs(3);
/// First wait before news are asked for again, doubled up to the most. Shorter: a relay that is down is
/// hammered; longer: answers and departures go unheard.
pub const NEWS_AGAIN: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(500));
/// Discovery answers one call after another, each within its own limit of a second.
pub const DISCOVERY_WITHIN: Duration = Duration::from_millis(2500);
/// A watch has a sign of life every 2 s; silence must be found well within the 6 s that the rules leave.
pub const WATCH_SILENT: Duration = Duration::from_millis(3000);
/// An answer to a probe that takes longer says that the server does not serve.
pub const PROBE_WITHIN: Duration = Duration::from_millis(500);
/// Reports come in pieces within milliseconds of each other: so long they are gathered for one batch.
pub const GATHER: Duration = Duration::from_millis(5);
/// Events that make a batch at once.
pub const BATCH_MOST: usize = 8192;
/// Reads of one connection in a turn, of 64 KiB each: then the others have theirs.
pub const READS_MOST: usize = 8;
/// Probes under way at a time: a part of the descriptors, within bounds. A silent server holds one for its whole time.
pub const PROBES_PART: usize = 5;
pub const PROBES_MOST: (usize, usize) = (16, 256);
/// Connections of one zone's collector: the newest is the real one, others may not have noticed their end.
pub const COLLECTORS_MOST: usize = 3;
/// Descriptors of our own: standard streams, poll, signals, listener, the configuration file.
pub const RESERVED_OWN: usize = 12;
/// And those of relay and discovery, each with one to replace it.
pub const RESERVED_PATHS: usize = 8;
/// Descriptors that nobody who connects may take, with those of probes on top.
pub const RESERVED: usize = RESERVED_OWN + RESERVED_PATHS;
/// Failures of `accept` in one turn: most pass at once, and a client that waits is late soon.
pub const ACCEPT_FAILURES_MOST: u32 = 16;
/// Accepting goes on after this: after failures, while all places are taken, and where somebody may still wait.
pub const ACCEPT_AGAIN: Duration = Duration::from_millis(5);
/// Looks at the listen queue after the poll has told of it. A call may say too early that it would block.
pub const ACCEPT_LOOKS: u32 = 16;
/// And without its having told.
pub const ACCEPT_LOOKS_UNTOLD: u32 = 4;
/// Where the poll told of somebody and nobody was found, the queue is looked at again so often, each
/// [`ACCEPT_AGAIN`]: for 0.2 s, after which the looks at everything go on.
pub const ACCEPT_LOOKS_AGAIN: u32 = 40;
/// A stranger that has been silent for less may be about to ask: closed then it would lose its request.
pub const EVICT_IDLE: Duration = Duration::from_millis(100);
/// Strangers at a time that give their places up with their next answers.
pub const LEAVING_MOST: usize = 16;
/// The poll tells of each arrival once: after this every socket is looked at all the same. Shorter costs calls of
/// the system; longer delays whoever is waited for behind a call that said too early that it would block.
pub const LOOK_EVERY: Duration = Duration::from_millis(100);
/// A socket is looked at after this where a transfer failed for want of memory or buffers, or may have said too
/// early that it would block.
pub const TRANSFER_AGAIN: Duration = Duration::from_millis(5);
/// So many looks follow a call that may have said so too early, each with so many tries.
pub const LOOKS_SOON: u32 = 8;
pub const TRIES_A_LOOK: u32 = 4;
/// So long after such a call every read is followed by looks.
pub const LOOK_CLOSELY_FOR: Duration = Duration::from_secs(1);
/// A time limit is put off so often, each time by [`TRANSFER_AGAIN`], while reads fail for want of something: for
/// 0.5 s, which the rules leave beyond each limit.
pub const POSTPONED_MOST: u32 = 100;
/// The poll would not take a connection: it is asked again.
pub const REGISTER_AGAIN: Duration = Duration::from_millis(5);
/// A connect that fails before anything was sent says nothing of the other side, and is tried again.
pub const CONNECT_AGAIN: Duration = Duration::from_millis(100);
/// A client that has had its last answer is closed after this at the latest: an answer takes a round trip, and
/// whoever goes on without end must be rid of within 6 s.
pub const CLOSE_WITHIN: Duration = Duration::from_millis(500);
/// Bytes of a client that are read and thrown away after its last answer: a few of the largest messages.
pub const DISCARD_MOST: usize = 4 << 20;
/// What is not to be had at the start (an address, a descriptor, memory) is tried again for so long: the platform
/// counts over 30 s as a failed start, and 10 s as slow.
pub const START_WITHIN: Duration = Duration::from_secs(5);
/// And so often.
pub const START_AGAIN: Duration = Duration::from_millis(20);
/// A configuration that cannot be read after SIGHUP is tried again this often, and for so long: the former addresses
/// close after 1.5 s, and a disk or a table of files that is full for longer is somebody's to see to.
pub const CONFIG_AGAIN: Duration = Duration::from_millis(50);
pub const CONFIG_WITHIN: Duration = Duration::from_secs(10);
/// Failures of the poll in a row after which it counts as broken. One signal after another is no failure.
pub const POLL_FAILURES_MOST: u32 = 100;
/// The state goes into the log this often.
pub const STATUS_EVERY: Duration = Duration::from_secs(10);
/// A server off the list for so long is let go: by then no probe, report or order of it is under way.
pub const LET_GO_AFTER: Duration = Duration::from_secs(20);
/// What the module believes goes into the log this often, where it is asked for: as often as servers are judged.
pub const BELIEFS_EVERY: Duration = Duration::from_secs(1);
/// A client that was told of its silence may still ask within this.
pub const WARNED_WITHIN: Duration = Duration::from_millis(500);
/// After SIGTERM, calls in line may still leave for this long.
pub const CALLS_END_AFTER: Duration = Duration::from_millis(250);
/// So long the address is served as before and no connection ends for the signal's sake: the platform kills no sooner
/// than 0.7 s after SIGTERM, and some clients never look whether their connections still stand.
pub const SERVE_FOR: Duration = Duration::from_millis(750);
/// Then it is served on while anybody asks, until from now on each answer is the last on its connection: so long
/// whoever keeps asking has to ask once more.
pub const LAST_ANSWERS_AFTER: Duration = Duration::from_millis(9500);
/// And then nobody new is accepted.
pub const END_AFTER: Duration = Duration::from_millis(9750);
/// And the process ends, 10 s after SIGTERM.
pub const LEAVE_BY: Duration = Duration::from_secs(10);
/// Whoever has come or asked within this may be about to ask, and is waited for.
pub const ASK_WITHIN: Duration = Duration::from_millis(150);
/// Whoever would be refused for silence meanwhile is so no sooner than this after SIGTERM: 2.5 s after it connected at
/// the latest, where the platform asks for it within 3 s.
pub const SILENCE_PUT_OFF: Duration = SERVE_FOR.saturating_add(ASK_WITHIN);
/// How often it is looked at whether anybody is.
pub const END_LOOKS: Duration = Duration::from_millis(10);
/// Clients taken from the listen queue as it closes, at most: those that it may hold.
pub const LAST_CLIENTS_MOST: usize = 1024;
