//! Accounts for every reported try. The number of reported tries always equals the sum over all outcomes.

/// Counts of tries, except for `reports`, `strange`, `mended` and `thinned`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    /// Reports received.
    pub reports: u64,
    /// Tries in reports received.
    pub offered: u64,
    /// Tries in lines output to the module.
    pub given: u64,
    /// Tries that arrived after their period was output, or that lie before the oldest period still held.
    pub late: u64,
    /// Tries of duplicate reports.
    pub repeated: u64,
    /// Tries not accepted, because the proxy's rate is an outlier.
    pub doubted: u64,
    /// Tries of slices that left this assigner's custody, or of keys beyond the maximum number.
    pub foreign: u64,
    /// Lines with unknown names.
    pub strange: u64,
    /// Reports whose stated interval was impossible and was corrected.
    pub mended: u64,
    /// Reports whose downsampling changed their number of tries.
    pub thinned: u64,
    /// Tries that downsampling added, minus those that it removed.
    pub estimated: i64,
}

impl Ledger {
    /// Whether all reported tries are accounted for, with `waiting` tries still held.
    pub fn conserved(&self, waiting: u64) -> bool {
        let accounted = self.given + self.late + self.repeated + self.doubted + self.foreign + waiting;
        self.offered as i128 + i128::from(self.estimated) == i128::from(accounted)
    }
}
