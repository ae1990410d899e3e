use dotterelhook_jobs::fleet::Executor;
use dotterelhook_jobs::fleet::Headroom;
use dotterelhook_jobs::model::ImageName;
use dotterelhook_jobs::model::StepSpec;
use dotterelhook_jobs::policy::InterferenceAwarePlacement;
use dotterelhook_jobs::policy::PlacementPolicy;
use dotterelhook_jobs::policy::PlacementRequest;
use dotterelhook_types::sizes::Resources;

use crate::fixture::add_run;
use crate::fixture::executor;
use crate::fixture::filler;
use crate::fixture::score;
use crate::fixture::serving;
use crate::fixture::step;

/// Guards against a filler on an executor whose serving image the filler is known to slow down.
#[test]
fn interference_fillers_keep_away_from_images_that_they_disturb() {
    let mut disturbed = executor("i-1");
    add_run(&mut disturbed, 0, &serving("web"));
    let mut other = executor("i-2");
    add_run(&mut other, 0, &serving("mail"));
    let pressures = [(ImageName::from("web"), 9.0)];

    let filler = filler("nesting");

    assert_eq!(score(&filler, &pressures, &disturbed), None);
    assert!(score(&filler, &pressures, &other).is_some());
}

/// Guards against fillers that starve because each executor serves an image that they slow down.
#[test]
fn interference_a_filler_that_waited_may_disturb_in_the_last_place() {
    let mut disturbed = executor("i-1");
    add_run(&mut disturbed, 0, &serving("web"));
    let free = executor("i-2");
    let pressures = [(ImageName::from("web"), 9.0)];
    let filler = filler("nesting");
    let request = PlacementRequest {
        step: &filler,
        pressures: &pressures,
        dissimilarities: &[],
        may_interfere: true,
        may_be_interrupted: true,
    };

    let beside = InterferenceAwarePlacement.score(&request, &disturbed);
    let alone = InterferenceAwarePlacement.score(&request, &free);

    assert!(beside.is_some() && beside < alone);
}

/// Guards against serving tasks that spread over all executors and leave no room for fillers.
#[test]
fn interference_serving_tasks_of_one_image_are_packed_together() {
    let mut same = executor("i-1");
    add_run(&mut same, 0, &serving("web"));
    let mut other = executor("i-2");
    add_run(&mut other, 0, &serving("mail"));
    add_run(&mut other, 1, &serving("mail"));
    let empty = executor("i-3");
    let wanted = serving("web");

    let scores = [&same, &empty, &other].map(|executor| score(&wanted, &[], executor));

    assert!(scores[0] > scores[1], "packing goes before spreading");
    assert!(
        scores[1] > scores[2],
        "an empty executor goes before a mixed one"
    );
}

/// Guards against too many fillers on one executor, which would all be slow.
#[test]
fn leftover_a_filler_needs_most_of_its_processors_to_be_left() {
    let mut full = executor("i-1");
    for index in 0..9 {
        add_run(&mut full, index, &filler("nesting"));
    }

    let score = score(&filler("nesting"), &[], &full);

    assert!(score.is_some(), "3.2 of 32 cores are left");
    add_run(&mut full, 9, &filler("nesting"));
    assert_eq!(self::score(&filler("nesting"), &[], &full), None);
}

#[test]
fn requirements_of_a_step_bind() {
    let on_label = |label: &str| StepSpec {
        required_label: Some(label.into()),
        ..step(1_000)
    };
    let near = StepSpec {
        preferred_rack: Some("r1-3".into()),
        ..step(1_000)
    };
    let too_large = StepSpec {
        need: Resources::new(33_000, 1_000),
        ..step(1_000)
    };
    let executor = executor("i-1");

    assert!(score(&on_label("a"), &[], &executor).is_some());
    assert_eq!(score(&on_label("gpu"), &[], &executor), None);
    assert_eq!(score(&too_large, &[], &executor), None);
    assert!(score(&near, &[], &executor) > score(&step(1_000), &[], &executor));
}

/// Guards against a filler that has to stop as soon as the serving load rises.
#[test]
fn interference_a_filler_goes_where_there_is_headroom_for_it() {
    let at = |at_current_load: f64, at_peak_load: f64| {
        let mut executor = executor("i-1");
        add_run(&mut executor, 0, &serving("web"));
        let image = "web".into();
        executor.headroom = vec![Headroom {
            image,
            at_current_load,
            at_peak_load,
        }];
        executor
    };
    let filler = filler("nesting");
    let pressures = [(ImageName::from("web"), 4.0)];

    let interruptible = |executor: &Executor| {
        let request = PlacementRequest {
            step: &filler,
            pressures: &pressures,
            dissimilarities: &[],
            may_interfere: false,
            may_be_interrupted: true,
        };
        InterferenceAwarePlacement.score(&request, executor)
    };

    let lasting = interruptible(&at(0.5, 0.5));
    let swinging = interruptible(&at(0.5, 0.1));
    let never = interruptible(&at(0.1, 0.1));

    assert!(lasting > swinging && swinging.is_some());
    assert_eq!(never, None);
    assert_eq!(score(&filler, &pressures, &at(0.5, 0.1)), None);
}

/// Guards against executors whose serving images together tolerate no filler at all.
#[test]
fn interference_a_serving_task_goes_beside_images_that_tolerate_the_same_fillers() {
    let mut alike = executor("i-1");
    add_run(&mut alike, 0, &serving("mail"));
    let mut unlike = executor("i-2");
    add_run(&mut unlike, 0, &serving("chat"));
    let mut unknown = executor("i-3");
    add_run(&mut unknown, 0, &serving("maps"));
    let wanted = serving("web");
    let dissimilarities = [("mail".into(), 0.1), ("chat".into(), 0.9)];
    let request = PlacementRequest {
        step: &wanted,
        pressures: &[],
        dissimilarities: &dissimilarities,
        may_interfere: false,
        may_be_interrupted: false,
    };

    let scores = [&alike, &unlike, &unknown]
        .map(|executor| InterferenceAwarePlacement.score(&request, executor));

    assert!(scores[0] > scores[1], "{scores:?}");
    assert!(scores[1] > scores[2], "{scores:?}");
}

/// Guards against several fillers that are placed on the same headroom between two reports.
#[test]
fn interference_burst_of_placements_uses_up_the_headroom() {
    let mut executor = executor("i-1");
    add_run(&mut executor, 0, &serving("web"));
    let filler = filler("nesting");
    let pressures = [(ImageName::from("web"), 1.0)];
    let image = "web".into();
    executor.headroom = vec![Headroom {
        image,
        at_current_load: 0.25,
        at_peak_load: 0.25,
    }];

    let first = score(&filler, &pressures, &executor);
    executor.consume_headroom(&pressures, filler.need.cpu_milli.0);
    executor.consume_headroom(&pressures, filler.need.cpu_milli.0);
    let third = score(&filler, &pressures, &executor);

    assert!(first.is_some());
    assert_eq!(third, None);
}

/// Guards against fragmentation: small tasks on empty executors leave no room for large tasks.
#[test]
fn full_cell_quick_tasks_leave_the_large_holes_to_large_tasks() {
    let mut fuller = executor("i-1");
    for index in 0..4 {
        add_run(&mut fuller, index, &serving("web"));
    }
    let empty = executor("i-2");
    let quick = step(1_000);

    let scores = [&fuller, &empty].map(|executor| score(&quick, &[], executor));

    assert!(scores[0].is_some() && scores[0] > scores[1]);
}
