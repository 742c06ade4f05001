//! Thresholds, delays and factors of the decisions.
//!
//! A *fill* is the number of lines queued in the channel to the proxies, with those of the current reply, as a fraction
//! of the backlog that it may hold; where messages are limited, the messages sent in the window count likewise.
//! Work that has a start fill and a stop fill begins below the first and goes on below the second.

use std::time::Duration;

#[cfg(doc)]
use super::Assigner;

/// Load, as a fraction of capacity, above which a server is hot.
pub(super) const HOT_LOAD: f64 = 0.8;
/// Deviation from the average load, as a fraction of it, above which a server counts as skewed.
pub(super) const SKEW_FRACTION: f64 = 0.5;
/// Consecutive planning rounds that must see skew before leveling starts.
pub(super) const MIN_SKEWED_ROUNDS: u32 = 3;
/// Consecutive planning rounds for which plans are postponed at most while proxies are away.
pub(super) const MAX_POSTPONED_ROUNDS: u32 = 1;
/// Target loads of leveling, as multiples of the average load, in the order in which they are tried.
pub(super) const LEVELING_TARGET_FACTORS: [f64; 3] = [1.1, 1.3, 1.5];
/// Servers of a slice's rendezvous order, besides its owner, that are considered as its destination.
pub(super) const HASH_CANDIDATES: usize = 2;
/// Least fraction of its capacity that a server counts as free when a destination is chosen and none has headroom.
pub(super) const MIN_FREE_FRACTION: f64 = 0.05;
/// How long a slice stays after a grant before a plan may move it.
pub(super) const MOVE_COOLDOWN: Duration = Duration::from_secs(20);
/// How long an assigner that watches the list may go without requesting it where the settings have no limit: whatever
/// discovery has to tell counts as told after this time.
pub(super) const DEFAULT_LIST_REQUEST_INTERVAL: Duration = Duration::from_secs(6);
/// Delay before the list is requested again after a first failure. It doubles with each further failure, to eight times
/// this delay at most, and is varied at random by up to 30%.
pub(super) const LIST_RETRY_DELAY: Duration = Duration::from_millis(500);
/// For how long after a first failure the delays may grow beyond [`Assigner::max_list_request_gap`]. What discovery
/// has to tell counts as told after 6 s, and it may have been silent for 3 s before the first failure was noticed.
pub(super) const LIST_BACKOFF_DURATION: Duration = Duration::from_secs(3);
/// Lower bound of [`Assigner::max_list_request_gap`], so that discovery is not flooded where the grace is short.
pub(super) const MIN_LIST_REQUEST_GAP: Duration = Duration::from_millis(500);
/// Fraction of [`Assigner::max_list_request_gap`] for which a call may be unanswered before another is made.
pub(super) const LIST_ANSWER_FRACTION: f64 = 0.6;
/// The range, as fractions of [`Assigner::max_list_request_gap`], from which the time between two calls is drawn while
/// discovery does not answer: at random, so that the assigners do not ask at once.
pub(super) const LIST_GAP_FRACTIONS: std::ops::Range<f64> = 0.7..1.0;
/// Demand that an idle slice counts for on a cold server, as a fraction of an average slice's.
pub(super) const IDLE_SLICE_FRACTION: f64 = 0.6;
/// Multiple of the longest transit time that is reserved for the end of a drained line to reach every proxy.
pub(super) const DRAIN_TRANSIT_FACTOR: f64 = 1.75;
/// Fraction of its headroom that a cold server offers.
pub(super) const COLD_HEADROOM_FRACTION: f64 = 0.5;
/// Multiple of the wait without a queue above which answers count as queued.
pub(super) const QUEUEING_WAIT_FACTOR: f64 = 3.0;
/// Multiple of its peers' median service time from which a server is slow, whatever its own usual service time is.
pub(super) const SLOW_SERVICE_FACTOR: f64 = 1.5;
/// Interval at which handovers, drains and pending calls are checked.
pub(super) const TICK: Duration = Duration::from_millis(50);
/// How much too early reports may start a period's work, as a fraction of the period.
pub(super) const EARLY_PERIOD_FRACTION: f64 = 0.35;
/// Periods after which a period's work starts without reports.
pub(super) const PERIOD_TIMEOUT_FACTOR: f64 = 1.25;
/// Demand, as a fraction of the average server's, that counts at the fleet's usual load per demand when a server's
/// own is estimated.
pub(super) const USUAL_COST_DEMAND_FRACTION: f64 = 0.3;
/// Average load that is assumed where servers do not report how busy they are.
pub(super) const ASSUMED_LOAD: f64 = 0.5;
/// Lower bound of the fraction of tries served, by which a cold server's load is scaled where no capacity has been
/// learned.
pub(super) const MIN_SERVED_FRACTION: f64 = 0.2;

/// Fraction of its tries from which a server that loses them is unhealthy, if other servers lose far fewer.
pub(super) const UNHEALTHY_LOST_FRACTION: f64 = 0.3;
/// Multiple of the other servers' lost fraction that an unhealthy server must exceed too.
pub(super) const UNHEALTHY_LOST_FACTOR: f64 = 3.0;
/// Tries, or expected RPCs, below which no conclusion is drawn about a server.
pub(super) const MIN_TRIES: f64 = 6.0;
/// Slices that a server may hold before it has been seen to serve.
pub(super) const MAX_UNCONFIRMED_SLICES: f64 = 4.0;
/// Reporting intervals after which an ok answer would have been reported.
pub(super) const OVERDUE_ANSWER_INTERVALS: f64 = 1.2;
/// Expected RPCs without an answer above which a server hangs, if it reports that it has accepted some meanwhile.
pub(super) const HANGING_DUE_RPCS: f64 = 2.0;
/// How long a server that is unhealthy by its answers to RPCs gets no slices.
pub(super) const UNHEALTHY_DURATION: Duration = Duration::from_secs(8);
/// Largest fraction of the ready servers that may be held unhealthy at a time.
pub(super) const MAX_UNHEALTHY_FRACTION: f64 = 0.5;

/// A cold server's budget, as a fraction of the load at which it collapses.
pub(super) const COLD_COLLAPSE_FRACTION: f64 = 0.35;
/// Upper bound of a cold server's budget, as a fraction of its capacity.
pub(super) const MAX_COLD_LOAD: f64 = 1.3;
/// Exponent of the fraction of slices in custody by which an assigner scales a cold server's budget: the other
/// assigners give that server load that this one does not see.
pub(super) const COLD_SHARE_EXPONENT: f64 = 1.5;
/// Exponent of the fraction of slices in custody by which an assigner scales what a cold server reports to have
/// left. It is smaller than `COLD_SHARE_EXPONENT` since the assigners seldom all take some at once.
pub(super) const COLD_REMAINDER_EXPONENT: f64 = 0.5;

/// Fill below which a batch of a plan starts. From this fill on, every message requests an acknowledgement. A drain of
/// fenced slices that would exceed it revokes lines at once.
pub(super) const PLAN_START_FILL: f64 = 0.25;
/// Fill below which slices start to leave unhealthy or cold owners, and levels are tuned.
pub(super) const LEAVE_START_FILL: f64 = 0.3;
/// Fill at which no more slices leave unhealthy or cold owners, and the RPCs of no more slices are rejected because
/// their owner is suspected.
pub(super) const LEAVE_STOP_FILL: f64 = 0.6;
/// Fill below which grants start.
pub(super) const GRANT_START_FILL: f64 = 0.3;
/// Fill at which no more slices are granted, unless a grant is urgent. Overdue acknowledgements are not requested, and
/// slices whose RPCs are all rejected stay so.
pub(super) const GRANT_STOP_FILL: f64 = 0.5;
/// Fill below which drains start.
pub(super) const DRAIN_START_FILL: f64 = 0.8;
/// Fill at which no more drains start, no urgent grants are ordered, and no calls are sent again.
pub(super) const DRAIN_STOP_FILL: f64 = 0.9;
/// Fill below which the levels of slices at cold servers are tuned.
pub(super) const COLD_TUNING_FILL: f64 = 0.5;
/// Fill below which proxies that have joined are notified of the handovers in progress.
pub(super) const NOTIFY_FILL: f64 = 0.5;
/// Fraction of the time for which a proxy may have no line after which a grant may fill the channel as far as drains
/// do.
pub(super) const URGENT_GRANT_FRACTION: f64 = 0.4;
/// Message overheads that must fit between the fills at which drains start and stop.
pub(super) const MIN_DRAIN_MESSAGES: f64 = 4.0;
/// How many times slower than stated the channel may run, and as many times again while an acknowledgement is
/// overdue.
pub(super) const CHANNEL_SLOWDOWN_FACTOR: f64 = 4.0;

/// Mean wait, as a fraction of the mean soft deadline, above which a server is overloaded.
pub(super) const LATE_WAIT_FRACTION: f64 = 0.4;
/// What an overloaded server is limited to, as a fraction of the work that it did.
pub(super) const LIMIT_DECREASE_FACTOR: f64 = 0.9;
/// Least factor by which a limit grows in a period without late answers.
pub(super) const MIN_LIMIT_INCREASE_FACTOR: f64 = 1.06;
/// Largest factor by which a limit may exceed what the server does, in a period without late answers.
pub(super) const MAX_LIMIT_INCREASE_FACTOR: f64 = 1.5;
/// Largest fraction of the offered work that a server rejects because of its limit or its cold budget.
pub(super) const MAX_REJECTED_FRACTION: f64 = 0.9;
/// Time in which a queue that makes answers late should drain.
pub(super) const QUEUE_DRAIN_TIME: Duration = Duration::from_secs(1);
/// Reporting intervals after which the effect of a lowered limit shows in reports.
pub(super) const LIMIT_EFFECT_INTERVALS: u32 = 2;

/// Largest number of probes of each ready server in a period.
pub(super) const MAX_PROBE_ROUNDS: u32 = 3;
/// Largest number of probes by all assigners for each RPC. One round of probes a period is ordered even if it exceeds
/// this. While no RPCs are reported, it does not apply.
pub(super) const MAX_PROBES_PER_RPC: f64 = 0.3;
/// Consecutive unanswered probes from which a server is unhealthy, if no answers to RPCs are reported either.
pub(super) const DEAD_AFTER_MISSES: u32 = 2;
/// How long the slices of a zone whose servers have all become unresponsive stay, with their RPCs rejected, before the
/// servers count as dead. If the path to the zone is broken, the broken streams of its proxies are noticed within this
/// time.
pub(super) const ZONE_CONFIRMATION_TIME: Duration = Duration::from_secs(3);
/// How long a server that is unhealthy by its probes alone gets no slices, at least.
pub(super) const PROBE_UNHEALTHY_DURATION: Duration = Duration::from_secs(3);
/// Busy fraction of its cores above which a server's probes may be delayed by load alone.
pub(super) const BUSY_CPU: f64 = 0.9;
/// How long slices stay at the servers of a disconnected zone, in durations of a move: one there and one back.
pub(super) const DISCONNECTED_ZONE_MOVES: u32 = 2;
/// Fraction of the ready servers above which missed probes are no evidence against single servers.
pub(super) const MAX_SUSPECTED_FRACTION: f64 = 0.5;
/// Half-life of the counts of answered probes and of probes missed by chance.
pub(crate) const PROBE_MEMORY_HALF_LIFE: Duration = Duration::from_secs(10);
/// Largest mean number of servers in the whole fleet that are wrongly suspected in a round of probes.
pub(super) const MAX_FALSE_ALARMS_PER_ROUND: f64 = 0.15;
/// How long a suspected server is sent nothing at all, since it may be about to answer.
pub(super) const HALF_OPEN_DELAY: Duration = Duration::from_millis(1000);
/// Fraction of the RPCs that do not write that is admitted after `HALF_OPEN_DELAY`.
pub(super) const HALF_OPEN_FRACTION: f64 = 0.1;
/// Tries of late below which a server had none of this assigner's RPCs.
pub(super) const MAX_IDLE_TRIES: f64 = 0.1;
/// Batches of reports that are remembered.
pub(super) const REMEMBERED_BATCHES: usize = 8;
/// RPCs answered since a missed probe from which a server is alive.
pub(super) const ALIVE_RPCS: f64 = 3.0;
/// RPCs expected since a missed probe, and not answered, from which a server is dead.
pub(super) const DEAD_RPCS: f64 = 3.0;
/// Weight of one observation in the estimate of how late reports come.
pub(super) const LAG_SMOOTHING_FACTOR: f64 = 0.3;
/// Possible error of that estimate, as a fraction of the reporting interval.
pub(super) const LAG_ERROR_FRACTION: f64 = 0.2;
/// Consecutive misses that always suffice to suspect a server.
pub(super) const MAX_MISSES_TO_SUSPECT: u32 = 10;
/// Reporting intervals after which whatever is reported of a server happened later than the first probe that it
/// missed.
pub(crate) const REPORT_LAG_INTERVALS: u32 = 3;
