//! CPU time and memory of processes, read from /proc.

use procfs::process::Process;
use std::time::Duration;

/// The CPU time and memory of a process.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// The CPU time of its living threads.
    pub cpu_time: Duration,
    /// The current resident memory in bytes.
    pub resident_bytes: u64,
}

/// Returns the usage of a process.
///
/// # Errors
///
/// Returns an error if the process has exited or /proc can't be read.
pub fn of_process(pid: u32) -> anyhow::Result<Usage> {
    let process = Process::new(i32::try_from(pid)?)?;
    let mut cpu_time = Duration::ZERO;
    for task in process.tasks()? {
        // A thread that has just exited is not counted.
        let Ok(task) = task else { continue };
        cpu_time += task.schedstat().map_or(Duration::ZERO, |s| Duration::from_nanos(s.sum_exec_runtime));
    }
    let resident_bytes = process.stat()?.rss * procfs::page_size();
    Ok(Usage { cpu_time, resident_bytes })
}

/// Returns the CPU time of all threads of this process that have the given name.
///
/// # Errors
///
/// Returns an error if /proc can't be read.
pub fn of_thread(name: &str) -> anyhow::Result<Duration> {
    let mut total = Duration::ZERO;
    for task in Process::myself()?.tasks()? {
        let Ok(task) = task else { continue };
        if task.stat().is_ok_and(|stat| stat.comm == name) {
            total += task.schedstat().map_or(Duration::ZERO, |s| Duration::from_nanos(s.sum_exec_runtime));
        }
    }
    Ok(total)
}

/// Returns the load average of the machine over the last minute, or NaN if it can't be read.
pub fn load_average() -> f64 {
    procfs::Current::current().map_or(f64::NAN, |load: procfs::LoadAverage| f64::from(load.one))
}
