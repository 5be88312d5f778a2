//! Where backends and proxies are and which service calls which: services in layers, each calling one of the next layer,
//! as deep as the target says.

use crate::scenario::Scenario;

/// Where a backend or a proxy is.
#[derive(Debug, Clone, Copy)]
pub struct Placement {
    pub zone: u16,
    /// Service of a backend; service that a proxy calls.
    pub service: usize,
}

/// The fleet's layout.
#[derive(Debug)]
pub struct Topology {
    /// Backends; each has a proxy that calls the service named in `callees`.
    pub backends: Vec<Placement>,
    /// By service: the service that its backends call; none in the last layer.
    pub callees: Vec<Option<usize>>,
    /// Proxies through which clients come.
    pub entries: Vec<Placement>,
    /// Clients' requests a second.
    pub clients_per_s: f64,
}

impl Topology {
    /// The layout of a fleet of `size` backends.
    pub fn new(scenario: &Scenario, size: usize) -> Self {
        let (services, depth) = (scenario.target.services, scenario.target.depth);
        let onward = scenario.calls.onward_share;
        let layer = |service: usize| service * depth / services;
        let members = |of: usize| (0..services).filter(move |&s| layer(s) == of).collect::<Vec<_>>();
        let mut callees = vec![None; services];
        let first = members(0);
        let mut load = vec![0.0; services];
        first.iter().for_each(|&s| load[s] = 1.0 / first.len() as f64);
        for of in 0..depth.saturating_sub(1) {
            let next = members(of + 1);
            for (i, s) in members(of).into_iter().enumerate() {
                let to = next[i % next.len()];
                callees[s] = Some(to);
                load[to] += load[s] * onward;
            }
        }
        let total: f64 = load.iter().sum();
        let zones = scenario.target.zones;
        let mut backends = Vec::with_capacity(size);
        for (service, count) in share_out(size, &load).into_iter().enumerate() {
            // Each service begins at a zone of its own, so that all zones get alike many.
            let place = |i| Placement { zone: ((i + service * 3) % zones) as u16, service };
            backends.extend((0..count).map(place));
        }
        let count = ((size as f64 * scenario.run.entry_per_backend).ceil() as usize).max(first.len());
        let entry = |i: usize| Placement { zone: (i % zones) as u16, service: first[i % first.len()] };
        let rate = scenario.run.simulated_calls_per_s_per_backend * size as f64;
        Topology { backends, callees, entries: (0..count).map(entry).collect(), clients_per_s: rate / total }
    }
}

/// Deals out `size` by load, one to each at the least; the largest remainders get what is left.
fn share_out(size: usize, load: &[f64]) -> Vec<usize> {
    let total: f64 = load.iter().sum();
    let rest = size.saturating_sub(load.len()) as f64;
    let exact: Vec<f64> = load.iter().map(|l| 1.0 + rest * l / total).collect();
    let mut counts: Vec<usize> = exact.iter().map(|x| *x as usize).collect();
    let mut order: Vec<usize> = (0..load.len()).collect();
    order.sort_by(|&a, &b| (exact[b].fract(), a).partial_cmp(&(exact[a].fract(), b)).expect("finite"));
    let missing = size.saturating_sub(counts.iter().sum());
    order.into_iter().cycle().take(missing).for_each(|s| counts[s] += 1);
    counts
}
