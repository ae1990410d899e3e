use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;

use eyre::WrapErr;

/// The number of lines of the log that are part of a report about an exit.
const REPORTED_LINES: usize = 20;

/// A daemon in a child process, which can be killed, frozen and restarted.
#[derive(Debug)]
pub struct DaemonProcess {
    /// The address of the admin API, for operators.
    pub admin: SocketAddr,
    /// The address of the API, for requests or runs.
    pub api: SocketAddr,
    binary: PathBuf,
    settings: PathBuf,
    child: Option<Child>,
    /// Whether the process was sent a signal that ends it.
    is_stop_requested: bool,
}

impl DaemonProcess {
    /// Describes a daemon without starting the process.
    pub fn new(binary: PathBuf, settings: PathBuf, admin: SocketAddr, api: SocketAddr) -> Self {
        Self {
            admin,
            api,
            binary,
            settings,
            child: None,
            is_stop_requested: false,
        }
    }

    /// Starts the process if none runs; its output is appended to a log beside the settings.
    ///
    /// # Errors
    /// The log file can't be opened, or the binary can't be started.
    pub fn start(&mut self) -> eyre::Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.log_path())?;
        let errors = log.try_clone()?;
        let child = Command::new(&self.binary)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .wrap_err_with(|| format!("could not start daemon {}", self.binary.display()))?;
        self.child = Some(child);
        self.is_stop_requested = false;
        Ok(())
    }

    /// Returns the process id, or `None` if no process runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns the largest resident size that the process has had, or `None` if no process runs.
    pub fn peak_memory_bytes(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id()?)).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
        let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kilobytes * 1_024)
    }

    /// Kills the process with SIGKILL and waits for its exit.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Requests a planned stop with SIGTERM and waits for the exit. Returns its status if a process
    /// ran.
    pub fn terminate(&mut self) -> Option<ExitStatus> {
        self.signal("-TERM");
        // A frozen process handles the signal only after it is resumed.
        self.resume();
        self.child.take()?.wait().ok()
    }

    /// Checks that the process has not exited by itself: it runs, or it was stopped by a signal of
    /// this value.
    ///
    /// # Errors
    /// The process exited by itself. The error has its status and the last lines of its log.
    pub fn check_exit(&mut self) -> eyre::Result<()> {
        let exited = self.child.as_mut().map(Child::try_wait);
        let Some(Ok(Some(status))) = exited else {
            return Ok(());
        };
        if self.is_stop_requested {
            return Ok(());
        }
        let log = fs::read(self.log_path()).unwrap_or_default();
        let log = String::from_utf8_lossy(&log);
        let lines: Vec<&str> = log.lines().collect();
        let last = lines[lines.len().saturating_sub(REPORTED_LINES)..].join("\n");
        Err(eyre::eyre!(
            "the daemon with settings {} exited by itself: {status}; its last log lines:\n{last}",
            self.settings.display()
        ))
    }

    /// Returns the path of the file with the output of the process.
    pub fn log_path(&self) -> PathBuf {
        self.settings.with_extension("log")
    }

    /// Freezes the process with SIGSTOP.
    pub fn freeze(&mut self) {
        self.signal("-STOP");
    }

    /// Resumes a frozen process with SIGCONT.
    pub fn resume(&mut self) {
        self.signal("-CONT");
    }

    /// Reaps the process if it has exited, and returns whether no process runs.
    pub fn try_reap(&mut self) -> bool {
        let is_running = self
            .child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)));
        if !is_running {
            self.child = None;
        }
        !is_running
    }

    /// Sends a signal, written like `-TERM`, to the process; a no-op if none runs.
    pub fn signal(&mut self, signal: &str) {
        self.is_stop_requested |= !matches!(signal, "-STOP" | "-CONT");
        if let Some(child) = &self.child {
            let _ = Command::new("kill")
                .args([signal, &child.id().to_string()])
                .status();
        }
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
