//! The placement of backends and proxies and the call graph of the services. The services form layers; each
//! service calls one service of the next layer, down to the depth of the target.

use crate::scenario::Scenario;

/// The placement of a backend or a proxy.
#[derive(Debug, Clone, Copy)]
pub struct Placement {
    pub zone: u16,
    /// The service of a backend, or the service that a proxy calls.
    pub service: usize,
}

/// The layout of the fleet.
#[derive(Debug)]
pub struct Topology {
    /// The backends. Each has a sidecar proxy, which calls the service given in `callees`.
    pub backends: Vec<Placement>,
    /// For each service, the service that its backends call; `None` in the last layer.
    pub callees: Vec<Option<usize>>,
    /// The entry proxies, which receive the clients' requests.
    pub entry_proxies: Vec<Placement>,
    /// Clients' requests per second.
    pub clients_per_s: f64,
}

impl Topology {
    /// Creates the layout of a fleet of `size` backends.
    pub fn new(scenario: &Scenario, size: usize) -> Self {
        let (services, depth) = (scenario.target.services, scenario.target.depth);
        let onward_share = scenario.calls.onward_share;
        let layer_of = |service: usize| service * depth / services;
        let services_in_layer = |layer: usize| {
            (0..services).filter(move |&service| layer_of(service) == layer).collect::<Vec<_>>()
        };
        let mut callees = vec![None; services];
        let first_layer = services_in_layer(0);
        let mut load = vec![0.0; services];
        first_layer.iter().for_each(|&service| load[service] = 1.0 / first_layer.len() as f64);
        for layer in 0..depth.saturating_sub(1) {
            let next_layer = services_in_layer(layer + 1);
            for (index, service) in services_in_layer(layer).into_iter().enumerate() {
                let callee = next_layer[index % next_layer.len()];
                callees[service] = Some(callee);
                load[callee] += load[service] * onward_share;
            }
        }
        let total_load: f64 = load.iter().sum();
        let zones = scenario.target.zones;
        let mut backends = Vec::with_capacity(size);
        for (service, member_count) in apportion(size, &load).into_iter().enumerate() {
            // Each service starts at a different zone, so that the backends are spread evenly over the zones.
            let placement = |index| Placement { zone: ((index + service * 3) % zones) as u16, service };
            backends.extend((0..member_count).map(placement));
        }
        let entry_count =
            ((size as f64 * scenario.run.entry_per_backend).ceil() as usize).max(first_layer.len());
        let entry_proxy = |index: usize| Placement {
            zone: (index % zones) as u16,
            service: first_layer[index % first_layer.len()],
        };
        let requests_per_s = scenario.run.simulated_calls_per_s_per_backend * size as f64;
        Topology {
            backends,
            callees,
            entry_proxies: (0..entry_count).map(entry_proxy).collect(),
            clients_per_s: requests_per_s / total_load,
        }
    }
}

/// Divides `size` by load with the largest-remainder method; every service gets at least one.
fn apportion(size: usize, load: &[f64]) -> Vec<usize> {
    let total_load: f64 = load.iter().sum();
    let remaining = size.saturating_sub(load.len()) as f64;
    let quotas: Vec<f64> = load.iter().map(|l| 1.0 + remaining * l / total_load).collect();
    let mut counts: Vec<usize> = quotas.iter().map(|x| *x as usize).collect();
    let mut by_remainder: Vec<usize> = (0..load.len()).collect();
    by_remainder.sort_by(|&a, &b| {
        (quotas[b].fract(), a).partial_cmp(&(quotas[a].fract(), b)).expect("shares are finite")
    });
    let unassigned = size.saturating_sub(counts.iter().sum());
    by_remainder.into_iter().cycle().take(unassigned).for_each(|service| counts[service] += 1);
    counts
}
