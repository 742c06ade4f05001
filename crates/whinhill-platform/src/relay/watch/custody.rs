//! The slices in our custody, as the relay watch reports them.
//!
//! A lease and the lines of its slice are separate messages, and the second may arrive much later than the first. That
//! the store holds no line for a slice, or no further line, is known from the first heartbeat after the lease, or from
//! the first ack: the relay reports a lease together with the lines, and nothing else between them.

use std::collections::{BTreeMap, BTreeSet};

use whinhill::interface::{Event, SliceId};
use whinhill_names::Names;

use super::updates::WatchUpdate;
use crate::relay::line_orders::ConfirmedLine;

/// What has been received of a slice's lines in the store, and what was ordered since it was acquired.
#[derive(Debug)]
enum StoredLines {
    /// More of them may arrive.
    Incomplete {
        /// The servers that our orders for lines have named: their lines may be ours.
        ordered: BTreeSet<String>,
    },
    /// All of them have arrived.
    Complete {
        /// We have ordered a line: one that is reported from now on is ours.
        is_ordered: bool,
    },
}

impl StoredLines {
    /// Whether a reported line comes from another assigner.
    fn is_from_another(&self, server: &str) -> bool {
        match self {
            StoredLines::Incomplete { ordered } => !ordered.contains(server),
            StoredLines::Complete { is_ordered } => !is_ordered,
        }
    }

    /// Whether we have ordered a line.
    fn is_ordered(&self) -> bool {
        match self {
            StoredLines::Incomplete { ordered } => !ordered.is_empty(),
            StoredLines::Complete { is_ordered } => *is_ordered,
        }
    }
}

/// A slice in our custody.
#[derive(Debug)]
struct Slice {
    /// The line that the store is assumed to hold.
    line: Option<String>,
    stored_lines: StoredLines,
    /// The assigner knows of the slice. It learns of one that has a line once that line has arrived, and of one
    /// without a line once it is certain that there is none: else it would grant the slice to a second server.
    is_reported: bool,
}

/// All slices in our custody.
#[derive(Debug, Default)]
pub(super) struct Custody {
    slices: BTreeMap<SliceId, Slice>,
    /// More lines may arrive for some slices.
    is_incomplete: bool,
    change_count: u64,
}

impl Custody {
    /// Number of leases that were granted or withdrawn.
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Number of slices.
    pub fn len(&self) -> usize {
        self.slices.len()
    }

    /// Number of slices for which the store is assumed to hold no line.
    pub fn count_without_line(&self) -> usize {
        self.slices.values().filter(|slice| slice.line.is_none()).count()
    }

    /// Whether a slice is in our custody.
    pub fn contains(&self, slice: SliceId) -> bool {
        self.slices.contains_key(&slice)
    }

    /// The line that the store is assumed to hold for a slice.
    pub fn line_of(&self, slice: SliceId) -> Option<&str> {
        self.slices.get(&slice)?.line.as_deref()
    }

    /// Handles a granted lease. The slice is reported later, by [`Custody::receive_line`] or
    /// [`Custody::complete_lines`].
    pub fn acquire(&mut self, slice: SliceId, updates: &mut Vec<WatchUpdate>) {
        self.release(slice, updates);
        let stored_lines = StoredLines::Incomplete { ordered: BTreeSet::new() };
        self.slices.insert(slice, Slice { line: None, stored_lines, is_reported: false });
        self.is_incomplete = true;
        self.change_count += 1;
    }

    /// Handles a withdrawn lease.
    pub fn release(&mut self, slice: SliceId, updates: &mut Vec<WatchUpdate>) {
        let Some(released) = self.slices.remove(&slice) else { return };
        self.change_count += 1;
        if released.is_reported {
            updates.push(WatchUpdate::Event(Event::SliceReleased { slice }));
        }
    }

    /// Releases the slices that `is_kept` rejects.
    pub fn release_all_but(&mut self, is_kept: impl Fn(SliceId) -> bool, updates: &mut Vec<WatchUpdate>) {
        let released: Vec<SliceId> = self.slices.keys().copied().filter(|slice| !is_kept(*slice)).collect();
        released.into_iter().for_each(|slice| self.release(slice, updates));
    }

    /// Forgets the slices that the assigner does not know of: a complete snapshot will tell of them and their lines.
    pub fn forget_unreported(&mut self) {
        self.slices.retain(|_, slice| slice.is_reported);
    }

    /// Handles a reported line.
    pub fn receive_line(
        &mut self,
        slice: SliceId,
        server: &str,
        names: &mut Names,
        updates: &mut Vec<WatchUpdate>,
    ) {
        let Some(known) = self.slices.get_mut(&slice) else { return };
        if !known.stored_lines.is_from_another(server) {
            return;
        }
        if known.line.is_none() && !known.stored_lines.is_ordered() {
            known.line = Some(server.to_string());
            if !std::mem::replace(&mut known.is_reported, true) {
                updates.push(WatchUpdate::Event(Event::SliceAcquired { slice }));
            }
            let endpoint = names.endpoint(server);
            updates.push(WatchUpdate::Event(Event::StoredOwner { slice, endpoint }));
        } else if known.line.as_deref() != Some(server) {
            updates.push(WatchUpdate::ExtraLine { slice, server: server.to_string() });
        }
    }

    /// Handles the proof that all lines of the slices acquired so far have been received: reports the slices without
    /// a line.
    pub fn complete_lines(&mut self, updates: &mut Vec<WatchUpdate>) {
        if !std::mem::take(&mut self.is_incomplete) {
            return;
        }
        for (slice, known) in &mut self.slices {
            known.stored_lines = StoredLines::Complete { is_ordered: known.stored_lines.is_ordered() };
            if !std::mem::replace(&mut known.is_reported, true) {
                updates.push(WatchUpdate::Event(Event::SliceAcquired { slice: *slice }));
            }
        }
    }

    /// Notes that the slice counts as acquired now, with all lines that the store holds. `line` is the one to keep.
    pub fn reacquire(&mut self, slice: SliceId, line: Option<String>) {
        let stored_lines = StoredLines::Complete { is_ordered: false };
        self.slices.insert(slice, Slice { line, stored_lines, is_reported: true });
    }

    /// Notes that a line of the slice was ordered, or its end: from now on the store may hold a line that we set.
    pub fn note_line_ordered(&mut self, slice: SliceId, server: &str) {
        match self.slices.get_mut(&slice).map(|known| &mut known.stored_lines) {
            Some(StoredLines::Incomplete { ordered }) => drop(ordered.insert(server.to_string())),
            Some(StoredLines::Complete { is_ordered }) => *is_ordered = true,
            None => {}
        }
    }

    /// Notes a line that a call of ours has set or removed; returns the line that it has replaced, if it changed the
    /// slice.
    pub fn note_line_confirmed(&mut self, set: ConfirmedLine) -> Option<Option<String>> {
        let known = &mut self.slices.get_mut(&set.slice)?.line;
        let line = match (set.on, &*known) {
            (true, _) => Some(set.server),
            (false, Some(other)) if *other != set.server => return None,
            (false, _) => None,
        };
        Some(std::mem::replace(known, line))
    }
}
