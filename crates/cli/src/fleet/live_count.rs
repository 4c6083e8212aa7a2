//! Feeds the number of live routers into the deployment.
use super::{keys, replicas};
use applepond_fleet::FleetView;
use applepond_gateway::errors::ReloadError;
use applepond_gateway::reload::merge;
use applepond_gateway::{ConfigSource, Deployment};
use applepond_membership::DampedCount;
use applepond_reactor::Micros;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

/// Wraps `reload` so that a change of the number of live routers reaches the gateway as a new deployment, the
/// way new settings do.
///
/// New settings also update the seeds, keys and replicas of the fleet. If a key cannot be read or a change
/// needs a restart, none of the new settings take effect.
pub(crate) fn with_live_count(
    view: Rc<RefCell<FleetView>>,
    mut current: Deployment,
    mut reload: ConfigSource,
) -> ConfigSource {
    let started = Instant::now();
    let mut max_routers = current.startup.router_count;
    let mut count = DampedCount::new(max_routers as usize);
    Box::new(move || {
        let mut is_reloaded = false;
        match reload() {
            None => {}
            Some(Err(error)) => return Some(Err(error)),
            // The gateway rejects settings that cannot be merged and reports why.
            Some(Ok(new)) => match merge(&current, new.clone()) {
                Err(_) => return Some(Ok(new)),
                Ok(merged) => {
                    if let Err(error) = reconfigure(&view, &merged) {
                        return Some(Err(error));
                    }
                    max_routers = merged.startup.router_count;
                    current = merged;
                    is_reloaded = true;
                }
            },
        }
        let previous = current.startup.router_count;
        let live = view.borrow().members.live_count();
        let now = started.elapsed().as_micros() as Micros;
        current.startup.router_count = count.share_count(now, live, max_routers as usize) as u64;
        (is_reloaded || previous != current.startup.router_count).then(|| Ok(current.clone()))
    })
}

/// Applies the seeds, keys and replicas to the running fleet.
fn reconfigure(view: &RefCell<FleetView>, deployment: &Deployment) -> Result<(), ReloadError> {
    let Some(config) = &deployment.fleet else { return Ok(()) };
    let keys = keys(config)?;
    let mut view = view.borrow_mut();
    view.reconfigure(config.seeds.clone(), keys);
    if let Some(shared) = &mut view.shared {
        shared.set_replicas(&replicas(config));
    }
    Ok(())
}
