//! A ring of items and the subset of it that is in use.

/// All items in ring order, and the members of the subset, local members first.
#[derive(Debug)]
pub struct RingSubset<T> {
    ring: Vec<T>,
    members: Vec<T>,
    local_count: usize,
}

impl<T> Default for RingSubset<T> {
    fn default() -> Self {
        RingSubset { ring: Vec::new(), members: Vec::new(), local_count: 0 }
    }
}

impl<T: Copy + PartialEq> RingSubset<T> {
    /// Returns all items in ring order.
    pub fn ring(&self) -> &[T] {
        &self.ring
    }

    /// Returns all members.
    pub fn members(&self) -> &[T] {
        &self.members
    }

    /// Returns the local members.
    pub fn local(&self) -> &[T] {
        &self.members[..self.local_count]
    }

    /// Returns the members that are not local.
    pub fn remote(&self) -> &[T] {
        &self.members[self.local_count..]
    }

    /// Replaces the ring. The members stay the same until they are set.
    pub fn set_ring(&mut self, ring: Vec<T>) {
        self.ring = ring;
    }

    /// Replaces the members.
    pub fn set_members(&mut self, local: Vec<T>, remote: Vec<T>) {
        self.local_count = local.len();
        self.members = local;
        self.members.extend(remote);
    }

    /// Makes an item of the ring a member, unless it is one already.
    pub fn add_member(&mut self, item: T, is_local: bool) {
        if self.members.contains(&item) || !self.ring.contains(&item) {
            return;
        }
        self.members.insert(self.local_count, item);
        if is_local {
            self.local_count += 1;
        }
    }
}

/// Returns consecutive items of a ring, once around at most, until `wanted` of them are counted. Each
/// instance begins at another offset; the offsets are spread evenly over the ring.
pub fn ring_window<T: Copy>(
    ring: &[T],
    instance_index: u32,
    instance_count: u32,
    wanted: f64,
    is_counted: impl Fn(T) -> bool,
) -> Vec<T> {
    let offset = f64::from(instance_index) * ring.len() as f64 / f64::from(instance_count);
    let mut missing = wanted;
    let mut window = Vec::new();
    for &item in ring.iter().cycle().skip(offset as usize).take(ring.len()) {
        if missing <= 0.0 {
            break;
        }
        window.push(item);
        if is_counted(item) {
            missing -= 1.0;
        }
    }
    window
}
