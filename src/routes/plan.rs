//! The plan: which entry wins for a message, found in constant time and without allocation.

use super::Timing;
use crate::{ClassId, DestinationId, KindId};
use rustc_hash::FxHashMap;

/// Index of an entry in its plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteId(pub u32);

/// An entry that was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// What operators call it.
    pub name: String,
    /// The line of the file where it starts.
    pub line: u32,
    /// What it matches: how many destinations (none: any), which kind, which class.
    pub shape: MatchShape,
    /// What it sets.
    pub timing: Timing,
}

/// What an entry's `match` gives, resolved.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct MatchShape {
    /// It names destinations.
    pub names_destinations: bool,
    /// Its kind.
    pub kind: Option<KindId>,
    /// Its class.
    pub class: Option<ClassId>,
}

impl MatchShape {
    /// The higher wins: destination over kind over class over none, two criteria over either of them alone.
    pub fn specificity(self) -> u8 {
        4 * u8::from(self.names_destinations)
            + 2 * u8::from(self.kind.is_some())
            + u8::from(self.class.is_some())
    }

    /// Every criterion but the destination holds for such a message.
    pub fn matches(self, kind: Option<KindId>, class: ClassId) -> bool {
        self.kind.is_none_or(|k| Some(k) == kind) && self.class.is_none_or(|c| c == class)
    }

    /// In words, for people.
    pub fn describe(self, names: &crate::settings_json::Names) -> String {
        let name = |all: &[String], at: usize| all.get(at).cloned().unwrap_or_default();
        let kind = self.kind.map(|k| format!("kind {}", name(&names.kinds, k.0)));
        let class = self.class.map(|c| format!("class {}", name(&names.classes, c.0)));
        let destination = self.names_destinations.then(|| "its destination".to_owned());
        let all: Vec<String> = [destination, kind, class].into_iter().flatten().collect();
        if all.is_empty() {
            "everything".into()
        } else {
            all.join(", ")
        }
    }
}

/// No entry.
const NONE: u32 = u32::MAX;

/// What was accepted of a file's routes. Empty, it leaves everything to the policy.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    routes: Vec<Route>,
    kinds: usize,
    classes: usize,
    /// The row of cells of each destination that an entry names.
    rows: FxHashMap<u64, u32>,
    /// A row for each set of entries, the first for destinations that none names; in it a cell for each kind, the last for an
    /// unknown kind, and each class.
    cells: Vec<u32>,
    /// For each row, the entries that name its destinations; in the first, those that name none.
    members: Vec<Vec<u32>>,
}

impl Plan {
    /// Lays out the cells for accepted entries, with the destinations that each names.
    pub(super) fn build(
        routes: Vec<Route>,
        destinations: &[Vec<DestinationId>],
        kinds: usize,
        classes: usize,
    ) -> Plan {
        let mut by_destination: FxHashMap<u64, Vec<u32>> = FxHashMap::default();
        let mut general = Vec::new();
        for (at, route) in routes.iter().enumerate() {
            if route.shape.names_destinations {
                for d in &destinations[at] {
                    by_destination.entry(d.0).or_default().push(at as u32);
                }
            } else {
                general.push(at as u32);
            }
        }
        let mut plan = Plan { routes, kinds, classes, ..Plan::default() };
        plan.add_row(&general, None);
        // Destinations of one list share a row: a long list costs a key each, no cells.
        let mut known: FxHashMap<Vec<u32>, u32> = FxHashMap::default();
        let mut named: Vec<_> = by_destination.into_iter().collect();
        named.sort();
        for (destination, own) in named {
            let row = match known.get(&own) {
                Some(row) => *row,
                None => {
                    let row = plan.add_row(&own, Some(0));
                    known.insert(own, row);
                    row
                }
            };
            plan.rows.insert(destination, row);
        }
        plan
    }

    fn add_row(&mut self, entries: &[u32], base: Option<u32>) -> u32 {
        let width = self.width();
        let row = self.members.len() as u32;
        self.members.push(entries.to_vec());
        for at in 0..width {
            let (kind, class) = (at / self.classes, ClassId(at % self.classes));
            let kind = (kind < self.kinds).then_some(KindId(kind));
            let inherited = base.map_or(NONE, |b| self.cells[b as usize * width + at]);
            let own = entries.iter().copied().filter(|e| self.routes[*e as usize].shape.matches(kind, class));
            let best = own.max_by_key(|e| self.routes[*e as usize].shape.specificity());
            self.cells.push(best.unwrap_or(inherited));
        }
        row
    }

    fn width(&self) -> usize {
        (self.kinds + 1) * self.classes
    }

    /// The entry that wins for a message; the kind is none while no endpoint of the destination was listed.
    pub fn find(&self, to: DestinationId, kind: Option<KindId>, class: ClassId) -> Option<RouteId> {
        if class.0 >= self.classes {
            return None;
        }
        let row = self.rows.get(&to.0).copied().unwrap_or(0) as usize;
        let kind = kind.map_or(self.kinds, |k| k.0.min(self.kinds));
        let cell = self.cells[row * self.width() + kind * self.classes + class.0];
        (cell != NONE).then_some(RouteId(cell))
    }

    /// What holds for a message.
    pub fn timing(&self, to: DestinationId, kind: Option<KindId>, class: ClassId) -> Timing {
        self.find(to, kind, class).map_or(Timing::default(), |r| self.routes[r.0 as usize].timing)
    }

    /// All entries that match a message, the one that wins first.
    pub fn matching(&self, to: DestinationId, kind: Option<KindId>, class: ClassId) -> Vec<&Route> {
        let own = self.rows.get(&to.0).map(|r| &self.members[*r as usize]);
        let all = own.into_iter().chain(self.members.first()).flatten().map(|e| &self.routes[*e as usize]);
        let mut all: Vec<&Route> = all.filter(|r| r.shape.matches(kind, class)).collect();
        all.sort_by_key(|r| std::cmp::Reverse(r.shape.specificity()));
        all
    }

    /// The entries, in the order of the file.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// There is no entry: everything is as without a file.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// Which entries win for some message whose destination has a known kind.
    pub(super) fn winners(&self) -> Vec<bool> {
        let mut wins = vec![false; self.routes.len()];
        let width = self.width();
        let known = self.kinds * self.classes;
        for (at, cell) in self.cells.iter().enumerate() {
            if *cell != NONE && at % width < known {
                wins[*cell as usize] = true;
            }
        }
        wins
    }
}
