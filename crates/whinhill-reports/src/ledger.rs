//! Where every try that was told has gone. What was told is, at any time, the sum of all places.

/// Counts of tries, but for `reports`, `strange`, `mended` and `thinned`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    pub reports: u64,
    pub offered: u64,
    /// In lines that were given to the module.
    pub given: u64,
    /// Came after its stretch had been given, or before anything that we still hold.
    pub late: u64,
    /// Of a report that had come before.
    pub repeated: u64,
    /// Not believed.
    pub doubted: u64,
    /// Of slices that are no longer ours, or servers without a place.
    pub foreign: u64,
    /// Lines that nobody could make out.
    pub strange: u64,
    /// Reports whose own word of their length could not be.
    pub mended: u64,
    /// Reports that had to be thinned, and the tries that thinning made out of nothing less those that it lost.
    pub thinned: u64,
    pub estimated: i64,
}

impl Ledger {
    /// Whether all that was told is somewhere, with `waiting` tries still held.
    pub fn conserved(&self, waiting: u64) -> bool {
        let placed = self.given + self.late + self.repeated + self.doubted + self.foreign + waiting;
        self.offered as i128 + i128::from(self.estimated) == i128::from(placed)
    }
}
