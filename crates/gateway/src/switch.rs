//! New settings in a running instance: what may change without a restart, and how the rows of old and new
//! fit together. Jobs that were taken keep the row they came by, so rows are never moved: one that the new
//! settings leave out stays without types or share, and is the same again when a later file names it again.
use crate::deployment::{Deployment, FleetRow};
use applepond::interface::CustomerConfig;

/// Names that rows may come to: a switch to and fro adds none, and beyond this the settings are a mistake.
const NAMES_MOST: usize = 10_000;

/// Why new settings are not taken: keys of the file, in its own words.
pub type Refused = Vec<&'static str>;

/// The place of each new name among the old ones; those that are new come after them.
fn places(old: &mut Vec<String>, new: &[String]) -> Vec<usize> {
    let mut place = |name: &String| {
        old.iter().position(|known| known == name).unwrap_or_else(|| {
            old.push(name.clone());
            old.len() - 1
        })
    };
    new.iter().map(&mut place).collect()
}

/// The settings that hold from now on, or the keys that only a restart can change.
pub fn merge(old: &Deployment, new: Deployment) -> Result<Deployment, Refused> {
    let fixed = [
        ("listen", old.listen == new.listen),
        ("hosts", old.hosts == new.hosts),
        ("record", old.record == new.record),
        ("fleet", old.fleet.as_ref().map(FleetRow::place) == new.fleet.as_ref().map(FleetRow::place)),
        ("seed", old.rows.seed == new.rows.seed),
        ("router", old.rows.router_index == new.rows.router_index),
        ("bounds.clients", old.callers_most == new.callers_most),
        ("bounds.event_bytes", old.body_most == new.body_most),
        ("bounds.remember_for", old.remember_for == new.remember_for),
        ("bounds.remember", old.remember_most == new.remember_most),
        ("bounds.remember_bytes", old.remember_bytes == new.remember_bytes),
    ];
    let mut refused: Refused = fixed.iter().filter(|(_, same)| !same).map(|(key, _)| *key).collect();
    let mut names = old.workloads.iter().map(|w| w.name.clone()).collect();
    let to: Vec<String> = new.workloads.iter().map(|w| w.name.clone()).collect();
    let workload_places = places(&mut names, &to);
    let mut customers = old.customers.clone();
    let customer_places = places(&mut customers, &new.customers);
    let mut zones = old.zones.clone();
    let zone_places = places(&mut zones, &new.zones);
    for (key, most) in [("workload", names.len()), ("customer", customers.len()), ("zones", zones.len())] {
        refused.extend((most > NAMES_MOST).then_some(key));
    }
    if !refused.is_empty() {
        return Err(refused);
    }
    let mut rows = new.rows;
    let (new_rows, new_names) = (std::mem::take(&mut rows.workloads), new.workloads);
    rows.workloads = old.rows.workloads.clone();
    let mut workloads = old.workloads.clone();
    workloads.iter_mut().for_each(|w| w.types.clear());
    for (place, (row, name)) in workload_places.iter().zip(new_rows.into_iter().zip(new_names)) {
        if *place == workloads.len() {
            rows.workloads.push(row);
            workloads.push(name);
        } else {
            (rows.workloads[*place], workloads[*place]) = (row, name);
        }
    }
    // A share of none: the customer is not known any more, and asks for nothing of the whole.
    let shares = std::mem::take(&mut rows.customers);
    rows.customers = vec![CustomerConfig { requests_per_second: 0.0 }; customers.len()];
    for (place, row) in customer_places.iter().zip(shares) {
        rows.customers[*place] = row;
    }
    let mut chains = new.chains;
    for row in &mut chains {
        let mut plan = (*row.plan).clone();
        plan.steps.iter_mut().for_each(|step| step.workload = workload_places[step.workload]);
        row.plan = plan.into();
    }
    let mut workers = new.workers;
    workers.iter_mut().for_each(|w| w.zone = w.zone.map(|z| zone_places[z]));
    Ok(Deployment { rows, workloads, customers, zones, chains, workers, ..new })
}
