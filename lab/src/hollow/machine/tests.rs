use super::*;

const GIB: u64 = 1024 * 1024 * 1024;

#[test]
fn the_largest_supported_run_is_within_the_limits_of_the_lab() {
    let requirements = Requirements::new(530, 16, 8);
    assert_eq!(requirements.processes, 25);
    assert!(requirements.check_against(16 * GIB).is_ok(), "{requirements:?}");
}

#[test]
fn runs_with_too_little_memory_or_too_many_processes_are_rejected() {
    let requirements = Requirements::new(530, 16, 8);
    assert!(matches!(
        requirements.check_against(GIB),
        Err(TooLarge::Memory { limit: "available memory of this machine", .. })
    ));
    let large = Requirements::new(4_096, 16, 0);
    assert!(matches!(
        large.check_against(64 * GIB),
        Err(TooLarge::Memory { limit: "the lab's own limit", .. })
    ));
    assert!(matches!(
        Requirements::new(10, 10, 500).check_against(64 * GIB),
        Err(TooLarge::Processes { .. })
    ));
}
