use super::*;

#[test]
fn memory_is_read_from_the_status_of_a_process() {
    let status = "Name:\twalkpick\nVmHWM:\t   20480 kB\nVmRSS:\t   10240 kB\nThreads:\t1\n";
    assert_eq!(Memory::parse(status), Some(Memory { resident_kib: 10_240, peak_kib: 20_480 }));
    assert_eq!(Memory::parse("Name:\twalkpick\n"), None);
    assert_eq!(Memory::parse("VmHWM:\tmany kB\nVmRSS:\t1 kB\n"), None);
}
