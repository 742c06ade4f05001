//! Who holds which slice: the relay deals them out evenly among the assigners that read its news.

use std::time::Duration;

use super::page::SLICES;
use super::world::World;

/// An assigner whose news broke keeps its slices for so long.
const KEPT_FOR: Duration = Duration::from_secs(1);

/// Deals slices out. `serving`: by assigner, whether its process lives and was not told to end.
pub fn deal(world: &mut World, serving: &[bool]) {
    let now = world.now();
    let reads = |world: &World, node: usize| serving[node] && !world.nodes[node].news.is_empty();
    for (node, serves) in serving.iter().enumerate() {
        // A reader that has gone is found out by writing to it.
        world.tell(node, "");
        if reads(world, node) {
            world.nodes[node].left_at = None;
        } else if !serves {
            world.nodes[node].left_at = Some(Duration::ZERO);
        } else {
            world.nodes[node].left_at.get_or_insert(now);
        }
    }
    let here: Vec<usize> = (0..serving.len()).filter(|node| reads(world, *node)).collect();
    for slice in 0..SLICES {
        let Some(holder) = world.slices[slice].holder else { continue };
        let gone = world.nodes[holder].left_at.is_some_and(|at| now >= at + KEPT_FOR);
        if gone && (!serving[holder] || !here.is_empty()) {
            world.give(slice, None);
        }
    }
    let Some(first) = here.first().copied() else { return };
    let held = |world: &World, node: usize| world.slices.iter().filter(|s| s.holder == Some(node)).count();
    for slice in (0..SLICES).filter(|slice| world.slices[*slice].holder.is_none()).collect::<Vec<_>>() {
        let least = here.iter().copied().min_by_key(|node| held(world, *node)).unwrap_or(first);
        world.give(slice, Some(least));
    }
    let least = here.iter().copied().min_by_key(|node| held(world, *node)).unwrap_or(first);
    let most = here.iter().copied().max_by_key(|node| held(world, *node)).unwrap_or(first);
    if held(world, most) > held(world, least) + 1 {
        let moved = world.slices.iter().position(|slice| slice.holder == Some(most));
        moved.into_iter().for_each(|slice| world.give(slice, Some(least)));
    }
}
