//! A panic of a task that the process can't do without must not leave the process half alive.

use std::time::Duration;

use dotterelhook_kernel::Kernel;

const WAIT_MAX: Duration = Duration::from_secs(10);

#[tokio::test]
async fn a_task_that_panics_is_announced_and_one_that_ends_is_not() {
    let kernel = Kernel::default();

    kernel.spawn(async {});
    tokio::time::sleep(Duration::from_millis(50)).await;
    let after_an_end = kernel.failed().is_cancelled();
    kernel.spawn(async { panic!("an injected panic") });
    let announced = tokio::time::timeout(WAIT_MAX, kernel.failed().cancelled_owned()).await;

    assert!(!after_an_end);
    assert!(announced.is_ok());
}
