use super::*;

const GIB: u64 = 1024 * 1024 * 1024;

#[test]
fn the_largest_run_that_is_asked_for_is_within_the_labs_bounds() {
    let need = Need::new(530, 16, 8);
    assert_eq!(need.processes, 25);
    assert!(need.check_against(16 * GIB).is_ok(), "{need:?}");
}

#[test]
fn too_little_memory_and_too_many_processes_are_refused() {
    let need = Need::new(530, 16, 8);
    assert!(matches!(
        need.check_against(GIB),
        Err(TooLarge::Memory { why: "what this machine has left", .. })
    ));
    let large = Need::new(4_096, 16, 0);
    assert!(matches!(
        large.check_against(64 * GIB),
        Err(TooLarge::Memory { why: "the lab's own bound", .. })
    ));
    assert!(matches!(Need::new(10, 10, 500).check_against(64 * GIB), Err(TooLarge::Processes { .. })));
}
