//! The route table, which finds the route of a message in constant time and without allocation.

use super::RouteTiming;
use crate::{ClassId, DestinationId, KindId};
use rustc_hash::FxHashMap;

/// Index of a route in its table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteId(pub u32);

/// A route that was accepted from the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The name of the route, for operators.
    pub name: String,
    /// The line of the file in which the route starts.
    pub line: u32,
    /// The criteria by which the route matches messages, without the list of destinations.
    pub criteria: MatchCriteria,
    /// The timing that the route sets.
    pub timing: RouteTiming,
}

/// The resolved criteria of a route's `match`. The destinations themselves are kept in the table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct MatchCriteria {
    /// Whether the route is limited to a list of destinations.
    pub names_destinations: bool,
    /// The kind of the destination; `None` for any.
    pub kind: Option<KindId>,
    /// The class of the message; `None` for any.
    pub class: Option<ClassId>,
}

impl MatchCriteria {
    /// The rank by which the matching routes are ordered; the route with the highest rank applies. Destination ranks over
    /// kind, and kind over class. Two criteria rank over either of them alone.
    pub fn specificity(self) -> u8 {
        4 * u8::from(self.names_destinations)
            + 2 * u8::from(self.kind.is_some())
            + u8::from(self.class.is_some())
    }

    /// Whether the criteria match a message of this class to a destination of this kind. The destination itself is not
    /// checked.
    pub fn matches(self, kind: Option<KindId>, class: ClassId) -> bool {
        self.kind.is_none_or(|required| Some(required) == kind)
            && self.class.is_none_or(|required| required == class)
    }

    /// Describes the criteria in words, for operators.
    pub fn describe(self, names: &crate::settings_json::Names) -> String {
        let name = |all: &[String], index: usize| all.get(index).cloned().unwrap_or_default();
        let kind = self.kind.map(|kind| format!("kind {}", name(&names.kinds, kind.0)));
        let class = self.class.map(|class| format!("class {}", name(&names.classes, class.0)));
        let destination = self.names_destinations.then(|| "its destination".to_owned());
        let criteria: Vec<String> = [destination, kind, class].into_iter().flatten().collect();
        if criteria.is_empty() {
            "everything".into()
        } else {
            criteria.join(", ")
        }
    }
}

/// The value of a cell for which no route matches.
const NO_ROUTE: u32 = u32::MAX;

/// The accepted routes of a file. The route that applies to each combination of destination, kind and class is
/// precomputed. If the table is empty, the delivery policy decides all timing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteTable {
    routes: Vec<Route>,
    kinds: usize,
    classes: usize,
    /// The row of each destination that a route names.
    rows: FxHashMap<u64, u32>,
    /// The routes that apply, in rows of equal width. There is one row for each distinct set of routes that name a
    /// destination; the first row is for destinations that no route names. A row has a cell for each pair of kind and class,
    /// and an unknown kind comes after all others.
    cells: Vec<u32>,
    /// For each row, the routes that name its destinations; for the first row, the routes that name no destinations.
    row_routes: Vec<Vec<u32>>,
}

impl RouteTable {
    /// Builds the table from the accepted routes and the destinations that each of them names.
    pub(super) fn build(
        routes: Vec<Route>,
        destinations: &[Vec<DestinationId>],
        kinds: usize,
        classes: usize,
    ) -> RouteTable {
        let mut by_destination: FxHashMap<u64, Vec<u32>> = FxHashMap::default();
        let mut general = Vec::new();
        for (index, route) in routes.iter().enumerate() {
            if route.criteria.names_destinations {
                for destination in &destinations[index] {
                    by_destination.entry(destination.0).or_default().push(index as u32);
                }
            } else {
                general.push(index as u32);
            }
        }
        let mut table = RouteTable { routes, kinds, classes, ..RouteTable::default() };
        table.add_row(&general, None);
        // Destinations named by the same routes share a row, so that each further one in a long list costs only a map entry.
        let mut row_of_routes: FxHashMap<Vec<u32>, u32> = FxHashMap::default();
        let mut named: Vec<_> = by_destination.into_iter().collect();
        named.sort();
        for (destination, naming_routes) in named {
            let row = match row_of_routes.get(&naming_routes) {
                Some(row) => *row,
                None => {
                    let row = table.add_row(&naming_routes, Some(0));
                    row_of_routes.insert(naming_routes, row);
                    row
                }
            };
            table.rows.insert(destination, row);
        }
        table
    }

    /// Adds a row for the given routes and returns its index. A cell for which none of them matches is copied from the base
    /// row.
    fn add_row(&mut self, routes: &[u32], base_row: Option<u32>) -> u32 {
        let width = self.width();
        let row = self.row_routes.len() as u32;
        self.row_routes.push(routes.to_vec());
        for column in 0..width {
            let (kind, class) = (column / self.classes, ClassId(column % self.classes));
            let kind = (kind < self.kinds).then_some(KindId(kind));
            let inherited = base_row.map_or(NO_ROUTE, |base| self.cells[base as usize * width + column]);
            let matching = routes
                .iter()
                .copied()
                .filter(|route| self.routes[*route as usize].criteria.matches(kind, class));
            let best = matching.max_by_key(|route| self.routes[*route as usize].criteria.specificity());
            self.cells.push(best.unwrap_or(inherited));
        }
        row
    }

    /// The number of cells in a row.
    fn width(&self) -> usize {
        (self.kinds + 1) * self.classes
    }

    /// Finds the route that applies to a message; `None` if no route matches. The kind is `None` as long as no endpoint of
    /// the destination has been listed.
    pub fn find(&self, destination: DestinationId, kind: Option<KindId>, class: ClassId) -> Option<RouteId> {
        if class.0 >= self.classes {
            return None;
        }
        let row = self.rows.get(&destination.0).copied().unwrap_or(0) as usize;
        let kind = kind.map_or(self.kinds, |kind| kind.0.min(self.kinds));
        let cell = self.cells[row * self.width() + kind * self.classes + class.0];
        (cell != NO_ROUTE).then_some(RouteId(cell))
    }

    /// The timing of the route that applies to a message; empty if no route matches.
    pub fn timing(&self, destination: DestinationId, kind: Option<KindId>, class: ClassId) -> RouteTiming {
        self.find(destination, kind, class)
            .map_or(RouteTiming::default(), |id| self.routes[id.0 as usize].timing)
    }

    /// All routes that match a message, the one that applies first.
    pub fn matching(&self, destination: DestinationId, kind: Option<KindId>, class: ClassId) -> Vec<&Route> {
        let naming_routes = self.rows.get(&destination.0).map(|row| &self.row_routes[*row as usize]);
        let candidates = naming_routes
            .into_iter()
            .chain(self.row_routes.first())
            .flatten()
            .map(|index| &self.routes[*index as usize]);
        let mut matching: Vec<&Route> =
            candidates.filter(|route| route.criteria.matches(kind, class)).collect();
        matching.sort_by_key(|route| std::cmp::Reverse(route.criteria.specificity()));
        matching
    }

    /// All routes, in the order of the file.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Whether there are no routes, so that the delivery policy decides all timing.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// For each route, whether it applies to any message whose destination has a known kind.
    pub(super) fn routes_that_apply(&self) -> Vec<bool> {
        let mut applies = vec![false; self.routes.len()];
        let width = self.width();
        let known_kind_columns = self.kinds * self.classes;
        for (index, cell) in self.cells.iter().enumerate() {
            if *cell != NO_ROUTE && index % width < known_kind_columns {
                applies[*cell as usize] = true;
            }
        }
        applies
    }
}
