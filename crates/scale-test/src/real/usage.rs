//! Processor time and memory of processes, from /proc.

use procfs::process::Process;
use std::time::Duration;

/// What a process has used.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// Processor time of its threads that live.
    pub cpu_time: Duration,
    /// Memory that it holds now, in bytes.
    pub resident_bytes: u64,
}

/// Of a process.
///
/// # Errors
///
/// If it is gone or /proc can't be read.
pub fn of_process(pid: u32) -> anyhow::Result<Usage> {
    let process = Process::new(i32::try_from(pid)?)?;
    let mut cpu_time = Duration::ZERO;
    for task in process.tasks()? {
        // A thread that has just ended counts no more.
        let Ok(task) = task else { continue };
        cpu_time += task.schedstat().map_or(Duration::ZERO, |s| Duration::from_nanos(s.sum_exec_runtime));
    }
    let resident_bytes = process.stat()?.rss * procfs::page_size();
    Ok(Usage { cpu_time, resident_bytes })
}

/// Of this process's thread of a name.
///
/// # Errors
///
/// If /proc can't be read.
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

/// How busy the machine was lately: processes that wanted to run over the last minute.
pub fn load_average() -> f64 {
    procfs::Current::current().map_or(f64::NAN, |load: procfs::LoadAverage| f64::from(load.one))
}
