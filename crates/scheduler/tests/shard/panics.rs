use crate::takeovers::LONG_MS;
use crate::takeovers::running_world;
use crate::world::LinkFault;

/// Guards against a worker that gets no renewals any more, so that all its attempts are lost, because one
/// call to it panicked.
#[tokio::test(start_paused = true)]
async fn a_renewal_that_panics_is_followed_by_others() {
    let (mut world, owner, worker) = running_world(LONG_MS).await;

    world.fleet.set_link_fault(owner, worker, LinkFault::Panic);
    world.advance(1_000).await;
    world.fleet.set_link_fault(owner, worker, LinkFault::None);
    let before = world.fleet.renewals(worker);
    world.advance(20_000).await;

    assert!(world.fleet.renewals(worker) > before + 2);
    assert_eq!(world.fleet.intervals().len(), 1, "the attempt was lost");
}
