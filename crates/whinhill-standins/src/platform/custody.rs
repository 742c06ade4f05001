//! Custody of slices: the relay distributes slices evenly among the assigners that watch it.

use std::time::Duration;

use super::parameters::SLICES;
use super::state::PlatformState;

/// How long an assigner keeps its slices after its watch has broken.
const RETENTION: Duration = Duration::from_secs(1);

/// Assigns slices to assigners. `serving` tells for each assigner whether its process runs and was
/// not told to stop.
pub fn assign_slices(platform: &mut PlatformState, serving: &[bool]) {
    let now = platform.now();
    let is_watching =
        |platform: &PlatformState, node: usize| serving[node] && !platform.nodes[node].watchers.is_empty();
    for (node, serves) in serving.iter().enumerate() {
        // Writing detects a watch stream that the assigner has closed.
        platform.notify(node, "");
        if is_watching(platform, node) {
            platform.nodes[node].watch_lost_at = None;
        } else if !serves {
            platform.nodes[node].watch_lost_at = Some(Duration::ZERO);
        } else {
            platform.nodes[node].watch_lost_at.get_or_insert(now);
        }
    }
    let watching: Vec<usize> = (0..serving.len()).filter(|node| is_watching(platform, *node)).collect();
    for slice in 0..SLICES {
        let Some(holder) = platform.slices[slice].holder else { continue };
        let has_expired = platform.nodes[holder].watch_lost_at.is_some_and(|at| now >= at + RETENTION);
        if has_expired && (!serving[holder] || !watching.is_empty()) {
            platform.set_holder(slice, None);
        }
    }
    let Some(first) = watching.first().copied() else { return };
    let held = |platform: &PlatformState, node: usize| {
        platform.slices.iter().filter(|s| s.holder == Some(node)).count()
    };
    for slice in (0..SLICES).filter(|slice| platform.slices[*slice].holder.is_none()).collect::<Vec<_>>() {
        let fewest = watching.iter().copied().min_by_key(|node| held(platform, *node)).unwrap_or(first);
        platform.set_holder(slice, Some(fewest));
    }
    let fewest = watching.iter().copied().min_by_key(|node| held(platform, *node)).unwrap_or(first);
    let most_slices = watching.iter().copied().max_by_key(|node| held(platform, *node)).unwrap_or(first);
    if held(platform, most_slices) > held(platform, fewest) + 1 {
        let moved = platform.slices.iter().position(|slice| slice.holder == Some(most_slices));
        moved.into_iter().for_each(|slice| platform.set_holder(slice, Some(fewest)));
    }
}
