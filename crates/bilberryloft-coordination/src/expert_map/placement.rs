//! Placement of the experts of one layer in the slots of the ranks.

/// Number of an expert in its layer.
pub type ExpertId = u16;
/// Number of a rank in its group.
pub type RankId = u16;

/// Size of one layer on one group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    /// Experts of the layer.
    pub experts: usize,
    /// Ranks of the group.
    pub ranks: usize,
    /// Slots of each rank; `ranks * slots` is at least `experts`.
    pub slots: usize,
}

/// A map of one layer. Tokens of an expert are split evenly among its replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    shape: Shape,
    /// Expert in each slot, rank after rank.
    slots: Vec<ExpertId>,
    /// Number of replicas of each expert.
    replicas: Vec<u16>,
}

impl Placement {
    /// Creates a map from the expert in each slot, rank after rank. Returns `None` when the number of slots does not
    /// match the shape, an expert number is out of range, or an expert has no replica.
    pub fn from_slots(shape: Shape, slots: Vec<ExpertId>) -> Option<Placement> {
        let mut replicas = vec![0; shape.experts];
        if slots.len() != shape.ranks * shape.slots {
            return None;
        }
        for expert in &slots {
            *replicas.get_mut(usize::from(*expert))? += 1;
        }
        let is_complete = replicas.iter().all(|it| *it > 0);
        is_complete.then_some(Placement { shape, slots, replicas })
    }

    /// Creates the map that is used before popularity is known: experts in order, then again from the first one until
    /// all slots are filled.
    pub fn in_order(shape: Shape) -> Placement {
        let count = shape.ranks * shape.slots;
        let slots: Vec<ExpertId> = (0..count).map(|it| (it % shape.experts) as ExpertId).collect();
        let mut replicas = vec![0; shape.experts];
        for expert in &slots {
            replicas[usize::from(*expert)] += 1;
        }
        Placement { shape, slots, replicas }
    }

    /// Size of the layer.
    pub fn shape(&self) -> Shape {
        self.shape
    }

    /// Experts of one rank.
    pub fn rank(&self, rank: usize) -> &[ExpertId] {
        &self.slots[rank * self.shape.slots..(rank + 1) * self.shape.slots]
    }

    /// Number of replicas of an expert.
    pub fn replicas(&self, expert: ExpertId) -> u16 {
        self.replicas[usize::from(expert)]
    }

    /// Whether a rank has an expert.
    pub fn has(&self, rank: usize, expert: ExpertId) -> bool {
        self.rank(rank).contains(&expert)
    }

    /// Share of the tokens that each replica of an expert receives.
    pub fn share(&self, expert: ExpertId, popularity: &[f64]) -> f64 {
        popularity[usize::from(expert)] / f64::from(self.replicas(expert))
    }

    /// Load of each rank.
    pub fn loads(&self, popularity: &[f64]) -> Vec<f64> {
        let load = |rank: usize| self.rank(rank).iter().map(|it| self.share(*it, popularity)).sum();
        (0..self.shape.ranks).map(load).collect()
    }

    /// Highest load of a rank divided by the mean load; 1.0 means an even load.
    pub fn skew(&self, popularity: &[f64]) -> f64 {
        let loads = self.loads(popularity);
        let mean = loads.iter().sum::<f64>() / loads.len() as f64;
        loads.iter().copied().fold(0.0, f64::max) / mean
    }

    /// Puts an expert into a slot in place of another.
    pub fn set(&mut self, rank: usize, slot: usize, expert: ExpertId) {
        let entry = &mut self.slots[rank * self.shape.slots + slot];
        self.replicas[usize::from(*entry)] -= 1;
        self.replicas[usize::from(expert)] += 1;
        *entry = expert;
    }

    /// Number of experts whose weights ranks must load to change from an earlier map to this one.
    pub fn weight_loads_from(&self, earlier: &Placement) -> usize {
        let new_count =
            |rank: usize| self.rank(rank).iter().filter(|it| !earlier.has(rank, **it)).count();
        (0..self.shape.ranks).map(new_count).sum()
    }
}
