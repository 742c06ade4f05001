//! Tuned values of the decisions.

use std::time::Duration;

/// Share of capacity above which a server is hot.
pub(super) const HOT_LOAD: f64 = 0.8;
/// Leveling starts this far above or below the average.
pub(super) const SKEW_FRACTION: f64 = 0.5;
/// Rounds in a row that skew must last.
pub(super) const MIN_SKEWED_ROUNDS: u32 = 3;
/// Rounds by which a plan is postponed while proxies are away, at most.
pub(super) const MAX_POSTPONED_ROUNDS: u32 = 1;
/// Leveling's targets, times the average load.
pub(super) const LEVELING_TARGET_FACTORS: [f64; 3] = [1.1, 1.3, 1.5];
/// Hashed candidates beside the owner.
pub(super) const HASH_CANDIDATES: usize = 2;
/// Part of its capacity that a full server counts as free where none has room.
pub(super) const MIN_FREE_FRACTION: f64 = 0.05;
/// How long a moved slice stays.
pub(super) const MOVE_COOLDOWN: Duration = Duration::from_secs(20);
/// The first wait after a failed call for the list; it doubles.
pub(super) const LIST_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Part of an average slice that an idle one counts for on a cold server.
pub(super) const IDLE_SLICE_FRACTION: f64 = 0.6;
/// Longest ways of a message kept for taking a drained line away.
pub(super) const DRAIN_TRANSIT_FACTOR: f64 = 1.75;
/// Part of its room that a cold server offers.
pub(super) const COLD_HEADROOM_FRACTION: f64 = 0.5;
/// Times the free time of an answer from which answers wait.
pub(super) const QUEUEING_WAIT_FACTOR: f64 = 3.0;
/// Times the middle of its peers' times of service from which a server is slow, whatever its own usual one.
pub(super) const SLOW_SERVICE_FACTOR: f64 = 1.5;
/// How often handovers, drains and calls under way are looked at.
pub(super) const TICK: Duration = Duration::from_millis(50);
/// Parts of a period by which reports start its work early, and after which it starts alone.
pub(super) const EARLY_PERIOD_FRACTION: f64 = 0.35;
pub(super) const PERIOD_TIMEOUT_FACTOR: f64 = 1.25;
/// Demand, against a server's average, that counts at the fleet's usual cost.
pub(super) const USUAL_COST_DEMAND_FRACTION: f64 = 0.3;
/// Load that the average server is taken to have where servers don't report how busy they are.
pub(super) const ASSUMED_LOAD: f64 = 0.5;
/// Least part of tries served that a cold server's load is reckoned with where no capacity is learned.
pub(super) const MIN_SERVED_FRACTION: f64 = 0.2;
/// Share of tries lost, and times the others' share, that make a server sick.
pub(super) const UNHEALTHY_LOST_FRACTION: f64 = 0.3;
pub(super) const UNHEALTHY_LOST_FACTOR: f64 = 3.0;
/// Tries (or RPCs expected) below which nothing is said about a server.
pub(super) const MIN_TRIES: f64 = 6.0;
/// Slices that a server never seen to serve may hold.
pub(super) const MAX_UNCONFIRMED_SLICES: f64 = 4.0;
/// Stretches of a report after which an ok answer would have been told of.
pub(super) const OVERDUE_ANSWER_INTERVALS: f64 = 1.2;
/// RPCs due without an answer from which a server hangs, where it tells that it has taken some in meanwhile.
pub(super) const HANGING_DUE_RPCS: f64 = 2.0;
/// How long a sick server is left alone.
pub(super) const UNHEALTHY_DURATION: Duration = Duration::from_secs(8);
/// Most of the ready servers that may be held sick at a time.
pub(super) const MAX_UNHEALTHY_FRACTION: f64 = 0.5;
/// A cold server's budget: part of what topples it, most of its capacity, and a power of our share of slices
/// (others give it some unseen).
pub(super) const COLD_COLLAPSE_FRACTION: f64 = 0.35;
pub(super) const MAX_COLD_LOAD: f64 = 1.3;
pub(super) const COLD_SHARE_EXPONENT: f64 = 1.5;
/// The power of our share of slices by which an assigner takes what a cold server reports to be left: seldom do
/// all take some at once.
pub(super) const COLD_REMAINDER_EXPONENT: f64 = 0.5;
/// Parts of the backlog under which plans go out; and under which departures from sick or cold owners (levels
/// to the start too), grants and drains start, and stop.
pub(super) const PLAN_START_FILL: f64 = 0.25;
pub(super) const LEAVE_START_FILL: f64 = 0.3;
pub(super) const LEAVE_STOP_FILL: f64 = 0.6;
pub(super) const GRANT_START_FILL: f64 = 0.3;
pub(super) const GRANT_STOP_FILL: f64 = 0.5;
pub(super) const DRAIN_START_FILL: f64 = 0.8;
pub(super) const DRAIN_STOP_FILL: f64 = 0.9;
/// Part of the time for which a proxy may have no line after which a grant takes the room that drains may.
pub(super) const URGENT_GRANT_FRACTION: f64 = 0.4;
/// Heads that fit between where drains start and stop, at least.
pub(super) const MIN_DRAIN_MESSAGES: f64 = 4.0;
/// The channel may run this many times slower than stated, and as often again while an answer is overdue.
pub(super) const CHANNEL_SLOWDOWN_FACTOR: f64 = 4.0;
/// Mean wait, as a part of the soft deadline, at which a server counts as overloaded.
pub(super) const LATE_WAIT_FRACTION: f64 = 0.4;
/// What an overloaded server is let, times what it did; and how that grows in a period without lateness, at
/// least and at most.
pub(super) const LIMIT_DECREASE_FACTOR: f64 = 0.9;
pub(super) const MIN_LIMIT_INCREASE_FACTOR: f64 = 1.06;
pub(super) const MAX_LIMIT_INCREASE_FACTOR: f64 = 1.5;
/// In this time a queue that makes answers late is to drain.
pub(super) const QUEUE_DRAIN_TIME: Duration = Duration::from_secs(1);
/// Stretches of a report after which a cut shows in what is told.
pub(super) const LIMIT_EFFECT_INTERVALS: u32 = 2;
/// Probes of each ready server in a period, at most.
pub(super) const MAX_PROBE_ROUNDS: u32 = 3;
/// Probes of all assigners for each RPC, at most, as long as there is a round a period.
pub(super) const MAX_PROBES_PER_RPC: f64 = 0.3;
/// Probes in a row without an answer after which a server is sick.
pub(super) const DEAD_AFTER_MISSES: u32 = 2;
/// How long a zone whose servers all fell silent is shut out before they count as dead: broken streams of its
/// proxies are noticed by then.
pub(super) const ZONE_CONFIRMATION_TIME: Duration = Duration::from_secs(3);
/// How long a server is left alone at least that is sick by its probes alone.
pub(super) const PROBE_UNHEALTHY_DURATION: Duration = Duration::from_secs(3);
/// Busy share of its cores from which a server's probes may wait for load alone.
pub(super) const BUSY_CPU: f64 = 0.9;
/// How long slices stay at servers of a zone that is cut off, in moves: there and back.
pub(super) const DISCONNECTED_ZONE_MOVES: u32 = 2;
/// Part of the ready servers above which missed probes tell nothing of single servers.
pub(super) const MAX_SUSPECTED_FRACTION: f64 = 0.5;
/// In this time the memory of probes that were missed by chance halves.
pub(crate) const PROBE_MEMORY_HALF_LIFE: Duration = Duration::from_secs(10);
/// Servers of the whole fleet that are suspected for nothing in a round of probes, on average at most.
pub(super) const MAX_FALSE_ALARMS_PER_ROUND: f64 = 0.15;
/// How long nothing at all is let in at a suspected server: it may just be about to answer.
pub(super) const HALF_OPEN_DELAY: Duration = Duration::from_millis(1000);
/// The share of RPCs that do not write that is let in then.
pub(super) const HALF_OPEN_FRACTION: f64 = 0.1;
/// Tries of late below which a server had none of our RPCs.
pub(super) const MAX_IDLE_TRIES: f64 = 0.1;
/// Batches of reports that are remembered.
pub(super) const REMEMBERED_BATCHES: usize = 8;
/// RPCs answered since a missed probe that show that the server is well, and due without an answer that it is
/// not.
pub(super) const ALIVE_RPCS: f64 = 3.0;
pub(super) const DEAD_RPCS: f64 = 3.0;
/// The part by which one observation moves what is known of how late reports come, and the part of a stretch by
/// which that may be wrong.
pub(super) const LAG_SMOOTHING_FACTOR: f64 = 0.3;
pub(super) const LAG_ERROR_FRACTION: f64 = 0.2;
/// Misses in a row that are always enough.
pub(super) const MAX_MISSES_TO_SUSPECT: u32 = 10;
/// Stretches of a report after which what is told of a server came about later than the probe that it missed
/// first.
pub(crate) const REPORT_LAG_INTERVALS: u32 = 3;
/// Fill below which levels of slices at cold servers are tuned at once.
pub(super) const COLD_TUNING_FILL: f64 = 0.5;
/// Fill below which proxies that joined are told of handovers.
pub(super) const NOTIFY_FILL: f64 = 0.5;
