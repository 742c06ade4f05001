//! Time limits and delays of the simulated site.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// Which time limits and delays a run has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TimingMode {
    /// Short ones, so that much happens in a minute.
    #[default]
    Short,
    /// Those of the example in the wire page, where two handovers take as long as a proxy may lack a line.
    WirePage,
}

/// Time limits and delays.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// How long a proxy may have no line (setting `emptyFor`).
    pub max_time_without_line: Duration,
    /// How long a proxy may send to a draining server (setting `stopSendingWithin`).
    pub max_stop_sending_time: Duration,
    /// How long a proxy sends writes after its stream is lost (setting `writeLease`).
    pub write_lease: Duration,
    /// A write that a proxy has accepted ends within this time (setting `inFlightMax`).
    pub max_in_flight_time: Duration,
    /// The longest transit of an order by the settings (setting `transitMax`).
    pub stated_max_transit: Duration,
    /// Upper bound of the transit of an order.
    max_transit: Duration,
    /// Transits are drawn as a uniform value to the power of this: above 1, most are short and few are long.
    transit_exponent: f64,
}

const SHORT: Timing = Timing {
    max_time_without_line: Duration::from_secs(8),
    max_stop_sending_time: Duration::from_millis(3000),
    write_lease: Duration::from_millis(2000),
    max_in_flight_time: Duration::from_millis(400),
    stated_max_transit: Duration::from_millis(200),
    max_transit: Duration::from_millis(40),
    transit_exponent: 1.0,
};

/// The mean transit is 0.4 of the longest, as in the wire page's `pushDelay` and `transitMax`.
const WIRE_PAGE: Timing = Timing {
    max_time_without_line: Duration::from_millis(11_700),
    max_stop_sending_time: Duration::from_millis(2700),
    write_lease: Duration::from_millis(4000),
    max_in_flight_time: Duration::from_millis(1220),
    stated_max_transit: Duration::from_micros(977_500),
    max_transit: Duration::from_millis(977),
    transit_exponent: 1.5,
};

impl TimingMode {
    /// The time limits and delays.
    pub fn timing(self) -> Timing {
        match self {
            TimingMode::Short => SHORT,
            TimingMode::WirePage => WIRE_PAGE,
        }
    }
}

impl Timing {
    /// Draws the transit of an order to a proxy.
    pub fn draw_transit(&self, random: &mut ChaCha8Rng) -> Duration {
        const MIN_TRANSIT: Duration = Duration::from_millis(1);
        let uniform = random.random_range(MIN_TRANSIT..self.max_transit);
        let fraction = uniform.div_duration_f64(self.max_transit).powf(self.transit_exponent);
        self.max_transit.mul_f64(fraction).max(MIN_TRANSIT)
    }
}
