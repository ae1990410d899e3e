use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use eyre::WrapErr;

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
            .open(self.settings.with_extension("log"))?;
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
        Ok(())
    }

    /// Kills the process with SIGKILL and waits for its exit.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Requests a planned stop with SIGTERM and returns whether the process exited with status 0.
    pub fn terminate(&mut self) -> bool {
        self.signal("-TERM");
        // A frozen process handles the signal only after it is resumed.
        self.resume();
        let child = self.child.take();
        child.is_some_and(|mut child| child.wait().is_ok_and(|status| status.success()))
    }

    /// Freezes the process with SIGSTOP.
    pub fn freeze(&self) {
        self.signal("-STOP");
    }

    /// Resumes a frozen process with SIGCONT.
    pub fn resume(&self) {
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
    pub fn signal(&self, signal: &str) {
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
