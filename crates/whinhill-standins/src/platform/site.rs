//! The settings of the simulated site that a run may vary: how lists, probes, load reports, levels and removals from
//! the list are announced to an assigner.

use std::str::FromStr;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use super::script::{parse_name, UnknownName};
use super::timing::TimingMode;

/// Seeds below this one have the default settings, so that figures of earlier releases stay comparable.
const FIRST_DRAWN_SEED: u64 = 300;
/// Keeps the draw of the settings independent of the script's.
const DRAW_SALT: u64 = 0x517e;
/// A level from which a proxy admits everything, whatever its unit is.
pub const ADMIT_ALL_LEVEL: f64 = 1e6;

/// The setting `discovery`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DiscoveryMode {
    /// Changes of the list come only on request.
    #[default]
    Subscribe,
    /// Changes of the list come by themselves. On the platform they are requested all the same.
    Automatic,
}

/// The setting `report.source`: where servers report their load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReportSource {
    /// In answers to probes.
    #[default]
    OnProbe,
    /// In answers to RPCs, which collectors pass on, and to probes.
    Inline,
    /// Nowhere.
    Off,
}

/// The setting `familyInfo.admission`: what a level means to proxies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AdmissionMode {
    /// The admitted share of the RPCs.
    #[default]
    Share,
    /// The RPCs per second that each proxy admits.
    Rate,
    /// Nothing: levels are not applied.
    Off,
}

/// The settings that a run varies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct SiteSettings {
    pub discovery: DiscoveryMode,
    /// Servers may be probed.
    pub probes: bool,
    pub report_source: ReportSource,
    pub admission: AdmissionMode,
    /// A server that the list drops without listing it as draining may stay in tables.
    pub gone_is_advice: bool,
    pub timing: TimingMode,
}

impl Default for SiteSettings {
    fn default() -> Self {
        SiteSettings {
            discovery: DiscoveryMode::default(),
            probes: true,
            report_source: ReportSource::default(),
            admission: AdmissionMode::default(),
            gone_is_advice: false,
            timing: TimingMode::default(),
        }
    }
}

/// One setting with its value, as the command line names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SiteSetting {
    Discovery(DiscoveryMode),
    Probes(bool),
    ReportSource(ReportSource),
    Admission(AdmissionMode),
    GoneIsAdvice(bool),
    Timing(TimingMode),
}

/// All values with their names on the command line.
pub const SITE_SETTINGS: [(&str, SiteSetting); 14] = [
    ("discovery=subscribe", SiteSetting::Discovery(DiscoveryMode::Subscribe)),
    ("discovery=automatic", SiteSetting::Discovery(DiscoveryMode::Automatic)),
    ("probes=on", SiteSetting::Probes(true)),
    ("probes=off", SiteSetting::Probes(false)),
    ("reports=on_probe", SiteSetting::ReportSource(ReportSource::OnProbe)),
    ("reports=inline", SiteSetting::ReportSource(ReportSource::Inline)),
    ("reports=off", SiteSetting::ReportSource(ReportSource::Off)),
    ("admission=share", SiteSetting::Admission(AdmissionMode::Share)),
    ("admission=rate", SiteSetting::Admission(AdmissionMode::Rate)),
    ("admission=off", SiteSetting::Admission(AdmissionMode::Off)),
    ("gone-is-advice=on", SiteSetting::GoneIsAdvice(true)),
    ("gone-is-advice=off", SiteSetting::GoneIsAdvice(false)),
    ("timing=short", SiteSetting::Timing(TimingMode::Short)),
    ("timing=wire-page", SiteSetting::Timing(TimingMode::WirePage)),
];

impl FromStr for SiteSetting {
    type Err = UnknownName;

    fn from_str(name: &str) -> Result<Self, UnknownName> {
        parse_name(name, &SITE_SETTINGS)
    }
}

impl SiteSettings {
    /// The settings of a seed, with those that are given in place of the drawn ones.
    pub fn of_seed(seed: u64, given: &[SiteSetting]) -> Self {
        let mut site = if seed < FIRST_DRAWN_SEED { SiteSettings::default() } else { Self::draw(seed) };
        given.iter().for_each(|setting| site.set(*setting));
        site
    }

    fn draw(seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed ^ DRAW_SALT);
        let sources = [ReportSource::OnProbe, ReportSource::Inline, ReportSource::Off];
        SiteSettings {
            discovery: if random.random() { DiscoveryMode::Automatic } else { DiscoveryMode::Subscribe },
            probes: random.random(),
            report_source: sources.choose(&mut random).copied().unwrap_or_default(),
            ..SiteSettings::default()
        }
    }

    fn set(&mut self, setting: SiteSetting) {
        match setting {
            SiteSetting::Discovery(mode) => self.discovery = mode,
            SiteSetting::Probes(probes) => self.probes = probes,
            SiteSetting::ReportSource(source) => self.report_source = source,
            SiteSetting::Admission(mode) => self.admission = mode,
            SiteSetting::GoneIsAdvice(is_advice) => self.gone_is_advice = is_advice,
            SiteSetting::Timing(timing) => self.timing = timing,
        }
    }

    /// The level that a proxy applies when it is sent `level`.
    pub fn applied_level(&self, level: f64) -> f64 {
        match self.admission {
            AdmissionMode::Share | AdmissionMode::Rate => level,
            AdmissionMode::Off => self.initial_level(),
        }
    }

    /// The level of a table that no order has set: it admits everything.
    pub fn initial_level(&self) -> f64 {
        match self.admission {
            AdmissionMode::Share | AdmissionMode::Off => 1.0,
            AdmissionMode::Rate => ADMIT_ALL_LEVEL,
        }
    }
}
